//! Customer keys, tested against `quetzald` processes: only the right key is accepted, and no key
//! appears in the log or in the operator interface.

mod fleet;

use std::time::Duration;

use fleet::target::TestTarget;
use fleet::{ALLOWANCES, Fleet, wait_until};
use plans::lists::KeyHash;

const KEY: &str = "nile-key-5f0c2ab94d";
const WRONG_KEY: &str = "wrong-key-77d1e0";

/// Returns the error kind or the status of a call with `key` as its bearer token.
fn outcome(fleet: &Fleet, proxy: usize, customer: &str, key: Option<&str>) -> String {
    let url = format!("http://{}/catalog/x", fleet.daemons[proxy].caller_address);
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let mut request = agent.get(url).header("quetzal-customer", customer);
    if let Some(key) = key {
        request = request.header("authorization", format!("Bearer {key}"));
    }
    let response = request.call().unwrap();
    match response.headers().get("quetzal-error") {
        Some(kind) => kind.to_str().unwrap().to_owned(),
        None => response.status().as_u16().to_string(),
    }
}

#[test]
fn the_right_key_is_accepted_and_no_key_is_exposed() {
    let fleet = Fleet::start(2, &["cairo-a", "cairo-b"], "");
    let _catalog = TestTarget::start("catalog-1", "catalog", &fleet.daemons[1], Duration::ZERO);
    let hash = KeyHash::of(KEY);
    let plans = format!(
        r#"{{ "customers": {{ "nile": {{ "plan": "agency", "key_sha256": "{hash}" }},
                              "delta": {{ "plan": "agency" }} }} }}"#
    );
    fleet.publish(&plans, ALLOWANCES);
    wait_until("a call with the right key", || {
        outcome(&fleet, 0, "nile", Some(KEY)) == "200"
    });
    for proxy in 0..2 {
        assert_eq!(outcome(&fleet, proxy, "nile", Some(KEY)), "200");
        let wrong = Some(WRONG_KEY);
        assert_eq!(outcome(&fleet, proxy, "nile", wrong), "customer-unknown");
        assert_eq!(outcome(&fleet, proxy, "nile", None), "customer-unknown");
        let stranger = outcome(&fleet, proxy, "stranger", Some(KEY));
        assert_eq!(stranger, "customer-unknown");
    }
    for daemon in &fleet.daemons {
        let log = std::fs::read_to_string(daemon.log_file()).unwrap();
        assert!(log.contains("daemon"), "the log was not read");
        assert_hidden("the log", log.as_bytes());
        for path in ["snapshot", "status", "timeline"] {
            let url = format!("http://{}/v1/{path}", daemon.operator_address);
            let mut response = ureq::get(url).call().unwrap();
            assert_hidden(path, &response.body_mut().read_to_vec().unwrap());
        }
    }
}

fn assert_hidden(place: &str, bytes: &[u8]) {
    for key in [KEY, WRONG_KEY] {
        let mut windows = bytes.windows(key.len());
        assert!(!windows.any(|window| window == key.as_bytes()), "{place}");
    }
}
