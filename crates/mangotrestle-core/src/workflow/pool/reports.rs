//! Takes what workers say they have, and looks at workers when it is due.

use crate::collections::FastSet;
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{MemberKey, Phase};
use super::super::message::{RunningTask, WorkerReport};
use super::super::worker::Worker;
use super::{Note, Order, Pool};

/// Pause before a worker is looked at again that did not answer.
const SILENT_PAUSE: SpanMs = SpanMs(400);
/// Distance of looks at a worker where fillers may harm tasks that serve.
const SHARED_WAIT: SpanMs = SpanMs(400);
/// Part of a job's objective that a pause between looks may take, as a divisor.
const OBJECTIVE_GAPS: u64 = 50;
/// Longest pause between two looks in which ends gather.
const LONGEST_GAP: SpanMs = SpanMs(250);
/// Pause before a stop is sent again for a run that should not be there; longer than a stop takes.
const STRAY_PAUSE: SpanMs = SpanMs(1_000);

/// Why a look gave no report.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PollFailure {
    /// A leader with a higher term has been there.
    Fenced,
    /// Another life of a worker answered at this address.
    OtherIncarnation,
    /// No answer, or none that could be read.
    NoAnswer,
}

impl Pool {
    /// Looks at every worker whose look is due.
    pub(super) fn hold_workers(&mut self, now: TimeMs) {
        let settings = &self.settings;
        for (id, worker) in &mut self.workers {
            let wanted = !worker.tasks.is_empty()
                || worker.strays > 0
                || (worker.is_silent() && worker.missing_since.is_none())
                || (!worker.met && !worker.entry.draining && worker.missing_since.is_none());
            let owed = worker.durable_seen > worker.told_seen;
            let free = worker.hold_sent_at.is_none() && now >= worker.next_hold_at;
            if !(wanted || owed) || !free || worker.over || worker.entry.address.is_empty() {
                continue;
            }
            let wait = match () {
                () if worker.tasks.is_empty() || !worker.met => SpanMs(0),
                () if worker.serving > 0 && worker.filling > 0 => SHARED_WAIT,
                () => settings.max_hold_wait,
            };
            // The lapse of its lease is the way out for what runs on a worker that does not answer.
            let extends = worker.clock.is_known() && !worker.is_silent();
            let deadline = extends.then(|| Self::deadline(worker, now, settings.max_lease));
            worker.hold_sent_at = Some(now);
            worker.told_seen = worker.durable_seen;
            self.orders.push(Order::Hold {
                worker: id.clone(),
                address: worker.entry.address.clone(),
                deadline,
                last_seen: worker.durable_seen,
                wait,
            });
        }
    }

    /// Takes a worker's report, or the lack of one.
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
            Ok(report) => self.take_report(now, id, sent_at, &report),
            Err(PollFailure::OtherIncarnation) => {
                worker.end_life(now);
                self.settle_lapsed_workers(now);
            }
            Err(PollFailure::Fenced) => worker.next_hold_at = now + SILENT_PAUSE,
            Err(PollFailure::NoAnswer) => {
                let was_silent = worker.is_silent();
                worker.note_silence(now);
                worker.next_hold_at = now + SILENT_PAUSE;
                if worker.is_silent() && !was_silent {
                    self.notes.push(Note::WorkerUnresponsive {
                        worker: id.clone(),
                        runs: worker.tasks.len(),
                    });
                }
            }
        }
    }

    fn take_report(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        sent_at: TimeMs,
        report: &WorkerReport,
    ) {
        let gap = self.gap(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.note_answer(now, report.clock);
        if !worker.met {
            worker.met = true;
            worker.foreign_until = None;
            // A leader before this one may have extended the lease just before this look.
            let latest = worker.clock.estimate(now) + self.settings.max_lease;
            worker.latest_deadline = worker.latest_deadline.max(latest);
            self.placing_due = true;
        }
        let known_ends = worker.seen;
        worker.seen = worker.seen.max(report.highest_number);
        worker.next_hold_at = now + gap;
        let mut present = FastSet::default();
        let mut strays = 0;
        for running in &report.running {
            match self.take_running(now, id, running) {
                Some(key) => {
                    if self.take_progress(now, id, &key, running) {
                        self.move_run(now, id, &key);
                    }
                    present.insert(key);
                }
                None => strays += 1,
            }
        }
        for finished in &report.finished {
            if finished.number > known_ends {
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
        self.settle_absent(now, id, sent_at, &present);
        let idle = self.dirty.is_empty() && self.writing.is_empty();
        if let Some(worker) = self.workers.get_mut(id) {
            worker.strays = strays;
            if idle {
                worker.durable_seen = worker.seen;
            }
        }
    }

    /// Pause before the next look at a worker: short while work waits for room, and otherwise as long
    /// as the most urgent job there does not notice.
    fn gap(&self, id: &id::WorkerId) -> SpanMs {
        let shortest = self.settings.min_poll_interval;
        let Some(worker) = self.workers.get(id) else {
            return shortest;
        };
        if !self.waiting.is_empty() {
            return shortest;
        }
        let objectives = worker.tasks.keys().filter_map(|key| {
            let job = self.jobs.get(&key.unit.step.job)?;
            Some(job.record.objective_ms())
        });
        let gap_ms = objectives.min().unwrap_or_default() / OBJECTIVE_GAPS;
        SpanMs(gap_ms.clamp(shortest.0, LONGEST_GAP.0.max(shortest.0)))
    }

    /// Takes a run that a worker has; a run that should not be there is stopped.
    fn take_running(
        &mut self,
        now: TimeMs,
        worker: &id::WorkerId,
        running: &RunningTask,
    ) -> Option<MemberKey> {
        let key = self.expected(worker, running);
        let Some(key) = key else {
            self.stop_stray(now, worker, running);
            return None;
        };
        let job = self.jobs.get_mut(&key.unit.step.job)?;
        let target_ms = job.record.steps[key.unit.step.step as usize].target_latency_ms;
        let unit = job.unit_mut(&key.unit)?;
        if !running.checkpoint.is_empty() {
            unit.checkpoint.clone_from(&running.checkpoint);
        }
        let member = &mut unit.members[key.member as usize];
        let over = target_ms > 0
            && running
                .measurement
                .is_some_and(|tail_ms| tail_ms > target_ms);
        member.over_since = if over {
            member.over_since.or(Some(now))
        } else {
            None
        };
        if matches!(member.phase, Phase::Bound | Phase::Ordered) {
            member.phase = Phase::Running;
            member.since = now;
            member.confirmed_at = now;
            job.begun = true;
        }
        Some(key)
    }

    /// The member that a run on a worker belongs to, if it is the member's present run.
    fn expected(&self, worker: &id::WorkerId, running: &RunningTask) -> Option<MemberKey> {
        let job = self.jobs.get(&running.task.job)?;
        let key = job.member_key(&running.task)?;
        let unit = job.unit(&key.unit)?;
        let member = &unit.members[key.member as usize];
        let current = unit.run == running.run && member.worker.as_ref() == Some(worker);
        current.then_some(key)
    }

    fn stop_stray(&mut self, now: TimeMs, id: &id::WorkerId, running: &RunningTask) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let key = (id.clone(), running.task.clone(), running.run);
        let last = self.stray_stops.get(&key).copied();
        if last.is_some_and(|at| now.since(at) < STRAY_PAUSE) {
            return;
        }
        self.stray_stops
            .retain(|_, at| now.since(*at) < STRAY_PAUSE);
        self.stray_stops.insert(key, now);
        self.notes.push(Note::UnexpectedRun {
            task: running.task.clone(),
            run: running.run,
            worker: id.clone(),
        });
        self.orders.push(Order::Stop {
            worker: id.clone(),
            address: worker.entry.address.clone(),
            task: running.task.clone(),
            run: running.run,
        });
    }

    /// Decides about members that should be on a worker and are not in its report.
    fn settle_absent(
        &mut self,
        now: TimeMs,
        id: &id::WorkerId,
        sent_at: TimeMs,
        present: &FastSet<MemberKey>,
    ) {
        let absent: Vec<MemberKey> = self
            .workers
            .get(id)
            .into_iter()
            .flat_map(|worker: &Worker| worker.tasks.keys())
            .filter(|key| !present.contains(*key))
            .cloned()
            .collect();
        for key in absent {
            let Some(unit) = self.unit(&key.unit) else {
                continue;
            };
            let member = &unit.members[key.member as usize];
            let later = sent_at > member.confirmed_at;
            match member.phase {
                Phase::Bound => self.send_start(now, &key),
                Phase::Running if later => self.stop_member(now, &key),
                Phase::Stopped if later => {
                    self.release(now, &key);
                    self.collapse(now, &key.unit);
                }
                _ => {}
            }
        }
    }
}
