//! Admission of new jobs, and when the caller of a refused one should retry.
//!
//! Every host decides by itself from the summary that the pool's leader publishes, so a refusal
//! needs no call and is immediate. A job is refused when the work ahead of it is expected to take
//! so long that the result would be useless to the caller. The refusal says after what time enough
//! of that work is expected to be done for a result to be useful, plus a random delay so that
//! callers refused together do not retry together.

use crate::resources::Resources;
use crate::time::SpanMs;

use super::leadership;
use super::rank::USEFUL_OBJECTIVE_FACTOR;
use super::spec;

/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// Maximum time after which a refused caller is asked to retry, before the random spread.
const MAX_RETRY_AFTER: SpanMs = SpanMs(30_000);

/// Decision on a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Accept the job.
    Accept,
    /// The work ahead of it takes so long that its result would be useless.
    Busy {
        /// Time after which to retry.
        retry_after: SpanMs,
    },
    /// No worker of the pool could ever hold one of its tasks.
    NeverFits {
        /// Index of the step.
        step: usize,
    },
}

/// Decides on a job from the pool's summary. `spread` is a random number from 0 to 999 for
/// each caller; it lengthens the retry delay by up to a half.
#[must_use]
pub fn decide(
    record: &spec::JobRecord,
    summary: Option<&leadership::PoolSummary>,
    spread: u64,
) -> Admission {
    let Some(summary) = summary else {
        return Admission::Accept;
    };
    if let Some(step) = first_unplaceable_step(record, summary) {
        return Admission::NeverFits { step };
    }
    if record.schedule.is_some() || record.steps.iter().any(|step| step.persistent) {
        return Admission::Accept;
    }
    let expected_ms = wait_ms(record, summary) + record.critical_path_ms();
    if expected_ms <= USEFUL_OBJECTIVE_FACTOR * record.objective_ms() {
        return Admission::Accept;
    }
    let excess_ms = expected_ms - USEFUL_OBJECTIVE_FACTOR * record.objective_ms();
    Admission::Busy {
        retry_after: retry_delay(excess_ms, spread),
    }
}

/// Returns the expected time until work of a job that arrives now starts, in milliseconds.
#[must_use]
pub fn wait_ms(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> u64 {
    // A priority without waiting work of its own waits for the more urgent ones.
    let mut waits = summary.wait_ms.range(..=record.policy.priority);
    waits.next_back().map_or(0, |(_, &wait_ms)| wait_ms)
}

/// Whether the tasks of each step fit a worker of the pool, as far as its workers are known.
#[must_use]
pub fn fits_workers(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> bool {
    first_unplaceable_step(record, summary).is_none()
}

fn retry_delay(excess_ms: u64, spread: u64) -> SpanMs {
    let base_ms = excess_ms.clamp(MIN_RETRY_AFTER.0, MAX_RETRY_AFTER.0);
    SpanMs(base_ms + base_ms * spread / 2_000)
}

/// Returns the index of the first step whose tasks fit no worker of the pool; `None` if all fit or
/// the pool's workers are unknown.
fn first_unplaceable_step(
    record: &spec::JobRecord,
    summary: &leadership::PoolSummary,
) -> Option<usize> {
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
