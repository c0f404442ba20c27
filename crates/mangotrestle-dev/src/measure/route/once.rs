//! Measurement of requests that must run at most once, with lost answers, resends and killed entry
//! hosts.
//!
//! Targets count the runs of each idempotency key. Callers resend a request through another entry
//! host each time, until they have an answer or reach [`MAX_SENDS`]. Meanwhile entry hosts are
//! killed and replaced, and the record store loses some answers after the write has taken effect.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use mangotrestle_caller::started::{
    BoxFuture, Ended, MemoryRecords, RecordKey, Started, StartedRecords, StoreUnavailable,
};
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::measure::report::{Figure, Target};
use crate::measure::route::loopback::{self, Caller, JOB, Server};

const REQUESTS: u32 = 10_000;
const TARGETS: usize = 6;
const ENTRY_HOSTS: usize = 4;
const CALLERS: u32 = 32;
/// Maximum number of times that a caller sends one request.
const MAX_SENDS: u32 = 5;
/// Number of requests after which an entry host is killed and replaced.
const REQUESTS_PER_KILL: u64 = 500;
const DEADLINE_MS: u64 = 150;
/// Delay before a resend.
const RESEND_DELAY: Duration = Duration::from_millis(3);

/// Number of runs of each idempotency key.
type Runs = Arc<Mutex<FastMap<String, u32>>>;

/// Probability that a target runs a request but sends nothing of the answer's body.
const LOSE_ANSWER_PERCENT: u32 = 6;
/// Probability that a target runs a request but sends only a part of the answer's body.
const CUT_ANSWER_PERCENT: u32 = 3;
/// Probability that a target refuses a request without running it.
const REFUSE_PERCENT: u32 = 5;
/// Probability that a target runs a request but answers only after the deadline.
const STALL_PERCENT: u32 = 1;
/// Probability that the record store is unavailable for a write.
const STORE_DOWN_PERCENT: u32 = 1;
/// Probability that the record store writes a record but loses its answer.
const STORE_LOSES_ANSWER_PERCENT: u32 = 2;

#[derive(Clone)]
struct TargetState {
    runs: Runs,
    rng: Arc<Mutex<SmallRng>>,
}

/// Returns a random number from 0 to 99.
fn draw_percent(rng: &Mutex<SmallRng>) -> u32 {
    rng.lock()
        .unwrap_or_else(PoisonError::into_inner)
        .random_range(0..100)
}

/// Returns a body that fails after the given bytes.
fn broken_body(sent: &'static str) -> Body {
    let frames = vec![
        Ok(Bytes::from_static(sent.as_bytes())),
        Err(std::io::Error::other("the target died")),
    ];
    Body::from_stream(tokio_stream::iter(frames))
}

async fn run_payment(State(state): State<TargetState>, request: Request) -> Response {
    let percent = draw_percent(&state.rng);
    if percent < REFUSE_PERCENT {
        let mut refusal = Response::new(Body::empty());
        *refusal.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        let code = http::HeaderValue::from_static("4005");
        refusal.headers_mut().insert("x-result-code", code);
        return refusal;
    }
    let key = request.headers().get("idempotency-key");
    let key = key
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let receipt = format!("receipt for {key}");
    {
        let mut runs = state.runs.lock().unwrap_or_else(PoisonError::into_inner);
        *runs.entry(key.to_owned()).or_default() += 1;
    }
    let percent = percent - REFUSE_PERCENT;
    if percent < LOSE_ANSWER_PERCENT {
        return Response::new(broken_body(""));
    }
    if percent < LOSE_ANSWER_PERCENT + CUT_ANSWER_PERCENT {
        return Response::new(broken_body("half of an ans"));
    }
    if percent < LOSE_ANSWER_PERCENT + CUT_ANSWER_PERCENT + STALL_PERCENT {
        tokio::time::sleep(Duration::from_millis(2 * DEADLINE_MS)).await;
    }
    Response::new(Body::from(receipt))
}

/// A record store that is sometimes unavailable or loses its answer after the write.
struct FaultyRecords {
    records: MemoryRecords,
    rng: Mutex<SmallRng>,
}

impl StartedRecords for FaultyRecords {
    fn record_started<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
    ) -> BoxFuture<'a, Result<Started, StoreUnavailable>> {
        Box::pin(async move {
            let unavailable = StoreUnavailable {
                retry_after: time::SpanMs(1_000),
            };
            let percent = draw_percent(&self.rng);
            if percent < STORE_DOWN_PERCENT {
                return Err(unavailable);
            }
            let started = self.records.record_started(key, request_id).await;
            if percent < STORE_DOWN_PERCENT + STORE_LOSES_ANSWER_PERCENT {
                return Err(unavailable);
            }
            started
        })
    }

    fn record_ended<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
        ended: Ended,
    ) -> BoxFuture<'a, Result<(), StoreUnavailable>> {
        self.records.record_ended(key, request_id, ended)
    }

    fn kept_for(&self) -> time::SpanMs {
        self.records.kept_for()
    }
}

/// Final results of the callers' requests, and counts from the targets.
#[derive(Clone, Copy, Debug, Default)]
struct Tally {
    answered: u64,
    wrong_answers: u64,
    not_run: u64,
    unknown: u64,
    /// Number of runs beyond the first of each key.
    second_runs: u64,
    /// Number of "not run" results of requests that had run.
    wrong_not_run: u64,
    sends: u64,
    kills: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SendResult {
    Answered,
    WrongAnswer,
    NotRun,
    Unknown,
}

/// Path on which callers reach targets.
trait Path: Send + Sync + 'static {
    /// Returns the address for a send; consecutive values of `turn` give different addresses.
    fn address(&self, turn: u32) -> SocketAddr;

    /// Called after the last send of each request.
    fn request_finished(&self) {}
}

/// A path through entry hosts that are killed and replaced.
struct Routed {
    hosts: RwLock<Vec<Server>>,
    targets: Vec<SocketAddr>,
    records: Arc<FaultyRecords>,
    requests: AtomicU64,
    kills: AtomicU64,
}

impl Routed {
    fn start_host(&self, number: u32) -> Server {
        let routes = loopback::routes(&self.targets, CALLERS);
        loopback::entry_host(number, routes, Arc::clone(&self.records) as _)
    }
}

impl Path for Routed {
    fn address(&self, turn: u32) -> SocketAddr {
        let hosts = self.hosts.read().unwrap_or_else(PoisonError::into_inner);
        hosts[turn as usize % hosts.len()].address
    }

    fn request_finished(&self) {
        let requests = self.requests.fetch_add(1, Ordering::Relaxed) + 1;
        if !requests.is_multiple_of(REQUESTS_PER_KILL) {
            return;
        }
        let kills = self.kills.fetch_add(1, Ordering::Relaxed);
        let position = usize::try_from(kills).unwrap_or(0) % ENTRY_HOSTS;
        let number = u32::try_from(kills).unwrap_or(0) + 100;
        let replacement = self.start_host(number);
        let mut hosts = self.hosts.write().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut hosts[position], replacement).kill();
    }
}

/// A direct path to the targets in turn, without records.
struct Naive {
    targets: Vec<SocketAddr>,
}

impl Path for Naive {
    fn address(&self, turn: u32) -> SocketAddr {
        self.targets[turn as usize % self.targets.len()]
    }
}

async fn send(caller: &Caller, address: SocketAddr, key: &str, resend: bool) -> SendResult {
    let uri = format!("http://{address}/v1/services/{JOB}/pay");
    let request = http::Request::post(uri)
        .header("idempotency-key", key)
        .header("x-resend", if resend { "true" } else { "false" })
        .header("x-deadline-ms", DEADLINE_MS)
        .body(Full::from("12 EUR"))
        .expect("the request is valid");
    // A caller waits longer than the deadline that it sends.
    let timeout = Duration::from_millis(3 * DEADLINE_MS);
    let Ok(Ok(answer)) = tokio::time::timeout(timeout, caller.request(request)).await else {
        return SendResult::Unknown;
    };
    let (parts, body) = answer.into_parts();
    let code = parts.headers.get("x-result-code");
    let code = code.and_then(|value| value.to_str().ok()).unwrap_or("0");
    let Ok(body) = body.collect().await else {
        return SendResult::Unknown;
    };
    match code.as_bytes()[0] {
        b'0' if body.to_bytes() == format!("receipt for {key}") => SendResult::Answered,
        b'0' => SendResult::WrongAnswer,
        b'2' | b'4' => SendResult::NotRun,
        _ => SendResult::Unknown,
    }
}

fn runs_of(runs: &Runs, key: &str) -> u32 {
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    runs.get(key).copied().unwrap_or(0)
}

async fn pay(caller: &Caller, path: &dyn Path, runs: &Runs, number: u32, tally: &Mutex<Tally>) {
    let key = format!("k-{number}");
    let mut result = SendResult::NotRun;
    let mut resend = false;
    for send_index in 0..MAX_SENDS {
        if send_index > 0 {
            tokio::time::sleep(RESEND_DELAY).await;
        }
        result = send(caller, path.address(number + send_index), &key, resend).await;
        let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.sends += 1;
        if result == SendResult::NotRun && runs_of(runs, &key) > 0 {
            tally.wrong_not_run += 1;
        }
        drop(tally);
        if matches!(result, SendResult::Answered | SendResult::WrongAnswer) {
            break;
        }
        resend |= result == SendResult::Unknown;
    }
    let mut tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
    match result {
        SendResult::Answered => tally.answered += 1,
        SendResult::WrongAnswer => tally.wrong_answers += 1,
        SendResult::NotRun => tally.not_run += 1,
        SendResult::Unknown => tally.unknown += 1,
    }
    drop(tally);
    path.request_finished();
}

async fn pay_all(path: Arc<dyn Path>, runs: Runs) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::default()));
    let callers = (0..CALLERS).map(|first| {
        let (path, runs, tally) = (Arc::clone(&path), Arc::clone(&runs), Arc::clone(&tally));
        tokio::spawn(async move {
            let caller = loopback::caller();
            let step = usize::try_from(CALLERS).expect("a small number");
            for number in (first..REQUESTS).step_by(step) {
                pay(&caller, path.as_ref(), &runs, number, &tally).await;
            }
        })
    });
    for caller_task in callers.collect::<Vec<_>>() {
        // If a caller panics, its requests are missing from the tally.
        let _ = caller_task.await;
    }
    // The last requests may not have reached a target yet.
    tokio::time::sleep(Duration::from_millis(3 * DEADLINE_MS)).await;
    let mut tally = *tally.lock().unwrap_or_else(PoisonError::into_inner);
    let runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
    let repeated_runs = runs
        .values()
        .map(|&count| u64::from(count.saturating_sub(1)));
    tally.second_runs = repeated_runs.sum();
    tally
}

fn start_targets(seed: u64) -> (Vec<Server>, Runs) {
    let runs = Runs::default();
    let start = |number| {
        let state = TargetState {
            runs: Arc::clone(&runs),
            rng: Arc::new(Mutex::new(SmallRng::seed_from_u64(seed + number))),
        };
        Server::app(Router::new().fallback(run_payment).with_state(state))
    };
    let targets = (0..TARGETS as u64).map(start).collect();
    (targets, runs)
}

async fn run_routed(seed: u64) -> Tally {
    let (targets, runs) = start_targets(seed);
    let records = FaultyRecords {
        records: MemoryRecords::new(time::SpanMs::from_secs(3_600)),
        rng: Mutex::new(SmallRng::seed_from_u64(seed)),
    };
    let path = Routed {
        hosts: RwLock::default(),
        targets: targets.iter().map(|target| target.address).collect(),
        records: Arc::new(records),
        requests: AtomicU64::new(0),
        kills: AtomicU64::new(0),
    };
    let first = (0..ENTRY_HOSTS).map(|number| path.start_host(u32::try_from(number).unwrap_or(0)));
    let first: Vec<Server> = first.collect();
    *path.hosts.write().unwrap_or_else(PoisonError::into_inner) = first;
    let path = Arc::new(path);
    let mut tally = pay_all(Arc::clone(&path) as _, runs).await;
    tally.kills = path.kills.load(Ordering::Relaxed);
    tally
}

async fn run_naive(seed: u64) -> Tally {
    let (targets, runs) = start_targets(seed);
    let path = Naive {
        targets: targets.iter().map(|target| target.address).collect(),
    };
    pay_all(Arc::new(path), runs).await
}

/// Measures second runs and wrong results, and compares them with callers that send directly to the
/// targets.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub async fn measure_at_most_once(seed: u64, figures: &mut Vec<Figure>) {
    let routed = run_routed(seed).await;
    let naive = run_naive(seed).await;
    let finished = routed.answered + routed.wrong_answers + routed.not_run + routed.unknown;
    let mut push_count = |name: &str, value: u64, naive: u64| {
        let figure = Figure::new(name, value as f64, "1").naive(naive as f64);
        figures.push(figure);
    };
    push_count("non-repeatable requests", finished, u64::from(REQUESTS));
    push_count(
        "sends of non-repeatable requests",
        routed.sends,
        naive.sends,
    );
    push_count("entry hosts killed meanwhile", routed.kills, naive.kills);
    push_count("callers answered", routed.answered, naive.answered);
    push_count(
        "callers told unknown at the end",
        routed.unknown,
        naive.unknown,
    );
    push_count(
        "callers told not run at the end",
        routed.not_run,
        naive.not_run,
    );
    let zero_targets = [
        ("second runs", routed.second_runs, naive.second_runs),
        (
            "told not run although it ran",
            routed.wrong_not_run,
            naive.wrong_not_run,
        ),
        (
            "answers of other requests or parts",
            routed.wrong_answers,
            naive.wrong_answers,
        ),
    ];
    for (name, value, naive) in zero_targets {
        figures.push(
            Figure::new(name, value as f64, "1")
                .target(Target::AtMost(0.0))
                .naive(naive as f64),
        );
    }
}
