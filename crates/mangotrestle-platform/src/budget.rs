//! Token buckets that keep a process within its share of the store's capacity.
//!
//! The store takes several hundred writes and about two thousand reads a second from the whole
//! cell. Every client of a process draws on one bucket for each direction. A part of each second's
//! tokens is kept for urgent requests, so that a backlog cannot delay them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Part of the burst that only urgent requests may draw.
const URGENT_RESERVE: f64 = 0.2;

/// How a request draws on a budget.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Priority {
    /// May use the reserve.
    Urgent,
    /// Leaves the reserve alone.
    #[default]
    Normal,
}

/// A shared token bucket.
#[derive(Clone, Debug)]
pub struct Budget {
    bucket: Arc<Mutex<Bucket>>,
}

#[derive(Debug)]
struct Bucket {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled);
        let earned = elapsed.as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + earned).min(self.burst);
        self.refilled = now;
    }

    /// Takes a token, or says how long until there is one.
    fn take(&mut self, now: Instant, priority: Priority) -> Result<(), Duration> {
        self.refill(now);
        let floor = match priority {
            Priority::Urgent => 0.0,
            Priority::Normal => (self.burst * URGENT_RESERVE).min(self.burst - 1.0),
        };
        let missing = floor + 1.0 - self.tokens;
        if missing <= 0.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(missing / self.rate_per_s).max(Duration::from_millis(1)))
    }
}

impl Budget {
    /// A budget of so many requests a second, with bursts of at most a tenth of a second's worth.
    ///
    /// Rates below one a second count as one.
    #[must_use]
    pub fn new(rate_per_s: f64) -> Self {
        let rate_per_s = rate_per_s.max(1.0);
        let burst = burst_of(rate_per_s);
        let bucket = Bucket {
            rate_per_s,
            burst,
            tokens: burst,
            refilled: Instant::now(),
        };
        Self {
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Changes the rate, for instance when the number of live entry hosts changes.
    pub fn set_rate_per_s(&self, rate_per_s: f64) {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.rate_per_s = rate_per_s.max(1.0);
        bucket.burst = burst_of(bucket.rate_per_s);
        bucket.tokens = bucket.tokens.min(bucket.burst);
    }

    /// The present rate.
    #[must_use]
    pub fn rate_per_s(&self) -> f64 {
        self.lock().rate_per_s
    }

    /// Waits for a token.
    pub async fn acquire(&self, priority: Priority) {
        loop {
            let taken = self.lock().take(Instant::now(), priority);
            match taken {
                Ok(()) => return,
                Err(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Bucket> {
        self.bucket.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn burst_of(rate_per_s: f64) -> f64 {
    (rate_per_s / 10.0).max(2.0)
}
