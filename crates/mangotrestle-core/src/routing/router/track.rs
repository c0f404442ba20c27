//! What a router remembers about services, targets and workers.

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

/// Time between two looks at the median latency of a service's targets.
const MEDIAN_INTERVAL: time::SpanMs = time::SpanMs(50);
/// Concurrency that a new target's adaptive limit starts from.
const INITIAL_LIMIT: u32 = 64;

/// Teams with a retry budget of their own at one service.
const MAX_TEAM_BUDGETS: usize = 1_024;

/// A slot that stays taken after its request was abandoned.
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
    /// Whether the service had a ready target when the wait began.
    pub cold: bool,
}

/// One worker, as far as this entry host uses it.
#[derive(Debug, Default)]
pub(super) struct WorkerTrack {
    pub in_use: u32,
    pub share: Option<snapshot::WorkerShare>,
    pub full_until: time::TimeMs,
    /// Targets on this worker: the service and the position in its list.
    pub targets: SmallVec<[(id::JobId, usize); 2]>,
}

impl WorkerTrack {
    /// Slots that may be used now. A request needs a connection as well as a slot.
    pub fn slots(&self, now: time::TimeMs) -> u32 {
        match self.share {
            Some(share) if now <= share.expires_at && now >= self.full_until => {
                share.slots.min(share.connections)
            }
            _ => 0,
        }
    }
}

/// A target's own word that it takes nothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Absence {
    pub said_at: time::TimeMs,
    /// When it may be asked again, in case the word was about a passing state.
    pub until: time::TimeMs,
}

/// One target.
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
            limit: limit::AdaptiveLimit::new(INITIAL_LIMIT),
            outlier: outlier::Tracker::default(),
            absence: None,
            answered: 0,
            failed: 0,
        }
    }

    /// Whether the target said that it takes nothing, and was not given time to change its mind.
    pub fn is_absent(&self, now: time::TimeMs) -> bool {
        self.absence.is_some_and(|absence| now < absence.until)
    }
}

/// The targets of a service in one availability zone.
#[derive(Debug)]
pub(super) struct ZoneGroup {
    pub zone: id::AvailabilityZoneId,
    pub own: bool,
    /// Positions in the service's list of targets.
    pub members: Vec<usize>,
    /// Latency of this zone's answers.
    pub latency: Latency,
}

/// One service.
#[derive(Debug)]
pub(super) struct ServiceTrack {
    pub routes: Arc<snapshot::ServiceRoutes>,
    /// In the order of the routes' targets.
    pub tracks: Vec<TargetTrack>,
    /// The entry host's own zone first.
    pub zones: Vec<ZoneGroup>,
    pub queue: wait_queue::WaitQueue<Waiting>,
    pub latency: Latency,
    pub in_use: u32,
    median_us: Option<u64>,
    median_at: time::TimeMs,
    positions: FastMap<u32, usize>,
    budgets: FastMap<id::TeamId, retry::Budget>,
}

impl ServiceTrack {
    pub fn new(routes: &Arc<snapshot::ServiceRoutes>) -> Self {
        let nothing = snapshot::ServiceRoutes::new(routes.job.clone(), routes.team.clone());
        Self {
            routes: Arc::new(nothing),
            tracks: Vec::new(),
            zones: Vec::new(),
            queue: wait_queue::WaitQueue::new(),
            latency: Latency::default(),
            in_use: 0,
            median_us: None,
            median_at: time::TimeMs(0),
            positions: FastMap::default(),
            budgets: FastMap::default(),
        }
    }

    /// Takes over new routes, keeping what is known about targets that stay.
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
            let kept = self
                .positions
                .get(&target.index)
                .filter(|&&position| same_target(&old_routes.targets[position], target))
                .and_then(|&position| old_tracks[position].take());
            let mut track = kept.unwrap_or_else(TargetTrack::new);
            forget_departure(&mut track, target);
            self.tracks.push(track);
        }
        self.positions = positions(routes);
        self.in_use = self.tracks.iter().map(|track| track.in_use).sum();
        self.regroup(own_zone);
    }

    /// Position of a target in the list.
    pub fn position(&self, index: u32) -> Option<usize> {
        self.positions.get(&index).copied()
    }

    /// Retry budget of a team at this service. Names of teams come from callers: beyond a bound
    /// the rest shares the budget of the service's owner.
    pub fn budget(
        &mut self,
        team: &id::TeamId,
        settings: &Settings,
        now: time::TimeMs,
    ) -> &mut retry::Budget {
        let known = self.budgets.contains_key(team);
        let team = if known || self.budgets.len() < MAX_TEAM_BUDGETS {
            team
        } else {
            &self.routes.team
        };
        self.budgets
            .entry(team.clone())
            .or_insert_with(|| settings.retry_budget.build(now))
    }

    /// Targets that are ready, whether or not they have room.
    pub fn has_ready(&self, now: time::TimeMs) -> bool {
        (0..self.tracks.len()).any(|position| self.is_ready(now, position))
    }

    /// Whether a target takes requests at all.
    pub fn is_ready(&self, now: time::TimeMs, position: usize) -> bool {
        let target = &self.routes.targets[position];
        let ready = matches!(target.state, snapshot::TargetState::Ready { .. });
        ready && !self.tracks[position].is_absent(now)
    }

    /// Requests that the target may have in flight now, given the slots of its worker.
    pub fn allowance(
        &self,
        position: usize,
        now: time::TimeMs,
        slots: u32,
        settings: &Settings,
    ) -> u32 {
        let track = &self.tracks[position];
        let limit = track.limit.current(slots);
        let percent = self.warmth_percent(position, now, settings);
        let warmed = u64::from(limit) * percent / 100;
        u32::try_from(warmed).unwrap_or(limit).max(1)
    }

    /// How much of its full load a target should have, see [`choice::slow_start_percent`].
    pub fn warmth_percent(&self, position: usize, now: time::TimeMs, settings: &Settings) -> u64 {
        let since = match self.routes.targets[position].state {
            snapshot::TargetState::Ready { since } => since,
            snapshot::TargetState::Leaving => return 100,
        };
        let readmitted = self.tracks[position].outlier.readmitted_at();
        let since = readmitted.map_or(since, |at| at.max(since));
        choice::slow_start_percent(now.since(since).0, settings.slow_start.0)
    }

    /// Median latency of the targets that are in, looked at now and then.
    pub fn median_us(&mut self, now: time::TimeMs, policy: &outlier::Policy) -> Option<u64> {
        if self.median_us.is_some() && now.since(self.median_at) < MEDIAN_INTERVAL {
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
        self.median_at = now;
        self.median_us
    }

    /// Targets that are left out, and all that are ready or left out.
    pub fn ejected_of_ready(&self, now: time::TimeMs) -> (u32, u32) {
        let mut ejected = 0;
        let mut ready = 0;
        for position in 0..self.tracks.len() {
            if !self.is_ready(now, position) {
                continue;
            }
            ready += 1;
            if self.tracks[position].outlier.standing(now) != outlier::Standing::In {
                ejected += 1;
            }
        }
        (ejected, ready)
    }

    /// What waits, spread over the targets.
    pub fn waiting_per_target(&self) -> u32 {
        if self.queue.is_empty() || self.tracks.is_empty() {
            return 0;
        }
        let part = self.queue.len().div_ceil(self.tracks.len());
        u32::try_from(part).unwrap_or(u32::MAX)
    }

    /// Latency of one availability zone's answers.
    pub fn zone_latency(&mut self, zone: &id::AvailabilityZoneId) -> Option<&mut Latency> {
        self.zones
            .iter_mut()
            .find(|group| group.zone == *zone)
            .map(|group| &mut group.latency)
    }

    fn regroup(&mut self, own_zone: &id::AvailabilityZoneId) {
        let old = std::mem::take(&mut self.zones);
        for (position, target) in self.routes.targets.iter().enumerate() {
            let zone = &target.availability_zone;
            match self.zones.iter_mut().find(|group| group.zone == *zone) {
                Some(group) => group.members.push(position),
                None => self.zones.push(ZoneGroup {
                    zone: zone.clone(),
                    own: zone == own_zone,
                    members: vec![position],
                    latency: latency_of(&old, zone),
                }),
            }
        }
        self.zones.sort_by_key(|group| !group.own);
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

/// A target that became ready after it said that it was leaving is a new run of the task.
fn forget_departure(track: &mut TargetTrack, target: &snapshot::Target) {
    let snapshot::TargetState::Ready { since } = target.state else {
        return;
    };
    if track.absence.is_some_and(|absence| absence.said_at < since) {
        track.absence = None;
    }
}
