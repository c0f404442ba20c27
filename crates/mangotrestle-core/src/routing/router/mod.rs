//! Routes requests to the targets of services, with every policy of [`routing`](super) applied.
//!
//! A [`Router`] holds the traffic threads' state at one entry host: requests in flight, waiting
//! requests, and observations about targets. Its routes come from the snapshots that the control
//! thread publishes, see [`Router::install`]. A request passes through these steps:
//!
//! 1. [`Router::admit`] checks the team's limits. Each admitted request must be followed by
//!    [`Router::leave`].
//! 2. [`Router::route`] chooses a target, queues the request, or refuses it.
//! 3. [`Router::finish`], [`Router::install`] and [`Router::tick`] return the queued requests that
//!    got a target or were refused. [`Router::withdraw`] removes a request from the queue.
//! 4. [`Router::finish`] records how the attempt at a target ended.
//!
//! Choosing a target costs O(1) while one of the two sampled targets has free capacity, and
//! O(targets of the service) otherwise. A request that arrives while n others wait costs
//! O(log n).
//!
//! ```
//! use mangotrestle_core::id;
//! use mangotrestle_core::job;
//! use mangotrestle_core::routing::{router, snapshot};
//! use mangotrestle_core::time::{SpanMs, TimeMs};
//! use rand::SeedableRng;
//! use std::sync::Arc;
//!
//! # let zone = id::AvailabilityZoneId::new("glyfada").unwrap();
//! # let worker = id::WorkerId::new("w-1").unwrap();
//! # let job = id::JobId::new("booking").unwrap();
//! # let team = id::TeamId::new("web").unwrap();
//! # let mut routes = snapshot::RouteSnapshot::empty(zone.clone());
//! # let mut service = snapshot::ServiceRoutes::new(job.clone(), team.clone());
//! # service.targets.push(snapshot::Target {
//! #     index: 0,
//! #     worker: worker.clone(),
//! #     availability_zone: zone,
//! #     address: "127.0.0.1:8080".parse().unwrap(),
//! #     state: snapshot::TargetState::Ready { since: TimeMs(0) },
//! # });
//! # routes.add_service(service);
//! # let share = snapshot::WorkerShare { slots: 1, connections: 8, expires_at: TimeMs(60_000) };
//! # routes.shares.insert(worker, share);
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! let mut router = router::Router::new(router::Settings::default());
//! router.install(TimeMs(0), Arc::new(routes), &mut rng);
//! let request = router::RouteRequest {
//!     job: &job,
//!     team: &team,
//!     urgency: job::Urgency::Normal,
//!     idempotent: true,
//!     deadline: TimeMs(1_000),
//!     tried: &[],
//! };
//! let router::RouteDecision::Send(first) = router.route(TimeMs(0), &request, &mut rng) else {
//!     panic!("the target has a slot");
//! };
//! // The only slot is taken: the second request waits and is sent when the first ends.
//! let router::RouteDecision::Wait(_) = router.route(TimeMs(0), &request, &mut rng) else {
//!     panic!("the target's slot is taken");
//! };
//! let end = router::End::Answered { latency_us: 5_000 };
//! let resumed = router.finish(TimeMs(5), &first, end, &mut rng);
//! assert!(matches!(resumed[0].result, Ok(_)));
//! ```

mod dispatch;
mod track;

use std::net::SocketAddr;
use std::sync::Arc;

use rand::{Rng, RngExt};
use smallvec::SmallVec;

use crate::collections::FastMap;
use crate::id;
use crate::job;
use crate::result_code::ResultCode;
use crate::routing::limit;
use crate::routing::outlier;
use crate::routing::retry;
use crate::routing::snapshot;
use crate::routing::wait_queue;
use crate::time;

/// Settings of a [`Router`]. Start from [`Settings::default`] and change fields as needed.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Maximum wait for a slot while the queue is not standing, see [`Settings::standing_after`].
    pub max_wait: time::SpanMs,
    /// Maximum wait for a slot while the queue is standing.
    pub max_standing_wait: time::SpanMs,
    /// Time after which a queue that never became empty counts as a standing queue rather than a
    /// burst.
    pub standing_after: time::SpanMs,
    /// Maximum wait for a service without a ready target to start.
    pub max_cold_wait: time::SpanMs,
    /// Maximum number of waiting requests of one service and one urgency.
    pub max_waiting: usize,
    /// Time over which a new target's load rises to its full value.
    pub slow_start: time::SpanMs,
    /// How long a slot stays in use after its request was abandoned or timed out, since the target
    /// may notice that only after a delay.
    pub abandoned_slot_hold: time::SpanMs,
    /// How long a target gets no requests after it reported that it is leaving, unless it becomes
    /// ready again. This must be longer than the lag of the host list.
    pub leaving_backoff: time::SpanMs,
    /// How long a target gets no requests after its worker reported that it does not run there.
    /// This is short, since the target may be about to start.
    pub gone_backoff: time::SpanMs,
    /// How long a worker gets no requests after it reported that it is full.
    pub full_worker_backoff: time::SpanMs,
    /// Extra latency in microseconds that is assumed for another availability zone until it has
    /// been measured.
    pub assumed_extra_zone_latency_us: u64,
    /// When targets are ejected, and for how long.
    pub outlier: outlier::Policy,
    /// Retry budget for each combination of service and calling team.
    pub retry_budget: retry::BudgetBuilder,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_wait: time::SpanMs::from_secs(1),
            max_standing_wait: time::SpanMs(100),
            standing_after: time::SpanMs(500),
            max_cold_wait: time::SpanMs::from_secs(30),
            max_waiting: 1_024,
            slow_start: time::SpanMs::from_secs(5),
            abandoned_slot_hold: time::SpanMs(250),
            leaving_backoff: time::SpanMs::from_secs(120),
            gone_backoff: time::SpanMs::from_secs(1),
            full_worker_backoff: time::SpanMs(50),
            assumed_extra_zone_latency_us: 3_000,
            outlier: outlier::Policy::default(),
            retry_budget: retry::Budget::builder(),
        }
    }
}

/// A request for a target.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// Job of the requested service.
    pub job: &'a id::JobId,
    /// Team of the caller.
    pub team: &'a id::TeamId,
    /// Urgency of the request.
    pub urgency: job::Urgency,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time at which the caller gives up on the request.
    pub deadline: time::TimeMs,
    /// Indices of targets that were already tried.
    pub tried: &'a [u32],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// The less loaded of two sampled targets in the entry host's availability zone.
    OwnZone,
    /// A target in another availability zone, where the request is expected to end earlier.
    OtherZone,
    /// A probe, to find out whether an ejected target has recovered.
    Probe,
}

impl RouteReason {
    /// Returns the name that is written to logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnZone => "own-zone",
            Self::OtherZone => "other-zone",
            Self::Probe => "probe",
        }
    }
}

/// A target chosen for an attempt. Its slot is in use until [`Router::finish`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// Job of the service.
    pub job: id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Worker of the target.
    pub worker: id::WorkerId,
    /// Address at which the target serves HTTP.
    pub address: SocketAddr,
    /// Why the target was chosen.
    pub reason: RouteReason,
}

/// Why an attempt is not sent. Whether the request provably did not run also depends on its earlier
/// attempts, see [`retry::Attempts::final_code`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub code: ResultCode,
    /// Time after which the caller should try again.
    pub retry_after: time::SpanMs,
}

/// A place in the queue of requests that wait for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Identifies the request in its service's queue.
    pub wait_id: wait_queue::WaitId,
    /// When the wait is given up.
    pub give_up_at: time::TimeMs,
}

/// Answer to [`Router::route`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteDecision {
    /// Send the request to this target.
    Send(Assignment),
    /// Wait for a [`Resumed`] with the same id.
    Wait(Wait),
    /// Do not send the request.
    Refuse(Refusal),
}

/// The result for a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumed {
    /// Job of the service.
    pub job: id::JobId,
    /// WaitId of the request.
    pub wait_id: wait_queue::WaitId,
    /// The chosen target, or why the request is refused.
    pub result: Result<Assignment, Refusal>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The target answered without a server error.
    Answered {
        /// Time in microseconds until the head of the answer arrived.
        latency_us: u64,
    },
    /// The target answered with a server error, or the connection failed.
    Failed,
    /// The target reported that it is leaving.
    Leaving,
    /// The target's worker reported that the target does not run there.
    Gone,
    /// The target or its worker reported that it has no free capacity.
    Full,
    /// No answer arrived in time.
    TimedOut {
        /// Time in microseconds since the request was sent.
        waited_us: u64,
    },
    /// The caller abandoned the request.
    Abandoned,
    /// Nothing was sent to the target.
    Unused,
}

/// Counts of the router's decisions since its creation.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Number of attempts that got a target.
    pub sent: u64,
    /// Number of requests that were refused at once.
    pub refused_early: u64,
    /// Number of requests that waited and were then refused.
    pub refused_late: u64,
    /// Number of retries that the budget allowed.
    pub retries: u64,
    /// Number of retries that the budget refused.
    pub retries_denied: u64,
    /// Number of ejections of targets.
    pub ejections: u64,
}

/// Routes requests at one entry host. See the [module's documentation](self).
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    snapshot: Option<Arc<snapshot::RouteSnapshot>>,
    services: FastMap<id::JobId, track::ServiceTrack>,
    workers: FastMap<id::WorkerId, track::WorkerTrack>,
    teams: FastMap<id::TeamId, limit::TeamLimiter>,
    abandoned: std::collections::VecDeque<track::AbandonedSlot>,
    counts: Counts,
}

impl Router {
    /// Returns a router without routes.
    #[must_use]
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            snapshot: None,
            services: FastMap::default(),
            workers: FastMap::default(),
            teams: FastMap::default(),
            abandoned: std::collections::VecDeque::new(),
            counts: Counts::default(),
        }
    }

    /// Whether `snapshot` is the installed one.
    #[must_use]
    pub fn has_installed(&self, snapshot: &Arc<snapshot::RouteSnapshot>) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|installed| Arc::ptr_eq(installed, snapshot))
    }

    /// Installs a snapshot. Keeps the observations about targets that stay.
    pub fn install(
        &mut self,
        now: time::TimeMs,
        snapshot: Arc<snapshot::RouteSnapshot>,
        rng: &mut impl Rng,
    ) -> Vec<Resumed> {
        let mut resumed = self.remove_missing_services(&snapshot);
        for (job, routes) in &snapshot.services {
            let track = self
                .services
                .entry(job.clone())
                .or_insert_with(|| track::ServiceTrack::new(routes));
            track.install(routes, &snapshot.availability_zone);
        }
        self.install_workers(&snapshot);
        self.install_teams(now, &snapshot);
        self.snapshot = Some(snapshot);
        resumed.extend(self.dispatch_all(now, rng));
        resumed
    }

    /// Admits a request of a team. Each admitted request must be followed by [`Router::leave`].
    ///
    /// # Errors
    ///
    /// Returns a refusal if one of the team's limits is reached.
    pub fn admit(&mut self, now: time::TimeMs, team: &id::TeamId) -> Result<(), Refusal> {
        let Some(limiter) = self.teams.get_mut(team) else {
            return Ok(());
        };
        limiter.admit(now).map_err(|refusal| Refusal {
            code: ResultCode::TeamLimited,
            retry_after: match refusal {
                limit::TeamRefusal::Concurrency => dispatch::DEFAULT_RETRY_AFTER,
                limit::TeamRefusal::Rate(span) => span.min(dispatch::MAX_RETRY_AFTER),
            },
        })
    }

    /// Counts the end of an admitted request.
    pub fn leave(&mut self, team: &id::TeamId) {
        if let Some(limiter) = self.teams.get_mut(team) {
            limiter.leave();
        }
    }

    /// Team that owns a service; `None` if there is no such service.
    #[must_use]
    pub fn owner(&self, job: &id::JobId) -> Option<&id::TeamId> {
        self.services.get(job).map(|service| &service.routes.team)
    }

    /// Chooses a target for an attempt, queues the request, or refuses it.
    pub fn route(
        &mut self,
        now: time::TimeMs,
        request: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> RouteDecision {
        let Some(service) = self.services.get_mut(request.job) else {
            self.counts.refused_early += 1;
            return RouteDecision::Refuse(Refusal {
                code: ResultCode::NotFound,
                retry_after: dispatch::DEFAULT_RETRY_AFTER,
            });
        };
        if request.tried.is_empty() {
            service
                .budget(request.team, &self.settings, now)
                .first_attempt();
        }
        if service.queue.ahead_of(request.urgency) == 0
            && let Some(assignment) = self.assign(now, request, rng)
        {
            return RouteDecision::Send(assignment);
        }
        match self.enqueue(now, request) {
            Ok(wait) => RouteDecision::Wait(wait),
            Err(refusal) => {
                self.counts.refused_early += 1;
                RouteDecision::Refuse(jittered(refusal, rng))
            }
        }
    }

    /// Charges a retry to the team's retry budget at the service. Returns whether the retry may be
    /// made.
    pub fn try_retry(&mut self, now: time::TimeMs, job: &id::JobId, team: &id::TeamId) -> bool {
        let Some(service) = self.services.get_mut(job) else {
            return false;
        };
        let granted = service.budget(team, &self.settings, now).try_retry(now);
        if granted {
            self.counts.retries += 1;
        } else {
            self.counts.retries_denied += 1;
        }
        granted
    }

    /// Records how an attempt ended and gives its slot to a waiting request.
    pub fn finish(
        &mut self,
        now: time::TimeMs,
        assignment: &Assignment,
        end: End,
        rng: &mut impl Rng,
    ) -> Vec<Resumed> {
        self.record_end(now, assignment, end);
        if self.keeps_slot_after(end) {
            self.abandoned.push_back(track::AbandonedSlot {
                until: now + self.settings.abandoned_slot_hold,
                job: assignment.job.clone(),
                index: assignment.index,
                worker: assignment.worker.clone(),
            });
            return Vec::new();
        }
        self.release_slot(&assignment.job, assignment.index, &assignment.worker);
        self.dispatch_worker(now, &assignment.worker, rng)
    }

    /// Removes a waiting request, because its caller abandoned it or its time is over. Returns
    /// whether it was still waiting.
    pub fn withdraw(&mut self, job: &id::JobId, wait_id: wait_queue::WaitId) -> bool {
        self.services
            .get_mut(job)
            .is_some_and(|service| service.queue.remove(wait_id).is_some())
    }

    /// Handles everything that depends on time only: refuses requests whose wait is given up, frees
    /// the slots of abandoned and timed-out requests, and assigns targets that have become
    /// available again. Must be called at a short interval.
    pub fn tick(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        while let Some(slot) = self.abandoned.pop_front_if(|slot| slot.until <= now) {
            self.release_slot(&slot.job, slot.index, &slot.worker);
        }
        let mut resumed = self.expire_waits(now, rng);
        resumed.extend(self.dispatch_all(now, rng));
        resumed
    }

    /// Counts of decisions since the router's creation.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Number of requests from this entry host that are in flight at a worker.
    #[must_use]
    pub fn in_use(&self, worker: &id::WorkerId) -> u32 {
        self.workers.get(worker).map_or(0, |track| track.in_use)
    }

    /// Calls `visit` with every service, its number of waiting requests, and its number of requests
    /// in flight.
    pub fn visit_services(&self, mut visit: impl FnMut(&id::JobId, usize, u32)) {
        for (job, service) in &self.services {
            visit(job, service.queue.len(), service.in_use);
        }
    }

    /// Returns the slots that this entry host uses and wants of each worker that it has routes to,
    /// for the leaders that lease shares.
    #[must_use]
    pub fn demands(&self) -> FastMap<id::WorkerId, WorkerDemand> {
        let mut demands: FastMap<id::WorkerId, WorkerDemand> = FastMap::default();
        for service in self.services.values() {
            let waiting = service.waiting_per_target();
            for target in &service.routes.targets {
                let demand = demands.entry(target.worker.clone()).or_default();
                demand.wanted += waiting;
            }
        }
        for (worker, track) in &self.workers {
            if let Some(demand) = demands.get_mut(worker) {
                demand.in_use = track.in_use;
                demand.wanted += track.in_use;
            }
        }
        demands
    }

    /// Calls `visit` with every target that has answered or failed at least one attempt.
    pub fn visit_targets(&self, now: time::TimeMs, mut visit: impl FnMut(TargetView<'_>)) {
        for (job, service) in &self.services {
            for (target, track) in service.routes.targets.iter().zip(&service.tracks) {
                if track.answered + track.failed == 0 {
                    continue;
                }
                visit(TargetView {
                    job,
                    index: target.index,
                    answered: track.answered,
                    failed: track.failed,
                    reported_leaving: track.is_unavailable(now),
                    ejected: track.outlier.status(now) != outlier::Status::Active,
                });
            }
        }
    }

    /// Whether the slot stays in use for some time, because the target may not know yet that the
    /// request is over.
    fn keeps_slot_after(&self, end: End) -> bool {
        let may_still_run = matches!(end, End::Abandoned | End::TimedOut { .. });
        may_still_run && self.settings.abandoned_slot_hold > time::SpanMs(0)
    }
}

/// Demand for one worker's slots, see [`Router::demands`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerDemand {
    /// Number of requests in flight.
    pub in_use: u32,
    /// Number of slots wanted: requests in flight, and the part of the waiting requests that falls
    /// to targets on the worker.
    pub wanted: u32,
}

/// Counts of one target, see [`Router::visit_targets`].
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// Job of the service.
    pub job: &'a id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Number of attempts answered without a server error.
    pub answered: u64,
    /// Number of attempts that failed.
    pub failed: u64,
    /// Whether the target currently counts as unavailable, because it reported that it is leaving
    /// or its worker reported that it does not run there.
    pub reported_leaving: bool,
    /// Whether the target is ejected or only probed.
    pub ejected: bool,
}

/// Indices of the targets that one request has tried; rarely more than four.
type Tried = SmallVec<[u32; 4]>;

/// Lengthens the refusal's `retry_after` by a random time of up to half of it, so that callers that
/// are refused together do not retry together.
fn jittered(refusal: Refusal, rng: &mut impl Rng) -> Refusal {
    let extra_ms = rng.random_range(0..=refusal.retry_after.0 / 2);
    Refusal {
        retry_after: refusal.retry_after + time::SpanMs(extra_ms),
        ..refusal
    }
}
