//! Spawns tasks that read and write a pool's rows and report the results to the control thread.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::lease::message;
use mangotrestle_core::lease::roster;
use mangotrestle_core::pool;
use mangotrestle_platform::backoff;
use mangotrestle_platform::pool_store;
use mangotrestle_platform::schema;
use mangotrestle_platform::table;

use super::event;
use super::journal_writer;
use crate::daemon::context;

/// Initial back-off between attempts to load a pool's state.
const INITIAL_LOAD_BACKOFF: Duration = Duration::from_millis(100);
/// Maximum back-off between attempts to load a pool's state.
const MAX_LOAD_BACKOFF: Duration = Duration::from_secs(5);
/// Maximum number of inbox rows in one read.
const MAX_INBOX_PAGE_ROWS: u32 = 500;

/// Spawns store tasks for one pool.
#[derive(Clone)]
pub(super) struct StoreTasks {
    context: Arc<context::Context>,
    pool_index: event::PoolIndex,
    pool_id: id::PoolId,
}

impl StoreTasks {
    pub(super) const fn new(
        context: Arc<context::Context>,
        pool_index: event::PoolIndex,
        pool_id: id::PoolId,
    ) -> Self {
        Self {
            context,
            pool_index,
            pool_id,
        }
    }

    /// Index of the pool among those that this entry host may lead.
    pub(super) const fn index(&self) -> event::PoolIndex {
        self.pool_index
    }

    fn store(&self) -> pool_store::PoolStore {
        self.context.pool_store(&self.pool_id)
    }

    fn report_leadership_event(&self, event: leadership::LeadershipEvent) {
        let event = pool::PoolEvent::Leadership(event);
        self.context.report(event::ControlEvent::Pool {
            pool_index: self.pool_index,
            event,
        });
    }

    /// Reads the roster from the store.
    pub(super) fn load_roster(&self) {
        let tasks = self.clone();
        tokio::spawn(async move {
            let event = match tasks.store().roster().await {
                Ok(row) => {
                    let roster = row.map(|(roster, _)| roster);
                    leadership::LeadershipEvent::RosterLoaded(roster)
                }
                Err(_) => leadership::LeadershipEvent::RosterUnavailable,
            };
            tasks.report_leadership_event(event);
        });
    }

    /// Writes the roster if the stored one still has version `from`.
    pub(super) fn commit_roster(&self, from: message::RosterVersion, roster: roster::Roster) {
        let tasks = self.clone();
        tokio::spawn(async move {
            let event = match write_roster(&tasks.store(), from, &roster).await {
                Ok(()) => leadership::LeadershipEvent::RosterCommitted(roster.version),
                Err(table::TableError::Conflict { .. }) => {
                    leadership::LeadershipEvent::RosterConflict
                }
                Err(_) => leadership::LeadershipEvent::RosterUnavailable,
            };
            tasks.report_leadership_event(event);
        });
    }

    /// Loads the pool's state and opens its journal, with retries until it succeeds. The control
    /// thread aborts the task through the returned handle when the tenure ends.
    pub(super) fn load_state(&self, tenure: u64) -> tokio::task::AbortHandle {
        let tasks = self.clone();
        let task = tokio::spawn(async move {
            let store = tasks.store();
            let mut delays = backoff::Backoff::new(INITIAL_LOAD_BACKOFF, MAX_LOAD_BACKOFF);
            let loaded = loop {
                match load_and_fence(&store).await {
                    Ok(loaded) => break loaded,
                    Err(error) => tasks.log_load_error(&error),
                }
                tokio::time::sleep(delays.next_delay()).await;
            };
            let context = Arc::clone(&tasks.context);
            let pool_index = tasks.pool_index;
            let journal =
                journal_writer::JournalWriter::open(context, pool_index, tenure, &store, &loaded);
            let state = Box::new(loaded.state);
            tasks.context.report(event::ControlEvent::PoolLoaded {
                pool_index,
                tenure,
                state,
                journal,
            });
        });
        task.abort_handle()
    }

    fn log_load_error(&self, error: &str) {
        slog::warn!(
            self.context.log, "pool.load_failed";
            "pool" => self.pool_id.as_str(), "error" => error
        );
    }

    /// Reads the first page of the inbox. A failed read is reported as an empty page.
    pub(super) fn read_inbox(&self, tenure: u64) {
        let tasks = self.clone();
        tokio::spawn(async move {
            let prefix = schema::inbox_prefix(&tasks.pool_id);
            let entries = match tasks
                .context
                .platform
                .table
                .scan(&prefix, None, MAX_INBOX_PAGE_ROWS)
                .await
            {
                Ok(page) => page
                    .rows
                    .iter()
                    .filter_map(|row| tasks.inbox_entry(row))
                    .collect(),
                Err(_) => Vec::new(),
            };
            let pool_index = tasks.pool_index;
            tasks.context.report(event::ControlEvent::Inbox {
                pool_index,
                tenure,
                entries,
            });
        });
    }

    fn inbox_entry(&self, row: &table::Row) -> Option<event::InboxEntry> {
        match row.decode::<schema::InboxRow>() {
            Ok(decoded) => Some(event::InboxEntry {
                key: row.key.clone(),
                record: decoded.record,
            }),
            Err(error) => {
                slog::error!(
                    self.context.log, "inbox.malformed";
                    "key" => &row.key, "error" => %error
                );
                None
            }
        }
    }

    /// Compacts the journal into a snapshot if it has grown enough.
    pub(super) fn compact(&self, durable_state: &pool_store::DurableState) {
        let tasks = self.clone();
        let durable_state = durable_state.clone();
        tokio::spawn(async move {
            let policy = pool_store::CompactionPolicy::default();
            let wall_ms = tasks.context.clock.wall();
            match tasks
                .store()
                .compact_if_due(&durable_state, &policy, wall_ms)
                .await
            {
                Ok(None) => {}
                Ok(Some(compaction)) => {
                    slog::info!(
                        tasks.context.log, "journal.compacted";
                        "pool" => tasks.pool_id.as_str(), "through" => compaction.through,
                        "snapshot_bytes" => compaction.snapshot_bytes,
                        "deleted_rows" => compaction.deleted_rows,
                        "forgotten_jobs" => compaction.forgotten.len()
                    );
                    let event = pool::PoolEvent::JobsForgotten(compaction.forgotten);
                    let pool_index = tasks.pool_index;
                    tasks
                        .context
                        .report(event::ControlEvent::Pool { pool_index, event });
                }
                Err(error) => slog::warn!(
                    tasks.context.log, "journal.compaction_failed";
                    "pool" => tasks.pool_id.as_str(), "error" => %error
                ),
            }
        });
    }
}

/// Loads a pool's state and fences its journal against writes of earlier leaders.
async fn load_and_fence(store: &pool_store::PoolStore) -> Result<pool_store::Loaded, String> {
    let mut loaded = store.load().await.map_err(|error| error.to_string())?;
    store
        .fence(&mut loaded)
        .await
        .map_err(|error| error.to_string())?;
    Ok(loaded)
}

async fn write_roster(
    store: &pool_store::PoolStore,
    from: message::RosterVersion,
    roster: &roster::Roster,
) -> Result<(), table::TableError> {
    let stored = store.roster().await?;
    let stored_version = stored
        .as_ref()
        .map_or(message::RosterVersion(0), |(stored_roster, _)| {
            stored_roster.version
        });
    if stored_version != from {
        return Err(table::TableError::Conflict {
            failed: Vec::new(),
            current: Vec::new(),
        });
    }
    let expected = stored.map(|(_, version)| version);
    store.write_roster(roster, expected).await.map(drop)
}
