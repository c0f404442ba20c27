//! The control thread: it owns all control state of a process and handles one queue of events.
//!
//! That state is the pools, the membership, the configuration and the routes. Calls to workers,
//! peers and the platform run in tasks that report back through the queue, so an iteration of the
//! event loop never blocks.

pub(crate) mod event;
pub(crate) mod journal_writer;

mod configure;
mod heartbeats;
mod known_routes;
mod notices;
mod pool_runner;
mod published_routes;
mod store_tasks;
mod views;
mod worker_calls;

use std::net::SocketAddr;
use std::sync::Arc;

use mangotrestle_caller::snapshot_cell;
use mangotrestle_core::collections;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::membership;
use mangotrestle_core::membership::pause;
use mangotrestle_core::pool;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::time;
use mangotrestle_peer::message;
use mangotrestle_platform::configuration_store;
use mangotrestle_platform::host_list;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;

use super::context;
use crate::telemetry;

/// Lifetime of request slot shares. Requests that run longer than `max_request_time` are
/// ended by the front.
pub(super) const SHARE_TIMES: slot_share::ShareTimes = slot_share::ShareTimes {
    term: time::SpanMs::from_secs(5),
    max_request_time: time::SpanMs::from_secs(20),
    drift_margin: time::SpanMs(500),
};
/// Request slots and connections of one worker, which are divided among the entry hosts.
const WORKER_REQUEST_CAPACITY: slot_share::Capacity = slot_share::Capacity {
    slots: 8,
    connections: 64,
};
/// Maximum time between two iterations of the event loop.
const MAX_ITERATION_INTERVAL: time::SpanMs = time::SpanMs(500);
/// Gap between two iterations above which the process is logged as paused.
const PAUSE_THRESHOLD: time::SpanMs = time::SpanMs(2_000);
/// Delay before the next fetch of the configuration after a fetch failed or returned an outdated
/// version.
const CONFIG_FETCH_RETRY_DELAY: time::SpanMs = time::SpanMs(500);

/// State of the fetches of the configuration.
#[derive(Default)]
struct ConfigFetch {
    running: bool,
    next_fetch_at: Option<time::TimeMs>,
    /// Whether the store has reported a configuration version or a peer has sent a heartbeat.
    has_contacted_source: bool,
}

/// All control state of a process.
pub(crate) struct Control {
    context: Arc<context::Context>,
    pools: Vec<pool_runner::PoolRunner>,
    membership: membership::Membership,
    applied_config: configuration::AppliedConfiguration,
    config_fetch: ConfigFetch,
    known_routes: known_routes::KnownRoutes,
    heartbeats: heartbeats::Heartbeats,
    notices: notices::Notices,
    pause_detector: pause::PauseDetector,
    readiness: watch::Sender<telemetry::Readiness>,
    degradations: views::Degradations,
    /// When the configuration of each peer came into force, from its last heartbeat.
    peer_config_in_force_wall_ms: collections::FastMap<id::EntryHostId, time::WallTimeMs>,
    next_seed_heartbeat: time::TimeMs,
    /// Whether the process is stopping. It then no longer tries to lead pools.
    leaving: bool,
}

impl Control {
    /// Creates the control state of a process that has just started.
    ///
    /// # Errors
    ///
    /// Returns an error if the lease settings contradict each other.
    pub(crate) fn new(
        context: Arc<context::Context>,
        cell: Arc<snapshot_cell::SnapshotCell>,
        readiness: watch::Sender<telemetry::Readiness>,
        seed: u64,
    ) -> Result<Self, leadership::InvalidConfig> {
        let settings = &context.settings;
        let mut pools = Vec::new();
        for (index, id) in settings.leadable_pools().into_iter().enumerate() {
            let pool_seed = seed.wrapping_add(index as u64);
            let runner = pool_runner::PoolRunner::new(Arc::clone(&context), index, id, pool_seed)?;
            pools.push(runner);
        }
        let membership = membership::Membership::builder(
            settings.entry_host.clone(),
            settings.availability_zone.clone(),
        )
        .near_interval_ms(time::SpanMs(settings.heartbeat_interval_ms.0 / 2))
        .far_interval_ms(settings.heartbeat_interval_ms)
        .build();
        let known_routes = known_routes::KnownRoutes::new(
            settings.entry_host.clone(),
            context.identity.incarnation,
            settings.availability_zone.clone(),
            cell,
            collections::FastMap::default(),
        );
        Ok(Self {
            pools,
            membership,
            applied_config: configuration::AppliedConfiguration::default(),
            config_fetch: ConfigFetch::default(),
            known_routes,
            heartbeats: heartbeats::Heartbeats::new(Arc::clone(&context)),
            notices: notices::Notices::new(context.log.clone()),
            pause_detector: pause::PauseDetector::new(PAUSE_THRESHOLD),
            readiness,
            degradations: views::Degradations::default(),
            peer_config_in_force_wall_ms: collections::FastMap::default(),
            next_seed_heartbeat: time::TimeMs(0),
            leaving: false,
            context,
        })
    }

    /// Handles events until the process stops.
    pub(crate) async fn run(mut self, mut events: mpsc::UnboundedReceiver<event::ControlEvent>) {
        self.spawn_platform_tasks();
        loop {
            let wake = self.context.clock.instant(self.next_wake());
            let event = tokio::select! {
                biased;
                event = events.recv() => match event {
                    Some(event) => Some(event),
                    None => return,
                },
                () = tokio::time::sleep_until(wake) => None,
            };
            self.log_pause();
            if let Some(event::ControlEvent::Stop { done }) = event {
                self.stop(done);
                continue;
            }
            if let Some(event) = event {
                self.handle(event);
            }
            // Queued events are handled before timers, but only a limited number per iteration, so
            // that they cannot delay timers indefinitely.
            for _ in 0..events.len().min(MAX_EVENTS_PER_ITERATION) {
                if let Ok(event) = events.try_recv() {
                    self.handle(event);
                }
            }
            self.tick();
        }
    }

    /// Logs a pause of the process since the previous iteration.
    fn log_pause(&mut self) {
        let now = self.context.clock.now();
        if let Some(pause) = self.pause_detector.observe(now.monotonic) {
            let pairs = notices::Pairs::default().with("gap_ms", pause.gap_ms);
            self.notices
                .record_host_event(now.wall, "process.paused", &pairs);
        }
    }

    /// Returns when the event loop has to run even if no event arrives.
    fn next_wake(&self) -> time::TimeMs {
        let now = self.context.clock.monotonic();
        let next_pool_wake = self
            .pools
            .iter()
            .filter_map(|runner| runner.next_wake(now))
            .min();
        let wakes = [
            next_pool_wake,
            self.known_routes.next_wake(),
            self.config_fetch.next_fetch_at,
        ];
        let earliest = wakes
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + MAX_ITERATION_INTERVAL);
        earliest.min(now + MAX_ITERATION_INTERVAL)
    }

    fn handle(&mut self, event: event::ControlEvent) {
        use event::ControlEvent as Event;
        let now = self.context.clock.now();
        match event {
            Event::Pool { pool_index, event } => {
                self.pools[pool_index].handle(now, event, &mut self.notices);
            }
            Event::PoolLoaded {
                pool_index,
                tenure,
                state,
                journal,
            } => {
                self.pools[pool_index].handle_loaded_state(
                    now,
                    tenure,
                    state,
                    journal,
                    &mut self.notices,
                );
            }
            Event::Journal {
                pool_index,
                tenure,
                update,
            } => {
                self.pools[pool_index].handle_journal_update(
                    now,
                    tenure,
                    &update,
                    &mut self.notices,
                );
            }
            Event::Inbox {
                pool_index,
                tenure,
                entries,
            } => {
                self.pools[pool_index].handle_inbox_entries(
                    now,
                    tenure,
                    entries,
                    &mut self.notices,
                );
            }
            Event::InboxChanged { pool } => self.inbox_changed(now, &pool),
            Event::HostsListed(list) => self.apply_host_list(now, &list),
            Event::Heartbeat { heartbeat, reply } => self.handle_heartbeat(now, &heartbeat, reply),
            Event::ConfigVersionSeen { version } => self.note_config_version(now, version),
            Event::ConfigFetched { version, document } => {
                self.handle_fetched_config(now, version, &document);
            }
            Event::ConfigRequested { reply } => {
                let _ = reply.send(event::ConfigInForce {
                    version: self.applied_config.version(),
                    document: Arc::clone(self.applied_config.document()),
                });
            }
            Event::ConfigFetchFailed => {
                self.config_fetch.running = false;
                self.config_fetch.next_fetch_at = Some(now.monotonic + CONFIG_FETCH_RETRY_DELAY);
            }
            Event::RoutesAnswered { pool, answer } => {
                self.known_routes
                    .handle_answer(now.monotonic, &pool, answer);
            }
            Event::RoutesRequested { request, reply } => self.answer_routes(now, &request, reply),
            Event::Traffic(report) => self.known_routes.update_demand(&report),
            Event::Query { query, reply } => {
                let _ = reply.send(self.answer(now, &query));
            }
            Event::Stop { done } => self.stop(done),
        }
    }

    /// Performs everything that is due, after the events of an iteration.
    fn tick(&mut self) {
        let now = self.context.clock.now();
        self.update_store_state(now);
        for runner in &mut self.pools {
            runner.tick(now, &mut self.notices);
        }
        self.record_own_claims(now);
        self.update_preferred_pools(now);
        self.send_heartbeats(now);
        self.request_due_routes(now);
        self.fetch_config_if_due(now);
        self.update_readiness();
    }

    /// Notifies the pools when the store becomes available or unavailable, according to the table
    /// client's circuit breaker. While it is unavailable, non-idempotent work cannot be recorded.
    fn update_store_state(&mut self, now: pool::Now) {
        let available = self.context.platform.table.circuit().open_since().is_none();
        let changed = self.degradations.set_store_available(now.wall, available);
        if !changed {
            return;
        }
        let kind = if available {
            "store.available"
        } else {
            "store.unavailable"
        };
        self.notices
            .record_host_event(now.wall, kind, &notices::Pairs::default());
        for runner in &mut self.pools {
            let event = pool::PoolEvent::StoreAvailable(available);
            runner.handle(now, event, &mut self.notices);
        }
    }

    fn inbox_changed(&mut self, now: pool::Now, pool: &id::PoolId) {
        if let Some(runner) = self
            .pools
            .iter_mut()
            .find(|runner| runner.pool.id() == pool)
        {
            runner.read_inbox(now.monotonic);
        }
    }

    /// Applies the platform's host list: the workers of this host's pools, and all entry hosts.
    fn apply_host_list(&mut self, now: pool::Now, list: &host_list::HostList) {
        let entry_hosts: Vec<_> = list.hosts.iter().filter_map(listed_entry_host).collect();
        self.membership
            .update_listed_hosts(now.monotonic, &entry_hosts);
        let zone = &self.context.settings.availability_zone;
        let pool_count = self.pools.len();
        for (index, runner) in self.pools.iter_mut().enumerate() {
            let mut addresses = collections::FastMap::<id::WorkerId, SocketAddr>::default();
            for host in list
                .hosts
                .iter()
                .filter(|host| host.availability_zone == *zone)
            {
                if let Some(worker) = listed_worker(host)
                    && pool_index_of(&worker, pool_count) == index
                {
                    addresses.insert(worker, host.address);
                }
            }
            runner.set_workers(now, addresses, &mut self.notices);
        }
    }

    /// Logs state changes of peers, and notifies each pool when this host becomes or ceases to be
    /// its preferred leader.
    fn update_preferred_pools(&mut self, now: pool::Now) {
        let pools: Vec<_> = self
            .pools
            .iter()
            .map(|runner| runner.pool.id().clone())
            .collect();
        self.membership.watch_pools(now.monotonic, pools.iter());
        for change in self.membership.changes(now.monotonic) {
            let pairs = notices::Pairs::default()
                .with("peer", &change.host)
                .with("from", format_args!("{:?}", change.from))
                .with("to", format_args!("{:?}", change.to));
            self.notices
                .record_host_event(now.wall, "peer.state", &pairs);
        }
        if self.leaving {
            return;
        }
        for runner in &mut self.pools {
            let preferred = self.membership.should_lead(runner.pool.id(), now.monotonic);
            if runner.set_preferred(preferred) {
                let event = leadership::LeadershipEvent::Preferred(preferred);
                runner.handle(now, pool::PoolEvent::Leadership(event), &mut self.notices);
            }
        }
    }

    /// Records this host as the leader of the pools that it leads, and announces new ones to peers.
    fn record_own_claims(&mut self, now: pool::Now) {
        for runner in &self.pools {
            if let Some(claim) = runner.leadership_claim(now.monotonic) {
                let leader = known_routes::PoolLeader {
                    host: self.context.settings.entry_host.clone(),
                    address: None,
                    epoch: claim.epoch,
                };
                if self
                    .known_routes
                    .set_leader(now.monotonic, &claim.pool, leader)
                {
                    self.membership.announce(now.monotonic);
                }
            }
        }
    }

    /// Answers a request for routes; `None` unless this host leads the pool.
    fn answer_routes(
        &mut self,
        now: pool::Now,
        request: &message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        let runner = self
            .pools
            .iter_mut()
            .find(|runner| *runner.pool.id() == request.pool);
        match runner {
            Some(runner) => runner.answer_routes_request(now.monotonic, request, reply),
            None => {
                let _ = reply.send(None);
            }
        }
    }

    /// Sends the due requests for route changes to the pools' leaders.
    fn request_due_routes(&mut self, now: pool::Now) {
        for due in self.known_routes.take_due_requests(now.monotonic) {
            let context = Arc::clone(&self.context);
            let pool = due.request.pool.clone();
            let Some(address) = due.leader.address else {
                self.request_own_routes(now, &due.request);
                continue;
            };
            let peer = self.heartbeats.client(address);
            tokio::spawn(async move {
                let answer = match peer {
                    Some(peer) => peer.routes(due.request).await.ok(),
                    None => None,
                };
                context.report(event::ControlEvent::RoutesAnswered { pool, answer });
            });
        }
    }

    /// Requests routes of a pool that this host leads; they are handled like those of other pools.
    fn request_own_routes(&mut self, now: pool::Now, request: &message::RoutesRequest) {
        let (reply, answer) = oneshot::channel();
        let context = Arc::clone(&self.context);
        let pool = request.pool.clone();
        self.answer_routes(now, request, reply);
        tokio::spawn(async move {
            let answer = answer.await.ok().flatten();
            context.report(event::ControlEvent::RoutesAnswered { pool, answer });
        });
    }

    fn handle_heartbeat(
        &mut self,
        now: pool::Now,
        heartbeat: &message::Heartbeat,
        reply: Option<oneshot::Sender<message::Heartbeat>>,
    ) {
        let accepted = self
            .membership
            .record_heartbeat(now.monotonic, &heartbeats::received_heartbeat(heartbeat));
        if accepted {
            self.peer_config_in_force_wall_ms
                .insert(heartbeat.host.clone(), heartbeat.config_in_force_wall_ms);
            if let Some(address) = heartbeat.address {
                self.membership
                    .set_address(&heartbeat.host, &address.to_string());
            }
            self.record_leader_claims(now, heartbeat);
            if heartbeat.config_version > 0 {
                self.note_config_version(now, heartbeat.config_version);
            }
            self.config_fetch.has_contacted_source = true;
        }
        if let Some(reply) = reply {
            let _ = reply.send(self.own_heartbeat(now));
        }
    }

    /// Records the pools that a peer claims to lead, and its route versions.
    fn record_leader_claims(&mut self, now: pool::Now, heartbeat: &message::Heartbeat) {
        let address = self.membership.address(&heartbeat.host);
        let Some(address) = address.and_then(|address| address.parse().ok()) else {
            return;
        };
        for claim in &heartbeat.leads {
            let leader = known_routes::PoolLeader {
                host: heartbeat.host.clone(),
                address: Some(address),
                epoch: claim.epoch,
            };
            self.known_routes
                .set_leader(now.monotonic, &claim.pool, leader);
            if self
                .known_routes
                .leader(&claim.pool)
                .is_some_and(|known| known.host == heartbeat.host)
            {
                self.known_routes.note_leader_version(
                    now.monotonic,
                    &claim.pool,
                    claim.routes_version,
                );
            }
        }
    }

    fn own_heartbeat(&self, now: pool::Now) -> message::Heartbeat {
        let settings = &self.context.settings;
        message::Heartbeat {
            protocol: message::PROTOCOL_VERSION,
            host: settings.entry_host.clone(),
            incarnation: self.context.identity.incarnation,
            availability_zone: settings.availability_zone.clone(),
            address: Some(self.context.identity.advertised),
            config_version: self.applied_config.version(),
            config_in_force_wall_ms: self.applied_config.in_force_wall_ms(),
            wall_ms: now.wall,
            leaving: self.leaving,
            table_unreachable: !self.degradations.store_available(),
            leads: self
                .pools
                .iter()
                .filter_map(|runner| runner.leadership_claim(now.monotonic))
                .collect(),
        }
    }

    /// Sends heartbeats to the seed peers, if needed, and to all peers that are due.
    fn send_heartbeats(&mut self, now: pool::Now) {
        self.contact_seed_peers(now);
        let due = self.membership.due_heartbeats(now.monotonic);
        if due.is_empty() {
            return;
        }
        let heartbeat = self.own_heartbeat(now);
        for host in due {
            let address = self
                .membership
                .address(&host)
                .and_then(|text| text.parse().ok());
            if let Some(address) = address {
                self.heartbeats.send(address, heartbeat.clone());
            }
        }
    }

    /// Sends heartbeats to the configured seed peers until a peer is known. Other entry hosts
    /// become known from the platform's host list and from their own heartbeats.
    fn contact_seed_peers(&mut self, now: pool::Now) {
        let has_no_peers = self.membership.peers(now.monotonic).next().is_none();
        if !has_no_peers || now.monotonic < self.next_seed_heartbeat {
            return;
        }
        self.next_seed_heartbeat = now.monotonic + self.context.settings.heartbeat_interval_ms;
        let heartbeat = self.own_heartbeat(now);
        for seed in self.context.settings.seed_peers.clone() {
            if seed != self.context.identity.advertised {
                self.heartbeats.send(seed, heartbeat.clone());
            }
        }
    }

    fn note_config_version(&mut self, now: pool::Now, version: u64) {
        self.config_fetch.has_contacted_source = true;
        if self.applied_config.note_known_version(version)
            && self.config_fetch.next_fetch_at.is_none()
        {
            self.config_fetch.next_fetch_at = Some(now.monotonic);
        }
    }

    fn fetch_config_if_due(&mut self, now: pool::Now) {
        let due = self
            .config_fetch
            .next_fetch_at
            .is_some_and(|at| at <= now.monotonic);
        if !due || self.config_fetch.running {
            return;
        }
        self.config_fetch.next_fetch_at = None;
        if self.applied_config.highest_known() <= self.applied_config.version() {
            return;
        }
        self.config_fetch.running = true;
        let peers = self.peers_with_newer_config(now);
        let version = self.applied_config.version();
        let document = Arc::clone(self.applied_config.document());
        let context = Arc::clone(&self.context);
        let held = configuration_store::Versioned {
            version,
            document: (*document).clone(),
        };
        let wanted_version = self.applied_config.highest_known();
        tokio::spawn(super::configuration::fetch(
            context,
            held,
            wanted_version,
            peers,
        ));
    }

    /// Clients of the peers that have a newer configuration, for when the store is unreachable.
    fn peers_with_newer_config(&mut self, now: pool::Now) -> Vec<mangotrestle_peer::PeerClient> {
        let held = self.applied_config.version();
        let newer: Vec<SocketAddr> = self
            .membership
            .peers_with_config_above(held, now.monotonic)
            .filter_map(|host| self.membership.address(host)?.parse().ok())
            .collect();
        newer
            .into_iter()
            .filter_map(|address| self.heartbeats.client(address))
            .collect()
    }

    fn handle_fetched_config(
        &mut self,
        now: pool::Now,
        version: u64,
        document: &Arc<configuration::Document>,
    ) {
        self.config_fetch.running = false;
        let outcome = self
            .applied_config
            .offer(version, Arc::clone(document), now.wall);
        if outcome == configuration::Offer::Applied {
            let pairs = notices::Pairs::default().with("version", version);
            self.notices
                .record_host_event(now.wall, "config.in_force", &pairs);
            self.known_routes.configure(version, document);
            for runner in &mut self.pools {
                let config = configure::scheduler_config(document, runner.pool.id());
                let event = pool::PoolEvent::ConfigChanged(Box::new(config));
                runner.handle(now, event, &mut self.notices);
            }
        }
        if self.applied_config.highest_known() > self.applied_config.version() {
            self.config_fetch.next_fetch_at = Some(now.monotonic + CONFIG_FETCH_RETRY_DELAY);
        }
    }

    /// Reports this host as ready once its configuration is current.
    fn update_readiness(&mut self) {
        if *self.readiness.borrow() == telemetry::Readiness::Ready || self.leaving {
            return;
        }
        if self
            .applied_config
            .may_become_ready(self.config_fetch.has_contacted_source)
        {
            let now = self.context.clock.now();
            self.notices
                .record_host_event(now.wall, "host.ready", &notices::Pairs::default());
            let _ = self.readiness.send(telemetry::Readiness::Ready);
        }
    }

    /// Releases the leadership of all pools and notifies peers, so that others take over at once.
    fn stop(&mut self, done: oneshot::Sender<()>) {
        let now = self.context.clock.now();
        self.leaving = true;
        self.membership.set_leaving();
        for runner in &mut self.pools {
            let event = leadership::LeadershipEvent::Resign;
            runner.handle(now, pool::PoolEvent::Leadership(event), &mut self.notices);
        }
        let heartbeat = self.own_heartbeat(now);
        let peers: Vec<SocketAddr> = self
            .membership
            .peers(now.monotonic)
            .filter_map(|(host, _)| self.membership.address(host)?.parse().ok())
            .collect();
        for address in peers {
            self.heartbeats.send(address, heartbeat.clone());
        }
        let _ = done.send(());
    }

    /// Spawns the tasks that poll the platform and delete expired rows.
    fn spawn_platform_tasks(&self) {
        tokio::spawn(super::configuration::poll(Arc::clone(&self.context)));
        tokio::spawn(super::hosts::poll(Arc::clone(&self.context)));
        tokio::spawn(super::sweeping::run(Arc::clone(&self.context)));
    }
}

/// Maximum number of queued events that one iteration handles before its timers, in addition to the
/// event that woke it.
const MAX_EVENTS_PER_ITERATION: usize = 256;

/// Returns the index of the pool to which a worker of this zone belongs, from a hash of its name.
fn pool_index_of(worker: &id::WorkerId, pool_count: usize) -> usize {
    use std::hash::BuildHasher;
    let hash = rustc_hash::FxBuildHasher.hash_one(worker.as_str());
    usize::try_from(hash % pool_count as u64).unwrap_or(0)
}

fn listed_worker(host: &host_list::Host) -> Option<id::WorkerId> {
    let is_worker = host.role == host_list::Role::Worker;
    is_worker
        .then(|| id::WorkerId::new(&host.id).ok())
        .flatten()
}

fn listed_entry_host(host: &host_list::Host) -> Option<membership::ListedHost> {
    if host.role != host_list::Role::Entry {
        return None;
    }
    Some(membership::ListedHost {
        host: id::EntryHostId::new(&host.id).ok()?,
        availability_zone: host.availability_zone.clone(),
        address: host.address.to_string(),
        state: match host.state {
            host_list::HostState::Live => membership::ListedState::Live,
            host_list::HostState::Leaving => membership::ListedState::Leaving,
        },
    })
}
