//! Tests of workers on which every run fails, and of jobs that fail on every worker.

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

/// Runs the pool for a number of seconds and ends every run right after its start, as failed if
/// `fails(worker, job)`, else as succeeded. Returns the worker of each run.
fn run_for(
    pool: &mut scheduler::Scheduler,
    from_s: u64,
    seconds: u64,
    fails: impl Fn(&str, &str) -> bool,
) -> Vec<String> {
    let mut workers_used = Vec::new();
    for now_ms in (from_s * 1_000..(from_s + seconds) * 1_000).step_by(500) {
        for start in starts(&decide_all(pool, now_ms)) {
            let outcome = if fails(&start.worker, start.run.task.job.as_str()) {
                task::RunOutcome::Failed
            } else {
                task::RunOutcome::Succeeded
            };
            pool.handle(time::TimeMs(now_ms + 1), ended(&start.run, outcome));
            workers_used.push(start.worker);
        }
    }
    workers_used
}

fn submit(pool: &mut scheduler::Scheduler, prefix: &str, jobs: u32) {
    for number in 0..jobs {
        let spec = batch(&format!("{prefix}-{number}x"), 8);
        pool.handle(time::TimeMs(0), accepted(spec, u64::from(number)));
    }
}

/// Like [`run_for`], but submits a new job each second.
fn run_with_new_jobs(
    pool: &mut scheduler::Scheduler,
    from_s: u64,
    seconds: u64,
    fails: impl Fn(&str, &str) -> bool,
) -> Vec<String> {
    let mut workers_used = Vec::new();
    for second in from_s..from_s + seconds {
        let spec = batch(&format!("stream-{second}x"), 4);
        pool.handle(time::TimeMs(second * 1_000), accepted(spec, second));
        workers_used.extend(run_for(pool, second, 1, &fails));
    }
    workers_used
}

fn worker_state(pool: &scheduler::Scheduler, worker: &str) -> Option<scheduler::WorkerState> {
    let mut workers = pool.workers();
    workers
        .find(|view| view.id.as_str() == worker)
        .map(|view| view.state)
}

#[test]
fn a_worker_that_fails_every_run_is_quarantined_and_all_jobs_succeed() {
    let mut pool = pool(6);
    submit(&mut pool, "work", 12);

    run_for(&mut pool, 0, 20, |worker, _| worker == "worker-2");

    assert_eq!(
        worker_state(&pool, "worker-2"),
        Some(scheduler::WorkerState::Quarantined)
    );
    assert!(
        pool.jobs()
            .all(|job| job.state == scheduler::JobState::Succeeded)
    );
}

#[test]
fn a_job_that_fails_everywhere_is_parked_and_no_worker_is_quarantined() {
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
fn probes_of_a_quarantined_worker_back_off_and_a_success_releases_it() {
    let mut pool = pool(6);
    let worker_2_fails = |worker: &str, _: &str| worker == "worker-2";
    submit(&mut pool, "work", 12);
    run_for(&mut pool, 0, 10, worker_2_fails);

    // The first probe is due 30 s after the quarantine began, the next ones 60 s and 120 s after
    // the previous probe.
    let first = run_with_new_jobs(&mut pool, 10, 60, worker_2_fails);
    let second = run_with_new_jobs(&mut pool, 70, 90, worker_2_fails);
    run_with_new_jobs(&mut pool, 160, 120, |_, _| false);

    let probes = |workers_used: &[String]| {
        workers_used
            .iter()
            .filter(|worker| *worker == "worker-2")
            .count()
    };
    assert_eq!((probes(&first), probes(&second)), (1, 1));
    assert_eq!(
        worker_state(&pool, "worker-2"),
        Some(scheduler::WorkerState::Available)
    );
}

#[test]
fn at_most_a_quarter_of_the_pool_is_quarantined() {
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
fn a_parked_job_runs_again_after_an_operators_retry() {
    let mut pool = pool(6);
    pool.handle(time::TimeMs(0), accepted(batch("broken", 8), 0));
    run_for(&mut pool, 0, 60, |_, _| true);
    let task = task::TaskId {
        job: job_id("broken"),
        index: 0,
    };

    let now = time::TimeMs(200_000);
    pool.handle(now, scheduler::SchedulerEvent::OperatorRetry { task });
    let workers_used = run_for(&mut pool, 200, 60, |_, _| false);

    assert!(!workers_used.is_empty());
    assert_eq!(
        pool.job(&job_id("broken")).map(|job| job.parked),
        Some(None)
    );
}
