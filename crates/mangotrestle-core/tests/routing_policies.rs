//! Tests of each routing policy alone, compared with a naive implementation where there is one.

use mangotrestle_core::job::Urgency;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::limit::{AdaptiveLimit, TeamLimiter, TeamRefusal};
use mangotrestle_core::routing::outlier::{Policy, Status, Tracker};
use mangotrestle_core::routing::retry::{AttemptEnd, Attempts, Backoff, Budget, NextStep};
use mangotrestle_core::routing::snapshot::TeamLimit;
use mangotrestle_core::routing::token_bucket::TokenBucket;
use mangotrestle_core::routing::wait_queue::WaitQueue;
use mangotrestle_core::routing::{choice, latency};
use mangotrestle_core::time::{SpanMs, TimeMs};
use quickcheck::{TestResult, quickcheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

quickcheck! {
    fn token_bucket_agrees_with_a_naive_one(rate: u8, capacity: u8, gaps_ms: Vec<u8>) -> bool {
        let (rate, capacity) = (u32::from(rate), u32::from(capacity));
        let mut bucket = TokenBucket::new(rate, capacity, TimeMs(0));
        // In thousandths of a token, since the rate is per second and the clock counts
        // milliseconds.
        let mut naive_parts = u64::from(capacity) * 1_000;
        let mut now = TimeMs(0);
        gaps_ms.iter().all(|&gap_ms| {
            now = now + SpanMs(u64::from(gap_ms));
            naive_parts += u64::from(gap_ms) * u64::from(rate);
            naive_parts = naive_parts.min(u64::from(capacity) * 1_000);
            let expected = naive_parts >= 1_000;
            if expected {
                naive_parts -= 1_000;
            }
            bucket.take(now).is_ok() == expected
        })
    }

    fn retries_stay_within_the_budget(steps: Vec<(u8, bool)>) -> bool {
        let mut budget = Budget::builder()
            .ratio_percent(20)
            .min_per_s(2)
            .burst(5)
            .build(TimeMs(0));
        let mut now = TimeMs(0);
        let (mut first_attempts, mut retries) = (0_u64, 0_u64);
        steps.iter().all(|&(gap_ms, is_retry)| {
            now = now + SpanMs(u64::from(gap_ms));
            if is_retry {
                retries += u64::from(budget.try_retry(now));
            } else {
                first_attempts += 1;
                budget.first_attempt();
            }
            retries * 1_000 <= 5_000 + first_attempts * 200 + now.0 * 2
        })
    }

    fn possibly_run_request_is_never_reported_as_not_run(ends: Vec<u8>, idempotent: bool) -> bool {
        let mut attempts = Attempts::new(idempotent, 4);
        let mut may_have_run = false;
        for end in ends.into_iter().map(attempt_end) {
            let reached_target = !matches!(end, AttemptEnd::NotSent | AttemptEnd::RefusedByTarget);
            may_have_run |= reached_target && end != AttemptEnd::Answered;
            let next = attempts.record_end(end);
            let code = attempts.final_code(ResultCode::Overloaded);
            if may_have_run != (code == ResultCode::OutcomeUnknown) {
                return false;
            }
            if reached_target && !idempotent && next == NextStep::MayRetry {
                return false;
            }
            if next != NextStep::MayRetry {
                return true;
            }
        }
        true
    }

    fn wait_queue_agrees_with_a_sorted_list(steps: Vec<(u8, u8)>) -> bool {
        let mut queue = WaitQueue::new();
        let mut naive: Vec<(Urgency, usize)> = Vec::new();
        for (number, &(action, urgency_number)) in steps.iter().enumerate() {
            if action % 3 == 0 {
                let Some((wait_id, &first)) = queue.first() else {
                    continue;
                };
                queue.remove(wait_id);
                naive.sort();
                if naive.remove(0).1 != first {
                    return false;
                }
            } else {
                queue.push(TimeMs(0), urgency(urgency_number), TimeMs(9), number);
                naive.push((urgency(urgency_number), number));
            }
            let ahead = naive.iter().filter(|(urgency, _)| *urgency <= Urgency::Normal).count();
            if queue.ahead_of(Urgency::Normal) != ahead || queue.len() != naive.len() {
                return false;
            }
        }
        true
    }

    fn choice_returns_only_available_candidates(loads: Vec<Option<u8>>, seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chosen = choice::pick_of_two(loads.len(), |position| loads[position], &mut rng);
        match chosen {
            Some(position) => loads[position].is_some(),
            None => loads.iter().all(Option::is_none),
        }
    }

    fn ejections_leave_the_minimum_of_active_replicas(total: u8, ejected: u8) -> TestResult {
        let (total, ejected) = (u32::from(total), u32::from(ejected));
        if ejected >= total {
            return TestResult::discard();
        }
        let policy = Policy::default();
        let remaining = total - ejected - 1;
        let allowed = policy.may_eject(ejected, total);
        TestResult::from_bool(!allowed || (remaining > 0 && remaining * 100 >= total * 50))
    }

    fn adaptive_limit_stays_within_its_bounds(samples: Vec<(u32, u8)>, max: u8) -> bool {
        let max = u32::from(max);
        let mut limit = AdaptiveLimit::new(max);
        samples.iter().all(|&(latency_us, in_flight)| {
            limit.observe(u64::from(latency_us), u32::from(in_flight), max);
            (1..=max.max(1)).contains(&limit.current(max))
        })
    }

    fn latency_stays_between_the_extremes(samples: Vec<u32>) -> bool {
        let mut estimate = latency::Latency::default();
        for &sample in &samples {
            estimate.observe_us(u64::from(sample));
        }
        let min = samples.iter().min().map(|&sample| u64::from(sample));
        let max = samples.iter().max().map(|&sample| u64::from(sample));
        match estimate.mean_us() {
            None => samples.is_empty(),
            Some(mean_us) => min <= Some(mean_us) && Some(mean_us) <= max,
        }
    }
}

fn attempt_end(number: u8) -> AttemptEnd {
    match number % 6 {
        0 => AttemptEnd::NotSent,
        1 => AttemptEnd::RefusedByTarget,
        2 => AttemptEnd::Broken,
        3 => AttemptEnd::TimedOut,
        4 => AttemptEnd::AnsweredFault,
        _ => AttemptEnd::Answered,
    }
}

fn urgency(number: u8) -> Urgency {
    match number % 3 {
        0 => Urgency::Urgent,
        1 => Urgency::Normal,
        _ => Urgency::Background,
    }
}

#[test]
fn limit_falls_for_a_slow_target_and_recovers() {
    let mut limit = AdaptiveLimit::new(8);

    for _ in 0..100 {
        limit.observe(1_000, 8, 8);
    }
    let healthy_limit = limit.current(8);
    for _ in 0..200 {
        limit.observe(10_000, 8, 8);
    }
    let slow_limit = limit.current(8);
    for _ in 0..500 {
        limit.observe(1_000, 8, 8);
    }

    assert_eq!(healthy_limit, 8);
    assert!(slow_limit <= 2, "{slow_limit}");
    assert_eq!(limit.current(8), 8);
}

#[test]
fn failed_probe_doubles_the_ejection() {
    let policy = Policy::default();
    let mut tracker = Tracker::default();

    tracker.eject(&policy, TimeMs(0));
    let first_probe = TimeMs(0) + policy.base_ejection;
    tracker.eject(&policy, first_probe);

    let doubled = SpanMs(2 * policy.base_ejection.0);
    let just_before = first_probe + doubled - SpanMs(1);
    assert_eq!(tracker.status(just_before), Status::Ejected);
    assert_eq!(tracker.status(first_probe + doubled), Status::Probe);
}

#[test]
fn team_is_limited_in_concurrency_and_rate() {
    let limit = TeamLimit {
        max_concurrent: 2,
        rate_per_s: 1,
        burst: 3,
    };
    let mut limiter = TeamLimiter::new(limit, TimeMs(0));

    let first_two = (limiter.admit(TimeMs(0)), limiter.admit(TimeMs(0)));
    let third = limiter.admit(TimeMs(0));
    limiter.leave();
    let after_leave = limiter.admit(TimeMs(0));
    limiter.leave();
    let over_rate = limiter.admit(TimeMs(0));

    assert_eq!(first_two, (Ok(()), Ok(())));
    assert_eq!(third, Err(TeamRefusal::Concurrency));
    assert_eq!(after_leave, Ok(()));
    assert_eq!(over_rate, Err(TeamRefusal::Rate(SpanMs(1_000))));
}

#[test]
fn backoff_delays_spread_over_the_whole_range() {
    let backoff = Backoff {
        base: SpanMs(100),
        max: SpanMs(1_000),
    };
    let mut rng = SmallRng::seed_from_u64(3);

    let delays: Vec<u64> = (0..1_000).map(|_| backoff.delay(9, &mut rng).0).collect();

    assert!(delays.iter().all(|&delay_ms| delay_ms <= 1_000));
    assert!(delays.iter().any(|&delay_ms| delay_ms < 100));
    assert!(delays.iter().any(|&delay_ms| delay_ms > 900));
}
