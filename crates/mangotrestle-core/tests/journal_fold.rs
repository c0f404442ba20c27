//! Folding of a pool's records: order, repetition, and which records replace which.

use std::collections::{BTreeMap, BTreeSet};

use mangotrestle_core::{id, job, journal, resources, result_code, task, time};
use quickcheck::{Arbitrary, Gen, quickcheck};

const OUTCOMES: [task::RunOutcome; 5] = [
    task::RunOutcome::Succeeded,
    task::RunOutcome::Failed,
    task::RunOutcome::NotRun,
    task::RunOutcome::Stopped,
    task::RunOutcome::Lost,
];

fn job_id(number: u8) -> id::JobId {
    format!("job-{}", number % 3).parse().unwrap()
}

fn worker(number: u8) -> id::WorkerId {
    format!("w-{}", number % 4).parse().unwrap()
}

fn spec(number: u8) -> job::JobSpec {
    job::JobSpec {
        id: job_id(number),
        team: "lab".parse().unwrap(),
        pool: "remera".parse().unwrap(),
        kind: job::JobKind::Batch,
        urgency: job::Urgency::Normal,
        tasks: 4,
        need: resources::Resources {
            cpu_millicores: 500,
            memory_mib: 64,
            accelerators: 0,
            slots: 1,
        },
        run_time_ms: None,
        idempotent: true,
        preemptible: true,
        lost_worker: job::LostWorkerPolicy::default(),
    }
}

fn run(job: u8, index: u8, attempt: u8) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: job_id(job),
            index: u32::from(index % 4),
        },
        attempt: u32::from(attempt % 4) + 1,
    }
}

#[derive(Clone, Debug)]
struct AnyRecord(journal::Record);

impl Arbitrary for AnyRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        let byte = |g: &mut Gen| u8::arbitrary(g);
        let job = job_id(byte(g));
        // As in a real journal, all records about one revision agree.
        let revision = u64::from(byte(g) % 6) + 2;
        let wall_ms = time::WallTimeMs(u64::from(byte(g)));
        let run = run(byte(g), byte(g), byte(g));
        Self(match byte(g) % 10 {
            0 => {
                let spec = spec(byte(g));
                let wall_ms = time::WallTimeMs(0);
                journal::Record::JobAccepted { spec, wall_ms }
            }
            1 => journal::Record::JobCancelled {
                job,
                revision,
                wall_ms,
            },
            2 if revision % 2 == 0 => journal::Record::JobParked {
                job,
                revision,
                code: result_code::ResultCode::NeverFits,
                wall_ms: time::WallTimeMs(revision),
            },
            2 => journal::Record::JobReleased { job, revision },
            3 => journal::Record::WorkerDraining {
                worker: worker(byte(g)),
                revision,
                draining: revision % 2 == 0,
            },
            4 => journal::Record::RunUnknown { run, wall_ms },
            5 => journal::Record::UnknownResolved {
                run,
                resolution: journal::Resolution::RunAgain,
                wall_ms,
            },
            6 | 7 => {
                // Each run starts on one worker only.
                let worker = worker(u8::try_from(run.attempt).unwrap());
                journal::Record::RunStarted {
                    run,
                    worker,
                    wall_ms,
                }
            }
            _ => {
                let outcome = OUTCOMES[usize::from(byte(g)) % OUTCOMES.len()];
                journal::Record::RunEnded {
                    run,
                    outcome,
                    wall_ms,
                }
            }
        })
    }
}

fn fold<'a>(records: impl IntoIterator<Item = &'a journal::Record>) -> journal::PoolState {
    let mut state = journal::PoolState::default();
    state.apply_all(records);
    state
}

fn to_records(records: &[AnyRecord]) -> Vec<journal::Record> {
    records.iter().map(|record| record.0.clone()).collect()
}

/// Returns a permutation of the records that is determined by the keys.
fn shuffled(records: &[journal::Record], keys: &[u16]) -> Vec<journal::Record> {
    let key = |index: usize| keys.get(index % keys.len().max(1)).copied().unwrap_or(0);
    let mut keyed: Vec<_> = records.iter().cloned().enumerate().collect();
    keyed.sort_by_key(|(index, _)| key(*index).wrapping_mul(31) ^ u16::try_from(*index).unwrap());
    keyed.into_iter().map(|(_, record)| record).collect()
}

fn indices(set: &journal::IndexSet) -> BTreeSet<u32> {
    set.iter().collect()
}

quickcheck! {
    fn index_set_difference_and_serialization_match_plain_sets(left: Vec<u8>, right: Vec<u8>) -> bool {
        let set = |bytes: &[u8]| bytes.iter().map(|&index| u32::from(index)).collect();
        let (left, right): (journal::IndexSet, journal::IndexSet) = (set(&left), set(&right));
        let expected: BTreeSet<u32> =
            indices(&left).difference(&indices(&right)).copied().collect();
        let serialized = serde_json::to_string(&left).unwrap();
        let deserialized: journal::IndexSet = serde_json::from_str(&serialized).unwrap();
        indices(&left.difference(&right)) == expected && deserialized == left
    }

    fn order_of_records_does_not_matter(records: Vec<AnyRecord>, keys: Vec<u16>) -> bool {
        let records = to_records(&records);
        fold(&shuffled(&records, &keys)) == fold(&records)
    }

    fn repetition_of_records_does_not_matter(records: Vec<AnyRecord>, repeated_indices: Vec<usize>) -> bool {
        let records = to_records(&records);
        let mut repeated = records.clone();
        for index in repeated_indices {
            repeated.extend(records.get(index % records.len().max(1)).cloned());
        }
        fold(&repeated) == fold(&records)
    }

    fn folding_continues_from_a_serialized_state(records: Vec<AnyRecord>, split_at: usize) -> bool {
        let records = to_records(&records);
        let (before, after) = records.split_at(split_at % (records.len() + 1));
        let serialized = serde_json::to_string(&fold(before)).unwrap();
        let mut state: journal::PoolState = serde_json::from_str(&serialized).unwrap();
        state.apply_all(after);
        state == fold(&records)
    }

    fn coalesced_records_fold_into_the_same_phases(records: Vec<AnyRecord>) -> bool {
        let records = to_records(&records);
        let coalesced = journal::coalesce(records.clone());
        phases(&fold(&coalesced)) == phases(&fold(&records)) && coalesced.len() <= records.len()
    }

    fn parsing_arbitrary_bytes_never_panics(bytes: Vec<u8>) -> bool {
        let _ = serde_json::from_slice::<journal::Record>(&bytes);
        let _ = serde_json::from_slice::<journal::PoolState>(&bytes);
        true
    }
}

type Phases = BTreeMap<String, (u32, Option<id::WorkerId>, journal::Phase)>;

/// Returns the attempts, workers and phases of a state's runs, without times, which are
/// informational only, and without the workers of runs that are not in progress.
fn phases(state: &journal::PoolState) -> Phases {
    let job_phases = |(job, job_state): (&id::JobId, &journal::JobState)| {
        let task_phase = |(index, task): (u32, &journal::TaskState)| {
            let is_open = task.phase == journal::Phase::Started;
            let worker = task.worker.clone().filter(|_| is_open);
            let run_state = (task.attempt, worker, task.phase);
            (format!("{job}/{index}"), run_state)
        };
        job_state.tasks().map(task_phase).collect::<Vec<_>>()
    };
    state.jobs().flat_map(job_phases).collect()
}

#[test]
fn later_attempt_replaces_an_earlier_one_whatever_its_end() {
    let ended = journal::Record::RunEnded {
        run: run(0, 0, 0),
        outcome: task::RunOutcome::Succeeded,
        wall_ms: time::WallTimeMs(9),
    };
    let started = journal::Record::RunStarted {
        run: run(0, 0, 1),
        worker: worker(1),
        wall_ms: time::WallTimeMs(3),
    };

    let state = fold([&started, &ended]);

    let task = state.job(&job_id(0)).unwrap().task(0).unwrap();
    assert_eq!(task.attempt, 2);
    assert_eq!(task.phase, journal::Phase::Started);
}

#[test]
fn reported_end_replaces_the_assumption_that_a_run_was_lost() {
    let end = |outcome| journal::Record::RunEnded {
        run: run(0, 0, 0),
        outcome,
        wall_ms: time::WallTimeMs(1),
    };

    let state = fold([
        &end(task::RunOutcome::Succeeded),
        &end(task::RunOutcome::Lost),
    ]);

    let task = state.job(&job_id(0)).unwrap().task(0).unwrap();
    assert_eq!(
        task.phase,
        journal::Phase::Ended(task::RunOutcome::Succeeded)
    );
}

#[test]
fn cancelled_job_is_finished_once_no_run_is_open() {
    let accepted = journal::Record::JobAccepted {
        spec: spec(0),
        wall_ms: time::WallTimeMs(1),
    };
    let started = journal::Record::RunStarted {
        run: run(0, 0, 0),
        worker: worker(0),
        wall_ms: time::WallTimeMs(2),
    };
    let cancelled = journal::Record::JobCancelled {
        job: job_id(0),
        revision: 2,
        wall_ms: time::WallTimeMs(3),
    };
    let stopped = journal::Record::RunEnded {
        run: run(0, 0, 0),
        outcome: task::RunOutcome::Stopped,
        wall_ms: time::WallTimeMs(4),
    };
    let mut state = fold([&accepted, &started, &cancelled]);
    let before = state.job(&job_id(0)).unwrap().is_finished();

    state.apply(&stopped);
    let forgotten = state.forget_finished(time::WallTimeMs(5), 10);

    assert!(!before);
    assert_eq!(forgotten, [job_id(0)]);
}

#[test]
fn batch_of_similar_records_coalesces_into_one() {
    let records: Vec<_> = (0..4)
        .map(|index| journal::Record::RunEnded {
            run: run(0, index, 0),
            outcome: task::RunOutcome::Succeeded,
            wall_ms: time::WallTimeMs(u64::from(index)),
        })
        .collect();

    let coalesced = journal::coalesce(records);

    assert_eq!(coalesced.len(), 1, "{coalesced:?}");
}
