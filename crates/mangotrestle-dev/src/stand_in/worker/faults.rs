//! Faults that can be injected into a worker.

use std::time::Duration;

/// Faults of a worker, all off by default. They can change at any time.
// Each fault is independent: any combination is possible.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Delay of every answer of the lease protocol.
    pub answer_delay: Duration,
    /// The worker is cut off from the network: connections break and new ones are refused. Its
    /// tasks continue.
    pub disconnected: bool,
    /// The whole host is paused, including its tasks. Its clock continues.
    pub paused: bool,
    /// Messages of the lease protocol take effect, but their answers are lost.
    pub lose_answers: bool,
    /// Every run fails as soon as it starts.
    pub fail_starts: bool,
    /// The host is about to leave and accepts no new work.
    pub leaving: bool,
    /// Additional time that service tasks take for a request.
    pub service_delay: Duration,
}
