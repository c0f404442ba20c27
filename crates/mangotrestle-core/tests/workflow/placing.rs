//! Tests of where units are placed, and in which order.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mangotrestle_core::id::WorkerId;
use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{AdvicePolicy, JobRecord};

use super::world::{Violations, World, job, record, step, worker};

#[test]
fn urgent_work_is_placed_before_earlier_work() {
    let mut world = World::new(1, 1);
    for number in 0..6 {
        world.submit(&job(number), &record(2, vec![step(1, 8_000, 500, &[])]));
    }
    world.submit(&job(100), &record(0, vec![step(1, 8_000, 500, &[])]));

    world.run_for(1_700);

    assert_eq!(world.end_of(&job(100)), Some(JobState::Completed));
    let completed = (0..6).filter(|&number| world.end_of(&job(number)).is_some());
    assert!(completed.count() <= 2);
}

#[test]
fn a_gang_starts_despite_waiting_smaller_work() {
    let mut world = World::new(2, 2);
    for number in 0..30 {
        world.submit(&job(number), &record(2, vec![step(2, 4_000, 600, &[])]));
    }
    world.run_for(300);
    let mut gang = step(2, 8_000, 500, &[]);
    gang.gang = true;
    world.submit(&job(100), &record(1, vec![gang]));

    world.run_for(4_000);

    assert_eq!(world.end_of(&job(100)), Some(JobState::Completed));
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn tasks_of_a_step_on_one_worker_stay_within_the_steps_limit() {
    let mut world = World::new(3, 3);
    let mut spread = step(6, 500, 20_000, &[]);
    spread.max_per_worker = 1;
    world.submit(&job(1), &record(0, vec![spread]));

    world.run_for(2_000);

    let max_on_one_worker = ["w-0", "w-1", "w-2"]
        .map(|name| world.running_on(&worker(name)).len())
        .into_iter()
        .max();
    assert_eq!(max_on_one_worker, Some(1));
    assert_eq!(world.starts, 3);
}

#[test]
fn a_much_slower_worker_does_not_hold_up_jobs() {
    let mut world = World::new(4, 3);
    world
        .workers
        .get_mut(&worker("w-0"))
        .expect("the worker")
        .speed_percent = 10;
    for number in 0..40 {
        world.submit(&job(number), &record(0, vec![step(2, 1_000, 800, &[])]));
        world.run_for(150);
    }
    world.run_for(2_500);

    let completed = (0..40).filter(|&number| world.end_of(&job(number)).is_some());
    let completed = completed.count();
    assert!(completed >= 34, "{completed} of 40 jobs completed");
    assert_eq!(world.violations, Violations::default());
}

/// Maximum processor time of a tick: the design allows 3.5% of a core for control work, which is
/// this much of the 25 ms between two ticks.
const MAX_TICK_TIME: Duration = Duration::from_micros(875);
/// Number of ticks; the quickest counts, since other processes may delay the rest.
const TICK_COUNT: u64 = 20;

#[test]
fn a_tick_with_much_work_that_does_not_fit_stays_within_its_processor_time() {
    let mut world = World::new(5, 250);
    for number in 0..250 {
        world.submit(&job(number), &record(0, vec![step(8, 1_000, 60_000, &[])]));
    }
    world.run_for(500);
    for number in 250..400 {
        world.submit(&job(number), &record(1, vec![step(20, 8_000, 500, &[])]));
    }
    world.run_for(100);
    let now = TimeMs(world.now);

    let tick_times = (0..TICK_COUNT).map(|round| {
        // The cancellation of a running job frees nothing yet, but makes a placement pass due.
        world.pool.cancel(now, &job(round));
        let began = Instant::now();
        world.pool.tick(now);
        began.elapsed()
    });
    let quickest = tick_times.min().expect("a tick");

    assert!(
        quickest < MAX_TICK_TIME,
        "the quickest tick took {quickest:?}"
    );
}

/// Minimum number of jobs in time: four fifths of the 20 that the worker can do while 40 arrive.
const MIN_JOBS_IN_TIME: usize = 20 * 4 / 5;

#[test]
fn a_backlog_does_not_make_all_jobs_late() {
    let mut world = World::new(6, 1);
    let mut unfinished: Vec<(u64, u64)> = Vec::new();
    let mut in_time = 0;
    for round in 0..200 {
        if round % 2 == 0 && round < 80 {
            let spec = JobRecord {
                accepted_ms: world.now,
                ..record(0, vec![step(1, 8_000, 400, &[])]).as_ref().clone()
            };
            let objective_ms = spec.objective_ms();
            world.submit(&job(round / 2), &Arc::new(spec));
            unfinished.push((round / 2, world.now + objective_ms));
        }
        world.run_for(100);
        unfinished.retain(|&(number, due_at)| {
            let ended = world.end_of(&job(number)).is_some();
            in_time += usize::from(ended && world.now <= due_at);
            !ended
        });
    }

    assert!(
        in_time >= MIN_JOBS_IN_TIME,
        "{in_time} of 40 jobs were in time"
    );
    assert!(unfinished.is_empty(), "{unfinished:?} never ended");
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn tasks_of_a_step_stay_on_few_workers_of_one_zone() {
    let mut world = World::new(7, 0);
    for number in 0..12 {
        world.add_worker_in(&format!("w-{number}"), &format!("zone-{}", number % 3));
    }
    // Every worker has capacity for two or three tasks, and so each zone for nine.
    for number in 0..12 {
        let cpu_millicores = 5_000 + 300 * (number % 4);
        let spec = step(1, cpu_millicores, 60_000, &[]);
        world.submit(&job(number), &record(0, vec![spec]));
    }
    world.run_for(300);
    world.submit(&job(100), &record(0, vec![step(8, 1_000, 60_000, &[])]));
    world.run_for(300);

    let workers_with_tasks: Vec<WorkerId> = world
        .workers
        .keys()
        .filter(|worker| {
            let running = world.running_on(worker);
            running
                .iter()
                .any(|name| name.starts_with(job(100).as_str()))
        })
        .cloned()
        .collect();
    let mut zones: Vec<&str> = workers_with_tasks
        .iter()
        .map(|worker| world.workers[worker].entry.zone.as_str())
        .collect();
    zones.dedup();

    assert_eq!(zones.len(), 1, "{workers_with_tasks:?}");
    assert!(workers_with_tasks.len() <= 4, "{workers_with_tasks:?}");
}

/// Time after acceptance until which a result is useful: three objectives of 1.3 s.
const USEFUL_MS: u64 = 3_900;

#[test]
fn late_work_of_a_short_burst_ends_while_its_result_is_useful() {
    let mut world = World::new(8, 1);
    let mut unfinished: Vec<(u64, u64)> = Vec::new();
    let mut useful = 0;
    for round in 0..500 {
        // Half of what the worker can do, and once eight jobs at the same time.
        let arrivals = if round == 350 {
            8
        } else {
            u64::from(round % 12 == 0)
        };
        for _ in 0..arrivals {
            let spec = JobRecord {
                accepted_ms: world.now,
                ..record(0, vec![step(1, 8_000, 400, &[])]).as_ref().clone()
            };
            let number = unfinished.len() as u64 + 1_000 * round;
            world.submit(&job(number), &Arc::new(spec));
            unfinished.push((number, world.now));
        }
        world.run_for(100);
        unfinished.retain(|&(number, accepted_at)| {
            let ended = world.end_of(&job(number)).is_some();
            useful += u32::from(ended && world.now <= accepted_at + USEFUL_MS);
            !ended
        });
    }

    let submitted = 42 + 8;
    assert!(
        useful >= submitted - 1,
        "{useful} of {submitted} jobs ended in useful time"
    );
    assert_eq!(world.violations, Violations::default());
}

#[test]
fn a_persistent_task_starts_once_its_only_worker_leaves_quarantine() {
    let only_worker = worker("w-0");
    let mut world = world_with_worker_in_quarantine(4, &only_worker, 1_000);
    let mut persistent = step(1, 500, 300, &[]);
    persistent.persistent = true;
    world.submit(&job(10), &record(0, vec![persistent]));

    world.run_for(5_000);

    assert_eq!(world.running_on(&only_worker).len(), 1);
}

/// Returns a simulation of which the only worker is sound again, and has been in quarantine since
/// two jobs failed there within `span_ms`.
fn world_with_worker_in_quarantine(seed: u64, only_worker: &WorkerId, span_ms: u64) -> World {
    let mut world = World::new(seed, 1);
    world.run_for(100);
    set_failing(&mut world, only_worker, true);
    for number in 0..2 {
        let mut failing = record(0, vec![step(1, 500, 300, &[])]).as_ref().clone();
        failing.policy.max_attempts = 1;
        world.submit(&job(number), &Arc::new(failing));
    }
    world.run_for(span_ms);
    set_failing(&mut world, only_worker, false);
    world
}

fn set_failing(world: &mut World, id: &WorkerId, fails: bool) {
    let model = world.workers.get_mut(id).expect("the worker");
    model.fails_all_runs = fails;
}

/// Returns a job of one gang, of which each member takes a whole worker.
fn whole_worker_gang(priority: u32, members: u32, label: Option<&str>) -> Arc<JobRecord> {
    let mut gang = step(members, 8_000, 1_000, &[]);
    gang.gang = true;
    gang.constraint = label.map(str::to_owned);
    record(priority, vec![gang])
}

#[test]
fn gangs_that_cannot_be_placed_together_do_not_keep_free_workers_from_a_gang_that_fits() {
    let mut world = World::new(21, 0);
    for group in 0..3 {
        for number in 0..4 {
            add_labelled_worker(
                &mut world,
                &format!("w-{group}-{number}"),
                &format!("g{group}"),
            );
        }
    }
    for group in 0..3 {
        let mut occupying = step(1, 8_000, 60_000, &[]);
        occupying.persistent = true;
        occupying.constraint = Some(format!("g{group}"));
        world.submit(&job(100 + group), &record(0, vec![occupying]));
    }
    world.run_for(500);
    for group in 0..3 {
        let label = format!("g{group}");
        world.submit(&job(group), &whole_worker_gang(0, 4, Some(&label)));
    }
    world.run_for(100);
    let starts_before = world.starts;

    world.submit(&job(10), &whole_worker_gang(1, 4, None));
    world.run_for(3_000);

    assert_eq!(world.starts - starts_before, 4);
}

/// Adds a worker with one more label.
fn add_labelled_worker(world: &mut World, name: &str, label: &str) {
    world.add_worker(name);
    let model = world.workers.get_mut(&worker(name)).expect("the worker");
    model.entry.labels.insert(0, label.to_owned());
    let entry = model.entry.clone();
    world.pool.worker_listed(TimeMs(world.now), entry);
}

#[test]
fn a_gang_whose_policy_allows_too_few_workers_does_not_keep_them_from_others() {
    let mut world = World::new(22, 5);
    world.denied_workers.extend([worker("w-3"), worker("w-4")]);
    world.run_for(100);
    let mut hopeless = whole_worker_gang(0, 4, None).as_ref().clone();
    hopeless.policy.advice = Some(AdvicePolicy {
        decide_ms: 715.0,
        each_ms: 10.0,
        valid_ms: 2_000,
    });
    world.submit(&job(1), &Arc::new(hopeless));
    world.run_for(1_500);
    let starts_before = world.starts;

    world.submit(&job(2), &whole_worker_gang(1, 4, None));
    world.run_for(3_000);

    assert_eq!(world.starts - starts_before, 4);
}

#[test]
fn work_waits_less_than_3_s_if_every_worker_that_fits_is_in_quarantine() {
    let only_worker = worker("w-0");
    let mut world = world_with_worker_in_quarantine(23, &only_worker, 600);
    world.submit(&job(10), &record(0, vec![step(1, 500, 5_000, &[])]));

    world.run_for(2_400);

    assert_eq!(world.running_on(&only_worker).len(), 1);
}

/// Maximum processor time of the decisions for one run in a pool of hundreds of workers: a host
/// of a quarter of a core starts 800 runs a second with a third of its time. The quickest of several
/// windows counts: beside other processes caches are cold, and the rest takes twice as long.
const MAX_DECISION_TIME_PER_RUN: Duration = Duration::from_micros(100);

#[test]
fn decisions_in_a_large_pool_with_a_backlog_stay_within_their_processor_time() {
    let mut world = World::new(24, 350);
    let advice = Some(AdvicePolicy {
        decide_ms: 60.0,
        each_ms: 1.0,
        valid_ms: 2_000,
    });
    let advised = |priority, steps| {
        let mut advised = record(priority, steps).as_ref().clone();
        advised.policy.advice = advice;
        Arc::new(advised)
    };
    let mut number = 0;
    let mut submit = |world: &mut World, record: &Arc<JobRecord>| {
        number += 1;
        let mut record = record.as_ref().clone();
        record.accepted_ms = world.now;
        world.submit(&job(number), &Arc::new(record));
    };
    let short = advised(0, vec![step(3, 1_500, 640, &[])]);
    let mut accelerated = step(20, 1_000, 6_000, &[]);
    accelerated.need.accelerators = 4;
    let long = advised(2, vec![accelerated]);
    for _ in 0..60 {
        submit(&mut world, &long);
    }
    world.run_for(1_000);

    let all_starts_before = world.starts;
    let mut times_per_run: Vec<Duration> = Vec::new();
    for _ in 0..40 {
        let (starts_before, time_before) = (world.starts, world.decision_time);
        for _ in 0..13 {
            submit(&mut world, &short);
        }
        submit(&mut world, &long);
        world.run_for(100);
        let starts = world.starts - starts_before;
        let decisions = world.decision_time.saturating_sub(time_before);
        times_per_run.push(decisions / starts.max(1));
    }

    let all_starts = world.starts - all_starts_before;
    assert!(all_starts >= 1_400, "{all_starts} runs started");
    let quickest = times_per_run.into_iter().min().expect("a window");
    assert!(
        quickest < MAX_DECISION_TIME_PER_RUN,
        "a run takes {quickest:?} in the quickest window"
    );
    assert_eq!(world.violations, Violations::default());
}

/// Number of jobs that wait in a backlog; a leader of a host of 0.12 cores was seen to take over 8,600.
const BACKLOG_JOBS: u64 = 8_600;
/// Maximum processor time of a round with a backlog: three such rounds of a host of 0.12 cores fit
/// into the interval of 400 ms in which it has to commit. The best of several windows counts, since
/// other processes may delay the rest.
const MAX_BACKLOG_ROUND_TIME: Duration = Duration::from_millis(16);

#[test]
fn each_round_with_a_backlog_of_thousands_of_jobs_leaves_time_for_commits() {
    let mut world = World::new(25, 350);
    let mut policy = record(0, Vec::new()).as_ref().clone().policy;
    policy.advice = Some(AdvicePolicy {
        decide_ms: 60.0,
        each_ms: 1.0,
        valid_ms: 2_000,
    });
    for number in 0..BACKLOG_JOBS {
        let tasks = 1 + u32::try_from(number % 3).unwrap_or_default();
        let cores = 2_000 + 500 * (number % 5);
        let mut waiting = record(0, vec![step(tasks, cores, 6_000, &[])])
            .as_ref()
            .clone();
        waiting.policy = policy.clone();
        waiting.accepted_ms = world.now - number;
        world.submit(&job(number), &Arc::new(waiting));
    }
    world.run_for(500);

    let mut longest_rounds: Vec<Duration> = Vec::new();
    for _ in 0..5 {
        world.longest_round = Duration::ZERO;
        world.run_for(1_000);
        longest_rounds.push(world.longest_round);
    }

    assert!(world.starts > 0, "nothing starts");
    let best = longest_rounds.into_iter().min().expect("a window");
    assert!(best <= MAX_BACKLOG_ROUND_TIME, "a round takes {best:?}");
}

#[test]
fn every_job_of_a_backlog_starts_that_a_worker_has_room_for() {
    let mut world = World::new(26, 12);
    // Nothing of the first jobs fits.
    for number in 0..2_000 {
        let mut too_large = step(1, 1_000, 500, &[]);
        too_large.need.accelerators = 5;
        world.submit(&job(number), &record(0, vec![too_large]));
    }
    for number in 2_000..2_600 {
        world.submit(&job(number), &record(2, vec![step(1, 500, 500, &[])]));
    }

    world.run_for(20_000);

    assert_eq!(world.unfinished().len(), 2_000);
}

#[test]
fn a_gang_whose_members_end_their_shares_at_different_times_is_not_moved() {
    let mut world = World::new(27, 6);
    world.gangs_end_with_slowest_member = true;
    let mut gang = step(4, 2_000, 6_000, &[]);
    gang.gang = true;
    for number in 0..2 {
        world.submit(&job(number), &record(0, vec![gang.clone()]));
    }

    world.run_for(20_000);

    assert_eq!(world.unfinished(), Vec::new());
    assert_eq!(world.starts, 2 * 4);
}
