//! Tests of workers on which more runs end than one report lists.

use mangotrestle_core::resources::Resources;
use mangotrestle_core::workflow::message::WorkerEntry;
use mangotrestle_core::workflow::record::JobState;

use super::world::{Violations, World, entry, job, record, step};

/// Number of tasks of a job.
const TASKS: u32 = 50;
/// Number of jobs whose tasks run at a time on one worker: more of them end than a report lists twice.
const JOBS: u64 = 24;
/// Time that a task takes at most.
const WORK_MS: u64 = 2_000;

/// Returns the entry of a worker that has room for all tasks.
fn large_worker(name: &str) -> WorkerEntry {
    WorkerEntry {
        capacity: Resources {
            cpu_millicores: 1_000_000,
            memory_mib: 1_000_000,
            accelerators: 0,
            slots: 0,
        },
        ..entry(name, "zone", "r1")
    }
}

/// Returns a simulation of one worker on which the tasks of all jobs run.
fn busy_world(seed: u64) -> World {
    let mut world = World::without_workers(seed, "pool");
    world.add_worker_entry(large_worker("w-0"));
    world.run_for(100);
    for number in 0..JOBS {
        let steps = vec![step(TASKS, 100, WORK_MS, &[])];
        world.submit(&job(number), &record(0, steps));
    }
    world.run_for(800);
    assert_eq!(u64::from(world.starts), JOBS * u64::from(TASKS));
    world
}

/// Checks that all jobs have ended with one run of each task.
fn assert_each_task_ran_once(world: &World) {
    let ended = (0..JOBS).filter(|&number| world.end_of(&job(number)) == Some(JobState::Completed));
    assert_eq!(ended.count() as u64, JOBS);
    assert_eq!(u64::from(world.starts), JOBS * u64::from(TASKS));
    assert_eq!(world.violations, Violations::default());
}

// Guards against runs that are taken for missing, and started again after they have ended, since a
// report has no room for their ends while the store cannot be written.
#[test]
fn runs_whose_ends_are_not_listed_yet_are_not_started_again() {
    let mut world = busy_world(1);
    world.store_up = false;
    world.run_for(6_000);
    world.store_up = true;
    world.run_for(4_000);

    assert_each_task_ran_once(&world);
}

// Guards against a leader that loads runs whose ends are not listed yet, and takes them for missing.
#[test]
fn a_new_leader_does_not_start_runs_again_whose_ends_are_not_listed_yet() {
    let mut world = busy_world(2);
    world.store_up = false;
    world.run_for(4_000);
    world.change_leader();
    world.run_for(2_000);
    world.store_up = true;
    world.run_for(4_000);

    assert_each_task_ran_once(&world);
}

// Guards against ends that stay on the worker, since the others are not requested once the first ones
// are durable.
#[test]
fn all_ends_are_received_soon_after_the_store_has_returned() {
    let mut world = busy_world(3);
    world.store_up = false;
    world.run_for(6_000);
    world.store_up = true;
    world.run_for(1_000);

    assert_eq!(world.unacknowledged_ends(), 0);
    assert_each_task_ran_once(&world);
}
