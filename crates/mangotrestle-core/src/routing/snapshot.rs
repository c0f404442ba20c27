//! The immutable routes that the control thread publishes for the traffic threads.
//!
//! Traffic threads never lock control state: on each change the control thread builds a new
//! [`RouteSnapshot`] and swaps a pointer. Unchanged services are shared between snapshots by their
//! `Arc`, so building a snapshot copies only a map of pointers and the changed services.
//!
//! Times in a snapshot are readings of the entry host's monotonic clock, which the traffic threads
//! also read.
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

/// Whether a target takes requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TargetState {
    /// Takes requests. A target that became ready recently gets fewer at first (slow start).
    Ready {
        /// When the target became ready.
        since: time::TimeMs,
    },
    /// Finishes its requests in flight and takes no new ones.
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
    /// Address at which the task serves HTTP.
    pub address: SocketAddr,
    /// Whether the target takes requests.
    pub state: TargetState,
}

/// The targets of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceRoutes {
    /// The service's job.
    pub job: id::JobId,
    /// Team that owns the service.
    pub team: id::TeamId,
    /// Replicas in any order. Each index occurs once.
    pub targets: Vec<Target>,
    /// When the next replica is expected to be ready, if known. A request whose wait would end
    /// before then is refused at once.
    pub next_ready_at: Option<time::TimeMs>,
}

impl ServiceRoutes {
    /// Returns a service without targets.
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

/// This entry host's share of one worker, until the share lapses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerShare {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Latest time at which a request may begin under the share.
    pub expires_at: time::TimeMs,
}

/// Limits of one team at this entry host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamLimit {
    /// Maximum number of requests in flight or waiting.
    pub max_concurrent: u32,
    /// Maximum sustained rate, in requests per second.
    pub rate_per_s: u32,
    /// Maximum number of requests at once after an idle period.
    pub burst: u32,
}

/// Routes, shares and limits for the traffic threads of one entry host.
#[derive(Clone, Debug)]
pub struct RouteSnapshot {
    /// Version of the configuration from which the snapshot was built.
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
    /// Returns a snapshot without services, for use when the process starts.
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
