//! The immutable view of routes that the control thread publishes for the traffic threads.
//!
//! Traffic never locks control state: the control thread builds a new [`RouteSnapshot`] whenever
//! something changes and swaps a pointer. Services that did not change are shared between
//! snapshots by their `Arc`, so a publication costs the changed services and one map of pointers.
//!
//! Times in a snapshot are readings of the entry host's own monotonic clock, the same one that the
//! traffic threads read.
//!
//! ```
//! use mangotrestle_core::id;
//! use mangotrestle_core::routing::snapshot;
//! use mangotrestle_core::time;
//!
//! let zone = id::AvailabilityZoneId::new("glyfada").unwrap();
//! let mut routes = snapshot::RouteSnapshot::empty(zone.clone());
//! let mut booking = snapshot::ServiceRoutes::new(
//!     id::JobId::new("booking").unwrap(),
//!     id::TeamId::new("web").unwrap(),
//! );
//! booking.targets.push(snapshot::Target {
//!     index: 0,
//!     worker: id::WorkerId::new("w-1").unwrap(),
//!     availability_zone: zone,
//!     address: "127.0.0.1:8080".parse().unwrap(),
//!     state: snapshot::TargetState::Ready { since: time::TimeMs(0) },
//! });
//! routes.add_service(booking);
//! assert_eq!(routes.services.len(), 1);
//! ```

use std::net::SocketAddr;
use std::sync::Arc;

use crate::collections::FastMap;
use crate::id;
use crate::time;

/// Whether a target may be given requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// Takes requests. A target that became ready a short time ago is given fewer at first.
    Ready {
        /// When the target became ready.
        since: time::TimeMs,
    },
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// One replica of a service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Target {
    /// Index of the task in its job.
    pub index: u32,
    /// Worker that runs the task.
    pub worker: id::WorkerId,
    /// Availability zone of the worker.
    pub availability_zone: id::AvailabilityZoneId,
    /// Where the task answers HTTP.
    pub address: SocketAddr,
    /// Whether it takes requests.
    pub state: TargetState,
}

/// The targets of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRoutes {
    /// The service's job.
    pub job: id::JobId,
    /// Team that owns the service.
    pub team: id::TeamId,
    /// Replicas, in any order. Each index stands once.
    pub targets: Vec<Target>,
    /// When the next replica is expected to be ready, if the control thread knows. A request that
    /// could only be taken after its deadline is refused at once.
    pub next_ready_at: Option<time::TimeMs>,
}

impl ServiceRoutes {
    /// A service without targets.
    #[must_use]
    pub const fn new(job: id::JobId, team: id::TeamId) -> Self {
        Self {
            job,
            team,
            targets: Vec::new(),
            next_ready_at: None,
        }
    }
}

/// What this entry host may use of one worker, until the share lapses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerShare {
    /// Requests that may be in flight at the same time.
    pub slots: u32,
    /// Connections that may be open at the same time.
    pub connections: u32,
    /// Last moment at which a request may begin under the share.
    pub expires_at: time::TimeMs,
}

/// Limits of one team at this entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Requests in flight or waiting at the same time.
    pub max_concurrent: u32,
    /// Requests a second, sustained.
    pub rate_per_s: u32,
    /// Requests that may come at once after a quiet time.
    pub burst: u32,
}

/// Everything that the traffic threads of one entry host need to know.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// Version of the configuration that the snapshot was built from.
    pub config_version: u64,
    /// Availability zone of this entry host.
    pub availability_zone: id::AvailabilityZoneId,
    /// Services by job.
    pub services: FastMap<id::JobId, Arc<ServiceRoutes>>,
    /// This entry host's shares of the workers. A worker without a share gets no requests.
    pub shares: FastMap<id::WorkerId, WorkerShare>,
    /// Limits of teams. A team that is not listed is not limited.
    pub teams: FastMap<id::TeamId, TeamLimit>,
}

impl RouteSnapshot {
    /// A snapshot without services, as at the start of a process.
    #[must_use]
    pub fn empty(availability_zone: id::AvailabilityZoneId) -> Self {
        Self {
            config_version: 0,
            availability_zone,
            services: FastMap::default(),
            shares: FastMap::default(),
            teams: FastMap::default(),
        }
    }

    /// Adds a service, or replaces the one with the same job.
    pub fn add_service(&mut self, service: ServiceRoutes) {
        self.services.insert(service.job.clone(), Arc::new(service));
    }
}
