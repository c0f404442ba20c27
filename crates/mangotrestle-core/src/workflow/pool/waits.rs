//! Expected waits of new work, for admission: how long what waits occupies the scarcest resource.
//!
//! Work that cannot be placed because its team has no room holds up its own team only, and surplus
//! work holds up no promised work.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::collections::FastSet;
use crate::resources::Resources;
use crate::time::TimeMs;

use super::super::leadership::TeamLoad;
use super::super::spec::StepSpec;
use super::Pool;

/// Amounts of resources multiplied by the time for which they are needed, in milliseconds.
#[derive(Clone, Copy, Default)]
struct Work([u64; 3]);

impl Work {
    fn of(need: &Resources, time_ms: u64) -> Self {
        Self(amounts(need).map(|amount| amount.saturating_mul(time_ms)))
    }

    fn add(&mut self, other: Self) {
        for (sum, added) in self.0.iter_mut().zip(other.0) {
            *sum = sum.saturating_add(added);
        }
    }

    /// Returns the time that the work takes with these resources, in milliseconds.
    fn time_with(&self, resources: &Resources) -> u64 {
        let times = self.0.into_iter().zip(amounts(resources));
        let times = times.map(|(work, amount)| work.checked_div(amount).unwrap_or_default());
        times.max().unwrap_or_default()
    }
}

fn amounts(resources: &Resources) -> [u64; 3] {
    [
        resources.cpu_millicores,
        resources.memory_mib,
        u64::from(resources.accelerators),
    ]
}

/// Expected waits of work that arrives now.
#[derive(Default)]
pub(super) struct Waits {
    /// Waits of promised work in milliseconds, by priority.
    pub(super) by_priority_ms: BTreeMap<u32, u64>,
    /// Wait of surplus work in milliseconds.
    pub(super) surplus_ms: u64,
    /// The teams that are beyond their rate or have no room.
    pub(super) teams: BTreeMap<Arc<str>, TeamLoad>,
}

impl Pool {
    /// Returns the expected waits of work that arrives now.
    pub(super) fn waits(&self, now: TimeMs) -> Waits {
        let total = self
            .usable_workers()
            .fold(Resources::ZERO, |sum, worker| sum + worker.entry.capacity);
        let blocked_teams: FastSet<&Arc<str>> = self.teams.blocked_teams().collect();
        let mut by_priority: BTreeMap<u32, Work> = BTreeMap::new();
        let mut of_teams: BTreeMap<&Arc<str>, Work> = BTreeMap::new();
        let mut surplus = Work::default();
        // Work whose result would be useless is placed after all other work.
        let waiting = self.waiting.iter().filter(|(rank, _)| !rank.useless);
        for (rank, key) in waiting {
            let Some(job) = self.jobs.get(&key.step.job) else {
                continue;
            };
            let Some(step) = job.record.steps.get(key.step.step as usize) else {
                continue;
            };
            let time_ms = self.expected_unit_ms(&job.record.policy.queue, step);
            let team = job.record.team.as_ref();
            if let Some(team) = team.filter(|team| blocked_teams.contains(team)) {
                let work = Work::of(&step.need, time_ms);
                of_teams.entry(team).or_default().add(work);
            } else if rank.surplus {
                surplus.add(Work::of(&step.counted_need(), time_ms));
            } else {
                let work = Work::of(&step.counted_need(), time_ms);
                by_priority.entry(rank.priority).or_default().add(work);
            }
        }
        let mut waits = Waits::default();
        let mut cumulative = Work::default();
        for (priority, work) in by_priority {
            cumulative.add(work);
            let wait_ms = cumulative.time_with(&total);
            waits.by_priority_ms.insert(priority, wait_ms);
        }
        cumulative.add(surplus);
        waits.surplus_ms = cumulative.time_with(&total);
        for team in self.teams.teams_beyond_rate(now) {
            let load = waits.teams.entry(Arc::clone(team)).or_default();
            load.beyond_rate = true;
        }
        for (team, work) in of_teams {
            let limit = self.teams.limit(team).unwrap_or_default();
            let load = waits.teams.entry(Arc::clone(team)).or_default();
            load.wait_ms = work.time_with(&limit);
        }
        waits
    }

    fn expected_unit_ms(&self, queue: &str, step: &StepSpec) -> u64 {
        let time_ms = self.estimates.expected_ms(queue, step);
        time_ms.saturating_mul(u64::from(step.unit_size()))
    }
}
