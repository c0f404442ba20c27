//! How outcomes are told to callers: status, headers and a small JSON body.
//!
//! | outcome | HTTP status |
//! | --- | --- |
//! | invalid input | 400 |
//! | unauthorized | 401 |
//! | no such service | 404 |
//! | request body too large | 413 |
//! | not run: team's limit reached | 429 |
//! | not run: overloaded, no ready target, store unavailable, entry host stopping, all refused | 503 |
//! | not run: deadline passed before a target took it | 504 |
//! | unknown outcome | 502 |
//!
//! The `x-result-code` header is what tells "not run" (2000 to 2999) from "unknown" (3000 to
//! 3999): a 502, 503 or 504 without it comes from the target.

use axum::body::Body;
use axum::response::Response;
use http::header;
use http::{HeaderName, HeaderValue, StatusCode};
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use serde::Serialize;

/// Number of the result code.
pub const X_RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");
/// Identifier of the request, the caller's own or one made here.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");

/// Body of a refusal, as JSON.
#[derive(Clone, Debug, Serialize)]
struct RefusalBody<'a> {
    code: u16,
    slug: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

/// An answer of the front itself, in place of a target's.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The outcome.
    pub code: ResultCode,
    /// What was wrong, in a sentence.
    pub message: String,
    /// When the caller should come back, if that makes sense.
    pub retry_after: Option<time::SpanMs>,
}

impl Refusal {
    /// A refusal without a time to come back.
    #[must_use]
    pub fn new(code: ResultCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Sets when the caller should come back.
    #[must_use]
    pub const fn retry_after(mut self, span: time::SpanMs) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Whether the request provably did not run.
    #[must_use]
    pub const fn is_not_run(&self) -> bool {
        self.code.number() < 3000
    }

    /// The HTTP answer.
    #[must_use]
    pub fn to_response(&self, request_id: &str) -> Response {
        let body = RefusalBody {
            code: self.code.number(),
            slug: self.code.slug(),
            message: &self.message,
            retry_after_ms: self.retry_after.map(|span| span.0),
        };
        let json = serde_json::to_vec(&body).unwrap_or_default();
        let mut response = Response::new(Body::from(json));
        *response.status_mut() = status_of(self.code);
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        set_outcome_headers(headers, self.code, request_id);
        if let Some(span) = self.retry_after {
            let seconds = span.0.div_ceil(1_000).max(1);
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}

/// Marks an answer with its request id and result code.
pub(crate) fn set_outcome_headers(
    headers: &mut http::HeaderMap,
    code: ResultCode,
    request_id: &str,
) {
    headers.insert(X_RESULT_CODE, HeaderValue::from(code.number()));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(X_REQUEST_ID, value);
    }
}

/// HTTP status of a result code.
#[must_use]
pub const fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::Ok => StatusCode::OK,
        ResultCode::InvalidInput => StatusCode::BAD_REQUEST,
        ResultCode::Unauthorized => StatusCode::UNAUTHORIZED,
        ResultCode::NotFound => StatusCode::NOT_FOUND,
        ResultCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::TeamLimited | ResultCode::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        ResultCode::DeadlineBeforeStart => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::OutcomeUnknown
        | ResultCode::EarlierOutcomeUnknown
        | ResultCode::AnswerTruncated => StatusCode::BAD_GATEWAY,
        ResultCode::Internal => StatusCode::INTERNAL_SERVER_ERROR,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
