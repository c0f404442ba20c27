//! Index of workers by free capacity.
//!
//! Workers are grouped into buckets by (has accelerators, free accelerators, free slots, bit length
//! of the free processor time, bit length of the free memory). A search visits the buckets that can
//! hold the need and takes a few candidates from each, so its cost depends on the number of
//! buckets, which hardly grows with the number of workers. Only in a bucket that shares a bit
//! length with the need may members not fit and be skipped one by one; the members of a bucket are
//! stored in one array.

use std::collections::BTreeMap;
use std::ops::ControlFlow;

use super::amount;

/// Key of a worker in the scheduler's table.
pub(super) type WorkerKey = u32;

/// Key of a bucket. Sorts workers without accelerators first, then by ascending free amounts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct BucketKey {
    accelerator_host: bool,
    accelerators: u16,
    slots: u16,
    cpu_bit_length: u8,
    memory_bit_length: u8,
}

impl BucketKey {
    fn of(free: &amount::Amount, accelerator_host: bool) -> Self {
        Self {
            accelerator_host,
            accelerators: free.accelerators,
            slots: free.slots,
            cpu_bit_length: bit_length(free.cpu_millicores),
            memory_bit_length: bit_length(free.memory_mib),
        }
    }

    fn may_hold(self, need: Self) -> bool {
        self.accelerators >= need.accelerators
            && self.slots >= need.slots
            && self.cpu_bit_length >= need.cpu_bit_length
            && self.memory_bit_length >= need.memory_bit_length
    }
}

fn bit_length(amount: u32) -> u8 {
    // The maximum value is 32.
    u8::try_from(u32::BITS - amount.leading_zeros()).unwrap_or(u8::MAX)
}

#[derive(Clone, Copy, Debug)]
struct Member {
    worker: WorkerKey,
    free: amount::Amount,
}

#[derive(Clone, Copy, Debug)]
struct Location {
    bucket_key: BucketKey,
    position: u32,
}

/// Order in which buckets are searched.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum SearchOrder {
    /// Workers with the least free capacity first.
    LeastFreeFirst,
    /// Workers with the most free capacity first.
    MostFreeFirst,
}

/// Workers by free capacity.
#[derive(Debug, Default)]
pub(super) struct FreeIndex {
    buckets: BTreeMap<BucketKey, Vec<Member>>,
    locations: Vec<Option<Location>>,
    total: amount::Total,
    len: usize,
}

impl FreeIndex {
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the sum of the free capacity of all workers in the index.
    pub(super) fn total(&self) -> &amount::Total {
        &self.total
    }

    /// Returns the free capacity of a worker, if it is in the index.
    pub(super) fn free(&self, worker: WorkerKey) -> Option<amount::Amount> {
        let location = self.locations.get(worker as usize).copied().flatten()?;
        Some(self.buckets[&location.bucket_key][location.position as usize].free)
    }

    /// Inserts a worker or updates its free capacity. Takes constant time, apart from finding the
    /// bucket.
    pub(super) fn insert(
        &mut self,
        worker: WorkerKey,
        free: amount::Amount,
        accelerator_host: bool,
    ) {
        let bucket_key = BucketKey::of(&free, accelerator_host);
        let location = self.locations.get(worker as usize).copied().flatten();
        if let Some(location) = location.filter(|location| location.bucket_key == bucket_key) {
            self.update_free(location, free);
            return;
        }
        self.remove(worker);
        let members = self.buckets.entry(bucket_key).or_default();
        let position = u32::try_from(members.len()).unwrap_or(u32::MAX);
        members.push(Member { worker, free });
        if self.locations.len() <= worker as usize {
            self.locations.resize(worker as usize + 1, None);
        }
        self.locations[worker as usize] = Some(Location {
            bucket_key,
            position,
        });
        self.total.add(&free);
        self.len += 1;
    }

    fn update_free(&mut self, location: Location, free: amount::Amount) {
        let Some(members) = self.buckets.get_mut(&location.bucket_key) else {
            return;
        };
        let member = &mut members[location.position as usize];
        self.total.subtract(&member.free);
        self.total.add(&free);
        member.free = free;
    }

    /// Removes a worker, if it is in the index.
    pub(super) fn remove(&mut self, worker: WorkerKey) {
        let Some(location) = self
            .locations
            .get_mut(worker as usize)
            .and_then(Option::take)
        else {
            return;
        };
        let Some(members) = self.buckets.get_mut(&location.bucket_key) else {
            return;
        };
        let member = members.swap_remove(location.position as usize);
        if let Some(moved) = members.get(location.position as usize) {
            self.locations[moved.worker as usize] = Some(location);
        }
        if members.is_empty() {
            self.buckets.remove(&location.bucket_key);
        }
        self.total.subtract(&member.free);
        self.len -= 1;
    }

    /// Calls `visit` with workers that fit the need, bucket by bucket and at most `max_per_bucket`
    /// of each, until `visit` returns [`ControlFlow::Break`]. `offset` selects the member of a
    /// bucket to begin with.
    ///
    /// Every bucket that holds a fitting worker is visited, so a search that visits no worker
    /// proves that none fits.
    pub(super) fn search(
        &self,
        need: &amount::Amount,
        scope: SearchScope,
        mut visit: impl FnMut(WorkerKey, &amount::Amount) -> ControlFlow<()>,
    ) {
        let need_key = BucketKey::of(need, false);
        for accelerator_host in [false, true] {
            if accelerator_host && scope.skip_accelerator_hosts {
                return;
            }
            let lowest = BucketKey {
                accelerator_host,
                ..need_key
            };
            let highest = BucketKey {
                accelerator_host,
                accelerators: u16::MAX,
                slots: u16::MAX,
                cpu_bit_length: u8::MAX,
                memory_bit_length: u8::MAX,
            };
            let range = self.buckets.range(lowest..=highest);
            let mut visit_if_matching = |(bucket_key, members): (&BucketKey, &Vec<Member>)| {
                if bucket_key.may_hold(need_key) {
                    visit_bucket(need, members, &scope, &mut visit)
                } else {
                    ControlFlow::Continue(())
                }
            };
            let flow = match scope.order {
                SearchOrder::LeastFreeFirst => {
                    range.into_iter().try_for_each(&mut visit_if_matching)
                }
                SearchOrder::MostFreeFirst => {
                    range.into_iter().rev().try_for_each(&mut visit_if_matching)
                }
            };
            if flow.is_break() {
                return;
            }
        }
    }
}

/// Order and limits of a search.
#[derive(Clone, Copy, Debug)]
pub(super) struct SearchScope {
    pub(super) order: SearchOrder,
    pub(super) max_per_bucket: usize,
    pub(super) offset: usize,
    pub(super) skip_accelerator_hosts: bool,
}

fn visit_bucket(
    need: &amount::Amount,
    members: &[Member],
    scope: &SearchScope,
    visit: &mut impl FnMut(WorkerKey, &amount::Amount) -> ControlFlow<()>,
) -> ControlFlow<()> {
    let start = scope.offset % members.len();
    let (before, after) = members.split_at(start);
    let mut found = 0;
    for member in after.iter().chain(before) {
        if !need.fits_in(&member.free) {
            continue;
        }
        visit(member.worker, &member.free)?;
        found += 1;
        if found == scope.max_per_bucket {
            break;
        }
    }
    ControlFlow::Continue(())
}
