//! Leaves out replicas that fail or are far slower than their peers.
//!
//! A [`Tracker`] follows one replica. After several failures in a row, or when its latency is a
//! multiple of its peers' median, the caller may eject it, as long as [`Policy::may_eject`] leaves
//! enough replicas in. An ejected replica comes back by a probe: one request at a time, which is
//! the caller's to choose among requests that may be repeated. Each failed probe doubles the time
//! until the next one.
//!
//! ```
//! use mangotrestle_core::routing::outlier;
//! use mangotrestle_core::time::{SpanMs, TimeMs};
//!
//! let policy = outlier::Policy::default();
//! let mut tracker = outlier::Tracker::default();
//! for _ in 0..policy.failures_to_eject {
//!     tracker.failed();
//! }
//! assert!(tracker.is_failing(&policy));
//! assert!(policy.may_eject(0, 4));
//! tracker.eject(&policy, TimeMs(0));
//! assert_eq!(tracker.standing(TimeMs(1)), outlier::Standing::Ejected);
//! assert_eq!(tracker.standing(TimeMs(0) + policy.base_ejection), outlier::Standing::Probe);
//! tracker.succeeded(TimeMs(5_000));
//! assert_eq!(tracker.standing(TimeMs(5_000)), outlier::Standing::In);
//! ```

use crate::routing::latency::Latency;
use crate::time;

/// When replicas are ejected and for how long.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Failures in a row after which a replica counts as failing.
    pub failures_to_eject: u32,
    /// A replica is slow when its mean latency is above this many medians of its peers.
    pub slow_ratio: u64,
    /// Answers needed before a replica's latency is judged.
    pub min_samples: u32,
    /// Time of the first ejection.
    pub base_ejection: time::SpanMs,
    /// Greatest time of an ejection.
    pub max_ejection: time::SpanMs,
    /// Share of replicas that is never ejected.
    pub floor_percent: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            failures_to_eject: 4,
            slow_ratio: 3,
            min_samples: 5,
            base_ejection: time::SpanMs::from_secs(2),
            max_ejection: time::SpanMs::from_secs(60),
            floor_percent: 50,
        }
    }
}

impl Policy {
    /// Whether one more of `total` replicas may be ejected when `ejected` already are.
    #[must_use]
    pub fn may_eject(&self, ejected: u32, total: u32) -> bool {
        let remaining = u64::from(total.saturating_sub(ejected + 1));
        remaining > 0 && remaining * 100 >= u64::from(total) * u64::from(self.floor_percent)
    }
}

/// What a replica may be given.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Standing {
    /// Everything.
    In,
    /// One request that may be repeated, to see whether the replica has recovered.
    Probe,
    /// Nothing.
    Ejected,
}

/// One replica's record.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tracker {
    failures_in_row: u32,
    latency: Latency,
    ejected_until: Option<time::TimeMs>,
    ejections_in_row: u32,
    readmitted_at: Option<time::TimeMs>,
}

impl Tracker {
    /// An answer without fault, in the given time.
    pub fn answered(&mut self, latency_us: u64) {
        self.failures_in_row = 0;
        self.latency.observe_us(latency_us);
    }

    /// A failure.
    pub const fn failed(&mut self) {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
    }

    /// A probe went well: the replica is in again, with an empty record.
    pub fn succeeded(&mut self, now: time::TimeMs) {
        *self = Self {
            ejections_in_row: self.ejections_in_row,
            readmitted_at: Some(now),
            ..Self::default()
        };
    }

    /// Ejects the replica, for twice as long as the last time if that was not long ago.
    pub fn eject(&mut self, policy: &Policy, now: time::TimeMs) {
        if self.is_stable(policy, now) {
            self.ejections_in_row = 0;
        }
        let factor = 1_u64 << self.ejections_in_row.min(16);
        let span = time::SpanMs(policy.base_ejection.0.saturating_mul(factor));
        self.ejected_until = Some(now + span.min(policy.max_ejection));
        self.ejections_in_row += 1;
        self.failures_in_row = 0;
        self.latency = Latency::default();
    }

    /// Whether the replica failed several times in a row.
    #[must_use]
    pub const fn is_failing(&self, policy: &Policy) -> bool {
        self.failures_in_row >= policy.failures_to_eject
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

    /// What the replica may be given.
    #[must_use]
    pub fn standing(&self, now: time::TimeMs) -> Standing {
        match self.ejected_until {
            None => Standing::In,
            Some(until) if now < until => Standing::Ejected,
            Some(_) => Standing::Probe,
        }
    }

    /// Smoothed latency of the answers since the replica was last admitted.
    #[must_use]
    pub const fn latency(&self) -> &Latency {
        &self.latency
    }

    /// When the last probe went well.
    #[must_use]
    pub const fn readmitted_at(&self) -> Option<time::TimeMs> {
        self.readmitted_at
    }

    fn is_stable(&self, policy: &Policy, now: time::TimeMs) -> bool {
        match self.readmitted_at {
            Some(at) => now.since(at) > policy.max_ejection,
            None => self.ejected_until.is_none(),
        }
    }
}
