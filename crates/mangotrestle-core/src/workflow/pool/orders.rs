//! Hands out orders and takes their answers.

use std::sync::Arc;

use crate::id;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::super::job::{MemberKey, Phase};
use super::super::message::{OrderAnswer, TaskName};
use super::super::worker::Worker;
use super::{Note, Order, Pool};

/// Orders for one run that may go unanswered before the run is given up there.
const MOST_UNANSWERED: u32 = 3;
/// Pause before an order is sent again that did not reach its worker.
const RETRY_PAUSE: SpanMs = SpanMs(150);
/// Pause before a stop is tried again whose worker the platform does not list.
const UNLISTED_PAUSE: SpanMs = SpanMs(500);
/// Part of the longest lease that is kept back, so that no worker has to shorten it.
const HOLD_MARGIN: SpanMs = SpanMs(500);

impl Pool {
    /// Deadline for an order that is sent now, noted as given to the worker.
    pub(super) fn deadline(worker: &mut Worker, now: TimeMs, longest: SpanMs) -> WorkerTimeMs {
        let deadline = worker.clock.estimate(now) + longest - HOLD_MARGIN;
        worker.latest_deadline = worker.latest_deadline.max(deadline);
        deadline
    }

    /// Sends the order to start a member that is durably bound; asks for a ticket first where the
    /// queue wants one and there is none.
    pub(super) fn send_start(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let payload = Arc::clone(&job.record.payload);
        let needs_ticket = job.record.policy.advice.is_some();
        let Some(step) = job.step_mut(&key.unit.step) else {
            return;
        };
        let unit = &mut step.units[key.unit.unit as usize];
        let member = &mut unit.members[key.member as usize];
        let (Phase::Bound, Some(id)) = (member.phase, member.worker.clone()) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(&id) else {
            return;
        };
        if worker.entry.address.is_empty() || !worker.clock.is_known() {
            return;
        }
        if worker.is_silent() {
            // An order would extend the lease, whose lapse is the way out.
            if member.unanswered == 0 {
                self.withdraw(now, key);
            }
            return;
        }
        let ticket = step
            .tickets
            .valid(&id, now)
            .map(|ticket| ticket.text.clone());
        if needs_ticket && ticket.is_none() {
            let step = key.unit.step.clone();
            self.ask_again(now, &step, &id);
            return;
        }
        member.phase = Phase::Ordered;
        member.since = now;
        let deadline = Self::deadline(worker, now, self.settings.max_lease);
        self.orders.push(Order::Start {
            worker: id,
            address: worker.entry.address.clone(),
            member: key.clone(),
            run: unit.run,
            payload,
            deadline,
            checkpoint: unit.checkpoint.clone(),
            ticket,
        });
    }

    /// Takes the answer to a start.
    pub fn start_answered(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        key: &MemberKey,
        run: u32,
        answer: &OrderAnswer,
        clock: Option<WorkerTimeMs>,
    ) {
        self.note_order_answer(now, worker, answer, clock);
        let Some(job) = self.jobs.get_mut(&key.unit.step.job) else {
            return;
        };
        let began = !job.begun && *answer == OrderAnswer::Done;
        let Some(unit) = job.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        if unit.run != run || member.worker.as_ref() != Some(worker) {
            return;
        }
        if *answer == OrderAnswer::Unknown {
            member.unanswered += 1;
        }
        let unanswered = member.unanswered;
        if *answer != OrderAnswer::Done {
            self.notes.push(Note::OrderFailed {
                task: key.task_name(),
                run,
                worker: worker.clone(),
                answer: answer.clone(),
            });
        }
        if member.phase != Phase::Ordered {
            return;
        }
        match answer {
            OrderAnswer::Done | OrderAnswer::Old => {
                member.phase = Phase::Running;
                member.since = now;
                member.confirmed_at = now;
                if began {
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
                    step.tickets.reject(worker);
                }
                self.send_start(now, key);
            }
            OrderAnswer::Fenced => member.phase = Phase::Bound,
            OrderAnswer::NotSent | OrderAnswer::Unknown if unanswered < MOST_UNANSWERED => {
                member.phase = Phase::Bound;
                self.retries.insert((now + RETRY_PAUSE, key.clone()));
                self.give_up_if_silent(now, worker, key);
            }
            OrderAnswer::OtherLife => self.settle_lapsed_workers(now),
            OrderAnswer::NoRoom
            | OrderAnswer::Malformed
            | OrderAnswer::Unhealthy
            | OrderAnswer::NotSent
            | OrderAnswer::Unknown => {
                member.phase = Phase::Bound;
                self.withdraw(now, key);
            }
        }
    }

    /// Places a run elsewhere of which no order has left, when its worker does not answer.
    fn give_up_if_silent(&mut self, now: TimeMs, worker: &id::WorkerId, key: &MemberKey) {
        let silent = self.workers.get(worker).is_some_and(Worker::is_silent);
        let unsent = self
            .unit(&key.unit)
            .is_some_and(|unit| unit.members[key.member as usize].unanswered == 0);
        if silent && unsent {
            self.withdraw(now, key);
        }
    }

    /// Takes a run back from its worker: at once if no order for it can come late, after a stop
    /// otherwise.
    fn withdraw(&mut self, now: TimeMs, key: &MemberKey) {
        self.stop_member(now, key);
        self.collapse(now, &key.unit);
    }

    /// Stops a member, or frees it if no order for it was ever sent.
    pub(super) fn stop_member(&mut self, now: TimeMs, key: &MemberKey) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let member = &mut unit.members[key.member as usize];
        match member.phase {
            Phase::Free | Phase::Stopping | Phase::Stopped => {}
            // A row that is being written may become durable, but no order was sent for it.
            Phase::Planned | Phase::Writing => self.release(now, key),
            Phase::Bound if member.unanswered == 0 => self.release(now, key),
            Phase::Bound | Phase::Ordered | Phase::Running => {
                member.phase = Phase::Stopping;
                member.since = now;
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
            self.retries.insert((now + UNLISTED_PAUSE, key.clone()));
            return;
        }
        self.orders.push(Order::Stop {
            worker: id.clone(),
            address: worker.entry.address.clone(),
            task: key.task_name(),
            run: unit.run,
        });
    }

    /// Takes the answer to a stop.
    pub fn stop_answered(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        task: &TaskName,
        run: u32,
        answer: &OrderAnswer,
        clock: Option<WorkerTimeMs>,
    ) {
        self.note_order_answer(now, worker, answer, clock);
        let Some(key) = self.member_key(task) else {
            return;
        };
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
                member.since = now;
                member.confirmed_at = now;
                if let Some(worker) = self.workers.get_mut(worker) {
                    worker.next_hold_at = worker.next_hold_at.min(now);
                }
            }
            OrderAnswer::OtherLife => self.settle_lapsed_workers(now),
            OrderAnswer::Fenced => {}
            _ => {
                self.retries.insert((now + RETRY_PAUSE, key));
            }
        }
    }

    /// Sends orders again whose pause is over.
    pub(super) fn send_again(&mut self, now: TimeMs) {
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

    fn note_order_answer(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        answer: &OrderAnswer,
        clock: Option<WorkerTimeMs>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match answer {
            OrderAnswer::Unknown | OrderAnswer::NotSent => worker.note_silence(now),
            OrderAnswer::Unhealthy | OrderAnswer::NoRoom => {
                worker.note_answer(now, clock);
                worker.note_refusal(now);
            }
            OrderAnswer::OtherLife => {
                worker.end_life(now);
            }
            _ => worker.note_answer(now, clock),
        }
    }
}
