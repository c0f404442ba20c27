//! The configuration version in force on a host.

use std::sync::Arc;

use super::document::Document;
use crate::time;

/// Result of offering a document to a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Offer {
    /// The document is now in force.
    Applied,
    /// The host already has this version or a higher one in force.
    NotNewer,
}

/// The configuration in force on a host. Its version only increases.
#[derive(Clone, Debug, Default)]
pub struct AppliedConfiguration {
    version: u64,
    document: Arc<Document>,
    in_force_wall_ms: time::WallTimeMs,
    highest_known: u64,
}

impl AppliedConfiguration {
    /// Applies an accepted version if it is higher than the version in force.
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

    /// Records that a version exists. Returns whether it should be fetched.
    pub fn note_known_version(&mut self, version: u64) -> bool {
        self.highest_known = self.highest_known.max(version);
        version > self.version
    }

    /// Returns the version in force; 0 if none has been applied yet.
    #[must_use]
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns the document in force; the default document if none has been applied yet.
    #[must_use]
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns when the version came into force on this host.
    #[must_use]
    pub const fn in_force_wall_ms(&self) -> time::WallTimeMs {
        self.in_force_wall_ms
    }

    /// Returns the highest version that is known to exist.
    #[must_use]
    pub const fn highest_known(&self) -> u64 {
        self.highest_known
    }

    /// Whether a starting host may become ready with this configuration: it has contacted the table
    /// or a peer, and its version is at least as high as any that it knows to exist.
    ///
    /// This applies only at start: a host that is ready stays ready when newer versions appear.
    #[must_use]
    pub const fn may_become_ready(&self, has_contacted_source: bool) -> bool {
        has_contacted_source && self.version >= self.highest_known
    }
}
