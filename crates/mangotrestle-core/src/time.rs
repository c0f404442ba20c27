//! Points in time and time spans, in whole milliseconds.
//!
//! The lease protocol uses two clocks that must never be mixed: the monotonic clock of the process
//! that runs the code ([`TimeMs`]) and the monotonic clock of a worker ([`WorkerTimeMs`]). Both
//! count from an arbitrary start.

use std::fmt;
use std::ops::{Add, Sub};

use serde::{Deserialize, Serialize};

macro_rules! clock_reading {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the span since an earlier reading, or zero if that reading is later.
            #[must_use]
            pub fn since(self, earlier: Self) -> SpanMs {
                SpanMs(self.0.saturating_sub(earlier.0))
            }
        }

        impl Add<SpanMs> for $name {
            type Output = Self;

            fn add(self, span: SpanMs) -> Self {
                Self(self.0.saturating_add(span.0))
            }
        }

        impl Sub<SpanMs> for $name {
            type Output = Self;

            fn sub(self, span: SpanMs) -> Self {
                Self(self.0.saturating_sub(span.0))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

clock_reading!(
    /// A reading of this process's monotonic clock.
    TimeMs
);
clock_reading!(
    /// A reading of a worker's monotonic clock.
    WorkerTimeMs
);
clock_reading!(
    /// A reading of the wall clock, since the Unix epoch. Used only for display and for ages; no
    /// decision about safety depends on it.
    WallTimeMs
);

/// A span of time.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SpanMs(pub u64);

impl SpanMs {
    /// Returns a span of whole seconds.
    #[must_use]
    pub const fn from_secs(seconds: u64) -> Self {
        Self(seconds * 1_000)
    }

    /// Returns the span as a [`std::time::Duration`].
    #[must_use]
    pub const fn as_duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add for SpanMs {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Sub for SpanMs {
    type Output = Self;

    fn sub(self, other: Self) -> Self {
        Self(self.0.saturating_sub(other.0))
    }
}

impl fmt::Display for SpanMs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
