//! A request's body in a form that can be sent again when that is safe.
//!
//! A short body of known length is buffered completely, and each attempt gets a copy. Any other
//! body is streamed. It can be sent again only if no attempt has read any of it, for example after
//! a refused connection.

use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};

use axum::body::Body;
use bytes::Bytes;
use displaydoc::Display;
use http::{HeaderMap, header};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::{BodyExt, LengthLimitError, Limited};

/// Maximum length of a body that is buffered completely before a target is chosen.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Why a body cannot be used.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum BodyFault {
    /// the body is longer than the limit of {limit_bytes} bytes
    TooLarge {
        /// The limit.
        limit_bytes: u64,
    },
    /// the body was cut off
    CutOff,
    /// content-length: expected a whole number
    Length,
}

impl std::error::Error for BodyFault {}

/// A streamed body and whether an attempt has read any of it.
#[derive(Debug)]
pub struct Stream {
    body: Body,
    read_started: bool,
}

/// See the [module's documentation](self).
#[derive(Debug)]
pub enum Payload {
    Buffered(Bytes),
    Stream(Arc<Mutex<Stream>>),
}

impl Payload {
    /// Reads a request's body if it is short, or prepares it for streaming. A body longer than
    /// `limit_bytes` is refused.
    pub async fn read(
        headers: &HeaderMap,
        body: Body,
        limit_bytes: u64,
    ) -> Result<Self, BodyFault> {
        let length = declared_length(headers)?;
        if length.is_some_and(|length| length > limit_bytes) {
            return Err(BodyFault::TooLarge { limit_bytes });
        }
        let known_length = body.size_hint().exact().or(length);
        let limit = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
        let limited = Limited::new(body, limit);
        if known_length.is_some_and(|length| length <= MAX_BUFFERED_BYTES) {
            return match limited.collect().await {
                Ok(collected) => Ok(Self::Buffered(collected.to_bytes())),
                Err(error) if error.is::<LengthLimitError>() => {
                    Err(BodyFault::TooLarge { limit_bytes })
                }
                Err(_) => Err(BodyFault::CutOff),
            };
        }
        let stream = Stream {
            body: Body::new(limited),
            read_started: false,
        };
        Ok(Self::Stream(Arc::new(Mutex::new(stream))))
    }

    /// Whether another attempt can send the complete body.
    pub fn can_resend(&self) -> bool {
        match self {
            Self::Buffered(_) => true,
            Self::Stream(stream) => {
                !stream
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .read_started
            }
        }
    }

    /// Returns the body for one attempt.
    pub fn body(&self) -> Body {
        match self {
            Self::Buffered(bytes) => Body::from(bytes.clone()),
            Self::Stream(stream) => Body::new(SharedBody(Arc::clone(stream))),
        }
    }
}

/// Parses the `content-length` header, if there is one.
fn declared_length(headers: &HeaderMap) -> Result<Option<u64>, BodyFault> {
    let Some(value) = headers.get(header::CONTENT_LENGTH) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| BodyFault::Length)?;
    text.parse().map(Some).map_err(|_| BodyFault::Length)
}

/// A streamed body that stays available for the next attempt until one reads from it.
struct SharedBody(Arc<Mutex<Stream>>);

impl http_body::Body for SharedBody {
    type Data = Bytes;
    type Error = axum::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, axum::Error>>> {
        let mut stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stream.read_started = true;
        Pin::new(&mut stream.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        let stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stream.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        let stream = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        stream.body.size_hint()
    }
}
