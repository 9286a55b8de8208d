//! Which calls are shed, and in which order.

use std::time::Duration;

use model::{CallClass, CustomerName, FakeClock, ServiceName};
use quetzal_limits::{LoadShedder, LoadSign};
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

    /// Sends calls of one class for a window, all with the same sign; counts those shed.
    fn window(&mut self, class: CallClass, customer: &str, sign: LoadSign) -> u32 {
        let customer: CustomerName = customer.parse().unwrap();
        let mut shed = 0;
        for _ in 0..20 {
            match self.shedder.admit(&self.service, class, &customer) {
                Ok(ticket) => self.shedder.finish(&ticket, sign),
                Err(refusal) => {
                    assert!(refusal.retry_after >= Duration::from_millis(100));
                    shed += 1;
                }
            }
        }
        self.clock.advance(Duration::from_millis(101));
        shed
    }

    fn level(&self) -> f32 {
        self.shedder.level(&self.service)
    }
}

quickcheck! {
    fn the_level_stays_in_its_range(signs: Vec<(u8, u8)>) -> bool {
        let mut door = Door::new();
        signs.into_iter().all(|(class, sign)| {
            let class = CallClass::ALL[usize::from(class % 4)];
            let sign = match sign % 4 {
                0 => LoadSign::Refused,
                1 => LoadSign::Ran(Duration::from_millis(u64::from(sign))),
                2 => LoadSign::Unknown,
                _ => LoadSign::Ran(Duration::ZERO),
            };
            door.window(class, "agency-1", sign);
            (0.0..=3.5).contains(&door.level())
        })
    }

    fn tickets_out_of_order_leave_nothing_behind(order: Vec<u8>) -> bool {
        let mut door = Door::new();
        let mut open = Vec::new();
        for code in order {
            if code % 3 == 0 && !open.is_empty() {
                let ticket = open.swap_remove(usize::from(code) % open.len());
                door.shedder.finish(&ticket, LoadSign::Unknown);
            } else {
                let customer = format!("agency-{}", code % 4).parse().unwrap();
                let admitted = door.shedder.admit(&door.service, CallClass::Read, &customer);
                open.extend(admitted.ok());
            }
        }
        for ticket in &open {
            door.shedder.finish(ticket, LoadSign::Unknown);
        }
        // Nothing in flight and no pressure seen: nothing is shed.
        door.window(CallClass::Report, "agency-0", LoadSign::Unknown) == 0
    }
}

#[test]
fn reports_are_shed_first_and_bookings_last() {
    let mut door = Door::new();
    for _ in 0..5 {
        door.window(CallClass::Booking, "agency-1", LoadSign::Refused);
    }
    assert!((1.0..=1.5).contains(&door.level()), "{}", door.level());
    let shed = |door: &mut Door, class| {
        let unknown = LoadSign::Unknown;
        door.window(class, "agency-1", unknown)
    };
    assert_eq!(shed(&mut door, CallClass::Report), 20);
    assert_eq!(shed(&mut door, CallClass::Upload), 0);
    assert_eq!(shed(&mut door, CallClass::Booking), 0);
}

#[test]
fn the_level_falls_when_the_pressure_is_over() {
    let mut door = Door::new();
    for _ in 0..10 {
        door.window(CallClass::Booking, "agency-1", LoadSign::Refused);
    }
    let high = door.level();
    for _ in 0..100 {
        door.window(
            CallClass::Booking,
            "agency-1",
            LoadSign::Ran(Duration::ZERO),
        );
    }
    assert!(high > 2.0 && door.level() < 0.1, "{high} {}", door.level());
    assert_eq!(
        door.window(CallClass::Report, "agency-1", LoadSign::Unknown),
        0
    );
}

#[test]
fn one_who_floods_is_shed_before_the_others() {
    let mut door = Door::new();
    for _ in 0..4 {
        door.window(CallClass::Booking, "agency-3", LoadSign::Refused);
    }
    let flooding: CustomerName = "agency-1".parse().unwrap();
    let modest: CustomerName = "agency-2".parse().unwrap();
    let upload = CallClass::Upload;
    let mut held = Vec::new();
    for _ in 0..30 {
        held.extend(door.shedder.admit(&door.service, upload, &flooding));
        held.truncate(30);
    }
    held.extend(door.shedder.admit(&door.service, upload, &modest));
    let mut count = |customer: &CustomerName| {
        let mut shed = 0;
        for _ in 0..200 {
            match door.shedder.admit(&door.service, CallClass::Read, customer) {
                Ok(ticket) => door.shedder.finish(&ticket, LoadSign::Unknown),
                Err(_) => shed += 1,
            }
        }
        shed
    };
    let (modest, flooding) = (count(&modest), count(&flooding));
    assert!(flooding > modest + 20, "{flooding} against {modest}");
}
