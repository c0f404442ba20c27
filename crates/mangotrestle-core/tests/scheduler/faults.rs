//! Runs the scheduler with random faults against a model of the workers, in virtual time.
//!
//! The environment variables `SCHEDULER_SEED`, `SCHEDULER_SEEDS` and `SCHEDULER_EVENTS` set the
//! first seed, the number of seeds and the events per seed, such as `SCHEDULER_SEED=17
//! SCHEDULER_SEEDS=1 SCHEDULER_EVENTS=5000`.

use super::world::{Faults, World};

fn from_environment(name: &str, default: u64) -> u64 {
    std::env::var(name)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(default)
}

/// Runs one seed and returns the number of events that the scheduler handled.
fn run_seed(seed: u64, events: u64) -> u64 {
    let faults = Faults {
        percent: [0, 5, 20, 40][usize::try_from(seed % 4).expect("a small number")],
        workers: 4 + u32::try_from(seed % 9).expect("a small number"),
    };
    let mut world = World::new(seed, faults);
    while world.events < events {
        world.step();
    }
    world.finish_without_faults();
    world.events
}

#[test]
fn random_faults_violate_no_invariant() {
    let first = from_environment("SCHEDULER_SEED", 1);
    let seeds = from_environment("SCHEDULER_SEEDS", 24);
    let events = from_environment("SCHEDULER_EVENTS", 1_500);

    let total: u64 = (first..first + seeds)
        .map(|seed| run_seed(seed, events))
        .sum();

    println!("{total} events over {seeds} seeds from {first}");
    assert!(total >= seeds * events);
}
