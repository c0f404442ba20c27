//! The lasting state of a pool: journal rows in the table, snapshots in the object store.
//!
//! The journal is a sequence of rows. A batch is appended on the condition that the last row is
//! the one that the writer knows and that the next does not exist, so a leader that was replaced
//! cannot append after its successor's first batch, however late its request arrives. The
//! successor's first batch, [`PoolStore::fence`], is empty.
//!
//! A snapshot through batch *n* is a function of the batches up to *n* and of nothing else, so it
//! does not matter who writes it; its reference moves by a conditional write. The reference names
//! the previous snapshot too, and the batches after that one are kept, so a torn or corrupt
//! snapshot costs reading more of the journal and nothing else.
//!
//! # Complexity
//!
//! Loading reads one object, the batches since the snapshot and the rows of the live jobs. With
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
    /// Version of its row.
    pub version: Option<table::Version>,
}

/// Why a batch could not be appended.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum AppendError {
    /// another entry host writes this journal now
    Deposed,
    /// {0}
    Table(table::TableError),
}

impl std::error::Error for AppendError {}

/// Why the state of a pool could not be loaded.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum LoadError {
    /// {0}
    Table(table::TableError),
    /// {0}
    Object(object_store::ObjectError),
    /// neither the snapshot nor the one before it can be read: {0}
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

/// The durable state as the journal's writer knows it, shared with the compaction.
#[derive(Clone, Debug, Default)]
pub struct DurableState {
    inner: Arc<Mutex<DurableStateInner>>,
}

#[derive(Debug, Default)]
struct DurableStateInner {
    state: journal::PoolState,
    tail: Tail,
    /// First batch that still has a row.
    first: u64,
    bytes_since_snapshot: usize,
}

impl DurableState {
    /// State after loading and fencing.
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

    /// End of the durable journal.
    #[must_use]
    pub fn tail(&self) -> Tail {
        self.lock().tail
    }

    /// A copy of the durable state.
    #[must_use]
    pub fn state(&self) -> journal::PoolState {
        self.lock().state.clone()
    }

    fn lock(&self) -> MutexGuard<'_, DurableStateInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Access to the lasting state of one pool in the name of one writer.
#[derive(Clone)]
pub struct PoolStore {
    table: table::TableClient,
    objects: object_store::ObjectStore,
    pool: id::PoolId,
    writer: schema::Writer,
}

impl PoolStore {
    /// Access in the name of an entry host.
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

    /// The pool.
    #[must_use]
    pub const fn pool(&self) -> &id::PoolId {
        &self.pool
    }

    /// Appends the empty batch that shuts the former writer out, and folds in what that writer
    /// appended since the state was loaded. Call it once this host has claimed the pool, and
    /// before anything else is appended.
    ///
    /// # Errors
    ///
    /// [`AppendError::Table`] while the table cannot be reached; the pool can be led meanwhile,
    /// and nothing can be appended by anybody.
    pub async fn fence(&self, loaded: &mut Loaded) -> Result<(), AppendError> {
        loop {
            let append = journal_sink::append(&self.pool, &self.writer, loaded.tail, &[]);
            match self.table.transact(&append).await {
                Ok(committed) => {
                    loaded.tail = journal_sink::next(loaded.tail, committed);
                    return Ok(());
                }
                Err(table::TableError::Conflict { .. }) => self.catch_up(loaded).await?,
                Err(error) => return Err(AppendError::Table(error)),
            }
        }
    }

    /// Folds in batches that another writer appended.
    async fn catch_up(&self, loaded: &mut Loaded) -> Result<(), AppendError> {
        let before = loaded.tail;
        load::read_batches(&self.table, &self.pool, loaded)
            .await
            .map_err(|_| AppendError::Deposed)?;
        if loaded.tail == before {
            // The conflict was not about a newer batch: the journal moved on by a compaction.
            return Err(AppendError::Deposed);
        }
        Ok(())
    }

    /// The sink that appends to the journal; give it to a
    /// [`GroupCommit`](crate::group_commit::GroupCommit).
    #[must_use]
    pub fn journal(&self, folded: &DurableState) -> JournalSink {
        JournalSink::new(
            self.table.clone(),
            self.pool.clone(),
            self.writer.clone(),
            folded.clone(),
        )
    }
}
