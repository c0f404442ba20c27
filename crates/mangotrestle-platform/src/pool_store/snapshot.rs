//! Encoding of a snapshot: a header line in JSON that describes the content, then the content in
//! JSON.

use bytes::Bytes;
use displaydoc::Display;
use mangotrestle_core::journal;
use serde::{Deserialize, Serialize};

/// Version of the snapshot format that this release writes.
pub const FORMAT: u32 = 2;

/// Error when decoding a snapshot.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SnapshotError {
    /// the snapshot has no header line
    NoHeader,
    /// the header of the snapshot is malformed: {0}
    Header(String),
    /// the snapshot is torn: {found_bytes} bytes of content, expected {expected_bytes}
    Torn {
        /// Length of the content according to the header.
        expected_bytes: u64,
        /// Actual length of the content.
        found_bytes: u64,
    },
    /// the snapshot is corrupt: checksum {found:08x}, expected {expected:08x}
    Corrupt {
        /// Checksum of the content according to the header.
        expected: u32,
        /// Actual checksum of the content.
        found: u32,
    },
    /// format {0} of the snapshot is newer than this release reads
    Format(u32),
    /// the content of the snapshot is malformed: {0}
    Content(String),
}

impl std::error::Error for SnapshotError {}

#[derive(Debug, Serialize, Deserialize)]
struct Header {
    format: u32,
    length_bytes: u64,
    crc32: u32,
}

/// Content of format 1, which holds the state alone.
#[derive(Debug, Deserialize)]
struct ContentV1 {
    state: journal::PoolState,
}

/// Content of format 2.
#[derive(Debug, Serialize, Deserialize)]
struct Content<S> {
    through: u64,
    state: S,
}

/// A decoded snapshot.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Number of the last batch that it includes; unset in format 1, where only the
    /// [reference](crate::schema::SnapshotReference) holds it.
    pub through: Option<u64>,
    /// State of the pool.
    pub state: journal::PoolState,
}

/// Encodes a snapshot of the state through a batch.
///
/// # Panics
///
/// If the state cannot be written as JSON, which cannot happen for its types.
#[must_use]
pub fn encode(state: &journal::PoolState, through: u64) -> Bytes {
    let content = Content { through, state };
    let content = serde_json::to_vec(&content).expect("the state is plain JSON");
    let header = Header {
        format: FORMAT,
        length_bytes: content.len() as u64,
        crc32: crc32fast::hash(&content),
    };
    let mut bytes = serde_json::to_vec(&header).expect("the header is plain JSON");
    bytes.push(b'\n');
    bytes.extend_from_slice(&content);
    Bytes::from(bytes)
}

/// Decodes a snapshot of the current or an earlier format.
///
/// # Errors
///
/// [`SnapshotError`], which distinguishes torn and corrupt objects and those of a newer release.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let line_end = bytes
        .iter()
        .take(MAX_HEADER_BYTES)
        .position(|&byte| byte == b'\n')
        .ok_or(SnapshotError::NoHeader)?;
    let header: Header = serde_json::from_slice(&bytes[..line_end])
        .map_err(|error| SnapshotError::Header(error.to_string()))?;
    let content = &bytes[line_end + 1..];
    check_content(&header, content)?;
    match header.format {
        1 => decode_v1(content),
        FORMAT => decode_current(content),
        unsupported => Err(SnapshotError::Format(unsupported)),
    }
}

/// Maximum length of the header line, in bytes.
const MAX_HEADER_BYTES: usize = 1_024;

fn check_content(header: &Header, content: &[u8]) -> Result<(), SnapshotError> {
    let found_bytes = content.len() as u64;
    if found_bytes != header.length_bytes {
        return Err(SnapshotError::Torn {
            expected_bytes: header.length_bytes,
            found_bytes,
        });
    }
    let found = crc32fast::hash(content);
    if found != header.crc32 {
        return Err(SnapshotError::Corrupt {
            expected: header.crc32,
            found,
        });
    }
    Ok(())
}

fn decode_v1(content: &[u8]) -> Result<Snapshot, SnapshotError> {
    let content: ContentV1 = serde_json::from_slice(content)
        .map_err(|error| SnapshotError::Content(error.to_string()))?;
    Ok(Snapshot {
        through: None,
        state: content.state,
    })
}

fn decode_current(content: &[u8]) -> Result<Snapshot, SnapshotError> {
    let content: Content<journal::PoolState> = serde_json::from_slice(content)
        .map_err(|error| SnapshotError::Content(error.to_string()))?;
    Ok(Snapshot {
        through: Some(content.through),
        state: content.state,
    })
}
