//! Calls that a home has begun, until they are settled.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::once::permit::{DispatchCredentials, DispatchPermit};
use crate::once::{HolderId, KeyCall, KeyRefusal, KeyVerdict, RunOutcome, RunProof, RunTicket};
use model::{ClockPort, ErrorKind};

use super::ledger::{CallerAnswer, Ledger};
use super::node::{Message, Node};

/// A home gives up waiting for a target's answer or a permit.
const DISPATCH_TIMEOUT: Duration = Duration::from_secs(2);
/// A home waits this long for what other homes know of a key.
const RECALL_TIMEOUT: Duration = Duration::from_millis(400);

/// A call that the home has begun.
pub(super) struct Flight {
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
        sending: u64,
        call: &KeyCall,
        ledger: &mut Ledger,
    ) {
        let ticket = match self.home.begin(call) {
            KeyVerdict::Run(ticket) => ticket,
            KeyVerdict::Running => return self.tell(proxy, sending, CallerAnswer::Running, ledger),
            KeyVerdict::Finished(answer) => {
                return self.tell(proxy, sending, CallerAnswer::Answered(answer), ledger);
            }
            KeyVerdict::Refused(refusal) => {
                return self.refuse(proxy, sending, call, refusal, ledger);
            }
        };
        let targets = self.peers.len().max(1);
        let target = self.peers.get(sending as usize % targets).copied();
        let target = target.unwrap_or(self.id);
        let flight = Flight {
            ticket,
            proxy,
            target,
            permit: None,
            sent: false,
            revoking: false,
            since: self.clock.now(),
        };
        self.flights.insert(sending, flight);
        self.dispatch(sending);
    }

    /// Refuses, after the other homes were asked about a key of an earlier term.
    fn refuse(
        &mut self,
        proxy: HolderId,
        sending: u64,
        call: &KeyCall,
        refusal: KeyRefusal,
        ledger: &mut Ledger,
    ) {
        if refusal.error.kind != ErrorKind::KeyUnknown {
            return self.tell(proxy, sending, CallerAnswer::Refused(refusal), ledger);
        }
        for peer in self.peers.iter().filter(|peer| **peer != self.id) {
            let call = call.clone();
            self.outbox.push((*peer, Message::Recall { sending, call }));
        }
        let since = self.clock.now();
        self.recalls.insert(sending, (proxy, refusal, since));
    }

    pub(super) fn check_recalls(&mut self, ledger: &mut Ledger) {
        let now = self.clock.now();
        let late = |_: &u64, recall: &mut (HolderId, KeyRefusal, Instant)| {
            now.saturating_duration_since(recall.2) > RECALL_TIMEOUT
        };
        let mut expired: Vec<_> = self.recalls.extract_if(late).collect();
        expired.sort_by_key(|(sending, _)| *sending);
        for (sending, (proxy, refusal, _)) in expired {
            self.tell(proxy, sending, CallerAnswer::Refused(refusal), ledger);
        }
    }

    fn dispatch(&mut self, sending: u64) {
        let Some(flight) = self.flights.get_mut(&sending) else {
            return;
        };
        let target = flight.target;
        let needs_permit = flight.ticket.term().is_some();
        flight.permit = self.pool.take(target.daemon);
        flight.sent = flight.permit.is_some() || !needs_permit;
        if flight.sent {
            let credentials = DispatchCredentials {
                permit: flight.permit,
                home: self.id,
                term: flight.ticket.term(),
            };
            let ticket = flight.ticket;
            let message = Message::Dispatch {
                sending,
                credentials,
                ticket,
            };
            self.outbox.push((target, message));
        }
        if let Some(request) = self.pool.refill_request(target.daemon) {
            self.outbox.push((target, Message::PermitAsk(request)));
        }
    }

    pub(super) fn check_flights(&mut self, ledger: &mut Ledger) {
        let now = self.clock.now();
        let mut sendings: Vec<u64> = self.flights.keys().copied().collect();
        sendings.sort_unstable();
        for sending in sendings {
            let flight = &self.flights[&sending];
            let age = now.saturating_duration_since(flight.since);
            match flight.permit {
                None if flight.sent => {
                    if age > DISPATCH_TIMEOUT {
                        self.end(sending, RunOutcome::Lost, ledger);
                    }
                }
                None if age < DISPATCH_TIMEOUT => self.dispatch(sending),
                // Nothing was sent without a permit.
                None => self.end(sending, RunOutcome::NotRun, ledger),
                Some(_) if age > DISPATCH_TIMEOUT * 2 => {
                    self.end(sending, RunOutcome::Lost, ledger);
                }
                Some(permit) if age > DISPATCH_TIMEOUT && !flight.revoking => {
                    let target = flight.target;
                    self.outbox
                        .push((target, Message::Revoke { sending, permit }));
                    let flight = self.flights.get_mut(&sending).expect("just seen");
                    flight.revoking = true;
                }
                Some(_) => {}
            }
        }
    }

    pub(super) fn end(&mut self, sending: u64, outcome: RunOutcome, ledger: &mut Ledger) {
        let Some(flight) = self.flights.remove(&sending) else {
            return;
        };
        let answer = match &outcome {
            RunOutcome::Done(answer) => CallerAnswer::Answered(Arc::clone(answer)),
            RunOutcome::NotRun => refusal(ErrorKind::TargetAbsent, RunProof::NotRun),
            _ => refusal(ErrorKind::OutcomeUnknown, RunProof::MayHaveRun),
        };
        if let Some(handed) = self.home.settle(flight.ticket, outcome) {
            self.late.push(handed);
        }
        self.tell(flight.proxy, sending, answer, ledger);
    }
}

fn refusal(kind: ErrorKind, proof: RunProof) -> CallerAnswer {
    CallerAnswer::Refused(KeyRefusal::new(kind, proof, "the target gave no answer"))
}
