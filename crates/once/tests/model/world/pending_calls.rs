//! Calls that a home has begun and not yet settled.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::once::permit::{DispatchCredentials, DispatchPermit};
use crate::once::{HolderId, KeyCall, KeyRefusal, KeyVerdict, RunOutcome, RunProof, RunTicket};
use model::{ClockPort, ErrorKind};

use super::ledger::{CallAnswer, Ledger};
use super::node::{Message, Node};

/// Time after which a home stops waiting for a target's answer or a permit.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a home waits for the other homes' answers about a key.
const RECALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that the home has begun.
pub(super) struct PendingCall {
    pub(super) ticket: RunTicket,
    pub(super) proxy: HolderId,
    pub(super) target: HolderId,
    pub(super) permit: Option<DispatchPermit>,
    pub(super) sent: bool,
    pub(super) revoking: bool,
    pub(super) since: Instant,
}

impl Node {
    pub(super) fn begin(
        &mut self,
        proxy: HolderId,
        attempt: u64,
        call: &KeyCall,
        ledger: &mut Ledger,
    ) {
        let ticket = match self.home.begin(call) {
            KeyVerdict::Run(ticket) => ticket,
            KeyVerdict::Running => return self.reply(proxy, attempt, CallAnswer::Running, ledger),
            KeyVerdict::Finished(answer) => {
                return self.reply(proxy, attempt, CallAnswer::Answered(answer), ledger);
            }
            KeyVerdict::Refused(refusal) => {
                return self.refuse(proxy, attempt, call, refusal, ledger);
            }
        };
        let targets = self.peers.len().max(1);
        let target = self.peers.get(attempt as usize % targets).copied();
        let target = target.unwrap_or(self.id);
        let pending = PendingCall {
            ticket,
            proxy,
            target,
            permit: None,
            sent: false,
            revoking: false,
            since: self.clock.now(),
        };
        self.pending_calls.insert(attempt, pending);
        self.dispatch(attempt);
    }

    /// Refuses a call; about a key of an earlier term the other homes are asked first.
    fn refuse(
        &mut self,
        proxy: HolderId,
        attempt: u64,
        call: &KeyCall,
        refusal: KeyRefusal,
        ledger: &mut Ledger,
    ) {
        if refusal.error.kind != ErrorKind::KeyUnknown {
            return self.reply(proxy, attempt, CallAnswer::Refused(refusal), ledger);
        }
        for peer in self.peers.iter().filter(|peer| **peer != self.id) {
            let call = call.clone();
            self.outbox.push((*peer, Message::Recall { attempt, call }));
        }
        let since = self.clock.now();
        self.recalls.insert(attempt, (proxy, refusal, since));
    }

    pub(super) fn check_recalls(&mut self, ledger: &mut Ledger) {
        let now = self.clock.now();
        let late = |_: &u64, recall: &mut (HolderId, KeyRefusal, Instant)| {
            now.saturating_duration_since(recall.2) > RECALL_TIMEOUT
        };
        let mut expired: Vec<_> = self.recalls.extract_if(late).collect();
        expired.sort_by_key(|(attempt, _)| *attempt);
        for (attempt, (proxy, refusal, _)) in expired {
            self.reply(proxy, attempt, CallAnswer::Refused(refusal), ledger);
        }
    }

    fn dispatch(&mut self, attempt: u64) {
        let Some(pending) = self.pending_calls.get_mut(&attempt) else {
            return;
        };
        let target = pending.target;
        let needs_permit = pending.ticket.term().is_some();
        pending.permit = self.pool.take(target.daemon);
        pending.sent = pending.permit.is_some() || !needs_permit;
        if pending.sent {
            let credentials = DispatchCredentials {
                permit: pending.permit,
                home: self.id,
                term: pending.ticket.term(),
            };
            let ticket = pending.ticket;
            let message = Message::Dispatch {
                attempt,
                credentials,
                ticket,
            };
            self.outbox.push((target, message));
        }
        if let Some(request) = self.pool.refill_request(target.daemon) {
            self.outbox.push((target, Message::RequestPermits(request)));
        }
    }

    pub(super) fn check_pending_calls(&mut self, ledger: &mut Ledger) {
        let now = self.clock.now();
        let mut attempts: Vec<u64> = self.pending_calls.keys().copied().collect();
        attempts.sort_unstable();
        for attempt in attempts {
            let pending = &self.pending_calls[&attempt];
            let age = now.saturating_duration_since(pending.since);
            match pending.permit {
                None if pending.sent => {
                    if age > DISPATCH_TIMEOUT {
                        self.end(attempt, RunOutcome::Lost, ledger);
                    }
                }
                None if age < DISPATCH_TIMEOUT => self.dispatch(attempt),
                // Without a permit nothing was sent.
                None => self.end(attempt, RunOutcome::NotRun, ledger),
                Some(_) if age > DISPATCH_TIMEOUT * 2 => {
                    self.end(attempt, RunOutcome::Lost, ledger);
                }
                Some(permit) if age > DISPATCH_TIMEOUT && !pending.revoking => {
                    let target = pending.target;
                    self.outbox
                        .push((target, Message::Revoke { attempt, permit }));
                    let pending = self.pending_calls.get_mut(&attempt).expect("just seen");
                    pending.revoking = true;
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn end(&mut self, attempt: u64, outcome: RunOutcome, ledger: &mut Ledger) {
        let Some(pending) = self.pending_calls.remove(&attempt) else {
            return;
        };
        let answer = match &outcome {
            RunOutcome::Done(answer) => CallAnswer::Answered(Arc::clone(answer)),
            RunOutcome::NotRun => refusal(ErrorKind::TargetAbsent, RunProof::NotRun),
            _ => refusal(ErrorKind::OutcomeUnknown, RunProof::MayHaveRun),
        };
        if let Some(handed) = self.home.settle(pending.ticket, outcome) {
            self.unsent_outcomes.push(handed);
        }
        self.reply(pending.proxy, attempt, answer, ledger);
    }
}

fn refusal(kind: ErrorKind, proof: RunProof) -> CallAnswer {
    CallAnswer::Refused(KeyRefusal::new(kind, proof, "the target gave no answer"))
}
