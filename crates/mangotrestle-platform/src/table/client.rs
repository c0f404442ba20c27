//! Table client with deadlines, retries with back-off, circuit breaker, budgets, and settlement of
//! lost answers.

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

/// Content of the `write/` row of a transaction that took effect.
const WRITE_COMMITTED: &[u8] = b"committed";
/// Content of the `write/` row of a transaction that was abandoned before it took effect.
const WRITE_ABANDONED: &[u8] = b"abandoned";

/// Configures a [`TableClient`].
#[derive(Clone)]
pub struct TableClientBuilder {
    transport: Arc<dyn transport::Transport>,
    deadline: Duration,
    try_timeout: Duration,
    reads: budget::Budget,
    writes: budget::Budget,
}

impl TableClientBuilder {
    /// Sets the timeout of a request including all attempts. Default: 5 s.
    #[must_use]
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets the timeout of one attempt. Default: 1.5 s.
    #[must_use]
    pub fn try_timeout(mut self, try_timeout: Duration) -> Self {
        self.try_timeout = try_timeout;
        self
    }

    /// Sets the budget of reads, to be shared by all clients of the process. Default: 200 per
    /// second.
    #[must_use]
    pub fn reads(mut self, reads: budget::Budget) -> Self {
        self.reads = reads;
        self
    }

    /// Sets the budget of transactions, to be shared by all clients of the process. Default: 50 per
    /// second.
    #[must_use]
    pub fn writes(mut self, writes: budget::Budget) -> Self {
        self.writes = writes;
        self
    }

    /// Creates the client.
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

/// Client of the table service; clones share its budgets and circuit breaker.
#[derive(Clone)]
pub struct TableClient {
    shared: Arc<Shared>,
}

/// Error of one attempt.
enum TryError {
    /// The request certainly had no effect.
    NoEffect,
    /// The request may have taken effect.
    MayHaveActed,
    /// A retry would fail in the same way.
    Final(TableError),
}

impl TableClient {
    /// Returns a builder with default settings.
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

    /// Creates a client with default settings for the service at an address.
    #[must_use]
    pub fn at(address: std::net::SocketAddr) -> Self {
        Self::builder(Arc::new(transport::HttpTransport::new(address))).build()
    }

    /// Returns the circuit breaker, which shows the health of the service as seen by this client.
    #[must_use]
    pub fn circuit(&self) -> &circuit::Circuit {
        &self.shared.circuit
    }

    /// Returns the budget of transactions.
    #[must_use]
    pub fn writes(&self) -> &budget::Budget {
        &self.shared.settings.writes
    }

    /// Executes a transaction with normal priority.
    ///
    /// # Errors
    ///
    /// See [`transact_with`](Self::transact_with).
    pub async fn transact(&self, transaction: &Transaction) -> Result<Committed, TableError> {
        self.transact_with(transaction, budget::Priority::Normal)
            .await
    }

    /// Executes a transaction, retrying until its outcome is known or the deadline has passed.
    ///
    /// # Errors
    ///
    /// [`TableError::Conflict`] and [`TableError::Unavailable`] mean that the transaction did not
    /// and will not take effect. [`TableError::Unsettled`] means that it may have taken effect or
    /// still may: call [`settle`](Self::settle), or send the same transaction again.
    pub async fn transact_with(
        &self,
        transaction: &Transaction,
        priority: budget::Priority,
    ) -> Result<Committed, TableError> {
        self.fail_fast()?;
        let deadline = Instant::now() + self.shared.settings.deadline;
        let body = encode(&with_write_row(transaction))?;
        let mut may_have_acted = false;
        let mut backoff = retry_backoff();
        loop {
            match self.transact_once(&body, priority, deadline).await {
                Ok(answer) => match transaction_result(transaction, answer) {
                    Err(conflict @ TableError::Conflict { .. }) if may_have_acted => {
                        return self.settle_before_conflict(transaction, conflict).await;
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
            if !self.wait_before_retry(&mut backoff, deadline).await {
                return Err(self.deadline_error(transaction, may_have_acted));
            }
        }
    }

    /// Settles a transaction of which one attempt met a conflict while an earlier attempt may still
    /// take effect, so that the conflict is only reported when that is ruled out.
    async fn settle_before_conflict(
        &self,
        transaction: &Transaction,
        conflict: TableError,
    ) -> Result<Committed, TableError> {
        match self.settle(&transaction.write_id).await? {
            Settled::Committed(committed) => Ok(committed),
            Settled::Abandoned => Err(conflict),
        }
    }

    /// Determines the outcome of a transaction whose answer was lost, and makes it final: if the
    /// transaction has not taken effect, it is abandoned and never will.
    ///
    /// # Errors
    ///
    /// [`TableError::Unsettled`] while the service is unreachable.
    pub async fn settle(&self, write_id: &WriteId) -> Result<Settled, TableError> {
        let deadline = Instant::now() + self.shared.settings.deadline;
        let tombstone = tombstone(write_id);
        let body = encode(&tombstone)?;
        let mut backoff = retry_backoff();
        loop {
            if let Ok(answer) = self
                .transact_once(&body, budget::Priority::Urgent, deadline)
                .await
            {
                return settled_by_tombstone(answer, write_id);
            }
            if !self.wait_before_retry(&mut backoff, deadline).await {
                return Err(TableError::Unsettled(write_id.clone()));
            }
        }
    }

    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] if no answer was received before the deadline.
    pub async fn get(&self, key: &str) -> Result<Option<Row>, TableError> {
        let request = wire::GetRequest {
            key: key.to_owned(),
        };
        let answer: wire::GetAnswer = self.read(wire::GET_PATH, &request).await?;
        Ok(answer.row)
    }

    /// Reads at most `limit` rows with a common key prefix in ascending order of keys, starting
    /// after the key `after`.
    ///
    /// # Errors
    ///
    /// [`TableError::Unavailable`] if no answer was received before the deadline.
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

    /// Reads all rows with a common key prefix, page by page, starting after the key `after`.
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

    /// Fails at once during an outage, with the time after which to retry, so that only the probe
    /// of the circuit breaker waits for the service.
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
            match self.read_once(path, &body, deadline).await {
                Ok(answer) => return decode(path, &answer),
                Err(TryError::Final(error)) => return Err(error),
                Err(TryError::NoEffect | TryError::MayHaveActed) => {}
            }
            if !self.wait_before_retry(&mut backoff, deadline).await {
                return Err(self.unavailable());
            }
        }
    }

    async fn transact_once(
        &self,
        body: &Bytes,
        priority: budget::Priority,
        deadline: Instant,
    ) -> Result<wire::TransactAnswer, TryError> {
        let permit = self.shared.settings.writes.acquire(priority);
        timeout_at(deadline, permit)
            .await
            .map_err(|_| TryError::NoEffect)?;
        let answer = self.exchange(wire::TRANSACT_PATH, body, deadline).await?;
        decode(wire::TRANSACT_PATH, &answer).map_err(|_| TryError::MayHaveActed)
    }

    async fn read_once(
        &self,
        path: &str,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<Bytes, TryError> {
        let permit = self.shared.settings.reads.acquire(budget::Priority::Normal);
        timeout_at(deadline, permit)
            .await
            .map_err(|_| TryError::NoEffect)?;
        self.exchange(path, body, deadline).await
    }

    /// Reads the `write/` row of a transaction. Returns `None` if the transaction has not taken
    /// effect so far or the read failed.
    async fn read_back(&self, write_id: &WriteId, deadline: Instant) -> Option<Settled> {
        let request = wire::GetRequest {
            key: write_id.key(),
        };
        let body = encode(&request).ok()?;
        let bytes = self.read_once(wire::GET_PATH, &body, deadline).await.ok()?;
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
        let attempt_deadline = deadline.min(Instant::now() + self.shared.settings.try_timeout);
        let sent = self.shared.settings.transport.send(request);
        let response = match timeout_at(attempt_deadline, sent).await {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_not_sent() => return Err(TryError::NoEffect),
            Ok(Err(_)) | Err(_) => return Err(TryError::MayHaveActed),
        };
        check_status(&response)?;
        Ok(response.into_body())
    }

    /// Waits for the back-off before the next attempt. Returns false without waiting if the
    /// deadline would pass.
    async fn wait_before_retry(&self, backoff: &mut backoff::Backoff, deadline: Instant) -> bool {
        let delay = backoff.next_delay().max(self.shared.circuit.retry_after());
        let retry_at = Instant::now() + delay;
        if retry_at >= deadline {
            return false;
        }
        tokio::time::sleep_until(retry_at).await;
        true
    }

    fn deadline_error(&self, transaction: &Transaction, may_have_acted: bool) -> TableError {
        if may_have_acted {
            TableError::Unsettled(transaction.write_id.clone())
        } else {
            self.unavailable()
        }
    }

    fn unavailable(&self) -> TableError {
        let retry_after = self.shared.circuit.retry_after().max(MIN_RETRY_AFTER);
        TableError::Unavailable {
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        }
    }
}

/// Minimum retry delay that is reported to callers.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

fn retry_backoff() -> backoff::Backoff {
    backoff::Backoff::new(Duration::from_millis(20), Duration::from_secs(1))
}

/// Returns the transaction with its `write/` row added, which records that it took effect.
fn with_write_row(transaction: &Transaction) -> Transaction {
    let key = transaction.write_id.key();
    transaction
        .clone()
        .absent(key.clone())
        .put(key, WRITE_COMMITTED)
}

/// Returns the transaction that abandons the transaction `write_id`, by putting that transaction's
/// `write/` row unless it exists already.
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

/// Returns the result of a transaction. If its own `write/` row exists already, the outcome
/// recorded there by an earlier attempt or a settlement is returned instead of the conflict.
fn transaction_result(
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
        settled_committed(row.version)
    }
}

/// Returns the outcome of a transaction from the answer to its tombstone: if the tombstone was
/// written, the transaction is abandoned.
fn settled_by_tombstone(
    answer: wire::TransactAnswer,
    write_id: &WriteId,
) -> Result<Settled, TableError> {
    match answer {
        wire::TransactAnswer::Committed { .. } => Ok(Settled::Abandoned),
        wire::TransactAnswer::Conflict { current, .. } => current
            .first()
            .map(settled_by_row)
            .ok_or_else(|| TableError::Unsettled(write_id.clone())),
    }
}

const fn settled_committed(version: Version) -> Settled {
    Settled::Committed(Committed { version })
}
