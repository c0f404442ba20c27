//! Types of the configuration document.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::resources;
use crate::time;

/// Fields that this release does not know, by name.
///
/// They are kept only to be reported when a document is checked.
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
/// All parts are optional; what is left out has the default of its type.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Document {
    /// Teams by name. A job of a team that is not listed is refused once any team is listed.
    pub teams: BTreeMap<id::TeamId, TeamPolicy>,
    /// How placements are scored where a pool says nothing else.
    pub score: ScoreWeights,
    /// Policies of single pools.
    pub pools: BTreeMap<id::PoolId, PoolPolicy>,
    /// Limits on callers' requests.
    pub requests: RequestLimits,
    /// Unknown fields.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

/// What a team may use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamPolicy {
    /// Weight of the team's dominant share against other teams', from 1 to 1000. Default: 100.
    pub weight: u32,
    /// Most that the team's running tasks may hold together in a cell. Default: no bound.
    pub quota: Option<resources::Resources>,
    /// Most requests of the team that an entry host has in flight. Default: no bound.
    pub max_requests_in_flight: Option<u32>,
    /// Most requests a second of the team that an entry host admits. Default: no bound.
    pub max_requests_per_s: Option<u32>,
    /// Unknown fields.
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

/// How much each aim counts when a worker is chosen, from 0 to 1000.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct ScoreWeights {
    /// Start as early as possible. Default: 100.
    pub waiting: u32,
    /// Leave little unusable room. Default: 100.
    pub packing: u32,
    /// Spread the tasks of a service over racks. Default: 100.
    pub spread: u32,
    /// Keep whole accelerator hosts free for gangs. Default: 0.
    pub keep_whole_hosts: u32,
    /// Unknown fields.
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
    /// Score weights of the pool. Default: the document's.
    pub score: Option<ScoreWeights>,
    /// How often a task may be stopped in favour of urgent work. Default: 3.
    pub max_preemptions: u32,
    /// Time a stopped task has to finish what is in flight. Default: 10 s.
    pub stop_grace_ms: time::SpanMs,
    /// Times of day at which a service has a least number of replicas.
    pub warm_windows: Vec<WarmWindow>,
    /// Unknown fields.
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

/// A time of day at which a service has at least so many ready replicas.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WarmWindow {
    /// The service.
    pub job: id::JobId,
    /// Start of the window, in minutes since midnight UTC.
    pub from_minute: u32,
    /// End of the window, in minutes since midnight UTC; earlier than the start if it spans
    /// midnight.
    pub to_minute: u32,
    /// Least number of ready replicas.
    pub replicas: u32,
    /// Unknown fields.
    #[serde(flatten, skip_serializing)]
    pub unknown: Unknown,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct RequestLimits {
    /// Greatest body of a request, in bytes. Default: 16 MiB.
    pub max_body_bytes: u64,
    /// Deadline of a request that names none. Default: 10 s.
    pub default_deadline_ms: time::SpanMs,
    /// Longest deadline that a caller may ask for. Default: 300 s.
    pub max_deadline_ms: time::SpanMs,
    /// Longest time that a request waits for a slot. Default: 1 s.
    pub max_queue_ms: time::SpanMs,
    /// Retries for each hundred requests of a caller. Default: 10.
    pub retry_percent: u32,
    /// Unknown fields.
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
