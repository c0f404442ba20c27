//! Tokens of operators and teams.
//!
//! A request carries `authorization: Bearer TOKEN`. A token is compared in constant time with every
//! known token, so that the response time reveals neither a matching prefix nor the position in the
//! list. Tokens are never printed: [`Token`] has no `Display`, and its `Debug` output omits the
//! content.

use std::fmt;

use displaydoc::Display;
use mangotrestle_core::id;
use subtle::ConstantTimeEq;

use crate::message;

/// Minimum length of a token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Maximum length of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Maximum number of tokens.
pub const MAX_TOKENS: usize = 4_096;

/// A secret that a request carries.
#[derive(Clone)]
pub struct Token(String);

impl PartialEq for Token {
    fn eq(&self, other: &Self) -> bool {
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

impl Eq for Token {}

impl Token {
    /// Validates a text as a token.
    ///
    /// # Errors
    ///
    /// [`InvalidToken`] describes the problem without repeating the text.
    pub fn new(text: &str) -> Result<Self, InvalidToken> {
        if text.len() < MIN_TOKEN_BYTES || text.len() > MAX_TOKEN_BYTES {
            return Err(InvalidToken::Length {
                length_bytes: text.len(),
            });
        }
        match text.bytes().position(|byte| !byte.is_ascii_graphic()) {
            Some(offset_bytes) => Err(InvalidToken::Character { offset_bytes }),
            None => Ok(Self(text.to_owned())),
        }
    }

    /// Returns the text of the token, for the header of a request.
    #[must_use]
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

/// Why a token, the name of its owner or a list of tokens is invalid.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidToken {
    /// the token has {length_bytes} bytes, expected 16 to 256
    Length {
        /// Length of the refused text, in bytes.
        length_bytes: usize,
    },
    /// the token has a character other than visible ASCII at byte {offset_bytes}
    Character {
        /// Offset of the character, in bytes.
        offset_bytes: usize,
    },
    /// the operator's name is empty, longer than 63 bytes, or has control characters
    Operator,
    /// there are {count} tokens, at most 4096 are allowed
    TooMany {
        /// Number of given tokens.
        count: usize,
    },
}

impl std::error::Error for InvalidToken {}

/// Sender of a request and their permissions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Principal {
    /// Name of the operator, for the audit log.
    pub operator: String,
    /// Team whose jobs they may change; `None` for operators of the cell, who may change
    /// everything.
    pub team: Option<id::TeamId>,
}

impl Principal {
    /// Returns an operator of the cell, who may change everything.
    #[must_use]
    pub fn cell_operator(operator: &str) -> Self {
        Self {
            operator: operator.to_owned(),
            team: None,
        }
    }

    /// Returns a member of a team, who may change only jobs of that team.
    #[must_use]
    pub fn team_member(operator: &str, team: id::TeamId) -> Self {
        Self {
            operator: operator.to_owned(),
            team: Some(team),
        }
    }

    /// Whether the sender may change jobs of this team.
    #[must_use]
    pub fn may_change_jobs_of(&self, team: &id::TeamId) -> bool {
        self.team.as_ref().is_none_or(|own| own == team)
    }

    /// Whether the sender may change workers and the configuration.
    #[must_use]
    pub const fn may_change_cell(&self) -> bool {
        self.team.is_none()
    }
}

/// A token and its owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credential {
    /// The secret token.
    pub token: Token,
    /// The token's owner.
    pub principal: Principal,
}

/// Which requests are accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Authentication {
    /// All requests, each with the operator name that it carries. Only for loopback and tests.
    Open,
    /// Only requests with one of these tokens.
    Tokens(Vec<Credential>),
}

impl Authentication {
    /// Accepts only requests with one of these tokens.
    ///
    /// # Errors
    ///
    /// [`InvalidToken`] if there are too many tokens or an operator's name is invalid.
    pub fn tokens(credentials: Vec<Credential>) -> Result<Self, InvalidToken> {
        if credentials.len() > MAX_TOKENS {
            return Err(InvalidToken::TooMany {
                count: credentials.len(),
            });
        }
        let has_valid_name =
            |credential: &Credential| is_operator_name(&credential.principal.operator);
        if !credentials.iter().all(has_valid_name) {
            return Err(InvalidToken::Operator);
        }
        Ok(Self::Tokens(credentials))
    }

    /// Returns the owner of the token in an `authorization` header.
    ///
    /// Compares with every known token even after a match, to take constant time.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&[u8]>) -> Option<Principal> {
        let credentials = match self {
            Self::Open => return Some(Principal::cell_operator("")),
            Self::Tokens(credentials) => credentials,
        };
        let presented = authorization?.strip_prefix(b"Bearer ")?;
        let mut owner = None;
        for credential in credentials {
            if bool::from(credential.token.0.as_bytes().ct_eq(presented)) {
                owner = Some(&credential.principal);
            }
        }
        owner.cloned()
    }
}

/// Whether a text is a valid operator name.
#[must_use]
pub fn is_operator_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= message::MAX_OPERATOR_BYTES
        && !text.chars().any(char::is_control)
}
