//! Calls to the store: directly, or through a peer while the direct way is closed.
//!
//! The store may turn single hosts away or be out of their reach while it serves others. After
//! failures in a row the direct way counts as closed for a while, and a call is first passed on by
//! a peer whose own way is open. A peer never passes a relayed call on again.

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

/// Failures in a row that close the direct way.
const CLOSING_FAILURES: u64 = 2;
/// Time for which the direct way stays closed, in milliseconds; a peer's help costs little more.
const CLOSED_MS: u64 = 1_000;
/// Peers that are tried for one call; one that has no open way itself says so at once.
const MOST_RELAYS: usize = 6;
/// Time for a relayed call beyond that of the call itself.
const RELAY_MARGIN: Duration = Duration::from_millis(100);

/// Time beyond the usual without any direct answer after which a call that waits closes the direct
/// way: long enough for a lost packet to be sent again.
const SILENCE: Duration = Duration::from_millis(500);
/// Time without an answer by any way after which new work is refused: twice the distance of looks
/// at the store.
const ALL_SILENT: Duration = Duration::from_millis(800);
/// What the log says of calls that were given up for silence.
const UNANSWERED: &str = "no call is answered";
/// The same spans while the store is slow.
const SLOW_SILENCE: Duration = Duration::from_millis(1_500);

/// Refusals for load in a row that close the direct way; a busy part of the store refuses a few.
const CLOSING_REFUSALS: u64 = 6;
/// Status of a refusal for load.
const TOO_MANY: u16 = 429;
/// Time after a call that no peer could pass on in which none is tried again.
const NO_RELAY_MS: u64 = 400;
/// Time for a transaction.
const TRY: Duration = Duration::from_millis(1_500);
/// Time for a transaction while the store is slow.
const SLOW_TRY: Duration = Duration::from_secs(3);
/// Time of a transaction from which on the store counts as slow; ten times the usual.
const SLOW_TRANSACTION_MS: u64 = 150;
/// Time of a read beyond what it was to wait, from which on the store counts as slow.
const SLOW_READ_MS: u64 = 80;
/// Time for which the store counts as slow after a slow answer.
const SLOW_FOR_MS: u64 = 2_500;
/// Distance of looks for the rows of a transaction that is not answered.
const PROBE: Duration = Duration::from_millis(300);
/// Time for such a look.
const PROBE_READ: Duration = Duration::from_secs(1);
/// Time after which a transaction counts as lost whose rows are not there though the store answers
/// reads quickly.
const LOST: Duration = Duration::from_millis(500);

/// State of the direct way.
#[derive(Debug, Default)]
pub(super) struct DirectWay {
    failures: AtomicU64,
    answered_at_ms: AtomicU64,
    closed_until_ms: AtomicU64,
    no_relay_until_ms: AtomicU64,
    slow_until_ms: AtomicU64,
    /// Whether the log says that the store is lost.
    lost_logged: AtomicBool,
}

/// A call that a peer passes on.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum RelayedCall {
    /// A transaction.
    Transact {
        /// What to carry out.
        transaction: Transaction,
        /// Time for it.
        within_ms: u64,
    },
    /// A range.
    Range {
        /// The table.
        table: String,
        /// The part.
        part: String,
        /// First key.
        from: String,
        /// Key after the last.
        to: String,
        /// Time for it.
        within_ms: u64,
    },
    /// A feed.
    Feed {
        /// The table.
        table: String,
        /// The version.
        after: u64,
        /// How long to wait for a change.
        wait_ms: u64,
        /// Time for it.
        within_ms: u64,
    },
}

/// Answer to a relayed call.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum RelayedAnswer {
    /// Of a transaction.
    Transact(Result<TransactionAnswer, CallError>),
    /// Of a range.
    Range(Result<Rows, CallError>),
    /// Of a feed.
    Feed(Result<Rows, FeedError>),
    /// The peer has no open way itself.
    Closed,
}

impl Cell {
    /// Whether the direct way to the store is open.
    pub(super) fn store_is_open(&self) -> bool {
        self.clock.now().0 >= self.direct.closed_until_ms.load(Ordering::Relaxed)
    }

    /// Whether there is no way to the store at present, directly or through a peer.
    pub(super) fn store_is_away(&self) -> bool {
        let no_relay_until = self.direct.no_relay_until_ms.load(Ordering::Relaxed);
        !self.store_is_open() && self.clock.now().0 < no_relay_until
    }

    /// How long the store has not answered.
    pub(super) fn store_away_for(&self) -> SpanMs {
        let answered_at = TimeMs(self.store_answered_at_ms.load(Ordering::Relaxed));
        self.clock.now().since(answered_at)
    }

    /// Time for a transaction.
    pub(super) fn try_time(&self) -> Duration {
        if self.store_is_slow() { SLOW_TRY } else { TRY }
    }

    /// Whether the store takes much longer than it should.
    pub(super) fn store_is_slow(&self) -> bool {
        self.clock.now().0 < self.direct.slow_until_ms.load(Ordering::Relaxed)
    }

    /// Time that each rank among the hosts leaves to the one before when a pool has no leader: a
    /// claim must be able to show before the next is made.
    pub(super) fn stagger(&self) -> SpanMs {
        let factor = if self.store_is_slow() { 4 } else { 1 };
        SpanMs(leadership::MIN_CLAIM_STAGGER.0 * factor)
    }

    fn note_transaction_time(&self, took: Duration) {
        if millis(took) >= SLOW_TRANSACTION_MS {
            self.note_slow("transaction", took);
        }
    }

    /// Learns from a read that was to wait and took this long.
    fn note_read_time(&self, took: Duration, wait: Duration) {
        if millis(took.saturating_sub(wait)) >= SLOW_READ_MS {
            self.note_slow("read", took);
        }
    }

    fn note_slow(&self, what: &'static str, took: Duration) {
        let was_slow = self.store_is_slow();
        let until = self.clock.now().0 + SLOW_FOR_MS;
        self.direct.slow_until_ms.store(until, Ordering::Relaxed);
        if !was_slow {
            slog::info!(self.log, "store.slow"; "call" => what, "took_ms" => millis(took));
        }
    }

    /// Whether the last call to the store succeeded, by whatever way.
    pub(super) fn store_answers(&self) -> bool {
        let failed_at = self.store_failed_at_ms.load(Ordering::Relaxed);
        self.store_answered_at_ms.load(Ordering::Relaxed) >= failed_at
    }

    fn note_direct(&self, error: Option<&CallError>) {
        let now = self.clock.now().0;
        if error.is_none() {
            self.direct.failures.store(0, Ordering::Relaxed);
            let answered = self.direct.answered_at_ms.swap(now, Ordering::Relaxed);
            self.direct.closed_until_ms.store(0, Ordering::Relaxed);
            self.note_answer();
            if self.direct.lost_logged.swap(false, Ordering::Relaxed) {
                slog::info!(self.log, "store.regained"; "away_ms" => now.saturating_sub(answered));
            }
            return;
        }
        self.store_failed_at_ms.store(now, Ordering::Relaxed);
        let failures = self.direct.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let closing = match error {
            Some(CallError::Refused(TOO_MANY)) => CLOSING_REFUSALS,
            _ => CLOSING_FAILURES,
        };
        if failures >= closing {
            let error = error.map(ToString::to_string).unwrap_or_default();
            self.close_direct_way(failures, &error);
        }
    }

    fn close_direct_way(&self, failures: u64, why: &str) {
        let was_open = self.store_is_open();
        let until = self.clock.now().0 + CLOSED_MS;
        self.direct.closed_until_ms.store(until, Ordering::Relaxed);
        let known = self.direct.lost_logged.swap(true, Ordering::Relaxed);
        if was_open && !known {
            slog::warn!(self.log, "store.lost"; "failures" => failures, "error" => why);
        }
    }

    /// Ends when a direct call that began now and usually answers within a time has waited longer
    /// while nothing else was answered; the way counts as closed then, so that other calls take
    /// another.
    async fn silence(&self, usual: Duration) {
        let began = self.clock.now().0;
        let silence = if self.store_is_slow() {
            SLOW_SILENCE
        } else {
            SILENCE
        };
        tokio::time::sleep(usual + silence).await;
        while self.direct.answered_at_ms.load(Ordering::Relaxed) >= began {
            tokio::time::sleep(silence).await;
        }
        let failures = self.direct.failures.load(Ordering::Relaxed);
        self.close_direct_way(failures, UNANSWERED);
    }

    /// Time for a read on a way that counts as closed: long enough to see that the store is back.
    fn closed_read_time(&self, within: Duration) -> Duration {
        let silence = if self.store_is_slow() {
            SLOW_SILENCE
        } else {
            SILENCE
        };
        within.min(silence)
    }

    /// Whether nothing was answered for so long, by whatever way, that the store seems to be away.
    pub(super) fn store_is_silent(&self) -> bool {
        let silence = if self.store_is_slow() {
            SLOW_SILENCE
        } else {
            ALL_SILENT
        };
        self.store_away_for().as_duration() >= silence
    }

    /// Notes that the store answered, by whatever way.
    fn note_answer(&self) {
        let now = self.clock.now().0;
        self.store_answered_at_ms.store(now, Ordering::Relaxed);
    }

    /// Carries out a transaction.
    pub(super) async fn transact(
        self: &Arc<Self>,
        transaction: &Transaction,
        within: Duration,
    ) -> Result<TransactionAnswer, CallError> {
        let open = self.store_is_open();
        if open {
            let result = self.transact_directly(transaction, within).await;
            match result {
                Err(CallError::Refused(TOO_MANY)) if self.store_is_open() => return result,
                Err(error) if error.had_no_effect() => {}
                other => return other,
            }
        }
        let call = RelayedCall::Transact {
            transaction: transaction.clone(),
            within_ms: millis(within),
        };
        match self.relay(&call, within).await {
            Some(RelayedAnswer::Transact(result)) => {
                if result.is_ok() {
                    self.note_answer();
                }
                result
            }
            Some(_) => Err(CallError::Unknown("a peer gave another answer".to_owned())),
            None if open => Err(CallError::NotSent("no way to the store".to_owned())),
            None => self.transact_directly(transaction, within).await,
        }
    }

    /// Carries out a transaction and, while there is no answer, looks whether its rows are there. A
    /// transaction that a slow store has queued is not sent twice, and one whose answer was lost is
    /// not waited for. `is_ours` tells whether a row was written by this transaction and no other.
    pub(super) async fn settle(
        self: &Arc<Self>,
        transaction: &Transaction,
        probe: &RowName,
        is_ours: impl Fn(&Row) -> bool,
    ) -> Result<TransactionAnswer, CallError> {
        let began = std::time::Instant::now();
        let mut call = std::pin::pin!(self.transact(transaction, self.try_time()));
        loop {
            if let Ok(result) = tokio::time::timeout(PROBE, &mut call).await {
                return result;
            }
            let asked = std::time::Instant::now();
            let end = format!("{}\u{1}", probe.key);
            let rows = self
                .range(&probe.table, &probe.part, &probe.key, &end, PROBE_READ)
                .await;
            let Ok(rows) = rows else {
                continue;
            };
            if let Some(row) = rows.rows.iter().find(|row| is_ours(row)) {
                let version = row.version;
                return Ok(TransactionAnswer::Done { version });
            }
            let quick = millis(asked.elapsed()) < SLOW_READ_MS;
            if quick && began.elapsed() >= LOST {
                return Err(CallError::Unknown("the answer was lost".to_owned()));
            }
        }
    }

    async fn range_directly(
        &self,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        within: Duration,
    ) -> Result<Rows, CallError> {
        self.reads.acquire(Priority::Normal).await;
        let call = self.store.read_range(table, part, from, to, within);
        let result = tokio::select! {
            result = call => result,
            () = self.silence(Duration::ZERO) => Err(CallError::Unknown(UNANSWERED.to_owned())),
        };
        self.note_direct(result.as_ref().err());
        result
    }

    async fn feed_directly(
        &self,
        table: &str,
        after: u64,
        wait: Duration,
        within: Duration,
    ) -> Result<Rows, FeedError> {
        self.reads.acquire(Priority::Normal).await;
        let call = self.store.read_changes(table, after, wait, within);
        let result = tokio::select! {
            result = call => result,
            () = self.silence(wait) => {
                Err(FeedError::Call(CallError::Unknown(UNANSWERED.to_owned())))
            }
        };
        match &result {
            Err(FeedError::Call(error)) => self.note_direct(Some(error)),
            Ok(_) | Err(FeedError::HistoryLost) => self.note_direct(None),
        }
        result
    }

    async fn transact_directly(
        &self,
        transaction: &Transaction,
        within: Duration,
    ) -> Result<TransactionAnswer, CallError> {
        self.writes.acquire(Priority::Urgent).await;
        let began = std::time::Instant::now();
        let mut call = std::pin::pin!(self.store.transact(transaction, within));
        let result = tokio::select! {
            result = &mut call => result,
            // The transaction may be carried out all the same.
            () = self.silence(Duration::ZERO) => call.await,
        };
        if result.is_ok() {
            self.note_transaction_time(began.elapsed());
        }
        self.note_direct(result.as_ref().err());
        result
    }

    /// Reads rows.
    pub(super) async fn range(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        within: Duration,
    ) -> Result<Rows, CallError> {
        let open = self.store_is_open();
        if open {
            let began = std::time::Instant::now();
            let result = self.range_directly(table, part, from, to, within).await;
            if result.is_ok() {
                self.note_read_time(began.elapsed(), Duration::ZERO);
                return result;
            }
        }
        let call = RelayedCall::Range {
            table: table.to_owned(),
            part: part.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
            within_ms: millis(within),
        };
        match self.relay(&call, within).await {
            Some(RelayedAnswer::Range(result)) => {
                if result.is_ok() {
                    self.note_answer();
                }
                result
            }
            Some(_) => Err(CallError::Unknown("a peer gave another answer".to_owned())),
            None if open => Err(CallError::NotSent("no way to the store".to_owned())),
            None => {
                let within = self.closed_read_time(within);
                self.range_directly(table, part, from, to, within).await
            }
        }
    }

    /// Reads all rows of a part, page by page, with the version of the first page.
    pub(super) async fn whole_part(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        within: Duration,
    ) -> Result<Rows, CallError> {
        let mut all = self.range(table, part, "", "", within).await?;
        while all.truncated {
            // The least key after the last one read.
            let from = all
                .rows
                .last()
                .map(|row| format!("{}\u{1}", row.name.key))
                .unwrap_or_default();
            let page = self.range(table, part, &from, "", within).await?;
            all.truncated = page.truncated && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Waits for changes of a table.
    pub(super) async fn feed(
        self: &Arc<Self>,
        table: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Rows, FeedError> {
        let within = wait + self.try_time();
        let open = self.store_is_open();
        if open {
            let began = std::time::Instant::now();
            let result = self.feed_directly(table, after, wait, within).await;
            if result.is_ok() {
                self.note_read_time(began.elapsed(), wait);
            }
            if !matches!(result, Err(FeedError::Call(_))) {
                return result;
            }
        }
        let call = RelayedCall::Feed {
            table: table.to_owned(),
            after,
            wait_ms: millis(wait),
            within_ms: millis(within),
        };
        match self.relay(&call, within).await {
            Some(RelayedAnswer::Feed(result)) => {
                if result.is_ok() {
                    self.note_answer();
                }
                result
            }
            Some(_) => Err(FeedError::Call(CallError::Unknown(
                "a peer gave another answer".to_owned(),
            ))),
            None if open => Err(FeedError::Call(CallError::NotSent(
                "no way to the store".to_owned(),
            ))),
            None => {
                let within = self.closed_read_time(within);
                self.feed_directly(table, after, Duration::ZERO, within)
                    .await
            }
        }
    }

    /// Has a peer pass a call on; `None` if none has an open way. A peer that does not answer may
    /// have passed the call on.
    async fn relay(
        self: &Arc<Self>,
        call: &RelayedCall,
        within: Duration,
    ) -> Option<RelayedAnswer> {
        if self.clock.now().0 < self.direct.no_relay_until_ms.load(Ordering::Relaxed) {
            return None;
        }
        let value = serde_json::to_value(call).ok()?;
        for client in self.relay_peers(MOST_RELAYS) {
            let wait = within + RELAY_MARGIN;
            let answer = tokio::time::timeout(wait, client.1.relay(value.clone())).await;
            match answer {
                Ok(Ok(answer)) => match serde_json::from_value(answer) {
                    Ok(RelayedAnswer::Closed) => self.note_relay(&client.0, false),
                    Ok(answer) => {
                        self.note_relay(&client.0, true);
                        return Some(answer);
                    }
                    Err(error) => return Some(unknown(call, &error.to_string())),
                },
                Ok(Err(error)) => {
                    self.note_peer_failure(&client.0);
                    if matches!(call, RelayedCall::Transact { .. }) {
                        return Some(unknown(call, &error.to_string()));
                    }
                }
                Err(_) => {
                    self.note_peer_failure(&client.0);
                    if matches!(call, RelayedCall::Transact { .. }) {
                        return Some(unknown(call, "the peer did not answer in time"));
                    }
                }
            }
        }
        let until = self.clock.now().0 + NO_RELAY_MS;
        self.direct
            .no_relay_until_ms
            .store(until, Ordering::Relaxed);
        None
    }

    /// Carries out a call of a peer, directly or not at all.
    pub(super) async fn carry_out(self: &Arc<Self>, call: RelayedCall) -> RelayedAnswer {
        if !self.store_is_open() {
            return RelayedAnswer::Closed;
        }
        match call {
            RelayedCall::Transact {
                transaction,
                within_ms,
            } => {
                let within = Duration::from_millis(within_ms);
                RelayedAnswer::Transact(self.transact_directly(&transaction, within).await)
            }
            RelayedCall::Range {
                table,
                part,
                from,
                to,
                within_ms,
            } => {
                let within = Duration::from_millis(within_ms);
                RelayedAnswer::Range(self.range_directly(&table, &part, &from, &to, within).await)
            }
            RelayedCall::Feed {
                table,
                after,
                wait_ms,
                within_ms,
            } => {
                let (wait, within) = (
                    Duration::from_millis(wait_ms),
                    Duration::from_millis(within_ms),
                );
                let rows = self.feed_directly(&table, after, wait, within);
                RelayedAnswer::Feed(rows.await)
            }
        }
    }
}

fn unknown(call: &RelayedCall, why: &str) -> RelayedAnswer {
    let error = CallError::Unknown(why.to_owned());
    match call {
        RelayedCall::Transact { .. } => RelayedAnswer::Transact(Err(error)),
        RelayedCall::Range { .. } => RelayedAnswer::Range(Err(error)),
        RelayedCall::Feed { .. } => RelayedAnswer::Feed(Err(FeedError::Call(error))),
    }
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}
