//! The advice service as the hosts reach it: it handles the calls of one host one after the other,
//! and the leader of another pool calls it from the same hosts.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use mangotrestle_core::id::{EntryHostId, WorkerId};
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::advice_hosts::{self, AdviceHost, RequestSize};
use mangotrestle_core::workflow::job::StepKey;

/// Number of waiting calls of a host from which the service refuses further ones.
const MAX_WAITING_CALLS: usize = 32;
/// Pools whose leaders call the service.
const POOLS: [&str; 2] = ["pool", "other-pool"];

/// A call of a pool's leader through a host.
#[derive(Debug)]
struct Call {
    pool: usize,
    term: u64,
    host: usize,
    /// Time at which the service has handled it.
    handled_at: u64,
    /// Time at which the leader has the answer or gives up.
    ends_at: u64,
}

/// When a call is handled, unless it is refused or takes too long, and when its leader knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct CallTimes {
    pub(super) handled_at: Option<u64>,
    pub(super) ends_at: u64,
}

/// The service with a line of calls for each host.
#[derive(Debug)]
pub struct AdviceService {
    hosts: Vec<EntryHostId>,
    /// Host of each pool's leader.
    leaders: [usize; 2],
    calls: Vec<Call>,
    /// Time that a call through another host than the leader's takes beyond that of the service.
    pub path_ms: u64,
    /// Workers per thousand that are allowed for a step, by queue; all in other queues.
    pub allowed_per_mille: BTreeMap<String, u64>,
    /// Number of calls that the leader of the other pool always has in flight.
    pub other_calls: usize,
    /// Time that the service takes for each of them.
    pub other_call_ms: u64,
    /// Whether the leader's host is late with its own work.
    pub leader_is_late: bool,
}

impl AdviceService {
    /// Returns the service of a number of hosts, which no other pool calls.
    pub fn new(hosts: usize) -> Self {
        let names = (0..hosts).map(|number| format!("host-{number}"));
        Self {
            hosts: names
                .map(|name| EntryHostId::new(&name).expect("a valid host name"))
                .collect(),
            leaders: [0, hosts - 1],
            calls: Vec::new(),
            path_ms: 0,
            allowed_per_mille: BTreeMap::new(),
            other_calls: 0,
            other_call_ms: 0,
            leader_is_late: false,
        }
    }

    /// Returns the number of hosts.
    pub(super) fn host_count(&self) -> usize {
        self.hosts.len()
    }

    /// Lets another host lead the pool.
    pub(super) fn change_leader(&mut self) {
        self.leaders[0] = (self.leaders[0] + 1) % self.hosts.len();
    }

    /// Whether a queue's policy allows a worker for a step; the decision never changes.
    pub(super) fn allows(&self, queue: &str, step: &StepKey, worker: &WorkerId) -> bool {
        let mut hasher = DefaultHasher::new();
        (step.to_string(), worker.as_str()).hash(&mut hasher);
        let allowed = self.allowed_per_mille.get(queue).copied();
        hasher.finish() % 1_000 < allowed.unwrap_or(1_000)
    }

    /// Sends a call of the pool's leader that takes the service `work_ms`.
    pub(super) fn call(&mut self, term: u64, now: u64, work_ms: u64, timeout_ms: u64) -> CallTimes {
        self.send(0, term, now, work_ms, timeout_ms)
    }

    /// Lets the leader of the other pool send its calls.
    pub(super) fn send_other_calls(&mut self, now: u64) {
        self.calls
            .retain(|call| call.handled_at > now || call.ends_at > now);
        let in_flight = |call: &&Call| call.pool == 1 && call.ends_at > now;
        let in_flight = self.calls.iter().filter(in_flight).count();
        for _ in in_flight..self.other_calls {
            self.send(1, 0, now, self.other_call_ms, u64::MAX);
        }
    }

    fn send(
        &mut self,
        pool: usize,
        term: u64,
        now: u64,
        work_ms: u64,
        timeout_ms: u64,
    ) -> CallTimes {
        let size = RequestSize::of(SpanMs(work_ms));
        let host = self.choose_host(pool, term, now, size);
        let way_ms = if host == self.leaders[pool] {
            0
        } else {
            self.path_ms / 2
        };
        let arrives_at = now + way_ms;
        let line = self.calls.iter().filter(|call| call.host == host);
        let ahead = line.map(|call| call.handled_at);
        let ahead: Vec<u64> = ahead.filter(|&at| at > arrives_at).collect();
        if ahead.len() > MAX_WAITING_CALLS {
            return CallTimes {
                handled_at: None,
                ends_at: arrives_at + way_ms,
            };
        }
        let handled_at = ahead.into_iter().max().unwrap_or(arrives_at) + work_ms;
        let in_time = handled_at - arrives_at <= timeout_ms;
        let ends_at = way_ms + handled_at.min(arrives_at.saturating_add(timeout_ms));
        self.calls.push(Call {
            pool,
            term,
            host,
            handled_at,
            ends_at,
        });
        CallTimes {
            handled_at: in_time.then_some(handled_at),
            ends_at,
        }
    }

    /// Returns the host that sends the next call: the leader's own if it sends none and takes such
    /// calls, otherwise the chosen one.
    fn choose_host(&self, pool: usize, term: u64, now: u64, size: RequestSize) -> usize {
        let mut requests = vec![0; self.hosts.len()];
        for call in &self.calls {
            if call.pool == pool && call.term == term && call.ends_at > now {
                requests[call.host] += 1;
            }
        }
        let own = self.leaders[pool];
        let short_hosts = advice_hosts::short_hosts(&self.hosts);
        let takes_size = size == RequestSize::Short || !short_hosts.contains(&&self.hosts[own]);
        if requests[own] == 0 && takes_size {
            return own;
        }
        let hosts = self.hosts.iter().zip(requests);
        let candidates = hosts.map(|(host, requests)| AdviceHost { host, requests });
        let pools = POOLS.map(str::to_owned);
        let chosen = advice_hosts::choose(POOLS[pool], &pools, size, &short_hosts, candidates);
        let chosen = chosen.map(|chosen| chosen.host);
        let position = self.hosts.iter().position(|host| Some(host) == chosen);
        position.unwrap_or(own)
    }
}
