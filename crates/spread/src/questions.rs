//! Questions under way, so that an answer is dated from its question.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use model::DaemonId;

use crate::message::QuestionNumber;

/// Questions kept; the oldest give way.
const MAX_QUESTIONS: usize = 64;

/// Time after which an answer no longer counts.
const QUESTION_LIFETIME: Duration = Duration::from_secs(5);

#[derive(Clone, Copy, Debug)]
struct OpenQuestion {
    number: QuestionNumber,
    peer: DaemonId,
    asked_at: Instant,
}

/// Questions that were asked and not answered yet.
#[derive(Debug, Default)]
pub struct QuestionTable {
    open: VecDeque<OpenQuestion>,
    last: QuestionNumber,
}

impl QuestionTable {
    /// Notes a question to `peer` and numbers it.
    pub fn ask(&mut self, peer: DaemonId, now: Instant) -> QuestionNumber {
        if self.open.len() >= MAX_QUESTIONS {
            self.open.pop_front();
        }
        self.last.0 = self.last.0.wrapping_add(1);
        self.open.push_back(OpenQuestion {
            number: self.last,
            peer,
            asked_at: now,
        });
        self.last
    }

    /// When the question was asked that `peer` answers; an answer counts once.
    pub fn answer(&mut self, peer: DaemonId, number: QuestionNumber) -> Option<Instant> {
        let same = |open: &OpenQuestion| open.number == number && open.peer == peer;
        let place = self.open.iter().position(same)?;
        self.open.remove(place).map(|open| open.asked_at)
    }

    /// Forgets old questions.
    pub fn expire(&mut self, now: Instant) {
        while let Some(open) = self.open.front() {
            if now.saturating_duration_since(open.asked_at) < QUESTION_LIFETIME {
                return;
            }
            self.open.pop_front();
        }
    }
}
