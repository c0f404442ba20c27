//! Forwards the body of a target's answer so that a truncated body never looks complete.
//!
//! A short body of known length is buffered completely before any of it is forwarded. A longer one
//! is streamed by a separate task that holds the target's slot until the deadline at the latest,
//! even if the caller stops reading. When the target's body breaks off or the deadline passes, the
//! forwarded body ends with an error. The server then closes the caller's connection without the
//! end-of-body marker, so that the caller detects the truncation.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use displaydoc::Display;
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mangotrestle_core::routing::router;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::dispatcher::SlotGuard;

/// Maximum length of an answer body that is buffered completely before it is forwarded.
pub const MAX_BUFFERED_BYTES: u64 = 64 * 1024;
/// Maximum number of frames of a streamed answer that are read ahead of the caller.
const MAX_READ_AHEAD_FRAMES: usize = 8;

/// Why an answer's body was cut off.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CutOff {
    /// the target's answer broke off
    Target,
    /// the deadline passed before the answer was complete
    Deadline,
}

impl std::error::Error for CutOff {}

/// Whether an answer's body is short enough to be buffered completely.
pub fn is_short(body: &Incoming) -> bool {
    let exact = body.size_hint().exact();
    body.is_end_stream() || exact.is_some_and(|length| length <= MAX_BUFFERED_BYTES)
}

/// Reads a short body completely.
pub async fn read_complete(body: Incoming, deadline: Instant) -> Result<Bytes, CutOff> {
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(CutOff::Target),
        Err(_) => Err(CutOff::Deadline),
    }
}

/// Copies a streamed body for the request's record, up to a maximum length.
///
/// The copy is dropped when the body turns out to be longer.
pub struct Copier {
    limit_bytes: usize,
    copy: Option<BytesMut>,
}

impl Copier {
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            copy: Some(BytesMut::new()),
        }
    }

    fn append(&mut self, data: &Bytes) {
        let Some(copy) = &mut self.copy else {
            return;
        };
        if copy.len() + data.len() > self.limit_bytes {
            self.copy = None;
        } else {
            copy.extend_from_slice(data);
        }
    }
}

/// Called when a streamed body is complete, with a copy of it unless it was too long.
pub type OnComplete = Box<dyn FnOnce(Option<Bytes>) + Send>;

/// State that a streaming task needs besides the target's body.
pub struct StreamContext {
    pub slot: SlotGuard,
    pub end: router::End,
    pub deadline: Instant,
    pub copier: Copier,
    pub on_complete: OnComplete,
}

/// Starts the task that streams an answer and returns the body to send to the caller.
pub fn stream(body: Incoming, context: StreamContext) -> CallerBody {
    let (sender, receiver) = mpsc::channel(MAX_READ_AHEAD_FRAMES);
    tokio::spawn(run_stream(body, context, sender));
    CallerBody {
        receiver,
        finished: false,
    }
}

enum Item {
    Frame(Frame<Bytes>),
    End,
    CutOff(CutOff),
}

async fn run_stream(mut body: Incoming, mut context: StreamContext, sender: mpsc::Sender<Item>) {
    let forwarding = forward_frames(&mut body, &mut context.copier, &sender);
    let outcome = tokio::time::timeout_at(context.deadline, forwarding).await;
    match outcome {
        Ok(ForwardOutcome::Complete) => {
            context.slot.finish(context.end);
            (context.on_complete)(context.copier.copy.map(BytesMut::freeze));
            let _ = sender.send(Item::End).await;
        }
        Ok(ForwardOutcome::Broken) => {
            context.slot.finish(router::End::Failed);
            let _ = sender.send(Item::CutOff(CutOff::Target)).await;
        }
        Ok(ForwardOutcome::CallerGone) => context.slot.finish(router::End::Abandoned),
        Err(_) => {
            context.slot.finish(router::End::Abandoned);
            // Closes the target's connection first: the caller may be slow to read the error.
            drop(body);
            let _ = sender.send(Item::CutOff(CutOff::Deadline)).await;
        }
    }
}

enum ForwardOutcome {
    Complete,
    Broken,
    CallerGone,
}

async fn forward_frames(
    body: &mut Incoming,
    copier: &mut Copier,
    sender: &mpsc::Sender<Item>,
) -> ForwardOutcome {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return ForwardOutcome::CallerGone,
        };
        match frame {
            None => return ForwardOutcome::Complete,
            Some(Err(_)) => return ForwardOutcome::Broken,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    copier.append(data);
                }
                if sender.send(Item::Frame(frame)).await.is_err() {
                    return ForwardOutcome::CallerGone;
                }
            }
        }
    }
}

/// Body of a streamed answer as sent to the caller.
pub struct CallerBody {
    receiver: mpsc::Receiver<Item>,
    finished: bool,
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = CutOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CutOff>>> {
        if self.finished {
            return Poll::Ready(None);
        }
        let item = std::task::ready!(self.receiver.poll_recv(context));
        Poll::Ready(match item {
            Some(Item::Frame(frame)) => Some(Ok(frame)),
            Some(Item::End) => {
                self.finished = true;
                None
            }
            Some(Item::CutOff(why)) => {
                self.finished = true;
                Some(Err(why))
            }
            // The streaming task ended without sending `Item::End`.
            None => {
                self.finished = true;
                Some(Err(CutOff::Target))
            }
        })
    }
}
