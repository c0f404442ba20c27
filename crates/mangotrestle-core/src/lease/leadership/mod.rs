//! The leader's side of the lease protocol, for one pool in one entry host.
//!
//! A [`Leadership`] decides when to try to lead, whom to claim and renew, and what may be started
//! or restarted when. It does no I/O: [`handle`](Leadership::handle) takes the time and what
//! happened, and returns what to do. Its life:
//!
//! 1. *idle* until this entry host is preferred, then it loads the roster,
//! 2. *claiming* every worker; a lost round is repeated after a back-off,
//! 3. *acting* once it holds a majority of the roster: it renews the leases of workers and runs,
//! 4. *established* once every worker of the roster is accounted for, so that no start of another
//!    leader can be accepted any more: now it may start runs.
//!
//! A worker is accounted for in one of two ways. Either it is held, and every held worker confirms
//! its lease in messages that were all sent after the last claim was answered, so that there was a
//! moment at which this leader held them all. Or two terms have passed under an uninterrupted
//! majority: in the first any other leader stops acting, in the second whatever it renewed last
//! lapses. A claim that another leader made in between voids all of it, and the worker says so
//! with its next grant.
//!
//! The cost of an answer is logarithmic in the number of workers; majorities are counted in linear
//! time a few times in each renew interval.
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
mod slot;
mod tenure;

use std::collections::{BTreeMap, BTreeSet};

pub use config::{InvalidConfig, LeadershipConfig, LeadershipConfigBuilder};
pub use event::{LeadershipCommand, LeadershipEvent, LeadershipNotice, StartPermit, StopPermit};

use crate::id;
use crate::lease::message;
use crate::lease::roster;
use crate::result_code::ResultCode;
use crate::task;
use crate::time;

/// Who leads what.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Identity {
    /// The pool.
    pub pool: id::PoolId,
    /// This entry host.
    pub entry_host: id::EntryHostId,
    /// Incarnation of this process.
    pub incarnation: id::Incarnation,
}

/// Where a leadership is in its life.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Phase {
    Idle,
    BackingOff { until: time::TimeMs },
    Loading { until: time::TimeMs },
    Claiming { until: time::TimeMs },
    Acting(tenure::Tenure),
}

/// When a worker needs attention.
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
    listed: BTreeSet<id::WorkerId>,
    workers: BTreeMap<id::WorkerId, slot::Slot>,
    timers: BTreeSet<Timer>,
    holds: usize,
    rosters: roster_change::Rosters,
    lost_rounds: u32,
    last_event_at: time::TimeMs,
    commands: Vec<LeadershipCommand>,
}

impl Leadership {
    /// A leadership that is idle. The seed spreads its timers.
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
            holds: 0,
            rosters: roster_change::Rosters::default(),
            lost_rounds: 0,
            last_event_at: time::TimeMs(0),
            commands: Vec::new(),
        }
    }

    /// Takes note of an event and returns what to do, in order. `now` never runs backwards.
    pub fn handle(&mut self, now: time::TimeMs, event: LeadershipEvent) -> Vec<LeadershipCommand> {
        self.notice_pause(now);
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
        self.acting(now).is_some()
    }

    /// Whether starts are permitted, at workers that are held.
    #[must_use]
    pub fn may_start(&self, now: time::TimeMs) -> bool {
        self.starting(now).is_some()
    }

    /// Leave to start runs on a worker, `None` if that is not safe now or the worker takes no runs.
    #[must_use]
    pub fn start_permit(&self, worker: &id::WorkerId, now: time::TimeMs) -> Option<StartPermit> {
        let tenure = self.starting(now)?;
        let hold = self.valid_hold(worker, now)?;
        let member = roster::Member {
            worker: worker.clone(),
            incarnation: hold.incarnation,
        };
        if hold.leaving || !self.rosters.is_member(&member) {
            return None;
        }
        let until = tenure.acting_until.min(now + self.config.start_window);
        let start_before_ms = hold.clock.earliest(until, self.config.drift);
        let reached = start_before_ms <= hold.clock.earliest(now, self.config.drift);
        (!reached).then_some(StartPermit {
            worker_incarnation: hold.incarnation,
            epoch: hold.epoch,
            start_before_ms,
        })
    }

    /// Leave to stop runs on a worker, `None` if the worker is not held.
    #[must_use]
    pub fn stop_permit(&self, worker: &id::WorkerId, now: time::TimeMs) -> Option<StopPermit> {
        self.acting(now)?;
        let hold = self.valid_hold(worker, now)?;
        Some(StopPermit {
            worker_incarnation: hold.incarnation,
            epoch: hold.epoch,
        })
    }

    /// The workers whose leases are held, whether or not that makes a majority.
    pub fn held_workers(&self, now: time::TimeMs) -> impl Iterator<Item = &id::WorkerId> {
        let held = move |worker: &&id::WorkerId| self.valid_hold(worker, now).is_some();
        self.workers.keys().filter(held)
    }

    /// Notes that the end of a run is recorded; the next renewal lets the worker forget it.
    pub fn acknowledge(&mut self, worker: &id::WorkerId, run: task::RunId) {
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.acknowledged.insert(run);
        }
    }

    /// Number of members of the roster that counts, zero if none is known.
    #[must_use]
    pub fn roster_members(&self) -> usize {
        self.rosters.members().count()
    }

    /// Greatest epoch of the leases that are held, zero if none is. Of two hosts that say they
    /// lead, the one with the greater epoch is the newer leader.
    #[must_use]
    pub fn greatest_epoch(&self) -> message::Epoch {
        let holds = self.workers.values().filter_map(|slot| slot.hold.as_ref());
        holds.map(|hold| hold.epoch).max().unwrap_or_default()
    }

    /// The roster version that this leadership counts on, zero if it knows none.
    #[must_use]
    pub fn roster_version(&self) -> message::RosterVersion {
        self.rosters.version()
    }

    /// When [`handle`](Self::handle) has to be called at the latest, with
    /// [`Tick`](LeadershipEvent::Tick) if nothing else happens.
    #[must_use]
    pub fn next_wake(&self) -> Option<time::TimeMs> {
        let phase = match &self.phase {
            Phase::Idle => None,
            Phase::BackingOff { until } | Phase::Loading { until } | Phase::Claiming { until } => {
                Some(*until)
            }
            Phase::Acting(tenure) => {
                let attentive = self.last_event_at + time::SpanMs(self.config.pause_margin.0 / 2);
                Some(tenure.next_wake().min(attentive))
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
            LeadershipEvent::WorkersListed(workers) => self.list_workers(now, workers),
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
                self.unanswered(now, &worker, sent_at);
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
        self.end_tenure(Phase::Idle);
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
        pending: &slot::Pending,
        granted: message::ClaimGranted,
    ) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        let rival = slot.shows_rival(&granted);
        let continued = slot
            .last_hold
            .filter(|last| !rival && last.incarnation == granted.worker_incarnation);
        let hold = slot::Hold {
            incarnation: granted.worker_incarnation,
            epoch: granted.epoch,
            clock: crate::lease::clock::WorkerClock::new(granted.worker_time_ms, now),
            held_since: continued.map_or(now, |last| last.held_since),
            confirmed_at: pending.sent_at,
            roster_version: pending.roster_version,
            leaving: granted.leaving,
        };
        let valid_until = hold.valid_until(self.config.term, self.config.drift);
        if now >= valid_until {
            self.schedule(worker, now);
            return;
        }
        slot.last_hold = Some(slot::LastHold {
            incarnation: hold.incarnation,
            epoch: hold.epoch,
            held_since: hold.held_since,
        });
        slot.hold = Some(hold);
        slot.last_grant_at = Some(now);
        slot.failures = 0;
        slot.lapsed = false;
        self.holds += 1;
        let renew_at = self.renew_at(now).min(valid_until);
        self.schedule(worker, renew_at);
        self.note_incarnation(now, worker, granted.worker_incarnation);
        self.hold_gained(now, worker, rival);
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
            self.roster_is_stale(now);
        }
    }

    /// Handles a message that nobody answered: the worker is tried again after a back-off.
    fn unanswered(&mut self, now: time::TimeMs, worker: &id::WorkerId, sent_at: time::TimeMs) {
        if self.take_pending(worker, sent_at).is_none() {
            return;
        }
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.failures = slot.failures.saturating_add(1);
        }
        let at = self.retry_at(now, worker);
        self.schedule(worker, at);
    }

    /// Takes the message under way that an answer belongs to. An answer to anything older is
    /// ignored: what it says was superseded.
    fn take_pending(
        &mut self,
        worker: &id::WorkerId,
        sent_at: time::TimeMs,
    ) -> Option<slot::Pending> {
        let slot = self.workers.get_mut(worker)?;
        slot.pending.take_if(|pending| pending.sent_at == sent_at)
    }

    fn valid_hold(&self, worker: &id::WorkerId, now: time::TimeMs) -> Option<&slot::Hold> {
        let hold = self.workers.get(worker)?.hold.as_ref()?;
        let valid_until = hold.valid_until(self.config.term, self.config.drift);
        (now < valid_until).then_some(hold)
    }

    fn run_timers(&mut self, now: time::TimeMs) {
        while let Some(timer) = self.timers.first().filter(|timer| timer.at <= now) {
            let worker = timer.worker.clone();
            self.timers.pop_first();
            self.wake_worker(now, &worker);
        }
    }

    /// Does what is due for one worker.
    fn wake_worker(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        slot.due = None;
        if let Some(pending) = &slot.pending {
            let sent_at = pending.sent_at;
            let deadline = sent_at + self.config.answer_timeout;
            if now < deadline {
                self.schedule(worker, deadline);
            } else {
                self.unanswered(now, worker, sent_at);
            }
            return;
        }
        if slot.hold.is_some() && self.valid_hold(worker, now).is_none() {
            self.lose_hold(now, worker);
        }
        let held = self.valid_hold(worker, now).is_some();
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
        self.set_pending(worker, now, slot::Asked::Claim, roster_version);
        self.commands.push(LeadershipCommand::Claim {
            worker: worker.clone(),
            request,
        });
    }

    fn set_pending(
        &mut self,
        worker: &id::WorkerId,
        now: time::TimeMs,
        asked: slot::Asked,
        roster_version: message::RosterVersion,
    ) {
        if let Some(slot) = self.workers.get_mut(worker) {
            slot.pending = Some(slot::Pending {
                asked,
                sent_at: now,
                roster_version,
            });
        }
        self.schedule(worker, now + self.config.answer_timeout);
    }

    fn schedule_lapse(&mut self, worker: &id::WorkerId) {
        let hold = self.workers.get(worker).and_then(|slot| slot.hold.as_ref());
        if let Some(hold) = hold {
            let at = hold.valid_until(self.config.term, self.config.drift);
            self.schedule(worker, at);
        }
    }

    /// Sets when a worker needs attention next, in place of what was set before.
    fn schedule(&mut self, worker: &id::WorkerId, at: time::TimeMs) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        if let Some(due) = slot.due.replace(at) {
            self.timers.remove(&Timer {
                at: due,
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
        let spread = time::SpanMs(interval.0 / 5);
        now + interval - self.jitter.below(spread)
    }

    /// When to try a worker again: soon while its lease is still held, else after a back-off that
    /// doubles with each failure.
    fn retry_at(&mut self, now: time::TimeMs, worker: &id::WorkerId) -> time::TimeMs {
        let Some(slot) = self.workers.get(worker) else {
            return now;
        };
        let span = if slot.hold.is_some() {
            time::SpanMs(self.config.renew_interval.0.div_ceil(4))
        } else {
            self.back_off(slot.failures)
        };
        now + span + self.jitter.below(time::SpanMs(span.0 / 2))
    }

    fn back_off(&self, failures: u32) -> time::SpanMs {
        let factor = 1_u64 << failures.min(16);
        let span = self.config.min_back_off.0.saturating_mul(factor);
        time::SpanMs(span).min(self.config.max_back_off)
    }

    fn notify(&mut self, notice: LeadershipNotice) {
        self.commands.push(LeadershipCommand::Notify(notice));
    }
}
