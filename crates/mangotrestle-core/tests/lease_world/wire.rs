//! Messages in transit, and the table.

use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::lease::leadership::{LeadershipCommand, LeadershipEvent};
use mangotrestle_core::lease::message;
use mangotrestle_core::lease::roster;
use mangotrestle_core::task;
use mangotrestle_core::time;

use super::{Link, Mutation, Shape, Table, World, worker_index};

/// Maximum number of packets in transit; further ones are lost.
const MAX_PACKETS_IN_TRANSIT: usize = 3;

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

/// A message or a table write in transit, which may arrive at any later time.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub enum Packet {
    Request {
        leader: usize,
        /// Incarnation of the leader that sent it.
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
            LeadershipCommand::LoadRoster => self.load_roster(shape, leader),
            LeadershipCommand::CommitRoster { from, roster } => {
                self.commit_roster(shape, leader, from, roster);
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

    fn load_roster(&mut self, shape: &Shape, leader: usize) {
        let event = match self.table {
            Table::Down => LeadershipEvent::RosterUnavailable,
            _ => LeadershipEvent::RosterLoaded(self.row.as_deref().cloned()),
        };
        self.handle_event(shape, leader, event);
    }

    fn commit_roster(
        &mut self,
        shape: &Shape,
        leader: usize,
        from: message::RosterVersion,
        roster: roster::Roster,
    ) {
        let version = roster.version;
        let event = match self.table {
            Table::Up => {
                if self.write_roster(from, roster) {
                    LeadershipEvent::RosterCommitted(version)
                } else {
                    LeadershipEvent::RosterConflict
                }
            }
            Table::Down => LeadershipEvent::RosterUnavailable,
            Table::AnswersLost => {
                self.write_roster(from, roster);
                LeadershipEvent::RosterUnavailable
            }
            Table::Delayed => {
                self.add_to_transit(Packet::Write { from, roster });
                LeadershipEvent::RosterUnavailable
            }
        };
        self.handle_event(shape, leader, event);
    }

    /// Executes a conditional write. Returns whether it took effect.
    fn write_roster(&mut self, from: message::RosterVersion, roster: roster::Roster) -> bool {
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
            Link::RequestDelayed => self.add_to_transit(packet),
            Link::Repeated => {
                self.add_to_transit(packet.clone());
                self.process(shape, packet, Link::Up);
            }
            link => self.process(shape, packet, link),
        }
    }

    pub fn deliver(&mut self, shape: &Shape, index: usize, keep_copy: bool) {
        let packet = if keep_copy {
            Arc::clone(&self.in_transit[index])
        } else {
            self.in_transit.remove(index)
        };
        self.process(shape, (*packet).clone(), Link::Up);
    }

    fn add_to_transit(&mut self, packet: Packet) {
        if self.in_transit.len() < MAX_PACKETS_IN_TRANSIT {
            self.in_transit.push(Arc::new(packet));
        }
    }

    fn process(&mut self, shape: &Shape, packet: Packet, link: Link) {
        match packet {
            Packet::Write { from, roster } => {
                self.write_roster(from, roster);
            }
            Packet::Answer {
                leader,
                incarnation,
                worker,
                answer,
            } => {
                if self.leaders[leader].incarnation == incarnation {
                    self.receive_answer(shape, leader, worker, answer);
                }
            }
            Packet::Request {
                leader,
                incarnation,
                worker,
                sent_at,
                request,
            } => {
                let answer = self.answer_request(shape, worker, sent_at, request);
                let answer = Packet::Answer {
                    leader,
                    incarnation,
                    worker,
                    answer,
                };
                match link {
                    Link::AnswersLost => {}
                    Link::AnswerDelayed => self.add_to_transit(answer),
                    _ => self.process(shape, answer, Link::Up),
                }
            }
        }
    }

    /// Returns a worker's answer to a request.
    fn answer_request(
        &mut self,
        shape: &Shape,
        worker: usize,
        sent_at: time::TimeMs,
        request: Request,
    ) -> Answer {
        let now = self.worker_time(shape, worker);
        let recipient = self.worker_mut(worker);
        recipient.grantor.tick(now);
        let id = super::worker_id(worker);
        match request {
            Request::Claim(request) => {
                let result = recipient.grantor.claim(now, &request);
                Answer::Event(LeadershipEvent::ClaimAnswered {
                    worker: id,
                    sent_at,
                    result,
                })
            }
            Request::Renew(request) => Answer::Event(LeadershipEvent::RenewAnswered {
                worker: id,
                sent_at,
                result: recipient.grantor.renew(now, &request),
            }),
            Request::Start(request) => {
                let result = recipient.start(shape, now, &request);
                Answer::Started { request, result }
            }
            Request::Stop(request) => {
                let result = recipient.grantor.stop(now, &request);
                for run in result.iter().flat_map(|accepted| &accepted.stopping) {
                    let outcome = task::RunOutcome::Stopped;
                    recipient.grantor.run_ended(run, outcome);
                }
                let run = request.runs[0].clone();
                Answer::Stopped { run, result }
            }
        }
    }

    fn receive_answer(&mut self, shape: &Shape, leader: usize, worker: usize, answer: Answer) {
        match answer {
            Answer::Event(event) => self.handle_event(shape, leader, event),
            Answer::Started { request, result } => {
                self.start_answered(shape, leader, worker, &request, result);
            }
            Answer::Stopped { run, result } => {
                if result.is_ok() {
                    self.mark_not_running(leader, worker, &run);
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
            let is_first_launch = self.launched.insert(start.run.clone());
            assert!(is_first_launch, "{} is launched a second time", start.run);
        }
        Ok(started.answer)
    }
}
