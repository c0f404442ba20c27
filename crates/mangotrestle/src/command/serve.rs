//! `mangotrestle serve`: reads the settings and runs the daemon until it receives SIGTERM or
//! SIGINT.

use mangotrestle_core::result_code::ResultCode;
use tokio::signal::unix;
use tokio::sync::watch;

use super::exit_code::ExitCode;
use crate::access;
use crate::daemon;
use crate::logging;
use crate::settings;

/// Runs `mangotrestle serve`.
pub(super) fn run(
    arguments: &settings::ServeArguments,
    environment: &[(String, String)],
) -> ExitCode {
    if arguments.print_settings {
        let effective = settings::effective(arguments, environment);
        print!("{}", settings::render(&effective));
    }
    let settings = match settings::Settings::resolve(arguments, environment) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("mangotrestle: {}: {error}", ResultCode::InvalidSettings);
            return ExitCode::Usage;
        }
    };
    if let Err(error) = access::Access::load(&settings) {
        eprintln!("mangotrestle: {}: {error}", ResultCode::InvalidSettings);
        return ExitCode::Usage;
    }
    if arguments.print_settings {
        return ExitCode::Ok;
    }
    serve(settings)
}

fn serve(settings: settings::Settings) -> ExitCode {
    let (logger, guard) = match logging::start(settings.log_level, settings.log_output) {
        Ok(started) => started,
        Err(error) => {
            eprintln!("mangotrestle: the log cannot be started: {error}");
            return ExitCode::Internal;
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.traffic_threads)
        .enable_all()
        .build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(run_until_stopped(settings, logger.clone())),
        Err(error) => Err(error.to_string()),
    };
    let code = match result {
        Ok(()) => ExitCode::Ok,
        Err(problem) => {
            slog::crit!(logger, "daemon.failed"; "error" => problem);
            ExitCode::Internal
        }
    };
    drop(logger);
    drop(guard);
    code
}

async fn run_until_stopped(
    settings: settings::Settings,
    logger: slog::Logger,
) -> Result<(), String> {
    let (stop, shutdown) = watch::channel(false);
    let mut terminate =
        unix::signal(unix::SignalKind::terminate()).map_err(|error| error.to_string())?;
    let mut interrupt =
        unix::signal(unix::SignalKind::interrupt()).map_err(|error| error.to_string())?;
    let signal_logger = logger.clone();
    tokio::spawn(async move {
        let signal = tokio::select! {
            _ = terminate.recv() => "SIGTERM",
            _ = interrupt.recv() => "SIGINT",
        };
        slog::info!(signal_logger, "daemon.stop_requested"; "signal" => signal);
        let _ = stop.send(true);
        // Keeps `stop` alive: receivers would also take a closed channel for a request to stop.
        std::future::pending::<()>().await;
    });
    daemon::run(settings, logger, shutdown)
        .await
        .map_err(|error| error.to_string())
}
