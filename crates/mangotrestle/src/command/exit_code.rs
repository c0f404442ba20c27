//! Exit codes of the binary. `docs/operators/command-line.md` lists them; a test in
//! `tests/cli_docs.rs` checks that both agree.

use std::process;

use mangotrestle_core::result_code::ResultCode;

/// Exit code of the binary.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[repr(u8)]
pub enum ExitCode {
    /// The command succeeded.
    Ok = 0,
    /// An internal error of the system, or a local one, such as output that cannot be written.
    Internal = 1,
    /// The command line, a setting, a file or a field is wrong.
    Usage = 2,
    /// The token is missing or unknown, or does not permit this.
    Unauthorized = 3,
    /// There is nothing with this name.
    NotFound = 4,
    /// The state is not the one that the command was based on, or the name is taken.
    Conflict = 5,
    /// Refused permanently, such as by a quota.
    Refused = 6,
    /// Not done; the same command may succeed later.
    TryLater = 7,
    /// It is not known whether the command had an effect; send it again with the same identifier.
    Unknown = 8,
    /// `job wait`: the job ended in a state other than succeeded.
    JobFailed = 9,
    /// `job wait`: the job did not end within the timeout.
    TimedOut = 10,
}

impl ExitCode {
    /// All codes, in ascending order of their numbers.
    pub const ALL: &'static [Self] = &[
        Self::Ok,
        Self::Internal,
        Self::Usage,
        Self::Unauthorized,
        Self::NotFound,
        Self::Conflict,
        Self::Refused,
        Self::TryLater,
        Self::Unknown,
        Self::JobFailed,
        Self::TimedOut,
    ];

    /// Returns the exit code for a command that ended with `code`.
    #[must_use]
    pub const fn of(code: ResultCode) -> Self {
        match code {
            ResultCode::Ok => Self::Ok,
            ResultCode::InvalidInput | ResultCode::InvalidSettings | ResultCode::TooLarge => {
                Self::Usage
            }
            ResultCode::Unauthorized => Self::Unauthorized,
            ResultCode::NotFound => Self::NotFound,
            ResultCode::AlreadyExists | ResultCode::RevisionConflict => Self::Conflict,
            ResultCode::QuotaExceeded | ResultCode::NeverFits | ResultCode::FailsEverywhere => {
                Self::Refused
            }
            ResultCode::OutcomeUnknown
            | ResultCode::EarlierOutcomeUnknown
            | ResultCode::AnswerTruncated => Self::Unknown,
            ResultCode::Internal => Self::Internal,
            _ => Self::TryLater,
        }
    }

    /// Returns the process's exit status.
    #[must_use]
    pub const fn number(self) -> u8 {
        self as u8
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        Self::from(code.number())
    }
}
