//! Steps before a majority is held: loading the roster, claiming workers, backing off.

use crate::id;
use crate::lease::leadership::{
    Leadership, LeadershipCommand, LeadershipNotice, Phase, worker_state,
};
use crate::lease::message;
use crate::lease::roster;
use crate::time;

impl Leadership {
    pub(super) fn set_preferred(&mut self, now: time::TimeMs, preferred: bool) {
        self.preferred = preferred;
        match (&self.phase, preferred) {
            (Phase::Idle, true) => self.start_campaign(now),
            // An acting leader continues until another one has claimed its workers.
            (Phase::Acting(_) | Phase::Idle, _) | (_, true) => {}
            (_, false) => self.end_campaign_or_tenure(Phase::Idle),
        }
    }

    pub(super) fn set_listed_workers(&mut self, now: time::TimeMs, workers: Vec<id::WorkerId>) {
        self.listed = workers.into_iter().collect();
        self.drop_unlisted();
        if !matches!(self.phase, Phase::Acting(_) | Phase::Claiming { .. }) {
            return;
        }
        for worker in self.listed.clone() {
            self.add_worker(now, &worker);
        }
    }

    pub(super) fn start_campaign(&mut self, now: time::TimeMs) {
        let until = now + self.config.answer_timeout;
        self.phase = Phase::Loading { until };
        self.commands.push(LeadershipCommand::LoadRoster);
    }

    /// Starts to claim every worker of the roster and of the host list.
    pub(super) fn begin_claims(&mut self, now: time::TimeMs) {
        self.forget_workers();
        let round_duration = self.config.answer_timeout + self.config.answer_timeout;
        self.phase = Phase::Claiming {
            until: now + round_duration,
        };
        let members = self.rosters.members().map(|member| member.worker.clone());
        let workers: Vec<id::WorkerId> = members.chain(self.listed.iter().cloned()).collect();
        for worker in workers {
            self.add_worker(now, &worker);
        }
    }

    /// Ends a campaign or a tenure and discards what is known about workers.
    pub(super) fn end_campaign_or_tenure(&mut self, next: Phase) {
        let sent_notices = matches!(self.phase, Phase::Acting(_) | Phase::Claiming { .. });
        self.phase = next;
        self.forget_workers();
        self.rosters.abandon();
        if sent_notices {
            self.notify(LeadershipNotice::LostMajority);
        }
    }

    /// Ends a campaign or a tenure; retries after a back-off if this entry host is still preferred.
    pub(super) fn back_off_or_idle(&mut self, now: time::TimeMs) {
        if !self.preferred {
            self.end_campaign_or_tenure(Phase::Idle);
            return;
        }
        let span = self.back_off_span(self.consecutive_losses);
        self.consecutive_losses = self.consecutive_losses.saturating_add(1);
        let until = now + span + self.jitter.below(span);
        self.end_campaign_or_tenure(Phase::BackingOff { until });
    }

    /// Enters the next phase when the present one has timed out or is complete.
    pub(super) fn advance_phase(&mut self, now: time::TimeMs) {
        match self.phase {
            Phase::BackingOff { until } if now >= until => self.start_campaign(now),
            Phase::Loading { until } if now >= until => self.roster_unavailable(now),
            Phase::Idle | Phase::BackingOff { .. } | Phase::Loading { .. } => {}
            Phase::Claiming { until } => self.advance_claims(now, until),
            Phase::Acting(_) => self.advance_tenure(now),
        }
    }

    fn advance_claims(&mut self, now: time::TimeMs, until: time::TimeMs) {
        if self.holds_majority(now) {
            self.become_acting(now);
            self.advance_tenure(now);
            return;
        }
        let complete = self.may_create_roster(now) && self.no_request_pending();
        if now < until && !complete {
            return;
        }
        if self.create_roster(now) {
            return;
        }
        self.back_off_or_idle(now);
    }

    fn no_request_pending(&self) -> bool {
        self.workers.values().all(|state| state.pending.is_none())
    }

    /// Whether unexpired leases on a majority of the roster are held.
    fn holds_majority(&self, now: time::TimeMs) -> bool {
        let Some(roster) = self.rosters.current() else {
            return false;
        };
        let enough = self.held_count > roster.members.len() / 2;
        enough
            && roster.has_majority(|member| self.vote_valid_until(member).is_some_and(|t| now < t))
    }

    /// Returns until when the vote of a member counts, `None` if its lease is not held.
    pub(super) fn vote_valid_until(&self, member: &roster::Member) -> Option<time::TimeMs> {
        let lease = self.vote(member)?;
        Some(lease.valid_until(self.config.term, self.config.drift))
    }

    /// Returns the held lease that counts as the vote of a member of the current roster.
    pub(super) fn vote(&self, member: &roster::Member) -> Option<&worker_state::HeldLease> {
        let state = self.workers.get(&member.worker)?;
        state.vote(member, self.rosters.version())
    }

    /// Records the incarnation with which a worker answers; members with older incarnations are
    /// gone.
    pub(super) fn note_incarnation(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        incarnation: id::Incarnation,
    ) {
        self.rosters.note_incarnation(now, worker, incarnation);
    }

    pub(super) fn incarnation_gone(&mut self, now: time::TimeMs, member: roster::Member) {
        self.mark_incarnation_gone(&member);
        self.rosters.note_gone(now, member);
    }

    /// Handles a worker's report of a newer roster by another leader: the roster is read before any
    /// further claims.
    pub(super) fn handle_stale_roster(&mut self, now: time::TimeMs) {
        match self.phase {
            Phase::Claiming { .. } => {
                self.rosters.forget();
                self.back_off_or_idle(now);
            }
            Phase::Acting(_) => self.commands.push(LeadershipCommand::LoadRoster),
            _ => {}
        }
    }

    /// Adds a worker that is not known yet and schedules its claim.
    fn add_worker(&mut self, now: time::TimeMs, worker: &id::WorkerId) {
        if !self.workers.contains_key(worker) {
            self.workers
                .insert(worker.clone(), worker_state::WorkerState::default());
            self.schedule(worker, now);
        }
    }

    /// Removes workers that are neither listed, nor members, nor held.
    fn drop_unlisted(&mut self) {
        let members: std::collections::BTreeSet<&id::WorkerId> = self
            .rosters
            .members()
            .map(|member| &member.worker)
            .collect();
        let (listed, timers) = (&self.listed, &mut self.timers);
        self.workers.retain(|worker, state| {
            let keep = state.lease.is_some() || listed.contains(worker) || members.contains(worker);
            if let Some(at) = state.timer_at.filter(|_| !keep) {
                timers.remove(&super::Timer {
                    at,
                    worker: worker.clone(),
                });
            }
            keep
        });
    }

    fn forget_workers(&mut self) {
        self.workers.clear();
        self.timers.clear();
        self.held_count = 0;
    }

    /// Returns the roster version to send in claims and renewals.
    pub(super) fn announced_version(&self) -> message::RosterVersion {
        self.rosters.announced_version()
    }
}
