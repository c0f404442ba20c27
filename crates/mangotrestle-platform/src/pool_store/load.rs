//! Rebuilds a pool's state from the snapshot, the journal and the rows of accepted jobs.

use mangotrestle_core::id;
use mangotrestle_core::journal;
use mangotrestle_core::lease::roster;

use super::{LoadError, PoolStore, Tail, snapshot};
use crate::object_store;
use crate::schema;
use crate::table;

/// Maximum number of attempts to load the state; an attempt fails if a compaction runs meanwhile.
const MAX_LOAD_ATTEMPTS: u32 = 5;

/// A problem that was worked around while loading, for the log and for `status`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// The current snapshot could not be read; the previous one and more of the journal were used.
    UsedPreviousSnapshot {
        /// Name of the damaged object.
        object: String,
        /// Why the object could not be used.
        fault: String,
    },
}

/// The state of a pool as loaded from the platform.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// State after applying the journal to the snapshot.
    pub state: journal::PoolState,
    /// End of the journal.
    pub tail: Tail,
    /// Number of the first batch that still has a row.
    pub first: u64,
    /// Reference to the snapshots, with the version of its row.
    pub snapshot: Option<(schema::SnapshotReference, table::Version)>,
    /// The roster, with the version of its row.
    pub roster: Option<(roster::Roster, table::Version)>,
    /// Problems that were worked around.
    pub notes: Vec<Note>,
}

impl PoolStore {
    /// Loads the state of the pool. Nothing is written.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the platform is unreachable or the stored state cannot be read.
    pub async fn load(&self) -> Result<Loaded, LoadError> {
        let mut last_error = LoadError::Unstable;
        for _ in 0..MAX_LOAD_ATTEMPTS {
            match self.load_once().await {
                Ok(loaded) if self.is_snapshot_unchanged(&loaded).await? => return Ok(loaded),
                Ok(_) => last_error = LoadError::Unstable,
                // A compaction may have deleted batches while they were being read.
                Err(error @ LoadError::MissingBatch(_)) => last_error = error,
                Err(error) => return Err(error),
            }
        }
        Err(last_error)
    }

    async fn load_once(&self) -> Result<Loaded, LoadError> {
        let mut loaded = Loaded {
            snapshot: self.snapshot_reference().await?,
            ..Loaded::default()
        };
        self.read_snapshot(&mut loaded).await?;
        read_batches(&self.table, &self.pool, &mut loaded).await?;
        self.read_jobs(&mut loaded).await?;
        loaded.roster = self.roster().await?;
        Ok(loaded)
    }

    /// Whether the snapshot reference is still the one with which the load began, so that no
    /// compaction ran meanwhile.
    async fn is_snapshot_unchanged(&self, loaded: &Loaded) -> Result<bool, LoadError> {
        let current = self.snapshot_reference().await?;
        let version = |reference: &Option<(_, table::Version)>| reference.as_ref().map(|r| r.1);
        Ok(version(&current) == version(&loaded.snapshot))
    }

    pub(super) async fn snapshot_reference(
        &self,
    ) -> Result<Option<(schema::SnapshotReference, table::Version)>, table::TableError> {
        let row = self.table.get(&schema::snapshot_key(&self.pool)).await?;
        row.map(|row| Ok((row.decode()?, row.version))).transpose()
    }

    /// Reads the pool's roster, with the version of its row.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn roster(
        &self,
    ) -> Result<Option<(roster::Roster, table::Version)>, table::TableError> {
        let row = self.table.get(&schema::roster_key(&self.pool)).await?;
        row.map(|row| Ok((row.decode()?, row.version))).transpose()
    }

    /// Writes a roster on the condition that the row of the current one has the expected version.
    ///
    /// # Errors
    ///
    /// [`table::TableError::Conflict`] if another roster was written meanwhile, and other errors of
    /// the table.
    pub async fn write_roster(
        &self,
        roster: &roster::Roster,
        expected: Option<table::Version>,
    ) -> Result<table::Committed, table::TableError> {
        let key = schema::roster_key(&self.pool);
        let transaction = table::Transaction::new()
            .expect(key.clone(), expected)
            .put_json(key, roster);
        self.table.transact(&transaction).await
    }

    /// Reads the rows of all jobs that were accepted for the pool.
    ///
    /// # Errors
    ///
    /// Those of the table.
    pub async fn accepted_jobs(&self) -> Result<Vec<schema::JobRow>, table::TableError> {
        let rows = self
            .table
            .scan_all(&schema::jobs_prefix(&self.pool), None)
            .await?;
        rows.iter().map(table::Row::decode).collect()
    }

    async fn read_jobs(&self, loaded: &mut Loaded) -> Result<(), LoadError> {
        for row in self.accepted_jobs().await? {
            loaded.state.apply(&journal::Record::JobAccepted {
                spec: row.spec,
                wall_ms: row.accepted_wall_ms,
            });
        }
        Ok(())
    }

    async fn read_snapshot(&self, loaded: &mut Loaded) -> Result<(), LoadError> {
        let Some((reference, _)) = loaded.snapshot.clone() else {
            return Ok(());
        };
        let fault = match self.read_snapshot_object(&reference.current).await? {
            Ok(state) => {
                loaded.state = state;
                loaded.tail.sequence = reference.current.through;
                return Ok(());
            }
            Err(fault) => fault,
        };
        loaded.notes.push(Note::UsedPreviousSnapshot {
            object: reference.current.object,
            fault,
        });
        let Some(previous) = reference.previous else {
            return Ok(());
        };
        let state = self.read_snapshot_object(&previous).await?;
        loaded.state = state.map_err(LoadError::NoSnapshot)?;
        loaded.tail.sequence = previous.through;
        Ok(())
    }

    /// Reads a snapshot. The inner error describes permanent damage, which a retry would not
    /// repair.
    async fn read_snapshot_object(
        &self,
        stored: &schema::StoredSnapshot,
    ) -> Result<Result<journal::PoolState, String>, LoadError> {
        let bytes = match self.objects.get(&stored.object).await {
            Ok(bytes) => bytes,
            Err(object_store::ObjectError::Unavailable) => {
                return Err(LoadError::Object(object_store::ObjectError::Unavailable));
            }
            Err(error) => return Ok(Err(error.to_string())),
        };
        let snapshot = match snapshot::decode(&bytes) {
            Ok(snapshot) => snapshot,
            Err(error) => return Ok(Err(error.to_string())),
        };
        if snapshot
            .through
            .is_some_and(|through| through != stored.through)
        {
            return Ok(Err(
                "the object holds a snapshot through another batch".to_owned()
            ));
        }
        Ok(Ok(snapshot.state))
    }
}

/// Applies all batches after the tail, and advances the tail.
pub(super) async fn read_batches(
    table: &table::TableClient,
    pool: &id::PoolId,
    loaded: &mut Loaded,
) -> Result<(), LoadError> {
    let prefix = schema::journal_prefix(pool);
    let rows = table.scan_all(&prefix, None).await?;
    loaded.first = rows
        .first()
        .and_then(|row| sequence_of(&prefix, row))
        .unwrap_or(loaded.tail.sequence + 1);
    for row in rows {
        let Some(sequence) = sequence_of(&prefix, &row) else {
            continue;
        };
        apply_batch(loaded, sequence, &row)?;
    }
    Ok(())
}

fn apply_batch(loaded: &mut Loaded, sequence: u64, row: &table::Row) -> Result<(), LoadError> {
    if sequence < loaded.tail.sequence {
        return Ok(());
    }
    if sequence == loaded.tail.sequence {
        loaded.tail.version = Some(row.version);
        return Ok(());
    }
    if sequence != loaded.tail.sequence + 1 {
        return Err(LoadError::MissingBatch(loaded.tail.sequence + 1));
    }
    let batch: schema::JournalRow = row.decode()?;
    loaded.state.apply_all(&batch.records);
    loaded.tail = Tail {
        sequence,
        version: Some(row.version),
    };
    Ok(())
}

fn sequence_of(prefix: &str, row: &table::Row) -> Option<u64> {
    let number = row.key.strip_prefix(prefix)?;
    u64::from_str_radix(number, 16).ok()
}
