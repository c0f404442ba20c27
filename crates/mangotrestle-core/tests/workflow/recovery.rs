//! What a new leader does with what an earlier one left, and what follows from workers' ends.

use std::sync::Arc;

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::pool::RowChange;
use mangotrestle_core::workflow::record::JobState;

use super::world::{Breaches, World, job, record, step, worker};

#[test]
fn a_new_leader_takes_running_work_over_without_a_second_run() {
    let mut world = World::new(1, 3);
    world.submit(&job(1), &record(0, vec![step(4, 1_000, 3_000, &[])]));
    world.run_for(500);

    world.change_leader();
    world.run_for(6_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
    assert_eq!(world.breaches, Breaches::default());
}

#[test]
fn a_silent_worker_does_not_hold_up_a_new_leader() {
    let mut world = World::new(2, 3);
    world.submit(&job(1), &record(0, vec![step(3, 1_000, 5_000, &[])]));
    world.run_for(300);
    let silent = worker("w-0");
    world
        .workers
        .get_mut(&silent)
        .expect("the worker")
        .reachable = false;
    world.change_leader();

    world.submit(&job(2), &record(0, vec![step(2, 1_000, 300, &[])]));
    world.run_for(1_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
}

#[test]
fn a_run_on_a_worker_that_is_only_cut_off_starts_elsewhere_after_its_lease_and_not_before() {
    let mut world = World::new(3, 2);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 60_000, &[])]));
    world.run_for(300);
    let holder = ["w-0", "w-1"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");
    world
        .workers
        .get_mut(&holder)
        .expect("the worker")
        .reachable = false;

    world.run_for(8_000);
    let before_lapse = world.starts;
    world.run_for(6_000);

    assert_eq!(before_lapse, 1);
    assert_eq!(world.starts, 2);
    assert_eq!(world.breaches, Breaches::default());
}

#[test]
fn a_run_on_a_worker_whose_life_is_over_starts_elsewhere_at_once() {
    let mut world = World::new(4, 2);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 2_000, &[])]));
    world.run_for(300);
    let holder = ["w-0", "w-1"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");

    world.crash(&holder);
    world.run_for(200);

    assert_eq!(world.starts, 2);
}

#[test]
fn a_task_that_lasts_is_started_again_when_its_worker_ends_after_a_change_of_leader() {
    let mut world = World::new(5, 3);
    let mut lasting = step(1, 1_000, 400, &[]);
    lasting.persistent = true;
    world.submit(&job(1), &record(1, vec![lasting]));
    world.run_for(500);
    let holder = ["w-0", "w-1", "w-2"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");
    world.change_leader();
    world.run_for(50);

    world.crash(&holder);
    world.run_for(500);

    assert_eq!(world.starts, 2);
    assert_eq!(world.breaches, Breaches::default());
}

#[test]
fn a_cancelled_job_is_stopped_and_its_late_order_too() {
    let mut world = World::new(6, 2);
    world.network.late_orders = 1_000;
    world.submit(&job(1), &record(0, vec![step(2, 1_000, 30_000, &[])]));
    world.run_for(100);
    world.cancel(&job(1));
    world.network.late_orders = 0;

    world.run_for(20_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Cancelled));
    let running = ["w-0", "w-1"].map(|name| world.running_on(&worker(name)));
    assert_eq!(running, [Vec::<String>::new(), Vec::new()]);
}

#[test]
fn a_worker_that_fails_all_does_not_use_up_the_attempts_of_a_job() {
    let mut world = World::new(8, 4);
    world
        .workers
        .get_mut(&worker("w-0"))
        .expect("the worker")
        .fails_all = true;
    for number in 0..12 {
        world.submit(&job(number), &record(0, vec![step(2, 2_000, 300, &[])]));
        world.run_for(200);
    }

    world.run_for(8_000);

    let completed =
        (0..12).filter(|&number| world.end_of(&job(number)) == Some(JobState::Completed));
    assert_eq!(completed.count(), 12);
}

#[test]
fn a_job_that_always_fails_ends_as_failed_after_its_attempts() {
    let mut world = World::new(9, 3);
    world.failing_runs = 1_000;
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 200, &[])]));

    world.run_for(10_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Failed));
    assert_eq!(world.starts, 3);
}

#[test]
fn a_submission_that_was_dropped_leaves_nothing_behind_and_may_come_again() {
    let mut world = World::new(10, 2);
    world.store_up = false;
    let submitted = record(0, vec![step(2, 1_000, 300, &[])]);
    let now = TimeMs(world.now);
    world.pool.submit(now, &job(1), Arc::clone(&submitted));
    world.run_for(200);

    let unwritten = world.pool.unwritten_submissions();
    world.pool.drop_submission(TimeMs(world.now), &job(1));
    world.store_up = true;
    world.run_for(1_000);
    let starts_of_dropped = world.starts;
    world.submit(&job(1), &submitted);
    world.run_for(2_000);

    assert_eq!(unwritten, [job(1)]);
    assert_eq!(starts_of_dropped, 0);
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
}

#[test]
fn a_submission_starts_only_once_its_acceptance_is_durable() {
    let mut world = World::new(11, 2);
    world.store_up = false;
    let now = TimeMs(world.now);
    let known = world
        .pool
        .submit(now, &job(1), record(0, vec![step(1, 1_000, 300, &[])]));

    world.run_for(500);
    let (state_before, starts_before) = (world.pool.state(&job(1)), world.starts);
    world.store_up = true;
    world.run_for(1_000);

    assert!(!known);
    assert_eq!((state_before, starts_before), (None, 0));
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
}

#[test]
fn a_commit_that_cannot_hold_all_changes_carries_the_submissions_first() {
    let mut world = World::new(12, 40);
    for number in 0..60 {
        world.submit(&job(number), &record(1, vec![step(4, 1_000, 400, &[])]));
    }
    world.run_for(300);
    // Ends of runs come in while no commit is made, as with a store that is slow.
    world.store_up = false;
    world.run_for(600);
    let now = TimeMs(world.now);
    let submitted: Vec<_> = (100..108).map(job).collect();
    for id in &submitted {
        world
            .pool
            .submit(now, id, record(0, vec![step(1, 1_000, 400, &[])]));
    }
    world.pool.tick(now);
    world.pool.commit_undone();

    let commit = world.pool.take_commit(now, 88);

    let accepted: Vec<_> = commit
        .changes
        .iter()
        .filter_map(|change| match change {
            RowChange::Accept { job, .. } => Some(job.clone()),
            _ => None,
        })
        .collect();
    let rows: usize = commit.changes.iter().map(RowChange::row_count).sum();
    assert_eq!(accepted.len(), submitted.len());
    assert!(
        commit.changes.len() > 40,
        "{} changes",
        commit.changes.len()
    );
    assert!(rows <= 88, "{rows} rows");
}
