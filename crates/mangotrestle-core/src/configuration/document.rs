//! Types of the configuration document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources;
use crate::time;

/// Names of fields that this release does not know.
///
/// They are kept only to be reported when a document is validated.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Unknown(pub Vec<String>);

impl<'de> Deserialize<'de> for Unknown {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let fields = BTreeMap::<String, serde::de::IgnoredAny>::deserialize(deserializer)?;
        Ok(Self(fields.into_keys().collect()))
    }
}

/// Everything that operators configure at run time.
///
/// All parts are optional and default to the defaults of their types.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Teams by name. Once any team is listed, jobs of teams that are not listed are refused.
    pub teams: BTreeMap<id::TeamId, TeamPolicy>,
    /// Score weights of placements in pools that don't set their own.
    pub score: ScoreWeights,
    /// Policies by pool.
    pub pools: BTreeMap<id::PoolId, PoolPolicy>,
    /// Limits on callers' requests.
    pub requests: RequestLimits,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

/// Limits and weight of a team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamPolicy {
    /// Weight of the team's dominant share relative to other teams, from 1 to 1000. Default: 100.
    pub weight: u32,
    /// Maximum resources of all running tasks of the team in a cell. Default: no limit.
    pub quota: Option<resources::Resources>,
    /// Maximum number of the team's requests in flight on one entry host. Default: no limit.
    pub max_requests_in_flight: Option<u32>,
    /// Maximum number of the team's requests that one entry host admits per second. Default: no
    /// limit.
    pub max_requests_per_s: Option<u32>,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

impl Default for TeamPolicy {
    fn default() -> Self {
        Self {
            weight: 100,
            quota: None,
            max_requests_in_flight: None,
            max_requests_per_s: None,
            unknown: Unknown::default(),
        }
    }
}

/// Weights of the criteria by which a worker is chosen, each from 0 to 1000.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ScoreWeights {
    /// Weight of an early start. Default: 100.
    pub waiting: u32,
    /// Weight of leaving little unusable free capacity on workers. Default: 100.
    pub packing: u32,
    /// Weight of spreading the tasks of a service over racks. Default: 100.
    pub spread: u32,
    /// Weight of keeping whole accelerator hosts free for gangs. Default: 0.
    pub keep_whole_hosts: u32,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

impl Default for ScoreWeights {
    fn default() -> Self {
        Self {
            waiting: 100,
            packing: 100,
            spread: 100,
            keep_whole_hosts: 0,
            unknown: Unknown::default(),
        }
    }
}

/// Policy of one pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolPolicy {
    /// Score weights of the pool. Default: those of the document.
    pub score: Option<ScoreWeights>,
    /// Maximum number of times that a task is stopped in favour of urgent work. Default: 3.
    pub max_preemptions: u32,
    /// Time that a stopped task has to finish requests in flight. Default: 10 s.
    pub stop_grace_ms: time::SpanMs,
    /// Times of day at which a service has a minimum number of ready replicas. Default: none.
    pub warm_windows: Vec<WarmWindow>,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

impl Default for PoolPolicy {
    fn default() -> Self {
        Self {
            score: None,
            max_preemptions: 3,
            stop_grace_ms: time::SpanMs::from_secs(10),
            warm_windows: Vec::new(),
            unknown: Unknown::default(),
        }
    }
}

/// A time of day at which a service has a minimum number of ready replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmWindow {
    /// The service.
    pub job: id::JobId,
    /// Start of the window, in minutes since midnight UTC.
    pub from_minute: u32,
    /// End of the window, in minutes since midnight UTC; less than the start if the window spans
    /// midnight.
    pub to_minute: u32,
    /// Minimum number of ready replicas.
    pub replicas: u32,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Maximum size of a request's body, in bytes. Default: 16 MiB.
    pub max_body_bytes: u64,
    /// Deadline of a request that doesn't set one. Default: 10 s.
    pub default_deadline_ms: time::SpanMs,
    /// Maximum deadline that a caller may set. Default: 300 s.
    pub max_deadline_ms: time::SpanMs,
    /// Maximum time that a request waits for a slot. Default: 1 s.
    pub max_queue_ms: time::SpanMs,
    /// Maximum number of retries for each hundred requests of a caller. Default: 10.
    pub retry_percent: u32,
    /// Fields that this release does not know.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 16 * 1024 * 1024,
            default_deadline_ms: time::SpanMs::from_secs(10),
            max_deadline_ms: time::SpanMs::from_secs(300),
            max_queue_ms: time::SpanMs::from_secs(1),
            retry_percent: 10,
            unknown: Unknown::default(),
        }
    }
}
