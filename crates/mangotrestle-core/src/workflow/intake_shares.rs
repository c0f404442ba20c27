//! Shares of a host's memory and descriptors that the clients of each of its listeners may take.
//!
//! What a connection takes at rest is counted with it: HTTP's read buffer, the bytes that the system has
//! received and the host has not read, and the state of the connection. The rest of the memory and of the
//! descriptors is for the host's own work.

use crate::intake::Limits;

use super::environment::HostSettings;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;

/// Memory of a host if its settings have none, in mebibytes.
const DEFAULT_MEMORY_MIB: u64 = 256;
/// Descriptors of a host if its settings have none.
const DEFAULT_DESCRIPTORS: u64 = 4_096;
/// Descriptors that the platform reserves for files.
const FILE_DESCRIPTORS: u64 = 200;

/// Size of the receive buffer of a connection that is not a peer's, in bytes. The system doubles it for its
/// own bookkeeping.
pub const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;
/// Size of the receive buffer of a peer's connection, in bytes. Peers are few, send large messages, and are
/// read at once.
pub const PEER_RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// Memory that a caller's connection takes, in bytes.
const CALLER_CONNECTION_BYTES: u64 = 40 * KIB;
/// Memory that a peer's connection takes, in bytes.
const PEER_CONNECTION_BYTES: u64 = 16 * KIB;
/// Maximum number of connections of peers: a few for each of several hundred hosts.
const MAX_PEER_CONNECTIONS: u64 = 1_024;
/// Maximum number of connections for readiness checks, and of those for metrics.
const MAX_OBSERVER_CONNECTIONS: u64 = 32;

/// Limits of a host's listeners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct IntakeShares {
    /// Limits for callers.
    pub callers: Limits,
    /// Limits for the other hosts.
    pub peers: Limits,
    /// Limits for the load balancer's readiness checks, and as much again for metrics.
    pub observers: Limits,
}

impl IntakeShares {
    /// Returns the shares of a host with these settings: for callers a sixth of the memory for connections
    /// and an eighth for bodies, and half of the sockets; for peers a twelfth of the memory for each, and
    /// a quarter of the sockets.
    #[must_use]
    pub fn of(settings: &HostSettings) -> Self {
        let memory_bytes = or_default(settings.memory_mib, DEFAULT_MEMORY_MIB) * MIB;
        let descriptors = or_default(settings.max_descriptors, DEFAULT_DESCRIPTORS);
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let callers = memory_bytes / 6 / CALLER_CONNECTION_BYTES;
        let peers = memory_bytes / 12 / PEER_CONNECTION_BYTES;
        Self {
            callers: limits(callers.min(sockets / 2), memory_bytes / 8),
            peers: limits(
                peers.min(sockets / 4).min(MAX_PEER_CONNECTIONS),
                memory_bytes / 12,
            ),
            observers: limits(MAX_OBSERVER_CONNECTIONS.min(sockets / 16), 0),
        }
    }
}

const fn or_default(value: u64, default: u64) -> u64 {
    if value == 0 { default } else { value }
}

/// Returns limits that admit one connection at least.
fn limits(max_connections: u64, max_body_bytes: u64) -> Limits {
    let max_connections = usize::try_from(max_connections).unwrap_or(usize::MAX);
    Limits {
        max_connections: max_connections.max(1),
        max_body_bytes,
    }
}
