//! Tests of the times at which feeds are read, for every bound that users may set.

use mangotrestle_core::time::SpanMs;
use mangotrestle_core::workflow::feed_timing::FeedTiming;
use quickcheck::{TestResult, quickcheck};

/// Paths over which a read is sent at first without an answer: a silent connection, and then a
/// second one or a silent peer.
const SILENT_PATHS: u64 = 2;

fn is_too_small(bound_ms: u16) -> bool {
    bound_ms < 100
}

quickcheck! {
    fn a_configuration_is_known_before_the_older_one_may_not_be_used(bound_ms: u16) -> TestResult {
        if is_too_small(bound_ms) {
            return TestResult::discard();
        }
        let bound = SpanMs(bound_ms.into());

        let timing = FeedTiming::configuration(bound);

        let known_in_time = timing.worst_age(SILENT_PATHS) < timing.max_age;
        TestResult::from_bool(known_in_time && timing.max_age < bound)
    }

    fn a_drain_is_known_before_starts_are_withheld(bound_ms: u16) -> TestResult {
        if is_too_small(bound_ms) {
            return TestResult::discard();
        }
        let bound = SpanMs(bound_ms.into());

        let timing = FeedTiming::workers(bound);

        let known_in_time = timing.worst_age(SILENT_PATHS) < timing.max_age;
        TestResult::from_bool(known_in_time && timing.max_age < bound)
    }

    fn a_cancel_is_known_while_orders_may_still_be_stopped(bound_ms: u16) -> TestResult {
        if is_too_small(bound_ms) {
            return TestResult::discard();
        }
        let bound = SpanMs(bound_ms.into());

        let timing = FeedTiming::cancels(bound);

        let known_in_time = timing.worst_age(SILENT_PATHS) < timing.max_age;
        TestResult::from_bool(known_in_time && timing.max_age < bound)
    }
}

#[test]
fn a_healthy_host_reads_feeds_no_more_often_than_before() {
    let two_seconds = SpanMs(2_000);

    let configuration = FeedTiming::configuration(two_seconds);
    let workers = FeedTiming::workers(two_seconds);
    let cancels = FeedTiming::cancels(SpanMs(3_000));

    assert_eq!(configuration.wait, SpanMs(900));
    assert_eq!(workers.wait, SpanMs(400));
    assert_eq!(workers.interval, SpanMs(400));
    assert_eq!(cancels.wait, SpanMs(400));
    assert_eq!(cancels.interval, SpanMs(350));
}
