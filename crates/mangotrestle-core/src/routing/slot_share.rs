//! Leased shares of the workers' request slots.
//!
//! A worker has a few slots for requests, and every entry host may send to it. If each entry host
//! counted only its own requests, all of them together could exceed the worker's slots. Therefore
//! the pool's acting leader keeps a [`Ledger`] and leases shares of each worker's slots to entry
//! hosts. An entry host keeps its shares in a [`Holder`] and never begins a request beyond them.
//!
//! # Why the sum never exceeds the worker's slots
//!
//! - A share lapses one term after the entry host *sent* its request, by the entry host's own
//!   clock. The leader counts the term from when the request *arrived*, which is later, and adds
//!   the maximum time of a request and a margin for clock drift. After that time no request that
//!   began under the share can still be running.
//! - A share that was reduced still counts in full until the entry host acknowledges the smaller
//!   share, or until the share lapses. After the acknowledgement it counts as much as the entry
//!   host holds or still has in flight, whichever is more.
//! - A new leader does not know the shares that the previous leader granted. For one term, the
//!   maximum time of a request and the margin it only renews shares that entry hosts report as
//!   held.
//! - Only an acting leader may use its ledger; the pool's lease protocol ensures that.
//!
//! Moving slots from one entry host to another takes about two request intervals when both are
//! reachable. It takes one term and the maximum time of a request when the entry host that loses
//! slots is unreachable.
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
//! assert_eq!(holder.slots(&worker, TimeMs(200)), 8, "no other entry host wants slots");
//! assert_eq!(holder.slots(&worker, TimeMs(100) + SpanMs::from_secs(60)), 0, "lapsed");
//! ```

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::id;
use crate::routing::snapshot;
use crate::time;

/// Durations that decide when a share lapses and when its slots can be granted to others.
#[derive(Clone, Copy, Debug)]
pub struct ShareTimes {
    /// Time from sending the request for a share until the share lapses.
    pub term: time::SpanMs,
    /// Maximum time that a request begun under a share may run.
    pub max_request_time: time::SpanMs,
    /// Margin for clocks that run at different rates, over one term and one request.
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
    /// Returns the time from the arrival of a request for shares after which no request can be
    /// running under them.
    #[must_use]
    pub fn reclaim_delay(&self) -> time::SpanMs {
        self.term + self.max_request_time + self.drift_margin
    }
}

/// Maximum load that a worker can handle at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Capacity {
    /// Maximum number of requests in flight.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// Slots of a worker that an entry host uses and wants.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// Worker whose slots are requested.
    pub worker: id::WorkerId,
    /// Number of requests in flight.
    pub in_use: u32,
    /// Number of slots that the entry host wants, including those in use.
    pub wanted: u32,
}

/// One worker's entry in a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct RequestedShare {
    /// Slots that the entry host uses and wants.
    pub demand: Demand,
    /// Number of slots that the entry host holds now.
    pub held: u32,
}

/// An entry host's request to a pool's leader for shares. It also acknowledges the last installed
/// grant.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareRequest {
    /// Entry host that sends the request.
    pub entry_host: id::EntryHostId,
    /// Incarnation of the entry host's process.
    pub incarnation: id::Incarnation,
    /// Sequence number of the request within this incarnation.
    pub number: u64,
    /// When the request was sent, by the entry host's clock.
    pub sent_at: time::TimeMs,
    /// Number of the request that the last installed grant answered; zero if none is installed.
    pub installed: u64,
    /// One entry for each worker of the pool that the entry host has routes to.
    pub shares: Vec<RequestedShare>,
}

/// One worker's entry in a [`ShareGrant`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GrantedShare {
    /// Worker whose slots are granted.
    pub worker: id::WorkerId,
    /// Number of slots granted.
    pub slots: u32,
    /// Number of connections granted.
    pub connections: u32,
}

/// The leader's answer to a [`ShareRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ShareGrant {
    /// Number of the request that the grant answers.
    pub number: u64,
    /// When that request was sent, by the entry host's clock.
    pub sent_at: time::TimeMs,
    /// The shares lapse this long after `sent_at`.
    pub term: time::SpanMs,
    /// Shares of the workers in the request that the leader knows.
    pub shares: Vec<GrantedShare>,
}

/// One incarnation of an entry host that holds shares.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct HolderId {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
}

/// One entry host's share of one worker, as the leader records it.
#[derive(Clone, Copy, Debug)]
struct Holding {
    /// Number of the request that the last grant answered.
    granted_number: u64,
    /// Maximum number of slots that the entry host may be using under any grant that may still be
    /// in effect.
    outstanding: u32,
    /// When all outstanding slots become free if the entry host sends no further request.
    free_at: time::TimeMs,
    /// Number of slots that the entry host wants.
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
    times: ShareTimes,
    workers: FastMap<id::WorkerId, WorkerLedger>,
    /// Number of the last request of each entry host incarnation.
    last_numbers: BTreeMap<HolderId, u64>,
    /// Until this time requests get no more slots than their entry host already holds.
    renew_only_until: time::TimeMs,
}

impl Ledger {
    /// Returns the ledger of a pool that had no previous leader.
    #[must_use]
    pub fn new(times: ShareTimes) -> Self {
        Self {
            times,
            workers: FastMap::default(),
            last_numbers: BTreeMap::new(),
            renew_only_until: time::TimeMs(0),
        }
    }

    /// Returns the ledger of a leader that took over a pool at `now`. It grants no new slots until
    /// the previous leader's shares must have lapsed.
    #[must_use]
    pub fn after_takeover(times: ShareTimes, now: time::TimeMs) -> Self {
        Self {
            renew_only_until: now + times.reclaim_delay(),
            ..Self::new(times)
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

    /// Answers a request for shares. A request that is not newer than the last one answered gets an
    /// empty grant, and its acknowledgement is ignored.
    pub fn handle(&mut self, now: time::TimeMs, request: &ShareRequest) -> ShareGrant {
        let holder = HolderId {
            entry_host: request.entry_host.clone(),
            incarnation: request.incarnation,
        };
        let mut grant = ShareGrant {
            number: request.number,
            sent_at: request.sent_at,
            term: self.times.term,
            shares: Vec::with_capacity(request.shares.len()),
        };
        let last_number = self.last_numbers.get(&holder).copied().unwrap_or(0);
        if request.number <= last_number {
            return grant;
        }
        self.last_numbers.insert(holder.clone(), request.number);
        let renew_only = now < self.renew_only_until;
        for share in &request.shares {
            let Some(worker) = self.workers.get_mut(&share.demand.worker) else {
                continue;
            };
            worker.forget_lapsed(now);
            worker.record_demand(&holder, share, request.installed);
            let max_slots = if renew_only { share.held } else { u32::MAX };
            let free_at = now + self.times.reclaim_delay();
            let slots = worker.grant(&holder, request.number, max_slots, free_at);
            grant.shares.push(GrantedShare {
                worker: share.demand.worker.clone(),
                slots,
                connections: worker.connections_for(slots),
            });
        }
        grant
    }

    /// Number of a worker's slots that entry hosts may be using; for tests and status.
    #[must_use]
    pub fn outstanding_slots(&self, worker: &id::WorkerId, now: time::TimeMs) -> u32 {
        self.workers.get(worker).map_or(0, |ledger| {
            ledger
                .holdings
                .values()
                .filter(|holding| holding.free_at > now)
                .map(|holding| holding.outstanding)
                .sum()
        })
    }
}

impl WorkerLedger {
    fn forget_lapsed(&mut self, now: time::TimeMs) {
        self.holdings.retain(|_, holding| holding.free_at > now);
    }

    /// Records the slots that an entry host uses, holds and wants. Once the entry host has
    /// installed the last grant, it cannot be using more than it holds or has in flight.
    fn record_demand(&mut self, holder: &HolderId, share: &RequestedShare, installed: u64) {
        let holding = self.holdings.entry(holder.clone()).or_insert(Holding {
            granted_number: 0,
            outstanding: 0,
            free_at: time::TimeMs(0),
            wanted: 0,
        });
        holding.wanted = share.demand.wanted;
        let in_use_or_held = share.held.max(share.demand.in_use);
        let grant_installed = installed >= holding.granted_number;
        holding.outstanding = if grant_installed {
            in_use_or_held
        } else {
            holding.outstanding.max(in_use_or_held)
        };
    }

    /// Grants the holder its fair share, limited by the slots that others may be using and by
    /// `max_slots`. Returns the number of slots granted.
    fn grant(
        &mut self,
        holder: &HolderId,
        number: u64,
        max_slots: u32,
        free_at: time::TimeMs,
    ) -> u32 {
        let fair_slots = self.fair_slots(holder);
        let outstanding_to_others: u32 = self
            .holdings
            .iter()
            .filter(|(other, _)| *other != holder)
            .map(|(_, holding)| holding.outstanding)
            .sum();
        let available = self.capacity.slots.saturating_sub(outstanding_to_others);
        let slots = fair_slots.min(available).min(max_slots);
        if let Some(holding) = self.holdings.get_mut(holder) {
            holding.granted_number = number;
            holding.outstanding = holding.outstanding.max(slots);
            holding.free_at = free_at;
        }
        slots
    }

    /// Returns the holder's max-min fair share. Slots are assigned one at a time in turn to holders
    /// that want more. The slots that remain are assigned in turn to all, so that each has spare
    /// capacity for a sudden rise of its demand.
    fn fair_slots(&self, holder: &HolderId) -> u32 {
        let wants: Vec<u32> = self
            .holdings
            .values()
            .map(|holding| holding.wanted)
            .collect();
        let Some(position) = self.holdings.keys().position(|other| other == holder) else {
            return 0;
        };
        max_min_shares(self.capacity.slots, &wants)[position]
    }

    fn connections_for(&self, slots: u32) -> u32 {
        match self.capacity.slots {
            0 => 0,
            total => self.capacity.connections * slots / total,
        }
    }
}

/// Divides `slots` among `wants`, see [`WorkerLedger::fair_slots`].
fn max_min_shares(slots: u32, wants: &[u32]) -> Vec<u32> {
    let mut shares = vec![0; wants.len()];
    let mut remaining = slots;
    while remaining > 0 && shares.iter().zip(wants).any(|(share, want)| share < want) {
        for (share, want) in shares.iter_mut().zip(wants) {
            if remaining > 0 && *share < *want {
                *share += 1;
                remaining -= 1;
            }
        }
    }
    let count = shares.len();
    for turn in 0..remaining as usize {
        shares[turn % count] += 1;
    }
    shares
}

/// An entry host's shares of the workers of one pool, see the [module's documentation](self).
#[derive(Clone, Debug)]
pub struct Holder {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
    next_number: u64,
    installed: u64,
    shares: FastMap<id::WorkerId, snapshot::WorkerShare>,
}

impl Holder {
    /// Returns a holder without shares.
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

    /// Returns the next request to the leader. It must be sent at once, since the shares that are
    /// granted for it lapse one term after `now`.
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

    /// Installs a grant. Ignores a grant that is not newer than the installed one, and one that
    /// answers a request that this holder has not made. Shares of workers that the grant does not
    /// list stay until they lapse.
    pub fn install(&mut self, grant: &ShareGrant) {
        if grant.number <= self.installed || grant.number >= self.next_number {
            return;
        }
        self.installed = grant.number;
        let expires_at = grant.sent_at + grant.term;
        for share in &grant.shares {
            let worker_share = snapshot::WorkerShare {
                slots: share.slots,
                connections: share.connections,
                expires_at,
            };
            self.shares.insert(share.worker.clone(), worker_share);
        }
    }

    /// Number of a worker's slots that may be used at `now`.
    #[must_use]
    pub fn slots(&self, worker: &id::WorkerId, now: time::TimeMs) -> u32 {
        match self.shares.get(worker) {
            Some(share) if now <= share.expires_at => share.slots,
            _ => 0,
        }
    }

    /// All shares, for use in a [`snapshot::RouteSnapshot`].
    #[must_use]
    pub const fn shares(&self) -> &FastMap<id::WorkerId, snapshot::WorkerShare> {
        &self.shares
    }

    /// Removes lapsed shares.
    pub fn forget_lapsed(&mut self, now: time::TimeMs) {
        self.shares.retain(|_, share| now <= share.expires_at);
    }
}
