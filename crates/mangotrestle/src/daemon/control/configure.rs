//! Derives team limits and scheduler settings from a configuration document.

use mangotrestle_core::collections;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::scheduler;
use mangotrestle_core::time;

/// Request limits of teams at one entry host. Teams without a limit are left out.
pub(super) fn team_limits(
    document: &configuration::Document,
) -> collections::FastMap<id::TeamId, snapshot::TeamLimit> {
    let mut limits = collections::FastMap::default();
    for (team, policy) in &document.teams {
        let is_limited =
            policy.max_requests_in_flight.is_some() || policy.max_requests_per_s.is_some();
        if is_limited {
            let rate_per_s = policy.max_requests_per_s.unwrap_or(u32::MAX);
            let limit = snapshot::TeamLimit {
                max_concurrent: policy.max_requests_in_flight.unwrap_or(u32::MAX),
                rate_per_s,
                burst: rate_per_s,
            };
            limits.insert(team.clone(), limit);
        }
    }
    limits
}

/// Settings of a pool's scheduler. A pool that the document doesn't list gets the default policy.
pub(super) fn scheduler_config(
    document: &configuration::Document,
    pool: &id::PoolId,
) -> scheduler::SchedulerConfig {
    let policy = document.pools.get(pool).cloned().unwrap_or_default();
    let score = policy.score.as_ref().unwrap_or(&document.score);
    let unlisted_team_quota = scheduler::TeamQuota {
        limit: None,
        weight: configuration::TeamPolicy::default().weight,
    };
    let mut builder = scheduler::SchedulerConfig::builder()
        .default_quota(unlisted_team_quota)
        .packing_weight(score.packing)
        .spread_weight(score.spread)
        .max_preemptions_per_task(u8::try_from(policy.max_preemptions).unwrap_or(u8::MAX));
    for (team, policy) in &document.teams {
        let quota = scheduler::TeamQuota {
            limit: policy.quota,
            weight: policy.weight,
        };
        builder = builder.quota(team.clone(), quota);
    }
    for window in &policy.warm_windows {
        builder = builder.warm_window(scheduler::WarmWindow {
            job: window.job.clone(),
            opens_ms: span_from_minutes(window.from_minute),
            closes_ms: span_from_minutes(window.to_minute),
            minimum: window.replicas,
        });
    }
    builder.build()
}

const fn span_from_minutes(minutes: u32) -> time::SpanMs {
    time::SpanMs::from_secs(minutes as u64 * 60)
}
