//! Stored answers of finished calls, for replay to repeated attempts.
//!
//! The store is bounded in bytes, per answer and in total. When it is full, the
//! oldest answer is evicted; that the call has run is remembered separately and
//! is not evicted with it.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use model::ByteCount;
use serde::{Deserialize, Serialize};

use crate::key::KeyDigest;

/// Memory of an answer in addition to its content, in bytes.
const ANSWER_OVERHEAD_BYTES: u64 = 160;
/// Memory of a header in addition to its name and value, in bytes.
const HEADER_OVERHEAD_BYTES: u64 = 32;

/// A header of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnswerHeader {
    /// Name of the header.
    pub name: Box<str>,
    /// Value of the header.
    pub value: Box<[u8]>,
}

/// A complete answer of a target.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers in the order in which the target sent them.
    pub headers: Box<[AnswerHeader]>,
    /// Complete body.
    pub body: Box<[u8]>,
}

impl StoredAnswer {
    /// Returns the memory that the answer takes.
    pub fn size(&self) -> ByteCount {
        let headers: u64 = self
            .headers
            .iter()
            .map(|header| (header.name.len() + header.value.len()) as u64 + HEADER_OVERHEAD_BYTES)
            .sum();
        ByteCount(ANSWER_OVERHEAD_BYTES + headers + self.body.len() as u64)
    }
}

/// Answers by key, evicted oldest first.
#[derive(Debug)]
pub struct AnswerStore {
    answers: HashMap<KeyDigest, Arc<StoredAnswer>>,
    order: VecDeque<KeyDigest>,
    held: ByteCount,
    budget: ByteCount,
    largest: ByteCount,
}

impl AnswerStore {
    /// Creates a store of at most `budget` that accepts no answer above `largest`.
    pub fn new(budget: ByteCount, largest: ByteCount) -> Self {
        Self {
            answers: HashMap::new(),
            order: VecDeque::new(),
            held: ByteCount(0),
            budget,
            largest,
        }
    }

    /// Returns the memory that the stored answers take.
    pub fn held(&self) -> ByteCount {
        self.held
    }

    /// Returns the answer to the call with `digest`, if it is still stored.
    pub fn get(&self, digest: KeyDigest) -> Option<&Arc<StoredAnswer>> {
        self.answers.get(&digest)
    }

    /// Stores an answer unless it is too large or the key already has one.
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

    /// Removes the answers of keys for which `keep` returns false.
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
