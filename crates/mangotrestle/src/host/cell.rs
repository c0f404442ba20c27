//! State that all parts of the process share.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::{ArcSwap, ArcSwapOption};
use mangotrestle_core::collections::{FastMap, FastSet};
use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::advice_hosts::{self, AdviceHost, RequestSize};
use mangotrestle_core::workflow::catalog::Catalog;
use mangotrestle_core::workflow::division::Division;
use mangotrestle_core::workflow::environment::HostSettings;
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use mangotrestle_core::workflow::leadership::{
    self, Candidate, ClaimTurn, LeadRow, LoadTiming, PoolSummary, Watch, WorkerShape,
};
use mangotrestle_core::workflow::message::WorkerEntry;
use mangotrestle_core::workflow::queue_home::HomeRow;
use mangotrestle_core::workflow::record::RowFormat;
use mangotrestle_peer::cell::CellClient;
use mangotrestle_platform::budget::Budget;
use mangotrestle_users_platform::machines::MachineClient;
use mangotrestle_users_platform::transport::Transport;
use mangotrestle_users_platform::worker::WorkerClient;
use rand::RngExt;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use super::acceptor::Acceptor;
use super::access::DirectPath;
use super::clock::Clock;
use super::events;
use super::leader::Leader;
use super::load::Load;
use super::memory::Memory;
use super::store_connections::StoreConnections;

/// Lag of a leader up to which it answers calls in time.
const MAX_LAG_IN_TIME_MS: u64 = 150;
/// Minimum time between two renewals of the connections to one peer.
const PEER_RENEWAL_INTERVAL: SpanMs = SpanMs(1_000);
/// Maximum timeout for a call to a peer; most calls have a shorter timeout of their own.
const MAX_PEER_CALL_TIMEOUT: Duration = Duration::from_secs(4);
/// Share of the store's rate limits that all hosts together use; the rest is left for retries that
/// come from all hosts at once.
const STORE_RATE_SHARE: f64 = 0.9;
/// Maximum part of the store's rate limits that one host may use, as a multiple of the equal share
/// of each host.
const MAX_SHARES_PER_HOST: f64 = 3.0;
/// Time for which a call of a peer waits until this host has the peer's configuration.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(250);
/// Time for which a leader counts as unresponsive after it did not answer its peers.
const UNRESPONSIVE_LIFETIME: SpanMs = SpanMs(1_500);
/// Time for which a peer that did not answer gets no relays, advice requests or submitted jobs.
const PEER_BACKOFF: SpanMs = SpanMs(1_500);

/// Number in the rows of hosts that read [`RowFormat::Ranges`].
const RANGES_FORMAT: u32 = 1;

/// Row of a host in the store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HostRow {
    /// Address at which its peers reach it.
    pub(super) address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: String,
    /// Incarnation of its process.
    #[serde(rename = "life")]
    pub(super) incarnation: u64,
    /// Its processor time, in thousandths of a core; zero if unknown.
    #[serde(default)]
    pub(super) cpu_millicores: u32,
    /// Highest format of the rows of assignments that it reads; zero in the earlier release.
    #[serde(default)]
    pub(super) row_format: u32,
}

/// Another host of the cell.
#[derive(Debug)]
pub(super) struct Peer {
    row: HostRow,
    /// Version of its row.
    version: u64,
    client: CellClient,
    skipped_until: TimeMs,
    /// Time from which its connections may be renewed again.
    renewable_at: TimeMs,
    /// Number of advice requests that it is handling for leaders on this host.
    advice_requests: usize,
}

/// What this host knows of a pool.
#[derive(Debug, Default)]
pub(super) struct PoolView {
    /// Its leadership.
    pub(super) watch: Watch,
    /// When it is this host's turn to claim it.
    pub(super) claim_turn: ClaimTurn,
    /// Whether its leader is being asked if it still leads.
    pub(super) probe_running: bool,
    /// When this host last gave it up; unset if it never did.
    pub(super) given_up_at: Option<TimeMs>,
    /// Number of times in a row that this host gave it up.
    pub(super) given_up_count: u32,
    /// When its leader last did not answer whether it still leads; unset if it has answered or
    /// committed since.
    pub(super) leader_unresponsive_at: Option<TimeMs>,
    /// Summary that its leader last published.
    pub(super) summary: Option<Arc<PoolSummary>>,
    /// Shapes of its workers that its leader last published.
    pub(super) shapes: Vec<WorkerShape>,
}

impl PoolView {
    /// Records the leadership row as read or written. A commit shows that the leader is alive.
    pub(super) fn observe_lead(&mut self, now: TimeMs, row: LeadRow, version: u64) {
        if version > self.watch.version() {
            self.leader_unresponsive_at = None;
            self.claim_turn.restart();
        }
        self.watch.observe(now, row, version);
    }
}

/// State that all parts of the process share: its settings and clients, and what it knows of the
/// hosts and pools of the cell.
pub(super) struct Cell {
    /// Settings of the host.
    pub(super) settings: HostSettings,
    /// Logger for events.
    pub(super) log: slog::Logger,
    /// Clocks of this process.
    pub(super) clock: Clock,
    /// What this process spends its time on, and how late it is.
    pub(super) load: Load,
    /// Incarnation of this process, chosen at random.
    pub(super) incarnation: u64,
    /// Client for the store.
    pub(super) store: StoreConnections,
    /// Rate limiter for this host's writing calls to the store.
    pub(super) writes: Budget,
    /// Rate limiter for this host's reading calls to the store.
    pub(super) reads: Budget,
    /// Client for workers.
    pub(super) workers: WorkerClient,
    /// Client for the machine service, if there is one.
    pub(super) machines: Option<MachineClient>,
    /// Client for other calls, such as those to the advice service.
    pub(super) transport: Transport,
    /// Memory of the process.
    pub(super) memory: Memory,
    /// State of the direct path to the store.
    pub(super) direct: DirectPath,
    /// When the store last answered, directly or through a peer.
    pub(super) store_answered_at_ms: AtomicU64,
    /// When a direct call to the store last failed.
    pub(super) store_failed_at_ms: AtomicU64,
    /// The configuration in force.
    pub(super) catalog: ArcSwapOption<Catalog>,
    /// Moment as of which the configuration is known to be the newest.
    configuration_as_of_ms: AtomicU64,
    configuration_confirmed: Notify,
    /// Wakes the reader of the configuration when a peer has a newer one.
    pub(super) newer_configuration: Notify,
    /// Divisions of the services into pools, as far as they are known.
    divisions: ArcSwap<FastMap<String, Arc<Division>>>,
    /// Home services of queues with the version of each row, by [`HomeRow::key`].
    homes: ArcSwap<FastMap<String, (Arc<HomeRow>, u64)>>,
    /// Held while the home of a request's queue is written.
    pub(super) home_writing: tokio::sync::Mutex<()>,
    pools: Mutex<FastMap<String, PoolView>>,
    peers: Mutex<BTreeMap<id::EntryHostId, Peer>>,
    leaders: Mutex<FastMap<String, Arc<Leader>>>,
    acceptors: Mutex<FastMap<String, Acceptor>>,
    /// Cloned by each request to the advice service that this host has in flight.
    advice_requests: Arc<()>,
    claiming: Mutex<FastSet<String>>,
    /// The peer that last relayed a call.
    last_relay: Mutex<Option<id::EntryHostId>>,
    /// Version of this host's own row; zero until it is written.
    registered_version: AtomicU64,
    stopping: AtomicBool,
}

impl Cell {
    /// Creates the state at the start of the process.
    pub(super) fn new(settings: HostSettings, log: slog::Logger) -> Self {
        let transport = Transport::new();
        Self {
            writes: Budget::new(settings.store_limits.writes_per_s * STORE_RATE_SHARE),
            reads: Budget::new(settings.store_limits.reads_per_s * STORE_RATE_SHARE),
            store: StoreConnections::new(settings.store),
            workers: WorkerClient::new(Transport::new()),
            machines: settings
                .machines
                .map(|address| MachineClient::new(transport.clone(), address)),
            transport,
            memory: Memory::new(settings.memory_mib),
            settings,
            log,
            clock: Clock::start(),
            load: Load::default(),
            incarnation: rand::rng().random(),
            direct: DirectPath::default(),
            store_answered_at_ms: AtomicU64::new(0),
            store_failed_at_ms: AtomicU64::new(0),
            catalog: ArcSwapOption::empty(),
            configuration_as_of_ms: AtomicU64::new(0),
            configuration_confirmed: Notify::new(),
            newer_configuration: Notify::new(),
            divisions: ArcSwap::default(),
            homes: ArcSwap::default(),
            home_writing: tokio::sync::Mutex::default(),
            pools: Mutex::default(),
            peers: Mutex::default(),
            leaders: Mutex::default(),
            acceptors: Mutex::default(),
            advice_requests: Arc::default(),
            claiming: Mutex::default(),
            last_relay: Mutex::default(),
            registered_version: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Adds a time for which the machine was suspended to the clock, before anything is done that relies
    /// on how old a permission is.
    pub(super) fn count_suspension(&self) {
        if let Some(span) = self.clock.count_suspension() {
            slog::warn!(self.log, "host.suspended"; "for_ms" => span.0);
        }
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Marks that a planned stop has begun.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the load balancer may send callers to this host.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalog.load().is_some() && self.last_store_call_succeeded()
    }

    /// Returns the times at which the configuration is read.
    pub(super) fn configuration_timing(&self) -> FeedTiming {
        FeedTiming::configuration(self.settings.bounds.config_apply_time)
    }

    /// Records that the configuration was the newest at a moment.
    pub(super) fn confirm_configuration(&self, as_of: TimeMs) {
        let previous = TimeMs(
            self.configuration_as_of_ms
                .fetch_max(as_of.0, Ordering::Relaxed),
        );
        if previous != TimeMs(0) {
            let age = self.clock.now().since(previous);
            events::feed_confirmed(&self.log, "configuration", age, self.configuration_timing());
        }
        self.configuration_confirmed.notify_waiters();
    }

    /// Whether a newer configuration that must be in force by now would be known here.
    pub(super) fn configuration_is_current(&self) -> bool {
        self.configuration_age() < self.configuration_timing().max_age
    }

    /// Returns the time since the configuration was known to be the newest.
    pub(super) fn configuration_age(&self) -> SpanMs {
        let as_of = TimeMs(self.configuration_as_of_ms.load(Ordering::Relaxed));
        self.clock.now().since(as_of)
    }

    /// Returns the version of the configuration in force; zero if there is none.
    pub(super) fn configuration_version(&self) -> u64 {
        let catalog = self.catalog.load();
        catalog.as_ref().map_or(0, |catalog| catalog.version)
    }

    /// Reads the configuration at once if a peer has a newer version, and waits for it briefly: what
    /// this host does for the peer shows that version, and may not be followed by an older one.
    pub(super) async fn catch_up_with_configuration(&self, version: u64) {
        if self.configuration_version() >= version {
            return;
        }
        self.newer_configuration.notify_one();
        let caught_up = async {
            loop {
                let confirmed = self.configuration_confirmed.notified();
                if self.configuration_version() >= version {
                    return;
                }
                confirmed.await;
            }
        };
        let in_time = tokio::time::timeout(CATCH_UP_TIMEOUT, caught_up).await;
        events::configuration_behind_peer(&self.log, version, in_time.is_ok());
    }

    /// Waits until the configuration is current; returns whether it is.
    pub(super) async fn wait_for_current_configuration(&self, timeout: Duration) -> bool {
        let current = async {
            loop {
                let confirmed = self.configuration_confirmed.notified();
                if self.configuration_is_current() {
                    return;
                }
                confirmed.await;
            }
        };
        tokio::time::timeout(timeout, current).await.is_ok()
    }

    /// Returns this host's row.
    pub(super) fn own_row(&self) -> HostRow {
        HostRow {
            address: self.settings.peer,
            zone: self.settings.zone.clone(),
            incarnation: self.incarnation,
            cpu_millicores: self.settings.cpu_millicores,
            row_format: RANGES_FORMAT,
        }
    }

    /// Returns the format of the rows of assignments that every host reads which may lead next.
    pub(super) fn row_format(&self) -> RowFormat {
        let peers = lock(&self.peers);
        let mut rows = peers.values().map(|peer| &peer.row);
        if rows.all(|row| row.row_format >= RANGES_FORMAT) {
            RowFormat::Ranges
        } else {
            RowFormat::Listed
        }
    }

    /// Updates a peer from its row; a `row` of `None` means that the row was removed.
    pub(super) fn update_peer(&self, host: &id::EntryHostId, row: Option<HostRow>, version: u64) {
        if *host == self.settings.host {
            return;
        }
        let mut peers = lock(&self.peers);
        let Some(row) = row else {
            if peers.remove(host).is_some() {
                slog::info!(self.log, "peer.gone"; "peer" => host.as_str());
            }
            return;
        };
        if peers
            .get(host)
            .is_some_and(|peer| peer.row.incarnation == row.incarnation)
        {
            return;
        }
        let client = match CellClient::new(row.address, MAX_PEER_CALL_TIMEOUT) {
            Ok(client) => client,
            Err(error) => {
                slog::warn!(self.log, "peer.unusable"; "peer" => host.as_str(), "error" => %error);
                return;
            }
        };
        slog::info!(self.log, "peer.known"; "peer" => host.as_str(), "address" => %row.address,
            "life" => row.incarnation);
        let peer = Peer {
            row,
            version,
            client,
            skipped_until: TimeMs(0),
            renewable_at: TimeMs(0),
            advice_requests: 0,
        };
        peers.insert(host.clone(), peer);
        self.update_store_budgets(peers.len() + 1);
    }

    /// Gives up the open connections to a peer, which may pass nothing any more. Returns a client with
    /// new ones; `None` if the peer is not known.
    pub(super) fn renew_peer(&self, host: &id::EntryHostId) -> Option<CellClient> {
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        let peer = peers.get_mut(host)?;
        if now < peer.renewable_at {
            return Some(peer.client.clone());
        }
        peer.renewable_at = now + PEER_RENEWAL_INTERVAL;
        match CellClient::new(peer.row.address, MAX_PEER_CALL_TIMEOUT) {
            Ok(client) => peer.client = client,
            Err(error) => {
                slog::warn!(self.log, "peer.unusable"; "peer" => host.as_str(), "error" => %error);
                return None;
            }
        }
        slog::info!(self.log, "peer.renewed"; "peer" => host.as_str());
        Some(peer.client.clone())
    }

    /// Sets this host's rates from the store's limits, which all hosts share.
    fn update_store_budgets(&self, hosts: usize) {
        // A leader makes many more calls than the other hosts, most of which use far less than an
        // equal share.
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let equal_share = STORE_RATE_SHARE / f64::from(hosts);
        let max_share = STORE_RATE_SHARE * (MAX_SHARES_PER_HOST / f64::from(hosts)).min(1.0);
        let limits = &self.settings.store_limits;
        self.writes.set_rate_per_s(limits.writes_per_s * max_share);
        self.reads.set_rate_range_per_s(
            limits.reads_per_s * equal_share,
            limits.reads_per_s * max_share,
        );
    }

    /// Records that this host's row is durable.
    pub(super) fn record_registration(&self, version: u64) {
        self.registered_version.store(version, Ordering::Relaxed);
    }

    /// Whether the process that led a pool has ended: its host has registered another incarnation
    /// since the last commit of the leadership row.
    pub(super) fn leader_has_ended(&self, pool: &str) -> bool {
        let lead = self.with_pool(pool, |view| {
            let row = view.watch.row();
            row.map(|row| (row.holder.clone(), row.incarnation, view.watch.version()))
        });
        let Some((holder, incarnation, version)) = lead else {
            return false;
        };
        let (current_incarnation, registered_version) = if holder == self.settings.host {
            (
                self.incarnation,
                self.registered_version.load(Ordering::Relaxed),
            )
        } else {
            match lock(&self.peers).get(&holder) {
                Some(peer) => (peer.row.incarnation, peer.version),
                None => return false,
            }
        };
        current_incarnation != incarnation && registered_version > version
    }

    /// Returns the client for a peer.
    pub(super) fn peer(&self, host: &id::EntryHostId) -> Option<CellClient> {
        lock(&self.peers).get(host).map(|peer| peer.client.clone())
    }

    /// Returns the client for a peer; `None` if the peer recently left a call unanswered.
    pub(super) fn responsive_peer(&self, host: &id::EntryHostId) -> Option<CellClient> {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let peer = peers.get(host)?;
        (now >= peer.skipped_until).then(|| peer.client.clone())
    }

    /// Records that a peer did not answer; for a while it gets no relays, advice requests or
    /// submitted jobs.
    pub(super) fn record_peer_failure(&self, host: &id::EntryHostId) {
        let now = self.clock.now();
        if let Some(peer) = lock(&self.peers).get_mut(host) {
            if now >= peer.skipped_until {
                slog::info!(self.log, "peer.silent"; "peer" => host.as_str());
            }
            peer.skipped_until = now + PEER_BACKOFF;
        }
    }

    /// Records whether a peer could relay a call.
    pub(super) fn record_relay_result(&self, host: &id::EntryHostId, succeeded: bool) {
        let mut last = lock(&self.last_relay);
        if succeeded {
            *last = Some(host.clone());
        } else if last.as_ref() == Some(host) {
            *last = None;
        }
    }

    /// Returns up to `max` peers that may relay a call: the one that last did, then others in
    /// random order.
    pub(super) fn relay_candidates(&self, max: usize) -> Vec<(id::EntryHostId, CellClient)> {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let mut usable: Vec<_> = peers
            .iter()
            .filter(|(_, peer)| now >= peer.skipped_until)
            .map(|(host, peer)| (host.clone(), peer.client.clone()))
            .collect();
        let mut rng = rand::rng();
        for index in (1..usable.len()).rev() {
            usable.swap(index, rng.random_range(0..=index));
        }
        let last = lock(&self.last_relay).clone();
        usable.sort_by_key(|(host, _)| Some(host) != last.as_ref());
        usable.truncate(max);
        usable
    }

    /// Returns the peer that sends the next advice request of a pool's leader and counts one more for
    /// it; `None` if this host should send the request itself.
    pub(super) fn reserve_advice_peer(
        &self,
        pool: &str,
        size: RequestSize,
    ) -> Option<(id::EntryHostId, CellClient)> {
        let now = self.clock.now();
        let pools = self.pools();
        let mut peers = lock(&self.peers);
        let own = &self.settings.host;
        let own_requests = Arc::strong_count(&self.advice_requests) - 1;
        let usable: Vec<AdviceHost<'_>> = peers
            .iter()
            .filter(|(_, peer)| now >= peer.skipped_until)
            .map(|(host, peer)| AdviceHost {
                host,
                requests: peer.advice_requests,
            })
            .chain(std::iter::once(AdviceHost {
                host: own,
                requests: own_requests,
            }))
            .collect();
        let short_hosts = advice_hosts::short_hosts(usable.iter().map(|usable| usable.host));
        if own_requests == 0 && (size == RequestSize::Short || !short_hosts.contains(&own)) {
            return None;
        }
        let chosen = advice_hosts::choose(pool, &pools, size, &short_hosts, usable)?;
        if chosen.host == own {
            return None;
        }
        let host = chosen.host.clone();
        let peer = peers.get_mut(&host)?;
        peer.advice_requests += 1;
        Some((host, peer.client.clone()))
    }

    /// Counts a request of this host to the advice service until the result is dropped.
    pub(super) fn count_advice_request(&self) -> Arc<()> {
        Arc::clone(&self.advice_requests)
    }

    /// Records that a peer has finished an advice request.
    pub(super) fn release_advice_peer(&self, host: &id::EntryHostId) {
        if let Some(peer) = lock(&self.peers).get_mut(host) {
            peer.advice_requests = peer.advice_requests.saturating_sub(1);
        }
    }

    /// Returns the number of known hosts, this one included.
    pub(super) fn host_count(&self) -> usize {
        lock(&self.peers).len() + 1
    }

    /// Returns this host's rank among the candidates to lead a pool; zero is the best. `gone` is a host
    /// that is no candidate, if any.
    pub(super) fn rank(&self, pool: &str, gone: Option<&id::EntryHostId>) -> u64 {
        let pools_led = self.other_pools_led(pool);
        let peers = lock(&self.peers);
        let own = self.own_candidate(&pools_led);
        let hosts = candidates(&peers, &pools_led).chain(std::iter::once(own));
        let hosts = hosts.filter(|candidate| Some(candidate.host) != gone);
        let ranked = leadership::rank_candidates(pool, hosts);
        let position = ranked.iter().position(|host| **host == self.settings.host);
        position
            .and_then(|rank| u64::try_from(rank).ok())
            .unwrap_or_default()
    }

    /// Returns this host as a candidate to lead a pool.
    fn own_candidate(&self, other_pools_led: &FastMap<id::EntryHostId, u32>) -> Candidate<'_> {
        let host = &self.settings.host;
        Candidate {
            host,
            cpu_millicores: self.settings.cpu_millicores,
            other_pools_led: other_pools_led.get(host).copied().unwrap_or_default(),
        }
    }

    /// Whether this host, which leads a pool, should pass it on to one with more processor time.
    pub(super) fn passes_on(&self, pool: &str) -> bool {
        let pools_led = self.other_pools_led(pool);
        let own = self.own_candidate(&pools_led);
        let peers = lock(&self.peers);
        let others = candidates(&peers, &pools_led);
        let lag = SpanMs(self.load.lag_ms());
        leadership::passes_on(&own, lag, self.load.busy_per_mille(), others)
    }

    /// Returns the other hosts that may lead a pool, best first.
    pub(super) fn successors(&self, pool: &str) -> Vec<CellClient> {
        let pools_led = self.other_pools_led(pool);
        let peers = lock(&self.peers);
        leadership::rank_candidates(pool, candidates(&peers, &pools_led))
            .into_iter()
            .filter_map(|host| peers.get(host))
            .map(|peer| peer.client.clone())
            .collect()
    }

    /// Returns the number of pools other than this one that each host leads, including those that
    /// this host is claiming.
    fn other_pools_led(&self, pool: &str) -> FastMap<id::EntryHostId, u32> {
        let mut pools_led: FastMap<id::EntryHostId, u32> = FastMap::default();
        let claiming = lock(&self.claiming).clone();
        for (name, view) in lock(&self.pools).iter().filter(|(name, _)| *name != pool) {
            let holder = if claiming.contains(name) {
                Some(&self.settings.host)
            } else {
                let row = view.watch.row();
                row.filter(|row| !row.released).map(|row| &row.holder)
            };
            if let Some(holder) = holder {
                *pools_led.entry(holder.clone()).or_default() += 1;
            }
        }
        pools_led
    }

    /// Returns the division of a service; `None` until it is known.
    pub(super) fn division(&self, service: &str) -> Option<Arc<Division>> {
        self.divisions.load().get(service).cloned()
    }

    /// Records the division of a service, which never changes.
    pub(super) fn set_division(&self, service: &str, division: Division) {
        if self.divisions.load().contains_key(service) {
            return;
        }
        let division = Arc::new(division);
        slog::info!(self.log, "division.known"; "service" => service,
            "pools" => division.pool_names(service).count());
        self.divisions.rcu(|divisions| {
            let mut divisions = FastMap::clone(divisions);
            divisions.insert(service.to_owned(), Arc::clone(&division));
            divisions
        });
    }

    /// Returns the home services of the queues with a path prefix, and the version of their row; `None`
    /// until it is known.
    pub(super) fn home_row(&self, path_prefix: &str) -> Option<(Arc<HomeRow>, u64)> {
        self.homes.load().get(&HomeRow::key(path_prefix)).cloned()
    }

    /// Records home services as read or written; an older row than is known is ignored.
    pub(super) fn observe_home(&self, key: &str, row: HomeRow, version: u64) {
        let is_known = |(_, known): &(Arc<HomeRow>, u64)| *known >= version;
        if self.homes.load().get(key).is_some_and(is_known) {
            return;
        }
        let row = Arc::new(row);
        self.homes.rcu(|homes| {
            let mut homes = FastMap::clone(homes);
            let known = homes.entry(key.to_owned()).or_default();
            if known.1 < version {
                *known = (Arc::clone(&row), version);
            }
            homes
        });
    }

    /// Returns the pool of a worker; `None` until the division of its service is known.
    pub(super) fn pool_of(&self, entry: &WorkerEntry) -> Option<String> {
        let division = self.division(&entry.pool)?;
        Some(division.pool_of(&entry.pool, entry))
    }

    /// Returns the names of the pools of all services whose division is known: those that the
    /// configuration has, then those that it no longer has, which keep the jobs that they accepted.
    pub(super) fn pools(&self) -> Vec<String> {
        let Some(catalog) = self.catalog.load_full() else {
            return Vec::new();
        };
        let mut pools = Vec::new();
        for service in &catalog.pools {
            if let Some(division) = self.division(&service.name) {
                pools.extend(division.pool_names(&service.name));
            }
        }
        let divisions = self.divisions.load();
        let is_former =
            |service: &&String| !catalog.pools.iter().any(|pool| pool.name == **service);
        let former: BTreeSet<&String> = divisions.keys().filter(is_former).collect();
        for service in former {
            pools.extend(divisions[service].pool_names(service));
        }
        pools
    }

    /// Calls a function with what is known of a pool, under the lock.
    pub(super) fn with_pool<T>(&self, pool: &str, apply: impl FnOnce(&mut PoolView) -> T) -> T {
        let mut pools = lock(&self.pools);
        if !pools.contains_key(pool) {
            pools.insert(pool.to_owned(), PoolView::default());
        }
        let view = pools.entry(pool.to_owned()).or_default();
        apply(view)
    }

    /// Returns the names of all pools that this host has seen or that there are, each once.
    pub(super) fn known_pools(&self) -> BTreeSet<String> {
        let mut pools: BTreeSet<String> = lock(&self.pools).keys().cloned().collect();
        pools.extend(self.pools());
        pools
    }

    /// Whether a pool's leader neither commits nor answers its peers.
    pub(super) fn leader_is_unresponsive(&self, pool: &str) -> bool {
        let now = self.clock.now();
        self.with_pool(pool, |view| {
            let unresponsive_at = view.leader_unresponsive_at;
            unresponsive_at.is_some_and(|at| now.since(at) < UNRESPONSIVE_LIFETIME)
        })
    }

    /// Whether commits of a pool's leader have been seen recently.
    pub(super) fn leader_is_committing(&self, pool: &str) -> bool {
        let (now, slow) = (self.clock.now(), self.store_is_slow());
        self.with_pool(pool, |view| view.watch.has_recent_commit(now, slow))
    }

    /// Whether a pool's leader says that it is in time, so that an answer that does not come is held
    /// up by the connection.
    pub(super) fn leader_is_in_time(&self, pool: &str) -> bool {
        let lag_ms = self.summary(pool).map(|summary| summary.lag_ms);
        !self.store_is_slow() && lag_ms.is_some_and(|lag_ms| lag_ms < MAX_LAG_IN_TIME_MS)
    }

    /// Returns the leadership row of a pool as last seen.
    pub(super) fn lead_row(&self, pool: &str) -> Option<LeadRow> {
        self.with_pool(pool, |view| view.watch.row().cloned())
    }

    /// Returns the latest known summary of a pool.
    pub(super) fn summary(&self, pool: &str) -> Option<Arc<PoolSummary>> {
        if let Some(leader) = self.leader(pool) {
            return Some(leader.summary());
        }
        self.with_pool(pool, |view| view.summary.clone())
    }

    /// Returns the leader of a pool if this host leads it.
    pub(super) fn leader(&self, pool: &str) -> Option<Arc<Leader>> {
        lock(&self.leaders).get(pool).cloned()
    }

    /// Returns all pools that this host leads.
    pub(super) fn all_leaders(&self) -> Vec<(String, Arc<Leader>)> {
        let leaders = lock(&self.leaders);
        let pairs = leaders.iter();
        pairs
            .map(|(pool, leader)| (pool.clone(), Arc::clone(leader)))
            .collect()
    }

    /// Records that this host leads a pool.
    pub(super) fn add_leader(&self, pool: &str, leader: Arc<Leader>) {
        lock(&self.leaders).insert(pool.to_owned(), leader);
    }

    /// Records that this host no longer leads a pool.
    pub(super) fn remove_leader(&self, pool: &str) {
        lock(&self.leaders).remove(pool);
    }

    /// Records that a claim of a pool begins, until the result is dropped; `None` if one is already in
    /// progress.
    pub(super) fn mark_claiming(self: &Arc<Self>, pool: &str) -> Option<Claiming> {
        let is_new = lock(&self.claiming).insert(pool.to_owned());
        is_new.then(|| Claiming {
            cell: Arc::clone(self),
            pool: pool.to_owned(),
        })
    }

    /// Records that this host cannot lead a pool for now, so that the others claim it first.
    pub(super) fn record_given_up(&self, pool: &str) {
        let now = self.clock.now();
        self.with_pool(pool, |view| {
            view.given_up_at = Some(now);
            view.given_up_count += 1;
        });
    }

    /// Returns the rank by which this host takes its turn to claim a pool. `gone` is a host that is no
    /// candidate, if any.
    pub(super) fn turn_rank(&self, pool: &str, gone: Option<&id::EntryHostId>) -> u64 {
        let now = self.clock.now();
        let given_up_at = self.with_pool(pool, |view| view.given_up_at);
        let has_given_up =
            given_up_at.is_some_and(|at| now.since(at) < leadership::GIVEN_UP_LIFETIME);
        let hosts = u64::try_from(self.host_count()).unwrap_or(u64::MAX);
        leadership::turn_rank(self.rank(pool, gone), hosts, has_given_up)
    }

    /// Returns the times for loading a pool, by this host's equal share of the store's rate.
    pub(super) fn load_timing(&self, pool: &str) -> LoadTiming {
        let hosts = u32::try_from(self.host_count()).unwrap_or(u32::MAX);
        let reads_per_s = self.settings.store_limits.reads_per_s * STORE_RATE_SHARE;
        let given_up_count = self.with_pool(pool, |view| view.given_up_count);
        LoadTiming::new(reads_per_s / f64::from(hosts)).after_failures(given_up_count)
    }

    /// Returns the acceptor for a pool, which is started on first use.
    pub(super) fn acceptor(self: &Arc<Self>, pool: &str) -> Acceptor {
        let mut acceptors = lock(&self.acceptors);
        let acceptor = acceptors
            .entry(pool.to_owned())
            .or_insert_with(|| Acceptor::start(Arc::clone(self), pool));
        acceptor.clone()
    }
}

/// Marks a pool as being claimed by this host until it is dropped, however the claim ends.
pub(super) struct Claiming {
    cell: Arc<Cell>,
    pool: String,
}

impl Drop for Claiming {
    fn drop(&mut self) {
        lock(&self.cell.claiming).remove(&self.pool);
    }
}

/// Returns the peers as candidates to lead a pool.
fn candidates<'a>(
    peers: &'a BTreeMap<id::EntryHostId, Peer>,
    other_pools_led: &FastMap<id::EntryHostId, u32>,
) -> impl Iterator<Item = Candidate<'a>> {
    peers.iter().map(|(host, peer)| Candidate {
        host,
        cpu_millicores: peer.row.cpu_millicores,
        other_pools_led: other_pools_led.get(host).copied().unwrap_or_default(),
    })
}

/// Locks a mutex. Poisoning is ignored: the state stays as the panicked thread left it.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
