//! Any path or header gives a request head of bounded size or an error that names it, never a
//! panic.

use std::sync::Arc;

use http::header::{HeaderMap, HeaderValue};
use http::{HeaderName, Method, Uri};
use mangotrestle_caller::request_head::{InvalidHead, MAX_TOKEN_BYTES, RequestHead};
use mangotrestle_core::id;
use quickcheck::{TestResult, quickcheck};

const HEADER_NAMES: [&str; 7] = [
    "x-request-id",
    "x-deadline-ms",
    "idempotency-key",
    "x-team",
    "x-urgency",
    "x-idempotent",
    "x-resend",
];

fn parse(method: &Method, uri: &Uri, headers: &HeaderMap) -> Result<RequestHead, InvalidHead> {
    RequestHead::parse(method, uri, headers, || Arc::from("made"))
}

fn valid_uri() -> Uri {
    Uri::from_static("/v1/services/booking/slots/7?day=mon")
}

fn is_bounded(head: &RequestHead) -> bool {
    let key_fits = |key: &Arc<str>| key.len() <= MAX_TOKEN_BYTES;
    head.request_id.len() <= MAX_TOKEN_BYTES
        && head.idempotency_key.as_ref().is_none_or(key_fits)
        && head.job.as_str().len() <= id::MAX_ID_BYTES
}

quickcheck! {
    fn any_header_value_gives_a_bounded_head_or_names_the_header(
        header_index: usize,
        bytes: Vec<u8>,
        post: bool
    ) -> TestResult {
        let Ok(value) = HeaderValue::from_bytes(&bytes) else {
            return TestResult::discard();
        };
        let name = HEADER_NAMES[header_index % HEADER_NAMES.len()];
        let mut headers = HeaderMap::new();
        headers.insert(HeaderName::from_static(name), value);
        let method = if post { Method::POST } else { Method::GET };
        TestResult::from_bool(match parse(&method, &valid_uri(), &headers) {
            Ok(head) => is_bounded(&head),
            Err(fault) => fault.to_string().starts_with(name),
        })
    }

    fn any_path_gives_a_bounded_head_or_names_the_path(text: String) -> TestResult {
        let Ok(uri) = format!("/v1/services/{text}").parse::<Uri>() else {
            return TestResult::discard();
        };
        TestResult::from_bool(match parse(&Method::GET, &uri, &HeaderMap::new()) {
            Ok(head) => is_bounded(&head) && !head.target_path.starts_with("../"),
            Err(fault) => fault.to_string().starts_with("path"),
        })
    }

    fn the_path_after_the_service_is_unchanged(segments: Vec<u32>) -> bool {
        let target_path = segments.iter().map(u32::to_string).collect::<Vec<_>>().join("/");
        let uri = format!("/v1/services/booking/{target_path}").parse::<Uri>().unwrap();
        parse(&Method::GET, &uri, &HeaderMap::new()).unwrap().target_path == target_path
    }
}

#[test]
fn all_headers_are_parsed() {
    let mut headers = HeaderMap::new();
    for (name, value) in [
        ("x-request-id", "r-1"),
        ("x-deadline-ms", "250"),
        ("idempotency-key", "k-1"),
        ("x-team", "web"),
        ("x-urgency", "urgent"),
        ("x-idempotent", "false"),
        ("x-resend", "true"),
    ] {
        headers.insert(name, HeaderValue::from_static(value));
    }

    let head = parse(&Method::GET, &valid_uri(), &headers).unwrap();

    assert_eq!(head.job.as_str(), "booking");
    assert_eq!(head.target_path, "slots/7?day=mon");
    assert_eq!(&*head.request_id, "r-1");
    assert_eq!(head.time_left.unwrap().0, 250);
    assert_eq!(head.idempotency_key.as_deref(), Some("k-1"));
    assert_eq!(head.team.unwrap().as_str(), "web");
    assert!(!head.idempotent);
    assert!(head.resend);
}

#[test]
fn a_path_cannot_escape_from_the_task() {
    for path in ["a/../../x", "..", "%2e%2e/x", "a/%2E./x", "./x"] {
        let uri = format!("/v1/services/booking/{path}").parse().unwrap();
        let fault = parse(&Method::GET, &uri, &HeaderMap::new());
        assert_eq!(fault, Err(InvalidHead::Path), "{path}");
    }
}

#[test]
fn a_post_is_not_idempotent_unless_marked_so() {
    let idempotent_headers = HeaderMap::from_iter([(
        HeaderName::from_static("x-idempotent"),
        HeaderValue::from_static("true"),
    )]);

    let plain = parse(&Method::POST, &valid_uri(), &HeaderMap::new()).unwrap();
    let marked = parse(&Method::POST, &valid_uri(), &idempotent_headers).unwrap();

    assert!(!plain.idempotent);
    assert!(marked.idempotent);
}

#[test]
fn the_callers_request_id_replaces_a_missing_key() {
    let request_id_headers = HeaderMap::from_iter([(
        HeaderName::from_static("x-request-id"),
        HeaderValue::from_static("r-1"),
    )]);

    let head = parse(&Method::POST, &valid_uri(), &request_id_headers).unwrap();
    let without_id = parse(&Method::POST, &valid_uri(), &HeaderMap::new()).unwrap();

    assert_eq!(head.idempotency_key.as_deref(), Some("r-1"));
    assert_eq!(without_id.idempotency_key, None);
}
