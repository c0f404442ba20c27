//! Choice of the host that sends a ticket request for a leader.
//!
//! The advice service answers the requests of one host one after the other, and a leader does not
//! know those of other leaders. So every host belongs to the pool for which it scores highest. A
//! leader takes its own pool's hosts first, and of other pools those that their leaders take last.

use std::cmp::Reverse;

use crate::id;
use crate::membership::rendezvous;

/// A host that may send ticket requests.
#[derive(Clone, Copy, Debug)]
pub struct AdviceHost<'a> {
    /// The host.
    pub host: &'a id::EntryHostId,
    /// Number of requests of this leader that it is handling.
    pub requests: usize,
}

/// Returns the host for the next request of a pool's leader: one with the fewest requests of this
/// leader. `pools` are all pools whose leaders send requests.
#[must_use]
pub fn choose<'a>(
    pool: &str,
    pools: &[String],
    hosts: impl IntoIterator<Item = AdviceHost<'a>>,
) -> Option<AdviceHost<'a>> {
    hosts
        .into_iter()
        .min_by_key(|candidate| (candidate.requests, preference(pool, pools, candidate.host)))
}

/// Returns the place of a host in the order in which a pool's leader takes hosts, lowest first.
fn preference(pool: &str, pools: &[String], host: &id::EntryHostId) -> (bool, u64, Reverse<u64>) {
    let own_score = rendezvous::score(pool, host);
    let others = pools.iter().filter(|other| *other != pool);
    let highest_other = others.map(|other| rendezvous::score(other, host)).max();
    match highest_other {
        Some(other_score) if other_score > own_score => (true, other_score, Reverse(own_score)),
        _ => (false, 0, Reverse(own_score)),
    }
}
