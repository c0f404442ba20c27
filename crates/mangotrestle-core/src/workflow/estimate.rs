//! Estimates of task run times: their callers' estimates, corrected by the run times observed so
//! far.
//!
//! A caller's estimate may be off by several times. For each queue, and for each image within it, there
//! are two forecasts on a logarithmic scale, the usual run time of the tasks and the usual error of the
//! estimates. Each is weighted by how well it predicted the runs so far. Until enough runs have ended,
//! the caller's estimate is used as it is.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::spec::StepSpec;

/// Weight of a run in the moving averages; about 50 runs are remembered.
const SAMPLE_WEIGHT: f64 = 0.02;
/// Minimum number of runs of a group before its forecasts are used.
const MIN_LEARNED_RUNS: u32 = 20;
/// Maximum magnitude of the logarithm of an error; errors above a factor of 20 are clamped.
const MAX_LOG_ERROR: f64 = 3.0;
/// Minimum variance of a forecast, so that neither gets all of the weight permanently.
const MIN_VARIANCE: f64 = 0.01;
/// Maximum number of images of a queue that are told apart.
const MAX_IMAGES: usize = 64;
/// Variance of the logarithm of a run time about which nothing is known but its caller's estimate.
const UNKNOWN_VARIANCE: f64 = 0.25;

/// Moving average and variance of the latest samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Average {
    #[serde(rename = "m")]
    mean: f64,
    #[serde(rename = "v")]
    variance: f64,
}

impl Average {
    fn sample(&mut self, value: f64, weight: f64) {
        let error = value - self.mean;
        self.mean += error * weight;
        self.variance = (1.0 - weight) * (self.variance + weight * error * error);
    }

    fn precision(&self) -> f64 {
        1.0 / self.variance.max(MIN_VARIANCE)
    }
}

/// What the runs of a group showed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
struct GroupStats {
    #[serde(rename = "n")]
    runs: u32,
    /// Logarithm of the run time, in milliseconds.
    #[serde(rename = "t")]
    time: Average,
    /// Logarithm of the run time divided by the caller's estimate.
    #[serde(rename = "e")]
    error: Average,
}

impl GroupStats {
    fn sample(&mut self, log_time: f64, error: f64) {
        self.runs = self.runs.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.runs));
        self.time.sample(log_time, weight);
        self.error.sample(error, weight);
    }

    fn forecast(&self, estimate_ms: u64) -> Forecast {
        let corrected = logarithm(estimate_ms) + self.error.mean;
        let (time_weight, error_weight) = (self.time.precision(), self.error.precision());
        let sum = self.time.mean * time_weight + corrected * error_weight;
        Forecast {
            log_ms: sum / (time_weight + error_weight),
            variance: 1.0 / time_weight.max(error_weight),
        }
    }
}

/// Forecast of a run time on a logarithmic scale.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Forecast {
    /// Logarithm of the median, in milliseconds.
    log_ms: f64,
    variance: f64,
}

impl Forecast {
    /// Returns the median in milliseconds.
    #[must_use]
    pub fn median_ms(&self) -> u64 {
        milliseconds(self.log_ms)
    }

    /// Returns the run time in milliseconds that lies this many standard deviations above the median.
    #[must_use]
    pub fn above_median_ms(&self, deviations: f64) -> u64 {
        milliseconds(self.log_ms + deviations * self.variance.sqrt())
    }

    /// Returns the variance of the logarithm.
    #[must_use]
    pub const fn variance(&self) -> f64 {
        self.variance
    }
}

/// Statistics of a queue, and of each of its images.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
struct QueueGroups {
    #[serde(rename = "q")]
    all: GroupStats,
    #[serde(rename = "i", skip_serializing_if = "BTreeMap::is_empty")]
    images: BTreeMap<String, GroupStats>,
}

impl QueueGroups {
    /// Returns the statistics of the narrowest group of a step with enough runs.
    fn narrowest(&self, spec: &StepSpec) -> Option<&GroupStats> {
        let groups = [self.images.get(&spec.image), Some(&self.all)];
        let mut groups = groups.into_iter().flatten();
        groups.find(|stats| stats.runs >= MIN_LEARNED_RUNS)
    }

    fn sample(&mut self, spec: &StepSpec, log_time: f64, error: f64) {
        self.all.sample(log_time, error);
        if spec.image.is_empty() {
            return;
        }
        if let Some(stats) = self.images.get_mut(&spec.image) {
            stats.sample(log_time, error);
        } else if self.images.len() < MAX_IMAGES {
            let stats = self.images.entry(spec.image.clone()).or_default();
            stats.sample(log_time, error);
        }
    }
}

/// Forecasts for the queues of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Estimates {
    queues: BTreeMap<String, QueueGroups>,
}

impl Estimates {
    /// Updates the forecasts with the run time of a run that did all of its task's work.
    pub fn learn(&mut self, queue: &str, spec: &StepSpec, took_ms: u64) {
        let log_time = logarithm(took_ms);
        let error = log_time - logarithm(spec.estimate_ms);
        let error = error.clamp(-MAX_LOG_ERROR, MAX_LOG_ERROR);
        if !self.queues.contains_key(queue) {
            self.queues.insert(queue.to_owned(), QueueGroups::default());
        }
        if let Some(groups) = self.queues.get_mut(queue) {
            groups.sample(spec, log_time, error);
        }
    }

    /// Returns the forecast for a task of a queue's step: that of the narrowest group with enough runs.
    #[must_use]
    pub fn forecast(&self, queue: &str, spec: &StepSpec) -> Forecast {
        let groups = self.queues.get(queue);
        let learned = groups.and_then(|groups| groups.narrowest(spec));
        learned.map_or_else(
            || Forecast {
                log_ms: logarithm(spec.estimate_ms),
                variance: UNKNOWN_VARIANCE,
            },
            |stats| stats.forecast(spec.estimate_ms),
        )
    }

    /// Returns the expected run time of a task of a queue's step, in milliseconds.
    #[must_use]
    pub fn expected_ms(&self, queue: &str, spec: &StepSpec) -> u64 {
        self.forecast(queue, spec).median_ms()
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
