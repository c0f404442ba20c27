//! The speed of a worker, learned from the run times of its ended runs.
//!
//! A single run says little, since run times are known only roughly. The average is drawn to the usual
//! speed until there are several runs, and runs that were easy to predict count more.

use serde::{Deserialize, Serialize};

/// Weight of the assumption that a worker has the usual speed, in runs of a predictable queue.
const PRIOR_WEIGHT: f64 = 3.0;
/// Factor by which earlier runs count less with each further one; about 30 runs are remembered.
const MEMORY: f64 = 0.97;
/// Variance of the forecast from which a run counts less than one.
const PREDICTABLE_VARIANCE: f64 = 0.1;
/// Maximum magnitude of the logarithm of a run's speed; larger ones are clamped.
const MAX_LOG_SPEED: f64 = 1.5;
/// Width of a class of speeds, as the logarithm of a factor of 1.35.
const CLASS_WIDTH: f64 = 0.3;

/// Learned speed of a worker, relative to the usual one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkerSpeed {
    /// Sum of the logarithms of the runs' speeds, by weight.
    #[serde(rename = "s")]
    sum: f64,
    #[serde(rename = "w")]
    weight: f64,
}

impl WorkerSpeed {
    /// Learns from a run that took `took_ms` where `expected_ms` was the median of a forecast of this
    /// variance.
    #[allow(
        clippy::cast_precision_loss,
        reason = "spans of milliseconds far below 2^52"
    )]
    pub fn learn(&mut self, expected_ms: u64, variance: f64, took_ms: u64) {
        let log_speed = (expected_ms.max(1) as f64 / took_ms.max(1) as f64).ln();
        let log_speed = log_speed.clamp(-MAX_LOG_SPEED, MAX_LOG_SPEED);
        let weight = (PREDICTABLE_VARIANCE / variance).min(1.0);
        self.sum = self.sum * MEMORY + log_speed * weight;
        self.weight = self.weight * MEMORY + weight;
    }

    /// Returns the logarithm of the speed; zero is the usual one.
    #[must_use]
    pub fn log(&self) -> f64 {
        self.sum / (self.weight + PRIOR_WEIGHT)
    }

    /// Returns the speed, one for the usual one.
    #[must_use]
    pub fn factor(&self) -> f64 {
        self.log().exp()
    }

    /// Returns the class of the speed; zero is the usual one, and slower ones are negative.
    #[must_use]
    #[allow(
        clippy::cast_possible_truncation,
        reason = "the logarithm is at most 1.5"
    )]
    pub fn class(&self) -> i8 {
        (self.log() / CLASS_WIDTH).round() as i8
    }

    /// Whether enough runs have ended to be worth remembering.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.weight >= 1.0
    }

    /// Returns it in hundredths, for a short row.
    #[must_use]
    pub fn rounded(&self) -> Self {
        let round = |number: f64| (number * 100.0).round() / 100.0;
        Self {
            sum: round(self.sum),
            weight: round(self.weight),
        }
    }

    /// Returns what counts of it in a later life of the worker, which may be of another kind.
    #[must_use]
    pub fn for_later_life(&self) -> Self {
        Self {
            sum: self.sum / 2.0,
            weight: self.weight / 2.0,
        }
    }
}
