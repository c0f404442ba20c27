//! Random faults in the lease protocol, in virtual time, reproducible by seed.
//!
//! Five workers, three leaders, six tasks. CI runs a fixed set of seeds. A larger manual run:
//! `LEASE_SEEDS=200 LEASE_EVENTS=5000 cargo test --release -p mangotrestle-core --test lease_faults
//! -- --nocapture`; `LEASE_SEED` sets the first seed.
//!
//! Each mutation disables one safeguard, and the same driver has to detect the violation.

// The test `lease_exploration` uses parts of the module that this test does not.
#[allow(dead_code)]
mod lease_world;

use lease_world::{
    Action, FAST_MS_PER_STEP, Link, Mutation, NORMAL_MS_PER_STEP, Shape, Table, World,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SHAPE: Shape = Shape {
    leaders: 3,
    workers: 5,
    tasks: 6,
    leader_rates: [NORMAL_MS_PER_STEP, FAST_MS_PER_STEP, NORMAL_MS_PER_STEP],
    worker_rate: NORMAL_MS_PER_STEP,
    mutation: Mutation::None,
};

/// Maximum number of steps after the last fault until every task has to run.
const MAX_RECOVERY_STEPS: u32 = 80;

#[derive(Debug, Default)]
struct Outcome {
    events: u64,
    starts: u64,
    violation: Option<String>,
}

fn run(shape: &Shape, seed: u64, events: u64) -> Outcome {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::established(shape);
    let mut outcome = Outcome::default();
    for event in 0..events {
        let action = random_action(&mut random, &world);
        world.apply(shape, action);
        outcome.events += 1;
        if let Some(violation) = world.violation(shape) {
            outcome.violation = Some(format!("seed {seed} event {event}: {violation}"));
            break;
        }
    }
    outcome.starts = u64::from(world.attempts);
    outcome
}

fn random_action(random: &mut SmallRng, world: &World) -> Action {
    let leader = random.random_range(0..world.leaders.len());
    let worker = random.random_range(0..world.workers.len());
    match random.random_range(0..100) {
        0..50 => Action::Advance,
        50..58 => Action::Submit {
            task: random.random_range(0..SHAPE.tasks),
        },
        58..64 if !world.in_transit.is_empty() => Action::Deliver {
            index: random.random_range(0..world.in_transit.len()),
            keep_copy: random.random_bool(0.3),
        },
        64..72 => Action::SetLink {
            leader,
            worker,
            link: random_link(random),
        },
        72..80 => Action::Reconnect { leader },
        80..82 => Action::Isolate { leader },
        82..85 => Action::Pause { leader },
        85..90 => Action::Resume { leader },
        90..93 => Action::Prefer {
            leader,
            preferred: random.random_bool(0.7),
        },
        93..94 => Action::RestartWorker { worker },
        94..95 => Action::RestartLeader { leader },
        95..96 => Action::Resign { leader },
        96..98 => Action::SetTable {
            table: random_table(random),
        },
        _ => Action::EndTask {
            task: random.random_range(0..SHAPE.tasks),
        },
    }
}

fn random_link(random: &mut SmallRng) -> Link {
    let links = [
        Link::RequestsLost,
        Link::AnswersLost,
        Link::RequestDelayed,
        Link::AnswerDelayed,
        Link::Repeated,
    ];
    links[random.random_range(0..links.len())]
}

fn random_table(random: &mut SmallRng) -> Table {
    let tables = [
        Table::Up,
        Table::Up,
        Table::Down,
        Table::AnswersLost,
        Table::Delayed,
    ];
    tables[random.random_range(0..tables.len())]
}

/// Applies random actions, then removes all faults and counts the steps until every task runs.
fn steps_to_recover(shape: &Shape, seed: u64) -> Option<u32> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut world = World::established(shape);
    for _ in 0..300 {
        let action = random_action(&mut random, &world);
        world.apply(shape, action);
    }
    for leader in 0..shape.leaders {
        world.apply(shape, Action::Reconnect { leader });
        world.apply(shape, Action::Resume { leader });
        let preferred = leader == 0;
        world.apply(shape, Action::Prefer { leader, preferred });
    }
    world.in_transit.clear();
    world.apply(shape, Action::SetTable { table: Table::Up });
    for task in 0..shape.tasks {
        world.apply(shape, Action::Submit { task });
    }
    (0..MAX_RECOVERY_STEPS).find(|_| {
        world.apply(shape, Action::Advance);
        assert_eq!(world.violation(shape), None);
        world.running_count() == shape.tasks as usize
    })
}

fn number_from_env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |text| text.parse().expect("a number"))
}

fn count_violations(mutation: Mutation) -> usize {
    let shape = Shape { mutation, ..SHAPE };
    let (seeds, events) = (number_from_env("LEASE_MUTANT_SEEDS", 60), 2_000);
    let outcomes = (0..seeds).map(|seed| run(&shape, seed, events));
    outcomes
        .filter(|outcome| outcome.violation.is_some())
        .count()
}

#[test]
fn no_fault_makes_a_task_run_twice() {
    let first = number_from_env("LEASE_SEED", 0);
    let seeds = number_from_env("LEASE_SEEDS", 20);
    let events = number_from_env("LEASE_EVENTS", 2_000);
    let (mut total_events, mut starts) = (0, 0);
    for seed in first..first + seeds {
        let outcome = run(&SHAPE, seed, events);
        assert_eq!(outcome.violation, None);
        total_events += outcome.events;
        starts += outcome.starts;
    }
    println!("seeds={seeds} events={total_events} starts={starts} breaches=0");
}

#[test]
fn all_tasks_run_soon_after_the_last_fault() {
    for seed in 0..number_from_env("LEASE_SEEDS", 20) {
        let steps = steps_to_recover(&SHAPE, seed);
        assert!(steps.is_some(), "seed {seed} does not recover");
    }
}

#[test]
fn skipping_the_epoch_check_is_caught() {
    assert_ne!(count_violations(Mutation::SkipEpochCheck), 0);
}

#[test]
fn skipping_the_wait_for_the_lapse_is_caught() {
    assert_ne!(count_violations(Mutation::SkipLapseWait), 0);
}
