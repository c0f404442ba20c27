//! Differences between two documents, shown by a dry run.

use std::collections::BTreeMap;
use std::fmt;

use super::document::{Document, PoolPolicy, RequestLimits, ScoreWeights, TeamPolicy};

/// A setting that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The setting, as a dotted path.
    pub path: String,
    /// Value before the change, `None` if unset.
    pub before: Option<String>,
    /// Value after the change, `None` if unset.
    pub after: Option<String>,
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let before = self.before.as_deref().unwrap_or("(unset)");
        let after = self.after.as_deref().unwrap_or("(unset)");
        write!(f, "{}: {before} -> {after}", self.path)
    }
}

/// Returns the settings that differ between two documents, in order of their paths.
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
        let before_value = before.remove(&path);
        if before_value.as_ref() != Some(&value) {
            changes.push(Change {
                path,
                before: before_value,
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

fn insert_setting(settings: &mut Settings, prefix: &str, field: &str, value: impl fmt::Display) {
    settings.insert(format!("{prefix}.{field}"), value.to_string());
}

fn insert_if_set(
    settings: &mut Settings,
    prefix: &str,
    field: &str,
    value: Option<impl fmt::Display>,
) {
    if let Some(value) = value {
        insert_setting(settings, prefix, field, value);
    }
}

fn team_settings(settings: &mut Settings, prefix: &str, team: &TeamPolicy) {
    insert_setting(settings, prefix, "weight", team.weight);
    if let Some(quota) = &team.quota {
        insert_setting(
            settings,
            prefix,
            "quota.cpu_millicores",
            quota.cpu_millicores,
        );
        insert_setting(settings, prefix, "quota.memory_mib", quota.memory_mib);
        insert_setting(settings, prefix, "quota.accelerators", quota.accelerators);
        insert_setting(settings, prefix, "quota.slots", quota.slots);
    }
    let max_in_flight = team.max_requests_in_flight;
    insert_if_set(settings, prefix, "max_requests_in_flight", max_in_flight);
    let max_per_s = team.max_requests_per_s;
    insert_if_set(settings, prefix, "max_requests_per_s", max_per_s);
}

fn score_settings(settings: &mut Settings, prefix: &str, score: &ScoreWeights) {
    insert_setting(settings, prefix, "waiting", score.waiting);
    insert_setting(settings, prefix, "packing", score.packing);
    insert_setting(settings, prefix, "spread", score.spread);
    insert_setting(settings, prefix, "keep_whole_hosts", score.keep_whole_hosts);
}

fn pool_settings(settings: &mut Settings, prefix: &str, pool: &PoolPolicy) {
    if let Some(score) = &pool.score {
        score_settings(settings, &format!("{prefix}.score"), score);
    }
    insert_setting(settings, prefix, "max_preemptions", pool.max_preemptions);
    insert_setting(settings, prefix, "stop_grace_ms", pool.stop_grace_ms);
    for (index, window) in pool.warm_windows.iter().enumerate() {
        let prefix = format!("{prefix}.warm_windows.{index}");
        insert_setting(settings, &prefix, "job", &window.job);
        insert_setting(settings, &prefix, "from_minute", window.from_minute);
        insert_setting(settings, &prefix, "to_minute", window.to_minute);
        insert_setting(settings, &prefix, "replicas", window.replicas);
    }
}

fn request_settings(settings: &mut Settings, requests: &RequestLimits) {
    let prefix = "requests";
    insert_setting(settings, prefix, "max_body_bytes", requests.max_body_bytes);
    let default_deadline_ms = requests.default_deadline_ms;
    insert_setting(settings, prefix, "default_deadline_ms", default_deadline_ms);
    insert_setting(
        settings,
        prefix,
        "max_deadline_ms",
        requests.max_deadline_ms,
    );
    insert_setting(settings, prefix, "max_queue_ms", requests.max_queue_ms);
    insert_setting(settings, prefix, "retry_percent", requests.retry_percent);
}
