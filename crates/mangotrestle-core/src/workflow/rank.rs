//! Which waiting work is served first: by what its lateness costs.
//!
//! Within an urgency band, work that can still be on time goes before work that is late anyway, since
//! a late end is worth the same a little later. Work that is of no use to its caller any more goes
//! last of all, so that a backlog does not make everything late one after the other. How long work
//! takes is known roughly, so only work that is far too late counts as of no use.

use crate::time::{SpanMs, TimeMs};

use super::estimate::Estimates;
use super::spec::JobRecord;

/// Multiple of a job's objective up to which a late end is still of use to its caller.
pub const USEFUL_OBJECTIVES: u64 = 3;
/// Multiple of the objective at which an end counts as of no use, beyond the error of estimates.
const USELESS_OBJECTIVES: u64 = 5;
/// Time that a step takes beyond its work: a commit, an order, and a look that shows the end.
const STEP_COST: SpanMs = SpanMs(150);
/// Part by which work may take longer than expected, as a divisor.
const ESTIMATE_MARGIN: u64 = 5;

/// Order of waiting work; the least is served first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rank {
    /// Whether an end would come too late to be of use.
    pub useless: bool,
    /// Urgency band of its queue; zero comes first.
    pub priority: u32,
    /// Whether it is late whatever happens.
    pub late: bool,
    /// When it is late.
    pub due_at: TimeMs,
}

/// Times of a step that waits.
#[derive(Clone, Copy, Debug)]
pub struct Outlook {
    /// When its job is late.
    pub due_at: TimeMs,
    /// When an end is of use at the latest.
    pub useful_until: TimeMs,
    useless_from: TimeMs,
    /// Time from its start to the end of its job.
    pub rest: SpanMs,
}

impl Outlook {
    /// Times of a step of a job whose time began at a moment.
    #[must_use]
    pub fn new(estimates: &Estimates, record: &JobRecord, began_at: TimeMs, step: u32) -> Self {
        let queue = &record.policy.queue;
        let remaining_path_ms = record.remaining_path_ms(|spec| estimates.expected_ms(queue, spec));
        let critical_path_ms = remaining_path_ms.iter().copied().max().unwrap_or_default();
        let own_ms = remaining_path_ms
            .get(step as usize)
            .copied()
            .unwrap_or_default();
        let objective_ms = record.objective_for_ms(critical_path_ms);
        Self {
            due_at: began_at + SpanMs(objective_ms),
            useful_until: began_at + SpanMs(objective_ms * USEFUL_OBJECTIVES),
            useless_from: began_at + SpanMs(objective_ms * USELESS_OBJECTIVES),
            rest: SpanMs(own_ms + own_ms / ESTIMATE_MARGIN) + STEP_COST,
        }
    }
}

impl Rank {
    /// Rank of a step of a job. Tasks that last are owed at all times, and a step that is being
    /// rescued goes with those that can be on time.
    #[must_use]
    pub fn new(
        now: TimeMs,
        record: &JobRecord,
        outlook: &Outlook,
        step: u32,
        rescued: bool,
    ) -> Self {
        let spec = record.steps.get(step as usize);
        let lasts = spec.is_some_and(|step| step.persistent);
        let end = now + outlook.rest;
        Self {
            useless: !lasts && end > outlook.useless_from,
            priority: record.policy.priority,
            late: !lasts && !rescued && end > outlook.due_at,
            due_at: outlook.due_at,
        }
    }
}
