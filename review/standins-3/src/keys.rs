//! Cases about keys that are taken away.

use std::time::{Duration, Instant};

use tokio::time::sleep;

use crate::fleet::{Fleet, FleetSettings};
use crate::{CaseContext, Outcome};

/// `bounds.revoke` of the settings.
const REVOKE: Duration = Duration::from_secs(5);
/// Key of the tenant `acme`.
const KEY: &str = "Token gjqnirth5mgjy5rcpihh";

/// A key that no configuration ever held.
const NO_KEY: &str = "Token nobody";

/// Returns the settings of a deployment that fails closed.
fn settings() -> FleetSettings {
    FleetSettings {
        lines: "bounds.fail_closed=true\nbounds.revoke=5000ms\n".to_owned(),
        memory_mb: 260,
    }
}

/// Returns a configuration with the table `tenants`.
fn config(version: u32, tenants: &str) -> String {
    format!(
        r#"{{"version":"r{version}","routes":{{
        "read":{{"host":"shop.example","path_prefix":"/read/","service":"ledger","kind":"safe","timeout":"9000ms","target_latency":"8000ms","priority":1,"max_attempts":2,"public":false}},
        "post":{{"host":"shop.example","path_prefix":"/post/","service":"ledger","kind":"unsafe","timeout":"9000ms","target_latency":"8000ms","priority":1,"max_attempts":2,"public":false}}}},
        "services":{{"ledger":{{"health_path":"/health","max_connections":110,"protocol":"h1","tls":false}}}},
        "limits":{{"max_header_bytes":16384,"max_body_bytes":1048576,"header_timeout":"3000ms","idle_timeout":"15000ms"}},
        "tenants":{tenants}}}"#
    )
}

/// Returns the headers of a request with `id` and `key`.
fn headers_of<'a>(id: &'a str, key: &'a str) -> [(&'a str, &'a str); 3] {
    [
        ("x-request-id", id),
        ("x-request-deadline", "2000"),
        ("authorization", key),
    ]
}

const ONE_TENANT: &str = r#"{"acme":{"api_keys":["gjqnirth5mgjy5rcpihh"],"priority":1,"rate_per_s":0,"burst":0},"other":{"api_keys":["acruddedev3nax7u27gx"],"priority":1,"rate_per_s":0,"burst":0}}"#;
const OTHER_TENANT: &str =
    r#"{"other":{"api_keys":["acruddedev3nax7u27gx"],"priority":1,"rate_per_s":0,"burst":0}}"#;

/// The last tenant of a deployment is removed; its key must not be served any more.
pub async fn no_tenants(context: &mut CaseContext) -> Outcome {
    let first =
        r#"{"acme":{"api_keys":["gjqnirth5mgjy5rcpihh"],"priority":1,"rate_per_s":0,"burst":0}}"#;
    let services = ["ledger", "ledger", "ledger"];
    let fleet = Fleet::start(&services, &config(1, first), &settings(), &context.folder).await?;
    let record = &mut context.record;
    for (index, machine) in fleet.machines.iter().enumerate() {
        let id = format!("before-{index}");
        let answer = machine
            .send("GET", "/read/before", &headers_of(&id, KEY))
            .await;
        record.answer(
            &format!("{id} with the key of acme at {}", machine.name),
            &answer,
        );
        if answer.status != 200 {
            return Err(std::io::Error::other(
                "the key is not served before the change",
            ));
        }
        let id = format!("unknown-{index}");
        let answer = machine
            .send("GET", "/read/before", &headers_of(&id, NO_KEY))
            .await;
        record.answer(
            &format!("{id} with an unknown key at {}", machine.name),
            &answer,
        );
    }
    let tenants = if context.trouble { "{}" } else { first };
    fleet.store.publish(&config(2, tenants));
    record.note(&format!(
        "the store has acknowledged r2 with tenants {tenants}"
    ));
    sleep(REVOKE + Duration::from_secs(1)).await;
    let sent_at = Instant::now();
    for (index, machine) in fleet.machines.iter().enumerate() {
        let id = format!("after-{index}");
        let answer = machine
            .send("POST", "/post/after", &headers_of(&id, KEY))
            .await;
        record.answer(
            &format!("{id} with the key of acme at {}", machine.name),
            &answer,
        );
        let id = format!("stranger-{index}");
        let mut headers = headers_of(&id, NO_KEY).to_vec();
        headers.push(("x-tenant", "acme"));
        let answer = machine.send("POST", "/post/after", &headers).await;
        record.answer(
            &format!("{id} with a key that never was, at {}", machine.name),
            &answer,
        );
    }
    let mut held = true;
    for machine in &fleet.machines {
        for run in machine.server.runs().iter().filter(|run| run.at >= sent_at) {
            record.run(&machine.name, run);
            let id = run.header("x-request-id");
            held &= !(id.starts_with("stranger") || context.trouble && id.starts_with("after"));
        }
    }
    Ok(held)
}

/// A key is taken away while a request that bears it runs; a further request of the same caller,
/// whose id begins with that of the first, must not run.
pub async fn derived_id(context: &mut CaseContext) -> Outcome {
    let fleet = Fleet::start(
        &["ledger"],
        &config(1, ONE_TENANT),
        &settings(),
        &context.folder,
    )
    .await?;
    let record = &mut context.record;
    let machine = &fleet.machines[0];
    let first = "9c41d07be2a35f68";
    let headers = [
        ("x-request-id", first),
        ("x-request-deadline", "9000"),
        ("authorization", KEY),
    ];
    let long = machine.send("GET", "/read/ms-8000/long", &headers);
    let mut held = true;
    let others = async {
        sleep(Duration::from_millis(300)).await;
        let tenants = if context.trouble {
            OTHER_TENANT
        } else {
            ONE_TENANT
        };
        fleet.store.publish(&config(2, tenants));
        let acknowledged = Instant::now();
        record.note(&format!(
            "the store has acknowledged r2 with tenants {tenants}"
        ));
        sleep(REVOKE + Duration::from_secs(1)).await;
        let requests = [
            ("77aa010000000001", KEY),
            ("9c41d07be2a35f68.2", KEY),
            ("77aa010000000002", NO_KEY),
            ("9c41d07be2a35f68.3", NO_KEY),
        ];
        for (id, key) in requests {
            let answer = machine
                .send("POST", "/post/after", &headers_of(id, key))
                .await;
            let age = acknowledged.elapsed().as_secs_f64();
            let sent = format!("{id} with {key}, {age:.1} s after the acknowledgement");
            record.answer(&sent, &answer);
        }
        acknowledged
    };
    let (answer, acknowledged) = tokio::join!(long, others);
    let record = &mut context.record;
    record.answer(
        &format!("{first} with the key of acme, before the change"),
        &answer,
    );
    for run in machine.server.runs() {
        record.run(&machine.name, &run);
        let is_late = run.at > acknowledged + REVOKE;
        let is_unknown = run.header("x-request-id").ends_with(".3");
        held &= !(context.trouble && is_late && !is_unknown);
    }
    Ok(held)
}

/// A configuration adds a tenant whose name has a space, and takes a key away.
pub async fn spaced_name(context: &mut CaseContext) -> Outcome {
    let services = ["ledger", "ledger", "ledger"];
    let fleet = Fleet::start(
        &services,
        &config(1, ONE_TENANT),
        &settings(),
        &context.folder,
    )
    .await?;
    let record = &mut context.record;
    let acme = if context.trouble {
        ""
    } else {
        r#""gjqnirth5mgjy5rcpihh""#
    };
    let tenants = format!(
        r#"{{"acme":{{"api_keys":[{acme}],"priority":1,"rate_per_s":0,"burst":0}},"other":{{"api_keys":["acruddedev3nax7u27gx"],"priority":1,"rate_per_s":0,"burst":0}},"Fotokiosk Aps":{{"api_keys":["n5hk2w7qtx3m9y4r8pzc"],"priority":1,"rate_per_s":0,"burst":0}}}}"#
    );
    fleet.store.publish(&config(2, &tenants));
    let acknowledged = Instant::now();
    record.note(&format!(
        "the store has acknowledged r2 with tenants {tenants}"
    ));
    for (round, wait) in [6, 6, 12].into_iter().enumerate() {
        sleep(Duration::from_secs(wait)).await;
        for (index, machine) in fleet.machines.iter().enumerate() {
            let id = format!("acme-{round}-{index}");
            let answer = machine
                .send("POST", "/post/after", &headers_of(&id, KEY))
                .await;
            let age = acknowledged.elapsed().as_secs_f64();
            record.answer(
                &format!("{id} with the key of acme, {age:.1} s after the acknowledgement"),
                &answer,
            );
            let id = format!("new-{round}-{index}");
            let answer = machine
                .send(
                    "POST",
                    "/post/after",
                    &headers_of(&id, "Token n5hk2w7qtx3m9y4r8pzc"),
                )
                .await;
            record.answer(&format!("{id} with the key of the new tenant"), &answer);
        }
    }
    let mut held = true;
    for machine in &fleet.machines {
        for run in machine
            .server
            .runs()
            .iter()
            .filter(|run| run.at >= acknowledged + REVOKE)
        {
            record.run(&machine.name, run);
            held &= !(context.trouble && run.header("x-request-id").starts_with("acme"));
        }
    }
    Ok(held)
}
