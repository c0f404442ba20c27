//! The version that a host has in force.

use std::sync::Arc;

use super::document::Document;
use crate::time;

/// What became of a document that was offered to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// It is in force now.
    Applied,
    /// The host holds this version or a higher one already.
    NotNewer,
}

/// The configuration that a host has in force. It moves upwards only.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfiguration {
    version: u64,
    document: Arc<Document>,
    in_force_wall_ms: time::WallTimeMs,
    highest_known: u64,
}

impl AppliedConfiguration {
    /// Offers a version that was accepted; it is taken only if it is higher than the present one.
    pub fn offer(
        &mut self,
        version: u64,
        document: Arc<Document>,
        wall_ms: time::WallTimeMs,
    ) -> Offer {
        self.note_known_version(version);
        if version <= self.version {
            return Offer::NotNewer;
        }
        self.version = version;
        self.document = document;
        self.in_force_wall_ms = wall_ms;
        Offer::Applied
    }

    /// Notes that a version exists. Returns whether it should be fetched.
    pub fn note_known_version(&mut self, version: u64) -> bool {
        self.highest_known = self.highest_known.max(version);
        version > self.version
    }

    /// The version in force; 0 before the first.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// The document in force; the default document before the first.
    #[must_use]
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Since when the version is in force here.
    #[must_use]
    pub const fn in_force_wall_ms(&self) -> time::WallTimeMs {
        self.in_force_wall_ms
    }

    /// Highest version known to exist.
    #[must_use]
    pub const fn highest_known(&self) -> u64 {
        self.highest_known
    }

    /// Whether a host may serve with this configuration: it holds a version at least as high as
    /// any that it has heard of, and it has heard from the table or from a peer at all.
    ///
    /// A host that was ready stays ready when newer versions appear, so this is a question for a
    /// host that starts.
    #[must_use]
    pub const fn may_become_ready(&self, heard_from_any: bool) -> bool {
        heard_from_any && self.version >= self.highest_known
    }
}
