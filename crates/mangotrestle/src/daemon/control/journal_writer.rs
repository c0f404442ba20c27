//! Appends a tenure's records to the pool's journal and reports what became durable.

use std::sync::Arc;

use mangotrestle_platform::budget;
use mangotrestle_platform::group_commit;
use mangotrestle_platform::pool_store;
use tokio::sync::mpsc;

use super::event;
use crate::daemon::context;

/// An entry on its way, in the order of tokens.
struct InFlight {
    token: u64,
    pending: group_commit::Pending<pool_store::JournalSink>,
}

/// The journal of one tenure. Dropping it lets entries that were handed in finish or fail.
pub(crate) struct JournalWriter {
    commit: group_commit::GroupCommit<pool_store::JournalSink>,
    in_flight: mpsc::UnboundedSender<InFlight>,
    folded: pool_store::DurableState,
}

impl JournalWriter {
    /// Opens the journal of a pool that was loaded and fenced.
    pub(crate) fn open(
        context: Arc<context::Context>,
        pool: event::PoolIndex,
        tenure: u64,
        store: &pool_store::PoolStore,
        loaded: &pool_store::Loaded,
    ) -> Self {
        let folded = pool_store::DurableState::new(loaded);
        let commit = group_commit::GroupCommit::<pool_store::JournalSink>::builder()
            .spawn(store.journal(&folded));
        let (in_flight, receiver) = mpsc::unbounded_channel();
        tokio::spawn(report_commits(context, pool, tenure, receiver));
        Self {
            commit,
            in_flight,
            folded,
        }
    }

    /// The durable state, for compaction.
    pub(crate) const fn folded(&self) -> &pool_store::DurableState {
        &self.folded
    }

    /// Hands in an entry. Returns whether they were taken.
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

/// Reports entries as they become durable, in order, until one is lost.
async fn report_commits(
    context: Arc<context::Context>,
    pool: event::PoolIndex,
    tenure: u64,
    mut in_flight: mpsc::UnboundedReceiver<InFlight>,
) {
    while let Some(entry) = in_flight.recv().await {
        let news = match entry.pending.outcome().await {
            Ok(_) => event::JournalNews::Committed {
                through: entry.token,
            },
            Err(_) => event::JournalNews::Lost,
        };
        let lost = matches!(news, event::JournalNews::Lost);
        context.report(event::ControlEvent::Journal { pool, tenure, news });
        if lost {
            return;
        }
    }
}
