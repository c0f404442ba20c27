//! What entry hosts say to each other.

use mangotrestle_core::id;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Version of the protocol that this release speaks. A release understands every lower version.
pub const PROTOCOL: u32 = 1;
/// Greatest length of a message, in bytes.
pub const MAX_REQUEST_BYTES: u32 = 256 * 1024;
/// Greatest length of an answer, in bytes.
pub const MAX_ANSWER_BYTES: u32 = 8 * 1024 * 1024;
/// Most pools that a heartbeat names.
pub const MAX_CLAIMS: usize = 64;

/// Says that its sender is there. The answer is the receiver's own heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Highest version of the protocol that the sender understands.
    #[serde(default)]
    pub protocol: u32,
    /// The sender.
    pub host: id::EntryHostId,
    /// One life of its process.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Where other entry hosts reach the sender; the platform's list lags.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<std::net::SocketAddr>,
    /// Highest configuration version that it has in force.
    #[serde(default)]
    pub config_version: u64,
    /// Since when that version is in force at the sender.
    #[serde(default)]
    pub config_in_force_wall_ms: time::WallTimeMs,
    /// The sender's wall clock, for people only.
    #[serde(default)]
    pub wall_ms: time::WallTimeMs,
    /// Whether the sender shuts down and gives its pools away.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the sender cannot reach the table, for `status`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub table_unreachable: bool,
    /// Pools that the sender leads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leads: Vec<PoolClaim>,
}

/// Says that the sender leads a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolClaim {
    /// The pool.
    pub pool: id::PoolId,
    /// Greatest epoch of the sender's worker leases; of two claims the higher one is the newer.
    pub epoch: u64,
    /// Version of the routes that the sender publishes for the pool.
    #[serde(default)]
    pub routes_version: u64,
}

/// Asks for the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Version that the asking host holds.
    pub held: u64,
}

/// The configuration that a peer has in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// The version.
    pub version: u64,
    /// Changes after the held version, in order, as JSON merge patches; empty when the document
    /// is sent instead, or when there is nothing newer.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<serde_json::Value>,
    /// The whole document, when the peer does not have all changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<serde_json::Value>,
}

/// Asks a pool's leader for the targets of the pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesRequest {
    /// The pool.
    pub pool: id::PoolId,
    /// The asking host, to which slot shares are granted.
    pub host: id::EntryHostId,
    /// One life of the asking host; shares of an earlier life are void.
    pub incarnation: id::Incarnation,
    /// Leader whose routes the asking host holds, with its incarnation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<RoutesVersion>,
    /// Asks for shares of the pool's workers as well.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<slot_share::ShareRequest>,
    /// Time for which the leader may hold the answer back until there is news.
    #[serde(default)]
    pub wait_ms: time::SpanMs,
}

/// A version of a pool's routes. Versions of different leaders cannot be compared.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesVersion {
    /// The leader.
    pub leader: id::EntryHostId,
    /// One life of it.
    pub incarnation: id::Incarnation,
    /// Counts the changes.
    pub version: u64,
}

/// Targets of a pool, as a difference to what the asking host holds.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesAnswer {
    /// Version after the difference is applied.
    pub version: RoutesVersion,
    /// Whether the asking host must first drop everything that it holds for the pool.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub full: bool,
    /// Targets that are new or changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<RouteTarget>,
    /// Targets that are gone.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<TargetKey>,
    /// Shares of the pool's workers for the asking host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<slot_share::ShareGrant>,
}

/// Names a replica of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct TargetKey {
    /// The service.
    pub job: id::JobId,
    /// Index of the replica.
    pub index: u32,
}

/// A replica of a service that takes requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The replica.
    pub key: TargetKey,
    /// Team that owns the service.
    pub team: id::TeamId,
    /// Worker that it runs on.
    pub worker: id::WorkerId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Where it takes requests.
    pub address: std::net::SocketAddr,
    /// Whether it takes no new requests any more.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Says that something was put into a pool's inbox, so that its leader need not wait to look.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InboxNotice {
    /// The pool.
    pub pool: id::PoolId,
}
