//! Which roster counts, and how it changes.
//!
//! A change is a conditional write of a row that names the former members beside the new ones.
//! The row counts only when a majority of each list has heard of it by a renewal: from then on a
//! leader that knows the row before it cannot claim a majority. A second write drops the former
//! list. While the store is out nothing is written and the roster stays as it is.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::leadership::{Leadership, LeadershipCommand, Phase};
use crate::lease::message;
use crate::lease::roster;
use crate::time;

/// The versions of the roster that matter to a leadership.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub(super) struct Rosters {
    /// The version on which majorities are counted.
    counted: Option<roster::Roster>,
    /// Whether the table was found to have no row.
    absent: bool,
    /// A committed version that majorities have not heard of yet.
    announced: Option<roster::Roster>,
    /// A version whose write is not known to have taken effect.
    writing: Option<roster::Roster>,
    /// Members that will never answer again.
    gone: BTreeSet<roster::Member>,
    /// Since when no majority is possible any more.
    majority_gone_at: Option<time::TimeMs>,
}

impl Rosters {
    pub(super) const fn counted(&self) -> Option<&roster::Roster> {
        self.counted.as_ref()
    }

    pub(super) fn version(&self) -> message::RosterVersion {
        version_of(self.counted.as_ref())
    }

    /// The version that workers hear of: the announced one, else the counted one.
    pub(super) fn announced_version(&self) -> message::RosterVersion {
        version_of(self.announced.as_ref()).max(self.version())
    }

    /// Whether a member may be given runs.
    pub(super) fn is_member(&self, member: &roster::Member) -> bool {
        let counted = self.counted.as_ref();
        counted.is_some_and(|roster| roster.members.contains(member))
    }

    /// All members of the counted version.
    pub(super) fn members(&self) -> impl Iterator<Item = &roster::Member> {
        self.counted.iter().flat_map(roster::Roster::everyone)
    }

    /// Forgets what was under way; what is committed stays known.
    pub(super) fn abandon(&mut self) {
        self.announced = None;
        self.writing = None;
    }

    /// Forgets the roster itself: it is known to be out of date.
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
        let Some(counted) = &self.counted else {
            return;
        };
        let older = |list: &BTreeSet<roster::Member>| {
            let older = list.range(&oldest..&answering);
            older.cloned().collect::<Vec<_>>()
        };
        let mut gone = older(&counted.members);
        gone.extend(older(&counted.former));
        for member in gone {
            self.note_gone(now, member);
        }
    }

    pub(super) fn note_gone(&mut self, now: time::TimeMs, member: roster::Member) {
        self.gone.insert(member);
        let Some(counted) = &self.counted else {
            return;
        };
        let possible = counted.has_majority(|member| !self.gone.contains(member));
        if !possible && self.majority_gone_at.is_none() {
            self.majority_gone_at = Some(now);
        }
    }

    /// Whether a new roster has to be made without a majority of an old one: there is none, or its
    /// majority is gone for so long that nothing granted under it is left.
    pub(super) fn must_be_made(&self, now: time::TimeMs, two_terms: time::SpanMs) -> bool {
        if self.counted.is_none() {
            return self.absent;
        }
        let gone_at = self.majority_gone_at;
        gone_at.is_some_and(|gone_at| now >= gone_at + two_terms)
    }

    fn adopt(&mut self, loaded: Option<roster::Roster>) {
        if version_of(loaded.as_ref()) != self.version() || loaded.is_none() {
            self.gone.clear();
            self.majority_gone_at = None;
        }
        self.absent = loaded.is_none();
        self.counted = loaded;
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
                    // A copy from elsewhere that is behind what this leadership knows.
                    self.begin_claims(now);
                    return;
                }
                self.rosters.adopt(loaded);
                self.begin_claims(now);
            }
            Phase::Claiming { .. } | Phase::Acting(_) => self.settle_write(now, loaded.as_ref()),
            Phase::Idle | Phase::BackingOff { .. } => {}
        }
    }

    fn is_older(&self, loaded: Option<&roster::Roster>) -> bool {
        loaded.is_some() && version_of(loaded) < self.rosters.version()
    }

    /// Finds out from the table what became of a write, or that somebody else wrote.
    fn settle_write(&mut self, now: time::TimeMs, loaded: Option<&roster::Roster>) {
        let known = self.rosters.announced_version();
        let version = version_of(loaded);
        if version <= known {
            self.write_again(known);
        } else if loaded == self.rosters.writing.as_ref() {
            self.roster_committed(now, version);
        } else {
            self.rosters.abandon();
            self.back_off_or_idle(now);
        }
    }

    fn write_again(&mut self, from: message::RosterVersion) {
        if let Some(roster) = self.rosters.writing.clone() {
            self.commands
                .push(LeadershipCommand::CommitRoster { from, roster });
        }
    }

    pub(super) fn roster_committed(&mut self, now: time::TimeMs, version: message::RosterVersion) {
        let written = self
            .rosters
            .writing
            .take_if(|writing| writing.version == version);
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
        if self.rosters.writing.is_some() {
            self.commands.push(LeadershipCommand::LoadRoster);
        }
    }

    /// Without the table a leader goes on with the roster it knows, and one that wants to lead
    /// tries with the last roster it knew: workers that know a newer one refuse it.
    pub(super) fn roster_unavailable(&mut self, now: time::TimeMs) {
        if !matches!(self.phase, Phase::Loading { .. }) {
            return;
        }
        if self.rosters.counted.is_some() {
            self.begin_claims(now);
        } else {
            self.back_off_or_idle(now);
        }
    }

    /// Whether a roster may be written without a majority of an old one, and none is under way.
    pub(super) fn may_make_roster(&self, now: time::TimeMs) -> bool {
        let needed = self.rosters.must_be_made(now, self.two_terms());
        needed && self.rosters.writing.is_none()
    }

    /// Writes a roster of everyone who is held, if no majority of an old one is needed for it.
    pub(super) fn make_roster(&mut self, now: time::TimeMs) -> bool {
        if !self.may_make_roster(now) || self.holds == 0 {
            return false;
        }
        let members = self.held_members().collect();
        self.write_roster(members, BTreeSet::new());
        let round = self.config.answer_timeout + self.config.answer_timeout;
        self.phase = Phase::Claiming { until: now + round };
        true
    }

    /// Starts the next change of the roster if there is one to make.
    pub(super) fn change_roster(&mut self) {
        if self.rosters.writing.is_some() {
            // Its outcome got lost, or it is late: ask.
            self.commands.push(LeadershipCommand::LoadRoster);
            return;
        }
        if self.rosters.announced.is_some() {
            return;
        }
        let Some(counted) = &self.rosters.counted else {
            return;
        };
        let members = self.wanted_members(counted);
        let unchanged = members == counted.members;
        if unchanged && counted.former.is_empty() {
            return;
        }
        let former = if unchanged {
            BTreeSet::new()
        } else {
            counted.members.clone()
        };
        self.write_roster(members, former);
    }

    /// The members that the roster should have: whoever is held, and whoever may still run tasks.
    /// The latter includes former members: another leader may have started runs there before it
    /// heard of the change that leaves them out.
    fn wanted_members(&self, counted: &roster::Roster) -> BTreeSet<roster::Member> {
        let mut wanted: BTreeSet<roster::Member> = self.held_members().collect();
        let kept = counted.everyone().filter(|member| {
            let slot = self.workers.get(&member.worker);
            let lapsed = slot.is_some_and(|slot| slot.lapsed && slot.hold.is_none());
            !lapsed && !self.rosters.gone.contains(member)
        });
        wanted.extend(kept.cloned());
        wanted
    }

    fn held_members(&self) -> impl Iterator<Item = roster::Member> {
        self.workers.iter().filter_map(|(worker, slot)| {
            let hold = slot.hold.as_ref()?;
            Some(roster::Member {
                worker: worker.clone(),
                incarnation: hold.incarnation,
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
        self.rosters.writing = Some(roster.clone());
        self.commands
            .push(LeadershipCommand::CommitRoster { from, roster });
    }

    /// Counts on the announced roster once majorities have heard of it.
    pub(super) fn adopt_announced(&mut self) -> bool {
        let Some(announced) = &self.rosters.announced else {
            return false;
        };
        if self.holds <= announced.members.len() / 2 {
            return false;
        }
        let heard = |member: &roster::Member| {
            let slot = self.workers.get(&member.worker);
            slot.is_some_and(|slot| slot.vote(member, announced.version).is_some())
        };
        if !announced.has_majority(heard) {
            return false;
        }
        let announced = self.rosters.announced.take();
        let roster = announced.as_ref();
        self.rosters.gone.retain(|member| {
            roster.is_some_and(|roster| {
                roster.members.contains(member) || roster.former.contains(member)
            })
        });
        self.rosters.counted = announced;
        self.rosters.majority_gone_at = None;
        true
    }
}
