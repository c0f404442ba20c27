//! Parser for the file of operators' and teams' tokens.
//!
//! ```toml
//! [[token]]
//! operator = "eleni"
//! token = "d41a7f0c63e94b1f"
//!
//! [[token]]
//! operator = "certificates-robot"
//! team = "certificates"
//! token = "6b0f5a3ce2a04b7d"
//! ```
//!
//! A token without `team` may be used for everything; one with `team` may change only that team's
//! jobs. Errors give line and field. No message quotes the text of a line, since it may contain a
//! token.

use std::fs;
use std::io::Read;
use std::path::Path;

use displaydoc::Display;
use mangotrestle_core::collections::FastSet;
use mangotrestle_core::id;
use mangotrestle_operator::auth;
use serde::Deserialize;

use crate::position;

/// Maximum size of the file.
pub const MAX_FILE_BYTES: u64 = 2 * 1024 * 1024;

/// Error of a token file that cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TokenFileError {
    /// cannot be read: {0}
    Read(String),
    /// has more than 2097152 bytes
    TooLarge,
    /// line {line}: expected an array of tables named token with operator, token and optionally team, all strings
    Syntax {
        /// Line number, starting at one.
        line: usize,
    },
    /// line {line}: {problem}
    Entry {
        /// Number of the entry's first line, starting at one.
        line: usize,
        /// Error message; it contains no token.
        problem: String,
    },
    /// the same token is given more than once (second time on line {line})
    Duplicate {
        /// Number of the entry's first line, starting at one.
        line: usize,
    },
    /// contains no token, so that nobody could send a command
    Empty,
    /// {0}
    Tokens(auth::InvalidToken),
}

impl std::error::Error for TokenFileError {}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    token: Vec<toml::Spanned<Entry>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Entry {
    operator: String,
    token: String,
    team: Option<String>,
}

/// Reads and parses a token file.
///
/// # Errors
///
/// [`TokenFileError`], with the line if the content is invalid.
pub fn load(path: &Path) -> Result<auth::Authentication, TokenFileError> {
    parse(&read(path)?)
}

/// Reads the text of a token file.
///
/// # Errors
///
/// [`TokenFileError`] if it cannot be read or is too large.
pub fn read(path: &Path) -> Result<String, TokenFileError> {
    let read_error = |error: std::io::Error| TokenFileError::Read(error.to_string());
    let file = fs::File::open(path).map_err(read_error)?;
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(read_error)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(TokenFileError::TooLarge);
    }
    Ok(text)
}

/// Parses the text of a token file.
///
/// # Errors
///
/// [`TokenFileError`], with the line if there is one.
pub fn parse(text: &str) -> Result<auth::Authentication, TokenFileError> {
    let file: File = toml::from_str(text).map_err(|error| TokenFileError::Syntax {
        line: position::line_at(text, error.span().map_or(0, |span| span.start)),
    })?;
    if file.token.is_empty() {
        return Err(TokenFileError::Empty);
    }
    let mut credentials = Vec::new();
    let mut seen_tokens = FastSet::default();
    for entry in file.token {
        let line = position::line_at(text, entry.span().start);
        let credential = parse_credential(&entry.into_inner())
            .map_err(|problem| TokenFileError::Entry { line, problem })?;
        if !seen_tokens.insert(credential.token.expose().to_owned()) {
            return Err(TokenFileError::Duplicate { line });
        }
        credentials.push(credential);
    }
    auth::Authentication::tokens(credentials).map_err(TokenFileError::Tokens)
}

fn parse_credential(entry: &Entry) -> Result<auth::Credential, String> {
    if !auth::is_operator_name(&entry.operator) {
        return Err(format!("operator: {}", auth::InvalidToken::Operator));
    }
    let token = auth::Token::new(&entry.token).map_err(|error| format!("token: {error}"))?;
    let team = entry.team.as_deref().map(id::TeamId::new).transpose();
    let team = team.map_err(|error| format!("team: {error}"))?;
    let principal = auth::Principal {
        operator: entry.operator.clone(),
        team,
    };
    Ok(auth::Credential { token, principal })
}

#[cfg(test)]
mod tests;
