//! Keeps each team within its share of its cap, and puts its surplus work last.
//!
//! Load that this answers: a team that sends many times its usual, and caps below what a team sends. A
//! unit for which its team's share has no room waits without holding up other teams. Its need is set
//! aside, so that the team's less urgent work does not keep a large unit waiting for good.

use std::sync::Arc;

use crate::collections::FastMap;
use crate::resources::Resources;
use crate::time::TimeMs;

use super::super::job::{Job, MemberKey, StepKey, UnitKey};
use super::super::spec::JobRecord;
use super::super::teams::TeamEntry;
use super::super::teams::account::{BlockedWork, TeamRun};
use super::super::teams::shares::{ShareRow, ShareWrite};
use super::placing::PlacementRequest;
use super::{Note, Pool};

/// Room of the teams in one placement pass.
#[derive(Default)]
pub(super) struct TeamRooms<'a> {
    /// What each team may still start; `None` if there is no limit.
    left: FastMap<&'a Arc<str>, Option<Resources>>,
    /// Each team's units for which there was no room.
    blocked: FastMap<Arc<str>, BlockedWork>,
}

impl<'a> TeamRooms<'a> {
    /// Whether a unit's team has room for it; if not, the need is set aside, unless the unit could not run
    /// within the team's cap at all.
    pub(super) fn admits(&mut self, pool: &Pool, request: &PlacementRequest<'a>) -> bool {
        let Some(team) = &request.job.record.team else {
            return true;
        };
        let left = self.left.entry(team);
        let Some(left) = left.or_insert_with(|| pool.teams.room(team)) else {
            return true;
        };
        let need = request.total_need();
        let fits = need.fits_in(left);
        if !fits && pool.teams.is_within_cap(team, &need) {
            *left -= need;
            let blocked = self.blocked.entry(Arc::clone(team)).or_default();
            blocked.add(need);
        }
        fits
    }

    /// Takes the room for a unit that is assigned.
    pub(super) fn take(&mut self, request: &PlacementRequest<'a>) {
        let team = request.job.record.team.as_ref();
        if let Some(Some(left)) = team.and_then(|team| self.left.get_mut(team)) {
            *left -= request.total_need();
        }
    }

    /// Returns each team's units for which there was no room.
    pub(super) fn into_blocked(self) -> FastMap<Arc<str>, BlockedWork> {
        self.blocked
    }
}

impl Pool {
    /// Takes the teams of a new configuration.
    pub fn configure_teams(&mut self, now: TimeMs, teams: &[TeamEntry]) {
        self.teams.configure(now, teams);
        self.placing_due = true;
    }

    /// Takes a team's row as read from the store or written there.
    pub fn share_observed(&mut self, now: TimeMs, team: &Arc<str>, row: ShareRow, version: u64) {
        self.teams.observe_row(now, team, row, version);
        self.placing_due = true;
    }

    /// Returns the writes of teams' rows that are due, at most `max`. `pools` is the number of pools
    /// that there are.
    pub fn take_share_writes(
        &mut self,
        now: TimeMs,
        pools: u32,
        max: usize,
    ) -> Vec<(Arc<str>, ShareWrite)> {
        self.teams.take_writes(now, pools, max)
    }

    /// Marks a new job as surplus if its team sends more than it is promised.
    pub(super) fn mark_surplus(&mut self, now: TimeMs, record: &mut Arc<JobRecord>) {
        let Some(team) = record.team.clone() else {
            return;
        };
        if !record.surplus && !self.teams.take_promise(now, &team) {
            Arc::make_mut(record).surplus = true;
        }
    }

    /// Counts a member that is assigned to a worker from now on.
    pub(super) fn count_assigned(&mut self, now: TimeMs, record: &JobRecord, key: &MemberKey) {
        if let Some(team) = &record.team {
            self.teams.add_run(now, team, team_run(record, key));
        }
    }

    /// Counts a unit that is assigned to workers as a whole.
    pub(super) fn count_unit(&mut self, key: &UnitKey) {
        let Some(job) = self.jobs.get(&key.step.job) else {
            return;
        };
        let spec = job.record.steps.get(key.step.step as usize);
        if let (Some(team), Some(spec)) = (&job.record.team, spec) {
            let unit = spec.need.times(spec.unit_size());
            self.teams.unit_started(team, &unit);
        }
    }

    /// Counts a member that is assigned no more.
    pub(super) fn count_released(&mut self, record: &JobRecord, key: &MemberKey) {
        if let Some(team) = &record.team {
            self.teams.remove_run(team, team_run(record, key));
        }
    }

    /// Whether the runs of a job's team are within its limit, which may have shrunk.
    pub(super) fn is_within_team_limit(&self, job: &Job) -> bool {
        let team = job.record.team.as_deref();
        team.is_none_or(|team| self.teams.is_within_limit(team))
    }

    /// Whether a step's team has room for one of its units.
    pub(super) fn team_has_room(&self, key: &StepKey) -> bool {
        let Some(job) = self.jobs.get(&key.job) else {
            return true;
        };
        let room = job.record.team.as_ref();
        let room = room.and_then(|team| self.teams.room(team));
        let spec = job.record.steps.get(key.step as usize);
        room.is_none_or(|room| {
            spec.is_none_or(|spec| spec.need.times(spec.unit_size()).fits_in(&room))
        })
    }

    /// Whether urgent work may have other runs stopped for it: it is promised, and its team has room.
    pub(super) fn may_preempt(&self, key: &UnitKey) -> bool {
        let job = self.jobs.get(&key.step.job);
        let surplus = job.is_some_and(|job| job.record.surplus);
        !surplus && self.team_has_room(&key.step)
    }

    /// Records the need for which teams have no room, and notes the teams for which that begins or
    /// ends.
    pub(super) fn set_teams_blocked(&mut self, blocked: &FastMap<Arc<str>, BlockedWork>) {
        for team in self.teams.set_blocked(blocked) {
            if let Some(usage) = self.teams.usage(&team) {
                self.notes.push(Note::TeamAtLimit { team, usage });
            }
        }
    }
}

/// Returns a member's run as it counts against its team's cap.
fn team_run(record: &JobRecord, key: &MemberKey) -> TeamRun {
    let spec = &record.steps[key.unit.step.step as usize];
    TeamRun {
        need: spec.need,
        is_lasting: spec.persistent,
    }
}
