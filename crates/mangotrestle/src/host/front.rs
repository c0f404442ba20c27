//! Server for callers, who submit and cancel jobs and ask for their states and the number pending.

use std::sync::Arc;
use std::time::{Duration, Instant};

use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::{IntoResponse, Response};
use axum::serve::ListenerExt;
use http::{HeaderValue, Method, StatusCode, header};
use mangotrestle_core::id;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::admission::{self, Admission};
use mangotrestle_core::workflow::catalog::{Catalog, Queue};
use mangotrestle_core::workflow::record::{AssignmentRow, EndRow, JobState};
use mangotrestle_core::workflow::spec::JobRecord;
use mangotrestle_peer::cell::{Acceptance, JobName, JobStateAnswer, Submission, Submitted};
use mangotrestle_users_platform::ingress;
use mangotrestle_users_platform::store::{Transaction, TransactionAnswer, Value};
use rand::RngExt;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::cell::Cell;
use super::events;
use super::load::Work;
use super::names;

/// Maximum size of a request's body if the configuration sets none, in bytes.
const DEFAULT_MAX_BODY_BYTES: usize = 262_144;
/// Time for which a caller is assumed to wait if its request does not say.
const DEFAULT_CALLER_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval between attempts to reach a pool's leader while the store is slow.
const LEADER_RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Share of the time for accepting a job in which only the pool's leader is tried while the store
/// is slow.
const LEADER_TIME_SHARE: f64 = 0.6;
/// Share of the caller's time that may be spent on a request; the rest is for the answer.
const ANSWER_TIME_SHARE: f64 = 0.8;
/// Time for which a request waits until the configuration is known to be the newest.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(250);
/// Timeout for a leader's answer about a job, after which the store is used instead. While a job
/// is submitted, a leader that still commits is waited for again.
const LEADER_ANSWER_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for a store call on behalf of a caller.
const CALLER_STORE_TIMEOUT: Duration = Duration::from_secs(1);
/// Minimum time after which a caller whose job could not be stored should retry.
const MIN_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// Maximum time after which a caller should retry while the store is unreachable.
const MAX_RETRY_AFTER: SpanMs = SpanMs(4_000);
/// Maximum number of attempts to write a cancel request if the job's row changes meanwhile or the
/// outcome is unknown.
const MAX_CANCEL_ATTEMPTS: u32 = 4;

/// Answers the load balancer's readiness checks.
pub(super) async fn serve_readiness(cell: Arc<Cell>, listener: TcpListener) {
    let routes = axum::Router::new().fallback(move |request: Request| {
        let cell = Arc::clone(&cell);
        async move {
            let is_readiness_path = request.uri().path() == ingress::READINESS_PATH;
            match (is_readiness_path, cell.is_ready()) {
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                (false, _) => StatusCode::NOT_FOUND,
            }
        }
    });
    // The server runs until the process ends.
    let _ = axum::serve(listener, routes).await;
}

/// Serves callers until `stop` becomes true, then finishes the requests in flight.
pub(super) async fn serve(cell: Arc<Cell>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let log = cell.log.clone();
    let routes = axum::Router::new()
        .fallback(handle_request)
        .with_state(cell);
    let listener = listener.tap_io(|stream| {
        // A failure only makes answers a little slower.
        let _ = stream.set_nodelay(true);
    });
    let server = axum::serve(listener, routes).with_graceful_shutdown(async move {
        // A dropped sender also means stop.
        let _ = stop.wait_for(|stop| *stop).await;
    });
    if let Err(error) = server.await {
        slog::error!(log, "front.failed"; "error" => %error);
    }
}

async fn handle_request(State(cell): State<Arc<Cell>>, request: Request) -> Response {
    let answer = answer_request(&cell, request);
    cell.load.measure(Work::Caller, answer).await
}

async fn answer_request(cell: &Arc<Cell>, request: Request) -> Response {
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
    let is_count = |queue: &Queue| method == Method::GET && path.len() == queue.path_prefix.len();
    // A newer configuration may have added or removed the route. While the store answers nothing,
    // states of jobs are still shown as their leader knows them.
    if !is_current && (queue.is_none_or(is_count) || !cell.store_is_silent()) {
        return refuse_as_outdated(cell, &catalog, &path);
    }
    let Some(queue) = queue else {
        return StatusCode::NOT_FOUND.into_response();
    };
    if is_count(queue) {
        return pending(cell, queue);
    }
    let rest = &path[queue.path_prefix.len()..];
    let Some(job) = ingress::job_id(rest) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let began = Instant::now();
    let timeout = caller_timeout(&request).mul_f64(ANSWER_TIME_SHARE);
    match method {
        Method::POST if is_current => submit(cell, &catalog, queue, &job, request, began).await,
        Method::POST => match leader_state(cell, &queue.pool, &job).await {
            Some(_) => StatusCode::OK.into_response(),
            None => refuse_as_outdated(cell, &catalog, &path),
        },
        Method::GET => answer_within(timeout, state(cell, queue, &job)).await,
        Method::DELETE => answer_within(timeout, cancel(cell, queue, &job)).await,
        _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
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
fn caller_timeout(request: &Request) -> Duration {
    request
        .headers()
        .get(ingress::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_CALLER_TIMEOUT, Duration::from_millis)
}

async fn submit(
    cell: &Arc<Cell>,
    catalog: &Catalog,
    queue: &Queue,
    job: &id::JobId,
    request: Request,
    began: Instant,
) -> Response {
    let timeout = caller_timeout(&request).mul_f64(ANSWER_TIME_SHARE);
    let max_bytes = match catalog.max_body_bytes {
        0 => DEFAULT_MAX_BODY_BYTES,
        configured => configured,
    };
    let body = match axum::body::to_bytes(request.into_body(), max_bytes).await {
        Ok(body) => body,
        Err(error) => {
            events::job_malformed(&cell.log, job, &error.to_string());
            return StatusCode::PAYLOAD_TOO_LARGE.into_response();
        }
    };
    let record = match ingress::decode_job(&body, &queue.policy, cell.clock.epoch_ms()) {
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
    let summary = cell.summary(&queue.pool);
    let spread = rand::rng().random_range(0..1_000);
    let admission = admission::decide(&record, summary.as_deref(), spread);
    match admission {
        Admission::Accept => {}
        Admission::Busy { retry_after } => {
            // A job that was accepted earlier stays accepted, even if the pool is busy now.
            return match find_state(cell, &queue.pool, job).await {
                Ok(Some(_)) => StatusCode::OK.into_response(),
                Ok(None) => {
                    events::job_refused(&cell.log, job, queue, &admission, catalog.version);
                    refuse(StatusCode::TOO_MANY_REQUESTS, retry_after)
                }
                Err(reason) => {
                    events::job_unknown(&cell.log, job, queue, &reason);
                    StatusCode::GATEWAY_TIMEOUT.into_response()
                }
            };
        }
        Admission::NeverFits { .. } => {
            events::job_refused(&cell.log, job, queue, &admission, catalog.version);
            return refuse(StatusCode::SERVICE_UNAVAILABLE, SpanMs::from_secs(60));
        }
    }
    let record = Arc::new(record);
    let (acceptance, by_leader) = accept(cell, queue, job, &record, timeout).await;
    events::job_answered(
        &cell.log,
        job,
        queue,
        &acceptance,
        catalog.version,
        began.elapsed(),
    );
    match acceptance {
        Acceptance::Accepted { version } => {
            if !by_leader {
                notify_leader_of_job(cell, queue, job, record, version);
            }
            StatusCode::OK.into_response()
        }
        Acceptance::Known => StatusCode::OK.into_response(),
        Acceptance::NotAccepted(_) | Acceptance::NotLeading => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, store_retry_after(cell))
        }
        Acceptance::Unknown(_) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

/// Makes a job durable: through the pool's leader, whose commits carry many changes, or directly if
/// the leader does not answer. Also returns whether the leader did it.
async fn accept(
    cell: &Arc<Cell>,
    queue: &Queue,
    job: &id::JobId,
    record: &Arc<JobRecord>,
    timeout: Duration,
) -> (Acceptance, bool) {
    let began = Instant::now();
    let mut uncertain = false;
    while began.elapsed() < timeout {
        let leader_acceptance = accept_by_leader(cell, queue, job, record);
        match tokio::time::timeout(timeout.saturating_sub(began.elapsed()), leader_acceptance).await
        {
            Ok(Some(Acceptance::Unknown(_))) => uncertain = true,
            Ok(Some(Acceptance::NotLeading) | None) => {}
            Ok(Some(Acceptance::NotAccepted(reason))) if uncertain => {
                return (Acceptance::Unknown(reason), true);
            }
            Ok(Some(acceptance)) => return (acceptance, true),
            Err(_) => {
                uncertain = true;
                break;
            }
        }
        // A slow store must not get many small transactions while a new leader is taking over.
        let wait_for_leader = cell.store_is_slow() && !cell.store_is_unreachable();
        if !wait_for_leader || began.elapsed() > timeout.mul_f64(LEADER_TIME_SHARE) {
            break;
        }
        tokio::time::sleep(LEADER_RETRY_INTERVAL).await;
    }
    let remaining = timeout.saturating_sub(began.elapsed());
    let acceptor = cell.acceptor(&queue.pool);
    let direct_acceptance = acceptor.accept(job, record, remaining, uncertain);
    let acceptance = match tokio::time::timeout(remaining, direct_acceptance).await {
        Ok(acceptance) => acceptance,
        Err(_) => {
            Acceptance::Unknown("the store did not answer the transaction in time".to_owned())
        }
    };
    (acceptance, false)
}

/// Has the pool's leader make a job durable; `None` if no leader could be asked.
async fn accept_by_leader(
    cell: &Arc<Cell>,
    queue: &Queue,
    job: &id::JobId,
    record: &Arc<JobRecord>,
) -> Option<Acceptance> {
    if let Some(leader) = cell.leader(&queue.pool) {
        return Some(leader.accept(cell, job, Arc::clone(record)).await);
    }
    let row = cell.lead_row(&queue.pool)?;
    let peer = cell.responsive_peer(&row.holder)?;
    let submission = Submission {
        pool: queue.pool.clone(),
        job: job.clone(),
        record: record.as_ref().clone(),
        configuration: cell.configuration_version(),
    };
    let mut answer = std::pin::pin!(peer.accept(submission));
    loop {
        let answered = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, &mut answer).await;
        match answered {
            Ok(Ok(acceptance)) => return Some(acceptance),
            Ok(Err(error)) => {
                cell.record_peer_failure(&row.holder);
                return Some(Acceptance::Unknown(error.to_string()));
            }
            // A leader that still commits is waited for, however slow the store is.
            Err(_) if cell.leader_is_committing(&queue.pool) => {}
            Err(_) => {
                cell.record_peer_failure(&row.holder);
                return Some(Acceptance::Unknown("the leader does not answer".to_owned()));
            }
        }
    }
}

/// Notifies the pool's leader of an accepted job, so that it need not wait for the inbox feed.
fn notify_leader_of_job(
    cell: &Arc<Cell>,
    queue: &Queue,
    job: &id::JobId,
    record: Arc<JobRecord>,
    version: u64,
) {
    if let Some(leader) = cell.leader(&queue.pool) {
        leader.add_stored_job(cell, job, record, version);
        return;
    }
    let Some(row) = cell.lead_row(&queue.pool) else {
        return;
    };
    let Some(peer) = cell.peer(&row.holder) else {
        return;
    };
    let message = Submitted {
        pool: queue.pool.clone(),
        job: job.clone(),
        record: record.as_ref().clone(),
        version,
        configuration: cell.configuration_version(),
    };
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        let notified = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.submitted(message)).await;
        if !matches!(notified, Ok(Ok(_))) {
            cell.record_peer_failure(&row.holder);
        }
    });
}

async fn state(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId) -> Response {
    match find_state(cell, &queue.pool, job).await {
        Ok(Some(state)) => {
            events::job_shown(&cell.log, job, Some(state));
            json_response(ingress::encode_state(state))
        }
        Ok(None) => {
            events::job_shown(&cell.log, job, None);
            StatusCode::GONE.into_response()
        }
        Err(reason) => {
            events::job_unknown(&cell.log, job, queue, &reason);
            refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER)
        }
    }
}

/// Returns the state of a job from its leader, or from the store if the leader does not know it or
/// does not answer; `None` if the store has no such job.
async fn find_state(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<Option<JobState>, String> {
    if let Some(state) = leader_state(cell, pool, job).await {
        return Ok(Some(state));
    }
    stored_state(cell, pool, job).await
}

/// Returns the state of a job from its leader; `None` if the leader does not know it or does not
/// answer.
async fn leader_state(cell: &Arc<Cell>, pool: &str, job: &id::JobId) -> Option<JobState> {
    if let Some(leader) = cell.leader(pool)
        && let Some(state) = leader.state(job)
    {
        return Some(state);
    }
    let row = cell.lead_row(pool)?;
    let peer = cell.peer(&row.holder)?;
    let name = JobName {
        pool: pool.to_owned(),
        job: job.clone(),
    };
    match tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.state(name)).await {
        Ok(Ok(JobStateAnswer::State(state))) => return Some(state),
        Ok(Ok(JobStateAnswer::NotKnown | JobStateAnswer::NotLeading)) => {}
        _ => cell.record_peer_failure(&row.holder),
    }
    None
}

/// Returns the state of a job from the store. A job moves from the inbox to the ended jobs, so the
/// inbox is read first.
async fn stored_state(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<Option<JobState>, String> {
    let end = names::job_rows_end(job);
    let inbox = cell
        .read_range(
            names::INBOX_TABLE,
            pool,
            job.as_str(),
            &end,
            CALLER_STORE_TIMEOUT,
        )
        .await
        .map_err(|error| error.to_string())?;
    let ended = cell
        .read_range(
            names::ENDED_TABLE,
            pool,
            job.as_str(),
            &end,
            CALLER_STORE_TIMEOUT,
        )
        .await
        .map_err(|error| error.to_string())?;
    if let Some(value) = ended.rows.first().and_then(|row| row.value.as_ref()) {
        let row: EndRow = serde_json::from_slice(&value.0).map_err(|error| error.to_string())?;
        return Ok(Some(row.state));
    }
    let accepted = inbox.rows.iter().any(|row| row.name.key == job.as_str());
    let cancelled = inbox.rows.len() > usize::from(accepted);
    match (accepted, cancelled) {
        (false, _) => Ok(None),
        (true, true) => Ok(Some(JobState::Cancelled)),
        (true, false) => stored_progress(cell, pool, job).await.map(Some),
    }
}

/// Returns the state of an accepted job from its assignments in the store: running once a task has
/// started.
async fn stored_progress(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<JobState, String> {
    let assigned = cell
        .read_range(
            names::ASSIGN_TABLE,
            pool,
            job.as_str(),
            &names::job_rows_end(job),
            CALLER_STORE_TIMEOUT,
        )
        .await
        .map_err(|error| error.to_string())?;
    let Some(value) = assigned.rows.first().and_then(|row| row.value.as_ref()) else {
        return Ok(JobState::Queued);
    };
    let row: AssignmentRow = serde_json::from_slice(&value.0).map_err(|error| error.to_string())?;
    Ok(if row.begun {
        JobState::Running
    } else {
        JobState::Queued
    })
}

async fn cancel(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId) -> Response {
    let pool = &queue.pool;
    let end = names::job_rows_end(job);
    for _ in 0..MAX_CANCEL_ATTEMPTS {
        let inbox = match cell
            .read_range(
                names::INBOX_TABLE,
                pool,
                job.as_str(),
                &end,
                CALLER_STORE_TIMEOUT,
            )
            .await
        {
            Ok(inbox) => inbox,
            Err(error) => return cancel_failed(cell, queue, job, &error.to_string()),
        };
        let accepted = inbox.rows.iter().find(|row| row.name.key == job.as_str());
        let Some(accepted) = accepted else {
            return match stored_state(cell, pool, job).await {
                Ok(Some(state)) => {
                    events::job_cancelled(&cell.log, job, queue, Some(state));
                    StatusCode::OK.into_response()
                }
                Ok(None) => {
                    events::job_cancelled(&cell.log, job, queue, None);
                    StatusCode::GONE.into_response()
                }
                Err(reason) => cancel_failed(cell, queue, job, &reason),
            };
        };
        let transaction = Transaction {
            expect: vec![(names::inbox_row(pool, job), accepted.version)],
            set: vec![(names::cancel_row(pool, job), Value(b"{}".to_vec()))],
            remove: Vec::new(),
        };
        match cell.transact(&transaction, CALLER_STORE_TIMEOUT).await {
            Ok(TransactionAnswer::Done { .. }) => {
                events::job_cancelled(&cell.log, job, queue, Some(JobState::Cancelled));
                notify_leader_of_cancel(cell, queue, job);
                return StatusCode::OK.into_response();
            }
            Ok(TransactionAnswer::Conflict(_)) => {}
            // The outcome is unknown; writing the cancel request again does no harm.
            Err(error) if !error.had_no_effect() => {}
            Err(error) => return cancel_failed(cell, queue, job, &error.to_string()),
        }
    }
    cancel_failed(
        cell,
        queue,
        job,
        "the cancel request could not be written to the store",
    )
}

fn cancel_failed(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId, reason: &str) -> Response {
    events::job_unknown(&cell.log, job, queue, reason);
    refuse(StatusCode::SERVICE_UNAVAILABLE, MIN_RETRY_AFTER)
}

fn notify_leader_of_cancel(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId) {
    if let Some(leader) = cell.leader(&queue.pool) {
        leader.cancel_job(cell, job);
        return;
    }
    let Some(row) = cell.lead_row(&queue.pool) else {
        return;
    };
    let Some(peer) = cell.peer(&row.holder) else {
        return;
    };
    let name = JobName {
        pool: queue.pool.clone(),
        job: job.clone(),
    };
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        let notified = tokio::time::timeout(LEADER_ANSWER_TIMEOUT, peer.cancelled(name)).await;
        if !matches!(notified, Ok(Ok(_))) {
            cell.record_peer_failure(&row.holder);
        }
    });
}

fn pending(cell: &Arc<Cell>, queue: &Queue) -> Response {
    let summary = cell.summary(&queue.pool);
    let count = summary.and_then(|summary| summary.pending.get(&queue.policy.queue).copied());
    json_response(ingress::encode_pending(count.unwrap_or_default()))
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
