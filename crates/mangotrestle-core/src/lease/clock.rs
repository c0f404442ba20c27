//! Bounds on clocks that run at slightly different rates.
//!
//! Expiry times are readings of the worker's clock, and the leader has to name them without seeing
//! that clock. What it knows is one reading and the span of its own clock in which that reading
//! was taken; the bounded drift carries the reading forward.

use crate::time;

const PARTS_PER_MILLION: u64 = 1_000_000;

/// A span between two readings in whole milliseconds is off by less than this.
const READING_ERROR_MS: u64 = 1;

/// Greatest difference in rate between any two clocks of the system.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct DriftBound {
    parts_per_million: u64,
}

impl DriftBound {
    /// A bound in parts per million. Zero trusts all clocks to run alike, but
    /// for the rounding of readings to milliseconds.
    #[must_use]
    pub const fn from_parts_per_million(parts_per_million: u64) -> Self {
        Self { parts_per_million }
    }

    /// The longest that a span of another clock may last on this one.
    ///
    /// ```
    /// use mangotrestle_core::lease::clock::DriftBound;
    /// use mangotrestle_core::time::SpanMs;
    ///
    /// let drift = DriftBound::from_parts_per_million(1_000);
    /// assert_eq!(drift.longest(SpanMs(10_000)), SpanMs(10_011));
    /// ```
    #[must_use]
    pub const fn longest(self, span: time::SpanMs) -> time::SpanMs {
        time::SpanMs(span.0.saturating_add(self.error_ms(span)))
    }

    /// The shortest that a span of another clock may last on this one.
    #[must_use]
    pub const fn shortest(self, span: time::SpanMs) -> time::SpanMs {
        time::SpanMs(span.0.saturating_sub(self.error_ms(span)))
    }

    /// How far two clocks may part over a span, and how much whole milliseconds hide.
    const fn error_ms(self, span: time::SpanMs) -> u64 {
        span.0
            .saturating_mul(self.parts_per_million)
            .div_ceil(PARTS_PER_MILLION)
            .saturating_add(READING_ERROR_MS)
    }
}

/// One reading of a worker's clock, carried forward on the leader's clock.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct WorkerClock {
    reading: time::WorkerTimeMs,
    received_at: time::TimeMs,
}

impl WorkerClock {
    /// Keeps a reading from an answer that was received at the given time. The worker read its
    /// clock before that, so the clock is never behind the estimate.
    #[must_use]
    pub const fn new(reading: time::WorkerTimeMs, received_at: time::TimeMs) -> Self {
        Self {
            reading,
            received_at,
        }
    }

    /// The least that the worker's clock can show at a time of this process.
    #[must_use]
    pub fn earliest(&self, at: time::TimeMs, drift: DriftBound) -> time::WorkerTimeMs {
        self.reading + drift.shortest(at.since(self.received_at))
    }
}
