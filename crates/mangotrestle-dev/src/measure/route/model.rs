//! A small queueing model of targets under virtual time, and the two routers that are compared.
//!
//! Each target serves a few requests at the same time and queues the rest. A target does not notice
//! that a caller has given up and still does the work, like a service that ignores deadlines.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use hdrhistogram::Histogram;
use mangotrestle_core::collections::FastMap;
use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::routing::{retry, router, snapshot, wait_queue};
use mangotrestle_core::time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Number of requests that a target serves at the same time.
pub const SLOTS: u32 = 8;
/// Minimum time that a target takes to serve a request.
const MIN_SERVICE_US: u64 = 5_000;
/// Mean of the exponentially distributed additional service time.
const MEAN_EXTRA_SERVICE_US: f64 = 15_000.0;
/// Network delay in each direction.
const NETWORK_DELAY_US: u64 = 250;
/// Time that a target with [`Fault::FailsAll`] takes to answer.
const FAULT_ANSWER_DELAY_US: u64 = 1_000;
/// Interval of the calls to [`router::Router::tick`].
const TICK_INTERVAL_US: u64 = 20_000;
/// Start of the virtual clock, late enough that the slow start of all targets is over.
const START_US: u64 = 60_000_000;
/// Time at the start of a run during which requests are not counted.
const WARM_UP_US: u64 = 2_000_000;
/// Maximum latency that the histograms can record.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: u32 = 3;
const BACKOFF: retry::Backoff = retry::Backoff {
    base: time::SpanMs(5),
    max: time::SpanMs(250),
};

/// Fault of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// The target is healthy.
    None,
    /// Requests take this many times as long.
    Slow(u64),
    /// The target answers every request with a fault.
    FailsAll,
    /// The target refuses connections.
    Down,
}

/// Router that is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RouterKind {
    /// The router of the product.
    Routed,
    /// Round robin without limits that retries every failed request.
    Naive,
}

/// Parameters of one experiment.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of arrivals, service times and choices.
    pub seed: u64,
    /// Router that is measured.
    pub kind: RouterKind,
    /// Fault of each target; there are as many targets as entries.
    pub faults: Vec<Fault>,
    /// Number of entry hosts, which share each target's slots evenly.
    pub entry_hosts: usize,
    /// Total rate of requests over all entry hosts.
    pub rate_per_s: f64,
    /// Time during which requests are counted, after the warm-up.
    pub counted_us: u64,
    /// Time from a request's arrival to its deadline.
    pub deadline_us: u64,
    /// Number of attempts in a thousand that a target answers with a fault.
    pub fault_per_mille: u32,
    /// Percentage of requests that are idempotent.
    pub idempotent_percent: u32,
}

impl Plan {
    /// Rate of requests that the targets can serve if all are healthy.
    pub fn capacity_per_s(&self) -> f64 {
        #[allow(clippy::cast_precision_loss, reason = "small whole numbers")]
        let servers = (self.faults.len() as u64 * u64::from(SLOTS)) as f64;
        #[allow(clippy::cast_precision_loss, reason = "small whole numbers")]
        let mean_us = MIN_SERVICE_US as f64 + MEAN_EXTRA_SERVICE_US;
        servers * 1e6 / mean_us
    }
}

/// Results from the callers' point of view.
#[derive(Clone, Debug)]
pub struct Observed {
    /// Number of requests that arrived.
    pub arrived: u64,
    /// Number of requests answered in time and without a fault.
    pub good: u64,
    /// Number of urgent requests that arrived.
    pub urgent_arrived: u64,
    /// Number of urgent requests answered in time and without a fault.
    pub urgent_good: u64,
    /// Number of requests that were sent to a target but answered with a fault or not in time.
    pub failed: u64,
    /// Number of requests that were refused without being sent to a target.
    pub refused: u64,
    /// Number of attempts.
    pub attempts: u64,
    /// Number of ejections of targets by the routers.
    pub ejections: u64,
    /// Latency of requests that were sent to a target. Requests that missed their deadline count as
    /// slightly longer than the deadline.
    pub admitted_us: Histogram<u64>,
    /// Time until a refusal.
    pub refused_us: Histogram<u64>,
}

impl Observed {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are in order");
        Self {
            arrived: 0,
            good: 0,
            urgent_arrived: 0,
            urgent_good: 0,
            failed: 0,
            refused: 0,
            attempts: 0,
            ejections: 0,
            admitted_us: histogram(),
            refused_us: histogram(),
        }
    }

    /// Returns the share of requests that failed or were refused.
    #[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub fn error_ratio(&self) -> f64 {
        (self.failed + self.refused) as f64 / self.arrived.max(1) as f64
    }

    /// Returns the number of good answers per second.
    #[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
    pub fn goodput_per_s(&self, plan: &Plan) -> f64 {
        self.good as f64 * 1e6 / plan.counted_us as f64
    }

    /// Returns a quantile of the latency of requests that were sent to a target.
    #[allow(clippy::cast_precision_loss, reason = "latencies far below 2^52")]
    pub fn admitted_ms(&self, quantile: f64) -> f64 {
        self.admitted_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive,
    AtTarget {
        request: usize,
        attempt: u32,
    },
    Served {
        target: usize,
        request: usize,
        attempt: u32,
        fault: bool,
    },
    Answer {
        request: usize,
        attempt: u32,
        fault: bool,
    },
    NotSent {
        request: usize,
        attempt: u32,
    },
    Deadline {
        request: usize,
    },
    GiveUpWait {
        host: usize,
    },
    Retry {
        request: usize,
    },
    Tick {
        host: usize,
    },
}

struct Request {
    host: usize,
    urgency: job::Urgency,
    arrived_us: u64,
    deadline_us: u64,
    /// Whether the request arrived after the warm-up.
    counted: bool,
    attempts: retry::Attempts,
    /// Indexes of the targets tried so far.
    tried: Vec<u32>,
    /// Number of the current attempt.
    attempt: u32,
    /// Index of the target of the current attempt.
    target: usize,
    /// Time at which the current attempt was sent.
    sent_us: u64,
    ever_sent: bool,
    assignment: Option<router::Assignment>,
    /// Position in the router's wait queue, if the request waits there.
    wait_id: Option<wait_queue::WaitId>,
    finished: bool,
}

struct TargetModel {
    fault: Fault,
    /// Number of requests being served.
    busy: u32,
    /// Index and attempt of each queued request.
    queue: VecDeque<(usize, u32)>,
}

/// Simulation of a [`Plan`].
pub struct Model<'a> {
    plan: &'a Plan,
    now_us: u64,
    last_sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    requests: Vec<Request>,
    targets: Vec<TargetModel>,
    routers: Vec<router::Router>,
    /// Indexes of the requests that wait at each router, by wait id.
    waiting: Vec<FastMap<wait_queue::WaitId, usize>>,
    next_target: usize,
    job: id::JobId,
    team: id::TeamId,
    observed: Observed,
}

impl<'a> Model<'a> {
    /// Simulates a plan and returns its results.
    pub fn run(plan: &'a Plan) -> Observed {
        let mut model = Self::new(plan);
        let end_us = START_US + WARM_UP_US + plan.counted_us;
        model.schedule(START_US, Event::Arrive);
        for host in 0..plan.entry_hosts {
            model.schedule(START_US, Event::Tick { host });
        }
        while let Some(Reverse((at_us, _, event))) = model.events.pop() {
            model.now_us = at_us;
            model.handle(event, end_us);
        }
        let ejections = |router: &router::Router| router.counts().ejections;
        model.observed.ejections = model.routers.iter().map(ejections).sum();
        model.observed
    }

    fn new(plan: &'a Plan) -> Self {
        let mut rng = SmallRng::seed_from_u64(plan.seed);
        let job = id::JobId::new("booking").expect("a valid name");
        let team = id::TeamId::new("web").expect("a valid name");
        let snapshot = Arc::new(routes(plan, &job, &team));
        let install = |_| {
            let mut router = router::Router::new(router::Settings::default());
            router.install(
                time::TimeMs(START_US / 1_000),
                Arc::clone(&snapshot),
                &mut rng,
            );
            router
        };
        let routers: Vec<router::Router> = (0..plan.entry_hosts).map(install).collect();
        let target = |&fault| TargetModel {
            fault,
            busy: 0,
            queue: VecDeque::new(),
        };
        Self {
            plan,
            now_us: START_US,
            last_sequence: 0,
            events: BinaryHeap::new(),
            requests: Vec::new(),
            targets: plan.faults.iter().map(target).collect(),
            waiting: routers.iter().map(|_| FastMap::default()).collect(),
            routers,
            next_target: 0,
            job,
            team,
            observed: Observed::new(),
            rng,
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.last_sequence += 1;
        self.events
            .push(Reverse((at_us, self.last_sequence, event)));
    }

    fn now(&self) -> time::TimeMs {
        time::TimeMs(self.now_us / 1_000)
    }

    fn handle(&mut self, event: Event, end_us: u64) {
        match event {
            Event::Arrive => self.arrive(end_us),
            Event::AtTarget { request, attempt } => self.at_target(request, attempt),
            Event::Served {
                target,
                request,
                attempt,
                fault,
            } => self.served(target, request, attempt, fault),
            Event::Answer {
                request,
                attempt,
                fault,
            } => self.answered(request, attempt, fault),
            Event::NotSent { request, attempt } => {
                if self.requests[request].attempt == attempt {
                    self.handle_failed_attempt(
                        request,
                        router::End::Failed,
                        retry::AttemptEnd::NotSent,
                    );
                }
            }
            Event::Deadline { request } => self.deadline(request),
            Event::Retry { request } => self.dispatch(request),
            Event::GiveUpWait { host } => self.tick(host),
            Event::Tick { host } => {
                self.tick(host);
                if self.now_us < end_us + 2 * self.plan.deadline_us {
                    self.schedule(self.now_us + TICK_INTERVAL_US, Event::Tick { host });
                }
            }
        }
    }

    fn arrive(&mut self, end_us: u64) {
        let uniform: f64 = self.rng.random();
        let interval_us = -(1.0 - uniform).ln() * 1e6 / self.plan.rate_per_s;
        let next_us = self.now_us + truncate_us(interval_us);
        if next_us < end_us {
            self.schedule(next_us, Event::Arrive);
        }
        let urgency = match self.rng.random_range(0..10) {
            0 => job::Urgency::Urgent,
            1 => job::Urgency::Background,
            _ => job::Urgency::Normal,
        };
        let idempotent = self.rng.random_range(0..100) < self.plan.idempotent_percent;
        let counted = self.now_us >= START_US + WARM_UP_US;
        let host = self.requests.len() % self.plan.entry_hosts;
        let deadline_us = self.now_us + self.plan.deadline_us;
        let request = self.requests.len();
        self.requests.push(Request {
            host,
            urgency,
            arrived_us: self.now_us,
            deadline_us,
            counted,
            attempts: retry::Attempts::new(idempotent, MAX_ATTEMPTS),
            tried: Vec::new(),
            attempt: 0,
            target: 0,
            sent_us: 0,
            ever_sent: false,
            assignment: None,
            wait_id: None,
            finished: false,
        });
        if counted {
            self.observed.arrived += 1;
            self.observed.urgent_arrived += u64::from(urgency == job::Urgency::Urgent);
        }
        self.schedule(deadline_us, Event::Deadline { request });
        self.dispatch(request);
    }

    fn dispatch(&mut self, request_index: usize) {
        if self.requests[request_index].finished {
            return;
        }
        if self.plan.kind == RouterKind::Naive {
            self.next_target = (self.next_target + 1) % self.targets.len();
            self.send(request_index, self.next_target, None);
            return;
        }
        let now = self.now();
        let request = &mut self.requests[request_index];
        let host = request.host;
        let route_request = router::RouteRequest {
            job: &self.job,
            team: &self.team,
            urgency: request.urgency,
            idempotent: request.attempts.is_idempotent(),
            deadline: time::TimeMs(request.deadline_us / 1_000),
            tried: &request.tried,
        };
        match self.routers[host].route(now, &route_request, &mut self.rng) {
            router::RouteDecision::Send(assignment) => self.send_routed(request_index, assignment),
            router::RouteDecision::Refuse(_) => self.refused(request_index),
            router::RouteDecision::Wait(wait) => {
                request.wait_id = Some(wait.wait_id);
                self.waiting[host].insert(wait.wait_id, request_index);
                let at_us = wait.give_up_at.0 * 1_000;
                self.schedule(at_us.max(self.now_us), Event::GiveUpWait { host });
            }
        }
    }

    fn send_routed(&mut self, request_index: usize, assignment: router::Assignment) {
        let target = assignment.index as usize;
        self.requests[request_index].tried.push(assignment.index);
        self.send(request_index, target, Some(assignment));
    }

    fn send(
        &mut self,
        request_index: usize,
        target: usize,
        assignment: Option<router::Assignment>,
    ) {
        let request = &mut self.requests[request_index];
        request.attempt += 1;
        request.target = target;
        request.sent_us = self.now_us;
        request.ever_sent = true;
        request.assignment = assignment;
        let attempt = request.attempt;
        if request.counted {
            self.observed.attempts += 1;
        }
        let event = match self.targets[target].fault {
            Fault::Down => Event::NotSent {
                request: request_index,
                attempt,
            },
            _ => Event::AtTarget {
                request: request_index,
                attempt,
            },
        };
        self.schedule(self.now_us + NETWORK_DELAY_US, event);
    }

    fn at_target(&mut self, request: usize, attempt: u32) {
        let target = self.requests[request].target;
        if self.targets[target].fault == Fault::FailsAll {
            let at_us = self.now_us + FAULT_ANSWER_DELAY_US;
            let fault = true;
            self.schedule(
                at_us,
                Event::Answer {
                    request,
                    attempt,
                    fault,
                },
            );
        } else if self.targets[target].busy < SLOTS {
            self.serve(target, request, attempt);
        } else {
            self.targets[target].queue.push_back((request, attempt));
        }
    }

    fn serve(&mut self, target: usize, request: usize, attempt: u32) {
        self.targets[target].busy += 1;
        let uniform: f64 = self.rng.random();
        let mut service_us =
            MIN_SERVICE_US + truncate_us(-(1.0 - uniform).ln() * MEAN_EXTRA_SERVICE_US);
        if let Fault::Slow(factor) = self.targets[target].fault {
            service_us *= factor;
        }
        let fault = self.rng.random_range(0..1_000) < self.plan.fault_per_mille;
        self.schedule(
            self.now_us + service_us,
            Event::Served {
                target,
                request,
                attempt,
                fault,
            },
        );
    }

    fn served(&mut self, target: usize, request: usize, attempt: u32, fault: bool) {
        self.targets[target].busy -= 1;
        if let Some((next, next_attempt)) = self.targets[target].queue.pop_front() {
            self.serve(target, next, next_attempt);
        }
        let at_us = self.now_us + NETWORK_DELAY_US;
        self.schedule(
            at_us,
            Event::Answer {
                request,
                attempt,
                fault,
            },
        );
    }

    fn answered(&mut self, request_index: usize, attempt: u32, fault: bool) {
        let request = &self.requests[request_index];
        if request.finished || request.attempt != attempt {
            return;
        }
        if fault {
            self.handle_failed_attempt(
                request_index,
                router::End::Failed,
                retry::AttemptEnd::AnsweredFault,
            );
            return;
        }
        let latency_us = self.now_us - request.sent_us;
        let total_us = self.now_us - request.arrived_us;
        let counted = request.counted;
        let urgent = request.urgency == job::Urgency::Urgent;
        self.requests[request_index].finished = true;
        self.finish(request_index, router::End::Answered { latency_us });
        if counted {
            self.observed.good += 1;
            self.observed.urgent_good += u64::from(urgent);
            self.observed.admitted_us.saturating_record(total_us);
        }
    }

    /// Handles the end of an attempt without a good answer: schedules a retry or fails the request.
    fn handle_failed_attempt(
        &mut self,
        request_index: usize,
        end: router::End,
        attempt: retry::AttemptEnd,
    ) {
        if self.requests[request_index].finished {
            return;
        }
        self.finish(request_index, end);
        let next = self.requests[request_index].attempts.record_end(attempt);
        let may_retry = match self.plan.kind {
            RouterKind::Naive => self.requests[request_index].attempts.made() < MAX_ATTEMPTS,
            RouterKind::Routed => {
                next == retry::NextStep::MayRetry && self.try_retry(request_index)
            }
        };
        if !may_retry {
            self.failed(request_index);
            return;
        }
        let retry_number = self.requests[request_index].attempts.made() - 1;
        let delay = match self.plan.kind {
            RouterKind::Naive => time::SpanMs(0),
            RouterKind::Routed => BACKOFF.delay(retry_number, &mut self.rng),
        };
        let at_us = self.now_us + delay.0 * 1_000;
        self.schedule(
            at_us,
            Event::Retry {
                request: request_index,
            },
        );
    }

    fn try_retry(&mut self, request_index: usize) -> bool {
        let now = self.now();
        let host = self.requests[request_index].host;
        self.routers[host].try_retry(now, &self.job, &self.team)
    }

    fn finish(&mut self, request_index: usize, end: router::End) {
        let request = &mut self.requests[request_index];
        let Some(assignment) = request.assignment.take() else {
            return;
        };
        let host = request.host;
        let now = self.now();
        let resumed = self.routers[host].finish(now, &assignment, end, &mut self.rng);
        self.resume(host, resumed);
    }

    fn tick(&mut self, host: usize) {
        let now = self.now();
        let resumed = self.routers[host].tick(now, &mut self.rng);
        self.resume(host, resumed);
    }

    fn resume(&mut self, host: usize, resumed: Vec<router::Resumed>) {
        for resumed_request in resumed {
            let Some(request_index) = self.waiting[host].remove(&resumed_request.wait_id) else {
                continue;
            };
            self.requests[request_index].wait_id = None;
            match resumed_request.result {
                Ok(assignment) => self.send_routed(request_index, assignment),
                Err(_) => self.refused(request_index),
            }
        }
    }

    fn deadline(&mut self, request_index: usize) {
        if self.requests[request_index].finished {
            return;
        }
        let request = &self.requests[request_index];
        let host = request.host;
        if let Some(wait_id) = request.wait_id {
            self.routers[host].withdraw(&self.job, wait_id);
            self.waiting[host].remove(&wait_id);
            self.refused(request_index);
            return;
        }
        let waited_us = self.now_us - request.sent_us;
        self.requests[request_index].finished = true;
        self.finish(request_index, router::End::TimedOut { waited_us });
        if self.requests[request_index].counted {
            self.observed.failed += 1;
            let late_us = self.plan.deadline_us + 1_000;
            self.observed.admitted_us.saturating_record(late_us);
        }
    }

    fn failed(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        request.finished = true;
        let total_us = self.now_us - request.arrived_us;
        if request.counted {
            self.observed.failed += 1;
            self.observed.admitted_us.saturating_record(total_us);
        }
    }

    fn refused(&mut self, request_index: usize) {
        let request = &mut self.requests[request_index];
        request.finished = true;
        let total_us = self.now_us - request.arrived_us;
        if !request.counted {
            return;
        }
        if request.ever_sent {
            self.observed.failed += 1;
        } else {
            self.observed.refused += 1;
            self.observed.refused_us.saturating_record(total_us);
        }
    }
}

fn routes(plan: &Plan, job: &id::JobId, team: &id::TeamId) -> snapshot::RouteSnapshot {
    let zone = id::AvailabilityZoneId::new("marousi").expect("a valid name");
    let mut routes = snapshot::RouteSnapshot::empty(zone.clone());
    let mut service = snapshot::ServiceRoutes::new(job.clone(), team.clone());
    let hosts = u32::try_from(plan.entry_hosts).unwrap_or(1);
    for index in 0..plan.faults.len() {
        let worker = id::WorkerId::new(&format!("w-{index}")).expect("a valid name");
        let index = u32::try_from(index).expect("a few targets");
        service.targets.push(snapshot::Target {
            index,
            worker: worker.clone(),
            availability_zone: zone.clone(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
            state: snapshot::TargetState::Ready {
                since: time::TimeMs(0),
            },
        });
        let share = snapshot::WorkerShare {
            slots: SLOTS / hosts,
            connections: 64 / hosts,
            expires_at: time::TimeMs(u64::MAX),
        };
        routes.shares.insert(worker, share);
    }
    routes.add_service(service);
    routes
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "durations are positive and far below 2^52"
)]
fn truncate_us(duration_us: f64) -> u64 {
    duration_us as u64
}
