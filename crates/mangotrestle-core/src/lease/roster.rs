//! The roster: which incarnations of which workers vote on a pool's leader.
//!
//! The roster is one versioned row of the platform's table. Any two majorities of one roster share
//! a worker, which prevents two leaders at the same time. A change has to preserve this across
//! versions: its row lists the members both before and after the change, and a leader needs a
//! majority of each list. The next version drops the former list, once a majority of each list
//! knows the version.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::message;

/// One incarnation of a worker; a restarted worker is a different member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The worker.
    pub worker: id::WorkerId,
    /// The incarnation that votes.
    pub incarnation: id::Incarnation,
}

/// A version of a pool's roster, as stored in the table.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of the version, from one. Each write increments it.
    pub version: message::RosterVersion,
    /// Members that vote.
    pub members: BTreeSet<Member>,
    /// Members before a change that is in progress; empty otherwise. While it is not empty, a
    /// leader needs a majority of this list as well.
    pub former: BTreeSet<Member>,
}

impl Roster {
    /// Whether the members for which `holds` returns true are a majority of every list.
    pub fn has_majority(&self, mut holds: impl FnMut(&Member) -> bool) -> bool {
        self.lists().all(|list| {
            let count = list.iter().filter(|member| holds(member)).count();
            count >= majority(list.len())
        })
    }

    /// Returns the greatest value such that in every list a majority of members has this value or a
    /// greater one. `None` if there is a list in which fewer members than a majority have a value.
    ///
    /// Takes linear time and space in the size of the roster.
    pub fn majority_value<T: Copy + Ord>(
        &self,
        mut value: impl FnMut(&Member) -> Option<T>,
    ) -> Option<T> {
        let mut minimum = None;
        for list in self.lists() {
            let mut values: Vec<T> = list.iter().filter_map(&mut value).collect();
            let rank = majority(list.len());
            if rank > values.len() {
                return None;
            }
            let (_, reached, _) = values.select_nth_unstable_by(rank - 1, |a, b| b.cmp(a));
            minimum = Some(minimum.map_or(*reached, |minimum: T| minimum.min(*reached)));
        }
        minimum
    }

    /// Returns all members of the version, including former ones while a change is in progress.
    pub fn all_members(&self) -> impl Iterator<Item = &Member> {
        self.members.union(&self.former)
    }

    /// Returns the lists of which a leader needs a majority.
    fn lists(&self) -> impl Iterator<Item = &BTreeSet<Member>> {
        let former = Some(&self.former).filter(|former| !former.is_empty());
        std::iter::once(&self.members).chain(former)
    }
}

/// Returns the minimum number of votes that is more than half of a list.
const fn majority(length: usize) -> usize {
    length / 2 + 1
}
