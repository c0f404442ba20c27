//! The client: deadlines, back-off, circuit, budgets and settlement.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::{Instant, timeout_at};

use super::{Committed, Page, Row, Settled, TableError, Transaction, Version, WriteId, wire};
use crate::backoff;
use crate::budget;
use crate::circuit;
use crate::transport;

/// Content of the row of a transaction that took effect.
const WRITE_COMMITTED: &[u8] = b"committed";
/// Content of the row of a transaction that was given up before it took effect.
const WRITE_ABANDONED: &[u8] = b"abandoned";

/// Sets up a [`TableClient`].
#[derive(Clone)]
pub struct TableClientBuilder {
    transport: Arc<dyn transport::Transport>,
    deadline: Duration,
    try_timeout: Duration,
    reads: budget::Budget,
    writes: budget::Budget,
}

impl TableClientBuilder {
    /// Time after which a request is given up, tries included. Default: 5 s.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Time to wait for the answer of one try. Default: 1.5 s.
    #[must_use]
    pub fn try_timeout(mut self, try_timeout: Duration) -> Self {
        self.try_timeout = try_timeout;
        self
    }

    /// Budget of reads, shared by all clients of the process. Default: 200 a second.
    #[must_use]
    pub fn reads(mut self, reads: budget::Budget) -> Self {
        self.reads = reads;
        self
    }

    /// Budget of transactions, shared by all clients of the process. Default: 50 a second.
    #[must_use]
    pub fn writes(mut self, writes: budget::Budget) -> Self {
        self.writes = writes;
        self
    }

    /// The client.
    #[must_use]
    pub fn build(self) -> TableClient {
        TableClient {
            shared: Arc::new(Shared {
                settings: self,
                circuit: circuit::Circuit::default(),
            }),
        }
    }
}

struct Shared {
    settings: TableClientBuilder,
    circuit: circuit::Circuit,
}

/// Client of the table service; clones share budgets and circuit.
#[derive(Clone)]
pub struct TableClient {
    shared: Arc<Shared>,
}

/// Why one try gave no usable answer.
enum TryError {
    /// The service surely did nothing.
    NoEffect,
    /// The service may have acted.
    MayHaveActed,
    /// Trying again is of no use.
    Final(TableError),
}

impl TableClient {
    /// Starts to set up a client.
    #[must_use]
    pub fn builder(transport: Arc<dyn transport::Transport>) -> TableClientBuilder {
        TableClientBuilder {
            transport,
            deadline: Duration::from_secs(5),
            try_timeout: Duration::from_millis(1_500),
            reads: budget::Budget::new(200.0),
            writes: budget::Budget::new(50.0),
        }
    }

    /// A client with default settings for a service at this address.
    #[must_use]
    pub fn at(address: std::net::SocketAddr) -> Self {
        Self::builder(Arc::new(transport::HttpTransport::new(address))).build()
    }

    /// Health of the service as seen by this client.
    #[must_use]
    pub fn circuit(&self) -> &circuit::Circuit {
        &self.shared.circuit
    }

    /// Budget of transactions.
    #[must_use]
    pub fn writes(&self) -> &budget::Budget {
        &self.shared.settings.writes
    }

    /// Sends a transaction, with normal priority.
    ///
    /// # Errors
    ///
    /// See [`transact_with`](Self::transact_with).
    pub async fn transact(&self, transaction: &Transaction) -> Result<Committed, TableError> {
        self.transact_with(transaction, budget::Priority::Normal)
            .await
    }

    /// Sends a transaction until its outcome is known or the deadline has passed.
    ///
    /// # Errors
    ///
    /// [`TableError::Conflict`] and [`TableError::Unavailable`] mean that nothing was written and
    /// nothing will be. [`TableError::Unsettled`] means that it may have been: call
    /// [`settle`](Self::settle), or send the same transaction again.
    pub async fn transact_with(
        &self,
        transaction: &Transaction,
        priority: budget::Priority,
    ) -> Result<Committed, TableError> {
        self.fail_fast()?;
        let deadline = Instant::now() + self.shared.settings.deadline;
        let body = encode(&recorded(transaction))?;
        let mut may_have_acted = false;
        let mut backoff = retry_backoff();
        loop {
            match self.try_transact(&body, priority, deadline).await {
                Ok(answer) => match interpret(transaction, answer) {
                    Err(conflict @ TableError::Conflict { .. }) if may_have_acted => {
                        return self.finalize(transaction, conflict).await;
                    }
                    result => return result,
                },
                Err(TryError::Final(error)) if !may_have_acted => return Err(error),
                Err(TryError::Final(_) | TryError::MayHaveActed) => may_have_acted = true,
                Err(TryError::NoEffect) => {}
            }
            if may_have_acted
                && let Some(settled) = self.read_back(&transaction.write_id, deadline).await
            {
                return settled_result(&transaction.write_id, settled);
            }
            if !self.pause(&mut backoff, deadline).await {
                return Err(self.gave_up(transaction, may_have_acted));
            }
        }
    }

    /// A try was refused, but an earlier one may still be on its way: rules that out before the
    /// refusal is reported.
    async fn finalize(
        &self,
        transaction: &Transaction,
        conflict: TableError,
    ) -> Result<Committed, TableError> {
        match self.settle(&transaction.write_id).await? {
            Settled::Committed(committed) => Ok(committed),
            Settled::Abandoned => Err(conflict),
        }
    }

    /// Finds out how a transaction with a lost answer ended, and makes it final: if it has not
    /// taken effect by now, it never will.
    ///
    /// # Errors
    ///
    /// [`TableError::Unsettled`] while the service cannot be reached.
    pub async fn settle(&self, write_id: &WriteId) -> Result<Settled, TableError> {
        let deadline = Instant::now() + self.shared.settings.deadline;
        let tombstone = tombstone(write_id);
        let body = encode(&tombstone)?;
        let mut backoff = retry_backoff();
        loop {
            if let Ok(answer) = self
                .try_transact(&body, budget::Priority::Urgent, deadline)
                .await
            {
                return settled_by(answer, write_id);
            }
            if !self.pause(&mut backoff, deadline).await {
                return Err(TableError::Unsettled(write_id.clone()));
            }
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] when no answer came before the deadline.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let request = wire::GetRequest {
            key: key.to_owned(),
        };
        let answer: wire::GetAnswer = self.read(wire::GET_PATH, &request).await?;
        Ok(answer.row)
    }

    /// Reads rows with a common prefix by rising key, at most `limit` of them.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] when no answer came before the deadline.
    pub async fn scan(
        &self,
        prefix: &str,
        after: Option<&str>,
        limit: u32,
    ) -> Result<Page, TableError> {
        let request = wire::ScanRequest {
            prefix: prefix.to_owned(),
            after: after.map(str::to_owned),
            limit: limit.min(wire::MAX_SCAN_ROWS),
        };
        let answer: wire::ScanAnswer = self.read(wire::SCAN_PATH, &request).await?;
        Ok(Page {
            rows: answer.rows,
            more: answer.more,
        })
    }

    /// Reads all rows with a common prefix, page by page.
    ///
    /// # Errors
    ///
    /// Those of [`scan`](Self::scan).
    pub async fn scan_all(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<Vec<Row>, TableError> {
        let mut rows: Vec<Row> = Vec::new();
        let mut after = after.map(str::to_owned);
        loop {
            let page = self
                .scan(prefix, after.as_deref(), wire::MAX_SCAN_ROWS)
                .await?;
            after = page.rows.last().map(|row| row.key.clone());
            rows.extend(page.rows);
            if !page.more || after.is_none() {
                return Ok(rows);
            }
        }
    }

    /// In an outage nobody but the probe waits: who would be refused anyway is told at once when to
    /// come back.
    fn fail_fast(&self) -> Result<(), TableError> {
        if self.shared.circuit.retry_after().is_zero() {
            Ok(())
        } else {
            Err(self.unavailable())
        }
    }

    async fn read<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
    ) -> Result<A, TableError> {
        self.fail_fast()?;
        let deadline = Instant::now() + self.shared.settings.deadline;
        let body = encode(request)?;
        let mut backoff = retry_backoff();
        loop {
            match self.try_read(path, &body, deadline).await {
                Ok(answer) => return decode(path, &answer),
                Err(TryError::Final(error)) => return Err(error),
                Err(TryError::NoEffect | TryError::MayHaveActed) => {}
            }
            if !self.pause(&mut backoff, deadline).await {
                return Err(self.unavailable());
            }
        }
    }

    async fn try_transact(
        &self,
        body: &Bytes,
        priority: budget::Priority,
        deadline: Instant,
    ) -> Result<wire::TransactAnswer, TryError> {
        let token = self.shared.settings.writes.acquire(priority);
        timeout_at(deadline, token)
            .await
            .map_err(|_| TryError::NoEffect)?;
        let answer = self.exchange(wire::TRANSACT_PATH, body, deadline).await?;
        decode(wire::TRANSACT_PATH, &answer).map_err(|_| TryError::MayHaveActed)
    }

    async fn try_read(
        &self,
        path: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Bytes, TryError> {
        let token = self.shared.settings.reads.acquire(budget::Priority::Normal);
        timeout_at(deadline, token)
            .await
            .map_err(|_| TryError::NoEffect)?;
        self.exchange(path, body, deadline).await
    }

    /// Looks whether the transaction took effect. `None` if it had not by then or no answer came.
    async fn read_back(&self, write_id: &WriteId, deadline: Instant) -> Option<Settled> {
        let request = wire::GetRequest {
            key: write_id.key(),
        };
        let body = encode(&request).ok()?;
        let bytes = self.try_read(wire::GET_PATH, &body, deadline).await.ok()?;
        let answer: wire::GetAnswer = decode(wire::GET_PATH, &bytes).ok()?;
        answer.row.map(|row| settled_by_row(&row))
    }

    async fn exchange(
        &self,
        path: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Bytes, TryError> {
        if let circuit::Permit::Refuse { .. } = self.shared.circuit.permit() {
            return Err(TryError::NoEffect);
        }
        let result = self.exchange_once(path, body, deadline).await;
        match &result {
            Ok(_) | Err(TryError::Final(_)) => self.shared.circuit.succeeded(),
            Err(TryError::NoEffect | TryError::MayHaveActed) => self.shared.circuit.failed(),
        }
        result
    }

    async fn exchange_once(
        &self,
        path: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Bytes, TryError> {
        let request = http::Request::post(path)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(body.clone())
            .map_err(|error| TryError::Final(TableError::Refused(error.to_string())))?;
        let give_up = deadline.min(Instant::now() + self.shared.settings.try_timeout);
        let sent = self.shared.settings.transport.send(request);
        let response = match timeout_at(give_up, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.surely_without_effect() => return Err(TryError::NoEffect),
            Ok(Err(_)) | Err(_) => return Err(TryError::MayHaveActed),
        };
        check_status(&response)?;
        Ok(response.into_body())
    }

    /// Waits before the next try; false when the deadline would pass.
    async fn pause(&self, backoff: &mut backoff::Backoff, deadline: Instant) -> bool {
        let delay = backoff.next_delay().max(self.shared.circuit.retry_after());
        let wake = Instant::now() + delay;
        if wake >= deadline {
            return false;
        }
        tokio::time::sleep_until(wake).await;
        true
    }

    fn gave_up(&self, transaction: &Transaction, may_have_acted: bool) -> TableError {
        if may_have_acted {
            TableError::Unsettled(transaction.write_id.clone())
        } else {
            self.unavailable()
        }
    }

    fn unavailable(&self) -> TableError {
        let retry_after = self.shared.circuit.retry_after().max(RETRY_AFTER_FLOOR);
        TableError::Unavailable {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Least time that callers are told to wait.
const RETRY_AFTER_FLOOR: Duration = Duration::from_millis(500);

fn retry_backoff() -> backoff::Backoff {
    backoff::Backoff::new(Duration::from_millis(20), Duration::from_secs(1))
}

/// The transaction together with the row that records it.
fn recorded(transaction: &Transaction) -> Transaction {
    let key = transaction.write_id.key();
    transaction
        .clone()
        .absent(key.clone())
        .put(key, WRITE_COMMITTED)
}

fn tombstone(write_id: &WriteId) -> Transaction {
    let key = write_id.key();
    Transaction::new()
        .absent(key.clone())
        .put(key, WRITE_ABANDONED)
}

fn encode<T: Serialize>(message: &T) -> Result<Bytes, TableError> {
    serde_json::to_vec(message)
        .map(Bytes::from)
        .map_err(|error| TableError::Refused(error.to_string()))
}

fn decode<T: DeserializeOwned>(path: &str, body: &Bytes) -> Result<T, TableError> {
    serde_json::from_slice(body).map_err(|error| TableError::Malformed {
        what: path.to_owned(),
        fault: error.to_string(),
    })
}

fn check_status(response: &http::Response<Bytes>) -> Result<(), TryError> {
    let status = response.status();
    if status.is_success() {
        return Ok(());
    }
    if status == http::StatusCode::SERVICE_UNAVAILABLE
        || status == http::StatusCode::TOO_MANY_REQUESTS
    {
        return Err(TryError::NoEffect);
    }
    if status.is_server_error() {
        return Err(TryError::MayHaveActed);
    }
    let text = String::from_utf8_lossy(response.body()).into_owned();
    Err(TryError::Final(TableError::Refused(format!(
        "status {status}: {text}"
    ))))
}

/// A conflict on the transaction's own row is an earlier success of the same transaction.
fn interpret(
    transaction: &Transaction,
    answer: wire::TransactAnswer,
) -> Result<Committed, TableError> {
    match answer {
        wire::TransactAnswer::Committed { version } => Ok(Committed { version }),
        wire::TransactAnswer::Conflict { failed, current } => {
            let key = transaction.write_id.key();
            match current.iter().find(|row| row.key == key) {
                Some(row) => settled_result(&transaction.write_id, settled_by_row(row)),
                None => Err(TableError::Conflict { failed, current }),
            }
        }
    }
}

fn settled_result(write_id: &WriteId, settled: Settled) -> Result<Committed, TableError> {
    match settled {
        Settled::Committed(committed) => Ok(committed),
        Settled::Abandoned => Err(TableError::Refused(format!(
            "write {write_id} was abandoned"
        ))),
    }
}

fn settled_by_row(row: &Row) -> Settled {
    if row.value == WRITE_ABANDONED {
        Settled::Abandoned
    } else {
        committed(row.version)
    }
}

fn settled_by(answer: wire::TransactAnswer, write_id: &WriteId) -> Result<Settled, TableError> {
    match answer {
        wire::TransactAnswer::Committed { .. } => Ok(Settled::Abandoned),
        wire::TransactAnswer::Conflict { current, .. } => current
            .first()
            .map(settled_by_row)
            .ok_or_else(|| TableError::Unsettled(write_id.clone())),
    }
}

const fn committed(version: Version) -> Settled {
    Settled::Committed(Committed { version })
}
