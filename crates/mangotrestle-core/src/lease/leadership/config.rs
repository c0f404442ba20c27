//! Settings of a pool's leadership.

use displaydoc::Display;

use crate::lease::clock;
use crate::time;

/// Contradiction between settings.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidConfig {
    /// renew interval {renew_interval} ms: a term of {term} ms must hold at least two intervals
    RenewInterval {
        /// The interval given.
        renew_interval: time::SpanMs,
        /// The term given.
        term: time::SpanMs,
    },
    /// answer timeout {answer_timeout} ms: it must be shorter than the term of {term} ms
    AnswerTimeout {
        /// The timeout given.
        answer_timeout: time::SpanMs,
        /// The term given.
        term: time::SpanMs,
    },
}

impl std::error::Error for InvalidConfig {}

/// Settings of a pool's leadership. All entry hosts of a pool need the same term and drift.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LeadershipConfig {
    pub(super) term: time::SpanMs,
    pub(super) renew_interval: time::SpanMs,
    pub(super) drift: clock::DriftBound,
    pub(super) answer_timeout: time::SpanMs,
    pub(super) min_back_off: time::SpanMs,
    pub(super) max_back_off: time::SpanMs,
    pub(super) pause_margin: time::SpanMs,
    pub(super) start_window: time::SpanMs,
    pub(super) roster_interval: time::SpanMs,
}

impl LeadershipConfig {
    /// Returns a builder with the default settings.
    #[must_use]
    pub const fn builder() -> LeadershipConfigBuilder {
        LeadershipConfigBuilder {
            config: Self {
                term: time::SpanMs::from_secs(15),
                renew_interval: time::SpanMs::from_secs(5),
                drift: clock::DriftBound::from_parts_per_million(500),
                answer_timeout: time::SpanMs::from_secs(2),
                min_back_off: time::SpanMs(500),
                max_back_off: time::SpanMs::from_secs(10),
                pause_margin: time::SpanMs::from_secs(2),
                start_window: time::SpanMs::from_secs(3),
                roster_interval: time::SpanMs::from_secs(10),
            },
        }
    }
}

/// Builds a [`LeadershipConfig`].
#[derive(Clone, Debug)]
pub struct LeadershipConfigBuilder {
    config: LeadershipConfig,
}

macro_rules! options {
    ($($(#[$doc:meta])* $name:ident: $type:ty;)*) => {
        $($(#[$doc])*
        #[must_use]
        pub const fn $name(mut self, $name: $type) -> Self {
            self.config.$name = $name;
            self
        })*
    };
}

impl LeadershipConfigBuilder {
    options! {
        /// Sets the term of a worker lease, 15 s by default.
        term: time::SpanMs;
        /// Sets the interval between renewals of a worker, before jitter, 5 s by default.
        renew_interval: time::SpanMs;
        /// Sets the maximum difference in rate between two clocks, 500 parts per million by
        /// default.
        drift: clock::DriftBound;
        /// Sets the timeout after which a message counts as unanswered, 2 s by default.
        answer_timeout: time::SpanMs;
        /// Sets the initial back-off after a lost claim round, 500 ms by default.
        min_back_off: time::SpanMs;
        /// Sets the maximum back-off after repeated lost claim rounds, 10 s by default.
        max_back_off: time::SpanMs;
        /// Sets the time without events after which the process may have been paused and the
        /// majority is confirmed again, 2 s by default.
        pause_margin: time::SpanMs;
        /// Sets the maximum time from a permit to its start-before, 3 s by default.
        start_window: time::SpanMs;
        /// Sets the minimum interval between roster changes, 10 s by default.
        roster_interval: time::SpanMs;
    }

    /// Checks the settings.
    ///
    /// # Errors
    ///
    /// Returns [`InvalidConfig`] for the first setting that contradicts another.
    pub fn build(self) -> Result<LeadershipConfig, InvalidConfig> {
        let config = self.config;
        if config.renew_interval.0 * 2 > config.term.0 {
            return Err(InvalidConfig::RenewInterval {
                renew_interval: config.renew_interval,
                term: config.term,
            });
        }
        if config.answer_timeout >= config.term {
            return Err(InvalidConfig::AnswerTimeout {
                answer_timeout: config.answer_timeout,
                term: config.term,
            });
        }
        Ok(config)
    }
}
