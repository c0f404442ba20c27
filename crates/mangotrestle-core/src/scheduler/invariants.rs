//! Checks of the scheduler's invariants, for tests and debugging.
//!
//! Each check recomputes the expected state from the records, without the index and the sums that
//! decisions use.

use displaydoc::Display;

use super::Scheduler;
use super::amount;
use super::index::WorkerKey;
use super::jobs;
use super::lifecycle;
use super::queue::JobKey;
use super::view;
use super::worker;

/// A violated invariant.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvariantViolation {
    /// worker {worker}: its runs exceed its capacity, by declared or measured size
    Overcommitted {
        /// The worker.
        worker: String,
    },
    /// worker {worker}: the sums of allocated or held resources are wrong
    WorkerSums {
        /// The worker.
        worker: String,
    },
    /// worker {worker}: the index does not hold its free capacity
    Index {
        /// The worker.
        worker: String,
    },
    /// worker {worker}: one of its runs is not the current run of its task
    RunWithoutTask {
        /// The worker.
        worker: String,
    },
    /// worker {worker}: a task has two runs there
    RunTwice {
        /// The worker.
        worker: String,
    },
    /// job {job}: task {position} has {runs} runs, which does not match its stage
    TaskRuns {
        /// The job.
        job: String,
        /// Position of the task.
        position: u32,
        /// Number of runs found.
        runs: u32,
    },
    /// job {job}: the counts of its tasks are wrong
    Counts {
        /// The job.
        job: String,
    },
    /// job {job}: it is in the queue but should not be, or the reverse
    Queue {
        /// The job.
        job: String,
    },
    /// team {team}: the sum of its usage is wrong
    TeamUsage {
        /// The team.
        team: String,
    },
    /// the total of the workers' capacities is wrong
    Capacity,
}

impl std::error::Error for InvariantViolation {}

impl Scheduler {
    /// Checks that no worker is overcommitted, that each task has at most one run, and that all
    /// sums, counts and indexes agree with the records. Takes time proportional to the number of
    /// workers and tasks.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    pub fn check_invariants(&self) -> Result<(), InvariantViolation> {
        self.workers
            .iter()
            .try_for_each(|(key, worker)| self.check_worker(key, worker))?;
        self.jobs
            .iter()
            .try_for_each(|(key, job)| self.check_job(key, job))?;
        self.check_teams()?;
        self.check_capacity()
    }

    fn check_worker(
        &self,
        key: WorkerKey,
        worker: &worker::Worker,
    ) -> Result<(), InvariantViolation> {
        let name = || worker.id.to_string();
        check_sums(worker)?;
        let expected = worker.is_usable().then(|| worker.free());
        let (index, other) = if worker.reserved_for.is_some() {
            (&self.reserved, &self.unreserved)
        } else {
            (&self.unreserved, &self.reserved)
        };
        if index.free(key) != expected || other.free(key).is_some() {
            return Err(InvariantViolation::Index { worker: name() });
        }
        for run in &worker.runs {
            let record = self.jobs.record(run.task);
            let matches = record.is_some_and(|record| {
                record.is_active()
                    && record.worker() == Some(key)
                    && record.attempt() == run.attempt
                    && (run.stop.is_some() == (record.stage() == lifecycle::Stage::Stopping))
            });
            if !matches {
                return Err(InvariantViolation::RunWithoutTask { worker: name() });
            }
            let same_task = |other: &&worker::Run| other.task == run.task;
            if worker.runs.iter().filter(same_task).count() != 1 {
                return Err(InvariantViolation::RunTwice { worker: name() });
            }
        }
        Ok(())
    }

    fn check_job(&self, key: JobKey, job: &jobs::Job) -> Result<(), InvariantViolation> {
        let name = || job.spec.id.to_string();
        let mut counts = view::TaskCounts::default();
        let mut ready = 0;
        for (position, record) in (0..).zip(&job.tasks) {
            count(&mut counts, record.stage());
            ready += u32::from(record.stage() == lifecycle::Stage::Waiting);
            let task = jobs::TaskKey { job: key, position };
            let on_worker = record.worker().and_then(|worker| self.workers.get(worker));
            let runs = u32::from(on_worker.is_some_and(|worker| worker.run(task).is_some()));
            if runs != u32::from(record.is_active()) {
                return Err(InvariantViolation::TaskRuns {
                    job: name(),
                    position,
                    runs,
                });
            }
        }
        if counts != job.counts || ready != job.ready {
            return Err(InvariantViolation::Counts { job: name() });
        }
        if job.queue_entry.is_some() != job.is_queueable() {
            return Err(InvariantViolation::Queue { job: name() });
        }
        Ok(())
    }

    fn check_teams(&self) -> Result<(), InvariantViolation> {
        let mut used = vec![amount::Total::default(); self.queue.teams().len()];
        for (_, worker) in self.workers.iter() {
            for run in &worker.runs {
                used[self.jobs[run.task.job].team as usize].add(&run.need);
            }
        }
        let teams = self.queue.teams().iter().zip(&used);
        match teams.into_iter().find(|(team, used)| team.used != **used) {
            Some((team, _)) => Err(InvariantViolation::TeamUsage {
                team: team.id.to_string(),
            }),
            None => Ok(()),
        }
    }

    fn check_capacity(&self) -> Result<(), InvariantViolation> {
        let mut total = amount::Total::default();
        for (_, worker) in self.workers.iter() {
            total.add(&worker.capacity);
        }
        if total == *self.queue.capacity() {
            Ok(())
        } else {
            Err(InvariantViolation::Capacity)
        }
    }
}

fn check_sums(worker: &worker::Worker) -> Result<(), InvariantViolation> {
    let name = || worker.id.to_string();
    let mut declared = amount::Amount::default();
    let mut allocated = amount::Amount::default();
    for run in &worker.runs {
        declared = declared.plus(&run.need);
        allocated = allocated.plus(&run.allocated);
    }
    for unexpected_run in &worker.unexpected_runs {
        declared = declared.plus(&unexpected_run.need);
        allocated = allocated.plus(&unexpected_run.allocated);
    }
    let held = worker
        .holds
        .iter()
        .fold(amount::Amount::default(), |sum, hold| sum.plus(&hold.need));
    if allocated != worker.allocated || held != worker.held {
        return Err(InvariantViolation::WorkerSums { worker: name() });
    }
    let over = declared.exceeds(&worker.capacity) || allocated.exceeds(&worker.capacity);
    if over && !worker.may_be_overcommitted {
        return Err(InvariantViolation::Overcommitted { worker: name() });
    }
    Ok(())
}

fn count(counts: &mut view::TaskCounts, stage: lifecycle::Stage) {
    use lifecycle::Stage;
    let counter = match stage {
        Stage::Waiting | Stage::BackingOff | Stage::Assigned => &mut counts.waiting,
        Stage::Starting | Stage::Running | Stage::Stopping => &mut counts.running,
        Stage::Succeeded => &mut counts.succeeded,
        Stage::Failed => &mut counts.failed,
        Stage::Stopped => &mut counts.stopped,
        Stage::Unknown => &mut counts.unknown,
    };
    *counter += 1;
}
