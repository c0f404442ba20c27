//! Workers that a queue's policy allows for a step.
//!
//! The decision on a worker never changes during its incarnation; only the ticket that proves it
//! expires and must be requested again.

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs};

/// Time before a ticket's expiry from which it is not used any more, for the delivery of the order
/// to the worker.
const TICKET_DELIVERY_MARGIN: SpanMs = SpanMs(150);

/// A ticket and the time until which it may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// Proof that the worker checks.
    pub text: String,
    /// Time at which it expires.
    pub valid_until: TimeMs,
}

/// Decisions and tickets for one step.
#[derive(Clone, Debug, Default)]
pub struct StepTickets {
    allowed: FastMap<id::WorkerId, Ticket>,
    decided: FastSet<id::WorkerId>,
    /// Time at which the ticket request in flight was handed out, if there is one.
    pub requested_at: Option<TimeMs>,
    /// Time before which no further request is sent, after a failed one.
    pub retry_at: TimeMs,
}

impl StepTickets {
    /// Records the answer to a request: of the workers in `asked`, those in `allowed` are allowed,
    /// each with its ticket; the tickets are valid for `validity`.
    pub fn learn(
        &mut self,
        now: TimeMs,
        asked: &[id::WorkerId],
        allowed: Vec<(id::WorkerId, String)>,
        validity: SpanMs,
    ) {
        self.decided.extend(asked.iter().cloned());
        for (worker, text) in allowed {
            let valid_until = now + validity - TICKET_DELIVERY_MARGIN;
            self.allowed.insert(worker, Ticket { text, valid_until });
        }
    }

    /// Returns the ticket for a worker, if it is valid now.
    #[must_use]
    pub fn valid(&self, worker: &id::WorkerId, now: TimeMs) -> Option<&Ticket> {
        self.allowed
            .get(worker)
            .filter(|ticket| ticket.valid_until > now)
    }

    /// Invalidates a ticket that the worker did not accept.
    pub fn invalidate(&mut self, worker: &id::WorkerId) {
        if let Some(ticket) = self.allowed.get_mut(worker) {
            ticket.valid_until = TimeMs(0);
        }
    }

    /// Whether the policy allows the worker, with or without a valid ticket.
    #[must_use]
    pub fn allows(&self, worker: &id::WorkerId) -> bool {
        self.allowed.contains_key(worker)
    }

    /// Whether the policy has not decided on the worker yet.
    #[must_use]
    pub fn is_undecided(&self, worker: &id::WorkerId) -> bool {
        !self.decided.contains(worker)
    }

    /// Returns the time until which at least one of the tickets is valid.
    #[must_use]
    pub fn valid_until(&self) -> TimeMs {
        self.allowed
            .values()
            .map(|ticket| ticket.valid_until)
            .max()
            .unwrap_or_default()
    }

    /// Whether any worker is allowed.
    #[must_use]
    pub fn allows_any(&self) -> bool {
        !self.allowed.is_empty()
    }
}
