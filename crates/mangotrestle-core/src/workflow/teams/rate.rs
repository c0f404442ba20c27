//! Tells a team's promised work from what it sends beyond that.
//!
//! Load that this answers: a team that sends many times its usual. What lies beyond its rate waits
//! behind the promised work of all teams, so that the flood costs the others nothing.

use crate::time::TimeMs;

/// Time whose promised jobs may come at once, in seconds.
const BURST_S: f64 = 2.0;

/// A bucket that fills at a team's promised rate; each promised job takes one from it.
#[derive(Clone, Debug)]
pub struct PromisedRate {
    rate_per_s: f64,
    jobs: f64,
    filled_at: TimeMs,
}

impl PromisedRate {
    /// Returns a full bucket.
    #[must_use]
    pub fn new(now: TimeMs, rate_per_s: f64) -> Self {
        Self {
            rate_per_s,
            jobs: capacity(rate_per_s),
            filled_at: now,
        }
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, now: TimeMs, rate_per_s: f64) {
        self.fill(now);
        self.rate_per_s = rate_per_s;
        self.jobs = self.jobs.min(capacity(rate_per_s));
    }

    /// Counts a job. Returns whether it is promised; all are if there is no rate.
    pub fn take(&mut self, now: TimeMs) -> bool {
        if self.rate_per_s <= 0.0 {
            return true;
        }
        self.fill(now);
        let promised = self.jobs >= 1.0;
        if promised {
            self.jobs -= 1.0;
        }
        promised
    }

    /// Whether the next job would be beyond the rate.
    #[must_use]
    pub fn is_exceeded(&self, now: TimeMs) -> bool {
        self.rate_per_s > 0.0 && self.filled(now) < 1.0
    }

    fn fill(&mut self, now: TimeMs) {
        self.jobs = self.filled(now);
        self.filled_at = now;
    }

    fn filled(&self, now: TimeMs) -> f64 {
        let seconds = now.since(self.filled_at).as_duration().as_secs_f64();
        (self.jobs + seconds * self.rate_per_s).min(capacity(self.rate_per_s))
    }
}

/// Returns the number of promised jobs that may come at once.
fn capacity(rate_per_s: f64) -> f64 {
    (rate_per_s * BURST_S).max(1.0)
}
