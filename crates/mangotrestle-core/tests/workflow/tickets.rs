//! What is remembered of a queue's policy.

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::tickets::StepTickets;

use super::world::worker;

#[test]
fn a_ticket_lapses_and_the_permission_stays() {
    let mut tickets = StepTickets::default();
    let (good, bad) = (worker("w-1"), worker("w-2"));
    let answer = vec![(good.clone(), "t".to_owned())];

    tickets.learn(
        TimeMs(1_000),
        &[good.clone(), bad.clone()],
        answer,
        SpanMs(2_000),
    );

    assert!(tickets.valid(&good, TimeMs(1_500)).is_some());
    assert!(tickets.valid(&good, TimeMs(3_000)).is_none());
    assert!(tickets.allows(&good));
    assert!(!tickets.allows(&bad));
    assert!(!tickets.is_unknown(&bad));
}

#[test]
fn a_rejected_ticket_is_not_used_again() {
    let mut tickets = StepTickets::default();
    let good = worker("w-1");
    let answer = vec![(good.clone(), "t".to_owned())];
    tickets.learn(
        TimeMs(1_000),
        std::slice::from_ref(&good),
        answer,
        SpanMs(2_000),
    );

    tickets.reject(&good);

    assert!(tickets.valid(&good, TimeMs(1_001)).is_none());
    assert!(tickets.allows(&good));
}
