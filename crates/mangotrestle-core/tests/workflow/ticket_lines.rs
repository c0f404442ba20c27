//! Tests of a backlog that needs tickets from a service that handles the calls of each host one after
//! the other, when a new leader has no tickets.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mangotrestle_core::id::JobId;
use mangotrestle_core::resources::Resources;
use mangotrestle_core::workflow::job::StepKey;
use mangotrestle_core::workflow::rank::USEFUL_OBJECTIVE_FACTOR;
use mangotrestle_core::workflow::spec::{AdvicePolicy, JobRecord};

use super::world::advice::AdviceService;
use super::world::processor::Processor;
use super::world::{Violations, World, entry, job, record, step};

/// Interval at which jobs are sent and observed.
const SAMPLE_MS: u64 = 50;
/// Number of hosts that call the advice service.
const HOSTS: usize = 8;
/// Number of jobs that a new leader finds.
const BACKLOG: u64 = 200;
/// Time for which a job that could run may wait.
const MAX_IDLE_MS: u64 = 3_000;
/// Time after which no job may be lost once callers are gone.
const FINISH_MS: u64 = 14_000;

/// A kind of job.
#[derive(Clone, Copy)]
struct Kind {
    queue: &'static str,
    priority: u32,
    jobs_per_1000_s: u64,
    max_steps: u64,
    mean_tasks: u64,
    gang: bool,
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
    gang: false,
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
    gang: false,
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
    gang: false,
    lasts: true,
    run_ms: 400,
    need: need(16_000, 17_000),
    stretch: 2.2,
    target_latency_ms: 2_500,
    decide_ms: 560.0,
    each_ms: 8.0,
    allowed_per_mille: 300,
};
const GANG: Kind = Kind {
    queue: "gang",
    priority: 1,
    jobs_per_1000_s: 1_180,
    max_steps: 1,
    mean_tasks: 3,
    gang: true,
    lasts: false,
    run_ms: 5_600,
    need: need(31_000, 130_000),
    stretch: 2.2,
    target_latency_ms: 1_000,
    decide_ms: 560.0,
    each_ms: 8.0,
    allowed_per_mille: 300,
};
const WIDE: Kind = Kind {
    queue: "wide",
    priority: 2,
    jobs_per_1000_s: 1_900,
    max_steps: 1,
    mean_tasks: 6,
    gang: false,
    lasts: false,
    run_ms: 2_400,
    need: Resources {
        accelerators: 1,
        ..need(5_600, 29_000)
    },
    stretch: 4.0,
    target_latency_ms: 3_000,
    decide_ms: 140.0,
    each_ms: 2.0,
    allowed_per_mille: 450,
};
const MIX: [Kind; 3] = [SHORT, BATCH, LASTING];

/// A simulation with callers, and what they see.
struct Play {
    world: World,
    sent: BTreeMap<JobId, (u64, Arc<JobRecord>)>,
    first_runs: BTreeMap<JobId, u64>,
    /// A gang, and the longest time for which it has waited although it could run.
    gang: Option<JobId>,
    idle_ms: u64,
    longest_idle_ms: u64,
}

impl Play {
    /// Returns a simulation of 35 workers, of which each has the usual room several times over.
    fn new(seed: u64, room: u64) -> Self {
        let capacity = |number: usize| {
            let halves = [2, 2, 1, 4][number % 4];
            need(32_000 * halves * room, 65_536 * halves * room)
        };
        Self::with_workers(seed, (0..35).map(capacity))
    }

    /// Returns a simulation of the smaller pool: 13 workers with eight accelerators each.
    fn of_smaller_pool(seed: u64) -> Self {
        let capacity = Resources {
            accelerators: 8,
            ..need(64_000, 262_144)
        };
        Self::with_workers(seed, std::iter::repeat_n(capacity, 13))
    }

    fn with_workers(seed: u64, capacities: impl Iterator<Item = Resources>) -> Self {
        let mut world = World::without_workers(seed, "pool");
        let mut advice = AdviceService::new(HOSTS);
        for kind in [SHORT, BATCH, LASTING, GANG, WIDE] {
            let allowed = &mut advice.allowed_per_mille;
            allowed.insert(kind.queue.to_owned(), kind.allowed_per_mille);
        }
        world.advice = Some(advice);
        for (number, capacity) in capacities.enumerate() {
            let mut entry = entry(&format!("w-{number}"), "zone", &format!("r{}", number / 5));
            entry.capacity = capacity;
            world.add_worker_entry(entry);
        }
        world.run_for(500);
        Self {
            world,
            sent: BTreeMap::new(),
            first_runs: BTreeMap::new(),
            gang: None,
            idle_ms: 0,
            longest_idle_ms: 0,
        }
    }

    /// Returns a random number from 1 on with this mean.
    fn random_around(&mut self, mean: u64) -> u64 {
        1 + self.world.random_below(2 * mean - 1)
    }

    fn send(&mut self, kind: &Kind, tasks: u64) -> JobId {
        let steps = 1 + self.world.random_below(kind.max_steps);
        let mut specs = Vec::new();
        for index in 0..u32::try_from(steps).expect("few steps") {
            let tasks = u32::try_from(tasks).expect("few tasks");
            let after: Vec<u32> = index.checked_sub(1).into_iter().collect();
            let mut spec = step(tasks, 0, kind.run_ms, &after);
            spec.need = kind.need;
            spec.gang = kind.gang;
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
        self.sent.insert(id.clone(), (self.world.now, record));
        id
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
        let gang = self.gang.as_ref();
        let waits = gang.is_some_and(|id| !self.first_runs.contains_key(id) && self.could_run(id));
        self.idle_ms = if waits { self.idle_ms + SAMPLE_MS } else { 0 };
        self.longest_idle_ms = self.longest_idle_ms.max(self.idle_ms);
    }

    /// Whether the workers that are allowed for a job's first step have room for it twice over, and
    /// less than half of all room is in use.
    fn could_run(&self, id: &JobId) -> bool {
        let spec = &self.sent[id].1.steps[0];
        let key = StepKey {
            job: id.clone(),
            occurrence: 0,
            step: 0,
        };
        let (mut used, mut all) = (Resources::ZERO, Resources::ZERO);
        let mut room = 0;
        for (worker, model) in &self.world.workers {
            let capacity = model.entry.capacity;
            used += model.used();
            all += capacity;
            if self.world.allows(&key, worker) {
                let mut free = capacity - model.used();
                while let Some(left) = free.checked_sub(&spec.need) {
                    free = left;
                    room += 1;
                }
            }
        }
        let is_half_free = (used + used).fits_in(&all);
        is_half_free && room >= 2 * spec.unit_size()
    }

    /// Lets the time pass without callers. Returns the number of jobs that waited too long although
    /// they could run.
    fn jobs_left_idle(&mut self, span_ms: u64) -> usize {
        let mut idle_ms: BTreeMap<JobId, u64> = BTreeMap::new();
        let mut left_idle: BTreeSet<JobId> = BTreeSet::new();
        for _ in 0..span_ms / SAMPLE_MS {
            self.run_for(SAMPLE_MS, false);
            for id in self.sent.keys() {
                let waits = !self.first_runs.contains_key(id) && self.could_run(id);
                let idle_ms = idle_ms.entry(id.clone()).or_default();
                *idle_ms = if waits { *idle_ms + SAMPLE_MS } else { 0 };
                if *idle_ms > MAX_IDLE_MS {
                    left_idle.insert(id.clone());
                }
            }
        }
        left_idle.len()
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

/// What the hosts and their lines are like.
#[derive(Clone, Copy)]
struct Lines {
    path_ms: u64,
    other_calls: usize,
    /// Part of a core that the leader's host has; its work takes no time if unset.
    core_share: Option<f64>,
    leader_is_late: bool,
}

const CLEAR: Lines = Lines {
    leader_is_late: false,
    path_ms: 0,
    other_calls: 0,
    core_share: None,
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
const LATE_BEHIND_SLOW_HOSTS: Lines = Lines {
    leader_is_late: true,
    ..SLOW_HOSTS
};
const SMALL_HOST: Lines = Lines {
    core_share: Some(0.25),
    ..CLEAR
};
const SLOW_LEADER: Lines = Lines {
    core_share: Some(0.05),
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
        advice.leader_is_late = self.leader_is_late;
        play.world.processor = self.core_share.map(Processor::new);
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
fn urgent_jobs_of_a_late_leader_start_in_time_although_other_hosts_take_long() {
    assert_urgent_jobs_start_in_time(LATE_BEHIND_SLOW_HOSTS, 1);
}

#[test]
fn urgent_jobs_start_in_time_beside_long_calls_of_another_pool() {
    assert_urgent_jobs_start_in_time(SHARED, 1);
}

#[test]
fn urgent_jobs_start_in_time_although_the_leader_has_a_quarter_of_a_core() {
    assert_urgent_jobs_start_in_time(SMALL_HOST, 1);
}

/// Asserts that no gang of two to eight waits too long with room free, after changes of leader one
/// second apart.
fn assert_gangs_start(lines: Lines, changes: u32, callers: bool) {
    for members in 2..=8 {
        let mut play = lines.play(members, 4);
        play.send_backlog();
        play.gang = Some(play.send(&GANG, members));

        for _ in 0..changes {
            play.world.change_leader();
            play.run_for(1_000, callers);
        }
        play.run_for(4_000, callers);

        let (idle_ms, seed) = (play.longest_idle_ms, members);
        assert!(
            idle_ms <= MAX_IDLE_MS,
            "gang of {members} idle for {idle_ms} ms; seed {seed}"
        );
        assert_eq!(play.world.violations, Violations::default());
    }
}

#[test]
fn gangs_do_not_wait_with_room_free_after_a_change_of_leader() {
    assert_gangs_start(CLEAR, 1, true);
}

#[test]
fn gangs_do_not_wait_with_room_free_once_callers_are_gone() {
    assert_gangs_start(CLEAR, 1, false);
}

#[test]
fn gangs_do_not_wait_with_room_free_after_two_changes_of_leader() {
    assert_gangs_start(CLEAR, 2, true);
}

#[test]
fn gangs_do_not_wait_with_room_free_although_other_hosts_take_long_to_pass_calls_on() {
    assert_gangs_start(SLOW_HOSTS, 1, true);
}

#[test]
fn gangs_do_not_wait_behind_slow_hosts_once_callers_are_gone() {
    assert_gangs_start(SLOW_HOSTS, 1, false);
}

#[test]
fn gangs_do_not_wait_with_room_free_beside_long_calls_of_another_pool() {
    assert_gangs_start(SHARED, 1, true);
}

#[test]
fn gangs_do_not_wait_beside_another_pool_once_callers_are_gone() {
    assert_gangs_start(SHARED, 1, false);
}

#[test]
fn gangs_do_not_wait_for_a_slow_leader_once_callers_are_gone() {
    assert_gangs_start(SLOW_LEADER, 1, false);
}

/// Asserts that no job is lost once callers have been gone for a while: none waits for its first run
/// although it could run.
fn assert_no_job_is_lost(lines: Lines) {
    let mut play = lines.play(1, 4);
    play.send_backlog();
    play.world.change_leader();
    play.run_for(5_000, true);
    play.run_for(FINISH_MS, false);

    let waiting = play.sent.keys();
    let waiting = waiting.filter(|id| !play.first_runs.contains_key(*id));
    let mut lost: Vec<JobId> = waiting.cloned().collect();
    for _ in 0..MAX_IDLE_MS / SAMPLE_MS {
        lost.retain(|id| !play.first_runs.contains_key(id) && play.could_run(id));
        play.run_for(SAMPLE_MS, false);
    }
    lost.retain(|id| !play.first_runs.contains_key(id));

    assert_eq!(lost.len(), 0, "jobs of {} lost", play.sent.len());
}

#[test]
fn no_job_is_lost_through_slow_hosts() {
    assert_no_job_is_lost(SLOW_HOSTS);
}

#[test]
fn no_job_is_lost_beside_long_calls_of_another_pool() {
    assert_no_job_is_lost(SHARED);
}

/// Returns a simulation of the smaller pool after a change of leader with gangs, and with other jobs
/// if there are any.
fn smaller_pool(seed: u64, gangs: u64, others: u64) -> Play {
    let mut play = Play::of_smaller_pool(seed);
    for number in 0..gangs {
        let mut kind = GANG;
        kind.need.accelerators = [2, 4, 8, 8][usize::try_from(number % 4).expect("below four")];
        let members = play.random_around(3);
        play.send(&kind, members);
    }
    for _ in 0..others {
        let tasks = play.random_around(WIDE.mean_tasks);
        play.send(&WIDE, tasks);
    }
    play.world.change_leader();
    play
}

fn assert_no_job_is_left_idle(seeds: std::ops::RangeInclusive<u64>, gangs: u64, others: u64) {
    for seed in seeds {
        let mut play = smaller_pool(seed, gangs, others);

        let left_idle = play.jobs_left_idle(10_000);

        assert_eq!(
            left_idle,
            0,
            "jobs of {} left idle; seed {seed}",
            gangs + others
        );
    }
}

#[test]
fn no_gang_of_the_smaller_pool_waits_with_room_free_after_a_change_of_leader() {
    assert_no_job_is_left_idle(1..=4, 32, 0);
}

#[test]
fn no_job_of_the_smaller_pool_waits_with_room_free_after_a_change_of_leader() {
    assert_no_job_is_left_idle(1..=4, 38, 62);
}

#[test]
fn no_gang_of_the_smaller_pool_waits_behind_reservations_of_others() {
    assert_no_job_is_left_idle(14..=16, 32, 0);
}

/// Asserts that requests for urgent steps with room free are sent at half the rate at least at which
/// the lines can answer them, each with one call of the other pool ahead if it sends any.
fn assert_lines_are_used(lines: Lines) {
    const URGENT_JOBS: u64 = 800;
    const CALL_MS: u64 = 23;
    let mut play = lines.play(1, 16);
    for _ in 0..URGENT_JOBS {
        play.send(&SHORT, 1);
    }
    play.world.change_leader();

    play.run_for(1_000, false);

    let other_ms = if lines.other_calls > 0 {
        OTHER_CALL_MS
    } else {
        0
    };
    let answerable = HOSTS as u64 * (1_000 - other_ms) / CALL_MS;
    let requests = u64::from(play.world.ticket_requests);
    assert!(
        requests >= answerable / 2,
        "{requests} requests, {answerable} answerable"
    );
}

#[test]
fn steps_with_room_are_asked_for_at_the_rate_of_the_lines() {
    assert_lines_are_used(CLEAR);
}

#[test]
fn steps_with_room_are_asked_for_at_the_rate_of_the_lines_through_slow_hosts() {
    assert_lines_are_used(SLOW_HOSTS);
}

#[test]
fn steps_with_room_are_asked_for_at_the_rate_that_another_pool_leaves() {
    assert_lines_are_used(SHARED);
}
