//! Tests of a real host with jobs that could take more of the store or of its memory than there is.

use serde_json::json;

use super::platform::{Host, MEMORY_MB, Platform};
use super::submit_until_status;

/// Occurrences of a job that repeats once a minute for ten years.
const TEN_YEARS_OF_MINUTES: u64 = 5_256_000;

// Guards against a job that the store refuses together with the jobs that are accepted beside it.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_whose_row_would_be_too_large_is_refused_and_the_others_are_accepted() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    let image = "i".repeat(70_000);
    let step = json!({"count": 1, "cpu": 100, "mem_mb": 16, "image": image});
    let large = json!({"spec": "large", "steps": [step]});

    let (refused, accepted) = tokio::join!(caller.submit_body(1_000, &large), caller.submit(1_001));

    assert_eq!(refused.status, 413, "{refused:?}");
    assert_eq!(accepted.status, 200, "{accepted:?}");
    assert!(!platform.has_job(1_000));
}

// Guards against accepted jobs that together exceed the memory of every host that leads their service.
#[tokio::test(flavor = "multi_thread")]
async fn a_host_holds_a_dozen_of_the_widest_jobs_that_it_accepts() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    let step = json!({"count": 1_000, "cpu": 100, "mem_mb": 16, "estimate_ms": 300});
    let widest = json!({"spec": "widest", "steps": vec![step; 64]});

    let mut accepted = 0;
    for number in 1_000..1_012 {
        accepted += u32::from(caller.submit_body(number, &widest).await.status == 200);
    }
    let later = caller.submit(2_000).await;

    let peak_mb = host.peak_memory_mb();
    assert!(peak_mb < MEMORY_MB, "{peak_mb} MB with {accepted} jobs");
    assert_eq!(later.status, 200, "{later:?}");
}

// Guards against sums of a caller's numbers that end the process or a leadership.
#[tokio::test(flavor = "multi_thread")]
async fn a_job_that_repeats_for_years_or_beyond_all_numbers_leaves_its_leader_in_place() {
    let platform = Platform::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    submit_until_status(&caller, 1, 200).await;
    let term = platform.term();
    let repeating = |count: serde_json::Value, first_ms: f64, period_ms: f64| {
        let step = json!({"count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 100});
        json!({"spec": "repeating", "steps": [step], "repeat_count": count,
               "first_ms": first_ms, "period_ms": period_ms})
    };
    let jobs = [
        repeating(json!(TEN_YEARS_OF_MINUTES), 4e12, 60_000.0),
        repeating(json!(1e300), 1.0, 0.0),
        repeating(json!(1e300), 1e300, 1e300),
    ];

    let mut statuses = Vec::new();
    for (number, body) in (1_000..).zip(&jobs) {
        statuses.push(caller.submit_body(number, body).await.status);
    }
    let later = caller.submit(2_000).await;
    let mut cancels = Vec::new();
    for (number, _) in (1_000..).zip(&jobs) {
        cancels.push(caller.cancel(number).await.status);
    }

    assert_eq!(statuses, [200; 3]);
    assert_eq!(later.status, 200, "{later:?}");
    assert_eq!(cancels, [200; 3]);
    assert_eq!(platform.term(), term);
}
