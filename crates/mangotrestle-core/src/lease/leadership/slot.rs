//! What a leadership knows about one worker.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::clock;
use crate::lease::message;
use crate::lease::roster;
use crate::task;
use crate::time;

/// An unlapsed worker lease, as far as this process's clock can tell.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Hold {
    pub(super) incarnation: id::Incarnation,
    pub(super) epoch: message::Epoch,
    pub(super) clock: clock::WorkerClock,
    /// Since when nobody else can have held the lease.
    pub(super) held_since: time::TimeMs,
    /// When the last message was sent that the worker granted.
    pub(super) confirmed_at: time::TimeMs,
    /// Roster version that the worker is known to have heard of.
    pub(super) roster_version: message::RosterVersion,
    pub(super) leaving: bool,
}

impl Hold {
    /// Until when the lease counts: a term from when the granted message was *sent*.
    pub(super) fn valid_until(&self, term: time::SpanMs, drift: clock::DriftBound) -> time::TimeMs {
        self.confirmed_at + drift.shortest(term)
    }
}

/// What a message under way asks for.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) enum Asked {
    Claim,
    Renew { acknowledged: Vec<task::RunId> },
}

/// A message that is not answered yet.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Pending {
    pub(super) asked: Asked,
    pub(super) sent_at: time::TimeMs,
    pub(super) roster_version: message::RosterVersion,
}

/// The last lease held on a worker in this tenure.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct LastHold {
    pub(super) incarnation: id::Incarnation,
    pub(super) epoch: message::Epoch,
    pub(super) held_since: time::TimeMs,
}

/// Everything known about one worker in this tenure.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Slot {
    pub(super) hold: Option<Hold>,
    pub(super) last_hold: Option<LastHold>,
    pub(super) pending: Option<Pending>,
    /// Key of the worker's entry among the timers.
    pub(super) due: Option<time::TimeMs>,
    /// Messages in a row that were not answered.
    pub(super) failures: u32,
    /// Latest moment at which this leadership may have given a lease to a run there.
    pub(super) last_grant_at: Option<time::TimeMs>,
    /// Whether it is certain that nothing runs there from before.
    pub(super) lapsed: bool,
    /// Ended runs that are recorded and that the worker may forget.
    pub(super) acknowledged: BTreeSet<task::RunId>,
}

impl Slot {
    /// The hold, if it is on this member and the member knows the roster version.
    pub(super) fn vote(
        &self,
        member: &roster::Member,
        version: message::RosterVersion,
    ) -> Option<&Hold> {
        let hold = self.hold.as_ref()?;
        let counts = hold.incarnation == member.incarnation && hold.roster_version >= version;
        counts.then_some(hold)
    }

    /// Whether another leader held the worker since this leadership did.
    pub(super) fn shows_rival(&self, granted: &message::ClaimGranted) -> bool {
        let known = self
            .last_hold
            .filter(|last| last.incarnation == granted.worker_incarnation)
            .map_or(message::Epoch(0), |last| last.epoch);
        granted.rival_epoch > known
    }
}
