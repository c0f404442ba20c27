//! A stand-in for a worker that takes its orders directly, as the platform's pages say.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::json::{self, Value, table};
use crate::net::{self, Answer, Request};
use crate::record::Record;

/// Maximum lease.
const HOLD_MAX_MS: u64 = 10_000;
/// Time that a stop takes.
const STOP_MS: u64 = 50;
/// Time for which a call to a worker that has crashed stays open.
const SILENCE: Duration = Duration::from_secs(20);
/// Time after which a task that lasts fails, and for which one runs that does not.
const FAILS_AFTER: Duration = Duration::from_millis(50);
const LASTS: Duration = Duration::from_secs(3_600);
/// Maximum number of lines in the record of a worker with tasks that last.
const MAX_LINES: u64 = 1_000;
/// Maximum number of ends in one answer.
const MAX_LISTED_ENDS: usize = 500;

/// A start that was carried out, with its end.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    #[allow(dead_code, reason = "shown in the record")]
    pub worker: String,
    pub began_ms: u64,
    /// When it ended and how.
    pub end: Option<(u64, &'static str)>,
    /// When the leader took note of its end.
    pub noted_ms: Option<u64>,
}

/// All runs of all workers, in the order of their starts.
pub type Runs = Arc<Mutex<Vec<Run>>>;

struct Active {
    ends_at: Instant,
    /// How it ends then.
    how: &'static str,
    /// When a stop takes effect.
    stops_at: Option<Instant>,
    index: usize,
}

struct Ended {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    index: usize,
}

#[derive(Default)]
struct State {
    token: u64,
    deadline_ms: u64,
    active: BTreeMap<(String, u64), Active>,
    ended: Vec<Ended>,
    last_number: u64,
    /// Highest run of each task that was stopped or has ended here.
    settled: BTreeMap<String, u64>,
}

/// What a worker is.
#[derive(Clone, Debug)]
pub struct Shape {
    pub id: String,
    /// Its rack, which is the last of its labels.
    pub rack: &'static str,
    /// Its processor time, in thousandths of a core.
    pub cpu: u64,
    pub mem_mb: u64,
    /// Time that each task takes.
    pub work: Duration,
    /// Beginning of the names of tasks that last.
    pub lasting: Option<&'static str>,
}

struct Shared {
    shape: Shape,
    id: String,
    /// Whether it has crashed and is silent.
    is_dark: AtomicBool,
    /// Whether tasks that last fail soon after their start.
    fails: AtomicBool,
    /// Number of its lines in the record.
    lines: AtomicU64,
    began: Instant,
    state: Mutex<State>,
    changed: Condvar,
    runs: Runs,
    record: Record,
    work: Duration,
}

/// The stand-in.
#[derive(Clone)]
pub struct Worker {
    shared: Arc<Shared>,
    pub address: SocketAddr,
}

impl Worker {
    pub fn start(shape: Shape, runs: &Runs, record: &Record) -> Result<Self, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
        let address = listener.local_addr().map_err(|error| error.to_string())?;
        let shared = Arc::new(Shared {
            id: shape.id.clone(),
            work: shape.work,
            shape,
            is_dark: AtomicBool::new(false),
            fails: AtomicBool::new(false),
            lines: AtomicU64::new(0),
            began: Instant::now(),
            state: Mutex::default(),
            changed: Condvar::new(),
            runs: Arc::clone(runs),
            record: record.clone(),
        });
        let served = Arc::clone(&shared);
        net::serve(listener, move |request| served.answer(request));
        let ticking = Arc::clone(&shared);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(5));
                if ticking.is_dark.load(Ordering::Relaxed) {
                    return;
                }
                ticking.tick();
            }
        });
        Ok(Self { shared, address })
    }

    pub fn id(&self) -> &str {
        &self.shared.id
    }

    pub fn shape(&self) -> &Shape {
        &self.shared.shape
    }

    /// Lets it crash: its runs are gone, and it answers nothing.
    pub fn crash(&self) {
        self.shared.is_dark.store(true, Ordering::Relaxed);
        let state = self.shared.state.lock().unwrap();
        let mut runs = self.shared.runs.lock().unwrap();
        for active in state.active.values() {
            runs[active.index].end = Some((self.shared.record.now_ms(), "gone"));
        }
        self.shared.record.line(
            self.id(),
            &format!("crashes with {} runs", state.active.len()),
        );
    }

    /// Sets whether tasks that last fail soon after their start.
    pub fn set_failing(&self, fails: bool) {
        self.shared.fails.store(fails, Ordering::Relaxed);
    }

    pub fn has_crashed(&self) -> bool {
        self.shared.is_dark.load(Ordering::Relaxed)
    }

    /// Returns the reading of its clock in milliseconds.
    pub fn clock_ms(&self) -> u64 {
        self.shared.clock_ms()
    }

    /// Returns the numbers of active runs and of ends that are not acknowledged.
    pub fn counts(&self) -> (usize, usize) {
        let state = self.shared.state.lock().unwrap();
        (state.active.len(), state.ended.len())
    }
}

impl Shared {
    /// Adds a line to the record; of a worker with tasks that last and fail, only the first ones.
    fn log(&self, what: &str) {
        let lines = self.lines.fetch_add(1, Ordering::Relaxed);
        if self.shape.lasting.is_none() || lines < MAX_LINES {
            self.record.line(&self.id, what);
        } else if lines == MAX_LINES {
            self.record
                .line(&self.id, "goes on like this; the rest is left out");
        }
    }

    fn clock_ms(&self) -> u64 {
        self.began.elapsed().as_millis() as u64 + 1_000
    }

    fn answer(&self, request: &Request) -> Answer {
        if self.is_dark.load(Ordering::Relaxed) {
            self.log(&format!("is silent to {} {}", request.path, request.body));
            std::thread::sleep(SILENCE);
            return Answer::Close;
        }
        if request.method == "GET" {
            return Answer::Send(200, String::new());
        }
        if request.header("expect-instance") != self.id {
            return Answer::Send(421, String::new());
        }
        let Some(order) = json::decode(&request.body) else {
            return Answer::Send(400, String::new());
        };
        let mut state = self.state.lock().unwrap();
        let token = order.get("fencing_token").number();
        if token < state.token {
            return self.refuse("fence");
        }
        state.token = token;
        match request.path.as_str() {
            "/run-start" => self.start_run(&mut state, &order),
            "/run-stop" => self.stop_run(&mut state, &order),
            "/hold" => {
                drop(state);
                self.hold(&order)
            }
            "/pace" => self.done(),
            _ => Answer::Send(404, String::new()),
        }
    }

    fn done(&self) -> Answer {
        let body = table([("clock_ms", self.clock_ms().into())]);
        Answer::Send(200, body.encode())
    }

    fn refuse(&self, reason: &str) -> Answer {
        let body = table([
            ("clock_ms", self.clock_ms().into()),
            ("reason", reason.into()),
        ]);
        Answer::Send(409, body.encode())
    }

    fn extend(&self, state: &mut State, order: &Value) {
        let latest = self.clock_ms() + HOLD_MAX_MS;
        let deadline_ms = order.get("deadline_ms").number().min(latest);
        state.deadline_ms = state.deadline_ms.max(deadline_ms);
    }

    fn start_run(&self, state: &mut State, order: &Value) -> Answer {
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number();
        if order.get("deadline_ms").number() <= self.clock_ms() {
            return self.refuse("late");
        }
        self.extend(state, order);
        if state.active.contains_key(&(task.clone(), run)) {
            return self.done();
        }
        if state
            .settled
            .get(&task)
            .is_some_and(|&settled| run <= settled)
        {
            return self.refuse("old");
        }
        let began_ms = self.record.now_ms();
        self.log(&format!("starts {task} run {run}"));
        let mut runs = self.runs.lock().unwrap();
        runs.push(Run {
            task: task.clone(),
            run,
            worker: self.id.clone(),
            began_ms,
            end: None,
            noted_ms: None,
        });
        let lasts = self
            .shape
            .lasting
            .is_some_and(|name| task.starts_with(name));
        let fails = self.fails.load(Ordering::Relaxed);
        let (work, how) = match (lasts, fails) {
            (false, _) => (self.work, "done"),
            (true, true) => (FAILS_AFTER, "failed"),
            (true, false) => (LASTS, "done"),
        };
        let active = Active {
            ends_at: Instant::now() + work,
            how,
            stops_at: None,
            index: runs.len() - 1,
        };
        state.active.insert((task, run), active);
        self.done()
    }

    fn stop_run(&self, state: &mut State, order: &Value) -> Answer {
        let task = order.get("task").text().to_owned();
        let run = order.get("run").number();
        self.log(&format!("is told to stop {task} run {run}"));
        if let Some(active) = state.active.get_mut(&(task.clone(), run)) {
            active.stops_at = Some(Instant::now() + Duration::from_millis(STOP_MS));
        }
        let settled = state.settled.entry(task).or_default();
        *settled = (*settled).max(run);
        self.done()
    }

    /// Ends the runs whose time has come.
    fn tick(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let lapsed = self.clock_ms() >= state.deadline_ms;
        let ending: Vec<((String, u64), &'static str)> = state
            .active
            .iter()
            .filter_map(|(key, active)| match () {
                () if active.ends_at <= now => Some((key.clone(), active.how)),
                () if active.stops_at.is_some_and(|at| at <= now) => Some((key.clone(), "stopped")),
                () if lapsed => Some((key.clone(), "lapsed")),
                () => None,
            })
            .collect();
        if ending.is_empty() {
            return;
        }
        for (key, how) in ending {
            let Some(active) = state.active.remove(&key) else {
                continue;
            };
            state.last_number += 1;
            let number = state.last_number;
            let (task, run) = key;
            self.log(&format!("{task} run {run} ends {how}, number {number}"));
            self.runs.lock().unwrap()[active.index].end = Some((self.record.now_ms(), how));
            let settled = state.settled.entry(task.clone()).or_default();
            *settled = (*settled).max(run);
            state.ended.push(Ended {
                number,
                task,
                run,
                how,
                index: active.index,
            });
        }
        self.changed.notify_all();
    }

    fn hold(&self, order: &Value) -> Answer {
        let wait = Duration::from_millis(order.get("wait_ms").number().min(2_000));
        let last_seen = order.get("last_seen").number();
        let mut state = self.state.lock().unwrap();
        self.extend(&mut state, order);
        let noted_ms = self.record.now_ms();
        for ended in state.ended.iter().filter(|ended| ended.number <= last_seen) {
            self.runs.lock().unwrap()[ended.index].noted_ms = Some(noted_ms);
        }
        state.ended.retain(|ended| ended.number > last_seen);
        let until = Instant::now() + wait;
        while state.ended.is_empty() && Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
        let now = Instant::now();
        let running = state.active.iter().map(|((task, run), active)| {
            let left = active.ends_at.saturating_duration_since(now).as_millis() as u64;
            let work = self.work.as_millis() as u64;
            let done = 100 - (100 * left / work).min(100);
            let lasts = self
                .shape
                .lasting
                .is_some_and(|name| task.starts_with(name));
            let percent = Value::from(if lasts { 100 } else { done });
            let usage = Value::from(100_u64);
            vec![
                task.as_str().into(),
                (*run).into(),
                "".into(),
                percent,
                usage,
            ]
            .into()
        });
        let finished = state.ended.iter().take(MAX_LISTED_ENDS).map(|ended| {
            let task = Value::from(ended.task.as_str());
            vec![
                ended.number.into(),
                task,
                ended.run.into(),
                ended.how.into(),
                "".into(),
            ]
            .into()
        });
        if self.is_dark.load(Ordering::Relaxed) {
            drop(state);
            std::thread::sleep(SILENCE);
            return Answer::Close;
        }
        let (listed, left) = (state.ended.len().min(MAX_LISTED_ENDS), state.ended.len());
        if left > 0 {
            self.log(&format!(
                "is asked (last_seen {last_seen}), lists {listed} of {left} ends, {} run",
                state.active.len()
            ));
        }
        let body = table([
            ("clock_ms", self.clock_ms().into()),
            ("running", running.collect::<Vec<Value>>().into()),
            ("finished", finished.collect::<Vec<Value>>().into()),
        ]);
        Answer::Send(200, body.encode())
    }
}
