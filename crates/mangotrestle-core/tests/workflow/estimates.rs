//! Tests of expected run times where callers' estimates are rough.

use mangotrestle_core::workflow::estimate::Estimates;

use super::world::step;

/// Returns estimates after runs of one second each, with these callers' estimates in turn.
fn estimates_after_runs(caller_estimates_ms: &[u64]) -> Estimates {
    let mut estimates = Estimates::default();
    for &caller_estimate_ms in caller_estimates_ms.iter().cycle().take(100) {
        estimates.learn("queue", caller_estimate_ms, 1_000);
    }
    estimates
}

#[test]
fn a_queue_without_runs_uses_its_callers_estimates() {
    let estimates = estimates_after_runs(&[1_000]);

    assert_eq!(estimates.expected_ms("other", &step(1, 1, 300, &[])), 300);
}

#[test]
fn estimates_that_are_always_off_by_the_same_factor_are_corrected() {
    let mut estimates = Estimates::default();
    for round in 0..200 {
        let took_ms = 400 * (1 + round % 8);
        estimates.learn("queue", took_ms / 2, took_ms);
    }

    let expected_ms = estimates.expected_ms("queue", &step(1, 1, 1_000, &[]));

    assert!((1_800..=2_200).contains(&expected_ms), "{expected_ms}");
}

#[test]
fn unreliable_estimates_of_tasks_with_equal_run_times_are_ignored() {
    let estimates = estimates_after_runs(&[100, 400, 1_000, 3_000, 10_000]);

    let expected_ms = estimates.expected_ms("queue", &step(1, 1, 10_000, &[]));

    assert!((900..=1_300).contains(&expected_ms), "{expected_ms}");
}
