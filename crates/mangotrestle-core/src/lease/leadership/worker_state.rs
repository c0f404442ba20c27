//! State of one worker as known to a leadership.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::clock;
use crate::lease::message;
use crate::lease::roster;
use crate::task;
use crate::time;

/// A worker lease that this process holds, unexpired by its own clock.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct HeldLease {
    pub(super) incarnation: id::Incarnation,
    pub(super) epoch: message::Epoch,
    pub(super) clock: clock::WorkerClock,
    /// Time since which no other leader can have held the lease.
    pub(super) held_since: time::TimeMs,
    /// When the last message that the worker granted was sent.
    pub(super) confirmed_at: time::TimeMs,
    /// Highest roster version that the worker is certain to have received.
    pub(super) roster_version: message::RosterVersion,
    pub(super) leaving: bool,
}

impl HeldLease {
    /// Returns until when the lease counts: one term from when the granted message was *sent*.
    pub(super) fn valid_until(&self, term: time::SpanMs, drift: clock::DriftBound) -> time::TimeMs {
        self.confirmed_at + drift.min_span(term)
    }
}

/// Kind of a request that is not answered yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum RequestKind {
    Claim,
    Renew { acknowledged: Vec<task::RunId> },
}

/// A request that is not answered yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct PendingRequest {
    pub(super) kind: RequestKind,
    pub(super) sent_at: time::TimeMs,
    pub(super) roster_version: message::RosterVersion,
}

/// The last lease on a worker that was held since the campaign began.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct LastLease {
    pub(super) incarnation: id::Incarnation,
    pub(super) epoch: message::Epoch,
    pub(super) held_since: time::TimeMs,
}

/// Everything learned about one worker since the campaign began.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct WorkerState {
    pub(super) lease: Option<HeldLease>,
    pub(super) last_lease: Option<LastLease>,
    pub(super) pending: Option<PendingRequest>,
    /// Time in the worker's entry among the timers, if it has one.
    pub(super) timer_at: Option<time::TimeMs>,
    /// Number of consecutive requests that were not answered.
    pub(super) unanswered_requests: u32,
    /// Last time at which this leadership may have extended the lease of a run on the worker.
    pub(super) last_grant_at: Option<time::TimeMs>,
    /// Whether it is certain that all earlier runs on the worker have ended.
    pub(super) runs_lapsed: bool,
    /// Ended runs that are recorded and that the worker may discard.
    pub(super) acknowledged: BTreeSet<task::RunId>,
}

impl WorkerState {
    /// Returns the lease if it counts as a vote of the member: it is on this incarnation, and the
    /// worker knows the roster version.
    pub(super) fn vote(
        &self,
        member: &roster::Member,
        version: message::RosterVersion,
    ) -> Option<&HeldLease> {
        let lease = self.lease.as_ref()?;
        let counts = lease.incarnation == member.incarnation && lease.roster_version >= version;
        counts.then_some(lease)
    }

    /// Whether another leader held the worker's lease since this leadership last did.
    pub(super) fn was_held_by_rival(&self, granted: &message::ClaimGranted) -> bool {
        let last_epoch = self
            .last_lease
            .filter(|last| last.incarnation == granted.worker_incarnation)
            .map_or(message::Epoch(0), |last| last.epoch);
        granted.rival_epoch > last_epoch
    }
}
