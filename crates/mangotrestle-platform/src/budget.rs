//! Token buckets that keep a process within its share of the store's capacity.
//!
//! The store takes several hundred writes and about two thousand reads a second from the whole
//! cell. All clients of a process share one bucket for reads and one for writes. A part of each
//! second's tokens is kept for urgent requests, so that a backlog cannot delay them.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Fraction of the burst that only urgent requests may use.
const URGENT_RESERVE_FRACTION: f64 = 0.2;
/// Factor by which the rate falls when the store refuses a request as one too many.
const SLOW_DOWN_FACTOR: f64 = 0.5;
/// Minimum time between two such falls; requests that were sent together are refused together.
const SLOW_DOWN_INTERVAL: Duration = Duration::from_millis(100);
/// Fraction of the maximum rate by which the rate rises again per second.
const RECOVERY_PER_S: f64 = 0.1;

/// Priority of a request for a token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Priority {
    /// May use the whole burst, including the reserve.
    Urgent,
    /// Waits while only the reserve is left.
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
    min_rate_per_s: f64,
    max_rate_per_s: f64,
    slowed_down_at: Option<Instant>,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let recovered = self.max_rate_per_s * RECOVERY_PER_S * elapsed.as_secs_f64();
        self.set_rate((self.rate_per_s + recovered).min(self.max_rate_per_s));
        let added_tokens = elapsed.as_secs_f64() * self.rate_per_s;
        self.tokens = (self.tokens + added_tokens).min(self.burst);
        self.refilled_at = now;
    }

    fn set_rate(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s.max(1.0);
        self.burst = burst_of(self.rate_per_s);
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes a token, or returns the time until one is available.
    fn take(&mut self, now: Instant, priority: Priority) -> Result<(), Duration> {
        self.refill(now);
        let floor = match priority {
            Priority::Urgent => 0.0,
            Priority::Normal => (self.burst * URGENT_RESERVE_FRACTION).min(self.burst - 1.0),
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
    /// Creates a budget of `rate_per_s` requests a second, with bursts of a tenth of a second's
    /// worth but at least two.
    ///
    /// Rates below one a second count as one.
    #[must_use]
    pub fn new(rate_per_s: f64) -> Self {
        let rate_per_s = rate_per_s.max(1.0);
        let burst = burst_of(rate_per_s);
        let bucket = Bucket {
            rate_per_s,
            min_rate_per_s: rate_per_s,
            max_rate_per_s: rate_per_s,
            slowed_down_at: None,
            burst,
            tokens: burst,
            refilled_at: Instant::now(),
        };
        Self {
            bucket: Arc::new(Mutex::new(bucket)),
        }
    }

    /// Changes the rate, for instance when the number of live entry hosts changes.
    pub fn set_rate_per_s(&self, rate_per_s: f64) {
        self.set_rate_range_per_s(rate_per_s, rate_per_s);
    }

    /// Sets the range of the rate, which is at its maximum unless requests are refused. The minimum
    /// should be a share that all clients can use together.
    pub fn set_rate_range_per_s(&self, min: f64, max: f64) {
        let mut bucket = self.lock();
        bucket.refill(Instant::now());
        bucket.min_rate_per_s = min.min(max);
        bucket.max_rate_per_s = max;
        bucket.set_rate(max);
    }

    /// Lowers the rate, since the store refused a request as one too many; it rises again by itself.
    pub fn slow_down(&self) {
        let mut bucket = self.lock();
        let now = Instant::now();
        bucket.refill(now);
        let too_soon = bucket
            .slowed_down_at
            .is_some_and(|at| now.saturating_duration_since(at) < SLOW_DOWN_INTERVAL);
        if too_soon {
            return;
        }
        bucket.slowed_down_at = Some(now);
        let rate_per_s = (bucket.rate_per_s * SLOW_DOWN_FACTOR).max(bucket.min_rate_per_s);
        bucket.set_rate(rate_per_s);
    }

    /// The current rate, in requests a second.
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
