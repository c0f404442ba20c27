//! Interval between the rounds of a leader.
//!
//! A round goes over all workers of the pool, whatever caused it, so a round for each of thousands
//! of answers a second would take all of the processor time in a large pool. Answers that arrive in
//! between two rounds are handled together.

use std::time::{Duration, Instant};

/// Maximum time between two rounds of the leader.
pub(super) const MAX_ROUND_INTERVAL: Duration = Duration::from_millis(25);
/// Minimum time between two rounds of the leader.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(4);
/// Time between two rounds as a multiple of the duration of the first; so much of the processor
/// time is left for calls.
const ROUND_REST_FACTOR: u32 = 3;

/// Spaces out the rounds of a leader.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    round_began: Option<Instant>,
    next_round: Option<Instant>,
}

impl Pacing {
    /// Waits until the next round is due, and begins it.
    pub(super) async fn wait_for_round(&mut self) {
        if let Some(at) = self.next_round {
            tokio::time::sleep_until(at.into()).await;
        }
        self.round_began = Some(Instant::now());
    }

    /// Ends a round and returns its duration; the next one is due after a time in proportion to it.
    pub(super) fn end_round(&mut self) -> Duration {
        let now = Instant::now();
        let took = self.round_began.map_or(Duration::ZERO, |began| now - began);
        metrics::histogram!("mangotrestle_round_seconds").record(took.as_secs_f64());
        let rest = (took * ROUND_REST_FACTOR).clamp(MIN_ROUND_INTERVAL, MAX_ROUND_INTERVAL);
        self.next_round = Some(now + rest);
        took
    }
}
