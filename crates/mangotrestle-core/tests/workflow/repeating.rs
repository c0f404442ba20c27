//! Tests of jobs that repeat: their state follows what runs, and neither how often they repeat nor how
//! much is due at once.

use std::sync::Arc;

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::record::{AssignmentRow, JobState, OccurrenceRow, RowFormat};
use mangotrestle_core::workflow::spec::{JobRecord, Schedule, StepSpec};

use crate::world::{Violations, World, job, record, step};

/// Time at which a simulation begins, in milliseconds since the Unix epoch.
const BEGIN_MS: u64 = 1_000_000;
const YEAR_OF_MINUTES: u32 = 525_600;

/// Returns a job of priority 1 whose steps repeat.
fn repeating(steps: Vec<StepSpec>, schedule: Schedule) -> Arc<JobRecord> {
    let record = record(1, steps);
    Arc::new(JobRecord {
        schedule: Some(schedule),
        ..record.as_ref().clone()
    })
}

/// Returns the schedule of this many occurrences, the first of them due 100 ms after the begin.
fn schedule(count: u32, period_ms: u64) -> Schedule {
    Schedule {
        first_ms: BEGIN_MS + 100,
        period_ms,
        count,
    }
}

/// Returns a measure of the size of a leader's state.
fn state_size(world: &World) -> usize {
    format!("{:?}", world.pool).len()
}

/// Submits this many jobs of one short task at intervals, and returns how many of them have ended
/// after `span_ms`.
fn quick_jobs_ended(world: &mut World, count: u64, span_ms: u64) -> usize {
    for number in 0..count {
        world.submit(&job(100 + number), &record(0, vec![step(1, 500, 100, &[])]));
        world.run_for(span_ms / count);
    }
    world.run_for(1_000);
    let ended = (0..count).filter(|number| world.end_of(&job(100 + number)).is_some());
    ended.count()
}

// Guards against a leader that exceeds its memory as soon as it knows a job that repeats for years.
#[test]
fn the_state_of_a_job_does_not_grow_with_the_number_of_its_occurrences() {
    let sizes = [60, YEAR_OF_MINUTES].map(|count| {
        let mut world = World::new(1, 2);
        let submitted = repeating(vec![step(1, 500, 300, &[])], schedule(count, 60_000));
        world.submit(&job(1), &submitted);
        world.run_for(1_000);
        let accepted = state_size(&world);
        world.change_leader();
        world.run_for(1_000);
        (accepted, state_size(&world))
    });

    let [(hourly, hourly_restored), (yearly, yearly_restored)] = sizes;
    assert!(
        yearly < hourly + 100,
        "{yearly} bytes, {hourly} for an hour"
    );
    assert!(
        yearly_restored < hourly_restored + 100,
        "{yearly_restored} bytes, {hourly_restored} for an hour"
    );
}

// Guards against a row that is refused by the store once thousands of occurrences have ended, with
// which every commit of the service is refused.
#[test]
fn the_row_of_a_job_does_not_grow_with_its_age() {
    let mut world = World::new(2, 2);
    let submitted = repeating(vec![step(1, 100, 10, &[])], schedule(6_000, 10));
    world.submit(&job(1), &submitted);

    world.run_for(80_000);

    assert_eq!(world.starts, 6_000);
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    let bytes = world.largest_row_bytes;
    assert!(bytes < 8_192, "{bytes} bytes");
    assert_eq!(world.violations, Violations::default());
}

// Guards against a round that begins the whole past of a job, with all of its units.
#[test]
fn occurrences_that_are_due_at_once_begin_as_they_can_be_placed() {
    let mut world = World::new(3, 2);
    let mut overdue = schedule(20_000, 0);
    overdue.first_ms = 1;
    world.submit(&job(1), &repeating(vec![step(2, 1_000, 200, &[])], overdue));

    let ended = quick_jobs_ended(&mut world, 20, 10_000);

    let waiting = world.pool.waiting_count();
    assert!(waiting <= 512, "{waiting} units wait");
    assert!(world.starts > 400, "{} starts", world.starts);
    assert_eq!(ended, 20);
    assert_eq!(world.violations, Violations::default());
}

// Guards against rows that outgrow the store's limit with the occurrences that run at once.
#[test]
fn only_as_many_occurrences_run_at_once_as_the_row_holds() {
    let mut world = World::new(4, 60);
    let overlapping = schedule(100_000, 1);
    world.submit(
        &job(1),
        &repeating(vec![step(1, 10, 5_000, &[])], overlapping),
    );

    world.run_for(4_000);

    let bytes = world.largest_row_bytes;
    assert!(bytes < crate::world::MAX_ROW_BYTES, "{bytes} bytes");
    assert!(world.starts > 200, "{} starts", world.starts);
    assert_eq!(world.violations, Violations::default());
}

// Guards against sums of a caller's numbers that overflow.
#[test]
fn an_occurrence_beyond_the_largest_time_is_never_due() {
    for (first_ms, period_ms) in [(u64::MAX, u64::MAX), (u64::MAX - 1, 1), (1, u64::MAX)] {
        let mut world = World::new(5, 1);
        let odd = Schedule {
            first_ms,
            period_ms,
            count: u32::MAX,
        };
        let due_count = u32::from(first_ms == 1);

        world.submit(&job(1), &repeating(vec![step(1, 500, 100, &[])], odd));
        world.run_for(1_000);
        world.change_leader();
        world.run_for(1_000);

        assert_eq!(world.starts, due_count, "from {first_ms} every {period_ms}");
        assert_eq!(world.end_of(&job(1)), None);
        world.cancel(&job(1));
        world.run_for(1_000);
        assert_eq!(world.end_of(&job(1)), Some(JobState::Cancelled));
    }
}

#[test]
fn occurrences_that_overlap_and_end_out_of_order_run_once_each() {
    for row_format in [RowFormat::Listed, RowFormat::Ranges] {
        let mut world = World::new(6, 3);
        world.row_format = row_format;
        world.failing_runs_per_mille = 100;
        world.network.lost_answers_per_mille = 30;
        let steps = vec![step(2, 500, 300, &[]), step(1, 500, 200, &[0])];
        world.submit(&job(1), &repeating(steps, schedule(60, 50)));
        for _ in 0..8 {
            world.run_for(400);
            world.change_leader();
        }

        world.failing_runs_per_mille = 0;
        world.run_for(20_000);

        assert!(world.end_of(&job(1)).is_some(), "{row_format:?}");
        assert_eq!(world.violations, Violations::default(), "{row_format:?}");
    }
}

// Guards against occurrences that run again after an upgrade.
#[test]
fn occurrences_that_a_row_of_the_earlier_release_lists_as_ended_do_not_run_again() {
    let mut world = World::new(7, 1);
    let ended = OccurrenceRow {
        done: true,
        ..OccurrenceRow::default()
    };
    let row = AssignmentRow {
        occurrences: [0, 1, 3].map(|number| (number, ended.clone())).into(),
        begun: true,
        ..AssignmentRow::default()
    };
    let submitted = repeating(vec![step(1, 500, 100, &[])], schedule(5, 0));

    world.restore(&job(1), &submitted, row);
    world.run_for(3_000);

    assert_eq!(world.started_tasks.len(), 2, "{:?}", world.started_tasks);
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
}

// Guards against occurrences that a host of the earlier release runs again during an upgrade.
#[test]
fn rows_for_hosts_of_the_earlier_release_list_each_ended_occurrence() {
    let mut world = World::new(8, 1);
    world.row_format = RowFormat::Listed;
    let submitted = repeating(vec![step(1, 500, 50, &[])], schedule(100_000, 100));
    world.submit(&job(1), &submitted);

    world.run_for(5_000);

    let row = world.assignment_of(&job(1)).expect("a row");
    let listed = row.occurrences.values().filter(|row| row.done).count();
    assert!(listed > 20, "{listed} occurrences");
    assert!(row.ended.is_empty());
}

#[test]
fn a_delayed_job_keeps_its_place_in_the_schedule() {
    let mut world = World::new(9, 1);
    let mut long = step(1, 8_000, 4_000, &[]);
    long.saves_progress = false;
    world.submit(&job(1), &record(0, vec![long]));
    world.run_for(500);
    world.submit(
        &job(2),
        &repeating(vec![step(1, 500, 100, &[])], schedule(2_000, 1)),
    );
    world.run_for(3_000);
    let before = world.pool.waiting_count();

    world.run_for(60_000);

    assert!(before <= 256, "{before} units wait");
    assert_eq!(world.pool.waiting_count(), 0);
    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.pool.state(&job(2)), Some(JobState::Completed));
    assert!(world.pool.worker_list_age(TimeMs(world.now)).0 < 1_000);
}
