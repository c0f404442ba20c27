//! Finds the team of a call.
//!
//! Keys are known by their digests only, so that no key can get into a log line, a metric or a
//! message, and the time of a look-up says nothing about a key.

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

use super::TeamEntry;
use crate::workflow::catalog::{Catalog, Queue};

/// SHA-256 digest of a key.
#[derive(Clone, Copy, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl std::fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// Who sends a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Caller<'a> {
    /// Anybody: the deployment has no teams, or the queue is public and there was no key of a team.
    Anonymous,
    /// A team.
    Team(&'a TeamEntry),
    /// Nobody that the configuration knows, for a queue that is not public.
    Unknown,
}

impl<'a> Caller<'a> {
    /// Finds out who sends a call to a queue with this key.
    #[must_use]
    pub fn identify(catalog: &'a Catalog, queue: &Queue, key: Option<&[u8]>) -> Self {
        let Some(directory) = &catalog.teams else {
            return Self::Anonymous;
        };
        let team = key.and_then(|key| directory.team_of(&KeyDigest::of(key)));
        match team {
            Some(team) => Self::Team(team),
            None if queue.public => Self::Anonymous,
            None => Self::Unknown,
        }
    }

    /// Returns the team whose jobs alone the caller may see in a queue; `None` if it may see all.
    #[must_use]
    pub fn viewer(&self, queue: &Queue) -> Option<&'a str> {
        match self {
            Self::Team(team) if !queue.public => Some(&team.name),
            _ => None,
        }
    }

    /// Returns the team's name, if the caller is one.
    #[must_use]
    pub fn team(&self) -> Option<&'a str> {
        match self {
            Self::Team(team) => Some(&team.name),
            _ => None,
        }
    }
}

/// Whether a team may see a job; `viewer` is the team that asks, unset if it may see all jobs, and
/// `owner` the job's team, unset if it has none.
#[must_use]
pub fn may_see(viewer: Option<&str>, owner: Option<&str>) -> bool {
    match (viewer, owner) {
        (Some(viewer), Some(owner)) => viewer == owner,
        _ => true,
    }
}
