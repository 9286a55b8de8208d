//! A server starts again under the id that it had, and leaves before its next status report.

use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::Verdict;
use crate::platform::{Deployment, Machine};
use crate::record::Record;
use crate::requester::{Ending, Order, Requester, Sent};
use crate::server::{HEARTBEAT, Server};
use crate::traffic::{HOST, SERVICES, config};

/// `bounds.drain` of the settings.
const DRAIN: Duration = Duration::from_secs(2);
/// Time for which the server is down before it starts again.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time from the start of the server until it leaves, within its first heartbeat.
const AGE_AT_LEAVE: Duration = Duration::from_millis(1200);
/// Time after the acknowledgement at which requests come.
pub const REQUESTED_AFTER: Duration = Duration::from_secs(3);
/// Time for which the server goes on to serve after its leaving was acknowledged.
pub const SERVING_TIME: Duration = Duration::from_millis(3200);
/// Number of requests that come at the same time.
const REQUESTS: usize = 70;

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start(&[SERVICES[0]; 7], &config(1), record).await?;
    sleep(Duration::from_secs(3)).await;
    let (machine, entry) = (&deployment.machines[0], &deployment.machines[1]);
    let server = &machine.server;
    send_together(entry, "before", 50, record).await;
    sleep(Duration::from_secs(4)).await;
    if trouble {
        server.crash().await;
        sleep(DOWN_TIME).await;
        server.renew(&server.id());
        let started = server.start(machine.control(), HEARTBEAT).await;
        started.map_err(|error| error.to_string())?;
        sleep(AGE_AT_LEAVE / 2).await;
        send_together(entry, "again", 50, record).await;
        sleep(AGE_AT_LEAVE / 2).await;
    } else {
        send_together(entry, "again", 50, record).await;
    }
    server.end_reports();
    if !server.leave(machine.control()).await {
        return Err("the leaving was not acknowledged".into());
    }
    let acknowledged = record.now();
    record.say(format_args!(
        "the leaving of {} is acknowledged",
        server.id()
    ));
    sleep(REQUESTED_AFTER).await;
    let leaving = async {
        sleep(SERVING_TIME.saturating_sub(record.now() - acknowledged)).await;
        server.crash().await;
    };
    let (lost, ()) = tokio::join!(send_together(entry, "after", 400, record), leaving);
    record.say(format_args!(
        "{lost} orders ended without the answer of a server"
    ));
    Ok(is_drain_broken(server, acknowledged, record))
}

/// Checks rule DRAIN: requests that reached `server` later than drain after it was acknowledged.
pub fn is_drain_broken(server: &Server, acknowledged: Duration, record: &Record) -> bool {
    let late: Vec<_> = server
        .runs()
        .into_iter()
        .filter(|run| run.at > acknowledged + DRAIN)
        .collect();
    for run in &late {
        record.line(format_args!(
            "DRAIN {} reached {} {:.3} s after the acknowledgement",
            run.request,
            run.server,
            (run.at - acknowledged).as_secs_f64()
        ));
    }
    record.say(format_args!(
        "{} requests reached the server later than drain after the acknowledgement (none allowed)",
        late.len()
    ));
    !late.is_empty()
}

/// Sends orders at the same time, each on a connection of its own; returns the number of those that
/// ended without the answer of a server.
pub async fn send_together(entry: &Machine, label: &str, work_ms: u32, record: &Record) -> usize {
    let mut sending = JoinSet::new();
    for number in 0..REQUESTS {
        let mut requester = Requester::new(entry.outbound(), record);
        let order = Order {
            id: format!("{label}{number}"),
            method: "POST",
            host: HOST,
            path: format!("/order/{work_ms}/{label}{number}"),
            deadline: Duration::from_millis(3000),
            body: Bytes::from_static(b"an order"),
        };
        sending.spawn(async move { requester.send(order).await });
    }
    let ended = sending.join_all().await;
    let lost = |sent: &&Sent| !matches!(sent.ending, Ending::Answered(200 | 503));
    ended.iter().filter(lost).count()
}
