//! The short queue in front of a target, fair among customers.
//!
//! Each customer has a queue of its own and the queues are served in turn, so
//! a customer who floods waits behind itself. When the whole queue is full, a
//! more important call displaces the least important one, and at the same
//! class a customer with fewer waiting calls displaces the latest call of the
//! customer with the most.

use std::collections::VecDeque;
use std::time::Instant;

use model::{CallClass, CustomerName};

use crate::admission::{AdmissionRequest, CallId};

/// Calls that wait for a slot.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    lines: VecDeque<CustomerLine>,
    count: usize,
    expired: Vec<CallId>,
}

/// The waiting calls of one customer; never empty.
#[derive(Debug)]
struct CustomerLine {
    customer: CustomerName,
    calls: VecDeque<WaitingCall>,
}

/// A call that waits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingCall {
    /// Its id.
    pub(crate) call: CallId,
    /// Its class.
    pub(crate) class: CallClass,
    /// When it must have been answered.
    pub(crate) deadline: Instant,
    /// When it came.
    pub(crate) since: Instant,
}

impl FairQueue {
    /// Calls that wait.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Calls of `customer` that wait.
    pub(crate) fn len_of(&self, customer: &CustomerName) -> usize {
        let mut lines = self.lines.iter();
        let line = lines.find(|line| line.customer == *customer);
        line.map_or(0, |line| line.calls.len())
    }

    /// Adds a call at the end of its customer's line.
    pub(crate) fn push(&mut self, ticket: &AdmissionRequest, now: Instant) {
        let call = WaitingCall {
            call: ticket.call,
            class: ticket.class,
            deadline: ticket.deadline,
            since: now,
        };
        self.count += 1;
        let mut lines = self.lines.iter_mut();
        if let Some(line) = lines.find(|line| line.customer == ticket.customer) {
            line.calls.push_back(call);
            return;
        }
        self.lines.push_back(CustomerLine {
            customer: ticket.customer.clone(),
            calls: VecDeque::from([call]),
        });
    }

    /// Takes the next call that is still in time; the others come out of `take_expired`.
    pub(crate) fn pop_open(&mut self, now: Instant) -> Option<WaitingCall> {
        while let Some(waiting) = self.pop() {
            if waiting.deadline > now {
                return Some(waiting);
            }
            self.expired.push(waiting.call);
        }
        None
    }

    /// Takes the next call: the first of the most important class, customers in turn.
    fn pop(&mut self) -> Option<WaitingCall> {
        let calls = self.lines.iter().flat_map(|line| &line.calls);
        let best = calls.map(|waiting| waiting.class).max()?;
        let (index, position) = self.find(|waiting| waiting.class == best)?;
        let mut line = self.lines.remove(index)?;
        let call = line.calls.remove(position)?;
        if !line.calls.is_empty() {
            self.lines.push_back(line);
        }
        self.count -= 1;
        Some(call)
    }

    /// Takes every call that waits.
    pub(crate) fn take_all(&mut self) -> Vec<CallId> {
        self.count = 0;
        let lines = std::mem::take(&mut self.lines);
        let calls = lines.into_iter().flat_map(|line| line.calls);
        calls.map(|waiting| waiting.call).collect()
    }

    /// Removes a call wherever it waits, or has expired without being told.
    pub(crate) fn remove(&mut self, call: CallId) {
        self.expired.retain(|expired| *expired != call);
        self.remove_where(|waiting| waiting.call == call);
    }

    /// Removes the calls whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<CallId> {
        let mut expired = std::mem::take(&mut self.expired);
        while let Some(call) = self.remove_where(|waiting| waiting.deadline <= now) {
            expired.push(call);
        }
        expired
    }

    /// Earliest deadline of the waiting calls.
    pub(crate) fn earliest(&self) -> Option<Instant> {
        let calls = self.lines.iter().flat_map(|line| &line.calls);
        calls.map(|waiting| waiting.deadline).min()
    }

    /// Makes room for `ticket` by removing a call that matters less, if there is one.
    pub(crate) fn displace(&mut self, ticket: &AdmissionRequest) -> Option<CallId> {
        let own = self.len_of(&ticket.customer);
        let (index, position) = self.least_important()?;
        let line = &self.lines[index];
        let class = line.calls[position].class;
        let fairer = class == ticket.class && line.calls.len() > own + 1;
        if class < ticket.class || fairer {
            return self.remove_at(index, position).map(|waiting| waiting.call);
        }
        None
    }

    /// Line and position of the latest call of the lowest class, in the longest such line.
    fn least_important(&self) -> Option<(usize, usize)> {
        let ranked = self.lines.iter().enumerate().flat_map(|(index, line)| {
            let calls = line.calls.iter().enumerate();
            calls.map(move |(position, waiting)| {
                let length = usize::MAX - line.calls.len();
                let latest = usize::MAX - position;
                ((waiting.class, length, latest), (index, position))
            })
        });
        ranked.min().map(|(_, place)| place)
    }

    fn remove_where(&mut self, wanted: impl Fn(&WaitingCall) -> bool) -> Option<CallId> {
        let (index, position) = self.find(wanted)?;
        self.remove_at(index, position).map(|waiting| waiting.call)
    }

    /// Line and position of the first call that is wanted.
    fn find(&self, wanted: impl Fn(&WaitingCall) -> bool) -> Option<(usize, usize)> {
        let mut lines = self.lines.iter().enumerate();
        lines.find_map(|(index, line)| {
            let position = line.calls.iter().position(&wanted)?;
            Some((index, position))
        })
    }

    fn remove_at(&mut self, index: usize, position: usize) -> Option<WaitingCall> {
        let line = &mut self.lines[index];
        let call = line.calls.remove(position)?;
        if line.calls.is_empty() {
            self.lines.remove(index);
        }
        self.count -= 1;
        Some(call)
    }
}
