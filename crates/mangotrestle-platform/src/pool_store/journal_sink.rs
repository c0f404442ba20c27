//! Appends batches to a pool's journal.

use mangotrestle_core::id;
use mangotrestle_core::journal;

use super::{AppendError, DurableState, Tail};
use crate::budget;
use crate::group_commit::{Sink, Written};
use crate::schema;
use crate::table;
use crate::transport::BoxFuture;

/// Records that are appended together, with the rows that belong to them, such as a command's
/// answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct JournalItem {
    /// Records to append.
    pub records: Vec<journal::Record>,
    /// Rows to write in the same transaction, unconditionally.
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

/// Writes batches to a pool's journal. It keeps its items through outages, and refuses all items
/// once another entry host writes the journal.
pub struct JournalSink {
    table: table::TableClient,
    pool: id::PoolId,
    writer: schema::Writer,
    durable_state: DurableState,
    /// A batch whose outcome is not known; the identical transaction is sent again.
    unsettled: Option<table::Transaction>,
    deposed: bool,
}

impl JournalSink {
    pub(super) const fn new(
        table: table::TableClient,
        pool: id::PoolId,
        writer: schema::Writer,
        durable_state: DurableState,
    ) -> Self {
        Self {
            table,
            pool,
            writer,
            durable_state,
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
            return refuse_all(&batch, &AppendError::Deposed);
        }
        let records = coalesced_records(&batch);
        let append = match self.unsettled.take() {
            Some(append) => append,
            None => self.encode(&batch, &records),
        };
        match self.table.transact_with(&append, priority).await {
            Ok(committed) => {
                let sequence = self.apply_committed(&records, &append, committed);
                Written::Done(batch.iter().map(|_| Ok(sequence)).collect())
            }
            Err(table::TableError::Conflict { current, .. }) => {
                if let Some(committed) = find_committed_batch(&append, &current) {
                    let sequence = self.apply_committed(&records, &append, committed);
                    return Written::Done(batch.iter().map(|_| Ok(sequence)).collect());
                }
                self.deposed = true;
                refuse_all(&batch, &AppendError::Deposed)
            }
            Err(table::TableError::Unavailable { .. }) => Written::Later(batch),
            Err(table::TableError::Unsettled(_)) => {
                self.unsettled = Some(append);
                Written::Later(batch)
            }
            Err(error) => refuse_all(&batch, &AppendError::Table(error)),
        }
    }

    fn encode(&self, batch: &[JournalItem], records: &[journal::Record]) -> table::Transaction {
        let mut append =
            append_transaction(&self.pool, &self.writer, self.durable_state.tail(), records);
        for item in batch {
            append.puts.extend_from_slice(&item.rows);
            append.deletes.extend_from_slice(&item.deletes);
        }
        append
    }

    /// Applies a committed batch to the shared state, in the same way as a reader of the journal.
    /// Returns the number of the batch.
    fn apply_committed(
        &self,
        records: &[journal::Record],
        append: &table::Transaction,
        committed: table::Committed,
    ) -> u64 {
        let bytes: usize = append.puts.iter().map(|put| put.value.len()).sum();
        let mut durable_state = self.durable_state.lock();
        durable_state.tail = next_tail(durable_state.tail, committed);
        durable_state.bytes_since_snapshot += bytes;
        durable_state.state.apply_all(records);
        durable_state.tail.sequence
    }
}

/// Returns the version of the batch if its own row is what its conditions conflict with: then an
/// earlier attempt committed it. That happens after a long outage, when the answer was lost and the
/// `write/` row was swept before the batch could be sent again. No other process writes rows with
/// the name and incarnation of this host.
fn find_committed_batch(
    append: &table::Transaction,
    current: &[table::Row],
) -> Option<table::Committed> {
    let batch = append.puts.first()?;
    let row = current.iter().find(|row| row.key == batch.key)?;
    (row.value == batch.value).then_some(table::Committed {
        version: row.version,
    })
}

fn coalesced_records(batch: &[JournalItem]) -> Vec<journal::Record> {
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

    /// Rows and deletions go into the last item, so that they are never written before the records
    /// that they belong to.
    fn coalesce(items: Vec<JournalItem>, max_weight: usize) -> Vec<JournalItem> {
        let mut records = Vec::new();
        let mut rows_item = JournalItem::default();
        for item in items {
            records.extend(item.records);
            rows_item.rows.extend(item.rows);
            rows_item.deletes.extend(item.deletes);
        }
        let mut coalesced = split(journal::coalesce(records), max_weight);
        coalesced.push(rows_item);
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

/// Splits records into items of at most this weight; a heavier record forms an item by itself.
fn split(records: Vec<journal::Record>, max_weight: usize) -> Vec<JournalItem> {
    let mut items = vec![JournalItem::default()];
    let mut weight = 0;
    for record in records {
        let record_weight = journal::weight(std::slice::from_ref(&record));
        if weight > 0 && weight + record_weight > max_weight {
            items.push(JournalItem::default());
            weight = 0;
        }
        weight += record_weight;
        items.last_mut().expect("never empty").records.push(record);
    }
    items
}

fn refuse_all(batch: &[JournalItem], error: &AppendError) -> Written<JournalSink> {
    Written::Done(batch.iter().map(|_| Err(error.clone())).collect())
}

/// Returns the transaction that appends a batch after a tail.
pub(super) fn append_transaction(
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
        // The first batch of the journal: a delayed one must also fail if the rows were compacted
        // into a snapshot and deleted meanwhile.
        None => transaction.absent(schema::snapshot_key(pool)),
    };
    transaction.put_json(key, &row)
}

/// Returns the tail after a batch was appended.
pub(super) const fn next_tail(tail: Tail, committed: table::Committed) -> Tail {
    Tail {
        sequence: tail.sequence + 1,
        version: Some(committed.version),
    }
}
