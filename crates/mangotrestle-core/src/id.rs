//! Identifiers of workers, jobs, teams and other entities.
//!
//! Each kind has its own type, so that a worker cannot be passed where an entry host is expected.
//! All text identifiers have the same syntax; see [`InvalidId`].

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use displaydoc::Display;
use serde::{Deserialize, Deserializer, Serialize};

/// Maximum length of a text identifier, in bytes.
pub const MAX_ID_BYTES: usize = 63;

/// Why a text is not a valid identifier.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidId {
    /// the identifier is empty
    Empty,
    /// the identifier has {length_bytes} bytes, at most 63 are allowed
    TooLong {
        /// Length of the rejected text, in bytes.
        length_bytes: usize,
    },
    /// character {character:?} at byte {offset_bytes} is not allowed (use a-z, 0-9, '-', '_', '.')
    Character {
        /// The character that is not allowed.
        character: char,
        /// Its position, in bytes from the start.
        offset_bytes: usize,
    },
}

impl std::error::Error for InvalidId {}

fn validate(text: &str) -> Result<(), InvalidId> {
    if text.is_empty() {
        return Err(InvalidId::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(InvalidId::TooLong {
            length_bytes: text.len(),
        });
    }
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || "-_.".contains(c);
    match text.char_indices().find(|&(_, c)| !allowed(c)) {
        Some((offset_bytes, character)) => Err(InvalidId::Character {
            character,
            offset_bytes,
        }),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates an identifier from a text.
            ///
            /// # Errors
            ///
            /// Returns [`InvalidId`] if the text is empty, too long or contains a character that is
            /// not allowed.
            pub fn new(text: &str) -> Result<Self, InvalidId> {
                validate(text)?;
                Ok(Self(Arc::from(text)))
            }

            /// Returns the identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl std::str::FromStr for $name {
            type Err = InvalidId;

            fn from_str(text: &str) -> Result<Self, InvalidId> {
                Self::new(text)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                Self::new(&text).map_err(serde::de::Error::custom)
            }
        }
    };
}

text_id!(
    /// An availability zone.
    AvailabilityZoneId
);
text_id!(
    /// A pool: the workers of one availability zone, or a fixed share of them, under one leader.
    PoolId
);
text_id!(
    /// A worker: a host that runs tasks.
    WorkerId
);
text_id!(
    /// A rack of workers.
    RackId
);
text_id!(
    /// An entry host: a host on which a process of the scheduler runs.
    EntryHostId
);
text_id!(
    /// A team with a quota.
    TeamId
);
text_id!(
    /// A job, unique in the whole system.
    JobId
);
text_id!(
    /// A command of an operator. A command that is sent again with the same identifier is not
    /// executed again and gets its first answer.
    CommandId
);

/// Incarnation of a process. A process that restarts gets a new one.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}
