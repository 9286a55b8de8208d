//! Tests which calls are shed, by class and by customer.

use std::time::Duration;

use model::{CallClass, CustomerName, FakeClock, ServiceName};
use quetzal_limits::{LoadShedder, LoadSignal};
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// A load shedder in front of one service, with the clock that it reads.
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

    /// Sends 50 calls within a second, all with the same outcome; returns how many were shed.
    fn send_for_a_second(&mut self, class: CallClass, customer: &str, signal: LoadSignal) -> u32 {
        let customer: CustomerName = customer.parse().unwrap();
        let mut shed = 0;
        for _ in 0..50 {
            match self.shedder.admit(&self.service, class, &customer) {
                Ok(ticket) => self.shedder.finish(&ticket, signal),
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
    fn level_stays_in_range(signals: Vec<(u8, u8)>) -> bool {
        let mut door = Door::new();
        signals.into_iter().all(|(class, signal)| {
            let class = CallClass::ALL[usize::from(class % 4)];
            let signal = [RAN, LoadSignal::Refused, LoadSignal::Unknown][usize::from(signal % 3)];
            door.send_for_a_second(class, "agency-1", signal);
            // Four classes, each shed by at most 0.9.
            (0.0..=3.6).contains(&door.level())
        })
    }

    fn calls_that_run_are_never_shed(classes: Vec<u8>) -> bool {
        let mut door = Door::new();
        classes.into_iter().all(|class| {
            let class = CallClass::ALL[usize::from(class % 4)];
            door.send_for_a_second(class, "agency-1", RAN) == 0
        })
    }

    fn cancelled_calls_are_not_counted(codes: Vec<u8>) -> bool {
        let mut door = Door::new();
        let mut open = Vec::new();
        for code in codes {
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
            let signal = if refused { LoadSignal::Refused } else { RAN };
            shed[class.rank()] += door.send_for_a_second(class, "agency-1", signal);
        }
    }
    assert!(shed[0] > 400, "{shed:?}");
    assert_eq!(shed[1..], [0, 0, 0]);
    assert!((0.8..=0.9).contains(&door.level()), "{}", door.level());
}

#[test]
fn only_the_flooding_customer_is_shed() {
    let mut door = Door::new();
    let (mut flooding, mut normal) = (0, 0);
    for _ in 0..10 {
        // The gate accepts one in five calls of the first customer, and all of the second.
        for _ in 0..4 {
            flooding += door.send_for_a_second(CallClass::Read, "agency-1", LoadSignal::Refused);
        }
        flooding += door.send_for_a_second(CallClass::Read, "agency-1", RAN);
        normal += door.send_for_a_second(CallClass::Read, "agency-2", RAN);
    }
    assert!(flooding > 1000, "{flooding}");
    assert_eq!(normal, 0);
}

#[test]
fn shedding_stops_after_the_overload() {
    let mut door = Door::new();
    for _ in 0..20 {
        door.send_for_a_second(CallClass::Booking, "agency-1", LoadSignal::Refused);
    }
    let overloaded_level = door.level();
    for _ in 0..8 {
        door.send_for_a_second(CallClass::Booking, "agency-1", RAN);
    }
    assert!(overloaded_level > 0.85, "{overloaded_level}");
    assert_eq!(
        door.send_for_a_second(CallClass::Booking, "agency-1", RAN),
        0
    );
}

#[test]
fn number_of_tracked_customers_is_bounded() {
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
    // The first thousand customers are tracked; calls of the last one are admitted.
    assert!(door.send_for_a_second(CallClass::Read, "customer-5", LoadSignal::Refused) > 30);
    assert_eq!(
        door.send_for_a_second(CallClass::Read, "customer-2999", LoadSignal::Refused),
        0
    );
    door.clock.advance(Duration::from_secs(60));
    assert!(door.send_for_a_second(CallClass::Read, "customer-2999", LoadSignal::Refused) > 30);
}
