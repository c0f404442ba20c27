//! A token bucket: a sustained rate with bounded bursts.
//!
//! Tokens drip in at a fixed rate up to a capacity; each use takes one. A use costs O(1) and the
//! bucket needs no timer, since it is filled by the time that is passed in.
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

/// Parts of a token, so that slow rates fill without rounding: a rate of one a second adds one
/// part each millisecond.
const PARTS_PER_TOKEN: u64 = 1_000;

/// See the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct TokenBucket {
    rate_per_s: u64,
    capacity_parts: u64,
    parts: u64,
    filled_at: time::TimeMs,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(rate_per_s: u32, capacity: u32, now: time::TimeMs) -> Self {
        let capacity_parts = u64::from(capacity) * PARTS_PER_TOKEN;
        Self {
            rate_per_s: u64::from(rate_per_s),
            capacity_parts,
            parts: capacity_parts,
            filled_at: now,
        }
    }

    /// Takes one token.
    ///
    /// # Errors
    ///
    /// The time until a token will be there, if there is none. With a rate of zero that is the
    /// greatest span.
    pub fn take(&mut self, now: time::TimeMs) -> Result<(), time::SpanMs> {
        self.fill(now);
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

    /// Adds thousandths of a token, up to the capacity.
    pub fn add_thousandths(&mut self, thousandths: u64) {
        self.parts = self
            .parts
            .saturating_add(thousandths)
            .min(self.capacity_parts);
    }

    /// Changes rate and capacity; tokens above the new capacity are lost.
    pub fn reconfigure(&mut self, rate_per_s: u32, capacity: u32, now: time::TimeMs) {
        self.fill(now);
        self.rate_per_s = u64::from(rate_per_s);
        self.capacity_parts = u64::from(capacity) * PARTS_PER_TOKEN;
        self.parts = self.parts.min(self.capacity_parts);
    }

    fn fill(&mut self, now: time::TimeMs) {
        let elapsed = now.since(self.filled_at);
        self.add_thousandths(elapsed.0.saturating_mul(self.rate_per_s));
        self.filled_at = self.filled_at.max(now);
    }
}
