//! Division of a service's workers into pools, so that no host leads a whole large service.
//!
//! A [`Division`] is a stored row that is written once, before a service's first pool is led. It
//! deals the service's racks over the pools, a like share of each availability zone to each, so that
//! the loss of a zone takes the same part of every pool. Each pool has its own leader, part of the
//! store, queue and feeds.
//!
//! The identity of a job is in its *home* pool, which follows from its identifier and the
//! [home service](super::queue_home) of its queue, so that a resent job is found again wherever it runs.
//! Usually the home pool runs the job, too. Otherwise
//! its record names the pools that do, and the home pool's leader hands it over to them: to one pool
//! that has its data, the workers that it needs, or less waiting work; or, for the tasks of a service,
//! to all pools, each of which runs a part of them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::membership::rendezvous;

use super::admission;
use super::leadership::PoolSummary;
use super::message::WorkerEntry;
use super::spec::{JobPools, JobRecord};

/// Maximum number of workers in a pool when a service is divided: the leader of so many keeps up
/// with a quarter of a core.
pub const MAX_POOL_WORKERS: usize = 320;
/// Difference of the waits of two pools from which a job runs in the one with the shorter wait
/// instead of its home. A hand-over takes one more commit.
const MIN_WAIT_DIFFERENCE_MS: u64 = 150;

/// Maximum number of pools of a service: those of a third of a million workers.
const MAX_POOLS: u32 = 1_024;

/// Division of a service's workers into pools.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "StoredDivision")]
pub struct Division {
    /// Number of pools.
    pools: u32,
    /// Pool of each rack that was known when the service was divided. The pool of any other rack
    /// follows from its name.
    racks: BTreeMap<String, u32>,
}

/// A division as it is stored, which another writer may have left.
#[derive(Deserialize)]
struct StoredDivision {
    pools: u32,
    racks: BTreeMap<String, u32>,
}

/// Why a stored division cannot be used.
#[derive(Clone, Debug, displaydoc::Display, Eq, PartialEq)]
pub enum InvalidDivision {
    /// the service has {0} pools, 1 to 1024 are allowed
    PoolCount(u32),
    /// a rack is in pool {index} of {pools}
    RackPool {
        /// Index of the pool.
        index: u32,
        /// Number of pools.
        pools: u32,
    },
}

impl std::error::Error for InvalidDivision {}

impl TryFrom<StoredDivision> for Division {
    type Error = InvalidDivision;

    fn try_from(stored: StoredDivision) -> Result<Self, InvalidDivision> {
        let StoredDivision { pools, racks } = stored;
        if !(1..=MAX_POOLS).contains(&pools) {
            return Err(InvalidDivision::PoolCount(pools));
        }
        if let Some(&index) = racks.values().find(|index| **index >= pools) {
            return Err(InvalidDivision::RackPool { index, pools });
        }
        Ok(Self { pools, racks })
    }
}

impl Default for Division {
    fn default() -> Self {
        Self::whole()
    }
}

impl Division {
    /// Returns a division into a single pool.
    #[must_use]
    pub const fn whole() -> Self {
        Self {
            pools: 1,
            racks: BTreeMap::new(),
        }
    }

    /// Divides a service with these workers.
    #[must_use]
    pub fn plan<'a>(workers: impl IntoIterator<Item = &'a WorkerEntry>) -> Self {
        let mut racks: BTreeMap<&str, Rack<'_>> = BTreeMap::new();
        let mut count = 0;
        for worker in workers {
            count += 1;
            let rack = racks.entry(worker.rack()).or_insert(Rack {
                name: worker.rack(),
                zone: &worker.zone,
                capacity: 0,
            });
            rack.capacity = rack.capacity.saturating_add(weight(worker));
        }
        let pools = u32::try_from(usize::max(count, 1).div_ceil(MAX_POOL_WORKERS));
        let mut division = Self {
            pools: pools.unwrap_or(MAX_POOLS).min(MAX_POOLS),
            racks: BTreeMap::new(),
        };
        if division.pools > 1 {
            division.deal(racks.into_values().collect());
        }
        division
    }

    /// Deals racks over the pools, largest first, each to the pool that has the least of its zone,
    /// and the least in all among equals.
    fn deal(&mut self, mut racks: Vec<Rack<'_>>) {
        racks.sort_by_key(|rack| (std::cmp::Reverse(rack.capacity), rack.name));
        let mut dealt: Vec<BTreeMap<&str, u64>> = vec![BTreeMap::new(); self.pools as usize];
        for rack in racks {
            let sum =
                |pool: &BTreeMap<&str, u64>| pool.values().copied().fold(0, u64::saturating_add);
            let in_zone = |pool: &BTreeMap<&str, u64>| pool.get(rack.zone).copied().unwrap_or(0);
            let pools = (0_u32..).zip(&mut dealt);
            let least = pools.min_by_key(|(_, pool)| (in_zone(pool), sum(pool)));
            if let Some((index, pool)) = least {
                let dealt = pool.entry(rack.zone).or_default();
                *dealt = dealt.saturating_add(rack.capacity);
                self.racks.insert(rack.name.to_owned(), index);
            }
        }
    }

    /// Whether the service has a single pool.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.pools <= 1
    }

    /// Returns the names of the pools of a service.
    pub fn pool_names(&self, service: &str) -> impl Iterator<Item = String> + use<'_> {
        let service = service.to_owned();
        (0..self.pools).map(move |index| self.name(&service, index))
    }

    fn name(&self, service: &str, index: u32) -> String {
        if self.is_whole() {
            service.to_owned()
        } else {
            format!("{service}/{index}")
        }
    }

    /// Returns the pool of a worker of the service.
    #[must_use]
    pub fn pool_of(&self, service: &str, worker: &WorkerEntry) -> String {
        self.name(service, self.index_of_rack(worker.rack()))
    }

    fn index_of_rack(&self, rack: &str) -> u32 {
        let known = self.racks.get(rack).copied();
        known.unwrap_or_else(|| self.index_of(rack))
    }

    /// Returns the home pool of a job of the service.
    #[must_use]
    pub fn home_of(&self, service: &str, job: &id::JobId) -> String {
        self.name(service, self.index_of(job.as_str()))
    }

    /// Returns the pool that a text is assigned to by its hash.
    fn index_of(&self, text: &str) -> u32 {
        let pools = u64::from(self.pools.max(1));
        u32::try_from(rendezvous::hash(text) % pools).unwrap_or_default()
    }

    /// Chooses the pools of the service that run a job, from the summaries that their leaders published;
    /// `None` if its `home` does, which may be a pool of another service. `random` is a random number for
    /// each job.
    #[must_use]
    pub fn choose<'a>(
        &self,
        service: &str,
        home: &str,
        job: &id::JobId,
        record: &JobRecord,
        summary_of: impl Fn(&str) -> Option<&'a PoolSummary>,
        random: u64,
    ) -> Option<JobPools> {
        if self.is_whole() && home == service {
            return None;
        }
        let usual = self.home_of(service, job);
        let fits = |pool: &String| {
            let summary = summary_of(pool);
            summary.is_none_or(|summary| {
                summary.workers != Some(0) && admission::fits_workers(record, summary)
            })
        };
        let fitting: Vec<String> = self.pool_names(service).filter(fits).collect();
        let tasks = record.steps.first().map_or(0, |step| step.count);
        let is_shared = record.is_divisible() && (2..=tasks as usize).contains(&fitting.len());
        let pools = if is_shared {
            fitting
        } else {
            let wait_ms = |pool: &str| {
                let summary = summary_of(pool);
                summary.map_or(0, |summary| admission::wait_ms(record, summary))
            };
            vec![self.choose_one(service, record, &usual, &fitting, wait_ms, random)]
        };
        let home = home.to_owned();
        (pools != [home.as_str()]).then_some(JobPools { home, pools })
    }

    /// Chooses the pool that runs a whole job: the one that has its data, the usual one, or another one
    /// chosen at random if the wait there is much shorter. A choice of two at random, in place of the
    /// shortest of all, does not send every job to one pool while the summaries are old.
    fn choose_one(
        &self,
        service: &str,
        record: &JobRecord,
        usual: &str,
        fitting: &[String],
        wait_ms: impl Fn(&str) -> u64,
        random: u64,
    ) -> String {
        let mut racks = record
            .steps
            .iter()
            .filter_map(|step| step.affinity_rack.as_deref());
        let data_pool = racks
            .next()
            .map(|rack| self.name(service, self.index_of_rack(rack)));
        if let Some(pool) = data_pool.filter(|pool| fitting.contains(pool)) {
            return pool;
        }
        let others: Vec<&String> = fitting.iter().filter(|pool| *pool != usual).collect();
        let Some(count) = u64::try_from(others.len()).ok().filter(|&count| count > 0) else {
            return usual.to_owned();
        };
        let other = others[usize::try_from(random % count).unwrap_or_default()];
        let usual_fits = fitting.iter().any(|pool| pool == usual);
        let wait_there_ms = wait_ms(other).saturating_add(MIN_WAIT_DIFFERENCE_MS);
        if !usual_fits || wait_there_ms <= wait_ms(usual) {
            other.clone()
        } else {
            usual.to_owned()
        }
    }
}

/// A rack, as it is dealt to a pool.
struct Rack<'a> {
    name: &'a str,
    zone: &'a str,
    capacity: u64,
}

/// Returns the capacity of a worker in thousandths of a core; an accelerator counts as eight cores.
fn weight(worker: &WorkerEntry) -> u64 {
    let accelerators = u64::from(worker.capacity.accelerators) * 8_000;
    worker.capacity.cpu_millicores.saturating_add(accelerators)
}
