//! Measurement of slot shares in virtual time.
//!
//! Demand moves between entry hosts. Messages are delayed, lost and repeated, entry hosts pause or
//! are cut off from the leader, and the leader is replaced. Workers count the requests in flight.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mangotrestle_core::id;
use mangotrestle_core::routing::slot_share::{self, Capacity, Demand, Holder, Ledger, ShareTimes};
use mangotrestle_core::time;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::measure::report::{Figure, Target};

const WORKERS: usize = 6;
const ENTRY_HOSTS: usize = 4;
const SLOTS: u32 = 8;
/// Interval at which an entry host requests shares.
const REQUEST_INTERVAL_MS: u64 = 1_000;
/// Interval at which an entry host sends new requests to workers.
const SEND_INTERVAL_MS: u64 = 5;
/// Time for which one entry host has nearly all of the demand before it moves to the next.
const DEMAND_PHASE_MS: u64 = 30_000;
/// Virtual duration of the experiment.
const EXPERIMENT_DURATION_MS: u64 = 600_000;
/// Number of slots of a worker that an entry host with little demand wants.
const IDLE_HOST_SLOTS: u32 = 1;

const SHARE_TIMES: ShareTimes = ShareTimes {
    term: time::SpanMs(5_000),
    max_request_time: time::SpanMs(2_000),
    drift_margin: time::SpanMs(200),
};

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    RequestShares { host: usize },
    RequestAtLeader { message_index: usize },
    GrantAtHost { message_index: usize },
    SendRequests { host: usize },
    RequestEnded { host: usize, worker: usize },
    Pause { host: usize, until_ms: u64 },
    CutOff { host: usize, until_ms: u64 },
    ReplaceLeader,
}

struct Host {
    holder: Holder,
    /// Number of this host's requests in flight at each worker.
    in_use: [u32; WORKERS],
    paused_until_ms: u64,
    cut_off_until_ms: u64,
    /// Speed of the host's clock, in parts per million of real time.
    clock_ppm: u64,
    clock_offset_ms: u64,
}

impl Host {
    fn now(&self, at_ms: u64) -> time::TimeMs {
        time::TimeMs(at_ms * self.clock_ppm / 1_000_000 + self.clock_offset_ms)
    }
}

/// Counts of the requests at all workers.
#[derive(Clone, Copy, Debug, Default)]
struct WorkerCounts {
    max_in_flight: u32,
    sent_requests: u64,
    /// Number of requests sent to a worker whose slots were all in use.
    above_slots: u64,
    /// Slots in use by the entry host with the demand, multiplied by time.
    hot_slot_ms: u64,
    /// Time for which `hot_slot_ms` was counted, summed over the workers.
    hot_ms: u64,
}

struct Model {
    /// Whether entry hosts obey their shares; otherwise each uses all slots of every worker.
    use_shares: bool,
    now_ms: u64,
    last_sequence: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    hosts: Vec<Host>,
    ledger: Ledger,
    workers: Vec<id::WorkerId>,
    /// Number of requests in flight at each worker, from all entry hosts.
    at_worker: [u32; WORKERS],
    /// Share requests sent so far, with the index of the sender.
    requests: Vec<(usize, slot_share::ShareRequest)>,
    /// Grants sent so far, with the index of the receiver.
    grants: Vec<(usize, slot_share::ShareGrant)>,
    counts: WorkerCounts,
}

impl Model {
    fn run(seed: u64, use_shares: bool) -> WorkerCounts {
        let mut model = Self::new(seed, use_shares);
        model.plan_faults();
        while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
            if at_ms > EXPERIMENT_DURATION_MS {
                break;
            }
            model.now_ms = at_ms;
            model.handle(event);
        }
        model.counts
    }

    fn new(seed: u64, use_shares: bool) -> Self {
        let worker = |number| id::WorkerId::new(&format!("w-{number}")).expect("a valid name");
        let workers: Vec<id::WorkerId> = (0..WORKERS).map(worker).collect();
        let mut model = Self {
            use_shares,
            now_ms: 0,
            last_sequence: 0,
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..ENTRY_HOSTS).map(host).collect(),
            ledger: Ledger::new(SHARE_TIMES),
            workers,
            at_worker: [0; WORKERS],
            requests: Vec::new(),
            grants: Vec::new(),
            counts: WorkerCounts::default(),
        };
        model.fill_ledger();
        for host in 0..ENTRY_HOSTS {
            let stagger_ms = host as u64 * 37;
            model.schedule(stagger_ms, Event::RequestShares { host });
            model.schedule(stagger_ms, Event::SendRequests { host });
        }
        model
    }

    fn fill_ledger(&mut self) {
        let capacity = Capacity {
            slots: SLOTS,
            connections: 64,
        };
        for worker in &self.workers {
            self.ledger.set_worker(worker, capacity);
        }
    }

    /// Schedules faults: pauses, some longer than a term, cut-offs from the leader, and replacements
    /// of the leader, some of them at the same time.
    fn plan_faults(&mut self) {
        for fault_index in 0..18 {
            let host = self.rng.random_range(0..ENTRY_HOSTS);
            let at_ms = 20_000 + fault_index * 31_000 + self.rng.random_range(0..9_000);
            let until_ms = at_ms + self.rng.random_range(1_000..16_000);
            let event = if fault_index % 2 == 0 {
                Event::Pause { host, until_ms }
            } else {
                Event::CutOff { host, until_ms }
            };
            self.schedule(at_ms, event);
            if fault_index % 4 == 3 {
                self.schedule(at_ms + 2_000, Event::ReplaceLeader);
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.last_sequence += 1;
        self.events
            .push(Reverse((at_ms, self.last_sequence, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestShares { host } => self.request_shares(host),
            Event::RequestAtLeader { message_index } => self.handle_share_request(message_index),
            Event::GrantAtHost { message_index } => self.handle_grant(message_index),
            Event::SendRequests { host } => self.send_requests(host),
            Event::RequestEnded { host, worker } => {
                self.at_worker[worker] -= 1;
                self.hosts[host].in_use[worker] -= 1;
            }
            Event::Pause { host, until_ms } => self.hosts[host].paused_until_ms = until_ms,
            Event::CutOff { host, until_ms } => self.hosts[host].cut_off_until_ms = until_ms,
            Event::ReplaceLeader => {
                self.ledger = Ledger::after_takeover(SHARE_TIMES, time::TimeMs(self.now_ms));
                self.fill_ledger();
            }
        }
    }

    /// Returns the entry host that has nearly all of the demand now.
    fn hot_host(&self) -> usize {
        usize::try_from(self.now_ms / DEMAND_PHASE_MS).unwrap_or(0) % ENTRY_HOSTS
    }

    /// Returns the number of slots of each worker that an entry host wants now.
    fn wanted(&self, host: usize) -> u32 {
        if host == self.hot_host() {
            SLOTS
        } else {
            IDLE_HOST_SLOTS
        }
    }

    /// If the entry host is paused, postpones the event until the end of the pause and returns
    /// true.
    fn postpone_if_paused(&mut self, host: usize, event: Event) -> bool {
        let until_ms = self.hosts[host].paused_until_ms;
        let paused = until_ms > self.now_ms;
        if paused {
            self.schedule(until_ms, event);
        }
        paused
    }

    fn request_shares(&mut self, host: usize) {
        if self.postpone_if_paused(host, Event::RequestShares { host }) {
            return;
        }
        self.schedule(
            self.now_ms + REQUEST_INTERVAL_MS,
            Event::RequestShares { host },
        );
        let wanted = self.wanted(host);
        let now = self.hosts[host].now(self.now_ms);
        let demands: Vec<Demand> = (0..WORKERS)
            .map(|number| Demand {
                worker: self.workers[number].clone(),
                in_use: self.hosts[host].in_use[number],
                wanted,
            })
            .collect();
        let request = self.hosts[host].holder.request(now, &demands);
        self.requests.push((host, request));
        let message_index = self.requests.len() - 1;
        self.transmit(host, Event::RequestAtLeader { message_index });
    }

    /// Delivers a message between a host and the leader once, late, twice or never, at random.
    fn transmit(&mut self, host: usize, event: Event) {
        let cut_off = self.hosts[host].cut_off_until_ms > self.now_ms;
        let percent = self.rng.random_range(0..100);
        if cut_off || percent < 8 {
            return;
        }
        let delay_ms = match percent {
            8..14 => self.rng.random_range(1_000..8_000),
            _ => self.rng.random_range(1..20),
        };
        self.schedule(self.now_ms + delay_ms, event);
        if percent > 94 {
            self.schedule(self.now_ms + delay_ms * 3, event);
        }
    }

    fn handle_share_request(&mut self, message_index: usize) {
        let (host, request) = self.requests[message_index].clone();
        let grant = self.ledger.handle(time::TimeMs(self.now_ms), &request);
        self.grants.push((host, grant));
        let message_index = self.grants.len() - 1;
        self.transmit(host, Event::GrantAtHost { message_index });
    }

    fn handle_grant(&mut self, message_index: usize) {
        let host = self.grants[message_index].0;
        if self.postpone_if_paused(host, Event::GrantAtHost { message_index }) {
            return;
        }
        let grant = self.grants[message_index].1.clone();
        self.hosts[host].holder.install(&grant);
    }

    /// Sends a request to each worker on which the entry host wants one more slot and may use it.
    fn send_requests(&mut self, host: usize) {
        if self.postpone_if_paused(host, Event::SendRequests { host }) {
            return;
        }
        self.schedule(self.now_ms + SEND_INTERVAL_MS, Event::SendRequests { host });
        let wanted = self.wanted(host);
        let has_demand = host == self.hot_host();
        for worker in 0..WORKERS {
            let in_use = self.hosts[host].in_use[worker];
            if has_demand {
                self.counts.hot_slot_ms += u64::from(in_use) * SEND_INTERVAL_MS;
                self.counts.hot_ms += SEND_INTERVAL_MS;
            }
            if in_use < wanted.min(self.allowed(host, worker)) {
                self.send(host, worker);
            }
        }
    }

    /// Returns the number of slots of a worker that an entry host may use now.
    fn allowed(&self, host: usize, worker: usize) -> u32 {
        if !self.use_shares {
            return SLOTS;
        }
        let now = self.hosts[host].now(self.now_ms);
        self.hosts[host].holder.slots(&self.workers[worker], now)
    }

    fn send(&mut self, host: usize, worker: usize) {
        self.hosts[host].in_use[worker] += 1;
        self.at_worker[worker] += 1;
        self.counts.sent_requests += 1;
        let in_flight = self.at_worker[worker];
        self.counts.max_in_flight = self.counts.max_in_flight.max(in_flight);
        self.counts.above_slots += u64::from(in_flight > SLOTS);
        let max_ms = SHARE_TIMES.max_request_time.0;
        let run_ms = match self.rng.random_range(0..10) {
            0 => max_ms,
            _ => self.rng.random_range(10..max_ms / 4),
        };
        self.schedule(self.now_ms + run_ms, Event::RequestEnded { host, worker });
    }
}

fn host(number: usize) -> Host {
    let name = id::EntryHostId::new(&format!("e-{number}")).expect("a valid name");
    Host {
        holder: Holder::new(name, id::Incarnation(1)),
        in_use: [0; WORKERS],
        paused_until_ms: 0,
        cut_off_until_ms: 0,
        clock_ppm: 999_000 + 700 * number as u64,
        clock_offset_ms: 1_000_000 * number as u64,
    }
}

/// Measures the slots in use at the workers while shares move between entry hosts.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub fn measure_shares(seed: u64, figures: &mut Vec<Figure>) {
    let with_shares = Model::run(seed, true);
    let naive = Model::run(seed, false);
    figures.push(
        Figure::new(
            "most requests in flight at a worker of 8 slots",
            f64::from(with_shares.max_in_flight),
            "1",
        )
        .target(Target::AtMost(f64::from(SLOTS)))
        .naive(f64::from(naive.max_in_flight)),
    );
    figures.push(
        Figure::new(
            "requests begun beyond the slots",
            with_shares.above_slots as f64,
            "1",
        )
        .target(Target::AtMost(0.0))
        .naive(naive.above_slots as f64),
    );
    figures.push(Figure::new(
        "requests begun under shares",
        with_shares.sent_requests as f64,
        "1",
    ));
    let hot_slots = with_shares.hot_slot_ms as f64 / with_shares.hot_ms.max(1) as f64;
    let fixed_slots = f64::from(SLOTS) / ENTRY_HOSTS as f64;
    figures.push(
        Figure::new(
            "slots in use at a worker by the entry host with the demand",
            hot_slots,
            "1",
        )
        .naive(fixed_slots),
    );
}
