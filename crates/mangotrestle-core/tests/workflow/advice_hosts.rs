//! Tests of which hosts the leaders of several pools take for their ticket requests.

use std::collections::BTreeMap;

use mangotrestle_core::id::EntryHostId;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::advice_hosts::{self, AdviceHost, RequestSize, Senders};

fn host(number: usize) -> EntryHostId {
    EntryHostId::new(&format!("host-{number}")).expect("a valid host name")
}

/// Lets the leader of each pool send requests of a size that last; returns the number of requests that
/// each host is handling, by pool.
fn requests_by_host(
    hosts: usize,
    size: RequestSize,
    demands: &[usize],
) -> Vec<BTreeMap<EntryHostId, usize>> {
    let names: Vec<EntryHostId> = (0..hosts).map(host).collect();
    let short_hosts = advice_hosts::short_hosts(&names);
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
            let chosen = advice_hosts::choose(&pools[pool], &pools, size, &short_hosts, candidates);
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
    let requests = requests_by_host(147, RequestSize::Long, &[20, 12, 12, 12]);

    assert_eq!(shared_hosts(&requests), 0);
}

#[test]
fn a_leader_that_needs_more_than_its_own_hosts_takes_those_that_others_take_last() {
    let requests = requests_by_host(147, RequestSize::Long, &[60, 12, 12, 12]);

    assert_eq!(shared_hosts(&requests), 0);
    assert_eq!(requests[0].len(), 60);
}

#[test]
fn every_host_that_takes_long_requests_gets_one_before_any_gets_a_second_one() {
    let requests = requests_by_host(30, RequestSize::Long, &[23, 0]);

    assert_eq!(requests[0].len(), 23);
    assert!(requests[0].values().all(|count| *count == 1));
}

#[test]
fn long_requests_of_all_leaders_leave_the_same_hosts_to_short_ones() {
    let names: Vec<EntryHostId> = (0..8).map(host).collect();

    let long = requests_by_host(8, RequestSize::Long, &[7, 7, 7]);

    let short_hosts = advice_hosts::short_hosts(&names);
    assert_eq!(short_hosts.len(), 2);
    for host in short_hosts {
        assert!(long.iter().all(|requests| !requests.contains_key(host)));
    }
}

#[test]
fn short_requests_go_to_hosts_without_long_ones_before_they_go_to_others() {
    let names: Vec<EntryHostId> = (0..8).map(host).collect();

    let few = requests_by_host(8, RequestSize::Short, &[4]);
    let many = requests_by_host(8, RequestSize::Short, &[14]);

    let short_hosts = advice_hosts::short_hosts(&names);
    let on_short_hosts = |requests: &BTreeMap<EntryHostId, usize>| -> usize {
        let taken = short_hosts.iter().filter_map(|host| requests.get(*host));
        taken.sum()
    };
    assert_eq!(on_short_hosts(&few[0]), 4);
    assert_eq!(many[0].len(), 8);
}

#[test]
fn every_host_gets_a_short_request_before_any_but_those_for_short_ones_gets_a_second_one() {
    let names: Vec<EntryHostId> = (0..30).map(host).collect();
    let short_hosts = advice_hosts::short_hosts(&names);

    let requests = requests_by_host(30, RequestSize::Short, &[30 + short_hosts.len()]);

    assert_eq!(requests[0].len(), 30);
    for (host, &count) in &requests[0] {
        let max = if short_hosts.contains(&host) { 2 } else { 1 };
        assert!(count <= max, "{count} at {host:?}");
    }
}

#[test]
fn the_service_refuses_no_short_request_if_all_leaders_send_as_many_as_they_may() {
    for (hosts, leaders) in [(8, 1), (8, 2), (8, 4), (8, 10), (147, 4), (301, 10)] {
        let senders = Senders {
            hosts,
            leaders,
            leader_is_late: false,
        };
        let demand = RequestSize::Short.max_in_flight(senders);

        let requests = requests_by_host(hosts, RequestSize::Short, &vec![demand; leaders]);

        let mut at_hosts: BTreeMap<&EntryHostId, usize> = BTreeMap::new();
        for (host, count) in requests.iter().flatten() {
            *at_hosts.entry(host).or_default() += count;
        }
        let most = at_hosts.into_values().max().unwrap_or_default();
        // One is handled and 32 may wait.
        assert!(most <= 33, "{most} with {leaders} leaders on {hosts} hosts");
    }
}

#[test]
fn a_single_host_takes_requests_of_both_sizes() {
    let sizes = [RequestSize::Short, RequestSize::Long];

    let taken = sizes.map(|size| requests_by_host(1, size, &[1])[0].len());

    assert_eq!(taken, [1, 1]);
}

#[test]
fn a_request_is_long_if_urgent_work_could_not_wait_behind_it() {
    let sizes = [22, 100, 101, 600].map(|delay_ms| RequestSize::of(SpanMs(delay_ms)));

    let (short, long) = (RequestSize::Short, RequestSize::Long);
    assert_eq!(sizes, [short, short, long, long]);
}
