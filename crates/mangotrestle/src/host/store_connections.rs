//! The open connections to the store, which are replaced when one of them may have gone silent.
//!
//! Connections that pass nothing more usually go silent together, and only a call without an answer
//! shows it. Without replacing all of them, each would cost a call its timeout.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use arc_swap::ArcSwap;
use mangotrestle_core::time::TimeMs;
use mangotrestle_users_platform::store::StoreClient;
use mangotrestle_users_platform::transport::Transport;

/// A client for the store that can be replaced by one without open connections.
pub(super) struct StoreConnections {
    address: SocketAddr,
    client: ArcSwap<StoreClient>,
    renewed_at_ms: AtomicU64,
}

impl StoreConnections {
    /// Creates a client without open connections.
    pub(super) fn new(address: SocketAddr) -> Self {
        Self {
            address,
            client: ArcSwap::from_pointee(StoreClient::new(Transport::new(), address)),
            renewed_at_ms: AtomicU64::new(0),
        }
    }

    /// Returns the client for a call that begins now.
    pub(super) fn client(&self) -> Arc<StoreClient> {
        self.client.load_full()
    }

    /// Has later calls use new connections, unless they already do since `suspect_since`. Calls in
    /// flight are not affected.
    pub(super) fn renew(&self, now: TimeMs, suspect_since: TimeMs) {
        let renewed_at = self.renewed_at_ms.load(Ordering::Relaxed);
        if renewed_at >= suspect_since.0 {
            return;
        }
        self.renewed_at_ms.store(now.0, Ordering::Relaxed);
        let client = StoreClient::new(Transport::new(), self.address);
        self.client.store(Arc::new(client));
        metrics::counter!("mangotrestle_store_connections_renewed_total").increment(1);
    }
}
