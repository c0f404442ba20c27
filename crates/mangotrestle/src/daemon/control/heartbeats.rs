//! Clients for other entry hosts, and sending of heartbeats to them.

use std::net::SocketAddr;
use std::sync::Arc;

use mangotrestle_core::collections;
use mangotrestle_core::membership;
use mangotrestle_peer::message;

use super::event;
use crate::daemon::context;

/// Sends heartbeats and reports the answers to the control thread. Keeps one client per address.
pub(super) struct Heartbeats {
    context: Arc<context::Context>,
    clients: collections::FastMap<SocketAddr, mangotrestle_peer::PeerClient>,
}

impl Heartbeats {
    pub(super) fn new(context: Arc<context::Context>) -> Self {
        Self {
            context,
            clients: collections::FastMap::default(),
        }
    }

    /// Returns the client for the entry host at an address; `None` if it cannot be created.
    pub(super) fn client(&mut self, address: SocketAddr) -> Option<mangotrestle_peer::PeerClient> {
        if let Some(client) = self.clients.get(&address) {
            return Some(client.clone());
        }
        let client = mangotrestle_peer::PeerClient::new(address).ok()?;
        self.clients.insert(address, client.clone());
        Some(client)
    }

    /// Sends a heartbeat. The answer is the peer's own heartbeat and is handled as such.
    pub(super) fn send(&mut self, address: SocketAddr, heartbeat: message::Heartbeat) {
        let Some(client) = self.client(address) else {
            return;
        };
        let context = Arc::clone(&self.context);
        tokio::spawn(async move {
            if let Ok(heartbeat) = client.heartbeat(heartbeat).await {
                context.report(event::ControlEvent::Heartbeat {
                    heartbeat,
                    reply: None,
                });
            }
        });
    }
}

/// The parts of a heartbeat that membership needs.
pub(super) fn received_heartbeat(heartbeat: &message::Heartbeat) -> membership::ReceivedHeartbeat {
    membership::ReceivedHeartbeat {
        host: heartbeat.host.clone(),
        incarnation: heartbeat.incarnation,
        availability_zone: heartbeat.availability_zone.clone(),
        leaving: heartbeat.leaving,
        config_version: heartbeat.config_version,
    }
}
