//! Notices that this process stood still.
//!
//! A host can stop for seconds or minutes between two instructions. When it goes on, everything it
//! knew may be out of date. The control loop reports each turn; a gap between two turns that is
//! longer than the margin means that leases may have lapsed and peers may have taken over, and the
//! caller then checks before it sends anything.

use crate::time;

/// A gap between two observations that was longer than the margin.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Pause {
    /// Length of the gap.
    pub gap_ms: time::SpanMs,
}

/// Watches the distance between the turns of a loop.
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
    last_ms: Option<time::TimeMs>,
}

impl PauseDetector {
    /// A detector that tolerates gaps up to the margin.
    #[must_use]
    pub const fn new(margin_ms: time::SpanMs) -> Self {
        Self {
            margin_ms,
            last_ms: None,
        }
    }

    /// Reports that the loop runs now.
    pub fn observe(&mut self, now: time::TimeMs) -> Option<Pause> {
        let last = self.last_ms.replace(now)?;
        let gap_ms = now.since(last);
        (gap_ms > self.margin_ms).then_some(Pause { gap_ms })
    }

    /// Whether something decided at a time may still be sent now. Call it right before the send:
    /// the process may have stood still since the decision.
    #[must_use]
    pub fn is_fresh(&self, decided: time::TimeMs, now: time::TimeMs) -> bool {
        now.since(decided) <= self.margin_ms
    }
}
