//! Queue of requests that wait for a target, ordered by urgency and then by arrival.
//!
//! Each entry has a time at which its wait is given up. The user of the queue compares that time
//! with [`estimate_wait`] before adding an entry, and refuses a request that would time out in the
//! queue, so that the request can be sent elsewhere at once. The user also bounds the number of
//! entries, see [`WaitQueue::len_of`].
//!
//! Insertion, removal and access to the first entry cost O(log n).
//!
//! ```
//! use mangotrestle_core::job::Urgency;
//! use mangotrestle_core::routing::wait_queue::WaitQueue;
//! use mangotrestle_core::time::TimeMs;
//!
//! let mut queue = WaitQueue::new();
//! let background = queue.push(TimeMs(0), Urgency::Background, TimeMs(50), "report");
//! let urgent = queue.push(TimeMs(0), Urgency::Urgent, TimeMs(50), "payment");
//! assert_eq!(queue.first(), Some((urgent, &"payment")));
//! assert_eq!(queue.remove(urgent), Some("payment"));
//! assert_eq!(queue.first().map(|(wait_id, _)| wait_id), Some(background));
//! ```

use std::collections::BTreeMap;

use crate::job;
use crate::time;

/// Identifies one entry of a queue. Ids order entries by urgency, then by arrival.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WaitId {
    urgency: job::Urgency,
    number: u64,
}

#[derive(Clone, Debug)]
struct Entry<T> {
    give_up_at: time::TimeMs,
    item: T,
}

/// A queue of waiting requests. See the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct WaitQueue<T> {
    entries: BTreeMap<WaitId, Entry<T>>,
    /// Number of entries of each urgency.
    counts: [usize; 3],
    next_number: u64,
    /// When the queue became non-empty; unset while it is empty.
    nonempty_since: Option<time::TimeMs>,
}

impl<T> Default for WaitQueue<T> {
    fn default() -> Self {
        Self::new()
    }
}

impl<T> WaitQueue<T> {
    /// Returns an empty queue.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            entries: BTreeMap::new(),
            counts: [0; 3],
            next_number: 0,
            nonempty_since: None,
        }
    }

    /// Number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the queue has no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Number of entries that would be served before a new one of the given urgency.
    #[must_use]
    pub fn ahead_of(&self, urgency: job::Urgency) -> usize {
        self.counts[..=urgency as usize].iter().sum()
    }

    /// Number of entries of the given urgency.
    #[must_use]
    pub const fn len_of(&self, urgency: job::Urgency) -> usize {
        self.counts[urgency as usize]
    }

    /// How long the queue has been non-empty without interruption. A standing queue, which never
    /// empties, delays every request and serves none of them earlier.
    #[must_use]
    pub fn nonempty_for(&self, now: time::TimeMs) -> time::SpanMs {
        self.nonempty_since
            .map_or(time::SpanMs(0), |since| now.since(since))
    }

    /// Adds an entry whose wait is given up at the given time.
    pub fn push(
        &mut self,
        now: time::TimeMs,
        urgency: job::Urgency,
        give_up_at: time::TimeMs,
        item: T,
    ) -> WaitId {
        self.nonempty_since.get_or_insert(now);
        let wait_id = WaitId {
            urgency,
            number: self.next_number,
        };
        self.next_number += 1;
        self.counts[urgency as usize] += 1;
        self.entries.insert(wait_id, Entry { give_up_at, item });
        wait_id
    }

    /// Returns the entry to serve next.
    #[must_use]
    pub fn first(&self) -> Option<(WaitId, &T)> {
        self.iter().next()
    }

    /// Iterates over the entries in the order in which they are to be served.
    pub fn iter(&self) -> impl Iterator<Item = (WaitId, &T)> {
        self.entries
            .iter()
            .map(|(&wait_id, entry)| (wait_id, &entry.item))
    }

    /// Removes an entry. Returns `None` if the queue does not hold it.
    pub fn remove(&mut self, wait_id: WaitId) -> Option<T> {
        let entry = self.entries.remove(&wait_id)?;
        self.counts[wait_id.urgency as usize] -= 1;
        if self.entries.is_empty() {
            self.nonempty_since = None;
        }
        Some(entry.item)
    }

    /// Removes and returns every entry whose wait is given up by `now`, at a cost of O(n).
    pub fn take_expired(&mut self, now: time::TimeMs) -> Vec<(WaitId, T)> {
        let expired: Vec<WaitId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.give_up_at <= now)
            .map(|(&wait_id, _)| wait_id)
            .collect();
        expired
            .into_iter()
            .filter_map(|wait_id| Some((wait_id, self.remove(wait_id)?)))
            .collect()
    }
}

/// Returns the expected wait of a request with `ahead` others before it, when `in_service` requests
/// are served at the same time for `service_us` microseconds each.
///
/// ```
/// use mangotrestle_core::routing::wait_queue;
/// use mangotrestle_core::time::SpanMs;
/// // Ten ahead, five at a time, 20 ms each: two rounds and part of a third.
/// assert_eq!(wait_queue::estimate_wait(10, 5, 20_000), SpanMs(44));
/// ```
#[must_use]
pub fn estimate_wait(ahead: usize, in_service: u32, service_us: u64) -> time::SpanMs {
    let requests = u64::try_from(ahead).unwrap_or(u64::MAX).saturating_add(1);
    let wait_us = requests.saturating_mul(service_us) / u64::from(in_service.max(1));
    time::SpanMs(wait_us / 1_000)
}
