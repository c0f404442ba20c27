//! Hop-by-hop headers, and headers exchanged between the front and targets.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header};
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;

use crate::refusal;
use crate::request_head;

/// Number of the attempt, starting at 1, as sent to the target.
const X_ATTEMPT: HeaderName = HeaderName::from_static("x-attempt");

/// Hop-by-hop headers, which are never forwarded.
const HOP_BY_HOP: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Removes hop-by-hop headers, including those listed in the `connection` header.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let connection_headers: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in connection_headers.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Returns the headers of an attempt: those of the caller and those that the front adds.
pub fn for_target(
    caller_headers: &HeaderMap,
    request_id: &str,
    attempt: u32,
    time_left: time::SpanMs,
) -> HeaderMap {
    let mut headers = caller_headers.clone();
    strip_hop_by_hop(&mut headers);
    headers.remove(header::HOST);
    headers.remove(header::EXPECT);
    for name in request_head::front_headers() {
        headers.remove(name);
    }
    headers.insert(
        request_head::deadline_header(),
        HeaderValue::from(time_left.0),
    );
    headers.insert(X_ATTEMPT, HeaderValue::from(attempt));
    if let Ok(value) = HeaderValue::from_str(request_id) {
        headers.insert(refusal::X_REQUEST_ID, value);
    }
    headers
}

/// Returns the result code if the target reports that it did not run the request: status 503 with a
/// code from the "not run" range (2000 to 2999) or the worker range (4000 to 4999).
pub fn target_refusal(status: StatusCode, headers: &HeaderMap) -> Option<ResultCode> {
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return None;
    }
    let text = headers.get(refusal::X_RESULT_CODE)?.to_str().ok()?;
    let code = ResultCode::from_number(text.parse().ok()?)?;
    let not_run = matches!(code.number(), 2_000..=2_999 | 4_000..=4_999);
    not_run.then_some(code)
}

/// Whether an answer carries the identifier of another request.
pub fn names_another_request(headers: &HeaderMap, request_id: &str) -> bool {
    headers
        .get(refusal::X_REQUEST_ID)
        .is_some_and(|value| value.as_bytes() != request_id.as_bytes())
}
