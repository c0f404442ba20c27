//! Workers that fail everything, and jobs that fail everywhere.

use mangotrestle_core::{result_code, scheduler, task, time};

use super::fixture::{accepted, batch, capacity, decide_all, ended, job_id, listing, starts};

fn pool(workers: u32) -> scheduler::Scheduler {
    let mut pool = scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), 1);
    for number in 0..workers {
        let name = format!("worker-{number}");
        let event = listing(&name, "rack-0", capacity(8, 64, 0), Vec::new());
        pool.handle(time::TimeMs(0), event);
    }
    pool
}

/// Ends every start, failed if `fails` says so, for so many seconds. Returns the workers used.
fn run_for(
    pool: &mut scheduler::Scheduler,
    from_s: u64,
    seconds: u64,
    fails: impl Fn(&str, &str) -> bool,
) -> Vec<String> {
    let mut used = Vec::new();
    for now_ms in (from_s * 1_000..(from_s + seconds) * 1_000).step_by(500) {
        for start in starts(&decide_all(pool, now_ms)) {
            let outcome = if fails(&start.worker, start.run.task.job.as_str()) {
                task::RunOutcome::Failed
            } else {
                task::RunOutcome::Succeeded
            };
            pool.handle(time::TimeMs(now_ms + 1), ended(&start.run, outcome));
            used.push(start.worker);
        }
    }
    used
}

fn submit(pool: &mut scheduler::Scheduler, prefix: &str, jobs: u32) {
    for number in 0..jobs {
        let spec = batch(&format!("{prefix}-{number}x"), 8);
        pool.handle(time::TimeMs(0), accepted(spec, u64::from(number)));
    }
}

/// As [`run_for`], with a new job each second.
fn run_with_stream(
    pool: &mut scheduler::Scheduler,
    from_s: u64,
    seconds: u64,
    fails: impl Fn(&str, &str) -> bool,
) -> Vec<String> {
    let mut used = Vec::new();
    for second in from_s..from_s + seconds {
        let spec = batch(&format!("stream-{second}x"), 4);
        pool.handle(time::TimeMs(second * 1_000), accepted(spec, second));
        used.extend(run_for(pool, second, 1, &fails));
    }
    used
}

fn state_of(pool: &scheduler::Scheduler, worker: &str) -> Option<scheduler::WorkerState> {
    let mut workers = pool.workers();
    workers
        .find(|view| view.id.as_str() == worker)
        .map(|view| view.state)
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_and_no_job_is_blamed() {
    let mut pool = pool(6);
    submit(&mut pool, "work", 12);

    run_for(&mut pool, 0, 20, |worker, _| worker == "worker-2");

    assert_eq!(
        state_of(&pool, "worker-2"),
        Some(scheduler::WorkerState::Quarantined)
    );
    assert!(
        pool.jobs()
            .all(|job| job.state == scheduler::JobState::Succeeded)
    );
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_is_blamed() {
    let mut pool = pool(6);
    submit(&mut pool, "work", 3);
    pool.handle(time::TimeMs(0), accepted(batch("broken", 8), 0));

    run_for(&mut pool, 0, 60, |_, job| job == "broken");

    let broken = pool.job(&job_id("broken")).expect("a known job");
    assert_eq!(
        broken.parked,
        Some(result_code::ResultCode::FailsEverywhere)
    );
    let available = |view: scheduler::WorkerView| view.state == scheduler::WorkerState::Available;
    assert!(pool.workers().all(available));
}

#[test]
fn a_quarantined_worker_is_probed_less_and_less_often_and_released_by_a_success() {
    let mut pool = pool(6);
    let black_hole = |worker: &str, _: &str| worker == "worker-2";
    submit(&mut pool, "work", 12);
    run_for(&mut pool, 0, 10, black_hole);

    // Probes are due 30 s after the first failure, then 60 s and 120 s after each other.
    let first = run_with_stream(&mut pool, 10, 60, black_hole);
    let second = run_with_stream(&mut pool, 70, 90, black_hole);
    run_with_stream(&mut pool, 160, 120, |_, _| false);

    let probes = |used: &[String]| used.iter().filter(|worker| *worker == "worker-2").count();
    assert_eq!((probes(&first), probes(&second)), (1, 1));
    assert_eq!(
        state_of(&pool, "worker-2"),
        Some(scheduler::WorkerState::Available)
    );
}

#[test]
fn not_more_than_a_quarter_of_the_pool_is_quarantined() {
    let mut pool = pool(8);
    submit(&mut pool, "work", 40);

    run_for(&mut pool, 0, 30, |worker, _| worker != "worker-0");

    let quarantined = pool
        .workers()
        .filter(|view| view.state == scheduler::WorkerState::Quarantined)
        .count();
    assert!(quarantined <= 2, "{quarantined} workers are quarantined");
}

#[test]
fn a_parked_job_runs_again_on_an_operators_word() {
    let mut pool = pool(6);
    pool.handle(time::TimeMs(0), accepted(batch("broken", 8), 0));
    run_for(&mut pool, 0, 60, |_, _| true);
    let task = task::TaskId {
        job: job_id("broken"),
        index: 0,
    };

    let now = time::TimeMs(200_000);
    pool.handle(now, scheduler::SchedulerEvent::OperatorRetry { task });
    let used = run_for(&mut pool, 200, 60, |_, _| false);

    assert!(!used.is_empty());
    assert_eq!(
        pool.job(&job_id("broken")).map(|job| job.parked),
        Some(None)
    );
}
