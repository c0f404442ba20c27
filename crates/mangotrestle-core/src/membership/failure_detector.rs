//! Suspicion level of a peer from the arrival times of its heartbeats.
//!
//! The estimate follows the phi accrual method: the level is `-log10` of the probability that a
//! healthy peer's heartbeat would be this late, given the intervals between earlier ones. If
//! intervals are normally distributed, a suspicion at level 1 is wrong one time in ten, at level 8
//! one time in a hundred million. A minimum deviation keeps very regular intervals from making a
//! small delay look suspicious.

use std::collections::VecDeque;

use crate::time;

/// Number of heartbeat intervals on which the estimate is based.
const WINDOW_LEN: usize = 16;
/// Weight of one interval in the mean: 1 / [`WINDOW_LEN`].
const INTERVAL_WEIGHT: f64 = 1.0 / 16.0;
/// Minimum standard deviation, as a fraction of the mean.
const MIN_DEVIATION_FRACTION: f64 = 0.35;
/// Maximum level that is reported.
const MAX_LEVEL: f64 = 30.0;

/// Arrival history of one peer.
///
/// The history starts out filled with the expected interval, so that the few intervals measured at
/// first cause neither a late nor an early suspicion.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    last_heartbeat_at: time::TimeMs,
    intervals_ms: VecDeque<f64>,
    expected_interval: time::SpanMs,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "intervals are far below 2^52 milliseconds"
)]
const fn as_f64(span: time::SpanMs) -> f64 {
    span.0 as f64
}

fn initial_intervals(expected_interval: time::SpanMs) -> VecDeque<f64> {
    std::iter::repeat_n(as_f64(expected_interval), WINDOW_LEN).collect()
}

impl FailureDetector {
    /// Creates a history that starts with a heartbeat now and expects the next ones at this
    /// interval.
    #[must_use]
    pub fn new(now: time::TimeMs, expected_interval: time::SpanMs) -> Self {
        Self {
            last_heartbeat_at: now,
            intervals_ms: initial_intervals(expected_interval),
            expected_interval,
        }
    }

    /// Records a heartbeat.
    pub fn heartbeat(&mut self, now: time::TimeMs) {
        let interval = now.since(self.last_heartbeat_at);
        self.last_heartbeat_at = self.last_heartbeat_at.max(now);
        // One long gap must not distort the estimate of the usual interval.
        let max_interval = time::SpanMs(self.expected_interval.0.saturating_mul(4));
        self.intervals_ms.pop_front();
        self.intervals_ms
            .push_back(as_f64(interval.min(max_interval)));
    }

    /// Sets the expected interval. If it changes, the history restarts as if a heartbeat had just
    /// arrived: a delay that was normal at the previous interval must not become suspicious.
    pub fn set_expected_interval(&mut self, now: time::TimeMs, expected_interval: time::SpanMs) {
        if expected_interval != self.expected_interval {
            *self = Self::new(now.max(self.last_heartbeat_at), expected_interval);
        }
    }

    /// Returns when the last heartbeat arrived.
    #[must_use]
    pub const fn last_heartbeat_at(&self) -> time::TimeMs {
        self.last_heartbeat_at
    }

    /// Returns the suspicion level now, 0 or greater.
    #[must_use]
    pub fn level(&self, now: time::TimeMs) -> f64 {
        let elapsed = as_f64(now.since(self.last_heartbeat_at));
        let mean = self.mean_ms();
        let deviation = self.deviation_ms(mean).max(mean * MIN_DEVIATION_FRACTION);
        let normalized_delay = (elapsed - mean) / deviation;
        (-upper_tail_probability(normalized_delay).log10()).clamp(0.0, MAX_LEVEL)
    }

    /// Returns the mean interval, at least the expected one: after a few early heartbeats, one that
    /// arrives at the expected interval is not late.
    fn mean_ms(&self) -> f64 {
        let sum: f64 = self.intervals_ms.iter().sum();
        (sum * INTERVAL_WEIGHT).max(as_f64(self.expected_interval))
    }

    fn deviation_ms(&self, mean: f64) -> f64 {
        let squares: f64 = self.intervals_ms.iter().map(|d| (d - mean).powi(2)).sum();
        (squares * INTERVAL_WEIGHT).sqrt()
    }
}

/// Returns the probability that a standard normal variable exceeds `x`, by the logistic
/// approximation (error below 0.0002 near the middle, and monotonic in the tail).
fn upper_tail_probability(x: f64) -> f64 {
    let exponent = x * (1.5976 + 0.070_566 * x * x);
    // exp(-e) / (1 + exp(-e)) without overflow for large arguments.
    let decay = (-exponent.clamp(-700.0, 700.0)).exp();
    (decay / (1.0 + decay)).max(f64::MIN_POSITIVE)
}
