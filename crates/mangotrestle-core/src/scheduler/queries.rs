//! Views of jobs, tasks and workers for operators.

use std::sync::Arc;

use super::Scheduler;
use super::amount;
use super::jobs;
use super::lifecycle;
use super::queue::JobKey;
use super::view::{
    Constraint, JobView, TaskState, TaskView, WaitingReason, WorkerState, WorkerView,
};
use super::worker;

pub(super) fn job_view(job: &jobs::Job) -> JobView {
    JobView {
        spec: Arc::clone(&job.spec),
        accepted_wall_ms: job.accepted_wall_ms,
        state: job.state,
        parked: job.parked,
        counts: job.counts,
    }
}

fn task_state(stage: lifecycle::Stage) -> TaskState {
    use lifecycle::Stage;
    match stage {
        Stage::Waiting | Stage::BackingOff | Stage::Assigned => TaskState::Waiting,
        Stage::Starting => TaskState::Starting,
        Stage::Running => TaskState::Running,
        Stage::Stopping => TaskState::Stopping,
        Stage::Succeeded => TaskState::Succeeded,
        Stage::Failed => TaskState::Failed,
        Stage::Stopped => TaskState::Stopped,
        Stage::Unknown => TaskState::Unknown,
    }
}

fn worker_state(worker: &worker::Worker) -> WorkerState {
    if !worker.reachable {
        WorkerState::Unreachable
    } else if worker.leaving {
        WorkerState::Leaving
    } else if worker.trust == worker::Trust::Trusted {
        WorkerState::Available
    } else {
        WorkerState::Quarantined
    }
}

/// Number of workers that cannot take a task, by reason.
#[derive(Debug, Default)]
struct WorkerTally {
    cpu: u32,
    memory: u32,
    accelerators: u32,
    slots: u32,
    unreachable: u32,
    leaving: u32,
    quarantined: u32,
    reserved: u32,
    fitting_workers: u32,
    fitting_tasks: u32,
}

impl WorkerTally {
    fn add_shortages(&mut self, need: &amount::Amount, free: &amount::Amount) {
        self.cpu += u32::from(need.cpu_millicores > free.cpu_millicores);
        self.memory += u32::from(need.memory_mib > free.memory_mib);
        self.accelerators += u32::from(need.accelerators > free.accelerators);
        self.slots += u32::from(need.slots > free.slots);
    }

    fn reasons(&self) -> Vec<WaitingReason> {
        let short = |constraint, workers| WaitingReason::Short {
            constraint,
            workers,
        };
        let counted = [
            (self.cpu, short(Constraint::Cpu, self.cpu)),
            (self.memory, short(Constraint::Memory, self.memory)),
            (
                self.accelerators,
                short(Constraint::Accelerators, self.accelerators),
            ),
            (self.slots, short(Constraint::Slots, self.slots)),
            (
                self.unreachable,
                WaitingReason::Unreachable {
                    workers: self.unreachable,
                },
            ),
            (
                self.leaving,
                WaitingReason::Leaving {
                    workers: self.leaving,
                },
            ),
            (
                self.quarantined,
                WaitingReason::Quarantined {
                    workers: self.quarantined,
                },
            ),
            (
                self.reserved,
                WaitingReason::Reserved {
                    workers: self.reserved,
                },
            ),
            (
                self.fitting_workers,
                WaitingReason::Queued {
                    workers: self.fitting_workers,
                },
            ),
        ];
        let present = counted.into_iter().filter(|(count, _)| *count > 0);
        present.map(|(_, reason)| reason).collect()
    }
}

impl Scheduler {
    pub(super) fn task_views(&self, key: JobKey) -> Vec<TaskView> {
        let job = &self.jobs[key];
        let view = |(index, record): (u32, &lifecycle::TaskRecord)| TaskView {
            index,
            attempt: record.attempt(),
            state: task_state(record.stage()),
            worker: record
                .worker()
                .and_then(|worker| self.workers.get(worker))
                .map(|worker| worker.id.clone()),
        };
        (job.first_index..).zip(&job.tasks).map(view).collect()
    }

    pub(super) fn worker_view(&self, worker: &worker::Worker) -> WorkerView {
        let rack = self.workers.rack(worker.rack).cloned();
        WorkerView {
            id: worker.id.clone(),
            rack: worker.availability_zone.as_ref().and(rack),
            availability_zone: worker.availability_zone.clone(),
            capacity: worker.capacity.into(),
            free: worker.free().into(),
            running: u32::try_from(worker.runs.len()).unwrap_or(u32::MAX),
            state: worker_state(worker),
        }
    }

    pub(super) fn waiting_reasons(&self, key: JobKey) -> Vec<WaitingReason> {
        let job = &self.jobs[key];
        if let Some(code) = job.parked {
            return vec![WaitingReason::Parked { code }];
        }
        if job.counts.waiting == 0 || job.cancelled {
            return Vec::new();
        }
        if job.recovering {
            return vec![WaitingReason::Recovering];
        }
        let mut reasons = Vec::new();
        if let Some(constraint) = self.never_fits(&job.need) {
            reasons.push(WaitingReason::NeverFits { constraint });
        }
        let backing_off = job.counts.waiting - job.ready;
        if backing_off > 0 {
            reasons.push(WaitingReason::BackOff { tasks: backing_off });
        }
        let tasks_together = if job.is_gang() { job.counts.waiting } else { 1 };
        if !self.queue.within_quota(job.team, &job.need, tasks_together) {
            reasons.push(WaitingReason::Quota);
        }
        let tally = self.tally(key);
        if job.is_gang() && tally.fitting_tasks < tasks_together {
            reasons.push(WaitingReason::Gang {
                fitting: tally.fitting_tasks,
                needed: tasks_together,
            });
        }
        reasons.extend(tally.reasons());
        reasons
    }

    /// Returns a resource of which no worker has enough even when empty, if there is one.
    fn never_fits(&self, need: &amount::Amount) -> Option<Constraint> {
        if self.workers.len() == 0 {
            return None;
        }
        let largest = self
            .workers
            .iter()
            .fold(amount::Amount::default(), |largest, (_, worker)| {
                largest.max_each(&worker.capacity)
            });
        if need.accelerators > largest.accelerators {
            Some(Constraint::Accelerators)
        } else if need.memory_mib > largest.memory_mib {
            Some(Constraint::Memory)
        } else if need.cpu_millicores > largest.cpu_millicores {
            Some(Constraint::Cpu)
        } else if need.slots > largest.slots {
            Some(Constraint::Slots)
        } else {
            None
        }
    }

    fn tally(&self, key: JobKey) -> WorkerTally {
        let need = &self.jobs[key].need;
        let skip = self.skips_accelerator_hosts(need);
        let mut tally = WorkerTally::default();
        for (_, worker) in self.workers.iter() {
            let free = worker.free();
            if !worker.reachable {
                tally.unreachable += 1;
            } else if worker.leaving {
                tally.leaving += 1;
            } else if worker.trust != worker::Trust::Trusted {
                tally.quarantined += 1;
            } else if !need.fits_in(&free) {
                tally.add_shortages(need, &free);
            } else if worker.reserved_for.is_some_and(|gang| gang != key)
                || (skip && worker.is_accelerator_host())
            {
                tally.reserved += 1;
            } else {
                tally.fitting_workers += 1;
                tally.fitting_tasks = tally.fitting_tasks.saturating_add(need.count_in(&free));
            }
        }
        tally
    }
}
