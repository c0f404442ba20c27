//! Hash collections with a fast, non-cryptographic hasher.
//!
//! Keys in this project are short identifiers that operators choose and that are validated on
//! entry, so resistance to crafted collisions matters less than the cost of a look-up.

/// A hash map with the project's fast hasher.
pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;

/// A hash set with the project's fast hasher.
pub type FastSet<K> = rustc_hash::FxHashSet<K>;
