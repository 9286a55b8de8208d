//! A caller that sends again what did not end, through any proxy.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use uuid::Uuid;

use super::tally::{CallTally, KeyStory};

/// Time after which a caller gives one sending up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Pause between two calls of one caller.
const CALL_PAUSE: Duration = Duration::from_millis(8);
/// Sendings of one key while failures go on.
const MAX_SENDINGS: usize = 6;
/// One call in this many is keyed.
const KEYED_PART: u32 = 2;

/// One answer, as the caller got it.
struct CallReply {
    kind: Option<String>,
    proof: Option<String>,
    text: String,
}

/// One caller with its own view of every proxy.
pub struct StormCaller {
    seed: u64,
    random: SmallRng,
    agent: ureq::Agent,
    proxies: Vec<SocketAddr>,
    /// Newest version that each proxy answered with.
    versions: HashMap<SocketAddr, u64>,
    tally: CallTally,
    serial: u64,
}

impl StormCaller {
    /// A caller that may use every proxy.
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

    /// What this caller saw.
    pub fn into_tally(self) -> CallTally {
        self.tally
    }

    /// One call to its end, or until it was sent often enough.
    pub fn call_once(&mut self) {
        self.serial += 1;
        let name = format!("{}-{}", self.seed, self.serial);
        if self.random.random_ratio(1, KEYED_PART) {
            self.pay(&format!("/deals/{name}"));
        } else {
            self.browse(&format!("/catalog/{name}"));
        }
        thread::sleep(CALL_PAUSE);
    }

    fn browse(&mut self, path: &str) {
        if let Some(reply) = self.send("GET", path, None)
            && reply.kind.is_none()
        {
            self.check_text("GET", path, &reply.text);
        }
    }

    fn pay(&mut self, path: &str) {
        let mut story = KeyStory {
            key: Uuid::now_v7().to_string(),
            ..KeyStory::default()
        };
        for _ in 0..MAX_SENDINGS {
            self.send_keyed(path, &mut story);
            if story.is_closed() {
                break;
            }
            thread::sleep(CALL_PAUSE);
        }
        if story.answer.is_some() {
            // An answered call sent again gets its first answer or a refusal.
            self.send_keyed(path, &mut story);
        }
        self.tally.stories.insert(path.to_owned(), story);
    }

    fn send_keyed(&mut self, path: &str, story: &mut KeyStory) {
        let Some(reply) = self.send("POST", path, Some(&story.key)) else {
            story.unanswered = true;
            return;
        };
        let proof = reply.proof.unwrap_or_default();
        let Some(kind) = reply.kind else {
            self.check_text("POST", path, &reply.text);
            match &story.answer {
                Some(first) if *first != reply.text => {
                    let fault = format!("{path}: {first:?}, then {:?}", reply.text);
                    self.tally.violations.push(fault);
                }
                _ => story.answer = Some(reply.text),
            }
            return;
        };
        if proof == "not-run" && story.answer.is_some() {
            let fault = format!("{path}: answered, then `not-run` by {kind}");
            self.tally.violations.push(fault);
        }
        story.not_run |= proof == "not-run";
        story.refusals.insert(format!("{kind} {proof}"));
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
            self.tally.count("proxy gone or late");
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
            self.tally.count("answer broke off");
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

    /// The whole answer to this request and no other.
    fn check_text(&mut self, method: &str, path: &str, text: &str) {
        let own = text.starts_with(&format!("{method} {path} by "));
        if !own || !text.ends_with(" 0 bytes") {
            let fault = format!("{method} {path} got {text:?}");
            self.tally.violations.push(fault);
        }
    }

    /// A proxy never answers by an older version than before.
    fn check_version(&mut self, proxy: SocketAddr, version: Option<u64>) {
        let Some(version) = version else { return };
        let newest = self.versions.entry(proxy).or_default();
        if version < *newest {
            let fault = format!("{proxy} went from version {newest} back to {version}");
            self.tally.violations.push(fault);
        }
        *newest = version.max(*newest);
    }
}

/// Sends every call without an end again, now that all is well.
pub fn settle_open_keys(tally: &mut CallTally, proxies: &[SocketAddr]) {
    let mut caller = StormCaller::new(u64::MAX, proxies);
    let open = tally.stories.iter_mut();
    for (path, story) in open.filter(|(_, story)| !story.is_closed()) {
        for _ in 0..MAX_SENDINGS {
            if !story.is_closed() {
                caller.send_keyed(path, story);
            }
        }
    }
    tally.merge(caller.into_tally());
}
