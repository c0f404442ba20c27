//! Tests of the decisions and tickets of a queue's policy.

use std::sync::Arc;

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::pool::Order;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{AdvicePolicy, JobRecord};
use mangotrestle_core::workflow::tickets::StepTickets;

use super::world::{STOP_DURATION_MS, Violations, World, job, record, step, worker};

#[test]
fn a_ticket_expires_and_the_permission_stays() {
    let mut tickets = StepTickets::default();
    let (allowed_worker, denied_worker) = (worker("w-1"), worker("w-2"));
    let answer = vec![(allowed_worker.clone(), "t".to_owned())];

    tickets.learn(
        TimeMs(1_000),
        &[allowed_worker.clone(), denied_worker.clone()],
        answer,
        SpanMs(2_000),
    );

    assert!(tickets.valid(&allowed_worker, TimeMs(1_500)).is_some());
    assert!(tickets.valid(&allowed_worker, TimeMs(3_000)).is_none());
    assert!(tickets.allows(&allowed_worker));
    assert!(!tickets.allows(&denied_worker));
    assert!(!tickets.is_undecided(&denied_worker));
}

#[test]
fn a_rejected_ticket_is_not_used_again() {
    let mut tickets = StepTickets::default();
    let allowed_worker = worker("w-1");
    let answer = vec![(allowed_worker.clone(), "t".to_owned())];
    tickets.learn(
        TimeMs(1_000),
        std::slice::from_ref(&allowed_worker),
        answer,
        SpanMs(2_000),
    );

    tickets.invalidate(&allowed_worker);

    assert!(tickets.valid(&allowed_worker, TimeMs(1_001)).is_none());
    assert!(tickets.allows(&allowed_worker));
}

#[test]
fn a_ticket_request_carries_the_delay_that_the_queues_policy_expects() {
    let mut world = World::new(1, 30);
    world.run_for(200);
    let mut advised_job = record(0, vec![step(1, 1_000, 500, &[])]).as_ref().clone();
    advised_job.policy.advice = Some(AdvicePolicy {
        decide_ms: 728.0,
        each_ms: 10.4,
        valid_ms: 1_500,
    });

    let now = TimeMs(world.now);
    world.pool.accept(now, &job(1), Arc::new(advised_job));
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

/// Returns a job of one gang, of which each member takes a whole worker, in a queue whose ticket
/// requests take longer than a third of a ticket's validity.
fn advised_gang(members: u32) -> Arc<JobRecord> {
    let mut gang = step(members, 8_000, 1_000, &[]);
    gang.gang = true;
    let mut gang_job = record(1, vec![gang]).as_ref().clone();
    gang_job.policy.advice = Some(AdvicePolicy {
        decide_ms: 715.0,
        each_ms: 10.0,
        valid_ms: 2_000,
    });
    Arc::new(gang_job)
}

/// Returns a job that occupies a number of whole workers until it is cancelled.
fn occupying_job(workers: u32) -> Arc<JobRecord> {
    let mut occupying = step(workers, 8_000, 60_000, &[]);
    occupying.persistent = true;
    record(0, vec![occupying])
}

#[test]
fn gangs_with_expired_tickets_start_within_3_s_of_enough_workers_becoming_free() {
    let mut world = World::new(1, 40);
    world.submit(&job(100), &occupying_job(40));
    world.run_for(500);
    for number in 0..16 {
        world.submit(&job(number), &advised_gang(2));
    }
    world.run_for(6_000);
    let starts_before = world.starts;
    world.cancel(&job(100));

    world.run_for(STOP_DURATION_MS + 3_000);

    assert_eq!(world.starts - starts_before, 32);
    assert_eq!(world.alone_ends, 0);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_step_without_tickets_does_not_keep_workers_from_others_when_its_request_fails() {
    let mut world = World::new(2, 2);
    world.submit(&job(100), &occupying_job(2));
    world.run_for(500);
    world.submit(&job(1), &advised_gang(2));
    world.run_for(6_000);
    world.lost_ticket_requests_per_mille = 1_000;
    world.run_for(4_000);
    world.cancel(&job(100));

    world.submit(&job(2), &record(2, vec![step(2, 8_000, 500, &[])]));
    world.run_for(5_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}
