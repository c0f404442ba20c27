//! How many requests at the same time: adaptive for targets, fixed for teams.
//!
//! [`AdaptiveLimit`] finds the concurrency that a target can take without its latency rising:
//! additive increase while the limit is used and latency is near its baseline, multiplicative
//! decrease when the smoothed latency exceeds a multiple of the baseline. [`TeamGate`] is a plain
//! bound on concurrency and rate.
//!
//! ```
//! use mangotrestle_core::routing::limit::AdaptiveLimit;
//!
//! let mut limit = AdaptiveLimit::new(8);
//! for _ in 0..50 {
//!     limit.observe(1_000, 8, 8); // one millisecond, with all eight in use
//! }
//! assert_eq!(limit.current(8), 8);
//! for _ in 0..200 {
//!     limit.observe(9_000, 8, 8); // the target became slow
//! }
//! assert!(limit.current(8) < 8);
//! ```

use crate::routing::snapshot;
use crate::routing::token_bucket::TokenBucket;
use crate::time;

/// Fixed-point parts of one request.
const PARTS: u32 = 1_000;
/// The smoothed latency may rise to this many baselines before the limit falls.
const TOLERATED_BASELINES: u64 = 3;
/// The limit falls by one part in this many on each slow answer.
const DECREASE_DIVISOR: u32 = 16;
/// Weight of an answer in the smoothed latency: one part in this many.
const SMOOTHING_DIVISOR: u64 = 32;
/// The baseline rises by one part in this many of the difference on each answer.
const BASELINE_RISE_DIVISOR: u64 = 4_096;

/// Concurrency limit of one target, see the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit_parts: u32,
    /// Answers taken in, up to [`SMOOTHING_DIVISOR`].
    samples: u64,
    smoothed_us: u64,
    baseline_us: u64,
}

impl AdaptiveLimit {
    /// Starts with the given limit.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            limit_parts: initial.max(1).saturating_mul(PARTS),
            samples: 0,
            smoothed_us: 0,
            baseline_us: 0,
        }
    }

    /// Takes in an answer's latency, with the number of requests that were in flight at the target
    /// and the greatest limit of use.
    pub fn observe(&mut self, latency_us: u64, in_flight: u32, max: u32) {
        self.smooth(latency_us);
        self.move_baseline();
        if self.smoothed_us > self.baseline_us.saturating_mul(TOLERATED_BASELINES) {
            self.limit_parts -= self.limit_parts / DECREASE_DIVISOR;
        } else if in_flight.saturating_mul(2) >= self.limit_parts / PARTS {
            let step = PARTS * PARTS / self.limit_parts.max(PARTS);
            self.limit_parts = self.limit_parts.saturating_add(step);
        }
        let ceiling = max.max(1).saturating_mul(PARTS);
        self.limit_parts = self.limit_parts.clamp(PARTS, ceiling.max(PARTS));
    }

    /// The limit, at most `max` and at least one.
    #[must_use]
    pub fn current(&self, max: u32) -> u32 {
        self.limit_parts.div_ceil(PARTS).clamp(1, max.max(1))
    }

    /// The plain average of the first answers, and a moving one from then on.
    fn smooth(&mut self, latency_us: u64) {
        self.samples = (self.samples + 1).min(SMOOTHING_DIVISOR);
        if latency_us >= self.smoothed_us {
            self.smoothed_us += (latency_us - self.smoothed_us) / self.samples;
        } else {
            self.smoothed_us -= (self.smoothed_us - latency_us) / self.samples;
        }
    }

    /// The baseline follows the latency down at once and up slowly, so that a change of the
    /// workload is learned and a short overload is not.
    fn move_baseline(&mut self) {
        let settled = self.samples == SMOOTHING_DIVISOR;
        if self.baseline_us == 0 || !settled || self.smoothed_us < self.baseline_us {
            self.baseline_us = self.smoothed_us.max(1);
        } else {
            self.baseline_us += (self.smoothed_us - self.baseline_us) / BASELINE_RISE_DIVISOR;
        }
    }
}

/// Which limit of a team refused a request, and when to come back.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TeamRefusal {
    /// As many requests as allowed are in flight or waiting.
    Concurrency,
    /// The rate is reached; a token comes after this time.
    Rate(time::SpanMs),
}

/// Limits of one team.
#[derive(Clone, Debug)]
pub struct TeamGate {
    limit: snapshot::TeamLimit,
    rate: TokenBucket,
    present: u32,
}

impl TeamGate {
    /// A team without requests.
    #[must_use]
    pub fn new(limit: snapshot::TeamLimit, now: time::TimeMs) -> Self {
        Self {
            limit,
            rate: TokenBucket::new(limit.rate_per_s, limit.burst, now),
            present: 0,
        }
    }

    /// Admits a request, which must be followed by [`TeamGate::leave`].
    ///
    /// # Errors
    ///
    /// Which limit is reached.
    pub fn enter(&mut self, now: time::TimeMs) -> Result<(), TeamRefusal> {
        if self.present >= self.limit.max_concurrent {
            return Err(TeamRefusal::Concurrency);
        }
        self.rate.take(now).map_err(TeamRefusal::Rate)?;
        self.present += 1;
        Ok(())
    }

    /// A request that was admitted is over.
    pub const fn leave(&mut self) {
        self.present = self.present.saturating_sub(1);
    }

    /// Takes over changed limits without forgetting who is present.
    pub fn reconfigure(&mut self, limit: snapshot::TeamLimit, now: time::TimeMs) {
        if self.limit != limit {
            self.rate.reconfigure(limit.rate_per_s, limit.burst, now);
            self.limit = limit;
        }
    }
}
