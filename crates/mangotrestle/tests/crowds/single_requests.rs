//! Tests of single requests at the limits of the configuration, which are served in calm.

use std::time::Duration;

use serde_json::json;

use super::crowd::{chunk, exchange, submission_head};
use super::machine::Scene;
use super::platform::job_body;

/// Limits of the configuration.
const MAX_HEADER_BYTES: usize = 16_384;
const MAX_BODY_BYTES: usize = 262_144;

/// Time within which a configuration must be in force; the default of the settings.
const CONFIGURATION_APPLY_TIME: Duration = Duration::from_secs(2);
/// Duration of a slow request, less than its caller's timeout.
const SLOW_REQUEST_TIME: Duration = Duration::from_secs(2);
/// Duration of a pause between requests, less than the idle timeout.
const QUIET_TIME: Duration = Duration::from_secs(13);

/// Returns a legal job that fills the largest body.
fn largest_body() -> Vec<u8> {
    let mut body = job_body().into_bytes();
    body.resize(MAX_BODY_BYTES, b' ');
    body
}

fn with_length(number: u64, body: &[u8]) -> String {
    submission_head(number, &format!("Content-Length: {}\r\n", body.len()))
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_head_is_served() {
    let scene = Scene::start().await;
    let body = job_body();
    let head = with_length(1_000, body.as_bytes());
    let filler = "x".repeat(MAX_HEADER_BYTES - head.len() - "X-Filler: \r\n".len());
    let headers = format!("Content-Length: {}\r\nX-Filler: {filler}\r\n", body.len());
    let request = submission_head(1_000, &headers) + &body;

    let status = exchange(scene.host.address(), &[request.as_bytes()], Duration::ZERO).await;

    assert_eq!(request.len() - body.len(), MAX_HEADER_BYTES);
    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_over_the_limit_of_a_new_configuration_is_refused() {
    let scene = Scene::start().await;
    let limits = json!({"max_header_bytes": 9_000, "max_body_bytes": MAX_BODY_BYTES});
    scene.platform.set_request_limits(2, &limits);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    let head = |bytes| format!("GET / HTTP/1.1\r\nX-Filler: {}\r\n\r\n", "x".repeat(bytes));

    let address = scene.host.address();
    let below = exchange(address, &[head(8_500).as_bytes()], Duration::ZERO).await;
    let above = exchange(
        address,
        &[head(MAX_HEADER_BYTES).as_bytes()],
        Duration::ZERO,
    )
    .await;

    assert_eq!((below, above), (404, 431));
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_is_served() {
    let scene = Scene::start().await;
    let body = largest_body();
    let head = with_length(1_000, &body);

    let parts = [head.as_bytes(), &body];
    let status = exchange(scene.host.address(), &parts, Duration::ZERO).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_largest_body_is_served_in_chunks_of_one_byte() {
    let scene = Scene::start().await;
    let head = submission_head(1_000, "Transfer-Encoding: chunked\r\n");
    let mut chunks = Vec::new();
    for byte in largest_body() {
        chunks.extend_from_slice(&[b'1', b'\r', b'\n', byte, b'\r', b'\n']);
    }
    chunks.extend_from_slice(b"0\r\n\r\n");

    let parts = [head.as_bytes(), &chunks];
    let status = exchange(scene.host.address(), &parts, Duration::ZERO).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_takes_two_seconds_is_served() {
    let scene = Scene::start().await;
    let body = largest_body();
    let head = with_length(1_000, &body);
    let (first, second) = body.split_at(MAX_BODY_BYTES / 2);

    let parts = [head.as_bytes(), first, second];
    let pause = SLOW_REQUEST_TIME / 2;
    let status = exchange(scene.host.address(), &parts, pause).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_head_that_takes_two_seconds_is_served() {
    let scene = Scene::start().await;
    let body = job_body();
    let request = with_length(1_000, body.as_bytes()) + &body;
    let (first, second) = request.as_bytes().split_at(40);

    let status = exchange(scene.host.address(), &[first, second], SLOW_REQUEST_TIME).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_is_quiet_for_nearly_the_idle_time_is_served() {
    let scene = Scene::start().await;
    let body = job_body();
    let request = with_length(1_000, body.as_bytes()) + &body;

    let status = exchange(scene.host.address(), &[b"", request.as_bytes()], QUIET_TIME).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_empty_line_before_a_request_is_ignored() {
    let scene = Scene::start().await;
    let body = job_body();
    let request = format!("\r\n{}{body}", with_length(1_000, body.as_bytes()));

    let status = exchange(scene.host.address(), &[request.as_bytes()], Duration::ZERO).await;

    assert_eq!(status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn chunks_of_any_size_are_served() {
    let scene = Scene::start().await;
    let head = submission_head(1_000, "Transfer-Encoding: chunked\r\n");
    let body = job_body();
    let body = format!("{:x}\r\n{body}\r\n", body.len());
    let padding = chunk(MAX_BODY_BYTES / 2);

    let parts = [head.as_bytes(), body.as_bytes(), &padding, b"0\r\n\r\n"];
    let status = exchange(scene.host.address(), &parts, Duration::ZERO).await;

    assert_eq!(status, 200);
}
