//! The row of a job's assignments: what it holds, its size, and how a leader restores the job from it.

use std::collections::BTreeMap;

use crate::id;

use super::super::range_set::RangeSet;
use super::super::record::{self, RowFormat};
use super::super::spec;
use super::super::start_calls::StartCalls;
use super::{Job, Member, Occurrence, Phase, Step, Unit, count_open_units};

/// Maximum number of ended occurrences and units that a row lists one by one.
const MAX_LISTED: u64 = 1_024;
/// Bytes of an occurrence that has ended, in a row that lists them one by one.
const LISTED_OCCURRENCE_BYTES: u64 = 20;
/// Usual bytes of an occurrence in a row, without its units.
const OCCURRENCE_ROW_BYTES: u64 = 24;
/// Bytes of a unit in a row, without its members, its checkpoint and the runs that failed.
const UNIT_ROW_BYTES: u64 = 32;
/// Bytes of a member in a row without its worker: the start of the worker's life, and punctuation.
const MEMBER_ROW_BYTES: u64 = 18;
/// Usual bytes of a worker's identifier.
const WORKER_BYTES: u64 = 14;
/// Maximum bytes of the number of a run in a row.
const RUN_BYTES: u64 = 11;
/// Bytes of a unit that is done, in a row that lists each of them.
const LISTED_UNIT_BYTES: u64 = 20;

impl Unit {
    /// Returns its size in a row, of the right order.
    fn row_bytes(&self, lists_done: bool) -> u64 {
        if self.is_untouched() {
            return 0;
        }
        if self.done && self.is_free() {
            // Neighbours that are done as well share a range.
            return u64::from(lists_done) * LISTED_UNIT_BYTES;
        }
        let workers = self
            .members
            .iter()
            .filter_map(|member| member.worker.as_ref());
        let workers = workers.map(|worker| MEMBER_ROW_BYTES + worker.as_str().len() as u64);
        UNIT_ROW_BYTES
            + self.checkpoint.len() as u64
            + self.failed_runs.len() as u64 * RUN_BYTES
            + workers.sum::<u64>()
    }
}

impl Job {
    /// Returns the usual size of an occurrence of which all units are assigned, in its row.
    fn occurrence_row_bytes(&self) -> u64 {
        let steps = self.record.steps.iter().map(|step| {
            let units = u64::from(step.unit_count());
            units * unit_bytes(step, WORKER_BYTES)
        });
        OCCURRENCE_ROW_BYTES + steps.sum::<u64>()
    }

    /// Returns the size of the row, of the right order.
    #[must_use]
    pub fn row_bytes(&self, format: RowFormat) -> u64 {
        let lists_done = self.lists_ended(format);
        let units = self.units().map(|unit| unit.row_bytes(lists_done));
        let occurrences = self.occurrences.len() as u64 * OCCURRENCE_ROW_BYTES;
        self.ended_row_bytes(format) + occurrences + units.sum::<u64>()
    }

    /// Whether the row has room for one more occurrence of which all units are assigned.
    pub(super) fn row_holds_one_more(&self, max_row_bytes: usize, format: RowFormat) -> bool {
        let open = self.occurrences.len() as u64 + 1;
        let open_bytes = open.saturating_mul(self.occurrence_row_bytes());
        let row_bytes = open_bytes.saturating_add(self.ended_row_bytes(format));
        // The other half is for what is longer than usual, such as checkpoints and failed runs.
        row_bytes <= u64::try_from(max_row_bytes).unwrap_or(u64::MAX) / 2
    }

    /// Returns how many bytes the assignments of further units may take in the row; `None` if the row of
    /// the job with all of its units assigned is not too large.
    #[must_use]
    pub fn row_room(&self, max_row_bytes: usize, format: RowFormat) -> Option<u64> {
        let open = self.occurrences.len() as u64;
        let all_assigned = open.saturating_mul(self.occurrence_row_bytes());
        // The rest is for what is longer than usual, such as checkpoints and failed runs.
        let max_row_bytes = u64::try_from(max_row_bytes).unwrap_or(u64::MAX) / 8 * 7;
        if all_assigned + self.ended_row_bytes(format) <= max_row_bytes / 2 {
            return None;
        }
        Some(max_row_bytes.saturating_sub(self.row_bytes(format)))
    }

    fn ended_row_bytes(&self, format: RowFormat) -> u64 {
        let entries = if self.lists_ended(format) {
            self.ended_occurrences.count()
        } else {
            self.ended_occurrences.range_count() as u64
        };
        entries.saturating_mul(LISTED_OCCURRENCE_BYTES)
    }

    /// Whether the row lists one by one what has ended.
    fn lists_ended(&self, format: RowFormat) -> bool {
        if format == RowFormat::Ranges {
            return false;
        }
        let done = self.units().filter(|unit| unit.done && unit.is_free());
        self.ended_occurrences.count() + done.count() as u64 <= MAX_LISTED
    }

    /// Restores the assignments from the stored row.
    pub fn restore(&mut self, row: &record::AssignmentRow) {
        self.begun = row.begun;
        self.end = row.end;
        self.end_durable = row.end.is_some();
        self.ended_occurrences.clone_from(&row.ended);
        for (&number, occurrence_row) in &row.occurrences {
            if occurrence_row.has_ended() {
                self.ended_occurrences.insert(number);
                continue;
            }
            let mut occurrence = self.new_occurrence();
            occurrence.done = occurrence_row.done;
            for (step, units) in occurrence.steps.iter_mut().zip(&occurrence_row.steps) {
                for (unit, row) in step.units.iter_mut().zip(units) {
                    restore_unit(unit, row);
                }
                step.open_units = count_open_units(&step.units);
            }
            for (&index, row) in &occurrence_row.begun_steps {
                if let Some(step) = occurrence.steps.get_mut(index as usize) {
                    restore_step(step, row);
                }
            }
            self.occurrences.insert(number, occurrence);
        }
    }

    /// Returns the row to store.
    #[must_use]
    pub fn row(&self, format: RowFormat) -> record::AssignmentRow {
        let format = if self.lists_ended(format) {
            RowFormat::Listed
        } else {
            RowFormat::Ranges
        };
        let begun = self.occurrences.iter();
        let begun = begun.filter(|(_, occurrence)| !occurrence.is_untouched());
        let mut occurrences: BTreeMap<u32, record::OccurrenceRow> = begun
            .map(|(&number, occurrence)| (number, occurrence_row(occurrence, format)))
            .collect();
        let mut ended = RangeSet::default();
        if format == RowFormat::Listed {
            let numbers = self.ended_occurrences.numbers();
            occurrences.extend(numbers.map(|number| (number, ended_occurrence_row())));
        } else {
            ended.clone_from(&self.ended_occurrences);
        }
        record::AssignmentRow {
            occurrences,
            ended,
            begun: self.begun,
            end: self.end,
        }
    }
}

/// Returns the size of a unit of a step in a row, with all of its members assigned to workers whose
/// identifiers take `worker_bytes`.
#[must_use]
pub fn unit_bytes(step: &spec::StepSpec, worker_bytes: u64) -> u64 {
    UNIT_ROW_BYTES + u64::from(step.unit_size()) * (MEMBER_ROW_BYTES + worker_bytes)
}

fn restore_unit(unit: &mut Unit, row: &record::UnitRow) {
    unit.done = row.done;
    unit.run = row.run;
    unit.failed_runs = row.failed_runs.iter().copied().collect();
    unit.checkpoint.clone_from(&row.checkpoint);
    for (&index, &evidence) in &row.crash_evidence {
        if let Some(member) = unit.members.get_mut(index as usize) {
            member.crash_evidence = evidence;
        }
    }
    for (member, &born_ms) in unit.members.iter_mut().zip(&row.born_ms) {
        member.born_ms = Some(born_ms).filter(|&born_ms| born_ms > 0);
    }
    for (member, worker) in unit.members.iter_mut().zip(&row.workers) {
        member.worker.clone_from(worker);
        member.pace_percent = 100;
        if worker.is_some() {
            member.phase = Phase::Bound;
            // An earlier leader may have sent the order, and it may still arrive.
            member.start_calls = StartCalls::of_earlier_leader();
        }
    }
}

fn ended_occurrence_row() -> record::OccurrenceRow {
    record::OccurrenceRow {
        done: true,
        ..record::OccurrenceRow::default()
    }
}

fn occurrence_row(occurrence: &Occurrence, format: RowFormat) -> record::OccurrenceRow {
    let mut row = record::OccurrenceRow {
        done: occurrence.done,
        ..record::OccurrenceRow::default()
    };
    match format {
        RowFormat::Listed => {
            let steps = occurrence.steps.iter();
            let rows = steps.map(|step| step.units.iter().map(unit_row).collect());
            row.steps = rows.collect();
        }
        RowFormat::Ranges => {
            let steps = (0..).zip(occurrence.steps.iter().map(step_row));
            row.begun_steps = steps
                .filter(|(_, step)| *step != record::StepRow::default())
                .collect();
        }
    }
    row
}

fn step_row(step: &Step) -> record::StepRow {
    let mut row = record::StepRow::default();
    for (index, unit) in (0..).zip(&step.units) {
        if unit.done && unit.is_free() {
            row.done.insert(index);
        } else if !unit.is_untouched() {
            row.units.insert(index, unit_row(unit));
        }
    }
    row
}

fn restore_step(step: &mut Step, row: &record::StepRow) {
    for index in row.done.numbers() {
        if let Some(unit) = step.units.get_mut(index as usize) {
            unit.done = true;
        }
    }
    for (&index, row) in &row.units {
        if let Some(unit) = step.units.get_mut(index as usize) {
            restore_unit(unit, row);
        }
    }
    step.open_units = count_open_units(&step.units);
}

fn unit_row(unit: &Unit) -> record::UnitRow {
    // A planned member is assigned in memory only.
    let stored_worker = |member: &Member| {
        let stored = member.phase != Phase::Planned;
        member.worker.clone().filter(|_| stored)
    };
    let mut workers: Vec<_> = unit.members.iter().map(stored_worker).collect();
    if workers.iter().all(Option::is_none) {
        workers.clear();
    }
    let members = unit.members.iter().zip(&workers);
    let assigned_life = |(member, worker): (&Member, &Option<id::WorkerId>)| {
        let born_ms = worker.as_ref().and(member.born_ms);
        born_ms.unwrap_or_default()
    };
    let mut born_ms: Vec<u64> = members.map(assigned_life).collect();
    if born_ms.iter().all(|&born_ms| born_ms == 0) {
        born_ms.clear();
    }
    let evidence = (0..).zip(unit.members.iter().map(|member| member.crash_evidence));
    record::UnitRow {
        crash_evidence: evidence.filter(|(_, known)| !known.is_empty()).collect(),
        done: unit.done,
        run: unit.run,
        failed_runs: unit.failed_runs.to_vec(),
        checkpoint: unit.checkpoint.clone(),
        workers,
        born_ms,
    }
}
