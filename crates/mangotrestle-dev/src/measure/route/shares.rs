//! Slot shares in virtual time: demand moves between entry hosts, messages are delayed, lost and
//! repeated, entry hosts pause and are cut off, the leader is replaced; workers count.

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
/// Interval of an entry host's requests for shares.
const REQUEST_INTERVAL_MS: u64 = 1_000;
/// Interval at which an entry host begins requests.
const BEGIN_INTERVAL_MS: u64 = 5;
/// Time for which one entry host has nearly all of the demand.
const PHASE_MS: u64 = 30_000;
/// Length of the experiment.
const LENGTH_MS: u64 = 600_000;
/// Slots of a worker that an entry host without much demand has use for.
const IDLE_WANTED: u32 = 1;

const TERMS: ShareTimes = ShareTimes {
    term: time::SpanMs(5_000),
    max_request_time: time::SpanMs(2_000),
    drift_margin: time::SpanMs(200),
};

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    AskForShares { host: usize },
    AtLeader { number: usize },
    AtHost { number: usize },
    Begin { host: usize },
    End { host: usize, worker: usize },
    Pause { host: usize, until_ms: u64 },
    CutOff { host: usize, until_ms: u64 },
    ReplaceLeader,
}

struct Host {
    holder: Holder,
    in_use: [u32; WORKERS],
    paused_until_ms: u64,
    cut_off_until_ms: u64,
    /// Speed of the clock, in parts of a million.
    clock_ppm: u64,
    clock_offset_ms: u64,
}

impl Host {
    fn now(&self, at_ms: u64) -> time::TimeMs {
        time::TimeMs(at_ms * self.clock_ppm / 1_000_000 + self.clock_offset_ms)
    }
}

/// What the workers counted.
#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    most_in_flight: u32,
    begun: u64,
    breaches: u64,
    hot_slot_ms: u64,
    hot_ms: u64,
}

struct Model {
    leased: bool,
    now_ms: u64,
    order: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    rng: SmallRng,
    hosts: Vec<Host>,
    ledger: Ledger,
    workers: Vec<id::WorkerId>,
    at_worker: [u32; WORKERS],
    requests: Vec<(usize, slot_share::ShareRequest)>,
    grants: Vec<(usize, slot_share::ShareGrant)>,
    counted: Counted,
}

impl Model {
    fn run(seed: u64, leased: bool) -> Counted {
        let mut model = Self::new(seed, leased);
        model.plan_faults();
        while let Some(Reverse((at_ms, _, event))) = model.events.pop() {
            if at_ms > LENGTH_MS {
                break;
            }
            model.now_ms = at_ms;
            model.handle(event);
        }
        model.counted
    }

    fn new(seed: u64, leased: bool) -> Self {
        let worker = |number| id::WorkerId::new(&format!("w-{number}")).expect("a valid name");
        let workers: Vec<id::WorkerId> = (0..WORKERS).map(worker).collect();
        let mut model = Self {
            leased,
            now_ms: 0,
            order: 0,
            events: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(seed),
            hosts: (0..ENTRY_HOSTS).map(host).collect(),
            ledger: Ledger::new(TERMS),
            workers,
            at_worker: [0; WORKERS],
            requests: Vec::new(),
            grants: Vec::new(),
            counted: Counted::default(),
        };
        model.fill_ledger();
        for host in 0..ENTRY_HOSTS {
            let stagger_ms = host as u64 * 37;
            model.schedule(stagger_ms, Event::AskForShares { host });
            model.schedule(stagger_ms, Event::Begin { host });
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

    /// Pauses longer than a term, cut-off times, and new leaders, some of them together.
    fn plan_faults(&mut self) {
        for turn in 0..18 {
            let host = self.rng.random_range(0..ENTRY_HOSTS);
            let at_ms = 20_000 + turn * 31_000 + self.rng.random_range(0..9_000);
            let until_ms = at_ms + self.rng.random_range(1_000..16_000);
            let event = if turn % 2 == 0 {
                Event::Pause { host, until_ms }
            } else {
                Event::CutOff { host, until_ms }
            };
            self.schedule(at_ms, event);
            if turn % 4 == 3 {
                self.schedule(at_ms + 2_000, Event::ReplaceLeader);
            }
        }
    }

    fn schedule(&mut self, at_ms: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at_ms, self.order, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::AskForShares { host } => self.ask(host),
            Event::AtLeader { number } => self.at_leader(number),
            Event::AtHost { number } => self.at_host(number),
            Event::Begin { host } => self.begin(host),
            Event::End { host, worker } => {
                self.at_worker[worker] -= 1;
                self.hosts[host].in_use[worker] -= 1;
            }
            Event::Pause { host, until_ms } => self.hosts[host].paused_until_ms = until_ms,
            Event::CutOff { host, until_ms } => self.hosts[host].cut_off_until_ms = until_ms,
            Event::ReplaceLeader => {
                self.ledger = Ledger::after_takeover(TERMS, time::TimeMs(self.now_ms));
                self.fill_ledger();
            }
        }
    }

    fn hot_host(&self) -> usize {
        usize::try_from(self.now_ms / PHASE_MS).unwrap_or(0) % ENTRY_HOSTS
    }

    fn wanted(&self, host: usize) -> u32 {
        if host == self.hot_host() {
            SLOTS
        } else {
            IDLE_WANTED
        }
    }

    /// Runs an entry host's timer, or puts it off until its pause is over.
    fn put_off(&mut self, host: usize, event: Event) -> bool {
        let until_ms = self.hosts[host].paused_until_ms;
        let paused = until_ms > self.now_ms;
        if paused {
            self.schedule(until_ms, event);
        }
        paused
    }

    fn ask(&mut self, host: usize) {
        if self.put_off(host, Event::AskForShares { host }) {
            return;
        }
        self.schedule(
            self.now_ms + REQUEST_INTERVAL_MS,
            Event::AskForShares { host },
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
        let number = self.requests.len() - 1;
        self.transmit(host, Event::AtLeader { number });
    }

    /// Delivers a message once, late, twice or never.
    fn transmit(&mut self, host: usize, event: Event) {
        let cut_off = self.hosts[host].cut_off_until_ms > self.now_ms;
        let luck = self.rng.random_range(0..100);
        if cut_off || luck < 8 {
            return;
        }
        let delay_ms = match luck {
            8..14 => self.rng.random_range(1_000..8_000),
            _ => self.rng.random_range(1..20),
        };
        self.schedule(self.now_ms + delay_ms, event);
        if luck > 94 {
            self.schedule(self.now_ms + delay_ms * 3, event);
        }
    }

    fn at_leader(&mut self, number: usize) {
        let (host, request) = self.requests[number].clone();
        let grant = self.ledger.handle(time::TimeMs(self.now_ms), &request);
        self.grants.push((host, grant));
        let number = self.grants.len() - 1;
        self.transmit(host, Event::AtHost { number });
    }

    fn at_host(&mut self, number: usize) {
        let host = self.grants[number].0;
        if self.put_off(host, Event::AtHost { number }) {
            return;
        }
        let grant = self.grants[number].1.clone();
        self.hosts[host].holder.install(&grant);
    }

    /// Begins a request at each worker at which the entry host wants one and may have one.
    fn begin(&mut self, host: usize) {
        if self.put_off(host, Event::Begin { host }) {
            return;
        }
        self.schedule(self.now_ms + BEGIN_INTERVAL_MS, Event::Begin { host });
        let wanted = self.wanted(host);
        let has_demand = host == self.hot_host();
        for worker in 0..WORKERS {
            let in_use = self.hosts[host].in_use[worker];
            if has_demand {
                self.counted.hot_slot_ms += u64::from(in_use) * BEGIN_INTERVAL_MS;
                self.counted.hot_ms += BEGIN_INTERVAL_MS;
            }
            if in_use < wanted.min(self.allowed(host, worker)) {
                self.send(host, worker);
            }
        }
    }

    fn allowed(&self, host: usize, worker: usize) -> u32 {
        if !self.leased {
            return SLOTS;
        }
        let now = self.hosts[host].now(self.now_ms);
        self.hosts[host].holder.slots(&self.workers[worker], now)
    }

    fn send(&mut self, host: usize, worker: usize) {
        self.hosts[host].in_use[worker] += 1;
        self.at_worker[worker] += 1;
        self.counted.begun += 1;
        let in_flight = self.at_worker[worker];
        self.counted.most_in_flight = self.counted.most_in_flight.max(in_flight);
        self.counted.breaches += u64::from(in_flight > SLOTS);
        let longest_ms = TERMS.max_request_time.0;
        let run_ms = match self.rng.random_range(0..10) {
            0 => longest_ms,
            _ => self.rng.random_range(10..longest_ms / 4),
        };
        self.schedule(self.now_ms + run_ms, Event::End { host, worker });
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

/// Slots at the workers while shares move.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
pub fn shares(seed: u64, figures: &mut Vec<Figure>) {
    let leased = Model::run(seed, true);
    let naive = Model::run(seed, false);
    figures.push(
        Figure::new(
            "most requests in flight at a worker of 8 slots",
            f64::from(leased.most_in_flight),
            "1",
        )
        .target(Target::AtMost(f64::from(SLOTS)))
        .naive(f64::from(naive.most_in_flight)),
    );
    figures.push(
        Figure::new(
            "requests begun beyond the slots",
            leased.breaches as f64,
            "1",
        )
        .target(Target::AtMost(0.0))
        .naive(naive.breaches as f64),
    );
    figures.push(Figure::new(
        "requests begun under shares",
        leased.begun as f64,
        "1",
    ));
    let hot_slots = leased.hot_slot_ms as f64 / leased.hot_ms.max(1) as f64;
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
