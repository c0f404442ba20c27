//! Tests that no run starts on a worker that drains, also if the leader could not know it.

use mangotrestle_core::time::TimeMs;

use super::world::{MAX_LIST_AGE_MS, World, job, record, step, worker};

/// Lists the only worker as draining.
fn drain_only_worker(world: &mut World) {
    let mut entry = world.workers[&worker("w-0")].entry.clone();
    entry.draining = true;
    world.pool.worker_listed(TimeMs(world.now), entry);
}

#[test]
fn no_run_starts_while_the_list_of_workers_is_too_old() {
    let mut world = World::new(1, 1);
    world.run_for(200);
    world.network.list_reads_fail = true;
    world.run_for(MAX_LIST_AGE_MS);

    world.submit(&job(1), &record(0, vec![step(1, 1_000, 300, &[])]));
    world.run_for(1_000);
    let starts_before_read = world.starts;
    world.network.list_reads_fail = false;
    world.run_for(500);

    assert_eq!(starts_before_read, 0);
    assert_eq!(world.starts, 1);
}

#[test]
fn an_unanswered_start_is_not_sent_again_to_a_worker_that_drains() {
    let mut world = World::new(2, 1);
    world.run_for(200);
    world.set_reachable(&worker("w-0"), false);
    world.submit(&job(1), &record(0, vec![step(1, 1_000, 300, &[])]));
    world.run_for(60);

    world.set_reachable(&worker("w-0"), true);
    drain_only_worker(&mut world);
    world.run_for(2_000);

    assert_eq!(world.starts, 0);
}
