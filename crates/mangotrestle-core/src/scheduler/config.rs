//! Settings of the scheduler: score weights, quotas, limits and delays.

use serde::{Deserialize, Serialize};

use crate::collections;
use crate::id;
use crate::resources;
use crate::time;

/// Limit and weight of a team in a pool.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct TeamQuota {
    /// Maximum that the team's runs may occupy together; unset means the whole pool.
    pub limit: Option<resources::Resources>,
    /// Weight of the team: a team with weight 2 is entitled to twice the share of one with 1.
    pub weight: u32,
}

impl Default for TeamQuota {
    fn default() -> Self {
        Self {
            limit: None,
            weight: 1,
        }
    }
}

/// A daily window in which a service needs at least a given number of replicas.
///
/// The replicas are started before the window opens, earlier by the measured start time of the
/// service.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct WarmWindow {
    /// The service.
    pub job: id::JobId,
    /// When the window opens, as time of day.
    pub opens_ms: time::SpanMs,
    /// When the window closes, as time of day; before `opens_ms` if it spans midnight.
    pub closes_ms: time::SpanMs,
    /// Minimum number of replicas while the window is open.
    pub minimum: u32,
}

/// Settings of a [`Scheduler`](super::Scheduler), built with [`SchedulerConfig::builder`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SchedulerConfig {
    pub(super) packing_weight: u32,
    pub(super) spread_weight: u32,
    pub(super) keep_accelerator_hosts: bool,
    pub(super) quotas: collections::FastMap<id::TeamId, TeamQuota>,
    pub(super) default_quota: TeamQuota,
    pub(super) max_preemptions_per_task: u8,
    pub(super) max_stopping_percent: u32,
    pub(super) max_reservations: usize,
    pub(super) quarantine_after_jobs: usize,
    pub(super) quarantine_base_ms: time::SpanMs,
    pub(super) quarantine_max_ms: time::SpanMs,
    pub(super) park_after_workers: usize,
    pub(super) max_task_failures: u8,
    pub(super) retry_base_ms: time::SpanMs,
    pub(super) retry_max_ms: time::SpanMs,
    pub(super) throttle_grace_ms: time::SpanMs,
    pub(super) stop_resend_ms: time::SpanMs,
    pub(super) warm_windows: Vec<WarmWindow>,
}

impl SchedulerConfig {
    /// Returns a builder in which every setting has its default.
    #[must_use]
    pub fn builder() -> SchedulerConfigBuilder {
        SchedulerConfigBuilder {
            config: Self::default(),
        }
    }

    /// Returns the quota of a team: its own, or else the default quota.
    #[must_use]
    pub fn quota(&self, team: &id::TeamId) -> TeamQuota {
        self.quotas.get(team).copied().unwrap_or(self.default_quota)
    }
}

impl Default for SchedulerConfig {
    fn default() -> Self {
        Self {
            packing_weight: 1,
            spread_weight: 1,
            keep_accelerator_hosts: false,
            quotas: collections::FastMap::default(),
            default_quota: TeamQuota::default(),
            max_preemptions_per_task: 3,
            max_stopping_percent: 50,
            max_reservations: 4,
            quarantine_after_jobs: 3,
            quarantine_base_ms: time::SpanMs::from_secs(30),
            quarantine_max_ms: time::SpanMs::from_secs(3_600),
            park_after_workers: 3,
            max_task_failures: 3,
            retry_base_ms: time::SpanMs(500),
            retry_max_ms: time::SpanMs::from_secs(60),
            throttle_grace_ms: time::SpanMs::from_secs(10),
            stop_resend_ms: time::SpanMs::from_secs(5),
            warm_windows: Vec::new(),
        }
    }
}

/// Builds a [`SchedulerConfig`].
///
/// # Examples
///
/// ```
/// use mangotrestle_core::scheduler;
///
/// // Accelerator hosts are scarce in the laboratory, so tasks are packed tightly.
/// let config = scheduler::SchedulerConfig::builder()
///     .packing_weight(4)
///     .spread_weight(1)
///     .build();
/// # let _ = config;
/// ```
#[derive(Clone, Debug)]
pub struct SchedulerConfigBuilder {
    config: SchedulerConfig,
}

impl SchedulerConfigBuilder {
    /// Weight of placing tasks on workers that are already nearly full. Default: 1.
    #[must_use]
    pub fn packing_weight(mut self, weight: u32) -> Self {
        self.config.packing_weight = weight;
        self
    }

    /// Weight of keeping capacity free on every worker and the replicas of a service on different
    /// racks. Default: 1.
    #[must_use]
    pub fn spread_weight(mut self, weight: u32) -> Self {
        self.config.spread_weight = weight;
        self
    }

    /// Whether workers with accelerators run only tasks that need accelerators. Default: no.
    ///
    /// Useful where accelerators are scarce and other workers can run the remaining tasks: a task
    /// without accelerators can take the last slot of such a worker and make its accelerators
    /// unusable.
    #[must_use]
    pub fn keep_accelerator_hosts(mut self, keep: bool) -> Self {
        self.config.keep_accelerator_hosts = keep;
        self
    }

    /// Quota of one team. Default: the default quota.
    #[must_use]
    pub fn quota(mut self, team: id::TeamId, quota: TeamQuota) -> Self {
        self.config.quotas.insert(team, quota);
        self
    }

    /// Quota of teams that have none of their own. Default: no limit, weight 1.
    #[must_use]
    pub fn default_quota(mut self, quota: TeamQuota) -> Self {
        self.config.default_quota = quota;
        self
    }

    /// Maximum number of times that one task is stopped for urgent work. Default: 3.
    #[must_use]
    pub fn max_preemptions_per_task(mut self, count: u8) -> Self {
        self.config.max_preemptions_per_task = count;
        self
    }

    /// Maximum share of a job's running tasks that may be stopping for urgent work at the same
    /// time, in percent. One task may always be stopping. Default: 50.
    #[must_use]
    pub fn max_stopping_percent(mut self, percent: u32) -> Self {
        self.config.max_stopping_percent = percent;
        self
    }

    /// Maximum number of gangs that have a reservation at the same time. Default: 4.
    #[must_use]
    pub fn max_reservations(mut self, count: usize) -> Self {
        self.config.max_reservations = count;
        self
    }

    /// Number of different jobs that fail in a row on a worker before it is quarantined. Default:
    /// 3.
    #[must_use]
    pub fn quarantine_after_jobs(mut self, count: usize) -> Self {
        self.config.quarantine_after_jobs = count;
        self
    }

    /// First and maximum delay before a probe of a quarantined worker. Default: 30 s and 1 h.
    #[must_use]
    pub fn quarantine_backoff(mut self, base_ms: time::SpanMs, max_ms: time::SpanMs) -> Self {
        self.config.quarantine_base_ms = base_ms;
        self.config.quarantine_max_ms = max_ms;
        self
    }

    /// Number of different workers on which a job fails before it is parked. Default: 3.
    #[must_use]
    pub fn park_after_workers(mut self, count: usize) -> Self {
        self.config.park_after_workers = count;
        self
    }

    /// Number of failed runs after which a task of a batch or gang job has failed. Default: 3.
    #[must_use]
    pub fn max_task_failures(mut self, count: u8) -> Self {
        self.config.max_task_failures = count;
        self
    }

    /// First and maximum back-off before a failed or refused task starts again. Default: 500 ms and
    /// 60 s.
    #[must_use]
    pub fn retry_backoff(mut self, base_ms: time::SpanMs, max_ms: time::SpanMs) -> Self {
        self.config.retry_base_ms = base_ms;
        self.config.retry_max_ms = max_ms;
        self
    }

    /// How long the processors of a worker may stay overloaded while its runs are throttled, before
    /// a run is moved. Default: 10 s.
    #[must_use]
    pub fn throttle_grace(mut self, span_ms: time::SpanMs) -> Self {
        self.config.throttle_grace_ms = span_ms;
        self
    }

    /// Delay after which a stop is sent again if the run has not ended. Default: 5 s.
    #[must_use]
    pub fn stop_resend(mut self, span_ms: time::SpanMs) -> Self {
        self.config.stop_resend_ms = span_ms;
        self
    }

    /// Adds a warm window. Default: none.
    #[must_use]
    pub fn warm_window(mut self, window: WarmWindow) -> Self {
        self.config.warm_windows.push(window);
        self
    }

    /// Returns the finished settings.
    #[must_use]
    pub fn build(self) -> SchedulerConfig {
        self.config
    }
}
