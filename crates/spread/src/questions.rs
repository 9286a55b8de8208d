//! Pending requests to peers that expect a response; here and in the messages, such
//! a request is called a question and its response an answer.
//!
//! The age in an answer is counted from the time its question was sent, which is
//! remembered here.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::QuestionNumber;

/// Maximum number of pending questions; the oldest are dropped first.
const MAX_QUESTIONS: usize = 64;

/// Time after which an answer is ignored.
const QUESTION_LIFETIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct PendingQuestion {
    number: QuestionNumber,
    peer: DaemonId,
    asked_at: Instant,
}

/// Questions sent to peers that are not answered yet.
#[derive(Debug, Default)]
pub struct QuestionTable {
    pending: VecDeque<PendingQuestion>,
    last: QuestionNumber,
}

impl QuestionTable {
    /// Records a question to `peer` and returns its number.
    pub fn ask(&mut self, peer: DaemonId, now: Instant) -> QuestionNumber {
        if self.pending.len() >= MAX_QUESTIONS {
            self.pending.pop_front();
        }
        self.last.0 = self.last.0.wrapping_add(1);
        self.pending.push_back(PendingQuestion {
            number: self.last,
            peer,
            asked_at: now,
        });
        self.last
    }

    /// Returns when the question that `peer` answers was sent, and removes the
    /// question, so that a duplicate answer is ignored.
    pub fn answer(&mut self, peer: DaemonId, number: QuestionNumber) -> Option<Instant> {
        let is_answered =
            |pending: &PendingQuestion| pending.number == number && pending.peer == peer;
        let index = self.pending.iter().position(is_answered)?;
        self.pending.remove(index).map(|pending| pending.asked_at)
    }

    /// Drops questions older than [`QUESTION_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        while let Some(oldest) = self.pending.front() {
            if now.saturating_duration_since(oldest.asked_at) < QUESTION_LIFETIME {
                return;
            }
            self.pending.pop_front();
        }
    }
}
