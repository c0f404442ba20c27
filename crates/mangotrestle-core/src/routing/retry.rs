//! Retry policy: whether an attempt may be repeated, how often, and after what delay.
//!
//! - [`Attempts`] tracks the attempts of one request, so that its outcome is reported correctly:
//!   once an attempt may have run, the request is never reported as not run.
//! - [`Budget`] bounds retries to a share of first attempts, so that retries do not multiply the
//!   load during a total outage.
//! - [`Backoff`] spreads retries over time, so that callers that failed at the same time do not
//!   retry at the same time.
//!
//! ```
//! use mangotrestle_core::routing::retry;
//! use mangotrestle_core::time::TimeMs;
//!
//! // One retry for every five first attempts, and at least one per second.
//! let mut budget = retry::Budget::builder()
//!     .ratio_percent(20)
//!     .min_per_s(1)
//!     .burst(2)
//!     .build(TimeMs(0));
//! for _ in 0..100 {
//!     budget.first_attempt();
//! }
//! let granted = (0..100).filter(|_| budget.try_retry(TimeMs(0))).count();
//! assert_eq!(granted, 2, "no more than the burst at once");
//! ```

use rand::{Rng, RngExt};

use crate::result_code::ResultCode;
use crate::routing::token_bucket::TokenBucket;
use crate::time;

/// How one attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No byte of the request reached the target: the connection was refused.
    NotSent,
    /// The target reported that it did not run the request.
    RefusedByTarget,
    /// The request was sent, and the connection broke before the complete head of an answer
    /// arrived.
    Broken,
    /// The request was sent, and its time ran out before the head of an answer arrived.
    TimedOut,
    /// The target answered with a status that reports a server error.
    AnsweredFault,
    /// The target answered without a server error.
    Answered,
}

/// What to do next after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Pass the answer on to the caller.
    PassAnswer,
    /// Another attempt is safe. If none can be made, [`Attempts::final_code`] returns the result
    /// code for the caller.
    MayRetry,
    /// Make no further attempt and answer the caller with this code.
    GiveUp(ResultCode),
}

/// Tracks the attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    max: u32,
    made: u32,
    may_have_run: bool,
}

impl Attempts {
    /// Returns the state of a request before its first attempt. At most `max_attempts` attempts
    /// are made.
    #[must_use]
    pub const fn new(idempotent: bool, max_attempts: u32) -> Self {
        Self {
            idempotent,
            max: max_attempts,
            made: 0,
            may_have_run: false,
        }
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Number of attempts that have ended.
    #[must_use]
    pub const fn made(&self) -> u32 {
        self.made
    }

    /// Whether any attempt may have run, apart from those answered without a server error.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Records how an attempt ended and returns what to do next.
    pub const fn record_end(&mut self, end: AttemptEnd) -> NextStep {
        self.made += 1;
        let more = self.made < self.max;
        match end {
            AttemptEnd::Answered => NextStep::PassAnswer,
            AttemptEnd::AnsweredFault => {
                self.may_have_run = true;
                if self.idempotent && more {
                    NextStep::MayRetry
                } else {
                    NextStep::PassAnswer
                }
            }
            AttemptEnd::NotSent | AttemptEnd::RefusedByTarget if more => NextStep::MayRetry,
            AttemptEnd::NotSent | AttemptEnd::RefusedByTarget => {
                NextStep::GiveUp(self.final_code(ResultCode::TargetRefused))
            }
            AttemptEnd::Broken => {
                self.may_have_run = true;
                if self.idempotent && more {
                    NextStep::MayRetry
                } else {
                    NextStep::GiveUp(ResultCode::OutcomeUnknown)
                }
            }
            AttemptEnd::TimedOut => {
                self.may_have_run = true;
                NextStep::GiveUp(ResultCode::OutcomeUnknown)
            }
        }
    }

    /// Returns the result code when no further attempt is made: `not_run` if no attempt can have
    /// run, [`ResultCode::OutcomeUnknown`] if one may have.
    #[must_use]
    pub const fn final_code(&self, not_run: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            not_run
        }
    }
}

/// Builder of a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetBuilder {
    ratio_percent: u32,
    min_per_s: u32,
    burst: u32,
}

impl BudgetBuilder {
    /// Number of retries allowed per hundred first attempts. Default: 10.
    #[must_use]
    pub const fn ratio_percent(mut self, percent: u32) -> Self {
        self.ratio_percent = percent;
        self
    }

    /// Number of retries per second that are always allowed. Default: 1.
    #[must_use]
    pub const fn min_per_s(mut self, rate: u32) -> Self {
        self.min_per_s = rate;
        self
    }

    /// Maximum number of unused retries that accumulate. Default: 10.
    #[must_use]
    pub const fn burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        self
    }

    /// Builds a full budget: `burst` retries are available at once.
    #[must_use]
    pub fn build(self, now: time::TimeMs) -> Budget {
        Budget {
            bucket: TokenBucket::new(self.min_per_s, self.burst, now),
            deposit_thousandths: u64::from(self.ratio_percent) * 10,
        }
    }
}

/// Bounds retries to a share of first attempts.
///
/// Over any period the number of retries granted is at most
/// `burst + ratio * first attempts + minimum rate * time`.
#[derive(Clone, Debug)]
pub struct Budget {
    bucket: TokenBucket,
    deposit_thousandths: u64,
}

impl Budget {
    /// Returns a builder with the default settings.
    #[must_use]
    pub const fn builder() -> BudgetBuilder {
        BudgetBuilder {
            ratio_percent: 10,
            min_per_s: 1,
            burst: 10,
        }
    }

    /// Counts a first attempt, which adds to the budget.
    pub fn first_attempt(&mut self) {
        self.bucket.add_thousandths(self.deposit_thousandths);
    }

    /// Charges a retry to the budget. Returns whether the retry may be made.
    pub fn try_retry(&mut self, now: time::TimeMs) -> bool {
        self.bucket.take(now).is_ok()
    }
}

/// Exponential back-off with full jitter: each delay is uniformly random between zero and a bound
/// that doubles with each retry.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Maximum of the first delay.
    pub base: time::SpanMs,
    /// Maximum of any delay.
    pub max: time::SpanMs,
}

impl Backoff {
    /// Returns a random delay before retry number `retry`, counted from zero.
    ///
    /// ```
    /// use mangotrestle_core::routing::retry::Backoff;
    /// use mangotrestle_core::time::SpanMs;
    /// use rand::SeedableRng;
    ///
    /// let backoff = Backoff { base: SpanMs(10), max: SpanMs(50) };
    /// let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
    /// assert!(backoff.delay(0, &mut rng) <= SpanMs(10));
    /// assert!(backoff.delay(9, &mut rng) <= SpanMs(50));
    /// ```
    pub fn delay(&self, retry: u32, rng: &mut impl Rng) -> time::SpanMs {
        let factor = 1_u64 << retry.min(32);
        let bound_ms = self.base.0.saturating_mul(factor).min(self.max.0);
        time::SpanMs(rng.random_range(0..=bound_ms))
    }
}
