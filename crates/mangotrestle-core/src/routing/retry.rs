//! Whether an attempt may be repeated, how often, and after what delay.
//!
//! Three separate questions, three types:
//!
//! - [`Attempts`] follows one request and keeps its outcome true: once an attempt may have run,
//!   nothing that happens later makes the request "not run".
//! - [`Budget`] bounds retries to a share of first attempts, so that a total outage is not
//!   answered by a multiple of the load.
//! - [`Backoff`] spreads retries in time, so that callers who failed together do not come back
//!   together.
//!
//! ```
//! use mangotrestle_core::routing::retry;
//! use mangotrestle_core::time::TimeMs;
//!
//! // One retry for each five first attempts, and one a second in quiet times.
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
    /// The target itself said that it did not run the request.
    RefusedByTarget,
    /// The request was sent and the connection broke before a whole answer head came.
    Broken,
    /// The request was sent and its time was over before an answer head came.
    TimedOut,
    /// The target answered with a status that reports a fault of its own.
    AnsweredFault,
    /// The target answered.
    Answered,
}

/// What to do after an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Pass the answer on.
    PassAnswer,
    /// Another attempt is safe. If none can be made, [`Attempts::final_code`] says what to tell.
    MayRetry,
    /// Tell the caller this outcome.
    GiveUp(ResultCode),
}

/// The attempts of one request.
#[derive(Clone, Copy, Debug)]
pub struct Attempts {
    idempotent: bool,
    allowed: u32,
    made: u32,
    may_have_run: bool,
}

impl Attempts {
    /// A request that was not attempted yet, of which `allowed` attempts may be made.
    #[must_use]
    pub const fn new(idempotent: bool, allowed: u32) -> Self {
        Self {
            idempotent,
            allowed,
            made: 0,
            may_have_run: false,
        }
    }

    /// Whether the request may run more than once.
    #[must_use]
    pub const fn is_idempotent(&self) -> bool {
        self.idempotent
    }

    /// Number of attempts that ended.
    #[must_use]
    pub const fn made(&self) -> u32 {
        self.made
    }

    /// Whether some attempt may have run.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        self.may_have_run
    }

    /// Takes in how an attempt ended.
    pub const fn record_end(&mut self, end: AttemptEnd) -> NextStep {
        self.made += 1;
        let more = self.made < self.allowed;
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

    /// The true outcome when no further attempt is made for the given reason: the reason itself if
    /// nothing ran, unknown if something may have run.
    #[must_use]
    pub const fn final_code(&self, not_run: ResultCode) -> ResultCode {
        if self.may_have_run {
            ResultCode::OutcomeUnknown
        } else {
            not_run
        }
    }
}

/// Sets up a [`Budget`].
#[derive(Clone, Copy, Debug)]
pub struct BudgetBuilder {
    ratio_percent: u32,
    min_per_s: u32,
    burst: u32,
}

impl BudgetBuilder {
    /// Retries allowed for each hundred first attempts. Default: 10.
    #[must_use]
    pub const fn ratio_percent(mut self, percent: u32) -> Self {
        self.ratio_percent = percent;
        self
    }

    /// Retries a second allowed in any case. Default: 1.
    #[must_use]
    pub const fn min_per_s(mut self, rate: u32) -> Self {
        self.min_per_s = rate;
        self
    }

    /// Retries that may be saved up. Default: 10.
    #[must_use]
    pub const fn burst(mut self, burst: u32) -> Self {
        self.burst = burst;
        self
    }

    /// Builds a budget that is full.
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
/// Over any time the retries granted are at most `burst + ratio * first attempts + floor * time`.
#[derive(Clone, Debug)]
pub struct Budget {
    bucket: TokenBucket,
    deposit_thousandths: u64,
}

impl Budget {
    /// Starts the settings of a budget.
    #[must_use]
    pub const fn builder() -> BudgetBuilder {
        BudgetBuilder {
            ratio_percent: 10,
            min_per_s: 1,
            burst: 10,
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&mut self) {
        self.bucket.add_thousandths(self.deposit_thousandths);
    }

    /// Whether a retry may be made; if so it is charged.
    pub fn try_retry(&mut self, now: time::TimeMs) -> bool {
        self.bucket.take(now).is_ok()
    }
}

/// Exponential back-off with full jitter: a uniformly random part of a doubling bound.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    /// Bound of the first delay.
    pub base: time::SpanMs,
    /// Greatest bound.
    pub max: time::SpanMs,
}

impl Backoff {
    /// Delay before retry number `retry`, counted from zero.
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
