//! The body of a target's answer, read whole or begun.
//!
//! A body up to a size is held whole, so that a broken one can be asked for
//! again; a longer one keeps its place at the target until its end. A target in
//! trouble may send bytes without end, so a body is cut off at a size and when
//! its caller stops waiting; its connection is closed then.

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

/// Longest answer that is held whole before its head is passed on, at either daemon.
pub(crate) const MAX_BUFFERED_BYTES: usize = 512 << 10;

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// All of it, checked to be complete.
    Whole(Bytes),
    /// The beginning of a long one; the rest is read from the stream.
    Stream(Box<BodyStream>),
}

/// The rest of a long answer.
#[derive(Debug)]
pub struct BodyStream {
    first: Option<Bytes>,
    exchange: Option<TargetExchange>,
    place: Option<DeskPlace>,
    bound: ResponseLimit,
    clock: SharedClock,
}

/// What was read of a body.
pub(crate) enum ReadBody {
    /// All of it.
    Whole(Bytes),
    /// The beginning of a long one.
    Begun(Bytes),
}

/// Reads the body to its end, or until it is too long to hold.
pub(crate) async fn read_body(
    response: &mut Response<Incoming>,
) -> std::result::Result<ReadBody, Box<str>> {
    let mut held = BytesMut::new();
    while let Some(frame) = response.body_mut().frame().await {
        let frame = frame.map_err(|error| error.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if held.is_empty() && http_body::Body::is_end_stream(response.body()) {
            return Ok(ReadBody::Whole(data));
        }
        held.extend_from_slice(&data);
        if held.len() > MAX_BUFFERED_BYTES {
            return Ok(ReadBody::Begun(held.freeze()));
        }
    }
    Ok(ReadBody::Whole(held.freeze()))
}

impl BodyStream {
    /// The rest of an answer of which `first` was read.
    pub(crate) fn new(
        first: Bytes,
        exchange: TargetExchange,
        place: DeskPlace,
        bound: ResponseLimit,
        clock: SharedClock,
    ) -> Self {
        Self {
            bound,
            clock,
            first: Some(first),
            exchange: Some(exchange),
            place: Some(place),
        }
    }

    /// The next bytes; nothing after the end of a whole body.
    pub async fn next(&mut self) -> Option<std::result::Result<Bytes, Box<str>>> {
        if let Some(first) = self.first.take() {
            return Some(self.pass(first));
        }
        loop {
            let exchange = self.exchange.as_mut()?;
            let reading = exchange.response.body_mut().frame();
            let Ok(read) = timeout_at(self.bound.deadline().into(), reading).await else {
                return Some(Err(self.cut_off(&ExceededLimit::Time)));
            };
            match read {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else {
                        continue;
                    };
                    return Some(self.pass(data));
                }
                Some(Err(error)) => return Some(Err(self.cut_off(&error))),
                None => {
                    if let Some(exchange) = self.exchange.take() {
                        exchange.finish();
                    }
                    if let Some(place) = self.place.take() {
                        place.finish(false);
                    }
                    return None;
                }
            }
        }
    }

    fn pass(&mut self, data: Bytes) -> std::result::Result<Bytes, Box<str>> {
        let length = ByteCount(data.len() as u64);
        match self.bound.record(length, self.clock.now()) {
            Ok(()) => Ok(data),
            Err(excess) => Err(self.cut_off(&excess)),
        }
    }

    /// Closes the connection, so that the target lets go, and gives the place back.
    fn cut_off(&mut self, cause: &dyn std::fmt::Display) -> Box<str> {
        self.exchange = None;
        if let Some(place) = self.place.take() {
            place.finish(true);
        }
        log::warn!(cause:% = cause, bytes = self.bound.forwarded().0; "answer cut off");
        cause.to_string().into()
    }
}
