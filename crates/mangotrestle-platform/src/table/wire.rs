//! Messages of the table service, as JSON over HTTP.

use serde::{Deserialize, Serialize};

use super::{Row, Version};

/// Path of transactions; the body is a [`Transaction`](super::Transaction).
pub const TRANSACT_PATH: &str = "/table/transact";
/// Path of single reads.
pub const GET_PATH: &str = "/table/get";
/// Path of scans.
pub const SCAN_PATH: &str = "/table/scan";
/// Greatest number of rows of one scan.
pub const MAX_SCAN_ROWS: u32 = 1_000;
/// Greatest length of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 8 * 1024 * 1024;

/// Answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "outcome")]
pub enum TransactAnswer {
    /// Accepted.
    Committed {
        /// Version of all rows put.
        version: Version,
    },
    /// Refused, nothing was written.
    Conflict {
        /// Keys of the conditions that do not hold.
        failed: Vec<String>,
        /// Current rows of the failed conditions, as far as they exist.
        current: Vec<Row>,
    },
}

/// Asks for one row.
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

/// Asks for rows by prefix.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ScanRequest {
    /// Common start of the keys.
    pub prefix: String,
    /// Only keys greater than this.
    pub after: Option<String>,
    /// Greatest number of rows, at most [`MAX_SCAN_ROWS`].
    pub limit: u32,
}

/// Answer to a [`ScanRequest`].
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ScanAnswer {
    /// Rows by rising key.
    pub rows: Vec<Row>,
    /// Whether more rows follow.
    pub more: bool,
}

/// Bytes as base64 text.
pub mod base64_bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD;
    use bytes::Bytes;
    use serde::{Deserialize, Deserializer, Serializer};

    /// Writes bytes as base64.
    ///
    /// # Errors
    ///
    /// Those of the serializer.
    pub fn serialize<S: Serializer>(bytes: &Bytes, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    /// Reads bytes from base64.
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
