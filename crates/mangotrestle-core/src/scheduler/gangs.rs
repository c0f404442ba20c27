//! Gangs: tasks that start together or not at all.
//!
//! A gang that does not fit gets a reservation of the workers on which it can start soonest, judged
//! by the expected ends of their runs. Other work is placed on reserved workers only if it ends
//! before the gang can start (backfill), so the wait of a gang is bounded however large it is.

use std::ops::ControlFlow;

use smallvec::SmallVec;

use crate::job;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::index::{SearchOrder, SearchScope, WorkerKey};
use super::jobs::TaskKey;
use super::placing::{Choice, Placement};
use super::queue::{self, JobKey};
use super::worker;

/// A run past its expected end is assumed to continue for its age divided by this.
const OVERRUN_DIVISOR: u64 = 4;

/// Minimum time, in milliseconds, that a run past its expected end is assumed to continue.
const MIN_OVERRUN_MS: u64 = 1_000;

/// Workers reserved for a gang.
#[derive(Debug)]
pub(super) struct Reservation {
    pub(super) job: JobKey,
    pub(super) workers: Vec<WorkerKey>,
    /// When the gang is expected to fit.
    pub(super) start_ms: time::TimeMs,
}

/// Number of a gang's tasks to start on one worker.
#[derive(Clone, Copy, Debug)]
struct Portion {
    worker: WorkerKey,
    tasks: u32,
}

/// Collects workers until all tasks of a gang have one.
#[derive(Debug)]
struct Collector {
    need: amount::Amount,
    missing: u32,
    portions: Vec<Portion>,
}

impl Collector {
    fn take(&mut self, worker: WorkerKey, free: &amount::Amount) -> ControlFlow<()> {
        let tasks = self.need.count_in(free).min(self.missing);
        if tasks > 0 {
            self.portions.push(Portion { worker, tasks });
            self.missing -= tasks;
        }
        if self.missing == 0 {
            ControlFlow::Break(())
        } else {
            ControlFlow::Continue(())
        }
    }
}

/// Number of further tasks of a gang that fit on a worker from a point in time.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct ForecastEntry {
    at_ms: time::TimeMs,
    worker: WorkerKey,
    tasks: u32,
}

impl Scheduler {
    /// Starts all tasks of a gang if they fit, else reserves workers for it.
    pub(super) fn place_gang(
        &mut self,
        now_ms: time::TimeMs,
        head: &queue::Head,
        decisions: &mut Vec<decision::Decision>,
    ) -> Placement {
        let tasks = self.jobs[head.job].ready;
        let team = self.jobs[head.job].team;
        if !self.queue.within_quota(team, &head.shape.need, tasks) {
            return Placement::OverQuota;
        }
        if let Some(portions) = self.gang_portions(now_ms, head, tasks) {
            self.start_gang(now_ms, head.job, &portions, decisions);
            return Placement::Started;
        }
        self.update_reservation(now_ms, head.job, &head.shape.need, tasks);
        Placement::DoesNotFit
    }

    fn gang_portions(
        &self,
        now_ms: time::TimeMs,
        head: &queue::Head,
        tasks: u32,
    ) -> Option<Vec<Portion>> {
        let need = &head.shape.need;
        let scope = SearchScope {
            order: SearchOrder::LeastFreeFirst,
            max_per_bucket: usize::MAX,
            offset: 0,
            skip_accelerator_hosts: self.skips_accelerator_hosts(need),
        };
        let mut collector = Collector {
            need: *need,
            missing: tasks,
            portions: Vec::new(),
        };
        let urgent = head.shape.urgency == job::Urgency::Urgent;
        let reserved_for_gang =
            |worker: WorkerKey| self.workers[worker].reserved_for == Some(head.job);
        let end_ms = self.expected_run_time(head.job).map(|span| now_ms + span);
        let ends_before = |worker: WorkerKey| {
            end_ms.is_some_and(|end_ms| Some(end_ms) <= self.reservation_start(worker))
        };
        self.reserved.search(need, scope, |worker, free| {
            if urgent || reserved_for_gang(worker) || ends_before(worker) {
                collector.take(worker, free)
            } else {
                ControlFlow::Continue(())
            }
        });
        if collector.missing > 0 && self.unreserved.total().may_hold(need, collector.missing) {
            let take = |worker: WorkerKey, free: &amount::Amount| collector.take(worker, free);
            self.unreserved.search(need, scope, take);
        }
        (collector.missing == 0).then_some(collector.portions)
    }

    fn start_gang(
        &mut self,
        now_ms: time::TimeMs,
        job: JobKey,
        portions: &[Portion],
        decisions: &mut Vec<decision::Decision>,
    ) {
        let candidates = u32::try_from(portions.len()).unwrap_or(u32::MAX);
        let mut positions = self.jobs[job].all_waiting().into_iter();
        for portion in portions {
            let choice = Choice {
                worker: portion.worker,
                path: decision::PlacementPath::Gang,
                score: 0,
                candidates,
            };
            for position in positions.by_ref().take(portion.tasks as usize) {
                let task = TaskKey { job, position };
                self.start(now_ms, task, &choice, decisions);
            }
        }
    }

    /// Returns the expected start of the gang that a worker is reserved for, if it is reserved.
    pub(super) fn reservation_start(&self, worker: WorkerKey) -> Option<time::TimeMs> {
        let job = self.workers[worker].reserved_for?;
        let reservation = self.reservations.iter().find(|entry| entry.job == job)?;
        Some(reservation.start_ms)
    }

    /// Updates the expected start of a gang's reservation, or plans a reservation if it has none.
    fn update_reservation(
        &mut self,
        now_ms: time::TimeMs,
        job: JobKey,
        need: &amount::Amount,
        tasks: u32,
    ) {
        if let Some(position) = self.reservations.iter().position(|entry| entry.job == job) {
            let workers = &self.reservations[position].workers;
            let candidates = workers.iter().map(|&key| (key, &self.workers[key]));
            let forecast = forecast_gang_fit(now_ms, need, tasks, candidates);
            if let Some(last) = position_completing_gang(&forecast, tasks) {
                self.reservations[position].start_ms = forecast[last].at_ms;
                return;
            }
            self.drop_reservation(job);
        }
        if self.reservations.len() < self.config.max_reservations {
            self.plan_reservation(now_ms, job, need, tasks);
        }
    }

    fn plan_reservation(
        &mut self,
        now_ms: time::TimeMs,
        job: JobKey,
        need: &amount::Amount,
        tasks: u32,
    ) {
        let skip = self.skips_accelerator_hosts(need);
        let candidates = self.workers.iter().filter(|(_, worker)| {
            worker.is_usable()
                && worker.reserved_for.is_none()
                && need.fits_in(&worker.capacity)
                && !(skip && worker.is_accelerator_host())
        });
        let forecast = forecast_gang_fit(now_ms, need, tasks, candidates);
        let Some(last) = position_completing_gang(&forecast, tasks) else {
            return;
        };
        let mut workers: Vec<WorkerKey> =
            forecast[..=last].iter().map(|entry| entry.worker).collect();
        workers.sort_unstable();
        workers.dedup();
        for &key in &workers {
            self.workers[key].reserved_for = Some(job);
            self.refresh_worker(key);
        }
        self.reservations.push(Reservation {
            job,
            workers,
            start_ms: forecast[last].at_ms,
        });
    }

    /// Releases the workers reserved for a job.
    pub(super) fn drop_reservation(&mut self, job: JobKey) {
        let Some(position) = self.reservations.iter().position(|entry| entry.job == job) else {
            return;
        };
        let reservation = self.reservations.swap_remove(position);
        for key in reservation.workers {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.reserved_for = None;
                self.refresh_worker(key);
            }
        }
    }

    /// Releases the entire reservation that a worker belongs to, after the worker became unusable.
    pub(super) fn break_reservation(&mut self, key: WorkerKey) {
        if let Some(job) = self.workers[key].reserved_for {
            self.drop_reservation(job);
            // The gang has to be placed on other workers even if no other capacity is freed.
            self.queue.unblock_all();
        }
    }
}

/// Forecasts when tasks of a gang fit on the candidates, earliest first.
fn forecast_gang_fit<'a>(
    now_ms: time::TimeMs,
    need: &amount::Amount,
    tasks: u32,
    candidates: impl Iterator<Item = (WorkerKey, &'a worker::Worker)>,
) -> Vec<ForecastEntry> {
    let mut forecast = Vec::new();
    for (key, worker) in candidates {
        if worker.is_usable() {
            forecast_worker_fit(now_ms, need, tasks, key, worker, &mut forecast);
        }
    }
    forecast.sort_unstable();
    forecast
}

fn forecast_worker_fit(
    now_ms: time::TimeMs,
    need: &amount::Amount,
    tasks: u32,
    key: WorkerKey,
    worker: &worker::Worker,
    forecast: &mut Vec<ForecastEntry>,
) {
    let mut ends: SmallVec<[(time::TimeMs, amount::Amount); 8]> = worker
        .runs
        .iter()
        .filter_map(|run| Some((expected_end(now_ms, run)?, run.allocated)))
        .collect();
    ends.sort_unstable();
    let mut allocated = worker.allocated.plus(&worker.held);
    let mut fitting = 0;
    let mut record_fit = |at_ms: time::TimeMs, allocated: &amount::Amount| {
        let count = need.count_in(&worker.capacity.minus(allocated)).min(tasks);
        if count > fitting {
            forecast.push(ForecastEntry {
                at_ms,
                worker: key,
                tasks: count - fitting,
            });
            fitting = count;
        }
    };
    record_fit(now_ms, &allocated);
    for (at_ms, amount) in ends {
        allocated = allocated.minus(&amount);
        record_fit(at_ms, &allocated);
    }
}

/// Returns when a run is expected to end; `None` for services.
fn expected_end(now_ms: time::TimeMs, run: &worker::Run) -> Option<time::TimeMs> {
    if run.stop.is_some() {
        return Some(now_ms);
    }
    let end_ms = run.expected_end_ms?;
    if end_ms > now_ms {
        return Some(end_ms);
    }
    let age_ms = now_ms.since(run.started_ms).0;
    Some(now_ms + time::SpanMs((age_ms / OVERRUN_DIVISOR).max(MIN_OVERRUN_MS)))
}

/// Returns the position of the first forecast entry at which all tasks of the gang fit.
fn position_completing_gang(forecast: &[ForecastEntry], tasks: u32) -> Option<usize> {
    let mut fitting = 0_u32;
    forecast.iter().position(|entry| {
        fitting = fitting.saturating_add(entry.tasks);
        fitting >= tasks
    })
}
