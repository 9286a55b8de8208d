//! Which calls are shed, and in which order.

use std::time::Duration;

use model::{CallClass, CustomerName, FakeClock, ServiceName};
use quetzal_limits::{LoadShedder, LoadSignal};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

struct Door {
    clock: FakeClock,
    shedder: LoadShedder,
    service: ServiceName,
}

impl Door {
    fn new() -> Self {
        let clock = FakeClock::new();
        Self {
            shedder: LoadShedder::new(clock.shared(), SmallRng::seed_from_u64(4)),
            clock,
            service: "deals".parse().unwrap(),
        }
    }

    /// Sends 50 calls in a second, all with the same end; counts those shed.
    fn second(&mut self, class: CallClass, customer: &str, sign: LoadSignal) -> u32 {
        let customer: CustomerName = customer.parse().unwrap();
        let mut shed = 0;
        for _ in 0..50 {
            match self.shedder.admit(&self.service, class, &customer) {
                Ok(ticket) => self.shedder.finish(&ticket, sign),
                Err(refusal) => {
                    assert!(refusal.retry_after >= Duration::from_millis(250));
                    shed += 1;
                }
            }
            self.clock.advance(Duration::from_millis(20));
        }
        shed
    }

    fn level(&self) -> f32 {
        self.shedder.level(&self.service)
    }
}

const RAN: LoadSignal = LoadSignal::Ran(Duration::ZERO);

quickcheck! {
    fn the_level_stays_in_its_range(signs: Vec<(u8, u8)>) -> bool {
        let mut door = Door::new();
        signs.into_iter().all(|(class, sign)| {
            let class = CallClass::ALL[usize::from(class % 4)];
            let sign = [RAN, LoadSignal::Refused, LoadSignal::Unknown][usize::from(sign % 3)];
            door.second(class, "agency-1", sign);
            (0.0..=3.6).contains(&door.level())
        })
    }

    fn what_runs_is_never_shed(classes: Vec<u8>) -> bool {
        let mut door = Door::new();
        classes.into_iter().all(|class| {
            let class = CallClass::ALL[usize::from(class % 4)];
            door.second(class, "agency-1", RAN) == 0
        })
    }

    fn callers_who_leave_count_for_nothing(order: Vec<u8>) -> bool {
        let mut door = Door::new();
        let mut open = Vec::new();
        for code in order {
            let customer = format!("agency-{}", code % 4).parse().unwrap();
            let admitted = door.shedder.admit(&door.service, CallClass::Read, &customer);
            open.extend(admitted.ok());
        }
        for ticket in &open {
            door.shedder.finish(ticket, LoadSignal::Unknown);
        }
        door.level() == 0.0
    }
}

#[test]
fn only_the_class_that_is_refused_is_shed() {
    let mut door = Door::new();
    let mut shed = [0; 4];
    for _ in 0..10 {
        for class in CallClass::ALL {
            let refused = class == CallClass::Report;
            let sign = if refused { LoadSignal::Refused } else { RAN };
            shed[class.rank()] += door.second(class, "agency-1", sign);
        }
    }
    assert!(shed[0] > 400, "{shed:?}");
    assert_eq!(shed[1..], [0, 0, 0]);
    assert!((0.8..=0.9).contains(&door.level()), "{}", door.level());
}

#[test]
fn one_who_floods_is_shed_and_the_others_are_not() {
    let mut door = Door::new();
    let (mut flooding, mut modest) = (0, 0);
    for _ in 0..10 {
        // The gate takes one of five calls of the first, and all of the second.
        for _ in 0..4 {
            flooding += door.second(CallClass::Read, "agency-1", LoadSignal::Refused);
        }
        flooding += door.second(CallClass::Read, "agency-1", RAN);
        modest += door.second(CallClass::Read, "agency-2", RAN);
    }
    assert!(flooding > 1000, "{flooding}");
    assert_eq!(modest, 0);
}

#[test]
fn shedding_ends_soon_after_the_overload() {
    let mut door = Door::new();
    for _ in 0..20 {
        door.second(CallClass::Booking, "agency-1", LoadSignal::Refused);
    }
    let high = door.level();
    for _ in 0..8 {
        door.second(CallClass::Booking, "agency-1", RAN);
    }
    assert!(high > 0.85, "{high}");
    assert_eq!(door.second(CallClass::Booking, "agency-1", RAN), 0);
}

#[test]
fn counts_of_many_customers_are_bounded() {
    let mut door = Door::new();
    for number in 0..3000 {
        let customer = format!("customer-{number}");
        let name: CustomerName = customer.parse().unwrap();
        for _ in 0..5 {
            let admitted = door.shedder.admit(&door.service, CallClass::Read, &name);
            if let Ok(ticket) = admitted {
                door.shedder.finish(&ticket, LoadSignal::Refused);
            }
        }
    }
    // The first thousand are counted, the last is let through.
    assert!(door.second(CallClass::Read, "customer-5", LoadSignal::Refused) > 30);
    assert_eq!(
        door.second(CallClass::Read, "customer-2999", LoadSignal::Refused),
        0
    );
    door.clock.advance(Duration::from_secs(60));
    assert!(door.second(CallClass::Read, "customer-2999", LoadSignal::Refused) > 30);
}
