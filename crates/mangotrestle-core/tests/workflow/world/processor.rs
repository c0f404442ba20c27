//! The processor of a leader's host: each round, call and answer takes time, and what arrives
//! meanwhile waits.

use std::collections::VecDeque;

use mangotrestle_core::workflow::pool::Order;

use super::{Answer, STEP_MS};

/// Time that a round takes for each worker of the pool, on a whole core.
const ROUND_TIME_PER_WORKER_US: f64 = 1.0;
/// Time that a round takes for each waiting unit that it looks at, on a whole core.
const ROUND_TIME_PER_UNIT_US: f64 = 3.0;
/// Maximum number of waiting units that a round looks at.
const MAX_UNITS_PER_ROUND: usize = 1_024;
/// Time that sending an order or handling an answer takes, on a whole core.
const CALL_TIME_US: f64 = 30.0;
/// Time between two rounds as a multiple of the duration of the first.
const ROUND_REST_FACTOR: f64 = 3.0;
/// Bounds of the time between two rounds.
const ROUND_REST_BOUNDS_US: (f64, f64) = (4_000.0, 25_000.0);

/// The processor of a leader's host.
#[derive(Debug)]
pub struct Processor {
    /// Part of a core that the host has.
    share: f64,
    busy_until_us: f64,
    next_round_us: f64,
    answers: VecDeque<(u64, Answer)>,
    orders: VecDeque<Order>,
}

impl Processor {
    /// Returns an idle processor with a part of a core.
    pub fn new(share: f64) -> Self {
        Self {
            share,
            busy_until_us: 0.0,
            next_round_us: 0.0,
            answers: VecDeque::new(),
            orders: VecDeque::new(),
        }
    }

    /// Changes the part of a core.
    pub fn set_share(&mut self, share: f64) {
        self.share = share;
    }

    fn spend(&mut self, now_us: f64, core_us: f64) {
        self.busy_until_us = self.busy_until_us.max(now_us) + core_us / self.share;
    }

    /// Whether it has time left in this step of the simulation.
    fn is_idle(&self, now_ms: u64) -> bool {
        self.busy_until_us < micros(now_ms + STEP_MS)
    }

    /// Adds an answer that arrived.
    pub(super) fn push_answer(&mut self, term: u64, answer: Answer) {
        self.answers.push_back((term, answer));
    }

    /// Adds orders to send.
    pub(super) fn push_orders(&mut self, orders: Vec<Order>) {
        self.orders.extend(orders);
    }

    /// Returns the next answer to handle, if there is time for it.
    pub(super) fn next_answer(&mut self, now_ms: u64) -> Option<(u64, Answer)> {
        if !self.is_idle(now_ms) {
            return None;
        }
        let answer = self.answers.pop_front()?;
        self.spend(micros(now_ms), CALL_TIME_US);
        Some(answer)
    }

    /// Returns the next order to send, if there is time for it.
    pub(super) fn next_order(&mut self, now_ms: u64) -> Option<Order> {
        if !self.is_idle(now_ms) {
            return None;
        }
        let order = self.orders.pop_front()?;
        self.spend(micros(now_ms), CALL_TIME_US);
        Some(order)
    }

    /// Whether a round begins now, over so many workers and waiting units.
    pub(super) fn begins_round(&mut self, now_ms: u64, workers: usize, waiting: usize) -> bool {
        let began_us = micros(now_ms);
        if !self.is_idle(now_ms) || began_us < self.next_round_us {
            return false;
        }
        let units = waiting.min(MAX_UNITS_PER_ROUND);
        let core_us =
            count(workers) * ROUND_TIME_PER_WORKER_US + count(units) * ROUND_TIME_PER_UNIT_US;
        self.spend(began_us, core_us);
        let (shortest, longest) = ROUND_REST_BOUNDS_US;
        let rest_us = (core_us / self.share * ROUND_REST_FACTOR).clamp(shortest, longest);
        self.next_round_us = self.busy_until_us + rest_us;
        true
    }
}

fn micros(now_ms: u64) -> f64 {
    count(usize::try_from(now_ms).unwrap_or(usize::MAX)) * 1_000.0
}

#[allow(clippy::cast_precision_loss, reason = "numbers far below 2^52")]
fn count(number: usize) -> f64 {
    number as f64
}
