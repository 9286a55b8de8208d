//! Queue in front of a target, fair among customers.
//!
//! The most important class is served first. Each customer has its own queue,
//! and within a class the queues are served round-robin, so a customer that
//! floods the target only delays itself. When the total length reaches the
//! gate's limit, a more important call displaces the least important one.
//! Within a class, a customer with fewer waiting calls displaces the latest
//! call of the customer with the most.

use std::collections::VecDeque;
use std::time::Instant;

use model::{CallClass, CustomerName};

use crate::admission::{AdmissionRequest, CallId};

/// Calls waiting for a slot.
#[derive(Debug, Default)]
pub(crate) struct FairQueue {
    queues: VecDeque<CustomerQueue>,
    count: usize,
    expired: Vec<CallId>,
}

/// Waiting calls of one customer; never empty.
#[derive(Debug)]
struct CustomerQueue {
    customer: CustomerName,
    calls: VecDeque<WaitingCall>,
}

/// A call waiting for a slot.
#[derive(Clone, Copy, Debug)]
pub(crate) struct WaitingCall {
    /// Id of the call.
    pub(crate) call: CallId,
    /// Class of the call.
    pub(crate) class: CallClass,
    /// Deadline for the answer.
    pub(crate) deadline: Instant,
    /// When the call was queued.
    pub(crate) queued_at: Instant,
}

impl FairQueue {
    /// Returns the number of waiting calls.
    pub(crate) fn len(&self) -> usize {
        self.count
    }

    /// Returns the number of waiting calls of `customer`.
    pub(crate) fn customer_len(&self, customer: &CustomerName) -> usize {
        let mut queues = self.queues.iter();
        let queue = queues.find(|queue| queue.customer == *customer);
        queue.map_or(0, |queue| queue.calls.len())
    }

    /// Adds a call at the end of its customer's queue.
    pub(crate) fn push(&mut self, request: &AdmissionRequest, now: Instant) {
        let call = WaitingCall {
            call: request.call,
            class: request.class,
            deadline: request.deadline,
            queued_at: now,
        };
        self.count += 1;
        let mut queues = self.queues.iter_mut();
        if let Some(queue) = queues.find(|queue| queue.customer == request.customer) {
            queue.calls.push_back(call);
            return;
        }
        self.queues.push_back(CustomerQueue {
            customer: request.customer.clone(),
            calls: VecDeque::from([call]),
        });
    }

    /// Takes the next call that has not expired; expired ones are returned by `take_expired`.
    pub(crate) fn pop_unexpired(&mut self, now: Instant) -> Option<WaitingCall> {
        while let Some(waiting) = self.pop() {
            if waiting.deadline > now {
                return Some(waiting);
            }
            self.expired.push(waiting.call);
        }
        None
    }

    /// Takes the next call of the most important class, round-robin among customers.
    fn pop(&mut self) -> Option<WaitingCall> {
        let calls = self.queues.iter().flat_map(|queue| &queue.calls);
        let highest_class = calls.map(|waiting| waiting.class).max()?;
        let (index, position) = self.find_call(|waiting| waiting.class == highest_class)?;
        let mut queue = self.queues.remove(index)?;
        let call = queue.calls.remove(position)?;
        if !queue.calls.is_empty() {
            self.queues.push_back(queue);
        }
        self.count -= 1;
        Some(call)
    }

    /// Takes all waiting calls.
    pub(crate) fn take_all(&mut self) -> Vec<CallId> {
        self.count = 0;
        let queues = std::mem::take(&mut self.queues);
        let calls = queues.into_iter().flat_map(|queue| queue.calls);
        calls.map(|waiting| waiting.call).collect()
    }

    /// Removes a call that is waiting, or that expired and was not returned yet.
    pub(crate) fn remove(&mut self, call: CallId) {
        self.expired.retain(|expired| *expired != call);
        self.remove_where(|waiting| waiting.call == call);
    }

    /// Removes and returns the calls whose deadline has passed.
    pub(crate) fn take_expired(&mut self, now: Instant) -> Vec<CallId> {
        let mut expired = std::mem::take(&mut self.expired);
        while let Some(call) = self.remove_where(|waiting| waiting.deadline <= now) {
            expired.push(call);
        }
        expired
    }

    /// Returns the earliest deadline of the waiting calls.
    pub(crate) fn earliest_deadline(&self) -> Option<Instant> {
        let calls = self.queues.iter().flat_map(|queue| &queue.calls);
        calls.map(|waiting| waiting.deadline).min()
    }

    /// Removes a call to make room for `request`: one of a lower class, or one of the same class
    /// whose customer has at least two more waiting calls than that of `request`.
    pub(crate) fn displace(&mut self, request: &AdmissionRequest) -> Option<CallId> {
        let own_len = self.customer_len(&request.customer);
        let (index, position) = self.least_important()?;
        let queue = &self.queues[index];
        let class = queue.calls[position].class;
        let has_longer_queue = class == request.class && queue.calls.len() > own_len + 1;
        if class < request.class || has_longer_queue {
            return self.remove_at(index, position).map(|waiting| waiting.call);
        }
        None
    }

    /// Returns queue and position of the latest call of the lowest class, in the longest queue.
    fn least_important(&self) -> Option<(usize, usize)> {
        let ranked_calls = self.queues.iter().enumerate().flat_map(|(index, queue)| {
            let calls = queue.calls.iter().enumerate();
            calls.map(move |(position, waiting)| {
                let inverted_len = usize::MAX - queue.calls.len();
                let inverted_position = usize::MAX - position;
                (
                    (waiting.class, inverted_len, inverted_position),
                    (index, position),
                )
            })
        });
        ranked_calls.min().map(|(_, place)| place)
    }

    fn remove_where(&mut self, matches: impl Fn(&WaitingCall) -> bool) -> Option<CallId> {
        let (index, position) = self.find_call(matches)?;
        self.remove_at(index, position).map(|waiting| waiting.call)
    }

    /// Returns queue and position of the first call that matches.
    fn find_call(&self, matches: impl Fn(&WaitingCall) -> bool) -> Option<(usize, usize)> {
        let mut queues = self.queues.iter().enumerate();
        queues.find_map(|(index, queue)| {
            let position = queue.calls.iter().position(&matches)?;
            Some((index, position))
        })
    }

    fn remove_at(&mut self, index: usize, position: usize) -> Option<WaitingCall> {
        let queue = &mut self.queues[index];
        let call = queue.calls.remove(position)?;
        if queue.calls.is_empty() {
            self.queues.remove(index);
        }
        self.count -= 1;
        Some(call)
    }
}
