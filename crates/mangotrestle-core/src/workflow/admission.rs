//! Whether a job that arrives now is taken, and when its caller should return if not.
//!
//! Every host decides by itself from the summary that the pool's leader publishes, so a refusal
//! needs no call and is given at once. A job is refused when the work ahead of it is expected to
//! last longer than a caller still gains anything from it, and the caller is told when that work
//! will have drained, spread so that those refused together do not return together.

use crate::resources::Resources;
use crate::time::SpanMs;

use super::leadership;
use super::rank::USEFUL_OBJECTIVES;
use super::spec;

/// Shortest time after which a refused caller is asked to return.
const SHORTEST_RETURN: SpanMs = SpanMs(1_000);
/// Longest time after which a refused caller is asked to return.
const LONGEST_RETURN: SpanMs = SpanMs(30_000);

/// Decision on a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Take it.
    Accept,
    /// The work ahead of it leaves no use in running it.
    Busy {
        /// When to come back.
        retry_after: SpanMs,
    },
    /// No worker of the pool could ever hold one of its tasks.
    NeverFits {
        /// Index of the step.
        step: usize,
    },
}

/// Decides on a job from the pool's summary; `spread` in 0..1000 differs between callers.
#[must_use]
pub fn decide(
    record: &spec::JobRecord,
    summary: Option<&leadership::PoolSummary>,
    spread: u64,
) -> Admission {
    let Some(summary) = summary else {
        return Admission::Accept;
    };
    if let Some(step) = impossible_step(record, summary) {
        return Admission::NeverFits { step };
    }
    if record.schedule.is_some() || record.steps.iter().any(|step| step.persistent) {
        return Admission::Accept;
    }
    let wait_ms = summary
        .wait_ms
        .get(&record.policy.priority)
        .copied()
        .unwrap_or_default();
    let expected_ms = wait_ms + record.critical_path_ms();
    if expected_ms <= USEFUL_OBJECTIVES * record.objective_ms() {
        return Admission::Accept;
    }
    let excess_ms = expected_ms - USEFUL_OBJECTIVES * record.objective_ms();
    Admission::Busy {
        retry_after: return_after(excess_ms, spread),
    }
}

fn return_after(excess_ms: u64, spread: u64) -> SpanMs {
    let base_ms = excess_ms.clamp(SHORTEST_RETURN.0, LONGEST_RETURN.0);
    SpanMs(base_ms + base_ms * spread / 2_000)
}

/// The first step that fits no worker of the pool, if the pool's workers are known.
fn impossible_step(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> Option<usize> {
    if summary.shapes.is_empty() {
        return None;
    }
    record.steps.iter().position(|step| {
        let fits = |capacity: &Resources, labels: &[String]| {
            step.counted_need().fits_in(capacity)
                && step
                    .constraint
                    .as_ref()
                    .is_none_or(|label| labels.contains(label))
        };
        !summary
            .shapes
            .iter()
            .any(|(capacity, labels)| fits(capacity, labels))
    })
}
