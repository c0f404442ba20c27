//! A job in the leader's memory: its units, the workers of their members, and their progress.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::id;
use crate::time::TimeMs;

use super::crash_evidence::CrashEvidence;
use super::message;
use super::range_set::RangeSet;
use super::rank;
use super::record::{self, RowFormat};
use super::spec;
use super::start_calls::StartCalls;
use super::tickets;

mod row;

pub use row::unit_bytes;

/// Number of units of a repeating job that wait to be placed from which no further occurrence begins.
const MAX_WAITING_UNITS: u32 = 256;
/// Identifies a step of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: id::JobId,
    /// Number of the occurrence.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
}

impl std::fmt::Display for StepKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifies a unit: a task, or all tasks of a gang.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UnitKey {
    /// Its step.
    pub step: StepKey,
    /// Its index in the step; zero for a gang.
    pub unit: u32,
}

/// Identifies a member of a unit: one task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemberKey {
    /// Its unit.
    pub unit: UnitKey,
    /// Its index in the unit; zero where the unit is one task.
    pub member: u32,
}

impl MemberKey {
    /// Returns the name of the task in orders.
    #[must_use]
    pub fn task_name(&self) -> message::TaskName {
        message::TaskName {
            job: self.unit.step.job.clone(),
            occurrence: self.unit.step.occurrence,
            step: self.unit.step.step,
            // For a gang the unit index is zero, otherwise the member index is.
            index: self.unit.unit + self.member,
        }
    }
}

/// Phase of a member's assignment to a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Assigned to no worker.
    #[default]
    Free,
    /// Assigned in memory only.
    Planned,
    /// The assignment is in the commit in flight.
    Writing,
    /// The assignment is durable; no start order is in flight.
    Bound,
    /// The start order is in flight.
    Ordered,
    /// The worker has confirmed the run.
    Running,
    /// A stop order is due or in flight.
    Stopping,
    /// The worker has confirmed the stop, but has not listed the end yet.
    Stopped,
}

impl Phase {
    /// Whether the member is assigned and its start order is still to be sent.
    #[must_use]
    pub const fn is_before_order(self) -> bool {
        matches!(self, Self::Planned | Self::Writing | Self::Bound)
    }
}

/// One task of a unit.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Worker to which it is assigned.
    pub worker: Option<id::WorkerId>,
    /// Start of the life of the worker to which it is assigned, if the platform says it.
    pub born_ms: Option<u64>,
    /// Its phase.
    pub phase: Phase,
    /// Time of the last phase change.
    pub phase_since: TimeMs,
    /// Time at which the worker last confirmed the run or its stop; only a poll sent later shows
    /// whether the run is there.
    pub confirmed_at: TimeMs,
    /// Time at which the worker confirmed that the run has started.
    pub started_at: Option<TimeMs>,
    /// Evidence that the task crashes the workers that start it.
    pub crash_evidence: CrashEvidence,
    /// The calls of the start orders for this run.
    pub start_calls: StartCalls,
    /// Last confirmed share of full speed, in percent.
    pub pace_percent: u32,
    /// Time and percentage from which the run's progress is measured.
    pub progress_mark: (TimeMs, u32),
    /// Time since which it has continuously exceeded its target latency.
    pub over_target_since: Option<TimeMs>,
}

/// A task, or all tasks of a gang: what is placed as a whole.
#[derive(Clone, Debug, Default)]
pub struct Unit {
    /// Whether it has ended as done.
    pub done: bool,
    /// Number of the last run that was bound.
    pub run: u32,
    /// Numbers of the runs that ended as failed, each once.
    pub failed_runs: SmallVec<[u32; 4]>,
    /// Last checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Its tasks.
    pub members: Vec<Member>,
    /// Workers on which a run failed or was too slow.
    pub avoided_workers: SmallVec<[id::WorkerId; 2]>,
    /// Number of times that it was preempted.
    pub preemptions: u32,
    /// Whether the current run is being aborted, so that all members have to end before the next
    /// run.
    pub aborting: bool,
}

impl Unit {
    /// Whether no member is assigned.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.members.iter().all(|member| member.worker.is_none())
    }

    /// Whether it was never bound to a worker.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        self.run == 0 && !self.done && self.is_free()
    }

    /// Returns the workers of the members that are assigned and not ordered.
    pub fn unordered_workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        let members = self.members.iter();
        let unordered = members.filter(|member| member.phase.is_before_order());
        unordered.filter_map(|member| member.worker.as_ref())
    }

    /// Whether a member is assigned in memory only.
    #[must_use]
    pub fn has_planned_member(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.phase == Phase::Planned)
    }

    /// Whether members are assigned and no start order was sent for any of them.
    #[must_use]
    pub fn is_unordered(&self) -> bool {
        let mut assigned = self.members.iter().filter(|member| member.worker.is_some());
        !self.is_free()
            && assigned
                .all(|member| member.phase.is_before_order() && !member.start_calls.is_open())
    }

    /// Whether it may start on trial only, since one of its tasks is suspected to crash workers.
    #[must_use]
    pub fn needs_trial(&self) -> bool {
        let mut members = self.members.iter();
        members.any(|member| member.crash_evidence.needs_trial())
    }

    /// Whether it waits to be placed.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.done && self.is_free()
    }
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Its units.
    pub units: Vec<Unit>,
    /// Number of units that are not done.
    pub open_units: u32,
    /// Whether all steps that it depends on are done, so that its units may be placed.
    pub ready: bool,
    /// Workers that its queue's policy allows.
    pub tickets: tickets::StepTickets,
    /// Time at which its units were first queued.
    pub queued_at: TimeMs,
    /// Whether it is late but ranked with work that can be on time, since its result would soon be
    /// useless.
    pub expedited: bool,
    /// Rank under which its waiting units are queued.
    pub rank: rank::Rank,
    /// Time since which units have waited although workers have room for one.
    pub blocked_since: Option<TimeMs>,
}

/// One execution of all steps of a job.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<Step>,
    /// Whether all steps are done.
    pub done: bool,
}

impl Occurrence {
    /// Whether there is nothing to remember of it: no unit was ever bound.
    #[must_use]
    pub fn is_untouched(&self) -> bool {
        let mut units = self.steps.iter().flat_map(|step| &step.units);
        !self.done && units.all(Unit::is_untouched)
    }

    /// Whether no member of any unit is assigned.
    #[must_use]
    pub fn is_free(&self) -> bool {
        let mut units = self.steps.iter().flat_map(|step| &step.units);
        units.all(Unit::is_free)
    }
}

/// Reason for which an occurrence that is due has not begun.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum OccurrenceDelay {
    /// Units of earlier occurrences wait to be placed.
    Placement,
    /// The job's row has no room for one more.
    Row,
}

/// Whether the row of a job is too large for the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowOverflow {
    /// Whether it was too large to be written, so that no more units are placed until it has become
    /// smaller.
    pub is_full: bool,
    /// Time at which it was last reported.
    pub reported_at: Option<TimeMs>,
}

/// Another pool that runs units of a job for its home.
#[derive(Clone, Debug)]
pub struct Delegate {
    /// Its name.
    pub pool: String,
    /// Whether it is known to have accepted the job durably.
    pub accepted: bool,
    /// State in which its part has ended.
    pub end: Option<record::JobState>,
    /// Whether an order to it is in flight.
    pub in_flight: bool,
    /// Time at which the next order is due.
    pub due_at: TimeMs,
}

/// A job that the pool has not removed.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identifier.
    pub id: id::JobId,
    /// Job as accepted.
    pub record: Arc<spec::JobRecord>,
    /// Occurrences that have begun and not ended, by their number.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Occurrences of which all tasks are done and no member is assigned any more.
    ended_occurrences: RangeSet,
    /// Number from which the next occurrence to begin is looked for.
    next_occurrence: u32,
    /// Number of units of each step that wait to be placed.
    pub waiting_units: Vec<u32>,
    /// Time at which it was last reported that occurrences begin late.
    pub delay_reported_at: Option<TimeMs>,
    /// What is known of its row being too large.
    pub row_overflow: RowOverflow,
    /// Whether a task has started.
    pub begun: bool,
    /// Whether its acceptance is durable. Before that its units may be planned, but no order is
    /// sent.
    pub accepted: bool,
    /// Final state, set once no more of its tasks may start.
    pub end: Option<record::JobState>,
    /// Whether the end is durable.
    pub end_durable: bool,
    /// Unix time minus the reading of this host's steady clock, in milliseconds.
    epoch_offset_ms: u64,
    /// Time at which this leader learned of it.
    pub known_at: TimeMs,
    /// The part of it that this pool runs.
    share: spec::Share,
    /// The other pools to which this pool hands it over.
    pub delegates: Vec<Delegate>,
}

impl Job {
    /// Returns a job of which no task has started, as the pool of this name has it.
    #[must_use]
    pub fn new(
        id: id::JobId,
        record: Arc<spec::JobRecord>,
        now: TimeMs,
        epoch_offset_ms: u64,
        pool: &str,
    ) -> Self {
        let delegates = record.delegates_of(pool).map(|pool| Delegate {
            pool: pool.to_owned(),
            accepted: false,
            end: None,
            in_flight: false,
            due_at: now,
        });
        Self {
            delegates: delegates.collect(),
            share: record.share_of(pool),
            id,
            waiting_units: vec![0; record.steps.len()],
            record,
            occurrences: BTreeMap::new(),
            ended_occurrences: RangeSet::default(),
            next_occurrence: 0,
            delay_reported_at: None,
            row_overflow: RowOverflow::default(),
            begun: false,
            accepted: true,
            end: None,
            end_durable: false,
            epoch_offset_ms,
            known_at: now,
        }
    }

    /// Whether this pool runs no unit of it.
    #[must_use]
    pub fn runs_nothing_here(&self) -> bool {
        self.share == spec::Share::Nothing
    }

    /// Whether the parts that other pools run have ended.
    #[must_use]
    pub fn has_ended_elsewhere(&self) -> bool {
        self.delegates.iter().all(|delegate| delegate.end.is_some())
    }

    /// Returns another pool that runs units of it.
    pub fn delegate_mut(&mut self, pool: &str) -> Option<&mut Delegate> {
        let mut delegates = self.delegates.iter_mut();
        delegates.find(|delegate| delegate.pool == pool)
    }

    /// Whether it has ended as far as this pool's own part goes, or there is none.
    #[must_use]
    pub fn is_done_here(&self) -> bool {
        if self.runs_nothing_here() {
            return true;
        }
        let mut begun = self.occurrences.values();
        let known = self.ended_occurrences.count() + self.occurrences.len() as u64;
        known >= u64::from(self.occurrence_count()) && begun.all(|occurrence| occurrence.done)
    }

    /// Returns the next occurrence to begin; `None` if all have begun.
    pub fn next_occurrence(&mut self) -> Option<u32> {
        let count = self.occurrence_count();
        while self.next_occurrence < count {
            let number = self.ended_occurrences.first_missing(self.next_occurrence);
            self.next_occurrence = number;
            if !self.occurrences.contains_key(&number) {
                break;
            }
            self.next_occurrence = number.saturating_add(1);
        }
        (self.next_occurrence < count).then_some(self.next_occurrence)
    }

    /// Returns the reason for which no further occurrence may begin yet, if there is one. A job has only
    /// as many at once as its row holds, and as many units waiting as one placement pass may place.
    #[must_use]
    pub fn occurrence_delay(
        &self,
        max_row_bytes: usize,
        format: RowFormat,
    ) -> Option<OccurrenceDelay> {
        if self.occurrences.is_empty() {
            return None;
        }
        let initial = self.record.steps.iter().zip(&self.waiting_units);
        let mut initial = initial.filter(|(step, _)| step.after.is_empty());
        if initial.all(|(_, &waiting)| waiting >= MAX_WAITING_UNITS) {
            return Some(OccurrenceDelay::Placement);
        }
        let fits = self.row_holds_one_more(max_row_bytes, format);
        (!fits).then_some(OccurrenceDelay::Row)
    }

    fn units(&self) -> impl Iterator<Item = &Unit> {
        let occurrences = self.occurrences.values();
        let steps = occurrences.flat_map(|occurrence| &occurrence.steps);
        steps.flat_map(|step| &step.units)
    }

    /// Begins an occurrence.
    pub fn begin_occurrence(&mut self, number: u32) {
        let occurrence = self.new_occurrence();
        self.occurrences.insert(number, occurrence);
    }

    /// Whether a job that does not repeat has neither begun nor ended.
    #[must_use]
    pub fn is_unbegun_single_run(&self) -> bool {
        self.record.schedule.is_none()
            && self.occurrences.is_empty()
            && self.ended_occurrences.is_empty()
    }

    /// Forgets the steps of an occurrence that is done and of which no member is assigned any more.
    pub fn end_occurrence(&mut self, number: u32) {
        let occurrence = self.occurrences.get(&number);
        if occurrence.is_some_and(|occurrence| occurrence.done && occurrence.is_free()) {
            self.occurrences.remove(&number);
            self.ended_occurrences.insert(number);
        }
    }

    /// Returns the total number of occurrences.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.record.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the time, on this host's clock, from which an occurrence's lateness is measured:
    /// when it is due, or when a job without a schedule was accepted.
    #[must_use]
    pub fn began_at(&self, occurrence: u32) -> TimeMs {
        let began_ms = match self.record.schedule {
            Some(schedule) => schedule.due_ms(occurrence),
            None => self.record.accepted_ms,
        };
        TimeMs(began_ms.saturating_sub(self.epoch_offset_ms))
    }

    /// Returns an occurrence with new units.
    #[must_use]
    pub fn new_occurrence(&self) -> Occurrence {
        let steps = self.record.steps.iter().map(|step| {
            let units = (0..step.unit_count()).map(|index| Unit {
                // Other pools run the rest.
                done: !self.share.includes(index),
                ..new_unit(step.unit_size())
            });
            let units: Vec<Unit> = units.collect();
            Step {
                open_units: count_open_units(&units),
                units,
                ready: false,
                tickets: tickets::StepTickets::default(),
                queued_at: TimeMs(0),
                expedited: false,
                rank: rank::Rank::default(),
                blocked_since: None,
            }
        });
        Occurrence {
            steps: steps.collect(),
            done: false,
        }
    }

    /// Returns the unit with this key.
    #[must_use]
    pub fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        let occurrence = self.occurrences.get(&key.step.occurrence)?;
        let step = occurrence.steps.get(key.step.step as usize)?;
        step.units.get(key.unit as usize)
    }

    /// Returns the unit with this key for modification.
    pub fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        self.step_mut(&key.step)?.units.get_mut(key.unit as usize)
    }

    /// Returns the keys of the steps of the occurrences that have begun.
    pub fn step_keys(&self) -> impl Iterator<Item = StepKey> {
        self.occurrences
            .iter()
            .flat_map(move |(&occurrence, state)| {
                let steps = (0..).zip(&state.steps);
                steps.map(move |(step, _)| StepKey {
                    job: self.id.clone(),
                    occurrence,
                    step,
                })
            })
    }

    /// Returns the step with this key for modification.
    pub fn step_mut(&mut self, key: &StepKey) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// Returns the step with this key.
    #[must_use]
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(key.step as usize)
    }

    /// Returns the key of the member that runs a task, or `None` if the job has no such task.
    #[must_use]
    pub fn member_key(&self, task: &message::TaskName) -> Option<MemberKey> {
        let step = self.record.steps.get(task.step as usize)?;
        if task.index >= step.count {
            return None;
        }
        let (unit, member) = if step.gang {
            (0, task.index)
        } else {
            (task.index, 0)
        };
        Some(MemberKey {
            unit: UnitKey {
                step: StepKey {
                    job: self.id.clone(),
                    occurrence: task.occurrence,
                    step: task.step,
                },
                unit,
            },
            member,
        })
    }

    /// Returns the members that are assigned to a worker, with their keys.
    pub fn assigned_members(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        let steps = self.occurrences.iter().flat_map(|(&occurrence, state)| {
            let steps = (0..).zip(&state.steps);
            steps.map(move |(step, state)| (occurrence, step, state))
        });
        let units = steps.flat_map(move |(occurrence, step, state)| {
            let units = (0..).zip(&state.units);
            let assigned = units.filter(|(_, unit)| !unit.is_free());
            assigned.map(move |(unit, state)| {
                let step = StepKey {
                    job: self.id.clone(),
                    occurrence,
                    step,
                };
                (UnitKey { step, unit }, state)
            })
        });
        units.flat_map(|(key, unit)| {
            let members = (0..).zip(&unit.members);
            let assigned = members.filter(|(_, member)| member.worker.is_some());
            assigned.map(move |(member, state)| {
                let unit = key.clone();
                (MemberKey { unit, member }, state)
            })
        })
    }

    /// Returns all members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.units().flat_map(|unit| &unit.members)
    }

    /// Returns all members for modification.
    pub fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        let steps = self
            .occurrences
            .values_mut()
            .flat_map(|occurrence| &mut occurrence.steps);
        let units = steps.flat_map(|step| &mut step.units);
        units.flat_map(|unit| &mut unit.members)
    }

    /// Returns the state as callers see it.
    #[must_use]
    pub fn state(&self) -> record::JobState {
        match self.end {
            // A cancellation is durable before the leader learns of it.
            Some(end) if self.end_durable || end == record::JobState::Cancelled => end,
            _ if self.begun => record::JobState::Running,
            _ => record::JobState::Queued,
        }
    }
}

fn new_unit(size: u32) -> Unit {
    Unit {
        members: vec![Member::default(); size as usize],
        ..Unit::default()
    }
}

/// Returns the number of units that are not done.
#[must_use]
pub fn count_open_units(units: &[Unit]) -> u32 {
    let open = units.iter().filter(|unit| !unit.done).count();
    u32::try_from(open).unwrap_or(u32::MAX)
}
