//! What all operators' commands share: the client, the operator's name, and the output.

use std::fs;
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_operator::auth;
use mangotrestle_operator::client;
use mangotrestle_operator::message;
use serde::Serialize;

use super::arguments::{Arguments, Output};
use super::exit_code::ExitCode;

/// Entry host that commands connect to if none is given.
const DEFAULT_ENDPOINT: &str = "127.0.0.1:7400";

/// Maximum size of a token file or of an authority's certificate.
const MAX_FILE_BYTES: u64 = 256 * 1024;

/// Failure of a command: its message and exit code.
#[derive(Debug)]
pub struct Failure {
    /// Exit code of the process.
    pub exit_code: ExitCode,
    /// Result code, if there is one.
    pub code: Option<ResultCode>,
    /// Error message.
    pub message: String,
}

impl Failure {
    /// Creates a failure for an invalid command line or file.
    #[must_use]
    pub fn usage(message: String) -> Self {
        Self {
            exit_code: ExitCode::Usage,
            code: Some(ResultCode::InvalidInput),
            message,
        }
    }
}

impl From<client::ClientError> for Failure {
    fn from(error: client::ClientError) -> Self {
        let code = error.result_code();
        Self {
            exit_code: ExitCode::of(code),
            code: Some(code),
            message: error.to_string(),
        }
    }
}

impl From<io::Error> for Failure {
    fn from(error: io::Error) -> Self {
        Self {
            exit_code: ExitCode::Internal,
            code: None,
            message: format!("the output cannot be written: {error}"),
        }
    }
}

/// Connection, operator name and output format of a command.
pub struct Session {
    /// Client for the cell's operator API.
    pub client: client::OperatorClient,
    output: Output,
    operator: String,
}

/// JSON output of a command that changes state: its identifier and outcome.
#[derive(Serialize)]
struct SentCommand<'a> {
    command_id: &'a id::CommandId,
    #[serde(flatten)]
    outcome: &'a message::CommandOutcome,
}

impl Session {
    /// Creates a session from the common options; an option that isn't given is taken from its
    /// environment variable.
    ///
    /// # Errors
    ///
    /// If an option, a variable or a file that it names is invalid.
    pub fn open(
        arguments: &Arguments,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Failure> {
        let mut builder = client::OperatorClient::builder();
        for endpoint in endpoints(&arguments.endpoint, variable("MANGOTRESTLE_ENDPOINT"))? {
            builder = builder.endpoint(endpoint);
        }
        let token_file = option_or_variable(
            arguments.token_file.as_ref(),
            variable("MANGOTRESTLE_TOKEN_FILE"),
        );
        if let Some(path) = token_file {
            let text = read_file(&path, "token file")?;
            let token = auth::Token::new(text.trim()).map_err(|error| {
                Failure::usage(format!("token file {}: {error}", path.display()))
            })?;
            builder = builder.token(token);
        }
        let authority_file = option_or_variable(
            arguments.authority_file.as_ref(),
            variable("MANGOTRESTLE_AUTHORITY_FILE"),
        );
        if let Some(path) = authority_file {
            builder = builder.authority_pem(read_file(&path, "authority file")?.into_bytes());
        }
        let operator = arguments.operator.clone();
        Ok(Self {
            client: builder.build()?,
            output: arguments.output,
            operator: operator
                .or_else(|| variable("MANGOTRESTLE_OPERATOR"))
                .unwrap_or_else(|| "unnamed".to_owned()),
        })
    }

    /// Returns the header of a command that changes state.
    ///
    /// If no identifier is given, one is generated and shown before the command is sent, so that
    /// the command can be sent again if its answer is lost.
    ///
    /// # Errors
    ///
    /// If the given identifier is invalid.
    pub fn command(
        &self,
        command_id: Option<&str>,
        based_on: Option<u64>,
    ) -> Result<message::Command, Failure> {
        let id = match command_id {
            Some(text) => parse_id("--command-id", text)?,
            None => generate_command_id(),
        };
        if command_id.is_none() {
            eprintln!("command-id: {id}");
        }
        Ok(message::Command {
            id,
            operator: self.operator.clone(),
            based_on,
        })
    }

    /// Whether the output format is JSON.
    #[must_use]
    pub fn is_json(&self) -> bool {
        self.output == Output::Json
    }

    /// Prints a value, either as JSON or as the text that `table` returns for it.
    ///
    /// # Errors
    ///
    /// If the output cannot be written.
    pub fn show<T: Serialize>(
        &self,
        value: &T,
        table: impl FnOnce(&T) -> String,
    ) -> Result<ExitCode, Failure> {
        let text = match self.output {
            Output::Table => printable(&table(value)),
            Output::Json => to_json(value)? + "\n",
        };
        io::stdout().write_all(text.as_bytes())?;
        Ok(ExitCode::Ok)
    }

    /// Prints the outcome of a command, and returns the exit code for its result code.
    ///
    /// # Errors
    ///
    /// If the output cannot be written.
    pub fn show_outcome(
        &self,
        command: &message::Command,
        outcome: &message::CommandOutcome,
    ) -> Result<ExitCode, Failure> {
        let sent = SentCommand {
            command_id: &command.id,
            outcome,
        };
        self.show(&sent, |sent| describe_outcome(sent.outcome))?;
        Ok(ExitCode::of(outcome.code))
    }

    /// Prints a failure to the standard error output.
    pub fn show_failure(output: Output, failure: &Failure) {
        let text = match output {
            Output::Table => match failure.code {
                Some(code) => format!("mangotrestle: {code}: {}", failure.message),
                None => format!("mangotrestle: {}", failure.message),
            },
            Output::Json => {
                let number = failure.code.map(ResultCode::number);
                let slug = failure.code.map(ResultCode::slug);
                serde_json::json!({
                    "error": { "code": number, "name": slug, "message": failure.message }
                })
                .to_string()
            }
        };
        eprintln!("{}", printable(&text));
    }
}

/// Replaces control characters other than line breaks, since text from other systems must not send
/// control sequences to the terminal.
fn printable(text: &str) -> String {
    text.replace(|c: char| c.is_control() && c != '\n', " ")
}

/// Returns the value as one line of JSON.
pub(super) fn to_json<T: Serialize>(value: &T) -> Result<String, Failure> {
    serde_json::to_string(value).map_err(|error| Failure {
        exit_code: ExitCode::Internal,
        code: Some(ResultCode::Internal),
        message: format!("the result cannot be written as JSON: {error}"),
    })
}

fn describe_outcome(outcome: &message::CommandOutcome) -> String {
    let message::CommandOutcome {
        code,
        message,
        revision,
        retry_after_ms,
    } = outcome;
    let retry_hint = retry_after_ms.map(|span| format!(", try again after {span} ms"));
    let retry_hint = retry_hint.unwrap_or_default();
    // Indents the message's further lines, so that they are not mistaken for this program's own.
    let message = message.replace('\n', "\n    ");
    format!("{code}: {message} (revision {revision}){retry_hint}\n")
}

/// Parses an identifier that was given for the option or argument `name`.
///
/// # Errors
///
/// If the text is not a valid identifier.
pub(super) fn parse_id<T>(name: &str, text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr<Err = id::InvalidId>,
{
    text.parse()
        .map_err(|error| Failure::usage(format!("{name}: {text:?} given: {error}")))
}

/// Reads a text file of at most [`MAX_FILE_BYTES`]; `what` describes it in errors.
pub(super) fn read_file(path: &Path, what: &str) -> Result<String, Failure> {
    read_file_up_to(path, what, MAX_FILE_BYTES)
}

/// Reads a text file of at most `max_bytes`; `what` describes it in errors.
pub(super) fn read_file_up_to(path: &Path, what: &str, max_bytes: u64) -> Result<String, Failure> {
    let explain = |error: io::Error| Failure::usage(format!("{what} {}: {error}", path.display()));
    let file = fs::File::open(path).map_err(explain)?;
    let mut text = String::new();
    file.take(max_bytes + 1)
        .read_to_string(&mut text)
        .map_err(explain)?;
    if text.len() as u64 > max_bytes {
        let problem = format!("{what} {}: has more than {max_bytes} bytes", path.display());
        return Err(Failure::usage(problem));
    }
    Ok(text)
}

fn option_or_variable(given: Option<&PathBuf>, variable: Option<String>) -> Option<PathBuf> {
    given.cloned().or_else(|| variable.map(Into::into))
}

fn endpoints(given: &[SocketAddr], variable: Option<String>) -> Result<Vec<SocketAddr>, Failure> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let list = variable.unwrap_or_else(|| DEFAULT_ENDPOINT.to_owned());
    let parse = |element: &str| {
        element.trim().parse().map_err(|_| {
            Failure::usage(format!(
                "MANGOTRESTLE_ENDPOINT: {element:?} given, expected addresses such as 10.0.0.7:7400"
            ))
        })
    };
    list.split(',').map(parse).collect()
}

/// Generates a random identifier; with 128 random bits, collisions are not to be expected.
fn generate_command_id() -> id::CommandId {
    let text = format!("cmd-{:032x}", rand::random::<u128>());
    id::CommandId::new(&text)
        .expect("the generated text has only characters that identifiers may have")
}
