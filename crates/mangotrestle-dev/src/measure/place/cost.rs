//! Cost of a placement decision with a long backlog, by number of workers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mangotrestle_core::{job, scheduler, task, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::workload;
use crate::measure::report::{self, Figure, Target};

/// Numbers of workers for which the cost is reported.
const POOL_SIZES: [usize; 3] = [48, 1_900, 17_000];

/// Number of tasks that the backlog is refilled to.
const BACKLOG_TASKS: u64 = 10_000;

/// Number of tasks per job of the backlog.
const TASKS_PER_JOB: u32 = 20;

/// Number of placements that are timed for each pool size.
const PLACEMENTS: u64 = 30_000;

/// Time after which the naive scheduler's measurement ends, for each pool size.
const MAX_NAIVE_TIME: Duration = Duration::from_millis(1_500);

/// Number of teams that the jobs belong to.
const TEAMS: u64 = 570;

/// Target maximum of the p99 of a decision.
const P99_TARGET_US: f64 = 1_000.0;

/// Target minimum of placements per second.
const RATE_TARGET_PER_S: f64 = 5_000.0;

/// Target maximum of the ratio of the cost in the largest pool to that in the middle one.
const GROWTH_TARGET: f64 = 2.0;

const NS_PER_US: f64 = 1_000.0;

/// Cost figures, and a plot of the cost by number of workers.
#[derive(Debug)]
pub struct Cost {
    pub figures: Vec<Figure>,
    pub plot: report::Plot,
}

/// Measurements of one scheduler for one pool size.
#[derive(Debug)]
struct Sample {
    decision_ns: Histogram<u64>,
    /// Mean time per placement, for handling events and deciding together.
    placement_us: f64,
}

impl Sample {
    fn quantile_us(&self, quantile: f64) -> f64 {
        to_us(self.decision_ns.value_at_quantile(quantile))
    }

    fn per_s(&self) -> f64 {
        1_000_000.0 / self.placement_us
    }
}

// Timings are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_us(ns: u64) -> f64 {
    ns as f64 / NS_PER_US
}

#[allow(clippy::cast_precision_loss)]
fn mean_us(total: Duration, count: u64) -> f64 {
    total.as_secs_f64() * 1_000_000.0 / count.max(1) as f64
}

pub fn measure(seed: u64) -> Cost {
    let mut figures = Vec::new();
    let mut real_points = Vec::new();
    let mut naive_points = Vec::new();
    let mut costs_us = Vec::new();
    for workers in POOL_SIZES {
        let real = measure_real(workers, seed);
        let naive = measure_naive(workers, seed);
        figures.extend(size_figures(workers, &real, &naive));
        #[allow(clippy::cast_precision_loss)]
        let x = workers as f64;
        real_points.push(report::Point {
            x,
            y: real.placement_us,
        });
        naive_points.push(report::Point {
            x,
            y: naive.placement_us,
        });
        costs_us.push(real.placement_us);
    }
    let growth = costs_us[2] / costs_us[1];
    let naive_growth = naive_points[2].y / naive_points[1].y;
    figures.push(
        Figure::new(
            "cost of a placement, 17000 to 1900 workers",
            growth,
            "ratio",
        )
        .target(Target::AtMost(GROWTH_TARGET))
        .naive(naive_growth),
    );
    Cost {
        figures,
        plot: report::Plot {
            title: "Cost of a placement with 10,000 tasks waiting".to_owned(),
            x_label: "workers".to_owned(),
            y_label: "microseconds a placement".to_owned(),
            curves: vec![
                curve("mangotrestle", real_points),
                curve("naive", naive_points),
            ],
        },
    }
}

fn curve(name: &str, points: Vec<report::Point>) -> report::Curve {
    report::Curve {
        name: name.to_owned(),
        points,
    }
}

fn size_figures(workers: usize, real: &Sample, naive: &Sample) -> Vec<Figure> {
    let name = |what: &str| format!("{what}, {workers} workers");
    vec![
        Figure::new(&name("decision min"), real.quantile_us(0.0), "us")
            .naive(naive.quantile_us(0.0)),
        Figure::new(&name("decision median"), real.quantile_us(0.5), "us")
            .naive(naive.quantile_us(0.5)),
        Figure::new(&name("decision p99"), real.quantile_us(0.99), "us")
            .target(Target::AtMost(P99_TARGET_US))
            .naive(naive.quantile_us(0.99)),
        Figure::new(&name("placements"), real.per_s(), "1/s")
            .target(Target::AtLeast(RATE_TARGET_PER_S))
            .naive(naive.per_s()),
    ]
}

/// Generates jobs and chooses the runs that end, in the same way for both schedulers.
struct JobSource {
    rng: SmallRng,
    next_job: u64,
}

impl JobSource {
    fn new(seed: u64) -> Self {
        Self {
            rng: SmallRng::seed_from_u64(seed),
            next_job: 0,
        }
    }

    fn next_job(&mut self) -> Arc<job::JobSpec> {
        let number = self.next_job;
        self.next_job += 1;
        let name = format!("job-{number}x");
        let team = format!("team-{}", number % TEAMS);
        let accelerators = if self.rng.random_bool(0.15) {
            1 << self.rng.random_range(0..3_u32)
        } else {
            0
        };
        let mut spec = workload::batch(&name, &team, TASKS_PER_JOB);
        spec.need = workload::amount(
            self.rng.random_range(1..=8),
            self.rng.random_range(1..=24),
            accelerators,
            1,
        );
        let seconds = 1 << self.rng.random_range(3..9_u32);
        spec.run_time_ms = Some(time::SpanMs::from_secs(seconds));
        spec.urgency = match self.rng.random_range(0..10) {
            0 => job::Urgency::Urgent,
            1..7 => job::Urgency::Normal,
            _ => job::Urgency::Background,
        };
        Arc::new(spec)
    }

    fn accepted_wall_ms(&self) -> time::WallTimeMs {
        time::WallTimeMs(self.next_job)
    }

    /// Removes a random run from `running` and returns it.
    fn pick_run(&mut self, running: &mut Vec<task::RunId>) -> Option<task::RunId> {
        if running.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..running.len());
        Some(running.swap_remove(position))
    }
}

/// The real scheduler with a full pool and a backlog, and the time spent in it.
struct Benchmark {
    pool: scheduler::Scheduler,
    source: JobSource,
    running: Vec<task::RunId>,
    decisions: Vec<scheduler::Decision>,
    /// Number of waiting tasks.
    waiting: u64,
    /// Number of timed placements.
    placed: u64,
    decision_ns: Histogram<u64>,
    /// Time spent in the scheduler after the pool was filled.
    total: Duration,
}

impl Benchmark {
    fn new(workers: usize, seed: u64) -> Self {
        let config = scheduler::SchedulerConfig::default();
        let mut benchmark = Self {
            pool: scheduler::Scheduler::new(config, seed),
            source: JobSource::new(seed),
            running: Vec::new(),
            decisions: Vec::new(),
            waiting: 0,
            placed: 0,
            decision_ns: histogram(),
            total: Duration::ZERO,
        };
        for worker in workload::mixed_workers(workers) {
            benchmark.pool.handle(time::TimeMs(0), worker.listing());
        }
        while benchmark.waiting < BACKLOG_TASKS {
            submit(
                &mut benchmark.pool,
                &mut benchmark.source,
                &mut benchmark.waiting,
            );
            while benchmark
                .pool
                .decide(time::TimeMs(0), 256, &mut benchmark.decisions)
            {}
            benchmark.take_starts();
        }
        benchmark
    }

    /// Drains the decisions, adds the started runs to `running`, and returns their number.
    fn take_starts(&mut self) -> u64 {
        let before = self.running.len();
        let decisions = self.decisions.drain(..);
        self.running
            .extend(decisions.filter_map(|decision| match decision {
                scheduler::Decision::Start { run, .. } => Some(run),
                _ => None,
            }));
        let started = (self.running.len() - before) as u64;
        self.waiting -= started;
        started
    }

    fn end_run(&mut self, run: task::RunId) {
        let event = scheduler::SchedulerEvent::RunEnded {
            run,
            outcome: task::RunOutcome::Succeeded,
        };
        let start_time = Instant::now();
        self.pool.handle(time::TimeMs(0), event);
        self.total += start_time.elapsed();
    }

    /// Takes one decision at a time until there is none left.
    fn decide_all(&mut self) {
        loop {
            let start_time = Instant::now();
            let more = self.pool.decide(time::TimeMs(0), 1, &mut self.decisions);
            let elapsed_time = start_time.elapsed();
            self.total += elapsed_time;
            let started = self.take_starts();
            self.placed += started;
            if started > 0 {
                record(&mut self.decision_ns, elapsed_time);
            }
            if !more {
                return;
            }
        }
    }

    fn fill_backlog(&mut self) {
        let start_time = Instant::now();
        while self.waiting < BACKLOG_TASKS {
            submit(&mut self.pool, &mut self.source, &mut self.waiting);
        }
        self.total += start_time.elapsed();
    }
}

fn measure_real(workers: usize, seed: u64) -> Sample {
    let mut benchmark = Benchmark::new(workers, seed);
    while benchmark.placed < PLACEMENTS {
        let Some(run) = benchmark.source.pick_run(&mut benchmark.running) else {
            break;
        };
        benchmark.end_run(run);
        benchmark.decide_all();
        benchmark.fill_backlog();
    }
    Sample {
        decision_ns: benchmark.decision_ns,
        placement_us: mean_us(benchmark.total, benchmark.placed),
    }
}

fn submit(pool: &mut scheduler::Scheduler, source: &mut JobSource, waiting: &mut u64) {
    let spec = source.next_job();
    *waiting += u64::from(spec.tasks);
    pool.handle(
        time::TimeMs(0),
        scheduler::SchedulerEvent::JobAccepted {
            spec,
            accepted_wall_ms: source.accepted_wall_ms(),
        },
    );
}

fn measure_naive(workers: usize, seed: u64) -> Sample {
    let mut pool = scheduler::naive::NaiveScheduler::default();
    let pool_workers = workload::mixed_workers(workers);
    for worker in &pool_workers {
        pool.add_worker(worker.id(), worker.capacity);
    }
    let mut source = JobSource::new(seed);
    let mut running = fill_naive(&mut pool, &pool_workers, &mut source);
    let mut waiting = 0;
    let mut decision_ns = histogram();
    let mut total = Duration::ZERO;
    let mut placed = 0;
    while total < MAX_NAIVE_TIME && placed < PLACEMENTS {
        while waiting < BACKLOG_TASKS {
            let spec = source.next_job();
            waiting += u64::from(spec.tasks);
            pool.add_job(spec, source.accepted_wall_ms());
        }
        let Some(run) = source.pick_run(&mut running) else {
            break;
        };
        let start_time = Instant::now();
        pool.end_run(&run);
        let starts = pool.place(1);
        let elapsed_time = start_time.elapsed();
        total += elapsed_time;
        if !starts.is_empty() {
            record(&mut decision_ns, elapsed_time);
        }
        placed += starts.len() as u64;
        waiting -= starts.len() as u64;
        running.extend(starts.into_iter().map(|start| start.run));
    }
    Sample {
        decision_ns,
        placement_us: mean_us(total, placed),
    }
}

/// Books runs of a new job on each worker of the naive scheduler until the worker is full or the
/// job has no more tasks. Placing these runs by search would take too long.
fn fill_naive(
    pool: &mut scheduler::naive::NaiveScheduler,
    pool_workers: &[workload::Worker],
    source: &mut JobSource,
) -> Vec<task::RunId> {
    let mut running = Vec::new();
    for worker in pool_workers {
        let spec = source.next_job();
        for index in 0..spec.tasks {
            let run = task::RunId {
                task: task::TaskId {
                    job: spec.id.clone(),
                    index,
                },
                attempt: 1,
            };
            if !pool.book(&run, &spec.need, &worker.id()) {
                break;
            }
            running.push(run);
        }
    }
    running
}

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are within the library's range")
}

fn record(histogram: &mut Histogram<u64>, elapsed_time: Duration) {
    let ns = u64::try_from(elapsed_time.as_nanos()).unwrap_or(u64::MAX);
    *histogram += ns;
}
