//! Group commit of independent transactions: accepted jobs, commands, started records.

use std::collections::VecDeque;

use mangotrestle_core::collections::FastSet;

use crate::budget;
use crate::group_commit::{Sink, Written};
use crate::table;
use crate::transport::BoxFuture;

/// Retry delay reported for a write that was abandoned after its answer was lost, in milliseconds.
const RETRY_AFTER_ABANDONED_MS: u64 = 500;

/// Merges transactions into one; those whose own conditions fail are refused individually.
///
/// Items are not kept through an outage: submitters get the error that their transaction was not
/// written.
pub struct TransactionSink {
    table: table::TableClient,
}

impl TransactionSink {
    /// Creates a sink that writes to a table.
    #[must_use]
    pub const fn new(table: table::TableClient) -> Self {
        Self { table }
    }

    async fn write_all(
        &self,
        batch: Vec<table::Transaction>,
        priority: budget::Priority,
    ) -> Vec<Result<table::Committed, table::TableError>> {
        let mut results = vec![None; batch.len()];
        let mut queue: VecDeque<(usize, table::Transaction)> =
            batch.into_iter().enumerate().collect();
        while !queue.is_empty() {
            let group = take_independent(&mut queue);
            self.write_group(group, priority, &mut results).await;
        }
        results
            .into_iter()
            .map(|result| result.expect("every transaction was in a group"))
            .collect()
    }

    /// Executes a merged transaction; a lost answer is settled once for all transactions in it.
    async fn transact(
        &self,
        merged: &table::Transaction,
        priority: budget::Priority,
    ) -> Result<table::Committed, table::TableError> {
        let outcome = self.table.transact_with(merged, priority).await;
        let Err(table::TableError::Unsettled(write_id)) = outcome else {
            return outcome;
        };
        match self.table.settle(&write_id).await? {
            table::Settled::Committed(committed) => Ok(committed),
            table::Settled::Abandoned => Err(table::TableError::Unavailable {
                retry_after_ms: RETRY_AFTER_ABANDONED_MS,
            }),
        }
    }

    /// Writes transactions that touch different rows. After a conflict, those whose conditions
    /// failed are refused and the others are written again.
    async fn write_group(
        &self,
        mut group: Vec<(usize, table::Transaction)>,
        priority: budget::Priority,
        results: &mut [Option<Result<table::Committed, table::TableError>>],
    ) {
        while !group.is_empty() {
            let merged = merge(&group);
            let outcome = self.transact(&merged, priority).await;
            let Err(table::TableError::Conflict { failed, current }) = outcome else {
                for (index, _) in group {
                    results[index] = Some(outcome.clone());
                }
                return;
            };
            let (refused, unaffected): (Vec<_>, Vec<_>) = group
                .into_iter()
                .partition(|(_, transaction)| has_failed_condition(transaction, &failed));
            if refused.is_empty() {
                let error = table::TableError::Conflict { failed, current };
                for (index, _) in unaffected {
                    results[index] = Some(Err(error.clone()));
                }
                return;
            }
            for (index, transaction) in refused {
                let error = conflict_of(&transaction, &failed, &current);
                results[index] = Some(Err(error));
            }
            group = unaffected;
        }
    }
}

impl Sink for TransactionSink {
    type Item = table::Transaction;
    type Receipt = table::Committed;
    type Error = table::TableError;

    fn write(
        &mut self,
        batch: Vec<table::Transaction>,
        priority: budget::Priority,
    ) -> BoxFuture<'_, Written<Self>> {
        Box::pin(async move { Written::Done(self.write_all(batch, priority).await) })
    }
}

/// Takes transactions from the front of the queue until one touches a row of an earlier one.
fn take_independent(
    queue: &mut VecDeque<(usize, table::Transaction)>,
) -> Vec<(usize, table::Transaction)> {
    let mut touched: FastSet<String> = FastSet::default();
    let mut group = Vec::new();
    while let Some((_, transaction)) = queue.front() {
        if touched_keys(transaction).any(|key| touched.contains(key)) {
            break;
        }
        touched.extend(touched_keys(transaction).map(str::to_owned));
        group.extend(queue.pop_front());
    }
    group
}

/// Returns the keys of all rows that a transaction reads or writes.
fn touched_keys(transaction: &table::Transaction) -> impl Iterator<Item = &str> {
    let conditions = transaction.conditions.iter().map(|c| c.key.as_str());
    let puts = transaction.puts.iter().map(|put| put.key.as_str());
    let deletes = transaction.deletes.iter().map(String::as_str);
    conditions.chain(puts).chain(deletes)
}

fn merge(group: &[(usize, table::Transaction)]) -> table::Transaction {
    let mut merged = table::Transaction::new();
    for (_, transaction) in group {
        merged.conditions.extend_from_slice(&transaction.conditions);
        merged.puts.extend_from_slice(&transaction.puts);
        merged.deletes.extend_from_slice(&transaction.deletes);
    }
    merged
}

fn has_failed_condition(transaction: &table::Transaction, failed: &[String]) -> bool {
    transaction
        .conditions
        .iter()
        .any(|condition| failed.contains(&condition.key))
}

/// Returns the conflict with only the keys and rows of this transaction's conditions.
fn conflict_of(
    transaction: &table::Transaction,
    failed: &[String],
    current: &[table::Row],
) -> table::TableError {
    let has_condition = |key: &String| transaction.conditions.iter().any(|c| c.key == *key);
    table::TableError::Conflict {
        failed: failed
            .iter()
            .filter(|key| has_condition(key))
            .cloned()
            .collect(),
        current: current
            .iter()
            .filter(|row| has_condition(&row.key))
            .cloned()
            .collect(),
    }
}
