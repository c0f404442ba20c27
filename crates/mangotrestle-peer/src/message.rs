//! Messages between entry hosts.

use mangotrestle_core::id;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::time;
use serde::{Deserialize, Serialize};

/// Version of the peer protocol of this release. A release also understands all lower versions.
pub const PROTOCOL_VERSION: u32 = 1;
/// Maximum length of a request, in bytes.
pub const MAX_REQUEST_BYTES: u32 = 256 * 1024;
/// Maximum length of an answer, in bytes.
pub const MAX_ANSWER_BYTES: u32 = 8 * 1024 * 1024;
/// Maximum number of pools in a heartbeat.
pub const MAX_CLAIMS: usize = 64;

/// Message that the sender is alive. The answer is the receiver's own heartbeat.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Highest version of the protocol that the sender understands.
    #[serde(default)]
    pub protocol: u32,
    /// Identifier of the sender.
    pub host: id::EntryHostId,
    /// Incarnation of the sender's process.
    pub incarnation: id::Incarnation,
    /// Availability zone of the sender.
    pub availability_zone: id::AvailabilityZoneId,
    /// Address for calls of other entry hosts to the sender; the platform's host list lags behind.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub address: Option<std::net::SocketAddr>,
    /// Highest configuration version in force at the sender.
    #[serde(default)]
    pub config_version: u64,
    /// Time since which that version is in force at the sender.
    #[serde(default)]
    pub config_in_force_wall_ms: time::WallTimeMs,
    /// Wall clock of the sender, for display only.
    #[serde(default)]
    pub wall_ms: time::WallTimeMs,
    /// Whether the sender is shutting down and releases the leadership of its pools.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
    /// Whether the table is unreachable from the sender, for `status`.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub table_unreachable: bool,
    /// Pools that the sender leads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub leads: Vec<PoolClaim>,
}

/// Claim of the sender that it leads a pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct PoolClaim {
    /// Identifier of the pool.
    pub pool: id::PoolId,
    /// Highest epoch of the sender's worker leases. Of two claims, the one with the higher epoch is
    /// newer.
    pub epoch: u64,
    /// Version of the routes that the sender provides for the pool.
    #[serde(default)]
    pub routes_version: u64,
}

/// Request for the configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigRequest {
    /// Version that the requesting host has.
    pub held: u64,
}

/// The configuration that a peer has in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigAnswer {
    /// Number of the version.
    pub version: u64,
    /// Changes since the requester's version, in order, as JSON merge patches; empty if the
    /// document is sent instead or there is no newer version.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changes: Vec<serde_json::Value>,
    /// The whole document, sent if the peer does not have all changes.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<serde_json::Value>,
}

/// Request to a pool's leader for the targets of the pool.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesRequest {
    /// Identifier of the pool.
    pub pool: id::PoolId,
    /// Requesting host, to which slot shares are granted.
    pub host: id::EntryHostId,
    /// Incarnation of the requesting host; shares of an earlier incarnation are void.
    pub incarnation: id::Incarnation,
    /// Version of the routes that the requesting host has, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub holds: Option<RoutesVersion>,
    /// Request for slot shares of the pool's workers, if wanted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub shares: Option<slot_share::ShareRequest>,
    /// Maximum time for which the leader may delay the answer until there are changes.
    #[serde(default)]
    pub wait_ms: time::SpanMs,
}

/// Version of a pool's routes. Versions of different leaders or incarnations are not comparable.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesVersion {
    /// Leader that provided the routes.
    pub leader: id::EntryHostId,
    /// Incarnation of the leader.
    pub incarnation: id::Incarnation,
    /// Number of changes so far.
    pub version: u64,
}

/// Targets of a pool, as a difference from the routes that the requesting host has.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RoutesAnswer {
    /// Version after applying the difference.
    pub version: RoutesVersion,
    /// Whether the requesting host must first drop all its routes of the pool.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub full: bool,
    /// New and changed targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub changed: Vec<RouteTarget>,
    /// Removed targets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub removed: Vec<TargetKey>,
    /// Slot shares of the pool's workers that are granted to the requesting host.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub grant: Option<slot_share::ShareGrant>,
}

/// Identifies a replica of a service.
#[derive(Clone, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct TargetKey {
    /// Job of the service.
    pub job: id::JobId,
    /// Index of the replica.
    pub index: u32,
}

/// A replica of a service, as a target of requests.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// Identifies the replica.
    pub key: TargetKey,
    /// Team that owns the service.
    pub team: id::TeamId,
    /// Worker that runs the replica.
    pub worker: id::WorkerId,
    /// Availability zone of the worker.
    pub availability_zone: id::AvailabilityZoneId,
    /// Address for requests to the replica.
    pub address: std::net::SocketAddr,
    /// Whether the replica is leaving and must get no new requests.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub leaving: bool,
}

/// Notice that a row was added to a pool's inbox, so that its leader reads it before the next poll.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct InboxNotice {
    /// Identifier of the pool.
    pub pool: id::PoolId,
}
