//! Ends bodies of callers that make no progress.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body::Frame;
use http_body_util::BodyExt;

use model::{ErrorKind, KindError};
use tokio::time::timeout;

use crate::body_buffer::BodyBuffer;
use crate::pipeline::RequestBody;

/// Result of reading; errors are of kind `RequestInvalid`, `IdleTimeout` or `Overloaded`.
type Result<T> = model::Result<T>;

/// Interval at which a body that waits for its sender checks whether others need its memory.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Reads the next part of a body; `None` after its end.
///
/// Fails if no part arrives within `idle_timeout`, or if the memory is needed for other bodies and
/// this one makes no progress.
pub async fn next_frame(
    body: &mut RequestBody,
    buffer: &mut BodyBuffer,
    idle_timeout: Duration,
) -> Result<Option<Frame<Bytes>>> {
    let since = Instant::now();
    buffer.record_progress(since);
    loop {
        if let Ok(frame) = timeout(CHECK_INTERVAL, body.frame()).await {
            let frame = frame.transpose();
            return frame
                .map_err(|error| KindError::new(ErrorKind::RequestInvalid, error.to_string()));
        }
        if buffer.is_evicted() {
            let detail = "the body made no progress and its memory is needed";
            return Err(KindError::new(ErrorKind::Overloaded, detail));
        }
        if since.elapsed() >= idle_timeout {
            let detail = "no byte of the body arrived in time";
            return Err(KindError::new(ErrorKind::IdleTimeout, detail));
        }
    }
}
