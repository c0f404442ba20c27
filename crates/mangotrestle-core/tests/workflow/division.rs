//! Tests of how a service is divided into pools, and of which pools run a job.

use std::collections::BTreeMap;

use mangotrestle_core::resources::Resources;
use mangotrestle_core::workflow::division::{Division, MAX_POOL_WORKERS};
use mangotrestle_core::workflow::leadership::PoolSummary;
use mangotrestle_core::workflow::spec::{JobPools, JobRecord};
use quickcheck::quickcheck;

use super::world::divided::entries;
use super::world::{entry, job, record, step};

const SERVICE: &str = "service";

fn plan(workers: u32) -> Division {
    Division::plan(&entries(workers))
}

fn pools(division: &Division) -> Vec<String> {
    division.pool_names(SERVICE).collect()
}

/// Returns the summary of a pool whose work of priority 0 waits for a time.
fn waiting(wait_ms: u64) -> PoolSummary {
    PoolSummary {
        wait_ms: [(0, wait_ms)].into_iter().collect(),
        ..PoolSummary::default()
    }
}

fn one_step() -> JobRecord {
    record(0, vec![step(3, 1_000, 500, &[])]).as_ref().clone()
}

fn lasting(tasks: u32) -> JobRecord {
    let mut step = step(tasks, 1_000, 500, &[]);
    step.persistent = true;
    record(1, vec![step]).as_ref().clone()
}

#[test]
fn a_service_that_one_leader_keeps_up_with_is_one_pool_of_the_same_name() {
    let division = plan(u32::try_from(MAX_POOL_WORKERS).expect("a small number"));

    assert!(division.is_whole());
    assert_eq!(pools(&division), [SERVICE]);
    assert_eq!(division.home_of(SERVICE, &job(7)), SERVICE);
}

#[test]
fn a_large_service_is_divided_so_that_each_pool_has_a_like_share_of_each_zone() {
    let workers = entries(792);

    let division = Division::plan(&workers);

    let mut counts: BTreeMap<(String, String), u32> = BTreeMap::new();
    for worker in &workers {
        let pool = division.pool_of(SERVICE, worker);
        *counts.entry((pool, worker.zone.clone())).or_default() += 1;
    }
    assert_eq!(pools(&division).len(), 3);
    assert_eq!(counts.len(), 3 * 6);
    // Racks of twelve are not split: eleven racks of a zone are dealt 4, 4 and 3.
    assert!(
        counts.values().all(|count| (36..=48).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_rack_that_is_new_belongs_to_one_of_the_pools() {
    let division = plan(792);

    let pool = division.pool_of(SERVICE, &entry("w-new", "zone-0", "r-new"));

    assert!(pools(&division).contains(&pool));
}

#[test]
fn a_division_that_was_stored_is_the_same_when_it_is_read() {
    let division = plan(792);

    let stored = serde_json::to_string(&division).expect("a row");
    let read: Division = serde_json::from_str(&stored).expect("the row");

    assert_eq!(read, division);
}

#[test]
fn a_worker_of_absurd_capacity_does_not_prevent_the_division() {
    let mut workers = entries(792);
    for worker in workers.iter_mut().take(3) {
        worker.capacity.cpu_millicores = u64::MAX;
        worker.capacity.accelerators = u32::MAX;
    }

    let division = Division::plan(&workers);

    assert_eq!(pools(&division).len(), 3);
}

#[test]
fn a_stored_division_that_no_service_has_is_malformed() {
    let odd = [
        r#"{"pools": 0, "racks": {}}"#,
        r#"{"pools": 4294967295, "racks": {}}"#,
        r#"{"pools": 1000000, "racks": {}}"#,
        r#"{"pools": 3, "racks": {"r-1": 3}}"#,
        r#"{"pools": 1e999, "racks": {}}"#,
        r#"{"pools": -1, "racks": {}}"#,
        "null",
    ];

    for text in odd {
        assert!(serde_json::from_str::<Division>(text).is_err(), "{text}");
    }
}

#[test]
fn a_pool_with_an_absurd_wait_is_not_chosen() {
    let division = plan(792);
    let home = division.home_of(SERVICE, &job(1));
    let (absurd, idle) = (waiting(u64::MAX), waiting(0));
    let summary_of = |pool: &str| Some(if pool == home { &idle } else { &absurd });

    let chosen = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &one_step(),
        summary_of,
        0,
    );

    assert_eq!(chosen, None);
}

#[test]
fn a_job_runs_in_its_home_while_no_other_pool_is_much_less_busy() {
    let division = plan(792);
    let summary = waiting(100);

    for random in 0..8 {
        let pools = division.choose(
            SERVICE,
            &division.home_of(SERVICE, &job(1)),
            &job(1),
            &one_step(),
            |_| Some(&summary),
            random,
        );

        assert_eq!(pools, None);
    }
}

#[test]
fn a_job_goes_from_a_busy_home_to_a_pool_with_a_shorter_wait() {
    let division = plan(792);
    let home = division.home_of(SERVICE, &job(1));
    let (busy, idle) = (waiting(2_000), waiting(0));
    let summary_of = |pool: &str| Some(if pool == home { &busy } else { &idle });

    let chosen = [0, 1].map(|random| {
        let chosen = division.choose(
            SERVICE,
            &division.home_of(SERVICE, &job(1)),
            &job(1),
            &one_step(),
            summary_of,
            random,
        );
        chosen.expect("another pool")
    });

    assert!(chosen.iter().all(|chosen| chosen.home == home));
    assert!(chosen.iter().all(|chosen| chosen.pools.len() == 1));
    assert_ne!(chosen[0].pools, chosen[1].pools);
}

#[test]
fn a_job_goes_where_its_data_lies() {
    let division = plan(792);
    let mut near = one_step();
    near.steps[0].affinity_rack = Some("r3-2".to_owned());
    let data_pool = division.pool_of(SERVICE, &entry("w", "zone-3", "r3-2"));

    for number in 0..20 {
        let home = division.home_of(SERVICE, &job(number));
        let chosen = division.choose(
            SERVICE,
            &division.home_of(SERVICE, &job(number)),
            &job(number),
            &near,
            |_| None,
            0,
        );

        let pool = chosen.map_or(home, |chosen| chosen.pools[0].clone());
        assert_eq!(pool, data_pool);
    }
}

#[test]
fn a_job_goes_to_a_pool_whose_workers_can_hold_its_tasks() {
    let division = plan(792);
    let home = division.home_of(SERVICE, &job(1));
    let shape = |cpu_millicores| PoolSummary {
        shapes: vec![(
            Resources {
                cpu_millicores,
                memory_mib: 10_000,
                accelerators: 0,
                slots: 0,
            },
            Vec::new(),
        )],
        ..PoolSummary::default()
    };
    let (small, large) = (shape(500), shape(8_000));
    let summary_of = |pool: &str| Some(if pool == home { &small } else { &large });

    let chosen = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &one_step(),
        summary_of,
        0,
    );

    assert!(chosen.is_some_and(|chosen| chosen.pools != [home]));
}

#[test]
fn no_job_goes_to_a_pool_without_workers_while_another_one_has_some() {
    let division = plan(792);
    let home = division.home_of(SERVICE, &job(1));
    let with_workers = |workers| PoolSummary {
        workers: Some(workers),
        ..PoolSummary::default()
    };
    let (none, some) = (with_workers(0), with_workers(5));
    let summary_of = |pool: &str| Some(if pool == home { &none } else { &some });

    let chosen = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &one_step(),
        summary_of,
        0,
    );
    let shared = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &lasting(30),
        summary_of,
        0,
    );
    let nowhere = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &one_step(),
        |_| Some(&none),
        0,
    );

    assert!(chosen.is_some_and(|chosen| chosen.pools != [home.as_str()]));
    let shared = shared.expect("other pools").pools;
    assert_eq!((shared.len(), shared.contains(&home)), (2, false));
    assert_eq!(nowhere, None);
}

#[test]
fn the_tasks_of_a_service_are_shared_by_all_pools_unless_there_are_too_few() {
    let division = plan(792);

    let many = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &lasting(30),
        |_| None,
        0,
    );
    let few = division.choose(
        SERVICE,
        &division.home_of(SERVICE, &job(1)),
        &job(1),
        &lasting(2),
        |_| None,
        0,
    );

    assert_eq!(many.expect("all pools").pools, pools(&division));
    assert_eq!(few, None);
}

quickcheck! {
    fn each_unit_of_a_job_is_run_by_exactly_one_of_its_pools(units: u16, pools: u8) -> bool {
        let names: Vec<String> = (0..=pools % 8).map(|index| format!("{SERVICE}/{index}")).collect();
        let job_pools = JobPools { home: names[0].clone(), pools: names.clone() };
        (0..u32::from(units % 200)).all(|unit| {
            let shares = names.iter().map(|name| job_pools.share_of(name));
            shares.filter(|share| share.includes(unit)).count() == 1
        })
    }

    fn each_worker_and_each_job_has_a_pool_that_exists(workers: u16, number: u64) -> bool {
        let workers = entries(u32::from(workers % 2_000));
        let division = Division::plan(&workers);
        let names = pools(&division);
        let jobs_home = division.home_of(SERVICE, &job(number));
        names.contains(&jobs_home)
            && workers.iter().all(|worker| names.contains(&division.pool_of(SERVICE, worker)))
    }
}

#[test]
fn a_job_whose_home_is_in_another_service_is_handed_over_to_the_pools_of_its_own() {
    let (whole, divided) = (Division::whole(), plan(792));

    let in_whole = whole.choose(SERVICE, "former/1", &job(1), &one_step(), |_| None, 0);
    let in_divided = divided.choose(SERVICE, "former", &job(1), &one_step(), |_| None, 0);
    let shared = divided.choose(SERVICE, "former", &job(1), &lasting(30), |_| None, 0);

    let in_whole = in_whole.expect("a hand-over");
    assert_eq!(in_whole.home, "former/1");
    assert_eq!(in_whole.pools, [SERVICE]);
    let in_divided = in_divided.expect("a hand-over");
    assert_eq!(in_divided.home, "former");
    assert_eq!(in_divided.pools, [divided.home_of(SERVICE, &job(1))]);
    assert_eq!(shared.expect("a hand-over").pools, pools(&divided));
}
