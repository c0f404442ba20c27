//! Time to fold a journal and to load a pool, for each record and task.

use std::time::{Duration, Instant};

use mangotrestle_core::{journal, task, time};
use mangotrestle_platform::pool_store::snapshot;

use crate::measure::report::{Curve, Figure, Plot, Point};

/// Running tasks of one of nine pools at the planned size.
const POOL_TASKS: u32 = 18_000;
/// Tasks of one job.
const TASKS_PER_JOB: u32 = 100;
/// Sizes of the curve, in tasks.
const SIZES: [u32; 4] = [2_000, 6_000, 18_000, 54_000];

pub(super) fn measure(figures: &mut Vec<Figure>, plots: &mut Vec<Plot>) {
    let sizes = SIZES.map(Sizes::measure);
    let (small, large) = (&sizes[1], &sizes[3]);
    let slope = |of: fn(&Sizes) -> f64| (of(large) - of(small)) / (large.tasks - small.tasks);
    let nanos = 1e9;
    figures.push(Figure::new(
        "fold: for each record",
        slope(|s| s.fold_s) * nanos,
        "ns",
    ));
    let encode = slope(|s| s.encode_s) * nanos;
    figures.push(Figure::new("snapshot: write, for each task", encode, "ns"));
    let decode = slope(|s| s.decode_s) * nanos;
    figures.push(Figure::new("snapshot: read, for each task", decode, "ns"));
    let bytes = slope(|s| s.snapshot_bytes);
    figures.push(Figure::new("snapshot: for each task", bytes, "B"));
    let journal_bytes = slope(|s| s.journal_bytes);
    let plain = slope(|s| s.plain_bytes);
    figures.push(
        Figure::new(
            "journal: for each start, batch of 2,000",
            journal_bytes,
            "B",
        )
        .naive(plain),
    );
    let whole = Sizes::measure(POOL_TASKS);
    let load_ms = (whole.decode_s + whole.fold_s) * 1e3;
    figures.push(Figure::new(
        "load a pool of 18,000 tasks, store's latency left out",
        load_ms,
        "ms",
    ));
    plots.push(plot(&sizes));
}

struct Sizes {
    tasks: f64,
    fold_s: f64,
    encode_s: f64,
    decode_s: f64,
    snapshot_bytes: f64,
    journal_bytes: f64,
    plain_bytes: f64,
}

impl Sizes {
    fn measure(tasks: u32) -> Self {
        let records: Vec<_> = (0..tasks).map(started).collect();
        let (fold, state) = timed(|| {
            let mut state = journal::PoolState::default();
            state.apply_all(&records);
            state
        });
        let (encode, bytes) = timed(|| snapshot::encode(&state, 1));
        let (decode, _) = timed(|| snapshot::decode(&bytes).expect("just written"));
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
            plain_bytes: json_bytes(&records),
        }
    }
}

fn as_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}

fn json_bytes(records: &[journal::Record]) -> f64 {
    as_f64(serde_json::to_vec(records).map_or(0, |bytes| bytes.len()))
}

/// The shortest of a few runs.
fn timed<T>(run: impl Fn() -> T) -> (Duration, T) {
    let once = || {
        let started = Instant::now();
        let result = run();
        (started.elapsed(), result)
    };
    let mut best = once();
    for _ in 0..4 {
        let next = once();
        if next.0 < best.0 {
            best = next;
        }
    }
    best
}

fn started(number: u32) -> journal::Record {
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

fn plot(sizes: &[Sizes]) -> Plot {
    let curve = |name: &str, of: fn(&Sizes) -> f64| Curve {
        name: name.to_owned(),
        points: sizes
            .iter()
            .map(|size| Point {
                x: size.tasks,
                y: of(size) * 1e3,
            })
            .collect(),
    };
    Plot {
        title: "Loading a pool".to_owned(),
        x_label: "tasks".to_owned(),
        y_label: "time (ms)".to_owned(),
        curves: vec![
            curve("fold the journal", |s| s.fold_s),
            curve("read the snapshot", |s| s.decode_s),
            curve("write the snapshot", |s| s.encode_s),
        ],
    }
}
