//! Tests of gangs: starting as a whole, reservation and backfill.

use mangotrestle_core::{job, scheduler, task, time};

use super::fixture::{
    accepted, batch, capacity, decide_all, ended, gang, job_id, listing, starts, stops,
};

const NOW: time::TimeMs = time::TimeMs(0);

/// A pool of two workers with eight cores each.
fn pool() -> scheduler::Scheduler {
    let mut pool = scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), 1);
    for name in ["worker-0", "worker-1"] {
        pool.handle(NOW, listing(name, "rack-0", capacity(8, 64, 0), Vec::new()));
    }
    pool
}

fn batch_lasting(name: &str, tasks: u32, seconds: u64) -> job::JobSpec {
    job::JobSpec {
        run_time_ms: Some(time::SpanMs::from_secs(seconds)),
        ..batch(name, tasks)
    }
}

#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut pool = pool();
    pool.handle(NOW, accepted(batch_lasting("filler", 1, 60), 1));
    let occupying_run = starts(&decide_all(&mut pool, 0))[0].run.clone();
    pool.handle(NOW, accepted(gang("gang", 16), 2));

    let before = starts(&decide_all(&mut pool, 0)).len();
    pool.handle(NOW, ended(&occupying_run, task::RunOutcome::Succeeded));
    let after = starts(&decide_all(&mut pool, 0)).len();

    assert_eq!((before, after), (0, 16));
}

#[test]
fn only_work_that_ends_in_time_is_backfilled_onto_reserved_workers() {
    let mut pool = pool();
    pool.handle(NOW, accepted(batch_lasting("filler", 1, 60), 1));
    decide_all(&mut pool, 0);
    pool.handle(NOW, accepted(gang("gang", 16), 2));
    decide_all(&mut pool, 0);
    pool.handle(NOW, accepted(batch_lasting("long", 1, 600), 3));
    pool.handle(NOW, accepted(batch_lasting("short", 1, 30), 4));

    let started = starts(&decide_all(&mut pool, 0));

    let names: Vec<String> = started
        .iter()
        .map(|start| start.run.task.job.to_string())
        .collect();
    assert_eq!(names, ["short"]);
    assert_eq!(started[0].path, scheduler::PlacementPath::Backfill);
}

#[test]
fn a_cancelled_gang_releases_its_reservation() {
    let mut pool = pool();
    pool.handle(NOW, accepted(batch_lasting("filler", 1, 60), 1));
    decide_all(&mut pool, 0);
    pool.handle(NOW, accepted(gang("gang", 16), 2));
    pool.handle(NOW, accepted(batch_lasting("long", 1, 600), 3));
    let before = starts(&decide_all(&mut pool, 0)).len();
    let job = job_id("gang");

    pool.handle(NOW, scheduler::SchedulerEvent::JobCancelled { job });
    let after = starts(&decide_all(&mut pool, 0)).len();

    assert_eq!((before, after), (0, 1));
}

#[test]
fn a_gang_that_loses_a_task_stops_and_starts_again_as_a_whole() {
    let mut pool = pool();
    pool.handle(NOW, accepted(gang("gang", 4), 1));
    let runs = starts(&decide_all(&mut pool, 0));

    pool.handle(NOW, ended(&runs[0].run, task::RunOutcome::Lost));
    let stopped = stops(&decide_all(&mut pool, 0));
    for stop in &stopped {
        assert_eq!(stop.reason, scheduler::StopReason::GangBroken);
        pool.handle(NOW, ended(&stop.run, task::RunOutcome::Stopped));
    }
    let again = starts(&decide_all(&mut pool, 0));

    assert_eq!(stopped.len(), 3);
    assert_eq!(again.len(), 4);
    assert!(again.iter().all(|start| start.run.attempt == 2));
}

#[test]
fn a_gang_is_not_starved_by_a_stream_of_small_tasks() {
    let mut pool = pool();
    pool.handle(NOW, accepted(batch_lasting("first", 16, 20), 1));
    let mut running = starts(&decide_all(&mut pool, 0));
    pool.handle(NOW, accepted(gang("gang", 16), 2));
    pool.handle(NOW, accepted(batch_lasting("stream", 1_000, 20), 3));

    let mut gang_started_ms = None;
    for now_ms in (0..120_000_u64).step_by(1_000) {
        let at = time::TimeMs(now_ms);
        if now_ms % 20_000 == 0 && now_ms > 0 {
            for start in running.drain(..) {
                pool.handle(at, ended(&start.run, task::RunOutcome::Succeeded));
            }
        }
        let started = starts(&decide_all(&mut pool, now_ms));
        if started
            .iter()
            .any(|start| start.run.task.job.as_str() == "gang")
        {
            gang_started_ms.get_or_insert(now_ms);
        }
        running.extend(started);
    }

    assert_eq!(gang_started_ms, Some(20_000));
}
