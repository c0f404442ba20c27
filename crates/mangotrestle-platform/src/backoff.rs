//! Exponential back-off with jitter: each delay is drawn between half of a bound and the bound.

use std::time::Duration;

use rand::RngExt;

/// Delays between attempts that double up to a maximum, each drawn at random so that clients that
/// failed together do not retry together.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    ceiling: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a back-off that starts at `base` and doubles up to `ceiling`.
    #[must_use]
    pub const fn new(base: Duration, ceiling: Duration) -> Self {
        Self {
            base,
            ceiling,
            failures: 0,
        }
    }

    /// Returns the delay before the next attempt, between half of the current bound and the bound.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Returns to the base delay, after a success.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    fn bound(&self) -> Duration {
        let doublings = self.failures.min(16);
        self.base.saturating_mul(1 << doublings).min(self.ceiling)
    }
}
