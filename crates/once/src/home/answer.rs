//! First answers of finished calls, kept for repeated sendings.
//!
//! Bounded in bytes, per answer and in total. Where there is no room the
//! oldest answer goes, never the memory that the call has run.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use model::ByteCount;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Bytes that an answer takes besides its text.
const ANSWER_OVERHEAD_BYTES: u64 = 160;
/// Bytes that a header takes besides its text.
const HEADER_OVERHEAD_BYTES: u64 = 32;

/// One header of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHeader {
    /// Its name.
    pub name: Box<str>,
    /// Its value.
    pub value: Box<[u8]>,
}

/// A whole answer of a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order of the target.
    pub headers: Box<[AnswerHeader]>,
    /// The body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Memory that the answer takes.
    pub fn size(&self) -> ByteCount {
        let headers: u64 = self
            .headers
            .iter()
            .map(|header| (header.name.len() + header.value.len()) as u64 + HEADER_OVERHEAD_BYTES)
            .sum();
        ByteCount(ANSWER_OVERHEAD_BYTES + headers + self.body.len() as u64)
    }
}

/// Answers by key, oldest first.
#[derive(Debug)]
pub struct AnswerStore {
    answers: HashMap<KeyDigest, Arc<StoredAnswer>>,
    order: VecDeque<KeyDigest>,
    held: ByteCount,
    budget: ByteCount,
    largest: ByteCount,
}

impl AnswerStore {
    /// A store of at most `budget`, with no answer above `largest`.
    pub fn new(budget: ByteCount, largest: ByteCount) -> Self {
        Self {
            answers: HashMap::new(),
            order: VecDeque::new(),
            held: ByteCount(0),
            budget,
            largest,
        }
    }

    /// Memory that the answers take.
    pub fn held(&self) -> ByteCount {
        self.held
    }

    /// The answer of `digest`, if it is still held.
    pub fn get(&self, digest: KeyDigest) -> Option<&Arc<StoredAnswer>> {
        self.answers.get(&digest)
    }

    /// Keeps an answer unless it is too large; the first one stays.
    pub fn put(&mut self, digest: KeyDigest, answer: Arc<StoredAnswer>) {
        let size = answer.size();
        if size > self.largest || size > self.budget || self.answers.contains_key(&digest) {
            return;
        }
        while self.held.0 + size.0 > self.budget.0 {
            let Some(oldest) = self.order.pop_front() else {
                break;
            };
            self.remove(oldest);
        }
        self.held += size;
        self.order.push_back(digest);
        self.answers.insert(digest, answer);
    }

    /// Forgets the answers of keys for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(KeyDigest) -> bool) {
        let order = std::mem::take(&mut self.order);
        for digest in order {
            if keep(digest) {
                self.order.push_back(digest);
            } else {
                self.remove(digest);
            }
        }
    }

    fn remove(&mut self, digest: KeyDigest) {
        if let Some(answer) = self.answers.remove(&digest) {
            self.held.0 -= answer.size().0;
        }
    }
}
