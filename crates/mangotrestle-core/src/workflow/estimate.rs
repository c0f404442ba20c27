//! Estimates of task run times: their callers' estimates, corrected by the run times observed so
//! far.
//!
//! A caller's estimate may be off by several times. For each queue there are two forecasts on a
//! logarithmic scale, the usual run time of its tasks and the usual error of its estimates. Each is
//! weighted by how well it predicted the runs so far. Until enough runs have ended, the caller's
//! estimate is used as it is.

use crate::collections::FastMap;

use super::spec::StepSpec;

/// Weight of a run in the moving averages; about 50 runs are remembered.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Minimum number of runs of a queue before its forecasts are used.
const MIN_LEARNED_RUNS: u32 = 20;
/// Maximum magnitude of the logarithm of an error; errors above a factor of 20 are clamped.
const MAX_LOG_ERROR: f64 = 3.0;
/// Minimum variance of a forecast, so that neither gets all of the weight permanently.
const MIN_VARIANCE: f64 = 0.01;

/// Moving average and variance of the latest samples.
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
struct QueueStats {
    runs: u32,
    /// Logarithm of the run time, in milliseconds.
    time: Average,
    /// Logarithm of the run time divided by the caller's estimate.
    error: Average,
}

/// Forecasts for the queues of one pool.
#[derive(Clone, Debug, Default)]
pub struct Estimates {
    queues: FastMap<String, QueueStats>,
}

impl Estimates {
    /// Updates the queue's forecasts with the run time of a run that did all of its task's work.
    pub fn learn(&mut self, queue: &str, estimate_ms: u64, took_ms: u64) {
        let log_time = logarithm(took_ms);
        let error = (log_time - logarithm(estimate_ms)).clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueStats::default());
        }
        let stats = self.queues.entry(queue.to_owned()).or_default();
        stats.runs += 1;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(stats.runs));
        stats.time.sample(log_time, weight);
        stats.error.sample(error, weight);
    }

    /// Returns the expected run time of a task of a queue's step, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, queue: &str, spec: &StepSpec) -> u64 {
        let stats = self.queues.get(queue);
        let Some(stats) = stats.filter(|stats| stats.runs >= MIN_LEARNED_RUNS) else {
            return spec.estimate_ms;
        };
        let time_weight = 1.0 / stats.time.variance.max(MIN_VARIANCE);
        let error_weight = 1.0 / stats.error.variance.max(MIN_VARIANCE);
        let corrected = logarithm(spec.estimate_ms) + stats.error.mean;
        let forecast = (stats.time.mean * time_weight + corrected * error_weight)
            / (time_weight + error_weight);
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
    reason = "out-of-range values should saturate"
)]
fn milliseconds(logarithm: f64) -> u64 {
    logarithm.exp().round() as u64
}
