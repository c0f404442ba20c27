//! Tests of expected run times where callers' estimates are rough.

use mangotrestle_core::workflow::estimate::Estimates;

use super::world::step;

/// Returns estimates after runs of one second each, with these callers' estimates in turn.
fn estimates_after_runs(caller_estimates_ms: &[u64]) -> Estimates {
    let mut estimates = Estimates::default();
    for &caller_estimate_ms in caller_estimates_ms.iter().cycle().take(100) {
        estimates.learn("queue", &step(1, 1, caller_estimate_ms, &[]), 1_000);
    }
    estimates
}

#[test]
fn a_queue_without_runs_uses_its_callers_estimates() {
    let estimates = estimates_after_runs(&[1_000]);

    assert_eq!(estimates.expected_ms("other", &step(1, 1, 300, &[])), 300);
}

#[test]
fn a_stored_count_of_runs_that_is_the_greatest_number_stays_so() {
    let stored = serde_json::to_string(&estimates_after_runs(&[1_000])).expect("a row");
    let odd = stored.replace("\"n\":100", &format!("\"n\":{}", u32::MAX));
    assert_ne!(odd, stored);
    let mut estimates: Estimates = serde_json::from_str(&odd).expect("the row");

    estimates.learn("queue", &step(1, 1, 1_000, &[]), 1_000);

    let expected_ms = estimates.expected_ms("queue", &step(1, 1, 1_000, &[]));
    assert!((900..=1_100).contains(&expected_ms), "{expected_ms}");
}

#[test]
fn estimates_that_are_always_off_by_the_same_factor_are_corrected() {
    let mut estimates = Estimates::default();
    for round in 0..200 {
        let took_ms = 400 * (1 + round % 8);
        estimates.learn("queue", &step(1, 1, took_ms / 2, &[]), took_ms);
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

/// Pseudo-random numbers from a seed, about normally distributed with variance one.
fn normal_numbers(seed: u64) -> impl Iterator<Item = f64> {
    let mut state = seed;
    let mut uniform = move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        f64::from(u32::try_from(state >> 33).expect("31 bits")) / f64::from(1_u32 << 31)
    };
    std::iter::repeat_with(move || (0..12).map(|_| uniform()).sum::<f64>() - 6.0)
}

#[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
fn times(base_ms: f64, log_factor: f64) -> u64 {
    (base_ms * log_factor.exp()).round() as u64
}

/// Pinball loss of a predicted quantile.
#[allow(clippy::cast_precision_loss)]
fn pinball_loss(predicted_ms: u64, took_ms: u64, quantile: f64) -> f64 {
    let difference = took_ms as f64 - predicted_ms as f64;
    (difference * quantile).max(difference * (quantile - 1.0))
}

/// Plays 400 runs whose callers' estimates are off by this standard deviation and all by a factor.
/// Returns the losses of the learned and of the told median.
fn losses(deviation: f64, factor: f64) -> (f64, f64) {
    let mut estimates = Estimates::default();
    let mut lengths = normal_numbers(1);
    let mut errors = normal_numbers(2);
    let (mut learned, mut told) = (0.0, 0.0);
    for run in 0..400 {
        let took_ms = times(600.0, 0.4 * lengths.next().expect("a number"));
        let error = deviation * errors.next().expect("a number");
        let spec = step(1, 1, times(600.0 * factor, error).max(1), &[]);
        if run >= 40 {
            let expected_ms = estimates.expected_ms("queue", &spec);
            learned += pinball_loss(expected_ms, took_ms, 0.5);
            told += pinball_loss(spec.estimate_ms, took_ms, 0.5);
        }
        estimates.learn("queue", &spec, took_ms);
    }
    (learned, told)
}

#[test]
fn learned_times_predict_better_than_estimates_off_by_ten_times_either_way() {
    for factor in [0.1, 10.0] {
        let (learned, told) = losses(0.9, factor);

        assert!(learned < told / 2.0, "{learned} learned, {told} told");
    }
}

#[test]
fn a_run_time_that_doubles_is_followed_within_sixty_runs() {
    let mut estimates = Estimates::default();
    let spec = step(1, 1, 1_000, &[]);
    for _ in 0..100 {
        estimates.learn("queue", &spec, 1_000);
    }

    for _ in 0..60 {
        estimates.learn("queue", &spec, 2_000);
    }

    let expected_ms = estimates.expected_ms("queue", &spec);
    assert!(expected_ms >= 1_500, "{expected_ms}");
}

#[test]
fn an_upper_quantile_covers_the_runs_that_it_should() {
    let mut estimates = Estimates::default();
    let mut lengths = normal_numbers(3);
    let spec = step(1, 1, 600, &[]);
    let mut covered = 0;
    for run in 0..1_000 {
        let took_ms = times(600.0, 0.5 * lengths.next().expect("a number"));
        let bound_ms = estimates.forecast("queue", &spec).above_median_ms(1.0);
        covered += u32::from(run >= 200 && took_ms <= bound_ms);
        estimates.learn("queue", &spec, took_ms);
    }

    let share = f64::from(covered) / 800.0;
    assert!((0.78..=0.90).contains(&share), "{share} instead of 0.84");
}

#[test]
fn images_of_a_queue_are_told_apart_once_each_has_run_often_enough() {
    let mut estimates = Estimates::default();
    let of_image = |image: &str| {
        let mut spec = step(1, 1, 1_000, &[]);
        image.clone_into(&mut spec.image);
        spec
    };
    for _ in 0..40 {
        estimates.learn("queue", &of_image("short"), 200);
        estimates.learn("queue", &of_image("long"), 4_000);
    }

    let expected =
        ["short", "long", "new"].map(|image| estimates.expected_ms("queue", &of_image(image)));

    assert!(expected[0] < 300 && expected[1] > 3_000, "{expected:?}");
    assert!((300..3_000).contains(&expected[2]), "{expected:?}");
}
