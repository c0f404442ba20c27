//! Keeps waiting units in the order of placement.
//!
//! Late work whose result would soon be useless is *expedited*: it is ranked with work that can be
//! on time. This spends credit that is earned by units started in time, so at most about a
//! ninth of all starts are expedited. Credit is saved up to a limit, so that a short backlog makes
//! no result useless and a long one does not make all work late.

use std::ops::Bound;

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

/// Number of waiting units, most urgent first, that every check of the queue looks at.
const FRONT_UNITS: usize = 768;
/// Number of the other waiting units that a check looks at, each in its turn. A check of a whole
/// backlog of thousands of jobs takes longer than a leader on a small host has between two commits.
const UNITS_IN_TURN: usize = 256;

/// A waiting unit with its place in the queue.
pub(super) type QueueEntry = (Rank, UnitKey);

/// The part of the queue that one check looks at.
pub(super) struct QueueWindow<'a> {
    /// The entries, in the order of placement.
    pub(super) entries: Vec<&'a QueueEntry>,
    /// Entry with which the turns go on in the next check; `None` at the end of the queue.
    pub(super) next_turn: Option<QueueEntry>,
}

impl<'a> QueueWindow<'a> {
    /// Returns the steps of the units, each once, in the order of placement.
    pub(super) fn steps(&self) -> impl Iterator<Item = (&'a Rank, &'a StepKey)> + '_ {
        let mut last: Option<&StepKey> = None;
        let steps = self.entries.iter().map(|(rank, key)| (rank, &key.step));
        steps.filter(move |(_, step)| last.replace(step) != Some(step))
    }
}

impl Pool {
    /// Returns the window of the queue whose turns begin with an entry, or at the front without one.
    pub(super) fn queue_window(&self, turn: Option<&QueueEntry>) -> QueueWindow<'_> {
        let mut entries: Vec<&QueueEntry> = self.waiting.iter().take(FRONT_UNITS).collect();
        let begin = match (turn, entries.last()) {
            (Some(turn), Some(&last)) if turn > last => Bound::Included(turn),
            (_, Some(&last)) => Bound::Excluded(last),
            (_, None) => Bound::Unbounded,
        };
        let mut others = self.waiting.range((begin, Bound::Unbounded));
        entries.extend(others.by_ref().take(UNITS_IN_TURN));
        QueueWindow {
            entries,
            next_turn: others.next().cloned(),
        }
    }

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
        let entry = (step.rank, key.clone());
        self.add_waiting(entry);
        self.placing_due = true;
    }

    /// Adds an entry to the queue, and counts it for its step.
    fn add_waiting(&mut self, entry: QueueEntry) {
        let step = entry.1.step.clone();
        if self.waiting.insert(entry)
            && let Some(job) = self.jobs.get_mut(&step.job)
        {
            job.waiting_units[step.step as usize] += 1;
        }
    }

    /// Removes an entry from the queue, if it is there.
    pub(super) fn remove_waiting(&mut self, entry: &QueueEntry) {
        let step = &entry.1.step;
        if self.waiting.remove(entry)
            && let Some(job) = self.jobs.get_mut(&step.job)
        {
            job.waiting_units[step.step as usize] -= 1;
        }
    }

    /// Takes a unit out of the queue.
    pub(super) fn unqueue_unit(&mut self, key: &UnitKey) {
        if let Some(step) = self.step(&key.step) {
            let entry = (step.rank, key.clone());
            self.remove_waiting(&entry);
        }
    }

    /// Takes all units of a job out of the queue.
    pub(super) fn unqueue_job(&mut self, id: &id::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        for (&occurrence, state) in &job.occurrences {
            for (step, state) in (0..).zip(&state.steps) {
                let key = StepKey {
                    job: id.clone(),
                    occurrence,
                    step,
                };
                for (unit, _) in (0..).zip(&state.units) {
                    let step = key.clone();
                    self.waiting.remove(&(state.rank, UnitKey { step, unit }));
                }
            }
        }
        job.waiting_units.fill(0);
    }

    /// Updates the ranks of waiting steps, expedites late ones, and makes placement due.
    pub(super) fn update_ranks(&mut self, now: TimeMs) {
        if now.since(self.ranked_at) < RANKING_INTERVAL {
            return;
        }
        self.ranked_at = now;
        // The time alone may have made a worker eligible, without any event.
        self.placing_due = true;
        let window = self.queue_window(self.rank_turn.as_ref());
        let next_turn = window.next_turn.clone();
        for (key, rank) in self.changed_ranks(now, &window) {
            self.set_step_rank(&key, rank);
        }
        let window = self.queue_window(self.rank_turn.as_ref());
        for key in self.steps_to_expedite(now, &window) {
            self.expedite(now, &key);
        }
        self.rank_turn = next_turn;
    }

    /// Adds credit for a unit that was assigned and can be on time.
    pub(super) fn earn_expedite_credit(&mut self) {
        self.expedite_credit =
            (self.expedite_credit + 1).min(MAX_EXPEDITED_BURST * STARTS_PER_EXPEDITED_UNIT);
    }

    fn changed_ranks(&self, now: TimeMs, window: &QueueWindow<'_>) -> Vec<(StepKey, Rank)> {
        let mut changed = Vec::new();
        for (current, key) in window.steps() {
            let rank = self.rank_of(now, key).map(|(rank, _)| rank);
            if let Some(rank) = rank.filter(|rank| rank != current) {
                changed.push((key.clone(), rank));
            }
        }
        changed
    }

    /// Returns the late steps whose results would soon be useless, in the order of placement.
    fn steps_to_expedite(&self, now: TimeMs, window: &QueueWindow<'_>) -> Vec<StepKey> {
        let late = window
            .steps()
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
        }
    }

    pub(super) fn rank_of(&self, now: TimeMs, key: &StepKey) -> Option<(Rank, Deadlines)> {
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
