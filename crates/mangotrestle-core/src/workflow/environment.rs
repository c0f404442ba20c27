//! Settings of a host: its own addresses and limits, and those of the platform that it runs on.

use std::net::SocketAddr;

use crate::id;
use crate::time::SpanMs;

/// Rates and sizes that the platform's store allows.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreLimits {
    /// Maximum number of write calls per second, of all hosts together.
    pub writes_per_s: f64,
    /// Maximum number of read calls per second, of all hosts together.
    pub reads_per_s: f64,
    /// Maximum size of a row's value, in bytes before encoding.
    pub row_bytes: usize,
}

/// Time bounds that the platform's users set.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Maximum lease that a worker grants.
    pub max_lease: SpanMs,
    /// Time within which a new configuration must be in force.
    pub config_apply_time: SpanMs,
    /// Time from when the store acknowledges that a worker drains until no task starts on it.
    pub drain_time: SpanMs,
    /// Time from when a cancel is acknowledged until no task of its job starts.
    pub cancel_time: SpanMs,
    /// Time from the start of a planned stop until the process is killed.
    pub stop_grace: SpanMs,
    /// Time for which callers may query a job's state after its end.
    pub job_end_retention: SpanMs,
    /// Maximum time for which a serving task may exceed its target latency beside best-effort
    /// tasks.
    pub max_target_overrun: SpanMs,
    /// Time until an ordered pace takes effect on a worker.
    pub pace_delay: SpanMs,
    /// Maximum time that a worker takes to stop a run.
    pub max_stop_time: SpanMs,
    /// Whether a host that cannot know of a key's removal refuses its calls after
    /// `key_removal_time`.
    pub strict_key_removal: bool,
    /// Time from when a key's removal is acknowledged until it counts nowhere.
    pub key_removal_time: SpanMs,
}

/// Settings of a host on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: id::EntryHostId,
    /// Its availability zone.
    pub zone: String,
    /// Listen address for callers.
    pub front: SocketAddr,
    /// Listen address for the load balancer's readiness checks.
    pub readiness: SocketAddr,
    /// Listen address for peers; the port is the same on all hosts.
    pub peer: SocketAddr,
    /// Listen address for metrics, if they are served.
    pub metrics: Option<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Limits of the store.
    pub store_limits: StoreLimits,
    /// Address of the advice service that issues tickets, if there is one.
    pub advice: Option<SocketAddr>,
    /// Address of the service that moves machines and takes them down, if there is one.
    pub machines: Option<SocketAddr>,
    /// Time bounds.
    pub bounds: Bounds,
    /// Memory limit of the process, in mebibytes; zero if unknown.
    pub memory_mib: u64,
    /// Limit of the process on open descriptors; zero if unknown.
    pub max_descriptors: u64,
    /// Processor time limit of the process, in thousandths of a core; zero if unknown.
    pub cpu_millicores: u32,
}
