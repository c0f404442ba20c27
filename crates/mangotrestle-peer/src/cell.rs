//! Calls between the hosts of one cell on the users' platform (`mangotrestle host`).
//!
//! Every call may be lost, late or repeated: state that must be durable is written to the store
//! first. A peer that does not answer only causes a delay.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jsonrpsee::core::{ClientError, RpcResult, async_trait};
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use mangotrestle_core::id;
use mangotrestle_core::intake::Limits;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_core::workflow::spec::JobRecord;
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::PeerError;
use crate::cell_rpc::{CellRpcClient, CellRpcServer};
use crate::rpc_server::{MessageLimits, Serving};

/// Maximum length of a message, in bytes: a relayed transaction of the store's maximum size,
/// encoded.
const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;

/// Notice to a leader that a job was durably accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submitted {
    /// Pool of the job.
    pub pool: String,
    /// Identifier of the job.
    pub job: id::JobId,
    /// Record of the accepted job.
    pub record: JobRecord,
    /// Version of the job's row in the store.
    pub version: u64,
    /// Version of the configuration by which the job was accepted; zero from hosts that do not say.
    #[serde(default)]
    pub configuration: u64,
}

/// Request to a leader to make a job durable.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Submission {
    /// Pool of the job.
    pub pool: String,
    /// Identifier of the job.
    pub job: id::JobId,
    /// Record of the submitted job.
    pub record: JobRecord,
    /// Version of the configuration that allows the job; zero from hosts that do not say.
    #[serde(default)]
    pub configuration: u64,
}

/// Outcome of a submission.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Acceptance {
    /// The job was durably accepted by this call.
    Accepted {
        /// Version of the job's row in the store.
        version: u64,
    },
    /// The job had been accepted earlier.
    Known,
    /// The job was certainly not accepted; holds the reason.
    NotAccepted(String),
    /// The job may have been accepted; holds the reason.
    Unknown(String),
    /// The host does not lead the pool, and the call had no effect.
    NotLeading,
}

/// Name of a job with its pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobName {
    /// Pool of the job.
    pub pool: String,
    /// Identifier of the job.
    pub job: id::JobId,
    /// Team that asks, and may see its own jobs only; unset if it may see all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub viewer: Option<String>,
}

/// Names of jobs of one pool.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct JobNames {
    /// Pool of the jobs.
    pub pool: String,
    /// Identifiers of the jobs.
    pub jobs: Vec<id::JobId>,
}

/// Answer to a query for a job's state.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum JobStateAnswer {
    /// The host does not lead the pool.
    NotLeading,
    /// The leader does not know the job; the store may have it.
    NotKnown,
    /// The job is another team's.
    Hidden,
    /// State of the job.
    State(JobState),
    /// This pool runs the job, and its leader knows the state.
    HandedOver(String),
}

/// Request to a peer to ask the advice service which workers may run a step.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AdviceRequest {
    /// Name of the step.
    pub step: String,
    /// Workers that the step may be placed on.
    pub workers: Vec<id::WorkerId>,
    /// Timeout for the answer, in milliseconds.
    pub within_ms: u64,
}

/// Answer of the advice service: allowed workers with their tickets.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Advice {
    /// Workers that may run the step, each with its ticket.
    pub good: Vec<(id::WorkerId, String)>,
    /// Time for which the tickets are valid, in milliseconds.
    pub valid_ms: u64,
}

/// Handlers of the calls that a host receives from other hosts of its cell.
pub trait CellBackend: Send + Sync + 'static {
    /// Makes a job durable if this host leads its pool.
    fn accept(&self, submission: Submission) -> impl Future<Output = Acceptance> + Send;

    /// Handles the notice that a job was durably accepted. Returns whether this host leads the
    /// pool.
    fn submitted(&self, submitted: Submitted) -> impl Future<Output = bool> + Send;

    /// Handles the notice that a job's cancellation was durably accepted. Returns whether this host
    /// leads the pool.
    fn cancelled(&self, name: JobName) -> impl Future<Output = bool> + Send;

    /// Returns whether this host leads a pool.
    fn leads(&self, pool: String) -> impl Future<Output = bool> + Send;

    /// Returns the state of a job.
    fn state(&self, name: JobName) -> impl Future<Output = JobStateAnswer> + Send;

    /// Returns the states of jobs, in their order, `None` for each that is not known; `None` for all
    /// if this host does not lead the pool.
    fn states(&self, names: JobNames)
    -> impl Future<Output = Option<Vec<Option<JobState>>>> + Send;

    /// Requests tickets from the advice service. Returns `None` if the service refused or did not
    /// answer.
    fn ask(&self, request: AdviceRequest) -> impl Future<Output = Option<Advice>> + Send;

    /// Passes a call on to the store and returns the answer. The types of both are defined by the
    /// hosts.
    fn relay(&self, call: serde_json::Value) -> impl Future<Output = serde_json::Value> + Send;

    /// Handles the notice that the leader of a pool has released it.
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

    async fn states(&self, message: JobNames) -> RpcResult<Option<Vec<Option<JobState>>>> {
        Ok(self.backend.states(message).await)
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

/// Serves a backend to the hosts of the cell until `stopping` turns true, within the limits of what peers
/// may make the process hold.
pub async fn serve<B: CellBackend>(
    listener: TcpListener,
    backend: Arc<B>,
    limits: Limits,
    log: slog::Logger,
    stopping: watch::Receiver<bool>,
) {
    let serving = Serving {
        listener,
        limits,
        messages: MessageLimits {
            max_request_bytes: MAX_MESSAGE_BYTES,
            max_answer_bytes: MAX_MESSAGE_BYTES,
        },
        log,
        stopping,
    };
    serving.serve(Adapter { backend }.into_rpc()).await;
}

/// Client of one host of the cell; connections are persistent and shared by clones.
#[derive(Clone, Debug)]
pub struct CellClient {
    client: HttpClient,
}

impl CellClient {
    /// Creates a client of the host at an address, with a timeout for each call.
    ///
    /// # Errors
    ///
    /// [`PeerError::NoAnswer`] if the client cannot be created.
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

    /// Notifies the leader that a job was durably accepted. Returns whether the host leads the
    /// pool.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the leader then finds the job in the store.
    pub async fn submitted(&self, message: Submitted) -> Result<bool, PeerError> {
        self.client.submitted(message).await.map_err(no_answer)
    }

    /// Notifies the leader that a job's cancellation was durably accepted. Returns whether the host
    /// leads the pool.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the leader then finds the cancellation in the store.
    pub async fn cancelled(&self, name: JobName) -> Result<bool, PeerError> {
        self.client.cancelled(name).await.map_err(no_answer)
    }

    /// Asks the host whether it leads a pool.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the host did not answer.
    pub async fn leads(&self, pool: String) -> Result<bool, PeerError> {
        self.client.leads(pool).await.map_err(no_answer)
    }

    /// Asks the leader for a job's state.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the state then has to be read from the store.
    pub async fn state(&self, name: JobName) -> Result<JobStateAnswer, PeerError> {
        self.client.state(name).await.map_err(no_answer)
    }

    /// Asks the leader for the states of jobs, in their order. Returns `None` if the host does not
    /// lead the pool.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the host did not answer.
    pub async fn states(
        &self,
        names: JobNames,
    ) -> Result<Option<Vec<Option<JobState>>>, PeerError> {
        self.client.states(names).await.map_err(no_answer)
    }

    /// Asks the host to request tickets from the advice service. Returns `None` if the service
    /// refused or did not answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the host did not answer.
    pub async fn ask(&self, request: AdviceRequest) -> Result<Option<Advice>, PeerError> {
        self.client.ask(request).await.map_err(no_answer)
    }

    /// Asks the host to pass a call on to the store, and returns the store's answer.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the call may have been carried out.
    pub async fn relay(&self, call: serde_json::Value) -> Result<serde_json::Value, PeerError> {
        self.client.relay(call).await.map_err(no_answer)
    }

    /// Notifies the host that the leader of a pool has released it.
    ///
    /// # Errors
    ///
    /// [`PeerError`]; the host then finds out from the store.
    pub async fn released(&self, pool: String) -> Result<(), PeerError> {
        self.client.released(pool).await.map_err(no_answer)
    }
}

#[allow(clippy::needless_pass_by_value, reason = "passed to map_err")]
fn no_answer(error: ClientError) -> PeerError {
    PeerError::NoAnswer(error.to_string())
}
