//! The less loaded of two random replicas.
//!
//! Looking at two random replicas and taking the less loaded one keeps the greatest load close to
//! the mean at a cost of O(1), and unlike "the least loaded of all" it does not send every entry
//! host's requests to the same replica at the same time.
//!
//! ```
//! use mangotrestle_core::routing::choice;
//! use rand::SeedableRng;
//!
//! let loads = [9, 1, 9, 9];
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
//! let load = |position: usize| Some(loads[position]);
//! let picks = (0..100).filter(|_| choice::of_two(4, load, &mut rng) == Some(1)).count();
//! assert!(picks > 25, "twice as often as by chance");
//! ```

use rand::{Rng, RngExt};

/// Picks a position below `count`. `load` gives a candidate's load, or `None` if it cannot be
/// taken; lower is better.
///
/// If neither of the two sampled candidates can be taken, the rest is searched from a random
/// position, at a cost of O(`count`), and the first that can be taken is the answer.
pub fn of_two<L: PartialOrd>(
    count: usize,
    load: impl Fn(usize) -> Option<L>,
    rng: &mut impl Rng,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let (first, second) = two_positions(count, rng);
    match (load(first), load(second)) {
        (Some(a), Some(b)) if b < a => Some(second),
        (Some(_), _) => Some(first),
        (None, Some(_)) => Some(second),
        (None, None) => search_from(first, count, load),
    }
}

fn two_positions(count: usize, rng: &mut impl Rng) -> (usize, usize) {
    let first = rng.random_range(0..count);
    if count == 1 {
        return (first, first);
    }
    let step = rng.random_range(1..count);
    (first, (first + step) % count)
}

fn search_from<L>(start: usize, count: usize, load: impl Fn(usize) -> Option<L>) -> Option<usize> {
    (0..count)
        .map(|step| (start + step) % count)
        .find(|&position| load(position).is_some())
}

/// How much of its full load a replica should be given that became ready a short time ago, in
/// percent: it rises linearly over `window_ms` from a tenth to the whole.
///
/// ```
/// use mangotrestle_core::routing::choice;
/// assert_eq!(choice::slow_start_percent(0, 1_000), 10);
/// assert_eq!(choice::slow_start_percent(500, 1_000), 55);
/// assert_eq!(choice::slow_start_percent(2_000, 1_000), 100);
/// ```
#[must_use]
pub const fn slow_start_percent(age_ms: u64, window_ms: u64) -> u64 {
    if age_ms >= window_ms {
        return 100;
    }
    10 + 90 * age_ms / window_ms
}
