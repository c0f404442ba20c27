//! Order of waiting work, by what its lateness costs.
//!
//! Within an urgency band, work that can still be on time goes before work that is late anyway,
//! since a late result loses little by becoming a little later. Work whose result would be useless
//! to its caller goes last, so that a backlog does not make one job after the other late. Run times
//! are known only roughly, so work counts as useless only when it is far too late.

use crate::time::{SpanMs, TimeMs};

use super::estimate::Estimates;
use super::spec::JobRecord;

/// Multiple of a job's objective up to which a late result is still useful to its caller.
pub const USEFUL_OBJECTIVE_FACTOR: u64 = 3;
/// Multiple of the objective beyond which a result counts as useless; larger than
/// [`USEFUL_OBJECTIVE_FACTOR`], since run times are known only roughly.
const USELESS_OBJECTIVE_FACTOR: u64 = 5;
/// Time that a step takes beyond its work: a commit, an order, and a poll that reports the end.
const STEP_OVERHEAD: SpanMs = SpanMs(150);
/// Divisor of the expected time that gives the additional time that work may take.
const ESTIMATE_MARGIN_DIVISOR: u64 = 5;

/// Sort key of waiting work; the lowest is placed first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether the result would come too late to be useful.
    pub useless: bool,
    /// Whether its team is not promised that it is run.
    pub surplus: bool,
    /// Urgency band of its queue; zero is the most urgent.
    pub priority: u32,
    /// Whether it cannot be on time any more.
    pub late: bool,
    /// Time at which it becomes late.
    pub due_at: TimeMs,
}

/// Deadlines of a waiting step.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Time at which its job becomes late.
    pub due_at: TimeMs,
    /// Time until which a result is useful.
    pub useful_until: TimeMs,
    useless_from: TimeMs,
    /// Expected time from the step's start to the end of its job.
    pub remaining: SpanMs,
}

impl Deadlines {
    /// Returns the deadlines of a step; the job's lateness is measured from `began_at`.
    #[must_use]
    pub fn new(estimates: &Estimates, record: &JobRecord, began_at: TimeMs, step: u32) -> Self {
        let queue = &record.policy.queue;
        let remaining_path_ms = record.remaining_path_ms(|spec| estimates.expected_ms(queue, spec));
        let critical_path_ms = remaining_path_ms.iter().copied().max().unwrap_or_default();
        let step_path_ms = remaining_path_ms
            .get(step as usize)
            .copied()
            .unwrap_or_default();
        let objective_ms = record.objective_ms_for(critical_path_ms);
        Self {
            due_at: began_at + SpanMs(objective_ms),
            useful_until: began_at + SpanMs(objective_ms.saturating_mul(USEFUL_OBJECTIVE_FACTOR)),
            useless_from: began_at + SpanMs(objective_ms.saturating_mul(USELESS_OBJECTIVE_FACTOR)),
            remaining: SpanMs(step_path_ms.saturating_add(step_path_ms / ESTIMATE_MARGIN_DIVISOR))
                + STEP_OVERHEAD,
        }
    }
}

impl Rank {
    /// Returns the rank of a step. A persistent task is never late or useless, and an expedited
    /// step is ranked with those that can be on time.
    #[must_use]
    pub fn new(
        now: TimeMs,
        record: &JobRecord,
        deadlines: &Deadlines,
        step: u32,
        expedited: bool,
    ) -> Self {
        let spec = record.steps.get(step as usize);
        let persistent = spec.is_some_and(|spec| spec.persistent);
        let expected_end = now + deadlines.remaining;
        Self {
            useless: !persistent && expected_end > deadlines.useless_from,
            surplus: record.surplus,
            priority: record.policy.priority,
            late: !persistent && !expedited && expected_end > deadlines.due_at,
            due_at: deadlines.due_at,
        }
    }
}
