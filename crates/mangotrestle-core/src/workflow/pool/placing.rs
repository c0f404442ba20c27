//! Assigns waiting units to workers, most urgent first.
//!
//! A unit goes to the worker that it leaves fullest, so that whole workers stay free for large
//! tasks and gangs; work with a bound on its tail goes where it is disturbed least, and fillers go
//! where most processor time is left. A gang that finds no room keeps the workers that will have
//! room first from work that comes after it.

use std::cmp::Reverse;

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::resources::Resources;
use crate::time::TimeMs;

use super::super::job::{MemberKey, Phase, StepKey, UnitKey};
use super::super::spec::StepSpec;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Gangs that may keep workers from later work at one time.
const MOST_RESERVING_GANGS: usize = 3;

/// Why a unit was not placed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Unplaced {
    /// No worker has room for it now.
    NoRoom,
    /// Tickets are missing.
    NoTickets,
}

/// Preference among workers that fit; the greatest is taken.
type Preference = (bool, bool, bool, Reverse<u64>, Reverse<u64>);

impl Pool {
    /// Assigns as much waiting work as fits.
    pub(super) fn place(&mut self, now: TimeMs) {
        if !self.placing_due {
            return;
        }
        self.placing_due = false;
        let mut blocked: FastSet<StepKey> = FastSet::default();
        let mut reserved: FastSet<id::WorkerId> = FastSet::default();
        let mut reserving = 0;
        let waiting: Vec<_> = self.waiting.iter().cloned().collect();
        for (rank, key) in waiting {
            if blocked.contains(&key.step) {
                continue;
            }
            match self.choose(now, &key, &reserved) {
                Ok(workers) => {
                    self.waiting.remove(&(rank, key.clone()));
                    self.assign(now, &key, &workers);
                }
                Err(reason) => {
                    blocked.insert(key.step.clone());
                    let gang = self.step_spec(&key.step).is_some_and(|step| step.gang);
                    if gang && reason == Unplaced::NoRoom && reserving < MOST_RESERVING_GANGS {
                        reserving += 1;
                        self.reserve(now, &key, &mut reserved);
                    }
                }
            }
        }
    }

    pub(super) fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.record.steps.get(key.step as usize)
    }

    /// Chooses a worker for each member of a unit.
    fn choose(
        &self,
        now: TimeMs,
        key: &UnitKey,
        reserved: &FastSet<id::WorkerId>,
    ) -> Result<Vec<id::WorkerId>, Unplaced> {
        let spec = self.step_spec(&key.step).ok_or(Unplaced::NoRoom)?;
        let usable = self.usable(now, key);
        if usable.is_empty() {
            return Err(Unplaced::NoTickets);
        }
        let open: Vec<&Worker> = usable
            .into_iter()
            .filter(|worker| !reserved.contains(&worker.entry.worker))
            .collect();
        if spec.gang && spec.rack_local {
            let mut racks: Vec<&str> = open.iter().map(|worker| worker.rack()).collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let inside: Vec<&Worker> = open
                    .iter()
                    .copied()
                    .filter(|worker| worker.rack() == rack)
                    .collect();
                if let Some(chosen) = self.choose_among(now, key, spec, &inside) {
                    return Ok(chosen);
                }
            }
        }
        self.choose_among(now, key, spec, &open)
            .ok_or(Unplaced::NoRoom)
    }

    /// Workers that may run the unit at all: sound, with the label, and allowed by the queue's
    /// policy with a ticket that is valid.
    fn usable(&self, now: TimeMs, key: &UnitKey) -> Vec<&Worker> {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return Vec::new();
        };
        let (Some(step), Some(spec)) = (
            job.step(&key.step),
            job.record.steps.get(key.step.step as usize),
        ) else {
            return Vec::new();
        };
        let needs_ticket = job.record.policy.advice.is_some();
        let fits_label = |worker: &Worker| {
            let label = spec.constraint.as_deref();
            label.is_none_or(|label| worker.has_label(label))
        };
        self.workers
            .values()
            .filter(|worker| worker.takes_work(now) && fits_label(worker))
            .filter(|worker| {
                !needs_ticket || step.tickets.valid(&worker.entry.worker, now).is_some()
            })
            .collect()
    }

    fn choose_among(
        &self,
        now: TimeMs,
        key: &UnitKey,
        spec: &StepSpec,
        workers: &[&Worker],
    ) -> Option<Vec<id::WorkerId>> {
        let need = spec.counted_need();
        let mut taken: FastMap<&id::WorkerId, (Resources, u32)> = FastMap::default();
        let mut chosen = Vec::new();
        for _ in 0..spec.unit_size() {
            let best = workers
                .iter()
                .filter_map(|worker| {
                    let (used, count) =
                        taken.get(&worker.entry.worker).copied().unwrap_or_default();
                    let free = worker.free().checked_sub(&used)?;
                    let left = free.checked_sub(&need)?;
                    let spread = spec.most_per_worker;
                    let beside = tasks_of_step(worker, &key.step) + count;
                    if spread > 0 && beside >= spread {
                        return None;
                    }
                    Some((self.preference(now, key, spec, worker, &left), *worker))
                })
                .max_by_key(|(preference, worker)| {
                    (*preference, Reverse(worker.entry.worker.clone()))
                })?;
            let id = &best.1.entry.worker;
            let entry = taken.entry(id).or_default();
            entry.0 += need;
            entry.1 += 1;
            chosen.push(id.clone());
        }
        Some(chosen)
    }

    fn preference(
        &self,
        now: TimeMs,
        key: &UnitKey,
        spec: &StepSpec,
        worker: &Worker,
        left: &Resources,
    ) -> Preference {
        let avoided = self
            .jobs
            .get(&key.step.job)
            .and_then(|job| job.unit(key))
            .is_some_and(|unit| unit.avoid.contains(&worker.entry.worker));
        let near = spec
            .affinity_rack
            .as_deref()
            .is_none_or(|rack| worker.has_label(rack));
        let cold = worker.entry.cold_left_ms > 0;
        let capacity = &worker.entry.capacity;
        let quiet = if spec.fills {
            worker.serving == 0
        } else if spec.persistent {
            worker.filling == 0
        } else {
            !cold
        };
        let accelerators_left = u64::from(left.accelerators);
        let cost = if spec.fills {
            let share = per_mille(left.cpu_millicores, capacity.cpu_millicores);
            1_000 - share / (u64::from(worker.filling) + 1)
        } else if spec.persistent {
            1_000 - per_mille(left.cpu_millicores, capacity.cpu_millicores)
        } else {
            per_mille(left.cpu_millicores, capacity.cpu_millicores)
                + per_mille(left.memory_mib, capacity.memory_mib)
        };
        (
            !avoided && !worker.is_doubted(now) && !self.is_slow(now, worker),
            near,
            quiet,
            Reverse(accelerators_left),
            Reverse(cost),
        )
    }

    /// Assigns a unit's members; orders go out once this is durable.
    fn assign(&mut self, now: TimeMs, key: &UnitKey, workers: &[id::WorkerId]) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let spec = &job.record.steps[key.step.step as usize];
        let need = spec.counted_need();
        let (serving, filling) = (spec.persistent, spec.fills);
        let waited = now.since(job.known_at);
        let Some(unit) = job.unit_mut(key) else {
            return;
        };
        unit.run += 1;
        let run = unit.run;
        for (member, worker) in unit.members.iter_mut().zip(workers) {
            member.worker = Some(worker.clone());
            member.phase = Phase::Planned;
            member.since = now;
            member.unanswered = 0;
            member.paced_percent = 100;
            member.over_since = None;
        }
        for (member, worker) in (0..).zip(workers) {
            let member = MemberKey {
                unit: key.clone(),
                member,
            };
            self.notes.push(Note::Bound {
                task: member.task_name(),
                run,
                worker: worker.clone(),
                waited,
            });
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.used += need;
                worker.serving += u32::from(serving);
                worker.filling += u32::from(filling);
                worker.tasks.insert(member, need);
            }
        }
        self.mark_dirty(&key.step.job);
    }

    /// Keeps the workers that will have room for a gang first from work that comes after it.
    fn reserve(&self, now: TimeMs, key: &UnitKey, reserved: &mut FastSet<id::WorkerId>) {
        let Some(spec) = self.step_spec(&key.step) else {
            return;
        };
        let need = spec.counted_need();
        let mut candidates: Vec<(TimeMs, &Worker, u32)> = self
            .usable(now, key)
            .into_iter()
            .filter(|worker| !reserved.contains(&worker.entry.worker))
            .filter(|worker| need.fits_in(&worker.entry.capacity))
            .map(|worker| {
                let (at, count) = self.room_at(now, worker, &need);
                (at, worker, count)
            })
            .collect();
        candidates.sort_by_key(|(at, worker, _)| (*at, worker.entry.worker.clone()));
        let mut missing = spec.unit_size();
        for (_, worker, count) in candidates {
            if missing == 0 {
                return;
            }
            reserved.insert(worker.entry.worker.clone());
            missing = missing.saturating_sub(count.max(1));
        }
    }

    /// When a worker is expected to have room for one more task, and for how many then.
    fn room_at(&self, now: TimeMs, worker: &Worker, need: &Resources) -> (TimeMs, u32) {
        let mut ends: Vec<(TimeMs, Resources)> = worker
            .tasks
            .iter()
            .map(|(key, task_need)| (self.expected_end(now, key), *task_need))
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut free = worker.free();
        let mut at = now;
        for (end, task_need) in ends {
            if need.fits_in(&free) {
                break;
            }
            free += task_need;
            at = end;
        }
        let mut count = 0;
        while let Some(left) = free.checked_sub(need) {
            free = left;
            count += 1;
            if *need == Resources::ZERO {
                break;
            }
        }
        (at, count)
    }

    /// When a member is expected to end, by its caller's estimate.
    pub(super) fn expected_end(&self, now: TimeMs, key: &MemberKey) -> TimeMs {
        let Some(job) = self.jobs.get(&key.unit.step.job) else {
            return now;
        };
        let spec = &job.record.steps[key.unit.step.step as usize];
        let estimate = if spec.persistent {
            crate::time::SpanMs::from_secs(3_600)
        } else {
            crate::time::SpanMs(spec.estimate_ms)
        };
        let since = job
            .unit(&key.unit)
            .map_or(now, |unit| unit.members[key.member as usize].since);
        (since + estimate).max(now)
    }
}

fn per_mille(part: u64, whole: u64) -> u64 {
    (part * 1_000).checked_div(whole).unwrap_or_default()
}

fn tasks_of_step(worker: &Worker, step: &StepKey) -> u32 {
    let count = worker
        .tasks
        .keys()
        .filter(|key| key.unit.step == *step)
        .count();
    u32::try_from(count).unwrap_or(u32::MAX)
}
