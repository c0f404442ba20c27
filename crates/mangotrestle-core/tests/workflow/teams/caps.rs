//! Tests of teams at their caps. Loads: a team whose work is in one pool only, caps that shrink below
//! what runs, a store that is away, a new leader, and a gang among many small tasks.

use std::sync::Arc;

use mangotrestle_core::time::TimeMs;
use mangotrestle_core::workflow::admission::{self, Admission};
use mangotrestle_core::workflow::record::JobState;

use super::super::world::{Violations, World, job, step, worker};
use super::store::{ShareStore, configure, job_of, running, team};

/// Two pools of four workers of 8 cores each, whose only team may have `cap_cores` running.
fn two_pools(cap_cores: u64) -> (Vec<World>, ShareStore) {
    let mut pools = vec![
        World::without_workers(1, "first"),
        World::without_workers(2, "second"),
    ];
    for world in &mut pools {
        for number in 0..4 {
            world.add_worker(&format!("w-{number}"));
        }
    }
    configure(&mut pools, &[team("red", 100.0, cap_cores)]);
    (pools, ShareStore::new())
}

/// Submits jobs of one task of one core each.
fn submit(world: &mut World, first: u64, jobs: u64, task_ms: u64) {
    for number in first..first + jobs {
        let record = job_of(world, "red", 1, vec![step(1, 1_000, task_ms, &[])]);
        world.submit(&job(number), &record);
    }
}

#[test]
fn a_team_whose_work_is_in_one_pool_gets_its_whole_cap_there_and_never_more() {
    let (mut pools, mut store) = two_pools(12);
    store.run_for(&mut pools, 200, |_| {});
    submit(&mut pools[0], 0, 60, 1_000);

    let mut most = 0;
    store.run_for(&mut pools, 4_000, |pools| most = most.max(running(pools)));

    assert_eq!(most, 12);
}

#[test]
fn room_moves_to_the_pool_where_work_waits_and_back() {
    let (mut pools, mut store) = two_pools(12);
    submit(&mut pools[0], 0, 200, 400);
    store.run_for(&mut pools, 2_000, |_| {});
    submit(&mut pools[1], 1_000, 40, 400);

    let mut most = 0;
    let mut most_in_second = 0;
    store.run_for(&mut pools, 3_000, |pools| {
        most = most.max(running(pools));
        most_in_second = most_in_second.max(running(&pools[1..]));
    });

    assert!(most <= 12, "{most} run");
    assert!(
        most_in_second >= 5,
        "{most_in_second} run in the second pool"
    );
}

#[test]
fn a_cap_that_shrinks_below_what_runs_stops_nothing_and_starts_nothing() {
    let (mut pools, mut store) = two_pools(16);
    submit(&mut pools[0], 0, 40, 4_000);
    store.run_for(&mut pools, 1_000, |_| {});
    let before = running(&pools);
    let starts_before = pools[0].starts;
    configure(&mut pools, &[team("red", 100.0, 4)]);

    store.run_for(&mut pools, 500, |_| {});
    let after = running(&pools);
    let starts_after = pools[0].starts;
    let mut most_later = 0;
    store.run_for(&mut pools, 6_000, |_| {});
    store.run_for(&mut pools, 4_000, |pools| {
        most_later = most_later.max(running(pools));
    });

    assert_eq!((before, after), (16, 16));
    assert_eq!(starts_after, starts_before);
    assert_eq!(most_later, 4);
}

#[test]
fn a_leader_goes_on_within_its_share_while_the_store_is_away() {
    let (mut pools, mut store) = two_pools(12);
    submit(&mut pools[0], 0, 100, 300);
    store.run_for(&mut pools, 1_000, |_| {});
    store.is_up = false;

    submit(&mut pools[1], 1_000, 30, 300);
    let mut most = 0;
    let mut least_in_first = usize::MAX;
    store.run_for(&mut pools, 1_000, |pools| {
        most = most.max(running(pools));
        least_in_first = least_in_first.min(running(&pools[..1]));
    });

    assert!(most <= 12, "{most} run");
    assert!(least_in_first > 0);
}

#[test]
fn a_new_leader_counts_what_may_run_before_it_starts_more() {
    let (mut pools, mut store) = two_pools(12);
    submit(&mut pools[0], 0, 60, 1_500);
    store.run_for(&mut pools, 1_000, |_| {});
    let unreachable = worker("w-0");
    pools[0].set_reachable(&unreachable, false);

    pools[0].change_leader();
    configure(&mut pools[..1], &[team("red", 100.0, 12)]);
    submit(&mut pools[1], 1_000, 60, 1_500);
    let mut most = 0;
    store.run_for(&mut pools, 6_000, |pools| most = most.max(running(pools)));

    assert!(most <= 12, "{most} run");
    assert_eq!(pools[0].violations, Violations::default());
}

#[test]
fn a_gang_of_a_team_at_its_cap_starts_among_small_tasks_of_the_team() {
    let (mut pools, mut store) = two_pools(8);
    submit(&mut pools[0], 0, 100, 500);
    store.run_for(&mut pools, 500, |_| {});
    let mut gang = step(4, 1_500, 500, &[]);
    gang.gang = true;
    let record = job_of(&pools[0], "red", 1, vec![gang]);
    pools[0].submit(&job(500), &record);

    let mut most = 0;
    store.run_for(&mut pools, 8_000, |pools| most = most.max(running(pools)));

    assert_eq!(pools[0].end_of(&job(500)), Some(JobState::Completed));
    assert!(most <= 8, "{most} run");
}

#[test]
fn what_cannot_run_within_the_cap_is_refused_at_once_and_waiting_for_room_counts() {
    let (mut pools, mut store) = two_pools(4);
    let mut wide = step(5, 1_000, 500, &[]);
    wide.gang = true;
    let wide = job_of(&pools[0], "red", 1, vec![wide]);
    let small = job_of(&pools[0], "red", 1, vec![step(1, 1_000, 500, &[])]);
    let of_another = job_of(&pools[0], "blue", 1, vec![step(1, 1_000, 500, &[])]);
    submit(&mut pools[0], 0, 200, 500);
    store.run_for(&mut pools, 500, |_| {});

    let summary = pools[0].pool.summary(TimeMs(pools[0].now));
    let cap = team("red", 100.0, 4).cap;
    let decide = |record| admission::decide(record, Some(&cap), Some(&summary), 0);

    assert_eq!(decide(&wide), Admission::BeyondCap { step: 0 });
    assert!(matches!(decide(&small), Admission::Busy { .. }));
    assert_eq!(decide(&of_another), Admission::Accept);
}

#[test]
fn gangs_are_not_held_back_by_shares_where_no_teams_are_configured_any_more() {
    for members in 2..=8 {
        let mut world = World::new(u64::from(members), 16);
        configure(std::slice::from_mut(&mut world), &[team("red", 0.5, 1)]);
        world.run_for(300);
        let mut gang = step(members, 8_000, 60_000, &[]);
        gang.gang = true;
        let owned = job_of(&world, "red", 1, vec![gang.clone()]);
        let mut unowned = owned.as_ref().clone();
        unowned.team = None;
        configure(std::slice::from_mut(&mut world), &[]);
        submit(&mut world, 100, 60, 500);
        world.submit(&job(1), &owned);
        world.submit(&job(2), &Arc::new(unowned));

        world.change_leader();
        world.run_for(3_000);

        let count = |number| {
            let prefix = format!("{}.", job(number));
            let names = world.workers.keys().flat_map(|id| world.running_on(id));
            names.filter(|name| name.starts_with(&prefix)).count()
        };
        let all = members as usize;
        assert_eq!([count(1), count(2)], [all, all], "gangs of {members}");
    }
}
