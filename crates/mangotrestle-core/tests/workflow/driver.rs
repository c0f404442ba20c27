//! Seeded faults: leaders change, orders are lost or late, workers crash, are cut off and fail,
//! callers cancel. Nothing that must always hold may break, and every job ends.

use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::StepSpec;

use super::world::{Breaches, Network, World, job, record, step};

/// Seeds that CI plays.
const SEEDS: u64 = 24;
/// Jobs in each play.
const JOBS: u64 = 30;

/// Plays one seed: 20 s with faults, then time to finish.
fn play(seed: u64, order_before_commit: bool) -> World {
    let mut world = World::new(seed, 6);
    world.order_before_commit = order_before_commit;
    world.failing_runs = 20;
    world.network = Network {
        lost_answers: 30,
        late_orders: if seed.is_multiple_of(2) { 20 } else { 0 },
    };
    for number in 0..JOBS {
        let steps = draw_steps(&mut world);
        let priority = u32::try_from(number % 3).unwrap_or_default();
        world.submit(&job(number), &record(priority, steps));
        let span_ms = 100 + world.draw(900);
        world.run_for(span_ms);
        disturb(&mut world, number);
    }
    for model in world.workers.values_mut() {
        model.reachable = true;
        model.fails_all = false;
        model.speed_percent = 100;
    }
    world.network = Network::default();
    world.store_up = true;
    world.run_for(90_000);
    world
}

fn draw_steps(world: &mut World) -> Vec<StepSpec> {
    let count = 1 + u32::try_from(world.draw(4)).unwrap_or_default();
    let cpu = 500 + 500 * world.draw(6);
    let estimate_ms = 200 + world.draw(1_500);
    let mut first = step(count, cpu, estimate_ms, &[]);
    first.gang = world.draw(4) == 0;
    let second = step(2, 1_000, 300, &[0]);
    if world.draw(2) == 0 {
        vec![first]
    } else {
        vec![first, second]
    }
}

fn disturb(world: &mut World, number: u64) {
    let victims: Vec<_> = world.workers.keys().cloned().collect();
    let victim = victims[usize::try_from(world.draw(6)).unwrap_or_default()].clone();
    match world.draw(10) {
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
                model.fails_all = !model.fails_all;
            }
        }
        6 => {
            if let Some(model) = world.workers.get_mut(&victim) {
                model.speed_percent = if model.speed_percent == 100 { 15 } else { 100 };
            }
        }
        _ => {}
    }
}

#[test]
fn nothing_breaks_and_every_job_ends_under_seeded_faults() {
    for seed in 1..=SEEDS {
        let world = play(seed, false);

        assert_eq!(world.breaches, Breaches::default(), "seed {seed}");
        assert_eq!(world.unfinished(), Vec::new(), "seed {seed}");
    }
}

#[test]
fn an_order_sent_before_its_commit_is_noticed_by_the_world() {
    let unbound: u32 = (1..=4).map(|seed| play(seed, true).breaches.unbound).sum();

    assert!(unbound > 0, "no order of a run that was not durably bound");
}

#[test]
fn a_calm_cell_completes_every_job_with_one_run_a_task() {
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
    assert_eq!(world.breaches, Breaches::default());
}
