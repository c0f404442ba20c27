//! One attempt: sends a request to one target and classifies the result.

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

/// Timeout for connecting to a target. If it passes, nothing was sent, so the request provably did
/// not run there.
const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);
/// Maximum number of idle connections kept for each address. Equals the number of slots of a
/// worker, so that steady traffic opens no new connections.
const MAX_IDLE_CONNECTIONS: usize = 8;
/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(20);

/// HTTP clients for connections to targets.
pub struct Clients {
    /// Reuses idle connections; for idempotent requests.
    pooled: Client<HttpConnector, Body>,
    /// Opens a connection for each request. With a reused connection that the target closes at the
    /// same moment, the outcome of a non-idempotent request would be unknown.
    unpooled: Client<HttpConnector, Body>,
}

impl Clients {
    pub fn new() -> Self {
        Self {
            pooled: client(MAX_IDLE_CONNECTIONS),
            unpooled: client(0),
        }
    }

    const fn select(&self, idempotent: bool) -> &Client<HttpConnector, Body> {
        if idempotent {
            &self.pooled
        } else {
            &self.unpooled
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

/// A request as sent to a target.
pub struct Outgoing<'a> {
    pub method: &'a Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Body,
    pub idempotent: bool,
    pub request_id: &'a str,
    pub deadline: Instant,
}

/// A target's answer that may be forwarded to the caller.
pub struct Answer {
    pub head: http::response::Parts,
    pub content: Content,
    /// How the attempt ended, as reported to the router.
    pub end: router::End,
}

/// The body of an answer.
pub enum Content {
    /// Read completely; the slot is already released.
    Buffered(Bytes),
    /// Not read yet; the slot is held until the body has been streamed.
    Stream {
        body: Incoming,
        slot: Box<SlotGuard>,
    },
}

impl Answer {
    /// Drops an answer that is not forwarded and releases its slot.
    pub fn discard(self) {
        if let Content::Stream { slot, .. } = self.content {
            slot.finish(self.end);
        }
    }
}

/// How an attempt ended.
pub enum ExchangeOutcome {
    /// The target answered, successfully or with a server error.
    Answer {
        answer: Box<Answer>,
        attempt: retry::AttemptEnd,
    },
    /// There is no answer to forward.
    NoAnswer {
        attempt: retry::AttemptEnd,
        /// Result code for the caller if this was the last attempt.
        code: ResultCode,
    },
}

/// Sends the request and reads the answer's head, and its body if that is short.
pub async fn exchange(
    clients: &Clients,
    outgoing: Outgoing<'_>,
    mut slot: SlotGuard,
) -> ExchangeOutcome {
    let started = Instant::now();
    let mut request = Request::new(outgoing.body);
    *request.method_mut() = outgoing.method.clone();
    *request.uri_mut() = outgoing.uri;
    *request.headers_mut() = outgoing.headers;
    slot.mark_sent();
    let sending = clients.select(outgoing.idempotent).request(request);
    let result = tokio::time::timeout_at(outgoing.deadline, sending).await;
    let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
    let answer = match result {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) if error.is_connect() => {
            slot.finish(router::End::Failed);
            return no_answer(retry::AttemptEnd::NotSent, ResultCode::TargetRefused);
        }
        Ok(Err(_)) => {
            slot.finish(router::End::Failed);
            return no_answer(retry::AttemptEnd::Broken, ResultCode::OutcomeUnknown);
        }
        Err(_) => {
            slot.finish(router::End::TimedOut {
                waited_us: latency_us,
            });
            return no_answer(retry::AttemptEnd::TimedOut, ResultCode::OutcomeUnknown);
        }
    };
    if let Some((end, outcome)) = reject_answer(outgoing.method, outgoing.request_id, &answer) {
        slot.finish(end);
        return outcome;
    }
    read_answer(answer, slot, latency_us, outgoing.deadline).await
}

const fn no_answer(attempt: retry::AttemptEnd, code: ResultCode) -> ExchangeOutcome {
    ExchangeOutcome::NoAnswer { attempt, code }
}

/// Returns how the attempt ended if the answer must not be forwarded, otherwise `None`.
fn reject_answer(
    method: &Method,
    request_id: &str,
    answer: &Response<Incoming>,
) -> Option<(router::End, ExchangeOutcome)> {
    if let Some(code) = headers::target_refusal(answer.status(), answer.headers()) {
        let end = match code {
            ResultCode::Leaving | ResultCode::NotReady => router::End::Leaving,
            ResultCode::TargetRefused | ResultCode::NoReadyTarget => router::End::Gone,
            _ => router::End::Full,
        };
        let refused = retry::AttemptEnd::RefusedByTarget;
        return Some((end, no_answer(refused, ResultCode::TargetRefused)));
    }
    let broken = |code| {
        Some((
            router::End::Failed,
            no_answer(retry::AttemptEnd::Broken, code),
        ))
    };
    if headers::names_another_request(answer.headers(), request_id) {
        return broken(ResultCode::OutcomeUnknown);
    }
    if !is_delimited(method, answer) {
        return broken(ResultCode::AnswerTruncated);
    }
    None
}

/// Reads a short body completely and leaves a long one to be streamed.
async fn read_answer(
    answer: Response<Incoming>,
    slot: SlotGuard,
    latency_us: u64,
    deadline: Instant,
) -> ExchangeOutcome {
    let (head, body) = answer.into_parts();
    let is_server_error = head.status.is_server_error();
    let (end, attempt) = if is_server_error {
        (router::End::Failed, retry::AttemptEnd::AnsweredFault)
    } else {
        let end = router::End::Answered { latency_us };
        (end, retry::AttemptEnd::Answered)
    };
    let content = if answer_body::is_short(&body) {
        match answer_body::read_complete(body, deadline).await {
            Ok(bytes) => {
                slot.finish(end);
                Content::Buffered(bytes)
            }
            Err(answer_body::CutOff::Target) => {
                slot.finish(router::End::Failed);
                return no_answer(retry::AttemptEnd::Broken, ResultCode::AnswerTruncated);
            }
            Err(answer_body::CutOff::Deadline) => {
                slot.finish(router::End::Abandoned);
                return no_answer(retry::AttemptEnd::TimedOut, ResultCode::AnswerTruncated);
            }
        }
    } else {
        let slot = Box::new(slot);
        Content::Stream { body, slot }
    };
    let answer = Box::new(Answer { head, content, end });
    ExchangeOutcome::Answer { answer, attempt }
}

/// Whether the end of the answer's body can be distinguished from a broken connection.
fn is_delimited(method: &Method, answer: &Response<Incoming>) -> bool {
    use http_body::Body as _;
    method == Method::HEAD
        || answer.body().is_end_stream()
        || answer.body().size_hint().exact().is_some()
        || answer.headers().contains_key(header::TRANSFER_ENCODING)
}
