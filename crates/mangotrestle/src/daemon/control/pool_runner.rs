//! Runs one pool: passes events to its state machine and executes the commands that it returns.

use std::sync::Arc;

use mangotrestle_core::collections;
use mangotrestle_core::id;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::pool;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::scheduler;
use mangotrestle_core::time;
use mangotrestle_peer::message;
use mangotrestle_platform::pool_store;
use tokio::sync::oneshot;
use tokio::task;

use super::event;
use super::journal_writer;
use super::notices;
use super::published_routes;
use super::store_tasks;
use super::worker_calls;
use crate::daemon::context;

/// Maximum timeout for a worker's answer.
const MAX_ANSWER_TIMEOUT: time::SpanMs = time::SpanMs(2_000);
/// Interval between polls of the inbox of a pool that this host leads.
const INBOX_POLL_INTERVAL: time::SpanMs = time::SpanMs(500);
/// Interval between checks whether the journal should be compacted.
const COMPACTION_CHECK_INTERVAL: time::SpanMs = time::SpanMs::from_secs(30);

/// Timeout for a worker's answer: half the lease term, but at most [`MAX_ANSWER_TIMEOUT`].
fn answer_timeout(term: time::SpanMs) -> time::SpanMs {
    time::SpanMs(term.0 / 2).min(MAX_ANSWER_TIMEOUT)
}

/// Accepted commands that have been read from the inbox and are not in the journal yet.
#[derive(Default)]
struct Inbox {
    last_read_number: u64,
    /// Keys of the new rows of each read, by its number.
    keys_by_read: collections::FastMap<u64, Vec<String>>,
    /// Keys of all reads, to skip rows that a later read returns again.
    keys: collections::FastSet<String>,
    reading: bool,
    /// Whether another read was requested while one was under way.
    read_again: bool,
    next_read: time::TimeMs,
}

/// A pool that this entry host may lead, with the clients and tasks that act for it.
pub(super) struct PoolRunner {
    context: Arc<context::Context>,
    pub(super) pool: pool::Pool,
    workers: worker_calls::WorkerCalls,
    store: store_tasks::StoreTasks,
    journal: Option<journal_writer::JournalWriter>,
    load_task: Option<task::AbortHandle>,
    /// Incremented when this host's leadership of the pool starts and when it ends. Results of
    /// tasks that were spawned in an earlier tenure are dropped.
    tenure: u64,
    preferred: bool,
    inbox: Inbox,
    next_compaction_check: time::TimeMs,
    pub(super) routes: published_routes::PublishedRoutes,
    share_ledger: slot_share::Ledger,
}

impl PoolRunner {
    pub(super) fn new(
        context: Arc<context::Context>,
        pool_index: event::PoolIndex,
        pool_id: id::PoolId,
        seed: u64,
    ) -> Result<Self, leadership::InvalidConfig> {
        let settings = &context.settings;
        let config = leadership::LeadershipConfig::builder()
            .term(settings.lease_term_ms)
            .renew_interval(settings.lease_renew_interval_ms)
            .answer_timeout(answer_timeout(settings.lease_term_ms))
            .build()?;
        let identity = leadership::Identity {
            pool: pool_id.clone(),
            entry_host: settings.entry_host.clone(),
            incarnation: context.identity.incarnation,
        };
        let pool_settings = pool::PoolSettings {
            pool: pool_id.clone(),
            availability_zone: settings.availability_zone.clone(),
            entry_host: settings.entry_host.clone(),
            incarnation: context.identity.incarnation,
            stop_grace_ms: settings.default_deadline_ms,
            seed,
        };
        let routes = published_routes::PublishedRoutes::new(
            settings.entry_host.clone(),
            context.identity.incarnation,
            settings.availability_zone.clone(),
        );
        let timeout = answer_timeout(settings.lease_term_ms);
        let leadership = leadership::Leadership::new(config, identity, seed);
        let scheduler_config = scheduler::SchedulerConfig::default();
        let pool = pool::Pool::new(pool_settings, leadership, scheduler_config);
        Ok(Self {
            pool,
            workers: worker_calls::WorkerCalls::new(Arc::clone(&context), pool_index, timeout),
            store: store_tasks::StoreTasks::new(Arc::clone(&context), pool_index, pool_id),
            context,
            journal: None,
            load_task: None,
            tenure: 0,
            preferred: false,
            inbox: Inbox::default(),
            next_compaction_check: time::TimeMs(0),
            routes,
            share_ledger: slot_share::Ledger::new(super::SHARE_TIMES),
        })
    }

    /// Sets whether this entry host is the preferred leader. Returns whether that changed.
    pub(super) const fn set_preferred(&mut self, preferred: bool) -> bool {
        let changed = self.preferred != preferred;
        self.preferred = preferred;
        changed
    }

    /// Passes an event to the pool and executes the resulting commands.
    pub(super) fn handle(
        &mut self,
        now: pool::Now,
        event: pool::PoolEvent,
        notices: &mut notices::Notices,
    ) {
        let mut commands = Vec::new();
        self.pool.handle(now, event, &mut commands);
        for command in commands {
            self.execute(now, command, notices);
        }
    }

    fn execute(
        &mut self,
        now: pool::Now,
        command: pool::PoolCommand,
        notices: &mut notices::Notices,
    ) {
        match command {
            pool::PoolCommand::Leadership(command) => self.execute_leadership_command(now, command),
            pool::PoolCommand::LoadState => self.begin_tenure(now),
            pool::PoolCommand::Journal {
                token,
                records,
                urgent,
                inbox_read,
            } => {
                let deletes = inbox_read.map_or_else(Vec::new, |read| self.take_inbox_keys(read));
                let item = pool_store::JournalItem {
                    records,
                    deletes,
                    ..Default::default()
                };
                self.append(token, item, urgent);
            }
            pool::PoolCommand::DropJournal => self.end_tenure(),
            pool::PoolCommand::Start {
                batch,
                worker,
                request,
            } => {
                metrics::counter!("mangotrestle_starts_sent_total")
                    .increment(request.runs.len() as u64);
                self.workers.start(&worker, batch, request);
            }
            pool::PoolCommand::Stop { worker, request } => self.workers.stop(worker, request),
            pool::PoolCommand::Watch { worker, request } => self.workers.watch(worker, request),
            pool::PoolCommand::RoutesChanged { jobs } => self.routes.update(&self.pool, &jobs),
            pool::PoolCommand::Notice(notice) => {
                notices.record_pool_notice(now.wall, self.pool.id(), &notice);
            }
        }
    }

    fn execute_leadership_command(
        &mut self,
        now: pool::Now,
        command: leadership::LeadershipCommand,
    ) {
        match command {
            leadership::LeadershipCommand::LoadRoster => self.store.load_roster(),
            leadership::LeadershipCommand::CommitRoster { from, roster } => {
                self.store.commit_roster(from, roster);
            }
            leadership::LeadershipCommand::Claim { worker, request } => {
                metrics::counter!("mangotrestle_claims_sent_total").increment(1);
                self.workers.claim(worker, now.monotonic, request);
            }
            leadership::LeadershipCommand::Renew { worker, request } => {
                metrics::counter!("mangotrestle_renewals_sent_total").increment(1);
                self.workers.renew(worker, now.monotonic, request);
            }
            leadership::LeadershipCommand::Notify(_) => {}
        }
    }

    fn begin_tenure(&mut self, now: pool::Now) {
        self.tenure += 1;
        self.routes.restart();
        self.share_ledger = slot_share::Ledger::after_takeover(super::SHARE_TIMES, now.monotonic);
        self.load_task = Some(self.store.load_state(self.tenure));
    }

    fn end_tenure(&mut self) {
        self.tenure += 1;
        if let Some(load_task) = self.load_task.take() {
            load_task.abort();
        }
        self.journal = None;
        self.inbox = Inbox::default();
        self.routes.restart();
        self.workers.disconnect();
    }

    fn append(&mut self, token: u64, item: pool_store::JournalItem, urgent: bool) {
        let journal = self.journal.as_ref();
        let appended = journal.is_some_and(|journal| journal.append(token, item, urgent));
        if !appended {
            self.report_journal_lost();
        }
    }

    fn report_journal_lost(&self) {
        let update = event::JournalUpdate::Lost;
        let event = event::ControlEvent::Journal {
            pool_index: self.store.index(),
            tenure: self.tenure,
            update,
        };
        self.context.report(event);
    }

    /// Installs a loaded state, unless the tenure that it was loaded for has ended.
    pub(super) fn handle_loaded_state(
        &mut self,
        now: pool::Now,
        tenure: u64,
        state: Box<mangotrestle_core::journal::PoolState>,
        journal: journal_writer::JournalWriter,
        notices: &mut notices::Notices,
    ) {
        if tenure != self.tenure {
            return;
        }
        self.load_task = None;
        // A journal with at most one entry holds only this tenure's fence: the pool had no previous
        // leader, has no shares outstanding, and there is none to wait for.
        if journal.durable_state().tail().sequence <= 1 {
            self.share_ledger = slot_share::Ledger::new(super::SHARE_TIMES);
        }
        self.journal = Some(journal);
        self.next_compaction_check = now.monotonic + COMPACTION_CHECK_INTERVAL;
        self.handle(now, pool::PoolEvent::StateLoaded(state), notices);
        self.read_inbox(now.monotonic);
    }

    /// Handles a commit or the loss of the journal, unless the tenure has ended.
    pub(super) fn handle_journal_update(
        &mut self,
        now: pool::Now,
        tenure: u64,
        update: &event::JournalUpdate,
        notices: &mut notices::Notices,
    ) {
        if tenure != self.tenure {
            return;
        }
        let event = match update {
            event::JournalUpdate::Committed { through } => {
                pool::PoolEvent::JournalCommitted { through: *through }
            }
            event::JournalUpdate::Lost => {
                let pairs = notices::Pairs::default().with("pool", self.pool.id());
                notices.record_host_event(now.wall, "journal.lost", &pairs);
                // The leadership state machine clears its preference when it resigns. Clearing it
                // here too lets the control thread send it again at its next tick, if this host
                // is still the preferred leader.
                self.preferred = false;
                pool::PoolEvent::JournalConflict
            }
        };
        self.handle(now, event, notices);
    }

    /// Reads the inbox now, or again after the read that is under way.
    pub(super) fn read_inbox(&mut self, now: time::TimeMs) {
        if self.journal.is_none() {
            return;
        }
        if self.inbox.reading {
            self.inbox.read_again = true;
            return;
        }
        self.inbox.reading = true;
        self.inbox.next_read = now + INBOX_POLL_INTERVAL;
        self.store.read_inbox(self.tenure);
    }

    /// Passes the new entries of an inbox read to the pool, unless the tenure has ended.
    pub(super) fn handle_inbox_entries(
        &mut self,
        now: pool::Now,
        tenure: u64,
        entries: Vec<event::InboxEntry>,
        notices: &mut notices::Notices,
    ) {
        if tenure != self.tenure {
            return;
        }
        self.inbox.reading = false;
        let mut keys = Vec::new();
        let mut records = Vec::new();
        for entry in entries {
            if self.inbox.keys.insert(entry.key.clone()) {
                keys.push(entry.key);
                records.push(entry.record);
            }
        }
        if !records.is_empty() {
            self.inbox.last_read_number += 1;
            let inbox_read = self.inbox.last_read_number;
            self.inbox.keys_by_read.insert(inbox_read, keys);
            self.handle(
                now,
                pool::PoolEvent::Accepted {
                    inbox_read,
                    records,
                },
                notices,
            );
        }
        if std::mem::take(&mut self.inbox.read_again) {
            self.read_inbox(now.monotonic);
        }
    }

    /// Removes the entry of a read and returns the keys of its rows, which the journal entry that
    /// holds their records deletes. A read that is under way may still return these rows; applying
    /// their records twice has no effect.
    fn take_inbox_keys(&mut self, inbox_read: u64) -> Vec<String> {
        let keys = self
            .inbox
            .keys_by_read
            .remove(&inbox_read)
            .unwrap_or_default();
        for key in &keys {
            self.inbox.keys.remove(key);
        }
        keys
    }

    /// Sets the pool's workers and their addresses.
    pub(super) fn set_workers(
        &mut self,
        now: pool::Now,
        addresses: collections::FastMap<id::WorkerId, std::net::SocketAddr>,
        notices: &mut notices::Notices,
    ) {
        let workers = addresses.keys().cloned().collect();
        self.workers.set_addresses(addresses);
        let event = leadership::LeadershipEvent::WorkersListed(workers);
        self.handle(now, pool::PoolEvent::Leadership(event), notices);
    }

    /// Performs everything that is due.
    pub(super) fn tick(&mut self, now: pool::Now, notices: &mut notices::Notices) {
        self.routes.answer_expired(now.monotonic);
        if self
            .pool
            .next_wake(now.monotonic)
            .is_some_and(|at| at <= now.monotonic)
        {
            self.handle(now, pool::PoolEvent::Tick, notices);
        }
        if self.journal.is_none() {
            return;
        }
        if now.monotonic >= self.inbox.next_read {
            self.read_inbox(now.monotonic);
        }
        if now.monotonic >= self.next_compaction_check {
            self.next_compaction_check = now.monotonic + COMPACTION_CHECK_INTERVAL;
            if let Some(journal) = &self.journal {
                self.store.compact(journal.durable_state());
            }
        }
    }

    /// Returns when [`tick`](Self::tick) is due next.
    pub(super) fn next_wake(&self, now: time::TimeMs) -> Option<time::TimeMs> {
        let pool = self.pool.next_wake(now);
        let routes = self.routes.next_deadline();
        let next_journal_work = self
            .journal
            .is_some()
            .then(|| self.inbox.next_read.min(self.next_compaction_check));
        [pool, next_journal_work, routes]
            .into_iter()
            .flatten()
            .min()
    }

    /// Answers an entry host's request for routes and shares; `None` unless this host leads the
    /// pool and has recovered its state.
    pub(super) fn answer_routes_request(
        &mut self,
        now: time::TimeMs,
        request: &message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        if !self.pool.has_loaded_jobs(now) {
            let _ = reply.send(None);
            return;
        }
        let grant = request
            .shares
            .as_ref()
            .map(|shares| self.grant_shares(now, shares));
        self.routes.answer(now, request, grant, reply);
    }

    /// Returns the claim that this host's heartbeats carry while it leads the pool.
    pub(super) fn leadership_claim(&self, now: time::TimeMs) -> Option<message::PoolClaim> {
        self.pool.has_loaded_jobs(now).then(|| message::PoolClaim {
            pool: self.pool.id().clone(),
            epoch: self.pool.leadership().greatest_epoch().0,
            routes_version: self.routes.version(),
        })
    }

    fn grant_shares(
        &mut self,
        now: time::TimeMs,
        request: &slot_share::ShareRequest,
    ) -> slot_share::ShareGrant {
        for share in &request.shares {
            self.share_ledger
                .set_worker(&share.demand.worker, super::WORKER_REQUEST_CAPACITY);
        }
        self.share_ledger.handle(now, request)
    }
}
