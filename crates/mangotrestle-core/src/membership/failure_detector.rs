//! Suspicion level of a peer from the arrival times of its heartbeats.
//!
//! The estimate follows the phi accrual method: the level is `-log10` of the probability that a
//! heartbeat would be this late if the peer were well, given the distances seen so far. A level of
//! 1 is wrong one time in ten, a level of 8 one time in a hundred million, if distances are
//! normally distributed; a floor on the deviation covers distances that are too regular.

use std::collections::VecDeque;

use crate::time;

/// Number of distances that the estimate rests on.
const WINDOW: usize = 16;
/// Weight of one distance in the mean.
const DISTANCE_WEIGHT: f64 = 1.0 / 16.0;
/// Least standard deviation, as a part of the mean.
const DEVIATION_FLOOR: f64 = 0.35;
/// Highest level that is told apart.
const MAX_LEVEL: f64 = 30.0;

/// Arrival history of one peer.
///
/// Distances that were not seen yet count as the expected one, so that a short history neither
/// trusts nor suspects too soon.
#[derive(Clone, Debug)]
pub struct FailureDetector {
    last: time::TimeMs,
    distances_ms: VecDeque<f64>,
    expected: time::SpanMs,
}

#[expect(
    clippy::cast_precision_loss,
    reason = "distances are far below 2^52 milliseconds"
)]
const fn as_f64(span: time::SpanMs) -> f64 {
    span.0 as f64
}

fn unseen(expected: time::SpanMs) -> VecDeque<f64> {
    std::iter::repeat_n(as_f64(expected), WINDOW).collect()
}

impl FailureDetector {
    /// A history that starts with a heartbeat now and expects the next ones at this distance.
    #[must_use]
    pub fn new(now: time::TimeMs, expected: time::SpanMs) -> Self {
        Self {
            last: now,
            distances_ms: unseen(expected),
            expected,
        }
    }

    /// Records a heartbeat.
    pub fn heartbeat(&mut self, now: time::TimeMs) {
        let distance = now.since(self.last);
        self.last = self.last.max(now);
        // One long silence says nothing about the usual distance.
        let longest = time::SpanMs(self.expected.0.saturating_mul(4));
        self.distances_ms.pop_front();
        self.distances_ms.push_back(as_f64(distance.min(longest)));
    }

    /// Changes the expected distance. If it differs, the history starts anew as if a heartbeat had
    /// just arrived: silence that was usual before must not count as suspicious now.
    pub fn expect(&mut self, now: time::TimeMs, expected: time::SpanMs) {
        if expected != self.expected {
            *self = Self::new(now.max(self.last), expected);
        }
    }

    /// When the last heartbeat arrived.
    #[must_use]
    pub const fn last(&self) -> time::TimeMs {
        self.last
    }

    /// The suspicion level now, from 0.
    #[must_use]
    pub fn level(&self, now: time::TimeMs) -> f64 {
        let silence = as_f64(now.since(self.last));
        let mean = self.mean_ms();
        let deviation = self.deviation_ms(mean).max(mean * DEVIATION_FLOOR);
        let late = (silence - mean) / deviation;
        (-upper_tail(late).log10()).clamp(0.0, MAX_LEVEL)
    }

    /// Heartbeats that come more often than expected do not make the next one late.
    fn mean_ms(&self) -> f64 {
        let sum: f64 = self.distances_ms.iter().sum();
        (sum * DISTANCE_WEIGHT).max(as_f64(self.expected))
    }

    fn deviation_ms(&self, mean: f64) -> f64 {
        let squares: f64 = self.distances_ms.iter().map(|d| (d - mean).powi(2)).sum();
        (squares * DISTANCE_WEIGHT).sqrt()
    }
}

/// Probability that a standard normal variable exceeds `x`, by the logistic approximation
/// (error below 0.0002 near the middle, and monotonic in the tail).
fn upper_tail(x: f64) -> f64 {
    let exponent = x * (1.5976 + 0.070_566 * x * x);
    // exp(-e) / (1 + exp(-e)) without overflow for large arguments.
    let decay = (-exponent.clamp(-700.0, 700.0)).exp();
    (decay / (1.0 + decay)).max(f64::MIN_POSITIVE)
}
