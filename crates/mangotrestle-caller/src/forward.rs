//! Handles one request: admission, its started record if it must not run twice, attempts, answer.

use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use bytes::Bytes;
use http::request::Parts;
use http::{HeaderName, HeaderValue, Uri, header};
use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::{retry, router};
use mangotrestle_core::time;
use tokio::time::Instant;

use crate::answer_body;
use crate::dispatcher::SlotGuard;
use crate::exchange::{self, Answer, Content, ExchangeOutcome};
use crate::front::Shared;
use crate::headers;
use crate::payload::{BodyFault, Payload};
use crate::record::Record;
use crate::refusal::{self, Refusal};
use crate::request_head::RequestHead;
use crate::started;

/// How long records of requests that must not run twice are kept, in seconds.
const X_RECORD_KEPT_S: HeaderName = HeaderName::from_static("x-record-kept-s");
/// Marks an answer that was recorded for an earlier request with the same key.
const X_REPLAYED: HeaderName = HeaderName::from_static("x-replayed");
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
/// Delay after which a caller should ask again for the outcome of an earlier request.
const EARLIER_RETRY_AFTER: time::SpanMs = time::SpanMs(1_000);

/// Maximum time for which a repeated request waits for the outcome of the earlier one, which is
/// recorded after its answer was sent.
const MAX_OUTCOME_WAIT: Duration = Duration::from_millis(300);
/// Interval between two looks for that outcome.
const OUTCOME_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Delays between attempts.
const RETRY_BACKOFF: retry::Backoff = retry::Backoff {
    base: time::SpanMs(5),
    max: time::SpanMs(250),
};

/// A request that is being forwarded.
pub struct Forward<'a> {
    pub shared: &'a Shared,
    pub head: &'a RequestHead,
    pub deadline: time::TimeMs,
}

impl Forward<'_> {
    /// Forwards the request and returns the answer for its caller.
    pub async fn run(&self, parts: &Parts, body: Body) -> Result<Response, Refusal> {
        if !self.shared.is_ready() {
            let refusal = Refusal::new(ResultCode::NotReady, "this entry host is not ready")
                .retry_after(time::SpanMs::from_secs(1));
            return Err(self.unknown_if_resent(refusal));
        }
        let team = self.team()?;
        let _team_guard = self.shared.dispatcher.admit(&team).map_err(|refusal| {
            self.unknown_if_resent(self.refuse(refusal, "the team's limit is reached"))
        })?;
        let payload = self.read_payload(parts, body).await?;
        let Some(key) = self.record_key(&team) else {
            return self.attempt_all(parts, &payload, &team, &mut None).await;
        };
        let mut record = match self.start_record(key).await? {
            RecordStart::New(record) => Some(record),
            RecordStart::Earlier(response) => return response,
        };
        let kept_s = record
            .as_ref()
            .map_or(0, |record| record.kept_for().0 / 1_000);
        let result = self.attempt_all(parts, &payload, &team, &mut record).await;
        if let Err(refusal) = &result
            && let Some(record) = record
        {
            record.record_refusal(refusal);
        }
        result.map(|mut response| {
            let headers = response.headers_mut();
            headers.insert(X_RECORD_KEPT_S, HeaderValue::from(kept_s));
            response
        })
    }

    fn team(&self) -> Result<id::TeamId, Refusal> {
        let owner = self.shared.dispatcher.owner(&self.head.job);
        let owner = owner.ok_or_else(|| {
            let message = format!("no service {} is known here", self.head.job);
            self.unknown_if_resent(Refusal::new(ResultCode::NotFound, message))
        })?;
        Ok(self.head.team.clone().unwrap_or(owner))
    }

    async fn read_payload(&self, parts: &Parts, body: Body) -> Result<Payload, Refusal> {
        let limit_bytes = self.shared.settings.max_body_bytes;
        let reading = Payload::read(&parts.headers, body, limit_bytes);
        let deadline = self.shared.dispatcher.to_instant(self.deadline);
        match tokio::time::timeout_at(deadline, reading).await {
            Ok(Ok(payload)) => Ok(payload),
            Ok(Err(fault @ BodyFault::TooLarge { .. })) => {
                Err(Refusal::new(ResultCode::TooLarge, fault.to_string()))
            }
            Ok(Err(fault)) => Err(Refusal::new(ResultCode::InvalidInput, fault.to_string())),
            Err(_) => Err(Refusal::new(
                ResultCode::DeadlineBeforeStart,
                "the deadline passed before the request's body was complete",
            )),
        }
    }

    /// Turns "not run" into "unknown" for a resent request whose record was not read: the earlier
    /// request may have run.
    fn unknown_if_resent(&self, refusal: Refusal) -> Refusal {
        if !self.head.resend || self.head.idempotent {
            return refusal;
        }
        Refusal {
            code: ResultCode::EarlierOutcomeUnknown,
            message: format!(
                "the resent request was not sent ({}); the earlier outcome was not looked up",
                refusal.message
            ),
            retry_after: refusal.retry_after.or(Some(EARLIER_RETRY_AFTER)),
        }
    }

    fn refuse(&self, refusal: router::Refusal, message: &str) -> Refusal {
        slog::info!(self.shared.settings.log, "request.refused";
            "request_id" => &*self.head.request_id,
            "job" => self.head.job.as_str(),
            "code" => refusal.code.number(),
            "why" => refusal.code.slug(),
            "retry_after_ms" => refusal.retry_after.0,
        );
        Refusal::new(refusal.code, message).retry_after(refusal.retry_after)
    }

    fn record_key(&self, team: &id::TeamId) -> Option<started::RecordKey> {
        if self.head.idempotent {
            return None;
        }
        let idempotency_key = self.head.idempotency_key.clone()?;
        Some(started::RecordKey {
            job: self.head.job.clone(),
            team: team.clone(),
            idempotency_key,
        })
    }

    /// Writes the started record, without which the request must not be sent.
    async fn start_record(&self, key: started::RecordKey) -> Result<RecordStart, Refusal> {
        let unavailable = |retry_after| {
            let message = "the store of started records is unavailable";
            let refusal = Refusal::new(ResultCode::StoreUnavailable, message);
            self.unknown_if_resent(refusal.retry_after(retry_after))
        };
        let Some(records) = self.shared.settings.records.clone() else {
            return Err(unavailable(time::SpanMs::from_secs(5)));
        };
        let deadline = self.shared.dispatcher.to_instant(self.deadline);
        let outcome_deadline = deadline.min(Instant::now() + MAX_OUTCOME_WAIT);
        loop {
            let writing = records.record_started(&key, &self.head.request_id);
            match tokio::time::timeout_at(deadline, writing).await {
                Err(_) => return Err(unavailable(time::SpanMs::from_secs(1))),
                Ok(Err(error)) => return Err(unavailable(error.retry_after)),
                Ok(Ok(started::Started::Earlier(earlier))) => {
                    if earlier.answer.is_some() || Instant::now() >= outcome_deadline {
                        let response = self.replay(earlier, records.kept_for());
                        return Ok(RecordStart::Earlier(response));
                    }
                }
                Ok(Ok(started::Started::First)) => {
                    let request_id = Arc::clone(&self.head.request_id);
                    return Ok(RecordStart::New(Record::new(records, key, request_id)));
                }
            }
            tokio::time::sleep(OUTCOME_POLL_INTERVAL).await;
        }
    }

    /// Returns the answer to a request whose key was used before.
    fn replay(
        &self,
        earlier: started::Earlier,
        kept_for: time::SpanMs,
    ) -> Result<Response, Refusal> {
        slog::info!(self.shared.settings.log, "request.replayed";
            "request_id" => &*self.head.request_id,
            "job" => self.head.job.as_str(),
            "earlier_request_id" => &*earlier.request_id,
            "answered" => earlier.answer.is_some(),
        );
        let unknown = |message: String| {
            Refusal::new(ResultCode::EarlierOutcomeUnknown, message)
                .retry_after(EARLIER_RETRY_AFTER)
        };
        let Some(kept_answer) = earlier.answer else {
            let message = format!("the outcome of request {} is not known", earlier.request_id);
            return Err(unknown(message));
        };
        let Some(body) = kept_answer.body else {
            let message = format!(
                "request {} was answered with status {}; the answer was too long to keep",
                earlier.request_id, kept_answer.status
            );
            return Err(unknown(message));
        };
        let mut response = Response::new(Body::from(body));
        *response.status_mut() = http::StatusCode::from_u16(kept_answer.status)
            .unwrap_or(http::StatusCode::INTERNAL_SERVER_ERROR);
        let content_type = kept_answer.content_type.as_deref().unwrap_or_default();
        if let Ok(value) = HeaderValue::from_str(content_type)
            && !value.is_empty()
        {
            response.headers_mut().insert(header::CONTENT_TYPE, value);
        }
        let headers = response.headers_mut();
        headers.insert(X_REPLAYED, HeaderValue::from_static("true"));
        headers.insert(X_RECORD_KEPT_S, HeaderValue::from(kept_for.0 / 1_000));
        refusal::set_outcome_headers(headers, ResultCode::Ok, &self.head.request_id);
        Ok(response)
    }

    /// Makes attempts until a target answers or no further attempt is safe.
    async fn attempt_all(
        &self,
        parts: &Parts,
        payload: &Payload,
        team: &id::TeamId,
        record: &mut Option<Record>,
    ) -> Result<Response, Refusal> {
        let mut attempts = retry::Attempts::new(self.head.idempotent, MAX_ATTEMPTS);
        let mut tried = Vec::new();
        let mut last_answer: Option<Box<Answer>> = None;
        loop {
            let slot = match (self.acquire(team, &tried).await, last_answer.take()) {
                (Ok(slot), None) => slot,
                (Ok(slot), Some(answer)) => {
                    answer.discard();
                    slot
                }
                (Err(_), Some(answer)) => return Ok(self.forward_answer(*answer, record)),
                (Err(refusal), None) => return Err(self.no_slot_refusal(attempts, refusal)),
            };
            tried.push(slot.assignment().index);
            let attempt = attempts.made() + 1;
            self.log_route(&slot, attempt);
            if let Some(record) = record {
                record.mark_sent();
            }
            let outcome = self.exchange(parts, payload, slot, attempt).await?;
            let (next, code) = match outcome {
                ExchangeOutcome::NoAnswer { attempt, code } => (attempts.record_end(attempt), code),
                ExchangeOutcome::Answer { answer, attempt } => {
                    let next = attempts.record_end(attempt);
                    last_answer = Some(answer);
                    (next, ResultCode::OutcomeUnknown)
                }
            };
            if next == retry::NextStep::MayRetry
                && self.prepare_retry(payload, team, &attempts).await
            {
                continue;
            }
            return match last_answer {
                Some(answer) => Ok(self.forward_answer(*answer, record)),
                None => Err(self.no_answer_refusal(attempts, code)),
            };
        }
    }

    /// Returns the refusal for a request whose last attempt had no answer.
    fn no_answer_refusal(&self, attempts: retry::Attempts, code: ResultCode) -> Refusal {
        let code = match code {
            ResultCode::AnswerTruncated => code,
            _ => attempts.final_code(code),
        };
        let retry_after = time::SpanMs::from_secs(1);
        self.refuse(router::Refusal { code, retry_after }, refusal_message(code))
    }

    async fn acquire(
        &self,
        team: &id::TeamId,
        tried: &[u32],
    ) -> Result<SlotGuard, router::Refusal> {
        let request = router::RouteRequest {
            job: &self.head.job,
            team,
            urgency: self.head.urgency,
            idempotent: self.head.idempotent,
            deadline: self.deadline,
            tried,
        };
        let slot = self.shared.dispatcher.acquire(&request).await?;
        if self.shared.dispatcher.now() >= self.deadline {
            return Err(router::Refusal {
                code: ResultCode::DeadlineBeforeStart,
                retry_after: time::SpanMs::from_secs(1),
            });
        }
        Ok(slot)
    }

    fn no_slot_refusal(&self, attempts: retry::Attempts, refusal: router::Refusal) -> Refusal {
        let code = attempts.final_code(refusal.code);
        let final_refusal = router::Refusal { code, ..refusal };
        self.refuse(final_refusal, refusal_message(code))
    }

    async fn exchange(
        &self,
        parts: &Parts,
        payload: &Payload,
        slot: SlotGuard,
        attempt: u32,
    ) -> Result<ExchangeOutcome, Refusal> {
        let dispatcher = &self.shared.dispatcher;
        let assignment = slot.assignment();
        let uri = format!(
            "http://{}/tasks/{}/{}/{}",
            assignment.address, assignment.job, assignment.index, self.head.target_path
        );
        let uri: Uri = uri
            .parse()
            .map_err(|_| Refusal::new(ResultCode::InvalidInput, "path: not a valid URL path"))?;
        let time_left = self.deadline.since(dispatcher.now());
        let outgoing = exchange::Outgoing {
            method: &parts.method,
            uri,
            headers: headers::for_target(&parts.headers, &self.head.request_id, attempt, time_left),
            body: payload.body(),
            idempotent: self.head.idempotent,
            request_id: &self.head.request_id,
            deadline: dispatcher.to_instant(self.deadline),
        };
        Ok(exchange::exchange(&self.shared.clients, outgoing, slot).await)
    }

    /// Waits for the back-off before a retry; returns false if no retry is possible.
    async fn prepare_retry(
        &self,
        payload: &Payload,
        team: &id::TeamId,
        attempts: &retry::Attempts,
    ) -> bool {
        let dispatcher = &self.shared.dispatcher;
        if !payload.can_resend() || !dispatcher.try_retry(&self.head.job, team) {
            return false;
        }
        let retry_number = attempts.made() - 1;
        let delay = dispatcher.with_rng(|rng| RETRY_BACKOFF.delay(retry_number, rng));
        if dispatcher.now() + delay >= self.deadline {
            return false;
        }
        tokio::time::sleep(delay.as_duration()).await;
        true
    }

    /// Builds the response from a target's answer: a short body buffered, a long one streamed.
    fn forward_answer(&self, answer: Answer, record: &mut Option<Record>) -> Response {
        let Answer {
            mut head,
            content,
            end,
        } = answer;
        headers::strip_hop_by_hop(&mut head.headers);
        refusal::set_outcome_headers(&mut head.headers, ResultCode::Ok, &self.head.request_id);
        let kept_head = KeptHead::from_parts(&head);
        let body = match content {
            Content::Buffered(bytes) => {
                if let Some(record) = record.take() {
                    record.record_answer(kept_head.into_answer(Some(bytes.clone())));
                }
                Body::from(bytes)
            }
            Content::Stream { body, slot } => {
                let context = answer_body::StreamContext {
                    slot: *slot,
                    end,
                    deadline: self.shared.dispatcher.to_instant(self.deadline),
                    copier: answer_body::Copier::new(started::MAX_KEPT_BODY_BYTES),
                    on_complete: record_when_complete(record.take(), kept_head),
                };
                Body::new(answer_body::stream(body, context))
            }
        };
        Response::from_parts(head, body)
    }

    fn log_route(&self, slot: &SlotGuard, attempt: u32) {
        let assignment = slot.assignment();
        slog::info!(self.shared.settings.log, "request.routed";
            "request_id" => &*self.head.request_id,
            "job" => assignment.job.as_str(),
            "target" => assignment.index,
            "worker" => assignment.worker.as_str(),
            "attempt" => attempt,
            "why" => assignment.reason.as_str(),
        );
    }
}

/// Result of writing a started record.
enum RecordStart {
    New(Record),
    Earlier(Result<Response, Refusal>),
}

/// The parts of an answer's head that a record stores.
struct KeptHead {
    status: u16,
    content_type: Option<String>,
}

impl KeptHead {
    fn from_parts(parts: &http::response::Parts) -> Self {
        let content_type = parts.headers.get(header::CONTENT_TYPE);
        Self {
            status: parts.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned),
        }
    }

    fn into_answer(self, body: Option<Bytes>) -> started::KeptAnswer {
        let is_small_enough = |bytes: &Bytes| bytes.len() <= started::MAX_KEPT_BODY_BYTES;
        started::KeptAnswer {
            status: self.status,
            content_type: self.content_type,
            body: body.filter(is_small_enough),
        }
    }
}

fn record_when_complete(record: Option<Record>, kept_head: KeptHead) -> answer_body::OnComplete {
    Box::new(move |copy| {
        if let Some(record) = record {
            record.record_answer(kept_head.into_answer(copy));
        }
    })
}

const fn refusal_message(code: ResultCode) -> &'static str {
    match code {
        ResultCode::Overloaded => "too many requests wait for this service",
        ResultCode::NoReadyTarget => "no target of the service is ready",
        ResultCode::DeadlineBeforeStart => "the deadline leaves no time for the request",
        ResultCode::TargetRefused => "no target accepted the request",
        ResultCode::OutcomeUnknown => "the request was sent but no complete answer was received",
        ResultCode::AnswerTruncated => "the target's answer was cut off",
        _ => "the request was not sent",
    }
}
