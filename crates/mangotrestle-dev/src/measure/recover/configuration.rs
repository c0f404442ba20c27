//! Delay from accepting a configuration until it is in force on every host, while hosts restart.
//!
//! Each host polls `config/head` at a jittered interval and reports its version in its heartbeats.
//! A host that learns of a higher version fetches it. The real membership chooses the receivers of
//! the heartbeats.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::{configuration, id, membership, time};
use mangotrestle_platform::group_commit::GroupCommit;
use mangotrestle_platform::transaction_sink::TransactionSink;
use mangotrestle_platform::{budget, command_log, configuration_store, table};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::Instant;

use crate::measure::report::{Figure, Target};
use crate::stand_in;

/// Mean interval of polls; see [`jittered`].
const MEAN_POLL_INTERVAL_MS: u64 = 2_000;
/// Interval of the steps in which all hosts act.
const STEP_INTERVAL: Duration = Duration::from_millis(100);
/// Number of configuration changes.
const CHANGES: u32 = 20;
/// Interval between changes: 22,000 changes a day.
const CHANGE_INTERVAL: Duration = Duration::from_millis(3_927);
/// Time that a host takes to restart.
const RESTART_TIME: Duration = Duration::from_secs(3);

struct Size {
    name: &'static str,
    zones: u32,
    hosts_per_zone: u32,
    target_s: f64,
}

const SIZES: [Size; 2] = [
    Size {
        name: "8 hosts in 4 zones",
        zones: 4,
        hosts_per_zone: 2,
        target_s: 5.0,
    },
    Size {
        name: "72 hosts in 9 zones",
        zones: 9,
        hosts_per_zone: 8,
        target_s: 15.0,
    },
];

pub(super) fn measure(seed: u64, figures: &mut Vec<Figure>) {
    for size in &SIZES {
        let mut delays_s = super::virtual_time().block_on(run(seed, size));
        delays_s.sort_by(f64::total_cmp);
        let median_s = delays_s.get(delays_s.len() / 2).copied().unwrap_or(0.0);
        let max_s = delays_s.last().copied().unwrap_or(0.0);
        let name = |what: &str| {
            format!(
                "configuration in force, {}, 1 in 4 restarted: {what}",
                size.name
            )
        };
        figures.push(Figure::new(&name("p50"), median_s, "s"));
        let max_figure =
            Figure::new(&name("max"), max_s, "s").target(Target::AtMost(size.target_s));
        figures.push(max_figure);
    }
}

struct Host {
    id: id::EntryHostId,
    zone: id::AvailabilityZoneId,
    incarnation: u64,
    membership: membership::Membership,
    applied: configuration::AppliedConfiguration,
    current: configuration_store::Versioned,
    next_poll: Instant,
    /// End of the host's restart, if it is restarting.
    restarting_until: Option<Instant>,
    /// Time at which each change came into force on this host.
    in_force: Vec<Option<Instant>>,
}

struct Cell {
    /// Number of restarts so far.
    restarts: usize,
    hosts: Vec<Host>,
    random: StdRng,
    started: Instant,
}

async fn run(seed: u64, size: &Size) -> Vec<f64> {
    let rows = stand_in::table::new();
    let store = store(&rows);
    let mut cell = Cell::new(seed, size);
    let mut accepted = Vec::new();
    let mut next_change = cell.started + Duration::from_secs(5);
    let end = next_change + CHANGE_INTERVAL * CHANGES + Duration::from_secs(30);
    while Instant::now() < end {
        if accepted.len() < CHANGES as usize && Instant::now() >= next_change {
            accept(&store, accepted.len()).await;
            accepted.push(Instant::now());
            next_change += CHANGE_INTERVAL;
            cell.restart_hosts(accepted.len());
        }
        cell.step(&store).await;
        tokio::time::sleep(STEP_INTERVAL).await;
    }
    cell.delays_s(&accepted)
}

fn store(rows: &stand_in::table::TableStandIn) -> configuration_store::ConfigurationStore {
    let table = table::TableClient::builder(Arc::new(rows.clone()))
        .reads(budget::Budget::new(2_000.0))
        .build();
    let sink = TransactionSink::new(table.clone());
    let commit = GroupCommit::<TransactionSink>::builder().spawn(sink);
    let commands = command_log::CommandLog::new(table.clone(), commit);
    configuration_store::ConfigurationStore::new(table, commands)
}

async fn accept(store: &configuration_store::ConfigurationStore, number: usize) {
    let mut document = configuration::Document::default();
    document.requests.retry_percent = u32::try_from(number).unwrap_or(0) + 11;
    let proposal = configuration_store::Proposal {
        command: format!("change-{number}").parse().expect("a valid name"),
        operator: "shift",
        text: "",
        document: &document,
        based_on: None,
        wall_ms: time::WallTimeMs(0),
    };
    store.accept(proposal).await.expect("the store is up");
}

impl Host {
    fn new(zone: u32, number: u32, size: &Size, now: Instant) -> Self {
        let id: id::EntryHostId = host_name(zone, number);
        let zone_id = zone_name(zone);
        let membership = membership::Membership::builder(id.clone(), zone_id.clone()).build();
        let mut host = Self {
            id,
            zone: zone_id,
            incarnation: 1,
            membership,
            applied: configuration::AppliedConfiguration::default(),
            current: empty_configuration(),
            next_poll: now,
            restarting_until: None,
            in_force: vec![None; CHANGES as usize],
        };
        host.set_listed_hosts(size);
        host
    }

    fn set_listed_hosts(&mut self, size: &Size) {
        let hosts = (0..size.zones)
            .flat_map(|zone| (0..size.hosts_per_zone).map(move |number| (zone, number)));
        let listed: Vec<_> = hosts
            .map(|(zone, number)| membership::ListedHost {
                host: host_name(zone, number),
                availability_zone: zone_name(zone),
                address: String::new(),
                state: membership::ListedState::Live,
            })
            .collect();
        self.membership
            .update_listed_hosts(time::TimeMs(0), &listed);
    }

    fn heartbeat(&self) -> membership::ReceivedHeartbeat {
        membership::ReceivedHeartbeat {
            host: self.id.clone(),
            incarnation: id::Incarnation(self.incarnation),
            availability_zone: self.zone.clone(),
            leaving: false,
            config_version: self.applied.version(),
        }
    }
}

impl Cell {
    fn new(seed: u64, size: &Size) -> Self {
        let started = Instant::now();
        let mut random = StdRng::seed_from_u64(seed);
        let mut hosts = Vec::new();
        for zone in 0..size.zones {
            for number in 0..size.hosts_per_zone {
                let first_poll = started + jittered(&mut random);
                hosts.push(Host::new(zone, number, size, first_poll));
            }
        }
        Self {
            restarts: 0,
            hosts,
            random,
            started,
        }
    }

    /// Restarts random hosts; the number of restarts grows with the number of accepted changes up
    /// to a quarter of the hosts.
    fn restart_hosts(&mut self, changes: usize) {
        let now = Instant::now();
        let wanted_restarts = (self.hosts.len() / 4 * changes).div_ceil(CHANGES as usize);
        while self.restarts < wanted_restarts {
            self.restarts += 1;
            let index = self.random.random_range(0..self.hosts.len());
            let host = &mut self.hosts[index];
            host.incarnation += 1;
            host.applied = configuration::AppliedConfiguration::default();
            host.current = empty_configuration();
            host.restarting_until = Some(now + RESTART_TIME);
        }
    }

    async fn step(&mut self, store: &configuration_store::ConfigurationStore) {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        for index in 0..self.hosts.len() {
            if self.is_restarting(index) {
                continue;
            }
            self.exchange_heartbeats(index, time::TimeMs(now_ms));
            self.poll(index, store).await;
            self.fetch(index, store).await;
        }
    }

    fn is_restarting(&mut self, index: usize) -> bool {
        let host = &mut self.hosts[index];
        let Some(until) = host.restarting_until else {
            return false;
        };
        if Instant::now() < until {
            return true;
        }
        host.restarting_until = None;
        host.next_poll = Instant::now();
        false
    }

    fn exchange_heartbeats(&mut self, index: usize, now: time::TimeMs) {
        let host = &mut self.hosts[index];
        let pools: Vec<id::PoolId> = vec![host.zone.as_str().parse().expect("a valid name")];
        host.membership.watch_pools(now, &pools);
        for receiver in host.membership.due_heartbeats(now) {
            let Some(other) = self.hosts.iter().position(|host| host.id == receiver) else {
                continue;
            };
            if self.hosts[other].restarting_until.is_some() {
                continue;
            }
            let (mine, theirs) = (self.hosts[index].heartbeat(), self.hosts[other].heartbeat());
            self.hosts[other].handle_heartbeat(now, &mine);
            self.hosts[index].handle_heartbeat(now, &theirs);
        }
    }

    async fn poll(&mut self, index: usize, store: &configuration_store::ConfigurationStore) {
        if Instant::now() < self.hosts[index].next_poll {
            return;
        }
        self.hosts[index].next_poll = Instant::now() + jittered(&mut self.random);
        if let Ok(version) = store.head().await {
            self.hosts[index].applied.note_known_version(version);
        }
    }

    async fn fetch(&mut self, index: usize, store: &configuration_store::ConfigurationStore) {
        let host = &mut self.hosts[index];
        let highest_version = host.applied.highest_known();
        if highest_version <= host.applied.version() {
            return;
        }
        let Ok(fetched) = store.fetch(&host.current, highest_version).await else {
            return;
        };
        let document = Arc::new(fetched.document.clone());
        host.applied
            .offer(fetched.version, document, time::WallTimeMs(0));
        host.current = fetched;
        let versions = usize::try_from(highest_version).unwrap_or(0);
        for in_force in &mut host.in_force[..versions] {
            in_force.get_or_insert_with(Instant::now);
        }
    }

    /// Returns the delays of all changes on all hosts. A change that never came into force counts
    /// as an hour.
    fn delays_s(&self, accepted: &[Instant]) -> Vec<f64> {
        let delays_of_host = |host: &Host| {
            let pairs = accepted.iter().zip(&host.in_force);
            let delay = |(accepted, in_force): (&Instant, &Option<Instant>)| {
                in_force.map_or(3_600.0, |at| {
                    at.saturating_duration_since(*accepted).as_secs_f64()
                })
            };
            pairs.map(delay).collect::<Vec<_>>()
        };
        self.hosts.iter().flat_map(delays_of_host).collect()
    }
}

impl Host {
    fn handle_heartbeat(&mut self, now: time::TimeMs, heartbeat: &membership::ReceivedHeartbeat) {
        if self.membership.record_heartbeat(now, heartbeat) {
            self.applied.note_known_version(heartbeat.config_version);
        }
    }
}

fn jittered(random: &mut StdRng) -> Duration {
    Duration::from_millis(
        random.random_range(MEAN_POLL_INTERVAL_MS / 2..MEAN_POLL_INTERVAL_MS * 3 / 2),
    )
}

fn empty_configuration() -> configuration_store::Versioned {
    configuration_store::Versioned {
        version: 0,
        document: configuration::Document::default(),
    }
}

fn host_name(zone: u32, number: u32) -> id::EntryHostId {
    format!("entry-{zone}-{number}")
        .parse()
        .expect("a valid name")
}

fn zone_name(zone: u32) -> id::AvailabilityZoneId {
    format!("zone-{zone}").parse().expect("a valid name")
}
