//! Choice of the host that sends a ticket request for a leader.
//!
//! The advice service answers the requests of one host one after the other, and a leader does not
//! know those of other leaders. So every host belongs to the pool for which it scores highest. A
//! leader takes its own pool's hosts first, and of other pools those that their leaders take last.
//!
//! A request takes milliseconds or most of a second, by its queue's policy. All leaders keep the same
//! hosts free of long requests, so that short ones, which are those of urgent work, never all wait
//! behind long ones.

use std::cmp::Reverse;

use crate::id;
use crate::membership::rendezvous;
use crate::time::SpanMs;

/// Time up to which a request counts as short: less than half of the shortest objectives, 250 ms.
const MAX_SHORT_REQUEST: SpanMs = SpanMs(100);
/// Divisor of the number of hosts that gives the number of those without long requests.
const SHORT_HOSTS_DIVISOR: usize = 4;
/// Number of short requests of one leader that a host may handle at a time: the path to a busy host
/// takes several times as long as the service.
const SHORT_REQUESTS_PER_HOST: usize = 6;
/// Number of short requests of all leaders for each host, of which those without long ones get up to
/// twice as many. The service refuses requests of a host where 32 wait.
const MAX_SHORT_REQUESTS_PER_HOST: usize = 16;
/// Number of short requests that a host without long ones takes for each that another host takes.
const SHORT_HOST_WEIGHT: usize = 2;
/// Name by which all leaders choose the hosts without long requests.
const SHORT_HOSTS_KEY: &str = "short ticket requests";

/// How long a ticket request occupies its host's place at the advice service.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RequestSize {
    /// So short that urgent work can wait behind it.
    Short,
    /// Longer.
    Long,
}

impl RequestSize {
    /// Returns the size of a request that the service answers after this time.
    #[must_use]
    pub fn of(expected_delay: SpanMs) -> Self {
        if expected_delay <= MAX_SHORT_REQUEST {
            Self::Short
        } else {
            Self::Long
        }
    }

    /// Returns the maximum number of requests of this size that a leader may have in flight: one at each
    /// host that takes them, and one that waits; of short ones several, unless the leader is late.
    #[must_use]
    pub fn max_in_flight(self, senders: Senders) -> usize {
        match self {
            Self::Short if senders.leader_is_late => senders.hosts + 1,
            Self::Short => {
                let share = MAX_SHORT_REQUESTS_PER_HOST / senders.leaders.max(1);
                senders.hosts * share.clamp(1, SHORT_REQUESTS_PER_HOST)
            }
            Self::Long => senders.hosts - senders.hosts / SHORT_HOSTS_DIVISOR + 1,
        }
    }
}

/// What sends a leader's ticket requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct Senders {
    /// Number of hosts, the leader's included.
    pub hosts: usize,
    /// Number of pools whose leaders send requests.
    pub leaders: usize,
    /// Whether the leader's host is late with its own work, so that more requests would only take longer.
    pub leader_is_late: bool,
}

/// A host that may send ticket requests.
#[derive(Clone, Copy, Debug)]
pub struct AdviceHost<'a> {
    /// The host.
    pub host: &'a id::EntryHostId,
    /// Number of requests that it is handling, as far as the asking host knows.
    pub requests: usize,
}

/// Returns the hosts that take no long requests.
#[must_use]
pub fn short_hosts<'a>(
    hosts: impl IntoIterator<Item = &'a id::EntryHostId>,
) -> Vec<&'a id::EntryHostId> {
    let mut hosts: Vec<&id::EntryHostId> = hosts.into_iter().collect();
    hosts.sort_by_key(|host| (rendezvous::score(SHORT_HOSTS_KEY, host), *host));
    hosts.truncate(hosts.len() / SHORT_HOSTS_DIVISOR);
    hosts
}

/// Returns the host for the next request of a pool's leader: one with the fewest requests, and for a
/// short request before all one of the `short_hosts`. `pools` are all pools whose
/// leaders send requests.
#[must_use]
pub fn choose<'a>(
    pool: &str,
    pools: &[String],
    size: RequestSize,
    short_hosts: &[&id::EntryHostId],
    hosts: impl IntoIterator<Item = AdviceHost<'a>>,
) -> Option<AdviceHost<'a>> {
    let hosts = hosts.into_iter().filter_map(|candidate| {
        let for_short = short_hosts.contains(&candidate.host);
        let requests = match size {
            RequestSize::Long if for_short => return None,
            RequestSize::Short if for_short => candidate.requests / SHORT_HOST_WEIGHT,
            _ => candidate.requests,
        };
        let preference = preference(pool, pools, candidate.host);
        Some(((requests, !for_short, preference), candidate))
    });
    let best = hosts.min_by_key(|(preference, _)| *preference);
    best.map(|(_, candidate)| candidate)
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
