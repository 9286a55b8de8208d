//! A requester uploads a body that is large, but within the limits of the configuration.

use std::time::Duration;

use bytes::Bytes;
use tokio::time::sleep;

use crate::Verdict;
use crate::platform::Deployment;
use crate::record::Record;
use crate::requester::{Order, Requester};
use crate::traffic::{HOST, SERVICES, Traffic, config, is_lost_broken};

/// Size of the body with and without the disruption; `max_body_bytes` is 67,108,864.
const LARGE: usize = 60_000_000;
const USUAL: usize = 1_700_000;
/// Pause between two uploads, and their number.
const PAUSE: Duration = Duration::from_secs(5);
const UPLOADS: usize = 3;

pub async fn run(record: &Record, trouble: bool) -> Verdict {
    let services = [
        SERVICES[0],
        SERVICES[0],
        SERVICES[0],
        SERVICES[1],
        SERVICES[1],
    ];
    let deployment = Deployment::start(&services, &config(1), record).await?;
    sleep(Duration::from_secs(2)).await;
    let machine = &deployment.machines[0];
    let work = ("album", Duration::from_millis(300));
    let traffic = Traffic::start(machine.outbound(), "a", work, 10, record);
    let size = if trouble { LARGE } else { USUAL };
    let body = Bytes::from(vec![b'p'; size]);
    for number in 0..UPLOADS {
        sleep(PAUSE).await;
        let mut requester = Requester::new(machine.outbound(), record);
        let order = Order {
            id: format!("u{number}"),
            method: "POST",
            host: HOST,
            path: format!("/photo/140/{number}"),
            deadline: Duration::from_millis(3000),
            body: body.clone(),
        };
        let sent = requester.send(order).await;
        record.say(format_args!(
            "upload {} of {size} bytes: {:?}",
            sent.id, sent.ending
        ));
    }
    sleep(PAUSE).await;
    let sent = traffic.stop().await;
    for machine in &deployment.machines {
        record.say(format_args!(
            "{} ({}): peak {} MB, ended by itself {} times",
            machine.name,
            machine.service,
            machine.peak_mb(),
            machine.own_ends().len()
        ));
    }
    Ok(is_lost_broken(&deployment, &sent, &[], record))
}
