//! Calls to the store: directly, or relayed by a peer while the direct path is unavailable.
//!
//! The store may refuse single hosts, or be unreachable for them, while it serves others. After
//! consecutive failures the direct path counts as unavailable for a while, and calls are first
//! relayed by a peer whose own direct path is available. A peer never relays a relayed call again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::leadership;
use mangotrestle_peer::cell::CellClient;
use mangotrestle_platform::budget::Priority;
use mangotrestle_users_platform::store::{
    FeedError, Row, RowName, Rows, Transaction, TransactionAnswer,
};
use mangotrestle_users_platform::transport::CallError;
use serde::{Deserialize, Serialize};

use super::cell::Cell;

/// Consecutive failures after which the direct path counts as unavailable.
const DIRECT_FAILURE_THRESHOLD: u64 = 2;
/// Time for which the direct path counts as unavailable, in milliseconds. A relayed call costs
/// little more than a direct one.
const DIRECT_RETRY_DELAY_MS: u64 = 1_000;
/// Maximum number of peers tried for one call; a peer whose own direct path is unavailable answers
/// at once.
const MAX_RELAY_ATTEMPTS: usize = 6;
/// Time added to the timeout of a call when it is relayed.
const RELAY_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);
/// Time beyond the requested wait after which a peer that relays a read counts as silent; less than
/// the direct path counts as unavailable.
const RELAYED_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Time beyond the requested wait after which a relayed read is also sent to the next peer.
const RELAY_HEDGE_DELAY: Duration = Duration::from_millis(150);

/// Time beyond its usual duration after which a pending direct call marks the direct path as
/// unavailable, if no direct call was answered since; long enough for a lost packet to be resent.
const DIRECT_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer, direct or relayed, after which the store counts as unresponsive and new
/// work is refused: twice the interval at which the store is polled.
const STORE_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Error of direct calls that were abandoned because the store is unresponsive.
const DIRECT_CALLS_UNANSWERED: &str = "the store answers no direct call";
/// Replaces both unresponsive timeouts while the store is slow.
const SLOW_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Consecutive failures, the last of them a refusal because of overload, after which the direct
/// path counts as unavailable; higher because a busy part of the store refuses a few calls.
const DIRECT_REFUSAL_THRESHOLD: u64 = 6;
/// HTTP status with which the store refuses calls while it is overloaded.
const OVERLOAD_CODE: u16 = 429;
/// Time after no peer could relay a call in which no relay is tried, in milliseconds.
const RELAY_RETRY_DELAY_MS: u64 = 400;
/// Timeout for a transaction.
const TRANSACTION_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Timeout for a transaction while the store is slow.
const SLOW_TRANSACTION_TIMEOUT: Duration = Duration::from_secs(3);
/// Duration of a transaction from which the store counts as slow, in milliseconds; ten times the
/// usual.
const SLOW_TRANSACTION_THRESHOLD_MS: u64 = 150;
/// Duration of a read beyond its requested wait from which the store counts as slow, in
/// milliseconds.
const SLOW_READ_THRESHOLD_MS: u64 = 80;
/// Time for which the store counts as slow after a slow answer, in milliseconds.
const SLOW_STATE_DURATION_MS: u64 = 2_500;
/// Interval between reads that check whether an unanswered transaction was applied.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Timeout for a read that checks whether a transaction was applied.
const PROBE_READ_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unanswered transaction counts as lost if the store answers reads quickly and
/// its rows are not there.
const LOST_TRANSACTION_TIMEOUT: Duration = Duration::from_millis(500);

/// State of the direct path to the store. Times are on the process's monotonic clock.
#[derive(Debug, Default)]
pub(super) struct DirectPath {
    consecutive_failures: AtomicU64,
    answered_at_ms: AtomicU64,
    unavailable_until_ms: AtomicU64,
    no_relay_until_ms: AtomicU64,
    slow_until_ms: AtomicU64,
    /// Whether `store.lost` was logged and `store.regained` not yet.
    loss_logged: AtomicBool,
}

/// A store call for a peer to relay. Hosts that run another version decode it, so its names must
/// not change.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum RelayedCall {
    /// A transaction.
    Transact {
        /// The transaction.
        transaction: Transaction,
        /// Timeout for the call, in milliseconds.
        within_ms: u64,
    },
    /// A range read.
    Range {
        /// The table.
        table: String,
        /// The part.
        part: String,
        /// First key.
        from: String,
        /// End key, exclusive.
        to: String,
        /// Timeout for the call, in milliseconds.
        within_ms: u64,
    },
    /// A read of a change feed.
    Feed {
        /// The table.
        table: String,
        /// Version after which changes are wanted.
        after: u64,
        /// How long the store may wait for a change, in milliseconds.
        wait_ms: u64,
        /// Timeout for the call, in milliseconds.
        within_ms: u64,
    },
}

/// Answer to a relayed call. Hosts that run another version decode it, so its names must not
/// change.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum RelayedAnswer {
    /// To a transaction.
    Transact(Result<TransactionAnswer, CallError>),
    /// To a range read.
    Range(Result<Rows, CallError>),
    /// To a read of a change feed.
    Feed(Result<Rows, FeedError>),
    /// Nothing was done: the peer's own direct path is unavailable, or it cannot decode the call.
    Closed,
}

impl Cell {
    /// Whether the direct path to the store is available.
    pub(super) fn has_direct_path(&self) -> bool {
        self.clock.now().0 >= self.direct.unavailable_until_ms.load(Ordering::Relaxed)
    }

    /// Whether the direct path is unavailable and no peer could relay a call recently.
    pub(super) fn store_is_unreachable(&self) -> bool {
        let no_relay_until = self.direct.no_relay_until_ms.load(Ordering::Relaxed);
        !self.has_direct_path() && self.clock.now().0 < no_relay_until
    }

    /// Returns the time since the store last answered, directly or through a peer.
    pub(super) fn time_since_store_answer(&self) -> SpanMs {
        let answered_at = TimeMs(self.store_answered_at_ms.load(Ordering::Relaxed));
        self.clock.now().since(answered_at)
    }

    /// Returns the timeout for a transaction.
    pub(super) fn transaction_timeout(&self) -> Duration {
        if self.store_is_slow() {
            SLOW_TRANSACTION_TIMEOUT
        } else {
            TRANSACTION_TIMEOUT
        }
    }

    /// Whether the store recently took much longer to answer than usual.
    pub(super) fn store_is_slow(&self) -> bool {
        self.clock.now().0 < self.direct.slow_until_ms.load(Ordering::Relaxed)
    }

    /// Returns the delay between the claims that hosts of consecutive ranks make on a pool without
    /// a leader. A claim has to become visible to the other hosts before the next is made.
    pub(super) fn claim_stagger(&self) -> SpanMs {
        let factor = if self.store_is_slow() { 4 } else { 1 };
        SpanMs(leadership::MIN_CLAIM_STAGGER.0 * factor)
    }

    fn record_transaction_time(&self, took: Duration) {
        if millis(took) >= SLOW_TRANSACTION_THRESHOLD_MS {
            self.record_slow_answer("transaction", took);
        }
    }

    /// Records the duration of a read that asked the store to wait up to `wait`.
    fn record_read_time(&self, took: Duration, wait: Duration) {
        if millis(took.saturating_sub(wait)) >= SLOW_READ_THRESHOLD_MS {
            self.record_slow_answer("read", took);
        }
    }

    fn record_slow_answer(&self, call_kind: &'static str, took: Duration) {
        let was_slow = self.store_is_slow();
        let until = self.clock.now().0 + SLOW_STATE_DURATION_MS;
        self.direct.slow_until_ms.store(until, Ordering::Relaxed);
        if !was_slow {
            slog::info!(self.log, "store.slow"; "call" => call_kind, "took_ms" => millis(took));
        }
    }

    /// Whether the last call to the store succeeded, directly or through a peer.
    pub(super) fn last_store_call_succeeded(&self) -> bool {
        let failed_at = self.store_failed_at_ms.load(Ordering::Relaxed);
        self.store_answered_at_ms.load(Ordering::Relaxed) >= failed_at
    }

    fn record_direct_result(&self, error: Option<&CallError>) {
        let now = self.clock.now().0;
        if error.is_none() {
            self.direct.consecutive_failures.store(0, Ordering::Relaxed);
            let answered = self.direct.answered_at_ms.swap(now, Ordering::Relaxed);
            self.direct.unavailable_until_ms.store(0, Ordering::Relaxed);
            self.record_store_answer();
            if self.direct.loss_logged.swap(false, Ordering::Relaxed) {
                slog::info!(self.log, "store.regained"; "away_ms" => now.saturating_sub(answered));
            }
            return;
        }
        self.store_failed_at_ms.store(now, Ordering::Relaxed);
        let consecutive_failures = self
            .direct
            .consecutive_failures
            .fetch_add(1, Ordering::Relaxed)
            + 1;
        let threshold = match error {
            Some(CallError::Refused(OVERLOAD_CODE)) => DIRECT_REFUSAL_THRESHOLD,
            _ => DIRECT_FAILURE_THRESHOLD,
        };
        if consecutive_failures >= threshold {
            let error = error.map(ToString::to_string).unwrap_or_default();
            self.mark_direct_path_unavailable(consecutive_failures, &error);
        }
    }

    fn mark_direct_path_unavailable(&self, consecutive_failures: u64, reason: &str) {
        let was_available = self.has_direct_path();
        let until = self.clock.now().0 + DIRECT_RETRY_DELAY_MS;
        self.direct
            .unavailable_until_ms
            .store(until, Ordering::Relaxed);
        let already_logged = self.direct.loss_logged.swap(true, Ordering::Relaxed);
        if was_available && !already_logged {
            slog::warn!(self.log, "store.lost"; "failures" => consecutive_failures,
                "error" => reason);
        }
    }

    /// Completes when a direct call that began now has waited longer than usual and no other direct
    /// call was answered meanwhile. Marks the direct path as unavailable then, so that other calls
    /// are relayed. `wait` is the time for which the store may hold the call back.
    async fn wait_until_unresponsive(&self, wait: Duration) {
        let began = self.clock.now().0;
        let unresponsive_timeout = if self.store_is_slow() {
            SLOW_UNRESPONSIVE_TIMEOUT
        } else {
            DIRECT_UNRESPONSIVE_TIMEOUT
        };
        tokio::time::sleep(wait + unresponsive_timeout).await;
        while self.direct.answered_at_ms.load(Ordering::Relaxed) >= began {
            tokio::time::sleep(unresponsive_timeout).await;
        }
        let consecutive_failures = self.direct.consecutive_failures.load(Ordering::Relaxed);
        self.mark_direct_path_unavailable(consecutive_failures, DIRECT_CALLS_UNANSWERED);
    }

    /// Returns the timeout for a read on the direct path while it counts as unavailable: long
    /// enough to notice that the store answers again.
    fn recovery_read_timeout(&self, timeout: Duration) -> Duration {
        let unresponsive_timeout = if self.store_is_slow() {
            SLOW_UNRESPONSIVE_TIMEOUT
        } else {
            DIRECT_UNRESPONSIVE_TIMEOUT
        };
        timeout.min(unresponsive_timeout)
    }

    /// Whether no call, direct or relayed, was answered for so long that the store seems to be
    /// down.
    pub(super) fn store_is_unresponsive(&self) -> bool {
        let unresponsive_timeout = if self.store_is_slow() {
            SLOW_UNRESPONSIVE_TIMEOUT
        } else {
            STORE_UNRESPONSIVE_TIMEOUT
        };
        self.time_since_store_answer().as_duration() >= unresponsive_timeout
    }

    /// Whether no call can be expected to reach the store now: new work is refused at once.
    pub(super) fn store_is_silent(&self) -> bool {
        self.store_is_unreachable() || self.store_is_unresponsive()
    }

    /// Records that the store answered, directly or through a peer.
    fn record_store_answer(&self) {
        let now = self.clock.now().0;
        self.store_answered_at_ms.store(now, Ordering::Relaxed);
    }

    /// Executes a transaction, directly or through a peer.
    pub(super) async fn transact(
        self: &Arc<Self>,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<TransactionAnswer, CallError> {
        let direct_path_available = self.has_direct_path();
        if direct_path_available {
            let result = self.transact_directly(transaction, timeout).await;
            match result {
                Err(CallError::Refused(OVERLOAD_CODE)) if self.has_direct_path() => return result,
                Err(error) if error.had_no_effect() => {}
                other => return other,
            }
        }
        let call = RelayedCall::Transact {
            transaction: transaction.clone(),
            within_ms: millis(timeout),
        };
        match self.relay_transaction(&call, timeout).await {
            Some(RelayedAnswer::Transact(result)) => {
                if result.is_ok() {
                    self.record_store_answer();
                }
                result
            }
            Some(_) => Err(CallError::Unknown(
                "a peer's answer does not match the relayed call".to_owned(),
            )),
            None if direct_path_available => Err(CallError::NotSent(
                "the store is unreachable directly and through peers".to_owned(),
            )),
            None => self.transact_directly(transaction, timeout).await,
        }
    }

    /// Executes a transaction and, while there is no answer, reads the row `probe` to check whether
    /// it was applied. This way a transaction that a slow store has queued is not sent twice, and
    /// one whose answer was lost is not waited for. `is_ours` says whether a row was written by
    /// this transaction and no other.
    pub(super) async fn transact_with_probe(
        self: &Arc<Self>,
        transaction: &Transaction,
        probe: &RowName,
        is_ours: impl Fn(&Row) -> bool,
    ) -> Result<TransactionAnswer, CallError> {
        let began = std::time::Instant::now();
        let mut call = std::pin::pin!(self.transact(transaction, self.transaction_timeout()));
        loop {
            if let Ok(result) = tokio::time::timeout(PROBE_INTERVAL, &mut call).await {
                return result;
            }
            let probe_started = std::time::Instant::now();
            let end = format!("{}\u{1}", probe.key);
            let rows = self
                .read_range(
                    &probe.table,
                    &probe.part,
                    &probe.key,
                    &end,
                    PROBE_READ_TIMEOUT,
                )
                .await;
            let Ok(rows) = rows else {
                continue;
            };
            if let Some(row) = rows.rows.iter().find(|row| is_ours(row)) {
                let version = row.version;
                return Ok(TransactionAnswer::Done { version });
            }
            let reads_are_quick = millis(probe_started.elapsed()) < SLOW_READ_THRESHOLD_MS;
            if reads_are_quick && began.elapsed() >= LOST_TRANSACTION_TIMEOUT {
                return Err(CallError::Unknown(
                    "the answer to the transaction was lost".to_owned(),
                ));
            }
        }
    }

    async fn read_range_directly(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        self.reads.acquire(Priority::Normal).await;
        let call = self.store.read_range(table, part, from, to, timeout);
        let result = tokio::select! {
            result = call => result,
            () = self.wait_until_unresponsive(Duration::ZERO) =>
                Err(CallError::Unknown(DIRECT_CALLS_UNANSWERED.to_owned())),
        };
        self.record_direct_result(result.as_ref().err());
        result
    }

    async fn read_changes_directly(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        timeout: Duration,
    ) -> Result<Rows, FeedError> {
        self.reads.acquire(Priority::Normal).await;
        let call = self.store.read_changes(table, after, wait, timeout);
        let result = tokio::select! {
            result = call => result,
            () = self.wait_until_unresponsive(wait) => {
                Err(FeedError::Call(CallError::Unknown(DIRECT_CALLS_UNANSWERED.to_owned())))
            }
        };
        match &result {
            Err(FeedError::Call(error)) => self.record_direct_result(Some(error)),
            Ok(_) | Err(FeedError::HistoryLost) => self.record_direct_result(None),
        }
        result
    }

    async fn transact_directly(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<TransactionAnswer, CallError> {
        self.writes.acquire(Priority::Urgent).await;
        let began = std::time::Instant::now();
        let mut call = std::pin::pin!(self.store.transact(transaction, timeout));
        let result = tokio::select! {
            result = &mut call => result,
            // The transaction may still be applied, so its answer is waited for.
            () = self.wait_until_unresponsive(Duration::ZERO) => call.await,
        };
        if result.is_ok() {
            self.record_transaction_time(began.elapsed());
        }
        self.record_direct_result(result.as_ref().err());
        result
    }

    /// Reads the rows of a part from key `from` up to but excluding key `to`, directly or through a
    /// peer.
    pub(super) async fn read_range(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        let direct_path_available = self.has_direct_path();
        if direct_path_available {
            let began = std::time::Instant::now();
            let result = self
                .read_range_directly(table, part, from, to, timeout)
                .await;
            if result.is_ok() {
                self.record_read_time(began.elapsed(), Duration::ZERO);
                return result;
            }
        }
        let call = RelayedCall::Range {
            table: table.to_owned(),
            part: part.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            within_ms: millis(timeout),
        };
        match self.relay_read(&call, Duration::ZERO).await {
            Some(RelayedAnswer::Range(result)) => {
                if result.is_ok() {
                    self.record_store_answer();
                }
                result
            }
            Some(_) => Err(CallError::Unknown(
                "a peer's answer does not match the relayed call".to_owned(),
            )),
            None if direct_path_available => Err(CallError::NotSent(
                "the store is unreachable directly and through peers".to_owned(),
            )),
            None => {
                let timeout = self.recovery_read_timeout(timeout);
                self.read_range_directly(table, part, from, to, timeout)
                    .await
            }
        }
    }

    /// Reads all rows of a part page by page; the result has the version of the first page.
    pub(super) async fn read_part(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        let mut all = self.read_range(table, part, "", "", timeout).await?;
        while all.truncated {
            // A key that sorts right after the last one read.
            let from = all
                .rows
                .last()
                .map(|row| format!("{}\u{1}", row.name.key))
                .unwrap_or_default();
            let page = self.read_range(table, part, &from, "", timeout).await?;
            all.truncated = page.truncated && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Returns the changes of a table after a version, directly or through a peer; the store waits
    /// up to `wait` for the first.
    pub(super) async fn read_changes(
        self: &Arc<Self>,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Rows, FeedError> {
        let timeout = wait + self.transaction_timeout();
        let direct_path_available = self.has_direct_path();
        if direct_path_available {
            let began = std::time::Instant::now();
            let result = self
                .read_changes_directly(table, after, wait, timeout)
                .await;
            if result.is_ok() {
                self.record_read_time(began.elapsed(), wait);
            }
            if !matches!(result, Err(FeedError::Call(_))) {
                return result;
            }
        }
        let call = RelayedCall::Feed {
            table: table.to_owned(),
            after,
            wait_ms: millis(wait),
            within_ms: millis(timeout),
        };
        match self.relay_read(&call, wait).await {
            Some(RelayedAnswer::Feed(result)) => {
                if result.is_ok() {
                    self.record_store_answer();
                }
                result
            }
            Some(_) => Err(FeedError::Call(CallError::Unknown(
                "a peer's answer does not match the relayed call".to_owned(),
            ))),
            None if direct_path_available => Err(FeedError::Call(CallError::NotSent(
                "the store is unreachable directly and through peers".to_owned(),
            ))),
            None => {
                let timeout = self.recovery_read_timeout(timeout);
                self.read_changes_directly(table, after, Duration::ZERO, timeout)
                    .await
            }
        }
    }

    /// Has a peer relay a transaction; `None` if no peer could. The outcome is unknown if the peer
    /// does not answer, since it may have relayed the transaction.
    async fn relay_transaction(
        self: &Arc<Self>,
        call: &RelayedCall,
        timeout: Duration,
    ) -> Option<RelayedAnswer> {
        if self.clock.now().0 < self.direct.no_relay_until_ms.load(Ordering::Relaxed) {
            return None;
        }
        let value = serde_json::to_value(call).ok()?;
        for (host, client) in self.relay_candidates(MAX_RELAY_ATTEMPTS) {
            let wait = timeout + RELAY_TIMEOUT_MARGIN;
            match tokio::time::timeout(wait, client.relay(value.clone())).await {
                Ok(Ok(answer)) => match serde_json::from_value(answer) {
                    Ok(RelayedAnswer::Closed) => self.record_relay_result(&host, false),
                    Ok(answer) => {
                        self.record_relay_result(&host, true);
                        return Some(answer);
                    }
                    Err(error) => return Some(unknown_outcome(&error.to_string())),
                },
                Ok(Err(error)) => {
                    self.record_peer_failure(&host);
                    return Some(unknown_outcome(&error.to_string()));
                }
                Err(_) => {
                    self.record_peer_failure(&host);
                    return Some(unknown_outcome("the peer did not answer in time"));
                }
            }
        }
        self.record_failed_relay();
        None
    }

    /// Has a peer relay a read; `None` if no peer could. A read has no effect, so the next peer is
    /// asked as well when one does not answer soon, and the whole relay takes no longer than the
    /// direct path counts as unavailable: peers may be cut off while the direct path is back.
    async fn relay_read(
        self: &Arc<Self>,
        read: &RelayedCall,
        wait: Duration,
    ) -> Option<RelayedAnswer> {
        if self.clock.now().0 < self.direct.no_relay_until_ms.load(Ordering::Relaxed) {
            return None;
        }
        let value = serde_json::to_value(read).ok()?;
        let mut candidates = self.relay_candidates(MAX_RELAY_ATTEMPTS).into_iter();
        let mut running = tokio::task::JoinSet::new();
        let give_up = tokio::time::sleep(wait + Duration::from_millis(DIRECT_RETRY_DELAY_MS));
        tokio::pin!(give_up);
        loop {
            match candidates.next() {
                Some((host, client)) => {
                    let (cell, value) = (Arc::clone(self), value.clone());
                    let timeout = wait + RELAYED_READ_TIMEOUT;
                    running.spawn(async move {
                        cell.read_through(&host, &client, value, timeout).await
                    });
                }
                None if running.is_empty() => break,
                None => {}
            }
            tokio::select! {
                Some(result) = running.join_next() => {
                    if let Ok(Some(answer)) = result {
                        return Some(answer);
                    }
                }
                () = tokio::time::sleep(wait + RELAY_HEDGE_DELAY), if candidates.len() > 0 => {}
                () = &mut give_up => break,
            }
        }
        self.record_failed_relay();
        None
    }

    /// Has one peer relay a read; `None` if it did not.
    async fn read_through(
        &self,
        host: &id::EntryHostId,
        client: &CellClient,
        call: serde_json::Value,
        timeout: Duration,
    ) -> Option<RelayedAnswer> {
        let Ok(Ok(answer)) = tokio::time::timeout(timeout, client.relay(call)).await else {
            self.record_peer_failure(host);
            return None;
        };
        match serde_json::from_value(answer) {
            Ok(RelayedAnswer::Closed) => {
                self.record_relay_result(host, false);
                None
            }
            Ok(answer) => {
                self.record_relay_result(host, true);
                Some(answer)
            }
            Err(error) => {
                slog::warn!(self.log, "relay.malformed"; "peer" => host.as_str(),
                    "error" => %error);
                None
            }
        }
    }

    /// Records that no peer could relay a call, so that none is asked for a while.
    fn record_failed_relay(&self) {
        let until = self.clock.now().0 + RELAY_RETRY_DELAY_MS;
        self.direct
            .no_relay_until_ms
            .store(until, Ordering::Relaxed);
    }

    /// Executes a call for a peer on the direct path; refuses it if that is unavailable.
    pub(super) async fn execute_relayed_call(self: &Arc<Self>, call: RelayedCall) -> RelayedAnswer {
        if !self.has_direct_path() {
            return RelayedAnswer::Closed;
        }
        match call {
            RelayedCall::Transact {
                transaction,
                within_ms,
            } => {
                let timeout = Duration::from_millis(within_ms);
                RelayedAnswer::Transact(self.transact_directly(&transaction, timeout).await)
            }
            RelayedCall::Range {
                table,
                part,
                from,
                to,
                within_ms,
            } => {
                let timeout = Duration::from_millis(within_ms);
                RelayedAnswer::Range(
                    self.read_range_directly(&table, &part, &from, &to, timeout)
                        .await,
                )
            }
            RelayedCall::Feed {
                table,
                after,
                wait_ms,
                within_ms,
            } => {
                let (wait, timeout) = (
                    Duration::from_millis(wait_ms),
                    Duration::from_millis(within_ms),
                );
                let rows = self.read_changes_directly(&table, after, wait, timeout);
                RelayedAnswer::Feed(rows.await)
            }
        }
    }
}

fn unknown_outcome(reason: &str) -> RelayedAnswer {
    RelayedAnswer::Transact(Err(CallError::Unknown(reason.to_owned())))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
