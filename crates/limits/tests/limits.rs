//! Limits across several daemons, with messages delayed, reordered and lost.

use std::time::Duration;

use model::{CallCount, CallRate, DaemonId, ErrorKind, FakeClock};
use quetzal_limits::{
    LimitGate, LimitKey, LimitMessage, LimitOutput, LimitTicket, PlanLimit, TICK_INTERVAL,
};
use quickcheck::quickcheck;

const LIMIT: PlanLimit = PlanLimit {
    rate: CallRate(50.0),
    concurrency: CallCount(10),
};

struct Fleet {
    clock: FakeClock,
    ids: Vec<DaemonId>,
    gates: Vec<LimitGate>,
    in_transit: Vec<(DaemonId, LimitOutput)>,
}

impl Fleet {
    fn new(count: u64) -> Self {
        let clock = FakeClock::new();
        let ids: Vec<DaemonId> = (0..count).map(DaemonId).collect();
        let mut gates: Vec<LimitGate> = Vec::new();
        for id in &ids {
            let mut gate = LimitGate::new(*id, clock.shared());
            gate.set_members(&ids);
            gates.push(gate);
        }
        clock.advance(Duration::from_secs(10));
        Self {
            clock,
            ids,
            gates,
            in_transit: Vec::new(),
        }
    }

    fn admit(&mut self, index: usize) -> Result<LimitTicket, ErrorKind> {
        let customer = "agency-1".parse().unwrap();
        let service = "catalog".parse().unwrap();
        let admitted = self.gates[index].admit(&customer, &service, LIMIT);
        let outputs = self.gates[index].report_new_keys();
        self.send(index, outputs);
        admitted.map_err(|refusal| refusal.kind)
    }

    fn send(&mut self, index: usize, outputs: Vec<LimitOutput>) {
        let from = self.ids[index];
        self.in_transit
            .extend(outputs.into_iter().map(|output| (from, output)));
    }

    fn tick(&mut self) {
        self.clock.advance(TICK_INTERVAL);
        for index in 0..self.gates.len() {
            let outputs = self.gates[index].on_tick();
            self.send(index, outputs);
        }
    }

    /// Delivers the pending messages, except those for which `lost` returns true.
    fn deliver(&mut self, lost: impl Fn(DaemonId, DaemonId) -> bool) {
        while let Some((from, LimitOutput::Send { to, message })) = self.in_transit.pop() {
            if lost(from, to) {
                continue;
            }
            let index = to.0 as usize;
            let outputs = self.gates[index].on_message(from, message);
            self.send(index, outputs);
        }
    }

    /// Sends `calls[i]` calls to daemon `i` per tick; returns the number of admitted calls.
    fn offer(&mut self, ticks: u32, calls: &[u32]) -> Vec<u32> {
        let mut admitted = vec![0; calls.len()];
        for _ in 0..ticks {
            for (index, count) in calls.iter().enumerate() {
                for _ in 0..*count {
                    if let Ok(ticket) = self.admit(index) {
                        admitted[index] += 1;
                        self.gates[index].release(ticket);
                    }
                    self.deliver(|_, _| false);
                }
            }
            self.tick();
            self.deliver(|_, _| false);
        }
        admitted
    }
}

quickcheck! {
    fn concurrency_is_limited_and_state_is_released(actions: Vec<u8>) -> bool {
        let mut fleet = Fleet::new(3);
        let mut open: Vec<(usize, LimitTicket)> = Vec::new();
        for action in actions {
            let index = usize::from(action % 3);
            match action / 3 % 6 {
                0..=2 => open.extend(fleet.admit(index).ok().map(|ticket| (index, ticket))),
                3 if !open.is_empty() => {
                    let (index, ticket) = open.remove(0);
                    fleet.gates[index].release(ticket);
                }
                4 => fleet.deliver(|from, to| (from.0 + to.0 + u64::from(action)) % 5 == 0),
                _ => fleet.tick(),
            }
            let open_counts = (0..3).map(|index| open.iter().filter(|(daemon, _)| *daemon == index).count());
            if open_counts.max() > Some(LIMIT.concurrency.0 as usize) {
                return false;
            }
        }
        for (index, ticket) in open {
            fleet.gates[index].release(ticket);
        }
        fleet.in_transit.clear();
        // Once every call has ended and every key has expired, no state is left.
        for _ in 0..2000 {
            fleet.tick();
            fleet.deliver(|_, _| false);
        }
        fleet.gates.iter().all(|gate| gate.local_keys() == 0 && gate.coordinated_shares() == 0)
    }

    fn single_daemon_enforces_the_rate(bursts: Vec<u8>) -> bool {
        let mut fleet = Fleet::new(1);
        let seconds = bursts.len() as f64 / 10.0;
        let mut admitted = 0.0;
        for burst in bursts {
            for _ in 0..burst {
                if let Ok(ticket) = fleet.admit(0) {
                    admitted += 1.0;
                    fleet.gates[0].release(ticket);
                }
            }
            fleet.tick();
        }
        // The rate, and a burst of one second of it.
        admitted <= LIMIT.rate.0 * (seconds + 1.0) + 1.0
    }

    fn grants_from_peers_cannot_exceed_the_plan(entries: Vec<(u64, u32, u32)>) -> bool {
        let mut fleet = Fleet::new(2);
        fleet.offer(20, &[2, 2]);
        let key = LimitKey::new(&"agency-1".parse().unwrap(), &"catalog".parse().unwrap());
        let grant = |(_, rate, interval_ms): &(u64, u32, u32)| quetzal_limits::message::ShareGrant {
            key,
            rate: quetzal_limits::message::Thousandths(*rate),
            calls: quetzal_limits::message::Thousandths(u32::MAX),
            interval_ms: interval_ms % 10_000,
        };
        let grants = LimitMessage::Grant(entries.iter().map(grant).collect());
        fleet.gates[0].on_message(DaemonId(1), grants);
        let mut admitted = 0.0;
        for _ in 0..300 {
            admitted += f64::from(u8::from(fleet.admit(0).is_ok()));
        }
        // A share above the plan's limit is cut to the limit; no admitted call is released.
        admitted <= f64::from(LIMIT.concurrency.0)
    }
}

#[test]
fn shares_follow_demand() {
    let mut fleet = Fleet::new(5);
    let settling = fleet.offer(100, &[9, 3, 0, 0, 0]);
    let admitted = fleet.offer(100, &[9, 3, 0, 0, 0]);
    let total: u32 = admitted.iter().sum();
    assert!((475..=525).contains(&total), "{settling:?} {admitted:?}");
    assert!(admitted[0] > admitted[1] * 2, "{admitted:?}");
}

#[test]
fn share_follows_a_customer_to_another_daemon_within_a_second() {
    let mut fleet = Fleet::new(5);
    fleet.offer(100, &[4, 0, 0, 0, 0]);
    fleet.offer(10, &[0, 0, 0, 4, 0]);
    let admitted = fleet.offer(20, &[0, 0, 0, 4, 0]);
    assert!(admitted[3] >= 76, "{admitted:?}");
}

#[test]
fn falls_back_to_an_equal_part_without_a_coordinator() {
    let mut fleet = Fleet::new(5);
    let mut admitted = 0;
    for _ in 0..200 {
        for _ in 0..5 {
            if let Ok(ticket) = fleet.admit(0) {
                admitted += 1;
                fleet.gates[0].release(ticket);
            }
        }
        fleet.in_transit.clear();
        fleet.tick();
    }
    let key = LimitKey::new(&"agency-1".parse().unwrap(), &"catalog".parse().unwrap());
    assert_ne!(key.coordinator(&fleet.ids), Some(fleet.ids[0]));
    // A fifth of 50 calls per second for 20 s, and the initial credit of a new key.
    assert!((195..=215).contains(&admitted), "{admitted}");
}

#[test]
fn demand_is_reported_again_to_a_restarted_coordinator() {
    let mut fleet = Fleet::new(5);
    fleet.offer(100, &[9, 9, 0, 0, 0]);
    let key = LimitKey::new(&"agency-1".parse().unwrap(), &"catalog".parse().unwrap());
    let coordinator = key.coordinator(&fleet.ids).unwrap().0 as usize;
    assert!(fleet.gates[coordinator].coordinated_shares() == 2);
    fleet.gates[coordinator] = LimitGate::new(DaemonId(coordinator as u64), fleet.clock.shared());
    fleet.gates[coordinator].set_members(&fleet.ids);
    fleet.offer(30, &[9, 9, 0, 0, 0]);
    assert!(fleet.gates[coordinator].coordinated_shares() >= 2);
    let admitted = fleet.offer(50, &[9, 9, 0, 0, 0]);
    let total: u32 = admitted.iter().sum();
    assert!((225..=275).contains(&total), "{admitted:?}");
}

#[test]
fn share_of_a_departed_member_is_released() {
    let mut fleet = Fleet::new(5);
    fleet.offer(100, &[9, 9, 0, 0, 0]);
    let remaining: Vec<DaemonId> = fleet.ids[1..].to_vec();
    for gate in &mut fleet.gates[1..] {
        gate.set_members(&remaining);
    }
    let departed = fleet.gates.remove(0);
    drop(departed);
    fleet.ids.remove(0);
    // The gates' indices no longer match their ids, so deliver by id.
    let mut admitted = 0;
    for _ in 0..100 {
        for _ in 0..9 {
            if let Ok(ticket) = fleet.admit(0) {
                admitted += 1;
                fleet.gates[0].release(ticket);
            }
        }
        fleet.tick();
        while let Some((from, LimitOutput::Send { to, message })) = fleet.in_transit.pop() {
            let Some(index) = fleet.ids.iter().position(|id| *id == to) else {
                continue;
            };
            let outputs = fleet.gates[index].on_message(from, message);
            fleet.send(index, outputs);
        }
    }
    assert!((400..=560).contains(&admitted), "{admitted}");
}

#[test]
fn refusal_gives_a_usable_retry_delay() {
    let fleet = Fleet::new(1);
    let mut gate = LimitGate::new(DaemonId(0), fleet.clock.shared());
    let customer = "agency-1".parse().unwrap();
    let service = "catalog".parse().unwrap();
    let refusal = (0..200)
        .find_map(|_| {
            let admitted = gate.admit(&customer, &service, LIMIT);
            admitted.map(|ticket| gate.release(ticket)).err()
        })
        .unwrap();
    assert_eq!(refusal.kind, ErrorKind::RateExceeded);
    fleet
        .clock
        .advance(refusal.retry_after + Duration::from_millis(1));
    assert!(gate.admit(&customer, &service, LIMIT).is_ok());
}
