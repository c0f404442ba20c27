//! Numbered result codes of all answers of the system.
//!
//! The numbers are part of the public interface: a number never changes its meaning and is never
//! reused. `docs/RESULT-CODES.md` lists every code and how to respond to it; a test checks that the
//! page and this table agree.

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
            /// All codes, in ascending order of their numbers.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the short name, as shown in logs and tables.
            #[must_use]
            pub const fn slug(self) -> &'static str {
                match self {
                    $(Self::$name => $slug,)*
                }
            }

            /// Returns the code with this number, if there is one.
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
    /// The input is invalid; the message names the field.
    InvalidInput = 1000, "invalid-input";
    /// A setting of the process is invalid.
    InvalidSettings = 1001, "invalid-settings";
    /// The sender is unknown or not allowed to do this.
    Unauthorized = 1002, "unauthorized";
    /// The input is larger than its limit.
    TooLarge = 1003, "too-large";
    /// Nothing with this name exists.
    NotFound = 1100, "not-found";
    /// Something else with this name already exists.
    AlreadyExists = 1101, "already-exists";
    /// The state changed since the revision that the command was based on.
    RevisionConflict = 1102, "revision-conflict";
    /// The quota of the team is exceeded.
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
    /// Not run: this entry host is stopping or not yet ready.
    NotReady = 2004, "not-ready";
    /// Not run: the team's rate or concurrency limit is reached.
    TeamLimited = 2005, "team-limited";
    /// Not run: every target refused the request.
    TargetRefused = 2006, "target-refused";
    /// Unknown: the target may have run the request, and no complete answer was received.
    OutcomeUnknown = 3000, "outcome-unknown";
    /// Unknown: an earlier request with this key was started and is not known to have ended.
    EarlierOutcomeUnknown = 3001, "earlier-outcome-unknown";
    /// The answer was truncated while it was being forwarded.
    AnswerTruncated = 3002, "answer-truncated";
    /// The pool has no leader at the moment.
    NoLeader = 4000, "no-leader";
    /// The entry host that received the request does not lead the pool.
    NotLeader = 4001, "not-leader";
    /// The lease was claimed by another leader with a higher epoch.
    StaleEpoch = 4002, "stale-epoch";
    /// The lease or the start-before time has passed.
    Expired = 4003, "expired";
    /// The message carries an older roster version than the worker knows.
    StaleRoster = 4004, "stale-roster";
    /// The worker does not have enough free capacity for the task.
    NoCapacity = 4005, "no-capacity";
    /// The worker is leaving and takes no new work.
    Leaving = 4006, "leaving";
    /// An internal fault; the log has details.
    Internal = 9000, "internal";
}

impl ResultCode {
    /// Returns the number of the code.
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
