//! Stand-in for the platform's log store: keyed topics with one partition each.

use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::time::timeout;

type Topic = Vec<(Vec<u8>, Vec<u8>)>;

#[derive(Default)]
struct StoreState {
    topics: Mutex<HashMap<String, Topic>>,
    appended: Notify,
}

/// A store that answers all calls at once.
#[derive(Clone)]
pub struct Store {
    state: Arc<StoreState>,
}

impl Store {
    pub async fn start(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let state = Arc::<StoreState>::default();
        let serving = Arc::clone(&state);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                let state = Arc::clone(&serving);
                let service = service_fn(move |request| {
                    let state = Arc::clone(&state);
                    async move { Ok::<_, Infallible>(answer(&state, request).await) }
                });
                let serving = http1::Builder::new().serve_connection(TokioIo::new(socket), service);
                tokio::spawn(async move { drop(serving.await) });
            }
        });
        Ok(Self { state })
    }

    /// Writes a configuration, as the operator does.
    pub fn publish(&self, config: &str) {
        let mut topics = self.state.topics.lock().expect("not poisoned");
        let topic = topics.entry("keyed.op".into()).or_default();
        topic.push((b"config".to_vec(), config.as_bytes().to_vec()));
        drop(topics);
        self.state.appended.notify_waiters();
    }
}

async fn answer(state: &StoreState, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let query: HashMap<String, String> = request
        .uri()
        .query()
        .unwrap_or_default()
        .split('&')
        .filter_map(|part| part.split_once('='))
        .map(|(name, value)| (name.to_owned(), value.to_owned()))
        .collect();
    let topic = query.get("topic").cloned().unwrap_or_default();
    let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
    match request.uri().path() {
        "/v1/log-read" => {
            let from = number("from").unwrap_or(0);
            let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
            read(state, &topic, from, wait).await
        }
        "/v1/log-newest" => newest(state, &topic),
        "/v1/log-append" => match request.into_body().collect().await {
            Ok(body) => append(state, &topic, &body.to_bytes()),
            Err(_) => reply(400, Vec::new()),
        },
        _ => reply(404, Vec::new()),
    }
}

async fn read(
    state: &StoreState,
    topic: &str,
    from: usize,
    wait: Duration,
) -> Response<Full<Bytes>> {
    let until = Instant::now() + wait;
    loop {
        let appended = state.appended.notified();
        {
            let topics = state.topics.lock().expect("not poisoned");
            let records = topics.get(topic).map_or(&[][..], |topic| topic);
            if from > records.len() {
                return reply(410, br#"{"first":0}"#.to_vec());
            }
            if records.len() > from || Instant::now() >= until {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend(((1 + key.len() + value.len()) as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return reply(200, body);
            }
        }
        let left = until.saturating_duration_since(Instant::now());
        let _ = timeout(left, appended).await;
    }
}

fn newest(state: &StoreState, topic: &str) -> Response<Full<Bytes>> {
    let topics = state.topics.lock().expect("not poisoned");
    let records = topics.get(topic).map_or(&[][..], |topic| topic);
    let mut found = BTreeMap::new();
    for (offset, (key, value)) in records.iter().enumerate() {
        if value.is_empty() {
            found.remove(key);
        } else {
            found.insert(key, (value, offset));
        }
    }
    let items: Vec<_> = found
        .iter()
        .map(|(key, (value, offset))| {
            serde_json::json!({
                "key": String::from_utf8_lossy(key),
                "value": STANDARD.encode(value),
                "offset": offset,
            })
        })
        .collect();
    let body = serde_json::json!({"items": items, "has_more": false, "end": records.len()});
    reply(200, body.to_string().into_bytes())
}

fn append(state: &StoreState, topic: &str, mut body: &[u8]) -> Response<Full<Bytes>> {
    if topic == "keyed.op" || topic == "keyed.servers" {
        return reply(403, Vec::new());
    }
    let mut topics = state.topics.lock().expect("not poisoned");
    let records = topics.entry(topic.to_owned()).or_default();
    let offset = records.len();
    while let Some((prefix, rest)) = body.split_first_chunk::<4>() {
        let (record, rest) = rest.split_at(u32::from_be_bytes(*prefix) as usize);
        let (key, value) = record[1..].split_at(usize::from(record[0]));
        records.push((key.to_vec(), value.to_vec()));
        body = rest;
    }
    let end = records.len();
    drop(topics);
    state.appended.notify_waiters();
    let body = serde_json::json!({"offset": offset, "end": end});
    reply(200, body.to_string().into_bytes())
}

fn reply(status: u16, body: Vec<u8>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status.try_into().expect("a status");
    response
}
