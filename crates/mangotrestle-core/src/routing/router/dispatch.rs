//! Choice of targets, the queues of waiting requests, and what the router records about targets.

use rand::Rng;

use crate::id;
use crate::result_code::ResultCode;
use crate::routing::choice;
use crate::routing::outlier;
use crate::routing::router::{
    Assignment, End, Refusal, Resumed, RouteReason, RouteRequest, Router, Wait, jittered,
};
use crate::routing::router::{Settings, track};
use crate::routing::snapshot;
use crate::routing::wait_queue;
use crate::time;

/// Retry delay for a refused caller if there is no better estimate.
pub(super) const DEFAULT_RETRY_AFTER: time::SpanMs = time::SpanMs(1_000);
/// Maximum retry delay for a refused caller, before jitter is added.
pub(super) const MAX_RETRY_AFTER: time::SpanMs = time::SpanMs(30_000);
/// Maximum number of entries at the front of a queue that are tried: the first may have no
/// available target while a later one has.
const MAX_DISPATCH_CANDIDATES: usize = 4;

/// Properties of a request that restrict the choice of its target.
#[derive(Clone, Copy)]
struct TargetConstraints<'a> {
    idempotent: bool,
    tried: &'a [u32],
}

impl Router {
    /// Removes the services that a new snapshot does not list, and refuses their waiting requests.
    pub(super) fn remove_missing_services(
        &mut self,
        snapshot: &snapshot::RouteSnapshot,
    ) -> Vec<Resumed> {
        let mut resumed = Vec::new();
        self.services.retain(|job, service| {
            let is_listed = snapshot.services.contains_key(job);
            if !is_listed {
                let waiting = service.queue.take_expired(time::TimeMs(u64::MAX));
                resumed.extend(waiting.into_iter().map(|(wait_id, _)| Resumed {
                    job: job.clone(),
                    wait_id,
                    result: Err(Refusal {
                        code: ResultCode::NotFound,
                        retry_after: DEFAULT_RETRY_AFTER,
                    }),
                }));
            }
            is_listed
        });
        self.counts.refused_late += resumed.len() as u64;
        resumed
    }

    pub(super) fn install_workers(&mut self, snapshot: &snapshot::RouteSnapshot) {
        for track in self.workers.values_mut() {
            track.share = None;
            track.targets.clear();
        }
        for (worker, share) in &snapshot.shares {
            let track = self.workers.entry(worker.clone()).or_default();
            track.share = Some(*share);
        }
        for (job, routes) in &snapshot.services {
            for (position, target) in routes.targets.iter().enumerate() {
                let track = self.workers.entry(target.worker.clone()).or_default();
                track.targets.push((job.clone(), position));
            }
        }
        self.workers.retain(|_, track| {
            track.in_use > 0 || track.share.is_some() || !track.targets.is_empty()
        });
    }

    pub(super) fn install_teams(&mut self, now: time::TimeMs, snapshot: &snapshot::RouteSnapshot) {
        self.teams
            .retain(|team, _| snapshot.teams.contains_key(team));
        for (team, &limit) in &snapshot.teams {
            self.teams
                .entry(team.clone())
                .and_modify(|limiter| limiter.reconfigure(limit, now))
                .or_insert_with(|| crate::routing::limit::TeamLimiter::new(limit, now));
        }
    }

    /// Chooses a target with free capacity and takes a slot of it.
    pub(super) fn assign(
        &mut self,
        now: time::TimeMs,
        request: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Assignment> {
        let constraints = TargetConstraints {
            idempotent: request.idempotent,
            tried: request.tried,
        };
        let (position, own_zone) = self.choose(now, request.job, constraints, rng)?;
        Some(self.take_slot(now, request.job, position, own_zone))
    }

    /// Returns the position of the chosen target, and whether it is in the entry host's own zone.
    fn choose(
        &self,
        now: time::TimeMs,
        job: &id::JobId,
        constraints: TargetConstraints<'_>,
        rng: &mut impl Rng,
    ) -> Option<(usize, bool)> {
        let service = self.services.get(job)?;
        for group in &service.zones {
            if !group.is_own && !self.should_spill_to(now, service, group) {
                continue;
            }
            let load = |member: usize| self.load(now, service, group.members[member], constraints);
            if let Some(member) = choice::pick_of_two(group.members.len(), load, rng) {
                return Some((group.members[member], group.is_own));
            }
        }
        None
    }

    /// Returns the load of a target, or `None` if it cannot take the request now. The load is the
    /// number of requests in flight at its worker, multiplied by the target's mean latency and
    /// divided by its slow-start percentage.
    fn load(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        position: usize,
        constraints: TargetConstraints<'_>,
    ) -> Option<u64> {
        if !self.has_free_capacity(now, service, position, constraints) {
            return None;
        }
        let track = &service.tracks[position];
        let worker = self.workers.get(&service.routes.targets[position].worker)?;
        if track.outlier.status(now) == outlier::Status::Probe {
            // A due probe comes first. Otherwise it would never be made while other targets have
            // free capacity.
            return Some(0);
        }
        let usual_us = service.latency.mean_us().unwrap_or(1);
        let latency_us = track.outlier.latency().mean_us().unwrap_or(usual_us);
        let percent = service.slow_start_percent(position, now, &self.settings);
        let in_use = u64::from(worker.in_use) + 1;
        Some(in_use.saturating_mul(latency_us.max(1)).saturating_mul(100) / percent)
    }

    /// Whether a target can take the request now.
    fn has_free_capacity(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        position: usize,
        constraints: TargetConstraints<'_>,
    ) -> bool {
        let target = &service.routes.targets[position];
        let track = &service.tracks[position];
        if !service.is_ready(now, position) || is_excluded(service, target.index, constraints.tried)
        {
            return false;
        }
        let Some(worker) = self.workers.get(&target.worker) else {
            return false;
        };
        let slots = worker.slots(now);
        if worker.in_use >= slots {
            return false;
        }
        match track.outlier.status(now) {
            outlier::Status::Ejected => false,
            outlier::Status::Probe => constraints.idempotent && track.in_use == 0,
            outlier::Status::Active => {
                track.in_use < service.concurrency_limit(position, now, slots, &self.settings)
            }
        }
    }

    /// Whether a request should be sent to another zone: if the other zone's extra latency is below
    /// the expected wait for a slot in the entry host's zone, or if the entry host's zone has no
    /// usable target.
    fn should_spill_to(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        group: &track::ZoneGroup,
    ) -> bool {
        let Some(own_group) = service.zones.first().filter(|first| first.is_own) else {
            return true;
        };
        let usable = |&&position: &&usize| {
            let target = &service.routes.targets[position];
            let status = service.tracks[position].outlier.status(now);
            let slots = self
                .workers
                .get(&target.worker)
                .map_or(0, |worker| worker.slots(now));
            service.is_ready(now, position) && status == outlier::Status::Active && slots > 0
        };
        let in_service: u32 = own_group
            .members
            .iter()
            .filter(usable)
            .map(|&position| service.tracks[position].in_use.max(1))
            .sum();
        if in_service == 0 {
            return true;
        }
        let own_us = own_group.latency.mean_us().unwrap_or(0);
        let wait_us = own_us / u64::from(in_service);
        let extra_us = match group.latency.mean_us() {
            Some(mean_us) => mean_us.saturating_sub(own_us),
            None => self.settings.assumed_extra_zone_latency_us,
        };
        extra_us < wait_us
    }

    fn take_slot(
        &mut self,
        now: time::TimeMs,
        job: &id::JobId,
        position: usize,
        own_zone: bool,
    ) -> Assignment {
        let service = self
            .services
            .get_mut(job)
            .expect("`choose` found the service");
        let target = &service.routes.targets[position];
        let track = &mut service.tracks[position];
        track.in_use += 1;
        service.in_use += 1;
        self.workers
            .entry(target.worker.clone())
            .or_default()
            .in_use += 1;
        self.counts.sent += 1;
        let reason = match (track.outlier.status(now), own_zone) {
            (outlier::Status::Probe, _) => RouteReason::Probe,
            (_, true) => RouteReason::OwnZone,
            (_, false) => RouteReason::OtherZone,
        };
        Assignment {
            job: job.clone(),
            index: target.index,
            worker: target.worker.clone(),
            address: target.address,
            reason,
        }
    }

    pub(super) fn release_slot(&mut self, job: &id::JobId, index: u32, worker: &id::WorkerId) {
        if let Some(track) = self.workers.get_mut(worker) {
            track.in_use = track.in_use.saturating_sub(1);
        }
        let Some(service) = self.services.get_mut(job) else {
            return;
        };
        let Some(position) = service.position(index) else {
            return;
        };
        if service.routes.targets[position].worker == *worker {
            let track = &mut service.tracks[position];
            track.in_use = track.in_use.saturating_sub(1);
            service.in_use = service.in_use.saturating_sub(1);
        }
    }

    /// Queues a request, or refuses it if it is not expected to be served in time or if the queue
    /// is full.
    pub(super) fn enqueue(
        &mut self,
        now: time::TimeMs,
        request: &RouteRequest<'_>,
    ) -> Result<Wait, Refusal> {
        let service = self
            .services
            .get_mut(request.job)
            .expect("`route` found the service");
        let cold = service.in_use == 0 && !service.has_ready(now);
        let give_up_at = if cold {
            cold_start_wait_until(now, request, service, &self.settings)?
        } else {
            slot_wait_until(now, request, service, &self.settings)?
        };
        if service.queue.len_of(request.urgency) >= self.settings.max_waiting {
            return Err(Refusal {
                code: ResultCode::Overloaded,
                retry_after: DEFAULT_RETRY_AFTER,
            });
        }
        let waiting = track::Waiting {
            idempotent: request.idempotent,
            deadline: request.deadline,
            tried: request.tried.into(),
            cold,
        };
        let wait_id = service
            .queue
            .push(now, request.urgency, give_up_at, waiting);
        Ok(Wait {
            wait_id,
            give_up_at,
        })
    }

    /// Refuses the requests whose wait is given up by `now`.
    pub(super) fn expire_waits(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        let mut resumed = Vec::new();
        for (job, service) in &mut self.services {
            if service.queue.is_empty() {
                continue;
            }
            let retry_after = service.estimated_queue_time();
            for (wait_id, waiting) in service.queue.take_expired(now) {
                let refusal = Refusal {
                    code: code_after_wait(now, &waiting),
                    retry_after,
                };
                resumed.push(Resumed {
                    job: job.clone(),
                    wait_id,
                    result: Err(jittered(refusal, rng)),
                });
            }
        }
        self.counts.refused_late += resumed.len() as u64;
        resumed
    }

    /// Assigns targets to requests of the services that have a target on the worker, in order of
    /// urgency and age, after a slot of the worker became free.
    pub(super) fn dispatch_worker(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        rng: &mut impl Rng,
    ) -> Vec<Resumed> {
        let Some(track) = self.workers.get(worker) else {
            return Vec::new();
        };
        let mut jobs: Vec<id::JobId> = track.targets.iter().map(|(job, _)| job.clone()).collect();
        jobs.dedup();
        jobs.retain(|job| self.services[job].queue.first().is_some());
        jobs.sort_by_key(|job| self.services[job].queue.first().map(|(wait_id, _)| wait_id));
        let mut resumed = Vec::new();
        for job in jobs {
            self.dispatch_service(now, &job, rng, &mut resumed);
        }
        resumed
    }

    /// Assigns targets to all waiting requests that can have one.
    pub(super) fn dispatch_all(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        let mut jobs: Vec<id::JobId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(job, _)| job.clone())
            .collect();
        jobs.sort_by_key(|job| self.services[job].queue.first().map(|(wait_id, _)| wait_id));
        let mut resumed = Vec::new();
        for job in jobs {
            self.dispatch_service(now, &job, rng, &mut resumed);
        }
        resumed
    }

    fn dispatch_service(
        &mut self,
        now: time::TimeMs,
        job: &id::JobId,
        rng: &mut impl Rng,
        resumed: &mut Vec<Resumed>,
    ) {
        while let Some(next) = self.next_for_dispatch(now, job, rng) {
            resumed.push(next);
        }
    }

    /// Removes the first of the queue's front entries that can be assigned a target or must be
    /// refused. Returns its result.
    fn next_for_dispatch(
        &mut self,
        now: time::TimeMs,
        job: &id::JobId,
        rng: &mut impl Rng,
    ) -> Option<Resumed> {
        let service = self.services.get(job)?;
        let high_latency = service.high_latency();
        let candidates: Vec<(wait_queue::WaitId, track::Waiting)> = service
            .queue
            .iter()
            .take(MAX_DISPATCH_CANDIDATES)
            .map(|(wait_id, waiting)| (wait_id, waiting.clone()))
            .collect();
        for (wait_id, waiting) in candidates {
            let result = if now + high_latency > waiting.deadline {
                self.counts.refused_late += 1;
                Err(jittered(
                    Refusal {
                        code: ResultCode::DeadlineBeforeStart,
                        retry_after: DEFAULT_RETRY_AFTER,
                    },
                    rng,
                ))
            } else {
                let constraints = TargetConstraints {
                    idempotent: waiting.idempotent,
                    tried: &waiting.tried,
                };
                let Some((position, own_zone)) = self.choose(now, job, constraints, rng) else {
                    continue;
                };
                Ok(self.take_slot(now, job, position, own_zone))
            };
            if let Some(service) = self.services.get_mut(job) {
                service.queue.remove(wait_id);
            }
            return Some(Resumed {
                job: job.clone(),
                wait_id,
                result,
            });
        }
        None
    }

    /// Records what the end of an attempt shows about its target.
    pub(super) fn record_end(&mut self, now: time::TimeMs, assignment: &Assignment, end: End) {
        if end == End::Full
            && let Some(worker) = self.workers.get_mut(&assignment.worker)
        {
            worker.full_until = now + self.settings.full_worker_backoff;
        }
        let max_concurrency = self
            .workers
            .get(&assignment.worker)
            .and_then(|worker| worker.share)
            .map_or(1, |share| share.slots);
        let policy = self.settings.outlier;
        let Some(service) = self.services.get_mut(&assignment.job) else {
            return;
        };
        let Some(position) = service.position(assignment.index) else {
            return;
        };
        if service.routes.targets[position].worker != assignment.worker {
            return;
        }
        match end {
            End::Answered { latency_us } => {
                service.record_answer(now, position, latency_us, max_concurrency, &policy);
            }
            End::Failed => service.record_failure(now, position, &policy),
            End::Leaving => service.record_absence(now, position, self.settings.leaving_backoff),
            End::Gone => service.record_absence(now, position, self.settings.gone_backoff),
            End::TimedOut { waited_us } => {
                service.record_timeout(now, position, waited_us, &policy);
            }
            End::Full | End::Abandoned | End::Unused => {}
        }
        if self.eject_if_outlier(now, assignment, position) {
            self.counts.ejections += 1;
        }
    }

    /// Ejects the target if it is failing or slow and enough targets stay active. Returns whether
    /// it was ejected.
    fn eject_if_outlier(
        &mut self,
        now: time::TimeMs,
        assignment: &Assignment,
        position: usize,
    ) -> bool {
        let policy = self.settings.outlier;
        let Some(service) = self.services.get_mut(&assignment.job) else {
            return false;
        };
        let median_us = service.median_us(now, &policy);
        let tracker = &service.tracks[position].outlier;
        let slow = median_us.is_some_and(|median_us| tracker.is_slow(&policy, median_us));
        if tracker.status(now) != outlier::Status::Active || !(tracker.is_failing(&policy) || slow)
        {
            return false;
        }
        let (ejected, ready) = service.count_ejected_and_ready(now);
        if !policy.may_eject(ejected, ready) {
            return false;
        }
        service.tracks[position].outlier.eject(&policy, now);
        true
    }
}

impl track::ServiceTrack {
    fn record_answer(
        &mut self,
        now: time::TimeMs,
        position: usize,
        latency_us: u64,
        max_concurrency: u32,
        policy: &outlier::Policy,
    ) {
        let median_us = self.median_us(now, policy);
        let zone = self.routes.targets[position].availability_zone.clone();
        let track = &mut self.tracks[position];
        track.answered += 1;
        if track.outlier.status(now) == outlier::Status::Active {
            track.outlier.record_answer(latency_us);
            track
                .limit
                .observe(latency_us, track.in_use, max_concurrency);
            self.latency.observe_us(latency_us);
            if let Some(latency) = self.zone_latency(&zone) {
                latency.observe_us(latency_us);
            }
            return;
        }
        let still_slow = median_us
            .is_some_and(|median_us| latency_us > median_us.saturating_mul(policy.slow_ratio));
        if still_slow {
            track.outlier.eject(policy, now);
        } else {
            track.outlier.readmit(now);
        }
    }

    fn record_failure(&mut self, now: time::TimeMs, position: usize, policy: &outlier::Policy) {
        let track = &mut self.tracks[position];
        track.failed += 1;
        if track.outlier.status(now) == outlier::Status::Probe {
            track.outlier.eject(policy, now);
        } else {
            track.outlier.record_failure();
        }
    }

    fn record_absence(&mut self, now: time::TimeMs, position: usize, backoff: time::SpanMs) {
        self.tracks[position].absence = Some(track::Absence {
            reported_at: now,
            until: now + backoff,
        });
    }

    /// Records a time-out. It counts as a failure only if the service usually answers within the
    /// time that was waited.
    fn record_timeout(
        &mut self,
        now: time::TimeMs,
        position: usize,
        waited_us: u64,
        policy: &outlier::Policy,
    ) {
        let usual_us = self.latency.high_us().unwrap_or(0);
        if waited_us >= usual_us {
            self.record_failure(now, position, policy);
        }
    }

    /// Upper estimate of the service's latency, which few answers exceed.
    fn high_latency(&self) -> time::SpanMs {
        time::SpanMs(self.latency.high_us().unwrap_or(0) / 1_000)
    }

    /// Returns the expected time until the requests that wait now are served, but at least 50 ms and
    /// at most [`MAX_RETRY_AFTER`].
    fn estimated_queue_time(&self) -> time::SpanMs {
        let service_us = self.latency.mean_us().unwrap_or(0);
        let estimated_wait = wait_queue::estimate_wait(self.queue.len(), self.in_use, service_us);
        estimated_wait.clamp(time::SpanMs(50), MAX_RETRY_AFTER)
    }
}

/// Whether a target is excluded because it was already tried and the service has others.
fn is_excluded(service: &track::ServiceTrack, index: u32, tried: &[u32]) -> bool {
    tried.contains(&index) && tried.len() < service.tracks.len()
}

/// Returns until when a request may wait for a slot, or a refusal if it is not expected to get one
/// by then.
fn slot_wait_until(
    now: time::TimeMs,
    request: &RouteRequest<'_>,
    service: &track::ServiceTrack,
    settings: &Settings,
) -> Result<time::TimeMs, Refusal> {
    let latest_start = request.deadline - service.high_latency();
    if latest_start < now {
        return Err(Refusal {
            code: ResultCode::DeadlineBeforeStart,
            retry_after: service.estimated_queue_time(),
        });
    }
    let standing = service.queue.nonempty_for(now) >= settings.standing_after;
    let max_wait = if standing {
        settings.max_standing_wait
    } else {
        settings.max_wait
    };
    let give_up_at = latest_start.min(now + max_wait);
    let ahead = service.queue.ahead_of(request.urgency);
    let service_us = service.latency.mean_us().unwrap_or(0);
    let estimated_wait = wait_queue::estimate_wait(ahead, service.in_use, service_us);
    if now + estimated_wait > give_up_at {
        return Err(Refusal {
            code: ResultCode::Overloaded,
            retry_after: service.estimated_queue_time(),
        });
    }
    Ok(give_up_at)
}

/// Returns until when a request may wait for a service to start, or a refusal if the start is known
/// to be later.
fn cold_start_wait_until(
    now: time::TimeMs,
    request: &RouteRequest<'_>,
    service: &track::ServiceTrack,
    settings: &Settings,
) -> Result<time::TimeMs, Refusal> {
    let give_up_at = request.deadline.min(now + settings.max_cold_wait);
    match service.routes.next_ready_at {
        Some(ready_at) if ready_at >= give_up_at => Err(Refusal {
            code: ResultCode::NoReadyTarget,
            retry_after: ready_at.since(now).min(MAX_RETRY_AFTER),
        }),
        _ => Ok(give_up_at),
    }
}

/// Returns the result code for a request whose wait was given up.
fn code_after_wait(now: time::TimeMs, waiting: &track::Waiting) -> ResultCode {
    if waiting.cold {
        ResultCode::NoReadyTarget
    } else if now >= waiting.deadline {
        ResultCode::DeadlineBeforeStart
    } else {
        ResultCode::Overloaded
    }
}
