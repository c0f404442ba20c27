//! What a host of the system is told about itself and about the platform it runs on.

use std::net::SocketAddr;

use crate::id;
use crate::time::SpanMs;

/// Rates and sizes that the platform's store allows.
#[derive(Clone, Debug, PartialEq)]
pub struct StoreLimits {
    /// Writing calls a second of all hosts together.
    pub writes_per_s: f64,
    /// Reading calls a second of all hosts together.
    pub reads_per_s: f64,
    /// Greatest value of a row, in bytes before encoding.
    pub row_bytes: usize,
}

/// Time bounds that the platform's users set.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Longest lease that a worker grants.
    pub max_lease: SpanMs,
    /// Time in which a configuration has to be in force.
    pub config_apply_time: SpanMs,
    /// Time after a planned stop begins until the process is ended.
    pub stop_grace: SpanMs,
    /// Time for which a job's state is asked for after its end.
    pub job_end_retention: SpanMs,
    /// Time for which a task that serves may be over its bound beside fillers.
    pub max_target_overrun: SpanMs,
    /// Time until a pace is in force.
    pub pace_delay: SpanMs,
    /// Longest time that a worker takes to stop a run.
    pub max_stop_time: SpanMs,
}

/// Settings of a host on the users' platform.
#[derive(Clone, Debug, PartialEq)]
pub struct HostSettings {
    /// Name of the host.
    pub host: id::EntryHostId,
    /// Its availability zone.
    pub zone: String,
    /// Where callers reach it.
    pub front: SocketAddr,
    /// Where the balancer asks whether it is ready.
    pub readiness: SocketAddr,
    /// Where peers reach it; the port is the same on all hosts.
    pub peer: SocketAddr,
    /// Where its metrics are read.
    pub metrics: Option<SocketAddr>,
    /// The platform's store.
    pub store: SocketAddr,
    /// What the store allows.
    pub store_limits: StoreLimits,
    /// The service that hands out tickets, if there is one.
    pub advice: Option<SocketAddr>,
    /// The service that moves machines and takes them down, if there is one.
    pub machines: Option<SocketAddr>,
    /// Time bounds.
    pub bounds: Bounds,
    /// Memory that the process may use, in mebibytes.
    pub memory_mib: u64,
    /// Processor time that the process may use, in thousandths of a core; zero if it is not known.
    pub cpu_millicores: u32,
}
