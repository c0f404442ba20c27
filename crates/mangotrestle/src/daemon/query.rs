//! Queries to the control thread of this or another entry host, and their answers.
//!
//! Only a pool's leader knows the state of its jobs. An entry host that gets a query about a pool
//! that it doesn't lead forwards the query to the leader.
//! [`Query`] and [`Answer`] are serialized for that.

use mangotrestle_core::id;
use mangotrestle_core::time;
use mangotrestle_operator::message;
use serde::{Deserialize, Serialize};

/// A query.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Query {
    /// Jobs of a pool, of all teams or of one.
    Jobs {
        pool: id::PoolId,
        team: Option<id::TeamId>,
    },
    /// One job of a pool.
    Job { pool: id::PoolId, job: id::JobId },
    /// Workers of a pool.
    Workers { pool: id::PoolId },
    /// Worker, task and job counts of a pool.
    Pool { pool: id::PoolId },
    /// State of the entry host itself: peers, configuration, degradations, known pools.
    Host,
    /// Events of the entry host after a sequence number. Without a number the answer has no events,
    /// only the sequence number of the last one.
    Events { after: Option<u64> },
}

impl Query {
    /// The pool whose leader has to answer; `None` if any entry host can.
    pub(crate) const fn pool(&self) -> Option<&id::PoolId> {
        match self {
            Self::Jobs { pool, .. }
            | Self::Job { pool, .. }
            | Self::Workers { pool }
            | Self::Pool { pool } => Some(pool),
            Self::Host | Self::Events { .. } => None,
        }
    }
}

/// An answer to a [`Query`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Answer {
    /// Answer to [`Query::Jobs`].
    Jobs(Vec<message::JobSummary>),
    /// Answer to [`Query::Job`]; `None` if the leader doesn't know the job.
    Job(Option<Box<message::JobDetail>>),
    /// Answer to [`Query::Workers`].
    Workers(Vec<message::WorkerDetail>),
    /// Answer to [`Query::Pool`].
    Pool(message::PoolStatus),
    /// Answer to [`Query::Host`].
    Host(Box<HostView>),
    /// Answer to [`Query::Events`].
    Events(EventPage),
    /// The entry host doesn't lead the pool; names the leader that it knows, if any.
    NotLeader(Option<LeaderView>),
}

/// The leader of a pool, as known to the entry host that answers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderView {
    /// The entry host that leads the pool.
    pub(crate) entry_host: id::EntryHostId,
    /// Address of the leader for requests of peers.
    pub(crate) address: std::net::SocketAddr,
}

/// Events of an entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EventPage {
    /// The events, oldest first.
    pub(crate) events: Vec<message::Event>,
    /// Sequence number of the host's last event.
    pub(crate) last_sequence: u64,
}

/// State of an entry host, and what it knows about other entry hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HostView {
    /// Version of the configuration in force; 0 if there is none.
    pub(crate) config_version: u64,
    /// When that configuration came into force.
    pub(crate) config_in_force_wall_ms: time::WallTimeMs,
    /// States of other entry hosts.
    pub(crate) peers: Vec<message::PeerStatus>,
    /// Configuration in force on each known entry host.
    pub(crate) host_configs: Vec<message::HostConfig>,
    /// Current degradations.
    pub(crate) degraded: Vec<message::Degradation>,
    /// Known pools.
    pub(crate) pools: Vec<PoolView>,
}

/// A pool as an entry host knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PoolView {
    /// Identifier of the pool.
    pub(crate) pool: id::PoolId,
    /// Its leader, if one is known.
    pub(crate) leader: Option<id::EntryHostId>,
}
