//! The HTTP endpoint at which a worker's service tasks accept requests.
//!
//! Requests go to `/tasks/{job}/{index}/...`. A refused request is answered with status 503 and a
//! result code between 2000 and 2999 in [`X_RESULT_CODE`]: it did not run. With any other answer, it
//! did.

use std::sync::Arc;

use axum::Router;
use axum::body::Bytes;
use axum::extract::{Path, State};
use axum::response::{IntoResponse, Response};
use http::{HeaderMap, HeaderName, Method, StatusCode};
use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::task;

use super::host::Host;

/// Header with the number of the result code, in answers to refused requests.
pub const X_RESULT_CODE: HeaderName = HeaderName::from_static("x-result-code");
/// Header with the identifier of a request, which the answer repeats.
pub const X_REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// Header with the key of a request that must not run twice. POST and PATCH requests without it use
/// their request identifier as the key.
pub const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");

pub(super) fn router(host: Arc<Host>) -> Router {
    Router::new()
        .route("/tasks/{job}/{index}", axum::routing::any(serve_root))
        .route("/tasks/{job}/{index}/", axum::routing::any(serve_root))
        .route("/tasks/{job}/{index}/{*rest}", axum::routing::any(serve))
        .with_state(host)
}

async fn serve_root(
    host: State<Arc<Host>>,
    Path((job, index)): Path<(String, u32)>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let path = Path((job, index, String::new()));
    serve(host, path, method, headers, body).await
}

async fn serve(
    State(host): State<Arc<Host>>,
    Path((job, index, _)): Path<(String, u32, String)>,
    method: Method,
    headers: HeaderMap,
    body: Bytes,
) -> Response {
    let Ok(job) = id::JobId::new(&job) else {
        return refuse(ResultCode::TargetRefused);
    };
    host.wait_while_paused().await;
    let task = task::TaskId { job, index };
    let slot = match host.admit_request(&task) {
        Ok(slot) => slot,
        Err(code) => return refuse(code),
    };
    if let Some(key) = run_once_key(&method, &headers) {
        host.ledger.record_request(&key);
    }
    tokio::time::sleep(host.service_delay()).await;
    host.wait_while_paused().await;
    drop(slot);
    answer(&headers, body)
}

/// Returns the request's body and identifier, so that a caller can tell answers apart.
fn answer(headers: &HeaderMap, body: Bytes) -> Response {
    let mut response = (StatusCode::OK, body).into_response();
    if let Some(request_id) = headers.get(X_REQUEST_ID) {
        response
            .headers_mut()
            .insert(X_REQUEST_ID, request_id.clone());
    }
    response
}

/// Returns the key of a request that must not run twice, `None` if the request may be repeated.
fn run_once_key(method: &Method, headers: &HeaderMap) -> Option<String> {
    let text = |name| headers.get(name)?.to_str().ok().map(str::to_owned);
    let is_repeatable = method != Method::POST && method != Method::PATCH;
    match text(IDEMPOTENCY_KEY) {
        Some(key) => Some(key),
        None if is_repeatable => None,
        None => text(X_REQUEST_ID),
    }
}

fn refuse(code: ResultCode) -> Response {
    let headers = [(X_RESULT_CODE, code.number().to_string())];
    (StatusCode::SERVICE_UNAVAILABLE, headers, code.slug()).into_response()
}
