//! Polls for new configuration versions and fetches them from the store or, while it is
//! unreachable, from peers.

use std::sync::Arc;

use mangotrestle_peer::message;
use mangotrestle_platform::configuration_store;

use super::context;
use super::control::event;

/// Polls the store for the latest version at jittered intervals and reports it.
pub(super) async fn poll(context: Arc<context::Context>) {
    let interval = context.settings.config_poll_interval_ms.as_duration();
    loop {
        if let Ok(version) = context.platform.configurations.head().await {
            context.report(event::ControlEvent::ConfigVersionSeen { version });
        }
        tokio::time::sleep(interval.mul_f64(super::jitter_factor())).await;
    }
}

/// Fetches the wanted version from the store or, if that fails, any version newer than `held` from
/// a peer. Reports the result.
pub(super) async fn fetch(
    context: Arc<context::Context>,
    held: configuration_store::Versioned,
    wanted_version: u64,
    peers: Vec<mangotrestle_peer::PeerClient>,
) {
    let fetched = match context
        .platform
        .configurations
        .fetch(&held, wanted_version)
        .await
    {
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

/// Returns the first newer configuration that a peer answers with.
async fn fetch_from_peers(
    peers: &[mangotrestle_peer::PeerClient],
    held_version: u64,
) -> Option<configuration_store::Versioned> {
    for peer in peers {
        let Ok(answer) = peer
            .config(message::ConfigRequest { held: held_version })
            .await
        else {
            continue;
        };
        let document = answer
            .document
            .and_then(|value| serde_json::from_value(value).ok());
        if let Some(document) = document
            && answer.version > held_version
        {
            return Some(configuration_store::Versioned {
                version: answer.version,
                document,
            });
        }
    }
    None
}
