//! Client of the platform's list of live and leaving hosts. The list lags behind the actual state.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use mangotrestle_core::id;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::transport;

/// Path of the host list.
pub const HOSTS_PATH: &str = "/hosts";

/// Role of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs tasks.
    Worker,
    /// Runs a process of the scheduler.
    Entry,
}

/// State of a host.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host: the identifier of a worker or an entry host.
    pub id: String,
    /// Whether it is a worker or an entry host.
    pub role: Role,
    /// Availability zone of the host.
    pub availability_zone: id::AvailabilityZoneId,
    /// Rack of the host.
    pub rack: id::RackId,
    /// Address, `ip:port`, of a worker's lease protocol or an entry host's peer port.
    pub address: std::net::SocketAddr,
    /// Whether the host is in service.
    pub state: HostState,
}

/// Answer of the host list service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// All live and leaving hosts.
    pub hosts: Vec<Host>,
}

/// Error when reading the host list.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum HostListError {
    /// the host list is unavailable
    Unavailable,
    /// malformed host list: {0}
    Malformed(String),
}

impl std::error::Error for HostListError {}

/// Client of the host list. It doesn't retry: the caller keeps the last valid list and polls again.
#[derive(Clone)]
pub struct HostListClient {
    transport: Arc<dyn transport::Transport>,
    deadline: Duration,
}

impl HostListClient {
    /// Creates a client with a timeout of 2 s.
    #[must_use]
    pub fn new(transport: Arc<dyn transport::Transport>) -> Self {
        Self {
            transport,
            deadline: Duration::from_secs(2),
        }
    }

    /// Creates a client for the service at an address.
    #[must_use]
    pub fn at(address: std::net::SocketAddr) -> Self {
        Self::new(Arc::new(transport::HttpTransport::new(address)))
    }

    /// Reads the host list.
    ///
    /// # Errors
    ///
    /// [`HostListError`] if there is no complete answer; the caller should then keep its last list.
    pub async fn fetch(&self) -> Result<HostList, HostListError> {
        let request = http::Request::get(HOSTS_PATH)
            .body(Bytes::new())
            .map_err(|_| HostListError::Unavailable)?;
        let sent = timeout(self.deadline, self.transport.send(request)).await;
        let Ok(Ok(response)) = sent else {
            return Err(HostListError::Unavailable);
        };
        if !response.status().is_success() {
            return Err(HostListError::Unavailable);
        }
        serde_json::from_slice(response.body())
            .map_err(|error| HostListError::Malformed(error.to_string()))
    }
}
