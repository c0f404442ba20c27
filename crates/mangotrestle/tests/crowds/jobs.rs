//! Tests with complete jobs that are too large to keep.

use serde_json::{Value, json};

use super::machine::Scene;
use super::platform::MachineLimits;

/// Number of callers that submit one job after another.
const CALLERS: u64 = 24;
/// Number of jobs of each caller.
const JOBS: u64 = 70;
/// Size of a job's largest text.
const TEXT_BYTES: usize = 48_000;
/// Size of a text that each step may have.
const LEGAL_TEXT_BYTES: usize = 900;
/// Number of steps that a job may have.
const LEGAL_STEPS: usize = 64;
/// Number of steps in a body of the maximum size.
const EMPTY_STEPS: usize = 87_000;
/// A machine on which a host has little memory beside what it needs at rest.
const TIGHT_MACHINE: MachineLimits = MachineLimits {
    memory_mb: 24,
    max_fds: 400,
};

/// Returns a job that runs for good on more processor time than any worker has.
fn lasting_job(spec: &str, fields: &Value) -> Value {
    let mut step = json!({"count": 1, "cpu": 60_000, "mem_mb": 16, "estimate_ms": 100,
        "persistent": true});
    for (name, value) in fields.as_object().expect("fields") {
        step[name] = value.clone();
    }
    json!({"spec": spec, "steps": [step]})
}

/// Has callers submit a job again and again as new ones, and checks the host.
async fn assert_withstands(job: &Value) {
    let mut scene = Scene::start().await;
    let mut callers = tokio::task::JoinSet::new();
    for first in (1..=CALLERS).map(|caller| caller * 1_000) {
        let (caller, job) = (scene.caller(), job.clone());
        callers.spawn(async move {
            for number in first..first + JOBS {
                caller.submit_body(number, &job).await;
            }
        });
    }

    callers.join_all().await;

    scene.assert_serving_within_limits().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lasting_jobs_with_a_large_spec() {
    let job = lasting_job(&"s".repeat(TEXT_BYTES), &json!({}));
    assert_withstands(&job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lasting_jobs_with_a_large_image() {
    let job = lasting_job("spec", &json!({"image": "i".repeat(TEXT_BYTES)}));
    assert_withstands(&job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lasting_jobs_with_a_large_label() {
    let job = lasting_job("spec", &json!({"affinity": "a".repeat(TEXT_BYTES)}));
    assert_withstands(&job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn lasting_jobs_of_legal_size() {
    let step = json!({"count": 1, "cpu": 60_000, "mem_mb": 16, "estimate_ms": 100,
        "persistent": true, "image": "i".repeat(LEGAL_TEXT_BYTES)});
    let job = json!({"spec": "spec", "steps": vec![step; LEGAL_STEPS]});
    assert_withstands(&job).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_of_legal_size_full_of_empty_steps() {
    let mut scene = Scene::start_on(TIGHT_MACHINE).await;
    let body = format!(
        r#"{{"spec":"","steps":[{}{{}}]}}"#,
        "{},".repeat(EMPTY_STEPS)
    );

    let answer = scene.caller().submit_text(1_000, &body).await;

    assert_eq!(answer.status, 400, "{answer:?}");
    scene.assert_serving_within_limits().await;
}
