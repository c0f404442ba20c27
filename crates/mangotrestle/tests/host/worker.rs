//! A stand-in for a worker: it carries out every start at once, and its task ends at once. A start that
//! is not higher than a run that was stopped or has ended there is rejected. It can crash and start again
//! under its identifier: it then knows nothing of before, and its numbers start anew.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Json;
use axum::extract::State;
use axum::response::{IntoResponse, Response};
use axum::routing::post;
use http::StatusCode;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::Notify;

/// Maximum number of ended runs in a report.
const MAX_LISTED_ENDS: usize = 500;
/// Time from a crash until the worker has started again.
pub const RESTART_TIME: Duration = Duration::from_millis(600);

/// A start that the worker has carried out.
#[derive(Clone, Debug)]
pub struct Start {
    /// When it arrived.
    pub at: Instant,
    /// The task.
    pub task: String,
}

/// What becomes of the two calls of a start that is sent twice.
#[derive(Clone, Copy, Debug)]
pub struct SplitStart {
    /// Time after which the first call is refused; nothing is done.
    pub refused_after: Duration,
    /// Time after which the second call is carried out, even if its caller has gone.
    pub carried_out_after: Duration,
}

#[derive(Default)]
struct Runs {
    /// Start of its present life in milliseconds since the Unix epoch.
    born_ms: u64,
    /// Whether it has crashed and not started again.
    down: bool,
    /// Tasks under which it crashed, once for each crash.
    crashed_tasks: Vec<String>,
    /// Highest fencing token that it has seen in this life.
    token: u64,
    /// Ends that are not acknowledged.
    finished: Vec<(u64, Value)>,
    last_end: u64,
    starts: Vec<Start>,
    /// Highest run of each task that was stopped or has ended in this life.
    over: BTreeMap<String, u64>,
    /// What becomes of the calls of the next start.
    next_split: Option<SplitStart>,
    /// Name of the task whose start was refused, and after what time its second call is carried out.
    split: Option<(String, Duration)>,
    /// Number of second calls that have arrived.
    split_starts: u32,
    /// Tasks whose end was acknowledged, and when.
    acknowledged: Vec<(String, Instant)>,
    /// Number of starts to come that get no answer and are not carried out.
    starts_to_lose: u32,
    lost_start_at: Option<Instant>,
    /// Number of polls to come that get no answer.
    polls_to_lose: u32,
    lost_polls: u32,
}

#[derive(Default)]
struct Shared {
    runs: Mutex<Runs>,
    ended: Notify,
}

/// The stand-in.
pub struct Worker {
    address: SocketAddr,
    shared: Arc<Shared>,
}

impl Worker {
    /// Starts a worker.
    pub async fn start() -> Self {
        let shared = Arc::new(Shared::default());
        shared.runs.lock().expect("the runs").born_ms = unix_ms();
        let routes = axum::Router::new()
            .route("/run-start", post(start_run))
            .route("/run-stop", post(stop_run))
            .route("/hold", post(hold))
            .with_state(Arc::clone(&shared));
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move { axum::serve(listener, routes).await });
        Self { address, shared }
    }

    /// Lets it crash, and start again under its identifier after [`RESTART_TIME`].
    pub fn restart(&self) {
        {
            let mut runs = self.shared.runs.lock().expect("the runs");
            runs.down = true;
            runs.token = 0;
            runs.last_end = 0;
            runs.over.clear();
            let unlisted = std::mem::take(&mut runs.finished);
            let tasks = unlisted.iter().map(|(_, end)| task_name(&end[1]));
            runs.crashed_tasks.extend(tasks);
        }
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            tokio::time::sleep(RESTART_TIME).await;
            let mut runs = shared.runs.lock().expect("the runs");
            runs.born_ms = unix_ms();
            runs.down = false;
        });
    }

    /// Returns the number of its crashes under a task.
    pub fn crashes_under(&self, task: &str) -> usize {
        let runs = self.shared.runs.lock().expect("the runs");
        let crashes = runs.crashed_tasks.iter().filter(|name| *name == task);
        crashes.count()
    }

    /// Returns the worker's entry in the platform's registry.
    pub fn entry(&self, state: &str) -> Value {
        let born_ms = self.shared.runs.lock().expect("the runs").born_ms;
        json!({"service": "pool", "address": self.address.to_string(), "zone": "a",
            "version": "1", "slots": 8, "state": state, "cold_left_ms": 0, "seq": 1,
            "capacity": {"cpu": 64_000, "mem_mb": 64_000, "gpu": 0}, "labels": [], "clock_ms": 1,
            "born": born_ms})
    }

    /// Returns the number of tasks started since a moment.
    pub fn starts_since(&self, moment: Instant) -> usize {
        let runs = self.shared.runs.lock().expect("the runs");
        let since = runs.starts.iter().filter(|start| start.at >= moment);
        since.count()
    }

    /// Leaves the next start unanswered.
    pub fn lose_next_start(&self) {
        self.shared.runs.lock().expect("the runs").starts_to_lose = 1;
    }

    /// Returns when a start was left unanswered.
    pub fn lost_start_at(&self) -> Option<Instant> {
        self.shared.runs.lock().expect("the runs").lost_start_at
    }

    /// Refuses the first call of the next start, and carries out the second one.
    pub fn split_next_start(&self, split: SplitStart) {
        self.shared.runs.lock().expect("the runs").next_split = Some(split);
    }

    /// Whether a start was refused in its first call and sent in a second one.
    pub fn has_split_start(&self) -> bool {
        self.shared.runs.lock().expect("the runs").split_starts > 0
    }

    /// Leaves the next poll unanswered.
    pub fn lose_next_poll(&self) {
        self.shared.runs.lock().expect("the runs").polls_to_lose = 1;
    }

    /// Whether a poll was left unanswered.
    pub fn has_lost_poll(&self) -> bool {
        self.shared.runs.lock().expect("the runs").lost_polls > 0
    }

    /// Returns all starts.
    pub fn starts(&self) -> Vec<Start> {
        self.shared.runs.lock().expect("the runs").starts.clone()
    }

    /// Returns the tasks whose end was acknowledged, and when.
    pub fn acknowledged(&self) -> Vec<(String, Instant)> {
        let runs = self.shared.runs.lock().expect("the runs");
        runs.acknowledged.clone()
    }
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let since_epoch = since_epoch.expect("a time after the epoch");
    u64::try_from(since_epoch.as_millis()).expect("a time of this age")
}

fn clock() -> Json<Value> {
    Json(json!({"clock_ms": 1_000}))
}

fn task_name(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}

/// Never returns if the worker has crashed, or lives another life than that which began at `born_ms`.
async fn hang_if_crashed(worker: &Shared, born_ms: Option<u64>) {
    let is_gone = {
        let runs = worker.runs.lock().expect("the runs");
        runs.down || born_ms.is_some_and(|born_ms| born_ms != runs.born_ms)
    };
    if is_gone {
        std::future::pending::<()>().await;
    }
}

/// Refuses an order with a lower token than the highest of this life.
fn fence(runs: &mut Runs, order: &Value) -> Option<Response> {
    let token = order["fencing_token"].as_u64().unwrap_or_default();
    if token < runs.token {
        let body = json!({"clock_ms": 1_000, "reason": "fence"});
        return Some((StatusCode::CONFLICT, Json(body)).into_response());
    }
    runs.token = token;
    None
}

async fn stop_run(State(worker): State<Arc<Shared>>, Json(order): Json<Value>) -> Response {
    hang_if_crashed(&worker, None).await;
    let mut runs = worker.runs.lock().expect("the runs");
    if let Some(refusal) = fence(&mut runs, &order) {
        return refusal;
    }
    end_run(&mut runs, &order);
    clock().into_response()
}

/// Records that a run was stopped or has ended.
fn end_run(runs: &mut Runs, order: &Value) {
    let run = order["run"].as_u64().unwrap_or_default();
    let over = runs.over.entry(task_name(&order["task"])).or_default();
    *over = run.max(*over);
}

async fn start_run(State(worker): State<Arc<Shared>>, Json(order): Json<Value>) -> Response {
    hang_if_crashed(&worker, None).await;
    let is_lost = {
        let mut runs = worker.runs.lock().expect("the runs");
        let is_lost = runs.starts_to_lose > 0;
        runs.starts_to_lose -= u32::from(is_lost);
        runs.lost_start_at = is_lost.then(Instant::now).or(runs.lost_start_at);
        is_lost
    };
    if is_lost {
        std::future::pending::<()>().await;
    }
    let (refused_after, carried_out_after) = split_calls(&worker, &task_name(&order["task"]));
    if let Some(delay) = refused_after {
        tokio::time::sleep(delay).await;
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    }
    let carried_out = async move {
        tokio::time::sleep(carried_out_after).await;
        carry_out_start(&worker, &order)
    };
    // Goes on if the caller closes the connection.
    let carried_out = tokio::spawn(carried_out).await;
    carried_out.expect("the answer to the start")
}

/// Returns after what time a call of a task's start is refused, or after what time it is carried out.
fn split_calls(worker: &Shared, task: &str) -> (Option<Duration>, Duration) {
    let mut runs = worker.runs.lock().expect("the runs");
    if let Some(split) = runs.next_split.take() {
        runs.split = Some((task.to_owned(), split.carried_out_after));
        return (Some(split.refused_after), Duration::ZERO);
    }
    let second = runs.split.take_if(|(name, _)| name == task);
    runs.split_starts += u32::from(second.is_some());
    (None, second.map_or(Duration::ZERO, |(_, delay)| delay))
}

fn carry_out_start(worker: &Shared, order: &Value) -> Response {
    {
        let mut runs = worker.runs.lock().expect("the runs");
        if let Some(refusal) = fence(&mut runs, order) {
            return refusal;
        }
        let run = order["run"].as_u64().unwrap_or_default();
        let over = runs.over.get(&task_name(&order["task"]));
        if over.is_some_and(|&over| run <= over) {
            let body = json!({"clock_ms": 1_000, "reason": "old"});
            return (StatusCode::CONFLICT, Json(body)).into_response();
        }
        end_run(&mut runs, order);
        runs.starts.push(Start {
            at: Instant::now(),
            task: task_name(&order["task"]),
        });
        runs.last_end += 1;
        let number = runs.last_end;
        let end = json!([number, order["task"], order["run"], "done", ""]);
        runs.finished.push((number, end));
    }
    worker.ended.notify_waiters();
    clock().into_response()
}

async fn hold(State(worker): State<Arc<Shared>>, Json(order): Json<Value>) -> Response {
    hang_if_crashed(&worker, None).await;
    let is_lost = {
        let mut runs = worker.runs.lock().expect("the runs");
        let is_lost = runs.polls_to_lose > 0;
        runs.polls_to_lose -= u32::from(is_lost);
        runs.lost_polls += u32::from(is_lost);
        is_lost
    };
    if is_lost {
        std::future::pending::<()>().await;
    }
    let last_seen = order["last_seen"].as_u64().unwrap_or_default();
    let wait = Duration::from_millis(order["wait_ms"].as_u64().unwrap_or_default());
    let ended = worker.ended.notified();
    let (nothing_to_report, born_ms) = {
        let mut runs = worker.runs.lock().expect("the runs");
        if let Some(refusal) = fence(&mut runs, &order) {
            return refusal;
        }
        let is_acknowledged = |end: &mut (u64, Value)| end.0 <= last_seen;
        let acknowledged: Vec<_> = runs.finished.extract_if(.., is_acknowledged).collect();
        let now = Instant::now();
        let tasks = acknowledged.iter().map(|(_, end)| task_name(&end[1]));
        runs.acknowledged.extend(tasks.map(|task| (task, now)));
        (runs.finished.is_empty(), runs.born_ms)
    };
    if nothing_to_report {
        // Ends with an end of a run or at the end of the wait.
        let _ = tokio::time::timeout(wait, ended).await;
    }
    hang_if_crashed(&worker, Some(born_ms)).await;
    let runs = worker.runs.lock().expect("the runs");
    let listed = runs.finished.iter().take(MAX_LISTED_ENDS);
    let finished: Vec<&Value> = listed.map(|(_, end)| end).collect();
    let report = json!({"clock_ms": 1_000, "born": runs.born_ms, "running": [],
        "finished": finished});
    Json(report).into_response()
}
