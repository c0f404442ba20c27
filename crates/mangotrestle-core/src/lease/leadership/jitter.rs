//! Seeded jitter for timers, so that many workers and leaders do not act at the same time.

use crate::time;

/// A pseudo-random generator (splitmix64). Its state is a single number, so that states of a
/// leadership can be compared and hashed.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(super) struct Jitter {
    state: u64,
}

impl Jitter {
    pub(super) const fn new(seed: u64) -> Self {
        Self { state: seed }
    }

    /// Returns a random span below the bound; zero for a bound of zero.
    pub(super) fn below(&mut self, bound: time::SpanMs) -> time::SpanMs {
        if bound.0 == 0 {
            return bound;
        }
        time::SpanMs(self.next() % bound.0)
    }

    fn next(&mut self) -> u64 {
        self.state = self.state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.state;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }
}
