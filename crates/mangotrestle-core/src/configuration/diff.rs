//! Differences between two documents, for a dry run.

use std::collections::BTreeMap;
use std::fmt;

use super::document::{Document, PoolPolicy, RequestLimits, ScoreWeights, TeamPolicy};

/// One setting that differs.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The setting, as a dotted path.
    pub path: String,
    /// Its value before, if it was set.
    pub before: Option<String>,
    /// Its value after, if it is set.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(unset)");
        let after = self.after.as_deref().unwrap_or("(unset)");
        write!(f, "{}: {before} -> {after}", self.path)
    }
}

/// Settings that differ between two documents, by path.
///
/// # Examples
///
/// ```
/// use mangotrestle_core::configuration;
///
/// let before = configuration::Document::default();
/// let mut after = before.clone();
/// after.requests.retry_percent = 20;
/// let changes = configuration::diff(&before, &after);
/// assert_eq!(changes[0].to_string(), "requests.retry_percent: 10 -> 20");
/// ```
#[must_use]
pub fn diff(before: &Document, after: &Document) -> Vec<Change> {
    let mut before = settings(before);
    let mut changes = Vec::new();
    for (path, value) in settings(after) {
        let old = before.remove(&path);
        if old.as_ref() != Some(&value) {
            changes.push(Change {
                path,
                before: old,
                after: Some(value),
            });
        }
    }
    let removed = before.into_iter().map(|(path, value)| Change {
        path,
        before: Some(value),
        after: None,
    });
    changes.extend(removed);
    changes.sort_by(|a, b| a.path.cmp(&b.path));
    changes
}

type Settings = BTreeMap<String, String>;

fn settings(document: &Document) -> Settings {
    let mut settings = Settings::new();
    for (name, team) in &document.teams {
        team_settings(&mut settings, &format!("teams.{name}"), team);
    }
    score_settings(&mut settings, "score", &document.score);
    for (name, pool) in &document.pools {
        pool_settings(&mut settings, &format!("pools.{name}"), pool);
    }
    request_settings(&mut settings, &document.requests);
    settings
}

fn set(settings: &mut Settings, prefix: &str, field: &str, value: impl fmt::Display) {
    settings.insert(format!("{prefix}.{field}"), value.to_string());
}

fn set_if(settings: &mut Settings, prefix: &str, field: &str, value: Option<impl fmt::Display>) {
    if let Some(value) = value {
        set(settings, prefix, field, value);
    }
}

fn team_settings(settings: &mut Settings, prefix: &str, team: &TeamPolicy) {
    set(settings, prefix, "weight", team.weight);
    if let Some(quota) = &team.quota {
        set(
            settings,
            prefix,
            "quota.cpu_millicores",
            quota.cpu_millicores,
        );
        set(settings, prefix, "quota.memory_mib", quota.memory_mib);
        set(settings, prefix, "quota.accelerators", quota.accelerators);
        set(settings, prefix, "quota.slots", quota.slots);
    }
    let in_flight = team.max_requests_in_flight;
    set_if(settings, prefix, "max_requests_in_flight", in_flight);
    let per_s = team.max_requests_per_s;
    set_if(settings, prefix, "max_requests_per_s", per_s);
}

fn score_settings(settings: &mut Settings, prefix: &str, score: &ScoreWeights) {
    set(settings, prefix, "waiting", score.waiting);
    set(settings, prefix, "packing", score.packing);
    set(settings, prefix, "spread", score.spread);
    set(settings, prefix, "keep_whole_hosts", score.keep_whole_hosts);
}

fn pool_settings(settings: &mut Settings, prefix: &str, pool: &PoolPolicy) {
    if let Some(score) = &pool.score {
        score_settings(settings, &format!("{prefix}.score"), score);
    }
    set(settings, prefix, "max_preemptions", pool.max_preemptions);
    set(settings, prefix, "stop_grace_ms", pool.stop_grace_ms);
    for (index, window) in pool.warm_windows.iter().enumerate() {
        let prefix = format!("{prefix}.warm_windows.{index}");
        set(settings, &prefix, "job", &window.job);
        set(settings, &prefix, "from_minute", window.from_minute);
        set(settings, &prefix, "to_minute", window.to_minute);
        set(settings, &prefix, "replicas", window.replicas);
    }
}

fn request_settings(settings: &mut Settings, requests: &RequestLimits) {
    let prefix = "requests";
    set(settings, prefix, "max_body_bytes", requests.max_body_bytes);
    let default_deadline_ms = requests.default_deadline_ms;
    set(settings, prefix, "default_deadline_ms", default_deadline_ms);
    set(
        settings,
        prefix,
        "max_deadline_ms",
        requests.max_deadline_ms,
    );
    set(settings, prefix, "max_queue_ms", requests.max_queue_ms);
    set(settings, prefix, "retry_percent", requests.retry_percent);
}
