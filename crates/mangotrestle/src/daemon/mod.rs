//! The daemon of an entry host: wires control, traffic, peers and the platform together.

use displaydoc::Display;
use tokio::sync::watch;

use crate::settings;

/// Why the daemon ended.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {0}
    Listen(String),
}

impl std::error::Error for DaemonError {}

/// Runs an entry host until `shutdown` turns true.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start or cannot go on.
pub async fn run(
    settings: settings::Settings,
    logger: slog::Logger,
    mut shutdown: watch::Receiver<bool>,
) -> Result<(), DaemonError> {
    slog::info!(logger, "daemon.started"; "entry_host" => settings.entry_host.as_str());
    let _ = shutdown.wait_for(|stop| *stop).await;
    slog::info!(logger, "daemon.stopped"; "entry_host" => settings.entry_host.as_str());
    Ok(())
}
