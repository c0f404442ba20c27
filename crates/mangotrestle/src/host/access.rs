//! The direct path to the store, transactions, and calls that peers relay while it is unavailable.
//!
//! The store may refuse single hosts, or be unreachable for them, while it serves others. After
//! consecutive failures the direct path counts as unavailable for a while, and calls are first
//! relayed by a peer whose own direct path is available. A peer never relays a relayed call again.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_core::workflow::leadership;
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
pub(super) const DIRECT_RETRY_DELAY_MS: u64 = 1_000;
/// Maximum number of peers tried for one call; a peer whose own direct path is unavailable answers
/// at once.
pub(super) const MAX_RELAY_ATTEMPTS: usize = 6;
/// Time added to the timeout of a call when it is relayed.
const RELAY_TIMEOUT_MARGIN: Duration = Duration::from_millis(100);

/// Time beyond its usual duration after which a pending direct call marks the direct path as
/// unavailable, if no direct call was answered since; long enough for a lost packet to be resent.
const DIRECT_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time without an answer, direct or relayed, after which the store counts as unresponsive and new
/// work is refused: twice the interval at which the store is polled.
const STORE_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(800);
/// Error of direct calls that were abandoned because the store is unresponsive.
pub(super) const DIRECT_CALLS_UNANSWERED: &str = "the store answers no direct call";
/// Replaces both unresponsive timeouts while the store is slow.
const SLOW_UNRESPONSIVE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Consecutive failures, the last of them a refusal because of overload, after which the direct
/// path counts as unavailable; higher because a busy part of the store refuses a few calls.
const DIRECT_REFUSAL_THRESHOLD: u64 = 6;
/// HTTP status with which the store refuses calls while it is overloaded.
pub(super) const OVERLOAD_CODE: u16 = 429;
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
    pub(super) no_relay_until_ms: AtomicU64,
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
    pub(super) fn record_read_time(&self, took: Duration, wait: Duration) {
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

    pub(super) fn record_direct_result(&self, error: Option<&CallError>) {
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
    /// call was answered for as long. Marks the direct path as unavailable then, so that other calls
    /// are relayed. `wait` is the time for which the store may hold the call back.
    pub(super) async fn wait_until_unresponsive(&self, wait: Duration) {
        let unresponsive_timeout = if self.store_is_slow() {
            SLOW_UNRESPONSIVE_TIMEOUT
        } else {
            DIRECT_UNRESPONSIVE_TIMEOUT
        };
        tokio::time::sleep(wait + unresponsive_timeout).await;
        loop {
            let answered_at = TimeMs(self.direct.answered_at_ms.load(Ordering::Relaxed));
            let silent_for = self.clock.now().since(answered_at).as_duration();
            let remaining = unresponsive_timeout.saturating_sub(silent_for);
            if remaining.is_zero() {
                break;
            }
            tokio::time::sleep(remaining).await;
        }
        let consecutive_failures = self.direct.consecutive_failures.load(Ordering::Relaxed);
        self.mark_direct_path_unavailable(consecutive_failures, DIRECT_CALLS_UNANSWERED);
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
    pub(super) fn record_store_answer(&self) {
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
        let (sent_at, began) = (self.clock.now(), std::time::Instant::now());
        let mut call = std::pin::pin!(self.transact(transaction, self.transaction_timeout()));
        loop {
            if let Ok(result) = tokio::time::timeout(PROBE_INTERVAL, &mut call).await {
                return result;
            }
            let probe_started = std::time::Instant::now();
            let end = format!("{}\u{1}", probe.key);
            let range = (probe.key.as_str(), end.as_str());
            let rows = self
                .read_range_with(
                    Priority::Urgent,
                    &probe.table,
                    &probe.part,
                    range,
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
                self.store.renew(self.clock.now(), sent_at);
                return Err(CallError::Unknown(
                    "the answer to the transaction was lost".to_owned(),
                ));
            }
        }
    }

    async fn transact_directly(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> Result<TransactionAnswer, CallError> {
        self.writes.acquire(Priority::Urgent).await;
        let (sent_at, began) = (self.clock.now(), std::time::Instant::now());
        let store = self.store.client();
        let mut call = std::pin::pin!(store.transact(transaction, timeout));
        let result = tokio::select! {
            result = &mut call => result,
            // The transaction may still be applied, so its answer is waited for.
            () = self.wait_until_unresponsive(Duration::ZERO) => call.await,
        };
        match &result {
            Ok(_) => self.record_transaction_time(began.elapsed()),
            Err(CallError::Unknown(_)) => self.store.renew(self.clock.now(), sent_at),
            Err(_) => {}
        }
        self.record_direct_result(result.as_ref().err());
        result
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

    /// Records that no peer could relay a call, so that none is asked for a while.
    pub(super) fn record_failed_relay(&self) {
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
            read @ (RelayedCall::Range { .. } | RelayedCall::Feed { .. }) => {
                self.read_for_peer(read).await
            }
        }
    }
}

fn unknown_outcome(reason: &str) -> RelayedAnswer {
    RelayedAnswer::Transact(Err(CallError::Unknown(reason.to_owned())))
}

pub(super) fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
