//! Hosts that reach only half: one is cut off from the table while others are not.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use mangotrestle_core::{id, journal, task, time};
use mangotrestle_dev::stand_in::{object_store as objects, table as rows};
use mangotrestle_platform::group_commit::{CommitError, GroupCommit};
use mangotrestle_platform::transport::{BoxFuture, Transport, TransportError};
use mangotrestle_platform::{budget, object_store, pool_store, schema, table};

/// The way of one host to the table, which can be cut.
struct Way {
    table: rows::TableStandIn,
    cut: Arc<AtomicBool>,
}

impl Transport for Way {
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>> {
        if self.cut.load(Ordering::Relaxed) {
            return Box::pin(std::future::pending());
        }
        self.table.send(request)
    }
}

struct Host {
    cut: Arc<AtomicBool>,
    store: pool_store::PoolStore,
}

fn host(name: &str, rows: &rows::TableStandIn, objects: &objects::ObjectStoreStandIn) -> Host {
    let cut = Arc::new(AtomicBool::new(false));
    let way = Way {
        table: rows.clone(),
        cut: Arc::clone(&cut),
    };
    let writer = schema::Writer {
        host: name.parse().unwrap(),
        incarnation: id::Incarnation(1),
    };
    let store = pool_store::PoolStore::new(
        table::TableClient::builder(Arc::new(way)).build(),
        object_store::ObjectStore::new(Arc::new(objects.clone())),
        "kicukiro".parse().unwrap(),
        writer,
    );
    Host { cut, store }
}

impl Host {
    async fn lead(&self) -> GroupCommit<pool_store::JournalSink> {
        let mut loaded = self.store.load().await.unwrap();
        self.store.fence(&mut loaded).await.unwrap();
        let durable_state = pool_store::DurableState::new(&loaded);
        GroupCommit::<pool_store::JournalSink>::builder().spawn(self.store.journal(&durable_state))
    }
}

fn ended(index: u32) -> pool_store::JournalItem {
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

fn indices(state: &journal::PoolState) -> Vec<u32> {
    let jobs = state.jobs();
    jobs.flat_map(|(_, job)| job.tasks().map(|(index, _)| index))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn leader_cut_off_from_the_table_writes_nothing_once_another_has_taken_over() {
    let (rows, objects) = (rows::new(), objects::new());
    let (old, new) = (host("old", &rows, &objects), host("new", &rows, &objects));
    let old_journal = old.lead().await;
    old_journal
        .commit(ended(1), budget::Priority::Normal)
        .await
        .unwrap();
    old.cut.store(true, Ordering::Relaxed);
    let held_back = old_journal
        .submit(ended(2), budget::Priority::Normal)
        .unwrap();
    tokio::time::sleep(Duration::from_mins(1)).await;

    let new_journal = new.lead().await;
    new_journal
        .commit(ended(3), budget::Priority::Normal)
        .await
        .unwrap();
    old.cut.store(false, Ordering::Relaxed);
    let outcome = held_back.outcome().await;

    assert_eq!(
        outcome,
        Err(CommitError::Failed(pool_store::AppendError::Deposed))
    );
    assert_eq!(indices(&new.store.load().await.unwrap().state), [1, 3]);
}

#[tokio::test(start_paused = true)]
async fn leader_cut_off_from_the_table_alone_catches_up_when_nobody_took_over() {
    let (rows, objects) = (rows::new(), objects::new());
    let (leader, other) = (
        host("leader", &rows, &objects),
        host("other", &rows, &objects),
    );
    let journal = leader.lead().await;
    leader.cut.store(true, Ordering::Relaxed);
    let held_back: Vec<_> = (0..100)
        .map(|index| {
            journal
                .submit(ended(index), budget::Priority::Normal)
                .unwrap()
        })
        .collect();
    tokio::time::sleep(Duration::from_mins(10)).await;

    leader.cut.store(false, Ordering::Relaxed);
    for entry in held_back {
        entry.outcome().await.unwrap();
    }

    assert_eq!(indices(&other.store.load().await.unwrap().state).len(), 100);
}

#[tokio::test(start_paused = true)]
async fn hosts_that_replace_all_others_at_once_find_the_same_state() {
    let (rows, objects) = (rows::new(), objects::new());
    let first = host("first", &rows, &objects);
    let journal = first.lead().await;
    for index in 0..50 {
        journal
            .commit(ended(index), budget::Priority::Normal)
            .await
            .unwrap();
    }
    drop((journal, first));
    let second = host("second", &rows, &objects);
    let third = host("third", &rows, &objects);

    // Both try to lead at once; the table lets one of them write in the end.
    let (one, other) = tokio::join!(second.lead(), third.lead());
    let one = one.commit(ended(50), budget::Priority::Normal).await;
    let other = other.commit(ended(51), budget::Priority::Normal).await;

    assert!(one.is_ok() != other.is_ok(), "{one:?} {other:?}");
    let fourth = host("fourth", &rows, &objects);
    assert_eq!(indices(&fourth.store.load().await.unwrap().state).len(), 51);
}
