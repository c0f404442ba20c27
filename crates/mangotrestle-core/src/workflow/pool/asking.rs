//! Has tickets asked for: what is needed soonest first, as few workers as serve.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Phase, StepKey};
use super::super::worker::Worker;
use super::{Note, Order, Pool};

/// Most workers in one question.
const MOST_WORKERS: usize = 60;
/// Workers in a question that only renews tickets.
const RENEWED_WORKERS: usize = 8;
/// Pause after a question that was refused or not answered.
const RETRY_PAUSE: SpanMs = SpanMs(120);
/// Time after which a question counts as lost.
const QUESTION_LOST: SpanMs = SpanMs(4_000);
/// Steps without room, in the order of service, whose tickets are kept valid.
const KEPT_FRESH: usize = 6;
/// Remaining life of a ticket at which it is renewed for a step that waits.
const RENEW_BEFORE: SpanMs = SpanMs(100);

impl Pool {
    /// Sends the questions that are due.
    pub(super) fn ask(&mut self, now: TimeMs) {
        if self.questions_in_flight >= self.settings.max_ticket_requests {
            return;
        }
        let mut fresh = 0;
        for step in self.gated_steps() {
            if self.questions_in_flight >= self.settings.max_ticket_requests {
                return;
            }
            self.ask_for(now, &step, &mut fresh);
        }
        let ahead: Vec<StepKey> = self.ask_ahead.drain().collect();
        for step in ahead {
            if self.questions_in_flight < self.settings.max_ticket_requests {
                self.ask_for(now, &step, &mut fresh);
            }
        }
    }

    /// Waiting steps of queues whose policy an outside service knows, in the order of service.
    fn gated_steps(&self) -> Vec<StepKey> {
        let steps = self.waiting_steps().map(|(_, step)| step);
        let gated = steps.filter(|step| {
            let job = self.jobs.get(&step.job);
            job.is_some_and(|job| job.record.policy.advice.is_some())
        });
        gated.cloned().collect()
    }

    /// Asks about the steps that follow one of which a first unit is done.
    pub(super) fn note_ask_ahead(&mut self, key: &StepKey) {
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
                    self.ask_ahead.insert(next);
                }
            }
        }
    }

    fn ask_for(&mut self, now: TimeMs, key: &StepKey, fresh: &mut usize) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        if job.record.policy.advice.is_none() {
            return;
        }
        let Some(step) = job.step(key) else {
            return;
        };
        let in_flight = step
            .tickets
            .asked_at
            .is_some_and(|at| now.since(at) < QUESTION_LOST);
        if in_flight || step.tickets.retry_at > now {
            return;
        }
        let workers = self.workers_to_ask(now, key, fresh);
        if !workers.is_empty() {
            self.send_question(now, key, workers);
        }
    }

    /// Workers that a question about a step should name; none if no question is due.
    fn workers_to_ask(&self, now: TimeMs, key: &StepKey, fresh: &mut usize) -> Vec<id::WorkerId> {
        let (Some(job), Some(spec)) = (self.jobs.get(&key.job), self.step_spec(key)) else {
            return Vec::new();
        };
        let Some(step) = job.step(key) else {
            return Vec::new();
        };
        let need = spec.counted_need();
        let suits = |worker: &&Worker| {
            worker.takes_work(now)
                && need.fits_in(&worker.entry.capacity)
                && worker.matches(spec.constraint.as_deref())
        };
        let mut unknown: Vec<&Worker> = self
            .workers
            .values()
            .filter(suits)
            .filter(|worker| step.tickets.is_unknown(&worker.entry.worker))
            .collect();
        if !unknown.is_empty() {
            unknown.sort_by_key(|worker| (!need.fits_in(&worker.free()), &worker.entry.worker));
            unknown.truncate(MOST_WORKERS);
            return ids(&unknown);
        }
        let mut allowed: Vec<&Worker> = self
            .workers
            .values()
            .filter(suits)
            .filter(|worker| step.tickets.allows(&worker.entry.worker))
            .collect();
        let room = allowed.iter().any(|worker| need.fits_in(&worker.free()));
        let lapses = step.tickets.valid_until() <= now + RENEW_BEFORE;
        if !room {
            *fresh += 1;
        }
        if !lapses || (!room && *fresh > KEPT_FRESH) {
            return Vec::new();
        }
        allowed.sort_by_key(|worker| (!need.fits_in(&worker.free()), &worker.entry.worker));
        allowed.truncate(RENEWED_WORKERS.max(spec.unit_size() as usize));
        ids(&allowed)
    }

    /// Asks again about a worker to which a run is bound and whose ticket has lapsed.
    pub(super) fn ask_again(&mut self, now: TimeMs, key: &StepKey, worker: &id::WorkerId) {
        let Some(step) = self.step(key) else {
            return;
        };
        if step.tickets.asked_at.is_none() && step.tickets.retry_at <= now {
            let bound = self.bound_workers(key);
            let workers = if bound.is_empty() {
                vec![worker.clone()]
            } else {
                bound
            };
            self.send_question(now, key, workers);
        }
    }

    /// Workers to which runs of a step are bound without an order.
    fn bound_workers(&self, key: &StepKey) -> Vec<id::WorkerId> {
        let Some(step) = self.step(key) else {
            return Vec::new();
        };
        let mut workers: Vec<id::WorkerId> = step
            .units
            .iter()
            .flat_map(|unit| &unit.members)
            .filter(|member| member.phase == Phase::Bound)
            .filter_map(|member| member.worker.clone())
            .collect();
        workers.sort_unstable();
        workers.dedup();
        workers.truncate(MOST_WORKERS);
        workers
    }

    fn send_question(&mut self, now: TimeMs, key: &StepKey, workers: Vec<id::WorkerId>) {
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let policy = job.record.policy.advice.unwrap_or_default();
        let expected_delay = policy.answer_delay(workers.len());
        let Some(step) = job.step_mut(key) else {
            return;
        };
        step.tickets.asked_at = Some(now);
        self.questions_in_flight += 1;
        self.orders.push(Order::RequestTickets {
            step: key.clone(),
            workers,
            expected_delay,
        });
    }

    /// Takes the answer to a question; `None` if it was refused or not answered.
    pub fn advice_answered(
        &mut self,
        now: TimeMs,
        key: &StepKey,
        workers: &[id::WorkerId],
        answer: Option<(Vec<(id::WorkerId, String)>, SpanMs)>,
    ) {
        self.questions_in_flight = self.questions_in_flight.saturating_sub(1);
        let Some(job) = self.jobs.get_mut(&key.job) else {
            return;
        };
        let valid_ms = job.record.policy.advice.map_or(0, |advice| advice.valid_ms);
        let Some(step) = job.step_mut(key) else {
            return;
        };
        let asked_at = step.tickets.asked_at.take();
        self.notes.push(Note::Advised {
            step: key.clone(),
            asked: workers.len(),
            allowed: answer.as_ref().map(|(good, _)| good.len()),
            after: now.since(asked_at.unwrap_or(now)),
        });
        match answer {
            Some((good, valid)) => {
                let valid = if valid.0 > 0 { valid } else { SpanMs(valid_ms) };
                step.tickets.learn(now, workers, good, valid);
                self.placing_due = true;
            }
            None => step.tickets.retry_at = now + RETRY_PAUSE,
        }
        self.start_bound(now, key);
    }

    /// Sends the orders of a step's runs that waited for a ticket.
    fn start_bound(&mut self, now: TimeMs, key: &StepKey) {
        let Some(job) = self.jobs.get(&key.job) else {
            return;
        };
        let bound = job
            .assigned()
            .filter(|(member, state)| member.unit.step == *key && state.phase == Phase::Bound);
        let waiting: Vec<_> = bound.map(|(member, _)| member).collect();
        for member in waiting {
            self.send_start(now, &member);
        }
    }
}

fn ids(workers: &[&Worker]) -> Vec<id::WorkerId> {
    workers
        .iter()
        .map(|worker| worker.entry.worker.clone())
        .collect()
}
