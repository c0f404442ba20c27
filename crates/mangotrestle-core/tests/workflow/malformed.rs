//! Tests of messages with absurd contents: they must not take the leader down, nor hold up other work.

use std::sync::Arc;

use mangotrestle_core::resources::Resources;
use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::record::JobState;

use super::world::{Violations, World, entry, job, record, step};

/// The greatest amount of each resource.
const MAX: Resources = Resources {
    cpu_millicores: u64::MAX,
    memory_mib: u64::MAX,
    accelerators: u32::MAX,
    slots: u32::MAX,
};

#[test]
fn jobs_with_absurd_needs_and_estimates_do_not_hold_up_others() {
    let mut world = World::new(1, 2);
    let mut absurd = step(1_000, 1_000, u64::MAX, &[]);
    absurd.need = MAX;
    let mut gang = absurd.clone();
    gang.gang = true;
    let mut of_a_team = record(0, vec![absurd, gang]).as_ref().clone();
    of_a_team.team = Some("red".into());
    world.submit(&job(1), &Arc::new(of_a_team));
    world.submit(&job(2), &record(1, vec![step(2, 1_000, 200, &[])]));

    world.run_for(1_500);
    let summary = world.pool.summary(TimeMs(world.now));

    assert_eq!(world.end_of(&job(2)), Some(JobState::Completed));
    assert!(summary.wait_ms.contains_key(&0));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_worker_of_absurd_capacity_does_not_take_the_leader_down() {
    let mut world = World::new(2, 1);
    let mut absurd = entry("w-absurd", "zone", "rack");
    absurd.capacity = MAX;
    world.add_worker_entry(absurd.clone());
    absurd.worker = super::world::worker("w-absurd-2");
    world.add_worker_entry(absurd);

    world.submit(&job(1), &record(0, vec![step(4, 1_000, 200, &[])]));
    world.run_for(1_500);
    let summary = world.pool.summary(TimeMs(world.now));

    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(summary.workers, Some(3));
}

#[test]
fn a_worker_that_has_never_answered_does_not_shorten_the_expected_waits() {
    let mut world = World::new(3, 2);
    let mut long = step(64, 8_000, 60_000, &[]);
    long.need.memory_mib = 0;
    world.submit(&job(1), &record(0, vec![long]));
    world.run_for(2_000);
    let wait_before = world.pool.summary(TimeMs(world.now)).wait_ms;

    let mut phantom = entry("w-phantom", "zone", "rack");
    phantom.capacity.cpu_millicores = 8_192_000;
    let id = phantom.worker.clone();
    world.add_worker_entry(phantom);
    world.workers.get_mut(&id).expect("the worker").reachable = false;
    world.run_for(4_000);
    let summary = world.pool.summary(TimeMs(world.now));

    assert!(wait_before[&0] > 0);
    assert_eq!(summary.wait_ms, wait_before);
    assert_eq!(summary.workers, Some(2));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_worker_gets_work_again_after_an_entry_with_a_birth_far_ahead() {
    let mut world = World::new(4, 1);
    world.run_for(1_000);
    let good = world.workers.values().next().expect("a worker");
    let good = good.entry.clone();
    let mut odd = good.clone();
    odd.born_ms = Some(1 << 53);

    world.pool.worker_listed(TimeMs(world.now), odd);
    world.run_for(1_000);
    world.pool.worker_listed(TimeMs(world.now), good);
    world.submit(&job(1), &record(0, vec![step(2, 1_000, 200, &[])]));
    world.run_for(5_000);

    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}
