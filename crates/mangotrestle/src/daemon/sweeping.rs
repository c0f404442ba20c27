//! Deletes expired rows of the table, page by page.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_platform::sweep;

use super::context;

/// Interval between pages. All entry hosts sweep the same table, which is safe because deleting a
/// row twice has no effect.
const SWEEP_INTERVAL: Duration = Duration::from_secs(15);

/// Sweeps one page per interval for as long as the process runs.
pub(super) async fn run(context: Arc<context::Context>) {
    let mut sweeper = sweep::Sweeper::new(context.platform.table.clone());
    loop {
        tokio::time::sleep(SWEEP_INTERVAL.mul_f64(super::jitter_factor())).await;
        if let Err(error) = sweeper.step(context.clock.wall()).await {
            slog::debug!(context.log, "sweep.failed"; "error" => %error);
        }
    }
}
