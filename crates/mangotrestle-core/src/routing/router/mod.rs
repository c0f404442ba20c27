//! Routes requests to the targets of services, with every policy of [`routing`](super) applied.
//!
//! A [`Router`] is the traffic side's own state at one entry host: what is in flight, what waits,
//! and what was learned about targets. It holds no routes of its own but installs the snapshots
//! that the control thread publishes. The life of a request:
//!
//! 1. [`Router::admit`] checks the team's limits. What was admitted must [`Router::leave`].
//! 2. [`Router::route`] chooses a target, lets the request wait, or refuses it.
//! 3. A request that waits is answered by [`Router::finish`], [`Router::install`] or
//!    [`Router::tick`], which return what became of those that waited, or is withdrawn by
//!    [`Router::withdraw`].
//! 4. [`Router::finish`] reports how the attempt at a target ended.
//!
//! A choice costs O(1) while the sampled targets have room, and O(targets of the service) once
//! when they have not; a request that arrives while others wait costs O(log waiting).
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
//! let ask = router::RouteRequest {
//!     job: &job,
//!     team: &team,
//!     urgency: job::Urgency::Normal,
//!     idempotent: true,
//!     deadline: TimeMs(1_000),
//!     tried: &[],
//! };
//! let router::RouteDecision::Send(first) = router.route(TimeMs(0), &ask, &mut rng) else {
//!     panic!("the target has a slot");
//! };
//! // The only slot is taken: the second request waits and is sent when the first ends.
//! let router::RouteDecision::Wait(_) = router.route(TimeMs(0), &ask, &mut rng) else {
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

/// Settings of a [`Router`]. The fields are public; start from [`Settings::default`].
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// Longest wait for a slot while the queue is a burst that empties soon.
    pub max_wait: time::SpanMs,
    /// Longest wait for a slot once the queue has been standing.
    pub standing_wait: time::SpanMs,
    /// A queue that was not empty for this long is standing.
    pub standing_after: time::SpanMs,
    /// Longest wait for a service without a ready target to start.
    pub max_cold_wait: time::SpanMs,
    /// Requests of one service and one class that may wait at the same time.
    pub max_waiting: usize,
    /// Time over which a new target's load rises to its full share.
    pub slow_start: time::SpanMs,
    /// How long a slot stays taken after a request was abandoned, since the target may need a
    /// moment to notice.
    pub abandoned_hold: time::SpanMs,
    /// How long a target that said it is leaving is left alone, unless it becomes ready anew. It
    /// outlasts the lag of the host list.
    pub leaving_memory: time::SpanMs,
    /// How long a target is left alone whose worker said that it is not there; it may be about to
    /// start.
    pub gone_memory: time::SpanMs,
    /// How long a worker that said it is full is left alone.
    pub full_worker_pause: time::SpanMs,
    /// Extra time assumed for another availability zone until it has been measured.
    pub assumed_zone_extra_us: u64,
    /// When targets are left out.
    pub outlier: outlier::Policy,
    /// Retries for each caller's team and service.
    pub retry_budget: retry::BudgetBuilder,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            max_wait: time::SpanMs::from_secs(1),
            standing_wait: time::SpanMs(100),
            standing_after: time::SpanMs(500),
            max_cold_wait: time::SpanMs::from_secs(30),
            max_waiting: 1_024,
            slow_start: time::SpanMs::from_secs(5),
            abandoned_hold: time::SpanMs(250),
            leaving_memory: time::SpanMs::from_secs(120),
            gone_memory: time::SpanMs::from_secs(1),
            full_worker_pause: time::SpanMs(50),
            assumed_zone_extra_us: 3_000,
            outlier: outlier::Policy::default(),
            retry_budget: retry::Budget::builder(),
        }
    }
}

/// What routing needs to know of a request.
#[derive(Clone, Copy, Debug)]
pub struct RouteRequest<'a> {
    /// The service.
    pub job: &'a id::JobId,
    /// Team of the caller.
    pub team: &'a id::TeamId,
    /// Class of the request.
    pub urgency: job::Urgency,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// When the caller gives the request up.
    pub deadline: time::TimeMs,
    /// Indices of targets that were tried already.
    pub tried: &'a [u32],
}

/// Why a target was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouteReason {
    /// Less loaded of two in the entry host's availability zone.
    OwnZone,
    /// In another availability zone, where the request is expected to end earlier.
    OtherZone,
    /// To see whether a target that was left out has recovered.
    Probe,
}

impl RouteReason {
    /// The word that logs show.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnZone => "own-zone",
            Self::OtherZone => "other-zone",
            Self::Probe => "probe",
        }
    }
}

/// A target chosen for an attempt. The slot is taken until [`Router::finish`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Assignment {
    /// The service.
    pub job: id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Worker of the target.
    pub worker: id::WorkerId,
    /// Where the target answers HTTP.
    pub address: SocketAddr,
    /// Why it was chosen.
    pub reason: RouteReason,
}

/// Why a request is not sent. Whether it provably did not run at all is known by its earlier
/// attempts, see [`retry::Attempts::final_code`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The reason.
    pub code: ResultCode,
    /// When it makes sense to come back.
    pub retry_after: time::SpanMs,
}

/// A request that waits for a target.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Wait {
    /// Names the request in its service's queue.
    pub ticket: wait_queue::Ticket,
    /// When the wait is given up.
    pub give_up_at: time::TimeMs,
}

/// Answer to [`Router::route`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteDecision {
    /// Send the request to this target.
    Send(Assignment),
    /// Wait for [`Resumed`] with the same ticket.
    Wait(Wait),
    /// Do not send it.
    Refuse(Refusal),
}

/// What became of a request that waited.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Resumed {
    /// The service.
    pub job: id::JobId,
    /// The ticket.
    pub ticket: wait_queue::Ticket,
    /// The target, or why there is none.
    pub result: Result<Assignment, Refusal>,
}

/// How an attempt at a target ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// The target answered without fault.
    Answered {
        /// Time until the answer's head.
        latency_us: u64,
    },
    /// The target answered with a fault of its own, or the connection failed.
    Failed,
    /// The target said that it is leaving.
    Leaving,
    /// The target's worker said that the target is not there.
    Gone,
    /// The target or its worker said that it has no room.
    Full,
    /// No answer came in time.
    TimedOut {
        /// Time since the request was sent.
        waited_us: u64,
    },
    /// The caller went away.
    Abandoned,
    /// Nothing was sent to the target.
    Unused,
}

/// Counts of what was decided since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Counts {
    /// Attempts that were given a target.
    pub sent: u64,
    /// Requests that were refused at once.
    pub refused_early: u64,
    /// Requests that waited and were refused.
    pub refused_late: u64,
    /// Retries that the budget allowed.
    pub retries: u64,
    /// Retries that the budget refused.
    pub retries_denied: u64,
    /// Times that a target was left out.
    pub ejections: u64,
}

/// See the [module's documentation](self).
#[derive(Debug)]
pub struct Router {
    settings: Settings,
    snapshot: Option<Arc<snapshot::RouteSnapshot>>,
    services: FastMap<id::JobId, track::ServiceTrack>,
    workers: FastMap<id::WorkerId, track::WorkerTrack>,
    teams: FastMap<id::TeamId, limit::TeamGate>,
    abandoned: std::collections::VecDeque<track::AbandonedSlot>,
    counts: Counts,
}

impl Router {
    /// A router without routes.
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

    /// Whether this is the snapshot that is installed.
    #[must_use]
    pub fn has_installed(&self, snapshot: &Arc<snapshot::RouteSnapshot>) -> bool {
        self.snapshot
            .as_ref()
            .is_some_and(|installed| Arc::ptr_eq(installed, snapshot))
    }

    /// Takes a snapshot over. What was learned about targets that stay is kept.
    pub fn install(
        &mut self,
        now: time::TimeMs,
        snapshot: Arc<snapshot::RouteSnapshot>,
        rng: &mut impl Rng,
    ) -> Vec<Resumed> {
        let mut resumed = self.drop_missing_services(&snapshot);
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

    /// Admits a request of a team, which must be followed by [`Router::leave`].
    ///
    /// # Errors
    ///
    /// The team's limit, with the time to come back.
    pub fn admit(&mut self, now: time::TimeMs, team: &id::TeamId) -> Result<(), Refusal> {
        let Some(gate) = self.teams.get_mut(team) else {
            return Ok(());
        };
        gate.enter(now).map_err(|refusal| Refusal {
            code: ResultCode::TeamLimited,
            retry_after: match refusal {
                limit::TeamRefusal::Concurrency => dispatch::DEFAULT_RETRY_AFTER,
                limit::TeamRefusal::Rate(span) => span.min(dispatch::MAX_RETRY_AFTER),
            },
        })
    }

    /// A request that was admitted is over.
    pub fn leave(&mut self, team: &id::TeamId) {
        if let Some(gate) = self.teams.get_mut(team) {
            gate.leave();
        }
    }

    /// Team that owns a service; unset if there is no such service.
    #[must_use]
    pub fn owner(&self, job: &id::JobId) -> Option<&id::TeamId> {
        self.services.get(job).map(|service| &service.routes.team)
    }

    /// Chooses a target for an attempt, or lets it wait, or refuses it.
    pub fn route(
        &mut self,
        now: time::TimeMs,
        ask: &RouteRequest<'_>,
        rng: &mut impl Rng,
    ) -> RouteDecision {
        let Some(service) = self.services.get_mut(ask.job) else {
            self.counts.refused_early += 1;
            return RouteDecision::Refuse(Refusal {
                code: ResultCode::NotFound,
                retry_after: dispatch::DEFAULT_RETRY_AFTER,
            });
        };
        if ask.tried.is_empty() {
            service
                .budget(ask.team, &self.settings, now)
                .first_attempt();
        }
        if service.queue.ahead_of(ask.urgency) == 0
            && let Some(assignment) = self.assign(now, ask, rng)
        {
            return RouteDecision::Send(assignment);
        }
        match self.enqueue(now, ask) {
            Ok(wait) => RouteDecision::Wait(wait),
            Err(refusal) => {
                self.counts.refused_early += 1;
                RouteDecision::Refuse(jittered(refusal, rng))
            }
        }
    }

    /// Whether the retry budget of the team at the service has room for a retry, which is charged.
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

    /// Takes in how an attempt ended and gives its slot to a request that waits.
    pub fn finish(
        &mut self,
        now: time::TimeMs,
        assignment: &Assignment,
        end: End,
        rng: &mut impl Rng,
    ) -> Vec<Resumed> {
        self.learn(now, assignment, end);
        if self.holds_slot_after(end) {
            self.abandoned.push_back(track::AbandonedSlot {
                until: now + self.settings.abandoned_hold,
                job: assignment.job.clone(),
                index: assignment.index,
                worker: assignment.worker.clone(),
            });
            return Vec::new();
        }
        self.release(&assignment.job, assignment.index, &assignment.worker);
        self.dispatch_worker(now, &assignment.worker, rng)
    }

    /// Withdraws a request that waits, because its caller went away or its time is over. Returns
    /// whether it still waited.
    pub fn withdraw(&mut self, job: &id::JobId, ticket: wait_queue::Ticket) -> bool {
        self.services
            .get_mut(job)
            .is_some_and(|service| service.queue.remove(ticket).is_some())
    }

    /// Does what is due by time alone: gives waits up, frees the slots of abandoned requests, and
    /// offers targets that may be used again. Call it at a short interval.
    pub fn tick(&mut self, now: time::TimeMs, rng: &mut impl Rng) -> Vec<Resumed> {
        while let Some(slot) = self.abandoned.pop_front_if(|slot| slot.until <= now) {
            self.release(&slot.job, slot.index, &slot.worker);
        }
        let mut resumed = self.give_up_waits(now, rng);
        resumed.extend(self.dispatch_all(now, rng));
        resumed
    }

    /// Counts since the start.
    #[must_use]
    pub const fn counts(&self) -> &Counts {
        &self.counts
    }

    /// Requests in flight at a worker from this entry host.
    #[must_use]
    pub fn in_use(&self, worker: &id::WorkerId) -> u32 {
        self.workers.get(worker).map_or(0, |track| track.in_use)
    }

    /// Visits every service: its requests that wait and that are in flight.
    pub fn visit_services(&self, mut visit: impl FnMut(&id::JobId, usize, u32)) {
        for (job, service) in &self.services {
            visit(job, service.queue.len(), service.in_use);
        }
    }

    /// What this entry host uses and would use of each worker it has routes to, for the leaders
    /// that lease shares.
    #[must_use]
    pub fn demands(&self) -> FastMap<id::WorkerId, WorkerDemand> {
        let mut demands: FastMap<id::WorkerId, WorkerDemand> = FastMap::default();
        for service in self.services.values() {
            let part = service.waiting_per_target();
            for target in &service.routes.targets {
                let demand = demands.entry(target.worker.clone()).or_default();
                demand.wanted += part;
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

    /// Visits every target that was chosen at least once.
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
                    reported_leaving: track.is_absent(now),
                    ejected: track.outlier.standing(now) != outlier::Standing::In,
                });
            }
        }
    }

    /// A slot stays taken for a moment when the target may not know yet that the request is over.
    fn holds_slot_after(&self, end: End) -> bool {
        let unfinished = matches!(end, End::Abandoned | End::TimedOut { .. });
        unfinished && self.settings.abandoned_hold > time::SpanMs(0)
    }
}

/// Use of one worker, see [`Router::demands`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct WorkerDemand {
    /// Requests in flight.
    pub in_use: u32,
    /// Slots of use now: those in flight and a part of what waits.
    pub wanted: u32,
}

/// Counts of one target, see [`Router::visit_targets`].
#[derive(Clone, Copy, Debug)]
pub struct TargetView<'a> {
    /// The service.
    pub job: &'a id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Attempts answered without fault.
    pub answered: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// The target said that it is leaving.
    pub reported_leaving: bool,
    /// The target is left out, or only probed.
    pub ejected: bool,
}

/// Targets tried by one request; rarely more than a few.
type Tried = SmallVec<[u32; 4]>;

/// Spreads the return of callers that are refused together over half the time again.
fn jittered(refusal: Refusal, rng: &mut impl Rng) -> Refusal {
    let extra_ms = rng.random_range(0..=refusal.retry_after.0 / 2);
    Refusal {
        retry_after: refusal.retry_after + time::SpanMs(extra_ms),
        ..refusal
    }
}
