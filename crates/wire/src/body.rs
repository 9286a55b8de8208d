//! The two directions of an exchange.

use std::future::poll_fn;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use h2::{Reason, RecvStream, SendStream};
use model::{ErrorKind, KindError};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Result;
use crate::codec::{encode_frame, take_frame};
use crate::links::StreamTicket;

/// Sends body bytes as fast as the peer takes them.
///
/// Dropped without [`BodySender::finish`], it resets the stream, so that the
/// peer never takes the bytes sent so far for a whole body.
#[derive(Debug)]
pub struct BodySender {
    stream: SendStream<Bytes>,
    finished: bool,
    _ticket: Option<Arc<StreamTicket>>,
}

impl BodySender {
    pub(crate) fn new(stream: SendStream<Bytes>, ticket: Option<Arc<StreamTicket>>) -> Self {
        Self {
            stream,
            finished: false,
            _ticket: ticket,
        }
    }

    /// Sends a message behind its length.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`, `FrameTooLarge`.
    pub async fn send_message(&mut self, message: &impl Serialize, max_bytes: usize) -> Result<()> {
        self.send(encode_frame(message, max_bytes)?).await
    }

    /// Sends `chunk`, waiting for the peer's window.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`.
    pub async fn send(&mut self, mut chunk: Bytes) -> Result<()> {
        while !chunk.is_empty() {
            self.stream.reserve_capacity(chunk.len());
            let capacity = self.capacity().await?;
            let part = chunk.split_to(capacity.min(chunk.len()));
            self.stream.send_data(part, false).map_err(stream_error)?;
        }
        Ok(())
    }

    async fn capacity(&mut self) -> Result<usize> {
        let granted = poll_fn(|context| {
            loop {
                match self.stream.poll_capacity(context) {
                    Poll::Ready(Some(Ok(0))) => {}
                    other => return other,
                }
            }
        });
        match granted.await {
            Some(Ok(capacity)) => Ok(capacity),
            Some(Err(error)) => Err(stream_error(error)),
            None => Err(KindError::new(
                ErrorKind::OutcomeUnknown,
                "the peer closed the stream",
            )),
        }
    }

    /// Marks the body as whole.
    ///
    /// Kinds: `OutcomeUnknown`.
    pub fn finish(mut self) -> Result<()> {
        self.finished = true;
        self.stream
            .send_data(Bytes::new(), true)
            .map_err(stream_error)
    }

    /// Waits until the peer has reset the stream.
    pub async fn closed(&mut self) {
        let reset = poll_fn(|context| self.stream.poll_reset(context)).await;
        drop(reset);
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        if !self.finished {
            self.stream.send_reset(Reason::CANCEL);
        }
    }
}

/// Receives body bytes; the peer sends no faster than they are taken.
#[derive(Debug)]
pub struct BodyReceiver {
    stream: RecvStream,
    early: BytesMut,
    unreleased: usize,
    _ticket: Option<Arc<StreamTicket>>,
}

impl BodyReceiver {
    pub(crate) fn new(stream: RecvStream, ticket: Option<Arc<StreamTicket>>) -> Self {
        Self {
            stream,
            early: BytesMut::new(),
            unreleased: 0,
            _ticket: ticket,
        }
    }

    /// Reads a message behind its length; bytes behind it stay for [`BodyReceiver::next`].
    ///
    /// Kinds: `FrameInvalid`, `FrameTooLarge`, `OutcomeUnknown`.
    pub async fn read_message<T: DeserializeOwned>(&mut self, max_bytes: usize) -> Result<T> {
        loop {
            if let Some(message) = take_frame(&mut self.early, max_bytes)? {
                return Ok(message);
            }
            match self.receive().await {
                Some(chunk) => self.early.extend_from_slice(&chunk?),
                None => {
                    return Err(KindError::new(
                        ErrorKind::FrameInvalid,
                        "the stream ended within a message",
                    ));
                }
            }
        }
    }

    /// The next bytes, or nothing after a whole body.
    ///
    /// Kinds: `OutcomeUnknown` where the body broke off.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// As [`BodyReceiver::next`], for use inside other streams.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        if !self.early.is_empty() {
            return Poll::Ready(Some(Ok(self.early.split().freeze())));
        }
        self.poll_receive(context)
    }

    async fn receive(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|context| self.poll_receive(context)).await
    }

    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        // Capacity of the chunk before is given back only now that it was taken.
        let released = self
            .stream
            .flow_control()
            .release_capacity(std::mem::take(&mut self.unreleased));
        drop(released);
        let received = ready!(self.stream.poll_data(context));
        Poll::Ready(received.map(|received| match received {
            Ok(chunk) => {
                self.unreleased = chunk.len();
                Ok(chunk)
            }
            Err(error) => Err(stream_error(error)),
        }))
    }
}

/// The kind of a broken exchange: proven unprocessed, or unknown.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the shape that map_err takes"
)]
pub(crate) fn stream_error(error: h2::Error) -> KindError {
    let refused = error.reason() == Some(Reason::REFUSED_STREAM);
    let kind = if refused {
        ErrorKind::PeerUnavailable
    } else {
        ErrorKind::OutcomeUnknown
    };
    KindError::new(kind, error.to_string())
}
