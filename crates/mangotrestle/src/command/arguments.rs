//! Definition of the command line for `argh`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::settings;

/// Options that are accepted anywhere on the command line; each takes a value.
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
    note = "These options may appear anywhere among the arguments of a command. \
            MANGOTRESTLE_ENDPOINT (a comma-separated list), MANGOTRESTLE_TOKEN_FILE, \
            MANGOTRESTLE_AUTHORITY_FILE and MANGOTRESTLE_OPERATOR are used for options that are \
            not given.",
    error_code(2, "The command line, a setting, a file or a field is wrong."),
    error_code(3, "The token is missing or unknown, or does not permit this."),
    error_code(4, "There is nothing with this name."),
    error_code(
        5,
        "The state is not the one the command was based on, or the name is taken."
    ),
    error_code(6, "Refused permanently, such as by a quota."),
    error_code(7, "Not done; the same command may succeed later."),
    error_code(
        8,
        "Not known whether it was done; send it again with the same --command-id."
    ),
    error_code(9, "job wait: the job ended in a state other than succeeded."),
    error_code(10, "job wait: the job did not end within the timeout.")
)]
pub struct Arguments {
    /// entry host to use, as ip:port; may be repeated, the next is tried if one is unreachable
    #[argh(option)]
    pub endpoint: Vec<SocketAddr>,

    /// file that holds the token and nothing else
    #[argh(option)]
    pub token_file: Option<PathBuf>,

    /// certificate (PEM) of the authority that signs the entry hosts' certificates; turns TLS on
    #[argh(option)]
    pub authority_file: Option<PathBuf>,

    /// operator name for the audit log if the cell runs without tokens
    #[argh(option)]
    pub operator: Option<String>,

    /// output format: table (default) or json
    #[argh(option, default = "Output::Table")]
    pub output: Output,

    /// command to run
    #[argh(subcommand)]
    pub command: Command,
}

/// Output format.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Output {
    /// Human-readable tables and text.
    Table,
    /// One JSON value per line, for programs.
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

/// Command of the command line.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    /// Runs the daemon.
    Serve(Box<settings::ServeArguments>),
    /// Runs a host on the users' platform.
    Host(Host),
    /// Submits, shows and changes jobs.
    Job(Job),
    /// Lists and drains workers.
    Worker(Worker),
    /// Shows and changes the configuration.
    Config(Config),
    /// Shows the state of the cell.
    Status(Status),
    /// Shows the events of an entry host.
    Events(Events),
}

/// Runs a host on the users' platform until it receives SIGTERM.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "host")]
pub struct Host {
    /// settings file; defaults to the value of MANGOTRESTLE_SETTINGS, or else to
    /// /etc/mangotrestle/settings.json
    #[argh(option)]
    pub settings_file: Option<String>,

    /// minimum severity of log lines: error, warning, info (default), debug or trace
    #[argh(option)]
    pub log_level: Option<settings::LogLevel>,
}

/// Submits, shows and changes jobs.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "job")]
pub struct Job {
    /// subcommand to run
    #[argh(subcommand)]
    pub action: JobAction,
}

/// Subcommand of `job`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum JobAction {
    /// Submits a job.
    Submit(JobSubmit),
    /// Lists jobs.
    List(JobList),
    /// Shows one job.
    Show(JobShow),
    /// Cancels a job.
    Cancel(JobCancel),
    /// Waits until a job has ended.
    Wait(JobWait),
    /// Puts a job back in the queue.
    Retry(JobRetry),
}

/// Submits the job described in a job file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "submit")]
pub struct JobSubmit {
    /// job file, see docs/operators/job-file.md
    #[argh(positional)]
    pub file: PathBuf,

    /// identifier of this command; generated and shown if not given
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

/// Shows a job, its tasks, and why tasks are waiting.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "show")]
pub struct JobShow {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,
}

/// Cancels a job.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cancel")]
pub struct JobCancel {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,

    /// identifier of this command; generated and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision of the job that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Waits until a job has ended; the exit code shows its outcome.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "wait")]
pub struct JobWait {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,

    /// maximum time to wait, in seconds; no limit if not given
    #[argh(option)]
    pub timeout_s: Option<u64>,
}

/// Puts a parked or failed job back in the queue.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "retry")]
pub struct JobRetry {
    /// identifier of the job
    #[argh(positional)]
    pub job: String,

    /// identifier of this command; generated and shown if not given
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
    /// subcommand to run
    #[argh(subcommand)]
    pub action: WorkerAction,
}

/// Subcommand of `worker`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum WorkerAction {
    /// Lists workers.
    List(WorkerList),
    /// Marks a worker as leaving.
    Drain(WorkerDrain),
    /// Removes the mark of a worker as leaving.
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
    /// identifier of the worker
    #[argh(positional)]
    pub worker: String,

    /// identifier of this command; generated and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// revision that this command is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Removes the mark of a worker as leaving.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "undrain")]
pub struct WorkerUndrain {
    /// identifier of the worker
    #[argh(positional)]
    pub worker: String,

    /// identifier of this command; generated and shown if not given
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
    /// subcommand to run
    #[argh(subcommand)]
    pub action: ConfigAction,
}

/// Subcommand of `config`.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum ConfigAction {
    /// Shows the configuration in force.
    Get(ConfigGet),
    /// Applies a new version.
    Apply(ConfigApply),
    /// Lists versions.
    History(ConfigHistory),
}

/// Shows the configuration in force on the entry host that answers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "get")]
pub struct ConfigGet {}

/// Applies the configuration in a file.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "apply")]
pub struct ConfigApply {
    /// configuration file (TOML)
    #[argh(positional)]
    pub file: PathBuf,

    /// check the configuration and show the differences, without applying it
    #[argh(switch)]
    pub dry_run: bool,

    /// identifier of this command; generated and shown if not given
    #[argh(option)]
    pub command_id: Option<String>,

    /// version that this change is based on
    #[argh(option)]
    pub based_on: Option<u64>,
}

/// Lists versions of the configuration, and the entry hosts on which each is in force.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "history")]
pub struct ConfigHistory {
    /// maximum number of versions to list (default 20)
    #[argh(option, default = "20")]
    pub limit: u32,
}

/// Shows the state of the cell as one entry host sees it.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "status")]
pub struct Status {
    /// also list commands since this time, such as 8h or 2026-12-03T06:00:00Z, for the next shift
    #[argh(option)]
    pub handover: Option<String>,
}

/// Shows the events of an entry host.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "events")]
pub struct Events {
    /// keep showing events until interrupted; without it, end after a second without events
    #[argh(switch)]
    pub follow: bool,

    /// show only events after this sequence number
    #[argh(option)]
    pub after: Option<u64>,
}

/// Moves common options in front of the command, where `argh` expects them.
///
/// Arguments after `--` are not moved.
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
