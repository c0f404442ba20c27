//! File with the tokens of operators and teams.
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
//! A token without `team` may do everything; one with `team` may change only that team's jobs.
//! Faults are reported by line and field. No message repeats the text of a line, since it may hold
//! a token.

use std::fs;
use std::io::Read;
use std::path::Path;

use displaydoc::Display;
use mangotrestle_core::collections::FastSet;
use mangotrestle_core::id;
use mangotrestle_operator::auth;
use serde::Deserialize;

use crate::position;

/// Greatest size of the file, in bytes.
pub const MAX_FILE_BYTES: u64 = 2 * 1024 * 1024;

/// Why the tokens cannot be used.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TokenFileError {
    /// cannot be read: {0}
    Read(String),
    /// has more than 2097152 bytes
    TooLarge,
    /// line {line}: expected an array of tables named token with operator, token and perhaps team, all text
    Syntax {
        /// Number of the line, from one.
        line: usize,
    },
    /// line {line}: {problem}
    Entry {
        /// Number of the line at which the entry begins, from one.
        line: usize,
        /// What is wrong, without any token.
        problem: String,
    },
    /// the same token is given to more than one operator (second time in line {line})
    Duplicate {
        /// Number of the line at which the entry begins, from one.
        line: usize,
    },
    /// holds no token, so that nobody could send a command
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

/// Reads the tokens of a file.
///
/// # Errors
///
/// [`TokenFileError`] with the line at fault.
pub fn load(path: &Path) -> Result<auth::Authentication, TokenFileError> {
    parse(&read(path)?)
}

/// Reads the text of a file of tokens.
///
/// # Errors
///
/// [`TokenFileError`] if it cannot be read or is too large.
pub fn read(path: &Path) -> Result<String, TokenFileError> {
    let explain = |error: std::io::Error| TokenFileError::Read(error.to_string());
    let file = fs::File::open(path).map_err(explain)?;
    let mut text = String::new();
    file.take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)
        .map_err(explain)?;
    if text.len() as u64 > MAX_FILE_BYTES {
        return Err(TokenFileError::TooLarge);
    }
    Ok(text)
}

/// Reads tokens from text.
///
/// # Errors
///
/// [`TokenFileError`] with the line at fault.
pub fn parse(text: &str) -> Result<auth::Authentication, TokenFileError> {
    let file: File = toml::from_str(text).map_err(|error| TokenFileError::Syntax {
        line: position::line_at(text, error.span().map_or(0, |span| span.start)),
    })?;
    if file.token.is_empty() {
        return Err(TokenFileError::Empty);
    }
    let mut credentials = Vec::new();
    let mut seen = FastSet::default();
    for entry in file.token {
        let line = position::line_at(text, entry.span().start);
        let credential = credential(&entry.into_inner())
            .map_err(|problem| TokenFileError::Entry { line, problem })?;
        if !seen.insert(credential.token.expose().to_owned()) {
            return Err(TokenFileError::Duplicate { line });
        }
        credentials.push(credential);
    }
    auth::Authentication::tokens(credentials).map_err(TokenFileError::Tokens)
}

fn credential(entry: &Entry) -> Result<auth::Credential, String> {
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
