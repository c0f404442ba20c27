//! Tests of the replicas of services: racks, warm windows, extra replicas for another zone,
//! draining.

use std::collections::BTreeMap;
use std::sync::Arc;

use mangotrestle_core::{scheduler, time};

use super::fixture::{
    accepted, capacity, decide_all, job_id, listing, service, starts, stops, worker_id,
};

const NOW: time::TimeMs = time::TimeMs(0);
const HOUR_MS: u64 = 3_600_000;

/// A pool of twelve workers, four on each rack.
fn pool(config: scheduler::SchedulerConfig) -> scheduler::Scheduler {
    let mut pool = scheduler::Scheduler::new(config, 1);
    for number in 0..12 {
        let rack = format!("rack-{}", number / 4);
        let name = format!("worker-{number}");
        pool.handle(NOW, listing(&name, &rack, capacity(16, 64, 0), Vec::new()));
    }
    pool
}

fn config_with_warm_window(minimum: u32) -> scheduler::SchedulerConfig {
    let window = scheduler::WarmWindow {
        job: job_id("lane"),
        opens_ms: time::SpanMs(7 * HOUR_MS),
        closes_ms: time::SpanMs(8 * HOUR_MS),
        minimum,
    };
    scheduler::SchedulerConfig::builder()
        .warm_window(window)
        .build()
}

fn time_of_day(ms: u64) -> scheduler::SchedulerEvent {
    scheduler::SchedulerEvent::TimeOfDay {
        time_of_day_ms: time::SpanMs(ms),
    }
}

#[test]
fn replicas_are_spread_over_racks() {
    let mut pool = pool(scheduler::SchedulerConfig::default());
    pool.handle(NOW, accepted(service("web", 6), 1));

    let started = starts(&decide_all(&mut pool, 0));

    let mut racks: BTreeMap<u32, u32> = BTreeMap::new();
    for start in started {
        let number: u32 = start.worker["worker-".len()..].parse().expect("a number");
        *racks.entry(number / 4).or_default() += 1;
    }
    assert_eq!(racks.values().copied().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn replicas_for_a_warm_window_start_earlier_by_the_measured_start_time() {
    let mut pool = pool(config_with_warm_window(4));
    pool.handle(NOW, time_of_day(6 * HOUR_MS));
    pool.handle(NOW, accepted(service("lane", 1), 1));
    let first = starts(&decide_all(&mut pool, 0));
    let started = scheduler::SchedulerEvent::RunStarted {
        run: first[0].run.clone(),
    };
    // The service takes 30 s to start, and 5 s are added for its time in the queue.
    pool.handle(time::TimeMs(30_000), started);

    let too_early = starts(&decide_all(&mut pool, HOUR_MS - 37_000)).len();
    let ahead = starts(&decide_all(&mut pool, HOUR_MS - 34_000)).len();
    let closed = stops(&decide_all(&mut pool, 2 * HOUR_MS + 2_000));

    assert_eq!((first.len(), too_early, ahead), (1, 0, 3));
    assert_eq!(closed.len(), 3);
    assert!(
        closed
            .iter()
            .all(|stop| stop.reason == scheduler::StopReason::Surplus)
    );
    assert!(closed.iter().all(|stop| stop.run.task.index > 0));
}

#[test]
fn a_warm_window_removed_from_the_settings_closes() {
    let mut pool = pool(config_with_warm_window(4));
    pool.handle(NOW, time_of_day(7 * HOUR_MS));
    pool.handle(NOW, accepted(service("lane", 1), 1));
    let open = starts(&decide_all(&mut pool, 0)).len();

    let config = Box::new(scheduler::SchedulerConfig::default());
    pool.handle(NOW, scheduler::SchedulerEvent::ConfigChanged(config));
    let closed = stops(&decide_all(&mut pool, 0)).len();

    assert_eq!((open, closed), (4, 3));
}

#[test]
fn extra_replicas_use_their_own_indices_and_stop_when_not_wanted() {
    let mut pool = pool(scheduler::SchedulerConfig::default());
    let spec = Arc::new(service("web", 6));
    let extra = |count| scheduler::SchedulerEvent::ExtraReplicas {
        spec: Arc::clone(&spec),
        first_index: 20_000,
        count,
    };

    pool.handle(NOW, extra(2));
    pool.handle(NOW, extra(2));
    let started = starts(&decide_all(&mut pool, 0));
    pool.handle(NOW, extra(0));
    let stopped = stops(&decide_all(&mut pool, 0));

    let indices: Vec<u32> = started.iter().map(|start| start.run.task.index).collect();
    assert_eq!(indices, [20_000, 20_001]);
    assert_eq!(stopped.len(), 2);
}

#[test]
fn a_leaving_worker_moves_one_replica_of_a_service_at_a_time() {
    let mut pool = scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), 1);
    pool.handle(
        NOW,
        listing("worker-0", "rack-0", capacity(16, 64, 0), Vec::new()),
    );
    pool.handle(NOW, accepted(service("web", 2), 1));
    decide_all(&mut pool, 0);

    let worker = worker_id("worker-0");
    let leaving = scheduler::SchedulerEvent::WorkerLeaving {
        worker,
        leaving: true,
    };
    pool.handle(NOW, leaving);
    let first = stops(&decide_all(&mut pool, 0)).len();
    let second = stops(&decide_all(&mut pool, 1_000)).len();

    assert_eq!((first, second), (1, 1));
}
