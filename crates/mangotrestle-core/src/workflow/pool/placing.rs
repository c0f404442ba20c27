//! Assigns waiting units to workers, most urgent first.
//!
//! A unit goes to the worker that it leaves fullest, so that whole workers stay free for large
//! tasks and gangs; work with a bound on its tail goes where it is disturbed least, and fillers go
//! where most processor time is left. A gang that finds no room keeps the workers that will have
//! room first from work that comes after it. Tasks of one step stay on few workers of one
//! availability zone where they can, so that a worker or a zone that is lost holds up few jobs.
//!
//! A pass decides on a [`Board`] of the workers that take work, and changes the pool only when all
//! is decided, so that work which finds no room costs one comparison for each worker.

use std::cmp::Reverse;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::id;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Job, MemberKey, Phase, Step, StepKey, UnitKey};
use super::super::rank::Rank;
use super::super::spec::StepSpec;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Gangs that may keep workers from later work at one time.
const MOST_RESERVING_GANGS: usize = 3;
/// Time for which the workers that a gang keeps are not chosen anew; ends of runs move them little.
const RESERVED_FOR: SpanMs = SpanMs(100);

/// Preference among workers that fit; the greatest is taken.
type Preference = (bool, bool, bool, bool, bool, Reverse<u64>, Reverse<u64>);

/// Workers that a waiting gang keeps from work that comes after it.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    unit: UnitKey,
    chosen_at: TimeMs,
    workers: Vec<id::WorkerId>,
}

/// What a pass decided.
#[derive(Default)]
struct Decisions {
    assigned: Vec<(Rank, UnitKey, Vec<id::WorkerId>)>,
    reservations: Vec<Reservation>,
}

/// A worker that takes work, as a pass sees it.
struct Slot<'a> {
    worker: &'a Worker,
    /// Room that the pass has not given away.
    free: Resources,
    /// Whether nothing speaks against its speed and health.
    sound: bool,
    serving: u32,
    filling: u32,
    reserved: bool,
    /// Steps of the tasks that the pass has put here.
    added: SmallVec<[&'a StepKey; 4]>,
}

impl Slot<'_> {
    /// Tasks of a step here.
    fn tasks_of(&self, step: &StepKey) -> usize {
        let present = self.worker.tasks.keys();
        let present = present.filter(|key| key.unit.step == *step).count();
        present + self.added.iter().filter(|added| **added == step).count()
    }
}

/// Workers that take work.
struct Board<'a> {
    slots: Vec<Slot<'a>>,
    /// The step of which a unit was placed last, and its zone.
    last: Option<(&'a StepKey, &'a str)>,
}

/// A unit that is to be placed, with what its job says about it.
pub(super) struct Request<'a> {
    key: &'a UnitKey,
    pub(super) job: &'a Job,
    step: &'a Step,
    spec: &'a StepSpec,
    pub(super) need: Resources,
    /// Zone of another task of the step.
    zone: Option<&'a str>,
}

impl Request<'_> {
    /// Whether the worker may run the unit: it has the label, and the queue's policy allows it with
    /// a ticket that is valid.
    pub(super) fn allows(&self, now: TimeMs, worker: &Worker) -> bool {
        let fits_label = worker.matches(self.spec.constraint.as_deref());
        let gated = self.job.record.policy.advice.is_some();
        fits_label && (!gated || self.step.tickets.valid(&worker.entry.worker, now).is_some())
    }

    fn avoids(&self, worker: &id::WorkerId) -> bool {
        let unit = self.step.units.get(self.key.unit as usize);
        unit.is_some_and(|unit| unit.avoid.contains(worker))
    }
}

impl<'a> Board<'a> {
    /// Chooses a slot for each member of a unit; on one rack where the step asks for it and one has
    /// the room.
    fn choose(&self, now: TimeMs, request: &Request<'_>) -> Option<Vec<usize>> {
        if request.spec.gang && request.spec.rack_local {
            let mut racks: Vec<&str> = self.slots.iter().map(|slot| slot.worker.rack()).collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let inside = |slot: &Slot<'_>| slot.worker.rack() == rack;
                if let Some(chosen) = self.choose_among(now, request, inside) {
                    return Some(chosen);
                }
            }
        }
        self.choose_among(now, request, |_| true)
    }

    fn choose_among(
        &self,
        now: TimeMs,
        request: &Request<'_>,
        admits: impl Fn(&Slot<'_>) -> bool,
    ) -> Option<Vec<usize>> {
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..request.spec.unit_size() {
            let first = chosen.first().map(|&index| self.slots[index].worker);
            let zone = first.map(|worker| worker.entry.zone.as_str());
            let zone = zone.or(request.zone);
            let best = (0..)
                .zip(&self.slots)
                .filter_map(|(index, slot)| {
                    let beside = chosen.iter().filter(|other| **other == index).count();
                    let left = room_left(slot, &request.need, beside)?;
                    let fits = !slot.reserved && admits(slot) && request.allows(now, slot.worker);
                    if !fits || exceeds_spread(slot, request, beside) {
                        return None;
                    }
                    Some((preference(request, slot, &left, zone), index, slot))
                })
                .max_by_key(|(preference, _, slot)| {
                    (*preference, Reverse(&slot.worker.entry.worker))
                })?;
            chosen.push(best.1);
        }
        Some(chosen)
    }

    /// Gives room on the slots to a unit.
    fn give(&mut self, request: &Request<'a>, chosen: &[usize]) -> Vec<id::WorkerId> {
        let mut workers = Vec::with_capacity(chosen.len());
        for &index in chosen {
            let slot = &mut self.slots[index];
            slot.free -= request.need;
            slot.serving += u32::from(request.spec.persistent);
            slot.filling += u32::from(request.spec.best_effort);
            slot.added.push(&request.key.step);
            self.last = Some((&request.key.step, &slot.worker.entry.zone));
            workers.push(slot.worker.entry.worker.clone());
        }
        workers
    }

    /// Keeps workers from work that comes after.
    fn reserve(&mut self, workers: &[id::WorkerId]) {
        for slot in &mut self.slots {
            slot.reserved |= workers.contains(&slot.worker.entry.worker);
        }
    }
}

/// What is left of a slot's room beside so many more members of the unit.
fn room_left(slot: &Slot<'_>, need: &Resources, beside: usize) -> Option<Resources> {
    let mut left = slot.free.checked_sub(need)?;
    for _ in 0..beside {
        left = left.checked_sub(need)?;
    }
    Some(left)
}

fn exceeds_spread(slot: &Slot<'_>, request: &Request<'_>, beside: usize) -> bool {
    let most = request.spec.max_per_worker as usize;
    most > 0 && slot.tasks_of(&request.key.step) + beside >= most
}

/// Preference of a slot on which so much is left; `zone` is that of the step's other tasks.
fn preference(
    request: &Request<'_>,
    slot: &Slot<'_>,
    left: &Resources,
    zone: Option<&str>,
) -> Preference {
    let spec = request.spec;
    let worker = slot.worker;
    let near = worker.matches(spec.affinity_rack.as_deref());
    let capacity = &worker.entry.capacity;
    let quiet = if spec.best_effort {
        slot.serving == 0
    } else if spec.persistent {
        slot.filling == 0
    } else {
        worker.entry.cold_left_ms == 0
    };
    let cost = if spec.best_effort {
        let share = per_mille(left.cpu_millicores, capacity.cpu_millicores);
        1_000 - share / (u64::from(slot.filling) + 1)
    } else if spec.persistent {
        1_000 - per_mille(left.cpu_millicores, capacity.cpu_millicores)
    } else {
        per_mille(left.cpu_millicores, capacity.cpu_millicores)
            + per_mille(left.memory_mib, capacity.memory_mib)
    };
    (
        slot.sound && !request.avoids(&worker.entry.worker),
        near,
        quiet,
        spec.persistent || zone.is_none_or(|zone| zone == worker.entry.zone),
        !spec.persistent && slot.added.contains(&&request.key.step),
        Reverse(u64::from(left.accelerators)),
        Reverse(cost),
    )
}

impl Pool {
    /// Assigns as much waiting work as fits.
    pub(super) fn place(&mut self, now: TimeMs) {
        if !self.placing_due {
            return;
        }
        self.placing_due = false;
        if self.waiting.is_empty() {
            return;
        }
        let decisions = self.decide(now);
        self.reservations = decisions.reservations;
        for (rank, key, workers) in decisions.assigned {
            self.waiting.remove(&(rank, key.clone()));
            if !rank.late {
                self.note_start_in_time();
            }
            self.assign(now, &key, &workers);
        }
    }

    fn decide(&self, now: TimeMs) -> Decisions {
        let mut board = self.board(now);
        let mut decisions = Decisions::default();
        // Units of one step follow each other.
        let mut blocked: Option<&StepKey> = None;
        for (rank, key) in &self.waiting {
            if blocked == Some(&key.step) {
                continue;
            }
            let Some(mut request) = self.request(key) else {
                continue;
            };
            if let Some((_, zone)) = board.last.filter(|(step, _)| *step == &key.step) {
                request.zone = Some(zone);
            }
            if let Some(chosen) = board.choose(now, &request) {
                let workers = board.give(&request, &chosen);
                decisions.assigned.push((*rank, key.clone(), workers));
                continue;
            }
            blocked = Some(&key.step);
            if request.spec.gang && decisions.reservations.len() < MOST_RESERVING_GANGS {
                let reservation = self.reservation(now, &board, &request);
                board.reserve(&reservation.workers);
                if !reservation.workers.is_empty() {
                    decisions.reservations.push(reservation);
                }
            }
        }
        decisions
    }

    fn board(&self, now: TimeMs) -> Board<'_> {
        let taking = self.workers.values().filter(|one| one.takes_work(now));
        let slots = taking.map(|worker| Slot {
            worker,
            free: worker.free(),
            sound: !worker.is_doubted(now) && !self.is_slow(now, worker),
            serving: worker.serving,
            filling: worker.filling,
            reserved: false,
            added: SmallVec::new(),
        });
        Board {
            slots: slots.collect(),
            last: None,
        }
    }

    pub(super) fn request<'a>(&'a self, key: &'a UnitKey) -> Option<Request<'a>> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.record.steps.get(key.step.step as usize)?;
        let step = job.step(&key.step)?;
        Some(Request {
            key,
            job,
            step,
            spec,
            need: spec.counted_need(),
            zone: self.zone_of(step),
        })
    }

    /// Zone of a task of a step that is assigned.
    fn zone_of(&self, step: &Step) -> Option<&str> {
        let mut members = step.units.iter().flat_map(|unit| &unit.members);
        let worker = members.find_map(|member| member.worker.as_ref())?;
        Some(&self.workers.get(worker)?.entry.zone)
    }

    pub(super) fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.record.steps.get(key.step as usize)
    }

    /// Assigns a unit's members; orders go out once this is durable.
    fn assign(&mut self, now: TimeMs, key: &UnitKey, workers: &[id::WorkerId]) {
        let Some(job) = self.jobs.get_mut(&key.step.job) else {
            return;
        };
        let record = Arc::clone(&job.record);
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
                worker.occupy(member, &record.steps[key.step.step as usize]);
            }
        }
        self.mark_dirty(&key.step.job);
    }

    /// The workers that will have room for a gang first; as chosen before if that was just now.
    fn reservation(&self, now: TimeMs, board: &Board<'_>, request: &Request<'_>) -> Reservation {
        let before = self
            .reservations
            .iter()
            .find(|one| one.unit == *request.key);
        if let Some(before) = before
            && now.since(before.chosen_at) < RESERVED_FOR
        {
            return before.clone();
        }
        let mut candidates: Vec<(TimeMs, &Worker, u32)> = board
            .slots
            .iter()
            .filter(|slot| !slot.reserved && request.need.fits_in(&slot.worker.entry.capacity))
            .filter(|slot| request.allows(now, slot.worker))
            .map(|slot| {
                let (at, count) = self.room_at(now, slot, &request.need);
                (at, slot.worker, count)
            })
            .collect();
        candidates.sort_by_key(|(at, worker, _)| (*at, &worker.entry.worker));
        let mut missing = request.spec.unit_size();
        let mut workers = Vec::new();
        for (_, worker, count) in candidates {
            if missing == 0 {
                break;
            }
            workers.push(worker.entry.worker.clone());
            missing = missing.saturating_sub(count.max(1));
        }
        Reservation {
            unit: request.key.clone(),
            chosen_at: now,
            workers,
        }
    }

    /// When a worker is expected to have room for one more task, and for how many then.
    fn room_at(&self, now: TimeMs, slot: &Slot<'_>, need: &Resources) -> (TimeMs, u32) {
        let mut ends: Vec<(TimeMs, Resources)> = slot
            .worker
            .tasks
            .iter()
            .map(|(key, task_need)| (self.expected_end(now, key), *task_need))
            .collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        let mut free = slot.free;
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
            SpanMs::from_secs(3_600)
        } else {
            SpanMs(self.estimates.expected_ms(&job.record.policy.queue, spec))
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
