//! Faults that affect many daemons: slow links, a lost domain, a partition, a restart of the fleet.

use std::time::Duration;

use quetzal_members::{MemberNode, MemberState};
use rand::Rng;

use crate::figure::{Figure, figure};
use crate::fleet::{Fleet, LinkEnds, base_delay, plain_link};
use crate::{FleetSize, LOSS, settle};

const FAULT_SPAN: Duration = Duration::from_secs(25);
const PEAK_SECONDS: usize = 10;
const PEAK_SPAN: Duration = Duration::from_secs(2 * PEAK_SECONDS as u64);
/// Messages per second that fit into 10 KB/s at the size of a probe.
const MAX_PEAK_MESSAGES: f64 = 66.0;

pub(crate) fn slow_daemon(fleet: &mut Fleet, _: FleetSize) -> Vec<Figure> {
    let slow = |ends: &LinkEnds| ends.from == 0 || ends.to == 0;
    with_slow_link(
        fleet,
        "one slow daemon, +800 ms",
        slow,
        Duration::from_millis(800),
    )
}

pub(crate) fn slow_domain(fleet: &mut Fleet, _: FleetSize) -> Vec<Figure> {
    let slow = |ends: &LinkEnds| (ends.from_domain == 0) != (ends.to_domain == 0);
    with_slow_link(
        fleet,
        "slow domain link, +500 ms",
        slow,
        Duration::from_millis(500),
    )
}

fn with_slow_link(
    fleet: &mut Fleet,
    scenario: &'static str,
    slow: fn(&LinkEnds) -> bool,
    extra: Duration,
) -> Vec<Figure> {
    settle(fleet);
    fleet.link = Box::new(move |ends, rng| {
        let delay = base_delay(ends) + if slow(ends) { extra } else { Duration::ZERO };
        (!rng.random_bool(LOSS)).then_some(delay)
    });
    let begin = fleet.clock.elapsed().as_secs() as usize;
    fleet.run_for(FAULT_SPAN);
    vec![
        figure(scenario, "false deaths", fleet.false_deaths() as f64, "").at_most(0.0),
        peak_bytes(fleet, begin).at_most(10_000.0),
    ]
}

pub(crate) fn lost_domain(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    lose_domain(fleet, size, "failure domain lost")
}

/// Loses a domain some seconds after its link was slow.
pub(crate) fn lost_after_slow_link(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    lose_domain(fleet, size, "lost soon after a slow link")
}

fn lose_domain(fleet: &mut Fleet, size: FleetSize, scenario: &'static str) -> Vec<Figure> {
    settle(fleet);
    let lost: Vec<usize> = (0..size.count).step_by(size.domains).collect();
    let begin = fleet.clock.elapsed().as_secs() as usize;
    for index in &lost {
        fleet.crash(*index);
    }
    let limit = Duration::from_secs(60);
    let known = fleet.run_until(limit, |fleet| {
        lost.iter()
            .all(|index| fleet.fraction_seeing(*index, |state| state == MemberState::Dead) >= 0.99)
    });
    let known = known.unwrap_or(limit).as_secs_f64();
    fleet.run_for(PEAK_SPAN);
    vec![
        figure(scenario, "all lost known by 99%", known, "s").at_most(15.0),
        figure("", "false deaths", fleet.false_deaths() as f64, "").at_most(0.0),
        peak_bytes(fleet, begin).at_most(10_000.0),
    ]
}

pub(crate) fn partition_regions(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    if size.regions < 2 {
        return Vec::new();
    }
    settle(fleet);
    fleet.link = Box::new(|ends, rng| {
        let passes = ends.same_region && !rng.random_bool(LOSS);
        passes.then(|| base_delay(ends))
    });
    let partition_at = fleet.clock.elapsed().as_secs() as usize;
    fleet.run_for(size.partition_span());
    let max_live = fleet.running().map(MemberNode::live_count).max();
    let partition_peak = peak_bytes(fleet, partition_at);
    fleet.link = plain_link(LOSS);
    let heal_at = fleet.clock.elapsed().as_secs() as usize;
    let limit = Duration::from_secs(600);
    let healed = fleet.run_until(limit, |fleet| fleet.is_complete());
    fleet.run_for(PEAK_SPAN);
    let messages = fleet.seconds[heal_at..]
        .iter()
        .map(|second| second.messages)
        .max()
        .unwrap_or(0);
    vec![
        figure(
            "regions cut for long",
            "live members at most",
            max_live.unwrap_or(0) as f64,
            "",
        ),
        partition_peak.at_most(10_000.0),
        figure(
            "regions heal",
            "views complete",
            healed.unwrap_or(limit).as_secs_f64(),
            "s",
        )
        .at_most(300.0),
        peak_bytes(fleet, heal_at).at_most(10_000.0),
        figure(
            "",
            "peak messages of a daemon",
            messages as f64 / size.count as f64,
            "1/s",
        )
        .at_most(MAX_PEAK_MESSAGES),
    ]
}

pub(crate) fn restart_all(fleet: &mut Fleet, size: FleetSize) -> Vec<Figure> {
    settle(fleet);
    for index in 0..size.count {
        fleet.crash(index);
    }
    fleet.run_for(Duration::from_secs(30));
    let begin = fleet.clock.elapsed().as_secs() as usize + 1;
    fleet.start_all();
    let limit = Duration::from_secs(120);
    let almost_complete = fleet.run_until(limit, |fleet| {
        let known: usize = fleet.running().map(MemberNode::live_count).sum();
        known as f64 >= 0.99 * (size.count * size.count) as f64
    });
    let complete = fleet.run_until(limit, |fleet| fleet.is_complete());
    let almost_complete = almost_complete.unwrap_or(limit);
    let complete = almost_complete + complete.unwrap_or(limit);
    fleet.run_for(PEAK_SPAN);
    let seconds = &fleet.seconds[begin..];
    let reads = seconds.iter().map(|second| second.reads).max().unwrap_or(0);
    let appends = seconds
        .iter()
        .map(|second| second.appends)
        .max()
        .unwrap_or(0);
    vec![
        figure(
            "all restart together",
            "99% of views",
            almost_complete.as_secs_f64(),
            "s",
        )
        .at_most(20.0),
        figure("", "views complete", complete.as_secs_f64(), "s").at_most(45.0),
        figure("", "peak reads of the log", reads as f64, "1/s").at_most(150.0),
        figure("", "peak appends to the log", appends as f64, "1/s").at_most(300.0),
        peak_bytes(fleet, begin).at_most(10_000.0),
    ]
}

/// Returns the highest average rate of bytes sent per daemon over [`PEAK_SECONDS`].
fn peak_bytes(fleet: &Fleet, begin: usize) -> Figure {
    let peak = fleet.seconds[begin..]
        .windows(PEAK_SECONDS)
        .map(|window| window.iter().map(|second| second.bytes).sum::<u64>())
        .max()
        .unwrap_or(0);
    let daemon_seconds = (fleet.running().count().max(1) * PEAK_SECONDS) as f64;
    figure(
        "",
        "sent by a daemon, worst 10 s",
        peak as f64 / daemon_seconds,
        "B/s",
    )
}
