//! Record of the runs, against which each answer to a caller is checked.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;

use crate::once::home::CloseVerdict;
use crate::once::key::KeyDigest;
use crate::once::{KeyCall, KeyRefusal, RunProof, StoredAnswer};
use model::ErrorKind;

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum CallAnswer {
    Answered(Arc<StoredAnswer>),
    Running,
    Refused(KeyRefusal),
}

impl CallAnswer {
    pub fn kind(&self) -> Option<ErrorKind> {
        match self {
            Self::Refused(refusal) => Some(refusal.error.kind),
            _ => None,
        }
    }

    pub fn proof(&self) -> Option<RunProof> {
        match self {
            Self::Refused(refusal) => Some(refusal.proof),
            _ => None,
        }
    }
}

/// Runs and answers of all calls; panics on a violated invariant.
#[derive(Default)]
pub struct Ledger {
    pub runs: HashMap<KeyDigest, u32>,
    pub refusals: BTreeMap<ErrorKind, u32>,
    pub answered: u32,
    never_runs: HashSet<KeyDigest>,
    first: HashMap<KeyDigest, Arc<StoredAnswer>>,
    digests: HashMap<u64, KeyDigest>,
    answers: HashMap<u64, CallAnswer>,
}

impl Ledger {
    pub fn record_attempt(&mut self, attempt: u64, call: &KeyCall) {
        self.digests.insert(attempt, call.digest);
    }

    /// Records the run of a call; the answer differs from all other answers.
    pub fn run(&mut self, digest: KeyDigest) -> Arc<StoredAnswer> {
        let runs = self.runs.entry(digest).or_default();
        *runs += 1;
        assert_eq!(*runs, 1, "{digest} ran twice");
        assert!(
            !self.never_runs.contains(&digest),
            "{digest} ran though closed"
        );
        let number = self.runs.len();
        Arc::new(StoredAnswer {
            status: 201,
            headers: Box::default(),
            body: format!("payout {number}").into_bytes().into(),
        })
    }

    /// Checks an answer at the moment at which a home or proxy decides on it.
    pub fn check_answer(&mut self, attempt: u64, answer: &CallAnswer) {
        let digest = self.digests[&attempt];
        let runs = self.runs.get(&digest).copied().unwrap_or_default();
        match answer {
            CallAnswer::Answered(answer) => {
                assert_eq!(runs, 1, "{digest} answered without a run");
                let first = self
                    .first
                    .entry(digest)
                    .or_insert_with(|| Arc::clone(answer));
                assert_eq!(first, answer, "{digest} got a second answer");
                self.answered += 1;
            }
            CallAnswer::Refused(refusal) => {
                match refusal.proof {
                    RunProof::NotRun => assert_eq!(runs, 0, "{digest} ran: {}", refusal.error),
                    RunProof::Done => assert_eq!(runs, 1, "{digest} never ran: {}", refusal.error),
                    RunProof::SendingNotRun | RunProof::MayHaveRun => {}
                }
                *self.refusals.entry(refusal.error.kind).or_default() += 1;
            }
            CallAnswer::Running => {}
        }
    }

    pub fn deliver(&mut self, attempt: u64, answer: CallAnswer) {
        self.answers.insert(attempt, answer);
    }

    pub fn answer(&self, attempt: u64) -> Option<CallAnswer> {
        self.answers.get(&attempt).cloned()
    }

    pub fn note_close(&mut self, digest: KeyDigest, verdict: &CloseVerdict) {
        let runs = self.runs.get(&digest).copied().unwrap_or_default();
        match verdict {
            CloseVerdict::NeverRan => {
                assert_eq!(runs, 0, "{digest} ran before it was closed");
                self.never_runs.insert(digest);
            }
            CloseVerdict::Ran(_) => assert_eq!(runs, 1, "{digest} never ran"),
            _ => {}
        }
    }
}
