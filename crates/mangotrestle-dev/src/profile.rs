//! The users' deployments: availability zones, workers, racks, latencies and slots.
//!
//! `demo`, `up` and `measure` all take their sizes from here, so that every figure is about one of
//! the two real deployments.

use std::time;

use mangotrestle_core::resources;

/// A group of like workers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerGroup {
    /// Name of the group; part of its workers' names.
    pub name: &'static str,
    /// Number of workers in the whole deployment, dealt over the availability zones in turn.
    pub workers: u32,
    /// Workers in one rack.
    pub workers_per_rack: u32,
    /// What one worker holds.
    pub capacity: resources::Resources,
}

/// One user's deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Profile {
    /// Short name, as the command line takes it.
    pub name: &'static str,
    /// What the deployment is.
    pub title: &'static str,
    /// Its availability zones.
    pub availability_zones: &'static [&'static str],
    /// Its workers.
    pub groups: &'static [WorkerGroup],
    /// Number of entry hosts in the whole deployment.
    pub entry_hosts: u32,
    /// One-way latency between availability zones.
    pub zone_latency: time::Duration,
    /// One-way latency between callers and entry hosts.
    pub caller_latency: time::Duration,
    /// Requests that a worker serves at a time.
    pub request_slots_per_worker: u32,
    /// Connections that a worker accepts.
    pub connections_per_worker: u32,
}

/// Bookings, payments, certificates and plate recognition in Attica.
pub const AUTHORITY: Profile = Profile {
    name: "authority",
    title: "KTEO Booking Cluster (Attica)",
    availability_zones: &["piraeus", "peristeri", "marousi", "glyfada"],
    groups: &[
        WorkerGroup {
            name: "booking",
            workers: 35,
            workers_per_rack: 4,
            capacity: capacity(16, 64, 0),
        },
        WorkerGroup {
            name: "image",
            workers: 13,
            workers_per_rack: 3,
            capacity: capacity(128, 256, 8),
        },
    ],
    entry_hosts: 8,
    zone_latency: time::Duration::from_micros(1_500),
    caller_latency: time::Duration::from_millis(3),
    request_slots_per_worker: 8,
    connections_per_worker: 64,
};

/// Sample registry and spectral fits in Kigali.
pub const LABORATORY: Profile = Profile {
    name: "laboratory",
    title: "Transformer-oil platform (Kigali)",
    availability_zones: &["gikondo", "kicukiro", "remera"],
    groups: &[
        WorkerGroup {
            name: "registry",
            workers: 35,
            workers_per_rack: 5,
            capacity: capacity(64, 128, 0),
        },
        WorkerGroup {
            name: "spectral",
            workers: 13,
            workers_per_rack: 3,
            capacity: capacity(64, 256, 8),
        },
    ],
    entry_hosts: 8,
    zone_latency: time::Duration::from_millis(1),
    caller_latency: time::Duration::from_millis(3),
    request_slots_per_worker: 8,
    connections_per_worker: 64,
};

/// Every profile.
pub const ALL: &[Profile] = &[AUTHORITY, LABORATORY];

/// Task slots of a worker.
const TASK_SLOTS: u32 = 8;

/// Mebibytes in a gibibyte.
const MIB_PER_GIB: u64 = 1_024;

const fn capacity(cores: u64, memory_gib: u64, accelerators: u32) -> resources::Resources {
    resources::Resources {
        cpu_millicores: cores * 1_000,
        memory_mib: memory_gib * MIB_PER_GIB,
        accelerators,
        slots: TASK_SLOTS,
    }
}

/// One worker of a profile.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPlan {
    /// Name of the worker.
    pub id: String,
    /// Availability zone that it stands in.
    pub availability_zone: &'static str,
    /// Rack that it stands in.
    pub rack: String,
    /// What it holds.
    pub capacity: resources::Resources,
}

impl Profile {
    /// The profile with this name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<&'static Self> {
        ALL.iter().find(|profile| profile.name == name)
    }

    /// Every worker, dealt over the availability zones in turn and then over racks.
    #[must_use]
    pub fn worker_plans(&self) -> Vec<WorkerPlan> {
        self.groups
            .iter()
            .flat_map(|group| self.plans_of(group))
            .collect()
    }

    /// The workers of one group.
    pub fn plans_of(&self, group: &WorkerGroup) -> impl Iterator<Item = WorkerPlan> + use<> {
        let zones = self.availability_zones;
        let group = *group;
        (0..group.workers as usize).map(move |index| {
            let zone = zones[index % zones.len()];
            let rack = index / zones.len() / group.workers_per_rack as usize;
            WorkerPlan {
                id: format!("{zone}-{}-{index}", group.name),
                availability_zone: zone,
                rack: format!("{zone}-{}-rack-{rack}", group.name),
                capacity: group.capacity,
            }
        })
    }

    /// Availability zone of each entry host, dealt in turn.
    pub fn entry_host_zones(&self) -> impl Iterator<Item = &'static str> + use<'_> {
        let zones = self.availability_zones;
        (0..self.entry_hosts as usize).map(|index| zones[index % zones.len()])
    }
}
