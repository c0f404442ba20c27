//! Where the control thread publishes routes and the traffic threads read them.

use std::sync::Arc;

use arc_swap::ArcSwap;
use mangotrestle_core::routing::snapshot;
use tokio::sync::Notify;

/// Holds the current snapshot. Reading takes no lock; publishing wakes requests that wait for a
/// target.
#[derive(Debug)]
pub struct SnapshotCell {
    current: ArcSwap<snapshot::RouteSnapshot>,
    published: Notify,
}

impl SnapshotCell {
    /// Starts with the given snapshot.
    #[must_use]
    pub fn new(first: snapshot::RouteSnapshot) -> Self {
        Self {
            current: ArcSwap::from_pointee(first),
            published: Notify::new(),
        }
    }

    /// Replaces the snapshot.
    pub fn publish(&self, next: snapshot::RouteSnapshot) {
        self.current.store(Arc::new(next));
        self.published.notify_one();
    }

    /// The current snapshot.
    #[must_use]
    pub fn load(&self) -> Arc<snapshot::RouteSnapshot> {
        self.current.load_full()
    }

    /// Returns after the next publication, at once if there was one since the last call. For one
    /// waiting task.
    pub async fn changed(&self) {
        self.published.notified().await;
    }
}
