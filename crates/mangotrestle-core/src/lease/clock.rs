//! Bounds on clocks that run at slightly different rates.
//!
//! Expiry times are readings of the worker's clock, and the leader has to choose them without
//! access to that clock. It knows one reading, and when it received that reading by its own clock.
//! From the time that has passed since then and the drift bound it computes the minimum by which
//! the worker's clock has advanced.

use crate::time;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// Upper bound on the rounding error of a span between two readings in whole milliseconds.
const MAX_READING_ERROR_MS: u64 = 1;

/// Maximum difference in rate between any two clocks of the system.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DriftBound {
    parts_per_million: u64,
}

impl DriftBound {
    /// Creates a bound in parts per million. With zero all clocks are assumed to run at the same
    /// rate; readings are still rounded to milliseconds.
    #[must_use]
    pub const fn from_parts_per_million(parts_per_million: u64) -> Self {
        Self { parts_per_million }
    }

    /// Returns the maximum duration on this clock of a span measured by another clock.
    ///
    /// ```
    /// use mangotrestle_core::lease::clock::DriftBound;
    /// use mangotrestle_core::time::SpanMs;
    ///
    /// let drift = DriftBound::from_parts_per_million(1_000);
    /// assert_eq!(drift.max_span(SpanMs(10_000)), SpanMs(10_011));
    /// ```
    #[must_use]
    pub const fn max_span(self, span: time::SpanMs) -> time::SpanMs {
        time::SpanMs(span.0.saturating_add(self.max_error_ms(span)))
    }

    /// Returns the minimum duration on this clock of a span measured by another clock.
    #[must_use]
    pub const fn min_span(self, span: time::SpanMs) -> time::SpanMs {
        time::SpanMs(span.0.saturating_sub(self.max_error_ms(span)))
    }

    /// Returns the maximum divergence of two clocks over a span, rounding to milliseconds included.
    const fn max_error_ms(self, span: time::SpanMs) -> u64 {
        span.0
            .saturating_mul(self.parts_per_million)
            .div_ceil(PARTS_PER_MILLION)
            .saturating_add(MAX_READING_ERROR_MS)
    }
}

/// Estimate of a worker's clock, from one reading and the time that has passed on the leader's
/// clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerClock {
    reading: time::WorkerTimeMs,
    received_at: time::TimeMs,
}

impl WorkerClock {
    /// Creates an estimate from a reading in an answer that was received at `received_at`. The
    /// worker read its clock before that time, so its clock is never behind the estimate.
    #[must_use]
    pub const fn new(reading: time::WorkerTimeMs, received_at: time::TimeMs) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// Returns the lowest reading that the worker's clock can have at a time of this process.
    #[must_use]
    pub fn earliest_reading(&self, at: time::TimeMs, drift: DriftBound) -> time::WorkerTimeMs {
        self.reading + drift.min_span(at.since(self.received_at))
    }
}
