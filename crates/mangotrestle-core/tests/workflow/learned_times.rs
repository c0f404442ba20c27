//! Tests of learned run times where a leader sees a run's start or end late.

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::admission::{self, Admission};
use mangotrestle_core::workflow::pool::Learned;

use super::world::{World, job, record, step};

const WORKERS: u32 = 35;
const SHORT_MS: u64 = 700;
const LONG_MS: u64 = 4_500;

/// Starts jobs of four tasks, which take half of `run_ms` to one and a half times as long.
fn start_jobs(world: &mut World, first: u64, count: u64, run_ms: u64) {
    for number in first..first + count {
        world.submit(&job(number), &record(0, vec![step(4, 1_000, run_ms, &[])]));
        world.run_for(10);
    }
}

/// Returns a simulation whose leader has learned how long the tasks take.
fn world_with_learned_times(run_ms: u64) -> World {
    let mut world = World::new(5, WORKERS);
    world.run_for(300);
    start_jobs(&mut world, 0, 60, run_ms);
    world.run_for(2 * run_ms);
    world
}

fn expected_ms(learned: &Learned, run_ms: u64) -> u64 {
    let spec = step(4, 1_000, run_ms, &[]);
    learned.times.expected_ms("queue", &spec)
}

fn set_all_reachable(world: &mut World, reachable: bool) {
    for model in world.workers.values_mut() {
        model.reachable = reachable;
    }
}

/// Returns a simulation whose leader did not reach its workers for 3 s.
fn world_after_an_outage() -> World {
    let mut world = world_with_learned_times(SHORT_MS);
    start_jobs(&mut world, 100, 60, SHORT_MS);
    set_all_reachable(&mut world, false);
    world.run_for(3_000);
    set_all_reachable(&mut world, true);
    world.run_for(3_000);
    world
}

fn learned_beside_an_outage() -> Learned {
    world_after_an_outage().pool.learned()
}

#[test]
fn runs_whose_ends_are_reported_late_do_not_count_as_long_ones() {
    let learned = learned_beside_an_outage();

    let expected_ms = expected_ms(&learned, SHORT_MS);
    let longest_ms = SHORT_MS * 3 / 2;
    assert!(
        expected_ms <= longest_ms,
        "{expected_ms} ms, the longest run took {longest_ms}"
    );
}

#[test]
fn each_run_after_an_outage_of_the_workers_is_learned() {
    let mut world = world_after_an_outage();

    for number in 200..205 {
        let before = world.pool.learned();
        world.submit(
            &job(number),
            &record(0, vec![step(1, 1_000, SHORT_MS, &[])]),
        );
        world.run_for(2 * SHORT_MS);
        assert_ne!(world.pool.learned().times, before.times, "job {number}");
    }
}

#[test]
fn work_that_could_be_done_is_not_refused_after_an_outage_of_the_workers() {
    let mut world = World::new(6, WORKERS);
    world.run_for(300);
    world.pool.restore_learned(learned_beside_an_outage());
    // 280 cores take 1.5 s for this, and three objectives are 5.7 s.
    for number in 0..150 {
        world.submit(
            &job(number),
            &record(0, vec![step(4, 1_000, SHORT_MS, &[])]),
        );
    }

    let summary = world.pool.summary(TimeMs(world.now));
    let next = record(0, vec![step(4, 1_000, SHORT_MS, &[])]);
    let decision = admission::decide(&next, None, Some(&summary), 0);

    assert_eq!(decision, Admission::Accept, "waits {:?}", summary.wait_ms);
}

#[test]
fn runs_that_began_under_an_earlier_leader_do_not_count_as_short_ones() {
    let mut world = world_with_learned_times(LONG_MS);
    start_jobs(&mut world, 100, 60, LONG_MS);
    world.run_for(3_500);
    let learned = world.pool.learned();

    world.change_leader();
    world.pool.restore_learned(learned);
    world.run_for(2 * LONG_MS);

    let expected_ms = expected_ms(&world.pool.learned(), LONG_MS);
    let shortest_ms = LONG_MS / 2;
    assert!(
        expected_ms >= shortest_ms,
        "{expected_ms} ms, the shortest run took {shortest_ms}"
    );
}

#[test]
fn runs_on_workers_that_became_slow_do_not_make_all_runs_long() {
    let mut world = world_with_learned_times(SHORT_MS);
    for (number, model) in world.workers.values_mut().enumerate() {
        model.speed_percent = if number % 5 < 2 { 20 } else { 100 };
    }

    for round in 1..=7 {
        start_jobs(&mut world, round * 100, 20, SHORT_MS);
        world.run_for(800);
    }

    let expected_ms = expected_ms(&world.pool.learned(), SHORT_MS);
    let longest_ms = SHORT_MS * 3 / 2;
    assert!(
        expected_ms <= longest_ms,
        "{expected_ms} ms, a run on a sound worker takes up to {longest_ms}"
    );
}
