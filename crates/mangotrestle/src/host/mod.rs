//! A host on the users' platform: it accepts callers' jobs and sends orders to workers. All durable
//! state is in the platform's store.
//!
//! All hosts run the same process; together they form a cell. Each accepts jobs and makes them
//! durable in the store, and each asks the advice service for tickets when a leader spreads its
//! requests over the hosts. Any host may lead a pool: the leader is the host that holds the pool's
//! leadership row in the store. The modules:
//!
//! - `clock`: the monotonic clock, and a wall clock without jumps;
//! - `names`: the names of the system's own tables and rows;
//! - `access`: the direct path to the store, transactions, and calls relayed by peers; `reads`: reads
//!   that are sent again over another path when they are overdue; `store_connections`: the open
//!   connections;
//! - `cell`: the state of the process, with what it knows of the cell's hosts and pools;
//! - `front`: the server for callers; `jobs` has their jobs accepted, finds and cancels them in
//!   whatever pool they are; `acceptor` makes jobs durable without a leader;
//! - `dividing`: divides services into pools;
//! - `feeds`: follows the configuration and the rows of hosts and leaderships;
//! - `leader`: leads a pool, in modules of its own; `pacing` spaces out its rounds; `orders` sends the
//!   pool's orders;
//! - `repeating` sends a call to a worker again that is not answered in the usual time;
//! - `liveness`: finds out whether a worker that does not answer has ended;
//! - `peers`: the server for the other hosts;
//! - `memory`: the memory of the process, by which a leader admits jobs;
//! - `load`: measures what the process spends its time on, and how late it is;
//! - `events`: log events and metrics.

use std::sync::Arc;
use std::time::Duration;

use axum::response::IntoResponse;
use displaydoc::Display;
use http::{Request, StatusCode};
use mangotrestle_core::workflow::environment::HostSettings;
use mangotrestle_core::workflow::intake_shares::{
    IntakeShares, PEER_RECEIVE_BUFFER_BYTES, RECEIVE_BUFFER_BYTES,
};
use mangotrestle_http::Server;
use mangotrestle_http::body::RequestBody;
use mangotrestle_users_platform::settings;
use tokio::signal::unix;

mod acceptor;
mod access;
mod cell;
mod clock;
mod dividing;
mod events;
mod feeds;
mod front;
mod homes;
mod jobs;
mod leader;
mod liveness;
mod load;
mod memory;
mod names;
mod orders;
mod pacing;
mod peers;
mod reads;
mod repeating;
mod store_connections;

use cell::Cell;

use crate::telemetry;

/// Share of the platform's grace period that a planned stop may take.
const STOP_TIME_SHARE: f64 = 0.75;
/// Time after a planned stop begins in which the load balancer may still send new callers: two
/// readiness checks, one second apart, and a margin.
const BALANCER_DRAIN_TIME: Duration = Duration::from_millis(2_300);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Why a host cannot run.
#[derive(Debug, Display)]
pub enum HostError {
    /// {0}
    Settings(settings::SettingsError),
    /// cannot listen for {what} at {address}: {error}
    Listen {
        /// What the listener is for.
        what: &'static str,
        /// The address to listen on.
        address: std::net::SocketAddr,
        /// Why binding failed.
        error: std::io::Error,
    },
    /// signals cannot be received: {0}
    Signals(std::io::Error),
}

impl std::error::Error for HostError {}

/// Runs a host until it receives SIGTERM.
///
/// # Errors
///
/// [`HostError`] if the settings are not usable, an address cannot be bound or signals cannot be
/// received.
pub async fn run(settings_path: &str, log: slog::Logger) -> Result<(), HostError> {
    let settings = settings::read(settings_path).map_err(HostError::Settings)?;
    let mut terminate = unix::signal(unix::SignalKind::terminate()).map_err(HostError::Signals)?;
    let mut hangup = unix::signal(unix::SignalKind::hangup()).map_err(HostError::Signals)?;
    events::started(&log, &settings);
    let cell = Arc::new(Cell::new(settings.clone(), log.clone()));
    let peer_listener = listen("peers", settings.peer, PEER_RECEIVE_BUFFER_BYTES, &log).await?;
    let (stop_peers, peers_stopping) = tokio::sync::watch::channel(false);
    tokio::spawn(peers::serve(
        Arc::clone(&cell),
        peer_listener,
        peers_stopping,
    ));
    let readiness_listener =
        listen("readiness", settings.readiness, RECEIVE_BUFFER_BYTES, &log).await?;
    let caller_listener = listen("callers", settings.front, RECEIVE_BUFFER_BYTES, &log).await?;
    serve_metrics(&settings, &log).await;
    let (stop_sender, stop_receiver) = tokio::sync::watch::channel(false);
    tokio::spawn(front::serve_readiness(
        Arc::clone(&cell),
        readiness_listener,
    ));
    let caller_server = tokio::spawn(front::serve(
        Arc::clone(&cell),
        caller_listener,
        stop_receiver,
    ));
    tokio::spawn(load::watch(Arc::clone(&cell)));
    feeds::supervise(&cell, "configuration", feeds::follow_configuration);
    feeds::supervise(&cell, "cell", feeds::follow_cell);
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = hangup.recv() => reload(settings_path, &settings, &log),
        }
    }
    events::stopping(&log);
    cell.begin_stop();
    leader::release_all(&cell).await;
    let stop_timeout = settings
        .bounds
        .stop_grace
        .as_duration()
        .mul_f64(STOP_TIME_SHARE);
    tokio::time::sleep(BALANCER_DRAIN_TIME.min(stop_timeout)).await;
    // Fails only if the server has already ended and dropped the receiver.
    let _ = stop_sender.send(true);
    let remaining = stop_timeout.saturating_sub(BALANCER_DRAIN_TIME);
    let all_answered = tokio::time::timeout(remaining, caller_server).await.is_ok();
    // Fails only if the server has already stopped.
    let _ = stop_peers.send(true);
    events::stopped(&log, all_answered);
    Ok(())
}

async fn listen(
    what: &'static str,
    address: std::net::SocketAddr,
    receive_buffer_bytes: usize,
    log: &slog::Logger,
) -> Result<tokio::net::TcpListener, HostError> {
    let listener = tokio::net::TcpListener::bind(address)
        .await
        .map_err(|error| HostError::Listen {
            what,
            address,
            error,
        })?;
    let limited = mangotrestle_http::limit_receive_buffers(&listener, receive_buffer_bytes);
    if let Err(error) = limited {
        slog::warn!(log, "listener.receive_buffers_kept"; "listener" => what, "error" => %error);
    }
    Ok(listener)
}

/// Serves metrics. A failure is only logged: a host without metrics still serves its callers.
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
    let listener = match listen("metrics", address, RECEIVE_BUFFER_BYTES, log).await {
        Ok(listener) => listener,
        Err(error) => {
            slog::warn!(log, "metrics.unavailable"; "error" => %error);
            return;
        }
    };
    let server = Server::builder("metrics", IntakeShares::of(settings).observers)
        .log(log.clone())
        .build();
    let handler = move |request: Request<RequestBody>| {
        let response = match request.uri().path() {
            METRICS_PATH => recorder.render().into_response(),
            _ => StatusCode::NOT_FOUND.into_response(),
        };
        std::future::ready(response)
    };
    tokio::spawn(async move {
        // The server runs until the process ends.
        let (_stop, stopping) = tokio::sync::watch::channel(false);
        server.serve(listener, handler, stopping).await;
    });
}

/// Reads the settings again and logs whether they changed. Changes take effect at the next start of
/// the process.
fn reload(path: &str, current: &HostSettings, log: &slog::Logger) {
    match settings::read(path) {
        Ok(new_settings) => {
            let unchanged = new_settings == *current;
            slog::info!(log, "settings.reloaded"; "unchanged" => unchanged);
        }
        Err(error) => slog::warn!(log, "settings.kept"; "error" => %error),
    }
}
