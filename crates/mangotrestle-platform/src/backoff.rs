//! Exponential back-off with full jitter.

use std::time::Duration;

use rand::RngExt;

/// Delays between tries that grow to a ceiling, each drawn at random so that clients which failed
/// together do not return together.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    ceiling: Duration,
    failures: u32,
}

impl Backoff {
    /// Starts at a base delay and doubles up to a ceiling.
    #[must_use]
    pub const fn new(base: Duration, ceiling: Duration) -> Self {
        Self {
            base,
            ceiling,
            failures: 0,
        }
    }

    /// The delay before the next try, between half of the present bound and the bound.
    pub fn next_delay(&mut self) -> Duration {
        let bound = self.bound();
        self.failures = self.failures.saturating_add(1);
        bound.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Starts again at the base delay.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }

    fn bound(&self) -> Duration {
        let doublings = self.failures.min(16);
        self.base.saturating_mul(1 << doublings).min(self.ceiling)
    }
}
