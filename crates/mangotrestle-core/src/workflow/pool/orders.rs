//! Hands out orders and takes their answers.

use std::cmp::Ordering;
use std::sync::Arc;

use crate::collections::FastMap;
use crate::id;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::super::job::{MemberKey, Phase, Unit};
use super::super::message::{OrderAnswer, TaskName};
use super::super::start_calls::StartOutcome;
use super::super::worker::Worker;
use super::{Note, Order, Pool, lives};

/// Maximum number of unanswered start orders for one run, after which it is withdrawn from the
/// worker.
const MAX_UNANSWERED_STARTS: u32 = 3;
/// Delay before an order that was not carried out is sent again.
const RETRY_DELAY: SpanMs = SpanMs(150);
/// Delay before a stop is tried again if the platform does not list its worker.
const UNLISTED_RETRY_DELAY: SpanMs = SpanMs(500);
/// Time by which leases are shorter than the maximum, so that no worker has to shorten them.
const LEASE_MARGIN: SpanMs = SpanMs(500);

impl Pool {
    /// Returns the deadline for an order that is sent now, and records it for the worker.
    pub(super) fn deadline(worker: &mut Worker, now: TimeMs, max_lease: SpanMs) -> WorkerTimeMs {
        let deadline = worker.clock.estimate(now) + max_lease - LEASE_MARGIN;
        worker.latest_deadline = worker.latest_deadline.max(deadline);
        deadline
    }

    /// Sends the start order of a member whose assignment is durable. If the queue needs tickets, the
    /// order waits until there are valid ones for all members of the unit.
    pub(super) fn send_start(&mut self, now: TimeMs, key: &MemberKey) {
        if self.worker_list_age(now) >= self.settings.max_list_age {
            // The worker may have begun to drain.
            self.retries.insert((now + RETRY_DELAY, key.clone()));
            return;
        }
        let job = self.jobs.get(&key.unit.step.job);
        let is_within_team_limit = job.is_some_and(|job| self.is_within_team_limit(job));
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let payload = Arc::clone(&job.record.payload);
        let needs_ticket = job.record.policy.advice.is_some();
        let Some(step) = job.step_mut(&key.unit.step) else {
            return;
        };
        let unit = &mut step.units[key.unit.unit as usize];
        if unit.is_unordered() && !can_start(unit, &self.workers) {
            self.abort_run(now, &key.unit);
            return;
        }
        if unit.done {
            // An earlier leader bound this run before it learned that an earlier run is done.
            self.stop_member(now, key);
            return;
        }
        let member = &unit.members[key.member as usize];
        let (Phase::Bound, Some(id)) = (member.phase, member.worker.clone()) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.entry.address.is_empty() || !worker.clock.is_known() {
            return;
        }
        let lives = lives::compare_lives(member.born_ms, worker.entry.born_ms);
        if lives == Ordering::Less || worker.entry.draining || !worker.is_within_capacity() {
            self.withdraw(now, key);
            return;
        }
        if !is_within_team_limit && !member.start_calls.is_open() {
            // The cap has shrunk since the run was assigned.
            self.withdraw(now, key);
            return;
        }
        if worker.is_unresponsive() {
            // An order would extend the lease, and only its expiry lets the run start elsewhere.
            if !member.start_calls.is_open() {
                self.withdraw(now, key);
            }
            return;
        }
        // A gang whose members start at different times wastes the work of those that wait.
        if needs_ticket && !step.tickets.cover(unit, now) {
            self.steps_lacking_tickets.insert(key.unit.step.clone());
            return;
        }
        let ticket = step.tickets.valid(&id, now);
        let ticket = ticket.map(|ticket| ticket.text.clone());
        let member = &mut unit.members[key.member as usize];
        member.phase = Phase::Ordered;
        member.phase_since = now;
        member.start_calls.add_call();
        let deadline = Self::deadline(worker, now, self.settings.max_lease);
        self.orders.push(Order::Start {
            worker: id,
            life: worker.life,
            address: worker.entry.address.clone(),
            member: key.clone(),
            run: unit.run,
            payload,
            deadline,
            checkpoint: unit.checkpoint.clone(),
            ticket,
        });
    }

    /// Records that the start in flight is about to be sent in a second call. Returns whether it still
    /// should be; the outcome of the call is reported in either case.
    pub fn start_repeated(&mut self, key: &MemberKey, run: u32) -> bool {
        let Some(unit) = self.unit_mut(&key.unit).filter(|unit| unit.run == run) else {
            return false;
        };
        let member = &mut unit.members[key.member as usize];
        member.start_calls.add_call();
        member.phase == Phase::Ordered
    }

    /// Handles the outcome of a start order.
    pub fn start_answered(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        key: &MemberKey,
        run: u32,
        outcome: &StartOutcome,
        clock: Option<WorkerTimeMs>,
    ) {
        let answer = outcome.answer();
        let sent_at = self.ordered_at(key, run, Phase::Ordered);
        if let Some(sent_at) = sent_at.filter(|_| answer.is_of_worker()) {
            self.order_lag.record(now, now.since(sent_at));
        }
        self.record_order_answer(now, worker, sent_at, answer, clock);
        let has_ended = self.workers.get(worker).is_none_or(|worker| worker.ended);
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let is_first_start = !job.begun && *answer == OrderAnswer::Done;
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        if unit.run != run || member.worker.as_ref() != Some(worker) {
            return;
        }
        member.start_calls.record_outcome(outcome);
        let unanswered_orders = member.start_calls.unanswered_orders();
        if *answer != OrderAnswer::Done {
            self.notes.push(Note::OrderFailed {
                task: key.task_name(),
                run,
                worker: worker.clone(),
                answer: answer.clone(),
                open_calls: member.start_calls.open(),
            });
        }
        if member.phase != Phase::Ordered {
            return;
        }
        match answer {
            OrderAnswer::Done | OrderAnswer::Old => {
                member.phase = Phase::Running;
                member.phase_since = now;
                member.confirmed_at = now;
                member.started_at = Some(now);
                if is_first_start {
                    job.begun = true;
                }
            }
            OrderAnswer::Late => {
                member.phase = Phase::Bound;
                self.send_start(now, key);
            }
            OrderAnswer::Ticket => {
                member.phase = Phase::Bound;
                if let Some(step) = job.step_mut(&key.unit.step) {
                    step.tickets.invalidate(worker);
                }
                self.send_start(now, key);
            }
            OrderAnswer::Fenced => member.phase = Phase::Bound,
            OrderAnswer::NotSent | OrderAnswer::Unknown
                if unanswered_orders < MAX_UNANSWERED_STARTS =>
            {
                member.phase = Phase::Bound;
                self.retries.insert((now + RETRY_DELAY, key.clone()));
                self.withdraw_if_unresponsive(now, worker, key);
            }
            OrderAnswer::OtherLife if has_ended => self.settle_lapsed_workers(now),
            OrderAnswer::OtherLife
            | OrderAnswer::NoRoom
            | OrderAnswer::Malformed
            | OrderAnswer::Unhealthy
            | OrderAnswer::NotSent
            | OrderAnswer::Unknown => {
                member.phase = Phase::Bound;
                self.withdraw(now, key);
            }
        }
    }

    /// Withdraws a run from an unresponsive worker if no start order for it can still be carried
    /// out.
    fn withdraw_if_unresponsive(&mut self, now: TimeMs, worker: &id::WorkerId, key: &MemberKey) {
        let unresponsive = self
            .workers
            .get(worker)
            .is_some_and(Worker::is_unresponsive);
        let cannot_start = self
            .member(key)
            .is_some_and(|member| !member.start_calls.is_open());
        if unresponsive && cannot_start {
            self.withdraw(now, key);
        }
    }

    /// Withdraws a run from its worker: at once if no order for it can still arrive, otherwise
    /// after a stop.
    fn withdraw(&mut self, now: TimeMs, key: &MemberKey) {
        self.stop_member(now, key);
        self.abort_run(now, &key.unit);
    }

    /// Stops a member, or frees it if no start order for it can still be carried out.
    pub(super) fn stop_member(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        match member.phase {
            Phase::Free | Phase::Stopping | Phase::Stopped => {}
            // The row in the commit in flight may become durable, but no order was sent for it.
            Phase::Planned | Phase::Writing => self.release(now, key),
            Phase::Bound if !member.start_calls.is_open() => self.release(now, key),
            Phase::Bound | Phase::Ordered | Phase::Running => {
                member.phase = Phase::Stopping;
                member.phase_since = now;
                self.send_stop(now, key);
            }
        }
    }

    fn send_stop(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(unit) = self.unit(&key.unit) else {
            return;
        };
        let member = &unit.members[key.member as usize];
        let Some(id) = &member.worker else {
            return;
        };
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if worker.entry.address.is_empty() {
            self.retries
                .insert((now + UNLISTED_RETRY_DELAY, key.clone()));
            return;
        }
        self.orders.push(Order::Stop {
            worker: id.clone(),
            life: worker.life,
            address: worker.entry.address.clone(),
            task: key.task_name(),
            run: unit.run,
        });
    }

    /// Handles the answer to a stop.
    pub fn stop_answered(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        task: &TaskName,
        run: u32,
        answer: &OrderAnswer,
        clock: Option<WorkerTimeMs>,
    ) {
        let Some(key) = self.member_key(task) else {
            self.record_order_answer(now, worker, None, answer, clock);
            return;
        };
        let sent_at = self.ordered_at(&key, run, Phase::Stopping);
        self.record_order_answer(now, worker, sent_at, answer, clock);
        let has_ended = self.workers.get(worker).is_none_or(|worker| worker.ended);
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        let current = unit.run == run && member.worker.as_ref() == Some(worker);
        if !current || member.phase != Phase::Stopping {
            return;
        }
        match answer {
            OrderAnswer::Done | OrderAnswer::Old => {
                member.phase = Phase::Stopped;
                member.phase_since = now;
                member.confirmed_at = now;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_hold_at = worker.next_hold_at.min(now);
                }
            }
            OrderAnswer::OtherLife if has_ended => self.settle_lapsed_workers(now),
            _ => {
                self.retries.insert((now + RETRY_DELAY, key));
            }
        }
    }

    /// Sends orders again once their retry delay is over.
    pub(super) fn resend_orders(&mut self, now: TimeMs) {
        while let Some((at, key)) = self.retries.first().cloned() {
            if at > now {
                return;
            }
            self.retries.pop_first();
            let phase = self
                .unit(&key.unit)
                .map(|unit| unit.members[key.member as usize].phase);
            match phase {
                Some(Phase::Bound) => self.send_start(now, &key),
                Some(Phase::Stopping) => self.send_stop(now, &key),
                _ => {}
            }
        }
    }

    /// Returns the time of the first order of a kind for a run, if it is in that phase.
    fn ordered_at(&self, key: &MemberKey, run: u32, phase: Phase) -> Option<TimeMs> {
        let unit = self.unit(&key.unit).filter(|unit| unit.run == run)?;
        let member = &unit.members[key.member as usize];
        (member.phase == phase).then_some(member.phase_since)
    }

    /// Records what the answer to an order that was sent at this time says of its worker. Only the
    /// answer to an order that was surely sent to the present life gives its clock or its end.
    fn record_order_answer(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        sent_at: Option<TimeMs>,
        answer: &OrderAnswer,
        clock: Option<WorkerTimeMs>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let to_present_life = sent_at.is_some_and(|at| worker.is_call_to_present_life(at));
        let clock = clock.filter(|_| to_present_life);
        match answer {
            OrderAnswer::Unknown | OrderAnswer::NotSent => worker.note_unanswered(now),
            OrderAnswer::Unhealthy | OrderAnswer::NoRoom => {
                worker.note_answer(now, clock);
                worker.note_refusal(now);
            }
            OrderAnswer::OtherLife if to_present_life => worker.mark_ended(now),
            OrderAnswer::OtherLife => {}
            _ => worker.note_answer(now, clock),
        }
    }
}

/// Whether all workers of a unit that is not ordered yet may get a start order.
fn can_start(unit: &Unit, workers: &FastMap<id::WorkerId, Worker>) -> bool {
    unit.unordered_workers().all(|id| {
        let worker = workers.get(id);
        worker.is_some_and(|worker| !worker.entry.draining && !worker.is_unresponsive())
    })
}
