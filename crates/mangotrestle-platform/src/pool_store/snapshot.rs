//! Encoding of a snapshot: one line of JSON that describes the content, then the content as JSON.

use bytes::Bytes;
use displaydoc::Display;
use mangotrestle_core::journal;
use serde::{Deserialize, Serialize};

/// Format that this release writes.
pub const FORMAT: u32 = 2;

/// Why bytes are no snapshot.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum SnapshotError {
    /// the snapshot has no header line
    NoHeader,
    /// the header of the snapshot is malformed: {0}
    Header(String),
    /// the snapshot is torn: {found_bytes} bytes of content, expected {expected_bytes}
    Torn {
        /// Length that the header names.
        expected_bytes: u64,
        /// Length found.
        found_bytes: u64,
    },
    /// the snapshot is corrupt: checksum {found:08x}, expected {expected:08x}
    Corrupt {
        /// Checksum that the header names.
        expected: u32,
        /// Checksum found.
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

/// Content of format 1, which had the jobs' state only.
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

/// A snapshot that was read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Snapshot {
    /// Last batch folded into it; unset in format 1, whose reference alone has it.
    pub through: Option<u64>,
    /// The state.
    pub state: journal::PoolState,
}

/// Writes a snapshot.
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

/// Reads a snapshot of this or an earlier format.
///
/// # Errors
///
/// [`SnapshotError`] tells a torn object from a corrupt one and from one of a newer release.
pub fn decode(bytes: &[u8]) -> Result<Snapshot, SnapshotError> {
    let line_end = bytes
        .iter()
        .take(MAX_HEADER_BYTES)
        .position(|&byte| byte == b'\n')
        .ok_or(SnapshotError::NoHeader)?;
    let header: Header = serde_json::from_slice(&bytes[..line_end])
        .map_err(|error| SnapshotError::Header(error.to_string()))?;
    let content = &bytes[line_end + 1..];
    check(&header, content)?;
    match header.format {
        1 => decode_v1(content),
        FORMAT => decode_current(content),
        newer => Err(SnapshotError::Format(newer)),
    }
}

/// Greatest length of the header line, in bytes.
const MAX_HEADER_BYTES: usize = 1_024;

fn check(header: &Header, content: &[u8]) -> Result<(), SnapshotError> {
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
