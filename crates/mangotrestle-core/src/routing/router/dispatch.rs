//! Choosing, waiting, giving up and learning.

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

/// When a caller should come back if nothing better is known.
pub(super) const DEFAULT_RETRY_AFTER: time::SpanMs = time::SpanMs(1_000);
/// Greatest time that a caller is told to stay away.
pub(super) const MAX_RETRY_AFTER: time::SpanMs = time::SpanMs(30_000);
/// Entries at the front of a queue that are tried, since one may not be placeable where the next
/// one is.
const DISPATCH_DEPTH: usize = 4;

/// What a choice needs to know of the request.
#[derive(Clone, Copy)]
struct Need<'a> {
    idempotent: bool,
    tried: &'a [u32],
}

impl Router {
    pub(super) fn drop_missing_services(
        &mut self,
        snapshot: &snapshot::RouteSnapshot,
    ) -> Vec<Resumed> {
        let mut resumed = Vec::new();
        self.services.retain(|job, service| {
            let stays = snapshot.services.contains_key(job);
            if !stays {
                let waiting = service.queue.take_expired(time::TimeMs(u64::MAX));
                resumed.extend(waiting.into_iter().map(|(ticket, _)| Resumed {
                    job: job.clone(),
                    ticket,
                    result: Err(Refusal {
                        code: ResultCode::NotFound,
                        retry_after: DEFAULT_RETRY_AFTER,
                    }),
                }));
            }
            stays
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
                .and_modify(|gate| gate.reconfigure(limit, now))
                .or_insert_with(|| crate::routing::limit::TeamGate::new(limit, now));
        }
    }

    /// Chooses a target with room and takes its slot.
    pub(super) fn assign(
        &mut self,
        now: time::TimeMs,
        ask: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> Option<Assignment> {
        let need = Need {
            idempotent: ask.idempotent,
            tried: ask.tried,
        };
        let (position, own) = self.choose(now, ask.job, need, rng)?;
        Some(self.take_slot(now, ask.job, position, own))
    }

    fn choose(
        &self,
        now: time::TimeMs,
        job: &id::JobId,
        need: Need<'_>,
        rng: &mut impl Rng,
    ) -> Option<(usize, bool)> {
        let service = self.services.get(job)?;
        for group in &service.zones {
            if !group.own && !self.spill_helps(now, service, group) {
                continue;
            }
            let load = |member: usize| self.load(now, service, group.members[member], need);
            if let Some(member) = choice::of_two(group.members.len(), load, rng) {
                return Some((group.members[member], group.own));
            }
        }
        None
    }

    /// Load of a target, or `None` if it cannot take the request now. Requests in flight weigh by
    /// the target's usual latency and by how far it has warmed up.
    fn load(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        position: usize,
        need: Need<'_>,
    ) -> Option<u64> {
        if !self.has_room(now, service, position, need) {
            return None;
        }
        let track = &service.tracks[position];
        let worker = self.workers.get(&service.routes.targets[position].worker)?;
        if track.outlier.standing(now) == outlier::Standing::Probe {
            // A due probe goes first, or it would never be made while others have room.
            return Some(0);
        }
        let usual_us = service.latency.mean_us().unwrap_or(1);
        let latency_us = track.outlier.latency().mean_us().unwrap_or(usual_us);
        let warmth = service.warmth_percent(position, now, &self.settings);
        let queued = u64::from(worker.in_use) + 1;
        Some(queued.saturating_mul(latency_us.max(1)).saturating_mul(100) / warmth)
    }

    fn has_room(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        position: usize,
        need: Need<'_>,
    ) -> bool {
        let target = &service.routes.targets[position];
        let track = &service.tracks[position];
        if !service.is_ready(now, position) || is_barred(service, target.index, need.tried) {
            return false;
        }
        let Some(worker) = self.workers.get(&target.worker) else {
            return false;
        };
        let slots = worker.slots(now);
        if worker.in_use >= slots {
            return false;
        }
        match track.outlier.standing(now) {
            outlier::Standing::Ejected => false,
            outlier::Standing::Probe => need.idempotent && track.in_use == 0,
            outlier::Standing::In => {
                track.in_use < service.allowance(position, now, slots, &self.settings)
            }
        }
    }

    /// Another zone helps when its extra time is below the expected wait for a slot in the own
    /// zone, or when the own zone has nothing ready.
    fn spill_helps(
        &self,
        now: time::TimeMs,
        service: &track::ServiceTrack,
        group: &track::ZoneGroup,
    ) -> bool {
        let Some(own) = service.zones.first().filter(|first| first.own) else {
            return true;
        };
        let usable = |&&position: &&usize| {
            let target = &service.routes.targets[position];
            let standing = service.tracks[position].outlier.standing(now);
            let slots = self
                .workers
                .get(&target.worker)
                .map_or(0, |worker| worker.slots(now));
            service.is_ready(now, position) && standing == outlier::Standing::In && slots > 0
        };
        let in_service: u32 = own
            .members
            .iter()
            .filter(usable)
            .map(|&position| service.tracks[position].in_use.max(1))
            .sum();
        if in_service == 0 {
            return true;
        }
        let own_us = own.latency.mean_us().unwrap_or(0);
        let wait_us = own_us / u64::from(in_service);
        let extra_us = match group.latency.mean_us() {
            Some(mean_us) => mean_us.saturating_sub(own_us),
            None => self.settings.assumed_zone_extra_us,
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
            .expect("the service was just chosen from");
        let target = &service.routes.targets[position];
        let track = &mut service.tracks[position];
        track.in_use += 1;
        service.in_use += 1;
        self.workers
            .entry(target.worker.clone())
            .or_default()
            .in_use += 1;
        self.counts.sent += 1;
        let reason = match (track.outlier.standing(now), own_zone) {
            (outlier::Standing::Probe, _) => RouteReason::Probe,
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

    pub(super) fn release(&mut self, job: &id::JobId, index: u32, worker: &id::WorkerId) {
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

    /// Lets a request wait if it can be expected to be served in time.
    pub(super) fn enqueue(
        &mut self,
        now: time::TimeMs,
        ask: &RouteRequest<'_>,
    ) -> Result<Wait, Refusal> {
        let service = self
            .services
            .get_mut(ask.job)
            .expect("the caller looked the service up");
        let cold = service.in_use == 0 && !service.has_ready(now);
        let give_up_at = if cold {
            cold_give_up_at(now, ask, service, &self.settings)?
        } else {
            warm_give_up_at(now, ask, service, &self.settings)?
        };
        if service.queue.len_of(ask.urgency) >= self.settings.max_waiting {
            return Err(Refusal {
                code: ResultCode::Overloaded,
                retry_after: DEFAULT_RETRY_AFTER,
            });
        }
        let waiting = track::Waiting {
            idempotent: ask.idempotent,
            deadline: ask.deadline,
            tried: ask.tried.into(),
            cold,
        };
        let ticket = service.queue.push(now, ask.urgency, give_up_at, waiting);
        Ok(Wait { ticket, give_up_at })
    }

    /// Gives up the waits whose time has come.
    pub(super) fn give_up_waits(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        let mut resumed = Vec::new();
        for (job, service) in &mut self.services {
            if service.queue.is_empty() {
                continue;
            }
            let retry_after = service.expected_turnover();
            for (ticket, waiting) in service.queue.take_expired(now) {
                let refusal = Refusal {
                    code: code_after_wait(now, &waiting),
                    retry_after,
                };
                resumed.push(Resumed {
                    job: job.clone(),
                    ticket,
                    result: Err(jittered(refusal, rng)),
                });
            }
        }
        self.counts.refused_late += resumed.len() as u64;
        resumed
    }

    /// Serves what waits for a worker that has a free slot, most urgent and oldest first.
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
        jobs.sort_by_key(|job| self.services[job].queue.first().map(|(ticket, _)| ticket));
        let mut resumed = Vec::new();
        for job in jobs {
            self.dispatch_service(now, &job, rng, &mut resumed);
        }
        resumed
    }

    /// Serves whatever waits and can be served.
    pub(super) fn dispatch_all(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        let mut jobs: Vec<id::JobId> = self
            .services
            .iter()
            .filter(|(_, service)| !service.queue.is_empty())
            .map(|(job, _)| job.clone())
            .collect();
        jobs.sort_by_key(|job| self.services[job].queue.first().map(|(ticket, _)| ticket));
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

    /// The first of the queue's front entries that can be served or must be refused.
    fn next_for_dispatch(
        &mut self,
        now: time::TimeMs,
        job: &id::JobId,
        rng: &mut impl Rng,
    ) -> Option<Resumed> {
        let service = self.services.get(job)?;
        let high = service.high();
        let front: Vec<(wait_queue::Ticket, track::Waiting)> = service
            .queue
            .iter()
            .take(DISPATCH_DEPTH)
            .map(|(ticket, waiting)| (ticket, waiting.clone()))
            .collect();
        for (ticket, waiting) in front {
            let result = if now + high > waiting.deadline {
                self.counts.refused_late += 1;
                Err(jittered(
                    Refusal {
                        code: ResultCode::DeadlineBeforeStart,
                        retry_after: DEFAULT_RETRY_AFTER,
                    },
                    rng,
                ))
            } else {
                let need = Need {
                    idempotent: waiting.idempotent,
                    tried: &waiting.tried,
                };
                let Some((position, own)) = self.choose(now, job, need, rng) else {
                    continue;
                };
                Ok(self.take_slot(now, job, position, own))
            };
            if let Some(service) = self.services.get_mut(job) {
                service.queue.remove(ticket);
            }
            return Some(Resumed {
                job: job.clone(),
                ticket,
                result,
            });
        }
        None
    }

    /// Takes in what an attempt says about its target.
    pub(super) fn learn(&mut self, now: time::TimeMs, assignment: &Assignment, end: End) {
        if end == End::Full
            && let Some(worker) = self.workers.get_mut(&assignment.worker)
        {
            worker.full_until = now + self.settings.full_worker_pause;
        }
        let max = self
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
                service.learn_answer(now, position, latency_us, max, &policy);
            }
            End::Failed => service.learn_failure(now, position, &policy),
            End::Leaving => service.learn_absence(now, position, self.settings.leaving_memory),
            End::Gone => service.learn_absence(now, position, self.settings.gone_memory),
            End::TimedOut { waited_us } => {
                service.learn_timeout(now, position, waited_us, &policy);
            }
            End::Full | End::Abandoned | End::Unused => {}
        }
        if self.eject_if_bad(now, assignment, position) {
            self.counts.ejections += 1;
        }
    }

    fn eject_if_bad(
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
        if tracker.standing(now) != outlier::Standing::In || !(tracker.is_failing(&policy) || slow)
        {
            return false;
        }
        let (ejected, ready) = service.ejected_of_ready(now);
        if !policy.may_eject(ejected, ready) {
            return false;
        }
        service.tracks[position].outlier.eject(&policy, now);
        true
    }
}

impl track::ServiceTrack {
    fn learn_answer(
        &mut self,
        now: time::TimeMs,
        position: usize,
        latency_us: u64,
        max: u32,
        policy: &outlier::Policy,
    ) {
        let median_us = self.median_us(now, policy);
        let zone = self.routes.targets[position].availability_zone.clone();
        let track = &mut self.tracks[position];
        track.answered += 1;
        if track.outlier.standing(now) == outlier::Standing::In {
            track.outlier.answered(latency_us);
            track.limit.observe(latency_us, track.in_use, max);
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
            track.outlier.succeeded(now);
        }
    }

    fn learn_failure(&mut self, now: time::TimeMs, position: usize, policy: &outlier::Policy) {
        let track = &mut self.tracks[position];
        track.failed += 1;
        if track.outlier.standing(now) == outlier::Standing::Probe {
            track.outlier.eject(policy, now);
        } else {
            track.outlier.failed();
        }
    }

    fn learn_absence(&mut self, now: time::TimeMs, position: usize, memory: time::SpanMs) {
        self.tracks[position].absence = Some(track::Absence {
            said_at: now,
            until: now + memory,
        });
    }

    /// A time-out speaks against the target only if others would have answered by then.
    fn learn_timeout(
        &mut self,
        now: time::TimeMs,
        position: usize,
        waited_us: u64,
        policy: &outlier::Policy,
    ) {
        let usual_us = self.latency.high_us().unwrap_or(0);
        if waited_us >= usual_us {
            self.learn_failure(now, position, policy);
        }
    }

    /// What few answers take longer than.
    fn high(&self) -> time::SpanMs {
        time::SpanMs(self.latency.high_us().unwrap_or(0) / 1_000)
    }

    /// Time in which the queue as it is now would be served.
    fn expected_turnover(&self) -> time::SpanMs {
        let service_us = self.latency.mean_us().unwrap_or(0);
        let wait = wait_queue::estimate_wait(self.queue.len(), self.in_use, service_us);
        wait.clamp(time::SpanMs(50), MAX_RETRY_AFTER)
    }
}

/// A target that was tried is not tried again while there are others.
fn is_barred(service: &track::ServiceTrack, index: u32, tried: &[u32]) -> bool {
    tried.contains(&index) && tried.len() < service.tracks.len()
}

/// How long a request may wait for a slot, or a refusal if that would not be enough.
fn warm_give_up_at(
    now: time::TimeMs,
    ask: &RouteRequest<'_>,
    service: &track::ServiceTrack,
    settings: &Settings,
) -> Result<time::TimeMs, Refusal> {
    let latest_start = ask.deadline - service.high();
    if latest_start < now {
        return Err(Refusal {
            code: ResultCode::DeadlineBeforeStart,
            retry_after: service.expected_turnover(),
        });
    }
    let standing = service.queue.standing_for(now) >= settings.standing_after;
    let longest_wait = if standing {
        settings.standing_wait
    } else {
        settings.max_wait
    };
    let give_up_at = latest_start.min(now + longest_wait);
    let ahead = service.queue.ahead_of(ask.urgency);
    let service_us = service.latency.mean_us().unwrap_or(0);
    let wait = wait_queue::estimate_wait(ahead, service.in_use, service_us);
    if now + wait > give_up_at {
        return Err(Refusal {
            code: ResultCode::Overloaded,
            retry_after: service.expected_turnover(),
        });
    }
    Ok(give_up_at)
}

/// How long a request may wait for a service to start, or a refusal if the start is known to be
/// too late.
fn cold_give_up_at(
    now: time::TimeMs,
    ask: &RouteRequest<'_>,
    service: &track::ServiceTrack,
    settings: &Settings,
) -> Result<time::TimeMs, Refusal> {
    let give_up_at = ask.deadline.min(now + settings.max_cold_wait);
    match service.routes.next_ready_at {
        Some(ready_at) if ready_at >= give_up_at => Err(Refusal {
            code: ResultCode::NoReadyTarget,
            retry_after: ready_at.since(now).min(MAX_RETRY_AFTER),
        }),
        _ => Ok(give_up_at),
    }
}

fn code_after_wait(now: time::TimeMs, waiting: &track::Waiting) -> ResultCode {
    if waiting.cold {
        ResultCode::NoReadyTarget
    } else if now >= waiting.deadline {
        ResultCode::DeadlineBeforeStart
    } else {
        ResultCode::Overloaded
    }
}
