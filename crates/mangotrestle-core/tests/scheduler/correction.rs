//! Tests of the correction of declared sizes by measured usage.

use mangotrestle_core::{resources, scheduler, task, time};

use super::fixture::{
    accepted, amount, batch, capacity, decide_all, ended, listing, starts, stops,
};

fn pool(workers: u32) -> scheduler::Scheduler {
    let mut pool = scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), 1);
    for number in 0..workers {
        let name = format!("worker-{number}");
        let event = listing(&name, "rack-0", capacity(8, 8, 0), Vec::new());
        pool.handle(time::TimeMs(0), event);
    }
    pool
}

fn usage(run: &task::RunId, used: resources::Resources) -> scheduler::SchedulerEvent {
    scheduler::SchedulerEvent::Usage {
        run: run.clone(),
        used,
    }
}

fn throttles(decisions: &[scheduler::Decision]) -> Vec<Option<u64>> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            scheduler::Decision::Throttle { cpu_millicores, .. } => Some(*cpu_millicores),
            _ => None,
        })
        .collect()
}

#[test]
fn capacity_measured_as_used_is_not_allocated_to_another_run() {
    let mut pool = pool(1);
    pool.handle(time::TimeMs(0), accepted(batch("small", 1), 1));
    let run = starts(&decide_all(&mut pool, 0))[0].run.clone();
    pool.handle(time::TimeMs(1_000), usage(&run, amount(6, 6, 0)));
    let mut next = batch("next", 1);
    next.need = amount(4, 4, 0);
    pool.handle(time::TimeMs(1_000), accepted(next, 2));

    let while_in_use = starts(&decide_all(&mut pool, 1_000)).len();
    pool.handle(time::TimeMs(2_000), usage(&run, amount(1, 1, 0)));
    let afterwards = starts(&decide_all(&mut pool, 2_000)).len();

    assert_eq!((while_in_use, afterwards), (0, 1));
}

#[test]
fn jobs_start_with_the_size_measured_in_their_family() {
    let mut pool = pool(2);
    pool.handle(time::TimeMs(0), accepted(batch("nightly-2026-12-01", 2), 1));
    for start in starts(&decide_all(&mut pool, 0)) {
        pool.handle(time::TimeMs(1_000), usage(&start.run, amount(3, 2, 0)));
        pool.handle(
            time::TimeMs(2_000),
            ended(&start.run, task::RunOutcome::Succeeded),
        );
    }

    pool.handle(
        time::TimeMs(3_000),
        accepted(batch("nightly-2026-12-02", 1), 2),
    );
    let decisions = decide_all(&mut pool, 3_000);

    let needs: Vec<resources::Resources> = decisions
        .iter()
        .filter_map(|decision| match decision {
            scheduler::Decision::Start { need, .. } => Some(*need),
            _ => None,
        })
        .collect();
    assert_eq!(needs, [amount(3, 2, 0)]);
}

#[test]
fn cpu_overload_throttles_runs_first_and_then_moves_one() {
    let mut pool = pool(1);
    pool.handle(time::TimeMs(0), accepted(batch("a", 1), 1));
    pool.handle(time::TimeMs(0), accepted(batch("b", 1), 2));
    let runs = starts(&decide_all(&mut pool, 0));
    pool.handle(time::TimeMs(1_000), usage(&runs[0].run, amount(7, 1, 0)));
    pool.handle(time::TimeMs(1_000), usage(&runs[1].run, amount(4, 1, 0)));

    let first = decide_all(&mut pool, 1_000);
    let second = decide_all(&mut pool, 11_000);

    assert_eq!(throttles(&first), [Some(1_000), Some(1_000)]);
    assert!(stops(&first).is_empty());
    assert_eq!(stops(&second).len(), 1);
    assert_eq!(stops(&second)[0].run, runs[0].run);
    assert_eq!(stops(&second)[0].reason, scheduler::StopReason::Oversized);
    assert!(stops(&second)[0].checkpoint);
}

#[test]
fn no_run_is_moved_if_throttling_suffices() {
    let mut pool = pool(1);
    pool.handle(time::TimeMs(0), accepted(batch("a", 2), 1));
    let runs = starts(&decide_all(&mut pool, 0));
    for start in &runs {
        pool.handle(time::TimeMs(1_000), usage(&start.run, amount(6, 1, 0)));
    }
    decide_all(&mut pool, 1_000);

    for start in &runs {
        pool.handle(time::TimeMs(2_000), usage(&start.run, amount(1, 1, 0)));
    }
    let later = decide_all(&mut pool, 60_000);

    assert!(stops(&later).is_empty());
}

#[test]
fn memory_overload_moves_the_run_that_exceeds_its_need_most() {
    let mut pool = pool(2);
    pool.handle(time::TimeMs(0), accepted(batch("modest", 1), 1));
    pool.handle(time::TimeMs(0), accepted(batch("greedy", 1), 2));
    let runs = starts(&decide_all(&mut pool, 0));
    assert_eq!(runs[0].worker, runs[1].worker);
    pool.handle(time::TimeMs(1_000), usage(&runs[0].run, amount(1, 2, 0)));
    pool.handle(time::TimeMs(1_000), usage(&runs[1].run, amount(1, 7, 0)));

    let stopped = stops(&decide_all(&mut pool, 1_000));
    pool.handle(
        time::TimeMs(2_000),
        ended(&stopped[0].run, task::RunOutcome::Stopped),
    );
    let moved = starts(&decide_all(&mut pool, 2_000));

    assert_eq!(stopped[0].run, runs[1].run);
    assert_ne!(moved[0].worker, runs[1].worker);
}
