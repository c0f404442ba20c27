//! One attempt: sends a request to one target and says how it ended.

use axum::body::Body;
use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, Uri, header};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::{retry, router};
use tokio::time::Instant;

use crate::answer_body;
use crate::dispatcher::SlotGuard;
use crate::headers;

/// Time for a connection to a target. A target that cannot be reached is told from one that is
/// slow, since nothing was sent.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Connections to one address that are kept while nothing uses them: as many as a worker has slots,
/// so that steady traffic opens none.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// How long an unused connection is kept.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// The connections to targets.
pub struct Clients {
    /// Keeps connections.
    pooled: Client<HttpConnector, Body>,
    /// Opens one for each request, so that an idle connection which the target closes at the same
    /// moment does not make the outcome unknown.
    fresh: Client<HttpConnector, Body>,
}

impl Clients {
    pub fn new() -> Self {
        Self {
            pooled: client(MAX_IDLE_CONNECTIONS),
            fresh: client(0),
        }
    }

    const fn pick(&self, idempotent: bool) -> &Client<HttpConnector, Body> {
        if idempotent {
            &self.pooled
        } else {
            &self.fresh
        }
    }
}

fn client(max_idle: usize) -> Client<HttpConnector, Body> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .build(connector)
}

/// A request as it goes to a target.
pub struct Outgoing<'a> {
    pub method: &'a Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Body,
    pub idempotent: bool,
    pub request_id: &'a str,
    pub deadline: Instant,
}

/// An answer to pass on.
pub struct Answer {
    pub head: http::response::Parts,
    pub content: Content,
    /// What the answer says about the target.
    pub end: router::End,
}

/// The body of an answer.
pub enum Content {
    /// Read whole; the slot is given back.
    Whole(Bytes),
    /// Still to be streamed; the slot stays taken until then.
    Stream {
        body: Incoming,
        slot: Box<SlotGuard>,
    },
}

impl Answer {
    /// Gives an answer up that is not passed on.
    pub fn discard(self) {
        if let Content::Stream { slot, .. } = self.content {
            slot.finish(self.end);
        }
    }
}

/// How an attempt ended.
pub enum Exchanged {
    /// The target answered, with a fault of its own or without.
    Answer {
        answer: Box<Answer>,
        attempt: retry::AttemptEnd,
    },
    /// There is no answer to pass on.
    Nothing {
        attempt: retry::AttemptEnd,
        /// What to tell if this was the last attempt and nothing ran.
        code: ResultCode,
    },
}

/// Sends the request and waits for the answer: its head, and its body if that is short.
pub async fn exchange(clients: &Clients, outgoing: Outgoing<'_>, mut slot: SlotGuard) -> Exchanged {
    let started = Instant::now();
    let mut request = Request::new(outgoing.body);
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri;
    *request.headers_mut() = outgoing.headers;
    slot.mark_sent();
    let sending = clients.pick(outgoing.idempotent).request(request);
    let result = tokio::time::timeout_at(outgoing.deadline, sending).await;
    let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let answer = match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            slot.finish(router::End::Failed);
            return nothing(retry::AttemptEnd::NotSent, ResultCode::TargetRefused);
        }
        Ok(Err(_)) => {
            slot.finish(router::End::Failed);
            return nothing(retry::AttemptEnd::Broken, ResultCode::OutcomeUnknown);
        }
        Err(_) => {
            slot.finish(router::End::TimedOut {
                waited_us: latency_us,
            });
            return nothing(retry::AttemptEnd::TimedOut, ResultCode::OutcomeUnknown);
        }
    };
    if let Some((end, not_passed)) = reject(outgoing.method, outgoing.request_id, &answer) {
        slot.finish(end);
        return not_passed;
    }
    take(answer, slot, latency_us, outgoing.deadline).await
}

const fn nothing(attempt: retry::AttemptEnd, code: ResultCode) -> Exchanged {
    Exchanged::Nothing { attempt, code }
}

/// Why an answer is not passed on to the caller, if it is not.
fn reject(
    method: &Method,
    request_id: &str,
    answer: &Response<Incoming>,
) -> Option<(router::End, Exchanged)> {
    if let Some(code) = headers::target_refusal(answer.status(), answer.headers()) {
        let end = match code {
            ResultCode::Leaving | ResultCode::NotReady => router::End::Leaving,
            ResultCode::TargetRefused | ResultCode::NoReadyTarget => router::End::Gone,
            _ => router::End::Full,
        };
        let refused = retry::AttemptEnd::RefusedByTarget;
        return Some((end, nothing(refused, ResultCode::TargetRefused)));
    }
    let broken = |code| {
        Some((
            router::End::Failed,
            nothing(retry::AttemptEnd::Broken, code),
        ))
    };
    if headers::answers_another(answer.headers(), request_id) {
        return broken(ResultCode::OutcomeUnknown);
    }
    if !is_delimited(method, answer) {
        return broken(ResultCode::AnswerTruncated);
    }
    None
}

/// Reads a short answer whole and leaves a long one to be streamed.
async fn take(
    answer: Response<Incoming>,
    slot: SlotGuard,
    latency_us: u64,
    deadline: Instant,
) -> Exchanged {
    let (head, body) = answer.into_parts();
    let fault = head.status.is_server_error();
    let (end, attempt) = if fault {
        (router::End::Failed, retry::AttemptEnd::AnsweredFault)
    } else {
        let end = router::End::Answered { latency_us };
        (end, retry::AttemptEnd::Answered)
    };
    let content = if answer_body::is_short(&body) {
        match answer_body::read_whole(body, deadline).await {
            Ok(bytes) => {
                slot.finish(end);
                Content::Whole(bytes)
            }
            Err(answer_body::CutOff::Target) => {
                slot.finish(router::End::Failed);
                return nothing(retry::AttemptEnd::Broken, ResultCode::AnswerTruncated);
            }
            Err(answer_body::CutOff::Deadline) => {
                slot.finish(router::End::Abandoned);
                return nothing(retry::AttemptEnd::TimedOut, ResultCode::AnswerTruncated);
            }
        }
    } else {
        let slot = Box::new(slot);
        Content::Stream { body, slot }
    };
    let answer = Box::new(Answer { head, content, end });
    Exchanged::Answer { answer, attempt }
}

/// Whether the end of the answer's body can be told from a broken connection.
fn is_delimited(method: &Method, answer: &Response<Incoming>) -> bool {
    use http_body::Body as _;
    method == Method::HEAD
        || answer.body().is_end_stream()
        || answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(header::TRANSFER_ENCODING)
}
