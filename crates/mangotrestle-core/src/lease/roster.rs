//! The roster: which incarnations of which workers vote on a pool's leader.
//!
//! The roster is one versioned row of the platform's table. Any two majorities of one roster share
//! a worker, and that is what keeps two leaders apart. A change must keep it so across versions:
//! the row of a change names both the members before and the members after, a leader needs a
//! majority of each, and only when a majority of each knows the version is the former list dropped
//! by the next version.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::lease::message;

/// One life of one worker; a restarted worker is another member.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Member {
    /// The worker.
    pub worker: id::WorkerId,
    /// The incarnation that votes.
    pub incarnation: id::Incarnation,
}

/// A version of a pool's roster, as the table holds it.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Number of the version, from one. Each write raises it by one.
    pub version: message::RosterVersion,
    /// Who votes.
    pub members: BTreeSet<Member>,
    /// Who voted before a change that is not finished; empty otherwise. While it is not empty, a
    /// leader needs a majority of it as well.
    pub former: BTreeSet<Member>,
}

impl Roster {
    /// Whether the members for which `holds` is true are a majority of every list.
    pub fn has_majority(&self, mut holds: impl FnMut(&Member) -> bool) -> bool {
        self.lists().all(|list| {
            let count = list.iter().filter(|member| holds(member)).count();
            count >= majority(list.len())
        })
    }

    /// The greatest value that a majority of every list reaches, `None` if no majority has one.
    ///
    /// Time and space grow linearly with the roster.
    pub fn majority_value<T: Copy + Ord>(
        &self,
        mut value: impl FnMut(&Member) -> Option<T>,
    ) -> Option<T> {
        let mut least = None;
        for list in self.lists() {
            let mut values: Vec<T> = list.iter().filter_map(&mut value).collect();
            let rank = majority(list.len());
            if rank > values.len() {
                return None;
            }
            let (_, reached, _) = values.select_nth_unstable_by(rank - 1, |a, b| b.cmp(a));
            least = Some(least.map_or(*reached, |least: T| least.min(*reached)));
        }
        least
    }

    /// All members of the version, those of an unfinished change included.
    pub fn everyone(&self) -> impl Iterator<Item = &Member> {
        self.members.union(&self.former)
    }

    /// The lists of which a leader needs a majority.
    fn lists(&self) -> impl Iterator<Item = &BTreeSet<Member>> {
        let former = Some(&self.former).filter(|former| !former.is_empty());
        std::iter::once(&self.members).chain(former)
    }
}

/// The least number of votes that is more than half of a list.
const fn majority(length: usize) -> usize {
    length / 2 + 1
}
