//! A job in the leader's memory: its units, where their members may run, and how far each is.

use std::collections::BTreeMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::id;
use crate::time::TimeMs;

use super::message;
use super::rank;
use super::record;
use super::spec;
use super::tickets;

/// A step of a job.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StepKey {
    /// The job.
    pub job: id::JobId,
    /// The occurrence.
    pub occurrence: u32,
    /// The step.
    pub step: u32,
}

impl std::fmt::Display for StepKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// A unit: what is placed as a whole.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct UnitKey {
    /// Its step.
    pub step: StepKey,
    /// Its index in the step; zero for a gang.
    pub unit: u32,
}

/// A member of a unit: one task.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct MemberKey {
    /// Its unit.
    pub unit: UnitKey,
    /// Its index in the unit; zero where the unit is one task.
    pub member: u32,
}

impl MemberKey {
    /// Name of the task in orders.
    #[must_use]
    pub fn task_name(&self) -> message::TaskName {
        message::TaskName {
            job: self.unit.step.job.clone(),
            occurrence: self.unit.step.occurrence,
            step: self.unit.step.step,
            // Either the unit or the member counts, the other is zero.
            index: self.unit.unit + self.member,
        }
    }
}

/// How far a member is that is assigned to a worker.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// Assigned to no worker.
    #[default]
    Free,
    /// Assigned in memory only.
    Planned,
    /// Being written.
    Writing,
    /// Durable; no order is on its way.
    Bound,
    /// The order is on its way.
    Ordered,
    /// The worker has confirmed the run.
    Running,
    /// A stop is needed or on its way.
    Stopping,
    /// The worker has confirmed the stop; its end is not listed yet.
    Stopped,
}

/// One task of a unit.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Where it may run.
    pub worker: Option<id::WorkerId>,
    /// How far it is.
    pub phase: Phase,
    /// When the phase changed last.
    pub since: TimeMs,
    /// When the worker last confirmed the run; a look sent later says whether it is there.
    pub confirmed_at: TimeMs,
    /// Orders for this run that got no answer and may still be carried out.
    pub unanswered: u32,
    /// Share of its speed that was last ordered, in percent.
    pub paced_percent: u32,
    /// Progress in percent when it was last measured, and when that was.
    pub mark: (TimeMs, u32),
    /// When it was seen over its bound first, without a break since.
    pub over_since: Option<TimeMs>,
}

/// What is placed as a whole: a task, or all tasks of a gang.
#[derive(Clone, Debug, Default)]
pub struct Unit {
    /// Whether it has ended as done.
    pub done: bool,
    /// Highest run that was ever bound.
    pub run: u32,
    /// Runs that ended as failed, each once.
    pub failed_runs: SmallVec<[u32; 4]>,
    /// Last checkpoint.
    pub checkpoint: String,
    /// Its tasks.
    pub members: Vec<Member>,
    /// Workers on which a run failed or was too slow.
    pub avoid: SmallVec<[id::WorkerId; 2]>,
    /// How often a run was stopped to make room for other work.
    pub preempted: u32,
    /// Whether the present run must not go on, so that all members have to end first.
    pub collapsing: bool,
}

impl Unit {
    /// Whether no member is assigned.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.members.iter().all(|member| member.worker.is_none())
    }

    /// Whether it waits to be placed.
    #[must_use]
    pub fn waits(&self) -> bool {
        !self.done && self.is_free()
    }
}

/// A step of an occurrence.
#[derive(Clone, Debug, Default)]
pub struct Step {
    /// Its units.
    pub units: Vec<Unit>,
    /// Units that are not done.
    pub open: u32,
    /// Whether the steps before it are done and its units may be placed.
    pub ready: bool,
    /// Which workers its queue's policy allows.
    pub tickets: tickets::StepTickets,
    /// When its units were first queued.
    pub queued_at: TimeMs,
    /// Whether it is late and started before work that can be on time, since it would be of no use
    /// soon.
    pub rescued: bool,
    /// Rank under which its waiting units are queued.
    pub rank: rank::Rank,
}

/// One run through a job's steps.
#[derive(Clone, Debug, Default)]
pub struct Occurrence {
    /// Its steps.
    pub steps: Vec<Step>,
    /// Whether all are done.
    pub done: bool,
}

impl Occurrence {
    /// Whether no member of any unit is assigned.
    #[must_use]
    pub fn is_free(&self) -> bool {
        let mut units = self.steps.iter().flat_map(|step| &step.units);
        units.all(Unit::is_free)
    }
}

/// A job that the pool has not let go of.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its identifier.
    pub id: id::JobId,
    /// What was accepted.
    pub record: Arc<spec::JobRecord>,
    /// Occurrences that have begun.
    pub occurrences: BTreeMap<u32, Occurrence>,
    /// Whether a task has started.
    pub begun: bool,
    /// Whether its acceptance is durable; until then it may be planned, but nothing is ordered.
    pub accepted: bool,
    /// Set once nothing more of it may start.
    pub end: Option<record::JobState>,
    /// Whether the end is durable.
    pub end_durable: bool,
    /// Offset from this host's steady clock to the time of day.
    epoch_offset_ms: u64,
    /// When it became known here.
    pub known_at: TimeMs,
}

impl Job {
    /// A job of which nothing has begun.
    #[must_use]
    pub fn new(
        id: id::JobId,
        record: Arc<spec::JobRecord>,
        now: TimeMs,
        epoch_offset_ms: u64,
    ) -> Self {
        Self {
            id,
            record,
            occurrences: BTreeMap::new(),
            begun: false,
            accepted: true,
            end: None,
            end_durable: false,
            epoch_offset_ms,
            known_at: now,
        }
    }

    /// Number of occurrences in all.
    #[must_use]
    pub fn occurrence_count(&self) -> u32 {
        self.record.schedule.map_or(1, |schedule| schedule.count)
    }

    /// When an occurrence's time begins, on this host's clock: when it is due, or when the job was
    /// accepted.
    #[must_use]
    pub fn began_at(&self, occurrence: u32) -> TimeMs {
        let began_ms = match self.record.schedule {
            Some(schedule) => schedule.first_ms + u64::from(occurrence) * schedule.period_ms,
            None => self.record.accepted_ms,
        };
        TimeMs(began_ms.saturating_sub(self.epoch_offset_ms))
    }

    /// Makes the units of an occurrence that begins.
    #[must_use]
    pub fn fresh_occurrence(&self) -> Occurrence {
        let steps = self.record.steps.iter().map(|step| Step {
            units: (0..step.unit_count())
                .map(|_| fresh_unit(step.unit_size()))
                .collect(),
            open: step.unit_count(),
            ready: false,
            tickets: tickets::StepTickets::default(),
            queued_at: TimeMs(0),
            rescued: false,
            rank: rank::Rank::default(),
        });
        Occurrence {
            steps: steps.collect(),
            done: false,
        }
    }

    /// Takes up what the rows say was assigned.
    pub fn restore(&mut self, row: &record::AssignmentRow) {
        self.begun = row.begun;
        self.end = row.end;
        self.end_durable = row.end.is_some();
        for (&number, saved) in &row.occurrences {
            let mut occurrence = self.fresh_occurrence();
            occurrence.done = saved.done;
            if saved.done && saved.steps.is_empty() {
                occurrence.steps.clear();
            }
            for (step, units) in occurrence.steps.iter_mut().zip(&saved.steps) {
                for (unit, row) in step.units.iter_mut().zip(units) {
                    restore_unit(unit, row);
                }
                step.open = count_open(&step.units);
            }
            self.occurrences.insert(number, occurrence);
        }
    }

    /// The row that lasts.
    #[must_use]
    pub fn row(&self) -> record::AssignmentRow {
        let occurrences = self.occurrences.iter().map(|(&number, occurrence)| {
            let steps = if occurrence.done && occurrence.is_free() {
                &[]
            } else {
                occurrence.steps.as_slice()
            };
            let steps = steps.iter();
            let rows = steps.map(|step| step.units.iter().map(unit_row).collect());
            let row = record::OccurrenceRow {
                done: occurrence.done,
                steps: rows.collect(),
            };
            (number, row)
        });
        record::AssignmentRow {
            occurrences: occurrences.collect(),
            begun: self.begun,
            end: self.end,
        }
    }

    /// The unit with this key.
    #[must_use]
    pub fn unit(&self, key: &UnitKey) -> Option<&Unit> {
        let occurrence = self.occurrences.get(&key.step.occurrence)?;
        let step = occurrence.steps.get(key.step.step as usize)?;
        step.units.get(key.unit as usize)
    }

    /// The unit with this key, to change it.
    pub fn unit_mut(&mut self, key: &UnitKey) -> Option<&mut Unit> {
        self.step_mut(&key.step)?.units.get_mut(key.unit as usize)
    }

    /// The step with this key, to change it.
    pub fn step_mut(&mut self, key: &StepKey) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&key.occurrence)?;
        occurrence.steps.get_mut(key.step as usize)
    }

    /// The step with this key.
    #[must_use]
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        let occurrence = self.occurrences.get(&key.occurrence)?;
        occurrence.steps.get(key.step as usize)
    }

    /// The member that runs a task.
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

    /// Members that are assigned to a worker.
    pub fn assigned(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        let steps = self.occurrences.iter().flat_map(|(&occurrence, one)| {
            let steps = (0..).zip(&one.steps);
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

    /// All members.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let steps = self.occurrences.values().flat_map(|one| &one.steps);
        let units = steps.flat_map(|step| &step.units);
        units.flat_map(|unit| &unit.members)
    }

    /// All members, to change them.
    pub fn members_mut(&mut self) -> impl Iterator<Item = &mut Member> {
        let steps = self.occurrences.values_mut().flat_map(|one| &mut one.steps);
        let units = steps.flat_map(|step| &mut step.units);
        units.flat_map(|unit| &mut unit.members)
    }

    /// State as callers see it.
    #[must_use]
    pub fn state(&self) -> record::JobState {
        match self.end {
            // A cancel is durable before the leader learns of it.
            Some(end) if self.end_durable || end == record::JobState::Cancelled => end,
            _ if self.begun => record::JobState::Running,
            _ => record::JobState::Queued,
        }
    }
}

fn fresh_unit(size: u32) -> Unit {
    Unit {
        members: vec![Member::default(); size as usize],
        ..Unit::default()
    }
}

fn restore_unit(unit: &mut Unit, row: &record::UnitRow) {
    unit.done = row.done;
    unit.run = row.run;
    unit.failed_runs = row.failed_runs.iter().copied().collect();
    unit.checkpoint.clone_from(&row.checkpoint);
    for (member, worker) in unit.members.iter_mut().zip(&row.workers) {
        member.worker.clone_from(worker);
        member.paced_percent = 100;
        if worker.is_some() {
            member.phase = Phase::Bound;
            // A leader before this one may have sent the order, and it may come late.
            member.unanswered = 1;
        }
    }
}

fn unit_row(unit: &Unit) -> record::UnitRow {
    let workers = if unit.is_free() {
        Vec::new()
    } else {
        let members = unit.members.iter();
        members.map(|member| member.worker.clone()).collect()
    };
    record::UnitRow {
        done: unit.done,
        run: unit.run,
        failed_runs: unit.failed_runs.to_vec(),
        checkpoint: unit.checkpoint.clone(),
        workers,
    }
}

/// Units of a step that are not done.
#[must_use]
pub fn count_open(units: &[Unit]) -> u32 {
    let open = units.iter().filter(|unit| !unit.done).count();
    u32::try_from(open).unwrap_or(u32::MAX)
}
