//! Teams that share one deployment: who calls, what each may have running, and what each is promised.
//!
//! All of it is on only where the configuration lists teams. The modules:
//!
//! - [`identity`] finds the team of a call by its key;
//! - [`shares`] divides a team's cap over the pools, by rows of the store;
//! - [`account`] counts what a team has running in one pool, against the pool's share of its cap;
//! - [`rate`] tells a team's promised work from what it sends beyond that.

pub mod account;
pub mod identity;
pub mod rate;
pub mod shares;

use serde::{Deserialize, Serialize};

use crate::collections::FastMap;
use crate::resources::Resources;

use identity::KeyDigest;

/// A team as the configuration lists it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Its name, which is its identity over all versions of the configuration.
    pub name: String,
    /// Jobs per second that it is promised; zero means no promise.
    pub rate_per_s: f64,
    /// What it may have running in all pools together; zero of a resource means no limit.
    pub cap: Resources,
}

/// The teams of one configuration, with their keys.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TeamDirectory {
    teams: Vec<TeamEntry>,
    /// Index of the team of each key.
    team_of_key: FastMap<KeyDigest, usize>,
}

impl TeamDirectory {
    /// Adds a team with the digests of its keys. A key that two teams have belongs to the first.
    pub fn add(&mut self, team: TeamEntry, keys: impl IntoIterator<Item = KeyDigest>) {
        let index = self.teams.len();
        self.teams.push(team);
        for key in keys {
            self.team_of_key.entry(key).or_insert(index);
        }
    }

    /// Returns the team of a key.
    #[must_use]
    pub fn team_of(&self, key: &KeyDigest) -> Option<&TeamEntry> {
        let index = *self.team_of_key.get(key)?;
        self.teams.get(index)
    }

    /// Returns the teams, in the order of the configuration.
    #[must_use]
    pub fn teams(&self) -> &[TeamEntry] {
        &self.teams
    }
}
