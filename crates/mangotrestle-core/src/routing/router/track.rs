//! State that a router keeps for services, targets and workers.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::collections::FastMap;
use crate::id;
use crate::routing::choice;
use crate::routing::latency::Latency;
use crate::routing::limit;
use crate::routing::outlier;
use crate::routing::retry;
use crate::routing::router::{Settings, Tried};
use crate::routing::snapshot;
use crate::routing::wait_queue;
use crate::time;

/// Minimum time between two computations of the median latency of a service's targets.
const MEDIAN_INTERVAL: time::SpanMs = time::SpanMs(50);
/// Initial concurrency limit of a new target.
const INITIAL_CONCURRENCY_LIMIT: u32 = 64;

/// Maximum number of teams with a separate retry budget at one service.
const MAX_TEAM_BUDGETS: usize = 1_024;

/// A slot that stays in use after its request was abandoned or timed out.
#[derive(Debug)]
pub(super) struct AbandonedSlot {
    pub until: time::TimeMs,
    pub job: id::JobId,
    pub index: u32,
    pub worker: id::WorkerId,
}

/// A request in a service's queue.
#[derive(Clone, Debug)]
pub(super) struct Waiting {
    pub idempotent: bool,
    pub deadline: time::TimeMs,
    pub tried: Tried,
    /// Whether the service had no ready target and no request in flight when the wait began.
    pub cold: bool,
}

/// This entry host's use of one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerTrack {
    pub in_use: u32,
    pub share: Option<snapshot::WorkerShare>,
    pub full_until: time::TimeMs,
    /// Targets on this worker: the service, and the position in the service's list of targets.
    pub targets: SmallVec<[(id::JobId, usize); 2]>,
}

impl WorkerTrack {
    /// Number of slots that may be used at `now`. A request needs a connection as well as a slot.
    pub fn slots(&self, now: time::TimeMs) -> u32 {
        match self.share {
            Some(share) if now <= share.expires_at && now >= self.full_until => {
                share.slots.min(share.connections)
            }
            _ => 0,
        }
    }
}

/// A report by a target or its worker that the target takes no requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    pub reported_at: time::TimeMs,
    /// When the target may get requests again, in case its state was temporary.
    pub until: time::TimeMs,
}

/// State of one target.
#[derive(Debug)]
pub(super) struct TargetTrack {
    pub in_use: u32,
    pub limit: limit::AdaptiveLimit,
    pub outlier: outlier::Tracker,
    pub absence: Option<Absence>,
    pub answered: u64,
    pub failed: u64,
}

impl TargetTrack {
    fn new() -> Self {
        Self {
            in_use: 0,
            limit: limit::AdaptiveLimit::new(INITIAL_CONCURRENCY_LIMIT),
            outlier: outlier::Tracker::default(),
            absence: None,
            answered: 0,
            failed: 0,
        }
    }

    /// Whether the target was reported to take no requests and the time until it may be tried again
    /// has not passed.
    pub fn is_unavailable(&self, now: time::TimeMs) -> bool {
        self.absence.is_some_and(|absence| now < absence.until)
    }
}

/// The targets of a service in one availability zone.
#[derive(Debug)]
pub(super) struct ZoneGroup {
    pub zone: id::AvailabilityZoneId,
    /// Whether this is the entry host's zone.
    pub is_own: bool,
    /// Positions in the service's list of targets.
    pub members: Vec<usize>,
    /// Latency of the answers from this zone.
    pub latency: Latency,
}

/// State of one service.
#[derive(Debug)]
pub(super) struct ServiceTrack {
    pub routes: Arc<snapshot::ServiceRoutes>,
    /// State of the targets, in the order of `routes.targets`.
    pub tracks: Vec<TargetTrack>,
    /// Targets by zone, with the entry host's own zone first.
    pub zones: Vec<ZoneGroup>,
    pub queue: wait_queue::WaitQueue<Waiting>,
    pub latency: Latency,
    pub in_use: u32,
    median_us: Option<u64>,
    median_computed_at: time::TimeMs,
    positions: FastMap<u32, usize>,
    budgets: FastMap<id::TeamId, retry::Budget>,
}

impl ServiceTrack {
    pub fn new(routes: &Arc<snapshot::ServiceRoutes>) -> Self {
        let no_routes = snapshot::ServiceRoutes::new(routes.job.clone(), routes.team.clone());
        Self {
            routes: Arc::new(no_routes),
            tracks: Vec::new(),
            zones: Vec::new(),
            queue: wait_queue::WaitQueue::new(),
            latency: Latency::default(),
            in_use: 0,
            median_us: None,
            median_computed_at: time::TimeMs(0),
            positions: FastMap::default(),
            budgets: FastMap::default(),
        }
    }

    /// Installs new routes. Keeps the state of targets that stay.
    pub fn install(
        &mut self,
        routes: &Arc<snapshot::ServiceRoutes>,
        own_zone: &id::AvailabilityZoneId,
    ) {
        if Arc::ptr_eq(&self.routes, routes) {
            return;
        }
        let old_routes = std::mem::replace(&mut self.routes, Arc::clone(routes));
        let mut old_tracks: Vec<Option<TargetTrack>> = self.tracks.drain(..).map(Some).collect();
        for target in &routes.targets {
            let old_track = self
                .positions
                .get(&target.index)
                .filter(|&&position| same_target(&old_routes.targets[position], target))
                .and_then(|&position| old_tracks[position].take());
            let mut track = old_track.unwrap_or_else(TargetTrack::new);
            clear_outdated_absence(&mut track, target);
            self.tracks.push(track);
        }
        self.positions = positions(routes);
        self.in_use = self.tracks.iter().map(|track| track.in_use).sum();
        self.group_by_zone(own_zone);
    }

    /// Returns the position of a target in the list of targets.
    pub fn position(&self, index: u32) -> Option<usize> {
        self.positions.get(&index).copied()
    }

    /// Returns the retry budget of a team at this service. Team names come from callers, so the
    /// number of budgets is bounded: all further teams share the budget of the service's owner.
    pub fn budget(
        &mut self,
        team: &id::TeamId,
        settings: &Settings,
        now: time::TimeMs,
    ) -> &mut retry::Budget {
        let has_budget = self.budgets.contains_key(team);
        let team = if has_budget || self.budgets.len() < MAX_TEAM_BUDGETS {
            team
        } else {
            &self.routes.team
        };
        self.budgets
            .entry(team.clone())
            .or_insert_with(|| settings.retry_budget.build(now))
    }

    /// Whether any target is ready, with or without free capacity.
    pub fn has_ready(&self, now: time::TimeMs) -> bool {
        (0..self.tracks.len()).any(|position| self.is_ready(now, position))
    }

    /// Whether a target takes requests, regardless of its free capacity.
    pub fn is_ready(&self, now: time::TimeMs, position: usize) -> bool {
        let target = &self.routes.targets[position];
        let ready = matches!(target.state, snapshot::TargetState::Ready { .. });
        ready && !self.tracks[position].is_unavailable(now)
    }

    /// Maximum number of requests that the target may have in flight at `now`, given the slots of
    /// its worker.
    pub fn concurrency_limit(
        &self,
        position: usize,
        now: time::TimeMs,
        slots: u32,
        settings: &Settings,
    ) -> u32 {
        let track = &self.tracks[position];
        let limit = track.limit.current(slots);
        let percent = self.slow_start_percent(position, now, settings);
        let slow_start_limit = u64::from(limit) * percent / 100;
        u32::try_from(slow_start_limit).unwrap_or(limit).max(1)
    }

    /// Percentage of its full load that a target should have, see [`choice::slow_start_percent`].
    pub fn slow_start_percent(
        &self,
        position: usize,
        now: time::TimeMs,
        settings: &Settings,
    ) -> u64 {
        let since = match self.routes.targets[position].state {
            snapshot::TargetState::Ready { since } => since,
            snapshot::TargetState::Leaving => return 100,
        };
        let readmitted_at = self.tracks[position].outlier.readmitted_at();
        let since = readmitted_at.map_or(since, |at| at.max(since));
        choice::slow_start_percent(now.since(since).0, settings.slow_start.0)
    }

    /// Median of the targets' mean latencies, recomputed at most every [`MEDIAN_INTERVAL`]; `None`
    /// if fewer than two targets have enough samples.
    pub fn median_us(&mut self, now: time::TimeMs, policy: &outlier::Policy) -> Option<u64> {
        if self.median_us.is_some() && now.since(self.median_computed_at) < MEDIAN_INTERVAL {
            return self.median_us;
        }
        let mut means: Vec<u64> = self
            .tracks
            .iter()
            .filter(|track| track.outlier.latency().samples() >= policy.min_samples)
            .filter_map(|track| track.outlier.latency().mean_us())
            .collect();
        if means.len() < 2 {
            return None;
        }
        let middle = (means.len() - 1) / 2;
        let (_, median, _) = means.select_nth_unstable(middle);
        self.median_us = Some(*median);
        self.median_computed_at = now;
        self.median_us
    }

    /// Returns the number of ready targets that are ejected or probed, and of all ready targets.
    pub fn count_ejected_and_ready(&self, now: time::TimeMs) -> (u32, u32) {
        let mut ejected = 0;
        let mut ready = 0;
        for position in 0..self.tracks.len() {
            if !self.is_ready(now, position) {
                continue;
            }
            ready += 1;
            if self.tracks[position].outlier.status(now) != outlier::Status::Active {
                ejected += 1;
            }
        }
        (ejected, ready)
    }

    /// Number of waiting requests per target, rounded up.
    pub fn waiting_per_target(&self) -> u32 {
        if self.queue.is_empty() || self.tracks.is_empty() {
            return 0;
        }
        let per_target = self.queue.len().div_ceil(self.tracks.len());
        u32::try_from(per_target).unwrap_or(u32::MAX)
    }

    /// Latency of the answers from one availability zone.
    pub fn zone_latency(&mut self, zone: &id::AvailabilityZoneId) -> Option<&mut Latency> {
        self.zones
            .iter_mut()
            .find(|group| group.zone == *zone)
            .map(|group| &mut group.latency)
    }

    fn group_by_zone(&mut self, own_zone: &id::AvailabilityZoneId) {
        let old_groups = std::mem::take(&mut self.zones);
        for (position, target) in self.routes.targets.iter().enumerate() {
            let zone = &target.availability_zone;
            match self.zones.iter_mut().find(|group| group.zone == *zone) {
                Some(group) => group.members.push(position),
                None => self.zones.push(ZoneGroup {
                    zone: zone.clone(),
                    is_own: zone == own_zone,
                    members: vec![position],
                    latency: latency_of(&old_groups, zone),
                }),
            }
        }
        self.zones.sort_by_key(|group| !group.is_own);
    }
}

fn positions(routes: &snapshot::ServiceRoutes) -> FastMap<u32, usize> {
    let targets = routes.targets.iter().enumerate();
    targets
        .map(|(position, target)| (target.index, position))
        .collect()
}

fn latency_of(groups: &[ZoneGroup], zone: &id::AvailabilityZoneId) -> Latency {
    groups
        .iter()
        .find(|group| group.zone == *zone)
        .map(|group| group.latency)
        .unwrap_or_default()
}

fn same_target(old: &snapshot::Target, new: &snapshot::Target) -> bool {
    old.worker == new.worker && old.address == new.address
}

/// Clears a report that is older than the time when the target became ready. Such a target is a new
/// run of the task.
fn clear_outdated_absence(track: &mut TargetTrack, target: &snapshot::Target) {
    let snapshot::TargetState::Ready { since } = target.state else {
        return;
    };
    if track
        .absence
        .is_some_and(|absence| absence.reported_at < since)
    {
        track.absence = None;
    }
}
