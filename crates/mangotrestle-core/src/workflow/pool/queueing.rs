//! Keeps waiting units in the order of placement.
//!
//! Late work whose result would soon be useless is *expedited*: it is ranked with work that can be
//! on time. This spends credit that is earned by units started in time, so at most about a
//! ninth of all starts are expedited. Credit is saved up to a limit, so that a short backlog makes
//! no result useless and a long one does not make all work late.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{StepKey, Unit, UnitKey};
use super::super::rank::{Deadlines, Rank};
use super::Pool;

/// Time between two updates of the ranks, since waiting work becomes late; a tenth of the shortest
/// objectives.
const RANKING_INTERVAL: SpanMs = SpanMs(200);
/// Time before the last useful start in which late work is expedited; enough for several tasks one
/// after the other.
const EXPEDITE_WINDOW: SpanMs = SpanMs(1_500);
/// Number of units that must start in time for each expedited unit.
const STARTS_PER_EXPEDITED_UNIT: u32 = 8;
/// Maximum number of units that the saved credit can expedite at once: the late work of a short
/// burst.
const MAX_EXPEDITED_BURST: u32 = 120;

impl Pool {
    /// Queues a unit if it waits to be placed.
    pub(super) fn queue_unit(&mut self, key: &UnitKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        if job.end.is_some() || !job.unit(key).is_some_and(Unit::is_waiting) {
            return;
        }
        let Some(step) = job.step(&key.step) else {
            return;
        };
        self.waiting.insert((step.rank, key.clone()));
        self.placing_due = true;
    }

    /// Takes a unit out of the queue.
    pub(super) fn unqueue_unit(&mut self, key: &UnitKey) {
        if let Some(step) = self.step(&key.step) {
            self.waiting.remove(&(step.rank, key.clone()));
        }
    }

    /// Takes all units of a job out of the queue.
    pub(super) fn unqueue_job(&mut self, id: &id::JobId) {
        self.waiting.retain(|(_, key)| key.step.job != *id);
    }

    /// Makes placement due if a worker accepts work again, for example because its quarantine has
    /// ended.
    pub(super) fn note_available_workers(&mut self, now: TimeMs) {
        for worker in self.workers.values_mut() {
            let accepts_work = worker.accepts_work(now);
            self.placing_due |= accepts_work && !worker.accepted_work;
            worker.accepted_work = accepts_work;
        }
    }

    /// Updates the ranks of waiting steps, and expedites late ones.
    pub(super) fn update_ranks(&mut self, now: TimeMs) {
        if now.since(self.ranked_at) < RANKING_INTERVAL {
            return;
        }
        self.ranked_at = now;
        for (key, rank) in self.changed_ranks(now) {
            self.set_step_rank(&key, rank);
            self.placing_due = true;
        }
        for key in self.steps_to_expedite(now) {
            self.expedite(now, &key);
        }
    }

    /// Adds credit for a unit that was assigned and can be on time.
    pub(super) fn earn_expedite_credit(&mut self) {
        self.expedite_credit =
            (self.expedite_credit + 1).min(MAX_EXPEDITED_BURST * STARTS_PER_EXPEDITED_UNIT);
    }

    fn changed_ranks(&self, now: TimeMs) -> Vec<(StepKey, Rank)> {
        let mut changed = Vec::new();
        for (current, key) in self.waiting_steps() {
            let rank = self.rank_of(now, key).map(|(rank, _)| rank);
            if let Some(rank) = rank.filter(|rank| rank != current) {
                changed.push((key.clone(), rank));
            }
        }
        changed
    }

    /// Returns the late steps whose results would soon be useless, in the order of placement.
    fn steps_to_expedite(&self, now: TimeMs) -> Vec<StepKey> {
        let late = self
            .waiting_steps()
            .filter(|(rank, _)| rank.late && !rank.useless);
        let soon_useless = late.filter(|(_, key)| {
            let deadlines = self.rank_of(now, key).map(|(_, deadlines)| deadlines);
            deadlines.is_some_and(|deadlines| {
                let expected_end = now + deadlines.remaining;
                expected_end <= deadlines.useful_until
                    && expected_end + EXPEDITE_WINDOW > deadlines.useful_until
            })
        });
        soon_useless.map(|(_, key)| key.clone()).collect()
    }

    /// Expedites a late step if there is enough credit.
    fn expedite(&mut self, now: TimeMs, key: &StepKey) {
        let job = self.jobs.get_mut(&key.job);
        let Some(step) = job.and_then(|job| job.step_mut(key)) else {
            return;
        };
        let units = step.units.iter().filter(|unit| unit.is_waiting()).count();
        let cost = u32::try_from(units)
            .unwrap_or(u32::MAX)
            .saturating_mul(STARTS_PER_EXPEDITED_UNIT);
        if cost > self.expedite_credit {
            return;
        }
        self.expedite_credit -= cost;
        step.expedited = true;
        if let Some((rank, _)) = self.rank_of(now, key) {
            self.set_step_rank(key, rank);
            self.placing_due = true;
        }
    }

    /// Returns the waiting steps, each once, in the order of placement.
    pub(super) fn waiting_steps(&self) -> impl Iterator<Item = (&Rank, &StepKey)> {
        let mut last: Option<&StepKey> = None;
        let steps = self.waiting.iter().map(|(rank, key)| (rank, &key.step));
        steps.filter(move |(_, step)| last.replace(step) != Some(step))
    }

    fn rank_of(&self, now: TimeMs, key: &StepKey) -> Option<(Rank, Deadlines)> {
        let job = self.jobs.get(&key.job)?;
        let step = job.step(key)?;
        let began_at = job.began_at(key.occurrence);
        let deadlines = Deadlines::new(&self.estimates, &job.record, began_at, key.step);
        let rank = Rank::new(now, &job.record, &deadlines, key.step, step.expedited);
        Some((rank, deadlines))
    }

    fn set_step_rank(&mut self, key: &StepKey, rank: Rank) {
        let Some(step) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_mut(key))
        else {
            return;
        };
        let previous = std::mem::replace(&mut step.rank, rank);
        for (unit, state) in (0..).zip(&step.units) {
            let key = UnitKey {
                step: key.clone(),
                unit,
            };
            if state.is_waiting() && self.waiting.remove(&(previous, key.clone())) {
                self.waiting.insert((rank, key));
            }
        }
    }
}
