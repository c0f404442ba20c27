//! The control thread: all control state of a process, driven by one queue of events.
//!
//! The thread owns the pools, the membership, the configuration and the routes. Everything slow
//! (calls to workers, peers and the platform) runs in tasks that report back through the queue, so
//! a turn of the loop never waits for anybody.

pub(crate) mod event;
pub(crate) mod journal_writer;

mod configure;
mod heartbeats;
mod notices;
mod pool_runner;
mod published_routes;
mod route_book;
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

/// How long shares of request slots last. The front cuts longer requests off.
pub(super) const SHARE_TERMS: slot_share::ShareTimes = slot_share::ShareTimes {
    term: time::SpanMs::from_secs(5),
    max_request_time: time::SpanMs::from_secs(20),
    drift_margin: time::SpanMs(500),
};
/// Requests and connections that one worker takes.
const WORKER_REQUEST_CAPACITY: slot_share::Capacity = slot_share::Capacity {
    slots: 8,
    connections: 64,
};
/// Longest time between two turns of the loop.
const LONGEST_TURN: time::SpanMs = time::SpanMs(500);
/// A longer gap between two turns is logged as a pause of the process.
const PAUSE_MARGIN: time::SpanMs = time::SpanMs(2_000);
/// Wait after a fetch of the configuration that failed.
const CONFIG_RETRY: time::SpanMs = time::SpanMs(500);

/// Fetching of configuration versions.
#[derive(Default)]
struct ConfigFetch {
    running: bool,
    retry_at: Option<time::TimeMs>,
    heard_from_any: bool,
}

/// All control state of a process.
pub(crate) struct Control {
    context: Arc<context::Context>,
    pools: Vec<pool_runner::PoolRunner>,
    membership: membership::Membership,
    applied: configuration::AppliedConfiguration,
    config_fetch: ConfigFetch,
    book: route_book::RouteBook,
    heartbeats: heartbeats::Heartbeats,
    notices: notices::Notices,
    pauses: pause::PauseDetector,
    readiness: watch::Sender<telemetry::Readiness>,
    degraded: views::Degradations,
    last_config: collections::FastMap<id::EntryHostId, time::WallTimeMs>,
    next_greeting: time::TimeMs,
    leaving: bool,
}

impl Control {
    /// Control state of a process that has just started.
    ///
    /// # Errors
    ///
    /// If the settings of the lease protocol contradict each other.
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
        let book = route_book::RouteBook::new(
            settings.entry_host.clone(),
            context.identity.incarnation,
            settings.availability_zone.clone(),
            cell,
            collections::FastMap::default(),
        );
        Ok(Self {
            pools,
            membership,
            applied: configuration::AppliedConfiguration::default(),
            config_fetch: ConfigFetch::default(),
            book,
            heartbeats: heartbeats::Heartbeats::new(Arc::clone(&context)),
            notices: notices::Notices::new(context.log.clone()),
            pauses: pause::PauseDetector::new(PAUSE_MARGIN),
            readiness,
            degraded: views::Degradations::default(),
            last_config: collections::FastMap::default(),
            next_greeting: time::TimeMs(0),
            leaving: false,
            context,
        })
    }

    /// Handles events until the process stops.
    pub(crate) async fn run(mut self, mut events: mpsc::UnboundedReceiver<event::ControlEvent>) {
        self.poll_platform();
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
            self.notice_pause();
            if let Some(event::ControlEvent::Stop { done }) = event {
                self.stop(done);
                continue;
            }
            if let Some(event) = event {
                self.handle(event);
            }
            // Events that wait already are handled before timers, but never keep them off.
            for _ in 0..events.len().min(MAX_EVENTS_A_TURN) {
                if let Ok(event) = events.try_recv() {
                    self.handle(event);
                }
            }
            self.tick();
        }
    }

    fn notice_pause(&mut self) {
        let now = self.context.clock.now();
        if let Some(pause) = self.pauses.observe(now.monotonic) {
            let pairs = notices::Pairs::default().with("gap_ms", pause.gap_ms);
            self.notices.host(now.wall, "process.paused", &pairs);
        }
    }

    fn next_wake(&self) -> time::TimeMs {
        let now = self.context.clock.monotonic();
        let pools = self
            .pools
            .iter()
            .filter_map(|runner| runner.next_wake(now))
            .min();
        let wakes = [pools, self.book.next_wake(), self.config_fetch.retry_at];
        let earliest = wakes
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(now + LONGEST_TURN);
        earliest.min(now + LONGEST_TURN)
    }

    fn handle(&mut self, event: event::ControlEvent) {
        use event::ControlEvent as Event;
        let now = self.context.clock.now();
        match event {
            Event::Pool { pool, event } => {
                self.pools[pool].handle(now, event, &mut self.notices);
            }
            Event::PoolLoaded {
                pool,
                tenure,
                state,
                journal,
            } => {
                self.pools[pool].loaded(now, tenure, state, journal, &mut self.notices);
            }
            Event::Journal { pool, tenure, news } => {
                self.pools[pool].journal_news(now, tenure, &news, &mut self.notices);
            }
            Event::Inbox {
                pool,
                tenure,
                entries,
            } => {
                self.pools[pool].inbox_read(now, tenure, entries, &mut self.notices);
            }
            Event::InboxChanged { pool } => self.inbox_changed(now, &pool),
            Event::HostsListed(list) => self.hosts_listed(now, &list),
            Event::Heartbeat { heartbeat, reply } => self.heartbeat(now, &heartbeat, reply),
            Event::ConfigHeard { version } => self.config_heard(now, version),
            Event::ConfigFetched { version, document } => {
                self.config_fetched(now, version, &document);
            }
            Event::ConfigAsked { reply } => {
                let _ = reply.send(event::HeldConfig {
                    version: self.applied.version(),
                    document: Arc::clone(self.applied.document()),
                });
            }
            Event::ConfigFetchFailed => {
                self.config_fetch.running = false;
                self.config_fetch.retry_at = Some(now.monotonic + CONFIG_RETRY);
            }
            Event::PeerRoutes { pool, answer } => {
                self.book.answered(now.monotonic, &pool, answer);
            }
            Event::RoutesAsked { request, reply } => self.routes_asked(now, &request, reply),
            Event::Traffic(report) => self.book.traffic(&report),
            Event::Query { query, reply } => {
                let _ = reply.send(self.answer(now, &query));
            }
            Event::Stop { done } => self.stop(done),
        }
    }

    fn tick(&mut self) {
        let now = self.context.clock.now();
        self.update_store_state(now);
        for runner in &mut self.pools {
            runner.tick(now, &mut self.notices);
        }
        self.claim_own_pools(now);
        self.prefer_pools(now);
        self.send_heartbeats(now);
        self.ask_for_routes(now);
        self.fetch_config_if_due(now);
        self.update_readiness();
    }

    /// Tells pools whether non-idempotent work can be recorded, from the table's circuit.
    fn update_store_state(&mut self, now: pool::Now) {
        let available = self.context.platform.table.circuit().open_since().is_none();
        let changed = self.degraded.set_store(now.wall, available);
        if !changed {
            return;
        }
        let kind = if available {
            "store.available"
        } else {
            "store.unavailable"
        };
        self.notices
            .host(now.wall, kind, &notices::Pairs::default());
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

    /// Takes over the host list: workers of the own pools, and entry hosts everywhere.
    fn hosts_listed(&mut self, now: pool::Now, list: &host_list::HostList) {
        let entry_hosts: Vec<_> = list.hosts.iter().filter_map(listed_entry_host).collect();
        self.membership
            .update_listed_hosts(now.monotonic, &entry_hosts);
        let zone = &self.context.settings.availability_zone;
        let pools = self.pools.len();
        for (index, runner) in self.pools.iter_mut().enumerate() {
            let mut addresses = collections::FastMap::<id::WorkerId, SocketAddr>::default();
            for host in list
                .hosts
                .iter()
                .filter(|host| host.availability_zone == *zone)
            {
                if let Some(worker) = listed_worker(host)
                    && pool_of(&worker, pools) == index
                {
                    addresses.insert(worker, host.address);
                }
            }
            runner.workers_listed(now, addresses, &mut self.notices);
        }
    }

    /// Has the candidate of each pool try to lead it.
    fn prefer_pools(&mut self, now: pool::Now) {
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
            self.notices.host(now.wall, "peer.state", &pairs);
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

    fn claim_own_pools(&mut self, now: pool::Now) {
        for runner in &self.pools {
            if let Some(claim) = runner.claim(now.monotonic) {
                let leader = route_book::PoolLeader {
                    host: self.context.settings.entry_host.clone(),
                    address: None,
                    epoch: claim.epoch,
                };
                if self.book.set_leader(now.monotonic, &claim.pool, leader) {
                    self.membership.announce(now.monotonic);
                }
            }
        }
    }

    fn routes_asked(
        &mut self,
        now: pool::Now,
        request: &message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        let led = self
            .pools
            .iter_mut()
            .find(|runner| *runner.pool.id() == request.pool);
        match led {
            Some(runner) => runner.routes_asked(now.monotonic, request, reply),
            None => {
                let _ = reply.send(None);
            }
        }
    }

    /// Asks the leaders of all pools for what changed.
    fn ask_for_routes(&mut self, now: pool::Now) {
        for due in self.book.due(now.monotonic) {
            let context = Arc::clone(&self.context);
            let pool = due.request.pool.clone();
            let Some(address) = due.leader.address else {
                self.ask_self(now, &due.request);
                continue;
            };
            let peer = self.heartbeats.client(address);
            tokio::spawn(async move {
                let answer = match peer {
                    Some(peer) => peer.routes(due.request).await.ok(),
                    None => None,
                };
                context.report(event::ControlEvent::PeerRoutes { pool, answer });
            });
        }
    }

    /// A host that leads a pool gets its routes like every other host.
    fn ask_self(&mut self, now: pool::Now, request: &message::RoutesRequest) {
        let (reply, answer) = oneshot::channel();
        let context = Arc::clone(&self.context);
        let pool = request.pool.clone();
        self.routes_asked(now, request, reply);
        tokio::spawn(async move {
            let answer = answer.await.ok().flatten();
            context.report(event::ControlEvent::PeerRoutes { pool, answer });
        });
    }

    fn heartbeat(
        &mut self,
        now: pool::Now,
        heartbeat: &message::Heartbeat,
        reply: Option<oneshot::Sender<message::Heartbeat>>,
    ) {
        let counted = self
            .membership
            .record_heartbeat(now.monotonic, &heartbeats::heard(heartbeat));
        if counted {
            self.last_config
                .insert(heartbeat.host.clone(), heartbeat.config_in_force_wall_ms);
            if let Some(address) = heartbeat.address {
                self.membership
                    .set_address(&heartbeat.host, &address.to_string());
            }
            self.take_claims(now, heartbeat);
            if heartbeat.config_version > 0 {
                self.config_heard(now, heartbeat.config_version);
            }
            self.config_fetch.heard_from_any = true;
        }
        if let Some(reply) = reply {
            let _ = reply.send(self.own_heartbeat(now));
        }
    }

    fn take_claims(&mut self, now: pool::Now, heartbeat: &message::Heartbeat) {
        let address = self.membership.address(&heartbeat.host);
        let Some(address) = address.and_then(|address| address.parse().ok()) else {
            return;
        };
        for claim in &heartbeat.leads {
            let leader = route_book::PoolLeader {
                host: heartbeat.host.clone(),
                address: Some(address),
                epoch: claim.epoch,
            };
            self.book.set_leader(now.monotonic, &claim.pool, leader);
            if self
                .book
                .leader(&claim.pool)
                .is_some_and(|known| known.host == heartbeat.host)
            {
                self.book
                    .hear_version(now.monotonic, &claim.pool, claim.routes_version);
            }
        }
    }

    fn own_heartbeat(&self, now: pool::Now) -> message::Heartbeat {
        let settings = &self.context.settings;
        message::Heartbeat {
            protocol: message::PROTOCOL,
            host: settings.entry_host.clone(),
            incarnation: self.context.identity.incarnation,
            availability_zone: settings.availability_zone.clone(),
            address: Some(self.context.identity.advertised),
            config_version: self.applied.version(),
            config_in_force_wall_ms: self.applied.in_force_wall_ms(),
            wall_ms: now.wall,
            leaving: self.leaving,
            table_unreachable: !self.degraded.store_available(),
            leads: self
                .pools
                .iter()
                .filter_map(|runner| runner.claim(now.monotonic))
                .collect(),
        }
    }

    fn send_heartbeats(&mut self, now: pool::Now) {
        self.greet_seeds(now);
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

    /// Asks the seeds of the settings until some peer is known; peers tell the rest.
    fn greet_seeds(&mut self, now: pool::Now) {
        let lonely = self.membership.peers(now.monotonic).next().is_none();
        if !lonely || now.monotonic < self.next_greeting {
            return;
        }
        self.next_greeting = now.monotonic + self.context.settings.heartbeat_interval_ms;
        let heartbeat = self.own_heartbeat(now);
        for seed in self.context.settings.seed_peers.clone() {
            if seed != self.context.identity.advertised {
                self.heartbeats.send(seed, heartbeat.clone());
            }
        }
    }

    fn config_heard(&mut self, now: pool::Now, version: u64) {
        self.config_fetch.heard_from_any = true;
        if self.applied.note_known_version(version) && self.config_fetch.retry_at.is_none() {
            self.config_fetch.retry_at = Some(now.monotonic);
        }
    }

    fn fetch_config_if_due(&mut self, now: pool::Now) {
        let due = self
            .config_fetch
            .retry_at
            .is_some_and(|at| at <= now.monotonic);
        if !due || self.config_fetch.running {
            return;
        }
        self.config_fetch.retry_at = None;
        if self.applied.highest_known() <= self.applied.version() {
            return;
        }
        self.config_fetch.running = true;
        let peers = self.peers_with_newer_config(now);
        let held = self.applied.version();
        let document = Arc::clone(self.applied.document());
        let context = Arc::clone(&self.context);
        let held = configuration_store::Versioned {
            version: held,
            document: (*document).clone(),
        };
        let wanted = self.applied.highest_known();
        tokio::spawn(super::configuration::fetch(context, held, wanted, peers));
    }

    /// Peers to ask for the configuration when the table does not give it.
    fn peers_with_newer_config(&mut self, now: pool::Now) -> Vec<mangotrestle_peer::PeerClient> {
        let held = self.applied.version();
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

    fn config_fetched(
        &mut self,
        now: pool::Now,
        version: u64,
        document: &Arc<configuration::Document>,
    ) {
        self.config_fetch.running = false;
        let offer = self.applied.offer(version, Arc::clone(document), now.wall);
        if offer == configuration::Offer::Applied {
            let pairs = notices::Pairs::default().with("version", version);
            self.notices.host(now.wall, "config.in_force", &pairs);
            self.book.configure(version, document);
            for runner in &mut self.pools {
                let config = configure::scheduler_config(document, runner.pool.id());
                let event = pool::PoolEvent::ConfigChanged(Box::new(config));
                runner.handle(now, event, &mut self.notices);
            }
        }
        if self.applied.highest_known() > self.applied.version() {
            self.config_fetch.retry_at = Some(now.monotonic + CONFIG_RETRY);
        }
    }

    fn update_readiness(&mut self) {
        if *self.readiness.borrow() == telemetry::Readiness::Ready || self.leaving {
            return;
        }
        if self
            .applied
            .may_become_ready(self.config_fetch.heard_from_any)
        {
            let now = self.context.clock.now();
            self.notices
                .host(now.wall, "host.ready", &notices::Pairs::default());
            let _ = self.readiness.send(telemetry::Readiness::Ready);
        }
    }

    /// Gives up every lease and tells peers, so that others take over at once.
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

    /// Starts the tasks that look at the platform at intervals.
    fn poll_platform(&self) {
        tokio::spawn(super::configuration::poll(Arc::clone(&self.context)));
        tokio::spawn(super::hosts::poll(Arc::clone(&self.context)));
        tokio::spawn(super::sweeping::run(Arc::clone(&self.context)));
    }
}

/// Events that are handled before timers get their turn.
const MAX_EVENTS_A_TURN: usize = 256;

/// Deals the workers of a zone over its pools.
fn pool_of(worker: &id::WorkerId, pools: usize) -> usize {
    use std::hash::BuildHasher;
    let hash = rustc_hash::FxBuildHasher.hash_one(worker.as_str());
    usize::try_from(hash % pools as u64).unwrap_or(0)
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
