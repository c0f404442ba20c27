//! Waiting times, batch finish and accelerator use for both users' mixes of work, in virtual time.

use std::sync::Arc;

use hdrhistogram::Histogram;
use mangotrestle_core::{id, job, scheduler, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::Part;
use super::policy::{Arrival, Driver, JobTrace, Naive, Real, Trace};
use super::workload;
use crate::measure::report::{Curve, Figure, Plot, Point, Target};
use crate::profile;

/// Period during which jobs arrive.
const ARRIVAL_PERIOD_MS: u64 = 3_600_000;

/// Jobs that arrive earlier are not counted, because the pool is not yet full.
const WARM_UP_MS: u64 = 600_000;

/// Virtual time at which the simulation ends, late enough for all work to have ended.
const SIMULATION_END_MS: u64 = 12 * 3_600_000;

/// Time that a worker takes for a checkpoint.
const CHECKPOINT_DURATION_MS: u64 = 500;

/// Share of the authority's slots that arriving work needs.
const AUTHORITY_LOAD: f64 = 0.9;

/// Share of the laboratory's accelerators that arriving work needs.
const LABORATORY_ACCELERATOR_LOAD: f64 = 1.2;

/// Share of the slots of the laboratory's workers without accelerators that arriving work needs.
const LABORATORY_SLOT_LOAD: f64 = 0.6;

/// Target minimum of the ratio of the naive p99 waiting time to the real one.
const WAITING_RATIO_TARGET: f64 = 5.0;

/// Target maximum of the ratio of the real batch finish time to the naive one.
const FINISH_RATIO_TARGET: f64 = 1.1;

/// Target minimum of the share of accelerators in use while at least twice as many are wanted as
/// exist.
const ACCELERATOR_USE_TARGET: f64 = 0.95;

/// Target maximum of the ratio of a gang's wait to its wait under the naive scheduler.
const GANG_WAIT_RATIO_TARGET: f64 = 2.0;

/// Waits of gangs are rounded up to steps of this length before they are compared, so that the
/// ratio is defined for a wait of zero.
const GANG_WAIT_STEP_MS: u64 = 1_000;

const MS_PER_S: f64 = 1_000.0;

/// A class of jobs that arrive at random times.
struct Class {
    name: &'static str,
    teams: u64,
    /// Share of the total load, measured in slots or accelerators.
    load: f64,
    /// Completes the spec of a job and returns its [`Arrival::run_times_ms`].
    complete_spec: fn(&mut SmallRng, &mut job::JobSpec) -> Vec<u64>,
    /// Returns the number of slots or accelerators that a task needs.
    units_per_task: fn(&job::JobSpec) -> u32,
}

fn slots(spec: &job::JobSpec) -> u32 {
    spec.need.slots
}

fn accelerators(spec: &job::JobSpec) -> u32 {
    spec.need.accelerators
}

/// Generates the arrivals of a class. All classes together use `units` slots or accelerators on
/// average.
fn class_arrivals(rng: &mut SmallRng, class: &Class, units: f64) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    let mut at_ms = 0.0;
    for number in 0.. {
        let name = format!("{}-{number}x", class.name);
        let team = format!("{}-{}", class.name, number % class.teams);
        let mut spec = workload::batch(&name, &team, 1);
        let run_times_ms = (class.complete_spec)(rng, &mut spec);
        let units_per_task = f64::from((class.units_per_task)(&spec));
        // Times are far below 2^52, so the conversion is exact.
        #[allow(clippy::cast_precision_loss)]
        let work_unit_ms = if spec.kind == job::JobKind::Service {
            run_times_ms[0] as f64 * f64::from(spec.tasks) * units_per_task
        } else {
            run_times_ms.iter().sum::<u64>() as f64 * units_per_task
        };
        // On average, the next job arrives after the time for which this job's work would keep the
        // class's share of the units busy.
        let jitter: f64 = rng.random_range(0.0..2.0);
        at_ms += work_unit_ms / (units * class.load) * jitter;
        #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
        let arrived_ms = at_ms as u64;
        if arrived_ms >= ARRIVAL_PERIOD_MS {
            break;
        }
        arrivals.push(Arrival {
            at_ms: arrived_ms,
            spec: Arc::new(spec),
            run_times_ms,
        });
    }
    arrivals
}

/// Sets a declared run time between half and twice the actual one, since operators' estimates are
/// inexact.
fn set_declared_run_time(rng: &mut SmallRng, spec: &mut job::JobSpec, actual_ms: u64) {
    let percent = rng.random_range(50..200);
    spec.run_time_ms = Some(time::SpanMs(actual_ms * percent / 100));
}

fn payment(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.urgency = job::Urgency::Urgent;
    spec.need = workload::amount(rng.random_range(1..=2), rng.random_range(2..=8), 0, 1);
    let run_time_ms = workload::exponential_ms(rng, 20_000.0);
    set_declared_run_time(rng, spec, run_time_ms);
    vec![run_time_ms]
}

fn booking(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.kind = job::JobKind::Service;
    spec.run_time_ms = None;
    spec.tasks = rng.random_range(2..=6);
    spec.need = workload::amount(rng.random_range(2..=4), rng.random_range(4..=16), 0, 1);
    vec![workload::exponential_ms(rng, 600_000.0)]
}

fn image_check(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.kind = job::JobKind::Service;
    spec.run_time_ms = None;
    spec.tasks = rng.random_range(1..=4);
    spec.need = workload::amount(8, 16, 1, 1);
    vec![workload::exponential_ms(rng, 600_000.0)]
}

fn certificates(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.preemptible = true;
    spec.tasks = rng.random_range(20..=60);
    spec.need = workload::amount(rng.random_range(1..=4), rng.random_range(2..=8), 0, 1);
    let mean_ms = rng.random_range(20_000..180_000);
    set_declared_run_time(rng, spec, mean_ms);
    let tasks = 0..spec.tasks;
    tasks
        .map(|_| rng.random_range(mean_ms / 2..mean_ms * 3 / 2))
        .collect()
}

fn spectral_gang(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.kind = job::JobKind::Gang;
    spec.tasks = 1 << rng.random_range(1..5_u32);
    let accelerators = 1 << rng.random_range(0..3_u32);
    spec.need = workload::amount(
        6 * u64::from(accelerators),
        16 * u64::from(accelerators),
        accelerators,
        1,
    );
    let run_time_ms = rng.random_range(60_000..600_000);
    set_declared_run_time(rng, spec, run_time_ms);
    vec![run_time_ms; spec.tasks as usize]
}

fn spectral_fit(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.tasks = rng.random_range(4..=24);
    spec.need = workload::amount(4, 12, 1, 1);
    let mean_ms = rng.random_range(20_000..120_000);
    set_declared_run_time(rng, spec, mean_ms);
    let tasks = 0..spec.tasks;
    tasks
        .map(|_| rng.random_range(mean_ms / 2..mean_ms * 3 / 2))
        .collect()
}

fn screening(rng: &mut SmallRng, spec: &mut job::JobSpec) -> Vec<u64> {
    spec.tasks = rng.random_range(10..=40);
    spec.need = workload::amount(rng.random_range(1..=8), rng.random_range(2..=16), 0, 1);
    let mean_ms = rng.random_range(20_000..180_000);
    set_declared_run_time(rng, spec, mean_ms);
    let tasks = 0..spec.tasks;
    tasks
        .map(|_| rng.random_range(mean_ms / 2..mean_ms * 3 / 2))
        .collect()
}

fn total(workers: &[workload::Worker], amount: impl Fn(&workload::Worker) -> u32) -> f64 {
    f64::from(workers.iter().map(amount).sum::<u32>())
}

pub fn authority(seed: u64) -> Part {
    let workers = workload::workers_of(&profile::AUTHORITY);
    let arrivals = authority_arrivals(seed, total(&workers, |worker| worker.capacity.slots));
    let policy = Real::new(authority_config(), &workers, seed);
    let real = Driver::new(policy, &arrivals, CHECKPOINT_DURATION_MS).run(SIMULATION_END_MS);
    let naive =
        Driver::new(Naive::new(&workers), &arrivals, CHECKPOINT_DURATION_MS).run(SIMULATION_END_MS);
    authority_part(&real, &naive)
}

/// Returns the authority's configuration, which favours short waits: load is spread so that every
/// worker keeps free capacity, and teams with waiting callers have more weight than nightly work.
fn authority_config() -> scheduler::SchedulerConfig {
    let high_weight_quota = scheduler::TeamQuota {
        limit: None,
        weight: 8,
    };
    let teams = ["payment-0", "booking-0", "booking-1", "image-check-0"];
    let builder = scheduler::SchedulerConfig::builder()
        .packing_weight(1)
        .spread_weight(2);
    let team = |name: &str| id::TeamId::new(name).expect("a valid team name");
    let builder = teams.iter().fold(builder, |builder, name| {
        builder.quota(team(name), high_weight_quota)
    });
    builder.build()
}

fn authority_arrivals(seed: u64, units: f64) -> Vec<Arrival> {
    let classes = [
        class("payment", 1, 0.10, payment, slots),
        class("booking", 2, 0.25, booking, slots),
        class("image-check", 1, 0.08, image_check, slots),
        class("certificates", 6, 0.57, certificates, slots),
    ];
    let mut rng = SmallRng::seed_from_u64(seed);
    let units = units * AUTHORITY_LOAD;
    generate_arrivals(&mut rng, &classes, units)
}

fn class(
    name: &'static str,
    teams: u64,
    load: f64,
    complete_spec: fn(&mut SmallRng, &mut job::JobSpec) -> Vec<u64>,
    units_per_task: fn(&job::JobSpec) -> u32,
) -> Class {
    Class {
        name,
        teams,
        load,
        complete_spec,
        units_per_task,
    }
}

fn generate_arrivals(rng: &mut SmallRng, classes: &[Class], units: f64) -> Vec<Arrival> {
    let mut arrivals: Vec<Arrival> = classes
        .iter()
        .flat_map(|class| class_arrivals(rng, class, units))
        .collect();
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn authority_part(real: &Trace, naive: &Trace) -> Part {
    let is_urgent_or_service = |job: &JobTrace| {
        job.spec.urgency == job::Urgency::Urgent || job.spec.kind == job::JobKind::Service
    };
    let is_urgent = |job: &JobTrace| job.spec.urgency == job::Urgency::Urgent;
    let is_service = |job: &JobTrace| job.spec.kind == job::JobKind::Service;
    let real_waits = waits(real, is_urgent_or_service);
    let naive_waits = waits(naive, is_urgent_or_service);
    let p99_s = |waits: &Histogram<u64>| seconds(waits.value_at_quantile(0.99));
    // The real wait counts as at least one millisecond, so that the ratio is defined for no wait.
    let waiting_ratio = p99_s(&naive_waits) / p99_s(&real_waits).max(1.0 / MS_PER_S);
    let finish_ratio = batch_finish_s(real) / batch_finish_s(naive);
    let waiting_figure = |name: &str, selects: &dyn Fn(&JobTrace) -> bool| {
        let name = format!("authority: p99 waiting of {name}");
        Figure::new(&name, p99_s(&waits(real, selects)), "s").naive(p99_s(&waits(naive, selects)))
    };
    let tasks = u32::try_from(real_waits.len()).unwrap_or(u32::MAX);
    Part {
        figures: vec![
            Figure::new(
                "authority: urgent and service tasks",
                f64::from(tasks),
                "tasks",
            ),
            waiting_figure("urgent tasks", &is_urgent),
            waiting_figure("service tasks", &is_service),
            waiting_figure("urgent and service tasks", &is_urgent_or_service),
            Figure::new(
                "authority: naive to real p99 waiting",
                waiting_ratio,
                "ratio",
            )
            .target(Target::AtLeast(WAITING_RATIO_TARGET)),
            Figure::new(
                "authority: batch finish, real to naive",
                finish_ratio,
                "ratio",
            )
            .target(Target::AtMost(FINISH_RATIO_TARGET)),
            Figure::new("authority: batch finish", batch_finish_s(real), "s")
                .naive(batch_finish_s(naive)),
            #[allow(clippy::cast_precision_loss)]
            Figure::new(
                "authority: runs stopped for urgent work",
                real.stops as f64,
                "runs",
            ),
        ],
        plots: vec![Plot {
            title: "Authority at 90% load: waiting of urgent and service tasks".to_owned(),
            x_label: "percentile".to_owned(),
            y_label: "seconds".to_owned(),
            curves: vec![
                percentiles("mangotrestle", &real_waits),
                percentiles("naive", &naive_waits),
            ],
        }],
    }
}

fn percentiles(name: &str, waits: &Histogram<u64>) -> Curve {
    let points = (50..=100).map(|percentile| Point {
        x: f64::from(percentile),
        y: seconds(waits.value_at_quantile(f64::from(percentile) / 100.0)),
    });
    Curve {
        name: name.to_owned(),
        points: points.collect(),
    }
}

// Times are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn seconds(ms: u64) -> f64 {
    ms as f64 / MS_PER_S
}

/// Returns the waiting times of the selected jobs' tasks, in milliseconds. A replica that never
/// started counts as waiting until its service was cancelled, any other task that never started as
/// waiting until the end of the simulation.
fn waits(trace: &Trace, selects: impl Fn(&JobTrace) -> bool) -> Histogram<u64> {
    let mut histogram = Histogram::new(3).expect("three digits are within the range");
    let counted = trace.jobs.iter().filter(|job| job.arrived_ms >= WARM_UP_MS);
    for job in counted.filter(|job| selects(job)) {
        for start_ms in &job.first_starts_ms {
            let until_ms = start_ms.or(job.cancelled_ms).unwrap_or(SIMULATION_END_MS);
            histogram += until_ms - job.arrived_ms;
        }
    }
    histogram
}

fn batch_finish_s(trace: &Trace) -> f64 {
    let batch = trace
        .jobs
        .iter()
        .filter(|job| job.spec.kind == job::JobKind::Batch);
    let batch = batch.filter(|job| job.spec.urgency != job::Urgency::Urgent);
    seconds(batch.map(|job| job.ended_ms).max().unwrap_or(0))
}

pub fn laboratory(seed: u64) -> Part {
    let workers = workload::workers_of(&profile::LABORATORY);
    let units = total(&workers, |worker| worker.capacity.accelerators);
    let is_registry = |worker: &workload::Worker| worker.capacity.accelerators == 0;
    let registry_slots = |worker: &workload::Worker| {
        if is_registry(worker) {
            worker.capacity.slots
        } else {
            0
        }
    };
    let arrivals = laboratory_arrivals(seed, units, total(&workers, registry_slots));
    let policy = Real::new(laboratory_config(), &workers, seed);
    let real = Driver::new(policy, &arrivals, CHECKPOINT_DURATION_MS).run(SIMULATION_END_MS);
    let naive =
        Driver::new(Naive::new(&workers), &arrivals, CHECKPOINT_DURATION_MS).run(SIMULATION_END_MS);
    laboratory_part(&real, &naive, units)
}

/// Returns the laboratory's configuration, which favours packing. It has few accelerator hosts, so
/// they are reserved for tasks that need accelerators. Only one gang at a time holds a reservation,
/// since reserved accelerators stay idle.
fn laboratory_config() -> scheduler::SchedulerConfig {
    scheduler::SchedulerConfig::builder()
        .packing_weight(4)
        .spread_weight(1)
        .keep_accelerator_hosts(true)
        .max_reservations(1)
        .build()
}

fn laboratory_arrivals(seed: u64, accelerator_units: f64, slot_units: f64) -> Vec<Arrival> {
    let classes = [
        class("spectral-gang", 4, 0.6, spectral_gang, accelerators),
        class("spectral-fit", 4, 0.4, spectral_fit, accelerators),
    ];
    let mut rng = SmallRng::seed_from_u64(seed);
    let units = accelerator_units * LABORATORY_ACCELERATOR_LOAD;
    let mut arrivals = generate_arrivals(&mut rng, &classes, units);
    let registry = [class("screening", 4, 1.0, screening, slots)];
    let units = slot_units * LABORATORY_SLOT_LOAD;
    arrivals.extend(generate_arrivals(&mut rng, &registry, units));
    arrivals.sort_by_key(|arrival| arrival.at_ms);
    arrivals
}

fn laboratory_part(real: &Trace, naive: &Trace, accelerator_count: f64) -> Part {
    let real_use = saturated_use(real, accelerator_count);
    let naive_use = saturated_use(naive, accelerator_count);
    let gangs = gang_waits(real, naive);
    let max_ratio = gangs.iter().map(GangWaits::ratio).fold(0.0, f64::max);
    let above_target = gangs
        .iter()
        .filter(|gang| gang.ratio() > GANG_WAIT_RATIO_TARGET)
        .count();
    let count = |count: usize| f64::from(u32::try_from(count).unwrap_or(u32::MAX));
    let max_wait_s = |wait_ms_of: fn(&GangWaits) -> u64| {
        seconds(gangs.iter().map(wait_ms_of).max().unwrap_or(0))
    };
    let mean_wait_s = |wait_ms_of: fn(&GangWaits) -> u64| {
        seconds(gangs.iter().map(wait_ms_of).sum()) / count(gangs.len()).max(1.0)
    };
    let figures = vec![
        Figure::new(
            "laboratory: accelerators in use at saturation",
            real_use,
            "ratio",
        )
        .target(Target::AtLeast(ACCELERATOR_USE_TARGET))
        .naive(naive_use),
        Figure::new(
            "laboratory: greatest gang wait, real to naive",
            max_ratio,
            "ratio",
        )
        .target(Target::AtMost(GANG_WAIT_RATIO_TARGET)),
        Figure::new("laboratory: gangs", count(gangs.len()), "gangs"),
        Figure::new(
            "laboratory: gangs above twice the naive wait",
            count(above_target),
            "gangs",
        ),
        Figure::new(
            "laboratory: longest gang wait",
            max_wait_s(|gang| gang.real_ms),
            "s",
        )
        .naive(max_wait_s(|gang| gang.naive_ms)),
        Figure::new(
            "laboratory: mean gang wait",
            mean_wait_s(|gang| gang.real_ms),
            "s",
        )
        .naive(mean_wait_s(|gang| gang.naive_ms)),
        Figure::new("laboratory: batch finish", batch_finish_s(real), "s")
            .naive(batch_finish_s(naive)),
    ];
    Part {
        figures,
        plots: vec![Plot {
            title: "Laboratory above saturation: accelerators in use".to_owned(),
            x_label: "minutes".to_owned(),
            y_label: "accelerators".to_owned(),
            curves: vec![
                accelerator_use_curve("mangotrestle", real),
                accelerator_use_curve("naive", naive),
            ],
        }],
    }
}

/// Returns the number of accelerators in use at the end of each minute with a change.
fn accelerator_use_curve(name: &str, trace: &Trace) -> Curve {
    let mut points: Vec<Point> = Vec::new();
    for change in &trace.accelerator_use {
        let minute = f64::from(u32::try_from(change.at_ms / 60_000).unwrap_or(u32::MAX));
        let y = f64::from(change.accelerators);
        match points.last_mut() {
            Some(last) if last.x >= minute => last.y = y,
            _ => points.push(Point { x: minute, y }),
        }
    }
    Curve {
        name: name.to_owned(),
        points,
    }
}

/// Returns the mean share of the accelerators in use while at least twice as many are wanted as
/// exist.
#[allow(clippy::cast_precision_loss)]
fn saturated_use(trace: &Trace, units: f64) -> f64 {
    let mut used_time = 0.0;
    let mut capacity_time = 0.0;
    for pair in trace.accelerator_use.windows(2) {
        if (pair[0].wanted as f64) < 2.0 * units {
            continue;
        }
        let length = (pair[1].at_ms - pair[0].at_ms) as f64;
        used_time += length * f64::from(pair[0].accelerators);
        capacity_time += length * units;
    }
    if capacity_time > 0.0 {
        used_time / capacity_time
    } else {
        0.0
    }
}

/// A gang's waiting time under both schedulers.
#[derive(Clone, Copy, Debug)]
struct GangWaits {
    real_ms: u64,
    naive_ms: u64,
}

impl GangWaits {
    fn ratio(&self) -> f64 {
        let steps = |wait_ms: u64| (wait_ms / GANG_WAIT_STEP_MS + 1) * GANG_WAIT_STEP_MS;
        seconds(steps(self.real_ms)) / seconds(steps(self.naive_ms))
    }
}

fn gang_waits(real: &Trace, naive: &Trace) -> Vec<GangWaits> {
    let wait_ms =
        |job: &JobTrace| job.first_starts_ms[0].unwrap_or(SIMULATION_END_MS) - job.arrived_ms;
    let pairs = real.jobs.iter().zip(&naive.jobs);
    let gangs = pairs
        .filter(|(job, _)| job.spec.kind == job::JobKind::Gang && job.arrived_ms >= WARM_UP_MS);
    gangs
        .map(|(real, naive)| GangWaits {
            real_ms: wait_ms(real),
            naive_ms: wait_ms(naive),
        })
        .collect()
}
