//! Appends to a pool's journal.

use mangotrestle_core::id;
use mangotrestle_core::journal;

use super::{AppendError, DurableState, Tail};
use crate::budget;
use crate::group_commit::{Sink, Written};
use crate::schema;
use crate::table;
use crate::transport::BoxFuture;

/// What is appended together: records, and rows that belong to them, such as a command's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalItem {
    /// What happened.
    pub records: Vec<journal::Record>,
    /// Rows to write in the same transaction, without conditions of their own.
    pub rows: Vec<table::Put>,
    /// Rows to delete in the same transaction, such as a command's row in the inbox.
    pub deletes: Vec<String>,
}

impl From<journal::Record> for JournalItem {
    fn from(record: journal::Record) -> Self {
        Self {
            records: vec![record],
            ..Self::default()
        }
    }
}

/// Writes batches of a pool's journal. It keeps its items through outages, and refuses all once
/// another entry host writes the journal.
pub struct JournalSink {
    table: table::TableClient,
    pool: id::PoolId,
    writer: schema::Writer,
    folded: DurableState,
    /// A batch whose outcome is not known; it is sent again as it is.
    unsettled: Option<table::Transaction>,
    deposed: bool,
}

impl JournalSink {
    pub(super) const fn new(
        table: table::TableClient,
        pool: id::PoolId,
        writer: schema::Writer,
        folded: DurableState,
    ) -> Self {
        Self {
            table,
            pool,
            writer,
            folded,
            unsettled: None,
            deposed: false,
        }
    }

    async fn append_batch(
        &mut self,
        batch: Vec<JournalItem>,
        priority: budget::Priority,
    ) -> Written<Self> {
        if self.deposed {
            return refuse(&batch, &AppendError::Deposed);
        }
        let records = coalesced(&batch);
        let append = match self.unsettled.take() {
            Some(append) => append,
            None => self.encode(&batch, &records),
        };
        match self.table.transact_with(&append, priority).await {
            Ok(committed) => {
                let sequence = self.fold(&records, &append, committed);
                Written::Done(batch.iter().map(|_| Ok(sequence)).collect())
            }
            Err(table::TableError::Conflict { current, .. }) => {
                if let Some(committed) = own_row(&append, &current) {
                    let sequence = self.fold(&records, &append, committed);
                    return Written::Done(batch.iter().map(|_| Ok(sequence)).collect());
                }
                self.deposed = true;
                refuse(&batch, &AppendError::Deposed)
            }
            Err(table::TableError::Unavailable { .. }) => Written::Later(batch),
            Err(table::TableError::Unsettled(_)) => {
                self.unsettled = Some(append);
                Written::Later(batch)
            }
            Err(error) => refuse(&batch, &AppendError::Table(error)),
        }
    }

    fn encode(&self, batch: &[JournalItem], records: &[journal::Record]) -> table::Transaction {
        let mut append = append(&self.pool, &self.writer, self.folded.tail(), records);
        for item in batch {
            append.puts.extend_from_slice(&item.rows);
            append.deletes.extend_from_slice(&item.deletes);
        }
        append
    }

    /// Takes a durable batch into the shared state, just as a reader of the journal does.
    fn fold(
        &self,
        records: &[journal::Record],
        append: &table::Transaction,
        committed: table::Committed,
    ) -> u64 {
        let bytes: usize = append.puts.iter().map(|put| put.value.len()).sum();
        let mut folded = self.folded.lock();
        folded.tail = next(folded.tail, committed);
        folded.bytes_since_snapshot += bytes;
        folded.state.apply_all(records);
        folded.tail.sequence
    }
}

/// Finds the batch itself among the rows that stand against it. That happens when its answer was
/// lost and its `write/` row was swept before it could be sent again, after a long outage. Nobody
/// else writes in the name of this life of this host.
fn own_row(append: &table::Transaction, current: &[table::Row]) -> Option<table::Committed> {
    let batch = append.puts.first()?;
    let row = current.iter().find(|row| row.key == batch.key)?;
    (row.value == batch.value).then_some(table::Committed {
        version: row.version,
    })
}

fn coalesced(batch: &[JournalItem]) -> Vec<journal::Record> {
    let records = batch.iter().flat_map(|item| &item.records);
    journal::coalesce(records.cloned().collect())
}

impl Sink for JournalSink {
    type Item = JournalItem;
    /// Number of the batch that holds the item.
    type Receipt = u64;
    type Error = AppendError;

    const COALESCES: bool = true;

    fn weight(item: &JournalItem) -> usize {
        journal::weight(&item.records) + item.rows.len() + item.deletes.len()
    }

    /// Rows and deletions go last, with or after the records that they belong to.
    fn coalesce(items: Vec<JournalItem>, max_weight: usize) -> Vec<JournalItem> {
        let mut records = Vec::new();
        let mut rest = JournalItem::default();
        for item in items {
            records.extend(item.records);
            rest.rows.extend(item.rows);
            rest.deletes.extend(item.deletes);
        }
        let mut coalesced = split(journal::coalesce(records), max_weight);
        coalesced.push(rest);
        coalesced
    }

    fn write(
        &mut self,
        batch: Vec<JournalItem>,
        priority: budget::Priority,
    ) -> BoxFuture<'_, Written<Self>> {
        Box::pin(self.append_batch(batch, priority))
    }
}

/// Splits records into items up to a weight.
fn split(records: Vec<journal::Record>, max_weight: usize) -> Vec<JournalItem> {
    let mut items = vec![JournalItem::default()];
    let mut weight = 0;
    for record in records {
        let more = journal::weight(std::slice::from_ref(&record));
        if weight > 0 && weight + more > max_weight {
            items.push(JournalItem::default());
            weight = 0;
        }
        weight += more;
        items.last_mut().expect("never empty").records.push(record);
    }
    items
}

fn refuse(batch: &[JournalItem], error: &AppendError) -> Written<JournalSink> {
    Written::Done(batch.iter().map(|_| Err(error.clone())).collect())
}

/// The transaction that appends a batch after a tail.
pub(super) fn append(
    pool: &id::PoolId,
    writer: &schema::Writer,
    tail: Tail,
    records: &[journal::Record],
) -> table::Transaction {
    let row = schema::JournalRow {
        writer: writer.clone(),
        records: records.to_vec(),
    };
    let key = schema::journal_key(pool, tail.sequence + 1);
    let mut transaction = table::Transaction::new().absent(key.clone());
    transaction = match tail.version {
        Some(version) => transaction.at_version(schema::journal_key(pool, tail.sequence), version),
        // The first batch of all: a late one must not pass when the rows were folded and deleted.
        None => transaction.absent(schema::snapshot_key(pool)),
    };
    transaction.put_json(key, &row)
}

/// The tail after a batch was appended.
pub(super) const fn next(tail: Tail, committed: table::Committed) -> Tail {
    Tail {
        sequence: tail.sequence + 1,
        version: Some(committed.version),
    }
}
