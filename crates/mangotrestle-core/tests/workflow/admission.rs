//! Tests of when a job is refused.

use mangotrestle_core::resources::Resources;
use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::admission::{self, Admission};
use mangotrestle_core::workflow::leadership::PoolSummary;

use super::world::{record, step};

fn summary(wait_ms: u64) -> PoolSummary {
    PoolSummary {
        wait_ms: [(0, wait_ms)].into_iter().collect(),
        shapes: vec![(
            Resources {
                cpu_millicores: 8_000,
                memory_mib: 10_000,
                accelerators: 0,
                slots: 0,
            },
            vec!["a".to_owned()],
        )],
        ..PoolSummary::default()
    }
}

#[test]
fn a_job_is_accepted_while_its_result_can_be_useful() {
    let job = record(0, vec![step(2, 1_000, 1_000, &[])]);

    let decision = admission::decide(&job, Some(&summary(2_000)), 0);

    assert_eq!(decision, Admission::Accept);
}

#[test]
fn a_refusal_tells_when_enough_of_the_work_ahead_will_be_done() {
    let job = record(0, vec![step(2, 1_000, 1_000, &[])]);

    let decision = admission::decide(&job, Some(&summary(14_000)), 0);

    // 14 s of waiting and 1 s of work, less three objectives of 2.5 s.
    let retry_after = SpanMs(7_500);
    assert_eq!(decision, Admission::Busy { retry_after });
}

#[test]
fn callers_refused_together_retry_at_different_times() {
    let job = record(0, vec![step(2, 1_000, 1_000, &[])]);

    let retry_delays_ms =
        [0, 500, 999].map(
            |spread| match admission::decide(&job, Some(&summary(14_000)), spread) {
                Admission::Busy { retry_after } => retry_after.0,
                other => panic!("{other:?} instead of a refusal"),
            },
        );

    assert!(retry_delays_ms[0] < retry_delays_ms[1] && retry_delays_ms[1] < retry_delays_ms[2]);
}

#[test]
fn a_job_with_a_task_that_fits_no_worker_is_refused() {
    let mut labelled = step(1, 1_000, 1_000, &[]);
    labelled.constraint = Some("b".to_owned());
    let large = record(0, vec![step(1, 9_000, 1_000, &[])]);
    let unmatched_label = record(0, vec![labelled]);

    let decisions =
        [large, unmatched_label].map(|job| admission::decide(&job, Some(&summary(0)), 0));

    assert_eq!(decisions, [Admission::NeverFits { step: 0 }; 2]);
}

#[test]
fn a_pool_without_a_summary_refuses_nothing() {
    let job = record(0, vec![step(1, 9_000, 1_000, &[])]);

    assert_eq!(admission::decide(&job, None, 0), Admission::Accept);
}
