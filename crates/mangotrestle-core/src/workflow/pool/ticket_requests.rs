//! Requests tickets from the advice service: for the most urgent steps first, and for as few
//! workers as necessary.
//!
//! The service's decision on a worker is final and only the ticket expires, so a unit is assigned
//! to allowed workers that have room, and tickets for these workers are requested afterwards. This
//! way nothing else takes the workers while the request is in flight. For the most urgent waiting
//! steps without room, some tickets are also kept valid in advance.

use crate::collections::FastMap;
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::advice_hosts::{RequestSize, Senders};
use super::super::job::{Phase, Step, StepKey, Unit, UnitKey};
use super::super::rank::Rank;
use super::super::spec::{AdvicePolicy, StepSpec};
use super::super::worker::Worker;
use super::queueing::QueueWindow;
use super::{Note, Order, Pool};

/// Interval between checks of all waiting steps for requests that are due. Each compares all
/// workers; steps that have just become ready are checked at once.
const CHECK_INTERVAL: SpanMs = SpanMs(50);
/// Maximum number of workers in one request.
const MAX_REQUEST_WORKERS: usize = 60;
/// Number of workers that are asked about for each that a step needs: the policy allows only some of
/// them, and only some of these have room.
const ASKED_PER_NEEDED_WORKER: usize = 8;
/// Maximum number of requests for one step that are sent together.
const MAX_REQUESTS_TOGETHER: usize = 5;
/// Maximum number of workers in a request that only renews tickets; more if a gang needs them.
const MAX_RENEWAL_WORKERS: usize = 8;
/// Maximum number of waiting steps without free capacity, most urgent first, whose tickets are kept
/// valid.
const MAX_RENEWED_BLOCKED_STEPS: usize = 6;
/// Divisor of the maximum number of requests in flight that gives the part for steps that no worker
/// has room for yet, whose tickets may expire unused.
const ADVANCE_REQUESTS_DIVISOR: usize = 2;
/// Divisor of the maximum number of requests in flight that gives the number up to which overdue
/// requests are repeated; a service that is slow for all must not get each request twice.
const REPEATED_REQUESTS_DIVISOR: usize = 2;
/// Remaining validity of a ticket at which it is renewed for a waiting step.
const RENEWAL_MARGIN: SpanMs = SpanMs(100);

/// Requests of one size.
#[derive(Clone, Copy, Debug, Default)]
struct SizeRequests {
    in_flight: usize,
    /// Whether any step needs such requests.
    needed: bool,
}

/// Ticket requests in flight.
#[derive(Debug, Default)]
pub(super) struct RequestsInFlight {
    senders: Senders,
    short: SizeRequests,
    long: SizeRequests,
    /// Number and size of each step's requests; all of a step have the same size.
    of_steps: FastMap<StepKey, (usize, RequestSize)>,
}

impl RequestsInFlight {
    pub(super) fn new(hosts: usize) -> Self {
        Self {
            senders: Senders {
                hosts,
                leaders: 1,
                leader_is_late: false,
            },
            ..Self::default()
        }
    }

    const fn of(&self, size: RequestSize) -> &SizeRequests {
        match size {
            RequestSize::Short => &self.short,
            RequestSize::Long => &self.long,
        }
    }

    const fn of_mut(&mut self, size: RequestSize) -> &mut SizeRequests {
        match size {
            RequestSize::Short => &mut self.short,
            RequestSize::Long => &mut self.long,
        }
    }

    /// Records that steps of a queue wait.
    pub(super) fn expect(&mut self, policy: &AdvicePolicy) {
        self.of_mut(request_size(policy)).needed = true;
    }

    /// Returns how many more requests of a size may be sent.
    pub(super) fn left(&self, size: RequestSize) -> usize {
        size.max_in_flight(self.senders)
            .saturating_sub(self.of(size).in_flight)
    }

    /// Whether a part of the maximum number of requests of a size is in flight.
    fn is_part_taken(&self, size: RequestSize, divisor: usize) -> bool {
        self.of(size).in_flight >= size.max_in_flight(self.senders) / divisor
    }

    /// Whether no more requests of any size that is needed may be sent.
    fn are_all_taken(&self) -> bool {
        let sizes = [RequestSize::Short, RequestSize::Long];
        let mut needed = sizes.into_iter().filter(|size| self.of(*size).needed);
        needed.all(|size| self.left(size) == 0)
    }

    fn begin(&mut self, step: &StepKey, size: RequestSize) {
        self.of_mut(size).in_flight += 1;
        let (requests, _) = self.of_steps.entry(step.clone()).or_insert((0, size));
        *requests += 1;
    }

    fn end(&mut self, step: &StepKey) {
        let Some((requests, size)) = self.of_steps.get_mut(step) else {
            return;
        };
        let size = *size;
        *requests -= 1;
        if *requests == 0 {
            self.of_steps.remove(step);
        }
        let requests = self.of_mut(size);
        requests.in_flight = requests.in_flight.saturating_sub(1);
    }
}

/// Returns the size of the requests for a queue's steps.
pub(super) fn request_size(policy: &AdvicePolicy) -> RequestSize {
    RequestSize::of(policy.answer_delay(MAX_REQUEST_WORKERS))
}

/// What limits the ticket requests of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TicketLoad {
    /// Number of short requests in flight.
    pub short_in_flight: u32,
    /// Maximum number of short requests in flight.
    pub max_short_in_flight: u32,
    /// Number of long requests in flight.
    pub long_in_flight: u32,
    /// Maximum number of long requests in flight.
    pub max_long_in_flight: u32,
    /// Number of steps that wait for workers and need tickets, as far as checks look at them.
    pub waiting_steps: u32,
    /// Number of these on whose workers nothing was ever decided and nothing is being asked.
    pub steps_without_request: u32,
    /// The longest time for which one of the latter has waited.
    pub longest_without_request: SpanMs,
}

impl Pool {
    /// Returns what limits the ticket requests.
    #[must_use]
    pub fn ticket_load(&self, now: TimeMs) -> TicketLoad {
        let count = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
        let window = self.queue_window(None);
        let waiting = self.steps_needing_tickets(&window, |_, _| true);
        let without_request = waiting
            .iter()
            .filter_map(|key| self.step(key))
            .filter(|step| step.tickets.is_unrequested());
        let waits: Vec<SpanMs> = without_request
            .map(|step| now.since(step.queued_at))
            .collect();
        let in_flight = &self.ticket_requests;
        TicketLoad {
            short_in_flight: count(in_flight.short.in_flight),
            max_short_in_flight: count(RequestSize::Short.max_in_flight(in_flight.senders)),
            long_in_flight: count(in_flight.long.in_flight),
            max_long_in_flight: count(RequestSize::Long.max_in_flight(in_flight.senders)),
            waiting_steps: count(waiting.len()),
            steps_without_request: count(waits.len()),
            longest_without_request: waits.into_iter().max().unwrap_or_default(),
        }
    }

    /// Changes what sends ticket requests, as hosts come and go.
    pub const fn set_advice_senders(&mut self, senders: Senders) {
        self.ticket_requests.senders = senders;
    }

    /// Sends the requests that are due.
    pub(super) fn request_tickets(&mut self, now: TimeMs) {
        self.request_for_assigned_runs(now);
        if self.ticket_requests.are_all_taken() {
            return;
        }
        let check_all = now.since(self.tickets_checked_at) >= CHECK_INTERVAL;
        if check_all {
            self.tickets_checked_at = now;
        } else if !std::mem::take(&mut self.has_unchecked_steps) {
            return;
        }
        // The rank among the blocked steps is known only if all are checked.
        let mut blocked_steps = if check_all {
            0
        } else {
            MAX_RENEWED_BLOCKED_STEPS
        };
        let window = self.queue_window(self.ticket_turn.as_ref());
        // A window is all waiting steps, or those that were never checked.
        let steps = self.steps_needing_tickets(&window, |step, policy| {
            (check_all || !step.tickets.checked)
                && self.ticket_requests.left(request_size(policy)) > 0
        });
        if check_all {
            self.ticket_turn = window.next_turn;
        }
        for step in steps {
            if self.ticket_requests.are_all_taken() {
                return;
            }
            self.request_for_step(now, &step, &mut blocked_steps);
        }
        let ahead: Vec<StepKey> = self.steps_to_request_ahead.drain().collect();
        for step in ahead {
            self.request_for_step(now, &step, &mut blocked_steps);
        }
    }

    /// Returns the waiting steps of queues with an advice policy, in the order of placement, that are
    /// among those in `window` and that `needs_request` accepts.
    fn steps_needing_tickets(
        &self,
        window: &QueueWindow<'_>,
        needs_request: impl Fn(&Step, &AdvicePolicy) -> bool,
    ) -> Vec<StepKey> {
        let steps = window.steps().map(|(_, step)| step);
        let steps_with_policy = steps.filter(|key| {
            let Some(job) = self.jobs.get(&key.job) else {
                return false;
            };
            let (Some(policy), Some(step)) = (&job.record.policy.advice, job.step(key)) else {
                return false;
            };
            needs_request(step, policy) && self.team_has_room(key)
        });
        steps_with_policy.cloned().collect()
    }

    /// Queues requests for the steps that depend on a step of which a unit is done.
    pub(super) fn request_tickets_ahead(&mut self, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.record.policy.advice.is_none() {
            return;
        }
        for (index, spec) in (0..).zip(&job.record.steps) {
            if spec.after.contains(&key.step) {
                let next = StepKey {
                    step: index,
                    ..key.clone()
                };
                if job
                    .step(&next)
                    .is_some_and(|step| !step.tickets.allows_any())
                {
                    self.steps_to_request_ahead.insert(next);
                    self.has_unchecked_steps = true;
                }
            }
        }
    }

    fn request_for_step(&mut self, now: TimeMs, key: &StepKey, blocked_steps: &mut usize) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let Some(policy) = &job.record.policy.advice else {
            return;
        };
        let Some(step) = job.step(key) else {
            return;
        };
        let size = request_size(policy);
        if !self.may_request(now, step, size) {
            return;
        }
        let workers = self.workers_to_request(now, key, blocked_steps);
        if let Some(step) = self
            .jobs
            .get_mut(&key.job)
            .and_then(|job| job.step_mut(key))
        {
            step.tickets.checked = true;
        }
        for workers in workers.chunks(MAX_REQUEST_WORKERS) {
            if self.ticket_requests.left(size) > 0 {
                self.send_request(now, key, workers.to_vec());
            }
        }
    }

    /// Returns the workers to name in requests for a step, which are sent together; none if no request is
    /// due.
    fn workers_to_request(
        &self,
        now: TimeMs,
        key: &StepKey,
        blocked_steps: &mut usize,
    ) -> Vec<id::WorkerId> {
        let (Some(job), Some(spec)) = (self.jobs.get(&key.job), self.step_spec(key)) else {
            return Vec::new();
        };
        let Some(step) = job.step(key) else {
            return Vec::new();
        };
        let need = spec.counted_need();
        let size = request_size(&job.record.policy.advice.unwrap_or_default());
        let may_request_in_advance = !self
            .ticket_requests
            .is_part_taken(size, ADVANCE_REQUESTS_DIVISOR);
        let is_eligible = |worker: &&Worker| {
            worker.accepts_work(now)
                && need.fits_in(&worker.entry.capacity)
                && worker.matches(spec.constraint.as_deref())
        };
        let mut undecided: Vec<&Worker> = self
            .workers
            .values()
            .filter(is_eligible)
            .filter(|worker| step.tickets.is_undecided(&worker.entry.worker))
            .collect();
        if !undecided.is_empty() {
            let has_room = undecided.iter().any(|worker| need.fits_in(&worker.free()));
            if !has_room && !may_request_in_advance {
                return Vec::new();
            }
            undecided.sort_by_key(|worker| (!need.fits_in(&worker.free()), &worker.entry.worker));
            undecided.truncate(max_undecided_workers(spec));
            return ids(&undecided);
        }
        let mut allowed: Vec<&Worker> = self
            .workers
            .values()
            .filter(is_eligible)
            .filter(|worker| step.tickets.allows(&worker.entry.worker))
            .collect();
        let room: u32 = allowed
            .iter()
            .map(|worker| worker.room_for(key, spec))
            .sum();
        let has_room = room >= spec.unit_size();
        if has_room && step.tickets.may_assign_first(now) {
            return Vec::new();
        }
        if !has_room {
            if !may_request_in_advance {
                return Vec::new();
            }
            *blocked_steps += 1;
        }
        let expiring = step.tickets.valid_until() <= now + RENEWAL_MARGIN;
        if !expiring || (!has_room && *blocked_steps > MAX_RENEWED_BLOCKED_STEPS) {
            return Vec::new();
        }
        allowed.sort_by_key(|worker| (!need.fits_in(&worker.free()), &worker.entry.worker));
        allowed.truncate(MAX_RENEWAL_WORKERS.max(spec.unit_size() as usize));
        ids(&allowed)
    }

    /// Requests tickets for the workers to which runs are assigned without a valid ticket, most
    /// urgent steps first.
    fn request_for_assigned_runs(&mut self, now: TimeMs) {
        let steps = self.steps_lacking_tickets.iter();
        let mut ranked: Vec<(Rank, StepKey)> = steps
            .filter_map(|key| Some((self.step(key)?.rank, key.clone())))
            .collect();
        ranked.sort_unstable();
        self.steps_lacking_tickets.clear();
        for (_, key) in ranked {
            let workers = self.workers_lacking_tickets(now, &key);
            if workers.is_empty() {
                continue;
            }
            let job = self.jobs.get(&key.job);
            let policy = job.and_then(|job| job.record.policy.advice.as_ref());
            let size = policy.map_or(RequestSize::Long, request_size);
            let step = self.step(&key);
            if step.is_some_and(|step| self.may_request(now, step, size)) {
                self.send_request(now, &key, workers);
            }
            self.steps_lacking_tickets.insert(key);
        }
    }

    /// Whether a request for a step may be sent now.
    fn may_request(&self, now: TimeMs, step: &Step, size: RequestSize) -> bool {
        let divisor = if step.tickets.is_overdue(now) {
            REPEATED_REQUESTS_DIVISOR
        } else {
            1
        };
        !self.ticket_requests.is_part_taken(size, divisor) && step.tickets.may_request(now)
    }

    /// Returns the workers for which tickets are needed before the assigned runs of a step can
    /// start. All members of a gang need valid tickets at the same time.
    fn workers_lacking_tickets(&self, now: TimeMs, key: &StepKey) -> Vec<id::WorkerId> {
        let Some(step) = self.step(key) else {
            return Vec::new();
        };
        let mut workers: Vec<id::WorkerId> = step
            .units
            .iter()
            .filter(|unit| !step.tickets.cover(unit, now))
            .flat_map(Unit::unordered_workers)
            .cloned()
            .collect();
        // Those without a valid ticket go first, since a request may not name all.
        workers.sort_unstable_by_key(|id| (step.tickets.valid(id, now).is_some(), id.clone()));
        workers.dedup();
        workers.truncate(MAX_REQUEST_WORKERS);
        workers
    }

    fn send_request(&mut self, now: TimeMs, key: &StepKey, workers: Vec<id::WorkerId>) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let policy = job.record.policy.advice.unwrap_or_default();
        let expected_delay = policy.answer_delay(workers.len());
        let Some(step) = job.step_mut(key) else {
            return;
        };
        step.tickets.record_request(now, expected_delay);
        self.ticket_requests.begin(key, request_size(&policy));
        self.orders.push(Order::RequestTickets {
            step: key.clone(),
            workers,
            expected_delay,
        });
    }

    /// Handles the answer to a request; `None` if it was refused or not answered.
    pub fn advice_answered(
        &mut self,
        now: TimeMs,
        key: &StepKey,
        workers: &[id::WorkerId],
        answer: Option<(Vec<(id::WorkerId, String)>, SpanMs)>,
    ) {
        self.ticket_requests.end(key);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let policy = job.record.policy.advice.unwrap_or_default();
        let Some(step) = job.step_mut(key) else {
            return;
        };
        let requested_at = step.tickets.record_request_end();
        let after = now.since(requested_at.unwrap_or(now));
        let excess = SpanMs(after.0.saturating_sub(policy.answer_delay(workers.len()).0));
        self.ticket_lag.record(now, excess);
        self.notes.push(Note::Advised {
            step: key.clone(),
            asked: workers.len(),
            allowed: answer.as_ref().map(|(allowed, _)| allowed.len()),
            after,
        });
        if let Some((allowed, validity)) = answer {
            let validity = if validity.0 > 0 {
                validity
            } else {
                SpanMs(policy.valid_ms)
            };
            step.tickets.learn(now, workers, allowed, validity);
            if step.units.iter().any(Unit::has_planned_member) {
                self.mark_dirty(&key.job);
            }
            self.placing_due = true;
        } else if step.tickets.record_failed_request(now) {
            self.withdraw_runs_lacking_tickets(now, key);
        }
        self.start_bound_runs(now, key);
    }

    /// Frees the workers of runs that were assigned before their tickets were requested, and of
    /// which no member was ordered.
    fn withdraw_runs_lacking_tickets(&mut self, now: TimeMs, key: &StepKey) {
        let Some(step) = self.step(key) else {
            return;
        };
        let lacking: Vec<UnitKey> = (0..)
            .zip(&step.units)
            .filter(|(_, unit)| unit.is_unordered() && !step.tickets.cover(unit, now))
            .map(|(unit, _)| UnitKey {
                step: key.clone(),
                unit,
            })
            .collect();
        for unit in lacking {
            self.abort_run(now, &unit);
        }
    }

    /// Sends the start orders of a step's runs that waited for a ticket.
    fn start_bound_runs(&mut self, now: TimeMs, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let bound = job
            .assigned_members()
            .filter(|(member, state)| member.unit.step == *key && state.phase == Phase::Bound);
        let waiting: Vec<_> = bound.map(|(member, _)| member).collect();
        for member in waiting {
            self.send_start(now, &member);
        }
    }
}

/// Returns the maximum number of workers about which requests for a step are sent together. A step whose
/// tasks need workers of their own at the same time would learn of enough of them only after several
/// requests, one after the other.
fn max_undecided_workers(spec: &StepSpec) -> usize {
    let needs_workers_of_its_own = spec.gang || spec.max_per_worker == 1;
    if !needs_workers_of_its_own {
        return MAX_REQUEST_WORKERS;
    }
    let wanted = spec.count as usize * ASKED_PER_NEEDED_WORKER;
    wanted.clamp(
        MAX_REQUEST_WORKERS,
        MAX_REQUEST_WORKERS * MAX_REQUESTS_TOGETHER,
    )
}

fn ids(workers: &[&Worker]) -> Vec<id::WorkerId> {
    workers
        .iter()
        .map(|worker| worker.entry.worker.clone())
        .collect()
}
