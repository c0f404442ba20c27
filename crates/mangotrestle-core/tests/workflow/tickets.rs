//! Tests of the decisions and tickets of a queue's policy.

use std::sync::Arc;

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::advice_hosts::Senders;
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

const fn senders(hosts: usize) -> Senders {
    Senders {
        hosts,
        leaders: 1,
        leader_is_late: false,
    }
}

#[test]
fn a_leader_that_learns_of_more_hosts_sends_more_ticket_requests_at_a_time() {
    let mut world = World::new(14, 40);
    world.pool.set_advice_senders(senders(1));
    for number in 0..16 {
        world.submit(&job(number), &advised_gang(2));
    }
    world.run_for(500);
    let requests_with_one_host = world.ticket_requests;

    world.pool.set_advice_senders(senders(20));
    world.run_for(500);

    assert_eq!(requests_with_one_host, 2);
    assert!(world.ticket_requests >= 16, "{}", world.ticket_requests);
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

/// Number of waiting steps without room whose tickets the leader keeps valid.
const RENEWED_STEPS: u64 = 6;

/// Submits as many steps without room as the leader renews tickets for, so that the tickets of all
/// less urgent steps expire.
fn submit_renewed_steps(world: &mut World) {
    for number in 0..RENEWED_STEPS {
        let mut too_large = advised_gang(1).as_ref().clone();
        too_large.steps[0].need.accelerators = 5;
        too_large.policy.priority = 0;
        world.submit(&job(900 + number), &Arc::new(too_large));
    }
}

/// Returns a simulation of which all workers are occupied by job 100, and in which gangs of whole
/// workers, jobs 0 and up, wait with expired tickets.
fn world_of_waiting_gangs(seed: u64, workers: u32, gangs: u64, members: u32) -> World {
    let mut world = World::new(seed, workers);
    world.submit(&job(100), &occupying_job(workers));
    world.run_for(500);
    submit_renewed_steps(&mut world);
    for number in 0..gangs {
        world.submit(&job(number), &advised_gang(members));
    }
    world.run_for(12_000);
    world
}

#[test]
fn a_gang_with_more_workers_than_a_ticket_request_names_starts() {
    let mut world = world_of_waiting_gangs(11, 70, 1, 64);
    world.cancel(&job(100));

    world.run_for(STOP_DURATION_MS + 10_000);

    assert_eq!(world.end_of(&job(0)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_run_does_not_start_on_a_worker_that_began_to_drain_while_its_ticket_was_requested() {
    let mut world = world_of_waiting_gangs(12, 3, 1, 2);
    world.cancel(&job(100));
    world.run_for(STOP_DURATION_MS + 300);
    let starts_before = world.starts;
    for name in ["w-0", "w-1"] {
        let mut entry = world.workers[&worker(name)].entry.clone();
        entry.draining = true;
        world.pool.worker_listed(TimeMs(world.now), entry);
    }

    world.run_for(1_500);

    assert_eq!(world.starts - starts_before, 0);
}

#[test]
fn no_member_of_a_gang_starts_if_a_worker_stops_answering_while_tickets_are_requested() {
    let mut world = World::new(13, 2);
    world.submit(&job(100), &occupying_job(2));
    world.run_for(500);
    submit_renewed_steps(&mut world);
    let mut gang = advised_gang(2).as_ref().clone();
    if let Some(advice) = &mut gang.policy.advice {
        advice.decide_ms = 1_500.0;
    }
    world.submit(&job(0), &Arc::new(gang));
    world.run_for(12_000);
    world.cancel(&job(100));
    world.run_for(STOP_DURATION_MS + 100);
    let starts_before = world.starts;
    let lost = world.workers.get_mut(&worker("w-1")).expect("the worker");
    lost.reachable = false;

    world.run_for(4_000);

    assert_eq!(world.starts - starts_before, 0);
}

#[test]
fn a_lost_ticket_request_does_not_hold_up_a_step_for_3_s() {
    let mut world = world_of_waiting_gangs(14, 4, 1, 2);
    let starts_before = world.starts;
    world.cancel(&job(100));
    world.lost_ticket_requests_per_mille = 1_000;
    world.run_for(STOP_DURATION_MS + 100);
    world.lost_ticket_requests_per_mille = 0;

    world.run_for(2_900);

    assert_eq!(world.starts - starts_before, 2);
}

#[test]
fn ticket_requests_in_flight_do_not_keep_other_requests_within_the_limit_from_being_sent() {
    let mut world = World::new(15, 40);
    world.submit(&job(100), &occupying_job(20));
    world.submit(&job(101), &occupying_job(20));
    world.run_for(500);
    submit_renewed_steps(&mut world);
    for number in 0..16 {
        world.submit(&job(number), &advised_gang(2));
    }
    world.run_for(12_000);
    let requests_before = world.ticket_requests;

    world.cancel(&job(100));
    world.run_for(200);
    world.cancel(&job(101));
    world.run_for(STOP_DURATION_MS + 300);

    assert_eq!(world.ticket_requests - requests_before, 16);
}

#[test]
fn three_times_as_many_gangs_as_ticket_requests_in_flight_start_within_3_s() {
    let mut world = world_of_waiting_gangs(18, 96, 48, 2);
    let starts_before = world.starts;
    world.cancel(&job(100));

    world.run_for(STOP_DURATION_MS + 3_000);

    assert_eq!(world.starts - starts_before, 96);
}

#[test]
fn a_step_with_room_is_not_held_up_by_ticket_requests_of_steps_without_room() {
    let mut world = World::new(16, 20);
    let mut occupying = step(20, 1_000, 60_000, &[]);
    occupying.persistent = true;
    occupying.need.accelerators = 4;
    world.submit(&job(1_000), &record(0, vec![occupying]));
    world.run_for(500);
    let advice = advised_gang(2).policy.advice;
    let mut without_room = record(0, vec![step(1, 500, 1_000, &[])]).as_ref().clone();
    without_room.steps[0].need.accelerators = 1;
    without_room.policy.advice = advice;
    let mut with_room = record(1, vec![step(1, 500, 1_000, &[])]).as_ref().clone();
    with_room.policy.advice = advice;
    for number in 0..200 {
        world.submit(&job(number), &Arc::new(without_room.clone()));
    }

    world.submit(&job(500), &Arc::new(with_room));
    let starts_before = world.starts;
    world.run_for(3_000);

    assert_eq!(world.starts - starts_before, 1);
}

#[test]
fn gangs_that_wait_for_tickets_start_within_3_s_of_a_change_of_leader() {
    let mut world = world_of_waiting_gangs(19, 40, 16, 2);
    let starts_before = world.starts;
    world.cancel(&job(100));
    world.run_for(STOP_DURATION_MS + 300);

    world.change_leader();
    world.run_for(3_000);

    assert_eq!(world.starts - starts_before, 32);
    assert_eq!(world.alone_ends, 0);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_gang_without_start_orders_starts_elsewhere_if_a_worker_is_lost_with_the_leader() {
    let mut world = world_of_waiting_gangs(20, 4, 1, 2);
    let starts_before = world.starts;
    world.cancel(&job(100));
    world.run_for(STOP_DURATION_MS + 300);

    for name in ["w-0", "w-1"] {
        let lost = world.workers.get_mut(&worker(name)).expect("the worker");
        lost.reachable = false;
    }
    world.change_leader();
    world.run_for(5_000);

    assert_eq!(world.starts - starts_before, 2);
}

#[test]
fn a_gang_whose_policy_allows_few_workers_learns_of_them_in_one_round_of_requests() {
    let mut world = World::new(31, 240);
    // The policy allows one worker in ten, and of the first ones that are asked about none.
    let denied = (0..240).filter(|number| number % 10 != 9 || *number < 120);
    world.denied_workers = denied
        .map(|number| worker(&format!("w-{number}")))
        .collect();
    let mut gang = advised_gang(10).as_ref().clone();
    gang.policy.advice = Some(AdvicePolicy {
        decide_ms: 640.0,
        each_ms: 9.0,
        valid_ms: 2_000,
    });
    gang.accepted_ms = world.now;
    gang.steps[0].need.cpu_millicores = 8_000;
    world.run_for(200);
    world.submit(&job(1), &Arc::new(gang));

    // One round takes 1.2 s, and another one renews tickets at most.
    world.run_for(2_500);

    let running: usize = world
        .workers
        .keys()
        .map(|id| world.running_on(id).len())
        .sum();
    assert_eq!(running, 10);
}
