//! Several production grantors and leaderships, connected in virtual time with injected faults.
//!
//! The world contains no model of the protocol: it carries messages, stores the table's only row,
//! and acts as a scheduler that starts every task as soon as the leader's permits and notices allow
//! it. [`World::violation`] checks the runs that the grantors really have.

pub mod scheduler;
pub mod wire;

use std::collections::BTreeSet;
use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::lease::clock;
use mangotrestle_core::lease::grantor;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::lease::roster;
use mangotrestle_core::resources;
use mangotrestle_core::task;
use mangotrestle_core::time;

/// Rate of most clocks, in milliseconds per step of the world.
pub const NORMAL_MS_PER_STEP: u64 = 16;
/// Rate of a fast clock, in milliseconds per step of the world.
pub const FAST_MS_PER_STEP: u64 = 20;
/// Drift bound that covers the difference between the rates.
pub const DRIFT: clock::DriftBound = clock::DriftBound::from_parts_per_million(250_000);
pub const TERM: time::SpanMs = time::SpanMs(48);

/// Number of runs that fit on a worker.
pub const RUNS_PER_WORKER: u32 = 2;

/// Resources of one run.
pub const RUN_NEED: resources::Resources = resources::Resources {
    cpu_millicores: 1,
    memory_mib: 1,
    accelerators: 0,
    slots: 1,
};

/// Deliberate fault of the code under test, simulated by the world.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Mutation {
    None,
    /// Workers accept starts of any epoch.
    SkipEpochCheck,
    /// A lost worker's tasks are restarted without waiting until their leases expire.
    SkipLapseWait,
}

/// Size, clock rates and mutation of a world.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub leaders: usize,
    pub workers: usize,
    pub tasks: u32,
    /// Clock rate of each leader.
    pub leader_rates: [u64; 3],
    pub worker_rate: u64,
    pub mutation: Mutation,
}

/// State of the connection from a leader to a worker.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Link {
    Up,
    RequestsLost,
    AnswersLost,
    /// The next request arrives at any later time.
    RequestDelayed,
    /// The next answer arrives at any later time.
    AnswerDelayed,
    /// The next request arrives at once and once more at any later time.
    Repeated,
}

/// State of the platform's table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Table {
    Up,
    Down,
    /// Writes take effect, but their answers are lost.
    AnswersLost,
    /// Writes take effect at any later time.
    Delayed,
}

/// One possible event in a world.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Action {
    /// Advances all clocks by one step.
    Advance,
    Submit {
        task: u32,
    },
    /// Sets whether a leader should try to lead.
    Prefer {
        leader: usize,
        preferred: bool,
    },
    Resign {
        leader: usize,
    },
    SetLink {
        leader: usize,
        worker: usize,
        link: Link,
    },
    /// Loses all requests of a leader until it is reconnected.
    Isolate {
        leader: usize,
    },
    Reconnect {
        leader: usize,
    },
    Pause {
        leader: usize,
    },
    Resume {
        leader: usize,
    },
    RestartLeader {
        leader: usize,
    },
    RestartWorker {
        worker: usize,
    },
    /// Delivers a packet in transit. With `keep_copy` it stays in transit and may arrive again.
    Deliver {
        index: usize,
        keep_copy: bool,
    },
    SetTable {
        table: Table,
    },
    EndTask {
        task: u32,
    },
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Worker {
    pub grantor: grantor::Grantor,
    /// Reading of the worker's clock at `step_start`.
    pub clock_start: u64,
    /// Step of the world at which this incarnation started.
    pub step_start: u64,
    /// Every run ever launched by this incarnation.
    pub launched: BTreeSet<task::RunId>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Leader {
    pub leadership: leadership::Leadership,
    pub paused: bool,
    pub incarnation: u64,
    pub beliefs: Vec<scheduler::Belief>,
    /// Events that arrived while the leader was paused.
    pub inbox: Vec<leadership::LeadershipEvent>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct World {
    pub step: u64,
    pub workers: Vec<Arc<Worker>>,
    pub leaders: Vec<Arc<Leader>>,
    pub links: Vec<Vec<Link>>,
    pub table: Table,
    /// The table's row with the roster, `None` before the first write.
    pub row: Option<Arc<roster::Roster>>,
    /// Packets that may arrive at any later time.
    pub in_transit: Vec<Arc<wire::Packet>>,
    pub submitted: BTreeSet<u32>,
    /// Attempt number of the last run started by any leader.
    pub attempts: u32,
}

impl World {
    /// Creates workers and leaders without any contact so far; the table holds no roster.
    pub fn new(shape: &Shape) -> Self {
        let workers = (0..shape.workers).map(|index| Arc::new(new_worker(index, 1, 0)));
        let leaders = (0..shape.leaders).map(|index| Arc::new(new_leader(shape, index, 1)));
        Self {
            step: 0,
            workers: workers.collect(),
            leaders: leaders.collect(),
            links: vec![vec![Link::Up; shape.workers]; shape.leaders],
            table: Table::Up,
            row: None,
            in_transit: Vec::new(),
            submitted: BTreeSet::new(),
            attempts: 0,
        }
    }

    /// Creates a world in which the first leader may start tasks.
    pub fn established(shape: &Shape) -> Self {
        let mut world = Self::new(shape);
        let listed: Vec<id::WorkerId> = (0..shape.workers).map(worker_id).collect();
        for leader in 0..shape.leaders {
            let event = leadership::LeadershipEvent::WorkersListed(listed.clone());
            world.handle_event(shape, leader, event);
        }
        let prefer = Action::Prefer {
            leader: 0,
            preferred: true,
        };
        world.apply(shape, prefer);
        let mut remaining_steps = 40;
        while !world.may_start(shape, 0) {
            world.apply(shape, Action::Advance);
            remaining_steps -= 1;
            assert!(remaining_steps > 0, "the first leader is never established");
        }
        world
    }

    pub fn apply(&mut self, shape: &Shape, action: Action) {
        match action {
            Action::Advance => self.advance(shape),
            Action::Submit { task } => {
                self.submitted.insert(task);
            }
            Action::Prefer { leader, preferred } => {
                let event = leadership::LeadershipEvent::Preferred(preferred);
                self.handle_event(shape, leader, event);
            }
            Action::Resign { leader } => {
                self.handle_event(shape, leader, leadership::LeadershipEvent::Resign);
            }
            Action::SetLink {
                leader,
                worker,
                link,
            } => self.links[leader][worker] = link,
            Action::Isolate { leader } => self.links[leader].fill(Link::RequestsLost),
            Action::Reconnect { leader } => self.links[leader].fill(Link::Up),
            Action::Pause { leader } => self.leader_mut(leader).paused = true,
            Action::Resume { leader } => self.resume(shape, leader),
            Action::RestartLeader { leader } => self.restart_leader(shape, leader),
            Action::RestartWorker { worker } => self.restart_worker(worker),
            Action::Deliver { index, keep_copy } => self.deliver(shape, index, keep_copy),
            Action::SetTable { table } => self.table = table,
            Action::EndTask { task } => self.end_task(task),
        }
        // Schedulers act only after the passage of time or after an event that concerns them, so
        // that an action of another kind does nothing beyond its own effect.
        let triggers_scheduler = matches!(
            action,
            Action::Advance
                | Action::Submit { .. }
                | Action::Deliver { .. }
                | Action::Resume { .. }
        );
        if triggers_scheduler {
            self.start_tasks(shape);
        }
    }

    /// Returns a description of a violated invariant, `None` if all invariants hold.
    pub fn violation(&self, shape: &Shape) -> Option<String> {
        let mut running = BTreeSet::new();
        for (index, worker) in self.workers.iter().enumerate() {
            let now = self.worker_time(shape, index);
            let mut worker = worker.grantor.clone();
            worker.tick(now);
            for run in worker.running() {
                if run.lease_expires_ms <= now {
                    return Some(format!("{} runs past its lease", run.run));
                }
                if !running.insert(run.run.task.clone()) {
                    return Some(format!("{} runs twice", run.run.task));
                }
            }
        }
        None
    }

    /// Returns the number of runs on all workers.
    pub fn running_count(&self) -> usize {
        let workers = self.workers.iter();
        workers.map(|worker| worker.grantor.running().len()).sum()
    }

    pub fn may_start(&self, shape: &Shape, leader: usize) -> bool {
        let now = self.leader_time(shape, leader);
        self.leaders[leader].leadership.may_start(now)
    }

    pub fn worker_time(&self, shape: &Shape, worker: usize) -> time::WorkerTimeMs {
        let worker = &self.workers[worker];
        let steps = self.step - worker.step_start;
        time::WorkerTimeMs(worker.clock_start + steps * shape.worker_rate)
    }

    pub fn leader_time(&self, shape: &Shape, leader: usize) -> time::TimeMs {
        time::TimeMs(self.step * shape.leader_rates[leader])
    }

    pub fn leader_mut(&mut self, leader: usize) -> &mut Leader {
        Arc::make_mut(&mut self.leaders[leader])
    }

    pub fn worker_mut(&mut self, worker: usize) -> &mut Worker {
        Arc::make_mut(&mut self.workers[worker])
    }

    /// Passes an event to a leader and executes the commands that it returns.
    pub fn handle_event(
        &mut self,
        shape: &Shape,
        leader: usize,
        event: leadership::LeadershipEvent,
    ) {
        let now = self.leader_time(shape, leader);
        let recipient = self.leader_mut(leader);
        if recipient.paused {
            recipient.inbox.push(event);
            return;
        }
        let commands = recipient.leadership.handle(now, event);
        for command in &commands {
            if let leadership::LeadershipCommand::Notify(notice) = command {
                self.handle_notice(leader, notice.clone());
            }
        }
        for command in commands {
            self.execute(shape, leader, command);
        }
    }

    fn advance(&mut self, shape: &Shape) {
        self.step += 1;
        for worker in 0..self.workers.len() {
            let now = self.worker_time(shape, worker);
            self.worker_mut(worker).grantor.tick(now);
        }
        for leader in 0..self.leaders.len() {
            if !self.leaders[leader].paused {
                self.handle_event(shape, leader, leadership::LeadershipEvent::Tick);
            }
        }
    }

    fn resume(&mut self, shape: &Shape, leader: usize) {
        self.leader_mut(leader).paused = false;
        let events = std::mem::take(&mut self.leader_mut(leader).inbox);
        for event in events {
            self.handle_event(shape, leader, event);
        }
        self.handle_event(shape, leader, leadership::LeadershipEvent::Tick);
    }

    fn restart_leader(&mut self, shape: &Shape, leader: usize) {
        let incarnation = self.leaders[leader].incarnation + 1;
        self.leaders[leader] = Arc::new(new_leader(shape, leader, incarnation));
        let listed = (0..self.workers.len()).map(worker_id).collect();
        let event = leadership::LeadershipEvent::WorkersListed(listed);
        self.handle_event(shape, leader, event);
        self.handle_event(shape, leader, leadership::LeadershipEvent::Preferred(true));
    }

    fn restart_worker(&mut self, worker: usize) {
        let incarnation = self.workers[worker].grantor.incarnation().0 + 1;
        self.workers[worker] = Arc::new(new_worker(worker, incarnation, self.step));
    }

    fn end_task(&mut self, task_index: u32) {
        let task = task_id(task_index);
        for index in 0..self.workers.len() {
            let runs = self.workers[index].grantor.running();
            let run = runs.into_iter().find(|running| running.run.task == task);
            if let Some(running) = run {
                let grantor = &mut self.worker_mut(index).grantor;
                grantor.run_ended(&running.run, task::RunOutcome::Succeeded);
            }
        }
    }
}

fn new_worker(index: usize, incarnation: u64, step_start: u64) -> Worker {
    let rack = id::RackId::new("rack").unwrap();
    let incarnation = id::Incarnation(incarnation);
    let config =
        grantor::GrantorConfig::new(incarnation, RUN_NEED.times(RUNS_PER_WORKER), rack).term(TERM);
    Worker {
        grantor: grantor::Grantor::new(config),
        clock_start: 1_000 * (index as u64 + 1) + 100_000 * incarnation.0,
        step_start,
        launched: BTreeSet::new(),
    }
}

fn new_leader(shape: &Shape, index: usize, incarnation: u64) -> Leader {
    let config = leadership::LeadershipConfig::builder()
        .term(TERM)
        .renew_interval(time::SpanMs(16))
        .drift(DRIFT)
        .answer_timeout(time::SpanMs(12))
        .min_back_off(time::SpanMs(8))
        .max_back_off(time::SpanMs(16))
        .pause_margin(time::SpanMs(24))
        .start_window(time::SpanMs(32))
        .roster_interval(time::SpanMs(16))
        .build()
        .unwrap();
    let identity = leadership::Identity {
        pool: id::PoolId::new("pool").unwrap(),
        entry_host: id::EntryHostId::new(&format!("entry-{index}")).unwrap(),
        incarnation: id::Incarnation(incarnation),
    };
    Leader {
        leadership: leadership::Leadership::new(config, identity, index as u64),
        paused: false,
        incarnation,
        beliefs: vec![scheduler::Belief::Unknown; shape.tasks as usize],
        inbox: Vec::new(),
    }
}

pub fn worker_id(index: usize) -> id::WorkerId {
    id::WorkerId::new(&format!("w{index}")).unwrap()
}

pub fn worker_index(worker: &id::WorkerId) -> usize {
    worker.as_str()[1..].parse().unwrap()
}

pub fn task_id(task_index: u32) -> task::TaskId {
    task::TaskId {
        job: id::JobId::new("job").unwrap(),
        index: task_index,
    }
}
