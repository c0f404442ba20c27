//! Calls a peer.

use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use jsonrpsee::core::ClientError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use mangotrestle_core::result_code;

use crate::message;
use crate::server::PeerRpcClient;

/// Timeout of a call, in addition to the time for which the peer may delay its answer.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum time for which a peer is asked to delay an answer.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Why a call gave no result.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum PeerError {
    /// the peer did not answer: {0}
    NoAnswer(String),
    /// the peer refused the call: {0}
    Refused(result_code::ResultCode),
    /// the peer does not understand the call: {0}
    NotUnderstood(String),
}

impl std::error::Error for PeerError {}

/// Client of one peer; connections are kept alive and shared by clones.
#[derive(Clone, Debug)]
pub struct PeerClient {
    calls: HttpClient,
    /// Client for calls whose answer the peer may delay; their timeout is longer.
    long_calls: HttpClient,
}

impl PeerClient {
    /// Creates a client of the peer at an address, with a timeout of 2 s.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] if the client cannot be set up.
    pub fn new(address: SocketAddr) -> Result<Self, PeerError> {
        Self::with_timeout(address, DEFAULT_TIMEOUT)
    }

    /// Creates a client of the peer at an address, with a timeout for each call.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] if the client cannot be set up.
    pub fn with_timeout(address: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        Ok(Self {
            calls: build(address, timeout)?,
            long_calls: build(address, timeout + MAX_WAIT)?,
        })
    }

    /// Sends a heartbeat and returns the peer's own.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the failure detector handles missing answers.
    pub async fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> Result<message::Heartbeat, PeerError> {
        self.calls.heartbeat(heartbeat).await.map_err(classify)
    }

    /// Fetches the configuration that the peer has in force.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the peer did not answer, or refused or did not understand the call.
    pub async fn config(
        &self,
        request: message::ConfigRequest,
    ) -> Result<message::ConfigAnswer, PeerError> {
        self.calls.config(request).await.map_err(classify)
    }

    /// Fetches the targets of a pool from its leader.
    ///
    /// # Errors
    ///
    /// [`PeerError::Refused`] with [`NotLeader`](result_code::ResultCode::NotLeader) if the peer
    /// does not lead the pool.
    pub async fn routes(
        &self,
        mut request: message::RoutesRequest,
    ) -> Result<message::RoutesAnswer, PeerError> {
        let max_wait_ms = u64::try_from(MAX_WAIT.as_millis()).unwrap_or(u64::MAX);
        request.wait_ms.0 = request.wait_ms.0.min(max_wait_ms);
        self.long_calls.routes(request).await.map_err(classify)
    }

    /// Notifies a pool's leader that its inbox has a new row.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the leader then finds the row at its next poll.
    pub async fn inbox_changed(&self, notice: message::InboxNotice) -> Result<(), PeerError> {
        self.calls.inbox_changed(notice).await.map_err(classify)
    }

    /// Forwards an operator's query to the peer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the peer did not answer, or refused or did not understand the call.
    pub async fn query(&self, question: serde_json::Value) -> Result<serde_json::Value, PeerError> {
        self.calls.query(question).await.map_err(classify)
    }
}

fn build(address: SocketAddr, timeout: Duration) -> Result<HttpClient, PeerError> {
    HttpClientBuilder::default()
        .max_request_size(message::MAX_REQUEST_BYTES)
        .max_response_size(message::MAX_ANSWER_BYTES)
        .request_timeout(timeout)
        .build(format!("http://{address}"))
        .map_err(classify)
}

fn classify(error: ClientError) -> PeerError {
    match error {
        ClientError::Call(object) => {
            let number = u16::try_from(object.code()).ok();
            number
                .and_then(result_code::ResultCode::from_number)
                .map_or_else(
                    || PeerError::NotUnderstood(object.message().to_owned()),
                    PeerError::Refused,
                )
        }
        ClientError::ParseError(error) => PeerError::NotUnderstood(error.to_string()),
        other => PeerError::NoAnswer(other.to_string()),
    }
}
