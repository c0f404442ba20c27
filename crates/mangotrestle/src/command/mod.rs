//! The command line: operators' commands, and the commands that run the daemon or a host.
//!
//! Results go to the standard output, as tables or as one JSON value per line; everything else goes
//! to the standard error output. The process ends with an [`ExitCode`].

use std::future;

use argh::FromArgs;

mod arguments;
mod config;
mod events;
mod exit_code;
mod host;
mod job;
mod serve;
mod session;
mod status;
mod table;
mod worker;

pub use arguments::Arguments;
pub use exit_code::ExitCode;

use arguments::Command;
use session::{Failure, Session};

/// Parses the command line, runs the command, and returns the exit code of the process.
///
/// `arguments` doesn't include the program's name.
#[must_use]
pub fn main(arguments: &[String], environment: &[(String, String)]) -> ExitCode {
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    let arguments = arguments::hoist_common_options(&arguments);
    let parsed = match Arguments::from_args(&["mangotrestle"], &arguments) {
        Ok(parsed) => parsed,
        Err(exit) => return show_early_exit(&exit),
    };
    if let Command::Serve(serve) = &parsed.command {
        return serve::run(serve, environment);
    }
    if let Command::Host(arguments) = &parsed.command {
        return host::run(arguments, environment);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("mangotrestle: the async runtime cannot be started: {error}");
            return ExitCode::Internal;
        }
    };
    let output = parsed.output;
    match runtime.block_on(run(&parsed, environment)) {
        Ok(code) => code,
        Err(failure) => {
            Session::show_failure(output, &failure);
            failure.exit_code
        }
    }
}

/// Prints the requested help, or the error in the command line.
fn show_early_exit(exit: &argh::EarlyExit) -> ExitCode {
    if exit.status.is_ok() {
        println!("{}", exit.output);
        return ExitCode::Ok;
    }
    eprintln!("mangotrestle: {}", exit.output.trim_end());
    eprintln!("Run mangotrestle --help for the commands.");
    ExitCode::Usage
}

async fn run(arguments: &Arguments, environment: &[(String, String)]) -> Result<ExitCode, Failure> {
    let variable = |name: &str| {
        let found = environment.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.clone())
    };
    let mut session = Session::open(arguments, variable)?;
    let command = async {
        match &arguments.command {
            Command::Job(job) => job::run(&mut session, &job.action).await,
            Command::Worker(worker) => worker::run(&mut session, &worker.action).await,
            Command::Config(config) => config::run(&mut session, &config.action).await,
            Command::Status(status) => status::run(&mut session, status).await,
            Command::Events(events) => events::run(&mut session, events).await,
            // `main` handles both before it calls this function.
            Command::Serve(_) | Command::Host(_) => future::pending().await,
        }
    };
    command.await
}
