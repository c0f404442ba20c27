//! Concurrency limits: adaptive for targets, fixed for teams.
//!
//! [`AdaptiveLimit`] finds the concurrency that a target can handle without a rise of its latency.
//! The limit increases additively while it is used and latency is near its baseline, and decreases
//! multiplicatively when the smoothed latency exceeds a multiple of the baseline. [`TeamLimiter`]
//! is a fixed bound on concurrency and rate.
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

/// Fixed-point scale of the limit: parts per request.
const PARTS_PER_REQUEST: u32 = 1_000;
/// Maximum ratio of smoothed latency to baseline; the limit decreases above it.
const MAX_LATENCY_RATIO: u64 = 3;
/// On each slow answer the limit decreases by itself divided by this.
const DECREASE_DIVISOR: u32 = 16;
/// Inverse weight of an answer in the smoothed latency.
const SMOOTHING_DIVISOR: u64 = 32;
/// On each answer the baseline rises by its distance to the smoothed latency divided by this.
const BASELINE_RISE_DIVISOR: u64 = 4_096;

/// Concurrency limit of one target, see the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit_parts: u32,
    /// Number of answers observed, at most [`SMOOTHING_DIVISOR`].
    samples: u64,
    smoothed_us: u64,
    baseline_us: u64,
}

impl AdaptiveLimit {
    /// Returns a limit that starts at `initial`.
    #[must_use]
    pub fn new(initial: u32) -> Self {
        Self {
            limit_parts: initial.max(1).saturating_mul(PARTS_PER_REQUEST),
            samples: 0,
            smoothed_us: 0,
            baseline_us: 0,
        }
    }

    /// Updates the limit from an answer's latency and the number of requests that were in flight at
    /// the target. `max` bounds the limit.
    pub fn observe(&mut self, latency_us: u64, in_flight: u32, max: u32) {
        self.update_smoothed(latency_us);
        self.update_baseline();
        if self.smoothed_us > self.baseline_us.saturating_mul(MAX_LATENCY_RATIO) {
            self.limit_parts -= self.limit_parts / DECREASE_DIVISOR;
        } else if in_flight.saturating_mul(2) >= self.limit_parts / PARTS_PER_REQUEST {
            let step =
                PARTS_PER_REQUEST * PARTS_PER_REQUEST / self.limit_parts.max(PARTS_PER_REQUEST);
            self.limit_parts = self.limit_parts.saturating_add(step);
        }
        let ceiling = max.max(1).saturating_mul(PARTS_PER_REQUEST);
        self.limit_parts = self
            .limit_parts
            .clamp(PARTS_PER_REQUEST, ceiling.max(PARTS_PER_REQUEST));
    }

    /// The limit, at most `max` and at least one.
    #[must_use]
    pub fn current(&self, max: u32) -> u32 {
        self.limit_parts
            .div_ceil(PARTS_PER_REQUEST)
            .clamp(1, max.max(1))
    }

    /// Updates the smoothed latency: the plain average of the first [`SMOOTHING_DIVISOR`] answers,
    /// an exponential moving average from then on.
    fn update_smoothed(&mut self, latency_us: u64) {
        self.samples = (self.samples + 1).min(SMOOTHING_DIVISOR);
        if latency_us >= self.smoothed_us {
            self.smoothed_us += (latency_us - self.smoothed_us) / self.samples;
        } else {
            self.smoothed_us -= (self.smoothed_us - latency_us) / self.samples;
        }
    }

    /// Updates the baseline. It follows the smoothed latency down at once and up slowly, so that it
    /// adapts to a lasting change of the workload but not to a short overload.
    fn update_baseline(&mut self) {
        let has_full_average = self.samples == SMOOTHING_DIVISOR;
        if self.baseline_us == 0 || !has_full_average || self.smoothed_us < self.baseline_us {
            self.baseline_us = self.smoothed_us.max(1);
        } else {
            self.baseline_us += (self.smoothed_us - self.baseline_us) / BASELINE_RISE_DIVISOR;
        }
    }
}

/// Which of a team's limits was the reason to refuse a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TeamRefusal {
    /// The maximum number of requests is in flight or waiting.
    Concurrency,
    /// The rate limit is reached. The next token is available after this time.
    Rate(time::SpanMs),
}

/// Enforces the limits of one team.
#[derive(Clone, Debug)]
pub struct TeamLimiter {
    limit: snapshot::TeamLimit,
    rate: TokenBucket,
    admitted: u32,
}

impl TeamLimiter {
    /// Returns a limiter of a team without requests.
    #[must_use]
    pub fn new(limit: snapshot::TeamLimit, now: time::TimeMs) -> Self {
        Self {
            limit,
            rate: TokenBucket::new(limit.rate_per_s, limit.burst, now),
            admitted: 0,
        }
    }

    /// Admits a request. Each admitted request must be followed by [`TeamLimiter::leave`].
    ///
    /// # Errors
    ///
    /// Returns the limit that is reached.
    pub fn admit(&mut self, now: time::TimeMs) -> Result<(), TeamRefusal> {
        if self.admitted >= self.limit.max_concurrent {
            return Err(TeamRefusal::Concurrency);
        }
        self.rate.take(now).map_err(TeamRefusal::Rate)?;
        self.admitted += 1;
        Ok(())
    }

    /// Counts the end of an admitted request.
    pub const fn leave(&mut self) {
        self.admitted = self.admitted.saturating_sub(1);
    }

    /// Changes the limits. Requests that were admitted still count.
    pub fn reconfigure(&mut self, limit: snapshot::TeamLimit, now: time::TimeMs) {
        if self.limit != limit {
            self.rate.reconfigure(limit.rate_per_s, limit.burst, now);
            self.limit = limit;
        }
    }
}
