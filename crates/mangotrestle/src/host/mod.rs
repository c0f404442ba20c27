//! A host on the users' platform: callers' jobs in, orders to workers out, nothing kept.
//!
//! All hosts run the same process. Each takes jobs and makes them durable in the store; each asks
//! for tickets when a leader spreads the questions; and each may lead a pool, which is whoever
//! holds the pool's row in the store. The parts:
//!
//! - `clock` gives the steady clock and the time of day;
//! - `names` names the tables and rows of the system's own;
//! - `access` calls the store, by way of a peer where the direct way is closed;
//! - `cell` is what all parts of the process share;
//! - `front` answers callers, `acceptor` makes their jobs durable;
//! - `feeds` follows the configuration and the cell's rows;
//! - `leader` leads a pool, `orders` carries out what it orders;
//! - `liveness` finds out whether a worker that does not answer is at its end;
//! - `peers` serves and calls the other hosts;
//! - `events` writes the log.

use std::sync::Arc;
use std::time::Duration;

use displaydoc::Display;
use mangotrestle_core::workflow::environment::HostSettings;
use mangotrestle_users_platform::settings;
use tokio::signal::unix;

mod acceptor;
mod access;
mod cell;
mod clock;
mod events;
mod feeds;
mod front;
mod leader;
mod liveness;
mod names;
mod orders;
mod peers;

use cell::Cell;

use crate::telemetry;

/// Part of the time before a process is ended that a planned stop may take.
const STOP_PART: f64 = 0.75;
/// Time after a planned stop begins in which the balancer still sends new callers: two looks of
/// one second each, and a margin.
const TURNED_AWAY_AFTER: Duration = Duration::from_millis(2_300);

/// Why a host cannot run.
#[derive(Debug, Display)]
pub enum HostError {
    /// {0}
    Settings(settings::SettingsError),
    /// {what} cannot be listened on at {address}: {error}
    Listen {
        /// What it is for.
        what: &'static str,
        /// The address.
        address: std::net::SocketAddr,
        /// Why not.
        error: std::io::Error,
    },
    /// signals cannot be received: {0}
    Signals(std::io::Error),
}

impl std::error::Error for HostError {}

/// Runs a host until it is told to stop.
///
/// # Errors
///
/// [`HostError`] if it cannot start.
pub async fn run(settings_path: &str, log: slog::Logger) -> Result<(), HostError> {
    let settings = settings::read(settings_path).map_err(HostError::Settings)?;
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(HostError::Signals)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).map_err(HostError::Signals)?;
    events::started(&log, &settings);
    let cell = Arc::new(Cell::new(settings.clone(), log.clone()));
    let peer_server = peers::serve(&cell)
        .await
        .map_err(|error| HostError::Listen {
            what: "peers",
            address: settings.peer,
            error,
        })?;
    let readiness = listen("readiness", settings.readiness).await?;
    let front = listen("callers", settings.front).await?;
    serve_metrics(&settings, &log).await;
    let (stop, stopped) = tokio::sync::watch::channel(false);
    tokio::spawn(front::serve_readiness(Arc::clone(&cell), readiness));
    let callers = tokio::spawn(front::serve(Arc::clone(&cell), front, stopped));
    tokio::spawn(feeds::follow_configuration(Arc::clone(&cell)));
    tokio::spawn(feeds::follow_cell(Arc::clone(&cell)));
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(settings_path, &settings, &log),
        }
    }
    events::stopping(&log);
    cell.begin_stop();
    leader::release_all(&cell).await;
    let allowed = settings.bounds.stop_grace.as_duration().mul_f64(STOP_PART);
    tokio::time::sleep(TURNED_AWAY_AFTER.min(allowed)).await;
    // The receiver ends with the server.
    let _ = stop.send(true);
    let rest = allowed.saturating_sub(TURNED_AWAY_AFTER);
    let finished = tokio::time::timeout(rest, callers).await.is_ok();
    // A server that has stopped already is what was asked for.
    let _ = peer_server.stop();
    events::stopped(&log, finished);
    Ok(())
}

async fn listen(
    what: &'static str,
    address: std::net::SocketAddr,
) -> Result<tokio::net::TcpListener, HostError> {
    tokio::net::TcpListener::bind(address)
        .await
        .map_err(|error| HostError::Listen {
            what,
            address,
            error,
        })
}

/// Serves metrics; a host without them still serves its callers.
async fn serve_metrics(settings: &HostSettings, log: &slog::Logger) {
    let Some(address) = settings.metrics else {
        return;
    };
    let recorder = match telemetry::recorder() {
        Ok(recorder) => recorder,
        Err(error) => {
            slog::warn!(log, "metrics.unavailable"; "error" => %error);
            return;
        }
    };
    match tokio::net::TcpListener::bind(address).await {
        Ok(listener) => {
            tokio::spawn(async move {
                let routes = axum::Router::new().route(
                    "/metrics",
                    axum::routing::get(move || async move { recorder.render() }),
                );
                axum::serve(listener, routes).await
            });
        }
        Err(error) => slog::warn!(log, "metrics.unavailable"; "error" => %error),
    }
}

/// Reads the settings again. Addresses and names hold for the life of the process; what changed is
/// logged and takes effect at the next start.
fn reload(path: &str, present: &HostSettings, log: &slog::Logger) {
    match settings::read(path) {
        Ok(read) => {
            let unchanged = read == *present;
            slog::info!(log, "settings.reloaded"; "unchanged" => unchanged);
        }
        Err(error) => slog::warn!(log, "settings.kept"; "error" => %error),
    }
}
