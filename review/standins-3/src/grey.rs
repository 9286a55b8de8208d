//! A case about a server that fails requests after it has run them.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::{Fleet, FleetSettings};
use crate::{CaseContext, Outcome};

/// Number of payments.
const PAYMENTS: usize = 60;
/// Pause between two payments.
const PAUSE: Duration = Duration::from_millis(50);
/// Time for which a requester waits, in milliseconds.
const DEADLINE: &str = "3000";

const CONFIG: &str = r#"{"version":"r1","routes":{
    "pay":{"host":"shop.example","path_prefix":"/pay/","service":"checkout","kind":"unsafe","timeout":"1500ms","target_latency":"500ms","priority":1,"max_attempts":2,"public":false}},
    "services":{"checkout":{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}},
    "limits":{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}}"#;

/// A request that has run must not be answered with a status that says that it has not.
pub async fn grey_server(context: &mut CaseContext) -> Outcome {
    let settings = FleetSettings {
        lines: String::new(),
        memory_mb: 110,
    };
    let services = ["checkout", "checkout", "checkout"];
    let fleet = Fleet::start(&services, CONFIG, &settings, &context.folder).await?;
    let record = &mut context.record;
    if context.trouble {
        for machine in &fleet.machines {
            machine.server.set_grey(true);
        }
        record.note("each server fails one in four of the requests that it has run");
    }
    let mut answers = BTreeMap::new();
    for number in 0..PAYMENTS {
        let machine = &fleet.machines[number % fleet.machines.len()];
        // One more try after a promise that the first has not run.
        for attempt in 0..2 {
            let id = format!("{number:04x}{attempt:04x}");
            let headers = [
                ("x-request-id", id.as_str()),
                ("x-request-deadline", DEADLINE),
            ];
            let answer = machine
                .send("POST", &format!("/pay/order-{number}"), &headers)
                .await;
            let status = answer.status;
            if status != 200 {
                record.answer(
                    &format!("{id} for order-{number} to {}", machine.name),
                    &answer,
                );
            }
            answers.insert(id, status);
            if !matches!(status, 408 | 421 | 429 | 503) {
                break;
            }
        }
        sleep(PAUSE).await;
    }
    let mut held = true;
    let mut runs = BTreeMap::<String, usize>::new();
    for machine in &fleet.machines {
        for run in machine.server.runs() {
            *runs.entry(run.path.clone()).or_default() += 1;
            let status = answers
                .get(run.header("x-request-id"))
                .copied()
                .unwrap_or(0);
            if matches!(status, 408 | 421 | 429 | 503) {
                record.run(&machine.name, &run);
                record.note(&format!("it has run, and its requester got {status}"));
                held = false;
            }
        }
    }
    for (path, count) in runs.iter().filter(|(_, count)| **count > 1) {
        record.note(&format!("{path} ran {count} times"));
    }
    Ok(held)
}
