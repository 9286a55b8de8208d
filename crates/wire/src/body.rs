//! Body streams in the two directions of an exchange.

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
use crate::links::StreamGuard;

/// Sends body bytes, subject to the flow control of the peer.
///
/// Dropping it without [`BodySender::finish`] resets the stream, so that the
/// peer does not treat the bytes sent so far as a complete body.
#[derive(Debug)]
pub struct BodySender {
    stream: SendStream<Bytes>,
    finished: bool,
    _guard: Option<Arc<StreamGuard>>,
}

impl BodySender {
    pub(crate) fn new(stream: SendStream<Bytes>, guard: Option<Arc<StreamGuard>>) -> Self {
        Self {
            stream,
            finished: false,
            _guard: guard,
        }
    }

    /// Sends a length-prefixed message.
    ///
    /// Kinds: `OutcomeUnknown`, `PeerUnavailable`, `FrameTooLarge`.
    pub async fn send_message(&mut self, message: &impl Serialize, max_bytes: usize) -> Result<()> {
        self.send(encode_frame(message, max_bytes)?).await
    }

    /// Sends `chunk`, waiting for window capacity as needed.
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
        let poll_nonzero = poll_fn(|context| {
            loop {
                match self.stream.poll_capacity(context) {
                    Poll::Ready(Some(Ok(0))) => {}
                    other => return other,
                }
            }
        });
        match poll_nonzero.await {
            Some(Ok(capacity)) => Ok(capacity),
            Some(Err(error)) => Err(stream_error(error)),
            None => Err(KindError::new(
                ErrorKind::OutcomeUnknown,
                "the peer closed the stream",
            )),
        }
    }

    /// Marks the body as complete.
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

/// Receives body bytes; the window of the peer grows only as they are consumed.
#[derive(Debug)]
pub struct BodyReceiver {
    stream: RecvStream,
    buffered: BytesMut,
    unreleased_bytes: usize,
    _guard: Option<Arc<StreamGuard>>,
}

impl BodyReceiver {
    pub(crate) fn new(stream: RecvStream, guard: Option<Arc<StreamGuard>>) -> Self {
        Self {
            stream,
            buffered: BytesMut::new(),
            unreleased_bytes: 0,
            _guard: guard,
        }
    }

    /// Reads a length-prefixed message; bytes after it are returned by [`BodyReceiver::next`].
    ///
    /// Kinds: `FrameInvalid`, `FrameTooLarge`, `OutcomeUnknown`.
    pub async fn read_message<T: DeserializeOwned>(&mut self, max_bytes: usize) -> Result<T> {
        self.read_message_within(max_bytes, |_| true).await
    }

    /// As [`BodyReceiver::read_message`]; `has_room` is asked before the buffer grows to the given
    /// capacity.
    ///
    /// Kinds: also `Overloaded` if there is no room.
    pub(crate) async fn read_message_within<T: DeserializeOwned>(
        &mut self,
        max_bytes: usize,
        mut has_room: impl FnMut(usize) -> bool,
    ) -> Result<T> {
        loop {
            if let Some(message) = take_frame(&mut self.buffered, max_bytes)? {
                return Ok(message);
            }
            match self.receive().await {
                Some(chunk) => {
                    let chunk = chunk?;
                    let needed = self.buffered.len() + chunk.len();
                    // `BytesMut` at least doubles when it grows.
                    let grown = needed.max(self.buffered.capacity() * 2);
                    if needed > self.buffered.capacity() && !has_room(grown) {
                        let detail = "no memory for messages that arrive in part";
                        return Err(KindError::new(ErrorKind::Overloaded, detail));
                    }
                    self.buffered.extend_from_slice(&chunk);
                }
                None => {
                    return Err(KindError::new(
                        ErrorKind::FrameInvalid,
                        "the stream ended in the middle of a message",
                    ));
                }
            }
        }
    }

    /// Returns the next bytes, or `None` after the end of a complete body.
    ///
    /// Kinds: `OutcomeUnknown` if the body is incomplete.
    pub async fn next(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|context| self.poll_next(context)).await
    }

    /// Polls for the bytes that [`BodyReceiver::next`] returns.
    pub fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(self.buffered.split().freeze())));
        }
        self.poll_receive(context)
    }

    async fn receive(&mut self) -> Option<Result<Bytes>> {
        poll_fn(|context| self.poll_receive(context)).await
    }

    fn poll_receive(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Bytes>>> {
        // The previous chunk has been consumed by now, so its capacity is released.
        let release_result = self
            .stream
            .flow_control()
            .release_capacity(std::mem::take(&mut self.unreleased_bytes));
        drop(release_result);
        let received = ready!(self.stream.poll_data(context));
        Poll::Ready(received.map(|received| match received {
            Ok(chunk) => {
                self.unreleased_bytes = chunk.len();
                Ok(chunk)
            }
            Err(error) => Err(stream_error(error)),
        }))
    }
}

/// Converts an h2 error; a refused stream was not processed, any other outcome is unknown.
#[expect(
    clippy::needless_pass_by_value,
    reason = "signature required by map_err"
)]
pub(crate) fn stream_error(error: h2::Error) -> KindError {
    let is_refused = error.reason() == Some(Reason::REFUSED_STREAM);
    let kind = if is_refused {
        ErrorKind::PeerUnavailable
    } else {
        ErrorKind::OutcomeUnknown
    };
    KindError::new(kind, error.to_string())
}
