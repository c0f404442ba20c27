//! Counts what each team has running in one pool, against the pool's share of the team's cap.
//!
//! A run counts from its assignment until it has certainly ended: unanswered orders, runs that are
//! being stopped and runs on workers that do not answer all count.

use std::sync::Arc;

use crate::collections::FastMap;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::TeamEntry;
use super::rate::PromisedRate;
use super::shares::{Demand, Parts, ShareHolder, ShareRow, ShareWrite, WHOLE};

/// Minimum time between two writes of one team's row by one pool.
const MIN_WRITE_INTERVAL: SpanMs = SpanMs(100);
/// Time for which a pool keeps its turn after it has got room for the unit, until a worker has room too.
const TURN_HOLD_TIME: SpanMs = SpanMs(1_000);
/// Time for which a pool claims nothing for a unit after it has given its turn up, so that others can use
/// the cap.
const TURN_PAUSE: SpanMs = SpanMs(2_000);

/// A team's account in one pool.
#[derive(Clone, Debug)]
pub struct TeamAccount {
    /// What the team may have running in all pools; zero of a resource means no limit.
    cap: Resources,
    /// Whether the configuration lists the team.
    listed: bool,
    /// Total need of the runs that may be on workers.
    used: Resources,
    /// Total need of the runs that last until their job is cancelled.
    lasting: Resources,
    /// The waiting work for which the share has no room.
    blocked: BlockedWork,
    /// Need of the unit for which the pool has its turn or wants one; zero if it wants none.
    turn_unit: Resources,
    /// When the pool gives its turn up, since no worker has room for the unit; unset while the share has
    /// none.
    turn_held_until: Option<TimeMs>,
    pause: TurnPause,
    shares: ShareHolder,
    written_at: Option<TimeMs>,
    rate: PromisedRate,
}

impl TeamAccount {
    fn new(now: TimeMs) -> Self {
        Self {
            cap: Resources::ZERO,
            listed: false,
            used: Resources::ZERO,
            lasting: Resources::ZERO,
            blocked: BlockedWork::default(),
            turn_unit: Resources::ZERO,
            turn_held_until: None,
            pause: TurnPause::default(),
            shares: ShareHolder::default(),
            written_at: None,
            rate: PromisedRate::new(now, 0.0),
        }
    }

    fn is_capped(&self) -> bool {
        self.listed && self.cap != Resources::ZERO
    }

    fn demand(&self) -> Demand {
        // Nothing is claimed for units behind one that has to pause, since they do not pass it.
        let waiting = if self.blocked.is_none() || self.turn_unit == Resources::ZERO {
            self.turn_unit
        } else {
            self.blocked.total
        };
        Demand {
            used: Parts::taken_by(&self.used, &self.cap),
            needed: Parts::taken_by(&(self.used + waiting), &self.cap),
            lasting: Parts::taken_by(&self.lasting, &self.cap),
            unit: Parts::taken_by(&self.turn_unit, &self.cap),
        }
    }

    /// Finds out for which unit the pool should have a turn. While the share has room for the unit and no
    /// worker has, the turn is kept for a while, then left to others.
    fn update_turn(&mut self, now: TimeMs, pool: &str) {
        let has_turn = self.shares.open_turn(pool).is_some();
        if !self.blocked.is_none() {
            self.turn_held_until = None;
            let pauses = !has_turn && self.pause.applies_to(now, &self.blocked.first);
            self.turn_unit = if pauses {
                Resources::ZERO
            } else {
                self.blocked.first
            };
        } else if !has_turn {
            self.turn_held_until = None;
            self.turn_unit = Resources::ZERO;
        } else if now >= *self.turn_held_until.get_or_insert(now + TURN_HOLD_TIME) {
            self.pause = TurnPause {
                unit: self.turn_unit,
                until: now + TURN_PAUSE,
            };
            self.turn_unit = Resources::ZERO;
        }
    }

    /// Whether a unit that is started is the one for which the pool has its turn.
    fn ends_turn(&self, pool: &str, unit: &Resources) -> bool {
        self.turn_unit != Resources::ZERO
            && self.shares.open_turn(pool).is_some()
            && Parts::taken_by(unit, &self.cap)
                .contain(&Parts::taken_by(&self.turn_unit, &self.cap))
    }
}

/// Time in which a pool claims nothing for units like the one for which it gave its turn up.
#[derive(Clone, Copy, Debug, Default)]
struct TurnPause {
    /// Need of that unit.
    unit: Resources,
    until: TimeMs,
}

impl TurnPause {
    fn applies_to(&self, now: TimeMs, unit: &Resources) -> bool {
        now < self.until && self.unit.fits_in(unit)
    }
}

/// A team's waiting work for which a pool's share of the cap has no room.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BlockedWork {
    /// Total need.
    pub total: Resources,
    /// Need of the unit that comes first.
    pub first: Resources,
}

impl BlockedWork {
    /// Adds a unit that comes after those before.
    pub fn add(&mut self, need: Resources) {
        if self.is_none() {
            self.first = need;
        }
        self.total += need;
    }

    fn is_none(&self) -> bool {
        self.total == Resources::ZERO
    }
}

/// A run as it counts against its team's cap.
#[derive(Clone, Copy, Debug)]
pub struct TeamRun {
    /// What it takes.
    pub need: Resources,
    /// Whether it lasts until its job is cancelled.
    pub is_lasting: bool,
}

/// Room of a team for more runs, as an operator sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TeamUsage {
    /// Total need of the runs that may be on workers.
    pub used: Resources,
    /// What the pool's share of the cap allows.
    pub limit: Resources,
    /// The waiting work for which the share has no room.
    pub blocked: BlockedWork,
}

/// The accounts of all teams in one pool.
#[derive(Clone, Debug)]
pub struct TeamAccounts {
    pool: String,
    term: u64,
    teams: FastMap<Arc<str>, TeamAccount>,
}

impl TeamAccounts {
    /// Returns the accounts of a pool whose leader has this term.
    #[must_use]
    pub fn new(pool: &str, term: u64) -> Self {
        Self {
            pool: pool.to_owned(),
            term,
            teams: FastMap::default(),
        }
    }

    /// Takes the teams of a new configuration. A team that it does not list keeps its runs and has no
    /// cap.
    pub fn configure(&mut self, now: TimeMs, entries: &[TeamEntry]) {
        for account in self.teams.values_mut() {
            account.listed = false;
        }
        for entry in entries {
            let account = self.account_mut(now, &Arc::from(entry.name.as_str()));
            account.listed = true;
            account.cap = entry.cap;
            account.rate.set_rate(now, entry.rate_per_s);
        }
    }

    fn account_mut(&mut self, now: TimeMs, team: &Arc<str>) -> &mut TeamAccount {
        let accounts = self.teams.entry(Arc::clone(team));
        accounts.or_insert_with(|| TeamAccount::new(now))
    }

    /// Counts a run of a team that may be on a worker from now on.
    pub fn add_run(&mut self, now: TimeMs, team: &Arc<str>, run: TeamRun) {
        let account = self.account_mut(now, team);
        account.used += run.need;
        if run.is_lasting {
            account.lasting += run.need;
        }
    }

    /// Counts a run of a team that has certainly ended.
    pub fn remove_run(&mut self, team: &str, run: TeamRun) {
        if let Some(account) = self.teams.get_mut(team) {
            account.used -= run.need;
            if run.is_lasting {
                account.lasting -= run.need;
            }
        }
    }

    /// Records that a unit of a team was started.
    pub fn unit_started(&mut self, team: &str, unit: &Resources) {
        let pool = &self.pool;
        if let Some(account) = self.teams.get_mut(team)
            && account.ends_turn(pool, unit)
        {
            account.shares.end_turn(pool);
        }
    }

    /// Whether a unit could run within its team's cap if nothing else of the team did.
    #[must_use]
    pub fn is_within_cap(&self, team: &str, unit: &Resources) -> bool {
        let capped = self.teams.get(team).filter(|account| account.is_capped());
        capped.is_none_or(|account| {
            let whole = Parts([WHOLE; 3]);
            whole.contain(&Parts::taken_by(unit, &account.cap))
        })
    }

    /// Counts a new job of a team. Returns whether the team is promised that it is run.
    pub fn take_promise(&mut self, now: TimeMs, team: &str) -> bool {
        let account = self.teams.get_mut(team);
        account.is_none_or(|account| account.rate.take(now))
    }

    /// Returns what a team may have running in this pool; `None` if there is no limit.
    #[must_use]
    pub fn limit(&self, team: &str) -> Option<Resources> {
        let account = self.teams.get(team)?;
        account.is_capped().then(|| {
            let usable = account.shares.usable(&self.pool, self.term);
            usable.of_cap(&account.cap)
        })
    }

    /// Returns what a team may start beyond its runs; `None` if there is no limit.
    #[must_use]
    pub fn room(&self, team: &str) -> Option<Resources> {
        let account = self.teams.get(team)?;
        account.is_capped().then(|| {
            let startable = account.shares.startable(&self.pool, self.term);
            startable.of_cap(&account.cap) - account.used
        })
    }

    /// Whether a team's runs are within what it may have running here.
    #[must_use]
    pub fn is_within_limit(&self, team: &str) -> bool {
        let used = self.teams.get(team).map(|account| account.used);
        let limit = self.limit(team);
        limit.is_none_or(|limit| used.is_none_or(|used| used.fits_in(&limit)))
    }

    /// Records the waiting work for which the teams' shares have no room; that of other teams has
    /// room. Returns the teams for which this begins or ends.
    pub fn set_blocked(&mut self, blocked: &FastMap<Arc<str>, BlockedWork>) -> Vec<Arc<str>> {
        let mut changed = Vec::new();
        for (team, account) in &mut self.teams {
            let before = account.blocked;
            account.blocked = blocked.get(team).copied().unwrap_or_default();
            if before.is_none() != account.blocked.is_none() {
                changed.push(Arc::clone(team));
            }
        }
        changed
    }

    /// Returns the teams whose waiting work has no room in their share.
    pub fn blocked_teams(&self) -> impl Iterator<Item = &Arc<str>> {
        let teams = self.teams.iter();
        teams
            .filter(|(_, account)| !account.blocked.is_none())
            .map(|(team, _)| team)
    }

    /// Returns the teams that send more jobs than they are promised.
    pub fn teams_beyond_rate(&self, now: TimeMs) -> impl Iterator<Item = &Arc<str>> {
        let teams = self.teams.iter();
        teams
            .filter(move |(_, account)| account.rate.is_exceeded(now))
            .map(|(team, _)| team)
    }

    /// Returns what a team uses and may use here; `None` if it has no cap.
    #[must_use]
    pub fn usage(&self, team: &str) -> Option<TeamUsage> {
        let account = self.teams.get(team)?;
        Some(TeamUsage {
            used: account.used,
            limit: self.limit(team)?,
            blocked: account.blocked,
        })
    }

    /// Takes a team's row as read from the store or written there.
    pub fn observe_row(&mut self, now: TimeMs, team: &Arc<str>, row: ShareRow, version: u64) {
        self.account_mut(now, team).shares.observe(row, version);
    }

    /// Returns the writes that are due, at most `max`; those of teams with waiting work first. `pools`
    /// is the number of pools that there are.
    pub fn take_writes(
        &mut self,
        now: TimeMs,
        pools: u32,
        max: usize,
    ) -> Vec<(Arc<str>, ShareWrite)> {
        let due = |account: &TeamAccount| {
            let written_at = account.written_at;
            account.is_capped() && written_at.is_none_or(|at| now.since(at) >= MIN_WRITE_INTERVAL)
        };
        let accounts = self.teams.iter_mut();
        let mut accounts: Vec<_> = accounts.filter(|(_, account)| due(account)).collect();
        accounts.sort_by_key(|(team, account)| {
            let is_idle = account.used == Resources::ZERO && account.blocked.is_none();
            (is_idle, Arc::clone(team))
        });
        let mut writes = Vec::new();
        for (team, account) in accounts {
            if writes.len() >= max {
                break;
            }
            account.update_turn(now, &self.pool);
            let demand = account.demand();
            if let Some(write) = account
                .shares
                .propose(&self.pool, self.term, &demand, pools)
            {
                account.written_at = Some(now);
                writes.push((Arc::clone(team), write));
            }
        }
        writes
    }
}
