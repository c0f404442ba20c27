//! Leadership of a pool: one row that every commit of the leader rewrites.
//!
//! The row is the fence and the heartbeat at once. A commit is conditional on the version that the
//! commit before it left, so commits of one leader form a chain: a commit whose answer was lost and
//! that is carried out late finds another version and does nothing. A rival takes the row by the
//! same condition with a higher term, after which nothing of the former leader can be committed.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::id;
use crate::membership::rendezvous;
use crate::time::{SpanMs, TimeMs};

/// Longest time between two commits of a leader, empty ones included.
pub const MAX_COMMIT_INTERVAL: SpanMs = SpanMs(400);
/// Time without a commit, as seen by looks that were answered, after which a leader is replaced:
/// three renewals and a look.
pub const LEADER_TIMEOUT: SpanMs = SpanMs(1_600);
/// Time without a commit after which a leader that does not answer its peers either is replaced.
pub const UNRESPONSIVE_LEADER_TIMEOUT: SpanMs = SpanMs(900);
/// Least time for each rank among the hosts, so that they do not claim together.
pub const MIN_CLAIM_STAGGER: SpanMs = SpanMs(250);
/// Time after a commit was seen in which its leader counts as alive: a renewal and a look.
pub const RECENT_COMMIT_WINDOW: SpanMs = SpanMs(1_300);
/// Longest time for which a leader extends leases of workers without a commit; after it and a
/// lease, nothing that it started can still run on a worker which nobody else reaches.
pub const MAX_LEASING_WITHOUT_COMMIT: SpanMs = SpanMs(12_000);

/// What the leader tells all hosts about its pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PoolSummary {
    /// Jobs without a schedule of which no task has started, by queue.
    pub pending: BTreeMap<String, u32>,
    /// Time in milliseconds until work that arrives now is expected to start, by priority.
    pub wait_ms: BTreeMap<u32, u64>,
    /// The greatest workers of the pool: capacity and labels.
    pub shapes: Vec<(crate::resources::Resources, Vec<String>)>,
}

/// The leadership row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeadRow {
    /// The host that leads.
    pub holder: id::EntryHostId,
    /// Where its peers reach it, as `ip:port`.
    pub address: String,
    /// The life of the process that leads.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Fencing token of this leadership.
    pub term: u64,
    /// Number of the commit.
    pub sequence: u64,
    /// Whether the leader gave up and any host may claim at once.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub released: bool,
}

/// A host that may lead a pool.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The host.
    pub host: &'a id::EntryHostId,
    /// Its processor time, in thousandths of a core; zero if it is not known.
    pub cpu_millicores: u32,
    /// Pools that it leads besides, between which it shares its processor time.
    pub other_pools_led: u32,
}

/// Hosts in the order in which they are to lead a pool: those with more processor time left for it
/// first, since the leader does most of a pool's work, and spread by the pool's name among equals.
#[must_use]
pub fn rank_candidates<'a>(
    pool: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Vec<&'a id::EntryHostId> {
    let shares: FastMap<_, _> = candidates
        .into_iter()
        .map(|one| (one.host, one.cpu_millicores / (one.other_pools_led + 1)))
        .collect();
    let mut ranked = rendezvous::ranked(pool, shares.keys().copied(), usize::MAX);
    ranked.sort_by_key(|host| Reverse(shares.get(host)));
    ranked
}

/// A span of the leadership while the store is slow: its commits and looks take that much longer.
const fn stretched(span: SpanMs, slow: bool) -> SpanMs {
    SpanMs(if slow { span.0 * 2 } else { span.0 })
}

/// What a host sees of a pool's leadership.
#[derive(Debug, Default)]
pub struct Watch {
    row: Option<LeadRow>,
    version: u64,
    looked_at: Option<TimeMs>,
    changed_at: TimeMs,
}

impl Watch {
    /// Takes what an answered look showed. Versions only grow; an older one is ignored.
    pub fn observe(&mut self, now: TimeMs, row: LeadRow, version: u64) {
        if version > self.version {
            self.row = Some(row);
            self.version = version;
            self.changed_at = now;
        }
        self.observe_unchanged(now);
    }

    /// Notes that an answered look showed nothing new.
    pub fn observe_unchanged(&mut self, now: TimeMs) {
        if self.looked_at.is_none() {
            self.changed_at = now;
        }
        self.looked_at = Some(now);
    }

    /// Starts the time of silence anew, after a span in which this host could not look.
    pub fn restart_timeout(&mut self, now: TimeMs) {
        if self.looked_at.is_some() {
            self.changed_at = now;
            self.looked_at = Some(now);
        }
    }

    /// The row as last seen.
    #[must_use]
    pub const fn row(&self) -> Option<&LeadRow> {
        self.row.as_ref()
    }

    /// Version of the row, zero if there is none.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Whether the leader has committed lately, as far as this host has seen; `slow` says that the
    /// store is.
    #[must_use]
    pub fn has_recent_commit(&self, now: TimeMs, slow: bool) -> bool {
        let seen = stretched(RECENT_COMMIT_WINDOW, slow);
        self.row.as_ref().is_some_and(|row| !row.released) && now.since(self.changed_at) < seen
    }

    /// Whether the leader has not committed for so long that its peers should ask it.
    #[must_use]
    pub fn needs_liveness_check(&self, slow: bool) -> bool {
        let Some(looked_at) = self.looked_at else {
            return false;
        };
        self.row.is_some()
            && looked_at.since(self.changed_at) >= stretched(UNRESPONSIVE_LEADER_TIMEOUT, slow)
    }

    /// Whether a host of this rank should claim the pool; `stagger` is the time that each rank
    /// leaves to the one before. Only time over which looks were answered
    /// counts as silence; a leader whose process has ended for certain is not waited for.
    #[must_use]
    pub fn is_claim_due(&self, rank: u64, stagger: SpanMs, ended: bool, slow: bool) -> bool {
        let Some(looked_at) = self.looked_at else {
            return false;
        };
        let silence = looked_at.since(self.changed_at);
        let patience = match &self.row {
            Some(row) if !row.released && !ended => stretched(LEADER_TIMEOUT, slow),
            _ => SpanMs(0),
        };
        silence >= patience + SpanMs(stagger.0 * rank)
    }

    /// The row that a claim of this host writes.
    #[must_use]
    pub fn claim(&self, holder: &id::EntryHostId, address: &str, incarnation: u64) -> LeadRow {
        LeadRow {
            holder: holder.clone(),
            address: address.to_owned(),
            incarnation,
            term: self.row.as_ref().map_or(0, |row| row.term) + 1,
            sequence: 0,
            released: false,
        }
    }
}
