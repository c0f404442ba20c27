//! Time to fold a journal into a state and to load a pool, per record and task.

use std::time::{Duration, Instant};

use mangotrestle_core::{journal, task, time};
use mangotrestle_platform::pool_store::snapshot;

use crate::measure::report::{Curve, Figure, Plot, Point};

/// Number of running tasks of one of nine pools at the planned size.
const POOL_TASKS: u32 = 18_000;
/// Number of tasks per job.
const TASKS_PER_JOB: u32 = 100;
/// Numbers of tasks for which the curves have points.
const TASK_COUNTS: [u32; 4] = [2_000, 6_000, 18_000, 54_000];

pub(super) fn measure(figures: &mut Vec<Figure>, plots: &mut Vec<Plot>) {
    let measurements = TASK_COUNTS.map(Measurement::measure);
    let (small, large) = (&measurements[1], &measurements[3]);
    let slope = |metric: fn(&Measurement) -> f64| {
        (metric(large) - metric(small)) / (large.tasks - small.tasks)
    };
    let ns_per_s = 1e9;
    figures.push(Figure::new(
        "fold: for each record",
        slope(|m| m.fold_s) * ns_per_s,
        "ns",
    ));
    let encode_ns = slope(|m| m.encode_s) * ns_per_s;
    figures.push(Figure::new(
        "snapshot: write, for each task",
        encode_ns,
        "ns",
    ));
    let decode_ns = slope(|m| m.decode_s) * ns_per_s;
    figures.push(Figure::new(
        "snapshot: read, for each task",
        decode_ns,
        "ns",
    ));
    let snapshot_bytes_per_task = slope(|m| m.snapshot_bytes);
    figures.push(Figure::new(
        "snapshot: for each task",
        snapshot_bytes_per_task,
        "B",
    ));
    let journal_bytes_per_task = slope(|m| m.journal_bytes);
    let uncoalesced_bytes_per_task = slope(|m| m.uncoalesced_bytes);
    figures.push(
        Figure::new(
            "journal: for each start, batch of 2,000",
            journal_bytes_per_task,
            "B",
        )
        .naive(uncoalesced_bytes_per_task),
    );
    let pool = Measurement::measure(POOL_TASKS);
    let load_ms = (pool.decode_s + pool.fold_s) * 1e3;
    figures.push(Figure::new(
        "load a pool of 18,000 tasks, store's latency left out",
        load_ms,
        "ms",
    ));
    plots.push(plot(&measurements));
}

struct Measurement {
    tasks: f64,
    fold_s: f64,
    encode_s: f64,
    decode_s: f64,
    snapshot_bytes: f64,
    journal_bytes: f64,
    /// Encoded size of the records without coalescing.
    uncoalesced_bytes: f64,
}

impl Measurement {
    fn measure(tasks: u32) -> Self {
        let records: Vec<_> = (0..tasks).map(run_started).collect();
        let (fold, state) = timed(|| {
            let mut state = journal::PoolState::default();
            state.apply_all(&records);
            state
        });
        let (encode, bytes) = timed(|| snapshot::encode(&state, 1));
        let (decode, _) = timed(|| {
            snapshot::decode(&bytes).expect("a snapshot that was just encoded can be decoded")
        });
        let batches = records.chunks(2_000);
        let journal_bytes = batches
            .map(|batch| json_bytes(&journal::coalesce(batch.to_vec())))
            .sum();
        Self {
            tasks: f64::from(tasks),
            fold_s: fold.as_secs_f64(),
            encode_s: encode.as_secs_f64(),
            decode_s: decode.as_secs_f64(),
            snapshot_bytes: as_f64(bytes.len()),
            journal_bytes,
            uncoalesced_bytes: json_bytes(&records),
        }
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn json_bytes(records: &[journal::Record]) -> f64 {
    as_f64(serde_json::to_vec(records).map_or(0, |bytes| bytes.len()))
}

/// Returns the shortest time of five runs, and that run's result.
fn timed<T>(run: impl Fn() -> T) -> (Duration, T) {
    let run_timed = || {
        let started = Instant::now();
        let result = run();
        (started.elapsed(), result)
    };
    let mut best = run_timed();
    for _ in 0..4 {
        let next = run_timed();
        if next.0 < best.0 {
            best = next;
        }
    }
    best
}

fn run_started(number: u32) -> journal::Record {
    let job = format!("nightly-certificates-{}", number / TASKS_PER_JOB);
    journal::Record::RunStarted {
        run: task::RunId {
            task: task::TaskId {
                job: job.parse().expect("a valid name"),
                index: number % TASKS_PER_JOB,
            },
            attempt: 1,
        },
        worker: format!("worker-{}", number % 1_900)
            .parse()
            .expect("a valid name"),
        wall_ms: time::WallTimeMs(1_700_000_000_000),
    }
}

fn plot(measurements: &[Measurement]) -> Plot {
    let curve = |name: &str, metric: fn(&Measurement) -> f64| Curve {
        name: name.to_owned(),
        points: measurements
            .iter()
            .map(|measurement| Point {
                x: measurement.tasks,
                y: metric(measurement) * 1e3,
            })
            .collect(),
    };
    Plot {
        title: "Loading a pool".to_owned(),
        x_label: "tasks".to_owned(),
        y_label: "time (ms)".to_owned(),
        curves: vec![
            curve("fold the journal", |m| m.fold_s),
            curve("read the snapshot", |m| m.decode_s),
            curve("write the snapshot", |m| m.encode_s),
        ],
    }
}
