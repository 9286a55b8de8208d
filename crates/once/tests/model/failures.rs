//! One test for each failure under which calls must still run at most once.

use crate::once::home::CloseVerdict;
use crate::once::{CallKey, RunProof};
use model::ErrorKind;

use crate::world::{CallAnswer, World};

const NODES: usize = 5;

fn runs(world: &World, key: &CallKey) -> u32 {
    let digest = crate::world::call_of(key).digest;
    world.ledger.runs.get(&digest).copied().unwrap_or_default()
}

fn kind(answer: Option<&CallAnswer>) -> Option<ErrorKind> {
    answer.and_then(CallAnswer::kind)
}

fn is_answered(answer: Option<&CallAnswer>) -> bool {
    matches!(answer, Some(CallAnswer::Answered(_)))
}

/// Returns a new key and its home, whose pool then holds permits of every target.
fn warm_key(world: &mut World) -> (CallKey, usize) {
    let key = world.timed_key(0);
    let home = world.home_of(0, &key).expect("every range has a home");
    for _ in 0..NODES * 2 {
        let other = world.issue(home).expect("the home issues keys");
        world.send(home, &CallKey::Issued(other));
    }
    world.run_ms(400);
    (key, home)
}

#[test]
fn home_paused_between_check_and_dispatch_runs_nothing_late() {
    let mut world = World::settled(1, NODES);
    let (key, home) = warm_key(&mut world);
    let attempt = world.send(home, &key);
    // After one step the home has decided, but its dispatch has not been sent.
    world.run_ms(crate::world::STEP_MS);
    world.pause(home, 3500, false);
    world.run_ms(6000);
    assert_eq!(runs(&world, &key), 0);
    let answer = world.ledger.answer(attempt);
    assert_eq!(
        answer.and_then(|answer| answer.proof()),
        Some(RunProof::NotRun)
    );
    // The home that took the range over cannot know that and does not run the key either.
    let successor = world.home_of((home + 1) % NODES, &key);
    assert_ne!(successor, Some(home));
    let again = world.call((home + 1) % NODES, &key);
    assert_eq!(kind(again.as_ref()), Some(ErrorKind::KeyUnknown));
}

#[test]
fn two_homes_at_once_run_a_key_once() {
    for clock_stops in [false, true] {
        let mut world = World::settled(2, NODES);
        let (_, home) = warm_key(&mut world);
        world.pause(home, 4000, clock_stops);
        world.run_ms(3900);
        // The paused home resumes without access to the log and still considers its lease valid.
        world.log.unreachable.insert(home);
        world.run_ms(200);
        for ahead in [-300, 0, 300, 900, 1800] {
            let key = world.timed_key(ahead);
            world.send(home, &key);
            world.send((home + 1) % NODES, &key);
            world.run_ms(200);
        }
        world.run_ms(3000);
        assert!(world.ledger.runs.values().all(|runs| *runs == 1));
    }
}

#[test]
fn target_that_dies_before_its_answer_leaves_the_outcome_unknown() {
    let mut world = World::settled(3, NODES);
    for node in &mut world.nodes {
        node.loses_answers = true;
    }
    let key = world.timed_key(0);
    let attempt = world.send(0, &key);
    world.run_ms(6000);
    let first = world.ledger.answer(attempt);
    assert_eq!(kind(first.as_ref()), Some(ErrorKind::OutcomeUnknown));
    for proxy in 0..NODES {
        let again = world.call(proxy, &key);
        assert_eq!(kind(again.as_ref()), Some(ErrorKind::OutcomeUnknown));
    }
    assert_eq!(runs(&world, &key), 1);
}

#[test]
fn lost_answer_is_replayed_through_another_proxy() {
    let mut world = World::settled(4, NODES);
    let (key, home) = warm_key(&mut world);
    for node in &mut world.nodes {
        node.target_ms = 500;
    }
    // The target of the call must not be beside the daemon that is cut off.
    let proxy = (world.next_target() + 1) % NODES;
    let home = (home != proxy)
        .then_some(home)
        .expect("the seed places the home on another node");
    let attempt = world.send(proxy, &key);
    world.run_ms(300);
    world.cuts.push((home, proxy));
    world.run_ms(2000);
    assert_eq!(world.ledger.answer(attempt), None);
    assert_eq!(runs(&world, &key), 1);
    let first = world.call((proxy + 1) % NODES, &key);
    assert!(is_answered(first.as_ref()));
    let second = world.call((proxy + 2) % NODES, &key);
    assert_eq!(first, second);
}

#[test]
fn simultaneous_restart_of_all_homes_runs_nothing_again() {
    let mut world = World::settled(5, NODES);
    let timed = world.timed_key(0);
    let untimed = world.untimed_key();
    let issued = CallKey::Issued(world.issue(2).expect("the home issues keys"));
    for key in [&timed, &untimed, &issued] {
        assert!(is_answered(world.call(0, key).as_ref()));
    }
    for node in 0..NODES {
        world.restart(node);
    }
    world.run_ms(8000);
    let kinds = [&timed, &untimed, &issued].map(|key| kind(world.call(1, key).as_ref()));
    let expected = [
        ErrorKind::KeyUnknown,
        ErrorKind::KeyUnknown,
        ErrorKind::KeyClosed,
    ];
    assert_eq!(kinds, expected.map(Some));
    // New timed keys run at once, untimed ones only after the window.
    let fresh = world.timed_key(0);
    assert!(is_answered(world.call(1, &fresh).as_ref()));
    let fresh = world.untimed_key();
    assert_eq!(
        kind(world.call(1, &fresh).as_ref()),
        Some(ErrorKind::KeyUnknown)
    );
    world.run_ms(22_000);
    assert!(is_answered(world.call(1, &fresh).as_ref()));
}

#[test]
fn calls_of_skewed_clocks_are_refused_or_served_but_never_run_twice() {
    let mut world = World::settled(6, NODES);
    let early = world.timed_key(8000);
    assert_eq!(
        kind(world.call(0, &early).as_ref()),
        Some(ErrorKind::KeyEarly)
    );
    world.run_ms(8000);
    assert!(is_answered(world.call(0, &early).as_ref()));
    let stale = world.timed_key(-60_000);
    world.run_ms(1000);
    assert_eq!(
        kind(world.call(0, &stale).as_ref()),
        Some(ErrorKind::KeyUnknown)
    );
    let late = world.timed_key(-5000);
    assert!(is_answered(world.call(0, &late).as_ref()));
}

#[test]
fn planned_stop_hands_every_key_over() {
    let mut world = World::settled(7, NODES);
    let (timed, home) = warm_key(&mut world);
    let issued = CallKey::Issued(world.issue(home).expect("the home issues keys"));
    let unused = CallKey::Issued(world.issue(home).expect("the home issues keys"));
    let mut keys = vec![timed, issued];
    while keys.len() < 20 {
        let key = world.untimed_key();
        if world.home_of(0, &key) == Some(home) {
            keys.push(key);
        }
    }
    let proxy = (home + 1) % NODES;
    let firsts = world.call_all(proxy, &keys);
    assert!(firsts.iter().all(|answer| is_answered(answer.as_ref())));
    // One call is still running when the home leaves.
    for node in &mut world.nodes {
        node.target_ms = 1500;
    }
    let running = loop {
        let key = world.untimed_key();
        if world.home_of(0, &key) == Some(home) {
            break key;
        }
    };
    let attempt = world.send(proxy, &running);
    world.run_ms(200);
    world.leave(home);
    world.run_ms(4000);
    assert!(!world.nodes[home].alive);
    let first = world.ledger.answer(attempt);
    assert!(is_answered(first.as_ref()));
    for node in &mut world.nodes {
        node.target_ms = 60;
    }
    assert_eq!(world.call(proxy, &running), first);
    assert_eq!(world.call_all(proxy, &keys), firsts);
    assert!(is_answered(world.call(proxy, &unused).as_ref()));
    let fresh: Vec<CallKey> = (0..20).map(|_| world.untimed_key()).collect();
    let answers = world.call_all(proxy, &fresh);
    assert!(answers.iter().all(|answer| is_answered(answer.as_ref())));
    assert_eq!(world.ledger.refusals.get(&ErrorKind::KeyUnknown), None);
    assert_eq!(world.ledger.refusals.get(&ErrorKind::KeyClosed), None);
}

#[test]
fn rolling_restart_of_every_daemon_loses_no_key() {
    let mut world = World::settled(13, NODES);
    let mut keys: Vec<CallKey> = Vec::new();
    let mut firsts = Vec::new();
    for node in 0..NODES {
        let proxy = (node + 1) % NODES;
        let issued = CallKey::Issued(world.issue(node).expect("the home issues keys"));
        let fresh = vec![world.timed_key(0), world.untimed_key(), issued];
        firsts.extend(world.call_all(proxy, &fresh));
        keys.extend(fresh);
        world.leave(node);
        while world.nodes[node].alive {
            // Callers continue to send while the daemon leaves.
            let key = world.timed_key(0);
            world.send(proxy, &key);
            world.run_ms(100);
        }
        world.restart(node);
        world.run_ms(500);
        // The keys of the last two daemons are well within the window.
        let recent = keys.len().saturating_sub(6);
        let again = world.call_all(node, &keys[recent..]);
        assert_eq!(again, firsts[recent..], "after daemon {node}");
    }
    assert!(firsts.iter().all(|answer| is_answered(answer.as_ref())));
    for kind in [
        ErrorKind::KeyUnknown,
        ErrorKind::KeyClosed,
        ErrorKind::OutcomeUnknown,
    ] {
        assert_eq!(world.ledger.refusals.get(&kind), None, "{kind}");
    }
}

#[test]
fn log_outage_stops_fresh_callers_keys_and_nothing_else() {
    let mut world = World::settled(8, NODES);
    let before = world.timed_key(0);
    let first = world.call(0, &before);
    world.log.outage = true;
    let early = world.timed_key(0);
    assert!(is_answered(world.call(1, &early).as_ref()));
    world.run_ms(6000);
    let fresh = world.timed_key(0);
    let refused = world.call(1, &fresh);
    assert_eq!(kind(refused.as_ref()), Some(ErrorKind::HomeUnavailable));
    assert_eq!(world.call(2, &before), first);
    let issued = CallKey::Issued(world.issue(3).expect("the home issues keys"));
    assert!(is_answered(world.call(1, &issued).as_ref()));
    world.log.outage = false;
    world.run_ms(3000);
    // The refused call did not run, so the same key runs now.
    assert_eq!(runs(&world, &fresh), 0);
    assert!(is_answered(world.call(1, &fresh).as_ref()));
}

#[test]
fn partition_leaves_one_side_serving() {
    let mut world = World::settled(9, 6);
    for left in 0..3 {
        world.nodes[left].reachable = Some(vec![0, 1, 2]);
        world.nodes[left + 3].reachable = Some(vec![3, 4, 5]);
        world.log.unreachable.insert(left);
        for right in 3..6 {
            world.cuts.push((left, right));
        }
    }
    world.run_ms(8000);
    let key = world.timed_key(0);
    let cut_off = world.call(0, &key);
    assert_eq!(kind(cut_off.as_ref()), Some(ErrorKind::HomeUnavailable));
    assert!(is_answered(world.call(4, &key).as_ref()));
    let issued = CallKey::Issued(world.issue(1).expect("the home issues keys"));
    assert!(is_answered(world.call(1, &issued).as_ref()));
    world.cuts.clear();
    world.log.unreachable.clear();
    for node in &mut world.nodes {
        node.reachable = None;
    }
    world.run_ms(4000);
    let healed = world.call(0, &key);
    assert!(is_answered(healed.as_ref()));
    assert_eq!(runs(&world, &key), 1);
}

#[test]
fn closed_key_never_runs() {
    let mut world = World::settled(10, NODES);
    let (key, home) = warm_key(&mut world);
    assert_eq!(world.close(home, &key), CloseVerdict::NeverRan);
    let refused = world.call(0, &key);
    assert_eq!(kind(refused.as_ref()), Some(ErrorKind::KeyWithdrawn));
    let (ran, home) = warm_key(&mut world);
    assert!(is_answered(world.call(0, &ran).as_ref()));
    assert_eq!(world.close(home, &ran), CloseVerdict::Ran(201));
}

#[test]
fn daemon_that_starts_after_records_expired_learns_the_terms() {
    let mut world = World::settled(11, NODES);
    world.run_ms(10_000);
    world.kill(4);
    let now = world.now;
    world.log.expire(now, 6000);
    world.restart(4);
    world.run_ms(8000);
    let next = world.nodes[0].keeper.table().next();
    let newcomer = world.nodes[4].keeper.table();
    assert!(newcomer.is_known());
    assert!(newcomer.next() <= next.next());
    let views = world
        .nodes
        .iter()
        .map(|node| node.router.view().rows.to_vec());
    let views: Vec<_> = views.collect();
    assert!(views.iter().all(|rows| *rows == views[0]));
}

#[test]
fn lease_table_is_reset_when_every_record_has_expired() {
    let mut world = World::settled(12, NODES);
    let key = world.timed_key(0);
    assert!(is_answered(world.call(0, &key).as_ref()));
    for node in 0..NODES {
        world.kill(node);
    }
    world.run_ms(10_000);
    let now = world.now;
    world.log.expire(now, 1);
    assert!(world.log.records.is_empty());
    for node in 0..NODES {
        world.restart(node);
    }
    world.run_ms(50_000);
    let fresh = world.timed_key(0);
    assert!(is_answered(world.call(0, &fresh).as_ref()));
    assert_eq!(
        kind(world.call(0, &key).as_ref()),
        Some(ErrorKind::KeyUnknown)
    );
}
