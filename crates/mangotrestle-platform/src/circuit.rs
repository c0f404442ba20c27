//! A circuit breaker that probes an unavailable service.
//!
//! While a service is down, every request to it would wait for its whole deadline. After a few
//! consecutive failures the circuit opens: requests are refused at once, and one request at a time is
//! let through as a probe, at growing, jittered intervals.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::backoff;

/// Consecutive failures after which the circuit opens.
const FAILURES_TO_OPEN: u32 = 3;
/// Upper bound of the delay before the first probe.
const INITIAL_PROBE_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum delay between probes.
const MAX_PROBE_BACKOFF: Duration = Duration::from_secs(5);

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// Send the request, and report its outcome.
    Send,
    /// Do not send the request; the circuit is open.
    Refuse {
        /// Time until the next probe.
        retry_after: Duration,
    },
}

/// Health of one service as seen by this process.
#[derive(Debug)]
pub struct Circuit {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    failures: u32,
    backoff: backoff::Backoff,
    next_probe: Instant,
    open_since: Option<Instant>,
}

impl Default for Circuit {
    fn default() -> Self {
        let state = State {
            failures: 0,
            backoff: backoff::Backoff::new(INITIAL_PROBE_BACKOFF, MAX_PROBE_BACKOFF),
            next_probe: Instant::now(),
            open_since: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }
}

impl Circuit {
    /// Returns whether a request may be sent now. The outcome of a permitted request must be
    /// reported by [`succeeded`](Self::succeeded) or [`failed`](Self::failed).
    pub fn permit(&self) -> Permit {
        let mut state = self.lock();
        if state.open_since.is_none() {
            return Permit::Send;
        }
        let now = Instant::now();
        if now < state.next_probe {
            return Permit::Refuse {
                retry_after: state.next_probe - now,
            };
        }
        let delay = state.backoff.next_delay();
        state.next_probe = now + delay;
        Permit::Send
    }

    /// Records that the service answered, and closes the circuit.
    pub fn succeeded(&self) {
        let mut state = self.lock();
        state.failures = 0;
        state.open_since = None;
        state.backoff.reset();
    }

    /// Records that no answer came; opens the circuit after several failures in a row.
    pub fn failed(&self) {
        let mut state = self.lock();
        state.failures = state.failures.saturating_add(1);
        if state.failures < FAILURES_TO_OPEN || state.open_since.is_some() {
            return;
        }
        let now = Instant::now();
        state.open_since = Some(now);
        let delay = state.backoff.next_delay();
        state.next_probe = now + delay;
    }

    /// When the circuit opened, for `status`; `None` while it is closed.
    #[must_use]
    pub fn open_since(&self) -> Option<Instant> {
        self.lock().open_since
    }

    /// Time until the next probe; zero while the circuit is closed.
    #[must_use]
    pub fn retry_after(&self) -> Duration {
        let state = self.lock();
        if state.open_since.is_none() {
            return Duration::ZERO;
        }
        state.next_probe.saturating_duration_since(Instant::now())
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
