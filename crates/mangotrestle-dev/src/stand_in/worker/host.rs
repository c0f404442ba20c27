//! One worker: the core's grantor, a timer for each task, and the faults injected into its answers.

use std::collections::BTreeMap;
use std::net;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::lease::grantor;
use mangotrestle_core::lease::message;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::task;
use mangotrestle_core::time;
use mangotrestle_worker::service;
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::clock::HostClock;
use super::endpoint;
use super::faults::Faults;
use super::ledger::{Ledger, RunOnWorker};
use super::listener::FaultyListener;
use super::{FleetSettings, WorkerSpec};

/// Maximum number of connections that a worker accepts for the lease protocol.
const MAX_LEASE_CONNECTIONS: usize = 64;
/// Maximum number of events buffered for a slow reader of a watch. Events that don't fit are
/// dropped, as the next renewal reports all ended runs.
const WATCH_BUFFER_EVENTS: usize = 64;
/// Maximum time that [`run_timers`] sleeps if no timer is set.
const IDLE_WAKE_INTERVAL: Duration = Duration::from_hours(1);

/// A worker with its servers, which stop on drop.
#[derive(Debug)]
pub(super) struct RunningHost {
    pub(super) host: Arc<Host>,
    pub(super) lease_address: net::SocketAddr,
    pub(super) target_address: net::SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for RunningHost {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

/// State of one worker, shared by its servers.
#[derive(Debug)]
pub(super) struct Host {
    pub(super) id: id::WorkerId,
    pub(super) ledger: Arc<Ledger>,
    spec: WorkerSpec,
    settings: FleetSettings,
    target_address: net::SocketAddr,
    state: Mutex<State>,
    faults: watch::Sender<Faults>,
    state_changed: Notify,
    used_request_slots: AtomicUsize,
}

#[derive(Debug)]
struct State {
    grantor: grantor::Grantor,
    clock: HostClock,
    tasks: BTreeMap<task::RunId, SimulatedTask>,
    watchers: Vec<mpsc::Sender<message::WatchEvent>>,
}

/// A task, simulated by a timer.
#[derive(Debug)]
struct SimulatedTask {
    start: message::StartRun,
    /// Time at which the task ends by itself; `None` if it runs until it is stopped.
    ends_at: Option<Instant>,
    /// Outcome to report at `ends_at`.
    outcome: task::RunOutcome,
}

/// A request slot in use, which is freed on drop.
#[derive(Debug)]
pub(super) struct RequestSlot<'a> {
    host: &'a Host,
}

impl Drop for RequestSlot<'_> {
    fn drop(&mut self) {
        self.host.used_request_slots.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a worker's ports and starts its servers.
pub(super) async fn start(
    spec: WorkerSpec,
    settings: FleetSettings,
    ledger: &Arc<Ledger>,
) -> std::io::Result<RunningHost> {
    let (faults, faults_receiver) = watch::channel(Faults::default());
    let leases = FaultyListener::bind(
        faults_receiver.clone(),
        MAX_LEASE_CONNECTIONS,
        Arc::clone(ledger),
    )
    .await?;
    let targets =
        FaultyListener::bind(faults_receiver, settings.connections, Arc::clone(ledger)).await?;
    let (lease_address, target_address) = (leases.address(), targets.address());
    let first_incarnation = id::Incarnation(1);
    let host = Arc::new(Host {
        id: spec.id.clone(),
        ledger: Arc::clone(ledger),
        state: Mutex::new(State {
            grantor: new_grantor(&spec, settings, target_address, first_incarnation),
            clock: HostClock::new(first_incarnation.0),
            tasks: BTreeMap::new(),
            watchers: Vec::new(),
        }),
        spec,
        settings,
        target_address,
        faults,
        state_changed: Notify::new(),
        used_request_slots: AtomicUsize::new(0),
    });
    let server = service::server(Arc::clone(&host));
    let endpoint = endpoint::router(Arc::clone(&host));
    let tasks = vec![
        tokio::spawn(async move {
            let router = tonic::transport::Server::builder().add_service(server);
            // The server ends only when the worker is dropped.
            let _ = router.serve_with_incoming(leases.into_stream()).await;
        }),
        tokio::spawn(async move {
            let _ = axum::serve(targets, endpoint).await;
        }),
        tokio::spawn(run_timers(Arc::clone(&host))),
    ];
    Ok(RunningHost {
        host,
        lease_address,
        target_address,
        tasks,
    })
}

fn new_grantor(
    spec: &WorkerSpec,
    settings: FleetSettings,
    target_address: net::SocketAddr,
    incarnation: id::Incarnation,
) -> grantor::Grantor {
    let config = grantor::GrantorConfig::new(incarnation, spec.capacity, spec.rack.clone())
        .target_address(&target_address.to_string())
        .term(settings.term);
    grantor::Grantor::new(config)
}

/// Ends tasks when their run time is over or their lease has lapsed.
async fn run_timers(host: Arc<Host>) {
    loop {
        let next_due = host.fire_due_timers();
        tokio::select! {
            () = tokio::time::sleep_until(next_due) => {}
            () = host.state_changed.notified() => {}
        }
    }
}

impl Host {
    pub(super) fn set_faults(&self, faults: Faults) {
        let previous = *self.faults.borrow();
        let mut state = self.state();
        state.grantor.set_leaving(faults.leaving);
        if faults.paused && !previous.paused {
            self.pause_runs(&state);
        }
        if previous.paused && !faults.paused {
            self.resume_runs(&mut state);
        }
        drop(state);
        self.faults.send_replace(faults);
        self.state_changed.notify_one();
    }

    pub(super) fn restart(&self) {
        let mut state = self.state();
        self.pause_runs(&state);
        state.tasks.clear();
        state.watchers.clear();
        let incarnation = id::Incarnation(state.grantor.incarnation().0 + 1);
        state.grantor = new_grantor(&self.spec, self.settings, self.target_address, incarnation);
        state.grantor.set_leaving(self.faults.borrow().leaving);
        state.clock = HostClock::new(incarnation.0);
    }

    pub(super) fn running_count(&self) -> usize {
        self.state().tasks.len()
    }

    pub(super) async fn wait_while_paused(&self) {
        let mut faults = self.faults.subscribe();
        // Waiting cannot fail, as this worker owns the sender.
        let _ = faults.wait_for(|faults| !faults.paused).await;
    }

    pub(super) fn service_delay(&self) -> Duration {
        self.settings.service_delay + self.faults.borrow().service_delay
    }

    /// Takes a request slot for a service task.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request does not run.
    pub(super) fn admit_request(&self, task: &task::TaskId) -> Result<RequestSlot<'_>, ResultCode> {
        let state = self.state();
        let first_attempt = task::RunId {
            task: task.clone(),
            attempt: 0,
        };
        let running = state.tasks.range(first_attempt..).next();
        if running.is_none_or(|(run, _)| run.task != *task) {
            return Err(ResultCode::TargetRefused);
        }
        if self.faults.borrow().leaving {
            return Err(ResultCode::NotReady);
        }
        if self.used_request_slots.fetch_add(1, Ordering::Relaxed) >= self.settings.request_slots {
            self.used_request_slots.fetch_sub(1, Ordering::Relaxed);
            self.ledger.record_slots_exceeded();
            return Err(ResultCode::Overloaded);
        }
        Ok(RequestSlot { host: self })
    }

    /// Ends the tasks that are due. Returns the time at which the next one may be.
    fn fire_due_timers(&self) -> Instant {
        let mut state = self.state();
        let idle = Instant::now() + IDLE_WAKE_INTERVAL;
        if self.faults.borrow().paused {
            return idle;
        }
        self.end_due_tasks(&mut state);
        let next_lapse = state.grantor.next_lapse();
        let next_lapse = next_lapse.map(|reading| state.clock.instant(reading));
        let ends = state.tasks.values().filter_map(|task| task.ends_at);
        ends.chain(next_lapse).min().unwrap_or(idle)
    }

    fn end_due_tasks(&self, state: &mut State) {
        let now = Instant::now();
        let lapsed = state.grantor.tick(state.clock.now());
        for run in lapsed {
            self.remove_task(state, &run);
            state.report(&run, task::RunOutcome::Lost);
        }
        let due = state
            .tasks
            .iter()
            .filter(|(_, task)| task.ends_at.is_some_and(|at| at <= now))
            .map(|(run, _)| run.clone());
        let due: Vec<task::RunId> = due.collect();
        for run in due {
            if let Some(ended) = self.remove_task(state, &run) {
                state.grantor.run_ended(&run, ended.outcome);
                state.report(&run, ended.outcome);
            }
        }
    }

    fn remove_task(&self, state: &mut State, run: &task::RunId) -> Option<SimulatedTask> {
        self.ledger.end_run(&self.id, run);
        state.tasks.remove(run)
    }

    fn launch_run(&self, state: &mut State, start: message::StartRun) {
        self.ledger.start_run(self.run_on_worker(&start));
        let now = Instant::now();
        let fails = self.faults.borrow().fail_starts;
        let ends_at = if fails {
            Some(now)
        } else {
            start.run_time_ms.map(|span| now + span.as_duration())
        };
        let outcome = if fails {
            task::RunOutcome::Failed
        } else {
            task::RunOutcome::Succeeded
        };
        let run = start.run.clone();
        state.tasks.insert(
            run,
            SimulatedTask {
                start,
                ends_at,
                outcome,
            },
        );
    }

    const fn run_on_worker<'a>(&'a self, start: &'a message::StartRun) -> RunOnWorker<'a> {
        RunOnWorker {
            worker: &self.id,
            run: &start.run,
            need: start.need,
            capacity: self.spec.capacity,
            idempotent: start.idempotent,
        }
    }

    /// Records that no task runs any more, as the host is paused or restarts.
    fn pause_runs(&self, state: &State) {
        for run in state.tasks.keys() {
            self.ledger.end_run(&self.id, run);
        }
    }

    /// Resumes the tasks of a paused host, except those whose lease has lapsed meanwhile.
    fn resume_runs(&self, state: &mut State) {
        let lapsed = state.grantor.tick(state.clock.now());
        for run in lapsed {
            state.tasks.remove(&run);
            state.report(&run, task::RunOutcome::Lost);
        }
        for task in state.tasks.values() {
            self.ledger.resume_run(self.run_on_worker(&task.start));
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles a message of the lease protocol subject to the injected faults: it waits while the
    /// host is paused, and its answer may be late or lost.
    async fn handle_with_faults<T>(
        &self,
        handle: impl FnOnce(&mut State, time::WorkerTimeMs) -> Result<T, message::Refusal> + Send,
    ) -> Result<T, service::ServiceError> {
        self.wait_while_paused().await;
        let answer = {
            let mut state = self.state();
            self.end_due_tasks(&mut state);
            let now = state.clock.now();
            handle(&mut state, now)
        };
        self.state_changed.notify_one();
        let faults = *self.faults.borrow();
        if !faults.answer_delay.is_zero() {
            tokio::time::sleep(faults.answer_delay).await;
        }
        if faults.lose_answers {
            let reason = "injected fault: the answer was lost".to_owned();
            return Err(service::ServiceError::Unavailable(reason));
        }
        answer.map_err(service::ServiceError::from)
    }
}

impl State {
    fn report(&mut self, run: &task::RunId, outcome: task::RunOutcome) {
        let event = message::WatchEvent {
            ended: vec![message::EndedRun {
                run: run.clone(),
                outcome,
            }],
        };
        // A watcher that is slow or disconnected learns of the end from its next renewal.
        self.watchers.retain(|watcher| !watcher.is_closed());
        for watcher in &self.watchers {
            let _ = watcher.try_send(event.clone());
        }
    }
}

impl service::WorkerService for Host {
    async fn claim(
        &self,
        request: message::ClaimRequest,
    ) -> Result<message::ClaimGranted, service::ServiceError> {
        self.handle_with_faults(|state, now| {
            let granted = state.grantor.claim(now, &request)?;
            state.watchers.clear();
            Ok(granted)
        })
        .await
    }

    async fn renew(
        &self,
        request: message::RenewRequest,
    ) -> Result<message::RenewGranted, service::ServiceError> {
        self.handle_with_faults(|state, now| {
            let mut granted = state.grantor.renew(now, &request)?;
            granted.usage = usage(state);
            Ok(granted)
        })
        .await
    }

    async fn start(
        &self,
        request: message::StartRequest,
    ) -> Result<message::StartAnswer, service::ServiceError> {
        self.handle_with_faults(|state, now| {
            let started = state.grantor.start(now, &request)?;
            for start in started.launch {
                self.launch_run(state, start);
            }
            Ok(started.answer)
        })
        .await
    }

    async fn stop(
        &self,
        request: message::StopRequest,
    ) -> Result<message::StopAccepted, service::ServiceError> {
        self.handle_with_faults(|state, now| {
            let accepted = state.grantor.stop(now, &request)?;
            let ends_at = Instant::now() + request.grace_ms.as_duration();
            for run in &accepted.stopping {
                if let Some(task) = state.tasks.get_mut(run) {
                    task.stop_at(ends_at);
                }
            }
            Ok(accepted)
        })
        .await
    }

    async fn watch(
        &self,
        request: message::WatchRequest,
    ) -> Result<mpsc::Receiver<message::WatchEvent>, service::ServiceError> {
        self.handle_with_faults(|state, now| {
            state
                .grantor
                .check_holder(now, request.worker_incarnation, request.epoch)?;
            let (sender, receiver) = mpsc::channel(WATCH_BUFFER_EVENTS);
            state.watchers.push(sender);
            Ok(receiver)
        })
        .await
    }
}

impl SimulatedTask {
    /// Stops the task at `at`, unless it ends earlier by itself.
    fn stop_at(&mut self, at: Instant) {
        if self.ends_at.is_none_or(|ends_at| at < ends_at) {
            self.ends_at = Some(at);
            self.outcome = task::RunOutcome::Stopped;
        }
    }
}

/// Returns the usage of all tasks. A simulated task uses exactly what it needs.
fn usage(state: &State) -> Vec<message::TaskUsage> {
    let tasks = state.tasks.values();
    let used = tasks.map(|task| message::TaskUsage {
        run: task.start.run.clone(),
        used: task.start.need,
    });
    used.collect()
}
