//! Waves of upkeep: which machine goes down next.
//!
//! The machines list and the wave's own rows decide, never memory: a machine counts as down while
//! the list does not show it up, and from the moment an order for it may have been carried out.

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs};

/// A request that machines have their upkeep in time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Wave {
    /// Its number.
    pub number: u64,
    /// The machines.
    pub machines: Vec<String>,
    /// Time in which all should be done.
    pub duration_ms: u64,
    /// Most of them that may be down at one time.
    pub most_down: u32,
}

/// State of a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineState {
    /// Runs a worker.
    Up,
    /// Moves to another pool.
    Moving,
    /// Down for upkeep.
    Upkeep,
    /// Down for another cause.
    Down,
}

/// A machine as listed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Machine {
    /// Its name.
    pub name: String,
    /// The pool that it belongs to.
    pub pool: String,
    /// Its state.
    pub state: MachineState,
    /// The worker that it runs.
    pub worker: Option<id::WorkerId>,
}

/// Answer to an order for a machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MachineAnswer {
    /// Carried out, now or earlier.
    Done,
    /// A leader with a higher term has ordered something for this machine.
    Fenced,
    /// The machine is not up or leaves.
    Busy,
    /// The machine does not belong to the wave, or there is no such machine.
    NotOfWave,
    /// Nothing was done.
    NotDone,
    /// No answer; the order may have been carried out.
    Unknown,
}

/// How far a machine is in its wave.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Progress {
    /// Ordered at this time, not known whether it was carried out.
    Ordered(TimeMs),
    /// Its upkeep has begun.
    Begun(TimeMs),
    /// It is not part of the wave any more.
    Dropped,
}

/// Progress of one wave.
#[derive(Debug)]
pub struct WaveProgress {
    wave: Wave,
    progress: FastMap<String, Progress>,
    /// Whether the completed status is durable.
    pub reported: bool,
}

/// Time after an order without an answer in which it may still be carried out.
const ORDER_SETTLES: SpanMs = SpanMs(14_000);

impl WaveProgress {
    /// A wave of which nothing is known to have begun.
    #[must_use]
    pub fn new(wave: Wave) -> Self {
        Self {
            wave,
            progress: FastMap::default(),
            reported: false,
        }
    }

    /// The wave.
    #[must_use]
    pub const fn wave(&self) -> &Wave {
        &self.wave
    }

    /// Takes a changed row of the same wave.
    pub fn change(&mut self, wave: Wave) {
        self.wave = wave;
    }

    /// Machines to order down now, the unused ones first.
    #[must_use]
    pub fn next(
        &self,
        now: TimeMs,
        machines: &FastMap<String, Machine>,
        upkeep: SpanMs,
        is_idle: impl Fn(&id::WorkerId) -> bool,
    ) -> Vec<String> {
        let mut down = FastSet::default();
        for name in &self.wave.machines {
            let listed_up = machines
                .get(name)
                .is_some_and(|machine| machine.state == MachineState::Up);
            let listed_upkeep = machines
                .get(name)
                .is_some_and(|machine| machine.state == MachineState::Upkeep);
            let perhaps = match self.progress.get(name) {
                Some(Progress::Ordered(at)) => now.since(*at) < ORDER_SETTLES + upkeep,
                // The list lags, so a machine stays down for its whole time at the least.
                Some(Progress::Begun(at)) => !listed_up || now.since(*at) < upkeep + upkeep,
                _ => false,
            };
            if perhaps || listed_upkeep {
                down.insert(name.as_str());
            }
        }
        let room = (self.wave.most_down as usize).saturating_sub(down.len());
        let mut candidates: Vec<(bool, &String)> = self
            .wave
            .machines
            .iter()
            .filter(|name| self.is_open(name))
            .filter(|name| !down.contains(name.as_str()))
            .filter_map(|name| {
                let machine = machines.get(name)?;
                let up = machine.state == MachineState::Up;
                let idle = machine.worker.as_ref().is_some_and(&is_idle);
                up.then_some((!idle, name))
            })
            .collect();
        candidates.sort();
        let chosen = candidates.into_iter().take(room);
        chosen.map(|(_, name)| name.clone()).collect()
    }

    fn is_open(&self, name: &str) -> bool {
        !matches!(
            self.progress.get(name),
            Some(Progress::Begun(_) | Progress::Dropped)
        )
    }

    /// Notes that an order for a machine is sent.
    pub fn ordered(&mut self, now: TimeMs, name: &str) {
        self.progress
            .insert(name.to_owned(), Progress::Ordered(now));
    }

    /// Takes the answer to an order.
    pub fn answered(&mut self, now: TimeMs, name: &str, answer: MachineAnswer) {
        match answer {
            MachineAnswer::Done => {
                self.progress.insert(name.to_owned(), Progress::Begun(now));
            }
            MachineAnswer::NotOfWave => {
                self.progress.insert(name.to_owned(), Progress::Dropped);
            }
            MachineAnswer::Busy | MachineAnswer::NotDone | MachineAnswer::Fenced => {
                self.progress.remove(name);
            }
            MachineAnswer::Unknown => {}
        }
    }

    /// Whether every machine that is still there has begun its upkeep.
    #[must_use]
    pub fn is_completed(&self, machines: &FastMap<String, Machine>) -> bool {
        self.wave
            .machines
            .iter()
            .all(|name| !self.is_open(name) || !machines.contains_key(name))
    }
}
