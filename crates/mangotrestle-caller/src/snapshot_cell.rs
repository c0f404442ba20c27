//! Shares route snapshots: the control thread publishes them, the traffic threads read them.

use std::sync::Arc;

use arc_swap::ArcSwap;
use mangotrestle_core::routing::snapshot;
use tokio::sync::Notify;

/// Holds the current snapshot. Reading takes no lock; publishing wakes the task that waits in
/// [`SnapshotCell::changed`].
#[derive(Debug)]
pub struct SnapshotCell {
    current: ArcSwap<snapshot::RouteSnapshot>,
    published: Notify,
}

impl SnapshotCell {
    /// Creates a cell with the given snapshot.
    #[must_use]
    pub fn new(first: snapshot::RouteSnapshot) -> Self {
        Self {
            current: ArcSwap::from_pointee(first),
            published: Notify::new(),
        }
    }

    /// Replaces the snapshot and wakes the waiting task.
    pub fn publish(&self, next: snapshot::RouteSnapshot) {
        self.current.store(Arc::new(next));
        self.published.notify_one();
    }

    /// Returns the current snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<snapshot::RouteSnapshot> {
        self.current.load_full()
    }

    /// Waits for the next publication; returns at once if there was one since the last call. Only
    /// one task may wait at a time.
    pub async fn changed(&self) {
        self.published.notified().await;
    }
}
