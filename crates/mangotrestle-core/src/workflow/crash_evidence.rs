//! Evidence that a task crashes the workers that start it.
//!
//! A crash ends all runs on a worker, and says by itself nothing about which of them caused it.
//! What tells them apart is the time of their starts: a task that crashes its worker does so at
//! once, so a run that its worker is known to have survived for [`STARTUP_SPAN`] is not to blame if
//! another one had just started. The evidence is counted in points, per task and over all of its
//! runs, and is stored with the job:
//!
//! - [`Suspicion::Strong`]: the worker confirmed the start and is not known to have survived it;
//! - [`Suspicion::Possible`]: nobody knows whether the run started, or whether the worker crashed
//!   at all;
//! - [`Suspicion::Unexplained`]: the run had worked for long, but no other run explains the crash.
//!
//! A task that is suspected gets a *trial*: its next run starts on a worker where no other run has
//! just started, so that a second crash says which task caused it. A task is given up when the
//! evidence is as strong as that of two workers that crashed right after they had started it.

use serde::{Deserialize, Serialize};

use crate::time::{SpanMs, TimeMs};

/// Time after its start in which a task that crashes its worker is assumed to do so: the crash
/// itself takes some 10 ms, the rest allows for answers that a busy leader handles late.
pub const STARTUP_SPAN: SpanMs = SpanMs(250);
/// Points from which a task starts on trial only.
const TRIAL_POINTS: u32 = 2;
/// Points from which a task is given up.
const GIVE_UP_POINTS: u32 = 4;

/// How strongly the end of a worker speaks against a run that was there.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Suspicion {
    /// The worker crashed right after it had confirmed the start.
    Strong,
    /// The run may have started, and the worker may have crashed.
    Possible,
    /// The worker crashed, and none of its runs had just started.
    Unexplained,
}

impl Suspicion {
    const fn points(self) -> u32 {
        match self {
            Self::Strong => 2,
            Self::Possible | Self::Unexplained => 1,
        }
    }
}

/// Evidence against one task.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct CrashEvidence {
    points: u32,
}

impl CrashEvidence {
    /// Adds the evidence of one crash.
    pub fn add(&mut self, suspicion: Suspicion) {
        self.points += suspicion.points();
    }

    /// Whether there is none.
    #[must_use]
    pub const fn is_empty(self) -> bool {
        self.points == 0
    }

    /// Whether the task may start on trial only.
    #[must_use]
    pub const fn needs_trial(self) -> bool {
        self.points >= TRIAL_POINTS
    }

    /// Whether the task is given up.
    #[must_use]
    pub const fn is_conclusive(self) -> bool {
        self.points >= GIVE_UP_POINTS
    }
}

/// What is known of the end of a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerEnd {
    /// It crashed.
    Crashed,
    /// It left after it had drained.
    Left,
    /// Its leases expired while it could not be reached, or its entry was never seen.
    Unknown,
}

/// What is known of a run when its worker ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Exposure {
    /// No start order was sent.
    NotOrdered,
    /// A start order was sent, and the worker has not confirmed the start.
    Unconfirmed,
    /// The worker confirmed the start and gave no answer later than [`STARTUP_SPAN`] after it.
    JustStarted,
    /// The worker answered later than [`STARTUP_SPAN`] after the start.
    Survived,
}

impl Exposure {
    /// Returns the exposure of a run whose start was confirmed at `started_at`, on a worker whose
    /// last answer arrived at `answered_at`.
    #[must_use]
    pub fn new(may_have_started: bool, started_at: Option<TimeMs>, answered_at: TimeMs) -> Self {
        match started_at {
            Some(at) if answered_at >= at + STARTUP_SPAN => Self::Survived,
            Some(_) => Self::JustStarted,
            None if may_have_started => Self::Unconfirmed,
            None => Self::NotOrdered,
        }
    }

    /// Whether the run may have just started.
    #[must_use]
    pub const fn is_recent(self) -> bool {
        matches!(self, Self::Unconfirmed | Self::JustStarted)
    }

    /// Returns the suspicion that falls on the run. `is_explained` is whether any run of the worker
    /// may have just started.
    #[must_use]
    pub const fn suspicion(self, end: WorkerEnd, is_explained: bool) -> Option<Suspicion> {
        match (end, self) {
            (WorkerEnd::Crashed, Self::JustStarted) => Some(Suspicion::Strong),
            (WorkerEnd::Crashed, Self::Survived) if !is_explained => Some(Suspicion::Unexplained),
            (WorkerEnd::Left, _) | (_, Self::NotOrdered | Self::Survived) => None,
            (_, Self::Unconfirmed | Self::JustStarted) => Some(Suspicion::Possible),
        }
    }
}
