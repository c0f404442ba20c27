//! What a worker can be made to do wrong.

use std::time::Duration;

/// Faults of a worker, all off by default. They can change at any moment.
// Each fault is a switch of its own; any of them can be on together.
#[allow(clippy::struct_excessive_bools)]
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Faults {
    /// Time by which every answer of the lease protocol is late.
    pub answer_delay: Duration,
    /// Cut off from the network: connections break, new ones are refused. Tasks go on.
    pub down: bool,
    /// The whole host stands still, its tasks included; its clock goes on.
    pub paused: bool,
    /// Messages take effect, and their answers get lost.
    pub lose_answers: bool,
    /// Every run that is started fails at once.
    pub fail_starts: bool,
    /// The host is about to leave and takes no new work.
    pub leaving: bool,
    /// Added to the time that service tasks take for a request.
    pub service_delay: Duration,
}
