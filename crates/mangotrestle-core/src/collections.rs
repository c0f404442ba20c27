//! Hash collections with a fast, non-cryptographic hasher.
//!
//! The keys are short identifiers that operators choose and that are validated on entry, so the
//! cost of a look-up matters more than resistance to crafted collisions.

/// A hash map with the project's fast hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the project's fast hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
