//! Stand-in for the platform's table service: rows in memory, serializable transactions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use mangotrestle_platform::table::{self, wire};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::service::{self, StandIn};

/// Rows in memory, with the operations of the table service.
#[derive(Debug, Default)]
pub struct Table {
    state: Mutex<Rows>,
}

#[derive(Debug, Default)]
struct Rows {
    last_version: u64,
    by_key: BTreeMap<String, table::Row>,
    transactions: u64,
}

/// A table service with a server and injectable faults.
pub type TableStandIn = StandIn<Table>;

/// Returns an empty table.
#[must_use]
pub fn new() -> TableStandIn {
    StandIn::new(Arc::new(Table::default()))
}

impl Table {
    /// Returns the number of rows.
    #[must_use]
    pub fn row_count(&self) -> usize {
        self.lock().by_key.len()
    }

    /// Returns the number of committed transactions.
    #[must_use]
    pub fn transactions(&self) -> u64 {
        self.lock().transactions
    }

    /// Returns a row as a client would read it, if it exists.
    #[must_use]
    pub fn row(&self, key: &str) -> Option<table::Row> {
        self.lock().by_key.get(key).cloned()
    }

    /// Returns all keys that start with `prefix`, in order.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.by_key.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Commits a transaction if all its conditions hold; otherwise returns the keys whose
    /// conditions failed with their current rows.
    pub fn transact(&self, transaction: &table::Transaction) -> wire::TransactAnswer {
        let mut state = self.lock();
        let failed: Vec<String> = transaction
            .conditions
            .iter()
            .filter(|condition| !state.condition_holds(condition))
            .map(|condition| condition.key.clone())
            .collect();
        if !failed.is_empty() {
            let current = failed.iter().filter_map(|key| state.by_key.get(key));
            let current = current.cloned().collect();
            return wire::TransactAnswer::Conflict { failed, current };
        }
        let version = state.commit(transaction);
        wire::TransactAnswer::Committed { version }
    }

    fn get(&self, request: &wire::GetRequest) -> wire::GetAnswer {
        wire::GetAnswer {
            row: self.row(&request.key),
        }
    }

    fn scan(&self, request: &wire::ScanRequest) -> wire::ScanAnswer {
        let state = self.lock();
        let start = request.after.as_ref().unwrap_or(&request.prefix).clone();
        let mut rows = state
            .by_key
            .range(start..)
            .map(|(_, row)| row)
            .filter(|row| request.after.as_ref() != Some(&row.key))
            .take_while(|row| row.key.starts_with(&request.prefix));
        let limit = request.limit.min(wire::MAX_SCAN_ROWS) as usize;
        let page: Vec<_> = rows.by_ref().take(limit).cloned().collect();
        wire::ScanAnswer {
            rows: page,
            more: rows.next().is_some(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Rows {
    fn condition_holds(&self, condition: &table::Condition) -> bool {
        let version = self.by_key.get(&condition.key).map(|row| row.version);
        version == condition.version
    }

    fn commit(&mut self, transaction: &table::Transaction) -> table::Version {
        self.last_version += 1;
        self.transactions += 1;
        let version = table::Version(self.last_version);
        for key in &transaction.deletes {
            self.by_key.remove(key);
        }
        for put in &transaction.puts {
            let row = table::Row {
                key: put.key.clone(),
                version,
                value: put.value.clone(),
            };
            self.by_key.insert(put.key.clone(), row);
        }
        version
    }
}

impl service::Service for Table {
    fn handle(&self, request: &http::Request<Bytes>) -> http::Response<Bytes> {
        let body = request.body();
        match request.uri().path() {
            wire::TRANSACT_PATH => handle_json(body, |transaction| self.transact(&transaction)),
            wire::GET_PATH => handle_json(body, |get| self.get(&get)),
            wire::SCAN_PATH => handle_json(body, |scan| self.scan(&scan)),
            _ => service::status(http::StatusCode::NOT_FOUND),
        }
    }
}

/// Parses a request, handles it and serializes the answer.
fn handle_json<Q: DeserializeOwned, A: Serialize>(
    body: &Bytes,
    handle: impl FnOnce(Q) -> A,
) -> http::Response<Bytes> {
    let Ok(request) = serde_json::from_slice(body) else {
        return service::status(http::StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&handle(request)) {
        Ok(answer) => service::answer(answer),
        Err(_) => service::status(http::StatusCode::INTERNAL_SERVER_ERROR),
    }
}
