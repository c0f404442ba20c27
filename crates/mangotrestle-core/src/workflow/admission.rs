//! Admission of new jobs, and when the caller of a refused one should retry.
//!
//! Every host decides by itself from the summary that the pool's leader publishes, so a refusal
//! needs no call and is immediate. A job is refused when the work ahead of it is expected to take
//! so long that the result would be useless to the caller. The refusal says after what time enough
//! of that work is expected to be done for a result to be useful, plus a random delay so that
//! callers refused together do not retry together.
//!
//! Work that its team is not promised waits behind all promised work, so it is refused first, by the
//! backlog of such work; work of a team at its cap by that team's own backlog.
//!
//! The same holds for a leader that is late: its lag is part of the expected time, and while the lag
//! is long only urgent work is accepted, so that the urgent work is not late for the rest.

use crate::resources::Resources;
use crate::time::SpanMs;

use super::leadership;
use super::rank::USEFUL_OBJECTIVE_FACTOR;
use super::spec;

/// Minimum time after which a refused caller is asked to retry.
const MIN_RETRY_AFTER: SpanMs = SpanMs(1_000);
/// Maximum time after which a refused caller is asked to retry, before the random spread.
const MAX_RETRY_AFTER: SpanMs = SpanMs(30_000);

/// Lag of a leader from which jobs of the second most urgent band are refused; those of each further
/// band at a fraction of it.
const MAX_LAG: SpanMs = SpanMs(1_000);
/// Time after which a late leader is expected to have caught up with what it was sent.
const LAG_RECOVERY: SpanMs = SpanMs(2_000);
/// Number of times that a step waits for its leader: to be bound, to be started, and for its end.
const WAITS_PER_STEP: u64 = 3;

/// Decision on a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// Accept the job.
    Accept,
    /// The work ahead of it takes so long that its result would be useless, or the leader is so late
    /// that it takes more urgent work only.
    Busy {
        /// Time after which to retry.
        retry_after: SpanMs,
    },
    /// No worker of the pool could ever hold one of its tasks.
    NeverFits {
        /// Index of the step.
        step: usize,
    },
    /// What one of its steps has to run together is more than its team may have running.
    BeyondCap {
        /// Index of the step.
        step: usize,
    },
}

/// Expected time until the result of a job that arrives now, by what it consists of, in milliseconds.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ExpectedTime {
    /// Time until the job's work starts.
    pub wait_ms: u64,
    /// Length of its critical path.
    pub path_ms: u64,
    /// Time that the leader's lag adds to its steps.
    pub lag_ms: u64,
    /// Time that the lag of ticket requests adds to its steps.
    pub ticket_ms: u64,
    /// Time until which the result is useful.
    pub useful_ms: u64,
}

impl ExpectedTime {
    /// Returns the expectation for a job from the summary of the pool that would run it.
    #[must_use]
    pub fn new(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> Self {
        let steps = u64::from(record.path_steps());
        let ticket_lag_ms = if record.policy.advice.is_some() {
            summary.ticket_lag_ms
        } else {
            0
        };
        Self {
            wait_ms: wait_ms(record, summary),
            path_ms: record.critical_path_ms(),
            lag_ms: steps
                .saturating_mul(WAITS_PER_STEP)
                .saturating_mul(summary.lag_ms),
            ticket_ms: steps.saturating_mul(ticket_lag_ms),
            useful_ms: record
                .objective_ms()
                .saturating_mul(USEFUL_OBJECTIVE_FACTOR),
        }
    }

    /// Returns the name of the longest delay beyond the work itself: `backlog`, `leader` or `tickets`.
    #[must_use]
    pub fn largest_delay(&self) -> &'static str {
        let delays = [
            (self.ticket_ms, "tickets"),
            (self.lag_ms, "leader"),
            (self.wait_ms, "backlog"),
        ];
        delays.into_iter().max().map_or("backlog", |(_, name)| name)
    }

    /// Returns by how much the result would be too late to be useful.
    #[must_use]
    pub const fn excess_ms(&self) -> u64 {
        self.wait_ms
            .saturating_add(self.path_ms)
            .saturating_add(self.lag_ms)
            .saturating_add(self.ticket_ms)
            .saturating_sub(self.useful_ms)
    }
}

/// Decides on a job from the pool's summary and the cap of its team, if it has one. `spread` is a random number from 0 to 999 for
/// each caller; it lengthens the retry delay by up to a half.
#[must_use]
pub fn decide(
    record: &spec::JobRecord,
    cap: Option<&Resources>,
    summary: Option<&leadership::PoolSummary>,
    spread: u64,
) -> Admission {
    let Some(summary) = summary else {
        return Admission::Accept;
    };
    if let Some(step) = first_unplaceable_step(record, summary) {
        return Admission::NeverFits { step };
    }
    if let Some(step) = cap.and_then(|cap| first_step_beyond_cap(record, cap)) {
        return Admission::BeyondCap { step };
    }
    if record.schedule.is_some() || record.steps.iter().any(|step| step.persistent) {
        return Admission::Accept;
    }
    if summary.lag_ms >= max_lag_ms(record.policy.priority) {
        let retry_after = retry_delay(LAG_RECOVERY.0, spread);
        return Admission::Busy { retry_after };
    }
    match ExpectedTime::new(record, summary).excess_ms() {
        0 => Admission::Accept,
        excess_ms => Admission::Busy {
            retry_after: retry_delay(excess_ms, spread),
        },
    }
}

/// Returns the lag of a leader from which jobs of a priority are refused. Work of the most urgent band
/// is refused only if its result would be useless.
const fn max_lag_ms(priority: u32) -> u64 {
    match priority {
        0 => u64::MAX,
        priority => MAX_LAG.0 / priority as u64,
    }
}

/// Returns the expected time until work of a job that arrives now starts, in milliseconds.
#[must_use]
pub fn wait_ms(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> u64 {
    let team = record.team.as_ref();
    let load = team.and_then(|team| summary.teams.get(team).copied());
    let load = load.unwrap_or_default();
    let pool_wait_ms = if load.beyond_rate {
        summary.surplus_wait_ms
    } else {
        promised_wait_ms(record, summary)
    };
    pool_wait_ms.max(load.wait_ms)
}

fn promised_wait_ms(record: &spec::JobRecord, summary: &leadership::PoolSummary) -> u64 {
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

/// Returns the index of the first step of which a unit needs more than a team's cap; zero of a resource
/// means no limit.
fn first_step_beyond_cap(record: &spec::JobRecord, cap: &Resources) -> Option<usize> {
    let exceeds = |need: u64, cap: u64| cap > 0 && need > cap;
    record.steps.iter().position(|step| {
        let need = step.need.times(step.unit_size());
        exceeds(need.cpu_millicores, cap.cpu_millicores)
            || exceeds(need.memory_mib, cap.memory_mib)
            || exceeds(need.accelerators.into(), cap.accelerators.into())
    })
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
