//! The command line, as `argh` reads it.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::settings;

/// Options that may stand anywhere on the command line; each takes a value.
const COMMON_OPTIONS: [&str; 5] = [
    "--endpoint",
    "--token-file",
    "--authority-file",
    "--operator",
    "--output",
];

/// Cluster scheduler for services, batch runs and gang jobs: daemon and operators' commands.
#[derive(FromArgs, Debug)]
#[argh(
    note = "Options of this list may stand anywhere among the arguments of a command. \
            MANGOTRESTLE_ENDPOINT (a list with commas), MANGOTRESTLE_TOKEN_FILE, \
            MANGOTRESTLE_AUTHORITY_FILE and MANGOTRESTLE_OPERATOR stand in for options that are \
            not given.",
    error_code(2, "The command line, a setting, a file or a field is wrong."),
    error_code(3, "The token is missing, not known, or may not do this."),
    error_code(4, "There is nothing with this name."),
    error_code(
        5,
        "The state is not the one the command was based on, or the name is taken."
    ),
    error_code(6, "Refused for good, such as by a quota."),
    error_code(7, "Not done; the same command may succeed later."),
    error_code(
        8,
        "Not known whether it was done; send it again with the same --command-id."
    ),
    error_code(9, "job wait: the job ended other than succeeded."),
    error_code(10, "job wait: the job did not end in time.")
)]
pub struct Arguments {
    /// entry host to ask, as ip:port; may be repeated, the next is tried when one cannot be reached
    #[argh(option)]
    pub endpoint: Vec<SocketAddr>,

    /// file that holds the token, alone
    #[argh(option)]
    pub token_file: Option<PathBuf>,

    /// certificate (PEM) of the authority that signs the entry hosts' certificates; turns TLS on
    #[argh(option)]
    pub authority_file: Option<PathBuf>,

    /// name for the audit log where the cell runs without tokens
    #[argh(option)]
    pub operator: Option<String>,

    /// form of the output: table (default) or json
    #[argh(option, default = "Output::Table")]
    pub output: Output,

    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

/// Form of the output.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// For people.
    Table,
    /// For programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err(format!("{text:?} given, expected table or json")),
        }
    }
}

/// What to do.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Runs the daemon.
    Serve(Box<settings::ServeArguments>),
    /// Runs a host on the users' platform.
    Host(Host),
    /// Jobs.
    Job(Job),
    /// Workers.
    Worker(Worker),
    /// Configuration.
    Config(Config),
    /// State of the cell.
    Status(Status),
    /// What happens.
    Events(Events),
}

/// Runs a host on the users' platform until it is told to stop.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "host")]
pub struct Host {
    /// settings file; by default the one that the platform names
    #[argh(option)]
    pub settings_file: Option<String>,

    /// least level of logged events: error, warning, info (default), debug or trace
    #[argh(option)]
    pub log_level: Option<settings::LogLevel>,
}

/// Submits, shows and changes jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// what to do
    #[argh(subcommand)]
    pub action: JobAction,
}

/// What to do with jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum JobAction {
    /// Submits one.
    Submit(JobSubmit),
    /// Lists them.
    List(JobList),
    /// Shows one.
    Show(JobShow),
    /// Cancels one.
    Cancel(JobCancel),
    /// Waits for the end of one.
    Wait(JobWait),
    /// Puts one back in the queue.
    Retry(JobRetry),
}

/// Submits the job of a job file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmit {
    /// job file, see docs/operators/job-file.md
    #[argh(positional)]
    pub file: PathBuf,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Lists jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct JobList {
    /// only jobs of this pool
    #[argh(option)]
    pub pool: Option<String>,

    /// only jobs of this team
    #[argh(option)]
    pub team: Option<String>,
}

/// Shows a job, its tasks, and why tasks wait.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct JobShow {
    /// the job
    #[argh(positional)]
    pub job: String,
}

/// Cancels a job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancel {
    /// the job
    #[argh(positional)]
    pub job: String,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision of the job that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Waits until a job has ended; the exit code says how.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct JobWait {
    /// the job
    #[argh(positional)]
    pub job: String,

    /// longest time to wait, in seconds; no limit if not given
    #[argh(option)]
    pub timeout_s: Option<u64>,
}

/// Puts a parked or failed job back in the queue.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "retry")]
pub struct JobRetry {
    /// the job
    #[argh(positional)]
    pub job: String,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision of the job that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Lists and drains workers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "worker")]
pub struct Worker {
    /// what to do
    #[argh(subcommand)]
    pub action: WorkerAction,
}

/// What to do with workers.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum WorkerAction {
    /// Lists them.
    List(WorkerList),
    /// Marks one as leaving.
    Drain(WorkerDrain),
    /// Takes the mark back.
    Undrain(WorkerUndrain),
}

/// Lists workers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "list")]
pub struct WorkerList {
    /// only workers of this pool
    #[argh(option)]
    pub pool: Option<String>,
}

/// Marks a worker as leaving: it takes no new work, and its tasks move or end.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drain")]
pub struct WorkerDrain {
    /// the worker
    #[argh(positional)]
    pub worker: String,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Takes back the mark of a worker as leaving.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
pub struct WorkerUndrain {
    /// the worker
    #[argh(positional)]
    pub worker: String,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Shows and changes the configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "config")]
pub struct Config {
    /// what to do
    #[argh(subcommand)]
    pub action: ConfigAction,
}

/// What to do with the configuration.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ConfigAction {
    /// Shows it.
    Get(ConfigGet),
    /// Changes it.
    Apply(ConfigApply),
    /// Lists its versions.
    History(ConfigHistory),
}

/// Shows the configuration in force on the entry host that answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
pub struct ConfigGet {}

/// Applies the configuration of a file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct ConfigApply {
    /// file with the document, in TOML
    #[argh(positional)]
    pub file: PathBuf,

    /// check and show the difference, without applying
    #[argh(switch)]
    pub dry_run: bool,

    /// identifier of this command; made up and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// version that this change is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Lists versions of the configuration, and where each is in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {
    /// greatest number of versions to list (default 20)
    #[argh(option, default = "20")]
    pub limit: u32,
}

/// Shows the state of the cell as one entry host sees it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// list commands since this time too, such as 8h or 2026-12-03T06:00:00Z, for a shift that
    /// takes over
    #[argh(option)]
    pub handover: Option<String>,
}

/// Shows what happens on an entry host.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "events")]
pub struct Events {
    /// go on until interrupted; without it, end when there is nothing more for a second
    #[argh(switch)]
    pub follow: bool,

    /// show what came after this number
    #[argh(option)]
    pub after: Option<u64>,
}

/// Moves common options in front of the command, where `argh` expects them.
///
/// Arguments after `--` stay where they are.
#[must_use]
pub fn hoist_common_options<'a>(arguments: &[&'a str]) -> Vec<&'a str> {
    let mut hoisted = Vec::new();
    let mut rest = Vec::new();
    let mut remaining = arguments.iter();
    while let Some(&argument) = remaining.next() {
        if argument == "--" {
            rest.push(argument);
            rest.extend(remaining.by_ref());
        } else if COMMON_OPTIONS.contains(&argument) {
            hoisted.push(argument);
            hoisted.extend(remaining.next());
        } else {
            rest.push(argument);
        }
    }
    hoisted.extend(rest);
    hoisted
}
