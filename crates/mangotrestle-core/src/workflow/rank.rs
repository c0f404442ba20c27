//! Which waiting work is served first: by what its lateness costs.
//!
//! Within an urgency band, work that can still be on time goes before work that is late anyway, since
//! a late end is worth the same a little later. Work that is of no use to its caller any more goes
//! last of all, so that a backlog does not make everything late one after the other.

use crate::time::{SpanMs, TimeMs};

use super::spec::JobRecord;

/// Multiple of a job's objective up to which a late end is still of use to its caller.
pub const USEFUL_OBJECTIVES: u64 = 3;

/// Time that a step takes beyond its work: a commit, an order, and a look that shows the end.
const STEP_COST: SpanMs = SpanMs(150);
/// Part by which work may take longer than its caller's estimate, as a divisor.
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

impl Rank {
    /// Rank of a step of a job whose time began at a moment. Tasks that last are owed at all times.
    #[must_use]
    pub fn new(now: TimeMs, record: &JobRecord, began_at: TimeMs, step: u32) -> Self {
        let objective = SpanMs(record.objective_ms());
        let due_at = began_at + objective;
        let lasts = record
            .steps
            .get(step as usize)
            .is_some_and(|step| step.persistent);
        let rest_ms = record.rest_ms(step);
        let end = now + SpanMs(rest_ms + rest_ms / ESTIMATE_MARGIN) + STEP_COST;
        let useful_until = began_at + SpanMs(objective.0 * USEFUL_OBJECTIVES);
        Self {
            useless: !lasts && end > useful_until,
            priority: record.policy.priority,
            late: !lasts && end > due_at,
            due_at,
        }
    }
}
