//! Which workers a queue's policy allows for a step.
//!
//! The answer for a worker never changes during the worker's life; only the ticket that proves it
//! lapses and must be asked for again.

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs};

/// Part of a ticket's life kept back for the order's way to the worker.
const TICKET_MARGIN: SpanMs = SpanMs(150);

/// A ticket and the time until which it may be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ticket {
    /// The proof that the worker checks.
    pub text: String,
    /// When it lapses.
    pub valid_until: TimeMs,
}

/// What is known for one step.
#[derive(Clone, Debug, Default)]
pub struct StepTickets {
    allowed: FastMap<id::WorkerId, Ticket>,
    asked: FastSet<id::WorkerId>,
    /// When the question in flight was handed out, if there is one.
    pub asked_at: Option<TimeMs>,
    /// Time before which no further question is sent, after one that failed.
    pub retry_at: TimeMs,
}

impl StepTickets {
    /// Takes an answer about some workers.
    pub fn learn(
        &mut self,
        now: TimeMs,
        asked: &[id::WorkerId],
        good: Vec<(id::WorkerId, String)>,
        valid: SpanMs,
    ) {
        self.asked.extend(asked.iter().cloned());
        for (worker, text) in good {
            let valid_until = now + valid - TICKET_MARGIN;
            self.allowed.insert(worker, Ticket { text, valid_until });
        }
    }

    /// The ticket for a worker, if it can be used now.
    #[must_use]
    pub fn valid(&self, worker: &id::WorkerId, now: TimeMs) -> Option<&Ticket> {
        self.allowed
            .get(worker)
            .filter(|ticket| ticket.valid_until > now)
    }

    /// Forgets a ticket that the worker did not take.
    pub fn reject(&mut self, worker: &id::WorkerId) {
        if let Some(ticket) = self.allowed.get_mut(worker) {
            ticket.valid_until = TimeMs(0);
        }
    }

    /// Whether the policy allows the worker, with or without a valid ticket.
    #[must_use]
    pub fn allows(&self, worker: &id::WorkerId) -> bool {
        self.allowed.contains_key(worker)
    }

    /// Whether nothing is known of the worker yet.
    #[must_use]
    pub fn is_unknown(&self, worker: &id::WorkerId) -> bool {
        !self.asked.contains(worker)
    }

    /// Time until which at least one of the tickets is valid.
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
