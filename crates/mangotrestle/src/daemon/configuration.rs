//! Keeps the configuration up to date: looks for new versions, fetches them from the table or,
//! while that cannot be reached, from peers.

use std::sync::Arc;

use mangotrestle_peer::message;
use mangotrestle_platform::configuration_store;

use super::context;
use super::control::event;

/// Looks for a new version at jittered intervals.
pub(super) async fn poll(context: Arc<context::Context>) {
    let interval = context.settings.config_poll_interval_ms.as_duration();
    loop {
        if let Ok(version) = context.platform.configurations.head().await {
            context.report(event::ControlEvent::ConfigVersionSeen { version });
        }
        tokio::time::sleep(interval.mul_f64(super::jitter())).await;
    }
}

/// Fetches a version that is known to exist and reports it.
pub(super) async fn fetch(
    context: Arc<context::Context>,
    held: configuration_store::Versioned,
    wanted: u64,
    peers: Vec<mangotrestle_peer::PeerClient>,
) {
    let fetched = match context.platform.configurations.fetch(&held, wanted).await {
        Ok(fetched) if fetched.version > held.version => Some(fetched),
        _ => fetch_from_peers(&peers, held.version).await,
    };
    context.report(match fetched {
        Some(fetched) => event::ControlEvent::ConfigFetched {
            version: fetched.version,
            document: Arc::new(fetched.document),
        },
        None => event::ControlEvent::ConfigFetchFailed,
    });
}

async fn fetch_from_peers(
    peers: &[mangotrestle_peer::PeerClient],
    held: u64,
) -> Option<configuration_store::Versioned> {
    for peer in peers {
        let Ok(answer) = peer.config(message::ConfigRequest { held }).await else {
            continue;
        };
        let document = answer
            .document
            .and_then(|value| serde_json::from_value(value).ok());
        if let Some(document) = document
            && answer.version > held
        {
            return Some(configuration_store::Versioned {
                version: answer.version,
                document,
            });
        }
    }
    None
}
