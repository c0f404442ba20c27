//! Assigns waiting units to workers, most urgent first.
//!
//! A unit goes to the worker that it leaves fullest, so that whole workers stay free for large
//! tasks and gangs. Serving tasks go where they are disturbed least, and best-effort tasks go where
//! most processor time is left. A gang that does not fit keeps what it needs of workers that are
//! expected to have it when the gang can start; other work starts there if it is expected to end before,
//! or if it leaves what the gang needs. Tasks of one step stay on few workers of one availability zone
//! where they can, so that the loss of a worker or a zone holds up few jobs.
//!
//! A [`PlacementPass`] makes all decisions on a view of the workers that accept work, and the pool
//! changes only afterwards. Work that does not fit costs one comparison per worker.

use std::cmp::Reverse;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::collections::FastMap;
use crate::id;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::super::advice_hosts::RequestSize;
use super::super::job::{Job, MemberKey, Phase, Step, StepKey, Unit, UnitKey};
use super::super::rank::Rank;
use super::super::spec::StepSpec;
use super::super::start_calls::StartCalls;
use super::super::teams::account::BlockedWork;
use super::super::worker::Worker;
use super::progress::scaled;
use super::queueing::QueueEntry;
use super::row_rooms::RowRooms;
use super::teams::TeamRooms;
use super::ticket_requests::request_size;
use super::{Note, Pool};

/// Maximum number of gangs that may reserve workers at one time.
const MAX_RESERVING_GANGS: usize = 3;
/// Time after which the workers reserved for a gang are chosen again; the ends of runs within it
/// hardly change the choice.
const RESERVATION_LIFETIME: SpanMs = SpanMs(100);
/// Maximum time until the expected start of a gang for which workers are kept free.
const MAX_RESERVATION_WAIT: SpanMs = SpanMs(60_000);
/// Number of standard deviations above the median of a run time that work must have until a gang's
/// expected start to run on a worker that is kept for it.
const BACKFILL_DEVIATIONS: f64 = 1.0;
/// Time for which work waits for the start of a gang while most of the room is free; with the time that
/// a start takes it is below 3 s.
const MAX_WAIT_FOR_GANG: SpanMs = SpanMs(2_500);
/// Time after a gang's acceptance from which work is accepted that waits for the gang in any case, so
/// that no gang starves.
const MAX_PASSED_TIME: SpanMs = SpanMs(30_000);
/// Divisor of the age of a run beyond its expected end that gives the time for which it is expected to
/// go on.
const OVERRUN_DIVISOR: u64 = 4;

/// Maximum number of workers that are kept free of new runs in one pass, so that suspected tasks can
/// be tried there.
const MAX_TRIAL_RESERVATIONS: usize = 2;

/// Preference among workers that fit; the highest is taken. The parts are, most important first:
/// healthy and not avoided, fewest runs at stake beside a suspected task, no ticket to request first,
/// in the affinity rack, of the speed that suits the work, undisturbed, in the zone of the step's other tasks, already chosen for the
/// step in this pass, fewest accelerators left, lowest cost.
type Preference = (
    bool,
    Reverse<usize>,
    bool,
    bool,
    i8,
    bool,
    bool,
    bool,
    Reverse<u64>,
    Reverse<u64>,
);

/// Workers that are reserved for a waiting gang.
#[derive(Clone, Debug)]
pub(super) struct Reservation {
    unit: UnitKey,
    chosen_at: TimeMs,
    /// Time at which the gang is expected to start.
    starts_at: TimeMs,
    /// The workers, with the resources that the gang will leave there.
    workers: Vec<(id::WorkerId, Resources)>,
}

impl Reservation {
    pub(super) fn workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        self.workers.iter().map(|(worker, _)| worker)
    }
}

/// What a slot is kept for.
#[derive(Clone, Copy, Debug)]
struct Kept {
    /// Time at which the gang is expected to start.
    starts_at: TimeMs,
    /// Time of acceptance up to which other work may pass the gang.
    passed_until: TimeMs,
    /// Resources that the gang will leave.
    spare: Resources,
}

/// Decisions of a pass.
#[derive(Default)]
struct Decisions {
    /// Entry with which the turns of the next pass begin.
    next_turn: Option<QueueEntry>,
    assigned: Vec<(Rank, UnitKey, Vec<id::WorkerId>)>,
    reservations: Vec<Reservation>,
    /// Need of each team's units for which its share has no room.
    teams_blocked: FastMap<Arc<str>, BlockedWork>,
}

/// A worker that accepts work, as seen by a placement pass.
struct Slot<'a> {
    worker: &'a Worker,
    /// Free resources that the pass has not allocated.
    free: Resources,
    /// Whether the worker is neither slow nor a last resort after a failed run.
    healthy: bool,
    serving_tasks: u32,
    best_effort_tasks: u32,
    /// Whether nothing more may start here.
    reserved: bool,
    /// The gang for which the worker is reserved.
    kept: Option<Kept>,
    /// Whether the worker is in quarantine and may get one run, if no other worker could run it.
    probe: bool,
    /// Job whose suspected tasks are on trial here.
    trial_of: Option<&'a id::JobId>,
    /// Steps of the tasks that the pass has placed here.
    added: SmallVec<[&'a StepKey; 4]>,
}

impl Slot<'_> {
    /// Whether the trials here allow a unit to start.
    fn allows_trial(
        &self,
        is_quiet: impl Fn(&Worker) -> bool,
        request: &PlacementRequest<'_>,
    ) -> bool {
        match self.trial_of {
            Some(job) => request.needs_trial && *job == request.job.id,
            None => !request.needs_trial || (self.added.is_empty() && is_quiet(self.worker)),
        }
    }

    /// Whether the gang for which the slot is kept lets a unit start that has `already_here` other
    /// members here.
    fn lets_start(&self, now: TimeMs, request: &PlacementRequest<'_>, already_here: usize) -> bool {
        let Some(kept) = &self.kept else {
            return true;
        };
        let passes = request.may_pass_gangs
            && kept.starts_at > request.step.queued_at + MAX_WAIT_FOR_GANG
            && request.accepted_at() <= kept.passed_until;
        let leaves_enough = || {
            let members = u32::try_from(already_here + 1).unwrap_or(u32::MAX);
            request.need.times(members).fits_in(&kept.spare)
        };
        passes || leaves_enough() || self.ends_before_gang(now, request)
    }

    /// Whether a unit would end here before the gang starts for which the slot is kept.
    fn ends_before_gang(&self, now: TimeMs, request: &PlacementRequest<'_>) -> bool {
        let (Some(kept), Some(long_run)) = (&self.kept, request.long_run) else {
            return false;
        };
        let time_ms = scaled(long_run.0, 1.0 / self.worker.learned_speed.factor());
        now + SpanMs(time_ms) <= kept.starts_at
    }

    /// Returns the number of tasks of a step here.
    fn tasks_of(&self, step: &StepKey) -> usize {
        let assigned = self.worker.tasks.keys();
        let assigned = assigned.filter(|key| key.unit.step == *step).count();
        assigned + self.added.iter().filter(|added| **added == step).count()
    }
}

/// A slot whose worker may run a step.
#[derive(Clone, Copy)]
struct Candidate {
    /// Index of the slot.
    slot: usize,
    /// Whether there is a valid ticket for the worker, or none is needed.
    has_ticket: bool,
}

/// Numbers of ticket requests that may still be sent.
struct RequestsLeft {
    short: usize,
    long: usize,
}

impl RequestsLeft {
    const fn allow(&self, size: RequestSize) -> bool {
        match size {
            RequestSize::Short => self.short > 0,
            RequestSize::Long => self.long > 0,
        }
    }

    const fn take(&mut self, size: RequestSize) {
        match size {
            RequestSize::Short => self.short = self.short.saturating_sub(1),
            RequestSize::Long => self.long = self.long.saturating_sub(1),
        }
    }
}

/// Returns the size of the ticket requests for a job's steps.
fn size_of_requests(job: &Job) -> RequestSize {
    let policy = job.record.policy.advice.as_ref();
    policy.map_or(RequestSize::Short, request_size)
}

/// State of a placement pass over the workers that accept work.
struct PlacementPass<'a> {
    slots: Vec<Slot<'a>>,
    /// Index of each worker's slot.
    slot_of: FastMap<&'a id::WorkerId, usize>,
    /// Slots that may run the units of one step, for which its policy need not be asked again.
    candidates: Vec<Candidate>,
    /// The step of the candidates.
    candidates_of: Option<&'a StepKey>,
    /// Whether any slot is that of a worker in quarantine.
    has_probes: bool,
    /// Needs that no slot has the free resources for. Resources only become fewer during a pass, so
    /// a greater need fits nowhere either.
    unfit_needs: Vec<Resources>,
    /// Whether any slot is kept for a gang.
    has_kept: bool,
    /// Resources of all slots that are in use, and their capacity, once any slot is kept.
    used: Resources,
    capacity: Resources,
    /// Step and zone of the unit that was placed last.
    last_placed: Option<(&'a StepKey, &'a str)>,
    /// Number of steps for which the pass may still assign runs whose tickets are yet to be
    /// requested, by the size of the requests.
    ticket_requests_left: RequestsLeft,
    /// Step for which the pass last assigned such a run.
    last_requesting: Option<&'a StepKey>,
}

/// A unit to place, with the data of its job and step.
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each with its own meaning"
)]
pub(super) struct PlacementRequest<'a> {
    key: &'a UnitKey,
    pub(super) job: &'a Job,
    step: &'a Step,
    pub(super) spec: &'a StepSpec,
    pub(super) need: Resources,
    /// Zone of another task of the step, if one is assigned.
    zone: Option<&'a str>,
    /// Whether the unit may start on trial only.
    needs_trial: bool,
    /// Whether the unit may be tried on a worker in quarantine.
    may_probe: bool,
    /// Whether the unit may be assigned to an allowed worker before its ticket is requested.
    may_request_ticket: bool,
    /// Whether a worker of half the usual speed would make its job late.
    is_tight: bool,
    /// Time that a run takes at most, but for the longest; unset if it lasts, or if nothing depends on
    /// it.
    long_run: Option<SpanMs>,
    /// Whether most of the room is free, so that the unit need not wait for a gang that starts late.
    may_pass_gangs: bool,
}

impl PlacementRequest<'_> {
    /// Returns the time of the acceptance of the unit's job, or at which its occurrence was due.
    fn accepted_at(&self) -> TimeMs {
        self.job.began_at(self.key.step.occurrence)
    }

    /// Whether the worker may run the unit: it has the required label, and if the queue needs a
    /// ticket, there is a valid one for it or one may be requested.
    pub(super) fn allows(&self, now: TimeMs, worker: &Worker) -> bool {
        self.permits(worker) && (self.may_request_ticket || self.has_ticket(now, worker))
    }

    /// Returns the preference for a worker of this speed: fast ones for work that would be late otherwise,
    /// slow ones for other work, so that the fast ones stay free. Tasks that last have none.
    fn speed_preference(&self, worker: &Worker) -> i8 {
        let class = worker.learned_speed.class();
        match () {
            () if self.spec.persistent || self.spec.best_effort => 0,
            () if self.is_tight => class,
            () => -class,
        }
    }

    /// Returns the size of the ticket requests for the unit's step.
    fn request_size(&self) -> RequestSize {
        size_of_requests(self.job)
    }

    /// Returns what the unit takes of its team's cap.
    pub(super) fn total_need(&self) -> Resources {
        self.spec.need.times(self.spec.unit_size())
    }

    /// Whether the worker may be kept free for the unit. It is not for a unit whose tickets cannot
    /// be obtained.
    fn may_reserve(&self, now: TimeMs, worker: &Worker) -> bool {
        let obtainable = !self.step.tickets.are_unobtainable();
        self.permits(worker) && (obtainable || self.has_ticket(now, worker))
    }

    /// Whether the worker may run the unit once there is a valid ticket for it.
    fn permits(&self, worker: &Worker) -> bool {
        let needs_ticket = self.job.record.policy.advice.is_some();
        worker.matches(self.spec.constraint.as_deref())
            && (!needs_ticket || self.step.tickets.allows(&worker.entry.worker))
    }

    /// Whether there is a valid ticket for the worker, or none is needed.
    fn has_ticket(&self, now: TimeMs, worker: &Worker) -> bool {
        let needs_ticket = self.job.record.policy.advice.is_some();
        !needs_ticket || self.step.tickets.valid(&worker.entry.worker, now).is_some()
    }

    fn avoids(&self, worker: &id::WorkerId) -> bool {
        let unit = self.step.units.get(self.key.unit as usize);
        unit.is_some_and(|unit| unit.avoided_workers.contains(worker))
    }
}

impl<'a> PlacementPass<'a> {
    /// Whether a slot may have the free resources for one task; remembers a need that fits nowhere.
    fn may_fit(&mut self, need: &Resources) -> bool {
        if self.unfit_needs.iter().any(|unfit| unfit.fits_in(need)) {
            return false;
        }
        let fits = self.slots.iter().any(|slot| need.fits_in(&slot.free));
        if !fits {
            self.unfit_needs.retain(|unfit| !need.fits_in(unfit));
            self.unfit_needs.push(*need);
        }
        fits
    }

    /// Determines the candidates for a unit's step, unless it is the step of the last unit. Slots
    /// without room for one task are left out, since their free resources only become fewer.
    fn find_candidates(&mut self, now: TimeMs, request: &PlacementRequest<'a>) {
        let step = &request.key.step;
        if self.candidates_of == Some(step) {
            return;
        }
        self.candidates_of = Some(step);
        self.candidates.clear();
        let slots = &self.slots;
        let candidate = |index: usize| {
            let slot = &slots[index];
            let suitable = request.need.fits_in(&slot.free) && request.permits(slot.worker);
            suitable.then(|| Candidate {
                slot: index,
                has_ticket: request.has_ticket(now, slot.worker),
            })
        };
        if request.job.record.policy.advice.is_some() {
            // The policy allows far fewer workers than there are.
            let allowed = request.step.tickets.allowed_workers();
            let indices = allowed.filter_map(|worker| self.slot_of.get(worker).copied());
            self.candidates.extend(indices.filter_map(candidate));
        } else {
            self.candidates
                .extend((0..slots.len()).filter_map(candidate));
        }
    }

    /// Chooses a slot for each member of a unit; all on one rack if the step asks for it and one
    /// has the capacity.
    fn choose(
        &self,
        now: TimeMs,
        pool: &Pool,
        request: &PlacementRequest<'_>,
    ) -> Option<Vec<usize>> {
        if request.spec.gang && request.spec.rack_local {
            let mut racks: Vec<&str> = self.slots.iter().map(|slot| slot.worker.rack()).collect();
            racks.sort_unstable();
            racks.dedup();
            for rack in racks {
                let in_rack = |slot: &Slot<'_>| slot.worker.rack() == rack;
                if let Some(chosen) = self.choose_among(now, pool, request, in_rack) {
                    return Some(chosen);
                }
            }
        }
        self.choose_among(now, pool, request, |_| true)
    }

    fn choose_among(
        &self,
        now: TimeMs,
        pool: &Pool,
        request: &PlacementRequest<'_>,
        slot_allowed: impl Fn(&Slot<'_>) -> bool,
    ) -> Option<Vec<usize>> {
        let mut chosen: Vec<usize> = Vec::new();
        for _ in 0..request.spec.unit_size() {
            let first = chosen.first().map(|&index| self.slots[index].worker);
            let zone = first.map(|worker| worker.entry.zone.as_str());
            let zone = zone.or(request.zone);
            let best = self
                .candidates
                .iter()
                .filter_map(|candidate| {
                    let index = candidate.slot;
                    let slot = &self.slots[index];
                    let already_here = chosen.iter().filter(|other| **other == index).count();
                    let left = capacity_left(slot, &request.need, already_here)?;
                    let fits = !slot.reserved
                        && slot.lets_start(now, request, already_here)
                        && (!slot.probe || request.may_probe)
                        && slot_allowed(slot)
                        && slot.allows_trial(|worker| pool.is_quiet(worker), request)
                        && (candidate.has_ticket || request.may_request_ticket);
                    if !fits || exceeds_max_per_worker(slot, request, already_here) {
                        return None;
                    }
                    let preference = preference(request, *candidate, slot, &left, zone);
                    Some((preference, index, slot))
                })
                .max_by_key(|(preference, _, slot)| {
                    (*preference, Reverse(&slot.worker.entry.worker))
                })?;
            chosen.push(best.1);
        }
        Some(chosen)
    }

    /// Allocates resources on the chosen slots to a unit, and returns the workers.
    fn allocate(
        &mut self,
        now: TimeMs,
        request: &PlacementRequest<'a>,
        chosen: &[usize],
    ) -> Vec<id::WorkerId> {
        let has_ticket = |&index: &usize| request.has_ticket(now, self.slots[index].worker);
        let step = &request.key.step;
        if !chosen.iter().all(has_ticket) && self.last_requesting != Some(step) {
            self.ticket_requests_left.take(request.request_size());
            self.last_requesting = Some(step);
        }
        if self.has_kept {
            self.used += request.total_need();
        }
        let mut workers = Vec::with_capacity(chosen.len());
        for &index in chosen {
            let slot = &mut self.slots[index];
            slot.free -= request.need;
            if !slot.ends_before_gang(now, request)
                && let Some(kept) = &mut slot.kept
            {
                kept.spare -= request.need;
            }
            slot.serving_tasks += u32::from(request.spec.persistent);
            slot.best_effort_tasks += u32::from(request.spec.best_effort);
            slot.added.push(&request.key.step);
            slot.reserved |= slot.probe;
            if request.needs_trial {
                slot.trial_of = Some(&request.job.id);
            }
            self.last_placed = Some((&request.key.step, &slot.worker.entry.zone));
            workers.push(slot.worker.entry.worker.clone());
        }
        workers
    }

    /// Reserves the worker with the fewest runs that could run a suspected task once they have ended.
    /// Returns whether there is one.
    fn reserve_for_trial(&mut self, request: &PlacementRequest<'_>) -> bool {
        let slots = self.slots.iter_mut().filter(|slot| {
            !slot.reserved
                && slot.kept.is_none()
                && !slot.probe
                && slot.trial_of.is_none()
                && request.need.fits_in(&slot.worker.entry.capacity)
                && request.permits(slot.worker)
        });
        let fewest_runs = slots.min_by_key(|slot| {
            let runs = slot.worker.tasks.len() + slot.added.len();
            (runs, &slot.worker.entry.worker)
        });
        let Some(slot) = fewest_runs else {
            return false;
        };
        slot.reserved = true;
        true
    }

    /// Keeps workers for a gang, so that the pass places no later work on them that would delay it.
    fn keep(&mut self, reservation: &Reservation, gang: &PlacementRequest<'_>) {
        if !self.has_kept {
            self.has_kept = true;
            for slot in &self.slots {
                let capacity = slot.worker.entry.capacity;
                self.used += capacity - slot.free;
                self.capacity += capacity;
            }
        }
        for (worker, spare) in &reservation.workers {
            let slot = self
                .slot_of
                .get(worker)
                .map(|&index| &mut self.slots[index]);
            let Some(slot) = slot.filter(|slot| slot.kept.is_none()) else {
                continue;
            };
            slot.kept = Some(Kept {
                starts_at: reservation.starts_at,
                passed_until: gang.accepted_at() + MAX_PASSED_TIME,
                spare: *spare,
            });
        }
    }

    /// Takes what the pass has placed on the workers of a reservation off what the gang will leave.
    fn update_spare(&self, reservation: &mut Reservation) {
        for (worker, spare) in &mut reservation.workers {
            let slot = self.slot_of.get(&*worker).map(|&index| &self.slots[index]);
            if let Some(kept) = slot.and_then(|slot| slot.kept) {
                *spare = kept.spare;
            }
        }
    }

    /// Whether at least half of each resource is free.
    fn is_half_free(&self) -> bool {
        self.used.times(2).fits_in(&self.capacity)
    }
}

/// Returns what remains of a slot's free resources after one more member of a unit, if
/// `already_here` members of it are already placed here; `None` if it does not fit.
fn capacity_left(slot: &Slot<'_>, need: &Resources, already_here: usize) -> Option<Resources> {
    let mut left = slot.free.checked_sub(need)?;
    for _ in 0..already_here {
        left = left.checked_sub(need)?;
    }
    Some(left)
}

fn exceeds_max_per_worker(
    slot: &Slot<'_>,
    request: &PlacementRequest<'_>,
    already_here: usize,
) -> bool {
    let max = request.spec.max_per_worker as usize;
    max > 0 && slot.tasks_of(&request.key.step) + already_here >= max
}

/// Returns the preference of a slot on which `left` would remain; `zone` is that of the step's
/// other tasks.
fn preference(
    request: &PlacementRequest<'_>,
    candidate: Candidate,
    slot: &Slot<'_>,
    left: &Resources,
    zone: Option<&str>,
) -> Preference {
    let spec = request.spec;
    let worker = slot.worker;
    let in_affinity_rack = worker.matches(spec.affinity_rack.as_deref());
    let capacity = &worker.entry.capacity;
    let undisturbed = if spec.best_effort {
        slot.serving_tasks == 0
    } else if spec.persistent {
        slot.best_effort_tasks == 0
    } else {
        worker.entry.cold_left_ms == 0
    };
    let cost = if spec.best_effort {
        let share = per_mille(left.cpu_millicores, capacity.cpu_millicores);
        1_000 - share / (u64::from(slot.best_effort_tasks) + 1)
    } else if spec.persistent {
        1_000 - per_mille(left.cpu_millicores, capacity.cpu_millicores)
    } else {
        per_mille(left.cpu_millicores, capacity.cpu_millicores)
            + per_mille(left.memory_mib, capacity.memory_mib)
    };
    let runs_at_stake = if request.needs_trial {
        worker.tasks.len()
    } else {
        0
    };
    (
        slot.healthy && !request.avoids(&worker.entry.worker),
        Reverse(runs_at_stake),
        candidate.has_ticket,
        in_affinity_rack,
        request.speed_preference(worker),
        undisturbed,
        spec.persistent || zone.is_none_or(|zone| zone == worker.entry.zone),
        !spec.persistent && slot.added.contains(&&request.key.step),
        Reverse(u64::from(left.accelerators)),
        Reverse(cost),
    )
}

impl Pool {
    /// Assigns all waiting units that fit.
    pub(super) fn place(&mut self, now: TimeMs) {
        if !self.placing_due {
            return;
        }
        self.placing_due = false;
        if self.waiting.is_empty() {
            self.set_teams_blocked(&FastMap::default());
            return;
        }
        let decisions = self.decide(now);
        self.reservations = decisions.reservations;
        self.set_teams_blocked(&decisions.teams_blocked);
        // What was not looked at has its turn in the next pass.
        self.placing_due = decisions.next_turn.is_some();
        self.placing_turn = decisions.next_turn;
        for (rank, key, workers) in decisions.assigned {
            self.remove_waiting(&(rank, key.clone()));
            if !rank.late {
                self.earn_expedite_credit();
            }
            self.count_unit(&key);
            self.assign(now, &key, &workers);
        }
    }

    fn decide(&self, now: TimeMs) -> Decisions {
        let mut pass = self.begin_pass(now);
        let window = self.queue_window(self.placing_turn.as_ref());
        let mut decisions = Decisions {
            next_turn: window.next_turn,
            ..Decisions::default()
        };
        // The units of one step follow each other in the queue, so it is enough to
        // remember the last step that did not fit.
        let mut blocked_step: Option<&StepKey> = None;
        let mut team_rooms = TeamRooms::default();
        let mut row_rooms = RowRooms::default();
        let mut last_judged: Option<(&StepKey, bool)> = None;
        let mut trial_reservations = 0;
        for (rank, key) in window.entries {
            if blocked_step == Some(&key.step) {
                continue;
            }
            let Some(mut request) = self.placement_request(now, key) else {
                continue;
            };
            if !row_rooms.admits(self, &request) || !team_rooms.admits(self, &request) {
                continue;
            }
            if let Some((_, zone)) = pass.last_placed.filter(|(step, _)| *step == &key.step) {
                request.zone = Some(zone);
            }
            request.may_request_ticket &= pass.ticket_requests_left.allow(request.request_size())
                || pass.last_requesting == Some(&key.step);
            let judged = last_judged.filter(|(step, _)| *step == &key.step);
            request.is_tight =
                judged.map_or_else(|| self.is_tight(now, &key.step), |(_, tight)| tight);
            last_judged = Some((&key.step, request.is_tight));
            if pass.has_kept {
                request.long_run = self.long_run(&request);
                request.may_pass_gangs = pass.is_half_free();
            }
            let may_fit = pass.may_fit(&request.need);
            if may_fit {
                pass.find_candidates(now, &request);
            }
            let mut chosen = may_fit.then(|| pass.choose(now, self, &request)).flatten();
            if chosen.is_none()
                && may_fit
                && pass.has_probes
                && self.only_quarantined_fit(now, &request)
            {
                request.may_probe = true;
                chosen = pass.choose(now, self, &request);
            }
            if let Some(chosen) = chosen {
                team_rooms.take(&request);
                row_rooms.take(self, &request);
                let workers = pass.allocate(now, &request, &chosen);
                decisions.assigned.push((*rank, key.clone(), workers));
                continue;
            }
            blocked_step = Some(&key.step);
            if request.needs_trial && trial_reservations < MAX_TRIAL_RESERVATIONS {
                trial_reservations += usize::from(pass.reserve_for_trial(&request));
            }
            if request.spec.gang && decisions.reservations.len() < MAX_RESERVING_GANGS {
                let reservation = self.reservation(now, &pass, &request);
                if !reservation.workers.is_empty() {
                    pass.keep(&reservation, &request);
                    decisions.reservations.push(reservation);
                }
            }
        }
        for reservation in &mut decisions.reservations {
            pass.update_spare(reservation);
        }
        decisions.teams_blocked = team_rooms.into_blocked();
        decisions
    }

    /// Whether a worker of half the usual speed would make a step's job late. Work that is late already
    /// should end soon as well.
    fn is_tight(&self, now: TimeMs, step: &StepKey) -> bool {
        self.rank_of(now, step).is_some_and(|(_, deadlines)| {
            now + deadlines.remaining + deadlines.remaining > deadlines.due_at
        })
    }

    /// Returns the time that a run of a unit takes at most, but for the longest; none if it lasts.
    fn long_run(&self, request: &PlacementRequest<'_>) -> Option<SpanMs> {
        let queue = &request.job.record.policy.queue;
        let forecast = self.estimates.forecast(queue, request.spec);
        let long_run = SpanMs(forecast.above_median_ms(BACKFILL_DEVIATIONS));
        (!request.spec.persistent).then_some(long_run)
    }

    fn begin_pass(&self, now: TimeMs) -> PlacementPass<'_> {
        let accepting = self.workers.values().filter_map(|worker| {
            let probe = worker.accepts_probe(now);
            (probe || worker.accepts_work(now)).then_some((worker, probe))
        });
        let slots = accepting.map(|(worker, probe)| Slot {
            worker,
            probe,
            free: worker.free(),
            healthy: !worker.is_last_resort(now) && !self.is_slow(now, worker),
            serving_tasks: worker.serving_tasks,
            best_effort_tasks: worker.best_effort_tasks,
            reserved: false,
            kept: None,
            trial_of: worker.trial.as_ref(),
            added: SmallVec::new(),
        });
        let unrequested = self.steps_lacking_tickets.iter().filter(|key| {
            let step = self.step(key);
            step.is_some_and(|step| step.tickets.requested_at.is_none())
        });
        let mut ticket_requests_left = RequestsLeft {
            short: self.ticket_requests.left(RequestSize::Short),
            long: self.ticket_requests.left(RequestSize::Long),
        };
        for key in unrequested {
            if let Some(job) = self.jobs.get(&key.job) {
                ticket_requests_left.take(size_of_requests(job));
            }
        }
        let slots: Vec<Slot<'_>> = slots.collect();
        let workers = slots.iter().map(|slot| &slot.worker.entry.worker);
        PlacementPass {
            slot_of: workers.zip(0..).collect(),
            candidates: Vec::new(),
            candidates_of: None,
            has_probes: slots.iter().any(|slot| slot.probe),
            unfit_needs: Vec::new(),
            has_kept: false,
            used: Resources::ZERO,
            capacity: Resources::ZERO,
            slots,
            last_placed: None,
            ticket_requests_left,
            last_requesting: None,
        }
    }

    /// Whether every worker that could run a unit once its tasks have ended is in quarantine.
    fn only_quarantined_fit(&self, now: TimeMs, request: &PlacementRequest<'_>) -> bool {
        let mut fitting = self.workers.values().filter(|worker| {
            !worker.ended
                && !worker.entry.draining
                && worker.missing_since.is_none()
                && request.need.fits_in(&worker.entry.capacity)
                && request.permits(worker)
        });
        fitting.all(|worker| worker.is_quarantined(now))
    }

    pub(super) fn placement_request<'a>(
        &'a self,
        now: TimeMs,
        key: &'a UnitKey,
    ) -> Option<PlacementRequest<'a>> {
        let job = self.jobs.get(&key.step.job)?;
        let spec = job.record.steps.get(key.step.step as usize)?;
        let step = job.step(&key.step)?;
        Some(PlacementRequest {
            key,
            job,
            step,
            spec,
            need: spec.counted_need(),
            zone: self.zone_of(step),
            needs_trial: job.unit(key).is_some_and(Unit::needs_trial),
            may_probe: false,
            may_request_ticket: step.tickets.may_assign_first(now),
            is_tight: false,
            long_run: None,
            may_pass_gangs: false,
        })
    }

    /// Returns the zone of one assigned task of a step.
    fn zone_of(&self, step: &Step) -> Option<&str> {
        let mut members = step.units.iter().flat_map(|unit| &unit.members);
        let worker = members.find_map(|member| member.worker.as_ref())?;
        Some(&self.workers.get(worker)?.entry.zone)
    }

    pub(super) fn step_spec(&self, key: &StepKey) -> Option<&StepSpec> {
        let job = self.jobs.get(&key.job)?;
        job.record.steps.get(key.step as usize)
    }

    /// Assigns a unit's members in memory; orders are sent once the assignment is durable.
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
        let needs_trial = unit.needs_trial();
        for (member, worker) in unit.members.iter_mut().zip(workers) {
            member.worker = Some(worker.clone());
            let state = self.workers.get(worker);
            member.born_ms = state.and_then(|worker| worker.entry.born_ms);
            member.phase = Phase::Planned;
            member.phase_since = now;
            member.start_calls = StartCalls::default();
            member.pace_percent = 100;
            member.over_target_since = None;
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
            self.count_assigned(now, &record, &member);
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.add_task(member, &record.steps[key.step.step as usize]);
                if worker.is_quarantined(now) {
                    worker.note_probe();
                }
                if needs_trial {
                    worker.trial = Some(key.step.job.clone());
                }
            }
        }
        if record.policy.advice.is_some() {
            self.steps_lacking_tickets.insert(key.step.clone());
        }
        self.mark_dirty(&key.step.job);
    }

    /// Returns the reservation for a gang, with no workers if they are not expected to have capacity for
    /// it soon; a recent reservation is kept. Of the workers that are expected to have capacity when the
    /// gang can start, those are taken that have it last, so that other work can use the rest until then.
    fn reservation(
        &self,
        now: TimeMs,
        pass: &PlacementPass<'_>,
        request: &PlacementRequest<'_>,
    ) -> Reservation {
        let previous = self
            .reservations
            .iter()
            .find(|reservation| reservation.unit == *request.key);
        if let Some(previous) = previous
            && now.since(previous.chosen_at) < RESERVATION_LIFETIME
        {
            return previous.clone();
        }
        let mut candidates: Vec<(TimeMs, &Slot<'_>, u32)> = pass
            .slots
            .iter()
            .filter(|slot| !slot.reserved && slot.kept.is_none())
            .filter(|slot| request.need.fits_in(&slot.worker.entry.capacity))
            .filter(|slot| request.may_reserve(now, slot.worker))
            .map(|slot| {
                let (at, count) = self.expected_capacity(now, slot, request);
                (at, slot, count)
            })
            .collect();
        candidates.sort_by_key(|(at, slot, _)| (*at, &slot.worker.entry.worker));
        let mut unassigned_members = request.spec.unit_size();
        let mut starts_at = now;
        for (at, _, count) in &candidates {
            if unassigned_members == 0 || *at > now + MAX_RESERVATION_WAIT {
                break;
            }
            starts_at = *at;
            unassigned_members = unassigned_members.saturating_sub((*count).max(1));
        }
        let mut workers = Vec::new();
        if unassigned_members == 0 {
            unassigned_members = request.spec.unit_size();
            let until_start = candidates.iter().filter(|(at, _, _)| *at <= starts_at);
            for (_, slot, _) in until_start.rev() {
                if unassigned_members == 0 {
                    break;
                }
                let free = self.expected_free(now, slot, starts_at);
                let members = members_in(&free, &request.need, unassigned_members).max(1);
                let spare = free - request.need.times(members);
                workers.push((slot.worker.entry.worker.clone(), spare));
                unassigned_members -= members;
            }
        }
        Reservation {
            unit: request.key.clone(),
            chosen_at: now,
            starts_at,
            workers,
        }
    }

    /// Returns when the runs on a worker are expected to end, in this order, and what they need.
    fn expected_ends(&self, now: TimeMs, worker: &Worker) -> Vec<(TimeMs, Resources)> {
        let ends = worker.tasks.iter();
        let ends = ends.map(|(key, need)| (self.expected_end(now, key), *need));
        let mut ends: Vec<(TimeMs, Resources)> = ends.collect();
        ends.sort_unstable_by_key(|(at, _)| *at);
        ends
    }

    /// Returns when a worker is expected to have capacity for one more member of a gang, and for how
    /// many then.
    fn expected_capacity(
        &self,
        now: TimeMs,
        slot: &Slot<'_>,
        request: &PlacementRequest<'_>,
    ) -> (TimeMs, u32) {
        let need = &request.need;
        let max = request.spec.unit_size();
        if need.fits_in(&slot.free) {
            return (now, members_in(&slot.free, need, max));
        }
        let mut free = slot.free;
        // Of a capacity that has shrunk, ended runs free only what exceeds the lack.
        let mut lacking = slot.worker.used - slot.worker.entry.capacity;
        let mut at = now;
        for (end, task_need) in self.expected_ends(now, slot.worker) {
            if need.fits_in(&free) {
                break;
            }
            free += task_need - lacking;
            lacking -= task_need;
            at = end;
        }
        (at, members_in(&free, need, max))
    }

    /// Returns the resources of a worker that are expected to be free at a time.
    fn expected_free(&self, now: TimeMs, slot: &Slot<'_>, at: TimeMs) -> Resources {
        let mut free = slot.free;
        let mut lacking = slot.worker.used - slot.worker.entry.capacity;
        let ends = self.expected_ends(now, slot.worker);
        for (_, task_need) in ends.iter().take_while(|(end, _)| *end <= at) {
            free += *task_need - lacking;
            lacking -= *task_need;
        }
        free
    }

    /// Returns a usual run time as the worker of a member takes it.
    fn on_worker(&self, usual: SpanMs, job: &Job, key: &MemberKey) -> SpanMs {
        let member = job.unit(&key.unit);
        let member = member.and_then(|unit| unit.members.get(key.member as usize));
        let worker = member.and_then(|member| self.workers.get(member.worker.as_ref()?));
        worker.map_or(usual, |worker| {
            SpanMs(scaled(usual.0, 1.0 / worker.learned_speed.factor()))
        })
    }

    /// Returns when a member is expected to end, by the estimate of its run time. A run that goes on
    /// beyond it is expected to do so for a part of its age.
    pub(super) fn expected_end(&self, now: TimeMs, key: &MemberKey) -> TimeMs {
        let Some(job) = self.jobs.get(&key.unit.step.job) else {
            return now;
        };
        let spec = &job.record.steps[key.unit.step.step as usize];
        let estimate = if spec.persistent {
            SpanMs::from_secs(3_600)
        } else {
            let queue = &job.record.policy.queue;
            self.on_worker(SpanMs(self.estimates.expected_ms(queue, spec)), job, key)
        };
        let phase_since = job
            .unit(&key.unit)
            .map_or(now, |unit| unit.members[key.member as usize].phase_since);
        let expected_end = phase_since + estimate;
        if expected_end > now {
            expected_end
        } else {
            now + SpanMs(now.since(phase_since).0 / OVERRUN_DIVISOR)
        }
    }
}

/// Returns how many members of a gang fit into free resources, at most `max`.
fn members_in(free: &Resources, need: &Resources, max: u32) -> u32 {
    let mut free = *free;
    let mut members = 0;
    while members < max
        && let Some(left) = free.checked_sub(need)
    {
        free = left;
        members += 1;
    }
    members
}

fn per_mille(part: u64, whole: u64) -> u64 {
    part.saturating_mul(1_000)
        .checked_div(whole)
        .unwrap_or_default()
}
