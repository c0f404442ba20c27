//! Tests of a backlog that needs tickets from a service that handles the calls of each host one after
//! the other, when a new leader has no tickets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mangotrestle_core::id::JobId;
use mangotrestle_core::resources::Resources;
use mangotrestle_core::workflow::rank::USEFUL_OBJECTIVE_FACTOR;
use mangotrestle_core::workflow::spec::{AdvicePolicy, JobRecord};

use super::world::advice::AdviceService;
use super::world::{Violations, World, entry, job, record, step};

/// Interval at which jobs are sent and observed.
const SAMPLE_MS: u64 = 50;
/// Number of hosts that call the advice service.
const HOSTS: usize = 8;
/// Number of jobs that a new leader finds.
const BACKLOG: u64 = 200;
/// A kind of job.
#[derive(Clone, Copy)]
struct Kind {
    queue: &'static str,
    priority: u32,
    jobs_per_1000_s: u64,
    max_steps: u64,
    mean_tasks: u64,
    lasts: bool,
    run_ms: u64,
    need: Resources,
    stretch: f64,
    target_latency_ms: u64,
    decide_ms: f64,
    each_ms: f64,
    allowed_per_mille: u64,
}

const fn need(cpu_millicores: u64, memory_mib: u64) -> Resources {
    Resources {
        cpu_millicores,
        memory_mib,
        accelerators: 0,
        slots: 0,
    }
}

const SHORT: Kind = Kind {
    queue: "short",
    priority: 0,
    jobs_per_1000_s: 15_500,
    max_steps: 2,
    mean_tasks: 6,
    lasts: false,
    run_ms: 700,
    need: need(6_100, 6_200),
    stretch: 1.5,
    target_latency_ms: 250,
    decide_ms: 15.0,
    each_ms: 0.22,
    allowed_per_mille: 700,
};
const BATCH: Kind = Kind {
    queue: "batch",
    priority: 2,
    jobs_per_1000_s: 803,
    max_steps: 3,
    mean_tasks: 11,
    lasts: false,
    run_ms: 4_500,
    need: need(13_000, 24_000),
    stretch: 4.0,
    target_latency_ms: 3_000,
    decide_ms: 170.0,
    each_ms: 2.4,
    allowed_per_mille: 450,
};
const LASTING: Kind = Kind {
    queue: "lasting",
    priority: 1,
    jobs_per_1000_s: 87,
    max_steps: 1,
    mean_tasks: 6,
    lasts: true,
    run_ms: 400,
    need: need(16_000, 17_000),
    stretch: 2.2,
    target_latency_ms: 2_500,
    decide_ms: 560.0,
    each_ms: 8.0,
    allowed_per_mille: 300,
};
const MIX: [Kind; 3] = [SHORT, BATCH, LASTING];

/// A simulation with callers, and what they see.
struct Play {
    world: World,
    sent: BTreeMap<JobId, (u64, Arc<JobRecord>)>,
    first_runs: BTreeMap<JobId, u64>,
}

impl Play {
    /// Returns a simulation of 35 workers, of which each has the usual room several times over.
    fn new(seed: u64, room: u64) -> Self {
        let mut world = World::without_workers(seed, "pool");
        let mut advice = AdviceService::new(HOSTS);
        for kind in MIX {
            let allowed = &mut advice.allowed_per_mille;
            allowed.insert(kind.queue.to_owned(), kind.allowed_per_mille);
        }
        world.advice = Some(advice);
        for number in 0..35 {
            let mut entry = entry(&format!("w-{number}"), "zone", &format!("r{}", number / 5));
            let halves = [2, 2, 1, 4][number % 4];
            entry.capacity = need(32_000 * halves * room, 65_536 * halves * room);
            world.add_worker_entry(entry);
        }
        world.run_for(500);
        Self {
            world,
            sent: BTreeMap::new(),
            first_runs: BTreeMap::new(),
        }
    }

    /// Returns a random number from 1 on with this mean.
    fn random_around(&mut self, mean: u64) -> u64 {
        1 + self.world.random_below(2 * mean - 1)
    }

    fn send(&mut self, kind: &Kind, tasks: u64) {
        let steps = 1 + self.world.random_below(kind.max_steps);
        let mut specs = Vec::new();
        for index in 0..u32::try_from(steps).expect("few steps") {
            let tasks = u32::try_from(tasks).expect("few tasks");
            let after: Vec<u32> = index.checked_sub(1).into_iter().collect();
            let mut spec = step(tasks, 0, kind.run_ms, &after);
            spec.need = kind.need;
            spec.persistent = kind.lasts;
            specs.push(spec);
        }
        let mut record = record(kind.priority, specs).as_ref().clone();
        kind.queue.clone_into(&mut record.policy.queue);
        record.policy.stretch = kind.stretch;
        record.policy.target_latency_ms = kind.target_latency_ms;
        record.policy.advice = Some(AdvicePolicy {
            decide_ms: kind.decide_ms,
            each_ms: kind.each_ms,
            valid_ms: 1_500,
        });
        record.accepted_ms = self.world.now;
        let id = job(self.sent.len() as u64);
        let record = Arc::new(record);
        self.world.submit(&id, &record);
        self.sent.insert(id, (self.world.now, record));
    }

    /// Sends a backlog of the usual mix.
    fn send_backlog(&mut self) {
        let sum: u64 = MIX.iter().map(|kind| kind.jobs_per_1000_s).sum();
        for kind in MIX {
            for _ in 0..(BACKLOG * kind.jobs_per_1000_s).div_ceil(sum) {
                let tasks = self.random_around(kind.mean_tasks);
                self.send(&kind, tasks);
            }
        }
    }

    /// Lets the time pass; callers send the usual mix or nothing.
    fn run_for(&mut self, span_ms: u64, callers: bool) {
        for _ in 0..span_ms / SAMPLE_MS {
            for kind in MIX {
                let chance = self.world.random_below(1_000_000);
                if callers && chance < kind.jobs_per_1000_s * SAMPLE_MS {
                    let tasks = self.random_around(kind.mean_tasks);
                    self.send(&kind, tasks);
                }
            }
            self.world.run_for(SAMPLE_MS);
            self.observe();
        }
    }

    fn observe(&mut self) {
        let tasks = self.world.started_tasks.iter();
        let jobs: BTreeSet<&str> = tasks.filter_map(|name| name.split('.').next()).collect();
        for id in jobs {
            let id = JobId::new(id).expect("a job identifier");
            self.first_runs.entry(id).or_insert(self.world.now);
        }
    }

    /// Returns the number of urgent jobs that got no run while their result could be useful, of all
    /// whose time for it is over.
    fn late_urgent_jobs(&self) -> (usize, usize) {
        let mut due = 0;
        let mut late = 0;
        for (id, (sent_at, record)) in &self.sent {
            let useful_ms = USEFUL_OBJECTIVE_FACTOR * record.objective_ms();
            let latest = sent_at + useful_ms - record.critical_path_ms();
            if record.policy.priority == 0 && latest <= self.world.now {
                due += 1;
                let first_run = self.first_runs.get(id);
                late += usize::from(first_run.is_none_or(|&at| at > latest));
            }
        }
        (late, due)
    }
}

/// What the hosts' lines are like.
#[derive(Clone, Copy)]
struct Lines {
    path_ms: u64,
    other_calls: usize,
}

const CLEAR: Lines = Lines {
    path_ms: 0,
    other_calls: 0,
};
const SLOW_HOSTS: Lines = Lines {
    path_ms: 150,
    ..CLEAR
};
/// The other pool's leader sends as many calls as its hosts, and one more.
const SHARED: Lines = Lines {
    other_calls: HOSTS + 1,
    ..CLEAR
};
/// Time that the service takes for a call of the other pool's leader.
const OTHER_CALL_MS: u64 = 600;

impl Lines {
    /// Returns a simulation whose workers have the usual room several times over.
    fn play(self, seed: u64, room: u64) -> Play {
        let mut play = Play::new(seed, room);
        let advice = play.world.advice.as_mut().expect("the advice service");
        advice.path_ms = self.path_ms;
        advice.other_calls = self.other_calls;
        advice.other_call_ms = OTHER_CALL_MS;
        play
    }
}

/// Asserts that almost all urgent jobs get a run while their results can be useful, after changes of
/// leader one second apart.
fn assert_urgent_jobs_start_in_time(lines: Lines, changes: u32) {
    for seed in 1..=4 {
        let mut play = lines.play(seed, 1);
        play.send_backlog();

        for _ in 0..changes {
            play.world.change_leader();
            play.run_for(1_000, true);
        }
        play.run_for(5_000, true);

        let (late, due) = play.late_urgent_jobs();
        let percent = (due - late) * 100 / due;
        assert!(percent >= 98, "{late} of {due} jobs late; seed {seed}");
        assert_eq!(play.world.violations, Violations::default());
    }
}

#[test]
fn urgent_jobs_of_a_backlog_start_in_time_after_a_change_of_leader() {
    assert_urgent_jobs_start_in_time(CLEAR, 1);
}

#[test]
fn urgent_jobs_of_a_backlog_start_in_time_after_two_changes_of_leader() {
    assert_urgent_jobs_start_in_time(CLEAR, 2);
}

#[test]
fn urgent_jobs_start_in_time_although_other_hosts_take_long_to_pass_calls_on() {
    assert_urgent_jobs_start_in_time(SLOW_HOSTS, 1);
}

#[test]
fn urgent_jobs_start_in_time_beside_long_calls_of_another_pool() {
    assert_urgent_jobs_start_in_time(SHARED, 1);
}
