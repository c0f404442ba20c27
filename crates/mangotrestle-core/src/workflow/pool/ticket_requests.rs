//! Requests tickets from the advice service: for the most urgent steps first, and for as few
//! workers as necessary.
//!
//! The service's decision on a worker is final and only the ticket expires, so a unit is assigned
//! to allowed workers that have room, and tickets for these workers are requested afterwards. This
//! way nothing else takes the workers while the request is in flight. For the most urgent waiting
//! steps without room, some tickets are also kept valid in advance.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Phase, Step, StepKey, Unit, UnitKey};
use super::super::rank::Rank;
use super::super::spec::StepSpec;
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
/// has room for yet.
const ADVANCE_REQUESTS_DIVISOR: usize = 2;
/// Divisor of the maximum number of requests in flight that gives the number up to which overdue
/// requests are repeated; a service that is slow for all must not get each request twice.
const REPEATED_REQUESTS_DIVISOR: usize = 2;
/// Remaining validity of a ticket at which it is renewed for a waiting step.
const RENEWAL_MARGIN: SpanMs = SpanMs(100);

/// What limits the ticket requests of a pool.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TicketLoad {
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Maximum number of requests in flight.
    pub max_in_flight: u32,
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
        let waiting = self.steps_needing_tickets(&window, true);
        let without_request = waiting
            .iter()
            .filter_map(|key| self.step(key))
            .filter(|step| step.tickets.is_unrequested());
        let waits: Vec<SpanMs> = without_request
            .map(|step| now.since(step.queued_at))
            .collect();
        TicketLoad {
            in_flight: count(self.ticket_requests_in_flight),
            max_in_flight: count(self.settings.max_ticket_requests),
            waiting_steps: count(waiting.len()),
            steps_without_request: count(waits.len()),
            longest_without_request: waits.into_iter().max().unwrap_or_default(),
        }
    }

    /// Changes the maximum number of requests in flight, as hosts that send them come and go.
    pub fn set_max_ticket_requests(&mut self, max: usize) {
        self.settings.max_ticket_requests = max;
    }

    /// Sends the requests that are due.
    pub(super) fn request_tickets(&mut self, now: TimeMs) {
        self.request_for_assigned_runs(now);
        if self.ticket_requests_in_flight >= self.settings.max_ticket_requests {
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
        let steps = self.steps_needing_tickets(&window, check_all);
        if check_all {
            self.ticket_turn = window.next_turn;
        }
        for step in steps {
            if self.ticket_requests_in_flight >= self.settings.max_ticket_requests {
                return;
            }
            self.request_for_step(now, &step, &mut blocked_steps);
        }
        let ahead: Vec<StepKey> = self.steps_to_request_ahead.drain().collect();
        for step in ahead {
            if self.ticket_requests_in_flight < self.settings.max_ticket_requests {
                self.request_for_step(now, &step, &mut blocked_steps);
            }
        }
    }

    /// Returns the waiting steps of queues with an advice policy, in the order of placement: all in a
    /// window, or those that were never checked.
    fn steps_needing_tickets(&self, window: &QueueWindow<'_>, all: bool) -> Vec<StepKey> {
        let steps = window.steps().map(|(_, step)| step);
        let steps_with_policy = steps.filter(|key| {
            let job = self.jobs.get(&key.job);
            let job = job.filter(|job| job.record.policy.advice.is_some());
            let step = job.and_then(|job| job.step(key));
            step.is_some_and(|step| all || !step.tickets.checked) && self.team_has_room(key)
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
        if job.record.policy.advice.is_none() {
            return;
        }
        let Some(step) = job.step(key) else {
            return;
        };
        if !self.may_request(now, step) {
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
            if self.ticket_requests_in_flight < self.settings.max_ticket_requests {
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
            let max_in_advance = self.settings.max_ticket_requests / ADVANCE_REQUESTS_DIVISOR;
            if !has_room && self.ticket_requests_in_flight >= max_in_advance {
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
            let step = self.step(&key);
            if step.is_some_and(|step| self.may_request(now, step)) {
                self.send_request(now, &key, workers);
            }
            self.steps_lacking_tickets.insert(key);
        }
    }

    /// Whether a request for a step may be sent now.
    fn may_request(&self, now: TimeMs, step: &Step) -> bool {
        let max_requests = if step.tickets.is_overdue(now) {
            self.settings.max_ticket_requests / REPEATED_REQUESTS_DIVISOR
        } else {
            self.settings.max_ticket_requests
        };
        self.ticket_requests_in_flight < max_requests && step.tickets.may_request(now)
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
        self.ticket_requests_in_flight += 1;
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
        self.ticket_requests_in_flight = self.ticket_requests_in_flight.saturating_sub(1);
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
