//! A status report of another writer names a server, which drains some time later.

use std::time::Duration;

use tokio::time::sleep;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::renewed_leave::{REQUESTED_AFTER, SERVING_TIME, is_drain_broken, send_together};
use crate::server::HEARTBEAT;
use crate::traffic::{SERVICES, config};

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start(&[SERVICES[0]; 7], &config(1), record).await?;
    sleep(Duration::from_secs(4)).await;
    let (machine, entry) = (&deployment.machines[0], &deployment.machines[1]);
    let server = &machine.server;
    send_together(entry, "before", 50, record).await;
    if trouble {
        let taken = server.report_as_other_writer(machine.control()).await;
        record.say(format_args!(
            "the report of another writer was acknowledged: {taken}"
        ));
    }
    sleep(HEARTBEAT * 3).await;
    send_together(entry, "again", 50, record).await;
    server.end_reports();
    if !server.drain(machine.control()).await {
        return Err("the draining was not acknowledged".into());
    }
    let acknowledged = record.now();
    record.say(format_args!(
        "the draining of {} is acknowledged",
        server.id()
    ));
    sleep(HEARTBEAT).await;
    server.drain(machine.control()).await;
    sleep(REQUESTED_AFTER - HEARTBEAT).await;
    let leaving = async {
        sleep(SERVING_TIME.saturating_sub(record.now() - acknowledged)).await;
        server.leave(machine.control()).await;
        server.crash().await;
    };
    let (lost, ()) = tokio::join!(send_together(entry, "after", 400, record), leaving);
    record.say(format_args!(
        "{lost} orders ended without the answer of a server"
    ));
    Ok(is_drain_broken(server, acknowledged, record))
}
