//! Tells slow and stalled workers from slow work, and moves what would be done sooner elsewhere.
//!
//! A run's progress over time, against its caller's estimate, says how fast its worker is. A single
//! estimate is rough, so a worker is judged by several runs against the whole pool.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{MemberKey, Phase};
use super::super::message::RunningTask;
use super::super::worker::Worker;
use super::Pool;

/// Shortest span over which progress is measured; figures are whole percents.
const MEASURED: SpanMs = SpanMs(350);
/// Span without any progress after which a run counts as stalled.
const STALLED: SpanMs = SpanMs(900);
/// Span in which a run has no progress to show yet.
const STARTING: SpanMs = SpanMs(250);
/// Factor by which a run's remaining time has to exceed that of a new run before it is moved.
const MOVE_FACTOR: f64 = 1.4;
/// Time that a move costs beyond the stop: a commit, an order and a ticket.
const MOVE_COST: SpanMs = SpanMs(250);
/// Moves of one unit; more would chase the load around.
const MOST_MOVES: usize = 2;
/// Weight of a sample in a worker's speed.
const WORKER_WEIGHT: f64 = 0.3;
/// Weight of a sample in the speed of the whole pool.
const POOL_WEIGHT: f64 = 0.03;
/// Greatest magnitude of the logarithm of a sample: estimates are off by less than 20 times.
const LARGEST_LOG: f64 = 3.0;

/// Logarithm of a speed, averaged over samples.
#[derive(Clone, Copy, Debug, Default)]
pub struct Speed {
    log: f64,
    samples: u32,
    sampled_at: TimeMs,
}

/// Samples after which a worker can be judged.
const JUDGED_AFTER: u32 = 3;
/// Time without samples after which a judgement is forgotten, so that the worker is tried again.
const FORGOTTEN: SpanMs = SpanMs(2_500);
/// Distance from the pool, as a logarithm, at which a worker counts as slow: 2.2 times.
const SLOW_LOG: f64 = 0.8;

impl Speed {
    fn sample(&mut self, now: TimeMs, log: f64, weight: f64) {
        if now.since(self.sampled_at) > FORGOTTEN {
            self.samples = 0;
        }
        let weight = if self.samples == 0 { 1.0 } else { weight };
        self.log += (log - self.log) * weight;
        self.samples += 1;
        self.sampled_at = now;
    }

    /// Whether a worker of this speed is much slower than the pool.
    #[must_use]
    pub fn is_slow(&self, now: TimeMs, pool: &Self) -> bool {
        self.samples >= JUDGED_AFTER
            && now.since(self.sampled_at) <= FORGOTTEN
            && self.log < pool.log - SLOW_LOG
    }
}

impl Pool {
    /// Takes the progress that a worker reports for a run; says whether the run should be moved.
    pub(super) fn take_progress(
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
        let (saves, gang) = (spec.saves_progress, spec.gang);
        let Some(unit) = job.unit_mut(&key.unit) else {
            return false;
        };
        let moves = unit.avoid.len();
        let member = &mut unit.members[key.member as usize];
        if member.phase != Phase::Running {
            return false;
        }
        let (marked_at, marked) = member.mark;
        if marked_at < member.since || running.percent < marked {
            member.mark = (now, running.percent);
            return false;
        }
        let span = now.since(marked_at);
        if span < MEASURED || now.since(member.since) < STARTING {
            return false;
        }
        let gained = running.percent - marked;
        let stalled = gained == 0 && span >= STALLED;
        if gained == 0 && !stalled {
            return false;
        }
        if gained > 0 {
            member.mark = (now, running.percent);
        }
        let done_ms = f64::from(gained) / 100.0 * estimate_ms;
        let speed = (done_ms / as_float(span.0)).max(f64::MIN_POSITIVE);
        let log = speed.ln().clamp(-LARGEST_LOG, LARGEST_LOG);
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        worker.speed.sample(now, log, WORKER_WEIGHT);
        if !stalled {
            self.speed.sample(now, log, POOL_WEIGHT);
        }
        let slow = stalled || worker.speed.is_slow(now, &self.speed);
        if !slow || moves >= MOST_MOVES || (gang && !stalled) {
            return false;
        }
        let left = f64::from(100 - running.percent.min(100)) / 100.0;
        let here_ms = if gained == 0 {
            f64::INFINITY
        } else {
            left * 100.0 / f64::from(gained) * as_float(span.0)
        };
        // What the estimate is off by shows in the whole pool's speed.
        let usual_ms = estimate_ms / self.speed.log.exp();
        let again_ms = if saves { left * usual_ms } else { usual_ms };
        let elsewhere_ms = again_ms + as_float(self.settings.max_stop_time.0 + MOVE_COST.0);
        here_ms > elsewhere_ms * MOVE_FACTOR && self.has_other_room(now, id, key)
    }

    /// Whether a sound worker other than this one has room for the run now.
    fn has_other_room(&self, now: TimeMs, id: &id::WorkerId, key: &MemberKey) -> bool {
        let Some(spec) = self.step_spec(&key.unit.step) else {
            return false;
        };
        let need = spec.counted_need();
        let Some(step) = self.step(&key.unit.step) else {
            return false;
        };
        let gated = self
            .jobs
            .get(&key.unit.step.job)
            .is_some_and(|job| job.record.policy.advice.is_some());
        self.workers
            .values()
            .filter(|worker| worker.entry.worker != *id)
            .filter(|worker| worker.takes_work(now) && !self.is_slow(now, worker))
            .filter(|worker| !gated || step.tickets.allows(&worker.entry.worker))
            .any(|worker| need.fits_in(&worker.free()))
    }

    /// Whether a worker is much slower than the pool.
    pub(super) fn is_slow(&self, now: TimeMs, worker: &Worker) -> bool {
        worker.speed.is_slow(now, &self.speed)
    }

    /// Moves a run away from a worker on which it would take too long.
    pub(super) fn move_run(&mut self, now: TimeMs, id: &id::WorkerId, key: &MemberKey) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        unit.avoid.push(id.clone());
        let run = unit.run;
        self.notes.push(super::Note::Moved {
            task: key.task_name(),
            run,
            worker: id.clone(),
        });
        self.stop_member(now, key);
        self.collapse(now, &key.unit);
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "spans of milliseconds far below 2^52"
)]
fn as_float(span_ms: u64) -> f64 {
    span_ms as f64
}
