//! Stored rows: the assignments of a job that is not finished, and the end of one that is.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::id;

use super::crash_evidence::CrashEvidence;
use super::range_set::RangeSet;

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub enum JobState {
    /// Accepted, no task has started.
    #[serde(rename = "q")]
    Queued,
    /// A task has started.
    #[serde(rename = "r")]
    Running,
    /// All tasks are done.
    #[serde(rename = "c")]
    Completed,
    /// A task failed as often as its queue allows.
    #[serde(rename = "f")]
    Failed,
    /// Cancelled by its caller.
    #[serde(rename = "x")]
    Cancelled,
}

impl JobState {
    /// Whether the state will not change any more.
    #[must_use]
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

/// How a row holds what has ended: occurrences, and units of those that have not.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RowFormat {
    /// One by one, occurrences as long as there are few. Hosts of the earlier release read no other
    /// format: they would run again what has ended.
    #[default]
    Listed,
    /// As ranges.
    Ranges,
}

/// Stored state of a unit: a task, or all tasks of a gang.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct UnitRow {
    /// Whether the unit has ended as done.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Number of the last run that was bound.
    #[serde(rename = "r", skip_serializing_if = "is_zero")]
    pub run: u32,
    /// Numbers of the runs that ended as failed.
    #[serde(rename = "a", skip_serializing_if = "Vec::is_empty")]
    pub failed_runs: Vec<u32>,
    /// Evidence that a member crashes the workers that start it, by the member's index.
    #[serde(rename = "c", skip_serializing_if = "BTreeMap::is_empty")]
    pub crash_evidence: BTreeMap<u32, CrashEvidence>,
    /// Last checkpoint; empty if there is none.
    #[serde(rename = "s", skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker of each member that may still be running; `None` for a member that cannot run any
    /// more.
    #[serde(rename = "w", skip_serializing_if = "Vec::is_empty")]
    pub workers: Vec<Option<id::WorkerId>>,
    /// Start of the life of each of these workers in milliseconds since the Unix epoch; zero if it
    /// is not known.
    #[serde(rename = "l", skip_serializing_if = "Vec::is_empty")]
    pub born_ms: Vec<u64>,
}

/// The steps of one occurrence.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct OccurrenceRow {
    /// Whether all of its tasks are done; the steps are left out once no member is assigned any more.
    #[serde(rename = "d", skip_serializing_if = "std::ops::Not::not")]
    pub done: bool,
    /// Units of each step, in [`RowFormat::Listed`].
    #[serde(rename = "s", skip_serializing_if = "Vec::is_empty")]
    pub steps: Vec<Vec<UnitRow>>,
    /// Steps of which there is something to remember, by their index, in [`RowFormat::Ranges`].
    #[serde(rename = "c", skip_serializing_if = "BTreeMap::is_empty")]
    pub begun_steps: BTreeMap<u32, StepRow>,
}

impl OccurrenceRow {
    /// Whether all of its tasks are done and no member is assigned any more.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.done && self.steps.is_empty() && self.begun_steps.is_empty()
    }

    /// Returns the row of a unit, if it has one.
    #[must_use]
    pub fn unit(&self, step: u32, unit: u32) -> Option<&UnitRow> {
        let listed = self.steps.get(step as usize);
        let listed = listed.and_then(|units| units.get(unit as usize));
        let begun = self.begun_steps.get(&step);
        listed.or_else(|| begun?.units.get(&unit))
    }

    /// Whether a unit is done.
    #[must_use]
    pub fn is_done(&self, step: u32, unit: u32) -> bool {
        let begun = self.begun_steps.get(&step);
        self.done
            || self.unit(step, unit).is_some_and(|unit| unit.done)
            || begun.is_some_and(|step| step.done.contains(unit))
    }
}

/// Stored state of a step.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct StepRow {
    /// Units that are done and of which no member is assigned any more.
    #[serde(rename = "d", skip_serializing_if = "RangeSet::is_empty")]
    pub done: RangeSet,
    /// The other units that were bound, by their index.
    #[serde(rename = "u", skip_serializing_if = "BTreeMap::is_empty")]
    pub units: BTreeMap<u32, UnitRow>,
}

/// Stored assignments of a job, one row per job.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct AssignmentRow {
    /// Occurrences that have begun, by their number.
    #[serde(rename = "o")]
    pub occurrences: BTreeMap<u32, OccurrenceRow>,
    /// Occurrences that have ended and are not among `occurrences`.
    #[serde(rename = "d", skip_serializing_if = "RangeSet::is_empty")]
    pub ended: RangeSet,
    /// Whether a task has started.
    #[serde(rename = "b", skip_serializing_if = "std::ops::Not::not")]
    pub begun: bool,
    /// Final state, once no more tasks of the job may start; members that are still assigned have
    /// to be stopped.
    #[serde(rename = "e", skip_serializing_if = "Option::is_none")]
    pub end: Option<JobState>,
}

/// Stored end of a job, one row per job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct EndRow {
    /// The final state.
    pub state: JobState,
    /// Time of the end, in milliseconds since the Unix epoch.
    pub ended_ms: u64,
    /// The job's team, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<Arc<str>>,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u32) -> bool {
    *value == 0
}
