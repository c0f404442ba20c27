//! Tests of workers that are kept free for a large gang while smaller work could run there.

use std::sync::Arc;

use super::world::{Violations, World, job, record, step};

const WORKERS: u32 = 40;
/// Members of a running gang, of which each takes a whole worker: less than half of the pool.
const RUNNING_MEMBERS: u32 = 18;
/// Time for which a job that could run may have nothing running.
const MAX_IDLE_MS: u64 = 3_000;

fn submit_gang(world: &mut World, number: u64, members: u32, run_ms: u64) {
    let mut gang = step(members, 8_000, run_ms, &[]);
    gang.gang = true;
    world.submit(&job(number), &record(1, vec![gang]));
}

fn has_started(world: &World, number: u64) -> bool {
    let prefix = format!("{}.", job(number));
    let mut tasks = world.started_tasks.iter();
    tasks.any(|name| name.starts_with(&prefix))
}

/// Returns a simulation in which a gang runs for `run_ms` or less, and one waits that needs one worker
/// more than are free and is due before later work.
fn world_with_a_reserving_gang(seed: u64, run_ms: u64) -> World {
    let mut world = World::new(seed, WORKERS);
    world.run_for(300);
    submit_gang(&mut world, 1, RUNNING_MEMBERS, run_ms);
    world.run_for(300);
    submit_gang(&mut world, 2, WORKERS - RUNNING_MEMBERS + 1, 5_000);
    world.run_for(300);
    world
}

#[test]
fn gangs_with_room_twice_over_do_not_wait_behind_a_reservation_of_a_larger_one() {
    for members in 2..=8 {
        let mut world = world_with_a_reserving_gang(members.into(), 20_000);

        submit_gang(&mut world, 3, members, 8_000);
        world.run_for(MAX_IDLE_MS);

        assert!(has_started(&world, 1) && !has_started(&world, 2));
        assert!(has_started(&world, 3), "gang of {members}");
        assert_eq!(world.violations, Violations::default());
    }
}

#[test]
fn gangs_with_room_twice_over_do_not_wait_behind_a_reservation_after_a_change_of_leader() {
    for members in 2..=8 {
        let mut world = world_with_a_reserving_gang(members.into(), 20_000);
        submit_gang(&mut world, 3, members, 8_000);

        world.change_leader();
        world.run_for(MAX_IDLE_MS);

        assert!(has_started(&world, 1) && !has_started(&world, 2));
        assert!(has_started(&world, 3), "gang of {members}");
        assert_eq!(world.violations, Violations::default());
    }
}

#[test]
fn single_tasks_with_room_do_not_wait_behind_a_reservation_of_a_gang() {
    let mut world = world_with_a_reserving_gang(1, 20_000);

    world.submit(&job(3), &record(1, vec![step(1, 1_000, 8_000, &[])]));
    world.run_for(MAX_IDLE_MS);

    assert!(has_started(&world, 3));
}

#[test]
fn a_large_gang_starts_although_smaller_ones_keep_coming() {
    let mut world = world_with_a_reserving_gang(1, 4_000);

    for number in 10..60 {
        submit_gang(&mut world, number, 2, 8_000);
        world.run_for(200);
    }

    assert!(has_started(&world, 2));
}

/// Returns a simulation in which three workers are busy for long, and a gang waits that needs one more
/// than are free and is due before later work.
fn world_with_a_gang_of_most_workers() -> World {
    let mut world = World::new(1, WORKERS);
    world.run_for(300);
    submit_gang(&mut world, 1, 3, 20_000);
    world.run_for(300);
    submit_gang(&mut world, 2, WORKERS - 2, 5_000);
    world.run_for(300);
    world
}

/// Submits a task that takes a whole worker, accepted at the present time and due after the gangs.
fn submit_task(world: &mut World, number: u64, run_ms: u64) {
    let mut record = record(1, vec![step(1, 8_000, run_ms, &[])])
        .as_ref()
        .clone();
    record.accepted_ms = world.now;
    record.policy.stretch = 8.0;
    world.submit(&job(number), &Arc::new(record));
}

#[test]
fn short_work_runs_on_workers_that_are_kept_for_a_gang() {
    let mut world = world_with_a_gang_of_most_workers();

    for number in 10..40 {
        submit_task(&mut world, number, 2_000);
    }
    world.run_for(500);

    assert!(!has_started(&world, 2));
    assert!((10..40).all(|number| has_started(&world, number)));
}

#[test]
fn long_work_starts_in_3_s_where_a_gang_that_starts_late_keeps_most_of_the_workers() {
    let mut world = world_with_a_gang_of_most_workers();

    for number in 10..20 {
        submit_task(&mut world, number, 40_000);
    }
    world.run_for(MAX_IDLE_MS);

    assert!(!has_started(&world, 2));
    assert!((10..20).all(|number| has_started(&world, number)));
}

#[test]
fn a_gang_of_most_workers_starts_although_long_work_keeps_coming() {
    let mut world = world_with_a_gang_of_most_workers();

    for number in 10..90 {
        submit_task(&mut world, number, 12_000);
        world.run_for(1_000);
    }

    assert!(has_started(&world, 2));
}
