//! Tokens of operators and teams.
//!
//! A request carries `authorization: Bearer TOKEN`. Tokens are compared in constant time, and with
//! every known token, so that neither a prefix nor the place in the list can be told from the time
//! an answer takes. A token is never shown: [`Token`] has no `Display` and a `Debug` without its
//! content.

use std::fmt;

use displaydoc::Display;
use mangotrestle_core::id;
use subtle::ConstantTimeEq;

use crate::message;

/// Smallest length of a token, in bytes.
pub const MIN_TOKEN_BYTES: usize = 16;

/// Greatest length of a token, in bytes.
pub const MAX_TOKEN_BYTES: usize = 256;

/// Greatest number of tokens.
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
    /// Checks the text and makes a token of it.
    ///
    /// # Errors
    ///
    /// [`InvalidToken`] says what is wrong, without the text.
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

    /// The text, for the header of a request.
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

/// Why a text is no token.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum InvalidToken {
    /// the token has {length_bytes} bytes, expected 16 to 256
    Length {
        /// Length of the refused text, in bytes.
        length_bytes: usize,
    },
    /// the token has a space or a character outside ASCII at byte {offset_bytes}
    Character {
        /// Where the character stands, in bytes from the start.
        offset_bytes: usize,
    },
    /// the operator's name is empty, longer than 63 bytes, or has control characters
    Operator,
    /// there are {count} tokens, at most 4096 are allowed
    TooMany {
        /// The number given.
        count: usize,
    },
}

impl std::error::Error for InvalidToken {}

/// Who sent a request and what they may do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Principal {
    /// Name, for the audit log.
    pub operator: String,
    /// The team whose jobs they may change; `None` for operators of the cell, who may do
    /// everything.
    pub team: Option<id::TeamId>,
}

impl Principal {
    /// An operator of the cell.
    #[must_use]
    pub fn cell_operator(operator: &str) -> Self {
        Self {
            operator: operator.to_owned(),
            team: None,
        }
    }

    /// A member of a team.
    #[must_use]
    pub fn team_member(operator: &str, team: id::TeamId) -> Self {
        Self {
            operator: operator.to_owned(),
            team: Some(team),
        }
    }

    /// Whether they may change jobs of this team.
    #[must_use]
    pub fn may_change_jobs_of(&self, team: &id::TeamId) -> bool {
        self.team.as_ref().is_none_or(|own| own == team)
    }

    /// Whether they may change workers and the configuration.
    #[must_use]
    pub const fn may_change_cell(&self) -> bool {
        self.team.is_none()
    }
}

/// A token and whose it is.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Credential {
    /// The secret.
    pub token: Token,
    /// Its owner.
    pub principal: Principal,
}

/// Which requests are accepted.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Authentication {
    /// Every request, with the operator's name that it carries. Only for loopback and tests.
    Open,
    /// Requests with one of these tokens.
    Tokens(Vec<Credential>),
}

impl Authentication {
    /// Accepts these tokens.
    ///
    /// # Errors
    ///
    /// [`InvalidToken`] if there are too many or an operator's name is not usable.
    pub fn tokens(credentials: Vec<Credential>) -> Result<Self, InvalidToken> {
        if credentials.len() > MAX_TOKENS {
            return Err(InvalidToken::TooMany {
                count: credentials.len(),
            });
        }
        let usable = |credential: &Credential| is_operator_name(&credential.principal.operator);
        if !credentials.iter().all(usable) {
            return Err(InvalidToken::Operator);
        }
        Ok(Self::Tokens(credentials))
    }

    /// The owner of the token in an `authorization` header.
    ///
    /// Costs one comparison for each known token, whichever matches.
    #[must_use]
    pub fn authenticate(&self, authorization: Option<&[u8]>) -> Option<Principal> {
        let credentials = match self {
            Self::Open => return Some(Principal::cell_operator("")),
            Self::Tokens(credentials) => credentials,
        };
        let presented = authorization?.strip_prefix(b"Bearer ")?;
        let mut found = None;
        for credential in credentials {
            if bool::from(credential.token.0.as_bytes().ct_eq(presented)) {
                found = Some(&credential.principal);
            }
        }
        found.cloned()
    }
}

/// Whether a text can name an operator.
#[must_use]
pub fn is_operator_name(text: &str) -> bool {
    !text.is_empty()
        && text.len() <= message::MAX_OPERATOR_BYTES
        && !text.chars().any(char::is_control)
}
