//! Reads of the store that neither a silent connection nor a silent peer can hold up.
//!
//! A read has no effect, so one that is overdue is sent again over another path while the earlier
//! attempts go on: over a new connection, then through peers. The first answer counts.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::time::{SpanMs, TimeMs};
use mangotrestle_peer::cell::CellClient;
use mangotrestle_platform::budget::Priority;
use mangotrestle_users_platform::store::{FeedError, Rows};
use mangotrestle_users_platform::transport::CallError;
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::access::{
    DIRECT_CALLS_UNANSWERED, DIRECT_RETRY_DELAY_MS, MAX_RELAY_ATTEMPTS, OVERLOAD_CODE,
    RelayedAnswer, RelayedCall, millis,
};
use super::cell::Cell;
use super::events;

/// Time beyond the requested wait after which a peer that relays a read counts as silent; less than
/// the direct path counts as unavailable.
const RELAYED_READ_TIMEOUT: Duration = Duration::from_millis(900);
/// Time beyond the requested wait after which a relayed read is also sent to the next peer.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(150);
/// Time beyond the requested wait after which a read that no bound depends on is sent again.
pub(super) const DEFAULT_RESEND_DELAY: Duration = Duration::from_millis(300);
/// Maximum length of a row's key in the store, in bytes.
const MAX_KEY_BYTES: usize = 200;
/// Delay before a page is read again that the store refused as one read too many.
const REFUSED_PAGE_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Part of the requested wait that is requested from a peer: the answer shows the store's state at
/// some moment after the request, not at the end of the wait.
const RELAYED_WAIT_SHARE: f64 = 0.5;

/// What to read.
#[derive(Clone, Debug)]
enum Read {
    /// The rows of a part from one key up to but excluding another.
    Range {
        table: String,
        part: String,
        from: String,
        to: String,
    },
    /// The changes of a table after a version.
    Feed { table: String, after: u64 },
}

impl Read {
    fn table(&self) -> &str {
        match self {
            Self::Range { table, .. } | Self::Feed { table, .. } => table,
        }
    }

    fn to_relayed_call(&self, wait: Duration, timeout: Duration) -> RelayedCall {
        let within_ms = millis(wait + timeout);
        match self.clone() {
            Self::Range {
                table,
                part,
                from,
                to,
            } => RelayedCall::Range {
                table,
                part,
                from,
                to,
                within_ms,
            },
            Self::Feed { table, after } => RelayedCall::Feed {
                table,
                after,
                wait_ms: millis(wait),
                within_ms,
            },
        }
    }
}

/// A way to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Path {
    /// A connection that may have been open for a while.
    OpenConnection,
    /// A connection that was opened after the read began.
    NewConnection,
    /// The connections of other hosts.
    Peers,
}

impl Path {
    const fn name(self) -> &'static str {
        match self {
            Self::OpenConnection => "open_connection",
            Self::NewConnection => "new_connection",
            Self::Peers => "peers",
        }
    }
}

/// How long a read may take, and its priority.
#[derive(Clone, Copy, Debug)]
struct ReadTiming {
    /// Its priority for this host's share of the store's rate.
    priority: Priority,
    /// Time for which the store may hold the read back.
    wait: Duration,
    /// Time beyond the wait after which the read is sent again over another path.
    resend_delay: Duration,
    /// Time beyond the wait after which the read fails.
    timeout: Duration,
}

/// Maximum number of answers with changes that are read together, so that those read are not held back
/// for long.
const MAX_CHANGES_PAGES: usize = 20;

/// Time after the first answer with changes from which no more are read before these take effect.
const MAX_CHANGES_TIME: Duration = Duration::from_millis(500);

/// Rows, and a moment as of which they were complete in the store.
#[derive(Debug)]
pub(super) struct ReadRows {
    /// The rows.
    pub(super) rows: Rows,
    /// The moment; the rows may contain later changes.
    pub(super) as_of: TimeMs,
}

impl Cell {
    /// Reads the rows of a part from key `from` up to but excluding key `to`, for a caller.
    pub(super) async fn read_range(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        from: &str,
        to: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        self.read_range_with(Priority::Normal, table, part, (from, to), timeout)
            .await
    }

    /// Reads the rows of a part from one key up to but excluding another.
    pub(super) async fn read_range_with(
        self: &Arc<Self>,
        priority: Priority,
        table: &str,
        part: &str,
        (from, to): (&str, &str),
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        let read = Read::Range {
            table: table.to_owned(),
            part: part.to_owned(),
            from: from.to_owned(),
            to: to.to_owned(),
        };
        let timing = ReadTiming {
            priority,
            wait: Duration::ZERO,
            resend_delay: DEFAULT_RESEND_DELAY,
            timeout,
        };
        let result = self.read(read, timing, self.usable_paths()).await;
        result.map(|answer| answer.rows).map_err(into_call_error)
    }

    /// Reads all rows of a part page by page; the result has the version of the first page.
    pub(super) async fn read_part(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        let pages = AtomicU64::new(0);
        self.read_part_counted(table, part, timeout, &pages).await
    }

    /// Reads all rows of a part as [`Self::read_part`] does, and counts the pages as they are read.
    pub(super) async fn read_part_counted(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        timeout: Duration,
        pages: &AtomicU64,
    ) -> Result<Rows, CallError> {
        let mut all = self.read_page(table, part, "", timeout).await?;
        pages.fetch_add(1, Ordering::Relaxed);
        while all.truncated {
            let last = all.rows.last().map(|row| row.name.key.clone());
            let last = last.unwrap_or_default();
            let mut page = self
                .read_page(table, part, &key_after(&last), timeout)
                .await?;
            pages.fetch_add(1, Ordering::Relaxed);
            page.rows.retain(|row| row.name.key > last);
            all.truncated = page.truncated && !page.rows.is_empty();
            all.rows.extend(page.rows);
        }
        Ok(all)
    }

    /// Reads the rows of a part from key `from` on. A page that the store refuses as one read too many
    /// is read again until the timeout: what was read so far would be lost, and read again.
    async fn read_page(
        self: &Arc<Self>,
        table: &str,
        part: &str,
        from: &str,
        timeout: Duration,
    ) -> Result<Rows, CallError> {
        let began = Instant::now();
        loop {
            let urgent = Priority::Urgent;
            let result = self
                .read_range_with(urgent, table, part, (from, ""), timeout)
                .await;
            let is_refused = matches!(result, Err(CallError::Refused(OVERLOAD_CODE)));
            if !is_refused || began.elapsed() >= timeout {
                return result;
            }
            tokio::time::sleep(REFUSED_PAGE_RETRY_DELAY).await;
        }
    }

    /// Returns the changes of a table after a version; the store waits up to `wait` for the first. An
    /// answer holds a limited number of rows, so they are read on until there are no more. If that does
    /// not succeed, the rows are complete as of no moment.
    pub(super) async fn read_changes(
        self: &Arc<Self>,
        table: &str,
        after: u64,
        wait: Duration,
        resend_delay: Duration,
    ) -> Result<ReadRows, FeedError> {
        let mut timing = ReadTiming {
            priority: Priority::Urgent,
            wait,
            resend_delay,
            timeout: self.transaction_timeout(),
        };
        let mut all = self.read_changes_once(table, after, timing).await?;
        timing.wait = Duration::ZERO;
        let began = Instant::now();
        for _ in 1..MAX_CHANGES_PAGES {
            if !all.rows.truncated {
                return Ok(all);
            }
            if began.elapsed() >= MAX_CHANGES_TIME {
                break;
            }
            let after = all.rows.version;
            let Ok(page) = self.read_changes_once(table, after, timing).await else {
                break;
            };
            all.as_of = page.as_of;
            all.rows.version = page.rows.version.max(after);
            all.rows.truncated = page.rows.truncated;
            all.rows.rows.extend(page.rows.rows);
        }
        if all.rows.truncated {
            slog::info!(self.log, "feed.behind"; "table" => table, "rows" => all.rows.rows.len());
            all.as_of = TimeMs(0);
        }
        Ok(all)
    }

    async fn read_changes_once(
        self: &Arc<Self>,
        table: &str,
        after: u64,
        timing: ReadTiming,
    ) -> Result<ReadRows, FeedError> {
        let read = Read::Feed {
            table: table.to_owned(),
            after,
        };
        self.read(read, timing, self.usable_paths()).await
    }

    /// Executes a read for a peer, over this host's own connections.
    pub(super) async fn read_for_peer(self: &Arc<Self>, call: RelayedCall) -> RelayedAnswer {
        let (read, wait_ms, within_ms, is_feed) = match call {
            RelayedCall::Transact { .. } => return RelayedAnswer::Closed,
            RelayedCall::Range {
                table,
                part,
                from,
                to,
                within_ms,
            } => {
                let read = Read::Range {
                    table,
                    part,
                    from,
                    to,
                };
                (read, 0, within_ms, false)
            }
            RelayedCall::Feed {
                table,
                after,
                wait_ms,
                within_ms,
            } => (Read::Feed { table, after }, wait_ms, within_ms, true),
        };
        let timing = ReadTiming {
            priority: if is_feed {
                Priority::Urgent
            } else {
                Priority::Normal
            },
            wait: Duration::from_millis(wait_ms),
            resend_delay: DEFAULT_RESEND_DELAY,
            timeout: Duration::from_millis(within_ms.saturating_sub(wait_ms)),
        };
        let own_paths = VecDeque::from([Path::OpenConnection, Path::NewConnection]);
        let result = self.read(read, timing, own_paths).await;
        let result = result.map(|answer| answer.rows);
        if is_feed {
            RelayedAnswer::Feed(result)
        } else {
            RelayedAnswer::Range(result.map_err(into_call_error))
        }
    }

    /// Returns the paths for a read in the order in which they are tried.
    fn usable_paths(&self) -> VecDeque<Path> {
        if self.has_direct_path() {
            VecDeque::from([Path::OpenConnection, Path::NewConnection, Path::Peers])
        } else {
            VecDeque::from([Path::Peers, Path::NewConnection])
        }
    }

    async fn read(
        self: &Arc<Self>,
        read: Read,
        timing: ReadTiming,
        mut paths: VecDeque<Path>,
    ) -> Result<ReadRows, FeedError> {
        if paths.front() == Some(&Path::OpenConnection) {
            // Before the read begins: one that waits here is neither overdue nor unanswered.
            let share = self.wait_for_share(timing.priority);
            if tokio::time::timeout(timing.timeout, share).await.is_err() {
                let reason = "this host's share of the store's rate is used up".to_owned();
                return Err(FeedError::Call(CallError::NotSent(reason)));
            }
        }
        let give_up = tokio::time::sleep(timing.wait + timing.timeout);
        tokio::pin!(give_up);
        let began_at = self.clock.now();
        let mut attempts = JoinSet::new();
        let mut unanswered = Vec::new();
        let mut error = FeedError::Call(CallError::NotSent("the store is unreachable".to_owned()));
        let mut wait = match paths.front() {
            Some(Path::Peers) => timing.wait.mul_f64(RELAYED_WAIT_SHARE),
            _ => timing.wait,
        };
        let mut send_at = Instant::now();
        loop {
            if Instant::now() >= send_at
                && let Some(path) = paths.pop_front()
            {
                let (cell, read) = (Arc::clone(self), read.clone());
                let timing = ReadTiming { wait, ..timing };
                attempts.spawn(async move {
                    let result = cell.attempt_read(path, read, timing, began_at).await;
                    (path, result)
                });
                unanswered.push(path);
                send_at = Instant::now() + wait + timing.resend_delay;
                // An attempt that is sent late has nothing left to wait for.
                wait = Duration::ZERO;
            }
            tokio::select! {
                Some(Ok((path, result))) = attempts.join_next() => {
                    unanswered.retain(|other| *other != path);
                    match result {
                        Ok(_) | Err(FeedError::HistoryLost) => {
                            self.record_read_answer(&read, path, &unanswered, began_at);
                            return result;
                        }
                        // All hosts share the store's rate, so no peer would help.
                        Err(FeedError::Call(CallError::Refused(OVERLOAD_CODE)))
                            if self.has_direct_path() => return result,
                        Err(FeedError::Call(reason)) => {
                            if path == Path::OpenConnection && reason.had_no_effect() {
                                paths.retain(|path| *path != Path::NewConnection);
                            }
                            error = FeedError::Call(reason);
                            send_at = Instant::now();
                        }
                    }
                }
                () = tokio::time::sleep_until(send_at), if !paths.is_empty() => {}
                () = &mut give_up => break,
            }
            if attempts.is_empty() && paths.is_empty() {
                return Err(error);
            }
        }
        let unanswered_for = self.clock.now().since(began_at);
        let error = CallError::Unknown(format!("no answer within {} ms", unanswered_for.0));
        if unanswered.iter().any(|path| *path != Path::Peers) {
            self.record_direct_result(Some(&error));
        }
        Err(FeedError::Call(error))
    }

    /// Records that one path answered a read and that others have not.
    fn record_read_answer(&self, read: &Read, path: Path, unanswered: &[Path], began_at: TimeMs) {
        let silent = unanswered.contains(&Path::OpenConnection);
        if !silent {
            return;
        }
        let waited = self.clock.now().since(began_at);
        events::store_connection_silent(&self.log, read.table(), path.name(), waited);
        if path == Path::Peers {
            let error = CallError::Unknown(DIRECT_CALLS_UNANSWERED.to_owned());
            self.record_direct_result(Some(&error));
        }
    }

    /// Waits until this host's share of the store's rate allows one more read.
    async fn wait_for_share(&self, priority: Priority) {
        let asked_at = Instant::now();
        self.reads.acquire(priority).await;
        events::store_read_delayed(asked_at.elapsed());
    }

    async fn attempt_read(
        self: Arc<Self>,
        path: Path,
        read: Read,
        timing: ReadTiming,
        began_at: TimeMs,
    ) -> Result<ReadRows, FeedError> {
        match path {
            Path::OpenConnection => self.read_directly(&read, timing).await,
            Path::NewConnection => {
                self.wait_for_share(timing.priority).await;
                self.store.renew(self.clock.now(), began_at);
                self.read_directly(&read, timing).await
            }
            Path::Peers => self.read_through_peers(&read, timing).await,
        }
    }

    async fn read_directly(&self, read: &Read, timing: ReadTiming) -> Result<ReadRows, FeedError> {
        let (sent_at, began) = (self.clock.now(), Instant::now());
        let store = self.store.client();
        let timeout = timing.wait + timing.timeout;
        let call = async {
            match read {
                Read::Range {
                    table,
                    part,
                    from,
                    to,
                } => store
                    .read_range(table, part, from, to, timeout)
                    .await
                    .map_err(FeedError::Call),
                Read::Feed { table, after } => {
                    store
                        .read_changes(table, *after, timing.wait, timeout)
                        .await
                }
            }
        };
        let result = tokio::select! {
            result = call => result,
            () = self.wait_until_unresponsive(timing.wait) =>
                Err(FeedError::Call(CallError::Unknown(DIRECT_CALLS_UNANSWERED.to_owned()))),
        };
        if matches!(
            result,
            Err(FeedError::Call(CallError::Refused(OVERLOAD_CODE)))
        ) {
            self.reads.slow_down();
        }
        match &result {
            Err(FeedError::Call(error)) => self.record_direct_result(Some(error)),
            Ok(_) | Err(FeedError::HistoryLost) => self.record_direct_result(None),
        }
        let rows = result?;
        self.record_read_time(began.elapsed(), timing.wait);
        // The store answers without changes at the end of the wait.
        let held_back = if rows.rows.is_empty() {
            SpanMs(millis(timing.wait))
        } else {
            SpanMs(0)
        };
        let as_of = (sent_at + held_back).min(self.clock.now());
        Ok(ReadRows { rows, as_of })
    }

    async fn read_through_peers(
        self: &Arc<Self>,
        read: &Read,
        timing: ReadTiming,
    ) -> Result<ReadRows, FeedError> {
        let as_of = self.clock.now();
        let call = read.to_relayed_call(timing.wait, timing.timeout);
        let result = match self.relay_read(&call, timing.wait).await {
            Some(RelayedAnswer::Range(result)) => result.map_err(FeedError::Call),
            Some(RelayedAnswer::Feed(result)) => result,
            Some(RelayedAnswer::Transact(_) | RelayedAnswer::Closed) => {
                let reason = "a peer's answer does not match the relayed call".to_owned();
                Err(FeedError::Call(CallError::Unknown(reason)))
            }
            None => {
                let reason = "the store is unreachable directly and through peers".to_owned();
                Err(FeedError::Call(CallError::NotSent(reason)))
            }
        };
        let rows = result?;
        self.record_store_answer();
        Ok(ReadRows { rows, as_of })
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
                () = tokio::time::sleep(wait + NEXT_PEER_DELAY), if candidates.len() > 0 => {}
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
}

/// Returns a key that sorts right after another one; the key itself if no longer one is allowed.
fn key_after(key: &str) -> String {
    if key.len() < MAX_KEY_BYTES {
        format!("{key}\u{1}")
    } else {
        key.to_owned()
    }
}

/// Returns the error of a call that reads no feed.
fn into_call_error(error: FeedError) -> CallError {
    match error {
        FeedError::Call(error) => error,
        FeedError::HistoryLost => {
            CallError::Malformed("history lost, in answer to a read of a range".to_owned())
        }
    }
}
