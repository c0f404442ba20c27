//! Runs one pool: feeds it events and carries its commands out.

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

/// Longest time to wait for a worker's answer.
const LONGEST_ANSWER: time::SpanMs = time::SpanMs(2_000);
/// Interval between two looks at the inbox of a pool that is led here.
const INBOX_INTERVAL: time::SpanMs = time::SpanMs(500);
/// Interval between two looks at whether the journal should be compacted.
const COMPACTION_INTERVAL: time::SpanMs = time::SpanMs::from_secs(30);

/// Longest time to wait for a worker's answer. Short terms leave less.
fn answer_timeout(term: time::SpanMs) -> time::SpanMs {
    time::SpanMs(term.0 / 2).min(LONGEST_ANSWER)
}

/// Accepted commands on their way into the journal.
#[derive(Default)]
struct Inbox {
    last_ticket: u64,
    tickets: collections::FastMap<u64, Vec<String>>,
    keys: collections::FastSet<String>,
    reading: bool,
    read_again: bool,
    next_read: time::TimeMs,
}

/// One pool of this entry host.
pub(super) struct PoolRunner {
    context: Arc<context::Context>,
    pub(super) pool: pool::Pool,
    workers: worker_calls::WorkerCalls,
    store: store_tasks::StoreTasks,
    journal: Option<journal_writer::JournalWriter>,
    loading: Option<task::AbortHandle>,
    tenure: u64,
    preferred: bool,
    inbox: Inbox,
    next_compaction: time::TimeMs,
    pub(super) routes: published_routes::PublishedRoutes,
    ledger: slot_share::Ledger,
}

impl PoolRunner {
    pub(super) fn new(
        context: Arc<context::Context>,
        index: event::PoolIndex,
        id: id::PoolId,
        seed: u64,
    ) -> Result<Self, leadership::InvalidConfig> {
        let settings = &context.settings;
        let config = leadership::LeadershipConfig::builder()
            .term(settings.lease_term_ms)
            .renew_interval(settings.lease_renew_interval_ms)
            .answer_timeout(answer_timeout(settings.lease_term_ms))
            .build()?;
        let identity = leadership::Identity {
            pool: id.clone(),
            entry_host: settings.entry_host.clone(),
            incarnation: context.identity.incarnation,
        };
        let pool_settings = pool::PoolSettings {
            pool: id.clone(),
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
        let deadline = answer_timeout(settings.lease_term_ms);
        let leadership = leadership::Leadership::new(config, identity, seed);
        let scheduler_config = scheduler::SchedulerConfig::default();
        let pool = pool::Pool::new(pool_settings, leadership, scheduler_config);
        Ok(Self {
            pool,
            workers: worker_calls::WorkerCalls::new(Arc::clone(&context), index, deadline),
            store: store_tasks::StoreTasks::new(Arc::clone(&context), index, id),
            context,
            journal: None,
            loading: None,
            tenure: 0,
            preferred: false,
            inbox: Inbox::default(),
            next_compaction: time::TimeMs(0),
            routes,
            ledger: slot_share::Ledger::new(super::SHARE_TERMS),
        })
    }

    /// Notes whether this entry host is the candidate to lead. Returns whether that changed.
    pub(super) const fn set_preferred(&mut self, preferred: bool) -> bool {
        let changed = self.preferred != preferred;
        self.preferred = preferred;
        changed
    }

    /// Feeds the pool an event and carries out what it wants.
    pub(super) fn handle(
        &mut self,
        now: pool::Now,
        event: pool::PoolEvent,
        notices: &mut notices::Notices,
    ) {
        let mut commands = Vec::new();
        self.pool.handle(now, event, &mut commands);
        for command in commands {
            self.carry_out(now, command, notices);
        }
    }

    fn carry_out(
        &mut self,
        now: pool::Now,
        command: pool::PoolCommand,
        notices: &mut notices::Notices,
    ) {
        match command {
            pool::PoolCommand::Leadership(command) => self.lead(now, command),
            pool::PoolCommand::LoadState => self.begin_tenure(now),
            pool::PoolCommand::Journal {
                token,
                records,
                urgent,
                inbox,
            } => {
                let deletes = inbox.map_or_else(Vec::new, |ticket| self.taken_up(ticket));
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
            pool::PoolCommand::RoutesChanged { jobs } => self.routes.changed(&self.pool, &jobs),
            pool::PoolCommand::Notice(notice) => {
                notices.pool(now.wall, self.pool.id(), &notice);
            }
        }
    }

    fn lead(&mut self, now: pool::Now, command: leadership::LeadershipCommand) {
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
        self.ledger = slot_share::Ledger::after_takeover(super::SHARE_TERMS, now.monotonic);
        self.loading = Some(self.store.load_state(self.tenure));
    }

    fn end_tenure(&mut self) {
        self.tenure += 1;
        if let Some(loading) = self.loading.take() {
            loading.abort();
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
        let news = event::JournalNews::Lost;
        let event = event::ControlEvent::Journal {
            pool: self.store.index(),
            tenure: self.tenure,
            news,
        };
        self.context.report(event);
    }

    /// Takes over a loaded state, unless the tenure that it was loaded for is over.
    pub(super) fn loaded(
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
        self.loading = None;
        // In a pool that nobody led before, nobody holds shares from before.
        if journal.folded().tail().sequence <= 1 {
            self.ledger = slot_share::Ledger::new(super::SHARE_TERMS);
        }
        self.journal = Some(journal);
        self.next_compaction = now.monotonic + COMPACTION_INTERVAL;
        self.handle(now, pool::PoolEvent::StateLoaded(state), notices);
        self.read_inbox(now.monotonic);
    }

    /// Passes on news of the journal, unless the tenure is over.
    pub(super) fn journal_news(
        &mut self,
        now: pool::Now,
        tenure: u64,
        news: &event::JournalNews,
        notices: &mut notices::Notices,
    ) {
        if tenure != self.tenure {
            return;
        }
        let event = match news {
            event::JournalNews::Committed { through } => {
                pool::PoolEvent::JournalCommitted { through: *through }
            }
            event::JournalNews::Lost => {
                let pairs = notices::Pairs::default().with("pool", self.pool.id());
                notices.host(now.wall, "journal.lost", &pairs);
                // The leadership gives up its preference when it resigns; it is told again if this
                // host is still the candidate.
                self.preferred = false;
                pool::PoolEvent::JournalConflict
            }
        };
        self.handle(now, event, notices);
    }

    /// Looks into the inbox now, or once more if a look is under way.
    pub(super) fn read_inbox(&mut self, now: time::TimeMs) {
        if self.journal.is_none() {
            return;
        }
        if self.inbox.reading {
            self.inbox.read_again = true;
            return;
        }
        self.inbox.reading = true;
        self.inbox.next_read = now + INBOX_INTERVAL;
        self.store.read_inbox(self.tenure);
    }

    /// Takes in what was found in the inbox.
    pub(super) fn inbox_read(
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
            self.inbox.last_ticket += 1;
            let ticket = self.inbox.last_ticket;
            self.inbox.tickets.insert(ticket, keys);
            self.handle(now, pool::PoolEvent::Accepted { ticket, records }, notices);
        }
        if std::mem::take(&mut self.inbox.read_again) {
            self.read_inbox(now.monotonic);
        }
    }

    /// Keys of the inbox rows of a ticket, to be deleted with the entry that journals them. A read
    /// that is under way may still show them; folding them in again changes nothing.
    fn taken_up(&mut self, ticket: u64) -> Vec<String> {
        let keys = self.inbox.tickets.remove(&ticket).unwrap_or_default();
        for key in &keys {
            self.inbox.keys.remove(key);
        }
        keys
    }

    /// Tells the runner where the pool's workers are.
    pub(super) fn workers_listed(
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

    /// Does what is due by time.
    pub(super) fn tick(&mut self, now: pool::Now, notices: &mut notices::Notices) {
        self.routes.answer_overdue(now.monotonic);
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
        if now.monotonic >= self.next_compaction {
            self.next_compaction = now.monotonic + COMPACTION_INTERVAL;
            if let Some(journal) = &self.journal {
                self.store.compact(journal.folded());
            }
        }
    }

    /// When [`tick`](Self::tick) is due next.
    pub(super) fn next_wake(&self, now: time::TimeMs) -> Option<time::TimeMs> {
        let pool = self.pool.next_wake(now);
        let routes = self.routes.next_deadline();
        let led = self
            .journal
            .is_some()
            .then(|| self.inbox.next_read.min(self.next_compaction));
        [pool, led, routes].into_iter().flatten().min()
    }

    /// Answers an entry host that asks for routes and shares.
    pub(super) fn routes_asked(
        &mut self,
        now: time::TimeMs,
        request: &message::RoutesRequest,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        if !self.pool.is_recovered(now) {
            let _ = reply.send(None);
            return;
        }
        let grant = request
            .shares
            .as_ref()
            .map(|shares| self.grant(now, shares));
        self.routes.answer(now, request, grant, reply);
    }

    /// The claim that heartbeats carry while this host leads the pool.
    pub(super) fn claim(&self, now: time::TimeMs) -> Option<message::PoolClaim> {
        self.pool.is_recovered(now).then(|| message::PoolClaim {
            pool: self.pool.id().clone(),
            epoch: self.pool.leadership().greatest_epoch().0,
            routes_version: self.routes.version(),
        })
    }

    fn grant(
        &mut self,
        now: time::TimeMs,
        request: &slot_share::ShareRequest,
    ) -> slot_share::ShareGrant {
        for share in &request.shares {
            self.ledger
                .set_worker(&share.demand.worker, super::WORKER_REQUEST_CAPACITY);
        }
        self.ledger.handle(now, request)
    }
}
