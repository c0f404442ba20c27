//! Calls between hosts that share work on the users' platform.
//!
//! Every call may be lost, late or repeated: what has to last was written to the store before. A
//! peer that does not answer costs time and nothing else.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use mangotrestle_core::id;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::JobRecord;
use serde::{Deserialize, Serialize};

use crate::PeerError;
use crate::cell_rpc::{CellRpcClient, CellRpcServer};

/// Most connections that a server holds at once: a few for each of some hundred hosts.
const MAX_CONNECTIONS: u32 = 1_024;
/// Greatest message, in bytes: a relayed transaction of the store's largest size, encoded.
const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;

/// Tells a leader of a job that is durably accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submitted {
    /// The pool.
    pub pool: String,
    /// The job.
    pub job: id::JobId,
    /// What was accepted.
    pub record: JobRecord,
    /// Version of its row.
    pub version: u64,
}

/// Asks a leader to make a job durable.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// The pool.
    pub pool: String,
    /// The job.
    pub job: id::JobId,
    /// What was submitted.
    pub record: JobRecord,
}

/// What became of a submitted job.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// Durably accepted now.
    Accepted {
        /// Version of its row.
        version: u64,
    },
    /// Accepted earlier.
    Known,
    /// Certainly not accepted.
    NotAccepted(String),
    /// It may have been accepted.
    Unknown(String),
    /// The host does not lead the pool and has done nothing.
    NotLeading,
}

/// Names a job of a pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobName {
    /// The pool.
    pub pool: String,
    /// The job.
    pub job: id::JobId,
}

/// What a leader knows of a job.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobStateAnswer {
    /// The host does not lead the pool.
    NotLeading,
    /// The leader does not have the job; the store may.
    NotKnown,
    /// The job's state.
    State(JobState),
}

/// Asks a peer to ask which workers may run a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// The step.
    pub step: String,
    /// The workers.
    pub workers: Vec<id::WorkerId>,
    /// Time for the answer, in milliseconds.
    pub within_ms: u64,
}

/// Answer to a question: allowed workers with their tickets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Advice {
    /// The workers that may run the step.
    pub good: Vec<(id::WorkerId, String)>,
    /// How long the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// What a host does for others of its cell.
pub trait CellBackend: Send + Sync + 'static {
    /// Makes a job durable in the pool that the host leads.
    fn accept(&self, submission: Submission) -> impl Future<Output = Acceptance> + Send;

    /// Takes notice of a job that is durably accepted; says whether it leads the pool.
    fn submitted(&self, submitted: Submitted) -> impl Future<Output = bool> + Send;

    /// Takes notice of a cancel that is durably accepted; says whether it leads the pool.
    fn cancelled(&self, name: JobName) -> impl Future<Output = bool> + Send;

    /// Says whether it leads a pool.
    fn leads(&self, pool: String) -> impl Future<Output = bool> + Send;

    /// Says what it knows of a job.
    fn state(&self, name: JobName) -> impl Future<Output = JobStateAnswer> + Send;

    /// Asks for tickets; `None` if the service refused or did not answer.
    fn ask(&self, question: AdviceRequest) -> impl Future<Output = Option<Advice>> + Send;

    /// Passes a call on to the store; question and answer are the hosts' own types.
    fn relay(&self, call: serde_json::Value) -> impl Future<Output = serde_json::Value> + Send;

    /// Takes notice that a pool has no leader any more.
    fn released(&self, pool: String) -> impl Future<Output = ()> + Send;
}

struct Adapter<B> {
    backend: Arc<B>,
}

#[async_trait]
impl<B: CellBackend> CellRpcServer for Adapter<B> {
    async fn accept(&self, message: Submission) -> RpcResult<Acceptance> {
        Ok(self.backend.accept(message).await)
    }

    async fn submitted(&self, message: Submitted) -> RpcResult<bool> {
        Ok(self.backend.submitted(message).await)
    }

    async fn cancelled(&self, message: JobName) -> RpcResult<bool> {
        Ok(self.backend.cancelled(message).await)
    }

    async fn leads(&self, pool: String) -> RpcResult<bool> {
        Ok(self.backend.leads(pool).await)
    }

    async fn state(&self, message: JobName) -> RpcResult<JobStateAnswer> {
        Ok(self.backend.state(message).await)
    }

    async fn ask(&self, message: AdviceRequest) -> RpcResult<Option<Advice>> {
        Ok(self.backend.ask(message).await)
    }

    async fn relay(&self, message: serde_json::Value) -> RpcResult<serde_json::Value> {
        Ok(self.backend.relay(message).await)
    }

    async fn released(&self, pool: String) -> RpcResult<()> {
        self.backend.released(pool).await;
        Ok(())
    }
}

/// Serves a backend to the hosts of the cell until the handle is stopped.
///
/// # Errors
///
/// If the address cannot be listened on.
pub async fn serve<B: CellBackend>(
    address: SocketAddr,
    backend: Arc<B>,
) -> std::io::Result<ServerHandle> {
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .http_only()
        .build();
    let server = Server::builder().set_config(config).build(address).await?;
    Ok(server.start(Adapter { backend }.into_rpc()))
}

/// Client of one host of the cell; connections are kept alive and shared by clones.
#[derive(Clone, Debug)]
pub struct CellClient {
    client: HttpClient,
}

impl CellClient {
    /// A client of the host at this address.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] if the client cannot be set up.
    pub fn new(address: SocketAddr, timeout: Duration) -> Result<Self, PeerError> {
        let client = HttpClientBuilder::default()
            .max_request_size(MAX_MESSAGE_BYTES)
            .max_response_size(MAX_MESSAGE_BYTES)
            .request_timeout(timeout)
            .build(format!("http://{address}"))
            .map_err(no_answer)?;
        Ok(Self { client })
    }

    /// Asks the leader to make a job durable.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the job may have been accepted.
    pub async fn accept(&self, submission: Submission) -> Result<Acceptance, PeerError> {
        self.client.accept(submission).await.map_err(no_answer)
    }

    /// Tells the leader of a job that is durably accepted.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the leader then finds the job in the store.
    pub async fn submitted(&self, message: Submitted) -> Result<bool, PeerError> {
        self.client.submitted(message).await.map_err(no_answer)
    }

    /// Tells the leader of a cancel that is durably accepted.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the leader then finds the cancel in the store.
    pub async fn cancelled(&self, name: JobName) -> Result<bool, PeerError> {
        self.client.cancelled(name).await.map_err(no_answer)
    }

    /// Asks the host whether it leads a pool.
    ///
    /// # Errors
    ///
    /// [`PeerError`].
    pub async fn leads(&self, pool: String) -> Result<bool, PeerError> {
        self.client.leads(pool).await.map_err(no_answer)
    }

    /// Asks the leader for a job's state.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the store then has to be asked.
    pub async fn state(&self, name: JobName) -> Result<JobStateAnswer, PeerError> {
        self.client.state(name).await.map_err(no_answer)
    }

    /// Has tickets asked for by this host.
    ///
    /// # Errors
    ///
    /// [`PeerError`].
    pub async fn ask(&self, question: AdviceRequest) -> Result<Option<Advice>, PeerError> {
        self.client.ask(question).await.map_err(no_answer)
    }

    /// Has a call passed on to the store.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the call may have been carried out.
    pub async fn relay(&self, call: serde_json::Value) -> Result<serde_json::Value, PeerError> {
        self.client.relay(call).await.map_err(no_answer)
    }

    /// Tells the host that a pool has no leader any more.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the host then sees it in the store.
    pub async fn released(&self, pool: String) -> Result<(), PeerError> {
        self.client.released(pool).await.map_err(no_answer)
    }
}

#[allow(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn no_answer(error: ClientError) -> PeerError {
    PeerError::NoAnswer(error.to_string())
}
