//! Tests of pools whose next unit does not fit their fair part of a team's cap: drawn units, runs and orders
//! of reads and writes for the protocol alone, and simulated pools with their workers.

use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::teams::shares::{
    Demand, Parts, ShareHolder, ShareRow, ShareWrite, WHOLE,
};

use super::super::world::{World, job, step};
use super::store::{ShareStore, configure, job_of, running, team};

/// Number of drawn courses.
const SEEDS: u64 = 400;
/// Number of rounds in which writes are late, lost or unanswered.
const UNCERTAIN_ROUNDS: u32 = 60;
/// Maximum number of rounds of a run.
const MAX_RUN_ROUNDS: u64 = 4;
/// Number of rounds in which each pool starts a unit, for each pool that there is.
const ROUNDS_PER_START: u32 = 30;

/// Pseudo-random numbers from a seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }

    fn parts(&mut self, least: u32, most: u32) -> u32 {
        let drawn = self.below(u64::from(most - least) + 1);
        least + u32::try_from(drawn).expect("a small number")
    }
}

/// A pool with work that never runs out.
struct ModelPool {
    name: String,
    holder: ShareHolder,
    /// Part that each of its units takes.
    unit: u32,
    /// Part that its lasting runs take.
    lasting: u32,
    /// Parts of its other runs, with the rounds that are left to them.
    runs: Vec<(u32, u64)>,
    starts: u32,
}

impl ModelPool {
    fn used(&self) -> u32 {
        self.lasting + self.runs.iter().map(|(part, _)| part).sum::<u32>()
    }

    fn demand(&self) -> Demand {
        let parts = |part| Parts([part, 0, 0]);
        Demand {
            used: parts(self.used()),
            needed: parts(self.used() + 3 * self.unit),
            lasting: parts(self.lasting),
            unit: parts(self.unit),
        }
    }

    /// Starts the units for which there is room.
    fn start(&mut self, rounds: u64) {
        loop {
            let startable = self.holder.startable(&self.name, 1).0[0];
            if self.used() + self.unit > startable {
                return;
            }
            self.runs.push((self.unit, rounds));
            self.holder.end_turn(&self.name);
            self.starts += 1;
        }
    }

    fn end_runs(&mut self) {
        for (_, left) in &mut self.runs {
            *left -= 1;
        }
        self.runs.retain(|(_, left)| *left > 0);
    }
}

/// Pools that share one cap, and the row in the store.
struct Model {
    draw: Draw,
    row: ShareRow,
    version: u64,
    pools: Vec<ModelPool>,
    late_writes: Vec<ShareWrite>,
}

impl Model {
    fn new(seed: u64, units: &[u32], lasting: &[u32]) -> Self {
        let pool = |(index, (unit, lasting)): (usize, (&u32, &u32))| ModelPool {
            name: format!("pool-{index}"),
            holder: ShareHolder::default(),
            unit: *unit,
            lasting: *lasting,
            runs: Vec::new(),
            starts: 0,
        };
        let pools = units.iter().zip(lasting).enumerate().map(pool);
        Self {
            draw: Draw(seed),
            row: ShareRow::default(),
            version: 0,
            pools: pools.collect(),
            late_writes: Vec::new(),
        }
    }

    fn carry_out(&mut self, write: ShareWrite) -> bool {
        let is_due = write.expected_version == self.version;
        if is_due {
            self.row = write.row;
            self.version += 1;
        }
        is_due
    }

    /// Has each pool read the row, write it and start what it has room for. With `is_certain`, all writes
    /// are answered at once.
    fn round(&mut self, is_certain: bool) {
        let pools = u32::try_from(self.pools.len()).expect("few pools");
        for index in 0..self.pools.len() {
            if is_certain || self.draw.below(3) > 0 {
                let pool = &mut self.pools[index];
                pool.holder.observe(self.row.clone(), self.version);
            }
            let pool = &mut self.pools[index];
            let demand = pool.demand();
            if let Some(write) = pool.holder.propose(&pool.name, 1, &demand, pools) {
                let fate = if is_certain { 0 } else { self.draw.below(4) };
                if fate == 2 {
                    self.late_writes.push(write);
                } else if fate < 2 && self.carry_out(write) && fate == 0 {
                    let pool = &mut self.pools[index];
                    pool.holder.observe(self.row.clone(), self.version);
                }
            }
            if !is_certain && !self.late_writes.is_empty() && self.draw.below(2) == 0 {
                let write = self.late_writes.remove(0);
                self.carry_out(write);
            }
            let rounds = 1 + self.draw.below(MAX_RUN_ROUNDS);
            self.pools[index].start(rounds);
            self.assert_within_cap();
        }
        for pool in &mut self.pools {
            pool.end_runs();
        }
    }

    fn assert_within_cap(&self) {
        let used: u32 = self.pools.iter().map(ModelPool::used).sum();
        assert!(used <= WHOLE, "{used} of {WHOLE}: {:?}", self.row);
    }

    fn starts(&self) -> Vec<u32> {
        self.pools.iter().map(|pool| pool.starts).collect()
    }
}

/// Guards against pools that hold parts of a cap with which none of them can start anything, and against
/// large units that wait for good behind small ones.
#[test]
fn every_pool_starts_units_that_fit_the_cap_whatever_was_written_before() {
    for seed in 0..SEEDS {
        let mut draw = Draw(seed);
        let pools = 2 + usize::try_from(draw.below(4)).expect("few pools");
        let units: Vec<u32> = (0..pools).map(|_| draw.parts(300, WHOLE)).collect();
        let mut model = Model::new(seed, &units, &vec![0; pools]);
        for _ in 0..UNCERTAIN_ROUNDS {
            model.round(false);
        }

        for _ in 0..3 {
            let before = model.starts();
            for _ in 0..ROUNDS_PER_START * u32::try_from(pools).expect("few pools") {
                model.round(true);
            }
            let after = model.starts();

            let started = before
                .iter()
                .zip(&after)
                .map(|(before, after)| after - before);
            let started: Vec<u32> = started.collect();
            assert!(
                started.iter().all(|starts| *starts > 0),
                "seed {seed}, units {units:?}: {started:?} starts, {:?}",
                model.row
            );
        }
    }
}

/// Guards against a turn that keeps others from what is left of a cap although its unit can't start
/// beside the runs that last.
#[test]
fn a_unit_that_does_not_fit_beside_lasting_runs_keeps_no_other_pool_from_its_own() {
    let lasting = [0, 3_000, 3_000];
    let units = [6_000, 1_000, 3_500];
    for seed in 0..SEEDS {
        let mut model = Model::new(seed, &units, &[0; 3]);
        for _ in 0..UNCERTAIN_ROUNDS {
            model.round(false);
        }
        for pool in &mut model.pools {
            pool.runs.clear();
        }
        // The lasting runs begin within what their pools hold.
        for _ in 0..ROUNDS_PER_START {
            model.round(true);
            for (pool, lasting) in model.pools.iter_mut().zip(lasting) {
                let usable = pool.holder.usable(&pool.name, 1).0[0];
                let free = usable.saturating_sub(pool.used());
                pool.lasting += (lasting - pool.lasting).min(free);
            }
        }

        let before = model.starts();
        for _ in 0..2 * ROUNDS_PER_START {
            model.round(true);
        }
        let after = model.starts();

        assert!(
            after[1] > before[1] && after[2] > before[2],
            "seed {seed}: {before:?} to {after:?}, {:?}",
            model.row
        );
    }
}

/// Guards against turns, and with them more writes, where each unit fits the fair part of its pool.
#[test]
fn no_pool_takes_a_turn_while_units_fit_the_fair_parts() {
    for seed in 0..SEEDS {
        let mut draw = Draw(seed);
        let pools = 2 + usize::try_from(draw.below(3)).expect("few pools");
        let fair = WHOLE / u32::try_from(pools).expect("few pools");
        let units: Vec<u32> = (0..pools).map(|_| draw.parts(100, fair)).collect();
        let mut model = Model::new(seed, &units, &vec![0; pools]);

        for round in 0..2 * UNCERTAIN_ROUNDS {
            model.round(round % 3 > 0);

            assert_eq!(model.row.next_in_turn(), None, "seed {seed}, {units:?}");
        }
    }
}

/// Returns pools of four workers of 8 cores each, whose only team may have `cap_cores` running.
fn simulated_pools(names: &[&str], cap_cores: u64) -> (Vec<World>, ShareStore) {
    let mut pools: Vec<World> = (1..)
        .zip(names)
        .map(|(seed, name)| World::without_workers(seed, name))
        .collect();
    for world in &mut pools {
        for number in 0..4 {
            world.add_worker(&format!("w-{number}"));
        }
    }
    configure(&mut pools, &[team("red", 100.0, cap_cores)]);
    (pools, ShareStore::new())
}

/// Submits one job of one task to each pool.
fn submit_to_each(pools: &mut [World], first: u64, cpu_millicores: u64, task_ms: u64) {
    for (number, world) in (first..).zip(pools) {
        let record = job_of(world, "red", 1, vec![step(1, cpu_millicores, task_ms, &[])]);
        world.submit(&job(number), &record);
    }
}

fn ends(pools: &[World], first: u64) -> Vec<Option<JobState>> {
    let numbered = (first..).zip(pools);
    numbered
        .map(|(number, world)| world.end_of(&job(number)))
        .collect()
}

/// Guards against two large jobs of one team in two services that wait for each other for good.
#[test]
fn large_jobs_of_a_team_in_several_pools_run_one_after_the_other() {
    for (names, cpu_millicores) in [
        (&["first", "second"][..], 6_000),
        (&["first", "second", "third"][..], 4_000),
    ] {
        let (mut pools, mut store) = simulated_pools(names, 10);
        submit_to_each(&mut pools, 100, 1_000, 500);
        store.run_for(&mut pools, 300, |_| {});

        submit_to_each(&mut pools, 1, cpu_millicores, 600);
        let mut most = 0;
        store.run_for(&mut pools, 6_000, |pools| most = most.max(running(pools)));

        let completed = vec![Some(JobState::Completed); names.len()];
        assert_eq!(ends(&pools, 1), completed, "{cpu_millicores} of 10,000");
        assert!(most <= names.len(), "{most} run");
    }
}

/// Guards against a large job that waits for good behind small ones of its team in another pool, which
/// hold half of the cap all the while; and against the reverse.
#[test]
fn a_large_job_and_small_ones_of_another_pool_both_go_on() {
    let (mut pools, mut store) = simulated_pools(&["first", "second"], 8);
    for number in 100..400 {
        let record = job_of(&pools[1], "red", 1, vec![step(1, 1_000, 400, &[])]);
        pools[1].submit(&job(number), &record);
    }
    store.run_for(&mut pools, 1_000, |_| {});

    for number in 1..=3 {
        let record = job_of(&pools[0], "red", 1, vec![step(1, 8_000, 400, &[])]);
        pools[0].submit(&job(number), &record);
    }
    let starts_before = pools[1].starts;
    store.run_for(&mut pools, 12_000, |_| {});

    let large = [1, 2, 3].map(|number| pools[0].end_of(&job(number)));
    assert_eq!(large, [Some(JobState::Completed); 3]);
    assert!(pools[1].starts > starts_before + 40, "{}", pools[1].starts);
}

/// Guards against a part of a cap that is kept for a unit that no worker can run.
#[test]
fn a_unit_without_a_worker_keeps_the_cap_from_others_for_a_moment_only() {
    let (mut pools, mut store) = simulated_pools(&["first", "second"], 8);
    let mut nowhere = step(1, 8_000, 400, &[]);
    nowhere.constraint = Some("a-label-of-no-worker".to_owned());
    let record = job_of(&pools[0], "red", 1, vec![nowhere]);
    pools[0].submit(&job(1), &record);
    for number in 100..300 {
        let record = job_of(&pools[1], "red", 1, vec![step(1, 1_000, 400, &[])]);
        pools[1].submit(&job(number), &record);
    }

    store.run_for(&mut pools, 12_000, |_| {});

    let completed = (100..300).filter(|number| pools[1].end_of(&job(*number)).is_some());
    let completed = completed.count();
    assert!(completed >= 90, "{completed} are completed");
}

/// Guards against a part of a cap that is claimed for a job that was cancelled, since nothing waits in its
/// pool any more.
#[test]
fn a_job_that_was_cancelled_while_it_waited_claims_no_part_of_the_cap() {
    let (mut pools, mut store) = simulated_pools(&["first", "second"], 8);
    for number in 100..400 {
        let record = job_of(&pools[1], "red", 1, vec![step(1, 1_000, 400, &[])]);
        pools[1].submit(&job(number), &record);
    }
    store.run_for(&mut pools, 1_000, |_| {});
    let record = job_of(&pools[0], "red", 1, vec![step(1, 8_000, 400, &[])]);
    pools[0].submit(&job(1), &record);
    store.run_for(&mut pools, 200, |_| {});

    pools[0].cancel(&job(1));
    store.run_for(&mut pools, 3_000, |_| {});
    let mut most = 0;
    store.run_for(&mut pools, 2_000, |pools| {
        most = most.max(running(&pools[1..]));
    });

    assert_eq!(most, 8);
}

/// Guards against jobs that wait behind a unit that takes more than a cap that has shrunk.
#[test]
fn a_unit_that_takes_more_than_a_shrunk_cap_holds_up_no_other_work_of_its_team() {
    let (mut pools, mut store) = simulated_pools(&["first", "second"], 8);
    let record = job_of(&pools[1], "red", 1, vec![step(1, 8_000, 3_000, &[])]);
    pools[1].submit(&job(1), &record);
    store.run_for(&mut pools, 500, |_| {});
    let record = job_of(&pools[0], "red", 1, vec![step(1, 6_000, 400, &[])]);
    pools[0].submit(&job(2), &record);
    let record = job_of(&pools[0], "red", 2, vec![step(1, 1_000, 400, &[])]);
    pools[0].submit(&job(3), &record);

    configure(&mut pools, &[team("red", 100.0, 4)]);
    store.run_for(&mut pools, 8_000, |_| {});

    let ends = [2, 3].map(|number| pools[0].end_of(&job(number)));
    assert_eq!(ends, [None, Some(JobState::Completed)]);
}
