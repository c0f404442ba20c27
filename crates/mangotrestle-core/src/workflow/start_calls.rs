//! Counts the calls of a run's start order that its worker may still carry out.
//!
//! A start order may be sent in several calls: once more beside the first one if that is not answered in
//! the usual time, and again after both have ended without an answer. Each call may be carried out until
//! its own outcome shows otherwise, in any order and seconds after it was dropped. An answer to one call
//! says nothing of another that is out: a worker may refuse the first and carry out the second.
//!
//! So a call counts as open from before it is sent, and only its own outcome closes it. A call of which
//! no outcome is reported stays open. A run with an open call may begin until its worker has answered a
//! stop, its lease has expired or its life has ended.

use super::message::OrderAnswer;

/// Outcomes of the calls of one start order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StartOutcome {
    answer: OrderAnswer,
    closed_calls: u32,
}

impl StartOutcome {
    /// Returns the outcome of an order that was sent in one call, or of which only one call has ended.
    #[must_use]
    pub fn of_call(answer: OrderAnswer) -> Self {
        Self {
            closed_calls: u32::from(answer.closes_call()),
            answer,
        }
    }

    /// Returns the outcome of an order that was sent in two calls which have both ended.
    #[must_use]
    pub fn of_calls(answers: [OrderAnswer; 2]) -> Self {
        let closed = answers.iter().map(|answer| u32::from(answer.closes_call()));
        let closed_calls = closed.sum();
        let [first, second] = answers;
        let answer = if second.precedence() > first.precedence() {
            second
        } else {
            first
        };
        Self {
            answer,
            closed_calls,
        }
    }

    /// Returns the answer that says most about the run.
    #[must_use]
    pub const fn answer(&self) -> &OrderAnswer {
        &self.answer
    }
}

impl OrderAnswer {
    /// Whether the call with this outcome is certainly not carried out later.
    const fn closes_call(&self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Returns how much the answer to one of two calls says about the run, compared with the other.
    const fn precedence(&self) -> u8 {
        match self {
            _ if self.settles_run() => 3,
            // That nothing was sent in one call must not hide that the other has no answer.
            Self::NotSent => 0,
            Self::Unknown => 1,
            _ => 2,
        }
    }
}

/// The calls of a run's start orders.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StartCalls {
    open: u32,
    unanswered_orders: u32,
}

impl StartCalls {
    /// Returns the calls of a run that an earlier leader assigned: it may have sent the order, and nobody
    /// knows the outcome.
    #[must_use]
    pub const fn of_earlier_leader() -> Self {
        Self {
            open: 1,
            unanswered_orders: 1,
        }
    }

    /// Records that a call is about to be sent.
    pub const fn add_call(&mut self) {
        self.open += 1;
    }

    /// Records the outcome of an order.
    pub fn record_outcome(&mut self, outcome: &StartOutcome) {
        self.open = self.open.saturating_sub(outcome.closed_calls);
        self.unanswered_orders += u32::from(outcome.answer == OrderAnswer::Unknown);
    }

    /// Returns the number of calls that may still be carried out.
    #[must_use]
    pub const fn open(self) -> u32 {
        self.open
    }

    /// Returns the number of orders that got no answer.
    #[must_use]
    pub const fn unanswered_orders(self) -> u32 {
        self.unanswered_orders
    }

    /// Whether a call may still be carried out.
    #[must_use]
    pub const fn is_open(self) -> bool {
        self.open > 0
    }
}
