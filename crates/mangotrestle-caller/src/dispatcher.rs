//! Shares the router between traffic threads and keeps the requests that wait for a slot.
//!
//! Only traffic threads take the router's lock; the control thread never does.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::routing::router;
use mangotrestle_core::routing::wait_queue;
use mangotrestle_core::time;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::snapshot_cell::SnapshotCell;
use crate::traffic;

/// Interval at which timeouts of waiting requests and other time-based changes are applied.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

type WaitResult = Result<router::Assignment, router::Refusal>;

struct State {
    router: router::Router,
    rng: SmallRng,
    waiters: FastMap<(id::JobId, wait_queue::WaitId), oneshot::Sender<WaitResult>>,
    /// Number of requests refused with the outcome "not run", by service.
    not_run_counts: FastMap<id::JobId, u64>,
}

/// See the [module's documentation](self).
pub struct Dispatcher {
    state: Mutex<State>,
    snapshots: Arc<SnapshotCell>,
    epoch: Instant,
}

impl Dispatcher {
    pub fn new(
        settings: router::Settings,
        snapshots: Arc<SnapshotCell>,
        epoch: Instant,
        seed: u64,
    ) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                router: router::Router::new(settings),
                rng: SmallRng::seed_from_u64(seed),
                waiters: FastMap::default(),
                not_run_counts: FastMap::default(),
            }),
            snapshots,
            epoch,
        })
    }

    /// Returns the current time on the clock of the snapshots.
    pub fn now(&self) -> time::TimeMs {
        self.to_time(Instant::now())
    }

    /// Converts a time on the clock of the snapshots to an [`Instant`].
    pub fn to_instant(&self, at: time::TimeMs) -> Instant {
        self.epoch + Duration::from_millis(at.0)
    }

    fn to_time(&self, instant: Instant) -> time::TimeMs {
        let elapsed_ms = instant.saturating_duration_since(self.epoch).as_millis();
        time::TimeMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Installs snapshots, ends waits that timed out and wakes waiting requests until the future is
    /// dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = self.snapshots.changed() => {}
                _ = ticks.tick() => {}
            }
            self.tick();
        }
    }

    fn tick(&self) {
        let now = self.now();
        let mut state = self.lock_current(now);
        let state = &mut *state;
        let resumed = state.router.tick(now, &mut state.rng);
        state.deliver(resumed);
    }

    /// Locks the state and installs the current snapshot.
    fn lock_current(&self, now: time::TimeMs) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let snapshot = self.snapshots.load();
        if !state.router.has_installed(&snapshot) {
            let State { router, rng, .. } = &mut *state;
            let resumed = router.install(now, snapshot, rng);
            state.deliver(resumed);
        }
        state
    }

    /// Returns the team that owns a service.
    pub fn owner(&self, job: &id::JobId) -> Option<id::TeamId> {
        self.lock_current(self.now()).router.owner(job).cloned()
    }

    /// Counts a request against its team's limits until the guard is dropped.
    pub fn admit(self: &Arc<Self>, team: &id::TeamId) -> Result<TeamGuard, router::Refusal> {
        let now = self.now();
        self.lock_current(now).router.admit(now, team)?;
        Ok(TeamGuard {
            dispatcher: Arc::clone(self),
            team: team.clone(),
        })
    }

    /// Acquires a slot of a target and waits for one if necessary.
    pub async fn acquire(
        self: &Arc<Self>,
        request: &router::RouteRequest<'_>,
    ) -> Result<SlotGuard, router::Refusal> {
        let mut waiting = match self.try_acquire(request) {
            AcquireAttempt::Slot(slot) => return Ok(slot),
            AcquireAttempt::Refused(refusal) => return Err(refusal),
            AcquireAttempt::Waiting(waiting) => waiting,
        };
        loop {
            let timeout = tokio::time::sleep_until(self.to_instant(waiting.give_up_at));
            tokio::select! {
                outcome = &mut waiting.receiver => {
                    let assignment = match outcome {
                        Ok(outcome) => outcome?,
                        Err(_) => return Err(dispatcher_gone()),
                    };
                    return Ok(SlotGuard::new(self, assignment));
                }
                () = timeout => self.tick(),
            }
            waiting.give_up_at = self.now() + time::SpanMs(1);
        }
    }

    fn try_acquire(self: &Arc<Self>, request: &router::RouteRequest<'_>) -> AcquireAttempt {
        let now = self.now();
        let mut state = self.lock_current(now);
        let State { router, rng, .. } = &mut *state;
        match router.route(now, request, rng) {
            router::RouteDecision::Send(assignment) => {
                AcquireAttempt::Slot(SlotGuard::new(self, assignment))
            }
            router::RouteDecision::Refuse(refusal) => AcquireAttempt::Refused(refusal),
            router::RouteDecision::Wait(wait) => {
                let (sender, receiver) = oneshot::channel();
                let key = (request.job.clone(), wait.wait_id);
                state.waiters.insert(key.clone(), sender);
                AcquireAttempt::Waiting(WaitGuard {
                    dispatcher: Arc::clone(self),
                    key,
                    give_up_at: wait.give_up_at,
                    receiver,
                })
            }
        }
    }

    /// Charges a retry to the team's retry budget at the service; returns whether it may be made.
    pub fn try_retry(&self, job: &id::JobId, team: &id::TeamId) -> bool {
        let now = self.now();
        self.lock_current(now).router.try_retry(now, job, team)
    }

    /// Calls `draw` with the random number generator.
    pub fn with_rng<T>(&self, draw: impl FnOnce(&mut SmallRng) -> T) -> T {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        draw(&mut state.rng)
    }

    /// Counts a request that was refused with the outcome "not run".
    pub fn count_not_run(&self, job: &id::JobId) {
        let mut state = self.lock_current(self.now());
        // Counts only services with routes, so that requests with made-up names use no memory.
        if state.router.owner(job).is_some() {
            *state.not_run_counts.entry(job.clone()).or_default() += 1;
        }
    }

    fn finish(&self, assignment: &router::Assignment, end: router::End) {
        let now = self.now();
        let mut state = self.lock_current(now);
        let state = &mut *state;
        let resumed = state.router.finish(now, assignment, end, &mut state.rng);
        state.deliver(resumed);
    }

    /// Returns the number of requests in flight or waiting.
    pub fn active_requests(&self) -> u64 {
        let state = self.lock_current(self.now());
        let mut active_requests = 0;
        state.router.visit_services(|_, waiting, in_use| {
            active_requests += waiting as u64 + u64::from(in_use);
        });
        active_requests
    }

    /// Returns the counts for the control thread.
    pub fn report(&self, dropped_reports: u64) -> traffic::TrafficReport {
        let now = self.now();
        let state = self.lock_current(now);
        let mut report = traffic::TrafficReport {
            dropped_reports,
            ..traffic::TrafficReport::default()
        };
        state.router.visit_services(|job, waiting, in_use| {
            let not_run = state.not_run_counts.get(job).copied().unwrap_or(0);
            report.services.push(traffic::ServiceTraffic {
                job: job.clone(),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                in_use,
                not_run,
            });
        });
        for (worker, demand) in state.router.demands() {
            report.workers.push(traffic::WorkerTraffic {
                worker,
                in_use: demand.in_use,
                wanted: demand.wanted,
            });
        }
        state.router.visit_targets(now, |view| {
            report.targets.push(traffic::TargetTraffic {
                job: view.job.clone(),
                index: view.index,
                answered: view.answered,
                failed: view.failed,
                reported_leaving: view.reported_leaving,
                ejected: view.ejected,
            });
        });
        report
    }
}

impl State {
    /// Sends the results of resumed requests to the tasks that wait for them.
    fn deliver(&mut self, resumed: Vec<router::Resumed>) {
        for request in resumed {
            let key = (request.job, request.wait_id);
            let Some(waiter) = self.waiters.remove(&key) else {
                continue;
            };
            // The receiver still exists: `WaitGuard::drop` first takes the lock to remove the
            // entry.
            let _ = waiter.send(request.result);
        }
    }
}

fn dispatcher_gone() -> router::Refusal {
    router::Refusal {
        code: mangotrestle_core::result_code::ResultCode::NotReady,
        retry_after: time::SpanMs::from_secs(1),
    }
}

enum AcquireAttempt {
    Slot(SlotGuard),
    Waiting(WaitGuard),
    Refused(router::Refusal),
}

/// A waiting request; withdrawn from the wait queue when dropped.
struct WaitGuard {
    dispatcher: Arc<Dispatcher>,
    key: (id::JobId, wait_queue::WaitId),
    give_up_at: time::TimeMs,
    receiver: oneshot::Receiver<WaitResult>,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let still_waiting = {
            let mut state = self.dispatcher.lock_current(self.dispatcher.now());
            let waiting = state.waiters.remove(&self.key).is_some();
            if waiting {
                state.router.withdraw(&self.key.0, self.key.1);
            }
            waiting
        };
        if still_waiting {
            return;
        }
        if let Ok(Ok(assignment)) = self.receiver.try_recv() {
            self.dispatcher.finish(&assignment, router::End::Unused);
        }
    }
}

/// A slot of a target; released when dropped.
pub struct SlotGuard {
    dispatcher: Arc<Dispatcher>,
    assignment: router::Assignment,
    end_if_dropped: Option<router::End>,
}

impl SlotGuard {
    fn new(dispatcher: &Arc<Dispatcher>, assignment: router::Assignment) -> Self {
        Self {
            dispatcher: Arc::clone(dispatcher),
            assignment,
            end_if_dropped: Some(router::End::Unused),
        }
    }

    pub const fn assignment(&self) -> &router::Assignment {
        &self.assignment
    }

    /// Marks that the target may have received the request from now on.
    pub const fn mark_sent(&mut self) {
        self.end_if_dropped = Some(router::End::Abandoned);
    }

    /// Releases the slot and reports how the attempt ended.
    pub fn finish(mut self, end: router::End) {
        self.end_if_dropped = Some(end);
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        if let Some(end) = self.end_if_dropped.take() {
            self.dispatcher.finish(&self.assignment, end);
        }
    }
}

/// Counts a request against its team's limits until dropped.
pub struct TeamGuard {
    dispatcher: Arc<Dispatcher>,
    team: id::TeamId,
}

impl Drop for TeamGuard {
    fn drop(&mut self) {
        let now = self.dispatcher.now();
        self.dispatcher.lock_current(now).router.leave(&self.team);
    }
}
