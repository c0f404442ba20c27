//! How long tasks take: their callers' estimates, corrected by the runs that ended.
//!
//! A caller's estimate may be off by several times. Two forecasts are kept for each queue on a
//! logarithmic scale, the usual time of its tasks and the usual error of its estimates, and each
//! counts by how well it foretold the runs so far. Both begin at the caller's word.

use crate::collections::FastMap;

use super::spec::StepSpec;

/// Weight of a run in the averages; some 50 runs are remembered.
const WEIGHT: f64 = 0.02;
/// Runs of a queue before its forecasts count.
const LEARNED_RUNS: u32 = 20;
/// Greatest magnitude of the logarithm of an error that is learned from: 20 times.
const LARGEST_LOG: f64 = 3.0;
/// Least variance of a forecast, so that none counts alone for ever.
const LEAST_VARIANCE: f64 = 0.01;

/// An average with its variance, of the latest samples.
#[derive(Clone, Copy, Debug, Default)]
struct Average {
    mean: f64,
    variance: f64,
}

impl Average {
    fn sample(&mut self, value: f64, weight: f64) {
        let error = value - self.mean;
        self.mean += error * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * error * error);
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Queue {
    runs: u32,
    /// Logarithm of the time that a task takes, in milliseconds.
    time: Average,
    /// Logarithm of that time over the caller's estimate.
    error: Average,
}

/// Forecasts of the queues of one pool.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    queues: FastMap<String, Queue>,
}

impl Estimates {
    /// Learns from a run that did all of its task's work.
    pub fn learn(&mut self, queue: &str, estimate_ms: u64, took_ms: u64) {
        let took = logarithm(took_ms);
        let error = (took - logarithm(estimate_ms)).clamp(-LARGEST_LOG, LARGEST_LOG);
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), Queue::default());
        }
        let known = self.queues.entry(queue.to_owned()).or_default();
        known.runs += 1;
        let weight = WEIGHT.max(1.0 / f64::from(known.runs));
        known.time.sample(took, weight);
        known.error.sample(error, weight);
    }

    /// Time that a task of a queue's step is expected to take, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, queue: &str, spec: &StepSpec) -> u64 {
        let known = self.queues.get(queue);
        let Some(known) = known.filter(|known| known.runs >= LEARNED_RUNS) else {
            return spec.estimate_ms;
        };
        let by_time = 1.0 / known.time.variance.max(LEAST_VARIANCE);
        let by_error = 1.0 / known.error.variance.max(LEAST_VARIANCE);
        let corrected = logarithm(spec.estimate_ms) + known.error.mean;
        let forecast = (known.time.mean * by_time + corrected * by_error) / (by_time + by_error);
        milliseconds(forecast)
    }
}

#[allow(
    clippy::cast_precision_loss,
    reason = "spans of milliseconds far below 2^52"
)]
fn logarithm(span_ms: u64) -> f64 {
    (span_ms.max(1) as f64).ln()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a saturating cast is what an absurd figure should become"
)]
fn milliseconds(logarithm: f64) -> u64 {
    logarithm.exp().round() as u64
}
