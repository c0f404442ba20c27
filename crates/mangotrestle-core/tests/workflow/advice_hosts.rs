//! Tests of which hosts the leaders of several pools take for their ticket requests.

use std::collections::BTreeMap;

use mangotrestle_core::id::EntryHostId;
use mangotrestle_core::workflow::advice_hosts::{self, AdviceHost};

fn host(number: usize) -> EntryHostId {
    EntryHostId::new(&format!("host-{number}")).expect("a valid host name")
}

/// Lets the leader of each pool send requests that last; returns the number of requests that each
/// host is handling, by pool.
fn requests_by_host(hosts: usize, demands: &[usize]) -> Vec<BTreeMap<EntryHostId, usize>> {
    let names: Vec<EntryHostId> = (0..hosts).map(host).collect();
    let pools: Vec<String> = (0..demands.len())
        .map(|pool| format!("pool/{pool}"))
        .collect();
    let mut requests = vec![BTreeMap::new(); demands.len()];
    for (pool, &demand) in demands.iter().enumerate() {
        for _ in 0..demand {
            let own: &mut BTreeMap<EntryHostId, usize> = &mut requests[pool];
            let candidates = names.iter().map(|host| AdviceHost {
                host,
                requests: own.get(host).copied().unwrap_or_default(),
            });
            let chosen = advice_hosts::choose(&pools[pool], &pools, candidates);
            let chosen = chosen.expect("a host").host.clone();
            *own.entry(chosen).or_default() += 1;
        }
    }
    requests
}

/// Returns the number of hosts that handle requests of more than one pool.
fn shared_hosts(requests: &[BTreeMap<EntryHostId, usize>]) -> usize {
    let mut pools_of: BTreeMap<&EntryHostId, usize> = BTreeMap::new();
    for host in requests.iter().flat_map(BTreeMap::keys) {
        *pools_of.entry(host).or_default() += 1;
    }
    pools_of.values().filter(|pools| **pools > 1).count()
}

#[test]
fn leaders_that_do_not_know_of_each_other_do_not_take_the_same_hosts() {
    let requests = requests_by_host(147, &[20, 12, 12, 12]);

    assert_eq!(shared_hosts(&requests), 0);
}

#[test]
fn a_leader_that_needs_more_than_its_own_hosts_takes_those_that_others_take_last() {
    let requests = requests_by_host(147, &[60, 12, 12, 12]);

    assert_eq!(shared_hosts(&requests), 0);
    assert_eq!(requests[0].len(), 60);
}

#[test]
fn every_host_gets_one_request_before_any_gets_a_second_one() {
    let requests = requests_by_host(30, &[30, 0]);

    assert_eq!(requests[0].len(), 30);
    assert!(requests[0].values().all(|count| *count == 1));
}
