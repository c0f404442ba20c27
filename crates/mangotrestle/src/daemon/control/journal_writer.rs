//! Appends records to a pool's journal during one tenure (period of leadership) and reports which
//! entries are durable.

use std::sync::Arc;

use mangotrestle_platform::budget;
use mangotrestle_platform::group_commit;
use mangotrestle_platform::pool_store;
use tokio::sync::mpsc;

use super::event;
use crate::daemon::context;

/// An entry that was submitted and is not known to be durable yet.
struct InFlight {
    token: u64,
    pending: group_commit::Pending<pool_store::JournalSink>,
}

/// Writes a pool's journal during one tenure. Dropping it doesn't cancel submitted entries: they
/// still commit or fail.
pub(crate) struct JournalWriter {
    commit: group_commit::GroupCommit<pool_store::JournalSink>,
    in_flight: mpsc::UnboundedSender<InFlight>,
    durable_state: pool_store::DurableState,
}

impl JournalWriter {
    /// Opens the journal of a pool whose state was loaded and fenced.
    pub(crate) fn open(
        context: Arc<context::Context>,
        pool_index: event::PoolIndex,
        tenure: u64,
        store: &pool_store::PoolStore,
        loaded: &pool_store::Loaded,
    ) -> Self {
        let durable_state = pool_store::DurableState::new(loaded);
        let commit = group_commit::GroupCommit::<pool_store::JournalSink>::builder()
            .spawn(store.journal(&durable_state));
        let (in_flight, in_flight_entries) = mpsc::unbounded_channel();
        tokio::spawn(report_commits(
            context,
            pool_index,
            tenure,
            in_flight_entries,
        ));
        Self {
            commit,
            in_flight,
            durable_state,
        }
    }

    /// The durable state, which compaction folds into a snapshot.
    pub(crate) const fn durable_state(&self) -> &pool_store::DurableState {
        &self.durable_state
    }

    /// Submits an entry. Returns whether it was accepted for writing.
    pub(crate) fn append(&self, token: u64, item: pool_store::JournalItem, urgent: bool) -> bool {
        let priority = if urgent {
            budget::Priority::Urgent
        } else {
            budget::Priority::Normal
        };
        match self.commit.submit(item, priority) {
            Ok(pending) => self.in_flight.send(InFlight { token, pending }).is_ok(),
            Err(_) => false,
        }
    }
}

/// Reports entries in token order as they become durable, and stops at the first one that fails.
async fn report_commits(
    context: Arc<context::Context>,
    pool_index: event::PoolIndex,
    tenure: u64,
    mut in_flight: mpsc::UnboundedReceiver<InFlight>,
) {
    while let Some(entry) = in_flight.recv().await {
        let update = match entry.pending.outcome().await {
            Ok(_) => event::JournalUpdate::Committed {
                through: entry.token,
            },
            Err(_) => event::JournalUpdate::Lost,
        };
        let lost = matches!(update, event::JournalUpdate::Lost);
        context.report(event::ControlEvent::Journal {
            pool_index,
            tenure,
            update,
        });
        if lost {
            return;
        }
    }
}
