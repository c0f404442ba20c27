//! A running estimate of latency: smoothed mean and mean deviation.
//!
//! The weights are those that TCP uses for its retransmission timer: one eighth for the mean and
//! one quarter for the deviation. The mean of the first eight observations is their plain average,
//! so that the first one does not weigh more than the others; the deviation is averaged likewise
//! over the first four. An observation costs O(1), and the state is three integers.
//!
//! ```
//! use mangotrestle_core::routing::latency::Latency;
//!
//! let mut latency = Latency::default();
//! for _ in 0..50 {
//!     latency.observe_us(8_000);
//! }
//! assert_eq!(latency.mean_us(), Some(8_000));
//! assert_eq!(latency.high_us(), Some(8_000));
//! ```

/// Running estimate of a latency. See the [module's documentation](self).
#[derive(Clone, Copy, Debug, Default)]
pub struct Latency {
    mean_us: u64,
    deviation_us: u64,
    samples: u32,
}

impl Latency {
    /// Adds an observation, in microseconds.
    pub fn observe_us(&mut self, sample_us: u64) {
        if self.samples == 0 {
            self.mean_us = sample_us;
            self.deviation_us = sample_us / 2;
        } else {
            let difference = sample_us.abs_diff(self.mean_us);
            let count = u64::from(self.samples) + 1;
            self.deviation_us = move_towards(self.deviation_us, difference, count.min(4));
            self.mean_us = move_towards(self.mean_us, sample_us, count.min(8));
        }
        self.samples = self.samples.saturating_add(1);
    }

    /// Smoothed mean in microseconds; `None` before the first observation.
    #[must_use]
    pub fn mean_us(&self) -> Option<u64> {
        (self.samples > 0).then_some(self.mean_us)
    }

    /// Upper estimate in microseconds, which few observations exceed: the mean plus twice the mean
    /// deviation. `None` before the first observation.
    #[must_use]
    pub fn high_us(&self) -> Option<u64> {
        (self.samples > 0).then(|| self.mean_us.saturating_add(2 * self.deviation_us))
    }

    /// Number of observations.
    #[must_use]
    pub const fn samples(&self) -> u32 {
        self.samples
    }
}

/// Moves `estimate` towards `input` by the difference divided by `divisor`. The step is rounded up,
/// so that the estimate reaches a constant input.
fn move_towards(estimate: u64, input: u64, divisor: u64) -> u64 {
    if input >= estimate {
        estimate + (input - estimate).div_ceil(divisor)
    } else {
        estimate - (estimate - input).div_ceil(divisor)
    }
}
