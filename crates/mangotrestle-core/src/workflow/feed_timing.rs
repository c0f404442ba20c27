//! How often a feed is read, and for how long what it said may be relied on.
//!
//! A change in the store has to take effect within a bound that the platform's users set. A host
//! learns of it by reads that the store holds back until there is a change. Any of them may be sent
//! over a connection that is open and silent, so a read that is overdue is sent again over another
//! path. All times are parts of the bound, so that they add up to less than it.

use crate::time::SpanMs;

/// Maximum time for which the store may hold back a feed that a pool's leader reads, in
/// milliseconds; with small bounds less.
const MAX_LEADER_FEED_WAIT_MS: u64 = 400;
/// Maximum interval between two reads of the feed of jobs and cancels, in milliseconds; with small
/// bounds less.
const MAX_CANCEL_FEED_INTERVAL_MS: u64 = 350;
/// Maximum time for which a read may be overdue until it is sent again, in milliseconds; with small
/// bounds less. Answers take a few milliseconds, and tens on a busy host.
const MAX_RESEND_DELAY_MS: u64 = 300;

/// Times at which one feed is read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeedTiming {
    /// Minimum time from the start of a read to the start of the next.
    pub interval: SpanMs,
    /// Maximum time for which the store may hold back a read.
    pub wait: SpanMs,
    /// Time beyond the wait after which a read without an answer is sent again over another path,
    /// and then again over the next.
    pub resend_delay: SpanMs,
    /// Age of what the feed said from which it may no longer be relied on; the rest of the bound is
    /// for what follows from it.
    pub max_age: SpanMs,
}

impl FeedTiming {
    /// Returns the times for the feed of configurations, which must be in force within `bound`.
    #[must_use]
    pub fn configuration(bound: SpanMs) -> Self {
        Self {
            interval: SpanMs(0),
            wait: percent(bound, 45),
            resend_delay: resend_delay(bound),
            max_age: percent(bound, 90),
        }
    }

    /// Returns the times for the feed of workers, on which no task may start later than `bound`
    /// after they began to drain. A quarter of the bound is left for the order to start.
    #[must_use]
    pub fn workers(bound: SpanMs) -> Self {
        let wait = SpanMs(percent(bound, 20).0.min(MAX_LEADER_FEED_WAIT_MS));
        Self {
            interval: wait,
            wait,
            resend_delay: resend_delay(bound),
            max_age: percent(bound, 75),
        }
    }

    /// Returns the times for the feed of jobs and cancels. No task of a job may start later than
    /// `bound` after its cancel; half of the bound is left for the order to start, which may be sent
    /// again.
    #[must_use]
    pub fn cancels(bound: SpanMs) -> Self {
        Self {
            interval: SpanMs(percent(bound, 12).0.min(MAX_CANCEL_FEED_INTERVAL_MS)),
            wait: SpanMs(percent(bound, 14).0.min(MAX_LEADER_FEED_WAIT_MS)),
            resend_delay: SpanMs(percent(bound, 10).0.min(MAX_RESEND_DELAY_MS)),
            max_age: percent(bound, 50),
        }
    }

    /// Returns the maximum age that the feed's rows reach while the first `silent_paths` over which
    /// a read is sent give no answer, apart from the time that an answer takes.
    #[must_use]
    pub const fn worst_age(&self, silent_paths: u64) -> SpanMs {
        SpanMs(self.interval.0 + self.wait.0 + silent_paths * self.resend_delay.0)
    }
}

const fn percent(bound: SpanMs, percent: u64) -> SpanMs {
    SpanMs(bound.0 * percent / 100)
}

fn resend_delay(bound: SpanMs) -> SpanMs {
    SpanMs(percent(bound, 15).0.min(MAX_RESEND_DELAY_MS))
}
