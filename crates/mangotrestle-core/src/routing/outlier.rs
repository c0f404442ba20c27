//! Outlier detection: ejects replicas that fail or are far slower than their peers.
//!
//! A [`Tracker`] follows one replica. After several consecutive failures, or when the replica's
//! latency is a multiple of its peers' median, it may be ejected, as long as [`Policy::may_eject`]
//! leaves enough replicas active. An ejected replica is readmitted after a successful probe. Probes
//! are idempotent requests, sent to the replica one at a time. Each failed probe doubles the time
//! until the next one.
//!
//! ```
//! use mangotrestle_core::routing::outlier;
//! use mangotrestle_core::time::{SpanMs, TimeMs};
//!
//! let policy = outlier::Policy::default();
//! let mut tracker = outlier::Tracker::default();
//! for _ in 0..policy.failures_to_eject {
//!     tracker.record_failure();
//! }
//! assert!(tracker.is_failing(&policy));
//! assert!(policy.may_eject(0, 4));
//! tracker.eject(&policy, TimeMs(0));
//! assert_eq!(tracker.status(TimeMs(1)), outlier::Status::Ejected);
//! assert_eq!(tracker.status(TimeMs(0) + policy.base_ejection), outlier::Status::Probe);
//! tracker.readmit(TimeMs(5_000));
//! assert_eq!(tracker.status(TimeMs(5_000)), outlier::Status::Active);
//! ```

use crate::routing::latency::Latency;
use crate::time;

/// When replicas are ejected, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Number of consecutive failures after which a replica counts as failing.
    pub failures_to_eject: u32,
    /// A replica is slow when its mean latency exceeds its peers' median times this.
    pub slow_ratio: u64,
    /// Minimum number of answers before a replica's latency is compared with its peers'.
    pub min_samples: u32,
    /// Duration of the first ejection.
    pub base_ejection: time::SpanMs,
    /// Maximum duration of an ejection.
    pub max_ejection: time::SpanMs,
    /// Minimum percentage of replicas that stay active.
    pub min_active_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            failures_to_eject: 4,
            slow_ratio: 3,
            min_samples: 5,
            base_ejection: time::SpanMs::from_secs(2),
            max_ejection: time::SpanMs::from_secs(60),
            min_active_percent: 50,
        }
    }
}

impl Policy {
    /// Whether one more of `total` replicas may be ejected when `ejected` already are.
    #[must_use]
    pub fn may_eject(&self, ejected: u32, total: u32) -> bool {
        let remaining = u64::from(total.saturating_sub(ejected + 1));
        remaining > 0 && remaining * 100 >= u64::from(total) * u64::from(self.min_active_percent)
    }
}

/// Which requests a replica may get.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Status {
    /// All requests.
    Active,
    /// One idempotent request at a time, to find out whether the replica has recovered.
    Probe,
    /// No requests.
    Ejected,
}

/// Recent failures, latency and ejections of one replica.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    consecutive_failures: u32,
    latency: Latency,
    ejected_until: Option<time::TimeMs>,
    /// Number of ejections since the duration last started again at [`Policy::base_ejection`].
    consecutive_ejections: u32,
    readmitted_at: Option<time::TimeMs>,
}

impl Tracker {
    /// Records a successful answer with its latency.
    pub fn record_answer(&mut self, latency_us: u64) {
        self.consecutive_failures = 0;
        self.latency.observe_us(latency_us);
    }

    /// Records a failure.
    pub const fn record_failure(&mut self) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
    }

    /// Records a successful probe: readmits the replica and clears its failures and latency.
    pub fn readmit(&mut self, now: time::TimeMs) {
        *self = Self {
            consecutive_ejections: self.consecutive_ejections,
            readmitted_at: Some(now),
            ..Self::default()
        };
    }

    /// Ejects the replica. Each ejection lasts twice as long as the previous one, up to
    /// [`Policy::max_ejection`]. The duration starts again at [`Policy::base_ejection`] if the last
    /// readmission was longer ago than [`Policy::max_ejection`].
    pub fn eject(&mut self, policy: &Policy, now: time::TimeMs) {
        if self.restarts_ejection_duration(policy, now) {
            self.consecutive_ejections = 0;
        }
        let factor = 1_u64 << self.consecutive_ejections.min(16);
        let span = time::SpanMs(policy.base_ejection.0.saturating_mul(factor));
        self.ejected_until = Some(now + span.min(policy.max_ejection));
        self.consecutive_ejections += 1;
        self.consecutive_failures = 0;
        self.latency = Latency::default();
    }

    /// Whether the replica had at least [`Policy::failures_to_eject`] consecutive failures.
    #[must_use]
    pub const fn is_failing(&self, policy: &Policy) -> bool {
        self.consecutive_failures >= policy.failures_to_eject
    }

    /// Whether the replica is far slower than the median of its peers.
    #[must_use]
    pub fn is_slow(&self, policy: &Policy, peers_median_us: u64) -> bool {
        let Some(mean_us) = self.latency.mean_us() else {
            return false;
        };
        self.latency.samples() >= policy.min_samples
            && mean_us > peers_median_us.saturating_mul(policy.slow_ratio)
    }

    /// Which requests the replica may get.
    #[must_use]
    pub fn status(&self, now: time::TimeMs) -> Status {
        match self.ejected_until {
            None => Status::Active,
            Some(until) if now < until => Status::Ejected,
            Some(_) => Status::Probe,
        }
    }

    /// Latency of the answers since the replica was last readmitted.
    #[must_use]
    pub const fn latency(&self) -> &Latency {
        &self.latency
    }

    /// Time of the last successful probe.
    #[must_use]
    pub const fn readmitted_at(&self) -> Option<time::TimeMs> {
        self.readmitted_at
    }

    fn restarts_ejection_duration(&self, policy: &Policy, now: time::TimeMs) -> bool {
        match self.readmitted_at {
            Some(at) => now.since(at) > policy.max_ejection,
            None => self.ejected_until.is_none(),
        }
    }
}
