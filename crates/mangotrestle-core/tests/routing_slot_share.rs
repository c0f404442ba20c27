//! Tests that shares of a worker's slots never exceed the worker's slots, even if messages are
//! lost, delayed or repeated, entry hosts become unreachable, or the leader changes.

use mangotrestle_core::id;
use mangotrestle_core::routing::slot_share::{
    Capacity, Demand, Holder, Ledger, ShareGrant, ShareRequest, ShareTimes,
};
use mangotrestle_core::time::{SpanMs, TimeMs};
use quickcheck::quickcheck;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const SLOTS: u32 = 8;
/// Number of most recent messages that may still arrive.
const RECENT_MESSAGES: usize = 6;
const SHARE_TIMES: ShareTimes = ShareTimes {
    term: SpanMs(1_000),
    max_request_time: SpanMs(300),
    drift_margin: SpanMs(10),
};

fn worker() -> id::WorkerId {
    id::WorkerId::new("w-1").unwrap()
}

fn holder(number: usize) -> Holder {
    let name = id::EntryHostId::new(&format!("e-{number}")).unwrap();
    Holder::new(name, id::Incarnation(1))
}

fn with_worker(mut ledger: Ledger) -> Ledger {
    let capacity = Capacity {
        slots: SLOTS,
        connections: 64,
    };
    ledger.set_worker(&worker(), capacity);
    ledger
}

/// An entry host with the requests that it has in flight.
struct Host {
    holder: Holder,
    /// When each request in flight ends.
    ends_at: Vec<TimeMs>,
}

impl Host {
    fn in_flight(&mut self, now: TimeMs) -> u32 {
        self.ends_at.retain(|&at| at > now);
        u32::try_from(self.ends_at.len()).unwrap()
    }

    /// Begins as many requests as the share allows, each with the maximum request time.
    fn use_all_slots(&mut self, now: TimeMs) {
        let slots = self.holder.slots(&worker(), now);
        while self.in_flight(now) < slots {
            self.ends_at.push(now + SHARE_TIMES.max_request_time);
        }
    }

    fn request_shares(&mut self, now: TimeMs, wanted: u32) -> ShareRequest {
        let demand = Demand {
            worker: worker(),
            in_use: self.in_flight(now),
            wanted,
        };
        self.holder.request(now, &[demand])
    }
}

/// Returns one of the most recent messages.
fn pick_recent<T>(messages: &[T], number: usize) -> &T {
    let count = messages.len().min(RECENT_MESSAGES);
    &messages[messages.len() - 1 - number % count]
}

struct World {
    now: TimeMs,
    ledger: Ledger,
    hosts: Vec<Host>,
    requests: Vec<ShareRequest>,
    grants: Vec<(usize, ShareGrant)>,
}

impl World {
    fn new() -> Self {
        let host = |number| Host {
            holder: holder(number),
            ends_at: Vec::new(),
        };
        Self {
            now: TimeMs(10_000),
            ledger: with_worker(Ledger::new(SHARE_TIMES)),
            hosts: (0..3).map(host).collect(),
            requests: Vec::new(),
            grants: Vec::new(),
        }
    }

    /// Performs one step. Any of the most recent requests and grants may arrive at any time, and
    /// more than once.
    fn step(&mut self, action: u8, pick: u8, wanted: u8) {
        let number = usize::from(pick);
        let host = number % self.hosts.len();
        match action % 8 {
            0 | 1 => self.exchange(host, u32::from(wanted % 12)),
            2 => {
                let request = self.hosts[host].request_shares(self.now, u32::from(wanted % 12));
                self.requests.push(request);
            }
            3 if !self.requests.is_empty() => {
                let request = pick_recent(&self.requests, number).clone();
                self.answer(&request);
            }
            4 if !self.grants.is_empty() => {
                let (host, grant) = pick_recent(&self.grants, number).clone();
                self.hosts[host].holder.install(&grant);
            }
            5 => self.now = self.now + SpanMs(u64::from(wanted) * 4),
            6 if wanted > 230 => {
                self.ledger = with_worker(Ledger::after_takeover(SHARE_TIMES, self.now));
            }
            _ => self.hosts[host].use_all_slots(self.now),
        }
    }

    /// Requests shares for an entry host and installs the grant without delay.
    fn exchange(&mut self, host: usize, wanted: u32) {
        let request = self.hosts[host].request_shares(self.now, wanted);
        self.answer(&request);
        let (_, grant) = self.grants.last().unwrap().clone();
        self.hosts[host].holder.install(&grant);
    }

    fn answer(&mut self, request: &ShareRequest) {
        let name = request.entry_host.as_str();
        let host = name.trim_start_matches("e-").parse().unwrap();
        let grant = self.ledger.handle(self.now, request);
        self.grants.push((host, grant));
    }

    fn in_flight(&mut self) -> u32 {
        let now = self.now;
        self.hosts.iter_mut().map(|host| host.in_flight(now)).sum()
    }

    fn slots(&self, host: usize) -> u32 {
        self.hosts[host].holder.slots(&worker(), self.now)
    }
}

quickcheck! {
    fn slots_are_never_exceeded(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut world = World::new();
        steps.iter().all(|&(action, pick, wanted)| {
            world.step(action, pick, wanted);
            world.in_flight() <= SLOTS
        })
    }
}

/// Long runs reach states that the short runs above do not reach.
#[test]
fn slots_are_never_exceeded_in_long_runs() {
    for seed in 0..200 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let mut world = World::new();
        for _ in 0..2_000 {
            world.step(rng.random(), rng.random(), rng.random());
            assert!(world.in_flight() <= SLOTS, "seed {seed}");
        }
    }
}

#[test]
fn slots_move_to_the_entry_host_with_demand() {
    let mut world = World::new();
    world.exchange(0, 8);
    let now = world.now;
    world.hosts[0].use_all_slots(now);

    world.exchange(1, 4);
    let before_move = world.slots(1);
    world.exchange(0, 8);
    world.now = world.now + SHARE_TIMES.max_request_time;
    world.exchange(0, 8);
    world.exchange(1, 4);

    assert_eq!(before_move, 0, "all slots are in use");
    assert_eq!(world.slots(0), 4);
    assert_eq!(world.slots(1), 4);
}

#[test]
fn slots_of_an_unresponsive_entry_host_become_free_only_when_no_request_can_use_them() {
    let mut world = World::new();
    world.exchange(0, 8);
    let granted_at = world.now;

    world.now = granted_at + SHARE_TIMES.reclaim_delay() - SpanMs(1);
    world.exchange(1, 8);
    let before = world.slots(1);
    world.now = granted_at + SHARE_TIMES.reclaim_delay();
    world.exchange(1, 8);
    let after = world.slots(1);

    assert_eq!(before, 0);
    assert_eq!(after, SLOTS);
}

#[test]
fn unreachable_entry_host_loses_its_share_after_the_term() {
    let mut world = World::new();
    world.exchange(0, 8);

    world.now = world.now + SHARE_TIMES.term;
    let at_expiry = world.slots(0);
    world.now = world.now + SpanMs(1);
    let after = world.slots(0);

    assert_eq!(at_expiry, SLOTS);
    assert_eq!(after, 0);
}

#[test]
fn new_leader_at_first_only_renews_held_shares() {
    let mut world = World::new();
    world.exchange(0, 3);
    world.exchange(1, 3);
    world.exchange(0, 3);
    let held = world.slots(0);

    world.ledger = with_worker(Ledger::after_takeover(SHARE_TIMES, world.now));
    world.exchange(0, 8);
    let renewed = world.slots(0);
    world.exchange(2, 8);
    let newly_granted = world.slots(2);

    assert!(held > 0);
    assert_eq!(renewed, held);
    assert_eq!(newly_granted, 0);
}

#[test]
fn larger_grant_that_may_still_arrive_counts_in_full() {
    let mut world = World::new();
    let now = world.now;

    let first = world.hosts[0].request_shares(now, 8);
    world.answer(&first);
    let (_, late_grant) = world.grants.last().unwrap().clone();
    world.exchange(1, 4);
    let second = world.hosts[0].request_shares(now, 4);
    world.answer(&second);
    world.exchange(1, 4);
    world.hosts[0].holder.install(&late_grant);

    assert_eq!(world.slots(0), 8);
    assert_eq!(world.slots(1), 0);
}
