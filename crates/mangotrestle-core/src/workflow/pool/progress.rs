//! Detects slow and stalled workers by the progress of their runs, and moves runs that would end
//! sooner elsewhere.
//!
//! A run's progress over time, compared with its expected run time, gives the speed of its worker.
//! A single estimate is rough, so a worker is judged by several runs and relative to the whole
//! pool.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{MemberKey, Phase};
use super::super::message::RunningTask;
use super::super::worker::Worker;
use super::Pool;

/// Percentage of a run that has done all of its work.
const DONE_PERCENT: u32 = 100;
/// Minimum time over which progress is measured, since reports are in whole percents.
const MIN_MEASURED_SPAN: SpanMs = SpanMs(350);
/// Time without any progress after which a run counts as stalled.
const STALL_TIMEOUT: SpanMs = SpanMs(900);
/// Time after its start in which a run is not judged, since it has no progress to show yet.
const STARTUP_TIME: SpanMs = SpanMs(250);
/// Factor by which a run's remaining time must exceed the time of a new run before it is moved.
const MOVE_FACTOR: f64 = 1.4;
/// Time that a move takes beyond the stop: a commit, an order and a ticket.
const MOVE_OVERHEAD: SpanMs = SpanMs(250);
/// Maximum number of moves of one unit, counted by the workers that it avoids; more would shift the
/// load back and forth.
const MAX_MOVES: usize = 2;
/// Weight of a sample in a worker's speed.
const WORKER_SAMPLE_WEIGHT: f64 = 0.3;
/// Weight of a sample in the speed of the whole pool.
const POOL_SAMPLE_WEIGHT: f64 = 0.03;
/// Maximum magnitude of the logarithm of a sample; larger ones are clamped, since estimates are off
/// by less than a factor of 20.
const MAX_LOG_SPEED: f64 = 3.0;

/// Moving average of the logarithm of a speed, relative to the expected run times.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    mean_log: f64,
    samples: u32,
    sampled_at: TimeMs,
}

/// Minimum number of samples before a worker can be judged slow.
const MIN_SAMPLES: u32 = 3;
/// Time without samples after which a judgement is dropped, so that the worker is tried again.
const SAMPLE_LIFETIME: SpanMs = SpanMs(2_500);
/// Difference of the logarithms of the pool's and a worker's speed above which the worker counts as
/// slow: a factor of 2.2.
const SLOW_LOG_DISTANCE: f64 = 0.8;

impl Speed {
    fn sample(&mut self, now: TimeMs, log: f64, weight: f64) {
        if now.since(self.sampled_at) > SAMPLE_LIFETIME {
            self.samples = 0;
        }
        let weight = if self.samples == 0 { 1.0 } else { weight };
        self.mean_log += (log - self.mean_log) * weight;
        self.samples += 1;
        self.sampled_at = now;
    }

    /// Whether a worker of this speed is much slower than the pool.
    #[must_use]
    pub fn is_slow(&self, now: TimeMs, pool: &Self) -> bool {
        self.samples >= MIN_SAMPLES
            && now.since(self.sampled_at) <= SAMPLE_LIFETIME
            && self.mean_log < pool.mean_log - SLOW_LOG_DISTANCE
    }
}

impl Pool {
    /// Applies the progress that a worker reports for a run. Returns whether the run should be
    /// moved.
    pub(super) fn apply_progress(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        key: &MemberKey,
        running: &RunningTask,
    ) -> bool {
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return false;
        };
        let spec = &job.record.steps[key.unit.step.step as usize];
        if spec.persistent || spec.best_effort {
            return false;
        }
        let queue = &job.record.policy.queue;
        let estimate_ms = as_float(self.estimates.expected_ms(queue, spec).max(1));
        let (saves_progress, gang) = (spec.saves_progress, spec.gang);
        let Some(unit) = job.unit_mut(&key.unit) else {
            return false;
        };
        let moves = unit.avoided_workers.len();
        let member = &mut unit.members[key.member as usize];
        // A member of a gang that has done its share waits for the others.
        if member.phase != Phase::Running || running.percent >= DONE_PERCENT {
            return false;
        }
        let (marked_at, marked_percent) = member.progress_mark;
        if marked_at < member.phase_since || running.percent < marked_percent {
            member.progress_mark = (now, running.percent);
            return false;
        }
        let span = now.since(marked_at);
        if span < MIN_MEASURED_SPAN || now.since(member.phase_since) < STARTUP_TIME {
            return false;
        }
        let gained_percent = running.percent - marked_percent;
        let stalled = gained_percent == 0 && span >= STALL_TIMEOUT;
        if gained_percent == 0 && !stalled {
            return false;
        }
        if gained_percent > 0 {
            member.progress_mark = (now, running.percent);
        }
        let done_ms = f64::from(gained_percent) / 100.0 * estimate_ms;
        let speed = (done_ms / as_float(span.0)).max(f64::MIN_POSITIVE);
        let log_speed = speed.ln().clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        worker.speed.sample(now, log_speed, WORKER_SAMPLE_WEIGHT);
        if !stalled {
            self.speed.sample(now, log_speed, POOL_SAMPLE_WEIGHT);
        }
        let slow = stalled || worker.speed.is_slow(now, &self.speed);
        if !slow || moves >= MAX_MOVES || (gang && !stalled) {
            return false;
        }
        let remaining_share = f64::from(100 - running.percent.min(100)) / 100.0;
        let here_ms = if gained_percent == 0 {
            f64::INFINITY
        } else {
            remaining_share * 100.0 / f64::from(gained_percent) * as_float(span.0)
        };
        // The error of the estimates shows in the speed of the whole pool, so it is divided out.
        let corrected_estimate_ms = estimate_ms / self.speed.mean_log.exp();
        let new_run_ms = if saves_progress {
            remaining_share * corrected_estimate_ms
        } else {
            corrected_estimate_ms
        };
        let elsewhere_ms = new_run_ms + as_float(self.settings.max_stop_time.0 + MOVE_OVERHEAD.0);
        here_ms > elsewhere_ms * MOVE_FACTOR && self.fits_elsewhere(now, id, key)
    }

    /// Whether another worker that is not slow has free capacity for the run now.
    fn fits_elsewhere(&self, now: TimeMs, id: &id::WorkerId, key: &MemberKey) -> bool {
        let Some(spec) = self.step_spec(&key.unit.step) else {
            return false;
        };
        let need = spec.counted_need();
        let Some(step) = self.step(&key.unit.step) else {
            return false;
        };
        let needs_ticket = self
            .jobs
            .get(&key.unit.step.job)
            .is_some_and(|job| job.record.policy.advice.is_some());
        self.workers
            .values()
            .filter(|worker| worker.entry.worker != *id)
            .filter(|worker| worker.accepts_work(now) && !self.is_slow(now, worker))
            .filter(|worker| !needs_ticket || step.tickets.allows(&worker.entry.worker))
            .any(|worker| need.fits_in(&worker.free()))
    }

    /// Whether a worker is much slower than the pool.
    pub(super) fn is_slow(&self, now: TimeMs, worker: &Worker) -> bool {
        worker.speed.is_slow(now, &self.speed)
    }

    /// Moves a run away from a worker on which it would take too long.
    pub(super) fn move_run(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        key: &MemberKey,
        percent: u32,
    ) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        unit.avoided_workers.push(id.clone());
        let run = unit.run;
        let after = now.since(unit.members[key.member as usize].phase_since);
        self.notes.push(super::Note::Moved {
            task: key.task_name(),
            run,
            worker: id.clone(),
            percent,
            after,
        });
        self.stop_member(now, key);
        self.abort_run(now, &key.unit);
    }
}

/// Returns a span multiplied by a factor, in milliseconds.
#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "out-of-range values should saturate"
)]
pub(super) fn scaled(span_ms: u64, factor: f64) -> u64 {
    (as_float(span_ms) * factor).round() as u64
}

#[allow(
    clippy::cast_precision_loss,
    reason = "spans of milliseconds far below 2^52"
)]
fn as_float(span_ms: u64) -> f64 {
    span_ms as f64
}
