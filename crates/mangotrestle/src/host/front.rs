//! Answers callers: submits, states, cancels and counts.

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
use super::names;

/// Greatest body where the configuration sets none, in bytes.
const DEFAULT_BODY_BYTES: usize = 262_144;
/// Time that a caller waits where it does not say.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(3);
/// Pause before a pool's leader is looked for again while the store is slow.
const LEADER_PAUSE: Duration = Duration::from_millis(150);
/// Part of that time that the pool's leader is given.
const LEADER_PART: f64 = 0.6;
/// Part of the caller's time in which the store may be tried.
const TRYING_PART: f64 = 0.8;
/// Time for a leader's answer about a job, after which the store is asked.
const LEADER_ANSWER: Duration = Duration::from_millis(400);
/// Time for a read of the store on behalf of a caller.
const READ: Duration = Duration::from_secs(1);
/// When a caller should return whose job could not be stored, at the least.
const STORE_RETURN: SpanMs = SpanMs(1_000);
/// When a caller should return at the latest while the store is away.
const LONGEST_STORE_RETURN: SpanMs = SpanMs(4_000);
/// Tries to write a cancel whose row changes meanwhile.
const CANCEL_TRIES: u32 = 4;

/// Answers the balancer.
pub(super) async fn serve_readiness(cell: Arc<Cell>, listener: TcpListener) {
    let routes = axum::Router::new().fallback(move |request: Request| {
        let cell = Arc::clone(&cell);
        async move {
            let asked = request.uri().path() == ingress::READINESS_PATH;
            match (asked, cell.is_ready()) {
                (true, true) => StatusCode::OK,
                (true, false) => StatusCode::SERVICE_UNAVAILABLE,
                (false, _) => StatusCode::NOT_FOUND,
            }
        }
    });
    // Ends with the process only.
    let _ = axum::serve(listener, routes).await;
}

/// Answers callers until told to stop, and then what is in flight.
pub(super) async fn serve(cell: Arc<Cell>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
    let log = cell.log.clone();
    let routes = axum::Router::new().fallback(answer).with_state(cell);
    let listener = listener.tap_io(|stream| {
        // Without it answers are a little later.
        let _ = stream.set_nodelay(true);
    });
    let server = axum::serve(listener, routes).with_graceful_shutdown(async move {
        // A sender that is gone means the same.
        let _ = stop.wait_for(|stop| *stop).await;
    });
    if let Err(error) = server.await {
        slog::error!(log, "front.failed"; "error" => %error);
    }
}

async fn answer(State(cell): State<Arc<Cell>>, request: Request) -> Response {
    let Some(catalog) = cell.catalog.load_full() else {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETURN);
    };
    let host = request
        .headers()
        .get(header::HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let path = request.uri().path().to_owned();
    let Some(queue) = catalog.route(&host, &path) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let rest = &path[queue.path_prefix.len()..];
    let method = request.method().clone();
    if method == Method::GET && rest.is_empty() {
        return pending(&cell, queue);
    }
    let Some(job) = ingress::job_id(rest) else {
        return StatusCode::NOT_FOUND.into_response();
    };
    let began = Instant::now();
    match method {
        Method::POST => submit(&cell, &catalog, queue, &job, request, began).await,
        Method::GET => state(&cell, queue, &job).await,
        Method::DELETE => cancel(&cell, queue, &job).await,
        _ => StatusCode::METHOD_NOT_ALLOWED.into_response(),
    }
}

/// Time that the caller waits.
fn deadline(request: &Request) -> Duration {
    request
        .headers()
        .get(ingress::DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_DEADLINE, Duration::from_millis)
}

async fn submit(
    cell: &Arc<Cell>,
    catalog: &Catalog,
    queue: &Queue,
    job: &id::JobId,
    request: Request,
    began: Instant,
) -> Response {
    let within = deadline(&request).mul_f64(TRYING_PART);
    let most_bytes = match catalog.max_body_bytes {
        0 => DEFAULT_BODY_BYTES,
        most => most,
    };
    let body = match axum::body::to_bytes(request.into_body(), most_bytes).await {
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
            // A job that was accepted before stays accepted, whatever comes now.
            return match known_state(cell, &queue.pool, job).await {
                Ok(Some(_)) => StatusCode::OK.into_response(),
                Ok(None) => {
                    events::job_refused(&cell.log, job, queue, &admission, catalog.version);
                    refuse(StatusCode::TOO_MANY_REQUESTS, retry_after)
                }
                Err(why) => {
                    events::job_unknown(&cell.log, job, queue, &why);
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
    let (acceptance, by_leader) = accept(cell, queue, job, &record, within).await;
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
                tell_leader(cell, queue, job, record, version);
            }
            StatusCode::OK.into_response()
        }
        Acceptance::Known => StatusCode::OK.into_response(),
        Acceptance::NotAccepted(_) | Acceptance::NotLeading => {
            refuse(StatusCode::SERVICE_UNAVAILABLE, store_return(cell))
        }
        Acceptance::Unknown(_) => StatusCode::GATEWAY_TIMEOUT.into_response(),
    }
}

/// Makes a job durable: by the pool's leader, whose commits carry many changes, or directly where
/// the leader does not answer. Says whether the leader did it.
async fn accept(
    cell: &Arc<Cell>,
    queue: &Queue,
    job: &id::JobId,
    record: &Arc<JobRecord>,
    within: Duration,
) -> (Acceptance, bool) {
    let began = Instant::now();
    let mut uncertain = false;
    while began.elapsed() < within {
        let by_leader = accept_by_leader(cell, queue, job, record);
        match tokio::time::timeout(within.saturating_sub(began.elapsed()), by_leader).await {
            Ok(Some(Acceptance::Unknown(_))) => uncertain = true,
            Ok(Some(Acceptance::NotLeading) | None) => {}
            Ok(Some(acceptance)) => return (acceptance, true),
            Err(_) => {
                uncertain = true;
                break;
            }
        }
        // A slow store must not be given many small transactions while a leader is on its way.
        let leave_it = cell.store_is_slow() && !cell.store_is_away();
        if !leave_it || began.elapsed() > within.mul_f64(LEADER_PART) {
            break;
        }
        tokio::time::sleep(LEADER_PAUSE).await;
    }
    let rest = within.saturating_sub(began.elapsed());
    let acceptor = cell.acceptor(&queue.pool);
    let accepted = acceptor.accept(job, record, rest, uncertain);
    let acceptance = match tokio::time::timeout(rest, accepted).await {
        Ok(acceptance) => acceptance,
        Err(_) => Acceptance::Unknown("the store did not settle it in time".to_owned()),
    };
    (acceptance, false)
}

/// Has the pool's leader make a job durable; `None` if nothing was sent.
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
    let peer = cell.answering_peer(&row.holder)?;
    let submission = Submission {
        pool: queue.pool.clone(),
        job: job.clone(),
        record: record.as_ref().clone(),
    };
    let mut answer = std::pin::pin!(peer.accept(submission));
    loop {
        let answered = tokio::time::timeout(LEADER_ANSWER, &mut answer).await;
        match answered {
            Ok(Ok(acceptance)) => return Some(acceptance),
            Ok(Err(error)) => {
                cell.note_peer_failure(&row.holder);
                return Some(Acceptance::Unknown(error.to_string()));
            }
            // A leader that commits is waited for, however slow the store is.
            Err(_) if cell.leader_commits(&queue.pool) => {}
            Err(_) => {
                cell.note_peer_failure(&row.holder);
                return Some(Acceptance::Unknown("the leader does not answer".to_owned()));
            }
        }
    }
}

/// Tells the pool's leader of an accepted job, so that it need not find it in the store.
fn tell_leader(
    cell: &Arc<Cell>,
    queue: &Queue,
    job: &id::JobId,
    record: Arc<JobRecord>,
    version: u64,
) {
    if let Some(leader) = cell.leader(&queue.pool) {
        leader.submitted(cell, job, record, version);
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
    };
    let cell = Arc::clone(cell);
    tokio::spawn(async move {
        let told = tokio::time::timeout(LEADER_ANSWER, peer.submitted(message)).await;
        if !matches!(told, Ok(Ok(_))) {
            cell.note_peer_failure(&row.holder);
        }
    });
}

async fn state(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId) -> Response {
    match known_state(cell, &queue.pool, job).await {
        Ok(Some(state)) => {
            events::job_shown(&cell.log, job, Some(state));
            json(ingress::encode_state(state))
        }
        Ok(None) => {
            events::job_shown(&cell.log, job, None);
            StatusCode::GONE.into_response()
        }
        Err(why) => {
            events::job_unknown(&cell.log, job, queue, &why);
            refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETURN)
        }
    }
}

/// State of a job by its leader's word, or by the store's where the leader does not say; `None` if
/// the store has no such job.
async fn known_state(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<Option<JobState>, String> {
    if let Some(leader) = cell.leader(pool)
        && let Some(state) = leader.state(job)
    {
        return Ok(Some(state));
    }
    if let Some(row) = cell.lead_row(pool)
        && let Some(peer) = cell.peer(&row.holder)
    {
        let name = JobName {
            pool: pool.to_owned(),
            job: job.clone(),
        };
        match tokio::time::timeout(LEADER_ANSWER, peer.state(name)).await {
            Ok(Ok(JobStateAnswer::State(state))) => return Ok(Some(state)),
            Ok(Ok(JobStateAnswer::NotKnown | JobStateAnswer::NotLeading)) => {}
            _ => cell.note_peer_failure(&row.holder),
        }
    }
    stored_state(cell, pool, job).await
}

/// State of a job by the store's word. A job moves from the inbox to the ends, so the inbox is read
/// first.
async fn stored_state(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<Option<JobState>, String> {
    let end = names::after_job(job);
    let inbox = cell
        .range(names::INBOX, pool, job.as_str(), &end, READ)
        .await
        .map_err(|error| error.to_string())?;
    let ended = cell
        .range(names::ENDED, pool, job.as_str(), &end, READ)
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

/// Whether a task of an accepted job has started, by the store's word.
async fn stored_progress(
    cell: &Arc<Cell>,
    pool: &str,
    job: &id::JobId,
) -> Result<JobState, String> {
    let assigned = cell
        .range(
            names::ASSIGN,
            pool,
            job.as_str(),
            &names::after_job(job),
            READ,
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
    let end = names::after_job(job);
    for _ in 0..CANCEL_TRIES {
        let inbox = match cell
            .range(names::INBOX, pool, job.as_str(), &end, READ)
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
                Err(why) => cancel_failed(cell, queue, job, &why),
            };
        };
        let transaction = Transaction {
            expect: vec![(names::inbox(pool, job), accepted.version)],
            set: vec![(names::cancel(pool, job), Value(b"{}".to_vec()))],
            remove: Vec::new(),
        };
        match cell.transact(&transaction, READ).await {
            Ok(TransactionAnswer::Done { .. }) => {
                events::job_cancelled(&cell.log, job, queue, Some(JobState::Cancelled));
                tell_leader_of_cancel(cell, queue, job);
                return StatusCode::OK.into_response();
            }
            Ok(TransactionAnswer::Conflict(_)) => {}
            // Writing a cancel again does no harm.
            Err(error) if !error.had_no_effect() => {}
            Err(error) => return cancel_failed(cell, queue, job, &error.to_string()),
        }
    }
    cancel_failed(cell, queue, job, "the store did not settle it")
}

fn cancel_failed(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId, why: &str) -> Response {
    events::job_unknown(&cell.log, job, queue, why);
    refuse(StatusCode::SERVICE_UNAVAILABLE, STORE_RETURN)
}

fn tell_leader_of_cancel(cell: &Arc<Cell>, queue: &Queue, job: &id::JobId) {
    if let Some(leader) = cell.leader(&queue.pool) {
        leader.cancelled(cell, job);
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
        let told = tokio::time::timeout(LEADER_ANSWER, peer.cancelled(name)).await;
        if !matches!(told, Ok(Ok(_))) {
            cell.note_peer_failure(&row.holder);
        }
    });
}

fn pending(cell: &Arc<Cell>, queue: &Queue) -> Response {
    let summary = cell.summary(&queue.pool);
    let count = summary.and_then(|summary| summary.pending.get(&queue.policy.queue).copied());
    json(ingress::encode_pending(count.unwrap_or_default()))
}

fn json(body: Vec<u8>) -> Response {
    let headers = [(header::CONTENT_TYPE, "application/json")];
    (StatusCode::OK, headers, Body::from(body)).into_response()
}

/// When a caller should return whose job could not be stored: an outage that has lasted a while
/// is expected to last as long again, and callers return spread over that time.
fn store_return(cell: &Cell) -> SpanMs {
    let away = cell.store_away_for();
    let longest = LONGEST_STORE_RETURN.0.min(STORE_RETURN.0 + away.0);
    SpanMs(rand::rng().random_range(STORE_RETURN.0..=longest.max(STORE_RETURN.0 + 1)))
}

/// A refusal that says when to come back, in whole seconds.
fn refuse(status: StatusCode, retry_after: SpanMs) -> Response {
    let seconds = retry_after.0.div_ceil(1_000);
    let mut response = status.into_response();
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
    response
}
