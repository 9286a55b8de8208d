//! A status report of another writer names a server, which drains some time later.

use std::time::Duration;

use tokio::time::sleep;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::renewed_leave::{is_drain_broken, send_together};
use crate::server::HEARTBEAT;
use crate::traffic::{SERVICES, config};

/// Time for which the server goes on to serve after its draining was acknowledged.
const SERVING_TIME: Duration = Duration::from_secs(6);
/// Time after the acknowledgement at which requests come.
const REQUESTED_AFTER: Duration = Duration::from_secs(3);

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start(&[SERVICES[1]; 7], &config(1), record).await?;
    sleep(Duration::from_secs(4)).await;
    let (machine, entry) = (&deployment.machines[0], &deployment.machines[1]);
    let server = &machine.server;
    send_together(entry, "before", record).await;
    if trouble {
        let taken = server.report_as_other_writer(machine.control()).await;
        record.say(format_args!("the report of another writer was acknowledged: {taken}"));
    }
    sleep(HEARTBEAT * 3).await;
    send_together(entry, "again", record).await;
    server.end_reports();
    if !server.drain(machine.control()).await {
        return Err("the draining was not acknowledged".into());
    }
    let acknowledged = record.now();
    record.say(format_args!("the draining of {} is acknowledged", server.id()));
    sleep(HEARTBEAT).await;
    server.drain(machine.control()).await;
    sleep(REQUESTED_AFTER - HEARTBEAT).await;
    send_together(entry, "after", record).await;
    sleep(SERVING_TIME.saturating_sub(record.now() - acknowledged)).await;
    server.leave(machine.control()).await;
    server.crash().await;
    Ok(is_drain_broken(server, acknowledged, record))
}
