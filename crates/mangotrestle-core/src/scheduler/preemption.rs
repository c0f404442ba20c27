//! Preemption: which runs are checkpointed and stopped for urgent work.
//!
//! Candidates are kept ordered by the work that would be lost, so the search examines only a few
//! workers. The number of preemptions of a task is limited, and so is the share of a job's runs
//! that are stopping at the same time.

use std::cmp::Reverse;

use smallvec::SmallVec;

use crate::job;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::index::WorkerKey;
use super::jobs::TaskKey;
use super::lifecycle;
use super::timer;
use super::worker;

/// Number of workers that are compared for an urgent task before the search may end with a suitable
/// one. If none of them suits, it continues up to [`MAX_VICTIMS_EXAMINED`].
const MIN_WORKERS_COMPARED: usize = 16;

/// Maximum number of candidate runs examined for one urgent task.
const MAX_VICTIMS_EXAMINED: usize = 256;

/// Time after which an urgent task whose worker was not freed is placed elsewhere.
const HOLD_TIMEOUT_MS: time::SpanMs = time::SpanMs(5_000);

/// A run that may be stopped for urgent work, ordered by the work lost.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Victim {
    last_checkpoint_ms: Reverse<time::TimeMs>,
    worker: WorkerKey,
    task: TaskKey,
}

impl Victim {
    pub(super) fn new(last_checkpoint_ms: time::TimeMs, worker: WorkerKey, task: TaskKey) -> Self {
        Self {
            last_checkpoint_ms: Reverse(last_checkpoint_ms),
            worker,
            task,
        }
    }
}

/// Runs of one worker that together free enough capacity.
#[derive(Debug)]
struct PreemptionPlan {
    worker: WorkerKey,
    victims: SmallVec<[TaskKey; 8]>,
    lost_work_ms: u64,
}

impl Scheduler {
    /// Returns a run as a candidate for preemption, if it may be stopped.
    pub(super) fn victim(&self, worker: WorkerKey, task: TaskKey) -> Option<Victim> {
        let run = self.workers[worker].run(task)?;
        let job = &self.jobs[task.job];
        let spec = &job.spec;
        let record = job.tasks[task.position as usize];
        let allowed = spec.preemptible
            && spec.idempotent
            && !job.is_gang()
            && spec.urgency != job::Urgency::Urgent
            && run.stop.is_none()
            && record.preemptions() < self.config.max_preemptions_per_task;
        allowed.then(|| Victim::new(run.last_checkpoint_ms, worker, task))
    }

    /// Stops runs for an urgent task and assigns the task to their worker. Returns whether a
    /// suitable worker was found.
    pub(super) fn preempt_for(
        &mut self,
        now_ms: time::TimeMs,
        task: TaskKey,
        need: &amount::Amount,
    ) -> bool {
        let Some(plan) = self.find_plan(now_ms, need) else {
            return false;
        };
        let Some(waiting) = self
            .jobs
            .record(task)
            .and_then(lifecycle::TaskRecord::waiting)
        else {
            return false;
        };
        for &victim in &plan.victims {
            let job = &mut self.jobs[victim.job];
            job.preempting_runs += 1;
            let position = victim.position as usize;
            if let Some(active) = job.tasks[position].active() {
                job.tasks[position] = active.count_preemption().into_record();
            }
            self.request_stop(now_ms, victim, decision::StopReason::Preempted);
        }
        self.workers[plan.worker]
            .holds
            .push(worker::Hold { task, need: *need });
        let record = waiting.assign(plan.worker).into_record();
        self.set_task(now_ms, task, record);
        self.refresh_worker(plan.worker);
        self.timers
            .set(now_ms + HOLD_TIMEOUT_MS, timer::Timer::ReleaseHold(task));
        true
    }

    fn find_plan(&self, now_ms: time::TimeMs, need: &amount::Amount) -> Option<PreemptionPlan> {
        let mut compared: SmallVec<[WorkerKey; MIN_WORKERS_COMPARED]> = SmallVec::new();
        let mut best: Option<PreemptionPlan> = None;
        for victim in self.victims.iter().take(MAX_VICTIMS_EXAMINED) {
            if compared.contains(&victim.worker) {
                continue;
            }
            compared.push(victim.worker);
            let plan = self.plan_on(now_ms, victim.worker, need);
            let better = |plan: &PreemptionPlan| {
                best.as_ref()
                    .is_none_or(|best| plan.lost_work_ms < best.lost_work_ms)
            };
            if let Some(plan) = plan.filter(better) {
                best = Some(plan);
            }
            if compared.len() == MIN_WORKERS_COMPARED && best.is_some() {
                break;
            }
        }
        best
    }

    /// Selects the runs to stop on one worker, least work lost first.
    fn plan_on(
        &self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        need: &amount::Amount,
    ) -> Option<PreemptionPlan> {
        let worker = &self.workers[key];
        if !worker.is_usable() || !need.fits_in(&worker.capacity) {
            return None;
        }
        let mut candidates: SmallVec<[&worker::Run; 8]> = worker
            .runs
            .iter()
            .filter(|run| self.victim(key, run.task).is_some())
            .collect();
        candidates.sort_by_key(|run| Reverse(run.last_checkpoint_ms));
        let mut plan = PreemptionPlan {
            worker: key,
            victims: SmallVec::new(),
            lost_work_ms: 0,
        };
        // Runs that are already stopping are left out: their capacity goes to the holds counted in
        // `held`.
        let staying = worker.runs.iter().filter(|run| run.stop.is_none());
        let staying = staying.map(|run| &run.allocated);
        let unexpected_runs = worker
            .unexpected_runs
            .iter()
            .map(|unexpected_run| &unexpected_run.allocated);
        let mut allocated = staying
            .chain(unexpected_runs)
            .fold(worker.held, |sum, amount| sum.plus(amount));
        for run in candidates {
            if allocated.plus(need).fits_in(&worker.capacity) {
                break;
            }
            if !self.may_stop_another(run.task, &plan.victims) {
                continue;
            }
            allocated = allocated.minus(&run.allocated);
            plan.victims.push(run.task);
            plan.lost_work_ms += now_ms.since(run.last_checkpoint_ms).0;
        }
        allocated
            .plus(need)
            .fits_in(&worker.capacity)
            .then_some(plan)
    }

    /// Whether the limit on a job's runs that stop at the same time allows one more.
    fn may_stop_another(&self, task: TaskKey, planned: &[TaskKey]) -> bool {
        let job = &self.jobs[task.job];
        let planned = planned.iter().filter(|other| other.job == task.job).count();
        let stopping = job.preempting_runs as usize + planned;
        let running = job.counts.running as usize;
        let allowed = running * self.config.max_stopping_percent as usize / 100;
        stopping < allowed.max(1)
    }

    /// Puts a task back into the queue if it is still assigned.
    pub(super) fn release_hold(&mut self, now_ms: time::TimeMs, task: TaskKey) {
        let Some(assigned) = self
            .jobs
            .record(task)
            .and_then(lifecycle::TaskRecord::assigned)
        else {
            return;
        };
        let key = assigned.into_record().worker();
        self.set_task(now_ms, task, assigned.release().into_record());
        if let Some(key) = key {
            self.workers[key].holds.retain(|hold| hold.task != task);
            self.refresh_worker(key);
        }
    }

    /// Puts every task that is assigned to a worker back into the queue.
    pub(super) fn release_holds_on(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let holds = self.workers[key].holds.clone();
        for hold in holds {
            self.release_hold(now_ms, hold.task);
        }
    }
}
