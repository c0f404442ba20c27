//! Choice of a worker for the next task.

use std::ops::ControlFlow;

use rand::RngExt;

use crate::job;
use crate::time;

use super::Scheduler;
use super::amount;
use super::decision;
use super::index::{SearchOrder, SearchScope, WorkerKey};
use super::jobs::TaskKey;
use super::lifecycle;
use super::queue::{self, JobKey};
use super::worker;

/// Number of workers whose scores are compared before the search may end with a good one.
const MIN_CANDIDATES: u32 = 12;

/// Maximum number of workers taken from one bucket of the index.
const MAX_CANDIDATES_PER_BUCKET: usize = 3;

/// Maximum number of workers compared for one task. Reached only if no good one is found before,
/// such as one on a rack without replicas of the service.
const MAX_CANDIDATES: u32 = 96;

/// Maximum number of workers taken from one bucket for a replica that is spread over racks.
const MAX_SPREAD_CANDIDATES_PER_BUCKET: usize = 32;

/// Scale of the idle share of a worker, from which scores are computed: an entirely idle worker has
/// this value, a full one zero.
const SCORE_SCALE: i64 = 1_024;

/// Subtracted for each replica of the same service on the worker's rack, times the spread weight.
const RACK_PENALTY: i64 = 4 * SCORE_SCALE;

/// Subtracted for each free accelerator of the worker if the task needs none, times the packing
/// weight.
const ACCELERATOR_PENALTY: i64 = SCORE_SCALE;

/// Subtracted for a worker on which the job has failed.
const FAILED_WORKER_PENALTY: i64 = 1_024 * SCORE_SCALE;

/// Result of an attempt to place the head of the queue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Placement {
    Started,
    /// Assigned to a worker on which runs are being stopped for it.
    Assigned,
    DoesNotFit,
    OverQuota,
}

/// A worker that was chosen.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) worker: WorkerKey,
    pub(super) path: decision::PlacementPath,
    pub(super) score: i64,
    pub(super) candidates: u32,
}

fn bit_length(span: time::SpanMs) -> u8 {
    u8::try_from(u64::BITS - span.0.leading_zeros()).unwrap_or(u8::MAX)
}

impl Scheduler {
    pub(super) fn shape_of(&self, key: JobKey) -> queue::Shape {
        let job = &self.jobs[key];
        let run_time = self.expected_run_time(key);
        let spec = &job.spec;
        queue::Shape {
            urgency: spec.urgency,
            need: job.need,
            gang_tasks: if job.is_gang() { job.ready } else { 0 },
            run_time_bit_length: run_time.map_or(u8::MAX, bit_length),
            may_probe: spec.kind == job::JobKind::Batch && spec.idempotent,
        }
    }

    /// Returns the expected run time of a job's tasks: as learned from its family, else as
    /// declared. `None` for services.
    pub(super) fn expected_run_time(&self, key: JobKey) -> Option<time::SpanMs> {
        let job = &self.jobs[key];
        if job.is_service() {
            return None;
        }
        self.families.run_time(job.family).or(job.spec.run_time_ms)
    }

    /// Tries to place the next task of a job that is not a gang.
    pub(super) fn place_next_task(
        &mut self,
        now_ms: time::TimeMs,
        head: &queue::Head,
        decisions: &mut Vec<decision::Decision>,
    ) -> Placement {
        let job = &mut self.jobs[head.job];
        let (team, need) = (job.team, job.need);
        let Some(position) = job.next_waiting() else {
            self.requeue(head.job);
            return Placement::Started;
        };
        if !self.queue.within_quota(team, &need, 1) {
            return Placement::OverQuota;
        }
        let task = TaskKey {
            job: head.job,
            position,
        };
        if let Some(choice) = self.choose_worker(now_ms, head) {
            self.start(now_ms, task, &choice, decisions);
            return Placement::Started;
        }
        let urgent = head.shape.urgency == job::Urgency::Urgent;
        if urgent && self.preempt_for(now_ms, task, &need) {
            return Placement::Assigned;
        }
        Placement::DoesNotFit
    }

    fn choose_worker(&mut self, now_ms: time::TimeMs, head: &queue::Head) -> Option<Choice> {
        if let Some(choice) = self.choose_probed_worker(head) {
            return Some(choice);
        }
        let offset = self.rng.random_range(0..usize::MAX / 2);
        self.choose_unreserved(head, offset)
            .or_else(|| self.choose_reserved(now_ms, head, offset))
    }

    /// Returns a quarantined worker that is due for a probe and fits the task.
    fn choose_probed_worker(&mut self, head: &queue::Head) -> Option<Choice> {
        if !head.shape.may_probe || self.probes.is_empty() {
            return None;
        }
        let job = &self.jobs[head.job];
        let position = self.probes.iter().position(|&key| {
            self.workers.get(key).is_some_and(|worker| {
                head.shape.need.fits_in(&worker.free()) && !job.failed_on.contains(&key)
            })
        })?;
        Some(Choice {
            worker: self.probes.swap_remove(position),
            path: decision::PlacementPath::Probe,
            score: 0,
            candidates: 1,
        })
    }

    fn choose_unreserved(&self, head: &queue::Head, offset: usize) -> Option<Choice> {
        let job = &self.jobs[head.job];
        let spread = job.is_service() && self.config.spread_weight > 0;
        let pack = self.config.packing_weight >= self.config.spread_weight && !spread;
        let order = if pack {
            SearchOrder::LeastFreeFirst
        } else {
            SearchOrder::MostFreeFirst
        };
        let search_scope = SearchScope {
            order,
            max_per_bucket: if spread {
                MAX_SPREAD_CANDIDATES_PER_BUCKET
            } else {
                MAX_CANDIDATES_PER_BUCKET
            },
            offset,
            skip_accelerator_hosts: self.skips_accelerator_hosts(&head.shape.need),
        };
        let mut best: Option<Choice> = None;
        let mut candidates = 0;
        self.unreserved
            .search(&head.shape.need, search_scope, |worker, free| {
                candidates += 1;
                let score = self.score(head, worker, free);
                if best.is_none_or(|best| score > best.score) {
                    best = Some(Choice {
                        worker,
                        path: decision::PlacementPath::Score,
                        score,
                        candidates,
                    });
                }
                let good_enough = best.is_some_and(|best| self.is_good_enough(head, &best, spread));
                if candidates >= MIN_CANDIDATES && (good_enough || candidates >= MAX_CANDIDATES) {
                    ControlFlow::Break(())
                } else {
                    ControlFlow::Continue(())
                }
            });
        best.map(|best| Choice { candidates, ..best })
    }

    /// Whether the search may end with this choice: the job has not failed there and, if replicas
    /// are spread, the rack has none.
    fn is_good_enough(&self, head: &queue::Head, best: &Choice, spread: bool) -> bool {
        let job = &self.jobs[head.job];
        let new_rack = !spread || job.replicas_on(self.workers[best.worker].rack) == 0;
        new_rack && !job.failed_on.contains(&best.worker)
    }

    /// Returns a worker reserved for a gang on which the task ends before the gang can start.
    /// Urgent tasks may use any reserved worker.
    fn choose_reserved(
        &self,
        now_ms: time::TimeMs,
        head: &queue::Head,
        offset: usize,
    ) -> Option<Choice> {
        if self.reserved.len() == 0 {
            return None;
        }
        let urgent = head.shape.urgency == job::Urgency::Urgent;
        let end_ms = self.expected_run_time(head.job).map(|span| now_ms + span);
        if end_ms.is_none() && !urgent {
            return None;
        }
        let scope = SearchScope {
            order: SearchOrder::LeastFreeFirst,
            max_per_bucket: usize::MAX,
            offset,
            skip_accelerator_hosts: self.skips_accelerator_hosts(&head.shape.need),
        };
        let mut found = None;
        self.reserved
            .search(&head.shape.need, scope, |worker, free| {
                let starts_ms = self.reservation_start(worker);
                let ends_before = end_ms.is_some_and(|end_ms| Some(end_ms) <= starts_ms);
                if !urgent && !ends_before {
                    return ControlFlow::Continue(());
                }
                found = Some(Choice {
                    worker,
                    path: decision::PlacementPath::Backfill,
                    score: self.score(head, worker, free),
                    candidates: 1,
                });
                ControlFlow::Break(())
            });
        found
    }

    pub(super) fn skips_accelerator_hosts(&self, need: &amount::Amount) -> bool {
        self.config.keep_accelerator_hosts && need.accelerators == 0
    }

    fn score(&self, head: &queue::Head, key: WorkerKey, free: &amount::Amount) -> i64 {
        let worker = &self.workers[key];
        let need = &head.shape.need;
        let remaining = free.minus(need);
        let fraction = |remaining: u32, whole: u32| {
            i64::from(remaining) * SCORE_SCALE / i64::from(whole.max(1))
        };
        let idle = i64::midpoint(
            fraction(remaining.cpu_millicores, worker.capacity.cpu_millicores),
            fraction(remaining.memory_mib, worker.capacity.memory_mib),
        );
        let packing_weight = i64::from(self.config.packing_weight);
        let spread_weight = i64::from(self.config.spread_weight);
        let job = &self.jobs[head.job];
        let mut score = (spread_weight - packing_weight) * idle;
        if need.accelerators == 0 && worker.is_accelerator_host() {
            score -= packing_weight * ACCELERATOR_PENALTY * i64::from(free.accelerators);
        }
        if job.is_service() {
            score -= spread_weight * RACK_PENALTY * i64::from(job.replicas_on(worker.rack));
        }
        if job.failed_on.contains(&key) {
            score -= FAILED_WORKER_PENALTY;
        }
        score
    }

    /// Allocates a waiting task on the chosen worker and adds the decision to start it.
    pub(super) fn start(
        &mut self,
        now_ms: time::TimeMs,
        task: TaskKey,
        choice: &Choice,
        decisions: &mut Vec<decision::Decision>,
    ) {
        let Some(waiting) = self
            .jobs
            .record(task)
            .and_then(lifecycle::TaskRecord::waiting)
        else {
            return;
        };
        let started = waiting.start(choice.worker, self.attempt_floor);
        self.set_task(now_ms, task, started.into_record());
        let run = self.new_run(now_ms, task, started);
        self.attach_run(choice.worker, run);
        let job = &self.jobs[task.job];
        let worker = &self.workers[choice.worker];
        decisions.push(decision::Decision::Start {
            run: job.run_id(task.position),
            worker: worker.id.clone(),
            need: run.need.into(),
            run_time_ms: job.spec.run_time_ms,
            idempotent: job.spec.idempotent,
            urgent: job.spec.urgency == job::Urgency::Urgent,
            reason: decision::PlacementReason {
                path: choice.path,
                score: choice.score,
                candidates: choice.candidates,
                free_after: worker.free().into(),
                waited_ms: now_ms.since(job.ready_since_ms),
            },
        });
    }

    fn new_run(
        &self,
        now_ms: time::TimeMs,
        task: TaskKey,
        started: lifecycle::Task<lifecycle::Starting>,
    ) -> worker::Run {
        let job = &self.jobs[task.job];
        let run_time = self.expected_run_time(task.job);
        worker::Run {
            task,
            attempt: started.into_record().attempt(),
            need: job.need,
            allocated: job.need,
            peak: amount::Amount::default(),
            started_ms: now_ms,
            last_checkpoint_ms: now_ms,
            expected_end_ms: run_time.map(|span| now_ms + span),
            stop: None,
            throttled: false,
        }
    }

    /// Starts an assigned task if its worker has enough capacity by now.
    pub(super) fn start_assigned(
        &mut self,
        now_ms: time::TimeMs,
        task: TaskKey,
        decisions: &mut Vec<decision::Decision>,
    ) {
        let Some(assigned) = self
            .jobs
            .record(task)
            .and_then(lifecycle::TaskRecord::assigned)
        else {
            return;
        };
        let Some(key) = assigned.into_record().worker() else {
            return;
        };
        let worker = &self.workers[key];
        let need = self.jobs[task.job].need;
        let unallocated = worker.capacity.minus(&worker.allocated);
        let hold = worker.holds.iter().find(|hold| hold.task == task);
        let fits = hold.is_some_and(|hold| need.fits_in(&hold.need)) && need.fits_in(&unallocated);
        let team = self.jobs[task.job].team;
        if !worker.is_usable() || !fits || !self.queue.within_quota(team, &need, 1) {
            return;
        }
        self.release_hold(now_ms, task);
        if self.jobs[task.job].need != need {
            // The job's need was corrected when it went back into the queue, so the capacity freed
            // for it may not suffice.
            return;
        }
        let choice = Choice {
            worker: key,
            path: decision::PlacementPath::Preemption,
            score: 0,
            candidates: 1,
        };
        self.start(now_ms, task, &choice, decisions);
    }
}
