//! Memory that the scheduler uses per worker, job and task, measured by the growth of the process.

use std::sync::Arc;

use mangotrestle_core::{scheduler, time};

use super::workload;
use crate::measure::report::Figure;

/// Number of workers and of running tasks of the largest planned deployment.
const WORKERS: usize = 20_000;
const RUNNING_TASKS: u32 = 160_000;

/// Number of tasks per job for the running tasks.
const TASKS_PER_JOB: u32 = 32;

/// Number of jobs with a single task, which give the memory of a job.
const SINGLE_TASK_JOBS: u32 = 50_000;

/// Number of jobs with many tasks, and their number of tasks, which give the memory of a waiting
/// task.
const LONG_JOBS: u32 = 100;
const TASKS_PER_LONG_JOB: u32 = 10_000;

/// Number of workers and of running tasks of the largest pool that one entry host leads.
const POOL_WORKERS: f64 = 2_000.0;
const POOL_RUNNING_TASKS: f64 = 18_000.0;

/// Page size; the kernel reports memory in pages.
const PAGE_BYTES: f64 = 4_096.0;

const BYTES_PER_MIB: f64 = 1_048_576.0;

/// Returns the resident memory of this process, or `None` if it cannot be read.
fn resident_bytes() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: f64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some(pages * PAGE_BYTES)
}

/// Builds a value, and returns it with the growth of the process's resident memory in bytes.
fn with_memory_growth<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let before = resident_bytes().unwrap_or(f64::NAN);
    let value = build();
    let after = resident_bytes().unwrap_or(f64::NAN);
    (value, after - before)
}

fn accept(pool: &mut scheduler::Scheduler, name: &str, tasks: u32) {
    let spec = workload::batch(name, "team", tasks);
    pool.handle(
        time::TimeMs(0),
        scheduler::SchedulerEvent::JobAccepted {
            spec: Arc::new(spec),
            accepted_wall_ms: time::WallTimeMs(0),
        },
    );
}

pub fn figures(seed: u64) -> Vec<Figure> {
    let empty = || scheduler::Scheduler::new(scheduler::SchedulerConfig::default(), seed);
    let pool_workers = workload::mixed_workers(WORKERS);
    let (mut pool, workers_bytes) = with_memory_growth(|| {
        let mut pool = empty();
        for worker in &pool_workers {
            pool.handle(time::TimeMs(0), worker.listing());
        }
        pool
    });
    let (long_jobs_pool, long_bytes) = with_memory_growth(|| {
        let mut pool = empty();
        for number in 0..LONG_JOBS {
            accept(&mut pool, &format!("long-{number}x"), TASKS_PER_LONG_JOB);
        }
        pool
    });
    let (single_task_jobs_pool, single_bytes) = with_memory_growth(|| {
        let mut pool = empty();
        for number in 0..SINGLE_TASK_JOBS {
            accept(&mut pool, &format!("single-{number}x"), 1);
        }
        pool
    });
    for number in 0..RUNNING_TASKS / TASKS_PER_JOB {
        accept(&mut pool, &format!("job-{number}x"), TASKS_PER_JOB);
    }
    let (started, running_bytes) = with_memory_growth(|| start_all(&mut pool));
    let per_worker = workers_bytes / f64::from(u32::try_from(WORKERS).unwrap_or(u32::MAX));
    let per_waiting = long_bytes / f64::from(LONG_JOBS * TASKS_PER_LONG_JOB);
    let per_job = single_bytes / f64::from(SINGLE_TASK_JOBS) - per_waiting;
    let per_running = running_bytes / f64::from(started.max(1)) + per_waiting;
    drop((pool, long_jobs_pool, single_task_jobs_pool));
    let jobs = POOL_RUNNING_TASKS / f64::from(TASKS_PER_JOB);
    let pool_bytes = POOL_WORKERS * per_worker + POOL_RUNNING_TASKS * per_running + jobs * per_job;
    vec![
        Figure::new(
            "running tasks of the memory figures",
            f64::from(started),
            "tasks",
        ),
        Figure::new("memory of a worker", per_worker, "bytes"),
        Figure::new("memory of a job", per_job, "bytes"),
        Figure::new("memory of a waiting task", per_waiting, "bytes"),
        Figure::new("memory of a running task", per_running, "bytes"),
        Figure::new(
            "memory of a pool of 2000 workers and 18000 running tasks",
            pool_bytes / BYTES_PER_MIB,
            "MiB",
        ),
    ]
}

/// Starts every task and returns their number. Decisions are taken in small batches so that they
/// use little memory themselves.
fn start_all(pool: &mut scheduler::Scheduler) -> u32 {
    let mut decisions = Vec::new();
    let mut started = 0;
    loop {
        let more = pool.decide(time::TimeMs(0), 256, &mut decisions);
        let starts = decisions
            .iter()
            .filter(|decision| matches!(decision, scheduler::Decision::Start { .. }));
        started += u32::try_from(starts.count()).unwrap_or(u32::MAX);
        decisions.clear();
        if !more {
            return started;
        }
    }
}
