//! A minimal scheduler: it wants every submitted task to run once, and starts it as soon as the
//! leadership's notices and permits allow it.

use mangotrestle_core::lease::leadership::{LeadershipEvent, LeadershipNotice};
use mangotrestle_core::lease::message;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::task;
use mangotrestle_core::time;

use super::wire::Request;
use super::{Mutation, RUN_NEED, RUNS_PER_WORKER, Shape, World, task_id, worker_id, worker_index};

/// A leader's belief about where a task runs.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Belief {
    /// The leader is not established yet.
    Unknown,
    NotRunning,
    /// The task runs on this worker, or may run there: the start has not been answered yet, or the
    /// worker is lost.
    MayRun {
        worker: usize,
        run: task::RunId,
        answered: bool,
    },
}

impl World {
    pub fn handle_notice(&mut self, leader: usize, notice: LeadershipNotice) {
        match notice {
            LeadershipNotice::MayStart => {
                for belief in &mut self.leader_mut(leader).beliefs {
                    if *belief == Belief::Unknown {
                        *belief = Belief::NotRunning;
                    }
                }
            }
            LeadershipNotice::LostMajority => {
                self.leader_mut(leader).beliefs.fill(Belief::Unknown);
            }
            LeadershipNotice::WorkerHeld { worker, granted } => {
                let worker = worker_index(&worker);
                self.forget_runs_at(leader, worker);
                for running in granted.running {
                    let task_index = running.run.task.index as usize;
                    self.leader_mut(leader).beliefs[task_index] = Belief::MayRun {
                        worker,
                        run: running.run,
                        answered: true,
                    };
                }
                self.runs_ended(leader, worker, &granted.ended);
            }
            LeadershipNotice::WorkerRenewed { worker, granted } => {
                self.runs_ended(leader, worker_index(&worker), &granted.ended);
            }
            LeadershipNotice::BecameActing | LeadershipNotice::WorkerLeaseLost { .. } => {}
            LeadershipNotice::TasksSafeToRestart { worker } => {
                self.forget_runs_at(leader, worker_index(&worker));
            }
        }
    }

    fn forget_runs_at(&mut self, leader: usize, at_worker: usize) {
        for belief in &mut self.leader_mut(leader).beliefs {
            if matches!(belief, Belief::MayRun { worker, .. } if *worker == at_worker) {
                *belief = Belief::NotRunning;
            }
        }
    }

    fn runs_ended(&mut self, leader: usize, worker: usize, ended: &[message::EndedRun]) {
        for end in ended {
            self.mark_not_running(leader, worker, &end.run);
            let leadership = &mut self.leader_mut(leader).leadership;
            leadership.acknowledge(&worker_id(worker), end.run.clone());
        }
    }

    pub fn mark_not_running(&mut self, leader: usize, at_worker: usize, ended_run: &task::RunId) {
        let belief = &mut self.leader_mut(leader).beliefs[ended_run.task.index as usize];
        let is_same_run = matches!(belief, Belief::MayRun { worker, run, .. }
            if *worker == at_worker && run == ended_run);
        if is_same_run {
            *belief = Belief::NotRunning;
        }
    }

    /// Starts all tasks that may be started, and stops runs whose start was not answered.
    pub fn start_tasks(&mut self, shape: &Shape) {
        for leader in 0..self.leaders.len() {
            if self.leaders[leader].paused {
                continue;
            }
            for task_index in self.submitted.clone() {
                self.start_task(shape, leader, task_index);
            }
        }
    }

    fn start_task(&mut self, shape: &Shape, leader: usize, task_index: u32) {
        let belief = self.leaders[leader].beliefs[task_index as usize].clone();
        match belief {
            Belief::NotRunning => {
                let Some(worker) = self.choose_worker(shape, leader, task_index) else {
                    return;
                };
                self.attempts += 1;
                let run = task::RunId {
                    task: task_id(task_index),
                    attempt: self.attempts,
                };
                self.send_start(shape, leader, worker, run);
            }
            Belief::MayRun {
                worker,
                run,
                answered: false,
            } => self.send_stop(shape, leader, worker, run),
            Belief::MayRun { worker, .. } if shape.mutation == Mutation::SkipLapseWait => {
                let now = self.leader_time(shape, leader);
                let leadership = &self.leaders[leader].leadership;
                if leadership.stop_permit(&worker_id(worker), now).is_none() {
                    self.leader_mut(leader).beliefs[task_index as usize] = Belief::NotRunning;
                }
            }
            Belief::Unknown | Belief::MayRun { .. } => {}
        }
    }

    /// Chooses the worker for a task. Each leader prefers a different one: two copies on the same
    /// worker would be refused there and hide a violation.
    fn choose_worker(&self, shape: &Shape, leader: usize, task_index: u32) -> Option<usize> {
        let now = self.leader_time(shape, leader);
        let count = self.workers.len();
        let first = count - 1 - leader % count + task_index as usize;
        let order = (0..count).map(|offset| (first + offset) % count);
        let mut available = order.filter(|&worker| {
            let leadership = &self.leaders[leader].leadership;
            let permit = leadership.start_permit(&worker_id(worker), now);
            permit.is_some() && self.believed_runs(leader, worker) < RUNS_PER_WORKER
        });
        available.next()
    }

    fn believed_runs(&self, leader: usize, at_worker: usize) -> u32 {
        let beliefs = self.leaders[leader].beliefs.iter();
        let on_worker = beliefs.filter(|belief| match belief {
            Belief::MayRun { worker, .. } => *worker == at_worker,
            _ => false,
        });
        on_worker.map(|_| 1).sum()
    }

    fn send_start(&mut self, shape: &Shape, leader: usize, worker: usize, run: task::RunId) {
        let now = self.leader_time(shape, leader);
        let id = worker_id(worker);
        let Some(permit) = self.leaders[leader].leadership.start_permit(&id, now) else {
            return;
        };
        let task_index = run.task.index as usize;
        self.leader_mut(leader).beliefs[task_index] = Belief::MayRun {
            worker,
            run: run.clone(),
            answered: false,
        };
        let request = message::StartRequest {
            worker_incarnation: permit.worker_incarnation,
            epoch: permit.epoch,
            start_before_ms: permit.start_before_ms,
            runs: vec![message::StartRun {
                run,
                need: RUN_NEED,
                run_time_ms: None,
                idempotent: true,
            }],
        };
        self.send(shape, leader, &id, Request::Start(request));
    }

    fn send_stop(&mut self, shape: &Shape, leader: usize, worker: usize, run: task::RunId) {
        let now = self.leader_time(shape, leader);
        let id = worker_id(worker);
        let Some(permit) = self.leaders[leader].leadership.stop_permit(&id, now) else {
            return;
        };
        let request = message::StopRequest {
            worker_incarnation: permit.worker_incarnation,
            epoch: permit.epoch,
            runs: vec![run],
            grace_ms: time::SpanMs(0),
            checkpoint: false,
        };
        self.send(shape, leader, &id, Request::Stop(request));
    }

    pub fn start_answered(
        &mut self,
        shape: &Shape,
        leader: usize,
        worker: usize,
        request: &message::StartRequest,
        result: Result<message::StartAnswer, message::Refusal>,
    ) {
        let requested_run = &request.runs[0].run;
        match result {
            Ok(answer) if answer.results == [ResultCode::Ok] => {
                let belief =
                    &mut self.leader_mut(leader).beliefs[requested_run.task.index as usize];
                if let Belief::MayRun { run, answered, .. } = belief
                    && run == requested_run
                {
                    *answered = true;
                }
            }
            // A copy of the message may still be in transit; only a stop ensures that it starts
            // nothing.
            Ok(_) => {}
            Err(refusal) => {
                let event = LeadershipEvent::CommandRefused {
                    worker: worker_id(worker),
                    epoch: request.epoch,
                    refusal,
                };
                self.handle_event(shape, leader, event);
            }
        }
    }
}
