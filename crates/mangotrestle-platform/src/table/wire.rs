//! Messages of the table service, encoded as JSON over HTTP.

use serde::{Deserialize, Serialize};

use super::{Row, Version};

/// Path for transactions; the request body is a [`Transaction`](super::Transaction).
pub const TRANSACT_PATH: &str = "/table/transact";
/// Path for reads of one row; the request body is a [`GetRequest`].
pub const GET_PATH: &str = "/table/get";
/// Path for scans; the request body is a [`ScanRequest`].
pub const SCAN_PATH: &str = "/table/scan";
/// Maximum number of rows that one scan returns.
pub const MAX_SCAN_ROWS: u32 = 1_000;
/// Maximum length of a request body, in bytes.
pub const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum TransactAnswer {
    /// The transaction took effect.
    Committed {
        /// New version of all rows that the transaction put.
        version: Version,
    },
    /// A condition did not hold; nothing was written.
    Conflict {
        /// Keys of the conditions that do not hold.
        failed: Vec<String>,
        /// Current rows of the failed conditions, except for those that don't exist.
        current: Vec<Row>,
    },
}

/// Request to read one row.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GetRequest {
    /// Key of the row.
    pub key: String,
}

/// Answer to a [`GetRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct GetAnswer {
    /// The row, if it exists.
    pub row: Option<Row>,
}

/// Request to read rows with a common key prefix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Common prefix of the keys.
    pub prefix: String,
    /// Returns only rows with keys greater than this, if set.
    pub after: Option<String>,
    /// Maximum number of rows to return, at most [`MAX_SCAN_ROWS`].
    pub limit: u32,
}

/// Answer to a [`ScanRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ScanAnswer {
    /// Rows in ascending order of keys.
    pub rows: Vec<Row>,
    /// Whether more rows match after the last one.
    pub more: bool,
}

/// Serde functions for bytes as base64 text.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Serializes bytes as base64 text.
    ///
    /// # Errors
    ///
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Deserializes bytes from base64 text.
    ///
    /// # Errors
    ///
    /// If the text is not base64.
    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        STANDARD
            .decode(text.as_bytes())
            .map(Bytes::from)
            .map_err(serde::de::Error::custom)
    }
}
