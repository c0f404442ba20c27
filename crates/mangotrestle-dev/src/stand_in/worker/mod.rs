//! Stand-in for workers: the lease contract over gRPC and an HTTP endpoint for tasks.
//!
//! A [`WorkerFleet`] runs any number of workers in one process, each with two ports of its own on
//! the loopback interface. Tasks are simulated by timers. The core's
//! [`Grantor`](mangotrestle_core::lease::grantor::Grantor) decides what a worker grants. A
//! [`ledger`] that all workers share checks independently what really runs: it counts breaches of
//! the guarantees, and tests assert on these counts.
//!
//! Faults can be injected into each worker while it runs, see [`faults::Faults`].

mod clock;
mod endpoint;
pub mod faults;
mod host;
pub mod ledger;
mod listener;

use std::net;
use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::lease::grantor;
use mangotrestle_core::resources;
use mangotrestle_core::time;

pub use endpoint::{IDEMPOTENCY_KEY, X_REQUEST_ID, X_RESULT_CODE};

/// Name, rack and capacity of one worker.
#[derive(Clone, Debug)]
pub struct WorkerSpec {
    /// Name of the worker.
    pub id: id::WorkerId,
    /// Rack of the worker.
    pub rack: id::RackId,
    /// Capacity of the worker.
    pub capacity: resources::Resources,
}

/// Builds a [`WorkerFleet`].
#[derive(Clone, Debug)]
pub struct FleetBuilder {
    workers: Vec<WorkerSpec>,
    settings: FleetSettings,
}

/// Settings that all workers of a fleet share.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetSettings {
    pub(crate) term: time::SpanMs,
    pub(crate) request_slots: usize,
    pub(crate) connections: usize,
    pub(crate) service_delay: Duration,
}

impl FleetBuilder {
    /// Adds a worker. None by default.
    #[must_use]
    pub fn worker(mut self, worker: WorkerSpec) -> Self {
        self.workers.push(worker);
        self
    }

    /// Adds `count` workers of equal capacity, named `prefix-0`, `prefix-1` and so on, in racks of
    /// four.
    ///
    /// # Panics
    ///
    /// Panics if the names would not be valid identifiers.
    #[must_use]
    pub fn workers(mut self, prefix: &str, count: u32, capacity: resources::Resources) -> Self {
        const WORKERS_PER_RACK: u32 = 4;
        for index in 0..count {
            let rack = format!("{prefix}-rack-{}", index / WORKERS_PER_RACK);
            self.workers.push(WorkerSpec {
                id: id::WorkerId::new(&format!("{prefix}-{index}")).expect("prefix is valid"),
                rack: id::RackId::new(&rack).expect("prefix is valid"),
                capacity,
            });
        }
        self
    }

    /// Term of the worker leases. Default: 15 s.
    #[must_use]
    pub const fn term(mut self, term: time::SpanMs) -> Self {
        self.settings.term = term;
        self
    }

    /// Maximum number of requests that a worker serves concurrently. Default: 8.
    #[must_use]
    pub const fn request_slots(mut self, slots: usize) -> Self {
        self.settings.request_slots = slots;
        self
    }

    /// Maximum number of connections that a worker's task endpoint accepts. Default: 64.
    #[must_use]
    pub const fn connections(mut self, connections: usize) -> Self {
        self.settings.connections = connections;
        self
    }

    /// Time that a service task takes for a request. Default: 5 ms.
    #[must_use]
    pub const fn service_delay(mut self, delay: Duration) -> Self {
        self.settings.service_delay = delay;
        self
    }

    /// Binds all ports and starts the workers.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start(self) -> std::io::Result<WorkerFleet> {
        let ledger = Arc::new(ledger::Ledger::default());
        let mut hosts = Vec::with_capacity(self.workers.len());
        for spec in self.workers {
            hosts.push(host::start(spec, self.settings, &ledger).await?);
        }
        Ok(WorkerFleet { hosts, ledger })
    }
}

/// Workers that run in this process until they are dropped.
///
/// ```
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// use mangotrestle_core::resources::Resources;
/// use mangotrestle_dev::stand_in::worker::WorkerFleet;
///
/// let capacity = Resources { cpu_millicores: 16_000, memory_mib: 65_536, accelerators: 0, slots: 8 };
/// let fleet = WorkerFleet::builder().workers("booking", 2, capacity).start().await.unwrap();
/// assert_eq!(fleet.worker_ids().count(), 2);
/// assert_eq!(fleet.breaches().total(), 0);
/// # });
/// ```
#[derive(Debug)]
pub struct WorkerFleet {
    hosts: Vec<host::RunningHost>,
    ledger: Arc<ledger::Ledger>,
}

impl WorkerFleet {
    /// Returns a builder with the defaults and no worker.
    #[must_use]
    pub const fn builder() -> FleetBuilder {
        FleetBuilder {
            workers: Vec::new(),
            settings: FleetSettings {
                term: grantor::DEFAULT_TERM,
                request_slots: 8,
                connections: 64,
                service_delay: Duration::from_millis(5),
            },
        }
    }

    /// Returns the workers' names.
    pub fn worker_ids(&self) -> impl Iterator<Item = &id::WorkerId> {
        self.hosts.iter().map(|host| &host.host.id)
    }

    /// Returns the address at which a worker serves the lease protocol.
    #[must_use]
    pub fn lease_address(&self, worker: &id::WorkerId) -> Option<net::SocketAddr> {
        Some(self.find(worker)?.lease_address)
    }

    /// Returns the address at which a worker's tasks accept requests.
    #[must_use]
    pub fn target_address(&self, worker: &id::WorkerId) -> Option<net::SocketAddr> {
        Some(self.find(worker)?.target_address)
    }

    /// Replaces the injected faults of a worker. Unknown workers are ignored.
    pub fn set_faults(&self, worker: &id::WorkerId, faults: faults::Faults) {
        if let Some(running) = self.find(worker) {
            running.host.set_faults(faults);
        }
    }

    /// Restarts a worker as a new incarnation without tasks. Unknown workers are ignored.
    pub fn restart(&self, worker: &id::WorkerId) {
        if let Some(running) = self.find(worker) {
            running.host.restart();
        }
    }

    /// Returns the number of runs in progress on a worker.
    #[must_use]
    pub fn running_count(&self, worker: &id::WorkerId) -> usize {
        self.find(worker)
            .map_or(0, |running| running.host.running_count())
    }

    /// Returns the breaches counted so far on all workers.
    #[must_use]
    pub fn breaches(&self) -> ledger::Breaches {
        self.ledger.counters().snapshot()
    }

    /// Returns the record of all runs and requests.
    #[must_use]
    pub const fn ledger(&self) -> &Arc<ledger::Ledger> {
        &self.ledger
    }

    fn find(&self, worker: &id::WorkerId) -> Option<&host::RunningHost> {
        self.hosts.iter().find(|running| running.host.id == *worker)
    }
}
