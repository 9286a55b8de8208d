//! The platform's store: a log with keyed topics of one partition each.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, response};

/// Interval at which a waiting read looks for records.
const POLL: Duration = Duration::from_millis(5);
/// Most items of one page of `log-newest`.
const PAGE_ITEMS: usize = 500;

type Records = Vec<(Vec<u8>, Vec<u8>)>;

/// A running store.
#[derive(Clone, Debug, Default)]
pub struct Store {
    topics: Arc<Mutex<HashMap<String, Records>>>,
}

impl Store {
    /// Starts a store that listens at `address`.
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self::default();
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || drop(store.serve(socket)));
            }
        });
        Ok(store)
    }

    /// Appends a record of the operator.
    pub fn publish(&self, key: &str, value: &str) {
        let mut topics = self.lock();
        let records = topics.entry("keyed.op".to_owned()).or_default();
        records.push((key.into(), value.into()));
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<String, Records>> {
        self.topics.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(&self, socket: TcpStream) -> io::Result<()> {
        let mut connection = Connection::new(socket);
        while let Some(request) = connection.read()? {
            let (status, body) = self.answer(&request);
            connection.write(&response(status, &[("Store-Era", "1")], &body))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: HashMap<&str, &str> = query
            .split('&')
            .filter_map(|part| part.split_once('='))
            .collect();
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<usize>().ok());
        let topic = query.get("topic").copied().unwrap_or_default();
        match path {
            "/v1/log-append" => self.append(topic, number("at"), &request.body),
            "/v1/log-read" => {
                let wait = Duration::from_millis(number("wait_ms").unwrap_or(0) as u64);
                self.read(topic, number("from").unwrap_or(0), wait)
            }
            "/v1/log-newest" => self.newest(topic, query.get("after").copied()),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, topic: &str, at: Option<usize>, mut body: &[u8]) -> (u16, Vec<u8>) {
        let mut topics = self.lock();
        let records = topics.entry(topic.to_owned()).or_default();
        let offset = records.len();
        if at.is_some_and(|at| at != offset) {
            return (412, format!(r#"{{"end":{offset}}}"#).into_bytes());
        }
        while let Some((prefix, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*prefix) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            records.push((key.to_vec(), value.to_vec()));
            body = rest;
        }
        let end = records.len();
        (
            200,
            format!(r#"{{"offset":{offset},"end":{end}}}"#).into_bytes(),
        )
    }

    fn read(&self, topic: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        loop {
            {
                let topics = self.lock();
                let records = topics.get(topic).map_or(&[][..], |records| records);
                if from > records.len() {
                    return (410, br#"{"first":0}"#.to_vec());
                }
                if records.len() > from || Instant::now() >= until {
                    let mut body = (records.len() as u64).to_be_bytes().to_vec();
                    body.extend_from_slice(&0_u64.to_be_bytes());
                    for (key, value) in &records[from..] {
                        let length = 1 + key.len() + value.len();
                        body.extend_from_slice(&(length as u32).to_be_bytes());
                        body.push(key.len() as u8);
                        body.extend_from_slice(key);
                        body.extend_from_slice(value);
                    }
                    return (200, body);
                }
            }
            thread::sleep(POLL);
        }
    }

    fn newest(&self, topic: &str, after: Option<&str>) -> (u16, Vec<u8>) {
        let topics = self.lock();
        let records = topics.get(topic).map_or(&[][..], |records| records);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            let key = String::from_utf8_lossy(key).into_owned();
            if value.is_empty() {
                newest.remove(&key);
            } else {
                newest.insert(key, (offset, value));
            }
        }
        let matching: Vec<String> = newest
            .iter()
            .filter(|(key, _)| after.is_none_or(|after| key.as_str() > after))
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!(r#"{{"key":"{key}","value":"{value}","offset":{offset}}}"#)
            })
            .collect();
        let page = &matching[..matching.len().min(PAGE_ITEMS)];
        let more = page.len() < matching.len();
        let end = records.len();
        let items = page.join(",");
        let body = format!(r#"{{"items":[{items}],"has_more":{more},"end":{end}}}"#);
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..chunk.len()].copy_from_slice(chunk);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for index in 0..4 {
            let symbol = ALPHABET[(word >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                symbol as char
            } else {
                '='
            });
        }
    }
    text
}
