//! What is expected of tasks whose callers' estimates are rough.

use mangotrestle_core::workflow::estimate::Estimates;

use super::world::step;

/// Learns from runs of a second each, whose callers said so much.
fn learned(said_ms: &[u64]) -> Estimates {
    let mut estimates = Estimates::default();
    for &said_ms in said_ms.iter().cycle().take(100) {
        estimates.learn("queue", said_ms, 1_000);
    }
    estimates
}

#[test]
fn a_queue_without_runs_is_taken_at_its_callers_word() {
    let estimates = learned(&[1_000]);

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
fn wild_estimates_of_tasks_that_take_alike_are_left_aside() {
    let estimates = learned(&[100, 400, 1_000, 3_000, 10_000]);

    let expected_ms = estimates.expected_ms("queue", &step(1, 1, 10_000, &[]));

    assert!((900..=1_300).contains(&expected_ms), "{expected_ms}");
}
