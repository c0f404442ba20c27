//! Numbered result codes of everything the system answers.
//!
//! The number is part of the public interface: it never changes its meaning and is never used
//! again. `docs/RESULT-CODES.md` lists each with what to do; a test holds the two together.

use std::fmt;

use serde::{Deserialize, Serialize};

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $slug:literal;)*) => {
        /// Outcome of a command or a request.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        #[repr(u16)]
        pub enum ResultCode {
            $($(#[$doc])* $name = $number,)*
        }

        impl ResultCode {
            /// All codes, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Short name, as logs and tables show it.
            #[must_use]
            pub const fn slug(self) -> &'static str {
                match self {
                    $(Self::$name => $slug,)*
                }
            }

            /// The code with this number.
            #[must_use]
            pub const fn from_number(number: u16) -> Option<Self> {
                match number {
                    $($number => Some(Self::$name),)*
                    _ => None,
                }
            }
        }
    };
}

result_codes! {
    /// Done as asked.
    Ok = 0, "ok";
    /// The input is wrong; the message says where.
    InvalidInput = 1000, "invalid-input";
    /// A setting of the process is wrong.
    InvalidSettings = 1001, "invalid-settings";
    /// The sender is not known or may not do this.
    Unauthorized = 1002, "unauthorized";
    /// The input is larger than its limit.
    TooLarge = 1003, "too-large";
    /// There is nothing with this name.
    NotFound = 1100, "not-found";
    /// There is already something else with this name.
    AlreadyExists = 1101, "already-exists";
    /// The state changed since the revision that the command was based on.
    RevisionConflict = 1102, "revision-conflict";
    /// The quota of the team does not allow it.
    QuotaExceeded = 1103, "quota-exceeded";
    /// No worker could ever hold one task of the job.
    NeverFits = 1104, "never-fits";
    /// The job failed on every worker that tried it.
    FailsEverywhere = 1105, "fails-everywhere";
    /// Not run: the store is unavailable and the work must be recorded first.
    StoreUnavailable = 2000, "store-unavailable";
    /// Not run: too much work is waiting.
    Overloaded = 2001, "overloaded";
    /// Not run: no target was ready before the deadline.
    NoReadyTarget = 2002, "no-ready-target";
    /// Not run: the deadline had passed before a target took the request.
    DeadlineBeforeStart = 2003, "deadline-before-start";
    /// Not run: this entry host is stopping or not ready yet.
    NotReady = 2004, "not-ready";
    /// Not run: the team's rate or concurrency limit is reached.
    TeamLimited = 2005, "team-limited";
    /// Not run: every target refused the request.
    TargetRefused = 2006, "target-refused";
    /// Unknown: the target may have run the request, and no whole answer came.
    OutcomeUnknown = 3000, "outcome-unknown";
    /// Unknown: an earlier request with this key was started and has no known end.
    EarlierOutcomeUnknown = 3001, "earlier-outcome-unknown";
    /// The answer was cut off while it was being passed on.
    AnswerTruncated = 3002, "answer-truncated";
    /// The pool has no acting leader at the moment.
    NoLeader = 4000, "no-leader";
    /// The entry host asked does not lead the pool.
    NotLeader = 4001, "not-leader";
    /// The lease was claimed by another leader with a higher epoch.
    StaleEpoch = 4002, "stale-epoch";
    /// The lease or the start-before time has passed.
    Expired = 4003, "expired";
    /// The message carries an older roster version than the worker knows.
    StaleRoster = 4004, "stale-roster";
    /// The worker has no room for the task.
    NoCapacity = 4005, "no-capacity";
    /// The worker leaves and takes no new work.
    Leaving = 4006, "leaving";
    /// A fault inside the system; the log has more.
    Internal = 9000, "internal";
}

impl ResultCode {
    /// Number of the code.
    #[must_use]
    pub const fn number(self) -> u16 {
        self as u16
    }
}

impl fmt::Display for ResultCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}({})", self.slug(), self.number())
    }
}

impl Serialize for ResultCode {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u16(self.number())
    }
}

impl<'de> Deserialize<'de> for ResultCode {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let number = u16::deserialize(deserializer)?;
        Self::from_number(number)
            .ok_or_else(|| serde::de::Error::custom(format_args!("unknown result code {number}")))
    }
}
