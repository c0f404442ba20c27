//! What all parts of the process share.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use mangotrestle_core::collections::{FastMap, FastSet};
use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::catalog::Catalog;
use mangotrestle_core::workflow::environment::HostSettings;
use mangotrestle_core::workflow::leadership::{self, Candidate, LeadRow, PoolSummary, Watch};
use mangotrestle_peer::cell::CellClient;
use mangotrestle_platform::budget::Budget;
use mangotrestle_users_platform::machines::MachineClient;
use mangotrestle_users_platform::store::StoreClient;
use mangotrestle_users_platform::transport::Transport;
use mangotrestle_users_platform::worker::WorkerClient;
use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::acceptor::Acceptor;
use super::access::DirectWay;
use super::clock::Clock;
use super::leader::Leader;

/// Longest time for a call to a peer; callers set shorter ones.
const PEER_TIMEOUT: Duration = Duration::from_secs(4);
/// Part of the store's rates that the hosts use; the rest is left to retries of all at once.
const STORE_PART: f64 = 0.9;
/// Equal parts of the store's rates that one host may use.
const LEADER_PARTS: f64 = 3.0;
/// Time for which a peer is passed over that did not answer.
const PEER_PASSED_OVER: SpanMs = SpanMs(1_500);

/// A host's row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct HostRow {
    /// Where its peers reach it.
    pub(super) address: SocketAddr,
    /// Its availability zone.
    pub(super) zone: String,
    /// The life of its process.
    pub(super) life: u64,
    /// Its processor time, in thousandths of a core; zero if it is not known.
    #[serde(default)]
    pub(super) cpu_millicores: u32,
}

/// A host of the cell as this one sees it.
#[derive(Debug)]
pub(super) struct Peer {
    row: HostRow,
    /// Version of its row.
    version: u64,
    client: CellClient,
    passed_over_until: TimeMs,
    /// Questions that it is asking on behalf of leaders here.
    questions: usize,
}

/// What is known of a pool.
#[derive(Debug, Default)]
pub(super) struct PoolView {
    /// Its leadership.
    pub(super) watch: Watch,
    /// Whether its leader is being asked if it is there.
    pub(super) asking: bool,
    /// Whether its leader neither commits nor answers its peers.
    pub(super) unresponsive: bool,
    /// What its leader tells.
    pub(super) summary: Option<Arc<PoolSummary>>,
}

/// What all parts of the process share.
pub(super) struct Cell {
    /// Settings of the host.
    pub(super) settings: HostSettings,
    /// Where events are logged.
    pub(super) log: slog::Logger,
    /// Clocks.
    pub(super) clock: Clock,
    /// This life of the process.
    pub(super) life: u64,
    /// Calls to the store.
    pub(super) store: StoreClient,
    /// This host's part of the store's writing calls.
    pub(super) writes: Budget,
    /// This host's part of the store's reading calls.
    pub(super) reads: Budget,
    /// Calls to workers.
    pub(super) workers: WorkerClient,
    /// Calls to the machines' service.
    pub(super) machines: Option<MachineClient>,
    /// Connections for everything else.
    pub(super) transport: Transport,
    /// The direct way to the store.
    pub(super) direct: DirectWay,
    /// When the store last answered, by whatever way.
    pub(super) store_answered_at_ms: AtomicU64,
    /// When a direct call to the store last failed.
    pub(super) store_failed_at_ms: AtomicU64,
    /// The configuration in force.
    pub(super) catalog: ArcSwapOption<Catalog>,
    pools: Mutex<FastMap<String, PoolView>>,
    peers: Mutex<BTreeMap<id::EntryHostId, Peer>>,
    leaders: Mutex<FastMap<String, Arc<Leader>>>,
    acceptors: Mutex<FastMap<String, Acceptor>>,
    claiming: Mutex<FastSet<String>>,
    /// The peer that passed the last call on.
    relay: Mutex<Option<id::EntryHostId>>,
    /// Version of this host's own row, zero before it is written.
    registered_version: AtomicU64,
    stopping: AtomicBool,
}

impl Cell {
    /// State of a process that begins.
    pub(super) fn new(settings: HostSettings, log: slog::Logger) -> Self {
        let transport = Transport::new();
        Self {
            writes: Budget::new(settings.store_limits.writes_per_s * STORE_PART),
            reads: Budget::new(settings.store_limits.reads_per_s * STORE_PART),
            store: StoreClient::new(Transport::new(), settings.store),
            workers: WorkerClient::new(Transport::new()),
            machines: settings
                .machines
                .map(|address| MachineClient::new(transport.clone(), address)),
            transport,
            settings,
            log,
            clock: Clock::start(),
            life: rand::rng().random(),
            direct: DirectWay::default(),
            store_answered_at_ms: AtomicU64::new(0),
            store_failed_at_ms: AtomicU64::new(0),
            catalog: ArcSwapOption::empty(),
            pools: Mutex::default(),
            peers: Mutex::default(),
            leaders: Mutex::default(),
            acceptors: Mutex::default(),
            claiming: Mutex::default(),
            relay: Mutex::default(),
            registered_version: AtomicU64::new(0),
            stopping: AtomicBool::new(false),
        }
    }

    /// Whether a planned stop has begun.
    pub(super) fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub(super) fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Relaxed);
    }

    /// Whether the balancer may send callers here.
    pub(super) fn is_ready(&self) -> bool {
        !self.is_stopping() && self.catalog.load().is_some() && self.store_answers()
    }

    /// This host's row.
    pub(super) fn own_row(&self) -> HostRow {
        HostRow {
            address: self.settings.peer,
            zone: self.settings.zone.clone(),
            life: self.life,
            cpu_millicores: self.settings.cpu_millicores,
        }
    }

    /// Takes a host's row; `None` if the host is gone.
    pub(super) fn learn_host(&self, host: &id::EntryHostId, row: Option<HostRow>, version: u64) {
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
            .is_some_and(|peer| peer.row.life == row.life)
        {
            return;
        }
        let client = match CellClient::new(row.address, PEER_TIMEOUT) {
            Ok(client) => client,
            Err(error) => {
                slog::warn!(self.log, "peer.unusable"; "peer" => host.as_str(), "error" => %error);
                return;
            }
        };
        slog::info!(self.log, "peer.known"; "peer" => host.as_str(), "address" => %row.address,
            "life" => row.life);
        let peer = Peer {
            row,
            version,
            client,
            passed_over_until: TimeMs(0),
            questions: 0,
        };
        peers.insert(host.clone(), peer);
        self.share_store(peers.len() + 1);
    }

    /// Takes this host's part of what the store allows all hosts together.
    fn share_store(&self, hosts: usize) {
        // A leader makes many more calls than the other hosts, of which most are far below a part.
        let hosts = u32::try_from(hosts).unwrap_or(u32::MAX);
        let part = STORE_PART * (LEADER_PARTS / f64::from(hosts)).min(1.0);
        let limits = &self.settings.store_limits;
        self.writes.set_rate_per_s(limits.writes_per_s * part);
        self.reads.set_rate_per_s(limits.reads_per_s * part);
    }

    /// Notes that this host's row is durable.
    pub(super) fn note_registered(&self, version: u64) {
        self.registered_version.store(version, Ordering::Relaxed);
    }

    /// Whether the process that leads a pool has ended: its host has registered another life since
    /// the last commit.
    pub(super) fn leader_has_ended(&self, pool: &str) -> bool {
        let lead = self.with_pool(pool, |view| {
            let row = view.watch.row();
            row.map(|row| (row.holder.clone(), row.incarnation, view.watch.version()))
        });
        let Some((holder, life, version)) = lead else {
            return false;
        };
        let (present_life, registered) = if holder == self.settings.host {
            (self.life, self.registered_version.load(Ordering::Relaxed))
        } else {
            match lock(&self.peers).get(&holder) {
                Some(peer) => (peer.row.life, peer.version),
                None => return false,
            }
        };
        present_life != life && registered > version
    }

    /// A client of a peer.
    pub(super) fn peer(&self, host: &id::EntryHostId) -> Option<CellClient> {
        lock(&self.peers).get(host).map(|peer| peer.client.clone())
    }

    /// A client of a peer that has not just left a call unanswered.
    pub(super) fn answering_peer(&self, host: &id::EntryHostId) -> Option<CellClient> {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let peer = peers.get(host)?;
        (now >= peer.passed_over_until).then(|| peer.client.clone())
    }

    /// Passes a peer over for a while.
    pub(super) fn note_peer_failure(&self, host: &id::EntryHostId) {
        let now = self.clock.now();
        if let Some(peer) = lock(&self.peers).get_mut(host) {
            if now >= peer.passed_over_until {
                slog::info!(self.log, "peer.silent"; "peer" => host.as_str());
            }
            peer.passed_over_until = now + PEER_PASSED_OVER;
        }
    }

    /// Notes whether a peer could pass a call on.
    pub(super) fn note_relay(&self, host: &id::EntryHostId, passed: bool) {
        let mut present = lock(&self.relay);
        if passed {
            *present = Some(host.clone());
        } else if present.as_ref() == Some(host) {
            *present = None;
        }
    }

    /// Peers to pass calls on: the one that did so last, then others in random order.
    pub(super) fn relay_peers(&self, most: usize) -> Vec<(id::EntryHostId, CellClient)> {
        let now = self.clock.now();
        let peers = lock(&self.peers);
        let mut usable: Vec<_> = peers
            .iter()
            .filter(|(_, peer)| now >= peer.passed_over_until)
            .map(|(host, peer)| (host.clone(), peer.client.clone()))
            .collect();
        let mut rng = rand::rng();
        for index in (1..usable.len()).rev() {
            usable.swap(index, rng.random_range(0..=index));
        }
        let last = lock(&self.relay).clone();
        usable.sort_by_key(|(host, _)| Some(host) != last.as_ref());
        usable.truncate(most);
        usable
    }

    /// Takes the peer that asks the fewest questions; `None` is this host itself.
    pub(super) fn take_asker(&self, own_questions: usize) -> Option<(id::EntryHostId, CellClient)> {
        let now = self.clock.now();
        let mut peers = lock(&self.peers);
        let (host, peer) = peers
            .iter_mut()
            .filter(|(_, peer)| now >= peer.passed_over_until)
            .min_by_key(|(_, peer)| (peer.questions, peer.row.zone != self.settings.zone))?;
        if peer.questions >= own_questions && own_questions == 0 {
            return None;
        }
        peer.questions += 1;
        Some((host.clone(), peer.client.clone()))
    }

    /// Gives back a peer that asked.
    pub(super) fn give_asker_back(&self, host: &id::EntryHostId) {
        if let Some(peer) = lock(&self.peers).get_mut(host) {
            peer.questions = peer.questions.saturating_sub(1);
        }
    }

    /// Number of hosts, this one included.
    pub(super) fn host_count(&self) -> usize {
        lock(&self.peers).len() + 1
    }

    /// This host's rank among all for a pool.
    pub(super) fn rank(&self, pool: &str) -> u64 {
        let led = self.other_pools_led(pool);
        let peers = lock(&self.peers);
        let own = Candidate {
            host: &self.settings.host,
            cpu_millicores: self.settings.cpu_millicores,
            other_pools_led: led.get(&self.settings.host).copied().unwrap_or_default(),
        };
        let hosts = candidates(&peers, &led).chain(std::iter::once(own));
        let ranked = leadership::rank_candidates(pool, hosts);
        let position = ranked.iter().position(|host| **host == self.settings.host);
        position
            .and_then(|rank| u64::try_from(rank).ok())
            .unwrap_or_default()
    }

    /// Hosts for a pool, best first, without this one.
    pub(super) fn successors(&self, pool: &str) -> Vec<CellClient> {
        let led = self.other_pools_led(pool);
        let peers = lock(&self.peers);
        leadership::rank_candidates(pool, candidates(&peers, &led))
            .into_iter()
            .filter_map(|host| peers.get(host))
            .map(|peer| peer.client.clone())
            .collect()
    }

    /// How many pools other than this one each host leads, claims of this host included.
    fn other_pools_led(&self, pool: &str) -> FastMap<id::EntryHostId, u32> {
        let mut led: FastMap<id::EntryHostId, u32> = FastMap::default();
        let claimed = lock(&self.claiming).clone();
        for (name, view) in lock(&self.pools).iter().filter(|(name, _)| *name != pool) {
            let holder = if claimed.contains(name) {
                Some(&self.settings.host)
            } else {
                let row = view.watch.row();
                row.filter(|row| !row.released).map(|row| &row.holder)
            };
            if let Some(holder) = holder {
                *led.entry(holder.clone()).or_default() += 1;
            }
        }
        led
    }

    /// Looks at or changes what is known of a pool.
    pub(super) fn with_pool<T>(&self, pool: &str, use_view: impl FnOnce(&mut PoolView) -> T) -> T {
        let mut pools = lock(&self.pools);
        if !pools.contains_key(pool) {
            pools.insert(pool.to_owned(), PoolView::default());
        }
        let view = pools.entry(pool.to_owned()).or_default();
        use_view(view)
    }

    /// Names of all pools that are known.
    pub(super) fn known_pools(&self) -> Vec<String> {
        lock(&self.pools).keys().cloned().collect()
    }

    /// Whether a pool's leader neither commits nor answers its peers.
    pub(super) fn is_unresponsive(&self, pool: &str) -> bool {
        self.with_pool(pool, |view| view.unresponsive)
    }

    /// Whether commits of a pool's leader have been seen lately.
    pub(super) fn leader_commits(&self, pool: &str) -> bool {
        let (now, slow) = (self.clock.now(), self.store_is_slow());
        self.with_pool(pool, |view| view.watch.has_recent_commit(now, slow))
    }

    /// The leadership row of a pool.
    pub(super) fn lead_row(&self, pool: &str) -> Option<LeadRow> {
        self.with_pool(pool, |view| view.watch.row().cloned())
    }

    /// What a pool's leader tells.
    pub(super) fn summary(&self, pool: &str) -> Option<Arc<PoolSummary>> {
        if let Some(leader) = self.leader(pool) {
            return Some(leader.summary());
        }
        self.with_pool(pool, |view| view.summary.clone())
    }

    /// The leader of a pool, if this host leads it.
    pub(super) fn leader(&self, pool: &str) -> Option<Arc<Leader>> {
        lock(&self.leaders).get(pool).cloned()
    }

    /// All pools that this host leads.
    pub(super) fn all_leaders(&self) -> Vec<(String, Arc<Leader>)> {
        let leaders = lock(&self.leaders);
        let pairs = leaders.iter();
        pairs
            .map(|(pool, leader)| (pool.clone(), Arc::clone(leader)))
            .collect()
    }

    /// Enters this host as the leader of a pool.
    pub(super) fn enter_leader(&self, pool: &str, leader: Arc<Leader>) {
        lock(&self.leaders).insert(pool.to_owned(), leader);
    }

    /// Removes this host as the leader of a pool.
    pub(super) fn remove_leader(&self, pool: &str) {
        lock(&self.leaders).remove(pool);
    }

    /// Notes that a claim of a pool begins; `false` if one is on its way.
    pub(super) fn begin_claiming(&self, pool: &str) -> bool {
        lock(&self.claiming).insert(pool.to_owned())
    }

    /// Notes that a claim of a pool has ended.
    pub(super) fn end_claiming(&self, pool: &str) {
        lock(&self.claiming).remove(pool);
    }

    /// What makes jobs of a pool durable.
    pub(super) fn acceptor(self: &Arc<Self>, pool: &str) -> Acceptor {
        let mut acceptors = lock(&self.acceptors);
        let acceptor = acceptors
            .entry(pool.to_owned())
            .or_insert_with(|| Acceptor::start(Arc::clone(self), pool));
        acceptor.clone()
    }
}

/// Peers that may lead a pool.
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

/// Locks; a thread that panicked while it held the lock leaves the state as it was.
pub(super) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
