//! Server for callers, who submit and cancel jobs and ask for their states and the number pending.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use axum::serve::ListenerExt;
use displaydoc::Display;
use http::{HeaderValue, Method, Request, StatusCode, header};
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::admission::{self, Admission, ExpectedTime};
use mangotrestle_core::workflow::catalog::{Catalog, Queue};
use mangotrestle_core::workflow::division::Division;
use mangotrestle_core::workflow::intake_shares::IntakeShares;
use mangotrestle_core::workflow::leadership::PoolSummary;
use mangotrestle_core::workflow::spec::{JobPools, JobRecord};
use mangotrestle_core::workflow::teams::identity::Caller;
use mangotrestle_http::body::{self, BodyError, RequestBody};
use mangotrestle_http::{RequestLimits, Server};
use mangotrestle_peer::cell::Acceptance;
use mangotrestle_users_platform::ingress;
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::cell::Cell;
use super::events;
use super::homes;
use super::jobs;
use super::load::Work;

/// Maximum size of a request's body if the configuration sets none, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;
/// Maximum time for a request's body, however long its caller waits.
const MAX_BODY_TIME: Duration = Duration::from_secs(30);
/// Time for which a caller is assumed to wait if its request does not say.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Share of the caller's time that may be spent on a request; the rest is for the answer.
const ANSWER_TIME_SHARE: f64 = 0.8;
/// Time for which a request waits until the configuration is known to be the newest.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);
/// Minimum time after which a caller whose job could not be stored should retry.
const MIN_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// Maximum time after which a caller should retry while the store is unreachable.
const MAX_RETRY_AFTER: SpanMs = SpanMs(4_000);

/// Answers the load balancer's readiness checks.
pub(super) async fn serve_readiness(cell: Arc<Cell>, listener: TcpListener) {
    let server = Server::builder("readiness", IntakeShares::of(&cell.settings).observers)
        .log(cell.log.clone())
        .build();
    let handler = move |request: Request<RequestBody>| {
        let is_readiness_path = request.uri().path() == ingress::READINESS_PATH;
        let status = match (is_readiness_path, cell.is_ready()) {
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
            (false, _) => StatusCode::NOT_FOUND,
        };
        std::future::ready(status.into_response())
    };
    // The server runs until the process ends.
    let (_stop, stopping) = watch::channel(false);
    server.serve(listener, handler, stopping).await;
}

/// Serves callers until `stop` becomes true, then finishes the requests in flight.
pub(super) async fn serve(cell: Arc<Cell>, listener: TcpListener, stop: watch::Receiver<bool>) {
    let listener = listener.tap_io(|stream| {
        // A failure only makes answers a little slower.
        let _ = stream.set_nodelay(true);
    });
    let limits_cell = Arc::clone(&cell);
    let server = Server::builder("callers", IntakeShares::of(&cell.settings).callers)
        .request_limits(move || request_limits(limits_cell.catalog.load().as_deref()))
        .log(cell.log.clone())
        .build();
    let handler = move |request| {
        let cell = Arc::clone(&cell);
        async move { handle_request(&cell, request).await }
    };
    server.serve(listener, handler, stop).await;
}

/// Returns the limits of requests that the configuration sets; each that it does not set has a default.
fn request_limits(catalog: Option<&Catalog>) -> RequestLimits {
    let mut limits = RequestLimits::default();
    let Some(catalog) = catalog else {
        return limits;
    };
    if catalog.max_head_bytes > 0 {
        limits.max_head_bytes = catalog.max_head_bytes;
    }
    if catalog.head_timeout_ms > 0 {
        limits.head_timeout = Duration::from_millis(catalog.head_timeout_ms);
    }
    if catalog.idle_timeout_ms > 0 {
        limits.idle_timeout = Duration::from_millis(catalog.idle_timeout_ms);
    }
    limits
}

async fn handle_request(cell: &Arc<Cell>, request: Request<RequestBody>) -> Response {
    let answer = answer_request(cell, request);
    cell.load.measure(Work::Caller, answer).await
}

async fn answer_request(cell: &Arc<Cell>, request: Request<RequestBody>) -> Response {
    cell.count_suspension();
    let is_current = cell.configuration_is_current()
        || (!cell.store_is_silent()
            && cell
                .wait_for_current_configuration(CONFIRMATION_TIMEOUT)
                .await);
    let Some(catalog) = cell.catalog.load_full() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER);
    };
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let queue = catalog.route(&host, &path);
    let method = request.method().clone();
    if method != Method::POST {
        // Only a submission has a body that matters.
        request.body().pass_on();
    }
    let is_count = |queue: &Queue| method == Method::GET && path.len() == queue.path_prefix.len();
    // A newer configuration may have added or removed the route. While the store answers nothing,
    // states of jobs are still shown as their leader knows them.
    if !is_current && (queue.is_none_or(is_count) || !cell.store_is_silent()) {
        return refuse_as_outdated(cell, &catalog, &path);
    }
    let Some(queue) = queue else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let key = request.headers().get(ingress::KEY_HEADER);
    let caller = Caller::identify(&catalog, queue, key.map(HeaderValue::as_bytes));
    if caller == Caller::Unknown || (!is_current && keys_have_expired(cell, &catalog)) {
        if !is_current {
            return refuse_as_outdated(cell, &catalog, &path);
        }
        events::key_unknown(&cell.log, queue, catalog.version, key.is_some());
        return StatusCode::UNAUTHORIZED.into_response();
    }
    if is_count(queue) {
        return pending(cell, queue);
    }
    let rest = &path[queue.path_prefix.len()..];
    let Some(job) = ingress::job_id(rest) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let home = home_pool(cell, queue, &host, &job, &method);
    let Some(home) = Box::pin(home).await else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER);
    };
    let viewer = caller.viewer(queue);
    let timeout = caller_timeout(&request).mul_f64(ANSWER_TIME_SHARE);
    match method {
        Method::POST if is_current => {
            let Some(division) = cell.division(&queue.pool) else {
                return refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER);
            };
            let target = Target {
                catalog: &catalog,
                queue,
                caller,
                division: &division,
                home: &home,
            };
            Box::pin(submit(cell, &target, &job, request)).await
        }
        Method::POST if Box::pin(jobs::is_known_to_leader(cell, &home, &job, viewer)).await => {
            StatusCode::OK.into_response()
        }
        Method::POST => refuse_as_outdated(cell, &catalog, &path),
        Method::GET => {
            let answer = state(cell, queue, &home, &job, viewer);
            Box::pin(answer_within(timeout, answer)).await
        }
        Method::DELETE => {
            let answer = cancel(cell, queue, &home, &job, viewer);
            Box::pin(answer_within(timeout, answer)).await
        }
        _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
}

/// Returns the pool that holds a job's identity, wherever its queue is sent now; `None` if it cannot be
/// found out.
async fn home_pool(
    cell: &Arc<Cell>,
    queue: &Queue,
    host: &str,
    job: &id::JobId,
    method: &Method,
) -> Option<String> {
    // A submission waits until the row has the queue's name, by which its jobs are counted.
    let known = homes::known_home_service(cell, queue, host).filter(|_| method != Method::POST);
    let service = match known {
        Some(service) => service,
        None => homes::home_service(cell, queue, host).await?,
    };
    let division = cell.division(&service)?;
    Some(division.home_of(&service, job))
}

/// Whether keys count no more, since a newer configuration may have taken them away and the deployment
/// prefers to refuse then.
fn keys_have_expired(cell: &Cell, catalog: &Catalog) -> bool {
    let bounds = &cell.settings.bounds;
    catalog.teams.is_some()
        && bounds.strict_key_removal
        && cell.configuration_age() >= bounds.key_removal_time
}

/// Refuses a request that a newer configuration may answer otherwise.
fn refuse_as_outdated(cell: &Cell, catalog: &Catalog, path: &str) -> Response {
    events::configuration_outdated(&cell.log, catalog.version, path);
    refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER)
}

/// Answers that the outcome is unknown if there is no answer in time: calls to the store may be
/// relayed by several peers in turn.
async fn answer_within(timeout: Duration, answer: impl Future<Output = Response>) -> Response {
    tokio::time::timeout(timeout, answer)
        .await
        .unwrap_or_else(|_| StatusCode::GATEWAY_TIMEOUT.into_response())
}

/// Returns the time for which the caller waits for an answer.
fn caller_timeout(request: &Request<RequestBody>) -> Duration {
    request
        .headers()
        .get(ingress::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis)
}

/// What a submitted job is for.
struct Target<'a> {
    catalog: &'a Catalog,
    queue: &'a Queue,
    caller: Caller<'a>,
    division: &'a Division,
    /// The job's home pool.
    home: &'a str,
}

async fn submit(
    cell: &Arc<Cell>,
    target: &Target<'_>,
    job: &id::JobId,
    request: Request<RequestBody>,
) -> Response {
    let began = Instant::now();
    let timeout = caller_timeout(&request).mul_f64(ANSWER_TIME_SHARE);
    let max_bytes = match target.catalog.max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        configured => configured,
    };
    let wait = caller_timeout(&request).min(MAX_BODY_TIME);
    let deadline = tokio::time::Instant::now() + wait;
    let body = match body::collect(request.into_body(), max_bytes, deadline).await {
        Ok(body) => body,
        Err(error) => return refuse_body(cell, job, error),
    };
    let policy = &target.queue.policy;
    let mut record = match ingress::decode_job(&body, policy, cell.clock.epoch_ms()) {
        Ok(record) => record,
        Err(error) => {
            events::job_malformed(&cell.log, job, &error.to_string());
            return StatusCode::BAD_REQUEST.into_response();
        }
    };
    if let Err(error) = record.validate() {
        events::job_malformed(&cell.log, job, &error.to_string());
        return StatusCode::BAD_REQUEST.into_response();
    }
    if let Err(error) = record.check_texts() {
        events::job_malformed(&cell.log, job, &error.to_string());
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    record.team = target.caller.team().map(Arc::from);
    record.pools = choose_pools(cell, target, job, &record);
    if let Err(error) = check_size(cell, &record) {
        events::job_malformed(&cell.log, job, &error.to_string());
        return StatusCode::PAYLOAD_TOO_LARGE.into_response();
    }
    let refusing = refuse_if_hopeless(cell, target, job, &record);
    if let Some(refusal) = Box::pin(refusing).await {
        return refusal;
    }
    let record = Arc::new(record);
    let accepting = jobs::accept(cell, target.home, job, &record, timeout);
    let acceptance = Box::pin(accepting).await;
    events::job_answered(
        &cell.log,
        job,
        (target.queue, target.home),
        &acceptance,
        target.catalog.version,
        began.elapsed(),
    );
    match acceptance {
        Acceptance::Accepted { .. } | Acceptance::Known => StatusCode::OK.into_response(),
        Acceptance::NotAccepted(_) | Acceptance::NotLeading => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, store_retry_after(cell))
        }
        Acceptance::Unknown(_) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

/// Refuses a job whose body is not there. It has not been accepted, so it can be submitted again.
fn refuse_body(cell: &Cell, job: &id::JobId, error: BodyError) -> Response {
    events::body_missing(&cell.log, job, error);
    match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE.into_response(),
        BodyError::CutOff => StatusCode::BAD_REQUEST.into_response(),
        BodyError::NoRoom | BodyError::Timeout => {
            let spread_ms = rand::rng().random_range(0..MIN_RETRY_AFTER.0);
            let retry_after = SpanMs(MIN_RETRY_AFTER.0 + spread_ms);
            refuse(StatusCode::SERVICE_UNAVAILABLE, retry_after)
        }
    }
}

/// Why a job cannot be stored.
#[derive(Debug, Display)]
enum SizeError {
    /// the job takes {bytes} bytes in the store, {max_bytes} are allowed
    TooLarge {
        /// Size of its row.
        bytes: usize,
        /// Size that the store allows.
        max_bytes: usize,
    },
}

/// Checks that the store allows a row of a job's size, so that its caller learns of it. The store would
/// refuse the row together with those of other jobs.
fn check_size(cell: &Cell, record: &JobRecord) -> Result<(), SizeError> {
    let max_bytes = cell.settings.store_limits.row_bytes;
    let bytes = serde_json::to_vec(record).map_or(usize::MAX, |row| row.len());
    if bytes > max_bytes {
        return Err(SizeError::TooLarge { bytes, max_bytes });
    }
    Ok(())
}

/// Chooses the pools that run a job, if its home does not run it alone.
fn choose_pools(
    cell: &Cell,
    target: &Target<'_>,
    job: &id::JobId,
    record: &JobRecord,
) -> Option<JobPools> {
    let service = &target.queue.pool;
    let names = target.division.pool_names(service);
    let summaries: FastMap<String, Arc<PoolSummary>> = names
        .filter_map(|name| {
            let summary = cell.summary(&name)?;
            Some((name, summary))
        })
        .collect();
    let summary_of = |pool: &str| summaries.get(pool).map(AsRef::as_ref);
    let random = rand::rng().random();
    let division = target.division;
    division.choose(service, target.home, job, record, summary_of, random)
}

/// Refuses a job that admission does not accept, unless it was accepted earlier: then it stays
/// accepted, even if its pool is busy now.
async fn refuse_if_hopeless(
    cell: &Arc<Cell>,
    target: &Target<'_>,
    job: &id::JobId,
    record: &JobRecord,
) -> Option<Response> {
    let pools = record.pools.as_ref();
    let pool = pools.and_then(|pools| pools.pools.first());
    let summary = cell.summary(pool.map_or(target.home, String::as_str));
    let spread = rand::rng().random_range(0..1_000);
    let cap = match &target.caller {
        Caller::Team(team) => Some(&team.cap),
        Caller::Anonymous | Caller::Unknown => None,
    };
    let viewer = target.caller.viewer(target.queue);
    let admission = admission::decide(record, cap, summary.as_deref(), spread);
    let (status, retry_after) = match admission {
        Admission::Accept => return None,
        Admission::NeverFits { .. } | Admission::BeyondCap { .. } => {
            (StatusCode::SERVICE_UNAVAILABLE, SpanMs::from_secs(60))
        }
        Admission::Busy { retry_after } => {
            match jobs::find_state(cell, target.home, job, viewer).await {
                Ok(None) => (StatusCode::TOO_MANY_REQUESTS, retry_after),
                Ok(Some(_)) => return Some(StatusCode::OK.into_response()),
                Err(reason) => {
                    events::job_unknown(&cell.log, job, target.queue, &reason);
                    return Some(StatusCode::GATEWAY_TIMEOUT.into_response());
                }
            }
        }
    };
    let expected = summary.map(|summary| ExpectedTime::new(record, &summary));
    events::job_refused(
        &cell.log,
        job,
        target.queue,
        target.caller.team(),
        (&admission, expected.unwrap_or_default()),
        target.catalog.version,
    );
    Some(refuse(status, retry_after))
}

async fn state(
    cell: &Arc<Cell>,
    queue: &Queue,
    home: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Response {
    match jobs::find_state(cell, home, job, viewer).await {
        Ok(Some(state)) => {
            events::job_shown(&cell.log, job, home, Some(state));
            json_response(ingress::encode_state(state))
        }
        Ok(None) => {
            events::job_shown(&cell.log, job, home, None);
            StatusCode::GONE.into_response()
        }
        Err(reason) => {
            events::job_unknown(&cell.log, job, queue, &reason);
            refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER)
        }
    }
}

async fn cancel(
    cell: &Arc<Cell>,
    queue: &Queue,
    home: &str,
    job: &id::JobId,
    viewer: Option<&str>,
) -> Response {
    match jobs::cancel(cell, home, job, viewer).await {
        Ok(state) => {
            events::job_cancelled(&cell.log, job, (queue, home), state);
            match state {
                Some(_) => StatusCode::OK.into_response(),
                None => StatusCode::GONE.into_response(),
            }
        }
        Err(reason) => {
            events::job_unknown(&cell.log, job, queue, &reason);
            refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER)
        }
    }
}

/// Answers with the number of a queue's jobs that have not begun, in all pools and under all names that
/// the queue has had: it may have been sent to other services.
fn pending(cell: &Arc<Cell>, queue: &Queue) -> Response {
    let row = cell.home_row(&queue.path_prefix);
    let stored = row.iter().flat_map(|(row, _)| row.queue_names());
    let names: BTreeSet<&str> = stored
        .chain(std::iter::once(queue.policy.queue.as_str()))
        .collect();
    let pools = cell.pools().into_iter();
    let summaries = pools.filter_map(|pool| cell.summary(&pool));
    let counts = summaries.map(|summary| {
        let counts = names.iter().filter_map(|name| summary.pending.get(*name));
        counts.sum::<u32>()
    });
    json_response(ingress::encode_pending(counts.sum()))
}

fn json_response(body: Vec<u8>) -> Response {
    let headers = [(header::CONTENT_TYPE, "application/json")];
    (StatusCode::OK, headers, Body::from(body)).into_response()
}

/// Returns the time after which a caller whose job could not be stored should retry. An outage that
/// has lasted a while is expected to last as long again; retries are spread over that time.
fn store_retry_after(cell: &Cell) -> SpanMs {
    let unreachable_for = cell.time_since_store_answer();
    let latest = MAX_RETRY_AFTER.0.min(MIN_RETRY_AFTER.0 + unreachable_for.0);
    SpanMs(rand::rng().random_range(MIN_RETRY_AFTER.0..=latest.max(MIN_RETRY_AFTER.0 + 1)))
}

/// Returns a refusal with the time until a retry, in whole seconds.
fn refuse(status: StatusCode, retry_after: SpanMs) -> Response {
    let seconds = retry_after.0.div_ceil(1_000);
    let mut response = status.into_response();
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}
