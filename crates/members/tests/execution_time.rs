//! Levels of execution times, as published to the fleet.

use std::time::Duration;

use quetzal_members::ExecutionTimeLevel;

fn ms(count: u64) -> Duration {
    Duration::from_millis(count)
}

quickcheck::quickcheck! {
    fn a_level_stands_for_a_time_close_to_the_real_one(millis: u16) -> bool {
        let millis = millis.max(1);
        let level_time = ExecutionTimeLevel::from_duration(ms(u64::from(millis)))
            .duration()
            .expect("known");
        let ratio = level_time.as_secs_f32() * 1000.0 / f32::from(millis);
        (0.85..1.18).contains(&ratio)
    }
}

#[test]
fn a_time_near_the_border_of_two_levels_keeps_its_level() {
    let level = ExecutionTimeLevel::from_duration(ms(100));
    for millis in [90, 110, 112, 92, 105, 80, 125] {
        assert_eq!(level.adjusted_to(ms(millis)), level, "{millis} ms");
    }
    assert_ne!(level.adjusted_to(ms(200)), level);
    assert_eq!(ExecutionTimeLevel::default().adjusted_to(ms(100)), level);
    assert_eq!(ExecutionTimeLevel::default().duration(), None);
}
