//! A divided service: several pools, each with a leader, rows and workers of its own, and the calls
//! between their leaders, which are lost, delayed and repeated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use mangotrestle_core::id::JobId;
use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::division::Division;
use mangotrestle_core::workflow::leadership::PoolSummary;
use mangotrestle_core::workflow::message::WorkerEntry;
use mangotrestle_core::workflow::pool::Order;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{JobPools, JobRecord};

use super::{STEP_MS, Violations, World, entry};

/// Time that a call between two leaders takes.
const CALL_LATENCY_MS: u64 = 5;
/// Time after which a call without an answer counts as lost.
const CALL_TIMEOUT_MS: u64 = 400;
/// Interval between the summaries that a leader publishes.
const SUMMARY_INTERVAL_MS: u64 = 500;

/// A call from the leader of one pool to that of another.
struct Call {
    arrives_at: u64,
    from: String,
    order: Order,
    /// Whether the answer is lost.
    lost: bool,
}

/// A hand-over that arrived and whose acceptance is not durable yet.
struct OpenHandover {
    from: String,
    to: String,
    job: JobId,
    gives_up_at: u64,
    lost: bool,
}

/// A service whose workers are divided into pools.
pub struct DividedService {
    /// The pools by their names.
    pub pools: BTreeMap<String, World>,
    calls: Vec<Call>,
    open_handovers: Vec<OpenHandover>,
    summaries: BTreeMap<String, PoolSummary>,
    /// Calls per thousand that are carried out and not answered.
    pub lost_answers_per_mille: u64,
    /// Calls per thousand that arrive seconds later, after their caller has given up.
    pub late_calls_per_mille: u64,
    random: u64,
}

/// Returns the entries of a service's workers, spread over six availability zones with twelve workers
/// on a rack.
pub fn entries(workers: u32) -> Vec<WorkerEntry> {
    let numbers = 0..workers;
    numbers
        .map(|number| {
            let (zone, rack) = (number % 6, number / 72);
            entry(
                &format!("w-{number}"),
                &format!("zone-{zone}"),
                &format!("r{zone}-{rack}"),
            )
        })
        .collect()
}

impl DividedService {
    /// Returns a service of this name whose workers are divided.
    pub fn of(seed: u64, service: &str, division: &Division, workers: Vec<WorkerEntry>) -> Self {
        let worlds = division.pool_names(service).map(|name| {
            let world = World::without_workers(seed, &name);
            (name, world)
        });
        let mut pools: BTreeMap<String, World> = worlds.collect();
        for entry in workers {
            let pool = division.pool_of(service, &entry);
            let world = pools.get_mut(&pool).expect("the worker's pool");
            world.add_worker_entry(entry);
        }
        Self::new(seed, pools)
    }

    /// Returns a service with these pools.
    pub fn new(seed: u64, pools: BTreeMap<String, World>) -> Self {
        Self {
            pools,
            calls: Vec::new(),
            open_handovers: Vec::new(),
            summaries: BTreeMap::new(),
            lost_answers_per_mille: 0,
            late_calls_per_mille: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
        }
    }

    /// Returns a pseudo-random number below a bound.
    pub fn random_below(&mut self, bound: u64) -> u64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        self.random % bound.max(1)
    }

    /// Returns the current time in milliseconds.
    pub fn now(&self) -> u64 {
        self.pools.values().next().expect("a pool").now
    }

    /// Returns the summary that a pool's leader last published.
    pub fn summary(&self, pool: &str) -> Option<&PoolSummary> {
        self.summaries.get(pool)
    }

    /// Submits a job to the leader of its home pool.
    pub fn submit_to_leader(
        &mut self,
        home: &str,
        id: &JobId,
        record: &JobRecord,
        pools: Option<JobPools>,
    ) {
        let record = JobRecord {
            pools,
            ..record.clone()
        };
        let world = self.pools.get_mut(home).expect("the home pool");
        world.submit_to_leader(id, &Arc::new(record));
    }

    /// Accepts a job durably in its home pool, unless it has been accepted.
    pub fn submit_if_new(
        &mut self,
        home: &str,
        id: &JobId,
        record: &JobRecord,
        pools: Option<JobPools>,
    ) {
        if !self.pools[home].has_accepted(id) {
            self.submit(home, id, record, pools);
        }
    }

    /// Accepts a job durably in its home pool.
    pub fn submit(&mut self, home: &str, id: &JobId, record: &JobRecord, pools: Option<JobPools>) {
        let record = JobRecord {
            pools,
            ..record.clone()
        };
        let world = self.pools.get_mut(home).expect("the home pool");
        world.submit(id, &Arc::new(record));
    }

    /// Returns the state of a job as callers see it, asked for in its home pool.
    pub fn state(&self, home: &str, id: &JobId) -> Option<JobState> {
        let world = &self.pools[home];
        match world.pool.handed_over_to(id) {
            Some(other) => Some(state_in(&self.pools[other], id).unwrap_or(JobState::Queued)),
            None => state_in(world, id),
        }
    }

    /// Cancels a job durably in its home pool.
    pub fn cancel(&mut self, home: &str, id: &JobId) {
        let world = self.pools.get_mut(home).expect("the home pool");
        world.cancel(id);
    }

    /// Replaces the leader of a pool. Its predecessor answers no call any more.
    pub fn change_leader(&mut self, pool: &str) {
        let world = self.pools.get_mut(pool).expect("the pool");
        world.change_leader();
        for open in &mut self.open_handovers {
            open.lost |= open.from == pool;
        }
        for call in &mut self.calls {
            call.lost |= call.from == pool;
        }
    }

    /// Advances the time in steps of five milliseconds.
    pub fn run_for(&mut self, span_ms: u64) {
        let end = self.now() + span_ms;
        while self.now() < end {
            for world in self.pools.values_mut() {
                world.run_for(STEP_MS);
            }
            self.publish_summaries();
            self.send_calls();
            self.deliver_calls();
            self.answer_handovers();
        }
    }

    fn publish_summaries(&mut self) {
        if !self.now().is_multiple_of(SUMMARY_INTERVAL_MS) {
            return;
        }
        let summaries = self.pools.iter();
        self.summaries = summaries
            .map(|(name, world)| (name.clone(), world.pool.summary(TimeMs(world.now))))
            .collect();
    }

    fn send_calls(&mut self) {
        let now = self.now();
        let mut sent: Vec<(String, Order)> = Vec::new();
        for (name, world) in &mut self.pools {
            let orders = world.orders_to_pools.drain(..);
            sent.extend(orders.map(|order| (name.clone(), order)));
        }
        for (from, order) in sent {
            let late = self.random_below(1_000) < self.late_calls_per_mille;
            let lost = late || self.random_below(1_000) < self.lost_answers_per_mille;
            if lost {
                self.fail(&from, &order);
            }
            let delay = if late {
                1_000 + self.random_below(6_000)
            } else {
                CALL_LATENCY_MS
            };
            self.calls.push(Call {
                arrives_at: now + delay,
                from,
                order,
                lost,
            });
        }
    }

    /// Tells a leader that its call was not answered.
    fn fail(&mut self, from: &str, order: &Order) {
        let now = TimeMs(self.now());
        let pool = &mut self.pools.get_mut(from).expect("the caller").pool;
        match order {
            Order::HandOver { pool: to, job, .. } => pool.handed_over(now, job, to, false),
            Order::CancelElsewhere { pool: to, job } => {
                pool.cancelled_elsewhere(now, job, to, false);
            }
            Order::QueryElsewhere { pool: to, jobs } => {
                let states: Vec<_> = jobs.iter().map(|job| (job.clone(), None)).collect();
                pool.states_elsewhere(now, to, &states);
            }
            _ => {}
        }
    }

    fn deliver_calls(&mut self) {
        let now = self.now();
        let calls = std::mem::take(&mut self.calls);
        let (due, later): (Vec<Call>, Vec<Call>) =
            calls.into_iter().partition(|call| call.arrives_at <= now);
        self.calls = later;
        for call in due {
            self.deliver(call);
        }
    }

    fn deliver(&mut self, call: Call) {
        let now = TimeMs(self.now());
        let Call {
            from, order, lost, ..
        } = call;
        match order {
            Order::HandOver { pool, job, record } => {
                let world = self.pools.get_mut(&pool).expect("the other pool");
                world.submit_to_leader(&job, &record);
                self.open_handovers.push(OpenHandover {
                    from,
                    to: pool,
                    job,
                    gives_up_at: now.0 + CALL_TIMEOUT_MS,
                    lost,
                });
            }
            Order::CancelElsewhere { pool, job } => {
                let world = self.pools.get_mut(&pool).expect("the other pool");
                let is_durable = state_in(world, &job).is_some();
                world.cancel(&job);
                if !lost {
                    let caller = &mut self.pools.get_mut(&from).expect("the caller").pool;
                    caller.cancelled_elsewhere(now, &job, &pool, is_durable);
                }
            }
            Order::QueryElsewhere { pool, jobs } => {
                let world = &self.pools[&pool];
                let states: Vec<_> = jobs
                    .into_iter()
                    .map(|job| {
                        let state = state_in(world, &job);
                        (job, state)
                    })
                    .collect();
                if !lost {
                    let caller = &mut self.pools.get_mut(&from).expect("the caller").pool;
                    caller.states_elsewhere(now, &pool, &states);
                }
            }
            _ => {}
        }
    }

    /// Answers the hand-overs whose acceptance is durable, and gives others up.
    fn answer_handovers(&mut self) {
        let now = self.now();
        for open in std::mem::take(&mut self.open_handovers) {
            let is_durable = self.pools[&open.to].has_accepted(&open.job);
            if !is_durable && now < open.gives_up_at {
                self.open_handovers.push(open);
                continue;
            }
            if !open.lost {
                let caller = &mut self.pools.get_mut(&open.from).expect("the caller").pool;
                caller.handed_over(TimeMs(now), &open.job, &open.to, is_durable);
            }
        }
    }

    /// Returns the violations in all pools, and the number of tasks that started in more than one.
    pub fn violations(&self) -> (Vec<Violations>, usize) {
        let violations = self.pools.values().map(|world| world.violations.clone());
        let mut seen: BTreeSet<&String> = BTreeSet::new();
        let started = self.pools.values().flat_map(|world| &world.started_tasks);
        let in_several = started.filter(|task| !seen.insert(*task)).count();
        (violations.collect(), in_several)
    }

    /// Checks that no invariant was violated.
    pub fn assert_no_violations(&self) {
        let (violations, in_several) = self.violations();
        for (name, violations) in self.pools.keys().zip(violations) {
            assert_eq!(violations, Violations::default(), "in {name}");
        }
        assert_eq!(in_several, 0, "tasks that started in several pools");
    }
}

/// Returns the state of a job in one pool, from its leader or from its rows.
fn state_in(world: &World, id: &JobId) -> Option<JobState> {
    world.pool.state(id).or_else(|| world.end_of(id))
}
