//! LOST: one upload within the operator's limit takes the daemon over the memory of its machine,
//! and the platform kills it with the requests of others.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::Verdict;
use crate::caller::KeptConnection;
use crate::fleet::{Call, Fleet, HOST, RoutePlan, SMALL_BOUNDS};
use crate::record::Record;

/// `limits.memory_mb` of the site, in bytes.
const MEMORY: u64 = 110 << 20;
/// Size of the upload; the operator's `max_body_bytes` is 67,108,864.
const UPLOAD: usize = 66_000_000;
/// Size of the upload without the disruption: the largest that the site plays.
const USUAL_UPLOAD: usize = 1_700_000;
/// Number of kept connections.
const CONNECTIONS: usize = 8;
/// Time for which requesters wait.
const DEADLINE: Duration = Duration::from_secs(3);
/// Time from the end of a process to its restart.
const RESTART_PAUSE: Duration = Duration::from_millis(500);

/// Plays the scenario.
pub fn play(trouble: bool, record: &Record) -> Result<Verdict, String> {
    let plans = [("zone-a", "printdesk"), ("zone-b", "gallery")];
    let fleet = Fleet::new(&plans, SMALL_BOUNDS, record).map_err(|error| error.to_string())?;
    let route = |name, kind| RoutePlan {
        name,
        service: "printdesk",
        kind,
        times: ("1500ms", "1000ms"),
        priority: 1,
    };
    fleet.publish(&[route("status", "safe"), route("photos", "upload")]);
    let start = |machine, name| {
        fleet
            .start_target(machine, name)
            .map_err(|error| error.to_string())
    };
    let _printdesk = start(0, "i-printdesk-1")?;
    let _gallery = start(1, "i-gallery-1")?;
    fleet.start_daemons()?;
    thread::sleep(Duration::from_secs(4));
    let size = if trouble { UPLOAD } else { USUAL_UPLOAD };
    let body = vec![b'x'; size];
    let (done, most) = (AtomicBool::new(false), AtomicU64::new(0));
    let kept: Vec<Call> = thread::scope(|scope| {
        let platform = scope.spawn(|| watch_memory(&fleet, &done, &most));
        let requesters: Vec<_> = (0..CONNECTIONS)
            .map(|_| scope.spawn(|| use_kept_connection(&fleet)))
            .collect();
        thread::sleep(Duration::from_millis(700));
        fleet.send(1, "POST", "/photos/work-140/photo", &body, DEADLINE);
        let kept = requesters
            .into_iter()
            .map(|requester| requester.join().ok().flatten());
        let kept = kept.flatten().collect();
        thread::sleep(Duration::from_secs(2));
        done.store(true, Ordering::SeqCst);
        platform
            .join()
            .map_err(|_panic| "the platform stand-in failed")??;
        Ok::<_, String>(kept)
    })?;
    let is_lost = |call: &&Call| call.answer.status() == 0 && !fleet.runs_of(&call.id).is_empty();
    let lost = kept.iter().filter(is_lost).count();
    let detail = format!(
        "{lost} of {} requests on kept connections were passed on to a server and got no answer; the daemon's memory reached {} of {MEMORY} bytes during an upload of {size}",
        kept.len(),
        most.load(Ordering::SeqCst)
    );
    if kept.len() < CONNECTIONS {
        return Err(format!("no basis: {detail}"));
    }
    Ok(Verdict {
        broken: lost > 3,
        detail,
    })
}

/// Sends two requests on one connection; returns the second.
fn use_kept_connection(fleet: &Fleet) -> Option<Call> {
    let machine = &fleet.machines[1];
    let mut connection = KeptConnection::open(machine.outbound(), DEADLINE).ok()?;
    let mut send = |path: &str| {
        let id = fleet.fresh_id();
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", &*id),
            ("X-Request-Deadline", "3000"),
        ];
        let began = Instant::now();
        let answer = connection.call("GET", path, &headers);
        let call = Call {
            id: id.clone(),
            machine: machine.name.clone(),
            path: path.to_owned(),
            began,
            answer,
        };
        fleet.record_call("GET", call)
    };
    let first = send("/status/work-30/first");
    if !first.is_served() {
        return None;
    }
    thread::sleep(Duration::from_millis(500).saturating_sub(first.began.elapsed()));
    Some(send("/status/work-1000/second"))
}

/// Kills the second daemon when it exceeds its memory, as the platform does, and restarts it.
fn watch_memory(fleet: &Fleet, done: &AtomicBool, most: &AtomicU64) -> Result<(), String> {
    let machine = &fleet.machines[1];
    while !done.load(Ordering::SeqCst) {
        let memory = machine.memory();
        most.fetch_max(memory, Ordering::SeqCst);
        if memory > MEMORY {
            fleet
                .record
                .line(&format!("daemon {} uses {memory} bytes", machine.name));
            machine.kill();
            thread::sleep(RESTART_PAUSE);
            machine.start().map_err(|error| error.to_string())?;
        }
        thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}
