//! A server comes back from a restart in trouble: its answers are bytes without end, also that to
//! its liveness check.

use std::time::Duration;

use tokio::time::sleep;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::server::HEARTBEAT;
use crate::traffic::{SERVICES, Traffic, config, is_lost_broken};

/// Time for which the server is down.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Length of the calm time before, and of the time in trouble.
const PART_TIME: Duration = Duration::from_secs(8);

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let deployment = Deployment::start(&[SERVICES[0]; 4], &config(1), record).await?;
    sleep(Duration::from_secs(2)).await;
    let machine = &deployment.machines[0];
    let work = ("album", Duration::from_millis(300));
    let traffic = Traffic::start(machine.outbound(), "a", work, 12, record);
    let elsewhere = Traffic::start(deployment.machines[1].outbound(), "b", work, 24, record);
    sleep(PART_TIME).await;
    record.say(format_args!(
        "the server on {} restarts, in trouble: {trouble}",
        machine.name
    ));
    machine.server.crash().await;
    sleep(DOWN_TIME).await;
    machine.server.renew("i-1-2");
    machine.server.set_endless(trouble);
    let started = machine.server.start(machine.control(), HEARTBEAT).await;
    started.map_err(|error| error.to_string())?;
    sleep(PART_TIME).await;
    let mut sent = traffic.stop().await;
    sent.extend(elsewhere.stop().await);
    for machine in &deployment.machines {
        record.say(format_args!(
            "{} ({}): peak {} MB, ended by itself {} times",
            machine.name,
            machine.service,
            machine.peak_mb(),
            machine.own_ends().len()
        ));
    }
    let unsound = if trouble {
        vec![machine.server.id()]
    } else {
        Vec::new()
    };
    Ok(is_lost_broken(&deployment, &sent, &unsound, record))
}
