//! A request that crashes the servers comes again while the daemons are restarted in turn.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::requester::{Ending, Order, Requester, Sent};
use crate::traffic::{HOST, SERVICES, Traffic, config};

/// Machines, and how many of them are restarted; the others take the requests.
const MACHINES: usize = 8;
const RESTARTED: usize = 5;
/// `bounds.stability_window` of the settings.
const STABILITY_WINDOW: Duration = Duration::from_secs(3);
/// Largest number of retries that reach servers later than that after the third crash.
const RETRIES_ALLOWED: usize = 3;
/// Time until a crashed server is back.
const DOWN_TIME: Duration = Duration::from_secs(2);
/// Pause between two requests that crash servers.
const PAUSE: Duration = Duration::from_millis(100);
/// Time for which the request comes again, at first and after each restart.
const REPEATED_TIME: Duration = Duration::from_secs(7);
/// Time from the end of a restart until the request comes again; longer than the stability window.
const SETTLING_TIME: Duration = Duration::from_millis(3500);

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start(&[SERVICES[0]; MACHINES], &config(1), record).await?;
    sleep(Duration::from_secs(2)).await;
    let entry = &deployment.machines[MACHINES - 1];
    let crashes: Vec<_> = deployment
        .machines
        .iter()
        .map(|machine| {
            let server = machine.server.clone();
            tokio::spawn(server.run_crashes(machine.control(), DOWN_TIME))
        })
        .collect();
    let work = ("order", Duration::from_millis(160));
    let traffic = Traffic::start(entry.outbound(), "o", work, 8, record);
    let entries = &deployment.machines[RESTARTED..];
    let addresses: Vec<_> = entries.iter().map(|machine| machine.outbound()).collect();
    let repeated = record.clone();
    let coming = Arc::new(AtomicBool::new(true));
    let is_coming = Arc::clone(&coming);
    let poison = tokio::spawn(async move {
        let mut all: Vec<Sent> = Vec::new();
        loop {
            while !is_coming.load(Ordering::Relaxed) {
                sleep(PAUSE).await;
            }
            let address = addresses[all.len() % addresses.len()];
            let mut requester = Requester::new(address, &repeated);
            let sent = requester
                .send(Order {
                    id: format!("p{}", all.len()),
                    method: "POST",
                    host: HOST,
                    path: "/order/crash/7".into(),
                    deadline: Duration::from_millis(3000),
                    body: Bytes::from_static(b"the same body"),
                })
                .await;
            repeated.line(format_args!(
                "crashing request {}: {:?}",
                sent.id, sent.ending
            ));
            all.push(sent);
            sleep(PAUSE).await;
        }
    });
    sleep(REPEATED_TIME).await;
    for machine in &deployment.machines[..RESTARTED] {
        coming.store(false, Ordering::Relaxed);
        if trouble {
            record.say(format_args!("the daemon on {} is restarted", machine.name));
            machine.restart_daemon().await?;
        }
        sleep(SETTLING_TIME).await;
        coming.store(true, Ordering::Relaxed);
        sleep(REPEATED_TIME).await;
    }
    poison.abort();
    let sent = traffic.stop().await;
    for task in crashes {
        task.abort();
    }
    let mut reached: Vec<_> = deployment
        .machines
        .iter()
        .flat_map(|machine| machine.server.runs())
        .filter(|run| run.request.starts_with('p'))
        .collect();
    reached.sort_by_key(|run| run.at);
    for run in &reached {
        record.say(format_args!(
            "crash: {} reached {} at {:.1} s",
            run.request,
            run.server,
            run.at.as_secs_f64()
        ));
    }
    let late = reached.get(2).map_or(0, |third| {
        let later = |run: &&crate::server::Run| run.at > third.at + STABILITY_WINDOW;
        reached.iter().filter(later).count()
    });
    let unknown = sent
        .iter()
        .filter(|sent| matches!(sent.ending, Ending::Answered(502 | 504) | Ending::Closed))
        .count();
    record.say(format_args!(
        "{} orders of others sent, {unknown} of them ended without the answer of a server",
        sent.len()
    ));
    record.say(format_args!(
        "{late} retries reached servers later than stability_window after the third crash \
         ({RETRIES_ALLOWED} allowed)"
    ));
    Ok(late > RETRIES_ALLOWED)
}
