//! Bodies of requests.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::{Buf, Bytes};
use displaydoc::Display;
use http_body::{Body as _, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::state::ConnectionState;

/// Size up to which a body takes no room of the server's bodies: about that of an ordinary request.
const FREE_BYTES: usize = 8 * 1024;

/// A request's body.
pub struct RequestBody {
    incoming: Incoming,
    state: Arc<ConnectionState>,
}

impl RequestBody {
    pub(crate) const fn new(incoming: Incoming, state: Arc<ConnectionState>) -> Self {
        Self { incoming, state }
    }

    /// Notes that the request is passed on before it is complete: its connection no longer gives way to
    /// others.
    pub fn pass_on(&self) {
        self.state.request_complete();
    }
}

impl http_body::Body for RequestBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let polled = Pin::new(&mut self.incoming).poll_frame(context);
        if matches!(polled, Poll::Ready(None)) || self.incoming.is_end_stream() {
            self.state.request_complete();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}

/// Why a body is not there.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyError {
    /// the body is longer than the limit of {max_bytes} bytes
    TooLarge {
        /// The limit.
        max_bytes: usize,
    },
    /// the body was not complete in time
    Timeout,
    /// the process has no room for the body
    NoRoom,
    /// the body was cut off
    CutOff,
}

impl std::error::Error for BodyError {}

/// Reads a body into one buffer. Its size counts toward that of the bodies that the server holds until
/// the request is answered.
///
/// # Errors
///
/// [`BodyError`] if the body is too large, incomplete at the deadline, cut off, or if there is no room.
pub async fn collect(
    body: RequestBody,
    max_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, BodyError> {
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge { max_bytes });
    }
    let reading = read(body, max_bytes);
    tokio::time::timeout_at(deadline, reading)
        .await
        .unwrap_or(Err(BodyError::Timeout))
}

async fn read(mut body: RequestBody, max_bytes: usize) -> Result<Bytes, BodyError> {
    let declared_bytes = body.size_hint().exact();
    let declared_bytes = declared_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    let mut buffer = Buffer {
        bytes: Vec::new(),
        max_bytes: declared_bytes.unwrap_or(max_bytes),
    };
    loop {
        let frame = std::future::poll_fn(|context| Pin::new(&mut body).poll_frame(context)).await;
        let Some(frame) = frame else {
            return Ok(buffer.bytes.into());
        };
        let frame = frame.map_err(|_| BodyError::CutOff)?;
        // Trailers are ignored.
        let Ok(mut data) = frame.into_data() else {
            continue;
        };
        let length = buffer.bytes.len() + data.remaining();
        if length > max_bytes {
            return Err(BodyError::TooLarge { max_bytes });
        }
        buffer.reserve(length, &body.state)?;
        // The data is copied, since its frame may keep the whole read buffer of the connection.
        while data.has_remaining() {
            let chunk = data.chunk();
            buffer.bytes.extend_from_slice(chunk);
            let copied = chunk.len();
            data.advance(copied);
        }
    }
}

/// A body as far as it was received.
struct Buffer {
    bytes: Vec<u8>,
    /// Maximum size of the complete body.
    max_bytes: usize,
}

impl Buffer {
    /// Makes room for a length. The capacity doubles, so that the cost of copying stays proportional.
    fn reserve(&mut self, length: usize, state: &ConnectionState) -> Result<(), BodyError> {
        let capacity = self.bytes.capacity();
        if length <= capacity {
            return Ok(());
        }
        let new_capacity = length.max(capacity * 2).min(self.max_bytes.max(length));
        let counted = |capacity: usize| capacity.saturating_sub(FREE_BYTES) as u64;
        let growth = counted(new_capacity) - counted(capacity);
        if growth > 0 && !state.grow(growth) {
            return Err(BodyError::NoRoom);
        }
        self.bytes.reserve_exact(new_capacity - self.bytes.len());
        Ok(())
    }
}

/// Body of an answer, which notes the end of the answer.
pub(crate) struct AnswerBody {
    pub(crate) inner: Body,
    pub(crate) state: Arc<ConnectionState>,
}

impl http_body::Body for AnswerBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        Pin::new(&mut self.inner).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for AnswerBody {
    fn drop(&mut self) {
        self.state.answered();
    }
}
