//! What every operators' command needs: a client, an identity, and a way to show results.

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

/// Entry host that is asked when none is named.
const DEFAULT_ENDPOINT: &str = "127.0.0.1:7400";

/// Greatest size of a token file or of an authority's certificate, in bytes.
const MAX_FILE_BYTES: u64 = 256 * 1024;

/// Why a command did not do what was asked, for people and for the shell.
#[derive(Debug)]
pub struct Failure {
    /// What the shell sees.
    pub exit_code: ExitCode,
    /// The result, where one is known.
    pub code: Option<ResultCode>,
    /// What is shown.
    pub message: String,
}

impl Failure {
    /// Something on the command line or in a file is wrong.
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

/// A command's connection, identity and output.
pub struct Session {
    /// The connection to the cell.
    pub client: client::OperatorClient,
    output: Output,
    operator: String,
}

/// How a command that changes the state was sent, for the output.
#[derive(Serialize)]
struct SentCommand<'a> {
    command_id: &'a id::CommandId,
    #[serde(flatten)]
    outcome: &'a message::CommandOutcome,
}

impl Session {
    /// Opens a session with the options given, or with environment variables in their place.
    ///
    /// # Errors
    ///
    /// If an option, a variable or a file that it names is wrong.
    pub fn open(
        arguments: &Arguments,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Failure> {
        let mut builder = client::OperatorClient::builder();
        for endpoint in endpoints(&arguments.endpoint, variable("MANGOTRESTLE_ENDPOINT"))? {
            builder = builder.endpoint(endpoint);
        }
        let token_file = or_variable(
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
        let authority_file = or_variable(
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

    /// The header of a command that changes state. An identifier that was made up is shown at
    /// once, so that the command can be sent again if its answer is lost.
    ///
    /// # Errors
    ///
    /// If the given identifier is none.
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

    /// Whether the output is for programs.
    #[must_use]
    pub fn is_json(&self) -> bool {
        self.output == Output::Json
    }

    /// Shows a value, as JSON or by the given text.
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

    /// Shows what became of a command; the exit code follows from its result.
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

    /// Shows a failure on the standard error output.
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

/// Text that cannot drive the terminal, whoever wrote parts of it.
fn printable(text: &str) -> String {
    text.replace(|c: char| c.is_control() && c != '\n', " ")
}

/// The value as one line of JSON.
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
    let hint = retry_after_ms.map(|span| format!(", try again after {span} ms"));
    let hint = hint.unwrap_or_default();
    // Lines of the message never look like lines of this program.
    let message = message.replace('\n', "\n    ");
    format!("{code}: {message} (revision {revision}){hint}\n")
}

/// Reads an identifier that was given for an option or argument.
///
/// # Errors
///
/// If the text is no identifier.
pub(super) fn parse_id<T>(name: &str, text: &str) -> Result<T, Failure>
where
    T: std::str::FromStr<Err = id::InvalidId>,
{
    text.parse()
        .map_err(|error| Failure::usage(format!("{name}: {text:?} given: {error}")))
}

/// Reads a small file of text.
pub(super) fn read_file(path: &Path, what: &str) -> Result<String, Failure> {
    read_file_of_at_most(path, what, MAX_FILE_BYTES)
}

/// Reads a file of text that may have at most `max_bytes`.
pub(super) fn read_file_of_at_most(
    path: &Path,
    what: &str,
    max_bytes: u64,
) -> Result<String, Failure> {
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

fn or_variable(given: Option<&PathBuf>, variable: Option<String>) -> Option<PathBuf> {
    given.cloned().or_else(|| variable.map(Into::into))
}

fn endpoints(given: &[SocketAddr], variable: Option<String>) -> Result<Vec<SocketAddr>, Failure> {
    if !given.is_empty() {
        return Ok(given.to_vec());
    }
    let text = variable.unwrap_or_else(|| DEFAULT_ENDPOINT.to_owned());
    let parse = |element: &str| {
        element.trim().parse().map_err(|_| {
            Failure::usage(format!(
                "MANGOTRESTLE_ENDPOINT: {element:?} given, expected addresses such as 10.0.0.7:7400"
            ))
        })
    };
    text.split(',').map(parse).collect()
}

/// An identifier that no other command has.
fn generate_command_id() -> id::CommandId {
    let text = format!("cmd-{:032x}", rand::random::<u128>());
    id::CommandId::new(&text).expect("the text has only characters that identifiers may have")
}
