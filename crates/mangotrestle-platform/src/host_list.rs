//! The platform's list of live and leaving hosts. It lags.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use mangotrestle_core::id;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::transport;

/// Path of the list.
pub const HOSTS_PATH: &str = "/hosts";

/// What a host is for.
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
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Host {
    /// Name of the host, a worker's or an entry host's identifier.
    pub id: String,
    /// What it is for.
    pub role: Role,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Its rack.
    pub rack: id::RackId,
    /// Where it is reached, `ip:port`: a worker's lease protocol or an entry host's peer port.
    pub address: std::net::SocketAddr,
    /// State.
    pub state: HostState,
}

/// Answer of the service.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct HostList {
    /// All hosts.
    pub hosts: Vec<Host>,
}

/// Why the list could not be read.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum HostListError {
    /// the host list is unavailable
    Unavailable,
    /// malformed host list: {0}
    Malformed(String),
}

impl std::error::Error for HostListError {}

/// Client of the host list. It reads once; the caller keeps the last good list and asks again.
#[derive(Clone)]
pub struct HostListClient {
    transport: Arc<dyn transport::Transport>,
    deadline: Duration,
}

impl HostListClient {
    /// A client with a deadline of 2 s.
    #[must_use]
    pub fn new(transport: Arc<dyn transport::Transport>) -> Self {
        Self {
            transport,
            deadline: Duration::from_secs(2),
        }
    }

    /// A client for a service at this address.
    #[must_use]
    pub fn at(address: std::net::SocketAddr) -> Self {
        Self::new(Arc::new(transport::HttpTransport::new(address)))
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// [`HostListError`] when there is no whole answer; keep the last list then.
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
