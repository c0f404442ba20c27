//! Messages on their way, and the table.

use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::lease::leadership::{LeadershipCommand, LeadershipEvent};
use mangotrestle_core::lease::message;
use mangotrestle_core::lease::roster;
use mangotrestle_core::task;
use mangotrestle_core::time;

use super::{Link, Mutation, Shape, Table, World, worker_index};

/// Messages that may be under way at once; more are lost.
const MAX_UNDER_WAY: usize = 3;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Request {
    Claim(message::ClaimRequest),
    Renew(message::RenewRequest),
    Start(message::StartRequest),
    Stop(message::StopRequest),
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Answer {
    Event(LeadershipEvent),
    Started {
        request: message::StartRequest,
        result: Result<message::StartAnswer, message::Refusal>,
    },
    Stopped {
        run: task::RunId,
        result: Result<message::StopAccepted, message::Refusal>,
    },
}

/// Something that is under way and may arrive at any later time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Packet {
    Request {
        leader: usize,
        /// Life of the leader that sent it.
        incarnation: u64,
        worker: usize,
        sent_at: time::TimeMs,
        request: Request,
    },
    Answer {
        leader: usize,
        incarnation: u64,
        worker: usize,
        answer: Answer,
    },
    Write {
        from: message::RosterVersion,
        roster: roster::Roster,
    },
}

impl World {
    pub fn execute(&mut self, shape: &Shape, leader: usize, command: LeadershipCommand) {
        match command {
            LeadershipCommand::LoadRoster => self.load(shape, leader),
            LeadershipCommand::CommitRoster { from, roster } => {
                self.commit(shape, leader, from, roster);
            }
            LeadershipCommand::Claim { worker, request } => {
                self.send(shape, leader, &worker, Request::Claim(request));
            }
            LeadershipCommand::Renew { worker, request } => {
                self.send(shape, leader, &worker, Request::Renew(request));
            }
            LeadershipCommand::Notify(_) => {}
        }
    }

    fn load(&mut self, shape: &Shape, leader: usize) {
        let event = match self.table {
            Table::Down => LeadershipEvent::RosterUnavailable,
            _ => LeadershipEvent::RosterLoaded(self.row.as_deref().cloned()),
        };
        self.tell(shape, leader, event);
    }

    fn commit(
        &mut self,
        shape: &Shape,
        leader: usize,
        from: message::RosterVersion,
        roster: roster::Roster,
    ) {
        let version = roster.version;
        let event = match self.table {
            Table::Up => {
                if self.write(from, roster) {
                    LeadershipEvent::RosterCommitted(version)
                } else {
                    LeadershipEvent::RosterConflict
                }
            }
            Table::Down => LeadershipEvent::RosterUnavailable,
            Table::AnswersLost => {
                self.write(from, roster);
                LeadershipEvent::RosterUnavailable
            }
            Table::Delayed => {
                self.put(Packet::Write { from, roster });
                LeadershipEvent::RosterUnavailable
            }
        };
        self.tell(shape, leader, event);
    }

    /// The conditional write; returns whether it took effect.
    fn write(&mut self, from: message::RosterVersion, roster: roster::Roster) -> bool {
        let version = self.row.as_ref().map_or(0, |row| row.version.0);
        if version != from.0 {
            return false;
        }
        self.row = Some(Arc::new(roster));
        true
    }

    pub fn send(&mut self, shape: &Shape, leader: usize, worker: &id::WorkerId, request: Request) {
        let worker = worker_index(worker);
        let packet = Packet::Request {
            leader,
            incarnation: self.leaders[leader].incarnation,
            worker,
            sent_at: self.leader_time(shape, leader),
            request,
        };
        let link = self.links[leader][worker];
        if matches!(
            link,
            Link::RequestDelayed | Link::AnswerDelayed | Link::Repeated
        ) {
            self.links[leader][worker] = Link::Up;
        }
        match link {
            Link::RequestsLost => {}
            Link::RequestDelayed => self.put(packet),
            Link::Repeated => {
                self.put(packet.clone());
                self.arrive(shape, packet, Link::Up);
            }
            link => self.arrive(shape, packet, link),
        }
    }

    pub fn deliver(&mut self, shape: &Shape, index: usize, keep: bool) {
        let packet = if keep {
            Arc::clone(&self.bag[index])
        } else {
            self.bag.remove(index)
        };
        self.arrive(shape, (*packet).clone(), Link::Up);
    }

    fn put(&mut self, packet: Packet) {
        if self.bag.len() < MAX_UNDER_WAY {
            self.bag.push(Arc::new(packet));
        }
    }

    fn arrive(&mut self, shape: &Shape, packet: Packet, link: Link) {
        match packet {
            Packet::Write { from, roster } => {
                self.write(from, roster);
            }
            Packet::Answer {
                leader,
                incarnation,
                worker,
                answer,
            } => {
                if self.leaders[leader].incarnation == incarnation {
                    self.hear(shape, leader, worker, answer);
                }
            }
            Packet::Request {
                leader,
                incarnation,
                worker,
                sent_at,
                request,
            } => {
                let answer = self.act(shape, worker, sent_at, request);
                let answer = Packet::Answer {
                    leader,
                    incarnation,
                    worker,
                    answer,
                };
                match link {
                    Link::AnswersLost => {}
                    Link::AnswerDelayed => self.put(answer),
                    _ => self.arrive(shape, answer, Link::Up),
                }
            }
        }
    }

    /// Lets a worker act on a request.
    fn act(
        &mut self,
        shape: &Shape,
        worker: usize,
        sent_at: time::TimeMs,
        request: Request,
    ) -> Answer {
        let now = self.worker_time(shape, worker);
        let subject = self.worker_mut(worker);
        subject.grantor.tick(now);
        let id = super::worker_id(worker);
        match request {
            Request::Claim(request) => {
                let result = subject.grantor.claim(now, &request);
                Answer::Event(LeadershipEvent::ClaimAnswered {
                    worker: id,
                    sent_at,
                    result,
                })
            }
            Request::Renew(request) => Answer::Event(LeadershipEvent::RenewAnswered {
                worker: id,
                sent_at,
                result: subject.grantor.renew(now, &request),
            }),
            Request::Start(request) => {
                let result = subject.start(shape, now, &request);
                Answer::Started { request, result }
            }
            Request::Stop(request) => {
                let result = subject.grantor.stop(now, &request);
                for run in result.iter().flat_map(|accepted| &accepted.stopping) {
                    let outcome = task::RunOutcome::Stopped;
                    subject.grantor.run_ended(run, outcome);
                }
                let run = request.runs[0].clone();
                Answer::Stopped { run, result }
            }
        }
    }

    fn hear(&mut self, shape: &Shape, leader: usize, worker: usize, answer: Answer) {
        match answer {
            Answer::Event(event) => self.tell(shape, leader, event),
            Answer::Started { request, result } => {
                self.start_answered(shape, leader, worker, &request, result);
            }
            Answer::Stopped { run, result } => {
                if result.is_ok() {
                    self.run_is_over(leader, worker, &run);
                }
            }
        }
    }
}

impl super::Worker {
    fn start(
        &mut self,
        shape: &Shape,
        now: time::WorkerTimeMs,
        request: &message::StartRequest,
    ) -> Result<message::StartAnswer, message::Refusal> {
        let mut request = request.clone();
        let mut result = self.grantor.start(now, &request);
        if shape.mutation == Mutation::SkipEpochCheck {
            while result
                .as_ref()
                .is_err_and(|refusal| refusal.code.slug() == "stale-epoch")
                && request.epoch.0 < 64
            {
                request.epoch.0 += 1;
                result = self.grantor.start(now, &request);
            }
        }
        let started = result?;
        for start in started.launch {
            let new = self.launched.insert(start.run.clone());
            assert!(new, "{} is launched a second time", start.run);
        }
        Ok(started.answer)
    }
}
