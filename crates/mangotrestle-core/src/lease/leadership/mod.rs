//! The leader's side of the lease protocol, for one pool in one entry host.
//!
//! A [`Leadership`] decides when to try to lead, which workers to claim and renew, and when runs
//! may be started or restarted. It does no I/O: [`handle`](Leadership::handle) takes the time and
//! an event, and returns commands to execute. Its phases:
//!
//! 1. *idle* until this entry host is preferred, then it loads the roster,
//! 2. *claiming* every worker; a lost round is repeated after a back-off,
//! 3. *acting* once it holds a majority of the roster: it renews the leases of workers and runs,
//! 4. *established* once every worker of the roster is accounted for, so that no start of another
//!    leader can be accepted any more: from now on it may start runs.
//!
//! A worker is accounted for in one of two ways. Either its lease is held, and every held worker
//! confirms its lease in messages that were all sent after the last claim was answered, so that at
//! one moment this leader held them all. Or two terms have passed under an uninterrupted majority:
//! in the first any other leader stops acting, in the second the leases that it renewed last
//! expire. A claim by another leader in between voids both, and the worker reports it with its next
//! grant.
//!
//! Handling an answer takes logarithmic time in the number of workers; majorities are counted in
//! linear time a few times in each renew interval.
//!
//! ```
//! use mangotrestle_core::id;
//! use mangotrestle_core::lease::leadership;
//! use mangotrestle_core::time::TimeMs;
//!
//! let config = leadership::LeadershipConfig::builder().build().unwrap();
//! let identity = leadership::Identity {
//!     pool: id::PoolId::new("piraeus").unwrap(),
//!     entry_host: id::EntryHostId::new("entry-1").unwrap(),
//!     incarnation: id::Incarnation(1),
//! };
//! let mut leader = leadership::Leadership::new(config, identity, 7);
//! let commands = leader.handle(TimeMs(0), leadership::LeadershipEvent::Preferred(true));
//! assert_eq!(commands, [leadership::LeadershipCommand::LoadRoster]);
//! ```

mod campaign;
mod config;
mod event;
mod jitter;
mod roster_change;
mod tenure;
mod worker_state;

use std::collections::{BTreeMap, BTreeSet};

pub use config::{InvalidConfig, LeadershipConfig, LeadershipConfigBuilder};
pub use event::{LeadershipCommand, LeadershipEvent, LeadershipNotice, StartPermit, StopPermit};

use crate::id;
use crate::lease::message;
use crate::lease::roster;
use crate::result_code::ResultCode;
use crate::task;
use crate::time;

/// The pool and the process of a leadership.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// The pool.
    pub pool: id::PoolId,
    /// This entry host.
    pub entry_host: id::EntryHostId,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
}

/// Phase of a leadership.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    BackingOff { until: time::TimeMs },
    Loading { until: time::TimeMs },
    Claiming { until: time::TimeMs },
    Acting(tenure::Tenure),
}

/// Time at which an action for a worker is due.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Timer {
    at: time::TimeMs,
    worker: id::WorkerId,
}

/// A pool's leadership in one entry host. See the [module](self).
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leadership {
    config: LeadershipConfig,
    identity: Identity,
    jitter: jitter::Jitter,
    preferred: bool,
    phase: Phase,
    /// Workers in the host list.
    listed: BTreeSet<id::WorkerId>,
    workers: BTreeMap<id::WorkerId, worker_state::WorkerState>,
    timers: BTreeSet<Timer>,
    /// Number of workers whose lease is held.
    held_count: usize,
    rosters: roster_change::Rosters,
    /// Number of campaigns and tenures lost in a row, for the back-off; a tenure of more than two
    /// terms resets it.
    consecutive_losses: u32,
    last_event_at: time::TimeMs,
    commands: Vec<LeadershipCommand>,
}

impl Leadership {
    /// Creates an idle leadership. The seed determines the jitter of its timers.
    #[must_use]
    pub fn new(config: LeadershipConfig, identity: Identity, seed: u64) -> Self {
        Self {
            config,
            identity,
            jitter: jitter::Jitter::new(seed),
            preferred: false,
            phase: Phase::Idle,
            listed: BTreeSet::new(),
            workers: BTreeMap::new(),
            timers: BTreeSet::new(),
            held_count: 0,
            rosters: roster_change::Rosters::default(),
            consecutive_losses: 0,
            last_event_at: time::TimeMs(0),
            commands: Vec::new(),
        }
    }

    /// Handles an event and returns the commands to execute, in order. `now` must never decrease.
    pub fn handle(&mut self, now: time::TimeMs, event: LeadershipEvent) -> Vec<LeadershipCommand> {
        self.detect_pause(now);
        self.check_majority(now);
        self.apply(now, event);
        self.run_timers(now);
        self.advance_phase(now);
        self.last_event_at = now;
        std::mem::take(&mut self.commands)
    }

    /// Whether a majority of the roster is held.
    #[must_use]
    pub fn is_acting(&self, now: time::TimeMs) -> bool {
        self.acting_tenure(now).is_some()
    }

    /// Whether starts are permitted on workers whose leases are held.
    #[must_use]
    pub fn may_start(&self, now: time::TimeMs) -> bool {
        self.established_tenure(now).is_some()
    }

    /// Returns a permit to start runs on a worker, `None` if that is not safe now or the worker
    /// accepts no runs.
    #[must_use]
    pub fn start_permit(&self, worker: &id::WorkerId, now: time::TimeMs) -> Option<StartPermit> {
        let tenure = self.established_tenure(now)?;
        let lease = self.valid_lease(worker, now)?;
        let member = roster::Member {
            worker: worker.clone(),
            incarnation: lease.incarnation,
        };
        if lease.leaving || !self.rosters.is_member(&member) {
            return None;
        }
        let until = tenure.acting_until.min(now + self.config.start_window);
        let start_before_ms = lease.clock.earliest_reading(until, self.config.drift);
        let already_passed =
            start_before_ms <= lease.clock.earliest_reading(now, self.config.drift);
        (!already_passed).then_some(StartPermit {
            worker_incarnation: lease.incarnation,
            epoch: lease.epoch,
            start_before_ms,
        })
    }

    /// Returns a permit to stop runs on a worker, `None` if its lease is not held.
    #[must_use]
    pub fn stop_permit(&self, worker: &id::WorkerId, now: time::TimeMs) -> Option<StopPermit> {
        self.acting_tenure(now)?;
        let lease = self.valid_lease(worker, now)?;
        Some(StopPermit {
            worker_incarnation: lease.incarnation,
            epoch: lease.epoch,
        })
    }

    /// Returns the workers whose leases are held, whether or not they are a majority.
    pub fn held_workers(&self, now: time::TimeMs) -> impl Iterator<Item = &id::WorkerId> {
        let held = move |worker: &&id::WorkerId| self.valid_lease(worker, now).is_some();
        self.workers.keys().filter(held)
    }

    /// Marks the end of a run as recorded; the next renewal tells the worker to discard it.
    pub fn acknowledge(&mut self, worker: &id::WorkerId, run: task::RunId) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.acknowledged.insert(run);
        }
    }

    /// Returns the number of members of the current roster, zero if none is known.
    #[must_use]
    pub fn roster_members(&self) -> usize {
        self.rosters.members().count()
    }

    /// Returns the greatest epoch of the held leases, zero if none is held. Of two hosts that claim
    /// to lead, the one with the greater epoch is the newer leader.
    #[must_use]
    pub fn greatest_epoch(&self) -> message::Epoch {
        let leases = self
            .workers
            .values()
            .filter_map(|state| state.lease.as_ref());
        leases.map(|lease| lease.epoch).max().unwrap_or_default()
    }

    /// Returns the version of the current roster, zero if none is known.
    #[must_use]
    pub fn roster_version(&self) -> message::RosterVersion {
        self.rosters.version()
    }

    /// Returns the time at which [`handle`](Self::handle) has to be called at the latest, with
    /// [`Tick`](LeadershipEvent::Tick) if there is no other event.
    #[must_use]
    pub fn next_wake(&self) -> Option<time::TimeMs> {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::BackingOff { until } | Phase::Loading { until } | Phase::Claiming { until } => {
                Some(*until)
            }
            Phase::Acting(tenure) => {
                let pause_check_at =
                    self.last_event_at + time::SpanMs(self.config.pause_margin.0 / 2);
                Some(tenure.next_wake().min(pause_check_at))
            }
        };
        let timer = self.timers.first().map(|timer| timer.at);
        phase.into_iter().chain(timer).min()
    }

    fn apply(&mut self, now: time::TimeMs, event: LeadershipEvent) {
        match event {
            LeadershipEvent::Tick => {}
            LeadershipEvent::Preferred(preferred) => self.set_preferred(now, preferred),
            LeadershipEvent::Resign => self.resign(),
            LeadershipEvent::WorkersListed(workers) => self.set_listed_workers(now, workers),
            LeadershipEvent::RosterLoaded(loaded) => self.roster_loaded(now, loaded),
            LeadershipEvent::RosterCommitted(version) => self.roster_committed(now, version),
            LeadershipEvent::RosterConflict => self.roster_conflict(),
            LeadershipEvent::RosterUnavailable => self.roster_unavailable(now),
            LeadershipEvent::ClaimAnswered {
                worker,
                sent_at,
                result,
            } => self.claim_answered(now, &worker, sent_at, result),
            LeadershipEvent::RenewAnswered {
                worker,
                sent_at,
                result,
            } => self.renew_answered(now, &worker, sent_at, result),
            LeadershipEvent::Unreachable { worker, sent_at } => {
                self.request_unanswered(now, &worker, sent_at);
            }
            LeadershipEvent::CommandRefused {
                worker,
                epoch,
                refusal,
            } => self.command_refused(now, &worker, epoch, refusal),
            LeadershipEvent::IncarnationGone(member) => self.incarnation_gone(now, member),
        }
    }

    fn resign(&mut self) {
        self.preferred = false;
        self.end_campaign_or_tenure(Phase::Idle);
    }

    fn claim_answered(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        sent_at: time::TimeMs,
        result: Result<message::ClaimGranted, message::Refusal>,
    ) {
        let Some(pending) = self.take_pending(worker, sent_at) else {
            return;
        };
        match result {
            Ok(granted) => self.claim_granted(now, worker, &pending, granted),
            Err(refusal) => self.claim_refused(now, worker, refusal),
        }
    }

    fn claim_granted(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        pending: &worker_state::PendingRequest,
        granted: message::ClaimGranted,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let held_by_rival = state.was_held_by_rival(&granted);
        let previous = state
            .last_lease
            .filter(|last| !held_by_rival && last.incarnation == granted.worker_incarnation);
        let lease = worker_state::HeldLease {
            incarnation: granted.worker_incarnation,
            epoch: granted.epoch,
            clock: crate::lease::clock::WorkerClock::new(granted.worker_time_ms, now),
            held_since: previous.map_or(now, |last| last.held_since),
            confirmed_at: pending.sent_at,
            roster_version: pending.roster_version,
            leaving: granted.leaving,
        };
        let valid_until = lease.valid_until(self.config.term, self.config.drift);
        if now >= valid_until {
            self.schedule(worker, now);
            return;
        }
        state.last_lease = Some(worker_state::LastLease {
            incarnation: lease.incarnation,
            epoch: lease.epoch,
            held_since: lease.held_since,
        });
        state.lease = Some(lease);
        state.last_grant_at = Some(now);
        state.unanswered_requests = 0;
        state.runs_lapsed = false;
        self.held_count += 1;
        let renew_at = self.renew_at(now).min(valid_until);
        self.schedule(worker, renew_at);
        self.note_incarnation(now, worker, granted.worker_incarnation);
        self.lease_gained(now, worker, held_by_rival);
        self.notify(LeadershipNotice::WorkerHeld {
            worker: worker.clone(),
            granted,
        });
    }

    fn claim_refused(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        refusal: message::Refusal,
    ) {
        let at = self.retry_at(now, worker);
        self.schedule(worker, at);
        if refusal.code == ResultCode::StaleRoster {
            self.handle_stale_roster(now);
        }
    }

    /// Handles a request without an answer: it is retried after a back-off.
    fn request_unanswered(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        sent_at: time::TimeMs,
    ) {
        if self.take_pending(worker, sent_at).is_none() {
            return;
        }
        if let Some(state) = self.workers.get_mut(worker) {
            state.unanswered_requests = state.unanswered_requests.saturating_add(1);
        }
        let at = self.retry_at(now, worker);
        self.schedule(worker, at);
    }

    /// Takes the pending request that an answer belongs to, `None` if the answer belongs to an
    /// older request. Such an answer has been superseded and is ignored.
    fn take_pending(
        &mut self,
        worker: &id::WorkerId,
        sent_at: time::TimeMs,
    ) -> Option<worker_state::PendingRequest> {
        let state = self.workers.get_mut(worker)?;
        state.pending.take_if(|pending| pending.sent_at == sent_at)
    }

    fn valid_lease(
        &self,
        worker: &id::WorkerId,
        now: time::TimeMs,
    ) -> Option<&worker_state::HeldLease> {
        let lease = self.workers.get(worker)?.lease.as_ref()?;
        let valid_until = lease.valid_until(self.config.term, self.config.drift);
        (now < valid_until).then_some(lease)
    }

    fn run_timers(&mut self, now: time::TimeMs) {
        while let Some(timer) = self.timers.first().filter(|timer| timer.at <= now) {
            let worker = timer.worker.clone();
            self.timers.pop_first();
            self.handle_worker_timer(now, &worker);
        }
    }

    /// Sends the message that is due to a worker whose timer has expired, or handles its timeout.
    fn handle_worker_timer(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.timer_at = None;
        if let Some(pending) = &state.pending {
            let sent_at = pending.sent_at;
            let deadline = sent_at + self.config.answer_timeout;
            if now < deadline {
                self.schedule(worker, deadline);
            } else {
                self.request_unanswered(now, worker, sent_at);
            }
            return;
        }
        if state.lease.is_some() && self.valid_lease(worker, now).is_none() {
            self.lose_lease(now, worker);
        }
        let held = self.valid_lease(worker, now).is_some();
        match (&self.phase, held) {
            (Phase::Acting(_), true) => self.send_renew(now, worker),
            (Phase::Acting(_) | Phase::Claiming { .. }, false) => self.send_claim(now, worker),
            (Phase::Claiming { .. }, true) => self.schedule_lapse(worker),
            _ => {}
        }
    }

    fn send_claim(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let roster_version = self.rosters.announced_version();
        let request = message::ClaimRequest {
            pool: self.identity.pool.clone(),
            leader: self.identity.entry_host.clone(),
            leader_incarnation: self.identity.incarnation,
            roster_version,
        };
        self.set_pending(
            worker,
            now,
            worker_state::RequestKind::Claim,
            roster_version,
        );
        self.commands.push(LeadershipCommand::Claim {
            worker: worker.clone(),
            request,
        });
    }

    fn set_pending(
        &mut self,
        worker: &id::WorkerId,
        now: time::TimeMs,
        kind: worker_state::RequestKind,
        roster_version: message::RosterVersion,
    ) {
        if let Some(state) = self.workers.get_mut(worker) {
            state.pending = Some(worker_state::PendingRequest {
                kind,
                sent_at: now,
                roster_version,
            });
        }
        self.schedule(worker, now + self.config.answer_timeout);
    }

    fn schedule_lapse(&mut self, worker: &id::WorkerId) {
        let lease = self
            .workers
            .get(worker)
            .and_then(|state| state.lease.as_ref());
        if let Some(lease) = lease {
            let at = lease.valid_until(self.config.term, self.config.drift);
            self.schedule(worker, at);
        }
    }

    /// Sets the timer of a worker, replacing the previous one.
    fn schedule(&mut self, worker: &id::WorkerId, at: time::TimeMs) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(previous_at) = state.timer_at.replace(at) {
            self.timers.remove(&Timer {
                at: previous_at,
                worker: worker.clone(),
            });
        }
        self.timers.insert(Timer {
            at,
            worker: worker.clone(),
        });
    }

    fn renew_at(&mut self, now: time::TimeMs) -> time::TimeMs {
        let interval = self.config.renew_interval;
        let max_jitter = time::SpanMs(interval.0 / 5);
        now + interval - self.jitter.below(max_jitter)
    }

    /// Returns when to retry a worker: soon while its lease is still held, else after a back-off
    /// that doubles with each failure.
    fn retry_at(&mut self, now: time::TimeMs, worker: &id::WorkerId) -> time::TimeMs {
        let Some(state) = self.workers.get(worker) else {
            return now;
        };
        let span = if state.lease.is_some() {
            time::SpanMs(self.config.renew_interval.0.div_ceil(4))
        } else {
            self.back_off_span(state.unanswered_requests)
        };
        now + span + self.jitter.below(time::SpanMs(span.0 / 2))
    }

    fn back_off_span(&self, failures: u32) -> time::SpanMs {
        let factor = 1_u64 << failures.min(16);
        let span = self.config.min_back_off.0.saturating_mul(factor);
        time::SpanMs(span).min(self.config.max_back_off)
    }

    fn notify(&mut self, notice: LeadershipNotice) {
        self.commands.push(LeadershipCommand::Notify(notice));
    }
}
