//! Leased shares of the workers' request slots.
//!
//! A worker has a few slots for requests, and every entry host may send to it. Were each entry
//! host to count only its own requests, all of them together could overrun the worker. So the
//! pool's acting leader keeps a [`Ledger`] and leases shares of each worker to entry hosts; an
//! entry host keeps what it was given in a [`Holder`] and never begins a request outside of it.
//!
//! # Why the sum never exceeds the worker's slots
//!
//! - A share lapses one term after the entry host *sent* its request, by the entry host's own
//!   clock. The leader counts the term from when the request *arrived*, which is later, and adds
//!   the longest time of a request and a margin for drift: only then is it sure that nothing begun
//!   under the share still runs.
//! - A share that is made smaller still counts in full until the entry host has acknowledged the
//!   smaller one (and then as much as it still has in flight), or until it has lapsed.
//! - A new leader does not know the shares of the one before. For one term and the longest request
//!   it only renews what entry hosts say they hold.
//! - Only an acting leader may use its ledger; the lease protocol of the pool sees to that.
//!
//! A move of slots from one entry host to another takes about two request intervals when both are
//! reachable, and a term and the longest request when the one that loses slots is cut off.
//!
//! A request costs O(workers × entry hosts that hold shares of them).
//!
//! ```
//! use mangotrestle_core::id;
//! use mangotrestle_core::routing::slot_share;
//! use mangotrestle_core::time::{SpanMs, TimeMs};
//!
//! let worker = id::WorkerId::new("w-1").unwrap();
//! let entry_host = id::EntryHostId::new("e-1").unwrap();
//! let mut ledger = slot_share::Ledger::new(slot_share::ShareTimes::default());
//! ledger.set_worker(&worker, slot_share::Capacity { slots: 8, connections: 64 });
//!
//! let mut holder = slot_share::Holder::new(entry_host, id::Incarnation(1));
//! let demand = [slot_share::Demand { worker: worker.clone(), in_use: 0, wanted: 3 }];
//! let request = holder.request(TimeMs(100), &demand);
//! let grant = ledger.handle(TimeMs(5_000), &request);
//! holder.install(&grant);
//! assert_eq!(holder.slots(&worker, TimeMs(200)), 8, "nobody else wants any");
//! assert_eq!(holder.slots(&worker, TimeMs(100) + SpanMs::from_secs(60)), 0, "lapsed");
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::id;
use crate::routing::snapshot;
use crate::time;

/// How long shares last.
#[derive(Clone, Copy, Debug)]
pub struct ShareTimes {
    /// A share lapses this long after its request was sent.
    pub term: time::SpanMs,
    /// The longest time that a request begun under a share may run.
    pub max_request_time: time::SpanMs,
    /// Margin for clocks that run at different rates, for one term and one request.
    pub drift_margin: time::SpanMs,
}

impl Default for ShareTimes {
    fn default() -> Self {
        Self {
            term: time::SpanMs::from_secs(10),
            max_request_time: time::SpanMs::from_secs(60),
            drift_margin: time::SpanMs(500),
        }
    }
}

impl ShareTimes {
    /// Time from the arrival of a request for shares until nothing runs under them any more.
    #[must_use]
    pub fn reclaim_delay(&self) -> time::SpanMs {
        self.term + self.max_request_time + self.drift_margin
    }
}

/// What a worker can take at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Requests in flight.
    pub slots: u32,
    /// Open connections.
    pub connections: u32,
}

/// What an entry host uses and would use of a worker.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The worker.
    pub worker: id::WorkerId,
    /// Requests in flight.
    pub in_use: u32,
    /// Slots that the entry host has use for, those in flight included.
    pub wanted: u32,
}

/// One line of a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RequestedShare {
    /// What the entry host uses and would use.
    pub demand: Demand,
    /// Slots that it holds now.
    pub held: u32,
}

/// An entry host asks the leader of a pool for shares and acknowledges the last grant.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// The entry host.
    pub entry_host: id::EntryHostId,
    /// Life of its process.
    pub incarnation: id::Incarnation,
    /// Counts the requests of this incarnation.
    pub number: u64,
    /// When the request was sent, by the entry host's clock.
    pub sent_at: time::TimeMs,
    /// Number of the request that the installed grant answered; zero if none is installed.
    pub installed: u64,
    /// The workers of the pool that the entry host has routes to.
    pub shares: Vec<RequestedShare>,
}

/// One line of a [`ShareGrant`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GrantedShare {
    /// The worker.
    pub worker: id::WorkerId,
    /// Slots.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
}

/// The leader's answer to a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Number of the request that this answers.
    pub number: u64,
    /// When that request was sent, by the entry host's clock.
    pub sent_at: time::TimeMs,
    /// The shares lapse this long after `sent_at`.
    pub term: time::SpanMs,
    /// The shares, for all workers of the request.
    pub shares: Vec<GrantedShare>,
}

#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HolderId {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
}

/// What one entry host may be using of one worker.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Number of the request that the last grant answered.
    granted_number: u64,
    /// Slots that may be in use, by all grants that are not surely over.
    owed: u32,
    /// When nothing is owed any more if the entry host stays silent.
    free_at: time::TimeMs,
    /// Slots that the entry host wants.
    wanted: u32,
}

#[derive(Clone, Debug)]
struct WorkerLedger {
    capacity: Capacity,
    holdings: BTreeMap<HolderId, Holding>,
}

/// The leader's record of the shares of a pool, see the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct Ledger {
    terms: ShareTimes,
    workers: FastMap<id::WorkerId, WorkerLedger>,
    /// Number of the last request of each holder.
    last_numbers: BTreeMap<HolderId, u64>,
    only_renew_until: time::TimeMs,
}

impl Ledger {
    /// A ledger of a pool that no one led before.
    #[must_use]
    pub fn new(terms: ShareTimes) -> Self {
        Self {
            terms,
            workers: FastMap::default(),
            last_numbers: BTreeMap::new(),
            only_renew_until: time::TimeMs(0),
        }
    }

    /// A ledger of a leader that took over a pool at `now`.
    #[must_use]
    pub fn after_takeover(terms: ShareTimes, now: time::TimeMs) -> Self {
        Self {
            only_renew_until: now + terms.reclaim_delay(),
            ..Self::new(terms)
        }
    }

    /// Adds a worker or changes its capacity.
    pub fn set_worker(&mut self, worker: &id::WorkerId, capacity: Capacity) {
        self.workers
            .entry(worker.clone())
            .and_modify(|ledger| ledger.capacity = capacity)
            .or_insert_with(|| WorkerLedger {
                capacity,
                holdings: BTreeMap::new(),
            });
    }

    /// Removes a worker that left the pool.
    pub fn remove_worker(&mut self, worker: &id::WorkerId) {
        self.workers.remove(worker);
    }

    /// Answers a request for shares. A request that is older than one already answered is granted
    /// nothing new and acknowledges nothing.
    pub fn handle(&mut self, now: time::TimeMs, request: &ShareRequest) -> ShareGrant {
        let holder = HolderId {
            entry_host: request.entry_host.clone(),
            incarnation: request.incarnation,
        };
        let mut grant = ShareGrant {
            number: request.number,
            sent_at: request.sent_at,
            term: self.terms.term,
            shares: Vec::with_capacity(request.shares.len()),
        };
        let last_number = self.last_numbers.get(&holder).copied().unwrap_or(0);
        if request.number <= last_number {
            return grant;
        }
        self.last_numbers.insert(holder.clone(), request.number);
        let only_renew = now < self.only_renew_until;
        for share in &request.shares {
            let Some(worker) = self.workers.get_mut(&share.demand.worker) else {
                continue;
            };
            worker.forget_lapsed(now);
            worker.take_in(&holder, share, request.installed);
            let ceiling = if only_renew { share.held } else { u32::MAX };
            let free_at = now + self.terms.reclaim_delay();
            let slots = worker.grant(&holder, request.number, ceiling, free_at);
            grant.shares.push(GrantedShare {
                worker: share.demand.worker.clone(),
                slots,
                connections: worker.connections_for(slots),
            });
        }
        grant
    }

    /// Slots of a worker that entry hosts may be using, for checks and status.
    #[must_use]
    pub fn owed_slots(&self, worker: &id::WorkerId, now: time::TimeMs) -> u32 {
        self.workers.get(worker).map_or(0, |ledger| {
            ledger
                .holdings
                .values()
                .filter(|holding| holding.free_at > now)
                .map(|holding| holding.owed)
                .sum()
        })
    }
}

impl WorkerLedger {
    fn forget_lapsed(&mut self, now: time::TimeMs) {
        self.holdings.retain(|_, holding| holding.free_at > now);
    }

    /// Takes in what an entry host uses, holds and wants. Once it has installed the last grant or
    /// a later one, what it holds and has in flight is all that it may be using.
    fn take_in(&mut self, holder: &HolderId, share: &RequestedShare, installed: u64) {
        let holding = self.holdings.entry(holder.clone()).or_insert(Holding {
            granted_number: 0,
            owed: 0,
            free_at: time::TimeMs(0),
            wanted: 0,
        });
        holding.wanted = share.demand.wanted;
        let in_use_or_held = share.held.max(share.demand.in_use);
        let acknowledged = installed >= holding.granted_number;
        holding.owed = if acknowledged {
            in_use_or_held
        } else {
            holding.owed.max(in_use_or_held)
        };
    }

    /// Grants the holder its fair part, as far as what others may be using allows.
    fn grant(
        &mut self,
        holder: &HolderId,
        number: u64,
        ceiling: u32,
        free_at: time::TimeMs,
    ) -> u32 {
        let fair = self.fair_slots(holder);
        let others: u32 = self
            .holdings
            .iter()
            .filter(|(other, _)| *other != holder)
            .map(|(_, holding)| holding.owed)
            .sum();
        let available = self.capacity.slots.saturating_sub(others);
        let slots = fair.min(available).min(ceiling);
        if let Some(holding) = self.holdings.get_mut(holder) {
            holding.granted_number = number;
            holding.owed = holding.owed.max(slots);
            holding.free_at = free_at;
        }
        slots
    }

    /// Max-min fair part of the holder: slots go round one at a time to whoever wants more, and
    /// what nobody wants goes round among all, so that each has room for a sudden rise.
    fn fair_slots(&self, holder: &HolderId) -> u32 {
        let wants: Vec<u32> = self
            .holdings
            .values()
            .map(|holding| holding.wanted)
            .collect();
        let Some(position) = self.holdings.keys().position(|other| other == holder) else {
            return 0;
        };
        share_out(self.capacity.slots, &wants)[position]
    }

    fn connections_for(&self, slots: u32) -> u32 {
        match self.capacity.slots {
            0 => 0,
            total => self.capacity.connections * slots / total,
        }
    }
}

/// Shares `slots` out among `wants`, see [`WorkerLedger::fair_slots`].
fn share_out(slots: u32, wants: &[u32]) -> Vec<u32> {
    let mut parts = vec![0; wants.len()];
    let mut left = slots;
    while left > 0 && parts.iter().zip(wants).any(|(part, want)| part < want) {
        for (part, want) in parts.iter_mut().zip(wants) {
            if left > 0 && *part < *want {
                *part += 1;
                left -= 1;
            }
        }
    }
    let count = parts.len();
    for turn in 0..left as usize {
        parts[turn % count] += 1;
    }
    parts
}

/// What an entry host was given by the leader of one pool, see the [module's
/// documentation](self).
#[derive(Clone, Debug)]
pub struct Holder {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
    next_number: u64,
    installed: u64,
    shares: FastMap<id::WorkerId, snapshot::WorkerShare>,
}

impl Holder {
    /// A holder without shares.
    #[must_use]
    pub fn new(entry_host: id::EntryHostId, incarnation: id::Incarnation) -> Self {
        Self {
            entry_host,
            incarnation,
            next_number: 1,
            installed: 0,
            shares: FastMap::default(),
        }
    }

    /// Makes the next request to the leader. It must be sent at once: the shares that it brings
    /// lapse one term after `now`.
    pub fn request(&mut self, now: time::TimeMs, demands: &[Demand]) -> ShareRequest {
        let number = self.next_number;
        self.next_number += 1;
        let shares = demands
            .iter()
            .map(|demand| RequestedShare {
                held: self.slots(&demand.worker, now),
                demand: demand.clone(),
            })
            .collect();
        ShareRequest {
            entry_host: self.entry_host.clone(),
            incarnation: self.incarnation,
            number,
            sent_at: now,
            installed: self.installed,
            shares,
        }
    }

    /// Takes a grant in, unless a newer one is installed already. Workers that the grant does not
    /// list keep what they have until it lapses.
    pub fn install(&mut self, grant: &ShareGrant) {
        if grant.number <= self.installed || grant.number >= self.next_number {
            return;
        }
        self.installed = grant.number;
        let expires_at = grant.sent_at + grant.term;
        for share in &grant.shares {
            let installed = snapshot::WorkerShare {
                slots: share.slots,
                connections: share.connections,
                expires_at,
            };
            self.shares.insert(share.worker.clone(), installed);
        }
    }

    /// Slots of a worker that may be used now.
    #[must_use]
    pub fn slots(&self, worker: &id::WorkerId, now: time::TimeMs) -> u32 {
        match self.shares.get(worker) {
            Some(share) if now <= share.expires_at => share.slots,
            _ => 0,
        }
    }

    /// All shares, as a snapshot of routes carries them.
    #[must_use]
    pub const fn shares(&self) -> &FastMap<id::WorkerId, snapshot::WorkerShare> {
        &self.shares
    }

    /// Forgets shares that have lapsed.
    pub fn forget_lapsed(&mut self, now: time::TimeMs) {
        self.shares.retain(|_, share| now <= share.expires_at);
    }
}
