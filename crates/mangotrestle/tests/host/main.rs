//! A host as a process, against stand-ins of the users' platform.

mod platform;

use std::time::{Duration, Instant};

use platform::{Caller, Host, Platform};

/// Time for anything that should happen soon; generous, for a busy machine.
const SOON: Duration = Duration::from_secs(10);
/// Time in which a host notices that the store answers nothing: its bound for silence, and a look.
const NOTICED: Duration = Duration::from_millis(1_500);
/// Time in which an answer counts as given at once.
const AT_ONCE: Duration = Duration::from_millis(500);

/// Submits new jobs until one gets this status.
async fn until_status(caller: &Caller, first: u64, status: u16) -> u64 {
    let began = Instant::now();
    for number in first.. {
        let answer = caller.submit(number).await;
        if answer.status == status {
            return number;
        }
        let waited = began.elapsed();
        assert!(waited < SOON, "{} instead of {status}", answer.status);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    unreachable!("numbers end before the time")
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_accepted_once_and_shown_and_cancelled() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();

    let number = until_status(&caller, 1, 200).await;
    let again = caller.submit(number).await;
    let shown = caller.state(number).await;
    let cancelled = caller.cancel(number).await;
    let after = caller.state(number).await;
    let unknown = caller.state(999_999).await;

    assert_eq!(again.status, 200);
    assert!(shown.body.contains("queued"), "{shown:?}");
    assert_eq!(cancelled.status, 200);
    assert!(after.body.contains("cancelled"), "{after:?}");
    assert_eq!(unknown.status, 410);
    assert_eq!(platform.accepted_jobs(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn new_jobs_are_refused_at_once_while_the_store_is_silent_and_taken_after_its_return() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    until_status(&caller, 1, 200).await;

    platform.set_silent(true);
    tokio::time::sleep(NOTICED).await;
    let mut slowest = Duration::ZERO;
    for number in 1_000..1_040 {
        let began = Instant::now();
        let answer = caller.submit(number).await;
        slowest = slowest.max(began.elapsed());
        assert_eq!(answer.status, 503, "{answer:?}");
        assert!(answer.retry_after_s.is_some_and(|seconds| seconds >= 1));
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let before = platform.accepted_jobs();
    platform.set_silent(false);
    until_status(&caller, 2_000, 200).await;

    assert!(slowest < AT_ONCE, "a refusal took {slowest:?}");
    // What was refused never runs, also after the store's return.
    let refused: Vec<u64> = (1_000..1_040)
        .filter(|&one| platform.has_job(one))
        .collect();
    assert!(refused.is_empty(), "refused and stored: {refused:?}");
    assert_eq!(before, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn another_host_leads_soon_after_a_leader_was_killed_and_knows_its_jobs() {
    let platform = Platform::start().await;
    let first = Host::start("front-a-1", &platform).await;
    let number = until_status(&first.caller(), 1, 200).await;
    let second = Host::start("front-a-2", &platform).await;
    let caller = second.caller();
    until_status(&caller, 1_000, 200).await;

    first.kill();
    until_status(&caller, 2_000, 200).await;
    let shown = caller.state(number).await;

    assert!(shown.body.contains("queued"), "{shown:?}");
}
