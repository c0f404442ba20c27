//! Detects that this process was paused.
//!
//! A process can be suspended for seconds or minutes between two instructions. When it resumes, all
//! its state may be out of date. The control loop reports each iteration; after a gap longer than
//! the margin, leases may have expired and peers may have taken over, so the caller has to check
//! before it sends anything.

use crate::time;

/// A gap between two iterations that exceeded the margin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// Length of the gap.
    pub gap_ms: time::SpanMs,
}

/// Measures the time between iterations of a loop.
///
/// # Examples
///
/// ```
/// use mangotrestle_core::membership::pause;
/// use mangotrestle_core::time::{SpanMs, TimeMs};
///
/// let mut detector = pause::PauseDetector::new(SpanMs(500));
/// assert_eq!(detector.observe(TimeMs(1_000)), None);
/// assert_eq!(detector.observe(TimeMs(1_200)), None);
/// let pause = detector.observe(TimeMs(61_200)).unwrap();
/// assert_eq!(pause.gap_ms, SpanMs(60_000));
/// ```
#[derive(Clone, Debug)]
pub struct PauseDetector {
    margin_ms: time::SpanMs,
    last_observed_at: Option<time::TimeMs>,
}

impl PauseDetector {
    /// Creates a detector that tolerates gaps up to the margin.
    #[must_use]
    pub const fn new(margin_ms: time::SpanMs) -> Self {
        Self {
            margin_ms,
            last_observed_at: None,
        }
    }

    /// Records an iteration of the loop. Returns the pause before it, if there was one.
    pub fn observe(&mut self, now: time::TimeMs) -> Option<Pause> {
        let previous = self.last_observed_at.replace(now)?;
        let gap_ms = now.since(previous);
        (gap_ms > self.margin_ms).then_some(Pause { gap_ms })
    }

    /// Whether a message that was decided on at a given time may still be sent now. Call it right
    /// before sending, because the process may have been paused since the decision.
    #[must_use]
    pub fn is_fresh(&self, decided_at: time::TimeMs, now: time::TimeMs) -> bool {
        now.since(decided_at) <= self.margin_ms
    }
}
