//! Passes a target's answer on to the caller, and never lets a part of it look whole.
//!
//! A short answer of known length is read whole before anything is passed on. A longer one is
//! streamed by a task of its own, which holds the target's slot: a caller that stops reading
//! holds it no longer than the deadline. When the target's body breaks off or the deadline passes,
//! the body ends with an error; the server then closes the caller's connection without the end
//! mark, so that the caller sees a broken answer and not a short one.

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

/// Answers up to this length are read whole before they are passed on.
pub const MAX_WHOLE_BYTES: u64 = 64 * 1024;
/// Frames of a streamed answer that are read ahead of the caller.
const READ_AHEAD_FRAMES: usize = 8;

/// Why an answer's body was cut off.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum CutOff {
    /// the target's answer broke off
    Target,
    /// the deadline passed before the answer was complete
    Deadline,
}

impl std::error::Error for CutOff {}

/// Whether an answer is short enough to be read whole first.
pub fn is_short(body: &Incoming) -> bool {
    let exact = body.size_hint().exact();
    body.is_end_stream() || exact.is_some_and(|length| length <= MAX_WHOLE_BYTES)
}

/// Reads a short answer whole.
pub async fn read_whole(body: Incoming, deadline: Instant) -> Result<Bytes, CutOff> {
    match tokio::time::timeout_at(deadline, body.collect()).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(_)) => Err(CutOff::Target),
        Err(_) => Err(CutOff::Deadline),
    }
}

/// Keeps a copy of a streamed body as long as it is short.
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

    fn see(&mut self, data: &Bytes) {
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

/// Told once that a streamed body was whole, with a copy if it was short.
pub type OnWhole = Box<dyn FnOnce(Option<Bytes>) + Send>;

/// What goes with a streamed answer.
pub struct Streamed {
    pub slot: SlotGuard,
    pub end: router::End,
    pub deadline: Instant,
    pub copier: Copier,
    pub on_whole: OnWhole,
}

/// Starts the task that streams an answer and returns the body for the caller.
pub fn stream(body: Incoming, streamed: Streamed) -> CallerBody {
    let (sender, receiver) = mpsc::channel(READ_AHEAD_FRAMES);
    tokio::spawn(pump(body, streamed, sender));
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

async fn pump(mut body: Incoming, mut streamed: Streamed, sender: mpsc::Sender<Item>) {
    let passing = pass_frames(&mut body, &mut streamed.copier, &sender);
    let passed = tokio::time::timeout_at(streamed.deadline, passing).await;
    match passed {
        Ok(Passed::Whole) => {
            streamed.slot.finish(streamed.end);
            (streamed.on_whole)(streamed.copier.copy.map(BytesMut::freeze));
            let _ = sender.send(Item::End).await;
        }
        Ok(Passed::Broken) => {
            streamed.slot.finish(router::End::Failed);
            let _ = sender.send(Item::CutOff(CutOff::Target)).await;
        }
        Ok(Passed::CallerGone) => streamed.slot.finish(router::End::Abandoned),
        Err(_) => {
            streamed.slot.finish(router::End::Abandoned);
            // The target's connection goes first; the caller may be slow to take the word.
            drop(body);
            let _ = sender.send(Item::CutOff(CutOff::Deadline)).await;
        }
    }
}

enum Passed {
    Whole,
    Broken,
    CallerGone,
}

async fn pass_frames(
    body: &mut Incoming,
    copier: &mut Copier,
    sender: &mpsc::Sender<Item>,
) -> Passed {
    loop {
        let frame = tokio::select! {
            frame = body.frame() => frame,
            () = sender.closed() => return Passed::CallerGone,
        };
        match frame {
            None => return Passed::Whole,
            Some(Err(_)) => return Passed::Broken,
            Some(Ok(frame)) => {
                if let Some(data) = frame.data_ref() {
                    copier.see(data);
                }
                if sender.send(Item::Frame(frame)).await.is_err() {
                    return Passed::CallerGone;
                }
            }
        }
    }
}

/// The caller's side of a streamed answer.
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
            // The task ended without the end mark.
            None => {
                self.finished = true;
                Some(Err(CutOff::Target))
            }
        })
    }
}
