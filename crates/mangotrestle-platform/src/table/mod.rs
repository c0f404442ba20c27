//! Conditional transactions on the platform's table service.
//!
//! A transaction is accepted whole or not at all. Every row has a version; a put gives all rows of
//! its transaction the same new version, greater than every version before, so a version is never
//! used twice even after a row was deleted.
//!
//! # Lost answers
//!
//! Each transaction also puts the row `write/<write id>` on the condition that it is absent. A
//! transaction can therefore be sent again without a second effect, and whoever lost the answer
//! finds it in that row. When a transaction must not be left open, the same row is claimed by a
//! tombstone, after which the transaction can no longer take effect.

mod client;
pub mod wire;

use bytes::Bytes;
use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use client::{TableClient, TableClientBuilder};

/// Version of a row, given by the table service.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// One row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version that the last put gave it.
    pub version: Version,
    /// Content.
    #[serde(with = "wire::base64_bytes")]
    pub value: Bytes,
}

impl Row {
    /// Reads the content as JSON of a type from [`schema`](crate::schema).
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] names the row and the fault.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, TableError> {
        serde_json::from_slice(&self.value).map_err(|error| TableError::Malformed {
            what: self.key.clone(),
            fault: error.to_string(),
        })
    }
}

/// What a row must be like for a transaction to be accepted.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Condition {
    /// Key of the row.
    pub key: String,
    /// Expected version; unset when the row must not exist.
    pub version: Option<Version>,
}

/// A row to write.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Put {
    /// Key of the row.
    pub key: String,
    /// New content.
    #[serde(with = "wire::base64_bytes")]
    pub value: Bytes,
}

/// Identifier of a transaction, unique for ever.
///
/// Starts with the wall time in hexadecimal, so that old `write/` rows stand first in a scan.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(String);

impl WriteId {
    /// A new identifier.
    #[must_use]
    pub fn random() -> Self {
        let wall = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis());
        Self(format!("{wall:012x}-{:032x}", rand::random::<u128>()))
    }

    /// The identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Key of the row that records the transaction.
    #[must_use]
    pub fn key(&self) -> String {
        format!("write/{}", self.0)
    }
}

/// Writes that are accepted together or not at all.
///
/// # Examples
///
/// ```
/// use mangotrestle_platform::table;
///
/// let transaction = table::Transaction::new()
///     .absent("config/2")
///     .at_version("config/head", table::Version(17))
///     .put("config/2", "{}")
///     .put("config/head", "2");
/// assert_eq!(transaction.conditions.len(), 2);
/// ```
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Transaction {
    /// Identifier, by which a lost answer is settled.
    pub write_id: WriteId,
    /// All must hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Rows to delete; a row that is not there counts as deleted.
    pub deletes: Vec<String>,
}

impl Default for Transaction {
    fn default() -> Self {
        Self::new()
    }
}

impl Transaction {
    /// An empty transaction with a new write id.
    #[must_use]
    pub fn new() -> Self {
        Self {
            write_id: WriteId::random(),
            conditions: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        }
    }

    /// Requires that a row does not exist.
    #[must_use]
    pub fn absent(mut self, key: impl Into<String>) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version: None,
        });
        self
    }

    /// Requires that a row has this version.
    #[must_use]
    pub fn at_version(mut self, key: impl Into<String>, version: Version) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version: Some(version),
        });
        self
    }

    /// Requires this version, or absence if there is none.
    #[must_use]
    pub fn expect(self, key: impl Into<String>, version: Option<Version>) -> Self {
        match version {
            Some(version) => self.at_version(key, version),
            None => self.absent(key),
        }
    }

    /// Writes a row.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Writes a row as JSON.
    ///
    /// # Panics
    ///
    /// If the type cannot be written as JSON, which no type of [`schema`](crate::schema) does.
    #[must_use]
    pub fn put_json<T: Serialize>(self, key: impl Into<String>, value: &T) -> Self {
        let bytes = serde_json::to_vec(value).expect("row types are plain JSON");
        self.put(key, bytes)
    }

    /// Deletes a row.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// An accepted transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Committed {
    /// New version of every row that the transaction put.
    pub version: Version,
}

/// Why a request to the table did not succeed.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TableError {
    /// conditions on {failed:?} do not hold
    Conflict {
        /// Keys of the conditions that do not hold.
        failed: Vec<String>,
        /// The rows that the failed conditions name, as far as they exist.
        current: Vec<Row>,
    },
    /// the table service is unavailable, nothing was written; retry after {retry_after_ms} ms
    Unavailable {
        /// When to try again.
        retry_after_ms: u64,
    },
    /// no answer came before the deadline and write {0} may have taken effect, settle it later
    Unsettled(WriteId),
    /// the table service refused the request: {0}
    Refused(String),
    /// malformed content in {what}: {fault}
    Malformed {
        /// Row or answer.
        what: String,
        /// What is wrong, and where.
        fault: String,
    },
}

impl std::error::Error for TableError {}

impl std::fmt::Display for WriteId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// How a transaction with a lost answer ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// It took effect.
    Committed(Committed),
    /// It did not and never will.
    Abandoned,
}

/// Part of a scan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Rows by rising key.
    pub rows: Vec<Row>,
    /// Whether there are rows after the last one.
    pub more: bool,
}
