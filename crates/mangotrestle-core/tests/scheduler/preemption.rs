//! Tests of preemption for urgent work in a full pool.

use mangotrestle_core::{job, scheduler, task, time};

use super::fixture::{accepted, batch, capacity, decide_all, ended, listing, starts, stops};

fn urgent(name: &str) -> job::JobSpec {
    job::JobSpec {
        urgency: job::Urgency::Urgent,
        ..batch(name, 1)
    }
}

/// Returns a pool with one worker of four cores, and the batch runs that fill it, started one
/// second apart.
fn full_pool(preemptible: bool) -> (scheduler::Scheduler, Vec<task::RunId>) {
    let mut pool = scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), 1);
    let worker = listing("worker-0", "rack-0", capacity(4, 64, 0), Vec::new());
    pool.handle(time::TimeMs(0), worker);
    let mut runs = Vec::new();
    for number in 0..4_u64 {
        let now_ms = number * 1_000;
        let mut spec = batch(&format!("batch-{number}"), 1);
        spec.preemptible = preemptible;
        pool.handle(time::TimeMs(now_ms), accepted(spec, number));
        runs.extend(
            starts(&decide_all(&mut pool, now_ms))
                .into_iter()
                .map(|s| s.run),
        );
    }
    (pool, runs)
}

#[test]
fn urgent_work_stops_the_run_that_loses_least_work() {
    let (mut pool, runs) = full_pool(true);
    let now = time::TimeMs(10_000);
    pool.handle(
        now,
        scheduler::SchedulerEvent::Checkpointed {
            run: runs[1].clone(),
        },
    );
    pool.handle(now, accepted(urgent("alarm"), 10));

    let stopped = stops(&decide_all(&mut pool, 10_000));
    pool.handle(now, ended(&stopped[0].run, task::RunOutcome::Stopped));
    let started = starts(&decide_all(&mut pool, 10_000));

    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0].run, runs[1]);
    assert!(stopped[0].checkpoint);
    assert_eq!(started[0].run.task.job.as_str(), "alarm");
    assert_eq!(started[0].path, scheduler::PlacementPath::Preemption);
}

#[test]
fn freed_capacity_is_held_for_the_urgent_task() {
    let (mut pool, _) = full_pool(true);
    let now = time::TimeMs(10_000);
    pool.handle(now, accepted(urgent("alarm"), 10));
    let stopped = stops(&decide_all(&mut pool, 10_000));
    pool.handle(now, accepted(urgent("second-alarm"), 11));
    let second = stops(&decide_all(&mut pool, 10_000));

    pool.handle(now, ended(&stopped[0].run, task::RunOutcome::Stopped));
    let started = starts(&decide_all(&mut pool, 10_000));

    assert_eq!(second.len(), 1);
    assert_ne!(second[0].run, stopped[0].run);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].run.task.job.as_str(), "alarm");
}

#[test]
fn non_preemptible_work_is_not_stopped() {
    let (mut pool, _) = full_pool(false);
    pool.handle(time::TimeMs(10_000), accepted(urgent("alarm"), 10));

    let decisions = decide_all(&mut pool, 10_000);

    assert!(stops(&decisions).is_empty());
    assert!(starts(&decisions).is_empty());
}

#[test]
fn a_task_is_not_preempted_more_often_than_the_limit() {
    let config = scheduler::SchedulerConfig::builder()
        .max_preemptions_per_task(1)
        .build();
    let mut pool = scheduler::Scheduler::new(config, 1);
    let now = time::TimeMs(0);
    pool.handle(
        now,
        listing("worker-0", "rack-0", capacity(1, 64, 0), Vec::new()),
    );
    let mut patient = batch("patient", 1);
    patient.preemptible = true;
    pool.handle(now, accepted(patient, 1));
    decide_all(&mut pool, 0);
    pool.handle(now, accepted(urgent("first"), 2));
    let stopped = stops(&decide_all(&mut pool, 0));
    pool.handle(now, ended(&stopped[0].run, task::RunOutcome::Stopped));
    let first = starts(&decide_all(&mut pool, 0));
    pool.handle(now, ended(&first[0].run, task::RunOutcome::Succeeded));
    let resumed = starts(&decide_all(&mut pool, 0));

    pool.handle(now, accepted(urgent("second"), 3));
    let second = stops(&decide_all(&mut pool, 0));

    assert_eq!(resumed[0].run.task.job.as_str(), "patient");
    assert!(second.is_empty());
}

#[test]
fn an_urgent_task_starts_elsewhere_if_capacity_is_not_freed_in_time() {
    let (mut pool, _) = full_pool(true);
    pool.handle(time::TimeMs(10_000), accepted(urgent("alarm"), 10));
    decide_all(&mut pool, 10_000);
    let worker = listing("worker-1", "rack-0", capacity(4, 64, 0), Vec::new());
    pool.handle(time::TimeMs(11_000), worker);

    let started = starts(&decide_all(&mut pool, 15_000));

    assert_eq!(started[0].run.task.job.as_str(), "alarm");
    assert_eq!(started[0].worker, "worker-1");
}
