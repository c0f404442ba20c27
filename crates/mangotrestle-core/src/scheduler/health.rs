//! Detection of workers on which every job fails, and of jobs that fail on every worker.
//!
//! A single failure does not show which of the two is at fault. A worker is at fault when different
//! jobs fail on it that are not suspected themselves; a job is at fault when it fails on different
//! workers and has never succeeded.

use crate::result_code;
use crate::time;

use super::Scheduler;
use super::decision;
use super::index::WorkerKey;
use super::queue::JobKey;
use super::timer;
use super::worker;

/// Number of different workers on which a job that never succeeded fails before it is suspected.
const SUSPECT_JOB_AFTER_WORKERS: usize = 2;

/// Multiple of `quarantine_after_jobs` that gives the number of consecutive failures after which a
/// worker is at fault, provided that one of the failed jobs has succeeded elsewhere.
const CONSECUTIVE_FAILURES_FACTOR: usize = 2;

/// Divisor of the number of workers in the pool that gives the maximum number of quarantined ones.
/// One worker may always be quarantined. If more fail at once, the cause is more likely outside the
/// workers, and quarantining them would stop all work.
const MAX_QUARANTINED_DIVISOR: usize = 4;

/// Result of a probe of a quarantined worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProbeResult {
    Succeeded,
    Failed,
    /// The run ended without showing whether the worker is at fault.
    Inconclusive,
}

impl Scheduler {
    pub(super) fn record_success(&mut self, now_ms: time::TimeMs, key: WorkerKey, job: JobKey) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.failed_jobs.clear();
            worker.consecutive_failures = 0;
        }
        if std::mem::replace(&mut self.jobs[job].has_succeeded, true) {
            return;
        }
        // The job can succeed, so the workers on which it failed before may be at fault.
        for failed_on in self.jobs[job].failed_on.clone() {
            if self.workers.get(failed_on).is_some() && self.is_worker_at_fault(failed_on) {
                self.quarantine(now_ms, failed_on);
            }
        }
    }

    pub(super) fn record_failure(&mut self, now_ms: time::TimeMs, key: WorkerKey, job: JobKey) {
        if self.jobs[job].parked.is_some() {
            return;
        }
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.trust != worker::Trust::Trusted {
            return;
        }
        worker.consecutive_failures += 1;
        if !worker.failed_jobs.contains(&job) {
            worker.failed_jobs.push(job);
        }
        let entry = &mut self.jobs[job];
        if !entry.failed_on.contains(&key) {
            entry.failed_on.push(key);
        }
        if self.is_worker_at_fault(key) {
            self.quarantine(now_ms, key);
        } else if self.is_job_at_fault(job) {
            self.park_job_at_fault(job);
        }
    }

    fn is_suspect(&self, job: JobKey) -> bool {
        self.jobs.get(job).is_none_or(|job| {
            job.parked.is_some()
                || (!job.has_succeeded && job.failed_on.len() >= SUSPECT_JOB_AFTER_WORKERS)
        })
    }

    fn is_worker_at_fault(&self, key: WorkerKey) -> bool {
        let worker = &self.workers[key];
        let not_suspected = |job: &&JobKey| !self.is_suspect(**job);
        let distinct_jobs = worker.failed_jobs.iter().filter(not_suspected).count();
        let required_jobs = self.config.quarantine_after_jobs;
        let succeeded_elsewhere =
            |&job: &JobKey| self.jobs.get(job).is_some_and(|job| job.has_succeeded);
        let repeated_failures = worker.consecutive_failures as usize
            >= required_jobs * CONSECUTIVE_FAILURES_FACTOR
            && worker.failed_jobs.iter().any(succeeded_elsewhere);
        distinct_jobs >= required_jobs || repeated_failures
    }

    fn is_job_at_fault(&self, job: JobKey) -> bool {
        let job = &self.jobs[job];
        !job.has_succeeded && job.failed_on.len() >= self.config.park_after_workers
    }

    /// Parks a job and removes its failures from the workers on which it failed.
    fn park_job_at_fault(&mut self, job: JobKey) {
        for key in std::mem::take(&mut self.jobs[job].failed_on) {
            if let Some(worker) = self.workers.get_mut(key) {
                worker.failed_jobs.retain(|failed| *failed != job);
                if worker.failed_jobs.is_empty() {
                    worker.consecutive_failures = 0;
                }
            }
        }
        self.park(job, result_code::ResultCode::FailsEverywhere);
    }

    /// Quarantines a worker and removes its failures from the jobs that failed on it.
    fn quarantine(&mut self, now_ms: time::TimeMs, key: WorkerKey) {
        let is_quarantined = |worker: &worker::Worker| worker.trust != worker::Trust::Trusted;
        let quarantined = self
            .workers
            .iter()
            .filter(|(_, worker)| is_quarantined(worker))
            .count();
        let already_quarantined = is_quarantined(&self.workers[key]);
        if !already_quarantined
            && quarantined > 0
            && quarantined + 1 > self.workers.len() / MAX_QUARANTINED_DIVISOR
        {
            return;
        }
        let worker = &mut self.workers[key];
        let doublings = worker.probe_delay_doublings.min(16);
        worker.probe_delay_doublings += 1;
        worker.trust = worker::Trust::Quarantined;
        worker.consecutive_failures = 0;
        let failed_jobs = std::mem::take(&mut worker.failed_jobs);
        let id = worker.id.clone();
        for job in failed_jobs {
            if self.jobs.get(job).is_some() {
                self.jobs[job].failed_on.retain(|failed| *failed != key);
            }
        }
        let wait_ms = self.config.quarantine_base_ms.0 << doublings;
        let wait_ms = wait_ms.min(self.config.quarantine_max_ms.0);
        let probe_at_ms = now_ms + time::SpanMs(wait_ms);
        self.probes.retain(|&probe| probe != key);
        self.release_holds_on(now_ms, key);
        self.break_reservation(key);
        self.refresh_worker(key);
        self.timers.set(probe_at_ms, timer::Timer::Probe(key));
        self.notices
            .push_back(decision::Decision::WorkerQuarantined {
                worker: id,
                probe_at_ms: Some(probe_at_ms),
            });
    }

    /// Allows one run on a quarantined worker as a probe.
    pub(super) fn offer_probe(&mut self, key: WorkerKey) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.trust == worker::Trust::Trusted || !worker.is_present() {
            return;
        }
        worker.trust = worker::Trust::Probing;
        let free = worker.free();
        if !self.probes.contains(&key) {
            self.probes.push(key);
        }
        self.queue.unblock_fitting(&free);
    }

    pub(super) fn probe_ended(
        &mut self,
        now_ms: time::TimeMs,
        key: WorkerKey,
        result: ProbeResult,
    ) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        if worker.trust != worker::Trust::Probing {
            return;
        }
        match result {
            ProbeResult::Succeeded => self.release_from_quarantine(key),
            ProbeResult::Failed => self.quarantine(now_ms, key),
            ProbeResult::Inconclusive => self.offer_probe(key),
        }
    }

    fn release_from_quarantine(&mut self, key: WorkerKey) {
        let worker = &mut self.workers[key];
        worker.trust = worker::Trust::Trusted;
        worker.probe_delay_doublings = worker.probe_delay_doublings.saturating_sub(1);
        let id = worker.id.clone();
        self.probes.retain(|&probe| probe != key);
        self.refresh_worker(key);
        self.notices
            .push_back(decision::Decision::WorkerQuarantined {
                worker: id,
                probe_at_ms: None,
            });
    }
}
