//! Journal and snapshots of a pool: fencing, recovery after every batch, damaged snapshots.

use std::sync::Arc;

use bytes::Bytes;
use mangotrestle_core::{id, job, journal, resources, task, time};
use mangotrestle_dev::stand_in::{object_store as objects, service, table as rows};
use mangotrestle_platform::group_commit::{Sink, Written};
use mangotrestle_platform::{budget, object_store, pool_store, schema, table};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const JOBS: u32 = 4;
const TASKS: u32 = 6;

struct Platform {
    rows: rows::TableStandIn,
    objects: objects::ObjectStoreStandIn,
}

impl Platform {
    fn new() -> Self {
        Self {
            rows: rows::new(),
            objects: objects::new(),
        }
    }

    fn table(&self) -> table::TableClient {
        table::TableClient::builder(Arc::new(self.rows.clone()))
            .writes(budget::Budget::new(100_000.0))
            .reads(budget::Budget::new(100_000.0))
            .build()
    }

    fn store(&self, host: &str) -> pool_store::PoolStore {
        let writer = schema::Writer {
            host: host.parse().unwrap(),
            incarnation: id::Incarnation(1),
        };
        let objects = object_store::ObjectStore::new(Arc::new(self.objects.clone()));
        pool_store::PoolStore::new(self.table(), objects, pool(), writer)
    }

    async fn lead(&self, host: &str) -> Leader {
        let store = self.store(host);
        let mut loaded = store.load().await.unwrap();
        store.fence(&mut loaded).await.unwrap();
        let durable_state = pool_store::DurableState::new(&loaded);
        let sink = store.journal(&durable_state);
        Leader {
            store,
            loaded,
            durable_state,
            sink,
        }
    }
}

struct Leader {
    store: pool_store::PoolStore,
    loaded: pool_store::Loaded,
    durable_state: pool_store::DurableState,
    sink: pool_store::JournalSink,
}

impl Leader {
    async fn append(
        &mut self,
        records: &[journal::Record],
    ) -> Result<u64, pool_store::AppendError> {
        let item = pool_store::JournalItem {
            records: records.to_vec(),
            ..Default::default()
        };
        match self.sink.write(vec![item], budget::Priority::Normal).await {
            Written::Done(mut results) => results.remove(0),
            Written::Later(_) => panic!("the table is available"),
        }
    }

    async fn compact(&self) -> pool_store::Compacted {
        self.store
            .compact(&self.durable_state, &policy(), time::WallTimeMs(0))
            .await
            .unwrap()
    }
}

fn policy() -> pool_store::CompactionPolicy {
    pool_store::CompactionPolicy::default()
}

fn pool() -> id::PoolId {
    "piraeus".parse().unwrap()
}

fn spec(job: u32) -> job::JobSpec {
    job::JobSpec {
        id: format!("job-{job}").parse().unwrap(),
        team: "bookings".parse().unwrap(),
        pool: pool(),
        kind: job::JobKind::Batch,
        urgency: job::Urgency::Normal,
        tasks: TASKS,
        need: resources::Resources {
            cpu_millicores: 1_000,
            memory_mib: 64,
            accelerators: 0,
            slots: 1,
        },
        run_time_ms: None,
        idempotent: true,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::default(),
    }
}

fn random_run(random: &mut StdRng) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: spec(random.random_range(0..JOBS)).id,
            index: random.random_range(0..TASKS),
        },
        attempt: random.random_range(1..4),
    }
}

fn random_outcome(random: &mut StdRng) -> task::RunOutcome {
    [
        task::RunOutcome::Succeeded,
        task::RunOutcome::Failed,
        task::RunOutcome::Lost,
        task::RunOutcome::Stopped,
    ][random.random_range(0..4)]
}

fn random_record(random: &mut StdRng, wall_ms: u64) -> journal::Record {
    let wall_ms = time::WallTimeMs(wall_ms);
    match random.random_range(0..10) {
        0 => journal::Record::JobAccepted {
            spec: spec(random.random_range(0..JOBS)),
            wall_ms,
        },
        1 => journal::Record::JobCancelled {
            job: spec(random.random_range(0..JOBS)).id,
            revision: random.random_range(2..5),
            wall_ms,
        },
        2 => journal::Record::WorkerDraining {
            worker: "w-1".parse().unwrap(),
            revision: random.random_range(1..9),
            draining: random.random(),
        },
        3..=6 => journal::Record::RunStarted {
            run: random_run(random),
            worker: format!("w-{}", random.random_range(0..5)).parse().unwrap(),
            wall_ms,
        },
        _ => journal::Record::RunEnded {
            run: random_run(random),
            outcome: random_outcome(random),
            wall_ms,
        },
    }
}

fn history(seed: u64, batches: usize) -> Vec<Vec<journal::Record>> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut wall_ms = 0;
    let mut batch = || {
        let size = random.random_range(0..6);
        wall_ms += 1;
        (0..size)
            .map(|_| random_record(&mut random, wall_ms))
            .collect()
    };
    (0..batches).map(|_| batch()).collect()
}

#[tokio::test(start_paused = true)]
async fn state_recovered_after_any_batch_equals_the_state_without_a_failure() {
    for seed in 0..20 {
        let platform = Platform::new();
        let mut random = StdRng::seed_from_u64(seed);
        let mut expected = journal::PoolState::default();
        let mut leader = platform.lead("host-0").await;
        for (batch_index, batch) in history(seed, 40).iter().enumerate() {
            platform
                .rows
                .faults()
                .lose_next_answers(random.random_range(0..2));
            leader.append(batch).await.unwrap();
            expected.apply_all(&journal::coalesce(batch.clone()));
            if random.random_range(0..5) == 0 {
                leader.compact().await;
            }

            let recovered = platform.store("other").load().await.unwrap();

            assert_eq!(
                recovered.state, expected,
                "seed {seed}, batch {batch_index}"
            );
            if random.random_range(0..7) == 0 {
                leader = platform.lead(&format!("host-{batch_index}")).await;
                assert_eq!(
                    leader.loaded.state, expected,
                    "seed {seed}, batch {batch_index}"
                );
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn deposed_leader_appends_nothing_after_its_successor_has_fenced() {
    let platform = Platform::new();
    let mut first = platform.lead("first").await;
    first.append(&history(1, 1)[0]).await.unwrap();
    let mut second = platform.lead("second").await;

    let late = first.append(&history(2, 1)[0]).await;
    let late_again = first.append(&[]).await;
    let successor = second.append(&history(3, 1)[0]).await;

    assert_eq!(late, Err(pool_store::AppendError::Deposed));
    assert_eq!(late_again, Err(pool_store::AppendError::Deposed));
    assert!(successor.is_ok());
}

#[tokio::test(start_paused = true)]
async fn deposed_leader_appends_nothing_after_its_successor_has_compacted() {
    let platform = Platform::new();
    let mut first = platform.lead("first").await;
    let mut second = platform.lead("second").await;
    for batch in history(4, 10) {
        second.append(&batch).await.unwrap();
        second.compact().await;
    }

    let late = first.append(&history(5, 1)[0]).await;

    assert_eq!(late, Err(pool_store::AppendError::Deposed));
}

#[tokio::test(start_paused = true)]
async fn fence_applies_batches_that_the_previous_leader_wrote_after_the_load() {
    let platform = Platform::new();
    let mut first = platform.lead("first").await;
    let store = platform.store("second");
    let mut loaded = store.load().await.unwrap();
    let batch = [random_record(&mut StdRng::seed_from_u64(9), 1)];
    first.append(&batch).await.unwrap();

    store.fence(&mut loaded).await.unwrap();

    assert_eq!(
        loaded.state,
        platform.store("third").load().await.unwrap().state
    );
    assert!(first.append(&batch).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn damaged_snapshot_falls_back_to_the_previous_one_and_the_journal() {
    for damage in [
        Damage::Torn,
        Damage::Corrupt,
        Damage::Missing,
        Damage::Unchecked,
    ] {
        let platform = Platform::new();
        let mut leader = platform.lead("host").await;
        let mut expected = journal::PoolState::default();
        for (index, batch) in history(6, 30).iter().enumerate() {
            leader.append(batch).await.unwrap();
            expected.apply_all(&journal::coalesce(batch.clone()));
            if index % 10 == 9 {
                leader.compact().await;
            }
        }
        let name = current_snapshot_object(&platform);
        damage.apply(&platform.objects, &name);

        let recovered = platform.store("other").load().await.unwrap();

        assert_eq!(recovered.state, expected, "{damage:?}");
        assert_eq!(recovered.notes.len(), 1, "{damage:?}");
    }
}

#[derive(Clone, Copy, Debug)]
enum Damage {
    Torn,
    Corrupt,
    Missing,
    /// Damaged before the store computed its checksum.
    Unchecked,
}

impl Damage {
    fn apply(self, objects: &objects::ObjectStoreStandIn, name: &str) {
        let content = objects.service().content(name).unwrap();
        let torn = content.slice(..content.len() / 2);
        let mut flipped = content.to_vec();
        let middle = flipped.len() / 2;
        flipped[middle] ^= 1;
        let objects = objects.service();
        match self {
            Self::Torn => objects.damage(name, torn, true),
            Self::Corrupt => objects.damage(name, Bytes::from(flipped), false),
            Self::Unchecked => objects.damage(name, Bytes::from(flipped), true),
            Self::Missing => objects.remove(name),
        }
    }
}

fn current_snapshot_object(platform: &Platform) -> String {
    let row = platform.rows.service().row(&schema::snapshot_key(&pool()));
    let reference: schema::SnapshotReference = row.unwrap().decode().unwrap();
    reference.current.object
}

#[tokio::test(start_paused = true)]
async fn compaction_limits_the_number_of_journal_rows_and_objects() {
    let platform = Platform::new();
    let mut leader = platform.lead("host").await;
    for batch in history(7, 200) {
        leader.append(&batch).await.unwrap();
        let sequence = leader.durable_state.tail().sequence;
        if sequence.is_multiple_of(10) {
            leader.compact().await;
        }
    }

    let journal_rows = platform
        .rows
        .service()
        .keys(&schema::journal_prefix(&pool()));
    let objects = platform.objects.service().names();

    assert!(journal_rows.len() <= 20, "{} rows", journal_rows.len());
    assert!(objects.len() <= 2, "{objects:?}");
}

#[tokio::test(start_paused = true)]
async fn compaction_deletes_finished_jobs_with_their_rows() {
    let platform = Platform::new();
    let mut leader = platform.lead("host").await;
    let finished = spec(0);
    let accept = table::Transaction::new()
        .put_json(
            schema::job_key(&pool(), &finished.id),
            &schema::JobRow {
                spec: finished.clone(),
                accepted_wall_ms: time::WallTimeMs(1),
                revision: 1,
                cancelled: false,
            },
        )
        .put_json(
            schema::job_home_key(&finished.id),
            &schema::JobHome { pool: pool() },
        );
    platform.table().transact(&accept).await.unwrap();
    leader
        .append(&[
            journal::Record::JobAccepted {
                spec: finished.clone(),
                wall_ms: time::WallTimeMs(1),
            },
            journal::Record::JobCancelled {
                job: finished.id.clone(),
                revision: 2,
                wall_ms: time::WallTimeMs(2),
            },
        ])
        .await
        .unwrap();

    let later = time::WallTimeMs(10_000_000);
    let compacted = leader
        .store
        .compact(&leader.durable_state, &policy(), later)
        .await
        .unwrap();
    let recovered = platform.store("other").load().await.unwrap();

    assert_eq!(compacted.forgotten, std::slice::from_ref(&finished.id));
    assert_eq!(recovered.state.job_count(), 0);
    assert!(
        platform
            .rows
            .service()
            .row(&schema::job_home_key(&finished.id))
            .is_none()
    );
}

#[tokio::test(start_paused = true)]
async fn batch_survives_an_outage_and_a_lost_answer() {
    let platform = Platform::new();
    let mut leader = platform.lead("host").await;
    let batch = vec![pool_store::JournalItem {
        records: history(8, 3).concat(),
        ..Default::default()
    }];
    platform
        .rows
        .faults()
        .set_outage(service::Outage::Unresponsive);

    let first = leader.sink.write(batch, budget::Priority::Normal).await;
    let Written::Later(unwritten) = first else {
        panic!("the table is unavailable");
    };
    platform.rows.faults().set_outage(service::Outage::None);
    platform.rows.faults().lose_next_answers(1);
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;
    let second = leader.sink.write(unwritten, budget::Priority::Normal).await;

    assert!(matches!(second, Written::Done(results) if results[0].is_ok()));
    let recovered = platform.store("other").load().await.unwrap();
    assert_eq!(recovered.state, leader.durable_state.state());
}

#[tokio::test(start_paused = true)]
async fn batch_with_a_lost_answer_is_found_after_its_write_row_was_swept() {
    let platform = Platform::new();
    let mut leader = platform.lead("host").await;
    let batch = vec![pool_store::JournalItem {
        records: history(8, 3).concat(),
        ..Default::default()
    }];
    platform.rows.faults().lose_next_answers(1);
    let faults = platform.rows.faults().clone();
    let outage = tokio::spawn(async move {
        tokio::time::sleep(std::time::Duration::from_millis(100)).await;
        faults.set_outage(service::Outage::Unresponsive);
    });
    let first = leader.sink.write(batch, budget::Priority::Normal).await;
    let Written::Later(unwritten) = first else {
        panic!("the answer was lost");
    };
    outage.await.unwrap();
    platform.rows.faults().set_outage(service::Outage::None);
    let write_keys = platform.rows.service().keys(schema::WRITE_PREFIX);
    let sweep = write_keys
        .into_iter()
        .fold(table::Transaction::new(), table::Transaction::delete);
    platform.table().transact(&sweep).await.unwrap();
    tokio::time::sleep(std::time::Duration::from_secs(10)).await;

    let second = leader.sink.write(unwritten, budget::Priority::Normal).await;

    assert!(matches!(second, Written::Done(results) if results[0].is_ok()));
    let recovered = platform.store("other").load().await.unwrap();
    assert_eq!(recovered.state, leader.durable_state.state());
    assert_eq!(recovered.tail, leader.durable_state.tail());
}
