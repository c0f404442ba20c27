//! Sizes of the users' deployments: availability zones, workers, racks, latencies and slots.
//!
//! `demo`, `up` and `measure` take their sizes from here, so that every figure refers to one of the
//! two real deployments.

use std::time;

use mangotrestle_core::resources;

/// A group of workers with equal capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WorkerGroup {
    /// Name of the group, which is part of its workers' names.
    pub name: &'static str,
    /// Number of workers in the whole deployment, assigned to the availability zones in turn.
    pub workers: u32,
    /// Number of workers in one rack.
    pub workers_per_rack: u32,
    /// Capacity of one worker.
    pub capacity: resources::Resources,
}

/// Size of one user's deployment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Profile {
    /// Short name, as given on the command line.
    pub name: &'static str,
    /// Title, as printed in reports.
    pub title: &'static str,
    /// Names of the availability zones.
    pub availability_zones: &'static [&'static str],
    /// Groups of workers.
    pub groups: &'static [WorkerGroup],
    /// Number of entry hosts in the whole deployment.
    pub entry_hosts: u32,
    /// One-way latency between availability zones.
    pub zone_latency: time::Duration,
    /// One-way latency between callers and entry hosts.
    pub caller_latency: time::Duration,
    /// Maximum number of requests that a worker serves concurrently.
    pub request_slots_per_worker: u32,
    /// Maximum number of connections that a worker accepts.
    pub connections_per_worker: u32,
}

/// Deployment for bookings, payments, certificates and plate recognition in Attica.
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

/// Deployment for a sample registry and spectral fits in Kigali.
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

/// All profiles, selectable by name.
pub const ALL: &[Profile] = &[AUTHORITY, LABORATORY];

/// Number of tasks that a worker can run concurrently.
const TASK_SLOTS_PER_WORKER: u32 = 8;

const MIB_PER_GIB: u64 = 1_024;

const fn capacity(cores: u64, memory_gib: u64, accelerators: u32) -> resources::Resources {
    resources::Resources {
        cpu_millicores: cores * 1_000,
        memory_mib: memory_gib * MIB_PER_GIB,
        accelerators,
        slots: TASK_SLOTS_PER_WORKER,
    }
}

/// One worker of a profile.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerPlan {
    /// Name of the worker.
    pub id: String,
    /// Availability zone of the worker.
    pub availability_zone: &'static str,
    /// Rack of the worker.
    pub rack: String,
    /// Capacity of the worker.
    pub capacity: resources::Resources,
}

impl Profile {
    /// Returns the profile with this name.
    #[must_use]
    pub fn by_name(name: &str) -> Option<&'static Self> {
        ALL.iter().find(|profile| profile.name == name)
    }

    /// Returns all workers, assigned to the availability zones in turn. Within a zone, each rack is
    /// filled before the next.
    #[must_use]
    pub fn worker_plans(&self) -> Vec<WorkerPlan> {
        self.groups
            .iter()
            .flat_map(|group| self.worker_plans_of(group))
            .collect()
    }

    /// Returns the workers of one group.
    pub fn worker_plans_of(&self, group: &WorkerGroup) -> impl Iterator<Item = WorkerPlan> + use<> {
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

    /// Returns the availability zone of each entry host, assigned in turn.
    pub fn entry_host_zones(&self) -> impl Iterator<Item = &'static str> + use<'_> {
        let zones = self.availability_zones;
        (0..self.entry_hosts as usize).map(|index| zones[index % zones.len()])
    }
}
