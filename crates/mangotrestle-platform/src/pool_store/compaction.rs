//! Folds a journal into a snapshot and deletes what the snapshot makes superfluous.

use mangotrestle_core::id;
use mangotrestle_core::journal;
use mangotrestle_core::time;

use super::{DurableState, LoadError, PoolStore, snapshot};
use crate::schema;
use crate::table;

/// When to compact, and how much of it at once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompactionPolicy {
    /// Batches after which a snapshot is written. Default: 256.
    pub max_batches: u64,
    /// Bytes of batches after which a snapshot is written. Default: 4 MiB.
    pub max_bytes: usize,
    /// Most rows that one compaction deletes. Default: 1,000.
    pub max_deletes: usize,
    /// Time for which finished jobs can still be looked up. Default: 1 h.
    pub keep_finished_ms: time::SpanMs,
}

impl Default for CompactionPolicy {
    fn default() -> Self {
        Self {
            max_batches: 256,
            max_bytes: 4 * 1024 * 1024,
            max_deletes: 1_000,
            keep_finished_ms: time::SpanMs::from_secs(3_600),
        }
    }
}

/// What a compaction did.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compacted {
    /// Last batch in the snapshot.
    pub through: u64,
    /// Length of the snapshot, in bytes.
    pub snapshot_bytes: usize,
    /// Rows deleted.
    pub deleted_rows: usize,
    /// Jobs that finished long ago and are forgotten now.
    pub forgotten: Vec<id::JobId>,
}

impl PoolStore {
    /// Compacts if the policy says so.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the platform cannot be reached or another writer moved the reference; the
    /// journal is whole either way, and a later compaction makes up for it.
    pub async fn compact_if_due(
        &self,
        folded: &DurableState,
        policy: &CompactionPolicy,
        now_wall_ms: time::WallTimeMs,
    ) -> Result<Option<Compacted>, LoadError> {
        let reference = self.snapshot_reference().await?;
        let through = reference.as_ref().map_or(0, |(r, _)| r.current.through);
        let due = {
            let state = folded.lock();
            state.tail.sequence >= through + policy.max_batches
                || state.bytes_since_snapshot >= policy.max_bytes
        };
        if !due {
            return Ok(None);
        }
        self.compact(folded, policy, now_wall_ms).await.map(Some)
    }

    /// Writes a snapshot of the durable state, moves the reference to it, and deletes the rows and
    /// the object that nothing refers to any more.
    ///
    /// # Errors
    ///
    /// Those of [`compact_if_due`](Self::compact_if_due).
    pub async fn compact(
        &self,
        folded: &DurableState,
        policy: &CompactionPolicy,
        now_wall_ms: time::WallTimeMs,
    ) -> Result<Compacted, LoadError> {
        let reference = self.snapshot_reference().await?;
        let mut work = Work::new(folded, reference);
        let before = now_wall_ms - policy.keep_finished_ms;
        // A forgotten job has two rows.
        let forgotten = work.state.forget_finished(before, policy.max_deletes / 4);
        let bytes = snapshot::encode(&work.state, work.through);
        let object = object_name(&self.pool, work.through);
        self.objects
            .put(&object, &bytes)
            .await
            .map_err(LoadError::Object)?;
        let next = work.next_reference(object);
        let transaction = self.transaction(&work, &next, &forgotten, policy);
        let deleted_rows = transaction.deletes.len();
        self.table.transact(&transaction).await?;
        work.finish(folded, &forgotten, &next, deleted_rows);
        self.delete_unreferenced(&work).await;
        Ok(Compacted {
            through: work.through,
            snapshot_bytes: bytes.len(),
            deleted_rows,
            forgotten,
        })
    }

    fn transaction(
        &self,
        work: &Work,
        next: &schema::SnapshotReference,
        forgotten: &[id::JobId],
        policy: &CompactionPolicy,
    ) -> table::Transaction {
        let key = schema::snapshot_key(&self.pool);
        let mut transaction = table::Transaction::new()
            .expect(key.clone(), work.reference.as_ref().map(|r| r.1))
            .put_json(key, next);
        for job in forgotten {
            transaction = transaction
                .delete(schema::job_key(&self.pool, job))
                .delete(schema::job_home_key(job));
        }
        let room = policy.max_deletes.saturating_sub(transaction.deletes.len());
        let kept_after = next.previous.as_ref().map_or(0, |p| p.through);
        let superfluous = (work.first..=kept_after).take(room);
        let keys = superfluous.map(|sequence| schema::journal_key(&self.pool, sequence));
        transaction.deletes.extend(keys);
        transaction
    }

    /// The snapshot before the previous one is no longer referred to. If this fails, an object is
    /// left over and does no harm.
    async fn delete_unreferenced(&self, work: &Work) {
        let old = work
            .reference
            .as_ref()
            .and_then(|(r, _)| r.previous.as_ref());
        if let Some(old) = old {
            let _ = self.objects.delete(&old.object).await;
        }
    }
}

/// A snapshot in the making.
struct Work {
    state: journal::PoolState,
    through: u64,
    first: u64,
    bytes: usize,
    reference: Option<(schema::SnapshotReference, table::Version)>,
}

impl Work {
    fn new(
        folded: &DurableState,
        reference: Option<(schema::SnapshotReference, table::Version)>,
    ) -> Self {
        let folded = folded.lock();
        Self {
            state: folded.state.clone(),
            through: folded.tail.sequence,
            first: folded.first.max(1),
            bytes: folded.bytes_since_snapshot,
            reference,
        }
    }

    fn next_reference(&self, object: String) -> schema::SnapshotReference {
        schema::SnapshotReference {
            current: schema::StoredSnapshot {
                object,
                through: self.through,
            },
            previous: self.reference.as_ref().map(|(r, _)| r.current.clone()),
        }
    }

    /// Takes over into the shared state what was made durable.
    fn finish(
        &self,
        folded: &DurableState,
        forgotten: &[id::JobId],
        next: &schema::SnapshotReference,
        deleted_rows: usize,
    ) {
        let mut folded = folded.lock();
        folded.state.forget(forgotten);
        folded.bytes_since_snapshot = folded.bytes_since_snapshot.saturating_sub(self.bytes);
        let kept_after = next.previous.as_ref().map_or(0, |p| p.through);
        let deleted_batches = (deleted_rows - 2 * forgotten.len()) as u64;
        folded.first = (self.first + deleted_batches)
            .min(kept_after + 1)
            .max(self.first);
    }
}

fn object_name(pool: &id::PoolId, through: u64) -> String {
    let suffix = rand::random::<u64>();
    format!("snapshot/{pool}/{through:016x}-{suffix:016x}")
}
