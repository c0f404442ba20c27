//! Group commit: batches, urgency, order, and outages with a limited backlog.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use mangotrestle_core::{id, journal, task, time};
use mangotrestle_dev::stand_in::service::Outage;
use mangotrestle_dev::stand_in::{object_store as objects, table as rows};
use mangotrestle_platform::group_commit::{CommitError, GroupCommit, Sink, Written};
use mangotrestle_platform::transport::BoxFuture;
use mangotrestle_platform::{budget, object_store, pool_store, schema, table};
use tokio::time::Instant;

/// Sink that records its batches.
#[derive(Clone, Default)]
struct Recorder {
    batches: Arc<Mutex<Vec<Vec<u32>>>>,
    write_time: Duration,
}

impl Sink for Recorder {
    type Item = u32;
    type Receipt = usize;
    type Error = String;

    fn write(
        &mut self,
        batch: Vec<u32>,
        _priority: budget::Priority,
    ) -> BoxFuture<'_, Written<Self>> {
        Box::pin(async move {
            tokio::time::sleep(self.write_time).await;
            let mut batches = self.batches.lock().unwrap();
            batches.push(batch.clone());
            let number = batches.len();
            Written::Done(batch.iter().map(|_| Ok(number)).collect())
        })
    }
}

#[tokio::test(start_paused = true)]
async fn items_submitted_within_the_linger_share_a_batch_in_order() {
    let recorder = Recorder::default();
    let commit = GroupCommit::<Recorder>::builder().spawn(recorder.clone());

    let pending: Vec<_> = (0..5)
        .map(|item| commit.submit(item, budget::Priority::Normal).unwrap())
        .collect();
    for item in pending {
        assert_eq!(item.outcome().await, Ok(1));
    }

    assert_eq!(*recorder.batches.lock().unwrap(), [[0, 1, 2, 3, 4]]);
}

#[tokio::test(start_paused = true)]
async fn urgent_item_does_not_wait_for_the_linger() {
    let recorder = Recorder::default();
    let commit = GroupCommit::<Recorder>::builder()
        .linger(Duration::from_secs(1))
        .spawn(recorder);
    let started = Instant::now();
    let first = commit.submit(1, budget::Priority::Normal).unwrap();

    commit.commit(2, budget::Priority::Urgent).await.unwrap();

    first.outcome().await.unwrap();
    assert_eq!(started.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn slow_writes_give_larger_and_not_more_batches() {
    let recorder = Recorder {
        write_time: Duration::from_millis(500),
        ..Recorder::default()
    };
    let commit = GroupCommit::<Recorder>::builder().spawn(recorder.clone());

    let mut pending = Vec::new();
    for item in 0..1_000 {
        pending.push(commit.submit(item, budget::Priority::Normal).unwrap());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for item in pending {
        item.outcome().await.unwrap();
    }

    // The items are submitted within 5 s, and each write takes 0.5 s.
    assert!(recorder.batches.lock().unwrap().len() <= 12);
}

#[tokio::test(start_paused = true)]
async fn full_buffer_refuses_items_at_once() {
    let recorder = Recorder {
        write_time: Duration::from_mins(1),
        ..Recorder::default()
    };
    let commit = GroupCommit::<Recorder>::builder()
        .max_waiting(10)
        .spawn(recorder);

    let accepted_items =
        (0..100).filter(|&item| commit.submit(item, budget::Priority::Normal).is_ok());

    assert_eq!(accepted_items.count(), 10);
    assert!(matches!(
        commit.submit(0, budget::Priority::Urgent),
        Err(CommitError::Full)
    ));
}

fn pool() -> id::PoolId {
    "glyfada".parse().unwrap()
}

fn store(rows: &rows::TableStandIn, writes_per_s: f64) -> pool_store::PoolStore {
    let table = table::TableClient::builder(Arc::new(rows.clone()))
        .writes(budget::Budget::new(writes_per_s))
        .build();
    let objects = object_store::ObjectStore::new(Arc::new(objects::new()));
    let writer = schema::Writer {
        host: "entry-1".parse().unwrap(),
        incarnation: id::Incarnation(1),
    };
    pool_store::PoolStore::new(table, objects, pool(), writer)
}

fn run(index: u32) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: format!("job-{}", index / 1_000).parse().unwrap(),
            index: index % 1_000,
        },
        attempt: 1,
    }
}

/// Returns the records of a run that starts and ends at the same time.
fn short_run(index: u32) -> pool_store::JournalItem {
    let wall_ms = time::WallTimeMs(index.into());
    let started = journal::Record::RunStarted {
        run: run(index),
        worker: format!("w-{}", index % 48).parse().unwrap(),
        wall_ms,
    };
    let ended = journal::Record::RunEnded {
        run: run(index),
        outcome: task::RunOutcome::Succeeded,
        wall_ms,
    };
    pool_store::JournalItem {
        records: vec![started, ended],
        ..Default::default()
    }
}

#[tokio::test(start_paused = true)]
async fn backlog_of_an_hour_long_outage_is_written_completely_and_within_the_budget() {
    const WRITES_PER_S: f64 = 20.0;
    const ITEMS: u32 = 36_000;
    let rows = rows::new();
    let store = store(&rows, WRITES_PER_S);
    let mut loaded = store.load().await.unwrap();
    store.fence(&mut loaded).await.unwrap();
    let durable_state = pool_store::DurableState::new(&loaded);
    let commit =
        GroupCommit::<pool_store::JournalSink>::builder().spawn(store.journal(&durable_state));
    rows.faults().set_outage(Outage::Unresponsive);

    let mut pending = Vec::new();
    let mut max_waiting_weight = 0;
    for index in 0..ITEMS {
        pending.push(
            commit
                .submit(short_run(index), budget::Priority::Normal)
                .unwrap(),
        );
        max_waiting_weight = max_waiting_weight.max(commit.waiting());
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    rows.faults().set_outage(Outage::None);
    for item in pending {
        item.outcome().await.unwrap();
    }

    let recovered = store.load().await.unwrap().state;
    let ended = recovered.jobs().flat_map(|(_, job)| job.tasks()).count();
    assert_eq!(ended, ITEMS as usize);
    assert_eq!(commit.waiting(), 0);
    assert!(max_waiting_weight < 10_000, "{max_waiting_weight} waiting");
    // The peak is the rate plus one burst.
    let peak = rows.faults().peak_per_s(table::wire::TRANSACT_PATH);
    assert!(f64::from(peak) <= WRITES_PER_S + 2.0, "{peak}");
}
