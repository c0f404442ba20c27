//! A common interface to both schedulers, and a simulation of workers in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use mangotrestle_core::collections::FastMap;
use mangotrestle_core::{id, job, scheduler, task, time};

use super::workload;

/// A scheduler's decision that the simulated workers carry out.
#[derive(Clone, Debug)]
pub enum Action {
    Start { run: task::RunId },
    Stop { run: task::RunId },
}

/// A scheduler under measurement.
pub trait Policy {
    fn submit(&mut self, now_ms: u64, spec: &Arc<job::JobSpec>);
    fn cancel(&mut self, now_ms: u64, job: &id::JobId);
    fn started(&mut self, now_ms: u64, run: &task::RunId);
    fn ended(&mut self, now_ms: u64, run: &task::RunId, outcome: task::RunOutcome);
    fn decide(&mut self, now_ms: u64) -> Vec<Action>;
    fn next_wake_up_ms(&self, now_ms: u64) -> Option<u64>;
}

/// The real scheduler.
pub struct Real {
    scheduler: scheduler::Scheduler,
}

impl Real {
    pub fn new(
        config: scheduler::SchedulerConfig,
        workers: &[workload::Worker],
        seed: u64,
    ) -> Self {
        let mut scheduler = scheduler::Scheduler::new(config, seed);
        for worker in workers {
            scheduler.handle(time::TimeMs(0), worker.listing());
        }
        Self { scheduler }
    }

    fn handle(&mut self, now_ms: u64, event: scheduler::SchedulerEvent) {
        self.scheduler.handle(time::TimeMs(now_ms), event);
    }
}

impl Policy for Real {
    fn submit(&mut self, now_ms: u64, spec: &Arc<job::JobSpec>) {
        let event = scheduler::SchedulerEvent::JobAccepted {
            spec: Arc::clone(spec),
            accepted_wall_ms: time::WallTimeMs(now_ms),
        };
        self.handle(now_ms, event);
    }

    fn cancel(&mut self, now_ms: u64, job: &id::JobId) {
        let job = job.clone();
        self.handle(now_ms, scheduler::SchedulerEvent::JobCancelled { job });
    }

    fn started(&mut self, now_ms: u64, run: &task::RunId) {
        let run = run.clone();
        self.handle(now_ms, scheduler::SchedulerEvent::RunStarted { run });
    }

    fn ended(&mut self, now_ms: u64, run: &task::RunId, outcome: task::RunOutcome) {
        let run = run.clone();
        self.handle(now_ms, scheduler::SchedulerEvent::RunEnded { run, outcome });
    }

    fn decide(&mut self, now_ms: u64) -> Vec<Action> {
        let mut decisions = Vec::new();
        while self
            .scheduler
            .decide(time::TimeMs(now_ms), 1_000, &mut decisions)
        {}
        let actions = decisions.into_iter().filter_map(|decision| match decision {
            scheduler::Decision::Start { run, .. } => Some(Action::Start { run }),
            scheduler::Decision::Stop { run, .. } => Some(Action::Stop { run }),
            _ => None,
        });
        actions.collect()
    }

    fn next_wake_up_ms(&self, now_ms: u64) -> Option<u64> {
        let wake_up = self.scheduler.next_wake_up(time::TimeMs(now_ms))?;
        Some(wake_up.0)
    }
}

/// The naive scheduler.
#[derive(Default)]
pub struct Naive {
    scheduler: scheduler::naive::NaiveScheduler,
    running: FastMap<id::JobId, Vec<task::RunId>>,
    stops: Vec<task::RunId>,
    /// Whether jobs arrived or runs ended since the last decision.
    changed: bool,
}

impl Naive {
    pub fn new(workers: &[workload::Worker]) -> Self {
        let mut naive = Self::default();
        for worker in workers {
            naive.scheduler.add_worker(worker.id(), worker.capacity);
        }
        naive
    }
}

impl Policy for Naive {
    fn submit(&mut self, now_ms: u64, spec: &Arc<job::JobSpec>) {
        self.scheduler
            .add_job(Arc::clone(spec), time::WallTimeMs(now_ms));
        self.changed = true;
    }

    fn cancel(&mut self, _now_ms: u64, job: &id::JobId) {
        self.scheduler.remove_job(job);
        self.stops
            .extend(self.running.remove(job).unwrap_or_default());
    }

    fn started(&mut self, _now_ms: u64, _run: &task::RunId) {}

    fn ended(&mut self, _now_ms: u64, run: &task::RunId, _outcome: task::RunOutcome) {
        self.scheduler.end_run(run);
        if let Some(runs) = self.running.get_mut(&run.task.job) {
            runs.retain(|other| other != run);
        }
        self.changed = true;
    }

    fn decide(&mut self, _now_ms: u64) -> Vec<Action> {
        let stops = std::mem::take(&mut self.stops).into_iter();
        let mut actions: Vec<Action> = stops.map(|run| Action::Stop { run }).collect();
        if std::mem::take(&mut self.changed) {
            for start in self.scheduler.place(usize::MAX) {
                let runs = self.running.entry(start.run.task.job.clone()).or_default();
                runs.push(start.run.clone());
                actions.push(Action::Start { run: start.run });
            }
        }
        actions
    }

    fn next_wake_up_ms(&self, _now_ms: u64) -> Option<u64> {
        None
    }
}

/// A job and the time at which it arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub spec: Arc<job::JobSpec>,
    /// Actual run time of each task. For a service, one entry: the time until it is cancelled.
    pub run_times_ms: Vec<u64>,
}

/// Times at which a job arrived, its tasks first started, and its last run ended.
#[derive(Clone, Debug)]
pub struct JobTrace {
    pub spec: Arc<job::JobSpec>,
    pub arrived_ms: u64,
    pub first_starts_ms: Vec<Option<u64>>,
    pub ended_ms: u64,
    /// Time at which a service was cancelled, which ends the wait of replicas that never started.
    pub cancelled_ms: Option<u64>,
}

/// Number of accelerators in use from a point in time.
#[derive(Clone, Copy, Debug)]
pub struct UseChange {
    pub at_ms: u64,
    pub accelerators: u32,
    /// Number of accelerators that waiting and running tasks need together.
    pub wanted: u64,
}

/// Result of running a workload.
#[derive(Debug, Default)]
pub struct Trace {
    pub jobs: Vec<JobTrace>,
    pub accelerator_use: Vec<UseChange>,
    pub stops: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrive(usize),
    End { run: task::RunId },
    Stopped { run: task::RunId },
    Cancel(usize),
    WakeUp,
}

/// A run on a simulated worker.
#[derive(Clone, Copy, Debug)]
struct ActiveRun {
    job: usize,
    started_ms: u64,
    stopping: bool,
}

/// Runs a workload in virtual time.
pub struct Driver<'a, P> {
    policy: P,
    arrivals: &'a [Arrival],
    checkpoint_ms: u64,
    queue: BinaryHeap<Reverse<(u64, Event)>>,
    /// Index of each job in `arrivals`.
    jobs: FastMap<id::JobId, usize>,
    /// Remaining run time of each task, by job and task index.
    remaining_ms: Vec<Vec<u64>>,
    active_runs: FastMap<task::RunId, ActiveRun>,
    next_wake_up_ms: Option<u64>,
    accelerators: u32,
    wanted: u64,
    trace: Trace,
}

impl<'a, P: Policy> Driver<'a, P> {
    pub fn new(policy: P, arrivals: &'a [Arrival], checkpoint_ms: u64) -> Self {
        let queue = arrivals.iter().enumerate();
        let queue = queue.map(|(job, arrival)| Reverse((arrival.at_ms, Event::Arrive(job))));
        let traces = arrivals.iter().map(|arrival| JobTrace {
            spec: Arc::clone(&arrival.spec),
            arrived_ms: arrival.at_ms,
            first_starts_ms: vec![None; arrival.spec.tasks as usize],
            ended_ms: 0,
            cancelled_ms: None,
        });
        let ids = arrivals.iter().enumerate();
        Self {
            policy,
            arrivals,
            checkpoint_ms,
            queue: queue.collect(),
            jobs: ids
                .map(|(job, arrival)| (arrival.spec.id.clone(), job))
                .collect(),
            remaining_ms: arrivals
                .iter()
                .map(|arrival| arrival.run_times_ms.clone())
                .collect(),
            active_runs: FastMap::default(),
            next_wake_up_ms: None,
            accelerators: 0,
            wanted: 0,
            trace: Trace {
                jobs: traces.collect(),
                ..Trace::default()
            },
        }
    }

    /// Runs until there are no more events or the next one is later than `until_ms`.
    pub fn run(mut self, until_ms: u64) -> Trace {
        while let Some(Reverse((now_ms, _))) = self.queue.peek() {
            let now_ms = *now_ms;
            if now_ms > until_ms {
                break;
            }
            while let Some(event) = self.pop_due(now_ms) {
                self.handle_event(now_ms, event);
            }
            for action in self.policy.decide(now_ms) {
                self.apply_action(now_ms, action);
            }
            self.record_accelerator_use(now_ms);
            self.set_wake_up(now_ms);
        }
        self.trace
    }

    fn pop_due(&mut self, now_ms: u64) -> Option<Event> {
        let Reverse((at_ms, _)) = self.queue.peek()?;
        if *at_ms > now_ms {
            return None;
        }
        self.queue.pop().map(|Reverse((_, event))| event)
    }

    fn push(&mut self, at_ms: u64, event: Event) {
        self.queue.push(Reverse((at_ms, event)));
    }

    fn set_wake_up(&mut self, now_ms: u64) {
        let Some(at_ms) = self.policy.next_wake_up_ms(now_ms) else {
            return;
        };
        let at_ms = at_ms.max(now_ms + 1);
        let pending = self.next_wake_up_ms.filter(|pending| *pending > now_ms);
        // If no other event is pending, wake-ups alone no longer change anything.
        if pending.is_none_or(|pending| at_ms < pending) && !self.queue.is_empty() {
            self.next_wake_up_ms = Some(at_ms);
            self.push(at_ms, Event::WakeUp);
        }
    }

    fn handle_event(&mut self, now_ms: u64, event: Event) {
        match event {
            Event::Arrive(job) => self.arrive(now_ms, job),
            Event::End { run } => self.end(now_ms, &run, task::RunOutcome::Succeeded),
            Event::Stopped { run } => self.end(now_ms, &run, task::RunOutcome::Stopped),
            Event::Cancel(job) => {
                let arrivals = self.arrivals;
                self.policy.cancel(now_ms, &arrivals[job].spec.id);
                self.trace.jobs[job].cancelled_ms = Some(now_ms);
            }
            Event::WakeUp => {}
        }
    }

    fn arrive(&mut self, now_ms: u64, job: usize) {
        let arrivals = self.arrivals;
        let arrival = &arrivals[job];
        let need = arrival.spec.need.accelerators;
        self.wanted += u64::from(need) * u64::from(arrival.spec.tasks);
        self.policy.submit(now_ms, &arrival.spec);
        if arrival.spec.kind == job::JobKind::Service {
            self.push(now_ms + arrival.run_times_ms[0], Event::Cancel(job));
        }
    }

    fn apply_action(&mut self, now_ms: u64, action: Action) {
        match action {
            Action::Start { run } => self.start(now_ms, &run),
            Action::Stop { run } => self.stop(now_ms, run),
        }
    }

    fn start(&mut self, now_ms: u64, run: &task::RunId) {
        let job = self.jobs[&run.task.job];
        let index = run.task.index as usize;
        let spec = &self.arrivals[job].spec;
        self.trace.jobs[job].first_starts_ms[index].get_or_insert(now_ms);
        self.accelerators += spec.need.accelerators;
        let active_run = ActiveRun {
            job,
            started_ms: now_ms,
            stopping: false,
        };
        self.active_runs.insert(run.clone(), active_run);
        if spec.kind != job::JobKind::Service {
            let end_ms = now_ms + self.remaining_ms[job][index];
            self.push(end_ms, Event::End { run: run.clone() });
        }
        self.policy.started(now_ms, run);
    }

    fn stop(&mut self, now_ms: u64, run: task::RunId) {
        let Some(active_run) = self
            .active_runs
            .get_mut(&run)
            .filter(|active_run| !active_run.stopping)
        else {
            return;
        };
        active_run.stopping = true;
        let batch = self.arrivals[active_run.job].spec.kind == job::JobKind::Batch;
        if batch {
            let elapsed_ms = now_ms - active_run.started_ms;
            let remaining_ms = &mut self.remaining_ms[active_run.job][run.task.index as usize];
            *remaining_ms = remaining_ms.saturating_sub(elapsed_ms).max(1);
        }
        self.trace.stops += 1;
        let delay_ms = if batch { self.checkpoint_ms } else { 1 };
        self.push(now_ms + delay_ms, Event::Stopped { run });
    }

    fn end(&mut self, now_ms: u64, run: &task::RunId, outcome: task::RunOutcome) {
        let Some(active_run) = self.active_runs.get(run).copied() else {
            return;
        };
        // A run that is being checkpointed ends when its checkpoint does.
        if active_run.stopping && outcome == task::RunOutcome::Succeeded {
            return;
        }
        self.active_runs.remove(run);
        let need = self.arrivals[active_run.job].spec.need.accelerators;
        self.accelerators -= need;
        if outcome == task::RunOutcome::Succeeded {
            self.wanted -= u64::from(need);
        }
        self.trace.jobs[active_run.job].ended_ms = now_ms;
        self.policy.ended(now_ms, run, outcome);
    }

    fn record_accelerator_use(&mut self, now_ms: u64) {
        self.trace.accelerator_use.push(UseChange {
            at_ms: now_ms,
            accelerators: self.accelerators,
            wanted: self.wanted,
        });
    }
}
