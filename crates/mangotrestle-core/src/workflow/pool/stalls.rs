//! Reports work that does not proceed although nothing it needs is missing: steps that wait while
//! workers have room for them, and runs that stay between two phases.
//!
//! The reports only explain; no decision depends on them.

use crate::collections::FastSet;
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Job, Phase, StepKey};
use super::super::message::TaskName;
use super::super::spec::StepSpec;
use super::{Note, Pool};

/// Time between two checks.
const CHECK_INTERVAL: SpanMs = SpanMs(500);
/// Time for which a step must have been blocked before it is reported.
const MIN_BLOCKED_TIME: SpanMs = SpanMs(1_000);
/// Time that a run must have spent between two phases before it is reported.
const MIN_UNSETTLED_TIME: SpanMs = SpanMs(2_000);
/// Maximum number of waiting steps in one check, most urgent first. Each is compared with all workers.
const MAX_CHECKED_STEPS: usize = 64;
/// Maximum number of reports of each kind from one check.
const MAX_REPORTS: usize = 16;

/// Number of a step's tasks that the pool's workers have room for, by what else they need.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TaskRoom {
    /// On workers that the queue's policy allows or has not decided on.
    pub permitted: u32,
    /// Of these, on workers for which there is a valid ticket or none is needed.
    pub ticketed: u32,
    /// Of these, on workers that are not reserved for a gang.
    pub unreserved: u32,
}

/// A step that waits although workers have room for one of its units.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BlockedStep {
    /// The step.
    pub step: StepKey,
    /// Time since the workers have had room.
    pub blocked_for: SpanMs,
    /// Number of tasks that have to be placed together.
    pub unit_size: u32,
    /// Number of tasks that the workers have room for.
    pub room: TaskRoom,
    /// Time since the ticket request in flight was handed out, if there is one.
    pub request_age: Option<SpanMs>,
}

/// A run that has not left a phase that usually takes milliseconds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnsettledRun {
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u32,
    /// The worker.
    pub worker: id::WorkerId,
    /// The phase.
    pub phase: Phase,
    /// Time in this phase.
    pub since: SpanMs,
}

impl Pool {
    /// Reports blocked steps and unsettled runs, if a check is due.
    pub(super) fn report_stalls(&mut self, now: TimeMs) {
        if now.since(self.stalls_checked_at) < CHECK_INTERVAL {
            return;
        }
        self.stalls_checked_at = now;
        self.report_blocked_steps(now);
        self.report_unsettled_runs(now);
    }

    fn report_blocked_steps(&mut self, now: TimeMs) {
        let window = self.queue_window(None);
        let steps = window.steps().map(|(_, key)| key.clone());
        let steps: Vec<StepKey> = steps.take(MAX_CHECKED_STEPS).collect();
        let reserved: FastSet<id::WorkerId> = self
            .reservations
            .iter()
            .flat_map(|reservation| reservation.workers().cloned())
            .collect();
        let mut reports = 0;
        for key in steps {
            let room = self.task_room(now, &key, &reserved);
            let unit_size = self.step_spec(&key).map_or(1, StepSpec::unit_size);
            let blocked = room.permitted >= unit_size;
            let Some(step) = self
                .jobs
                .get_mut(&key.job)
                .and_then(|job| job.step_mut(&key))
            else {
                continue;
            };
            if !blocked {
                step.blocked_since = None;
                continue;
            }
            let blocked_for = now.since(*step.blocked_since.get_or_insert(now));
            if blocked_for < MIN_BLOCKED_TIME || reports >= MAX_REPORTS {
                continue;
            }
            reports += 1;
            let requested_at = step.tickets.requested_at;
            self.notes.push(Note::StepBlocked(BlockedStep {
                step: key,
                blocked_for,
                unit_size,
                room,
                request_age: requested_at.map(|at| now.since(at)),
            }));
        }
    }

    /// Counts the tasks of a step that workers have room for.
    fn task_room(&self, now: TimeMs, key: &StepKey, reserved: &FastSet<id::WorkerId>) -> TaskRoom {
        let mut room = TaskRoom::default();
        let (Some(job), Some(spec), Some(step)) =
            (self.jobs.get(&key.job), self.step_spec(key), self.step(key))
        else {
            return room;
        };
        let need = spec.counted_need();
        let needs_ticket = job.record.policy.advice.is_some();
        let with_room = self
            .workers
            .values()
            .filter(|worker| need.fits_in(&worker.free()) && worker.accepts_work(now))
            .filter(|worker| worker.matches(spec.constraint.as_deref()));
        for worker in with_room {
            let id = &worker.entry.worker;
            let permitted =
                !needs_ticket || step.tickets.allows(id) || step.tickets.is_undecided(id);
            if !permitted {
                continue;
            }
            let tasks = worker.room_for(key, spec);
            room.permitted += tasks;
            if !needs_ticket || step.tickets.valid(id, now).is_some() {
                room.ticketed += tasks;
                if !reserved.contains(id) {
                    room.unreserved += tasks;
                }
            }
        }
        room
    }

    fn report_unsettled_runs(&mut self, now: TimeMs) {
        let mut reports = Vec::new();
        for (key, member) in self.jobs.values().flat_map(Job::assigned_members) {
            let in_between = !matches!(member.phase, Phase::Free | Phase::Running);
            let since = now.since(member.phase_since);
            if !in_between || since < MIN_UNSETTLED_TIME {
                continue;
            }
            if let (Some(worker), Some(unit)) = (&member.worker, self.unit(&key.unit)) {
                reports.push(Note::RunUnsettled(UnsettledRun {
                    task: key.task_name(),
                    run: unit.run,
                    worker: worker.clone(),
                    phase: member.phase,
                    since,
                }));
            }
            if reports.len() >= MAX_REPORTS {
                break;
            }
        }
        self.notes.extend(reports);
    }
}
