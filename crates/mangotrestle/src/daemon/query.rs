//! Questions to the control thread of this or another entry host, and their answers.
//!
//! Only a pool's leader knows how its jobs stand. An entry host that is asked about another's pool
//! passes the question on to the leader; both sides of that exchange are the types here.

use mangotrestle_core::id;
use mangotrestle_core::time;
use mangotrestle_operator::message;
use serde::{Deserialize, Serialize};

/// A question.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Query {
    /// Jobs of a pool.
    Jobs {
        pool: id::PoolId,
        team: Option<id::TeamId>,
    },
    /// One job of a pool.
    Job { pool: id::PoolId, job: id::JobId },
    /// Workers of a pool.
    Workers { pool: id::PoolId },
    /// Counts of a pool.
    Pool { pool: id::PoolId },
    /// What the entry host itself knows: peers, configuration, degradations.
    Host,
    /// Events of the entry host after a sequence number; without one, only the last number.
    Events { after: Option<u64> },
}

impl Query {
    /// The pool whose leader has to answer, if it is about one.
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

/// An answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub(crate) enum Answer {
    /// Answer to [`Query::Jobs`].
    Jobs(Vec<message::JobSummary>),
    /// Answer to [`Query::Job`]; `None` if the leader does not know it.
    Job(Option<Box<message::JobDetail>>),
    /// Answer to [`Query::Workers`].
    Workers(Vec<message::WorkerDetail>),
    /// Answer to [`Query::Pool`].
    Pool(message::PoolStatus),
    /// Answer to [`Query::Host`].
    Host(Box<HostView>),
    /// Answer to [`Query::Events`].
    Events(EventPage),
    /// The entry host does not lead the pool; it believes that this one does.
    NotLeader(Option<LeaderView>),
}

/// Who leads a pool, as an entry host believes.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct LeaderView {
    /// The leader.
    pub(crate) entry_host: id::EntryHostId,
    /// Where it answers peers.
    pub(crate) address: std::net::SocketAddr,
}

/// Events of an entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct EventPage {
    /// The events, oldest first.
    pub(crate) events: Vec<message::Event>,
    /// Number of the last event of the host.
    pub(crate) last_sequence: u64,
}

/// What an entry host knows of itself and of others.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct HostView {
    /// Configuration in force.
    pub(crate) config_version: u64,
    /// Since when.
    pub(crate) config_in_force_wall_ms: time::WallTimeMs,
    /// Other entry hosts.
    pub(crate) peers: Vec<message::PeerStatus>,
    /// Configuration of all entry hosts that are known.
    pub(crate) host_configs: Vec<message::HostConfig>,
    /// What does not work.
    pub(crate) degraded: Vec<message::Degradation>,
    /// Pools that are known.
    pub(crate) pools: Vec<PoolView>,
}

/// A pool as an entry host knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PoolView {
    /// The pool.
    pub(crate) pool: id::PoolId,
    /// Its leader, if one is known.
    pub(crate) leader: Option<id::EntryHostId>,
}
