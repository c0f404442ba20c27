//! Both schedulers behind one interface, and workers that run in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use mangotrestle_core::collections::FastMap;
use mangotrestle_core::{id, job, scheduler, task, time};

use super::workload;

/// What a scheduler wants done.
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

    fn tell(&mut self, now_ms: u64, event: scheduler::SchedulerEvent) {
        self.scheduler.handle(time::TimeMs(now_ms), event);
    }
}

impl Policy for Real {
    fn submit(&mut self, now_ms: u64, spec: &Arc<job::JobSpec>) {
        let event = scheduler::SchedulerEvent::JobAccepted {
            spec: Arc::clone(spec),
            accepted_wall_ms: time::WallTimeMs(now_ms),
        };
        self.tell(now_ms, event);
    }

    fn cancel(&mut self, now_ms: u64, job: &id::JobId) {
        let job = job.clone();
        self.tell(now_ms, scheduler::SchedulerEvent::JobCancelled { job });
    }

    fn started(&mut self, now_ms: u64, run: &task::RunId) {
        let run = run.clone();
        self.tell(now_ms, scheduler::SchedulerEvent::RunStarted { run });
    }

    fn ended(&mut self, now_ms: u64, run: &task::RunId, outcome: task::RunOutcome) {
        let run = run.clone();
        self.tell(now_ms, scheduler::SchedulerEvent::RunEnded { run, outcome });
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

/// A job that arrives at a time.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub spec: Arc<job::JobSpec>,
    /// How long each task really runs; for a service, how long until it is cancelled.
    pub run_times_ms: Vec<u64>,
}

/// When a job came and when its tasks first started.
#[derive(Clone, Debug)]
pub struct JobTrace {
    pub spec: Arc<job::JobSpec>,
    pub arrived_ms: u64,
    pub first_starts_ms: Vec<Option<u64>>,
    pub ended_ms: u64,
    /// When a service was cancelled, which ends the wait of replicas that never started.
    pub cancelled_ms: Option<u64>,
}

/// Accelerators in use from a time on.
#[derive(Clone, Copy, Debug)]
pub struct UseChange {
    pub at_ms: u64,
    pub accelerators: u32,
    /// Accelerators that waiting and running tasks would use together.
    pub wanted: u64,
}

/// What came of a workload.
#[derive(Debug, Default)]
pub struct Trace {
    pub jobs: Vec<JobTrace>,
    pub accelerator_use: Vec<UseChange>,
    pub stops: u64,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Happening {
    Arrive(usize),
    End { run: task::RunId },
    Stopped { run: task::RunId },
    Cancel(usize),
    WakeUp,
}

/// A run on a modelled worker.
#[derive(Clone, Copy, Debug)]
struct Going {
    job: usize,
    began_ms: u64,
    stopping: bool,
}

/// Runs a workload in virtual time.
pub struct Driver<'a, P> {
    policy: P,
    arrivals: &'a [Arrival],
    checkpoint_ms: u64,
    queue: BinaryHeap<Reverse<(u64, Happening)>>,
    jobs: FastMap<id::JobId, usize>,
    remaining_ms: Vec<Vec<u64>>,
    going: FastMap<task::RunId, Going>,
    next_wake_up_ms: Option<u64>,
    accelerators: u32,
    wanted: u64,
    trace: Trace,
}

impl<'a, P: Policy> Driver<'a, P> {
    pub fn new(policy: P, arrivals: &'a [Arrival], checkpoint_ms: u64) -> Self {
        let queue = arrivals.iter().enumerate();
        let queue = queue.map(|(job, arrival)| Reverse((arrival.at_ms, Happening::Arrive(job))));
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
            going: FastMap::default(),
            next_wake_up_ms: None,
            accelerators: 0,
            wanted: 0,
            trace: Trace {
                jobs: traces.collect(),
                ..Trace::default()
            },
        }
    }

    /// Runs until nothing happens any more or the time is over.
    pub fn run(mut self, until_ms: u64) -> Trace {
        while let Some(Reverse((now_ms, _))) = self.queue.peek() {
            let now_ms = *now_ms;
            if now_ms > until_ms {
                break;
            }
            while let Some(happening) = self.pop_at(now_ms) {
                self.happen(now_ms, happening);
            }
            for action in self.policy.decide(now_ms) {
                self.act(now_ms, action);
            }
            self.note_use(now_ms);
            self.set_wake_up(now_ms);
        }
        self.trace
    }

    fn pop_at(&mut self, now_ms: u64) -> Option<Happening> {
        let Reverse((at_ms, _)) = self.queue.peek()?;
        if *at_ms > now_ms {
            return None;
        }
        self.queue.pop().map(|Reverse((_, happening))| happening)
    }

    fn push(&mut self, at_ms: u64, happening: Happening) {
        self.queue.push(Reverse((at_ms, happening)));
    }

    fn set_wake_up(&mut self, now_ms: u64) {
        let Some(at_ms) = self.policy.next_wake_up_ms(now_ms) else {
            return;
        };
        let at_ms = at_ms.max(now_ms + 1);
        let pending = self.next_wake_up_ms.filter(|pending| *pending > now_ms);
        // Without anything else to come, timers alone change nothing any more.
        if pending.is_none_or(|pending| at_ms < pending) && !self.queue.is_empty() {
            self.next_wake_up_ms = Some(at_ms);
            self.push(at_ms, Happening::WakeUp);
        }
    }

    fn happen(&mut self, now_ms: u64, happening: Happening) {
        match happening {
            Happening::Arrive(job) => self.arrive(now_ms, job),
            Happening::End { run } => self.end(now_ms, &run, task::RunOutcome::Succeeded),
            Happening::Stopped { run } => self.end(now_ms, &run, task::RunOutcome::Stopped),
            Happening::Cancel(job) => {
                let arrivals = self.arrivals;
                self.policy.cancel(now_ms, &arrivals[job].spec.id);
                self.trace.jobs[job].cancelled_ms = Some(now_ms);
            }
            Happening::WakeUp => {}
        }
    }

    fn arrive(&mut self, now_ms: u64, job: usize) {
        let arrivals = self.arrivals;
        let arrival = &arrivals[job];
        let need = arrival.spec.need.accelerators;
        self.wanted += u64::from(need) * u64::from(arrival.spec.tasks);
        self.policy.submit(now_ms, &arrival.spec);
        if arrival.spec.kind == job::JobKind::Service {
            self.push(now_ms + arrival.run_times_ms[0], Happening::Cancel(job));
        }
    }

    fn act(&mut self, now_ms: u64, action: Action) {
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
        let going = Going {
            job,
            began_ms: now_ms,
            stopping: false,
        };
        self.going.insert(run.clone(), going);
        if spec.kind != job::JobKind::Service {
            let end_ms = now_ms + self.remaining_ms[job][index];
            self.push(end_ms, Happening::End { run: run.clone() });
        }
        self.policy.started(now_ms, run);
    }

    fn stop(&mut self, now_ms: u64, run: task::RunId) {
        let Some(going) = self.going.get_mut(&run).filter(|going| !going.stopping) else {
            return;
        };
        going.stopping = true;
        let batch = self.arrivals[going.job].spec.kind == job::JobKind::Batch;
        if batch {
            let done_ms = now_ms - going.began_ms;
            let remaining_ms = &mut self.remaining_ms[going.job][run.task.index as usize];
            *remaining_ms = remaining_ms.saturating_sub(done_ms).max(1);
        }
        self.trace.stops += 1;
        let delay_ms = if batch { self.checkpoint_ms } else { 1 };
        self.push(now_ms + delay_ms, Happening::Stopped { run });
    }

    fn end(&mut self, now_ms: u64, run: &task::RunId, outcome: task::RunOutcome) {
        let Some(going) = self.going.get(run).copied() else {
            return;
        };
        // The end of a run that is being checkpointed is the end of its checkpoint.
        if going.stopping && outcome == task::RunOutcome::Succeeded {
            return;
        }
        self.going.remove(run);
        let need = self.arrivals[going.job].spec.need.accelerators;
        self.accelerators -= need;
        if outcome == task::RunOutcome::Succeeded {
            self.wanted -= u64::from(need);
        }
        self.trace.jobs[going.job].ended_ms = now_ms;
        self.policy.ended(now_ms, run, outcome);
    }

    fn note_use(&mut self, now_ms: u64) {
        self.trace.accelerator_use.push(UseChange {
            at_ms: now_ms,
            accelerators: self.accelerators,
            wanted: self.wanted,
        });
    }
}
