//! Load patterns at one target, and who gets its slots.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use members::ExecutionTimeLevel;
use model::{CallCount, ClockPort, ErrorKind, FakeClock};
use quetzal_mesh::gate::StartedCall;
use quetzal_mesh::{CallPriority, GateDecision, GateRequest, PriorityGate, RouteKey};
use route::CallId;
use support::ms;

/// One kind of request that arrives at a steady rate.
#[derive(Clone, Copy)]
struct Stream {
    name: &'static str,
    priority: u8,
    inner: bool,
    every: Duration,
    run: Duration,
    objective: Duration,
    deadline: Duration,
}

/// What became of a stream's requests.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    asked: u32,
    served: u32,
    in_time: u32,
    refused: u32,
    /// Longest wait of a request that was refused in the end.
    longest_held: Duration,
}

/// Plays the streams against one gate for `length`, a millisecond at a time.
fn play(slots: u32, streams: &[Stream], length: Duration) -> BTreeMap<&'static str, Tally> {
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(slots), Arc::new(clock.clone()));
    let mut tallies: BTreeMap<&str, Tally> = BTreeMap::new();
    let mut calls = BTreeMap::new();
    let mut ends = Vec::new();
    let started_at = clock.now();
    let mut next_call = 0;
    while clock.now() - started_at < length {
        let now = clock.now();
        let mut started: Vec<CallId> = Vec::new();
        let due: Vec<CallId> = ends
            .iter()
            .filter(|(at, _)| *at <= now)
            .map(|(_, call)| *call)
            .collect();
        ends.retain(|(at, _)| *at > now);
        for call in due {
            let (stream, since): (Stream, _) = calls.remove(&call).expect("it ran");
            let tally = tallies.entry(stream.name).or_default();
            tally.served += 1;
            tally.in_time += u32::from(now - since <= stream.objective);
            started.extend(starts(&gate.release(call, false)));
        }
        for call in gate.expire() {
            let (stream, since): (Stream, _) = calls.remove(&call).expect("it waited");
            let tally = tallies.entry(stream.name).or_default();
            tally.refused += 1;
            tally.longest_held = tally.longest_held.max(now - since);
        }
        for stream in streams {
            let elapsed = (now - started_at).as_micros();
            if !elapsed.is_multiple_of(stream.every.as_micros()) {
                continue;
            }
            next_call += 1;
            let call = CallId(next_call);
            let ticket = GateRequest {
                call,
                route: RouteKey::of(stream.name),
                priority: CallPriority(stream.priority),
                inner: stream.inner,
                objective: now + stream.objective,
                deadline: now + stream.deadline,
            };
            let tally = tallies.entry(stream.name).or_default();
            tally.asked += 1;
            match gate.admit(&ticket) {
                GateDecision::Start => {
                    calls.insert(call, (*stream, now));
                    started.push(call);
                }
                GateDecision::Wait => {
                    calls.insert(call, (*stream, now));
                }
                GateDecision::Refuse { .. } => tally.refused += 1,
            }
        }
        for call in started {
            let (stream, _) = calls[&call];
            ends.push((now + stream.run, call));
        }
        clock.advance(ms(1));
    }
    tallies
}

fn starts(list: &[StartedCall]) -> Vec<CallId> {
    list.iter().map(|start| start.call).collect()
}

/// The request `number` of a route with its rank, with milliseconds until its objective and
/// its deadline.
fn ticket_at(
    clock: &FakeClock,
    number: u64,
    (route, priority): (&str, u8),
    (objective, deadline): (u64, u64),
) -> GateRequest {
    GateRequest {
        call: CallId(number),
        route: RouteKey::of(route),
        priority: CallPriority(priority),
        inner: false,
        objective: clock.now() + ms(objective),
        deadline: clock.now() + ms(deadline),
    }
}

fn stream(name: &'static str, priority: u8, every: u64, run: u64, aim: u64, limit: u64) -> Stream {
    Stream {
        name,
        priority,
        inner: false,
        every: ms(every),
        run: ms(run),
        objective: ms(aim),
        deadline: ms(limit),
    }
}

#[test]
fn short_status_checks_are_served_beside_a_flood_of_uploads() {
    // Uploads alone ask for more than the slots; they can wait, status checks can't.
    let streams = [
        stream("upload", 1, 10, 72, 300, 1200),
        stream("status", 1, 10, 24, 100, 400),
    ];
    let tallies = play(8, &streams, ms(10_000));
    let status = tallies["status"];
    assert!(status.in_time * 100 >= status.asked * 95, "{status:?}");
    let upload = tallies["upload"];
    assert!(upload.served * 100 >= upload.asked * 60, "{upload:?}");
}

#[test]
fn calls_of_running_requests_are_served_in_an_overload_of_new_ones() {
    let mut calls = stream("lookup", 1, 5, 15, 60, 200);
    calls.inner = true;
    let streams = [calls, stream("booking", 0, 10, 100, 250, 1000)];
    let tallies = play(9, &streams, ms(10_000));
    let lookup = tallies["lookup"];
    assert!(lookup.served * 100 >= lookup.asked * 98, "{lookup:?}");
}

#[test]
fn what_an_overloaded_target_serves_it_serves_soon_after_the_objective() {
    // Twice as much work as slots: about half can be served, none far too late.
    let streams = [stream("browse", 2, 5, 80, 200, 800)];
    let tallies = play(8, &streams, ms(10_000));
    let browse = tallies["browse"];
    assert!(browse.served * 100 >= browse.asked * 45, "{browse:?}");
    assert!(browse.longest_held <= ms(350), "{browse:?}");
}

#[test]
fn more_urgent_requests_take_the_slots_of_an_overloaded_target() {
    let streams = [
        stream("browse", 2, 5, 60, 200, 800),
        stream("booking", 1, 12, 78, 250, 1000),
    ];
    let tallies = play(8, &streams, ms(10_000));
    let (booking, browse) = (tallies["booking"], tallies["browse"]);
    assert!(booking.served * 100 >= booking.asked * 97, "{booking:?}");
    assert!(browse.served > 0, "{browse:?}");
}

#[test]
fn a_gate_that_is_full_for_one_kind_takes_a_more_urgent_one() {
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(1), Arc::new(clock.clone()));
    let ticket =
        |number, name: &str, priority| ticket_at(&clock, number, (name, priority), (200, 400));
    let mut refused = 0;
    for number in 0..10 {
        if let GateDecision::Refuse { .. } = gate.admit(&ticket(number, "browse", 2)) {
            refused += 1;
        }
    }
    assert!(refused > 0);
    assert_eq!(gate.admit(&ticket(100, "booking", 1)), GateDecision::Wait);
    let started = gate.release(CallId(0), false);
    assert_eq!(starts(&started), [CallId(100)]);
}

#[test]
fn a_draining_gate_refuses_those_who_wait_and_new_ones() {
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(1), Arc::new(clock.clone()));
    let ticket = |number| ticket_at(&clock, number, ("browse", 0), (500, 800));
    assert_eq!(gate.admit(&ticket(1)), GateDecision::Start);
    assert_eq!(gate.admit(&ticket(2)), GateDecision::Wait);
    assert_eq!(gate.drain(), [CallId(2)]);
    let GateDecision::Refuse { kind, .. } = gate.admit(&ticket(3)) else {
        panic!("a draining gate admitted a request");
    };
    assert_eq!(kind, ErrorKind::Draining);
    assert!(!gate.is_idle(), "what runs goes on");
    gate.release(CallId(1), false);
    assert!(gate.is_idle());
}

#[test]
fn a_cancelled_request_gives_its_slot_to_the_next() {
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(1), Arc::new(clock.clone()));
    let ticket = |number| ticket_at(&clock, number, ("browse", 0), (500, 800));
    gate.admit(&ticket(1));
    gate.admit(&ticket(2));
    gate.admit(&ticket(3));
    assert!(gate.cancel(CallId(2)).is_empty());
    assert_eq!(starts(&gate.cancel(CallId(1))), [CallId(3)]);
}

#[test]
fn a_target_that_slows_down_is_noticed_by_runs_that_were_cut() {
    // Runs of 10 ms take longer than their callers wait, so none ends well any more.
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(1), Arc::new(clock.clone()));
    let mut run = |numbers: std::ops::Range<u64>, time: u64, cut: bool| {
        for number in numbers {
            let ticket = ticket_at(&clock, number, ("browse", 0), (500, 800));
            assert_eq!(gate.admit(&ticket), GateDecision::Start);
            clock.advance(ms(time));
            if cut {
                gate.cancel(ticket.call);
            } else {
                gate.release(ticket.call, false);
            }
        }
        gate.mean_run_time().expect("runs have ended")
    };
    let before = run(0..100, 10, false);
    assert_eq!(run(100..120, 2, true), before, "short cuts say nothing");
    let after = run(120..130, 90, true);
    assert!(after > before * 4, "{before:?} to {after:?}");
}

#[test]
fn a_target_that_hangs_takes_nobody_in_to_wait() {
    // Pattern: a target turns twelve times slower while all its slots are taken.
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(4), Arc::new(clock.clone()));
    let ticket = |number| ticket_at(&clock, number, ("browse", 0), (1500, 6000));
    for number in 0..40 {
        gate.admit(&ticket(number));
        clock.advance(ms(400));
        gate.release(CallId(number), false);
    }
    let usual = gate.mean_run_time().expect("runs have ended");
    for number in 100..104 {
        assert_eq!(gate.admit(&ticket(number)), GateDecision::Start);
    }
    clock.advance(ms(300));
    assert_eq!(gate.mean_run_time(), Some(usual), "nothing is late yet");
    assert_eq!(gate.admit(&ticket(104)), GateDecision::Wait);
    clock.advance(ms(1300));
    let told = gate.mean_run_time().expect("runs have ended");
    assert!(told > usual * 3, "{usual:?} to {told:?}");
    let answer = gate.admit(&ticket(105));
    assert!(matches!(answer, GateDecision::Refuse { .. }), "{answer:?}");
}

#[test]
fn runs_of_different_lengths_leave_the_told_time_as_it_is() {
    // Pattern: a target of a large fleet runs requests of three kinds. Each change of the
    // time that it tells goes to all daemons.
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(1), Arc::new(clock.clone()));
    let mut level = ExecutionTimeLevel::default();
    let mut changes = 0;
    for number in 0..2000_u64 {
        let ticket = ticket_at(&clock, number, ("browse", 0), (5000, 8000));
        assert_eq!(gate.admit(&ticket), GateDecision::Start);
        // Lengths of 20 to 1220 ms in no order.
        clock.advance(ms(20 + number * 7919 % 1201));
        gate.release(ticket.call, false);
        if let Some(run) = gate.mean_run_time() {
            let next = level.adjusted_to(run);
            changes += u32::from(next != level);
            level = next;
        }
    }
    assert!(changes <= 3, "{changes} changes in 2000 runs");
}

#[test]
fn a_refused_request_is_told_to_return_while_it_can_still_meet_its_objective() {
    // Pattern: bookings keep a target busy; browsing is refused for much longer than its
    // objective lasts.
    let clock = FakeClock::new();
    let mut gate = PriorityGate::new(CallCount(2), Arc::new(clock.clone()));
    let ticket =
        |number, name: &str, priority| ticket_at(&clock, number, (name, priority), (400, 1500));
    for number in 0..20 {
        gate.admit(&ticket(number, "booking", 1));
        clock.advance(ms(120));
        gate.release(CallId(number), false);
    }
    for number in 100..120 {
        gate.admit(&ticket(number, "booking", 1));
    }
    let GateDecision::Refuse { retry_after, .. } = gate.admit(&ticket(200, "browse", 2)) else {
        panic!("a full gate admitted a request");
    };
    // A run takes 120 ms, so it must start within 280 ms.
    assert!(retry_after <= ms(140), "{retry_after:?}");
    assert!(retry_after >= ms(30), "{retry_after:?}");
}
