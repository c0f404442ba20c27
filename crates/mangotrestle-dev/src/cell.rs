//! A whole cell in one process: platform stand-ins, workers and entry hosts on loopback.
//!
//! `demo`, `up` and the end-to-end tests use it. Each entry host is the real daemon with its own
//! control thread; only the systems outside of mangotrestle are stand-ins.

use std::net::SocketAddr;

use mangotrestle::daemon;
use mangotrestle::logging;
use mangotrestle::settings;
use mangotrestle_core::id;
use mangotrestle_core::time;
use mangotrestle_operator::client;
use mangotrestle_platform::host_list;
use tokio::sync::watch;
use tokio::task;

use crate::profile;
use crate::stand_in::host_list as host_list_stand_in;
use crate::stand_in::object_store;
use crate::stand_in::table;
use crate::stand_in::worker;

/// Returns a logger to stderr if `verbose`, else one that discards everything. Lines are written
/// until the guard is dropped. Without a thread for the lines they are discarded as well.
pub fn logger(verbose: bool) -> (slog::Logger, Option<logging::WriterGuard>) {
    let level = settings::LogLevel(slog::Level::Info);
    let started = verbose.then(|| logging::start(level, settings::LogOutput::Stderr));
    match started {
        Some(Ok((log, guard))) => (log, Some(guard)),
        Some(Err(error)) => {
            eprintln!("the log cannot be started: {error}");
            (logging::discard(), None)
        }
        None => (logging::discard(), None),
    }
}

/// Options of a [`Cell`].
#[derive(Clone, Debug)]
pub struct CellBuilder {
    profile: profile::Profile,
    worker_share_percent: u32,
    entry_hosts: u32,
    lease_term: time::SpanMs,
    seed: u64,
    log: slog::Logger,
}

impl CellBuilder {
    /// Percentage of the profile's workers to start, at least one of each group in each zone.
    /// Default: 100.
    #[must_use]
    pub const fn worker_share_percent(mut self, percent: u32) -> Self {
        self.worker_share_percent = percent;
        self
    }

    /// Number of entry hosts, assigned to the zones in turn. Default: the profile's.
    #[must_use]
    pub const fn entry_hosts(mut self, count: u32) -> Self {
        self.entry_hosts = count;
        self
    }

    /// Term of worker leases. Default: 3 s.
    #[must_use]
    pub const fn lease_term(mut self, term: time::SpanMs) -> Self {
        self.lease_term = term;
        self
    }

    /// Seed of all random numbers. Default: 1.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Logger of the entry hosts. By default, their log is discarded.
    #[must_use]
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Starts the platform's stand-ins, the workers and the entry hosts.
    ///
    /// # Errors
    ///
    /// Returns a message if a port cannot be bound or the settings are invalid.
    pub async fn start(self) -> Result<Cell, String> {
        let platform = Platform::start().await.map_err(|error| error.to_string())?;
        let workers = self.start_workers(&platform).await?;
        let mut cell = Cell {
            options: self,
            platform,
            workers,
            entry_hosts: Vec::new(),
        };
        let zones: Vec<&'static str> = cell.options.profile.entry_host_zones().collect();
        for index in 0..cell.options.entry_hosts as usize {
            let zone = zones[index % zones.len()];
            cell.start_entry_host(&format!("{zone}-entry-{index}"), zone)
                .await?;
        }
        Ok(cell)
    }

    async fn start_workers(&self, platform: &Platform) -> Result<worker::WorkerFleet, String> {
        let plans = self.worker_plans();
        let mut fleet = worker::WorkerFleet::builder()
            .term(self.lease_term)
            .request_slots(self.profile.request_slots_per_worker as usize)
            .connections(self.profile.connections_per_worker as usize);
        for plan in &plans {
            fleet = fleet.worker(worker::WorkerSpec {
                id: worker_id(&plan.id),
                rack: rack_id(&plan.rack),
                capacity: plan.capacity,
            });
        }
        let fleet = fleet.start().await.map_err(|error| error.to_string())?;
        for plan in &plans {
            let address = fleet.lease_address(&worker_id(&plan.id));
            platform.hosts.service().put(host_list::Host {
                id: plan.id.clone(),
                role: host_list::Role::Worker,
                availability_zone: zone_id(plan.availability_zone),
                rack: rack_id(&plan.rack),
                address: address.ok_or("a worker has no lease address")?,
                state: host_list::HostState::Live,
            });
        }
        Ok(fleet)
    }

    /// Returns the workers to start: the given percentage of each group of the profile, taken from
    /// the front so that the zones get equal shares.
    fn worker_plans(&self) -> Vec<profile::WorkerPlan> {
        let percent = self.worker_share_percent as usize;
        let zones = self.profile.availability_zones.len();
        let mut plans = Vec::new();
        for group in self.profile.groups {
            let group_plans: Vec<_> = self.profile.worker_plans_of(group).collect();
            let count = (group_plans.len() * percent / 100)
                .max(zones)
                .min(group_plans.len());
            plans.extend(group_plans.into_iter().take(count));
        }
        plans
    }
}

/// Stand-ins for the platform's services, with their addresses.
pub struct Platform {
    /// The table service.
    pub table: table::TableStandIn,
    /// The object store.
    pub objects: object_store::ObjectStoreStandIn,
    /// The host list.
    pub hosts: host_list_stand_in::HostListStandIn,
    /// Address of the table service.
    pub table_address: SocketAddr,
    /// Address of the object store.
    pub objects_address: SocketAddr,
    /// Address of the host list.
    pub hosts_address: SocketAddr,
}

impl Platform {
    /// Starts the three services.
    ///
    /// # Errors
    ///
    /// Returns an error if a port cannot be bound.
    pub async fn start() -> std::io::Result<Self> {
        let table = table::new();
        let objects = object_store::new();
        let hosts = host_list_stand_in::new();
        Ok(Self {
            table_address: table.listen().await?,
            objects_address: objects.listen().await?,
            hosts_address: hosts.listen().await?,
            table,
            objects,
            hosts,
        })
    }
}

/// An entry host that runs in this process.
pub struct EntryHost {
    /// Name on the host list and in the settings.
    pub id: String,
    /// Availability zone in which the entry host runs.
    pub availability_zone: &'static str,
    /// Addresses at which the entry host listens.
    pub addresses: daemon::Addresses,
    stop: watch::Sender<bool>,
    task: task::JoinHandle<Result<(), daemon::DaemonError>>,
}

/// A running cell. Its entry hosts and workers end when it is dropped.
pub struct Cell {
    options: CellBuilder,
    /// Stand-ins for the platform's services.
    pub platform: Platform,
    /// Stand-ins for the workers.
    pub workers: worker::WorkerFleet,
    /// Entry hosts that run; a killed or stopped one is removed.
    pub entry_hosts: Vec<EntryHost>,
}

impl Cell {
    /// Returns a builder with the defaults.
    #[must_use]
    pub fn builder(profile: &profile::Profile) -> CellBuilder {
        CellBuilder {
            profile: *profile,
            worker_share_percent: 100,
            entry_hosts: profile.entry_hosts,
            lease_term: time::SpanMs::from_secs(3),
            seed: 1,
            log: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }

    /// Returns the deployment that the cell imitates.
    #[must_use]
    pub const fn profile(&self) -> &profile::Profile {
        &self.options.profile
    }

    /// Starts an entry host and adds it to the host list.
    ///
    /// # Errors
    ///
    /// Returns a message if its settings are invalid or a port cannot be bound.
    pub async fn start_entry_host(&mut self, name: &str, zone: &'static str) -> Result<(), String> {
        let settings = self.entry_host_settings(name, zone)?;
        let listeners = daemon::Listeners::bind(&settings)
            .await
            .map_err(|error| error.to_string())?;
        let addresses = listeners.addresses().map_err(|error| error.to_string())?;
        let (stop, shutdown) = watch::channel(false);
        let log = self.options.log.clone();
        let task = tokio::spawn(daemon::run_on(listeners, settings, log, shutdown));
        self.platform.hosts.service().put(host_list::Host {
            id: name.to_owned(),
            role: host_list::Role::Entry,
            availability_zone: zone_id(zone),
            rack: rack_id("entry"),
            address: addresses.peers,
            state: host_list::HostState::Live,
        });
        let id = name.to_owned();
        self.entry_hosts.push(EntryHost {
            id,
            availability_zone: zone,
            addresses,
            stop,
            task,
        });
        Ok(())
    }

    fn entry_host_settings(
        &self,
        name: &str,
        zone: &'static str,
    ) -> Result<settings::Settings, String> {
        let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
        let seed = self
            .options
            .seed
            .wrapping_add(self.entry_hosts.len() as u64);
        let term = self.options.lease_term;
        settings::Settings::builder()
            .entry_host(id::EntryHostId::new(name).map_err(|error| error.to_string())?)
            .availability_zone(zone_id(zone))
            .operator_listen(any_port)
            .caller_listen(any_port)
            .peer_listen(any_port)
            .health_listen(any_port)
            .table_address(self.platform.table_address)
            .object_store_address(self.platform.objects_address)
            .host_list_address(self.platform.hosts_address)
            .lease_term_ms(term)
            .lease_renew_interval_ms(time::SpanMs(term.0 / 4))
            .heartbeat_interval_ms(time::SpanMs(500))
            .config_poll_interval_ms(time::SpanMs(1_000))
            .host_list_poll_interval_ms(time::SpanMs(500))
            .seed(seed.max(1))
            .build()
            .map_err(|error| error.to_string())
    }

    /// Returns an operator client that knows all entry hosts.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no entry host.
    pub fn operator(&self) -> Result<client::OperatorClient, client::ClientError> {
        let mut builder = client::OperatorClient::builder();
        for host in &self.entry_hosts {
            builder = builder.endpoint(host.addresses.operators);
        }
        builder.build()
    }

    /// Aborts an entry host without a shutdown: it releases no leadership and completes no request.
    /// It leaves the host list at once. Returns its name, or `None` if no entry host has this index.
    pub fn kill_entry_host(&mut self, index: usize) -> Option<String> {
        if index >= self.entry_hosts.len() {
            return None;
        }
        let host = self.entry_hosts.remove(index);
        host.task.abort();
        self.platform.hosts.service().remove(&host.id);
        Some(host.id)
    }

    /// Stops an entry host with an orderly shutdown and waits until it has ended.
    ///
    /// # Errors
    ///
    /// Returns a message if no entry host has this index or the daemon failed.
    pub async fn stop_entry_host(&mut self, index: usize) -> Result<(), String> {
        if index >= self.entry_hosts.len() {
            return Err("no entry host has this index".to_owned());
        }
        let host = self.entry_hosts.remove(index);
        self.platform.hosts.service().set_leaving(&host.id);
        let _ = host.stop.send(true);
        let result = host.task.await.map_err(|error| error.to_string())?;
        self.platform.hosts.service().remove(&host.id);
        result.map_err(|error| error.to_string())
    }

    /// Stops all entry hosts, one after another.
    ///
    /// # Errors
    ///
    /// Returns the message of the first failure; the remaining entry hosts are then aborted.
    pub async fn stop(mut self) -> Result<(), String> {
        while !self.entry_hosts.is_empty() {
            self.stop_entry_host(0).await?;
        }
        Ok(())
    }
}

impl Drop for Cell {
    fn drop(&mut self) {
        for host in &self.entry_hosts {
            host.task.abort();
        }
    }
}

fn zone_id(name: &str) -> id::AvailabilityZoneId {
    id::AvailabilityZoneId::new(name).expect("names in profiles are valid identifiers")
}

fn worker_id(name: &str) -> id::WorkerId {
    id::WorkerId::new(name).expect("names in profiles are valid identifiers")
}

fn rack_id(name: &str) -> id::RackId {
    id::RackId::new(name).expect("names in profiles are valid identifiers")
}
