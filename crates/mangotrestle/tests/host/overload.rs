//! Tests of hosts whose callers need more reads than the store allows.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::platform::{Caller, Host, Platform, READS_PER_S};
use super::submit_until_status;

/// Number of hosts; each may use more than an equal share of the store's rate.
const HOSTS: usize = 8;
/// Number of callers of each host that ask for states one after another.
const CALLERS_PER_HOST: usize = 12;
/// Number of callers of one host whose reads wait for its share of the store's rate for most of a
/// second.
const WAITING_CALLERS: usize = 300;
/// Number of jobs that a new leader has to load.
const JOBS: usize = 60;
/// Number of rows in one answer to a read, so that a load takes many reads.
const PAGE_ROWS: usize = 2;
/// Time within which a pool whose leader was killed has a new one.
const TAKEOVER_TIME: Duration = Duration::from_secs(12);

/// Asks for the states of unknown jobs, which only the store can tell, until the task is aborted.
async fn ask_for_unknown_jobs(caller: Caller, first: u64) {
    for number in first.. {
        caller.state(number).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pool_gets_a_new_leader_while_callers_need_more_reads_than_the_store_allows() {
    let platform = Arc::new(Platform::start().await);
    let leader = Host::start("front-a-0", &platform).await;
    let mut number = 1;
    while platform.accepted_jobs() < JOBS {
        number = submit_until_status(&leader.caller(), number, 200).await + 1;
    }
    let mut hosts = Vec::new();
    for index in 1..HOSTS {
        let host = Host::start(&format!("front-a-{index}"), &platform).await;
        number = submit_until_status(&host.caller(), number, 200).await + 1;
        hosts.push(host);
    }
    platform.set_slow_reads(Duration::ZERO, PAGE_ROWS);
    platform.set_max_reads_per_s(READS_PER_S);
    let mut callers = tokio::task::JoinSet::new();
    for (first, host) in (1..).map(|number| number * 1_000_000).zip(&hosts) {
        for _ in 0..CALLERS_PER_HOST {
            callers.spawn(ask_for_unknown_jobs(host.caller(), first));
        }
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let previous_summary = platform.summary_version();

    leader.kill();
    let killed_at = Instant::now();
    while platform.summary_version() == previous_summary && killed_at.elapsed() < TAKEOVER_TIME {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    let waited = killed_at.elapsed();
    assert!(waited < TAKEOVER_TIME, "no leader within {waited:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn reads_that_wait_for_the_hosts_share_of_the_rate_are_not_sent_twice() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    submit_until_status(&host.caller(), 1, 200).await;
    let mut callers = tokio::task::JoinSet::new();
    for first in (1..=WAITING_CALLERS).map(|number| number as u64 * 1_000_000) {
        callers.spawn(ask_for_unknown_jobs(host.caller(), first));
    }
    tokio::time::sleep(Duration::from_secs(3)).await;
    callers.shutdown().await;

    let resent = host.metric("mangotrestle_store_reads_resent_total").await;
    let renewed = host
        .metric("mangotrestle_store_connections_renewed_total")
        .await;

    assert!(resent < 1.0, "{resent} reads sent again");
    assert!(renewed < 1.0, "connections renewed {renewed} times");
}
