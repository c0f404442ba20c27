//! How late a pool's leader is, as its callers feel it.
//!
//! A leader with free workers may still be late: its host has too little processor time, the store
//! takes long to commit, or the advice service to answer. The leader publishes these delays, so that
//! admission can refuse what they would make useless.

use crate::time::{SpanMs, TimeMs};

/// Weight of the earlier measurements in an average, in parts of [`WEIGHTS`].
const EARLIER_WEIGHT: u64 = 7;
/// Sum of the weights.
const WEIGHTS: u64 = 8;
/// Time without a measurement after which an average says nothing any more.
const MAX_AGE: SpanMs = SpanMs(2_000);

/// Average of delays in which the latest counts most.
#[derive(Clone, Copy, Debug, Default)]
pub struct Lag {
    average_ms: u64,
    measured_at: TimeMs,
}

impl Lag {
    /// Adds a measurement.
    pub fn record(&mut self, now: TimeMs, delay: SpanMs) {
        let average_ms = self.at(now).0;
        self.average_ms = (average_ms * EARLIER_WEIGHT + delay.0).div_ceil(WEIGHTS);
        self.measured_at = now;
    }

    /// Returns the average, zero if nothing was measured lately.
    #[must_use]
    pub fn at(&self, now: TimeMs) -> SpanMs {
        if now.since(self.measured_at) < MAX_AGE {
            SpanMs(self.average_ms)
        } else {
            SpanMs(0)
        }
    }
}
