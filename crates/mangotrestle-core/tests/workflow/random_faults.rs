//! Seeded random faults: changes of leader, refused commits, lost and late orders, crashed,
//! unreachable, unlisted and failing workers, cancelled jobs. No invariant may be violated, and every
//! job must end.

use std::sync::Arc;

use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::{AdvicePolicy, StepSpec};

use super::world::{Network, Violations, World, job, record, step, worker};

/// Number of seeds to run.
const SEED_COUNT: u64 = 48;
/// Number of jobs for each seed.
const JOBS_PER_SEED: u64 = 30;

/// Runs one seed: faults while the jobs are submitted, about 16 s, then time without faults to
/// finish.
fn run_seed(seed: u64, order_before_commit: bool, advice: Option<AdvicePolicy>) -> World {
    let mut world = World::new(seed, 6);
    world.order_before_commit = order_before_commit;
    world.lost_ticket_requests_per_mille = 100;
    world.denied_workers.insert(worker("w-0"));
    world.failing_runs_per_mille = 20;
    if !order_before_commit {
        world.refused_commits_per_mille = 50;
    }
    world.network = Network {
        lost_answers_per_mille: 30,
        late_orders_per_mille: if seed.is_multiple_of(2) { 20 } else { 0 },
        list_reads_fail: false,
    };
    for number in 0..JOBS_PER_SEED {
        let steps = random_steps(&mut world);
        let priority = u32::try_from(number % 3).unwrap_or_default();
        let mut submitted = record(priority, steps).as_ref().clone();
        submitted.policy.advice = advice.filter(|_| number.is_multiple_of(2));
        world.submit(&job(number), &Arc::new(submitted));
        let span_ms = 100 + world.random_below(900);
        world.run_for(span_ms);
        inject_random_fault(&mut world, number);
    }
    for model in world.workers.values_mut() {
        model.reachable = true;
        model.fails_all_runs = false;
        model.speed_percent = 100;
    }
    world.network = Network::default();
    world.refused_commits_per_mille = 0;
    world.lost_ticket_requests_per_mille = 0;
    let names: Vec<_> = world.workers.keys().cloned().collect();
    for name in names {
        world.set_listed(&name, true);
    }
    world.store_up = true;
    world.run_for(90_000);
    world
}

fn random_steps(world: &mut World) -> Vec<StepSpec> {
    let count = 1 + u32::try_from(world.random_below(4)).unwrap_or_default();
    let cpu = 500 + 500 * world.random_below(6);
    let estimate_ms = 200 + world.random_below(1_500);
    let mut first = step(count, cpu, estimate_ms, &[]);
    first.gang = world.random_below(4) == 0;
    let second = step(2, 1_000, 300, &[0]);
    if world.random_below(2) == 0 {
        vec![first]
    } else {
        vec![first, second]
    }
}

fn inject_random_fault(world: &mut World, number: u64) {
    let victims: Vec<_> = world.workers.keys().cloned().collect();
    let victim = victims[usize::try_from(world.random_below(6)).unwrap_or_default()].clone();
    match world.random_below(11) {
        0 => world.change_leader(),
        1 => {
            if let Some(model) = world.workers.get_mut(&victim) {
                model.reachable = !model.reachable;
            }
        }
        2 => {
            world.crash(&victim);
            world.add_worker(&format!("n-{number}"));
        }
        3 => world.cancel(&job(number)),
        4 => world.store_up = !world.store_up,
        5 => {
            if let Some(model) = world.workers.get_mut(&victim) {
                model.fails_all_runs = !model.fails_all_runs;
            }
        }
        6 => {
            if let Some(model) = world.workers.get_mut(&victim) {
                model.speed_percent = if model.speed_percent == 100 { 15 } else { 100 };
            }
        }
        7 => {
            let was_unlisted = world.unlisted.contains(&victim);
            world.set_listed(&victim, was_unlisted);
        }
        _ => {}
    }
}

#[test]
fn invariants_hold_and_every_job_ends_under_random_faults() {
    for seed in 1..=SEED_COUNT {
        let world = run_seed(seed, false, None);

        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::new(), "seed {seed}");
    }
}

#[test]
fn invariants_hold_and_every_job_ends_under_random_faults_with_tickets() {
    let advice = AdvicePolicy {
        decide_ms: 400.0,
        each_ms: 10.0,
        valid_ms: 2_000,
    };
    for seed in 1..=SEED_COUNT {
        let world = run_seed(seed, false, Some(advice));

        assert_eq!(world.violations, Violations::default(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::new(), "seed {seed}");
    }
}

#[test]
fn the_simulation_detects_orders_sent_before_their_commit() {
    let unbound: u32 = (1..=4)
        .map(|seed| run_seed(seed, true, None).violations.unbound)
        .sum();

    assert!(
        unbound > 0,
        "the simulation counted no order of an unbound run"
    );
}

#[test]
fn without_faults_every_job_completes_with_one_run_per_task() {
    let mut world = World::new(7, 6);
    for number in 0..20 {
        let steps = vec![step(3, 1_000, 400, &[]), step(2, 500, 300, &[0])];
        world.submit(&job(number), &record(0, steps));
        world.run_for(150);
    }

    world.run_for(10_000);

    let completed =
        (0..20).filter(|&number| world.end_of(&job(number)) == Some(JobState::Completed));
    assert_eq!(completed.count(), 20);
    assert_eq!(world.starts, 20 * 5);
    assert_eq!(world.violations, Violations::default());
}
