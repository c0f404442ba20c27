//! Polls the platform's host list.

use std::sync::Arc;

use super::context;
use super::control::event;

/// Fetches the list at jittered intervals and reports it. While it cannot be fetched, the last
/// fetched list stays in use.
pub(super) async fn poll(context: Arc<context::Context>) {
    let interval = context.settings.host_list_poll_interval_ms.as_duration();
    loop {
        match context.platform.hosts.fetch().await {
            Ok(list) => context.report(event::ControlEvent::HostsListed(list)),
            Err(error) => slog::warn!(context.log, "host_list.unavailable"; "error" => %error),
        }
        tokio::time::sleep(interval.mul_f64(super::jitter_factor())).await;
    }
}
