//! Tests of how ends of runs are acknowledged to workers, and how often workers are polled.

use super::world::{Violations, World, job, record, step};

/// Maximum number of ends that wait to be acknowledged: those of 0.4 s at 1,000 a second.
const MAX_UNACKNOWLEDGED_ENDS: usize = 400;

#[test]
fn ends_are_acknowledged_while_more_jobs_change_than_a_commit_holds() {
    let mut world = World::new(30, 100);
    let short = record(0, vec![step(1, 1_000, 100, &[])]);
    world.run_for(100);

    for number in 0..2_000 {
        world.submit(&job(number), &short);
        if number % 5 == 4 {
            world.run_for(5);
        }
    }

    let unacknowledged = world.unacknowledged_ends();
    assert!(world.starts > 1_500, "{} runs started", world.starts);
    assert!(
        unacknowledged < MAX_UNACKNOWLEDGED_ENDS,
        "{unacknowledged} ends are not acknowledged"
    );
    assert_eq!(world.violations, Violations::default());
}

/// Maximum number of polls of one worker in 2 s: four a second, and two more.
const MAX_POLLS_IN_2_S: u32 = 10;

#[test]
fn a_worker_is_not_polled_again_and_again_while_its_ends_cannot_become_durable() {
    let mut world = World::new(31, 1);
    let steps = vec![step(1, 1_000, 100, &[]), step(1, 1_000, 10_000, &[])];
    world.submit(&job(1), &record(0, steps));
    let mut without_room = step(1, 1_000, 100, &[]);
    without_room.need.accelerators = 5;
    world.submit(&job(2), &record(0, vec![without_room]));
    world.run_for(60);
    world.store_up = false;
    world.run_for(400);
    assert_eq!(world.starts, 2);
    let polls_before = world.polls;

    world.run_for(2_000);

    let polls = world.polls - polls_before;
    assert!(polls <= MAX_POLLS_IN_2_S, "{polls} polls in 2 s");
    assert_eq!(world.violations, Violations::default());
}
