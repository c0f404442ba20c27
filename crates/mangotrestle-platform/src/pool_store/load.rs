//! Rebuilds a pool's state: snapshot, then journal, then the rows of accepted jobs.

use mangotrestle_core::id;
use mangotrestle_core::journal;
use mangotrestle_core::lease::roster;

use super::{LoadError, PoolStore, Tail, snapshot};
use crate::object_store;
use crate::schema;
use crate::table;

/// Tries to read a state that does not change meanwhile.
const MAX_READS: u32 = 5;

/// Something unusual that was met while loading, for the log and for `status`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Note {
    /// The snapshot could not be read; the one before and more of the journal were used.
    UsedPreviousSnapshot {
        /// Name of the damaged object.
        object: String,
        /// What was wrong with it.
        fault: String,
    },
}

/// The state of a pool as the platform has it.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// The folded state.
    pub state: journal::PoolState,
    /// End of the journal.
    pub tail: Tail,
    /// First batch that still has a row.
    pub first: u64,
    /// The reference to the snapshot, with its version.
    pub snapshot: Option<(schema::SnapshotReference, table::Version)>,
    /// The roster, with its version in the table.
    pub roster: Option<(roster::Roster, table::Version)>,
    /// What was unusual.
    pub notes: Vec<Note>,
}

impl PoolStore {
    /// Loads the state of the pool. Nothing is written.
    ///
    /// # Errors
    ///
    /// [`LoadError`] if the platform cannot be reached or what it has cannot be read.
    pub async fn load(&self) -> Result<Loaded, LoadError> {
        let mut gap = LoadError::Unstable;
        for _ in 0..MAX_READS {
            match self.load_once().await {
                Ok(loaded) if self.is_still(&loaded).await? => return Ok(loaded),
                Ok(_) => gap = LoadError::Unstable,
                // A compaction may have deleted batches while they were read.
                Err(error @ LoadError::MissingBatch(_)) => gap = error,
                Err(error) => return Err(error),
            }
        }
        Err(gap)
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

    /// Whether no compaction moved the snapshot since the load began.
    async fn is_still(&self, loaded: &Loaded) -> Result<bool, LoadError> {
        let now = self.snapshot_reference().await?;
        let version = |reference: &Option<(_, table::Version)>| reference.as_ref().map(|r| r.1);
        Ok(version(&now) == version(&loaded.snapshot))
    }

    pub(super) async fn snapshot_reference(
        &self,
    ) -> Result<Option<(schema::SnapshotReference, table::Version)>, table::TableError> {
        let row = self.table.get(&schema::snapshot_key(&self.pool)).await?;
        row.map(|row| Ok((row.decode()?, row.version))).transpose()
    }

    /// The pool's roster, with its version in the table.
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

    /// Writes a roster on the condition that the present one has this version.
    ///
    /// # Errors
    ///
    /// [`table::TableError::Conflict`] if another roster was written.
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

    /// The specifications of jobs that were accepted for the pool.
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
        let fault = match self.read_stored(&reference.current).await? {
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
        let state = self.read_stored(&previous).await?;
        loaded.state = state.map_err(LoadError::NoSnapshot)?;
        loaded.tail.sequence = previous.through;
        Ok(())
    }

    /// Reads a snapshot; the inner error says what is wrong with it for good.
    async fn read_stored(
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
            return Ok(Err("the object is another snapshot".to_owned()));
        }
        Ok(Ok(snapshot.state))
    }
}

/// Folds in all batches after the tail, and moves the tail.
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
        fold_batch(loaded, sequence, &row)?;
    }
    Ok(())
}

fn fold_batch(loaded: &mut Loaded, sequence: u64, row: &table::Row) -> Result<(), LoadError> {
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
