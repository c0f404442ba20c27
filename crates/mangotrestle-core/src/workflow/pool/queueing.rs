//! Keeps waiting units in the order in which they are served.
//!
//! Late work that would soon be of no use is *rescued*: it goes before work that can be on time, for
//! a ninth of what starts, saved up for a while, so that a short backlog fails nobody and a long one
//! does not make everything late.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{StepKey, Unit, UnitKey};
use super::super::rank::{Deadlines, Rank};
use super::Pool;

/// Distance of looks at which waiting work has become late; a tenth of the shortest objectives.
const RANKING_INTERVAL: SpanMs = SpanMs(200);
/// Time before the last useful start in which late work is rescued: several tasks one after the other.
const EXPEDITE_WINDOW: SpanMs = SpanMs(1_500);
/// Starts in time for each unit that is rescued.
const STARTS_PER_EXPEDITED_UNIT: u32 = 8;
/// Most units that may be rescued at once: the late work of a short burst.
const MAX_EXPEDITED_BURST: u32 = 120;

impl Pool {
    /// Queues a unit again.
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

    /// Ranks waiting work anew that has become late meanwhile.
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

    /// Notes that a unit was assigned that can be on time.
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

    /// Late steps that are of no use soon, in the order of service.
    fn steps_to_expedite(&self, now: TimeMs) -> Vec<StepKey> {
        let late = self
            .waiting_steps()
            .filter(|(rank, _)| rank.late && !rank.useless);
        let soon = late.filter(|(_, key)| {
            let deadlines = self.rank_of(now, key).map(|(_, deadlines)| deadlines);
            deadlines.is_some_and(|deadlines| {
                let end = now + deadlines.remaining;
                end <= deadlines.useful_until && end + EXPEDITE_WINDOW > deadlines.useful_until
            })
        });
        soon.map(|(_, key)| key.clone()).collect()
    }

    /// Lets a late step go with those that can be on time, if rescues are not used up.
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

    /// Steps that wait, each once, in the order of service.
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
