//! Partial outages: the table is unreachable from one host while other hosts reach it.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use mangotrestle_core::{id, journal, task, time};
use mangotrestle_dev::stand_in::{object_store as objects, table as rows};
use mangotrestle_platform::group_commit::{CommitError, GroupCommit};
use mangotrestle_platform::transport::{BoxFuture, Transport, TransportError};
use mangotrestle_platform::{budget, object_store, pool_store, schema, table};

/// Transport of one host to the table, which can be disconnected.
struct TablePath {
    table: rows::TableStandIn,
    disconnected: Arc<AtomicBool>,
}

impl Transport for TablePath {
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Box::pin(std::future::pending());
        }
        self.table.send(request)
    }
}

struct Host {
    disconnected: Arc<AtomicBool>,
    store: pool_store::PoolStore,
}

fn host(name: &str, rows: &rows::TableStandIn, objects: &objects::ObjectStoreStandIn) -> Host {
    let disconnected = Arc::new(AtomicBool::new(false));
    let table_path = TablePath {
        table: rows.clone(),
        disconnected: Arc::clone(&disconnected),
    };
    let writer = schema::Writer {
        host: name.parse().unwrap(),
        incarnation: id::Incarnation(1),
    };
    let store = pool_store::PoolStore::new(
        table::TableClient::builder(Arc::new(table_path)).build(),
        object_store::ObjectStore::new(Arc::new(objects.clone())),
        "kicukiro".parse().unwrap(),
        writer,
    );
    Host {
        disconnected,
        store,
    }
}

impl Host {
    async fn lead(&self) -> GroupCommit<pool_store::JournalSink> {
        let mut loaded = self.store.load().await.unwrap();
        self.store.fence(&mut loaded).await.unwrap();
        let durable_state = pool_store::DurableState::new(&loaded);
        GroupCommit::<pool_store::JournalSink>::builder().spawn(self.store.journal(&durable_state))
    }
}

fn run_ended(index: u32) -> pool_store::JournalItem {
    let record = journal::Record::RunEnded {
        run: task::RunId {
            task: task::TaskId {
                job: "samples".parse().unwrap(),
                index,
            },
            attempt: 1,
        },
        outcome: task::RunOutcome::Succeeded,
        wall_ms: time::WallTimeMs(1),
    };
    record.into()
}

fn task_indices(state: &journal::PoolState) -> Vec<u32> {
    let jobs = state.jobs();
    jobs.flat_map(|(_, job)| job.tasks().map(|(index, _)| index))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn leader_without_the_table_writes_nothing_after_another_host_took_over() {
    let (rows, objects) = (rows::new(), objects::new());
    let (old, new) = (host("old", &rows, &objects), host("new", &rows, &objects));
    let old_journal = old.lead().await;
    old_journal
        .commit(run_ended(1), budget::Priority::Normal)
        .await
        .unwrap();
    old.disconnected.store(true, Ordering::Relaxed);
    let pending = old_journal
        .submit(run_ended(2), budget::Priority::Normal)
        .unwrap();
    tokio::time::sleep(Duration::from_mins(1)).await;

    let new_journal = new.lead().await;
    new_journal
        .commit(run_ended(3), budget::Priority::Normal)
        .await
        .unwrap();
    old.disconnected.store(false, Ordering::Relaxed);
    let outcome = pending.outcome().await;

    assert_eq!(
        outcome,
        Err(CommitError::Failed(pool_store::AppendError::Deposed))
    );
    assert_eq!(task_indices(&new.store.load().await.unwrap().state), [1, 3]);
}

#[tokio::test(start_paused = true)]
async fn leader_without_the_table_catches_up_if_no_other_host_took_over() {
    let (rows, objects) = (rows::new(), objects::new());
    let (leader, other) = (
        host("leader", &rows, &objects),
        host("other", &rows, &objects),
    );
    let journal = leader.lead().await;
    leader.disconnected.store(true, Ordering::Relaxed);
    let pending: Vec<_> = (0..100)
        .map(|index| {
            journal
                .submit(run_ended(index), budget::Priority::Normal)
                .unwrap()
        })
        .collect();
    tokio::time::sleep(Duration::from_mins(10)).await;

    leader.disconnected.store(false, Ordering::Relaxed);
    for entry in pending {
        entry.outcome().await.unwrap();
    }

    assert_eq!(
        task_indices(&other.store.load().await.unwrap().state).len(),
        100
    );
}

#[tokio::test(start_paused = true)]
async fn hosts_that_replace_all_others_at_once_load_the_same_state() {
    let (rows, objects) = (rows::new(), objects::new());
    let first = host("first", &rows, &objects);
    let journal = first.lead().await;
    for index in 0..50 {
        journal
            .commit(run_ended(index), budget::Priority::Normal)
            .await
            .unwrap();
    }
    drop((journal, first));
    let second = host("second", &rows, &objects);
    let third = host("third", &rows, &objects);

    // Both hosts try to lead at the same time; the table accepts the writes of only one of them.
    let (second_journal, third_journal) = tokio::join!(second.lead(), third.lead());
    let second_result = second_journal
        .commit(run_ended(50), budget::Priority::Normal)
        .await;
    let third_result = third_journal
        .commit(run_ended(51), budget::Priority::Normal)
        .await;

    assert!(
        second_result.is_ok() != third_result.is_ok(),
        "{second_result:?} {third_result:?}"
    );
    let fourth = host("fourth", &rows, &objects);
    assert_eq!(
        task_indices(&fourth.store.load().await.unwrap().state).len(),
        51
    );
}
