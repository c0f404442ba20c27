//! Leadership of a pool: one row that every commit of the leader rewrites.
//!
//! The row is both the fence and the heartbeat. A commit is conditional on the row version that the
//! previous commit left, so the commits of one leader form a chain: if the answer to a commit was
//! lost and the commit is applied late, it finds another version and does nothing. A rival takes
//! the row by the same condition with a higher term; after that, the former leader cannot commit
//! anything.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::id;
use crate::membership::rendezvous;
use crate::time::{SpanMs, TimeMs};

/// Maximum time between two commits of a leader; an empty commit is made if nothing changed.
pub const MAX_COMMIT_INTERVAL: SpanMs = SpanMs(400);
/// Time without a commit after which a leader is replaced: three commit intervals and one poll.
/// Only polls that were answered count.
pub const LEADER_TIMEOUT: SpanMs = SpanMs(1_600);
/// Time without a commit after which a leader is replaced if it does not answer its peers either.
pub const UNRESPONSIVE_LEADER_TIMEOUT: SpanMs = SpanMs(900);
/// Timeout for a leader's answer to the question whether it still leads.
const LEADER_PROBE_TIMEOUT: SpanMs = SpanMs(350);
/// Minimum delay for each rank among the hosts, so that they do not claim together.
pub const MIN_CLAIM_STAGGER: SpanMs = SpanMs(250);
/// Time after an observed commit for which its leader counts as alive: longer than a commit interval
/// and one poll, shorter than [`LEADER_TIMEOUT`].
pub const RECENT_COMMIT_WINDOW: SpanMs = SpanMs(1_300);
/// Highest rank for which a claim is delayed any longer: hosts that are gone for good keep their ranks
/// while their rows exist, and must not hold up those after them.
pub const MAX_DELAYED_RANK: u64 = 8;
/// Time for which a host that gave up a pool lets the other hosts go first.
pub const GIVEN_UP_LIFETIME: SpanMs = SpanMs(10_000);
/// Maximum time without a commit for which a leader still extends leases of workers. After this
/// time and one lease, nothing that it started can still run on a worker that no other leader
/// reaches.
pub const MAX_LEASING_WITHOUT_COMMIT: SpanMs = SpanMs(12_000);

/// Difference between the terms of two leaderships that follow each other. The numbers in between are
/// the fencing tokens of later lives of workers.
///
/// A host of an earlier release raises the term by one, so workers that have not started again still
/// accept its orders while hosts of both releases run.
pub const TERM_STEP: u64 = 1_000_000;

/// Returns the term of the leadership that follows one. It is never lower: workers would refuse all
/// orders.
const fn next_term(term: u64) -> u64 {
    (term / TERM_STEP + 1).saturating_mul(TERM_STEP)
}

/// Returns the fencing token for orders to a life of a worker. It is higher than that of all earlier
/// leaderships, and within one higher than that of all earlier lives: once the worker's present life
/// has seen it, orders for an earlier life do nothing.
#[must_use]
pub fn fencing_token(term: u64, life: u32) -> u64 {
    term.saturating_add(u64::from(life).min(TERM_STEP - 1))
}

/// What admission needs to know of a team.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct TeamLoad {
    /// Whether it sends more jobs than it is promised.
    #[serde(rename = "b", skip_serializing_if = "std::ops::Not::not")]
    pub beyond_rate: bool,
    /// Expected time in milliseconds until its waiting work has room in the pool's share of its cap.
    #[serde(rename = "w", skip_serializing_if = "is_zero")]
    pub wait_ms: u64,
}

#[allow(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

/// The leader's published state of its pool, read by all hosts.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolSummary {
    /// Number of jobs without a schedule of which no task has started, by queue.
    pub pending: BTreeMap<String, u32>,
    /// Expected time in milliseconds until work that arrives now starts, by priority.
    pub wait_ms: BTreeMap<u32, u64>,
    /// Number of workers that may get work; unset by hosts of an earlier release.
    pub workers: Option<u32>,
    /// Time in milliseconds until the leader has made a submitted job durable; its other work takes as
    /// long.
    pub lag_ms: u64,
    /// Time in milliseconds by which the answers to ticket requests exceed what the policies state.
    pub ticket_lag_ms: u64,
    /// Expected time in milliseconds until work that its team is not promised starts.
    #[serde(skip_serializing_if = "is_zero")]
    pub surplus_wait_ms: u64,
    /// The teams that are beyond their rate or have no room in the pool's share of their cap.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub teams: BTreeMap<Arc<str>, TeamLoad>,
    /// The pool's workers as far as admission needs them; in a row of its own, since they hardly
    /// change.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub shapes: Vec<WorkerShape>,
}

/// A set of labels that workers of a pool have, with the maximum capacity of the workers that have it.
pub type WorkerShape = (crate::resources::Resources, Vec<String>);

/// The leadership row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadRow {
    /// Host that leads the pool.
    pub holder: id::EntryHostId,
    /// Address for its peers, as `ip:port`.
    pub address: String,
    /// Incarnation of the leading process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing token of this leadership.
    pub term: u64,
    /// Number of the commit within this leadership.
    pub sequence: u64,
    /// Whether the leader has released leadership, so that any host may claim the pool at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
}

/// A host that may lead a pool.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The host.
    pub host: &'a id::EntryHostId,
    /// Its processor time, in thousandths of a core; zero if unknown.
    pub cpu_millicores: u32,
    /// Number of other pools that it leads and that share its processor time.
    pub other_pools_led: u32,
}

impl Candidate<'_> {
    /// Returns the processor time that it has for one more pool, in thousandths of a core.
    const fn share_millicores(&self) -> u32 {
        self.cpu_millicores / (self.other_pools_led + 1)
    }
}

/// Returns hosts in the order in which they should lead a pool: hosts with more processor time left
/// for it first, since the leader does most of a pool's work. Equal hosts are ordered by rendezvous
/// hashing of the pool's name, which spreads the pools.
#[must_use]
pub fn rank_candidates<'a>(
    pool: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<&'a id::EntryHostId> {
    let shares: FastMap<_, _> = candidates
        .into_iter()
        .map(|candidate| (candidate.host, candidate.share_millicores()))
        .collect();
    let mut ranked = rendezvous::ranked(pool, shares.keys().copied(), usize::MAX);
    ranked.sort_by_key(|host| Reverse(shares.get(host)));
    ranked
}

/// Lag from which a leader may pass its pool on to a host with more processor time.
const MIN_LAG_TO_PASS_ON: SpanMs = SpanMs(200);
/// Share of its time in thousandths that a leader is busy from which it may pass its pool on.
const MIN_BUSY_TO_PASS_ON: u64 = 700;
/// Multiple of its own processor time for the pool that another host must have to get it.
const MIN_GAIN_TO_PASS_ON: u32 = 2;

/// Share of its time in thousandths that a leader is busy from which it passes its pool on to a host
/// with many times its processor time: a burst would make it late.
const MIN_BUSY_OF_WEAK_LEADER: u64 = 350;
/// Multiple of its own processor time that such a host must have.
const MIN_GAIN_OF_WEAK_LEADER: u32 = 4;

/// Whether a leader passes its pool on: it is late or nearly so, and another host has much more
/// processor time left for the pool; or it is busy, and another has many times its processor time. `own` is the leader's host without the pool.
#[must_use]
pub fn passes_on<'a>(
    own: &Candidate<'_>,
    lag: SpanMs,
    busy_per_mille: u64,
    others: impl IntoIterator<Item = Candidate<'a>>,
) -> bool {
    let min_gain = match () {
        () if lag >= MIN_LAG_TO_PASS_ON || busy_per_mille >= MIN_BUSY_TO_PASS_ON => {
            MIN_GAIN_TO_PASS_ON
        }
        () if busy_per_mille >= MIN_BUSY_OF_WEAK_LEADER => MIN_GAIN_OF_WEAK_LEADER,
        () => return false,
    };
    let wanted = own.share_millicores().saturating_mul(min_gain);
    let mut others = others.into_iter();
    wanted > 0 && others.any(|other| other.share_millicores() >= wanted)
}

/// A host's turn to claim a pool. The hosts claim one after the other, by rank, from the moment at which
/// a claim is due: a leader may have been silent for long when it turns out to be gone, and that
/// moment is then the same for all.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClaimTurn {
    due_since: Option<TimeMs>,
}

impl ClaimTurn {
    /// Records whether a claim is due for the best host, and returns whether it is the turn of a host
    /// of this rank; `stagger` is the delay for each rank. A claim that is not due for a moment, since
    /// what was known of a silent leader has lapsed, keeps its place.
    pub fn update(&mut self, now: TimeMs, is_due: bool, rank: u64, stagger: SpanMs) -> bool {
        if !is_due {
            return false;
        }
        let due_since = *self.due_since.get_or_insert(now);
        now.since(due_since) >= SpanMs(stagger.0 * rank)
    }

    /// Forgets the turn, since the leader has committed or answered, or this host could not observe it.
    pub const fn restart(&mut self) {
        self.due_since = None;
    }
}

/// Returns the rank by which a host takes its turn to claim a pool; the rank among all known hosts is
/// `rank`. A host that has just given the pool up goes after as many others as there are.
#[must_use]
pub fn turn_rank(rank: u64, hosts: u64, has_given_up: bool) -> u64 {
    let rank = rank.min(MAX_DELAYED_RANK);
    if has_given_up {
        rank + hosts.min(MAX_DELAYED_RANK)
    } else {
        rank
    }
}

/// Maximum number of times that the limit of a load is doubled.
const MAX_LOAD_DOUBLINGS: u32 = 4;

/// How long a host may take to load a pool that it has claimed.
///
/// The limit grows with what was read, so that a large pool can be loaded by a host that gets its share
/// of the store's rate. A host that gets less could not follow the pool's feeds either.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadTiming {
    base: SpanMs,
    per_page: SpanMs,
}

impl LoadTiming {
    /// Time for the first pages, with one that has to be read again.
    const BASE: SpanMs = SpanMs(3_000);
    /// Minimum time for each page: half the rate at which a leader reads its feeds.
    const MIN_PER_PAGE: SpanMs = SpanMs(250);
    /// Multiple of the time between two reads at the host's share of the store's rate.
    const READ_INTERVAL_FACTOR: f64 = 2.0;

    /// Returns the times for a host whose equal share of the store's rate is `reads_per_s`.
    #[must_use]
    pub fn new(reads_per_s: f64) -> Self {
        let per_page = Duration::from_secs_f64(Self::READ_INTERVAL_FACTOR / reads_per_s.max(1.0));
        let per_page_ms = u64::try_from(per_page.as_millis()).unwrap_or(u64::MAX);
        Self {
            base: Self::BASE,
            per_page: SpanMs(per_page_ms).max(Self::MIN_PER_PAGE),
        }
    }

    /// Returns the times after a number of loads in a row that this host gave up: where all hosts read
    /// slowly, one must be given enough time in the end.
    #[must_use]
    pub fn after_failures(self, failures: u32) -> Self {
        let factor = 1 << failures.min(MAX_LOAD_DOUBLINGS);
        Self {
            base: SpanMs(self.base.0 * factor),
            per_page: SpanMs(self.per_page.0 * factor),
        }
    }

    /// Returns the time from the claim after which a load is given up that has read so many pages.
    #[must_use]
    pub const fn limit(&self, pages: u64) -> SpanMs {
        SpanMs(self.base.0 + pages * self.per_page.0)
    }
}

/// Doubles a time span of the leadership protocol while the store is slow, since commits and polls
/// take longer then.
const fn doubled_if_slow(span: SpanMs, store_slow: bool) -> SpanMs {
    SpanMs(if store_slow { span.0 * 2 } else { span.0 })
}

/// Time as a leader below which one that is replaced has hardly taken over the pool's backlog.
const SHORT_TENURE: SpanMs = SpanMs(10_000);
/// Maximum number of times that the timeouts are doubled after short tenures.
const MAX_PATIENCE: u32 = 2;

/// A host's view of a pool's leadership.
///
/// A new leader is late while it takes over a backlog. If it is replaced for that, the next one has the
/// same backlog and no more time; so after a short tenure the timeouts are doubled.
#[derive(Debug, Default)]
pub struct Watch {
    row: Option<LeadRow>,
    version: u64,
    polled_at: Option<TimeMs>,
    changed_at: TimeMs,
    /// When the present leader was first observed.
    taken_at: TimeMs,
    /// Number of times that the timeouts are doubled.
    patience: u32,
}

impl Watch {
    /// Records the row that a poll returned. Versions only grow; an older one is ignored.
    pub fn observe(&mut self, now: TimeMs, row: LeadRow, version: u64) {
        if version > self.version {
            self.observe_tenure(now, &row);
            self.row = Some(row);
            self.version = version;
            self.changed_at = now;
        }
        self.observe_unchanged(now);
    }

    /// Records the end of a tenure if a row is that of a new leader.
    fn observe_tenure(&mut self, now: TimeMs, row: &LeadRow) {
        match &self.row {
            Some(previous) if previous.term >= row.term => return,
            Some(previous) if !previous.released && now.since(self.taken_at) < SHORT_TENURE => {
                self.patience = (self.patience + 1).min(MAX_PATIENCE);
            }
            _ => self.patience = 0,
        }
        self.taken_at = now;
    }

    /// Returns a timeout of the present leader.
    const fn timeout(&self, span: SpanMs, store_slow: bool) -> SpanMs {
        SpanMs(doubled_if_slow(span, store_slow).0 << self.patience)
    }

    /// Returns for how long a host waits for the leader's answer to the question whether it still
    /// leads.
    #[must_use]
    pub const fn probe_timeout(&self) -> SpanMs {
        self.timeout(LEADER_PROBE_TIMEOUT, false)
    }

    /// Records that another writer has overwritten the row with something that cannot be decoded. The
    /// leader can't commit any more; the next one takes the row by this version, with the term after the
    /// last one that was seen.
    pub fn observe_unreadable(&mut self, now: TimeMs, version: u64) {
        if version > self.version {
            self.version = version;
            self.changed_at = now;
        }
        self.observe_unchanged(now);
    }

    /// Records that a poll was answered and returned nothing new.
    pub fn observe_unchanged(&mut self, now: TimeMs) {
        if self.polled_at.is_none() {
            self.changed_at = now;
        }
        self.polled_at = Some(now);
    }

    /// Restarts the leader's timeout, after a time in which this host could not poll.
    pub fn restart_timeout(&mut self, now: TimeMs) {
        if self.polled_at.is_some() {
            self.changed_at = now;
            self.polled_at = Some(now);
        }
    }

    /// Returns the row as last read.
    #[must_use]
    pub const fn row(&self) -> Option<&LeadRow> {
        self.row.as_ref()
    }

    /// Returns the version of the row, zero if there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether this host has recently observed a commit of the leader. The window is longer while
    /// the store is slow.
    #[must_use]
    pub fn has_recent_commit(&self, now: TimeMs, store_slow: bool) -> bool {
        let window = doubled_if_slow(RECENT_COMMIT_WINDOW, store_slow);
        self.row.as_ref().is_some_and(|row| !row.released) && now.since(self.changed_at) < window
    }

    /// Whether the leader has not committed for so long that its peers should ask whether it is
    /// alive.
    #[must_use]
    pub fn needs_liveness_check(&self, store_slow: bool) -> bool {
        let Some(polled_at) = self.polled_at else {
            return false;
        };
        self.row.is_some()
            && polled_at.since(self.changed_at)
                >= self.timeout(UNRESPONSIVE_LEADER_TIMEOUT, store_slow)
    }

    /// Whether a host of this rank should claim the pool; `stagger` is the delay for each rank.
    /// Only time over which polls were answered counts. A leader that has released the row, or
    /// whose process has certainly ended, is replaced without waiting for its timeout.
    #[must_use]
    pub fn is_claim_due(
        &self,
        rank: u64,
        stagger: SpanMs,
        process_ended: bool,
        store_slow: bool,
    ) -> bool {
        let Some(polled_at) = self.polled_at else {
            return false;
        };
        let without_commit = polled_at.since(self.changed_at);
        let timeout = match &self.row {
            Some(row) if !row.released && !process_ended => {
                self.timeout(LEADER_TIMEOUT, store_slow)
            }
            _ => SpanMs(0),
        };
        without_commit >= timeout + SpanMs(stagger.0 * rank)
    }

    /// Returns the row that a claim of this host writes.
    #[must_use]
    pub fn claim(&self, holder: &id::EntryHostId, address: &str, incarnation: u64) -> LeadRow {
        LeadRow {
            holder: holder.clone(),
            address: address.to_owned(),
            incarnation,
            term: next_term(self.row.as_ref().map_or(0, |row| row.term)),
            sequence: 0,
            released: false,
        }
    }
}
