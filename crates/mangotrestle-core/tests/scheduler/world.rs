//! Model of workers with all faults that the scheduler must tolerate: the actual state of the
//! workers, the messages in flight, and checks of every decision.

mod checks;
mod workload;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mangotrestle_core::{id, job, resources, result_code, scheduler, task, time};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::fixture::{self, amount, capacity, team_id, worker_id};

/// Frequency of faults, and size of the pool.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    /// Probability of each kind of fault, in percent.
    pub percent: u32,
    /// Number of workers in the pool.
    pub workers: u32,
}

/// Actual state of a run on its worker.
#[derive(Clone, Debug)]
struct RealRun {
    need: resources::Resources,
    reported_usage: resources::Resources,
    usage: resources::Resources,
    ends_at_ms: Option<u64>,
    outcome: task::RunOutcome,
}

/// Actual state of a worker.
#[derive(Clone, Debug)]
struct RealWorker {
    rack: String,
    capacity: resources::Resources,
    runs: BTreeMap<task::RunId, RealRun>,
    /// Ends of runs that the worker has not reported to the scheduler.
    unreported_ends: Vec<scheduler::SchedulerEvent>,
    /// Whether it answers; the scheduler is informed of every change.
    reachable: bool,
    leaving: bool,
    fails_every_run: bool,
}

/// A start message in flight.
#[derive(Clone, Debug)]
struct StartMessage {
    run: task::RunId,
    worker: String,
    need: resources::Resources,
}

pub struct World {
    pub scheduler: scheduler::Scheduler,
    pub now_ms: u64,
    pub events: u64,
    rng: SmallRng,
    faults: Faults,
    config: scheduler::SchedulerConfig,
    seed: u64,
    workers: BTreeMap<String, RealWorker>,
    specs: BTreeMap<id::JobId, Arc<job::JobSpec>>,
    failing_jobs: BTreeSet<id::JobId>,
    cancelled: BTreeSet<id::JobId>,
    starts_in_flight: Vec<StartMessage>,
    /// Events that arrive later, possibly twice and in another order.
    delayed: Vec<scheduler::SchedulerEvent>,
    attempts: BTreeMap<task::TaskId, u32>,
    /// Tasks that must not run again because a run may have had an effect.
    not_repeatable: BTreeSet<task::TaskId>,
    next_job: u64,
    attempt_floor: u32,
    recovering: BTreeSet<String>,
}

const QUOTA_TEAM: &str = "team-1";

fn quota() -> resources::Resources {
    resources::Resources {
        slots: 12,
        ..amount(24, 96, 8)
    }
}

impl World {
    pub fn new(seed: u64, faults: Faults) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let limited = scheduler::TeamQuota {
            limit: Some(quota()),
            weight: 2,
        };
        let config = scheduler::SchedulerConfig::builder()
            .packing_weight(rng.random_range(0..4))
            .spread_weight(rng.random_range(0..4))
            .keep_accelerator_hosts(rng.random_bool(0.3))
            .max_reservations(rng.random_range(0..3))
            .quota(team_id(QUOTA_TEAM), limited)
            .build();
        let mut world = Self {
            scheduler: scheduler::Scheduler::new(config.clone(), seed),
            now_ms: 0,
            events: 0,
            rng,
            faults,
            config,
            seed,
            workers: BTreeMap::new(),
            specs: BTreeMap::new(),
            failing_jobs: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            starts_in_flight: Vec::new(),
            delayed: Vec::new(),
            attempts: BTreeMap::new(),
            not_repeatable: BTreeSet::new(),
            next_job: 0,
            attempt_floor: 1,
            recovering: BTreeSet::new(),
        };
        for number in 0..faults.workers {
            world.add_worker(number);
        }
        world
    }

    fn add_worker(&mut self, number: u32) {
        let name = format!("worker-{number}");
        let with_accelerators = number.is_multiple_of(3);
        let worker = RealWorker {
            rack: format!("rack-{}", number / 3),
            capacity: if with_accelerators {
                capacity(32, 128, 8)
            } else {
                capacity(16, 64, 0)
            },
            runs: BTreeMap::new(),
            unreported_ends: Vec::new(),
            reachable: true,
            leaving: false,
            fails_every_run: number == 1 && self.faults.percent > 0,
        };
        self.workers.insert(name.clone(), worker);
        self.list_worker(&name);
    }

    fn fault_occurs(&mut self) -> bool {
        self.rng.random_range(0..100) < self.faults.percent
    }

    /// Passes an event to the scheduler and checks all invariants.
    fn deliver(&mut self, event: scheduler::SchedulerEvent) {
        self.events += 1;
        let described = format!("{event:?}");
        self.scheduler.handle(time::TimeMs(self.now_ms), event);
        self.check(&described);
    }

    /// Passes an event to the scheduler now, later or twice.
    fn deliver_unreliably(&mut self, event: scheduler::SchedulerEvent) {
        if self.fault_occurs() {
            self.delayed.push(event.clone());
        }
        if self.fault_occurs() {
            self.delayed.push(event);
        } else {
            self.deliver(event);
        }
    }

    /// Lists a worker, after reporting the ends that it has not reported before.
    fn list_worker(&mut self, name: &str) {
        // A listing follows a claim, which fences starts that were sent before.
        self.starts_in_flight.retain(|start| start.worker != name);
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.reachable = true;
        for event in std::mem::take(&mut worker.unreported_ends) {
            self.deliver(event);
        }
        let worker = &self.workers[name];
        let running = worker.runs.iter().map(|(run, real)| scheduler::ListedRun {
            run: run.clone(),
            need: real.need,
        });
        let listing = scheduler::WorkerListing {
            worker: worker_id(name),
            rack: id::RackId::new(&worker.rack).expect("valid rack identifier"),
            availability_zone: id::AvailabilityZoneId::new("zone-1").expect("valid zone"),
            capacity: worker.capacity,
            running: running.collect(),
            leaving: worker.leaving,
        };
        for real in self
            .workers
            .get_mut(name)
            .into_iter()
            .flat_map(|w| w.runs.values_mut())
        {
            real.reported_usage = resources::Resources::ZERO;
        }
        self.deliver(scheduler::SchedulerEvent::WorkerAvailable(listing));
        self.worker_recovered(name);
    }

    /// Notes that a worker was listed or lost, and completes recovery after the last one.
    fn worker_recovered(&mut self, name: &str) {
        if self.recovering.remove(name) && self.recovering.is_empty() {
            self.deliver(scheduler::SchedulerEvent::RecoveryComplete);
        }
    }

    /// Performs one random step.
    pub fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..200);
        match self.rng.random_range(0..100) {
            0..20 => self.submit(),
            20..45 => self.deliver_start(),
            45..70 => self.end_some_run(),
            70..76 => self.report_some_usage(),
            76..80 => self.deliver_delayed(),
            80..83 => self.cancel_some_jobs(),
            83..86 => self.checkpoint_some_run(),
            86..93 => self.change_some_worker(),
            93..94 => self.retry_some_unknown_task(),
            94..95 => self.change_leader(),
            95..96 => self.change_replicas(),
            _ => self.now_ms += self.rng.random_range(0..10_000),
        }
        self.forget_finished();
        if self.rng.random_bool(0.7) {
            self.decide();
        }
    }

    fn submit(&mut self) {
        if self.specs.len() > 30 {
            return;
        }
        let spec = Arc::new(self.random_spec());
        if self.fault_occurs() && self.rng.random_bool(0.3) {
            self.failing_jobs.insert(spec.id.clone());
        }
        self.specs.insert(spec.id.clone(), Arc::clone(&spec));
        let event = scheduler::SchedulerEvent::JobAccepted {
            spec,
            accepted_wall_ms: time::WallTimeMs(self.now_ms),
        };
        if self.fault_occurs() {
            self.delayed.push(event.clone());
        }
        self.deliver(event);
    }

    fn decide(&mut self) {
        let limit = self.rng.random_range(1..40);
        let mut decisions = Vec::new();
        self.scheduler
            .decide(time::TimeMs(self.now_ms), limit, &mut decisions);
        self.check("a decision round");
        for decision in decisions {
            self.carry_out(decision);
        }
    }

    fn carry_out(&mut self, decision: scheduler::Decision) {
        match decision {
            scheduler::Decision::Start {
                run, worker, need, ..
            } => self.send_start(run, worker.as_str(), need),
            scheduler::Decision::Stop { run, worker, .. } => self.stop(&run, worker.as_str()),
            _ => {}
        }
    }

    fn send_start(&mut self, run: task::RunId, worker: &str, need: resources::Resources) {
        self.check_start(&run, worker, &need);
        self.attempts.insert(run.task.clone(), run.attempt);
        self.starts_in_flight.push(StartMessage {
            run,
            worker: worker.to_owned(),
            need,
        });
    }

    fn deliver_start(&mut self) {
        if self.starts_in_flight.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.starts_in_flight.len());
        let start = self.starts_in_flight[position].clone();
        let worker = &self.workers[&start.worker];
        if !worker.reachable {
            // There is no answer. The start may still arrive until the worker is listed or lost.
            self.deliver(scheduler::SchedulerEvent::StartUnknown { run: start.run });
            return;
        }
        self.starts_in_flight.swap_remove(position);
        if self.fault_occurs() {
            let code = if self.rng.random_bool(0.5) {
                result_code::ResultCode::NoCapacity
            } else {
                result_code::ResultCode::Internal
            };
            let run = start.run;
            self.deliver_unreliably(scheduler::SchedulerEvent::StartRefused { run, code });
            return;
        }
        self.start_on_worker(&start);
        let run = start.run.clone();
        if self.fault_occurs() {
            self.deliver(scheduler::SchedulerEvent::StartUnknown { run });
        } else {
            self.deliver_unreliably(scheduler::SchedulerEvent::RunStarted { run });
        }
    }

    fn start_on_worker(&mut self, start: &StartMessage) {
        let spec = Arc::clone(&self.specs[&start.run.task.job]);
        if !spec.idempotent {
            self.not_repeatable.insert(start.run.task.clone());
        }
        let factor = self.rng.random_range(2..20);
        let scale = |value: u64| value * factor / 10;
        let fails =
            self.failing_jobs.contains(&spec.id) || self.workers[&start.worker].fails_every_run;
        let run_time_ms = spec.run_time_ms.map(|span| span.0 * factor / 10);
        let real = RealRun {
            need: start.need,
            reported_usage: resources::Resources::ZERO,
            usage: resources::Resources {
                cpu_millicores: scale(start.need.cpu_millicores),
                memory_mib: scale(start.need.memory_mib),
                ..start.need
            },
            ends_at_ms: if fails {
                Some(self.now_ms)
            } else {
                run_time_ms.map(|span| self.now_ms + span)
            },
            outcome: if fails {
                task::RunOutcome::Failed
            } else {
                task::RunOutcome::Succeeded
            },
        };
        let worker = self.workers.get_mut(&start.worker).expect("a known worker");
        worker.runs.insert(start.run.clone(), real);
    }

    /// Picks a random run, as (worker, run).
    fn pick_run(&mut self, due_only: bool) -> Option<(String, task::RunId)> {
        let now_ms = self.now_ms;
        let due = |real: &RealRun| !due_only || real.ends_at_ms.is_some_and(|end| end <= now_ms);
        let mut runs = Vec::new();
        for (name, worker) in &self.workers {
            let matching = worker.runs.iter().filter(|(_, real)| due(real));
            runs.extend(matching.map(|(run, _)| (name.clone(), run.clone())));
        }
        if runs.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..runs.len());
        Some(runs.swap_remove(position))
    }

    fn end_some_run(&mut self) {
        let Some((name, run)) = self.pick_run(true) else {
            return;
        };
        let worker = self.workers.get_mut(&name).expect("a known worker");
        let real = worker.runs.remove(&run).expect("a real run");
        self.report_end(&name, &run, real.outcome);
    }

    fn report_end(&mut self, name: &str, run: &task::RunId, outcome: task::RunOutcome) {
        let event = scheduler::SchedulerEvent::RunEnded {
            run: run.clone(),
            outcome,
        };
        let worker = self.workers.get_mut(name).expect("a known worker");
        if worker.reachable {
            self.deliver_unreliably(event);
        } else {
            worker.unreported_ends.push(event);
        }
    }

    fn stop(&mut self, run: &task::RunId, name: &str) {
        if self.fault_occurs() {
            return;
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if !worker.reachable {
            return;
        }
        let was_running = worker.runs.remove(run).is_some();
        let position = self
            .starts_in_flight
            .iter()
            .position(|start| start.run == *run);
        if let Some(position) = position {
            // The stop overtook the start; the worker remembers it and refuses the start.
            self.starts_in_flight.swap_remove(position);
        }
        if was_running || position.is_some() {
            let outcome = if was_running {
                task::RunOutcome::Stopped
            } else {
                task::RunOutcome::NotRun
            };
            self.report_end(name, run, outcome);
        }
    }

    fn report_some_usage(&mut self) {
        let Some((name, run)) = self.pick_run(false) else {
            return;
        };
        let worker = self.workers.get_mut(&name).expect("a known worker");
        if !worker.reachable {
            return;
        }
        let real = worker.runs.get_mut(&run).expect("a real run");
        real.reported_usage = real.usage;
        let used = real.usage;
        self.deliver(scheduler::SchedulerEvent::Usage { run, used });
    }

    fn deliver_delayed(&mut self) {
        if self.delayed.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.delayed.len());
        let event = self.delayed.swap_remove(position);
        self.deliver(event);
    }

    fn cancel_some_jobs(&mut self) {
        let count = if self.rng.random_bool(0.1) { 10 } else { 1 };
        for _ in 0..count {
            if self.specs.is_empty() {
                return;
            }
            let position = self.rng.random_range(0..self.specs.len());
            let job = self.specs.keys().nth(position).cloned().expect("a job");
            self.cancelled.insert(job.clone());
            self.deliver_cancel_unreliably(job);
        }
    }

    fn deliver_cancel_unreliably(&mut self, job: id::JobId) {
        let event = scheduler::SchedulerEvent::JobCancelled { job };
        if self.fault_occurs() {
            self.delayed.push(event.clone());
        }
        self.deliver(event);
    }

    fn checkpoint_some_run(&mut self) {
        if let Some((_, run)) = self.pick_run(false) {
            self.deliver_unreliably(scheduler::SchedulerEvent::Checkpointed { run });
        }
    }

    fn change_some_worker(&mut self) {
        if !self.fault_occurs() {
            return;
        }
        let position = self.rng.random_range(0..self.workers.len());
        let name = self
            .workers
            .keys()
            .nth(position)
            .cloned()
            .expect("a worker");
        match self.rng.random_range(0..4) {
            0 => self.make_unreachable(&name),
            1 => self.lose_worker(&name),
            2 => self.list_worker(&name),
            _ => self.toggle_leaving(&name),
        }
    }

    fn make_unreachable(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.reachable = false;
        let worker = worker_id(name);
        self.deliver(scheduler::SchedulerEvent::WorkerUnreachable { worker });
    }

    /// Ends all runs of a worker and reports the worker as lost. A later listing brings it back.
    fn lose_worker(&mut self, name: &str) {
        self.starts_in_flight.retain(|start| start.worker != name);
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.runs.clear();
        worker.reachable = false;
        let lost = worker_id(name);
        self.deliver(scheduler::SchedulerEvent::WorkerLost { worker: lost });
        self.worker_recovered(name);
    }

    fn toggle_leaving(&mut self, name: &str) {
        let worker = self.workers.get_mut(name).expect("a known worker");
        worker.leaving = !worker.leaving;
        let leaving = worker.leaving;
        let worker = worker_id(name);
        self.deliver(scheduler::SchedulerEvent::WorkerLeaving { worker, leaving });
    }

    fn retry_some_unknown_task(&mut self) {
        let unknown: Vec<task::TaskId> = self
            .scheduler
            .jobs()
            .flat_map(|job| {
                let tasks = self.scheduler.tasks(&job.spec.id);
                let job = job.spec.id.clone();
                tasks.into_iter().map(move |task| (job.clone(), task))
            })
            .filter(|(_, task)| task.state == scheduler::TaskState::Unknown)
            .map(|(job, task)| task::TaskId {
                job,
                index: task.index,
            })
            .collect();
        let Some(task) = unknown.into_iter().next() else {
            return;
        };
        // The operator first makes sure that no run of the task is active.
        let runs_somewhere = self
            .workers
            .values()
            .any(|worker| worker.runs.keys().any(|run| run.task == task));
        if runs_somewhere {
            return;
        }
        self.not_repeatable.remove(&task);
        self.deliver(scheduler::SchedulerEvent::OperatorRetry { task });
    }

    /// Another entry host becomes leader and recovers from snapshots and from the workers'
    /// listings. The latest records of idempotent work may be missing in the snapshots.
    fn change_leader(&mut self) {
        let mut snapshots: Vec<scheduler::JobSnapshot> = self.scheduler.snapshot().collect();
        for snapshot in &mut snapshots {
            if snapshot.spec.idempotent && self.fault_occurs() {
                let recorded = |task: &scheduler::TaskSnapshot| {
                    !matches!(task.state, scheduler::TaskSnapshotState::Started { .. })
                };
                snapshot.started.retain(recorded);
            }
        }
        self.attempt_floor += 1_000;
        self.scheduler = scheduler::Scheduler::new(self.config.clone(), self.seed);
        self.scheduler.set_attempt_floor(self.attempt_floor);
        self.starts_in_flight.clear();
        self.delayed.clear();
        for snapshot in &snapshots {
            self.scheduler.restore(time::TimeMs(self.now_ms), snapshot);
        }
        self.check("a restore");
        let names: Vec<String> = self.workers.keys().cloned().collect();
        self.recovering = names.iter().cloned().collect();
        for name in names {
            if self.workers[&name].reachable {
                self.list_worker(&name);
            }
        }
    }

    fn change_replicas(&mut self) {
        let count = self.rng.random_range(0..4);
        let mut spec = fixture::service("guest", 2);
        spec.need = amount(1, 2, 0);
        let spec = Arc::new(spec);
        self.specs
            .entry(spec.id.clone())
            .or_insert_with(|| Arc::clone(&spec));
        if self.cancelled.contains(&spec.id) {
            return;
        }
        self.deliver(scheduler::SchedulerEvent::ExtraReplicas {
            spec,
            first_index: 100_000,
            count,
        });
    }

    /// Forgets jobs that have no running, waiting or unknown task.
    fn forget_finished(&mut self) {
        let finished: Vec<id::JobId> = self
            .scheduler
            .jobs()
            .filter(|job| job.counts.waiting + job.counts.running + job.counts.unknown == 0)
            .map(|job| job.spec.id.clone())
            .collect();
        for job in finished {
            let of_job = |run: &task::RunId| run.task.job == job;
            let runs = self
                .workers
                .values()
                .any(|worker| worker.runs.keys().any(of_job));
            let has_extra_replicas = job.as_str() == "guest";
            if runs || has_extra_replicas || self.rng.random_bool(0.5) {
                continue;
            }
            // A job is forgotten only after its delayed messages, so these are discarded.
            self.delayed.retain(|event| !mentions(event, &job));
            self.specs.remove(&job);
            self.deliver(scheduler::SchedulerEvent::JobForgotten { job });
        }
    }

    /// Stops injecting faults and runs until no more work can be done, then checks that all tasks
    /// ended.
    pub fn finish_without_faults(&mut self) {
        self.faults.percent = 0;
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            self.workers.get_mut(name).expect("a worker").leaving = false;
            self.workers
                .get_mut(name)
                .expect("a worker")
                .fails_every_run = false;
            self.list_worker(name);
        }
        while !self.delayed.is_empty() {
            self.deliver_delayed();
        }
        for job in self.services() {
            self.cancelled.insert(job.clone());
            self.deliver(scheduler::SchedulerEvent::JobCancelled { job });
        }
        for _ in 0..3_000 {
            self.now_ms += 1_000;
            self.decide();
            while !self.starts_in_flight.is_empty() {
                self.deliver_start();
            }
            while self.pick_run(true).is_some() {
                self.end_some_run();
            }
        }
        self.check_finished();
    }

    fn services(&self) -> Vec<id::JobId> {
        let jobs = self.scheduler.jobs();
        jobs.filter(|job| job.spec.kind == job::JobKind::Service)
            .map(|job| job.spec.id.clone())
            .collect()
    }
}

fn mentions(event: &scheduler::SchedulerEvent, job: &id::JobId) -> bool {
    match event {
        scheduler::SchedulerEvent::JobAccepted { spec, .. } => spec.id == *job,
        scheduler::SchedulerEvent::JobCancelled { job: other } => other == job,
        scheduler::SchedulerEvent::StartRefused { run, .. }
        | scheduler::SchedulerEvent::RunStarted { run }
        | scheduler::SchedulerEvent::RunEnded { run, .. }
        | scheduler::SchedulerEvent::Checkpointed { run } => run.task.job == *job,
        _ => false,
    }
}
