//! Tests of a host process against a stand-in for the store of the users' platform.

mod divided_service;
mod feed_pages;
mod keys;
mod lost_answers;
mod moved_queues;
mod odd_entries;
mod overload;
mod platform;
mod proxy;
mod repeated_starts;
mod restarting_workers;
mod row_limits;
mod silent_connections;
mod silent_peers;
mod soak;
mod takeover;
mod worker;

use std::time::{Duration, Instant};

use mangotrestle_core::workflow::leadership::TERM_STEP;
use platform::{Caller, Host, Platform};

/// Time within which a host should answer with the expected status; generous, for a busy machine.
const STATUS_TIMEOUT: Duration = Duration::from_secs(10);
/// Time in which a host detects that the store answers nothing: its timeout for an unresponsive
/// store, and one poll.
const STORE_OUTAGE_DETECTION_TIME: Duration = Duration::from_millis(1_500);
/// Time in which a refusal counts as immediate.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time within which a configuration must be in force; the default of the settings.
const CONFIGURATION_APPLY_TIME: Duration = Duration::from_secs(2);
/// Duration of an outage of the store in which all feeds are relayed.
const STORE_SILENCE: Duration = Duration::from_millis(2_400);
/// Duration of a read of one page that does not make the store count as slow.
const PAGE_READ_TIME: Duration = Duration::from_millis(70);
/// Time within which a pool whose leader was killed has a new one if reading its jobs takes 2 s.
const SLOW_TAKEOVER_TIME: Duration = Duration::from_secs(12);
/// Time within which every host has read a new row of a host.
const REGISTRATION_TIME: Duration = Duration::from_millis(1_500);

/// Submits new jobs, numbered from `first`, until one is answered with this status; returns its
/// number.
async fn submit_until_status(caller: &Caller, first: u64, status: u16) -> u64 {
    let began = Instant::now();
    for number in first.. {
        let answer = caller.submit(number).await;
        if answer.status == status {
            return number;
        }
        let waited = began.elapsed();
        assert!(
            waited < STATUS_TIMEOUT,
            "{} instead of {status}",
            answer.status
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("the numbers ran out before the timeout")
}

#[tokio::test(flavor = "multi_thread")]
async fn accepts_a_job_once_and_shows_and_cancels_it() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();

    let number = submit_until_status(&caller, 1, 200).await;
    let resubmitted = caller.submit(number).await;
    let state = caller.state(number).await;
    let cancelled = caller.cancel(number).await;
    let state_after_cancel = caller.state(number).await;
    let unknown = caller.state(999_999).await;

    assert_eq!(resubmitted.status, 200);
    assert!(state.body.contains("queued"), "{state:?}");
    assert_eq!(cancelled.status, 200);
    assert!(
        state_after_cancel.body.contains("cancelled"),
        "{state_after_cancel:?}"
    );
    assert_eq!(unknown.status, 410);
    assert_eq!(platform.jobs_ever_accepted(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_new_jobs_at_once_while_the_store_is_unresponsive_and_accepts_them_after() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;

    platform.set_unresponsive(true);
    tokio::time::sleep(STORE_OUTAGE_DETECTION_TIME).await;
    let mut slowest = Duration::ZERO;
    for number in 1_000..1_040 {
        let began = Instant::now();
        let answer = caller.submit(number).await;
        slowest = slowest.max(began.elapsed());
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after_s.is_some_and(|seconds| seconds >= 1));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let accepted_before_return = platform.accepted_jobs();
    platform.set_unresponsive(false);
    submit_until_status(&caller, 2_000, 200).await;

    assert!(slowest < MAX_REFUSAL_TIME, "a refusal took {slowest:?}");
    // Refused jobs are not stored, not even after the store answers again.
    let refused: Vec<u64> = (1_000..1_040)
        .filter(|&number| platform.has_job(number))
        .collect();
    assert!(refused.is_empty(), "refused and stored: {refused:?}");
    assert_eq!(accepted_before_return, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn refuses_new_jobs_at_once_while_the_store_is_unresponsive_and_no_host_leads() {
    let platform = Platform::start().await;
    platform.prevent_leading();
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;

    platform.set_unresponsive(true);
    tokio::time::sleep(STORE_OUTAGE_DETECTION_TIME).await;

    // Refused for as long as the outage lasts, whatever the host tries meanwhile.
    for number in 1_000..1_040 {
        let began = Instant::now();
        let answer = caller.submit(number).await;
        let took = began.elapsed();
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(took < MAX_REFUSAL_TIME, "the refusal took {took:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_silent_peer_does_not_delay_a_configuration_once_the_store_answers_again() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    for index in 0..6 {
        platform.add_silent_host(&format!("front-b-{index}")).await;
    }
    tokio::time::sleep(REGISTRATION_TIME).await;

    platform.set_unresponsive(true);
    tokio::time::sleep(STORE_SILENCE).await;
    platform.add_queue(2, "/new/");
    platform.set_unresponsive(false);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    let answer = caller.count("/new/").await;

    assert_eq!(answer.status, 200, "{answer:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_deny_a_route_that_a_newer_configuration_may_have() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    let without_route = caller.count("/new/").await;

    platform.set_unresponsive(true);
    tokio::time::sleep(CONFIGURATION_APPLY_TIME).await;
    let uncertain = caller.count("/new/").await;

    assert_eq!(without_route.status, 404, "{without_route:?}");
    assert_eq!(uncertain.status, 503, "{uncertain:?}");
    assert!(uncertain.retry_after_s.is_some(), "{uncertain:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn another_host_takes_over_a_killed_leader_with_its_jobs() {
    let platform = Platform::start().await;
    let first = Host::start("front-a-1", &platform).await;
    let number = submit_until_status(&first.caller(), 1, 200).await;
    let second = Host::start("front-a-2", &platform).await;
    let caller = second.caller();
    submit_until_status(&caller, 1_000, 200).await;

    first.kill();
    submit_until_status(&caller, 2_000, 200).await;
    let state = caller.state(number).await;

    assert!(state.body.contains("queued"), "{state:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_do_not_claim_a_pool_from_each_other_while_it_is_loaded() {
    let platform = Platform::start().await;
    let first = Host::start("front-a-1", &platform).await;
    let mut number = 1;
    while platform.accepted_jobs() < 60 {
        number = submit_until_status(&first.caller(), number, 200).await + 1;
    }
    let others = [
        Host::start("front-a-2", &platform).await,
        Host::start("front-a-3", &platform).await,
    ];
    for other in &others {
        number = submit_until_status(&other.caller(), number, 200).await + 1;
    }
    platform.set_slow_reads(PAGE_READ_TIME, 2);
    let (previous_term, previous_summary) = (platform.term(), platform.summary_version());

    first.kill();
    let killed_at = Instant::now();
    while platform.summary_version() == previous_summary && killed_at.elapsed() < SLOW_TAKEOVER_TIME
    {
        tokio::time::sleep(Duration::from_millis(50)).await;
    }

    let claims = (platform.term() - previous_term) / TERM_STEP;
    let waited = killed_at.elapsed();
    assert_eq!(claims, 1, "claims of the pool within {waited:?}");
    assert!(waited < SLOW_TAKEOVER_TIME, "no leader within {waited:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn does_not_refuse_an_accepted_job_that_is_submitted_again_while_the_store_is_unresponsive() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let mut number = submit_until_status(&caller, 1, 200).await;
    while platform.summary_version() == 0 {
        number = submit_until_status(&caller, number + 1, 200).await;
    }

    platform.set_unresponsive(true);
    tokio::time::sleep(STORE_OUTAGE_DETECTION_TIME).await;
    let resubmitted = caller.submit(number).await;

    assert_eq!(resubmitted.status, 200, "{resubmitted:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_callers_while_neither_the_store_nor_any_peer_answers() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let number = submit_until_status(&caller, 1, 200).await;
    for index in 0..6 {
        let name = format!("front-b-{index}");
        platform.add_silent_host(&name).await;
    }
    tokio::time::sleep(REGISTRATION_TIME).await;

    platform.set_unresponsive(true);
    let (state, cancelled) = tokio::join!(caller.state(999_999), caller.cancel(number));

    // A status of zero means that there was no answer within the caller's timeout.
    assert_ne!(state.status, 0, "{state:?}");
    assert_ne!(cancelled.status, 0, "{cancelled:?}");
}
