//! `mangotrestle host`: runs a host on the users' platform until it receives SIGTERM.

use mangotrestle_core::result_code::ResultCode;
use mangotrestle_users_platform::settings as platform;

use super::arguments;
use super::exit_code::ExitCode;
use crate::host;
use crate::logging;
use crate::settings;

/// Runs `mangotrestle host`.
pub(super) fn run(arguments: &arguments::Host, environment: &[(String, String)]) -> ExitCode {
    let path = settings_path(arguments, environment);
    let level = arguments
        .log_level
        .unwrap_or(settings::LogLevel(slog::Level::Info));
    let (logger, guard) = match logging::start(level, settings::LogOutput::Stdout) {
        Ok(started) => started,
        Err(error) => {
            eprintln!("mangotrestle: the log cannot be started: {error}");
            return ExitCode::Internal;
        }
    };
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => {
            let result = runtime.block_on(host::run(&path, logger.clone()));
            // The host has already waited its grace period for work in flight, so remaining tasks
            // are dropped without waiting.
            runtime.shutdown_background();
            result.map_err(|error| error.to_string())
        }
        Err(error) => Err(error.to_string()),
    };
    let code = match result {
        Ok(()) => ExitCode::Ok,
        Err(problem) => {
            slog::crit!(logger, "host.failed"; "error" => &problem);
            eprintln!("mangotrestle: {}: {problem}", ResultCode::InvalidSettings);
            ExitCode::Usage
        }
    };
    drop(logger);
    drop(guard);
    code
}

fn settings_path(arguments: &arguments::Host, environment: &[(String, String)]) -> String {
    if let Some(path) = &arguments.settings_file {
        return path.clone();
    }
    let variable = environment
        .iter()
        .find(|(name, _)| name == platform::PATH_VARIABLE);
    variable.map_or_else(
        || platform::DEFAULT_PATH.to_owned(),
        |(_, path)| path.clone(),
    )
}
