//! Compacts a journal into a snapshot and deletes the rows that are no longer needed.

use mangotrestle_core::id;
use mangotrestle_core::journal;
use mangotrestle_core::time;

use super::{DurableState, LoadError, PoolStore, snapshot};
use crate::schema;
use crate::table;

/// When to compact a journal, and how many rows one compaction deletes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompactionPolicy {
    /// Number of batches after which a snapshot is written. Default: 256.
    pub max_batches: u64,
    /// Total size of batches, in bytes, after which a snapshot is written. Default: 4 MiB.
    pub max_bytes: usize,
    /// Maximum number of rows that one compaction deletes. Default: 1,000.
    pub max_deletes: usize,
    /// Time for which finished jobs are kept and can be queried. Default: 1 h.
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

/// Result of a compaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Compacted {
    /// Number of the last batch that the snapshot includes.
    pub through: u64,
    /// Length of the snapshot, in bytes.
    pub snapshot_bytes: usize,
    /// Number of deleted rows.
    pub deleted_rows: usize,
    /// Finished jobs that were removed from the state because they had been kept for
    /// [`CompactionPolicy::keep_finished_ms`].
    pub forgotten: Vec<id::JobId>,
}

impl PoolStore {
    /// Compacts the journal if it has reached a limit of the policy.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the platform is unreachable or another writer changed the snapshot
    /// reference. The journal stays complete in either case, and a later compaction catches up.
    pub async fn compact_if_due(
        &self,
        durable_state: &DurableState,
        policy: &CompactionPolicy,
        now_wall_ms: time::WallTimeMs,
    ) -> Result<Option<Compacted>, LoadError> {
        let reference = self.snapshot_reference().await?;
        let through = reference.as_ref().map_or(0, |(r, _)| r.current.through);
        let is_due = {
            let state = durable_state.lock();
            state.tail.sequence >= through + policy.max_batches
                || state.bytes_since_snapshot >= policy.max_bytes
        };
        if !is_due {
            return Ok(None);
        }
        self.compact(durable_state, policy, now_wall_ms)
            .await
            .map(Some)
    }

    /// Writes a snapshot of the durable state, sets the reference to it, and deletes the rows and
    /// the object that are no longer referenced.
    ///
    /// # Errors
    ///
    /// Those of [`compact_if_due`](Self::compact_if_due).
    pub async fn compact(
        &self,
        durable_state: &DurableState,
        policy: &CompactionPolicy,
        now_wall_ms: time::WallTimeMs,
    ) -> Result<Compacted, LoadError> {
        let reference = self.snapshot_reference().await?;
        let mut compaction = Compaction::new(durable_state, reference);
        let finished_before = now_wall_ms - policy.keep_finished_ms;
        // Forgetting a job deletes two rows, its job row and its home row.
        let forgotten = compaction
            .state
            .forget_finished(finished_before, policy.max_deletes / 4);
        let bytes = snapshot::encode(&compaction.state, compaction.through);
        let object = object_name(&self.pool, compaction.through);
        self.objects
            .put(&object, &bytes)
            .await
            .map_err(LoadError::Object)?;
        let next = compaction.next_reference(object);
        let transaction = self.compaction_transaction(&compaction, &next, &forgotten, policy);
        let deleted_rows = transaction.deletes.len();
        self.table.transact(&transaction).await?;
        compaction.finish(durable_state, &forgotten, &next, deleted_rows);
        self.delete_unreferenced(&compaction).await;
        Ok(Compacted {
            through: compaction.through,
            snapshot_bytes: bytes.len(),
            deleted_rows,
            forgotten,
        })
    }

    fn compaction_transaction(
        &self,
        compaction: &Compaction,
        next: &schema::SnapshotReference,
        forgotten: &[id::JobId],
        policy: &CompactionPolicy,
    ) -> table::Transaction {
        let key = schema::snapshot_key(&self.pool);
        let mut transaction = table::Transaction::new()
            .expect(key.clone(), compaction.reference.as_ref().map(|r| r.1))
            .put_json(key, next);
        for job in forgotten {
            transaction = transaction
                .delete(schema::job_key(&self.pool, job))
                .delete(schema::job_home_key(job));
        }
        let remaining_deletes = policy.max_deletes.saturating_sub(transaction.deletes.len());
        let deletable_through = next.previous.as_ref().map_or(0, |p| p.through);
        let deletable = (compaction.first..=deletable_through).take(remaining_deletes);
        let keys = deletable.map(|sequence| schema::journal_key(&self.pool, sequence));
        transaction.deletes.extend(keys);
        transaction
    }

    /// Deletes the snapshot before the previous one, which is no longer referenced. A failure
    /// leaves an unused object behind, which does no harm.
    async fn delete_unreferenced(&self, compaction: &Compaction) {
        let unreferenced = compaction
            .reference
            .as_ref()
            .and_then(|(r, _)| r.previous.as_ref());
        if let Some(unreferenced) = unreferenced {
            let _ = self.objects.delete(&unreferenced.object).await;
        }
    }
}

/// A compaction in progress, with the durable state at its start.
struct Compaction {
    state: journal::PoolState,
    /// Number of the last batch that the snapshot includes.
    through: u64,
    /// Number of the first batch that still has a row.
    first: u64,
    /// Total size of the batches since the previous snapshot.
    bytes: usize,
    reference: Option<(schema::SnapshotReference, table::Version)>,
}

impl Compaction {
    fn new(
        durable_state: &DurableState,
        reference: Option<(schema::SnapshotReference, table::Version)>,
    ) -> Self {
        let durable_state = durable_state.lock();
        Self {
            state: durable_state.state.clone(),
            through: durable_state.tail.sequence,
            first: durable_state.first.max(1),
            bytes: durable_state.bytes_since_snapshot,
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

    /// Updates the shared state after the compaction was committed.
    fn finish(
        &self,
        durable_state: &DurableState,
        forgotten: &[id::JobId],
        next: &schema::SnapshotReference,
        deleted_rows: usize,
    ) {
        let mut durable_state = durable_state.lock();
        durable_state.state.forget(forgotten);
        durable_state.bytes_since_snapshot = durable_state
            .bytes_since_snapshot
            .saturating_sub(self.bytes);
        let deletable_through = next.previous.as_ref().map_or(0, |p| p.through);
        let deleted_batches = (deleted_rows - 2 * forgotten.len()) as u64;
        durable_state.first = (self.first + deleted_batches)
            .min(deletable_through + 1)
            .max(self.first);
    }
}

fn object_name(pool: &id::PoolId, through: u64) -> String {
    let suffix = rand::random::<u64>();
    format!("snapshot/{pool}/{through:016x}-{suffix:016x}")
}
