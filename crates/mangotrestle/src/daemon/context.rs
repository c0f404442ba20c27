//! What every part of the daemon shares: settings, clock, log, clients and the way to control.

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

/// The process as its parts see it.
pub(crate) struct Context {
    pub(crate) settings: settings::Settings,
    pub(crate) identity: Identity,
    pub(crate) clock: clock::Clock,
    pub(crate) log: slog::Logger,
    pub(crate) platform: Platform,
    control: mpsc::UnboundedSender<event::ControlEvent>,
}

/// This life of the process, as others know it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Identity {
    pub(crate) incarnation: id::Incarnation,
    /// Where other entry hosts reach it.
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
    /// Puts the parts together.
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

    /// Tells the control thread something. After the control thread ended, nobody listens.
    pub(crate) fn report(&self, event: event::ControlEvent) {
        let _ = self.control.send(event);
    }

    /// Access to a pool's lasting state in the name of this process.
    pub(crate) fn pool_store(&self, pool: &id::PoolId) -> pool_store::PoolStore {
        let writer = schema::Writer {
            host: self.settings.entry_host.clone(),
            incarnation: self.identity.incarnation,
        };
        let table = self.platform.table.clone();
        let objects = self.platform.objects.clone();
        pool_store::PoolStore::new(table, objects, pool.clone(), writer)
    }

    /// Asks the control thread and waits for its answer; `None` once it has ended.
    pub(crate) async fn query(
        self: &Arc<Self>,
        query: super::query::Query,
    ) -> Option<super::query::Answer> {
        let (reply, answer) = tokio::sync::oneshot::channel();
        self.report(event::ControlEvent::Query { query, reply });
        answer.await.ok()
    }
}
