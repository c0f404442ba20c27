//! What the control thread is told by the rest of the process.

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

/// Something that happened outside the control thread's state.
pub(crate) enum ControlEvent {
    /// News for a pool.
    Pool {
        pool: PoolIndex,
        event: pool::PoolEvent,
    },
    /// A pool's lasting state was read and its journal is open.
    PoolLoaded {
        pool: PoolIndex,
        /// Tenure for which it was read.
        tenure: u64,
        state: Box<journal::PoolState>,
        journal: journal_writer::JournalWriter,
    },
    /// News of a tenure's journal.
    Journal {
        pool: PoolIndex,
        tenure: u64,
        news: JournalNews,
    },
    /// A pool's inbox was read.
    Inbox {
        pool: PoolIndex,
        tenure: u64,
        entries: Vec<InboxEntry>,
    },
    /// There may be something new in a pool's inbox.
    InboxChanged { pool: id::PoolId },
    /// The platform's list of hosts was read.
    HostsListed(host_list::HostList),
    /// A peer sent a heartbeat, or answered one.
    Heartbeat {
        heartbeat: message::Heartbeat,
        /// Where the own heartbeat goes, if the peer waits for it.
        reply: Option<oneshot::Sender<message::Heartbeat>>,
    },
    /// A configuration version exists.
    ConfigHeard { version: u64 },
    /// A configuration version was fetched.
    ConfigFetched {
        version: u64,
        document: Arc<configuration::Document>,
    },
    /// Somebody wants the configuration in force.
    ConfigAsked { reply: oneshot::Sender<HeldConfig> },
    /// A fetch of the configuration brought nothing.
    ConfigFetchFailed,
    /// The leader of another pool answered a request for routes.
    PeerRoutes {
        pool: id::PoolId,
        answer: Option<message::RoutesAnswer>,
    },
    /// An entry host asks for routes of a pool and for shares of its workers.
    RoutesAsked {
        request: message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    },
    /// Counts of the traffic threads.
    Traffic(traffic::TrafficReport),
    /// A question of an operator.
    Query {
        query: query::Query,
        reply: oneshot::Sender<query::Answer>,
    },
    /// The process is to stop: hand everything over.
    Stop { done: oneshot::Sender<()> },
}

/// The configuration in force.
pub(crate) struct HeldConfig {
    pub(crate) version: u64,
    pub(crate) document: Arc<configuration::Document>,
}

/// News of a journal.
pub(crate) enum JournalNews {
    /// Everything up to a token is durable.
    Committed { through: u64 },
    /// Another entry host writes the journal, or it cannot be written any more.
    Lost,
}

/// An accepted command with its key in the inbox.
pub(crate) struct InboxEntry {
    pub(crate) key: String,
    pub(crate) record: journal::Record,
}
