//! Acting as the leader: renewals, the wait until starts are safe, lost workers.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::clock;
use crate::lease::leadership::{Leadership, LeadershipCommand, LeadershipNotice, Phase, slot};
use crate::lease::message;
use crate::lease::roster;
use crate::result_code::ResultCode;
use crate::time;

/// State of a leader that holds a majority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Tenure {
    since: time::TimeMs,
    /// Until when a majority counts, as last computed. Renewals since can only have moved it on.
    pub(super) acting_until: time::TimeMs,
    /// Set after a pause or a refusal: the majority must be confirmed by messages sent since.
    recheck_from: Option<time::TimeMs>,
    progress: Progress,
    next_lapse_check_at: time::TimeMs,
    next_roster_change_at: time::TimeMs,
}

/// How far it is certain that no other leader's starts are accepted any more.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Progress {
    /// Some members are neither held nor surely without tasks.
    Open(BTreeSet<id::WorkerId>),
    /// These held members have to confirm their leases in messages sent since.
    Confirming {
        from: time::TimeMs,
        unconfirmed: BTreeSet<id::WorkerId>,
    },
    /// Runs may be started.
    Established,
}

impl Tenure {
    pub(super) fn next_wake(&self) -> time::TimeMs {
        self.acting_until
            .min(self.next_lapse_check_at)
            .min(self.next_roster_change_at)
    }

    /// Messages sent before this confirm nothing that is still open.
    fn fresh_from(&self) -> Option<time::TimeMs> {
        let confirming = match &self.progress {
            Progress::Confirming { from, .. } => Some(*from),
            _ => None,
        };
        confirming.max(self.recheck_from)
    }
}

impl Leadership {
    pub(super) fn acting(&self, now: time::TimeMs) -> Option<&Tenure> {
        match &self.phase {
            Phase::Acting(tenure) if now < tenure.acting_until => Some(tenure),
            _ => None,
        }
    }

    pub(super) fn starting(&self, now: time::TimeMs) -> Option<&Tenure> {
        let paused = now.since(self.last_event_at) > self.config.pause_margin;
        self.acting(now).filter(|tenure| {
            let established = tenure.progress == Progress::Established;
            established && tenure.recheck_from.is_none() && !paused
        })
    }

    /// The wait after which nothing is left that another leader granted before this one had a
    /// majority: one term until that leader stops, one until its last leases lapse.
    pub(super) fn two_terms(&self) -> time::SpanMs {
        let drift = self.config.drift;
        drift.longest(self.config.term + self.config.term)
    }

    pub(super) fn become_acting(&mut self, now: time::TimeMs) {
        let open = self.unaccounted_members();
        self.phase = Phase::Acting(Tenure {
            since: now,
            acting_until: now,
            recheck_from: None,
            progress: Progress::Open(open),
            next_lapse_check_at: now + self.config.renew_interval,
            next_roster_change_at: now + self.config.roster_interval,
        });
        self.count_majority();
        self.notify(LeadershipNotice::BecameActing);
    }

    /// After a time without events the process may have been paused for long.
    pub(super) fn notice_pause(&mut self, now: time::TimeMs) {
        if now.since(self.last_event_at) > self.config.pause_margin {
            self.recheck_majority(now);
        }
    }

    /// Ends the tenure when the majority is lost by this process's own clock.
    pub(super) fn check_majority(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &self.phase else {
            return;
        };
        if now < tenure.acting_until {
            return;
        }
        self.count_majority();
        if self.acting(now).is_none() {
            self.lose_majority(now);
        }
    }

    fn lose_majority(&mut self, now: time::TimeMs) {
        if let Phase::Acting(tenure) = &self.phase
            && now.since(tenure.since) > self.two_terms()
        {
            self.lost_rounds = 0;
        }
        self.back_off_or_idle(now);
    }

    /// Computes anew until when a majority counts.
    fn count_majority(&mut self) {
        let Some(counted) = self.rosters.counted() else {
            return;
        };
        let until = counted.majority_value(|member| self.counts_until(member));
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.acting_until = until.unwrap_or_default();
        }
    }

    /// Asks all workers to confirm, and permits no start until a majority has.
    fn recheck_majority(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        tenure.recheck_from = Some(now);
        self.renew_all(now);
    }

    fn renew_all(&mut self, now: time::TimeMs) {
        let held = self.workers.iter().filter(|(_, slot)| slot.hold.is_some());
        let idle = held.filter(|(_, slot)| slot.pending.is_none());
        let workers: Vec<id::WorkerId> = idle.map(|(worker, _)| worker.clone()).collect();
        for worker in workers {
            self.schedule(&worker, now);
        }
    }

    pub(super) fn send_renew(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let roster_version = self.announced_version();
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(hold) = &slot.hold else {
            return;
        };
        let earliest = hold.clock.earliest(now, self.config.drift);
        let acknowledged: Vec<_> = slot.acknowledged.iter().cloned().collect();
        let request = message::RenewRequest {
            worker_incarnation: hold.incarnation,
            epoch: hold.epoch,
            roster_version,
            lease_expires_ms: earliest + self.config.term,
            acknowledged: acknowledged.clone(),
        };
        slot.last_grant_at = Some(now);
        self.set_pending(
            worker,
            now,
            slot::Asked::Renew { acknowledged },
            roster_version,
        );
        self.commands.push(LeadershipCommand::Renew {
            worker: worker.clone(),
            request,
        });
    }

    pub(super) fn renew_answered(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        sent_at: time::TimeMs,
        result: Result<message::RenewGranted, message::Refusal>,
    ) {
        let Some(pending) = self.take_pending(worker, sent_at) else {
            return;
        };
        match result {
            Ok(granted) => self.renew_granted(now, worker, &pending, granted),
            Err(refusal) => self.renew_refused(now, worker, refusal),
        }
    }

    fn renew_granted(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        pending: &slot::Pending,
        granted: message::RenewGranted,
    ) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(hold) = &mut slot.hold else {
            return;
        };
        hold.clock = clock::WorkerClock::new(granted.worker_time_ms, now);
        hold.confirmed_at = pending.sent_at;
        hold.roster_version = hold.roster_version.max(pending.roster_version);
        hold.leaving = granted.leaving;
        slot.failures = 0;
        if let slot::Asked::Renew { acknowledged } = &pending.asked {
            for run in acknowledged {
                slot.acknowledged.remove(run);
            }
        }
        let next = match self.acting(now).and_then(Tenure::fresh_from) {
            Some(from) if pending.sent_at < from => now,
            _ => self.renew_at(now),
        };
        self.schedule(worker, next);
        self.confirm(worker, pending.sent_at);
        self.notify(LeadershipNotice::WorkerRenewed {
            worker: worker.clone(),
            granted,
        });
    }

    fn confirm(&mut self, worker: &id::WorkerId, sent_at: time::TimeMs) {
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        if let Progress::Confirming { from, unconfirmed } = &mut tenure.progress
            && sent_at >= *from
        {
            unconfirmed.remove(worker);
        }
    }

    fn renew_refused(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        refusal: message::Refusal,
    ) {
        self.lose_hold(now, worker);
        let at = self.retry_at(now, worker);
        self.schedule(worker, at);
        if refusal.code == ResultCode::StaleEpoch {
            self.fenced(now);
        }
    }

    pub(super) fn command_refused(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        epoch: message::Epoch,
        refusal: message::Refusal,
    ) {
        let hold = self.workers.get(worker).and_then(|slot| slot.hold.as_ref());
        let current = hold.is_some_and(|hold| hold.epoch == epoch);
        if current && refusal.code == ResultCode::StaleEpoch {
            self.renew_refused(now, worker, refusal);
        }
    }

    /// Another leader may be taking over. One that should lead checks its majority, any other
    /// gives way.
    fn fenced(&mut self, now: time::TimeMs) {
        if !self.preferred {
            self.end_tenure(Phase::Idle);
            return;
        }
        let rechecking = matches!(&self.phase, Phase::Acting(t) if t.recheck_from.is_some());
        if !rechecking {
            self.recheck_majority(now);
        }
    }

    /// Gives up the lease on a worker. What runs there may go on until its lease lapses.
    pub(super) fn lose_hold(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        if slot.hold.take().is_none() {
            return;
        }
        self.holds -= 1;
        self.member_unaccounted(worker);
        self.notify(LeadershipNotice::WorkerLostHold {
            worker: worker.clone(),
        });
        let lost = self
            .rosters
            .counted()
            .is_some_and(|counted| self.holds <= counted.members.len() / 2);
        if lost && matches!(self.phase, Phase::Acting(_)) {
            self.lose_majority(now);
        }
    }

    /// Before starts are safe, a member that is lost again has to be waited for.
    fn member_unaccounted(&mut self, worker: &id::WorkerId) {
        let member = self
            .rosters
            .members()
            .any(|member| member.worker == *worker);
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        match &mut tenure.progress {
            Progress::Open(open) if member => {
                open.insert(worker.clone());
            }
            Progress::Confirming { .. } if member => {
                tenure.progress = Progress::Open(BTreeSet::from([worker.clone()]));
            }
            _ => {}
        }
    }

    /// Takes note of a claim that was granted while acting.
    pub(super) fn hold_gained(&mut self, now: time::TimeMs, worker: &id::WorkerId, rival: bool) {
        if rival {
            self.account_anew(now);
        }
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        if let Progress::Open(open) = &mut tenure.progress {
            open.remove(worker);
        }
    }

    /// Another leader held a worker in between, so whatever was certain about the others is not.
    fn account_anew(&mut self, now: time::TimeMs) {
        if !matches!(self.phase, Phase::Acting(_)) {
            return;
        }
        for slot in self.workers.values_mut() {
            slot.lapsed = false;
        }
        let open = self.unaccounted_members();
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.progress = Progress::Open(open);
            tenure.next_lapse_check_at = now + self.config.renew_interval;
        }
    }

    /// A roster that changed before starts were safe brings members to account for.
    fn account_new_members(&mut self) {
        let open = self.unaccounted_members();
        if let Phase::Acting(tenure) = &mut self.phase
            && tenure.progress != Progress::Established
        {
            tenure.progress = Progress::Open(open);
        }
    }

    fn unaccounted_members(&self) -> BTreeSet<id::WorkerId> {
        let members = self.rosters.members();
        let open = members.filter(|member| {
            let slot = self.workers.get(&member.worker);
            slot.is_none_or(|slot| slot.hold.is_none() && !slot.lapsed)
        });
        open.map(|member| member.worker.clone()).collect()
    }

    pub(super) fn advance_tenure(&mut self, now: time::TimeMs) {
        if self.adopt_announced() {
            self.count_majority();
            self.account_new_members();
        }
        self.finish_recheck();
        self.check_lapses(now);
        self.establish(now);
        self.check_roster(now);
        self.run_timers(now);
    }

    fn finish_recheck(&mut self) {
        let Phase::Acting(tenure) = &self.phase else {
            return;
        };
        let Some(from) = tenure.recheck_from else {
            return;
        };
        let Some(counted) = self.rosters.counted() else {
            return;
        };
        let confirmed = |member: &roster::Member| {
            let hold = self.vote(member);
            hold.is_some_and(|hold| hold.confirmed_at >= from)
        };
        if !counted.has_majority(confirmed) {
            return;
        }
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.recheck_from = None;
        }
    }

    /// Goes from one step to the next on the way to permitting starts.
    fn establish(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        match &tenure.progress {
            Progress::Open(open) if open.is_empty() => self.confirm_holds(now),
            Progress::Confirming { unconfirmed, .. } if unconfirmed.is_empty() => {
                tenure.progress = Progress::Established;
                self.notify(LeadershipNotice::MayStart);
            }
            _ => {}
        }
    }

    /// Asks every held member to confirm its lease, now that all members are accounted for.
    fn confirm_holds(&mut self, now: time::TimeMs) {
        let held = self.rosters.members().filter(|member| {
            let slot = self.workers.get(&member.worker);
            slot.is_some_and(|slot| slot.hold.is_some())
        });
        let unconfirmed = held.map(|member| member.worker.clone()).collect();
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.progress = Progress::Confirming {
                from: now,
                unconfirmed,
            };
        }
        self.renew_all(now);
    }

    /// Finds the lost workers on which nothing from before can run any more.
    fn check_lapses(&mut self, now: time::TimeMs) {
        let interval = time::SpanMs(self.config.renew_interval.0.div_ceil(8));
        match &mut self.phase {
            Phase::Acting(tenure) if now >= tenure.next_lapse_check_at => {
                tenure.next_lapse_check_at = now + interval;
            }
            _ => return,
        }
        let Some(confirmed_at) = self.uninterrupted_at() else {
            return;
        };
        let longest = self.config.drift.longest(self.config.term);
        let lapsed: Vec<id::WorkerId> = self
            .lost_members()
            .filter(|slot| {
                let granted = slot.slot.last_grant_at;
                granted.is_none_or(|granted| granted + longest <= confirmed_at)
            })
            .map(|lost| lost.worker.clone())
            .collect();
        for worker in lapsed {
            self.tasks_lapsed(&worker);
        }
    }

    /// The latest moment at which a majority confirmed that for two terms nobody else had it.
    fn uninterrupted_at(&self) -> Option<time::TimeMs> {
        self.lost_members().next()?;
        let counted = self.rosters.counted()?;
        let confirmed = |member: &roster::Member| Some(self.vote(member)?.confirmed_at);
        let at = counted.majority_value(confirmed)?;
        let two_terms = self.two_terms();
        let uninterrupted = |member: &roster::Member| {
            self.vote(member)
                .is_some_and(|hold| hold.confirmed_at >= at && hold.held_since + two_terms <= at)
        };
        counted.has_majority(uninterrupted).then_some(at)
    }

    fn lost_members(&self) -> impl Iterator<Item = Lost<'_>> {
        self.rosters.members().filter_map(|member| {
            let slot = self.workers.get(&member.worker)?;
            let lost = slot.hold.is_none() && !slot.lapsed;
            lost.then_some(Lost {
                worker: &member.worker,
                slot,
            })
        })
    }

    fn tasks_lapsed(&mut self, worker: &id::WorkerId) {
        let Some(slot) = self.workers.get_mut(worker) else {
            return;
        };
        slot.lapsed = true;
        if let Phase::Acting(tenure) = &mut self.phase
            && let Progress::Open(open) = &mut tenure.progress
        {
            open.remove(worker);
        }
        self.notify(LeadershipNotice::TasksSafeToRestart {
            worker: worker.clone(),
        });
    }

    /// A lost incarnation that is gone for good has no tasks left.
    pub(super) fn resolve_gone(&mut self, member: &roster::Member) {
        let slot = self.workers.get(&member.worker);
        let lost = slot.is_some_and(|slot| slot.hold.is_none() && !slot.lapsed);
        let counts = self.rosters.members().any(|known| known == member);
        if lost && counts && matches!(self.phase, Phase::Acting(_)) {
            self.tasks_lapsed(&member.worker);
        }
    }

    fn check_roster(&mut self, now: time::TimeMs) {
        let interval = self.config.roster_interval;
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        if now < tenure.next_roster_change_at {
            return;
        }
        tenure.next_roster_change_at = now + interval;
        if tenure.progress == Progress::Established {
            self.change_roster();
        }
    }
}

/// A member whose lease is lost.
struct Lost<'a> {
    worker: &'a id::WorkerId,
    slot: &'a slot::Slot,
}
