//! The scenarios, each with the check of one rule.

mod endless;
mod freeze;
mod late_report;
mod limit;
mod new_route;
mod stop;

use std::thread;
use std::time::{Duration, Instant};

use crate::fleet::{Call, Fleet};
use crate::record::Record;

/// Result of a scenario that ran.
#[derive(Clone, Debug)]
pub struct Verdict {
    /// Whether the rule was broken.
    pub broken: bool,
    /// Figures behind the verdict.
    pub detail: String,
}

/// Plays a scenario by its name.
pub fn play(name: &str, trouble: bool, record: &Record) -> Result<Verdict, String> {
    match name {
        "stop" => stop::play(trouble, record),
        "late-report" => late_report::play(trouble, record),
        "endless" => endless::play(trouble, record),
        "new-route" => new_route::play(trouble, record),
        "freeze" => freeze::play(trouble, record),
        "limit" => limit::play(trouble, record),
        other => Err(format!("unknown scenario {other}")),
    }
}

/// A stream of requests: machine, method, path and deadline of each, and the interval.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Machine on which the requests are sent.
    pub machine: usize,
    /// Method of the requests.
    pub method: &'static str,
    /// Path of the requests.
    pub path: &'static str,
    /// Time for which a requester waits.
    pub deadline: Duration,
    /// Time between two requests.
    pub interval: Duration,
}

/// Sends the requests of `streams` for `time`, each in a thread of its own, and returns when all
/// have ended; `script` runs beside them.
pub fn send_during<T>(
    fleet: &Fleet,
    streams: &[Traffic],
    time: Duration,
    script: impl FnOnce() -> T,
) -> T {
    let until = Instant::now() + time;
    thread::scope(|scope| {
        for stream in streams {
            scope.spawn(move || {
                while Instant::now() < until {
                    let next = Instant::now() + stream.interval;
                    scope.spawn(|| {
                        let body: &[u8] = if stream.method == "POST" {
                            b"order"
                        } else {
                            b""
                        };
                        let Traffic {
                            machine,
                            method,
                            path,
                            deadline,
                            ..
                        } = stream;
                        fleet.send(*machine, method, path, body, *deadline);
                    });
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            });
        }
        script()
    })
}

/// Counts the served requests among those that `wanted` selects.
pub fn count_served(calls: &[Call], wanted: impl Fn(&Call) -> bool) -> (usize, usize) {
    let selected: Vec<&Call> = calls.iter().filter(|call| wanted(call)).collect();
    let served = selected.iter().filter(|call| call.is_served()).count();
    (served, selected.len())
}
