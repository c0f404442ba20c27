//! Measurement of a store outage during which a leader continues to start tasks.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::{id, journal, task, time};
use mangotrestle_platform::group_commit::GroupCommit;
use mangotrestle_platform::{budget, object_store, pool_store, schema, table};
use tokio::time::Instant;

use crate::measure::report::{Figure, Target};
use crate::stand_in;

/// The measured pool's share of the cell's write budget.
const WRITES_PER_S: f64 = 30.0;
/// Rate at which the pool starts tasks.
const STARTS_PER_S: u32 = 50;
/// Number of tasks per job.
const TASKS_PER_JOB: u32 = 2_000;
/// Number of workers of the pool.
const WORKERS: u32 = 48;

pub(super) fn measure(figures: &mut Vec<Figure>) {
    for (name, outage) in [
        ("10 min", Duration::from_mins(10)),
        ("1 h", Duration::from_hours(1)),
    ] {
        let result = super::virtual_time().block_on(run(outage));
        result.report(name, figures);
    }
}

struct Outcome {
    /// Number of submitted entries that a later load does not find.
    lost_entries: f64,
    drain_s: f64,
    peak_writes_per_s: f64,
    /// Maximum number of records that were not yet written, including those being written.
    max_waiting: f64,
    submitted: f64,
}

impl Outcome {
    fn report(&self, name: &str, figures: &mut Vec<Figure>) {
        let title = |what: &str| format!("store down {name}: {what}");
        figures.push(
            Figure::new(
                &title("accepted entries lost"),
                self.lost_entries,
                "entries",
            )
            .target(Target::AtMost(0.0)),
        );
        figures.push(Figure::new(
            &title("time to drain after return"),
            self.drain_s,
            "s",
        ));
        figures.push(
            Figure::new(&title("peak writes"), self.peak_writes_per_s, "1/s")
                .target(Target::AtMost(WRITES_PER_S + WRITES_PER_S / 10.0)),
        );
        figures.push(
            Figure::new(
                &title("most records held back"),
                self.max_waiting,
                "records",
            )
            .naive(2.0 * self.submitted),
        );
        let records_per_mib = 1024.0 * 1024.0 / record_bytes();
        figures.push(
            Figure::new(
                &title("records held back"),
                self.max_waiting / records_per_mib,
                "MiB",
            )
            .target(Target::AtMost(32.0))
            .naive(2.0 * self.submitted / records_per_mib),
        );
    }
}

async fn run(outage: Duration) -> Outcome {
    let rows = stand_in::table::new();
    let store = store(&rows);
    let mut loaded = store.load().await.expect("the store is up");
    store.fence(&mut loaded).await.expect("the store is up");
    let durable_state = pool_store::DurableState::new(&loaded);
    let commit =
        GroupCommit::<pool_store::JournalSink>::builder().spawn(store.journal(&durable_state));
    rows.faults()
        .set_outage(stand_in::service::Outage::Unresponsive);
    let outage_start = Instant::now();
    let mut pending = Vec::new();
    let mut max_waiting = 0;
    let mut started = 0;
    while outage_start.elapsed() < outage {
        for _ in 0..STARTS_PER_S / 10 {
            let entry = commit.submit(entry(started), budget::Priority::Normal);
            pending.extend(entry.ok());
            started += 1;
        }
        max_waiting = max_waiting.max(commit.waiting());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    rows.faults().set_outage(stand_in::service::Outage::None);
    let outage_end = Instant::now();
    for entry in pending {
        let _ = entry.outcome().await;
    }
    let drain_s = outage_end.elapsed().as_secs_f64();
    let recovered = store.load().await.expect("the store is up");
    let recovered_tasks = recovered.state.jobs().flat_map(|(_, job)| job.tasks());
    Outcome {
        lost_entries: f64::from(started) - count(recovered_tasks),
        drain_s,
        peak_writes_per_s: rows.faults().peak_per_s(table::wire::TRANSACT_PATH).into(),
        max_waiting: f64::from(u32::try_from(max_waiting).unwrap_or(u32::MAX)),
        submitted: f64::from(started),
    }
}

/// Returns the size of a record in memory, without the names that it refers to.
fn record_bytes() -> f64 {
    f64::from(u32::try_from(size_of::<journal::Record>()).unwrap_or(u32::MAX))
}

fn count(items: impl Iterator) -> f64 {
    items.fold(0.0, |sum, _| sum + 1.0)
}

fn store(rows: &stand_in::table::TableStandIn) -> pool_store::PoolStore {
    let table = table::TableClient::builder(Arc::new(rows.clone()))
        .writes(budget::Budget::new(WRITES_PER_S))
        .build();
    let objects = object_store::ObjectStore::new(Arc::new(stand_in::object_store::new()));
    let pool: id::PoolId = "pool".parse().expect("a valid name");
    let writer = schema::Writer {
        host: "entry-1".parse().expect("a valid name"),
        incarnation: id::Incarnation(1),
    };
    pool_store::PoolStore::new(table, objects, pool, writer)
}

/// Returns a journal item for a task that started and ended: two records.
fn entry(number: u32) -> pool_store::JournalItem {
    let job = format!("job-{}", number / TASKS_PER_JOB);
    let run = task::RunId {
        task: task::TaskId {
            job: job.parse().expect("a valid name"),
            index: number % TASKS_PER_JOB,
        },
        attempt: 1,
    };
    let worker = format!("worker-{}", number % WORKERS);
    let wall_ms = time::WallTimeMs(number.into());
    let started = journal::Record::RunStarted {
        run: run.clone(),
        worker: worker.parse().expect("a valid name"),
        wall_ms,
    };
    let ended = journal::Record::RunEnded {
        run,
        outcome: task::RunOutcome::Succeeded,
        wall_ms,
    };
    pool_store::JournalItem {
        records: vec![started, ended],
        ..pool_store::JournalItem::default()
    }
}
