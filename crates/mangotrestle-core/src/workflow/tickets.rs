//! Workers that a queue's policy allows for a step.
//!
//! The decision on a worker never changes during its incarnation; only the ticket that proves it
//! expires and must be requested again.

use crate::collections::{FastMap, FastSet};
use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::job::Unit;

/// Time before a ticket's expiry from which it is not used any more, for the delivery of the order
/// to the worker.
const TICKET_DELIVERY_MARGIN: SpanMs = SpanMs(150);
/// Time after which a request counts as lost.
const REQUEST_TIMEOUT: SpanMs = SpanMs(4_000);
/// Time beyond the expected one after which a request is repeated through another host.
const OVERDUE_MARGIN: SpanMs = SpanMs(500);
/// Maximum number of requests in flight for one step: one, and one that repeats it.
const MAX_STEP_REQUESTS: u32 = 2;
/// Number of consecutive failed requests after which no workers are kept free for a step.
const MAX_FAILED_REQUESTS: u32 = 2;
/// Delay after a request that was refused or not answered.
const RETRY_DELAY: SpanMs = SpanMs(120);

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
    /// Time at which the latest ticket request in flight was handed out, if there is one.
    pub requested_at: Option<TimeMs>,
    /// Number of requests in flight.
    requests_in_flight: u32,
    /// Time from which the requests in flight are overdue.
    overdue_at: TimeMs,
    /// Whether it was checked for which workers a request is due, since the step is ready.
    pub checked: bool,
    /// Time before which no further request is sent, after a failed one.
    retry_at: TimeMs,
    /// Number of consecutive requests that were refused or not answered.
    failed_requests: u32,
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
        self.failed_requests = 0;
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

    /// Records that a request was handed out whose answer usually takes `expected_delay`.
    pub fn record_request(&mut self, now: TimeMs, expected_delay: SpanMs) {
        self.requested_at = Some(now);
        self.requests_in_flight += 1;
        self.overdue_at = now + expected_delay + OVERDUE_MARGIN;
    }

    /// Records that a request was answered or has failed. Returns when the latest one was handed
    /// out.
    pub fn record_request_end(&mut self) -> Option<TimeMs> {
        self.requests_in_flight = self.requests_in_flight.saturating_sub(1);
        if self.requests_in_flight == 0 {
            self.requested_at.take()
        } else {
            self.requested_at
        }
    }

    /// Records that a request was refused or not answered. Returns whether the runs that wait for it
    /// should be given up: no other request is in flight for them, or it may fail as well.
    pub fn record_failed_request(&mut self, now: TimeMs) -> bool {
        self.failed_requests += 1;
        self.retry_at = now + RETRY_DELAY;
        self.requests_in_flight == 0 || self.are_unobtainable()
    }

    /// Whether nothing was ever decided and no request is in flight.
    #[must_use]
    pub fn is_unrequested(&self) -> bool {
        self.decided.is_empty() && self.requests_in_flight == 0
    }

    /// Whether a request may be sent: none is in flight, or the only one is overdue, and the delay
    /// after a failed one is over.
    #[must_use]
    pub fn may_request(&self, now: TimeMs) -> bool {
        let in_flight = self
            .requested_at
            .is_some_and(|at| now.since(at) < REQUEST_TIMEOUT);
        (!in_flight || self.is_overdue(now)) && self.retry_at <= now
    }

    /// Whether the only request in flight is overdue, so that the next one would repeat it.
    #[must_use]
    pub fn is_overdue(&self, now: TimeMs) -> bool {
        let in_flight = 1..MAX_STEP_REQUESTS;
        in_flight.contains(&self.requests_in_flight) && now >= self.overdue_at
    }

    /// Whether so many consecutive requests failed that the next may fail as well.
    #[must_use]
    pub const fn are_unobtainable(&self) -> bool {
        self.failed_requests >= MAX_FAILED_REQUESTS
    }

    /// Whether runs may be assigned to allowed workers before their tickets are requested. After
    /// several failed requests tickets come first, so that no worker is kept free for a service that
    /// does not answer.
    #[must_use]
    pub fn may_assign_first(&self, now: TimeMs) -> bool {
        self.may_request(now) && !self.are_unobtainable()
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

    /// Whether there are valid tickets for all members of a unit that are not ordered yet.
    #[must_use]
    pub fn cover(&self, unit: &Unit, now: TimeMs) -> bool {
        let mut workers = unit.unordered_workers();
        workers.all(|worker| self.valid(worker, now).is_some())
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

    /// Returns the workers that the policy allows, in no particular order.
    pub fn allowed_workers(&self) -> impl Iterator<Item = &id::WorkerId> {
        self.allowed.keys()
    }

    /// Whether any worker is allowed.
    #[must_use]
    pub fn allows_any(&self) -> bool {
        !self.allowed.is_empty()
    }
}
