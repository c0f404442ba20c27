//! Cost of the membership view of entry hosts, and size of a configuration change.

use std::time::Instant;

use mangotrestle_core::{configuration, id, membership, resources, time};
use mangotrestle_platform::configuration_store;

use crate::measure::report::{Figure, Target};

/// Number of teams at the planned size.
const TEAMS: u32 = 570;
/// Configuration changes per second at the planned size.
const CHANGES_PER_S: f64 = 22_000.0 / 86_400.0;
/// Number of availability zones at the planned size.
const ZONES: u32 = 9;
/// Number of entry hosts, and of pools, in each zone.
const HOSTS_PER_ZONE: u32 = 8;
/// Number of steps of 100 ms of virtual time during which exchanges are counted.
const COUNTED_STEPS: u64 = 3_000;
/// Number of timed iterations.
const ITERATIONS: u32 = 2_000;

pub(super) fn measure(figures: &mut Vec<Figure>) {
    let (ns_with_18, ns_with_72) = (iteration_ns(18), iteration_ns(72));
    figures.push(Figure::new("membership turn, 72 hosts", ns_with_72, "ns"));
    figures.push(Figure::new(
        "membership turn, for each peer",
        (ns_with_72 - ns_with_18) / 54.0,
        "ns",
    ));
}

/// Measures the rate of heartbeat exchanges in which an entry host takes part, on either side, with
/// the real membership of all hosts.
pub(super) fn measure_exchanges(figures: &mut Vec<Figure>) -> f64 {
    let mut cell = Cell::new();
    let exchanges: u32 = (0..COUNTED_STEPS).map(|step| cell.step(step)).sum();
    let seconds = f64::from(u32::try_from(COUNTED_STEPS).unwrap_or(u32::MAX)) / 10.0;
    // Each exchange has two sides.
    let exchanges_per_s = 2.0 * f64::from(exchanges) / f64::from(ZONES * HOSTS_PER_ZONE) / seconds;
    figures.push(Figure::new(
        "exchanges of an entry host among 72",
        exchanges_per_s,
        "1/s",
    ));
    exchanges_per_s
}

struct Cell {
    views: Vec<membership::Membership>,
}

impl Cell {
    fn new() -> Self {
        let hosts = ZONES * HOSTS_PER_ZONE;
        let listed: Vec<_> = (0..hosts)
            .map(|number| membership::ListedHost {
                host: host_name(number),
                availability_zone: zone_name(number / HOSTS_PER_ZONE),
                address: String::new(),
                state: membership::ListedState::Live,
            })
            .collect();
        let view = |number: u32| {
            let zone = zone_name(number / HOSTS_PER_ZONE);
            let mut view = membership::Membership::builder(host_name(number), zone).build();
            view.update_listed_hosts(time::TimeMs(0), &listed);
            view
        };
        Self {
            views: (0..hosts).map(view).collect(),
        }
    }

    /// Exchanges the heartbeats that are due, and returns their number.
    fn step(&mut self, step: u64) -> u32 {
        let now = time::TimeMs(step * 100);
        let mut exchanges = 0;
        for (number, index) in (0..ZONES * HOSTS_PER_ZONE).zip(0..) {
            let zone = number / HOSTS_PER_ZONE;
            let pools: Vec<_> = (0..HOSTS_PER_ZONE)
                .map(|pool| pool_name(zone * HOSTS_PER_ZONE + pool))
                .collect();
            self.views[index].watch_pools(now, &pools);
            for receiver in self.views[index].due_heartbeats(now) {
                let other = receiver.as_str().trim_start_matches("entry-").parse();
                let other: u32 = other.expect("host names end in a number");
                self.views[other as usize].record_heartbeat(now, &heartbeat(number));
                self.views[index].record_heartbeat(now, &heartbeat(other));
                exchanges += 1;
            }
        }
        exchanges
    }
}

fn heartbeat(number: u32) -> membership::ReceivedHeartbeat {
    membership::ReceivedHeartbeat {
        host: host_name(number),
        incarnation: id::Incarnation(1),
        availability_zone: zone_name(number / HOSTS_PER_ZONE),
        leaving: false,
        config_version: 1,
    }
}

/// Returns the mean time of one iteration: record a heartbeat, set the watched pools, and get the
/// due heartbeats and the changes.
fn iteration_ns(hosts: u32) -> f64 {
    let listed: Vec<_> = (1..hosts)
        .map(|number| membership::ListedHost {
            host: host_name(number),
            availability_zone: zone_name(number / HOSTS_PER_ZONE),
            address: String::new(),
            state: membership::ListedState::Live,
        })
        .collect();
    let pools: Vec<id::PoolId> = (0..HOSTS_PER_ZONE).map(pool_name).collect();
    let mut view = membership::Membership::builder(host_name(0), zone_name(0)).build();
    view.update_listed_hosts(time::TimeMs(0), &listed);
    let heartbeats: Vec<_> = (1..hosts).map(heartbeat).collect();
    let started = Instant::now();
    for iteration in 0..ITERATIONS {
        let now = time::TimeMs(u64::from(iteration) * 100);
        let index = iteration as usize % heartbeats.len();
        view.record_heartbeat(now, &heartbeats[index]);
        view.watch_pools(now, &pools);
        std::hint::black_box(view.due_heartbeats(now));
        std::hint::black_box(view.changes(now));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(ITERATIONS)
}

pub(super) fn measure_configuration(figures: &mut Vec<Figure>) {
    let before = document(TEAMS);
    let mut after = before.clone();
    if let Some(team) = after.teams.values_mut().next() {
        team.weight += 1;
    }
    let value = |document| serde_json::to_value(document).expect("plain JSON");
    let patch = configuration_store::make_patch(&value(&before), &value(&after));
    let json_bytes = |value: &serde_json::Value| {
        f64::from(u32::try_from(value.to_string().len()).unwrap_or(u32::MAX))
    };
    let (patch_bytes, document_bytes) = (json_bytes(&patch), json_bytes(&value(&after)));
    figures.push(
        Figure::new("configuration change, body, 570 teams", patch_bytes, "B")
            .naive(document_bytes),
    );
    figures.push(
        Figure::new(
            "configuration changes, bodies, 22,000 a day",
            patch_bytes * CHANGES_PER_S / 1e3,
            "KB/s",
        )
        .target(Target::AtMost(9.0))
        .naive(document_bytes * CHANGES_PER_S / 1e3),
    );
}

fn document(teams: u32) -> configuration::Document {
    let policy = configuration::TeamPolicy {
        quota: Some(resources::Resources {
            cpu_millicores: 64_000,
            memory_mib: 262_144,
            accelerators: 8,
            slots: 64,
        }),
        ..configuration::TeamPolicy::default()
    };
    let mut document = configuration::Document::default();
    for number in 0..teams {
        let name = format!("team-{number}").parse().expect("a valid name");
        document.teams.insert(name, policy.clone());
    }
    document
}

fn host_name(number: u32) -> id::EntryHostId {
    format!("entry-{number}").parse().expect("a valid name")
}

fn pool_name(number: u32) -> id::PoolId {
    format!("pool-{number}").parse().expect("a valid name")
}

fn zone_name(number: u32) -> id::AvailabilityZoneId {
    format!("zone-{number}").parse().expect("a valid name")
}
