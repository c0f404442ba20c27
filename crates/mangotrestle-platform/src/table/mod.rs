//! Conditional transactions on the platform's table service.
//!
//! A transaction takes effect as a whole or not at all. Every row has a version. All rows put by a
//! transaction get the same new version, greater than every earlier one, so a version is never
//! reused, even after a row was deleted.
//!
//! # Lost answers
//!
//! Each transaction also puts the row `write/<write id>` on the condition that it is absent. A
//! transaction can therefore be sent again without a second effect, and a client that lost the
//! answer finds the outcome in that row. To settle a transaction whose outcome is unknown, a client
//! writes a tombstone to the same row, after which the transaction can no longer take effect.

mod client;
pub mod wire;

use bytes::Bytes;
use displaydoc::Display;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

pub use client::{TableClient, TableClientBuilder};

/// Version of a row, assigned by the table service.
#[derive(
    Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

/// A row of the table.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Row {
    /// Key of the row.
    pub key: String,
    /// Version assigned by the last put.
    pub version: Version,
    /// Content of the row.
    #[serde(with = "wire::base64_bytes")]
    pub value: Bytes,
}

impl Row {
    /// Decodes the content from JSON as a type of [`schema`](crate::schema).
    ///
    /// # Errors
    ///
    /// [`TableError::Malformed`] with the key of the row and the fault.
    pub fn decode<T: DeserializeOwned>(&self) -> Result<T, TableError> {
        serde_json::from_slice(&self.value).map_err(|error| TableError::Malformed {
            what: self.key.clone(),
            fault: error.to_string(),
        })
    }
}

/// Condition on a row that must hold for a transaction to take effect.
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

/// Globally unique identifier of a transaction.
///
/// It starts with the wall time in hexadecimal, so that a scan returns the oldest `write/` rows
/// first.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct WriteId(String);

impl WriteId {
    /// Generates a new identifier.
    #[must_use]
    pub fn random() -> Self {
        let wall = std::time::SystemTime::now()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_millis());
        Self(format!("{wall:012x}-{:032x}", rand::random::<u128>()))
    }

    /// Returns the identifier as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the key of the row that records the transaction.
    #[must_use]
    pub fn key(&self) -> String {
        format!("write/{}", self.0)
    }
}

/// Conditional writes that take effect together or not at all.
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
    /// Identifier, used to settle the transaction when its answer is lost.
    pub write_id: WriteId,
    /// Conditions that must all hold.
    pub conditions: Vec<Condition>,
    /// Rows to write.
    pub puts: Vec<Put>,
    /// Keys of the rows to delete; deleting a row that does not exist succeeds.
    pub deletes: Vec<String>,
}

impl Default for Transaction {
    fn default() -> Self {
        Self::new()
    }
}

impl Transaction {
    /// Creates an empty transaction with a new write identifier.
    #[must_use]
    pub fn new() -> Self {
        Self {
            write_id: WriteId::random(),
            conditions: Vec::new(),
            puts: Vec::new(),
            deletes: Vec::new(),
        }
    }

    /// Adds the condition that a row does not exist.
    #[must_use]
    pub fn absent(mut self, key: impl Into<String>) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version: None,
        });
        self
    }

    /// Adds the condition that a row has a version.
    #[must_use]
    pub fn at_version(mut self, key: impl Into<String>, version: Version) -> Self {
        self.conditions.push(Condition {
            key: key.into(),
            version: Some(version),
        });
        self
    }

    /// Adds the condition that a row has the version, or does not exist if `version` is unset.
    #[must_use]
    pub fn expect(self, key: impl Into<String>, version: Option<Version>) -> Self {
        match version {
            Some(version) => self.at_version(key, version),
            None => self.absent(key),
        }
    }

    /// Adds a row to write.
    #[must_use]
    pub fn put(mut self, key: impl Into<String>, value: impl Into<Bytes>) -> Self {
        self.puts.push(Put {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Adds a row to write, encoded as JSON.
    ///
    /// # Panics
    ///
    /// If the value cannot be encoded as JSON, which does not happen for the types of
    /// [`schema`](crate::schema).
    #[must_use]
    pub fn put_json<T: Serialize>(self, key: impl Into<String>, value: &T) -> Self {
        let bytes = serde_json::to_vec(value).expect("row types are plain JSON");
        self.put(key, bytes)
    }

    /// Adds a row to delete.
    #[must_use]
    pub fn delete(mut self, key: impl Into<String>) -> Self {
        self.deletes.push(key.into());
        self
    }
}

/// Result of a transaction that took effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Committed {
    /// New version of every row that the transaction put.
    pub version: Version,
}

/// Error of a request to the table.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TableError {
    /// conditions on {failed:?} do not hold
    Conflict {
        /// Keys of the conditions that do not hold.
        failed: Vec<String>,
        /// Current rows of the failed conditions, except for those that don't exist.
        current: Vec<Row>,
    },
    /// the table service is unavailable, nothing was written; retry after {retry_after_ms} ms
    Unavailable {
        /// Delay before a retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// no answer before the deadline; write {0} may have taken effect and has to be settled
    Unsettled(WriteId),
    /// the table service refused the request: {0}
    Refused(String),
    /// malformed content in {what}: {fault}
    Malformed {
        /// Key of the row, or path of the request whose answer is malformed.
        what: String,
        /// Description of the fault and its position.
        fault: String,
    },
}

impl std::error::Error for TableError {}

impl std::fmt::Display for WriteId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

/// Final outcome of a transaction whose answer was lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Settled {
    /// The transaction took effect.
    Committed(Committed),
    /// The transaction did not and will not take effect.
    Abandoned,
}

/// Result of a scan.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Page {
    /// Rows in ascending order of keys.
    pub rows: Vec<Row>,
    /// Whether more rows match after the last one.
    pub more: bool,
}
