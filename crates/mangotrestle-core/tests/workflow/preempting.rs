//! Tests of which runs are preempted for urgent work.

use std::sync::Arc;

use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{JobRecord, StepSpec};

use super::world::{Violations, World, job, record, step, worker};

/// Time within which urgent work must start, by the design.
const URGENT_START_MS: u64 = 1_100;

/// A job of low urgency that is accepted now and has much slack.
fn job_with_slack(world: &World, spec: StepSpec) -> Arc<JobRecord> {
    let mut slack_job = record(2, vec![spec]).as_ref().clone();
    slack_job.accepted_ms = world.now;
    slack_job.policy.stretch = 5.0;
    Arc::new(slack_job)
}

/// An urgent job of one task that needs a whole worker and is accepted now.
fn urgent_job(world: &World) -> Arc<JobRecord> {
    let mut urgent = record(0, vec![step(1, 8_000, 1_000, &[])]).as_ref().clone();
    urgent.accepted_ms = world.now;
    urgent.policy.target_latency_ms = 2_000;
    Arc::new(urgent)
}

fn urgent_job_starts_in_time(world: &mut World) -> bool {
    let record = urgent_job(world);
    world.submit(&job(100), &record);
    world.run_for(URGENT_START_MS);
    let running = world.running_on(&worker("w-0"));
    running
        .iter()
        .any(|name| name.starts_with(job(100).as_str()))
}

#[test]
fn urgent_work_starts_in_time_and_preempted_work_continues_from_its_checkpoint() {
    let mut world = World::new(1, 1);
    let low_urgency_job = job_with_slack(&world, step(4, 2_000, 5_000, &[]));
    world.submit(&job(1), &low_urgency_job);
    world.run_for(1_000);

    assert!(urgent_job_starts_in_time(&mut world));
    world.run_for(9_000);

    assert_eq!(world.end_of(&job(100)), Some(JobState::Completed));
    assert_eq!(world.end_of(&job(1)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn no_more_runs_are_preempted_than_the_urgent_work_needs() {
    let mut world = World::new(2, 3);
    let low_urgency_job = job_with_slack(&world, step(12, 2_000, 5_000, &[]));
    world.submit(&job(1), &low_urgency_job);
    world.run_for(1_000);

    let record = urgent_job(&world);
    world.submit(&job(100), &record);
    world.run_for(URGENT_START_MS);

    let untouched = ["w-0", "w-1", "w-2"]
        .map(|name| world.running_on(&worker(name)))
        .into_iter()
        .flatten()
        .filter(|name| name.starts_with(job(1).as_str()))
        .count();
    assert_eq!(untouched, 8);
}

#[test]
fn persistent_tasks_and_tasks_without_checkpoints_are_not_preempted() {
    for persistent in [true, false] {
        let mut world = World::new(3, 1);
        let mut spec = step(4, 2_000, 5_000, &[]);
        spec.persistent = persistent;
        spec.saves_progress = persistent;
        let low_urgency_job = job_with_slack(&world, spec);
        world.submit(&job(1), &low_urgency_job);
        world.run_for(1_000);

        assert!(
            !urgent_job_starts_in_time(&mut world),
            "persistent: {persistent}"
        );

        assert_eq!(world.running_on(&worker("w-0")).len(), 4);
    }
}
