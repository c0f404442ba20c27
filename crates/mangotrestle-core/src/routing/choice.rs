//! Load balancing by the power of two choices.
//!
//! Sampling two random replicas and choosing the less loaded one keeps the greatest load close to
//! the mean at a cost of O(1). Unlike choosing the least loaded of all replicas, it does not send
//! every entry host's requests to the same replica at the same time.
//!
//! ```
//! use mangotrestle_core::routing::choice;
//! use rand::SeedableRng;
//!
//! let loads = [9, 1, 9, 9];
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(7);
//! let load = |position: usize| Some(loads[position]);
//! let picks = (0..100).filter(|_| choice::pick_of_two(4, load, &mut rng) == Some(1)).count();
//! assert!(picks > 25, "a random choice picks it about 25 times");
//! ```

use rand::{Rng, RngExt};

/// Returns the less loaded of two random positions below `count`. `load` returns a candidate's
/// load, or `None` if the candidate is not available.
///
/// If neither of the two sampled candidates is available, returns the first available one found
/// from a random position on, at a cost of O(`count`).
pub fn pick_of_two<L: PartialOrd>(
    count: usize,
    load: impl Fn(usize) -> Option<L>,
    rng: &mut impl Rng,
) -> Option<usize> {
    if count == 0 {
        return None;
    }
    let (first, second) = sample_two_positions(count, rng);
    match (load(first), load(second)) {
        (Some(a), Some(b)) if b < a => Some(second),
        (Some(_), _) => Some(first),
        (None, Some(_)) => Some(second),
        (None, None) => first_available_from(first, count, load),
    }
}

fn sample_two_positions(count: usize, rng: &mut impl Rng) -> (usize, usize) {
    let first = rng.random_range(0..count);
    if count == 1 {
        return (first, first);
    }
    let step = rng.random_range(1..count);
    (first, (first + step) % count)
}

fn first_available_from<L>(
    start: usize,
    count: usize,
    load: impl Fn(usize) -> Option<L>,
) -> Option<usize> {
    (0..count)
        .map(|step| (start + step) % count)
        .find(|&position| load(position).is_some())
}

/// Returns the percentage of its full load that a replica should get `age_ms` after it became
/// ready. It rises linearly over `window_ms` from 10 to 100.
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
