//! The operator's configuration as a host uses it: queues and the pools that serve them.

use serde::{Deserialize, Serialize};

use super::spec;
use super::teams::TeamDirectory;

/// A queue to which callers submit jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Host name in the callers' requests; empty for any host.
    pub host: String,
    /// Path prefix of the requests that belong to the queue.
    pub path_prefix: String,
    /// Pool whose workers run the queue's tasks.
    pub pool: String,
    /// Policy for the queue's jobs.
    pub policy: spec::QueuePolicy,
    /// Maximum time for an answer to a caller, in milliseconds.
    pub timeout_ms: u64,
    /// Whether calls need no key of a team.
    pub public: bool,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse runs for which they have no free resources.
    pub guards_capacity: bool,
    /// Whether its machines are switched off.
    pub standby: bool,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<PoolEntry>,
    /// The teams; unset if the deployment has none, and calls need no key.
    pub teams: Option<TeamDirectory>,
    /// Maximum size of a request's head, in bytes; zero means the host's default.
    #[serde(default)]
    pub max_head_bytes: usize,
    /// Maximum size of a request body, in bytes; zero means the host's default.
    pub max_body_bytes: usize,
    /// Maximum time that a caller takes to send a request's head, in milliseconds; zero means the
    /// host's default.
    #[serde(default)]
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds; zero means the host's
    /// default.
    pub idle_timeout_ms: u64,
}

impl Catalog {
    /// Returns the queue of a request: the one with the longest matching path prefix on the
    /// request's host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host_name(host);
        self.queues
            .iter()
            .filter(|queue| queue.host.is_empty() || queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}

/// Returns the host name in a `Host` header, which may have a port.
#[must_use]
pub fn host_name(host: &str) -> &str {
    host.split(':').next().unwrap_or_default()
}
