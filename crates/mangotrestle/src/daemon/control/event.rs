//! Events that the rest of the process sends to the control thread.

use std::sync::Arc;

use mangotrestle_caller::traffic;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::journal;
use mangotrestle_core::pool;
use mangotrestle_peer::message;
use mangotrestle_platform::host_list;
use tokio::sync::oneshot;

use super::journal_writer;
use crate::daemon::query;

/// Index of a pool among those that this entry host may lead.
pub(crate) type PoolIndex = usize;

/// An event for the control thread: a result of a task, a message from a peer or a query.
pub(crate) enum ControlEvent {
    /// An event for one pool.
    Pool {
        pool_index: PoolIndex,
        event: pool::PoolEvent,
    },
    /// A pool's durable state was read and its journal is open.
    PoolLoaded {
        pool_index: PoolIndex,
        /// Tenure (one period of leadership, numbered per pool) for which the state was read. A
        /// result for an earlier tenure is dropped.
        tenure: u64,
        state: Box<journal::PoolState>,
        journal: journal_writer::JournalWriter,
    },
    /// Entries of a tenure's journal were committed, or the journal was lost.
    Journal {
        pool_index: PoolIndex,
        tenure: u64,
        update: JournalUpdate,
    },
    /// A page of a pool's inbox was read.
    Inbox {
        pool_index: PoolIndex,
        tenure: u64,
        entries: Vec<InboxEntry>,
    },
    /// A pool's inbox may have new rows.
    InboxChanged { pool: id::PoolId },
    /// The platform's list of hosts was read.
    HostsListed(host_list::HostList),
    /// A heartbeat from a peer: either sent by the peer, or its answer to a heartbeat of this host.
    Heartbeat {
        heartbeat: message::Heartbeat,
        /// Receives this host's heartbeat if the peer waits for an answer.
        reply: Option<oneshot::Sender<message::Heartbeat>>,
    },
    /// The store or a peer reported that a configuration version exists.
    ConfigVersionSeen { version: u64 },
    /// A configuration version was fetched.
    ConfigFetched {
        version: u64,
        document: Arc<configuration::Document>,
    },
    /// Another part of the process asks for the configuration in force.
    ConfigRequested {
        reply: oneshot::Sender<ConfigInForce>,
    },
    /// A fetch of the configuration returned no newer version.
    ConfigFetchFailed,
    /// Result of a request for a pool's routes.
    RoutesAnswered {
        pool: id::PoolId,
        /// The leader's answer; `None` if the request failed.
        answer: Option<message::RoutesAnswer>,
    },
    /// An entry host requests the routes of a pool and shares of its workers' request slots.
    RoutesRequested {
        request: message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    },
    /// Request counts of the traffic threads.
    Traffic(traffic::TrafficReport),
    /// A query on behalf of an operator.
    Query {
        query: query::Query,
        reply: oneshot::Sender<query::Answer>,
    },
    /// The process stops: release the leadership of all pools.
    Stop { done: oneshot::Sender<()> },
}

/// The configuration in force on this entry host.
pub(crate) struct ConfigInForce {
    pub(crate) version: u64,
    pub(crate) document: Arc<configuration::Document>,
}

/// What happened to a journal.
pub(crate) enum JournalUpdate {
    /// All entries up to and including a token are durable.
    Committed { through: u64 },
    /// The journal can no longer be written, for example because another entry host writes it.
    Lost,
}

/// An accepted command with its key in the inbox.
pub(crate) struct InboxEntry {
    pub(crate) key: String,
    pub(crate) record: journal::Record,
}
