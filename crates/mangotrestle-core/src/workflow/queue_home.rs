//! The service whose pools hold the identities of a queue's jobs.
//!
//! A job is named by the `Host` and the path of its caller's requests. Which service runs a queue is the
//! operator's to change, so it cannot say where a job's rows are: hosts take a configuration up at
//! different times, and would accept one identifier in the pools of two services. The *home service* of a
//! path prefix is therefore a stored row, a [`HomeRow`], which is written under a condition before the
//! first job is accepted under that prefix and whose services never change. A host accepts a job only in
//! the home that the row names, whichever configuration it has.
//!
//! The home of a queue that was never sent to another service is the service that runs it, and nothing
//! is different. Otherwise the home hands new jobs over to the pools of the present service, as that of a
//! [divided](super::division) service does.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use crate::membership::rendezvous;

use super::catalog::{self, Queue};

/// The stored home services of the queues with one path prefix.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct HomeRow {
    /// The path prefix, for whoever reads the row.
    #[serde(rename = "path")]
    path_prefix: String,
    /// Home service by host name in lower case; the empty name stands for all other hosts.
    services: BTreeMap<String, String>,
    /// Names that queues with this prefix have had; their jobs count together.
    queues: BTreeSet<String>,
}

impl HomeRow {
    /// Returns the key of the row for a path prefix. Prefixes that share a key share their homes, which
    /// does no harm: any service may be the home of a queue.
    #[must_use]
    pub fn key(path_prefix: &str) -> String {
        format!("{:016x}", rendezvous::hash(path_prefix))
    }

    /// Returns the home service of the jobs that are named by this `Host`; `None` if none is stored.
    #[must_use]
    pub fn service_of(&self, host: &str) -> Option<&str> {
        let host = catalog::host_name(host).to_ascii_lowercase();
        let service = self.services.get(&host);
        service
            .or_else(|| self.services.get(""))
            .map(String::as_str)
    }

    /// Returns the names that queues with this prefix have had.
    pub fn queue_names(&self) -> impl Iterator<Item = &str> {
        self.queues.iter().map(String::as_str)
    }

    /// Whether jobs may be accepted for a queue: the row has its host and its name.
    #[must_use]
    pub fn covers(&self, queue: &Queue) -> bool {
        let host = queue.host.to_ascii_lowercase();
        self.services.contains_key(&host) && self.queues.contains(&queue.policy.queue)
    }

    /// Returns the row with a queue added. Its home is the service that the configuration names, unless
    /// jobs with its host may have been accepted by a queue for all hosts.
    #[must_use]
    pub fn with(&self, queue: &Queue) -> Self {
        let mut row = self.clone();
        row.path_prefix.clone_from(&queue.path_prefix);
        row.queues.insert(queue.policy.queue.clone());
        let host = queue.host.to_ascii_lowercase();
        let service = self.service_of(&host).unwrap_or(&queue.pool).to_owned();
        row.services.entry(host).or_insert(service);
        row
    }
}
