//! A caller that retries unanswered calls through any proxy and checks every answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use super::tally::{CallTally, KeyHistory};

/// Time after which a caller gives up one attempt.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);
/// Maximum number of attempts with one key.
const MAX_SENDS: usize = 6;
/// One call in this many is keyed.
const KEYED_RATIO: u32 = 2;

/// An answer as received by the caller.
struct CallReply {
    /// Error kind of a refusal.
    kind: Option<String>,
    /// What the answer proves about whether the call ran, such as `not-run`.
    proof: Option<String>,
    text: String,
}

/// A caller that tracks the configuration version of every proxy.
pub struct TestCaller {
    seed: u64,
    random: SmallRng,
    agent: ureq::Agent,
    proxies: Vec<SocketAddr>,
    /// Newest configuration version that each proxy has returned.
    versions: HashMap<SocketAddr, u64>,
    tally: CallTally,
    serial: u64,
}

impl TestCaller {
    /// Creates a caller that picks among all proxies.
    pub fn new(seed: u64, proxies: &[SocketAddr]) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build();
        Self {
            seed,
            random: SmallRng::seed_from_u64(seed),
            agent: agent.into(),
            proxies: proxies.to_vec(),
            versions: HashMap::new(),
            tally: CallTally::default(),
            serial: 0,
        }
    }

    /// Returns the tally of this caller.
    pub fn into_tally(self) -> CallTally {
        self.tally
    }

    /// Makes one call, with retries if it is keyed.
    pub fn call_once(&mut self) {
        self.serial += 1;
        let name = format!("{}-{}", self.seed, self.serial);
        if self.random.random_ratio(1, KEYED_RATIO) {
            self.send_keyed_call(&format!("/deals/{name}"));
        } else {
            self.send_read_call(&format!("/catalog/{name}"));
        }
        thread::sleep(CALL_PAUSE);
    }

    fn send_read_call(&mut self, path: &str) {
        if let Some(reply) = self.send("GET", path, None)
            && reply.kind.is_none()
        {
            self.check_text("GET", path, &reply.text);
        }
    }

    fn send_keyed_call(&mut self, path: &str) {
        let mut history = KeyHistory {
            key: Uuid::now_v7().to_string(),
            ..KeyHistory::default()
        };
        for _ in 0..MAX_SENDS {
            self.send_keyed(path, &mut history);
            if history.is_settled() {
                break;
            }
            thread::sleep(CALL_PAUSE);
        }
        if history.answer.is_some() {
            // Repeating an answered call must return the first answer or a refusal.
            self.send_keyed(path, &mut history);
        }
        self.tally.histories.insert(path.to_owned(), history);
    }

    fn send_keyed(&mut self, path: &str, history: &mut KeyHistory) {
        let Some(reply) = self.send("POST", path, Some(&history.key)) else {
            history.has_unanswered_send = true;
            return;
        };
        let proof = reply.proof.unwrap_or_default();
        let Some(kind) = reply.kind else {
            self.check_text("POST", path, &reply.text);
            match &history.answer {
                Some(first) if *first != reply.text => {
                    let violation = format!("{path}: {first:?}, then {:?}", reply.text);
                    self.tally.violations.push(violation);
                }
                _ => history.answer = Some(reply.text),
            }
            return;
        };
        if proof == "not-run" && history.answer.is_some() {
            let violation = format!("{path}: answered, then `not-run` by {kind}");
            self.tally.violations.push(violation);
        }
        history.not_run |= proof == "not-run";
        history.refusals.insert(format!("{kind} {proof}"));
    }

    fn send(&mut self, method: &str, path: &str, key: Option<&str>) -> Option<CallReply> {
        let proxy = *self.proxies.choose(&mut self.random).unwrap();
        let mut request = ureq::http::Request::builder()
            .method(method)
            .uri(format!("http://{proxy}{path}"))
            .header("quetzal-customer", "nile");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let sent = self.agent.run(request.body(Vec::new()).unwrap());
        let Ok(mut response) = sent else {
            self.tally.count("no answer from the proxy");
            return None;
        };
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        let (kind, proof) = (header("quetzal-error"), header("quetzal-run"));
        let version = header("quetzal-version").and_then(|text| text.parse().ok());
        self.check_version(proxy, version);
        let Ok(text) = response.body_mut().read_to_string() else {
            self.tally.count("incomplete answer");
            return None;
        };
        let status = response.status().as_u16().to_string();
        let outcome = match (&kind, &proof) {
            (Some(kind), Some(proof)) => format!("{method} {kind} {proof}"),
            _ => format!("{method} {status}"),
        };
        self.tally.count(&outcome);
        Some(CallReply { kind, proof, text })
    }

    /// Checks that the answer is complete and belongs to this request.
    fn check_text(&mut self, method: &str, path: &str, text: &str) {
        let own = text.starts_with(&format!("{method} {path} by "));
        if !own || !text.ends_with(" 0 bytes") {
            let violation = format!("{method} {path} got {text:?}");
            self.tally.violations.push(violation);
        }
    }

    /// Checks that a proxy never returns an older configuration version than before.
    fn check_version(&mut self, proxy: SocketAddr, version: Option<u64>) {
        let Some(version) = version else { return };
        let newest = self.versions.entry(proxy).or_default();
        if version < *newest {
            let violation = format!("{proxy} went from version {newest} back to {version}");
            self.tally.violations.push(violation);
        }
        *newest = version.max(*newest);
    }
}

/// Retries every call that is not settled, once no failure is active.
pub fn resend_open_calls(tally: &mut CallTally, proxies: &[SocketAddr]) {
    let mut caller = TestCaller::new(u64::MAX, proxies);
    let open = tally.histories.iter_mut();
    for (path, history) in open.filter(|(_, history)| !history.is_settled()) {
        for _ in 0..MAX_SENDS {
            if !history.is_settled() {
                caller.send_keyed(path, history);
            }
        }
    }
    tally.merge(caller.into_tally());
}
