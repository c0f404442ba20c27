//! The durable state of a pool: journal rows in the table, snapshots in the object store.
//!
//! The journal is a sequence of rows, one for each batch. A batch is appended on the condition that
//! the last row has the version that the writer knows and that the next row does not exist.
//! A replaced leader therefore cannot append after its successor's first batch, however late its
//! request arrives. The successor's first batch, written by [`PoolStore::fence`], is empty.
//!
//! A snapshot through batch *n* depends only on the batches up to *n*, so it does not matter which
//! host writes it; the reference to it is changed by a conditional write. The reference also names
//! the previous snapshot, and the batches after that one are kept. If a snapshot is torn or
//! corrupt, more of the journal has to be read, but no state is lost.
//!
//! # Complexity
//!
//! Loading reads one object, the batches since the snapshot and the rows of accepted jobs. With
//! compaction every [`CompactionPolicy::max_batches`] batches, at most twice that many batches are
//! read.

mod compaction;
mod journal_sink;
mod load;
pub mod snapshot;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::journal;

use crate::object_store;
use crate::schema;
use crate::table;

pub use compaction::{Compacted, CompactionPolicy};
pub use journal_sink::{JournalItem, JournalSink};
pub use load::{Loaded, Note};

/// End of a pool's journal.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Tail {
    /// Number of the last batch; 0 if there is none.
    pub sequence: u64,
    /// Version of the last batch's row.
    pub version: Option<table::Version>,
}

/// Error when appending a batch.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AppendError {
    /// another entry host writes this journal now
    Deposed,
    /// {0}
    Table(table::TableError),
}

impl std::error::Error for AppendError {}

/// Error when loading or compacting the state of a pool.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LoadError {
    /// {0}
    Table(table::TableError),
    /// {0}
    Object(object_store::ObjectError),
    /// neither the current nor the previous snapshot can be read: {0}
    NoSnapshot(String),
    /// batch {0} of the journal is missing
    MissingBatch(u64),
    /// the state kept changing while it was read
    Unstable,
}

impl std::error::Error for LoadError {}

impl From<table::TableError> for LoadError {
    fn from(error: table::TableError) -> Self {
        Self::Table(error)
    }
}

/// The durable state as known to the journal's writer, shared with the compaction.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    inner: Arc<Mutex<DurableStateInner>>,
}

#[derive(Debug, Default)]
struct DurableStateInner {
    state: journal::PoolState,
    tail: Tail,
    /// Number of the first batch that still has a row.
    first: u64,
    bytes_since_snapshot: usize,
}

impl DurableState {
    /// Creates the state after loading and fencing.
    #[must_use]
    pub fn new(loaded: &Loaded) -> Self {
        let state = DurableStateInner {
            state: loaded.state.clone(),
            tail: loaded.tail,
            first: loaded.first,
            bytes_since_snapshot: 0,
        };
        Self {
            inner: Arc::new(Mutex::new(state)),
        }
    }

    /// Returns the end of the durable journal.
    #[must_use]
    pub fn tail(&self) -> Tail {
        self.lock().tail
    }

    /// Returns a copy of the durable state.
    #[must_use]
    pub fn state(&self) -> journal::PoolState {
        self.lock().state.clone()
    }

    fn lock(&self) -> MutexGuard<'_, DurableStateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Access to the durable state of one pool on behalf of one writer.
#[derive(Clone)]
pub struct PoolStore {
    table: table::TableClient,
    objects: object_store::ObjectStore,
    pool: id::PoolId,
    writer: schema::Writer,
}

impl PoolStore {
    /// Creates a store that writes on behalf of an entry host.
    #[must_use]
    pub const fn new(
        table: table::TableClient,
        objects: object_store::ObjectStore,
        pool: id::PoolId,
        writer: schema::Writer,
    ) -> Self {
        Self {
            table,
            objects,
            pool,
            writer,
        }
    }

    /// Returns the pool whose state is stored.
    #[must_use]
    pub const fn pool(&self) -> &id::PoolId {
        &self.pool
    }

    /// Appends the empty batch that fences the previous writer, and applies the batches that the
    /// previous writer appended since the state was loaded. Must be called after this host has
    /// claimed the pool and before anything else is appended.
    ///
    /// # Errors
    ///
    /// [`AppendError::Table`] while the table is unreachable. The host can lead the pool meanwhile,
    /// but no host can append to the journal.
    pub async fn fence(&self, loaded: &mut Loaded) -> Result<(), AppendError> {
        loop {
            let append =
                journal_sink::append_transaction(&self.pool, &self.writer, loaded.tail, &[]);
            match self.table.transact(&append).await {
                Ok(committed) => {
                    loaded.tail = journal_sink::next_tail(loaded.tail, committed);
                    return Ok(());
                }
                Err(table::TableError::Conflict { .. }) => self.catch_up(loaded).await?,
                Err(error) => return Err(AppendError::Table(error)),
            }
        }
    }

    /// Applies the batches that another writer appended.
    async fn catch_up(&self, loaded: &mut Loaded) -> Result<(), AppendError> {
        let old_tail = loaded.tail;
        load::read_batches(&self.table, &self.pool, loaded)
            .await
            .map_err(|_| AppendError::Deposed)?;
        if loaded.tail == old_tail {
            // No newer batch caused the conflict: a compaction has advanced the journal.
            return Err(AppendError::Deposed);
        }
        Ok(())
    }

    /// Returns the sink that appends to the journal, to be run by a
    /// [`GroupCommit`](crate::group_commit::GroupCommit).
    #[must_use]
    pub fn journal(&self, durable_state: &DurableState) -> JournalSink {
        JournalSink::new(
            self.table.clone(),
            self.pool.clone(),
            self.writer.clone(),
            durable_state.clone(),
        )
    }
}
