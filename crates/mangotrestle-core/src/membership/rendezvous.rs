//! Rendezvous hashing: every host computes the same ranking of hosts for a key.
//!
//! A host's score for a key depends only on the host and the key. When one of `n` hosts joins or
//! leaves, only the keys for which it ranks first move: about one in `n`.
//!
//! # Complexity
//!
//! One hash for each pair of key and host. For a few dozen hosts and a few hundred pools this takes
//! microseconds; much larger sets would need a hash ring.

use std::cmp::Reverse;

use crate::id;

/// Returns up to `limit` hosts for a key, in descending order of their scores.
#[must_use]
pub fn ranked<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a id::EntryHostId>,
    limit: usize,
) -> Vec<&'a id::EntryHostId> {
    let mut scored: Vec<_> = hosts
        .into_iter()
        .map(|host| (Reverse(score(key, host)), host))
        .collect();
    scored.sort_unstable();
    scored.truncate(limit);
    scored.into_iter().map(|(_, host)| host).collect()
}

/// Returns the host that ranks first for a key, `None` if there are no hosts.
#[must_use]
pub fn owner<'a>(
    key: &str,
    hosts: impl IntoIterator<Item = &'a id::EntryHostId>,
) -> Option<&'a id::EntryHostId> {
    hosts
        .into_iter()
        .max_by_key(|host| (score(key, host), Reverse(*host)))
}

/// Returns the score of a host for a key: FNV-1a over both, followed by a mixing step. It is stable
/// across versions and machines, because all entry hosts must compute the same score.
#[must_use]
pub fn score(key: &str, host: &id::EntryHostId) -> u64 {
    let separator = std::iter::once(0xff);
    hash_bytes(key.bytes().chain(separator).chain(host.as_str().bytes()))
}

/// Returns the hash of a text by the same function, stable in the same way.
#[must_use]
pub fn hash(text: &str) -> u64 {
    hash_bytes(text.bytes())
}

fn hash_bytes(bytes: impl Iterator<Item = u8>) -> u64 {
    mix(bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    }))
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

/// Spreads the entropy of the last bytes over all bits.
const fn mix(mut hash: u64) -> u64 {
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xff51_afd7_ed55_8ccd);
    hash ^= hash >> 33;
    hash = hash.wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
