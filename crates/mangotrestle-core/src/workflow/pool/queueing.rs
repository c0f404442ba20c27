//! Keeps waiting units in the order in which they are served.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{StepKey, Unit, UnitKey};
use super::super::rank::Rank;
use super::Pool;

/// Distance of looks at which waiting work has become late; a tenth of the shortest objectives.
const RANKED_EVERY: SpanMs = SpanMs(200);

impl Pool {
    /// Queues a unit again.
    pub(super) fn queue_unit(&mut self, key: &UnitKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        if job.end.is_some() || !job.unit(key).is_some_and(Unit::waits) {
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
        let step = self.jobs.get(&key.step.job);
        if let Some(step) = step.and_then(|job| job.step(&key.step)) {
            self.waiting.remove(&(step.rank, key.clone()));
        }
    }

    /// Takes all units of a job out of the queue.
    pub(super) fn unqueue_job(&mut self, id: &id::JobId) {
        self.waiting.retain(|(_, key)| key.step.job != *id);
    }

    /// Ranks waiting work anew that has become late meanwhile.
    pub(super) fn rank_anew(&mut self, now: TimeMs) {
        if now.since(self.ranked_at) < RANKED_EVERY {
            return;
        }
        self.ranked_at = now;
        for (key, rank) in self.changed_ranks(now) {
            self.move_step(&key, rank);
            self.placing_due = true;
        }
    }

    fn changed_ranks(&self, now: TimeMs) -> Vec<(StepKey, Rank)> {
        let mut changed = Vec::new();
        let mut last: Option<&StepKey> = None;
        for (present, key) in &self.waiting {
            if last == Some(&key.step) {
                continue;
            }
            last = Some(&key.step);
            let Some(job) = self.jobs.get(&key.step.job) else {
                continue;
            };
            let began_at = job.began_at(key.step.occurrence);
            let rank = Rank::new(now, &job.record, began_at, key.step.step);
            if rank != *present {
                changed.push((key.step.clone(), rank));
            }
        }
        changed
    }

    fn move_step(&mut self, key: &StepKey, rank: Rank) {
        let Some(step) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_mut(key))
        else {
            return;
        };
        let before = std::mem::replace(&mut step.rank, rank);
        for (unit, state) in (0..).zip(&step.units) {
            let key = UnitKey {
                step: key.clone(),
                unit,
            };
            if state.waits() && self.waiting.remove(&(before, key.clone())) {
                self.waiting.insert((rank, key));
            }
        }
    }
}
