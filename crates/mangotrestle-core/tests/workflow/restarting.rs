//! Tests of workers that start again under their identifier: they then hold and know nothing of
//! before, and their numbers and their clock start anew.

use mangotrestle_core::id::WorkerId;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::record::{AssignmentRow, JobState, OccurrenceRow, UnitRow};
use mangotrestle_core::workflow::worker::Worker;

use super::world::{Violations, World, job, record, step, worker};

/// Time until the platform lists a worker's new life: one heartbeat.
const LISTING_DELAY_MS: u64 = 1_500;

/// Returns a world of one worker whose first life has listed several ends.
fn world_with_earlier_ends(seed: u64) -> (World, WorkerId) {
    let mut world = World::new(seed, 1);
    world.submit(&job(1), &record(0, vec![step(8, 1_000, 200, &[])]));
    world.run_for(2_000);
    (world, worker("w-0"))
}

#[test]
fn a_run_that_ended_as_done_in_a_new_life_is_not_started_again() {
    let (mut world, id) = world_with_earlier_ends(80);
    world.restart(&id, LISTING_DELAY_MS);

    world.submit(&job(2), &record(0, vec![step(4, 1_000, 300, &[])]));
    world.run_for(10_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.starts, 8 + 4);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn runs_of_an_earlier_life_start_again_in_the_new_one() {
    let (mut world, id) = world_with_earlier_ends(81);
    world.submit(&job(2), &record(0, vec![step(4, 1_000, 1_500, &[])]));
    world.run_for(500);

    world.restart(&id, LISTING_DELAY_MS);
    world.run_for(10_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_start_for_an_earlier_life_that_arrives_late_begins_no_second_run() {
    for seed in 1..=20 {
        let mut world = World::new(seed, 3);
        world.submit(&job(1), &record(0, vec![step(8, 1_000, 200, &[])]));
        world.run_for(2_000);
        world.network.late_orders_per_mille = 500;
        world.submit(&job(2), &record(0, vec![step(8, 1_000, 4_000, &[])]));
        world.run_for(100);
        for name in ["w-0", "w-1"] {
            world.restart(&worker(name), LISTING_DELAY_MS);
        }

        world.network.late_orders_per_mille = 0;
        world.run_for(40_000);

        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        assert_eq!(
            world.end_of(&job(2)),
            Some(JobState::Completed),
            "seed {seed}"
        );
    }
}

#[test]
fn a_worker_that_was_taken_for_ended_gets_work_once_it_has_started_again() {
    let (mut world, id) = world_with_earlier_ends(82);
    world.submit(&job(2), &record(0, vec![step(2, 1_000, 1_500, &[])]));
    world.run_for(500);

    world.end_as_unlisted(&id, world.now);
    world.restart(&id, LISTING_DELAY_MS);
    world.run_for(10_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_list_of_machines_from_before_a_worker_started_again_does_not_end_its_new_life() {
    let (mut world, id) = world_with_earlier_ends(85);
    let asked_at = world.now;
    world.restart(&id, 0);
    world.submit(&job(2), &record(0, vec![step(2, 1_000, 1_500, &[])]));
    world.run_for(500);

    world.end_as_unlisted(&id, asked_at);
    world.run_for(5_000);

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.starts, 8 + 2);
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_lease_of_a_new_life_is_judged_by_its_own_clock() {
    let mut world = World::new(83, 2);
    world.submit(&job(1), &record(0, vec![step(8, 1_000, 200, &[])]));
    world.run_for(20_000);
    for name in ["w-0", "w-1"] {
        world.restart(&worker(name), LISTING_DELAY_MS);
    }
    world.run_for(3_000);
    world.submit(&job(2), &record(0, vec![step(2, 1_000, 20_000, &[])]));
    world.run_for(500);
    let starts_before_cut = world.starts;

    for name in ["w-0", "w-1"] {
        world.set_reachable(&worker(name), false);
    }
    world.run_for(8_000);
    let starts_within_lease = world.starts;
    for name in ["w-0", "w-1"] {
        world.set_reachable(&worker(name), true);
    }
    world.run_for(70_000);

    assert_eq!(starts_within_lease, starts_before_cut);
    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_new_leader_does_not_take_a_new_life_for_the_one_that_a_row_names() {
    for seed in 1..=10 {
        let mut world = World::new(seed, 2);
        world.submit(&job(1), &record(0, vec![step(6, 1_000, 1_500, &[])]));
        world.run_for(400);

        world.restart(&worker("w-0"), LISTING_DELAY_MS);
        world.change_leader();
        world.run_for(20_000);

        assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
        assert_eq!(world.violations, Violations::default(), "seed {seed}");
    }
}

#[test]
fn a_task_that_crashes_workers_which_start_again_under_their_identifier_is_given_up() {
    let mut world = World::new(84, 4);
    world.crashed_workers_keep_their_identifier = true;
    let id = job(1);
    world.deadly_tasks.insert(format!("{id}.0.0.0"));
    world.submit(&id, &record(0, vec![step(2, 1_000, 500, &[])]));

    world.run_for(30_000);

    assert_eq!(world.end_of(&id), Some(JobState::Failed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn runs_of_two_lives_of_a_worker_that_is_gone_start_elsewhere() {
    for born_ms in [[5, 9], [9, 5]] {
        let mut world = World::new(87, 1);
        let units = born_ms.map(|born_ms| UnitRow {
            run: 1,
            workers: vec![Some(worker("gone"))],
            born_ms: vec![born_ms],
            ..UnitRow::default()
        });
        let occurrence = OccurrenceRow {
            steps: vec![units.to_vec()],
            ..OccurrenceRow::default()
        };
        let row = AssignmentRow {
            occurrences: [(0, occurrence)].into(),
            ..AssignmentRow::default()
        };

        world.restore(&job(1), &record(0, vec![step(2, 1_000, 300, &[])]), row);
        world.run_for(40_000);

        assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
        assert_eq!(world.violations, Violations::default());
    }
}

#[test]
fn ends_are_acknowledged_only_shortly_after_an_answered_poll() {
    let world = World::new(86, 1);
    let entry = world.workers[&worker("w-0")].entry.clone();
    let now = TimeMs(world.now);
    let mut polled = Worker::new(now, entry, 0);
    polled.received_end = 5;
    polled.record_durable_ends(5);

    let first = polled.begin_poll(now);
    let after_no_answer = polled.begin_poll(now + SpanMs(100));
    polled.record_poll_answer(now + SpanMs(110), now + SpanMs(100));
    let long_after_an_answer = polled.begin_poll(now + SpanMs(900));
    polled.record_poll_answer(now + SpanMs(910), now + SpanMs(900));
    let shortly_after_an_answer = polled.begin_poll(now + SpanMs(950));
    polled.record_poll_answer(now + SpanMs(960), now + SpanMs(950));
    let once_acknowledged = polled.begin_poll(now + SpanMs(1_000));

    assert_eq!([first, after_no_answer, long_after_an_answer], [0; 3]);
    assert_eq!(shortly_after_an_answer, 5);
    assert_eq!(once_acknowledged, 0);
}

/// Number of seeds of the load with restarts.
const LOAD_SEEDS: u64 = 24;

#[test]
fn no_task_runs_twice_while_workers_start_again_under_load_late_orders_and_changes_of_leader() {
    for seed in 1..=LOAD_SEEDS {
        let mut world = World::new(seed, 6);
        world.network.lost_answers_per_mille = 30;
        world.network.late_orders_per_mille = 30;
        for number in 0..60 {
            let mut steps = vec![step(3, 1_000, 400, &[]), step(2, 1_000, 300, &[0])];
            steps[0].gang = number % 5 == 0;
            world.submit(&job(number), &record(0, steps));
            let span_ms = 50 + world.random_below(250);
            world.run_for(span_ms);
            if world.random_below(3) == 0 {
                let id = worker(&format!("w-{}", world.random_below(6)));
                let listing_delay_ms = world.random_below(LISTING_DELAY_MS);
                world.restart(&id, listing_delay_ms);
            }
            if number % 13 == 12 {
                world.change_leader();
            }
        }
        world.network = super::world::Network::default();

        world.run_for(60_000);

        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::new(), "seed {seed}");
    }
}
