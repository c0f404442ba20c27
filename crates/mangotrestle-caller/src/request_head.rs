//! Parses the parts of a request's path and headers that routing needs.
//!
//! | header | meaning |
//! | --- | --- |
//! | `x-request-id` | identifier that the answer carries; generated if missing |
//! | `x-deadline-ms` | time left for the whole request, in milliseconds |
//! | `idempotency-key` | key under which a request that must not run twice is recorded; the caller's `x-request-id` if missing |
//! | `x-team` | team of the caller; the service's own team if missing |
//! | `x-urgency` | `urgent`, `normal` or `background` |
//! | `x-idempotent` | `true` or `false`; by default `true` for GET, HEAD, PUT, DELETE, OPTIONS and TRACE only |
//! | `x-resend` | `true` if a request with the same key was sent before |
//!
//! A malformed header is refused with an error that names it. Lengths are checked before copying.

use std::sync::Arc;

use displaydoc::Display;
use http::{HeaderMap, HeaderName, Method};
use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::time;

use crate::refusal;

/// Maximum length of a request id or an idempotency key, in bytes.
pub const MAX_TOKEN_BYTES: usize = 128;
/// Prefix of every request path.
const PATH_PREFIX: &str = "/v1/services/";

static X_DEADLINE_MS: HeaderName = HeaderName::from_static("x-deadline-ms");
static IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
static X_TEAM: HeaderName = HeaderName::from_static("x-team");
static X_URGENCY: HeaderName = HeaderName::from_static("x-urgency");
static X_IDEMPOTENT: HeaderName = HeaderName::from_static("x-idempotent");
static X_RESEND: HeaderName = HeaderName::from_static("x-resend");

/// Why a request's path or headers cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidHead {
    /// path: expected /v1/services/JOB/PATH
    Path,
    /// path: the job's name is invalid: {0}
    Job(id::InvalidId),
    /// {header}: the value is not visible ASCII text
    NotText {
        /// Name of the header.
        header: HeaderName,
    },
    /// {header}: the value is empty or longer than 128 bytes
    Length {
        /// Name of the header.
        header: HeaderName,
    },
    /// x-deadline-ms: expected a whole number of milliseconds above zero
    Deadline,
    /// x-team: {0}
    Team(id::InvalidId),
    /// x-urgency: expected urgent, normal or background
    Urgency,
    /// {header}: expected true or false
    Flag {
        /// Name of the header.
        header: HeaderName,
    },
}

impl std::error::Error for InvalidHead {}

/// The parts of a request that routing needs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RequestHead {
    /// The service.
    pub job: id::JobId,
    /// Path and query after the service's name, without the leading slash.
    pub target_path: String,
    /// Identifier of the request.
    pub request_id: Arc<str>,
    /// Time limit of the whole request, if the caller set one.
    pub time_left: Option<time::SpanMs>,
    /// Key of the request's started record: the `idempotency-key`, otherwise the caller's request
    /// id. Unset if the caller sent neither and so cannot refer to the request again.
    pub idempotency_key: Option<Arc<str>>,
    /// Team of the caller, if the caller sent one.
    pub team: Option<id::TeamId>,
    /// Urgency class of the request.
    pub urgency: job::Urgency,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Whether the caller sent the request before. If its record cannot be read, the outcome is
    /// then reported as unknown instead of not run.
    pub resend: bool,
}

impl RequestHead {
    /// Parses a request's head. `fallback_id` generates a request id if the caller sent none.
    ///
    /// # Errors
    ///
    /// [`InvalidHead`] names the invalid part.
    pub fn parse(
        method: &Method,
        uri: &http::Uri,
        headers: &HeaderMap,
        fallback_id: impl FnOnce() -> Arc<str>,
    ) -> Result<Self, InvalidHead> {
        let (job, target_path) = split_path(uri)?;
        let request_id = match header_token(headers, &refusal::X_REQUEST_ID)? {
            Some(text) => Arc::from(text),
            None => fallback_id(),
        };
        let idempotent = parse_flag(headers, &X_IDEMPOTENT, method.is_idempotent())?;
        let key = header_token(headers, &IDEMPOTENCY_KEY)?;
        let caller_id = header_token(headers, &refusal::X_REQUEST_ID)?;
        Ok(Self {
            job,
            target_path,
            request_id,
            time_left: parse_deadline(headers)?,
            idempotency_key: key.or(caller_id).map(Arc::from),
            team: parse_team(headers)?,
            urgency: parse_urgency(headers)?,
            idempotent,
            resend: parse_flag(headers, &X_RESEND, false)?,
        })
    }
}

/// Returns the caller's request id if it is valid.
pub(crate) fn request_id(headers: &HeaderMap) -> Option<&str> {
    header_token(headers, &refusal::X_REQUEST_ID).ok().flatten()
}

/// Returns the headers that are meant for the front and are not forwarded to targets.
pub(crate) fn front_headers() -> [&'static HeaderName; 5] {
    [
        &X_DEADLINE_MS,
        &X_TEAM,
        &X_URGENCY,
        &X_IDEMPOTENT,
        &X_RESEND,
    ]
}

/// Returns the name of the header with the remaining time of a request, in milliseconds.
pub(crate) fn deadline_header() -> HeaderName {
    X_DEADLINE_MS.clone()
}

fn split_path(uri: &http::Uri) -> Result<(id::JobId, String), InvalidHead> {
    let path_and_query = uri.path_and_query().ok_or(InvalidHead::Path)?.as_str();
    let service_path = path_and_query
        .strip_prefix(PATH_PREFIX)
        .ok_or(InvalidHead::Path)?;
    let job_end = service_path.find(['/', '?']).unwrap_or(service_path.len());
    let (name, target_path) = service_path.split_at(job_end);
    let job = id::JobId::new(name).map_err(InvalidHead::Job)?;
    let target_path = target_path.strip_prefix('/').unwrap_or(target_path);
    let path = target_path.split('?').next().unwrap_or_default();
    if path.split('/').any(is_dot_segment) {
        return Err(InvalidHead::Path);
    }
    Ok((job, target_path.to_owned()))
}

/// Whether a path segment, possibly percent-encoded, could escape from the path of the task.
fn is_dot_segment(segment: &str) -> bool {
    let decoded = segment.to_ascii_lowercase().replace("%2e", ".");
    decoded == "." || decoded == ".."
}

fn header_text<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, InvalidHead> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| InvalidHead::NotText {
        header: name.clone(),
    })?;
    Ok(Some(text))
}

/// Returns the value of a header with a request id or an idempotency key.
fn header_token<'a>(
    headers: &'a HeaderMap,
    name: &HeaderName,
) -> Result<Option<&'a str>, InvalidHead> {
    let Some(text) = header_text(headers, name)? else {
        return Ok(None);
    };
    if text.is_empty() || text.len() > MAX_TOKEN_BYTES {
        return Err(InvalidHead::Length {
            header: name.clone(),
        });
    }
    Ok(Some(text))
}

fn parse_deadline(headers: &HeaderMap) -> Result<Option<time::SpanMs>, InvalidHead> {
    let Some(text) = header_text(headers, &X_DEADLINE_MS)? else {
        return Ok(None);
    };
    match text.parse::<u64>() {
        Ok(milliseconds) if milliseconds > 0 => Ok(Some(time::SpanMs(milliseconds))),
        _ => Err(InvalidHead::Deadline),
    }
}

fn parse_team(headers: &HeaderMap) -> Result<Option<id::TeamId>, InvalidHead> {
    header_text(headers, &X_TEAM)?
        .map(|name| id::TeamId::new(name).map_err(InvalidHead::Team))
        .transpose()
}

fn parse_urgency(headers: &HeaderMap) -> Result<job::Urgency, InvalidHead> {
    match header_text(headers, &X_URGENCY)? {
        None | Some("normal") => Ok(job::Urgency::Normal),
        Some("urgent") => Ok(job::Urgency::Urgent),
        Some("background") => Ok(job::Urgency::Background),
        Some(_) => Err(InvalidHead::Urgency),
    }
}

fn parse_flag(headers: &HeaderMap, name: &HeaderName, default: bool) -> Result<bool, InvalidHead> {
    match header_text(headers, name)? {
        None => Ok(default),
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(InvalidHead::Flag {
            header: name.clone(),
        }),
    }
}
