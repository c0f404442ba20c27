//! Acting as the leader: renewals, the wait until starts are safe, lost workers.
//!
//! A tenure is the time from when a leader gains a majority until it loses it.

use std::collections::BTreeSet;

use crate::id;
use crate::lease::clock;
use crate::lease::leadership::{
    Leadership, LeadershipCommand, LeadershipNotice, Phase, worker_state,
};
use crate::lease::message;
use crate::lease::roster;
use crate::result_code::ResultCode;
use crate::time;

/// State of a tenure: of a leader that holds a majority.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Tenure {
    since: time::TimeMs,
    /// Until when a majority is held, as last computed. Renewals since then can only have extended
    /// it.
    pub(super) acting_until: time::TimeMs,
    /// Set after a pause or a refusal: messages sent since this time have to confirm the majority.
    recheck_from: Option<time::TimeMs>,
    progress: Progress,
    next_lapse_check_at: time::TimeMs,
    next_roster_change_at: time::TimeMs,
}

/// Progress towards certainty that no start of another leader is accepted any more.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum Progress {
    /// Leases on these members are not held, and their earlier runs may still be in progress.
    Accounting(BTreeSet<id::WorkerId>),
    /// All members are accounted for; these held ones have to confirm their leases in messages sent
    /// since `from`.
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

    /// Returns the earliest send time of a message that counts as a pending confirmation, `None` if
    /// no confirmation is pending.
    fn earliest_valid_confirmation(&self) -> Option<time::TimeMs> {
        let confirming = match &self.progress {
            Progress::Confirming { from, .. } => Some(*from),
            _ => None,
        };
        confirming.max(self.recheck_from)
    }
}

impl Leadership {
    /// Returns the tenure if a majority is held.
    pub(super) fn acting_tenure(&self, now: time::TimeMs) -> Option<&Tenure> {
        match &self.phase {
            Phase::Acting(tenure) if now < tenure.acting_until => Some(tenure),
            _ => None,
        }
    }

    /// Returns the tenure if starts are permitted.
    pub(super) fn established_tenure(&self, now: time::TimeMs) -> Option<&Tenure> {
        let paused = now.since(self.last_event_at) > self.config.pause_margin;
        self.acting_tenure(now).filter(|tenure| {
            let established = tenure.progress == Progress::Established;
            established && tenure.recheck_from.is_none() && !paused
        })
    }

    /// Returns the time after which everything that another leader granted before this one had a
    /// majority has expired: one term until that leader stops, one until its last leases expire.
    pub(super) fn two_terms(&self) -> time::SpanMs {
        let drift = self.config.drift;
        drift.max_span(self.config.term + self.config.term)
    }

    pub(super) fn become_acting(&mut self, now: time::TimeMs) {
        let unaccounted = self.unaccounted_members();
        self.phase = Phase::Acting(Tenure {
            since: now,
            acting_until: now,
            recheck_from: None,
            progress: Progress::Accounting(unaccounted),
            next_lapse_check_at: now + self.config.renew_interval,
            next_roster_change_at: now + self.config.roster_interval,
        });
        self.update_acting_until();
        self.notify(LeadershipNotice::BecameActing);
    }

    /// Rechecks the majority after a time without events, in which the process may have been
    /// paused.
    pub(super) fn detect_pause(&mut self, now: time::TimeMs) {
        if now.since(self.last_event_at) > self.config.pause_margin {
            self.recheck_majority(now);
        }
    }

    /// Ends the tenure when the majority has expired by this process's clock.
    pub(super) fn check_majority(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &self.phase else {
            return;
        };
        if now < tenure.acting_until {
            return;
        }
        self.update_acting_until();
        if self.acting_tenure(now).is_none() {
            self.lose_majority(now);
        }
    }

    fn lose_majority(&mut self, now: time::TimeMs) {
        if let Phase::Acting(tenure) = &self.phase
            && now.since(tenure.since) > self.two_terms()
        {
            self.consecutive_losses = 0;
        }
        self.back_off_or_idle(now);
    }

    /// Recomputes until when a majority is held.
    fn update_acting_until(&mut self) {
        let Some(current) = self.rosters.current() else {
            return;
        };
        let acting_until = current.majority_value(|member| self.vote_valid_until(member));
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.acting_until = acting_until.unwrap_or_default();
        }
    }

    /// Renews all leases, and permits no starts until a majority has confirmed.
    fn recheck_majority(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        tenure.recheck_from = Some(now);
        self.renew_all(now);
    }

    fn renew_all(&mut self, now: time::TimeMs) {
        let held = self
            .workers
            .iter()
            .filter(|(_, state)| state.lease.is_some());
        let without_pending = held.filter(|(_, state)| state.pending.is_none());
        let workers: Vec<id::WorkerId> =
            without_pending.map(|(worker, _)| worker.clone()).collect();
        for worker in workers {
            self.schedule(&worker, now);
        }
    }

    pub(super) fn send_renew(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let roster_version = self.announced_version();
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(lease) = &state.lease else {
            return;
        };
        let worker_time = lease.clock.earliest_reading(now, self.config.drift);
        let acknowledged: Vec<_> = state.acknowledged.iter().cloned().collect();
        let request = message::RenewRequest {
            worker_incarnation: lease.incarnation,
            epoch: lease.epoch,
            roster_version,
            lease_expires_ms: worker_time + self.config.term,
            acknowledged: acknowledged.clone(),
        };
        state.last_grant_at = Some(now);
        self.set_pending(
            worker,
            now,
            worker_state::RequestKind::Renew { acknowledged },
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
        pending: &worker_state::PendingRequest,
        granted: message::RenewGranted,
    ) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(lease) = &mut state.lease else {
            return;
        };
        lease.clock = clock::WorkerClock::new(granted.worker_time_ms, now);
        lease.confirmed_at = pending.sent_at;
        lease.roster_version = lease.roster_version.max(pending.roster_version);
        lease.leaving = granted.leaving;
        state.unanswered_requests = 0;
        if let worker_state::RequestKind::Renew { acknowledged } = &pending.kind {
            for run in acknowledged {
                state.acknowledged.remove(run);
            }
        }
        let next_renewal_at = match self
            .acting_tenure(now)
            .and_then(Tenure::earliest_valid_confirmation)
        {
            Some(from) if pending.sent_at < from => now,
            _ => self.renew_at(now),
        };
        self.schedule(worker, next_renewal_at);
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
        self.lose_lease(now, worker);
        let at = self.retry_at(now, worker);
        self.schedule(worker, at);
        if refusal.code == ResultCode::StaleEpoch {
            self.handle_fencing(now);
        }
    }

    pub(super) fn command_refused(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        epoch: message::Epoch,
        refusal: message::Refusal,
    ) {
        let lease = self
            .workers
            .get(worker)
            .and_then(|state| state.lease.as_ref());
        let is_current = lease.is_some_and(|lease| lease.epoch == epoch);
        if is_current && refusal.code == ResultCode::StaleEpoch {
            self.renew_refused(now, worker, refusal);
        }
    }

    /// Handles a sign that another leader is taking over: a preferred entry host rechecks its
    /// majority, any other ends its tenure.
    fn handle_fencing(&mut self, now: time::TimeMs) {
        if !self.preferred {
            self.end_campaign_or_tenure(Phase::Idle);
            return;
        }
        let rechecking = matches!(&self.phase, Phase::Acting(t) if t.recheck_from.is_some());
        if !rechecking {
            self.recheck_majority(now);
        }
    }

    /// Drops the lease on a worker. Its runs may continue until their leases expire.
    pub(super) fn lose_lease(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        if state.lease.take().is_none() {
            return;
        }
        self.held_count -= 1;
        self.mark_unaccounted(worker);
        self.notify(LeadershipNotice::WorkerLeaseLost {
            worker: worker.clone(),
        });
        let majority_lost = self
            .rosters
            .current()
            .is_some_and(|current| self.held_count <= current.members.len() / 2);
        if majority_lost && matches!(self.phase, Phase::Acting(_)) {
            self.lose_majority(now);
        }
    }

    /// Adds a member whose lease is lost to the unaccounted ones, unless starts are permitted
    /// already.
    fn mark_unaccounted(&mut self, worker: &id::WorkerId) {
        let is_member = self
            .rosters
            .members()
            .any(|member| member.worker == *worker);
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        match &mut tenure.progress {
            Progress::Accounting(unaccounted) if is_member => {
                unaccounted.insert(worker.clone());
            }
            Progress::Confirming { .. } if is_member => {
                tenure.progress = Progress::Accounting(BTreeSet::from([worker.clone()]));
            }
            _ => {}
        }
    }

    /// Records a granted claim. `held_by_rival` means that another leader held the worker in
    /// between.
    pub(super) fn lease_gained(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        held_by_rival: bool,
    ) {
        if held_by_rival {
            self.reset_accounting(now);
        }
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        if let Progress::Accounting(unaccounted) = &mut tenure.progress {
            unaccounted.remove(worker);
        }
    }

    /// Accounts for all members anew, because another leader held a worker in between.
    fn reset_accounting(&mut self, now: time::TimeMs) {
        if !matches!(self.phase, Phase::Acting(_)) {
            return;
        }
        for state in self.workers.values_mut() {
            state.runs_lapsed = false;
        }
        let unaccounted = self.unaccounted_members();
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.progress = Progress::Accounting(unaccounted);
            tenure.next_lapse_check_at = now + self.config.renew_interval;
        }
    }

    /// Recomputes the unaccounted members after the roster changed before starts were permitted.
    fn recompute_unaccounted(&mut self) {
        let unaccounted = self.unaccounted_members();
        if let Phase::Acting(tenure) = &mut self.phase
            && tenure.progress != Progress::Established
        {
            tenure.progress = Progress::Accounting(unaccounted);
        }
    }

    fn unaccounted_members(&self) -> BTreeSet<id::WorkerId> {
        let members = self.rosters.members();
        let unaccounted = members.filter(|member| {
            let state = self.workers.get(&member.worker);
            state.is_none_or(|state| state.lease.is_none() && !state.runs_lapsed)
        });
        unaccounted.map(|member| member.worker.clone()).collect()
    }

    pub(super) fn advance_tenure(&mut self, now: time::TimeMs) {
        if self.adopt_announced() {
            self.update_acting_until();
            self.recompute_unaccounted();
        }
        self.finish_recheck();
        self.check_lapses(now);
        self.advance_progress(now);
        self.change_roster_if_due(now);
        self.run_timers(now);
    }

    fn finish_recheck(&mut self) {
        let Phase::Acting(tenure) = &self.phase else {
            return;
        };
        let Some(from) = tenure.recheck_from else {
            return;
        };
        let Some(current) = self.rosters.current() else {
            return;
        };
        let confirmed = |member: &roster::Member| {
            let lease = self.vote(member);
            lease.is_some_and(|lease| lease.confirmed_at >= from)
        };
        if !current.has_majority(confirmed) {
            return;
        }
        if let Phase::Acting(tenure) = &mut self.phase {
            tenure.recheck_from = None;
        }
    }

    /// Advances towards permitting starts when the present step is complete.
    fn advance_progress(&mut self, now: time::TimeMs) {
        let Phase::Acting(tenure) = &mut self.phase else {
            return;
        };
        match &tenure.progress {
            Progress::Accounting(unaccounted) if unaccounted.is_empty() => self.confirm_leases(now),
            Progress::Confirming { unconfirmed, .. } if unconfirmed.is_empty() => {
                tenure.progress = Progress::Established;
                self.notify(LeadershipNotice::MayStart);
            }
            _ => {}
        }
    }

    /// Requests a confirmation of every held lease, once all members are accounted for.
    fn confirm_leases(&mut self, now: time::TimeMs) {
        let held = self.rosters.members().filter(|member| {
            let state = self.workers.get(&member.worker);
            state.is_some_and(|state| state.lease.is_some())
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

    /// Marks the lost workers whose earlier runs must all have ended because their leases expired.
    fn check_lapses(&mut self, now: time::TimeMs) {
        let interval = time::SpanMs(self.config.renew_interval.0.div_ceil(8));
        match &mut self.phase {
            Phase::Acting(tenure) if now >= tenure.next_lapse_check_at => {
                tenure.next_lapse_check_at = now + interval;
            }
            _ => return,
        }
        let Some(confirmed_at) = self.uninterrupted_majority_at() else {
            return;
        };
        let max_term = self.config.drift.max_span(self.config.term);
        let lapsed: Vec<id::WorkerId> = self
            .lost_members()
            .filter(|lost| {
                let granted = lost.state.last_grant_at;
                granted.is_none_or(|granted| granted + max_term <= confirmed_at)
            })
            .map(|lost| lost.worker.clone())
            .collect();
        for worker in lapsed {
            self.mark_runs_lapsed(&worker);
        }
    }

    /// Returns the latest time by which a majority of the members confirmed their leases. `None`
    /// unless a majority of leases cannot have been held by another leader during the two terms
    /// before that time. Also `None` if no member is lost.
    fn uninterrupted_majority_at(&self) -> Option<time::TimeMs> {
        self.lost_members().next()?;
        let current = self.rosters.current()?;
        let confirmed = |member: &roster::Member| Some(self.vote(member)?.confirmed_at);
        let at = current.majority_value(confirmed)?;
        let two_terms = self.two_terms();
        let uninterrupted = |member: &roster::Member| {
            self.vote(member)
                .is_some_and(|lease| lease.confirmed_at >= at && lease.held_since + two_terms <= at)
        };
        current.has_majority(uninterrupted).then_some(at)
    }

    fn lost_members(&self) -> impl Iterator<Item = LostMember<'_>> {
        self.rosters.members().filter_map(|member| {
            let state = self.workers.get(&member.worker)?;
            let lost = state.lease.is_none() && !state.runs_lapsed;
            lost.then_some(LostMember {
                worker: &member.worker,
                state,
            })
        })
    }

    fn mark_runs_lapsed(&mut self, worker: &id::WorkerId) {
        let Some(state) = self.workers.get_mut(worker) else {
            return;
        };
        state.runs_lapsed = true;
        if let Phase::Acting(tenure) = &mut self.phase
            && let Progress::Accounting(unaccounted) = &mut tenure.progress
        {
            unaccounted.remove(worker);
        }
        self.notify(LeadershipNotice::TasksSafeToRestart {
            worker: worker.clone(),
        });
    }

    /// Marks the runs of a lost incarnation as ended once that incarnation is known to be gone.
    pub(super) fn mark_incarnation_gone(&mut self, member: &roster::Member) {
        let state = self.workers.get(&member.worker);
        let lost = state.is_some_and(|state| state.lease.is_none() && !state.runs_lapsed);
        let is_current = self.rosters.members().any(|known| known == member);
        if lost && is_current && matches!(self.phase, Phase::Acting(_)) {
            self.mark_runs_lapsed(&member.worker);
        }
    }

    fn change_roster_if_due(&mut self, now: time::TimeMs) {
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
struct LostMember<'a> {
    worker: &'a id::WorkerId,
    state: &'a worker_state::WorkerState,
}
