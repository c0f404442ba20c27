//! Tests of a new leader that takes over the jobs of an earlier one, and of workers that become
//! unreachable, end or fail.

use std::sync::Arc;

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::pool::{Order, RowChange};
use mangotrestle_core::workflow::record::{AssignmentRow, JobState, OccurrenceRow, UnitRow};

use super::world::{Violations, World, job, record, step, worker};

#[test]
fn a_new_leader_takes_over_running_work_without_a_second_run() {
    let mut world = World::new(1, 3);
    world.submit(&job(1), &record(0, vec![step(4, 1_000, 3_000, &[])]));
    world.run_for(500);

    world.change_leader();
    world.run_for(6_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(world.starts, 4);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn an_unreachable_worker_does_not_hold_up_a_new_leader() {
    let mut world = World::new(2, 3);
    world.submit(&job(1), &record(0, vec![step(3, 1_000, 5_000, &[])]));
    world.run_for(300);
    let unreachable = worker("w-0");
    world
        .workers
        .get_mut(&unreachable)
        .expect("the worker")
        .reachable = false;
    world.change_leader();

    world.submit(&job(2), &record(0, vec![step(2, 1_000, 300, &[])]));
    world.run_for(1_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
}

#[test]
fn a_run_on_an_unreachable_worker_starts_elsewhere_only_after_its_lease() {
    let mut world = World::new(3, 2);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 60_000, &[])]));
    world.run_for(300);
    let assigned_worker = ["w-0", "w-1"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");
    world
        .workers
        .get_mut(&assigned_worker)
        .expect("the worker")
        .reachable = false;

    world.run_for(8_000);
    let starts_before_lapse = world.starts;
    world.run_for(6_000);

    assert_eq!(starts_before_lapse, 1);
    assert_eq!(world.starts, 2);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_run_on_an_ended_worker_starts_elsewhere_at_once() {
    let mut world = World::new(4, 2);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 2_000, &[])]));
    world.run_for(300);
    let assigned_worker = ["w-0", "w-1"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");

    world.crash(&assigned_worker);
    world.run_for(200);

    assert_eq!(world.starts, 2);
}

#[test]
fn a_persistent_task_restarts_when_its_worker_ends_after_a_change_of_leader() {
    let mut world = World::new(5, 3);
    let mut persistent_step = step(1, 1_000, 400, &[]);
    persistent_step.persistent = true;
    world.submit(&job(1), &record(1, vec![persistent_step]));
    world.run_for(500);
    let assigned_worker = ["w-0", "w-1", "w-2"]
        .map(worker)
        .into_iter()
        .find(|id| !world.running_on(id).is_empty())
        .expect("a worker runs the task");
    world.change_leader();
    world.run_for(50);

    world.crash(&assigned_worker);
    world.run_for(500);

    assert_eq!(world.starts, 2);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_cancelled_job_is_stopped_even_if_its_start_orders_arrive_late() {
    let mut world = World::new(6, 2);
    world.network.late_orders_per_mille = 1_000;
    world.submit(&job(1), &record(0, vec![step(2, 1_000, 30_000, &[])]));
    world.run_for(100);
    world.cancel(&job(1));
    world.network.late_orders_per_mille = 0;

    world.run_for(20_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Cancelled));
    let running = ["w-0", "w-1"].map(|name| world.running_on(&worker(name)));
    assert_eq!(running, [Vec::<String>::new(), Vec::new()]);
}

#[test]
fn a_worker_that_fails_all_runs_does_not_use_up_the_attempts_of_a_job() {
    let mut world = World::new(8, 4);
    world
        .workers
        .get_mut(&worker("w-0"))
        .expect("the worker")
        .fails_all_runs = true;
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
fn a_job_whose_runs_all_fail_ends_as_failed_after_its_attempts() {
    let mut world = World::new(9, 3);
    world.failing_runs_per_mille = 1_000;
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 200, &[])]));

    world.run_for(10_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Failed));
    assert_eq!(world.starts, 3);
}

#[test]
fn a_dropped_submission_leaves_nothing_behind_and_may_be_repeated() {
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
fn a_commit_too_small_for_all_changes_includes_all_submissions() {
    let mut world = World::new(12, 40);
    for number in 0..60 {
        world.submit(&job(number), &record(1, vec![step(4, 1_000, 400, &[])]));
    }
    world.run_for(300);
    // Ends of runs arrive while no commit is made, as with a slow store.
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

#[test]
fn ends_of_a_refused_commit_are_not_acknowledged_by_a_later_commit_without_them() {
    let mut world = World::new(8, 80);
    for number in 0..40 {
        world.submit(&job(number), &record(0, vec![step(1, 8_000, 400, &[])]));
    }
    world.run_for(150);
    world.refused_commits_per_mille = 1_000;
    world.run_for(700);
    for number in 100..400 {
        world.submit(&job(number), &record(0, vec![step(1, 100, 60_000, &[])]));
    }
    world.refused_commits_per_mille = 0;

    world.run_for(100);
    world.change_leader();
    world.run_for(3_000);

    assert_eq!(world.violations, Violations::default());
}

#[test]
fn ends_of_an_undone_commit_are_not_acknowledged_by_a_later_commit_without_them() {
    let mut world = World::new(13, 1);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 100, &[])]));
    world.run_for(50);
    world.store_up = false;
    world.run_for(600);
    let now = TimeMs(world.now);
    let undone = world.pool.take_commit(now, 88);
    world.pool.commit_undone();
    for number in 100..140 {
        let submitted = record(0, vec![step(1, 1_000, 100, &[])]);
        world.pool.submit(now, &job(number), submitted);
    }

    let smaller = world.pool.take_commit(now, 88);
    world.pool.committed(now);
    world.pool.take_orders();
    world.pool.tick(TimeMs(world.now + 1_000));

    let ends_job = |change: &RowChange| matches!(change, RowChange::End { .. });
    assert!(undone.changes.iter().any(ends_job), "{undone:?}");
    assert!(!smaller.changes.iter().any(ends_job), "{smaller:?}");
    let acknowledged = world.pool.take_orders().into_iter().map(|order| {
        let Order::Hold { last_seen, .. } = order else {
            return 0;
        };
        last_seen
    });
    assert_eq!(acknowledged.max().unwrap_or_default(), 0);
}

#[test]
fn a_new_leader_does_not_start_a_withdrawn_run_of_a_unit_that_is_done() {
    for gang in [false, true] {
        let mut world = World::new(14, 2);
        let mut done_step = step(1, 1_000, 300, &[]);
        done_step.gang = gang;
        let submitted = record(0, vec![done_step, step(1, 1_000, 300, &[0])]);
        // The first run ended as done after the second was bound to w-0, where its start order was
        // lost.
        let done_unit = UnitRow {
            done: true,
            run: 2,
            workers: vec![Some(worker("w-0"))],
            ..UnitRow::default()
        };
        let occurrence = OccurrenceRow {
            steps: vec![vec![done_unit], vec![UnitRow::default()]],
            ..OccurrenceRow::default()
        };
        let row = AssignmentRow {
            occurrences: [(0, occurrence)].into(),
            begun: true,
            ..AssignmentRow::default()
        };

        world.restore(&job(1), &submitted, row);
        world.run_for(3_000);

        assert_eq!(world.starts, 1, "starts with gang = {gang}");
        assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
        assert_eq!(world.unfinished(), Vec::new());
    }
}

#[test]
fn a_cancelled_job_does_not_begin_its_next_step_when_the_end_of_a_run_is_reported_late() {
    let mut world = World::new(15, 1);
    let steps = vec![step(1, 1_000, 200, &[]), step(2, 1_000, 5_000, &[0])];
    world.submit(&job(1), &record(0, steps));
    world.run_for(60);
    let set_reachable = |world: &mut World, reachable| {
        let model = world.workers.get_mut(&worker("w-0"));
        model.expect("the worker").reachable = reachable;
    };
    set_reachable(&mut world, false);
    world.run_for(400);

    world.cancel(&job(1));
    set_reachable(&mut world, true);
    world.run_for(4_000);

    assert_eq!(world.starts, 1);
    assert_eq!(world.end_of(&job(1)), Some(JobState::Cancelled));
    assert_eq!(world.unfinished(), Vec::new());
}

#[test]
fn waiting_work_is_placed_once_its_only_worker_answers_a_new_leader_late() {
    let mut world = World::new(16, 1);
    let set_reachable = |world: &mut World, reachable| {
        let model = world.workers.get_mut(&worker("w-0"));
        model.expect("the worker").reachable = reachable;
    };
    // From here on the job's result is useless, so its rank does not change any more.
    world.run_for(5_000);
    set_reachable(&mut world, false);
    world.change_leader();
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 200, &[])]));
    world.run_for(1_000);

    set_reachable(&mut world, true);
    world.run_for(10_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
}
