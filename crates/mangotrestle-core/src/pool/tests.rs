//! Tests of the pool with real lease grantors, and with a journal and an inbox that the test
//! controls.

use std::collections::BTreeMap;

use super::*;
use crate::lease::grantor;
use crate::lease::roster;
use crate::resources;
use crate::task;

/// A pool with its workers. Messages are delivered at once. The journal commits at once, or when
/// the test calls [`World::commit`].
struct World {
    now_ms: u64,
    pool: Pool,
    workers: BTreeMap<id::WorkerId, grantor::Grantor>,
    roster: Option<roster::Roster>,
    journal: Vec<journal::Record>,
    uncommitted: Vec<Entry>,
    commit_immediately: bool,
    lose_start_answers: bool,
    delay_starts: bool,
    delayed_starts: Vec<DelayedStart>,
    launched: Vec<task::RunId>,
    deleted_inbox_reads: Vec<u64>,
    unknown_runs: Vec<task::RunId>,
}

/// A start that the test delivers late.
struct DelayedStart {
    worker: id::WorkerId,
    request: message::StartRequest,
}

/// A journal entry that is not committed yet.
struct Entry {
    token: u64,
    records: Vec<journal::Record>,
    inbox_read: Option<u64>,
}

fn parse<T: std::str::FromStr<Err = id::InvalidId>>(text: &str) -> T {
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
    parse(&format!("w-{number}"))
}

fn new_worker(number: u32) -> grantor::Grantor {
    let incarnation = id::Incarnation(u64::from(number) + 1);
    let config = grantor::GrantorConfig::new(incarnation, capacity(), parse("rack"))
        .target_address("127.0.0.1:9000");
    grantor::Grantor::new(config)
}

fn new_pool(host: &str) -> Pool {
    let identity = leadership::Identity {
        pool: parse("marousi"),
        entry_host: parse(host),
        incarnation: id::Incarnation(1),
    };
    let config = leadership::LeadershipConfig::builder()
        .renew_interval(time::SpanMs(1_000))
        .build()
        .unwrap();
    let settings = PoolSettings {
        pool: parse("marousi"),
        availability_zone: parse("marousi"),
        entry_host: parse(host),
        incarnation: id::Incarnation(1),
        stop_grace_ms: time::SpanMs(1_000),
        seed: 7,
    };
    let leadership = leadership::Leadership::new(config, identity, 7);
    Pool::new(settings, leadership, scheduler::SchedulerConfig::default())
}

fn job(name: &str, tasks: u32, idempotent: bool) -> job::JobSpec {
    job::JobSpec {
        id: parse(name),
        team: parse("team"),
        pool: parse("marousi"),
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

impl World {
    /// Returns a pool that leads three workers and has recovered an empty state.
    fn leading() -> Self {
        let mut world = Self {
            now_ms: 1_000,
            pool: new_pool("entry-1"),
            workers: (0..3)
                .map(|number| (worker(number), new_worker(number)))
                .collect(),
            roster: None,
            journal: Vec::new(),
            uncommitted: Vec::new(),
            commit_immediately: true,
            lose_start_answers: false,
            delay_starts: false,
            delayed_starts: Vec::new(),
            launched: Vec::new(),
            deleted_inbox_reads: Vec::new(),
            unknown_runs: Vec::new(),
        };
        world.take_over();
        world
    }

    /// Makes the current pool take over leadership, and waits until it may start runs.
    fn take_over(&mut self) {
        let listed = self.workers.keys().cloned().collect();
        self.handle(PoolEvent::Leadership(
            leadership::LeadershipEvent::WorkersListed(listed),
        ));
        self.handle(PoolEvent::Leadership(
            leadership::LeadershipEvent::Preferred(true),
        ));
        self.advance(2_000);
    }

    /// Replaces the leader by another entry host. The previous leader is gone, with its uncommitted
    /// journal entries.
    fn replace_leader(&mut self) {
        self.pool = new_pool("entry-2");
        self.uncommitted.clear();
        self.take_over();
    }

    fn now(&self) -> Now {
        Now {
            monotonic: time::TimeMs(self.now_ms),
            wall: time::WallTimeMs(self.now_ms),
        }
    }

    /// Returns the reading of the workers' clocks, which are 5 s ahead of the leader's.
    fn worker_now(&self) -> time::WorkerTimeMs {
        time::WorkerTimeMs(self.now_ms + 5_000)
    }

    fn advance(&mut self, span_ms: u64) {
        let until = self.now_ms + span_ms;
        while self.now_ms < until {
            self.now_ms += 100;
            let now = self.worker_now();
            for grantor in self.workers.values_mut() {
                grantor.tick(now);
            }
            self.handle(PoolEvent::Tick);
        }
    }

    /// Handles an event, and then all events that result from its commands.
    fn handle(&mut self, event: PoolEvent) {
        let mut events = std::collections::VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            let mut commands = Vec::new();
            self.pool.handle(self.now(), event, &mut commands);
            for command in commands {
                events.extend(self.execute(command));
            }
        }
    }

    fn execute(&mut self, command: PoolCommand) -> Vec<PoolEvent> {
        match command {
            PoolCommand::Leadership(command) => self
                .handle_leadership_command(command)
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
                inbox_read,
                ..
            } => {
                self.uncommitted.push(Entry {
                    token,
                    records,
                    inbox_read,
                });
                if self.commit_immediately {
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
                self.unknown_runs.push(run);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn commit(&mut self) -> Vec<PoolEvent> {
        let mut events = Vec::new();
        for entry in std::mem::take(&mut self.uncommitted) {
            self.journal.extend(entry.records);
            self.deleted_inbox_reads.extend(entry.inbox_read);
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
        if self.delay_starts {
            self.delayed_starts.push(DelayedStart {
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

    fn handle_leadership_command(
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

    fn accept(&mut self, inbox_read: u64, spec: job::JobSpec) {
        self.handle(PoolEvent::Accepted {
            inbox_read,
            records: vec![accepted(spec)],
        });
    }

    fn running(&self) -> Vec<task::RunId> {
        let lists = self.workers.values().flat_map(grantor::Grantor::running);
        lists.map(|running| running.run).collect()
    }

    /// Ends every run on every worker.
    fn end_all(&mut self, outcome: task::RunOutcome) {
        for grantor in self.workers.values_mut() {
            for running in grantor.running() {
                grantor.run_ended(&running.run, outcome);
            }
        }
    }

    fn counts(&self, name: &str) -> scheduler::TaskCounts {
        self.pool.scheduler().job(&parse(name)).unwrap().counts
    }

    /// Returns the worker that has a run.
    fn worker_of(&self, run: &task::RunId) -> id::WorkerId {
        let found = self
            .workers
            .iter()
            .find(|(_, grantor)| grantor.is_running(run));
        found.unwrap().0.clone()
    }

    /// Removes a worker with all its runs.
    fn remove_worker(&mut self, worker: &id::WorkerId) {
        self.workers.remove(worker);
    }
}

#[test]
fn accepted_job_runs_to_its_end_and_its_inbox_row_is_deleted() {
    let mut world = World::leading();

    world.accept(4, job("certificates", 3, true));
    let running = world.running().len();
    world.end_all(task::RunOutcome::Succeeded);
    world.advance(10_000);

    assert_eq!(running, 3);
    assert_eq!(world.counts("certificates").succeeded, 3);
    assert_eq!(world.deleted_inbox_reads, [4]);
}

#[test]
fn worker_forgets_an_ended_run_only_after_the_journal_holds_its_end() {
    let mut world = World::leading();
    world.accept(1, job("certificates", 1, true));
    world.commit_immediately = false;

    world.end_all(task::RunOutcome::Succeeded);
    world.advance(12_000);
    let listed_before_commit = world.workers.values().any(has_ends);
    for event in world.commit() {
        world.handle(event);
    }
    world.advance(12_000);

    assert!(
        listed_before_commit,
        "the worker keeps the end while the journal does not hold it"
    );
    assert!(!world.workers.values().any(has_ends));
}

/// Whether a worker still lists a succeeded run. Claims a copy of the grantor, which changes
/// nothing in the world.
fn has_ends(grantor: &grantor::Grantor) -> bool {
    let mut copy = grantor.clone();
    let request = message::ClaimRequest {
        pool: parse("marousi"),
        leader: parse("looker"),
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
fn non_idempotent_run_starts_only_after_its_record_is_committed() {
    let mut world = World::leading();
    world.commit_immediately = false;

    world.accept(1, job("payment", 1, false));
    let launched_before_commit = world.launched.len();
    for event in world.commit() {
        world.handle(event);
    }

    assert_eq!(launched_before_commit, 0);
    assert_eq!(world.launched.len(), 1);
}

#[test]
fn only_idempotent_runs_start_while_the_store_is_unavailable() {
    let mut world = World::leading();
    world.handle(PoolEvent::StoreAvailable(false));
    world.commit_immediately = false;

    world.accept(1, job("payment", 1, false));
    world.accept(2, job("screening", 2, true));
    world.advance(500);
    let jobs: Vec<_> = world
        .launched
        .iter()
        .map(|run| run.task.job.to_string())
        .collect();

    assert_eq!(jobs, ["screening", "screening"]);
    assert_eq!(world.counts("payment").unknown, 0);
}

#[test]
fn start_without_an_answer_is_sent_again_and_runs_once() {
    let mut world = World::leading();
    world.lose_start_answers = true;

    world.accept(1, job("payment", 2, false));
    world.advance(6_000);
    world.lose_start_answers = false;
    world.advance(10_000);

    assert_eq!(world.launched.len(), 2);
    assert_eq!(world.counts("payment").running, 2);
}

#[test]
fn new_leader_recovers_running_tasks_and_starts_none_twice() {
    let mut world = World::leading();
    world.accept(1, job("certificates", 3, true));
    world.accept(2, job("payment", 2, false));

    world.replace_leader();
    world.advance(2_000);

    assert_eq!(world.launched.len(), 5);
    assert_eq!(world.counts("certificates").running, 3);
    assert_eq!(world.counts("payment").running, 2);
}

#[test]
fn new_leader_recovers_runs_that_the_journal_does_not_hold() {
    let mut world = World::leading();
    world.accept(1, job("certificates", 3, true));
    world.journal.truncate(1);

    world.replace_leader();
    world.advance(2_000);

    assert_eq!(
        world.launched.len(),
        3,
        "the workers' lists are authoritative"
    );
    assert_eq!(world.counts("certificates").running, 3);
}

#[test]
fn run_that_ended_before_the_journal_held_its_start_is_not_started_again() {
    let mut world = World::leading();
    world.accept(1, job("certificates", 3, true));
    world.journal.truncate(1);
    world.end_all(task::RunOutcome::Succeeded);

    world.replace_leader();
    world.advance(10_000);

    assert_eq!(world.launched.len(), 3);
    assert_eq!(world.counts("certificates").succeeded, 3);
}

#[test]
fn run_that_ended_before_the_journal_held_its_job_is_not_started_again() {
    let mut world = World::leading();
    world.accept(1, job("certificates", 3, true));
    world.journal.clear();
    world.end_all(task::RunOutcome::Succeeded);

    world.replace_leader();
    world.accept(1, job("certificates", 3, true));
    world.advance(10_000);

    assert_eq!(world.launched.len(), 3);
    assert_eq!(world.counts("certificates").succeeded, 3);
}

/// Replaces a leader that started three tasks on one worker, when the journal holds a deposed
/// leader's records of the same runs on the worker `recorded_on` in place of its own.
fn replace_leader_with_runs_recorded_on(recorded_on: &id::WorkerId) -> World {
    let mut world = World::leading();
    world.accept(1, job("certificates", 3, true));
    world.journal.truncate(1);
    for run in &world.launched {
        let record = records::run_started(run, recorded_on, time::WallTimeMs(2));
        world.journal.push(record);
    }
    world.replace_leader();
    world.advance(2_000);
    world
}

#[test]
fn end_of_a_run_that_a_deposed_leader_recorded_on_another_worker_settles_its_task() {
    for recorded_on in (0..3).map(worker) {
        let mut world = replace_leader_with_runs_recorded_on(&recorded_on);

        world.end_all(task::RunOutcome::Succeeded);
        world.advance(10_000);

        let succeeded = world.counts("certificates").succeeded;
        assert_eq!(succeeded, 3, "recorded on {recorded_on}");
    }
}

#[test]
fn run_that_a_deposed_leader_recorded_on_another_worker_gets_no_second_copy() {
    for recorded_on in (0..3).map(worker) {
        let world = replace_leader_with_runs_recorded_on(&recorded_on);

        assert_eq!(world.launched.len(), 3, "recorded on {recorded_on}");
        assert_eq!(world.counts("certificates").running, 3);
    }
}

#[test]
fn repeated_command_changes_nothing() {
    let mut world = World::leading();
    let spec = job("certificates", 2, true);

    world.accept(1, spec.clone());
    world.accept(2, spec);
    world.advance(1_000);

    assert_eq!(world.launched.len(), 2);
    assert_eq!(world.deleted_inbox_reads, [1, 2]);
}

#[test]
fn lost_non_idempotent_run_is_unknown_until_an_operator_releases_its_job() {
    let mut world = World::leading();
    world.accept(1, job("payment", 1, false));
    let run = world.launched[0].clone();
    let lost = world.worker_of(&run);

    world.remove_worker(&lost);
    world.advance(90_000);
    let launched_before = world.launched.len();
    let revision = world.pool.state().job(&parse("payment")).unwrap().revision + 1;
    let release = journal::Record::JobReleased {
        job: parse("payment"),
        revision,
    };
    world.handle(PoolEvent::Accepted {
        inbox_read: 2,
        records: vec![release],
    });
    world.advance(1_000);

    assert_eq!(world.unknown_runs, [run]);
    assert_eq!(launched_before, 1);
    assert_eq!(world.launched.len(), 2);
}

#[test]
fn lost_idempotent_run_starts_on_another_worker() {
    let mut world = World::leading();
    world.accept(1, job("screening", 1, true));
    let run = world.launched[0].clone();
    let lost = world.worker_of(&run);

    world.remove_worker(&lost);
    world.advance(90_000);

    assert_eq!(world.launched.len(), 2);
    assert_eq!(world.running().len(), 1);
}

#[test]
fn leader_without_a_majority_starts_nothing() {
    let mut world = World::leading();
    world.remove_worker(&worker(0));
    world.remove_worker(&worker(1));
    world.advance(40_000);

    world.accept(1, job("screening", 1, true));

    assert!(!world.pool.is_leader(time::TimeMs(world.now_ms)));
    assert!(world.launched.is_empty());
}

#[test]
fn delayed_start_and_its_resend_never_both_run() {
    let mut world = World::leading();
    world.delay_starts = true;
    world.accept(1, job("screening", 1, true));
    world.delay_starts = false;
    let late = world.delayed_starts.remove(0);

    // Another run uses all of the worker's capacity for a time, so a second copy of the start is
    // refused.
    let mut other = late.request.clone();
    other.runs[0].run.task.job = parse("other");
    other.runs[0].need = capacity();
    let now = world.worker_now();
    let grantor = world.workers.get_mut(&late.worker).unwrap();
    grantor.start(now, &other).unwrap();
    world.advance(2_500);
    let now = world.worker_now();
    let grantor = world.workers.get_mut(&late.worker).unwrap();
    grantor.run_ended(&other.runs[0].run, task::RunOutcome::Succeeded);
    let accepted = grantor.start(now, &late.request);
    world.advance(20_000);

    assert!(
        accepted.is_ok(),
        "the late copy arrives before its start deadline"
    );
    assert_eq!(world.running().len(), 1);
}

#[test]
fn end_of_the_same_attempt_on_another_worker_changes_nothing() {
    let mut world = World::leading();
    world.accept(1, job("screening", 1, true));
    let run = world.launched[0].clone();
    let other = world
        .workers
        .iter()
        .find(|(_, grantor)| !grantor.is_running(&run));
    let other = other.unwrap().0.clone();

    let outcome = task::RunOutcome::Succeeded;
    let ended = vec![message::EndedRun { run, outcome }];
    world.handle(PoolEvent::RunsEnded {
        worker: other,
        ended,
    });

    assert_eq!(world.counts("screening").running, 1);
    assert_eq!(world.counts("screening").succeeded, 0);
}

#[test]
fn forgotten_job_is_removed_unless_it_still_runs() {
    let mut world = World::leading();
    world.accept(1, job("done", 1, true));
    world.end_all(task::RunOutcome::Succeeded);
    world.advance(10_000);
    world.accept(2, job("running", 1, true));

    world.handle(PoolEvent::JobsForgotten(vec![
        parse("done"),
        parse("running"),
    ]));

    assert!(world.pool.scheduler().job(&parse("done")).is_none());
    assert!(world.pool.state().job(&parse("done")).is_none());
    assert_eq!(world.counts("running").running, 1);
}

#[test]
fn ended_non_idempotent_run_is_not_repeated_by_a_new_leader() {
    for outcome in [
        task::RunOutcome::Failed,
        task::RunOutcome::Stopped,
        task::RunOutcome::Lost,
    ] {
        let mut world = World::leading();
        world.accept(1, job("payment", 1, false));
        world.end_all(outcome);
        world.advance(10_000);

        world.replace_leader();
        world.advance(10_000);

        assert_eq!(world.launched.len(), 1, "after {outcome:?}");
    }
}

#[test]
fn operators_resolution_of_an_unknown_run_survives_a_change_of_leader() {
    let mut world = World::leading();
    world.accept(1, job("payment", 1, false));
    world.end_all(task::RunOutcome::Failed);
    world.advance(10_000);
    world.handle(PoolEvent::StoreAvailable(false));
    let revision = world.pool.state().job(&parse("payment")).unwrap().revision + 1;
    let release = journal::Record::JobReleased {
        job: parse("payment"),
        revision,
    };

    world.handle(PoolEvent::Accepted {
        inbox_read: 2,
        records: vec![release],
    });
    let launched_before = world.launched.len();
    world.replace_leader();
    world.advance(10_000);

    assert_eq!(launched_before, 1);
    assert_eq!(world.launched.len(), 2);
}

#[test]
fn parked_job_is_retried_after_an_operator_releases_it() {
    let mut world = World::leading();
    let mut spec = job("furan", 1, true);
    spec.need.accelerators = 4;
    world.accept(1, spec);
    world.advance(120_000);
    let parked_before = world.pool.state().job(&parse("furan")).unwrap().parked();

    let release = journal::Record::JobReleased {
        job: parse("furan"),
        revision: 2,
    };
    world.handle(PoolEvent::Accepted {
        inbox_read: 2,
        records: vec![release],
    });

    assert!(parked_before.is_some());
    let job_state = world.pool.state().job(&parse("furan")).unwrap();
    assert_eq!(job_state.parked(), None);
    let view = world.pool.scheduler().job(&parse("furan")).unwrap();
    assert_eq!(view.parked, None);
}
