//! Deletes rows of the table that have outlived their use, page by page.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_platform::sweep;

use super::context;

/// Interval between two pages. Every entry host sweeps; deleting a row twice does no harm.
const INTERVAL: Duration = Duration::from_secs(15);

/// Sweeps for as long as the process runs.
pub(super) async fn run(context: Arc<context::Context>) {
    let mut sweeper = sweep::Sweeper::new(context.platform.table.clone());
    loop {
        tokio::time::sleep(INTERVAL.mul_f64(super::jitter())).await;
        if let Err(error) = sweeper.step(context.clock.wall()).await {
            slog::debug!(context.log, "sweep.failed"; "error" => %error);
        }
    }
}
