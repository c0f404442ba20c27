//! Tests of the pool against real grantors, with a journal and an inbox that the test controls.

use std::collections::BTreeMap;

use super::*;
use crate::lease::grantor;
use crate::lease::roster;
use crate::resources;
use crate::task;

/// A pool with its workers. Messages are delivered at once; the journal commits on command.
struct Cell {
    now_ms: u64,
    pool: Pool,
    workers: BTreeMap<id::WorkerId, grantor::Grantor>,
    roster: Option<roster::Roster>,
    journal: Vec<journal::Record>,
    uncommitted: Vec<Entry>,
    commit_at_once: bool,
    lose_start_answers: bool,
    hold_starts_back: bool,
    held_back: Vec<HeldBack>,
    launched: Vec<task::RunId>,
    cleared: Vec<u64>,
    unknown: Vec<task::RunId>,
}

/// A start that the network delivers late.
struct HeldBack {
    worker: id::WorkerId,
    request: message::StartRequest,
}

struct Entry {
    token: u64,
    records: Vec<journal::Record>,
    inbox: Option<u64>,
}

fn text<T: std::str::FromStr<Err = id::InvalidId>>(text: &str) -> T {
    text.parse().unwrap()
}

fn capacity() -> resources::Resources {
    resources::Resources {
        cpu_millicores: 8_000,
        memory_mib: 8_192,
        accelerators: 0,
        slots: 8,
    }
}

fn worker(number: u32) -> id::WorkerId {
    text(&format!("w-{number}"))
}

fn new_worker(number: u32) -> grantor::Grantor {
    let incarnation = id::Incarnation(u64::from(number) + 1);
    let config = grantor::GrantorConfig::new(incarnation, capacity(), text("rack"))
        .target_address("127.0.0.1:9000");
    grantor::Grantor::new(config)
}

fn new_pool(host: &str) -> Pool {
    let identity = leadership::Identity {
        pool: text("marousi"),
        entry_host: text(host),
        incarnation: id::Incarnation(1),
    };
    let config = leadership::LeadershipConfig::builder()
        .renew_interval(time::SpanMs(1_000))
        .build()
        .unwrap();
    let settings = PoolSettings {
        pool: text("marousi"),
        availability_zone: text("marousi"),
        entry_host: text(host),
        incarnation: id::Incarnation(1),
        stop_grace_ms: time::SpanMs(1_000),
        seed: 7,
    };
    let leadership = leadership::Leadership::new(config, identity, 7);
    Pool::new(settings, leadership, scheduler::SchedulerConfig::default())
}

fn job(name: &str, tasks: u32, idempotent: bool) -> job::JobSpec {
    job::JobSpec {
        id: text(name),
        team: text("team"),
        pool: text("marousi"),
        kind: job::JobKind::Batch,
        urgency: job::Urgency::Normal,
        tasks,
        need: resources::Resources {
            cpu_millicores: 1_000,
            memory_mib: 512,
            accelerators: 0,
            slots: 1,
        },
        run_time_ms: Some(time::SpanMs(60_000)),
        idempotent,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
    }
}

fn accepted(spec: job::JobSpec) -> journal::Record {
    journal::Record::JobAccepted {
        spec,
        wall_ms: time::WallTimeMs(1),
    }
}

impl Cell {
    /// A pool that leads three workers and has recovered an empty state.
    fn leading() -> Self {
        let mut cell = Self {
            now_ms: 1_000,
            pool: new_pool("entry-1"),
            workers: (0..3)
                .map(|number| (worker(number), new_worker(number)))
                .collect(),
            roster: None,
            journal: Vec::new(),
            uncommitted: Vec::new(),
            commit_at_once: true,
            lose_start_answers: false,
            hold_starts_back: false,
            held_back: Vec::new(),
            launched: Vec::new(),
            cleared: Vec::new(),
            unknown: Vec::new(),
        };
        cell.lead();
        cell
    }

    /// Has the present pool take over, and waits until it may start.
    fn lead(&mut self) {
        let listed = self.workers.keys().cloned().collect();
        self.tell(PoolEvent::Leadership(
            leadership::LeadershipEvent::WorkersListed(listed),
        ));
        self.tell(PoolEvent::Leadership(
            leadership::LeadershipEvent::Preferred(true),
        ));
        self.pass(2_000);
    }

    /// Another entry host takes the pool over; the former leader is gone.
    fn replace_leader(&mut self) {
        self.pool = new_pool("entry-2");
        self.uncommitted.clear();
        self.lead();
    }

    fn now(&self) -> Now {
        Now {
            monotonic: time::TimeMs(self.now_ms),
            wall: time::WallTimeMs(self.now_ms),
        }
    }

    fn worker_now(&self) -> time::WorkerTimeMs {
        time::WorkerTimeMs(self.now_ms + 5_000)
    }

    fn pass(&mut self, span_ms: u64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            let now = self.worker_now();
            for grantor in self.workers.values_mut() {
                grantor.tick(now);
            }
            self.tell(PoolEvent::Tick);
        }
    }

    /// Feeds the pool an event, and then whatever follows from its commands.
    fn tell(&mut self, event: PoolEvent) {
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut commands = Vec::new();
            self.pool.handle(self.now(), event, &mut commands);
            for command in commands {
                events.extend(self.carry_out(command));
            }
        }
    }

    fn carry_out(&mut self, command: PoolCommand) -> Vec<PoolEvent> {
        match command {
            PoolCommand::Leadership(command) => self
                .lead_command(command)
                .map(PoolEvent::Leadership)
                .into_iter()
                .collect(),
            PoolCommand::LoadState => {
                let mut state = journal::PoolState::default();
                state.apply_all(&self.journal);
                vec![PoolEvent::StateLoaded(Box::new(state))]
            }
            PoolCommand::Journal {
                token,
                records,
                inbox,
                ..
            } => {
                self.uncommitted.push(Entry {
                    token,
                    records,
                    inbox,
                });
                if self.commit_at_once {
                    self.commit()
                } else {
                    Vec::new()
                }
            }
            PoolCommand::Start {
                batch,
                worker,
                request,
            } => self.start(batch, &worker, &request),
            PoolCommand::Notice(PoolNotice::TaskUnknown { run }) => {
                self.unknown.push(run);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn commit(&mut self) -> Vec<PoolEvent> {
        let mut events = Vec::new();
        for entry in std::mem::take(&mut self.uncommitted) {
            self.journal.extend(entry.records);
            self.cleared.extend(entry.inbox);
            events.push(PoolEvent::JournalCommitted {
                through: entry.token,
            });
        }
        events
    }

    fn start(
        &mut self,
        batch: u64,
        worker: &id::WorkerId,
        request: &message::StartRequest,
    ) -> Vec<PoolEvent> {
        if self.hold_starts_back {
            self.held_back.push(HeldBack {
                worker: worker.clone(),
                request: request.clone(),
            });
            return vec![PoolEvent::StartUnanswered { batch }];
        }
        let now = self.worker_now();
        let grantor = self.workers.get_mut(worker).unwrap();
        let result = grantor.start(now, request).map(|started| {
            self.launched
                .extend(started.launch.into_iter().map(|start| start.run));
            started.answer
        });
        if self.lose_start_answers {
            return vec![PoolEvent::StartUnanswered { batch }];
        }
        vec![PoolEvent::StartAnswered { batch, result }]
    }

    fn lead_command(
        &mut self,
        command: leadership::LeadershipCommand,
    ) -> Option<leadership::LeadershipEvent> {
        use leadership::LeadershipCommand as Command;
        use leadership::LeadershipEvent as Event;
        let sent_at = time::TimeMs(self.now_ms);
        let now = self.worker_now();
        match command {
            Command::LoadRoster => Some(Event::RosterLoaded(self.roster.clone())),
            Command::CommitRoster { roster, .. } => {
                let version = roster.version;
                self.roster = Some(roster);
                Some(Event::RosterCommitted(version))
            }
            Command::Claim { worker, request } => {
                let Some(grantor) = self.workers.get_mut(&worker) else {
                    return Some(Event::Unreachable { worker, sent_at });
                };
                let result = grantor.claim(now, &request);
                Some(Event::ClaimAnswered {
                    worker,
                    sent_at,
                    result,
                })
            }
            Command::Renew { worker, request } => {
                let Some(grantor) = self.workers.get_mut(&worker) else {
                    return Some(Event::Unreachable { worker, sent_at });
                };
                let result = grantor.renew(now, &request);
                Some(Event::RenewAnswered {
                    worker,
                    sent_at,
                    result,
                })
            }
            Command::Notify(_) => None,
        }
    }

    fn accept(&mut self, ticket: u64, spec: job::JobSpec) {
        self.tell(PoolEvent::Accepted {
            ticket,
            records: vec![accepted(spec)],
        });
    }

    fn running(&self) -> Vec<task::RunId> {
        let lists = self.workers.values().flat_map(grantor::Grantor::running);
        lists.map(|running| running.run).collect()
    }

    /// Ends every run at its worker.
    fn end_all(&mut self, outcome: task::RunOutcome) {
        for grantor in self.workers.values_mut() {
            for running in grantor.running() {
                grantor.run_ended(&running.run, outcome);
            }
        }
    }

    fn counts(&self, name: &str) -> scheduler::TaskCounts {
        self.pool.scheduler().job(&text(name)).unwrap().counts
    }

    /// The worker that runs something.
    fn holder_of(&self, run: &task::RunId) -> id::WorkerId {
        let holder = self
            .workers
            .iter()
            .find(|(_, grantor)| grantor.is_running(run));
        holder.unwrap().0.clone()
    }

    /// Takes a worker away with everything that runs on it.
    fn lose(&mut self, lost: &id::WorkerId) {
        self.workers.remove(lost);
    }
}

#[test]
fn accepted_job_runs_to_its_end_and_leaves_the_inbox_with_its_record() {
    let mut cell = Cell::leading();

    cell.accept(4, job("certificates", 3, true));
    let running = cell.running().len();
    cell.end_all(task::RunOutcome::Succeeded);
    cell.pass(10_000);

    assert_eq!(running, 3);
    assert_eq!(cell.counts("certificates").succeeded, 3);
    assert_eq!(cell.cleared, [4]);
}

#[test]
fn worker_forgets_an_end_only_after_the_journal_holds_it() {
    let mut cell = Cell::leading();
    cell.accept(1, job("certificates", 1, true));
    cell.commit_at_once = false;

    cell.end_all(task::RunOutcome::Succeeded);
    cell.pass(12_000);
    let told_before = cell.workers.values().any(has_ends);
    for event in cell.commit() {
        cell.tell(event);
    }
    cell.pass(12_000);

    assert!(
        told_before,
        "the end is kept while the journal does not hold it"
    );
    assert!(!cell.workers.values().any(has_ends));
}

fn has_ends(grantor: &grantor::Grantor) -> bool {
    let mut copy = grantor.clone();
    let request = message::ClaimRequest {
        pool: text("marousi"),
        leader: text("looker"),
        leader_incarnation: id::Incarnation(9),
        roster_version: message::RosterVersion(u64::MAX),
    };
    let granted = copy
        .claim(time::WorkerTimeMs(u64::MAX / 2), &request)
        .unwrap();
    granted
        .ended
        .iter()
        .any(|end| end.outcome == task::RunOutcome::Succeeded)
}

#[test]
fn run_that_must_not_repeat_waits_for_its_record() {
    let mut cell = Cell::leading();
    cell.commit_at_once = false;

    cell.accept(1, job("payment", 1, false));
    let before = cell.launched.len();
    for event in cell.commit() {
        cell.tell(event);
    }

    assert_eq!(before, 0);
    assert_eq!(cell.launched.len(), 1);
}

#[test]
fn without_the_store_only_repeatable_work_starts() {
    let mut cell = Cell::leading();
    cell.tell(PoolEvent::StoreAvailable(false));
    cell.commit_at_once = false;

    cell.accept(1, job("payment", 1, false));
    cell.accept(2, job("screening", 2, true));
    cell.pass(500);
    let jobs: Vec<_> = cell
        .launched
        .iter()
        .map(|run| run.task.job.to_string())
        .collect();

    assert_eq!(jobs, ["screening", "screening"]);
    assert_eq!(cell.counts("payment").unknown, 0);
}

#[test]
fn start_with_a_lost_answer_is_sent_again_and_runs_once() {
    let mut cell = Cell::leading();
    cell.lose_start_answers = true;

    cell.accept(1, job("payment", 2, false));
    cell.pass(6_000);
    cell.lose_start_answers = false;
    cell.pass(10_000);

    assert_eq!(cell.launched.len(), 2);
    assert_eq!(cell.counts("payment").running, 2);
}

#[test]
fn new_leader_finds_what_runs_and_starts_nothing_twice() {
    let mut cell = Cell::leading();
    cell.accept(1, job("certificates", 3, true));
    cell.accept(2, job("payment", 2, false));

    cell.replace_leader();
    cell.pass(2_000);

    assert_eq!(cell.launched.len(), 5);
    assert_eq!(cell.counts("certificates").running, 3);
    assert_eq!(cell.counts("payment").running, 2);
}

#[test]
fn new_leader_finds_runs_that_the_journal_does_not_hold() {
    let mut cell = Cell::leading();
    cell.accept(1, job("certificates", 3, true));
    cell.journal.truncate(1);

    cell.replace_leader();
    cell.pass(2_000);

    assert_eq!(cell.launched.len(), 3, "the workers' lists are the truth");
    assert_eq!(cell.counts("certificates").running, 3);
}

#[test]
fn command_that_comes_again_changes_nothing() {
    let mut cell = Cell::leading();
    let spec = job("certificates", 2, true);

    cell.accept(1, spec.clone());
    cell.accept(2, spec);
    cell.pass(1_000);

    assert_eq!(cell.launched.len(), 2);
    assert_eq!(cell.cleared, [1, 2]);
}

#[test]
fn lost_run_that_must_not_repeat_is_unknown_until_an_operator_says_so() {
    let mut cell = Cell::leading();
    cell.accept(1, job("payment", 1, false));
    let run = cell.launched[0].clone();
    let lost = cell.holder_of(&run);

    cell.lose(&lost);
    cell.pass(90_000);
    let launched_before = cell.launched.len();
    let revision = cell.pool.state().job(&text("payment")).unwrap().revision + 1;
    let release = journal::Record::JobReleased {
        job: text("payment"),
        revision,
    };
    cell.tell(PoolEvent::Accepted {
        ticket: 2,
        records: vec![release],
    });
    cell.pass(1_000);

    assert_eq!(cell.unknown, [run]);
    assert_eq!(launched_before, 1);
    assert_eq!(cell.launched.len(), 2);
}

#[test]
fn lost_run_that_may_repeat_starts_elsewhere() {
    let mut cell = Cell::leading();
    cell.accept(1, job("screening", 1, true));
    let run = cell.launched[0].clone();
    let lost = cell.holder_of(&run);

    cell.lose(&lost);
    cell.pass(90_000);

    assert_eq!(cell.launched.len(), 2);
    assert_eq!(cell.running().len(), 1);
}

#[test]
fn leader_that_lost_its_majority_starts_nothing() {
    let mut cell = Cell::leading();
    cell.lose(&worker(0));
    cell.lose(&worker(1));
    cell.pass(40_000);

    cell.accept(1, job("screening", 1, true));

    assert!(!cell.pool.is_leader(time::TimeMs(cell.now_ms)));
    assert!(cell.launched.is_empty());
}

#[test]
fn start_that_arrives_late_and_its_successor_never_run_both() {
    let mut cell = Cell::leading();
    cell.hold_starts_back = true;
    cell.accept(1, job("screening", 1, true));
    cell.hold_starts_back = false;
    let late = cell.held_back.remove(0);

    // Something else fills the worker for a while, so a second copy of the start is refused.
    let mut other = late.request.clone();
    other.runs[0].run.task.job = text("other");
    other.runs[0].need = capacity();
    let now = cell.worker_now();
    let grantor = cell.workers.get_mut(&late.worker).unwrap();
    grantor.start(now, &other).unwrap();
    cell.pass(2_500);
    let now = cell.worker_now();
    let grantor = cell.workers.get_mut(&late.worker).unwrap();
    grantor.run_ended(&other.runs[0].run, task::RunOutcome::Succeeded);
    let accepted = grantor.start(now, &late.request);
    cell.pass(20_000);

    assert!(accepted.is_ok(), "the late copy is still in time");
    assert_eq!(cell.running().len(), 1);
}

#[test]
fn end_of_a_run_with_the_same_number_on_another_worker_changes_nothing() {
    let mut cell = Cell::leading();
    cell.accept(1, job("screening", 1, true));
    let run = cell.launched[0].clone();
    let other = cell
        .workers
        .iter()
        .find(|(_, grantor)| !grantor.is_running(&run));
    let other = other.unwrap().0.clone();

    let outcome = task::RunOutcome::Succeeded;
    let ended = vec![message::EndedRun { run, outcome }];
    cell.tell(PoolEvent::RunsEnded {
        worker: other,
        ended,
    });

    assert_eq!(cell.counts("screening").running, 1);
    assert_eq!(cell.counts("screening").succeeded, 0);
}

#[test]
fn forgotten_job_leaves_the_pool_unless_it_still_runs() {
    let mut cell = Cell::leading();
    cell.accept(1, job("done", 1, true));
    cell.end_all(task::RunOutcome::Succeeded);
    cell.pass(10_000);
    cell.accept(2, job("running", 1, true));

    cell.tell(PoolEvent::JobsForgotten(vec![
        text("done"),
        text("running"),
    ]));

    assert!(cell.pool.scheduler().job(&text("done")).is_none());
    assert!(cell.pool.state().job(&text("done")).is_none());
    assert_eq!(cell.counts("running").running, 1);
}

#[test]
fn ended_run_that_must_not_repeat_stays_ended_under_a_new_leader() {
    for outcome in [
        task::RunOutcome::Failed,
        task::RunOutcome::Stopped,
        task::RunOutcome::Lost,
    ] {
        let mut cell = Cell::leading();
        cell.accept(1, job("payment", 1, false));
        cell.end_all(outcome);
        cell.pass(10_000);

        cell.replace_leader();
        cell.pass(10_000);

        assert_eq!(cell.launched.len(), 1, "after {outcome:?}");
    }
}

#[test]
fn word_of_an_operator_on_an_unknown_run_outlives_the_leader() {
    let mut cell = Cell::leading();
    cell.accept(1, job("payment", 1, false));
    cell.end_all(task::RunOutcome::Failed);
    cell.pass(10_000);
    cell.tell(PoolEvent::StoreAvailable(false));
    let revision = cell.pool.state().job(&text("payment")).unwrap().revision + 1;
    let release = journal::Record::JobReleased {
        job: text("payment"),
        revision,
    };

    cell.tell(PoolEvent::Accepted {
        ticket: 2,
        records: vec![release],
    });
    let launched_before = cell.launched.len();
    cell.replace_leader();
    cell.pass(10_000);

    assert_eq!(launched_before, 1);
    assert_eq!(cell.launched.len(), 2);
}

#[test]
fn parked_job_is_taken_up_again_on_an_operators_word() {
    let mut cell = Cell::leading();
    let mut spec = job("furan", 1, true);
    spec.need.accelerators = 4;
    cell.accept(1, spec);
    cell.pass(120_000);
    let parked_before = cell.pool.state().job(&text("furan")).unwrap().parked();

    let release = journal::Record::JobReleased {
        job: text("furan"),
        revision: 2,
    };
    cell.tell(PoolEvent::Accepted {
        ticket: 2,
        records: vec![release],
    });

    assert!(parked_before.is_some());
    let known = cell.pool.state().job(&text("furan")).unwrap();
    assert_eq!(known.parked(), None);
    let view = cell.pool.scheduler().job(&text("furan")).unwrap();
    assert_eq!(view.parked, None);
}
