//! Run times as they are told to the fleet.

use std::time::Duration;

use quetzal_members::PaceLevel;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

quickcheck::quickcheck! {
    fn a_level_stands_for_a_time_close_to_the_real_one(millis: u16) -> bool {
        let millis = millis.max(1);
        let told = PaceLevel::of(ms(u64::from(millis))).run_time().expect("known");
        let ratio = told.as_secs_f32() * 1000.0 / f32::from(millis);
        (0.85..1.18).contains(&ratio)
    }
}

#[test]
fn a_time_near_the_border_of_two_levels_keeps_its_level() {
    let level = PaceLevel::of(ms(100));
    for millis in [90, 110, 112, 92, 105, 80, 125] {
        assert_eq!(level.follow(ms(millis)), level, "{millis} ms");
    }
    assert_ne!(level.follow(ms(200)), level);
    assert_eq!(PaceLevel::default().follow(ms(100)), level);
    assert_eq!(PaceLevel::default().run_time(), None);
}
