//! The body of a target's answer, buffered or streamed.
//!
//! A body up to `MAX_BUFFERED_BYTES` is buffered, so that the request can be
//! retried if the body breaks off. A longer one is streamed and holds its slot
//! at the target until its end. A faulty target may send bytes without end, so
//! a body is cut off at a maximum size and when its caller stops waiting; its
//! connection is closed then.

use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mesh::ResponseLimit;
use mesh::response::ExceededLimit;
use model::{ByteCount, SharedClock};
use tokio::time::timeout_at;

use crate::desk::DeskPlace;
use crate::target_client::TargetExchange;

/// Maximum size of an answer that the daemon beside the target, and then the one beside the
/// caller, buffers before it forwards the head.
pub(crate) const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// Body of a target's answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// The complete body, read to its end.
    Whole(Bytes),
    /// A long body, read piece by piece.
    Stream(Box<BodyStream>),
}

/// A long body that is read piece by piece.
#[derive(Debug)]
pub struct BodyStream {
    first: Option<Bytes>,
    exchange: Option<TargetExchange>,
    slot: Option<DeskPlace>,
    limit: ResponseLimit,
    clock: SharedClock,
    /// When the last piece was handed over, until the next one is asked for.
    handed_at: Option<Instant>,
}

/// Result of reading a body into the buffer.
pub(crate) enum ReadBody {
    /// The complete body.
    Whole(Bytes),
    /// The beginning of a body that is too long to buffer.
    Partial(Bytes),
}

/// Reads the body to its end, or until it is too long to buffer.
pub(crate) async fn read_body(
    response: &mut Response<Incoming>,
) -> std::result::Result<ReadBody, Box<str>> {
    let mut buffered = BytesMut::new();
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffered.is_empty() && http_body::Body::is_end_stream(response.body()) {
            return Ok(ReadBody::Whole(data));
        }
        buffered.extend_from_slice(&data);
        if buffered.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadBody::Partial(buffered.freeze()));
        }
    }
    Ok(ReadBody::Whole(buffered.freeze()))
}

impl BodyStream {
    /// Creates a stream of which `first` was already read.
    pub(crate) fn new(
        first: Bytes,
        exchange: TargetExchange,
        slot: DeskPlace,
        limit: ResponseLimit,
        clock: SharedClock,
    ) -> Self {
        Self {
            limit,
            clock,
            first: Some(first),
            exchange: Some(exchange),
            slot: Some(slot),
            handed_at: None,
        }
    }

    /// Returns the time at which the caller stops waiting.
    pub fn deadline(&self) -> Instant {
        self.limit.deadline()
    }

    /// Returns the next bytes, or `None` after the end of the body.
    pub async fn next(&mut self) -> Option<std::result::Result<Bytes, Box<str>>> {
        self.discount_reader();
        let piece = self.read_piece().await;
        self.handed_at = Some(self.clock.now());
        piece
    }

    async fn read_piece(&mut self) -> Option<std::result::Result<Bytes, Box<str>>> {
        if let Some(first) = self.first.take() {
            return Some(self.check_limit(first));
        }
        loop {
            let exchange = self.exchange.as_mut()?;
            let reading = exchange.response.body_mut().frame();
            let Ok(frame_read) = timeout_at(self.limit.deadline().into(), reading).await else {
                return Some(Err(self.cut_off(&ExceededLimit::Time)));
            };
            match frame_read {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    return Some(self.check_limit(data));
                }
                Some(Err(error)) => return Some(Err(self.cut_off(&error))),
                None => {
                    if let Some(exchange) = self.exchange.take() {
                        exchange.finish();
                    }
                    if let Some(slot) = self.slot.take() {
                        slot.finish(false);
                    }
                    return None;
                }
            }
        }
    }

    /// Ends an answer whose pieces are not taken: closes the connection and gives the slot back, without
    /// blaming the target.
    pub fn give_up(&mut self) {
        self.discount_reader();
        self.exchange = None;
        self.slot = None;
        log::warn!(bytes = self.limit.forwarded().0; "answer not taken in time");
    }

    /// Takes the time since the last piece was handed over out of the target's run time.
    fn discount_reader(&mut self) {
        if let (Some(handed_at), Some(slot)) = (self.handed_at.take(), &self.slot) {
            slot.discount(self.clock.now().saturating_duration_since(handed_at));
        }
    }

    fn check_limit(&mut self, data: Bytes) -> std::result::Result<Bytes, Box<str>> {
        let length = ByteCount(data.len() as u64);
        match self.limit.record(length, self.clock.now()) {
            Ok(()) => Ok(data),
            Err(excess) => Err(self.cut_off(&excess)),
        }
    }

    /// Closes the connection, so that the target stops sending, and releases the slot.
    fn cut_off(&mut self, cause: &dyn std::fmt::Display) -> Box<str> {
        self.exchange = None;
        if let Some(slot) = self.slot.take() {
            slot.finish(true);
        }
        log::warn!(cause:% = cause, bytes = self.limit.forwarded().0; "answer cut off");
        cause.to_string().into()
    }
}
