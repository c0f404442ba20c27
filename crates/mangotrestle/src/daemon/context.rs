//! State that all parts of the daemon share: settings, clock, log, clients of the platform and the
//! queue of the control thread.

use std::net::SocketAddr;
use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_platform::command_log;
use mangotrestle_platform::configuration_store;
use mangotrestle_platform::group_commit;
use mangotrestle_platform::host_list;
use mangotrestle_platform::object_store;
use mangotrestle_platform::pool_store;
use mangotrestle_platform::schema;
use mangotrestle_platform::table;
use mangotrestle_platform::transaction_sink;
use tokio::sync::mpsc;

use super::clock;
use super::control::event;
use crate::settings;

/// State shared by all parts of the daemon.
pub(crate) struct Context {
    pub(crate) settings: settings::Settings,
    pub(crate) identity: Identity,
    pub(crate) clock: clock::Clock,
    pub(crate) log: slog::Logger,
    pub(crate) platform: Platform,
    control: mpsc::UnboundedSender<event::ControlEvent>,
}

/// Identity of this process for other entry hosts and workers.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Identity {
    /// Incarnation of the process, from its start time.
    pub(crate) incarnation: id::Incarnation,
    /// Address at which other entry hosts reach this process.
    pub(crate) advertised: SocketAddr,
}

/// Clients of the platform's services.
pub(crate) struct Platform {
    pub(crate) table: table::TableClient,
    pub(crate) objects: object_store::ObjectStore,
    pub(crate) hosts: host_list::HostListClient,
    pub(crate) writes: group_commit::GroupCommit<transaction_sink::TransactionSink>,
    pub(crate) commands: command_log::CommandLog,
    pub(crate) configurations: configuration_store::ConfigurationStore,
}

impl Context {
    pub(crate) const fn new(
        settings: settings::Settings,
        identity: Identity,
        clock: clock::Clock,
        log: slog::Logger,
        platform: Platform,
        control: mpsc::UnboundedSender<event::ControlEvent>,
    ) -> Self {
        Self {
            settings,
            identity,
            clock,
            log,
            platform,
            control,
        }
    }

    /// Sends an event to the control thread. Events after the end of the control thread are
    /// dropped.
    pub(crate) fn report(&self, event: event::ControlEvent) {
        let _ = self.control.send(event);
    }

    /// Returns the store of a pool's durable state, with this process as the writer.
    pub(crate) fn pool_store(&self, pool: &id::PoolId) -> pool_store::PoolStore {
        let writer = schema::Writer {
            host: self.settings.entry_host.clone(),
            incarnation: self.identity.incarnation,
        };
        let table = self.platform.table.clone();
        let objects = self.platform.objects.clone();
        pool_store::PoolStore::new(table, objects, pool.clone(), writer)
    }

    /// Sends a query to the control thread and waits for its answer; `None` if the thread has
    /// ended.
    pub(crate) async fn query(
        self: &Arc<Self>,
        query: super::query::Query,
    ) -> Option<super::query::Answer> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.report(event::ControlEvent::Query { query, reply });
        answer.await.ok()
    }
}
