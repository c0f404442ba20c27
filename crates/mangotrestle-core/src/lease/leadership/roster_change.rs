//! The current roster and changes to it.
//!
//! A change is a conditional write of a row that lists both the former and the new members. The row
//! becomes current only when a majority of each list has received its version in a renewal: from
//! then on a leader that knows only the previous row cannot claim a majority. A second write drops
//! the former list. While the store is unavailable nothing is written and the roster stays as it
//! is.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::leadership::{Leadership, LeadershipCommand, Phase};
use crate::lease::message;
use crate::lease::roster;
use crate::time;

/// Versions of the roster that a leadership tracks.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Rosters {
    /// The version whose lists are used to count majorities.
    current: Option<roster::Roster>,
    /// Whether the table had no row when it was read.
    row_absent: bool,
    /// A committed version that a majority of each list has not received yet.
    announced: Option<roster::Roster>,
    /// A version whose write may or may not have taken effect.
    pending_write: Option<roster::Roster>,
    /// Members that have ended and will not answer again.
    gone_members: BTreeSet<roster::Member>,
    /// Time since which too many members are gone for a majority.
    majority_gone_at: Option<time::TimeMs>,
}

impl Rosters {
    pub(super) const fn current(&self) -> Option<&roster::Roster> {
        self.current.as_ref()
    }

    pub(super) fn version(&self) -> message::RosterVersion {
        version_of(self.current.as_ref())
    }

    /// Returns the version to send to workers: the announced one, else the current one.
    pub(super) fn announced_version(&self) -> message::RosterVersion {
        version_of(self.announced.as_ref()).max(self.version())
    }

    /// Whether a member may receive runs.
    pub(super) fn is_member(&self, member: &roster::Member) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|roster| roster.members.contains(member))
    }

    /// Returns all members of the current version.
    pub(super) fn members(&self) -> impl Iterator<Item = &roster::Member> {
        self.current.iter().flat_map(roster::Roster::all_members)
    }

    /// Discards a change in progress; the current version stays known.
    pub(super) fn abandon(&mut self) {
        self.announced = None;
        self.pending_write = None;
    }

    /// Discards the roster, which is known to be out of date.
    pub(super) fn forget(&mut self) {
        *self = Self::default();
    }

    pub(super) fn note_incarnation(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        incarnation: id::Incarnation,
    ) {
        let oldest = roster::Member {
            worker: worker.clone(),
            incarnation: id::Incarnation(0),
        };
        let answering = roster::Member {
            worker: worker.clone(),
            incarnation,
        };
        let Some(current) = &self.current else {
            return;
        };
        let older_members = |list: &BTreeSet<roster::Member>| {
            let members = list.range(&oldest..&answering);
            members.cloned().collect::<Vec<_>>()
        };
        let mut gone = older_members(&current.members);
        gone.extend(older_members(&current.former));
        for member in gone {
            self.note_gone(now, member);
        }
    }

    pub(super) fn note_gone(&mut self, now: time::TimeMs, member: roster::Member) {
        self.gone_members.insert(member);
        let Some(current) = &self.current else {
            return;
        };
        let majority_possible = current.has_majority(|member| !self.gone_members.contains(member));
        if !majority_possible && self.majority_gone_at.is_none() {
            self.majority_gone_at = Some(now);
        }
    }

    /// Whether a new roster has to be created without a majority of an old one: there is no old
    /// one, or its majority has been gone for so long that everything granted under it has expired.
    pub(super) fn must_be_created(&self, now: time::TimeMs, two_terms: time::SpanMs) -> bool {
        if self.current.is_none() {
            return self.row_absent;
        }
        let gone_at = self.majority_gone_at;
        gone_at.is_some_and(|gone_at| now >= gone_at + two_terms)
    }

    fn adopt(&mut self, loaded: Option<roster::Roster>) {
        if version_of(loaded.as_ref()) != self.version() || loaded.is_none() {
            self.gone_members.clear();
            self.majority_gone_at = None;
        }
        self.row_absent = loaded.is_none();
        self.current = loaded;
        self.abandon();
    }
}

fn version_of(roster: Option<&roster::Roster>) -> message::RosterVersion {
    roster.map_or(message::RosterVersion(0), |roster| roster.version)
}

impl Leadership {
    pub(super) fn roster_loaded(&mut self, now: time::TimeMs, loaded: Option<roster::Roster>) {
        match self.phase {
            Phase::Loading { .. } => {
                if self.is_older(loaded.as_ref()) {
                    // The copy that was read is older than the version that this leadership knows.
                    self.begin_claims(now);
                    return;
                }
                self.rosters.adopt(loaded);
                self.begin_claims(now);
            }
            Phase::Claiming { .. } | Phase::Acting(_) => self.resolve_write(now, loaded.as_ref()),
            Phase::Idle | Phase::BackingOff { .. } => {}
        }
    }

    fn is_older(&self, loaded: Option<&roster::Roster>) -> bool {
        loaded.is_some() && version_of(loaded) < self.rosters.version()
    }

    /// Determines from the table whether a write took effect, or whether another leader wrote.
    fn resolve_write(&mut self, now: time::TimeMs, loaded: Option<&roster::Roster>) {
        let known = self.rosters.announced_version();
        let version = version_of(loaded);
        if version <= known {
            self.retry_write(known);
        } else if loaded == self.rosters.pending_write.as_ref() {
            self.roster_committed(now, version);
        } else {
            self.rosters.abandon();
            self.back_off_or_idle(now);
        }
    }

    fn retry_write(&mut self, from: message::RosterVersion) {
        if let Some(roster) = self.rosters.pending_write.clone() {
            self.commands
                .push(LeadershipCommand::CommitRoster { from, roster });
        }
    }

    pub(super) fn roster_committed(&mut self, now: time::TimeMs, version: message::RosterVersion) {
        let written = self
            .rosters
            .pending_write
            .take_if(|pending_write| pending_write.version == version);
        let Some(written) = written else {
            return;
        };
        match self.phase {
            Phase::Acting(_) => self.rosters.announced = Some(written),
            Phase::Claiming { .. } => {
                self.rosters.adopt(Some(written));
                self.begin_claims(now);
            }
            _ => {}
        }
    }

    pub(super) fn roster_conflict(&mut self) {
        if self.rosters.pending_write.is_some() {
            self.commands.push(LeadershipCommand::LoadRoster);
        }
    }

    /// Handles an unavailable table: an acting leader continues with the roster that it knows, and
    /// a candidate tries with the last roster that it knew. Workers that know a newer one refuse
    /// it.
    pub(super) fn roster_unavailable(&mut self, now: time::TimeMs) {
        if !matches!(self.phase, Phase::Loading { .. }) {
            return;
        }
        if self.rosters.current.is_some() {
            self.begin_claims(now);
        } else {
            self.back_off_or_idle(now);
        }
    }

    /// Whether a roster may be written without a majority of an old one, and no write is pending.
    pub(super) fn may_create_roster(&self, now: time::TimeMs) -> bool {
        let needed = self.rosters.must_be_created(now, self.two_terms());
        needed && self.rosters.pending_write.is_none()
    }

    /// Writes a roster of all held workers if there is no roster yet, or if the majority of the old
    /// one has been gone for long enough. Returns whether it wrote one.
    pub(super) fn create_roster(&mut self, now: time::TimeMs) -> bool {
        if !self.may_create_roster(now) || self.held_count == 0 {
            return false;
        }
        let members = self.held_members().collect();
        self.write_roster(members, BTreeSet::new());
        let round_duration = self.config.answer_timeout + self.config.answer_timeout;
        self.phase = Phase::Claiming {
            until: now + round_duration,
        };
        true
    }

    /// Starts the next change of the roster if one is needed.
    pub(super) fn change_roster(&mut self) {
        if self.rosters.pending_write.is_some() {
            // The outcome of the write was lost or is late: read the table to find out.
            self.commands.push(LeadershipCommand::LoadRoster);
            return;
        }
        if self.rosters.announced.is_some() {
            return;
        }
        let Some(current) = &self.rosters.current else {
            return;
        };
        let members = self.wanted_members(current);
        let unchanged = members == current.members;
        if unchanged && current.former.is_empty() {
            return;
        }
        let former = if unchanged {
            BTreeSet::new()
        } else {
            current.members.clone()
        };
        self.write_roster(members, former);
    }

    /// Returns the members that the roster should have: all held workers, and all members that may
    /// still run tasks. The latter includes former members: another leader may have started runs on
    /// them before it received the change that leaves them out.
    fn wanted_members(&self, current: &roster::Roster) -> BTreeSet<roster::Member> {
        let mut wanted: BTreeSet<roster::Member> = self.held_members().collect();
        let remaining = current.all_members().filter(|member| {
            let state = self.workers.get(&member.worker);
            let lapsed = state.is_some_and(|state| state.runs_lapsed && state.lease.is_none());
            !lapsed && !self.rosters.gone_members.contains(member)
        });
        wanted.extend(remaining.cloned());
        wanted
    }

    fn held_members(&self) -> impl Iterator<Item = roster::Member> {
        self.workers.iter().filter_map(|(worker, state)| {
            let lease = state.lease.as_ref()?;
            Some(roster::Member {
                worker: worker.clone(),
                incarnation: lease.incarnation,
            })
        })
    }

    fn write_roster(
        &mut self,
        members: BTreeSet<roster::Member>,
        former: BTreeSet<roster::Member>,
    ) {
        let from = self.rosters.version();
        let roster = roster::Roster {
            version: message::RosterVersion(from.0 + 1),
            members,
            former,
        };
        self.rosters.pending_write = Some(roster.clone());
        self.commands
            .push(LeadershipCommand::CommitRoster { from, roster });
    }

    /// Makes the announced roster current once a majority of each list has received it. Returns
    /// whether it did.
    pub(super) fn adopt_announced(&mut self) -> bool {
        let Some(announced) = &self.rosters.announced else {
            return false;
        };
        if self.held_count <= announced.members.len() / 2 {
            return false;
        }
        let knows_version = |member: &roster::Member| {
            let state = self.workers.get(&member.worker);
            state.is_some_and(|state| state.vote(member, announced.version).is_some())
        };
        if !announced.has_majority(knows_version) {
            return false;
        }
        let announced = self.rosters.announced.take();
        let roster = announced.as_ref();
        self.rosters.gone_members.retain(|member| {
            roster.is_some_and(|roster| {
                roster.members.contains(member) || roster.former.contains(member)
            })
        });
        self.rosters.current = announced;
        self.rosters.majority_gone_at = None;
        true
    }
}
