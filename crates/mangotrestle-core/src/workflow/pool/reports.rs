//! Polls workers and handles their reports.

use std::cmp::Ordering;

use crate::collections::FastSet;
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::crash_evidence::STARTUP_SPAN;
use super::super::job::{MemberKey, Phase};
use super::super::message::{RunningTask, WorkerEntry, WorkerReport};
use super::super::worker::Worker;
use super::progress::scaled;
use super::{Note, Order, Pool, PoolSettings, lives};

/// Time between two polls of a worker that does not answer.
const UNRESPONSIVE_POLL_INTERVAL: SpanMs = SpanMs(400);
/// Maximum wait of a poll at a worker where a serving task beside best-effort tasks exceeds its
/// target latency.
const OVERRUN_HOLD_WAIT: SpanMs = SpanMs(400);
/// Minimum wait of a poll at a worker whose runs should have ended.
const MIN_HOLD_WAIT: SpanMs = SpanMs(400);
/// Number of standard deviations above the median of a run time until which a poll waits for the end.
const END_DEVIATIONS: f64 = 1.0;
/// Divisor of the maximum overrun time that gives the maximum wait of a poll at a worker where
/// best-effort tasks run beside serving tasks that are within their targets.
const SHARED_HOLD_WAIT_DIVISOR: u64 = 4;
/// Number of polls of a worker in the time of the shortest objective of a job there, within the
/// bounds of the poll interval.
const POLLS_PER_OBJECTIVE: u64 = 50;
/// Maximum time from a worker's report to the next poll.
const MAX_POLL_INTERVAL: SpanMs = SpanMs(250);
/// Maximum time for which a poll waits until the ends that the worker has listed are durable. An
/// earlier poll could not acknowledge them, so the worker would answer at once and list them again:
/// a leader whose commits are late would poll most. A tenth of a lease.
const MAX_POLL_DELAY_FOR_COMMIT: SpanMs = SpanMs(1_000);
/// Minimum time between two stop orders for one unexpected run; longer than a stop takes.
const UNEXPECTED_RUN_STOP_INTERVAL: SpanMs = SpanMs(1_000);

/// Reason for which a poll gave no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollFailure {
    /// The worker has seen a leader with a higher term.
    Fenced,
    /// Another incarnation of a worker answered at this address.
    OtherIncarnation,
    /// There was no answer, or it could not be read.
    NoAnswer,
}

/// Returns the maximum time for which a worker may delay the answer to a poll, if an end is expected
/// within `until_end`: an answer that is lost must not hold back the end of a short run for long.
fn hold_wait(settings: &PoolSettings, worker: &Worker, until_end: SpanMs) -> SpanMs {
    let is_shared = worker.serving_tasks > 0 && worker.best_effort_tasks > 0;
    match () {
        () if worker.tasks.is_empty() || !worker.answered || worker.ends_may_be_cut => SpanMs(0),
        () if worker.trial.is_some() => STARTUP_SPAN,
        () if is_shared && worker.over_target => OVERRUN_HOLD_WAIT,
        () if is_shared => SpanMs(settings.max_target_overrun.0 / SHARED_HOLD_WAIT_DIVISOR),
        () => until_end.max(MIN_HOLD_WAIT).min(settings.max_hold_wait),
    }
}

fn is_poll_due(now: TimeMs, worker: &Worker) -> bool {
    let needs_poll = !worker.tasks.is_empty()
        || worker.unexpected_runs > 0
        || (worker.is_unresponsive() && worker.missing_since.is_none())
        || (!worker.answered && !worker.entry.draining && worker.missing_since.is_none());
    let due_at = if worker.has_undurable_ends() {
        worker.next_hold_at + MAX_POLL_DELAY_FOR_COMMIT
    } else {
        worker.next_hold_at
    };
    (needs_poll || worker.has_unacknowledged_ends())
        && worker.hold_sent_at.is_none()
        && now >= due_at
        && !worker.ended
        && !worker.entry.address.is_empty()
}

impl Pool {
    /// Polls every worker whose poll is due.
    pub(super) fn poll_workers(&mut self, now: TimeMs) {
        let workers = self.workers.iter();
        let due = workers.filter(|(_, worker)| is_poll_due(now, worker));
        let due = due.map(|(id, worker)| {
            let until_end = self.first_end(now, worker).since(now);
            (id.clone(), hold_wait(&self.settings, worker, until_end))
        });
        let due: Vec<(id::WorkerId, SpanMs)> = due.collect();
        for (id, wait) in due {
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            // The lease of an unresponsive worker is left to expire, since only then may its runs
            // start elsewhere.
            let extends_lease = worker.clock.is_known() && !worker.is_unresponsive();
            let max_lease = self.settings.max_lease;
            let deadline = extends_lease.then(|| Self::deadline(worker, now, max_lease));
            let last_seen = worker.begin_poll(now);
            self.orders.push(Order::Hold {
                worker: id,
                life: worker.life,
                address: worker.entry.address.clone(),
                deadline,
                last_seen,
                wait,
            });
        }
    }

    /// Returns when the first run of a worker should have ended, with a margin for long ones.
    fn first_end(&self, now: TimeMs, worker: &Worker) -> TimeMs {
        let ends = worker.tasks.keys().filter_map(|key| {
            let job = self.jobs.get(&key.unit.step.job)?;
            let spec = &job.record.steps[key.unit.step.step as usize];
            if spec.persistent {
                return None;
            }
            let member = job.unit(&key.unit)?.members.get(key.member as usize)?;
            let forecast = self.estimates.forecast(&job.record.policy.queue, spec);
            let usual_ms = forecast.above_median_ms(END_DEVIATIONS);
            let time_ms = scaled(usual_ms, 1.0 / worker.learned_speed.factor());
            Some(member.phase_since + SpanMs(time_ms))
        });
        ends.min().unwrap_or(now + self.settings.max_hold_wait)
    }

    /// Records that the poll in flight is sent again, without acknowledging ends.
    pub fn poll_repeated(&mut self, id: &id::WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.acknowledge_nothing();
        }
    }

    /// Handles a worker's report, or the reason why there is none.
    pub fn hold_answered(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        answer: Result<WorkerReport, PollFailure>,
    ) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let sent_at = worker.hold_sent_at.take().unwrap_or(now);
        match answer {
            Ok(report) => self.apply_report(now, id, sent_at, &report),
            Err(PollFailure::OtherIncarnation) if worker.is_call_to_present_life(sent_at) => {
                worker.mark_ended(now);
                self.settle_lapsed_workers(now);
            }
            Err(PollFailure::OtherIncarnation) => worker.next_hold_at = now,
            Err(PollFailure::Fenced) => worker.next_hold_at = now + UNRESPONSIVE_POLL_INTERVAL,
            Err(PollFailure::NoAnswer) => {
                let was_unresponsive = worker.is_unresponsive();
                worker.note_unanswered(now);
                worker.next_hold_at = now + UNRESPONSIVE_POLL_INTERVAL;
                if worker.is_unresponsive() && !was_unresponsive {
                    self.notes.push(Note::WorkerUnresponsive {
                        worker: id.clone(),
                        runs: worker.tasks.len(),
                    });
                }
            }
        }
    }

    fn apply_report(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        sent_at: TimeMs,
        report: &WorkerReport,
    ) {
        let poll_interval = self.poll_interval(id);
        if !self.is_of_present_life(now, id, report) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.record_poll_answer(now, sent_at);
        worker.note_answer(now, report.clock);
        // A poll that was sent before its life was known did not carry the token of that life.
        if !worker.answered && worker.is_call_to_present_life(sent_at) {
            worker.answered = true;
            worker.previous_lease_until = None;
            // An earlier leader may have extended the lease just before this poll.
            let latest = worker.clock.estimate(now) + self.settings.max_lease;
            worker.latest_deadline = worker.latest_deadline.max(latest);
            self.placing_due = true;
        }
        let previous_end = worker.received_end;
        worker.received_end = worker.received_end.max(report.highest_number);
        worker.ends_may_be_cut = report.ends_may_be_cut;
        // The next poll brings the other ends if it acknowledges these.
        worker.next_hold_at = if report.ends_may_be_cut {
            now
        } else {
            now + poll_interval
        };
        let mut present = FastSet::default();
        let mut unexpected_runs = 0;
        for running in &report.running {
            match self.apply_running(now, id, running) {
                Some(key) => {
                    if self.apply_progress(now, id, &key, running) {
                        self.move_run(now, id, &key, running.percent);
                    }
                    present.insert(key);
                }
                None => unexpected_runs += 1,
            }
        }
        for finished in &report.finished {
            if finished.number > previous_end {
                if let Some(worker) = self.workers.get_mut(id) {
                    worker.add_undurable_end(finished.number, &finished.task.job);
                }
                self.run_ended(
                    now,
                    id,
                    &finished.task,
                    finished.run,
                    finished.end,
                    &finished.checkpoint,
                );
            }
        }
        if report.ends_may_be_cut {
            self.note_cut_report(id, report.finished.len());
        }
        self.settle_missing_runs(now, id, sent_at, &present);
        self.end_survived_trial(id);
        let over_target = present.iter().any(|key| {
            let member = self.member(key);
            member.is_some_and(|member| member.over_target_since.is_some())
        });
        if let Some(worker) = self.workers.get_mut(id) {
            worker.unexpected_runs = unexpected_runs;
            worker.over_target = over_target;
            let is_open = |job: &id::JobId| self.dirty.contains(job) || self.writing.contains(job);
            worker.record_durable_ends(worker.last_end_before(is_open));
        }
    }

    /// Whether a report is of the present life of a worker, which begins if the report is the first
    /// to show it.
    fn is_of_present_life(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        report: &WorkerReport,
    ) -> bool {
        let Some(worker) = self.workers.get_mut(id) else {
            return false;
        };
        match lives::compare_lives(report.born_ms, worker.entry.born_ms) {
            Ordering::Less => {
                worker.next_hold_at = now;
                return false;
            }
            Ordering::Equal => {}
            Ordering::Greater => {
                let entry = WorkerEntry {
                    born_ms: report.born_ms,
                    clock: report.clock,
                    ..worker.entry.clone()
                };
                self.begin_life(now, entry, false);
            }
        }
        true
    }

    /// Returns the time until the next poll of a worker: the minimum while work waits to be placed,
    /// otherwise a small part of the shortest objective of a job there.
    fn poll_interval(&self, id: &id::WorkerId) -> SpanMs {
        let min_interval = self.settings.min_poll_interval;
        let Some(worker) = self.workers.get(id) else {
            return min_interval;
        };
        if !self.waiting.is_empty() {
            return min_interval;
        }
        let objectives = worker.tasks.keys().filter_map(|key| {
            let job = self.jobs.get(&key.unit.step.job)?;
            Some(job.record.objective_ms())
        });
        let interval_ms = objectives.min().unwrap_or_default() / POLLS_PER_OBJECTIVE;
        SpanMs(interval_ms.clamp(min_interval.0, MAX_POLL_INTERVAL.0.max(min_interval.0)))
    }

    /// Applies a run that a worker reports. Stops an unexpected run and returns `None` for it.
    fn apply_running(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        running: &RunningTask,
    ) -> Option<MemberKey> {
        let key = self.expected_member(worker, running);
        let Some(key) = key else {
            self.stop_unexpected_run(now, worker, running);
            return None;
        };
        let born_ms = self.workers.get(worker)?.entry.born_ms;
        let job = self.jobs.get_mut(&key.unit.step.job)?;
        let target_ms = job.record.steps[key.unit.step.step as usize].target_latency_ms;
        let unit = job.unit_mut(&key.unit)?;
        if !running.checkpoint.is_empty() {
            unit.checkpoint.clone_from(&running.checkpoint);
        }
        let member = &mut unit.members[key.member as usize];
        member.born_ms = born_ms;
        let over_target = target_ms > 0
            && running
                .measurement
                .is_some_and(|tail_ms| tail_ms > target_ms);
        member.over_target_since = if over_target {
            member.over_target_since.or(Some(now))
        } else {
            None
        };
        if matches!(member.phase, Phase::Bound | Phase::Ordered) {
            member.phase = Phase::Running;
            member.phase_since = now;
            member.confirmed_at = now;
            member.started_at = Some(now);
            job.begun = true;
        }
        Some(key)
    }

    /// Returns the member that a run on a worker belongs to, if it is the member's current run.
    fn expected_member(&self, worker: &id::WorkerId, running: &RunningTask) -> Option<MemberKey> {
        let job = self.jobs.get(&running.task.job)?;
        let key = job.member_key(&running.task)?;
        let unit = job.unit(&key.unit)?;
        let member = &unit.members[key.member as usize];
        let current = unit.run == running.run && member.worker.as_ref() == Some(worker);
        current.then_some(key)
    }

    fn stop_unexpected_run(&mut self, now: TimeMs, id: &id::WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let key = (id.clone(), running.task.clone(), running.run);
        let last_stop = self.unexpected_run_stops.get(&key).copied();
        if last_stop.is_some_and(|at| now.since(at) < UNEXPECTED_RUN_STOP_INTERVAL) {
            return;
        }
        self.unexpected_run_stops
            .retain(|_, at| now.since(*at) < UNEXPECTED_RUN_STOP_INTERVAL);
        self.unexpected_run_stops.insert(key, now);
        self.notes.push(Note::UnexpectedRun {
            task: running.task.clone(),
            run: running.run,
            worker: id.clone(),
        });
        self.orders.push(Order::Stop {
            worker: id.clone(),
            life: worker.life,
            address: worker.entry.address.clone(),
            task: running.task.clone(),
            run: running.run,
        });
    }

    /// Notes a report that may lack ended runs.
    fn note_cut_report(&mut self, id: &id::WorkerId, listed: usize) {
        if let Some(worker) = self.workers.get(id) {
            self.notes.push(Note::EndsCut {
                worker: id.clone(),
                listed,
                received_end: worker.received_end,
                durable_end: worker.durable_end,
            });
        }
    }

    /// Handles members that should be on a worker and are not in its report. A report that may lack ended
    /// runs says nothing of them: they may be among those.
    fn settle_missing_runs(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        sent_at: TimeMs,
        present: &FastSet<MemberKey>,
    ) {
        let missing: Vec<MemberKey> = self
            .workers
            .get(id)
            .into_iter()
            .flat_map(|worker: &Worker| worker.tasks.keys())
            .filter(|key| !present.contains(*key))
            .cloned()
            .collect();
        let is_complete = self
            .workers
            .get(id)
            .is_some_and(|worker| !worker.ends_may_be_cut);
        if is_complete {
            self.settle_earlier_lives(now, id, sent_at, &missing);
        }
        for key in missing {
            let Some(unit) = self.unit(&key.unit) else {
                continue;
            };
            let member = &unit.members[key.member as usize];
            let polled_after_confirmation = sent_at > member.confirmed_at;
            match member.phase {
                Phase::Bound => self.send_start(now, &key),
                Phase::Running if is_complete && polled_after_confirmation => {
                    self.notes.push(Note::RunMissing {
                        task: key.task_name(),
                        run: unit.run,
                        worker: id.clone(),
                        received_end: self.workers.get(id).map_or(0, |worker| worker.received_end),
                    });
                    self.stop_member(now, &key);
                }
                Phase::Stopped if is_complete && polled_after_confirmation => {
                    self.release(now, &key);
                    self.abort_run(now, &key.unit);
                }
                _ => {}
            }
        }
    }
}
