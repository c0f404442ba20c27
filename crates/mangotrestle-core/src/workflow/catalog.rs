//! The operator's configuration as a host uses it: queues and the pools that serve them.

use serde::{Deserialize, Serialize};

use super::spec;

/// A queue that callers hand jobs to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the host in the callers' requests.
    pub host: String,
    /// Start of the paths that belong to the queue.
    pub path_prefix: String,
    /// The pool whose workers run its tasks.
    pub pool: String,
    /// What the queue asks of its jobs.
    pub policy: spec::QueuePolicy,
    /// Longest time for an answer to a caller, in milliseconds.
    pub timeout_ms: u64,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolEntry {
    /// Its name.
    pub name: String,
    /// Whether its workers refuse what they have no room for.
    pub guards_capacity: bool,
    /// Whether its machines are switched off.
    pub standby: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Catalog {
    /// Its version.
    pub version: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<PoolEntry>,
    /// Greatest body of a request, in bytes; zero leaves it to the host.
    pub max_body_bytes: usize,
    /// Time after which an idle connection is closed, in milliseconds; zero leaves it to the host.
    pub idle_timeout_ms: u64,
}

impl Catalog {
    /// The queue of a request: the longest matching prefix on the request's host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.is_empty() || queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&queue.path_prefix))
            .max_by_key(|queue| queue.path_prefix.len())
    }
}
