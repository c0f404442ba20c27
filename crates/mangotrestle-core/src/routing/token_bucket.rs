//! A token bucket: a sustained rate with bounded bursts.
//!
//! Tokens are added at a fixed rate up to a capacity; each use takes one. A use costs O(1). The
//! bucket needs no timer, since each call refills it up to the time that is passed in.
//!
//! ```
//! use mangotrestle_core::routing::token_bucket::TokenBucket;
//! use mangotrestle_core::time::{SpanMs, TimeMs};
//!
//! let mut bucket = TokenBucket::new(10, 2, TimeMs(0));
//! assert!(bucket.take(TimeMs(0)).is_ok());
//! assert!(bucket.take(TimeMs(0)).is_ok());
//! assert_eq!(bucket.take(TimeMs(0)), Err(SpanMs(100)));
//! assert!(bucket.take(TimeMs(100)).is_ok());
//! ```

use crate::time;

/// Fixed-point scale of tokens. It avoids rounding at low rates: a rate of one token per second
/// adds one part per millisecond.
const PARTS_PER_TOKEN: u64 = 1_000;

/// A token bucket. See the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: u64,
    capacity_parts: u64,
    parts: u64,
    refilled_at: time::TimeMs,
}

impl TokenBucket {
    /// Returns a full bucket.
    #[must_use]
    pub fn new(rate_per_s: u32, capacity: u32, now: time::TimeMs) -> Self {
        let capacity_parts = u64::from(capacity) * PARTS_PER_TOKEN;
        Self {
            rate_per_s: u64::from(rate_per_s),
            capacity_parts,
            parts: capacity_parts,
            refilled_at: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// Returns the time until a token is available, if there is none now. With a rate of zero that
    /// is [`u64::MAX`] milliseconds.
    pub fn take(&mut self, now: time::TimeMs) -> Result<(), time::SpanMs> {
        self.refill(now);
        if self.parts >= PARTS_PER_TOKEN {
            self.parts -= PARTS_PER_TOKEN;
            return Ok(());
        }
        let missing = PARTS_PER_TOKEN - self.parts;
        let wait_ms = match self.rate_per_s {
            0 => u64::MAX,
            rate => missing.div_ceil(rate),
        };
        Err(time::SpanMs(wait_ms))
    }

    /// Adds thousandths of a token. What exceeds the capacity is discarded.
    pub fn add_thousandths(&mut self, thousandths: u64) {
        self.parts = self
            .parts
            .saturating_add(thousandths)
            .min(self.capacity_parts);
    }

    /// Changes the rate and the capacity. Tokens above the new capacity are discarded.
    pub fn reconfigure(&mut self, rate_per_s: u32, capacity: u32, now: time::TimeMs) {
        self.refill(now);
        self.rate_per_s = u64::from(rate_per_s);
        self.capacity_parts = u64::from(capacity) * PARTS_PER_TOKEN;
        self.parts = self.parts.min(self.capacity_parts);
    }

    fn refill(&mut self, now: time::TimeMs) {
        let elapsed = now.since(self.refilled_at);
        self.add_thousandths(elapsed.0.saturating_mul(self.rate_per_s));
        self.refilled_at = self.refilled_at.max(now);
    }
}
