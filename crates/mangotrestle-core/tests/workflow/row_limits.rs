//! Tests of the limits of the store: no row and no commit grows beyond them, whatever a job may have.

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::job::Job;
use mangotrestle_core::workflow::record::{
    AssignmentRow, JobState, OccurrenceRow, RowFormat, StepRow, UnitRow,
};

use crate::world::{MAX_ROW_BYTES, Violations, World, entry, job, record, step, worker};

// Guards against a wide job whose row the store refuses, with which every commit of the service is
// refused.
#[test]
fn a_wide_job_of_several_steps_keeps_its_row_within_the_limit() {
    for row_format in [RowFormat::Listed, RowFormat::Ranges] {
        let mut world = World::new(1, 150);
        world.row_format = row_format;
        let wide = |after: &[u32]| step(1_000, 1_000, 200, after);
        let steps = vec![wide(&[]), wide(&[]), wide(&[0]), wide(&[1, 2])];
        world.submit(&job(1), &record(1, steps));
        for _ in 0..10 {
            world.run_for(250);
            world.change_leader();
        }
        world.submit(&job(2), &record(0, vec![step(1, 500, 100, &[])]));

        world.run_for(20_000);

        let bytes = world.largest_row_bytes;
        assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes, {row_format:?}");
        assert_eq!(world.rows_left_out, 0, "{row_format:?}");
        assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
        assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
        assert_eq!(world.violations, Violations::default());
    }
}

// Guards against rows that are larger than their usual size leads to expect.
#[test]
fn the_length_of_the_names_of_workers_counts_for_the_row() {
    let mut world = World::without_workers(2, "pool");
    for number in 0..120 {
        let name = format!("{number:060}");
        world.add_worker_entry(entry(&name, "zone", "rack"));
    }
    world.submit(&job(1), &record(1, vec![step(950, 1_000, 500, &[])]));

    world.run_for(10_000);

    let bytes = world.largest_row_bytes;
    assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes");
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
}

// Guards against a commit that the store refuses since its rows are too large together.
#[test]
fn a_commit_of_many_large_rows_stays_within_the_size_of_a_transaction() {
    let mut world = World::new(3, 120);
    let mut small = step(600, 10, 3_000, &[]);
    small.need.memory_mib = 1;
    for number in 0..40 {
        world.submit(&job(number), &record(1, vec![small.clone()]));
    }

    world.run_for(15_000);

    let bytes = world.largest_commit_bytes;
    assert!(bytes <= 600_000, "{bytes} bytes");
    let ended = (0..40).filter(|&number| world.end_of(&job(number)).is_some());
    assert_eq!(ended.count(), 40);
}

// Guards against a job whose row cannot be written and which stops the other jobs of its service.
#[test]
fn a_row_that_is_too_large_is_left_out_and_the_other_jobs_go_on() {
    let mut world = World::new(4, 4);
    world.submit(&job(1), &record(1, vec![step(40, 1_000, 1_000, &[])]));
    world.run_for(20);
    let now = TimeMs(world.now);
    world.run_for(400);
    let mut commit = world.pool.take_commit(now, 88);

    world
        .pool
        .leave_row_out(now, &mut commit, &job(1), MAX_ROW_BYTES + 1);
    world.pool.commit_undone();
    world.submit(&job(2), &record(0, vec![step(1, 500, 100, &[])]));
    world.run_for(1_000);
    let other = world.end_of(&job(2));
    world.run_for(10_000);

    assert_eq!(other, Some(JobState::Completed));
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

// Guards against a new leader that takes a worker's room for free while a withdrawn run is still there.
#[test]
fn a_run_that_is_being_stopped_in_an_occurrence_that_is_done_is_restored() {
    let withdrawn = UnitRow {
        done: true,
        run: 2,
        workers: vec![Some(worker("w-0"))],
        ..UnitRow::default()
    };
    let step_row = StepRow {
        done: vec![(0, 2)].into(),
        units: [(2, withdrawn)].into(),
    };
    let occurrence = OccurrenceRow {
        done: true,
        begun_steps: [(0, step_row)].into(),
        ..OccurrenceRow::default()
    };
    let row = AssignmentRow {
        occurrences: [(0, occurrence)].into(),
        begun: true,
        ..AssignmentRow::default()
    };
    let submitted = record(0, vec![step(3, 500, 100, &[])]);
    let mut restored = Job::new(job(1), submitted, TimeMs(1_000), 0, "pool");

    restored.restore(&row);

    assert_eq!(restored.assigned_members().count(), 1);
    assert!(restored.is_done_here());
    assert_eq!(restored.row(RowFormat::Ranges), row);
}
