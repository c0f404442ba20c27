//! What is remembered of a queue's policy.

use std::sync::Arc;

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::pool::Order;
use mangotrestle_core::workflow::spec::AdvicePolicy;
use mangotrestle_core::workflow::tickets::StepTickets;

use super::world::{World, job, record, step, worker};

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

#[test]
fn a_question_has_the_time_that_the_queues_policy_says() {
    let mut world = World::new(1, 30);
    world.run_for(200);
    let mut slow = record(0, vec![step(1, 1_000, 500, &[])]).as_ref().clone();
    slow.policy.advice = Some(AdvicePolicy {
        decide_ms: 728.0,
        each_ms: 10.4,
        valid_ms: 1_500,
    });

    let now = TimeMs(world.now);
    world.pool.accept(now, &job(1), Arc::new(slow));
    world.pool.tick(now);

    let orders = world.pool.take_orders();
    let expected_delay = orders.iter().find_map(|order| match order {
        Order::RequestTickets {
            expected_delay,
            workers,
            ..
        } => Some((*expected_delay, workers.len())),
        _ => None,
    });
    assert_eq!(expected_delay, Some((SpanMs(1_040), 30)));
}
