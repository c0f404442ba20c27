//! Client of the operator interface.
//!
//! The client has a list of entry hosts. When a host is unreachable, a query is sent to the next
//! one. When the answer to a command is lost, the command is resent with the *same identifier*, so
//! that it takes effect only once and gets the first answer. If all attempts fail, the error says
//! whether the command may have had an effect.

use std::future;
use std::net::SocketAddr;
use std::time::Duration;

use displaydoc::Display;
use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use tonic::metadata;
use tonic::transport;

use crate::auth;
use crate::convert;
use crate::generated as wire;
use crate::generated::operator_client;
use crate::message;
use crate::server;

/// Why a call failed.
#[derive(Debug, Display)]
pub enum ClientError {
    /// no entry host is given
    NoEndpoint,
    /// no entry host can be reached, nothing was sent (last: {0})
    Unreachable(String),
    /// the answer was lost; the command may have had an effect, send it again with the same command identifier (last: {0})
    OutcomeUnknown(String),
    /// {0}
    Refused(message::Refusal),
    /// an entry host sent a message that this version does not understand: {0}
    Answer(convert::InvalidField),
    /// the TLS settings cannot be used: {0}
    Tls(String),
}

impl std::error::Error for ClientError {}

impl ClientError {
    /// Returns the result code that corresponds to the error.
    #[must_use]
    pub fn result_code(&self) -> ResultCode {
        match self {
            Self::NoEndpoint | Self::Tls(_) => ResultCode::InvalidInput,
            Self::Unreachable(_) => ResultCode::NotReady,
            Self::OutcomeUnknown(_) => ResultCode::OutcomeUnknown,
            Self::Refused(refusal) => refusal.code,
            Self::Answer(_) => ResultCode::Internal,
        }
    }
}

/// Builder of an [`OperatorClient`].
#[derive(Clone, Debug)]
pub struct ClientBuilder {
    endpoints: Vec<SocketAddr>,
    token: Option<auth::Token>,
    authority_pem: Option<Vec<u8>>,
    attempts: u32,
    connect_timeout: Duration,
    call_timeout: Duration,
    back_off: Duration,
}

impl ClientBuilder {
    /// Adds an entry host; hosts are tried in the order in which they were added.
    #[must_use]
    pub fn endpoint(mut self, endpoint: SocketAddr) -> Self {
        self.endpoints.push(endpoint);
        self
    }

    /// Sets the token that every request carries. Default: none.
    #[must_use]
    pub fn token(mut self, token: auth::Token) -> Self {
        self.token = Some(token);
        self
    }

    /// Uses TLS and trusts certificates of this authority (PEM). Default: no TLS.
    #[must_use]
    pub fn authority_pem(mut self, pem: Vec<u8>) -> Self {
        self.authority_pem = Some(pem);
        self
    }

    /// Sets the maximum number of attempts of a call, including the first. Default: 4.
    #[must_use]
    pub fn attempts(mut self, attempts: u32) -> Self {
        self.attempts = attempts.max(1);
        self
    }

    /// Sets the timeout for connecting. Default: 2 s.
    #[must_use]
    pub fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the timeout for an answer. Default: 15 s.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the delay after the first pass over all hosts. It doubles with each further pass, at
    /// most 5 times. Default: 200 ms.
    #[must_use]
    pub fn back_off(mut self, delay: Duration) -> Self {
        self.back_off = delay;
        self
    }

    /// Builds the client; the first call opens a connection.
    ///
    /// # Errors
    ///
    /// If no endpoint was added.
    pub fn build(self) -> Result<OperatorClient, ClientError> {
        if self.endpoints.is_empty() {
            return Err(ClientError::NoEndpoint);
        }
        Ok(OperatorClient {
            options: self,
            current: 0,
            connected: None,
        })
    }
}

type Stub = operator_client::OperatorClient<transport::Channel>;

/// A client for the entry hosts of a cell. It is connected to at most one of them at a time.
#[derive(Debug)]
pub struct OperatorClient {
    options: ClientBuilder,
    /// Index of the endpoint in use.
    current: usize,
    connected: Option<Stub>,
}

impl OperatorClient {
    /// Returns a builder with the default options and no endpoint.
    #[must_use]
    pub fn builder() -> ClientBuilder {
        ClientBuilder {
            endpoints: Vec::new(),
            token: None,
            authority_pem: None,
            attempts: 4,
            connect_timeout: Duration::from_secs(2),
            call_timeout: Duration::from_secs(15),
            back_off: Duration::from_millis(200),
        }
    }

    /// Returns the entry host in use, or the next one to try.
    #[must_use]
    pub fn endpoint(&self) -> SocketAddr {
        self.options.endpoints[self.current]
    }

    /// Closes the connection; the next call connects to the same entry host first.
    pub fn disconnect(&mut self) {
        self.connected = None;
    }

    /// Submits a job.
    ///
    /// # Errors
    ///
    /// See [`ClientError`]; a command that was refused by the backend is an outcome, not an error.
    pub async fn submit_job(
        &mut self,
        command: &message::Command,
        spec: &job::JobSpec,
    ) -> Result<message::CommandOutcome, ClientError> {
        let request = wire::SubmitJobRequest {
            header: Some(command.clone().into()),
            spec: Some(spec.clone().into()),
        };
        self.command(request, |mut stub, request| async move {
            stub.submit_job(request).await
        })
        .await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// As for [`submit_job`](Self::submit_job).
    pub async fn cancel_job(
        &mut self,
        command: &message::Command,
        job: &id::JobId,
    ) -> Result<message::CommandOutcome, ClientError> {
        let request = wire::CancelJobRequest {
            header: Some(command.clone().into()),
            job: job.to_string(),
        };
        self.command(request, |mut stub, request| async move {
            stub.cancel_job(request).await
        })
        .await
    }

    /// Puts a parked or failed job back in the queue.
    ///
    /// # Errors
    ///
    /// As for [`submit_job`](Self::submit_job).
    pub async fn retry_job(
        &mut self,
        command: &message::Command,
        job: &id::JobId,
    ) -> Result<message::CommandOutcome, ClientError> {
        let request = wire::RetryJobRequest {
            header: Some(command.clone().into()),
            job: job.to_string(),
        };
        self.command(request, |mut stub, request| async move {
            stub.retry_job(request).await
        })
        .await
    }

    /// Marks a worker as leaving, or removes the mark.
    ///
    /// # Errors
    ///
    /// As for [`submit_job`](Self::submit_job).
    pub async fn set_worker_drain(
        &mut self,
        command: &message::Command,
        worker: &id::WorkerId,
        draining: bool,
    ) -> Result<message::CommandOutcome, ClientError> {
        let request = wire::SetWorkerDrainRequest {
            header: Some(command.clone().into()),
            worker: worker.to_string(),
            draining,
        };
        self.command(request, |mut stub, request| async move {
            stub.set_worker_drain(request).await
        })
        .await
    }

    /// Applies a configuration, or only validates it.
    ///
    /// # Errors
    ///
    /// As for [`submit_job`](Self::submit_job).
    pub async fn apply_config(
        &mut self,
        command: &message::Command,
        proposal: &message::ConfigProposal,
    ) -> Result<message::CommandOutcome, ClientError> {
        let request = wire::ApplyConfigRequest {
            header: Some(command.clone().into()),
            document: proposal.document.clone(),
            dry_run: proposal.dry_run,
        };
        self.command(request, |mut stub, request| async move {
            stub.apply_config(request).await
        })
        .await
    }

    /// Lists jobs.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn list_jobs(
        &mut self,
        filter: &message::JobFilter,
    ) -> Result<Vec<message::JobSummary>, ClientError> {
        let request = wire::ListJobsRequest {
            pool: filter
                .pool
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
            team: filter
                .team
                .as_ref()
                .map(ToString::to_string)
                .unwrap_or_default(),
        };
        let answer = self
            .query(request, |mut stub, request| async move {
                stub.list_jobs(request).await
            })
            .await?;
        convert::convert_all(answer.jobs).map_err(ClientError::Answer)
    }

    /// Returns a job with its tasks.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn get_job(&mut self, job: &id::JobId) -> Result<message::JobDetail, ClientError> {
        let request = wire::GetJobRequest {
            job: job.to_string(),
        };
        let answer = self
            .query(request, |mut stub, request| async move {
                stub.get_job(request).await
            })
            .await?;
        answer.try_into().map_err(ClientError::Answer)
    }

    /// Lists the workers of one pool or of all pools.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn list_workers(
        &mut self,
        pool: Option<&id::PoolId>,
    ) -> Result<Vec<message::WorkerDetail>, ClientError> {
        let request = wire::ListWorkersRequest {
            pool: pool.map(ToString::to_string).unwrap_or_default(),
        };
        let answer = self
            .query(request, |mut stub, request| async move {
                stub.list_workers(request).await
            })
            .await?;
        convert::convert_all(answer.workers).map_err(ClientError::Answer)
    }

    /// Returns the configuration in force on the entry host that answers.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn get_config(&mut self) -> Result<message::ConfigDocument, ClientError> {
        let answer = self
            .query(wire::GetConfigRequest {}, |mut stub, request| async move {
                stub.get_config(request).await
            })
            .await?;
        Ok(answer.into())
    }

    /// Returns the newest versions of the configuration, at most `limit`, and the version in
    /// force on each entry host.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn list_config_history(
        &mut self,
        limit: u32,
    ) -> Result<message::ConfigHistory, ClientError> {
        let request = wire::ListConfigHistoryRequest { limit };
        let answer = self
            .query(request, |mut stub, request| async move {
                stub.list_config_history(request).await
            })
            .await?;
        answer.try_into().map_err(ClientError::Answer)
    }

    /// Returns the state of the cell, with the commands since `handover_since` if it is given.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn get_status(
        &mut self,
        handover_since: Option<time::WallTimeMs>,
    ) -> Result<message::Status, ClientError> {
        let request = wire::GetStatusRequest {
            handover_since_wall_ms: handover_since.map_or(0, |wall| wall.0),
        };
        let answer = self
            .query(request, |mut stub, request| async move {
                stub.get_status(request).await
            })
            .await?;
        answer.try_into().map_err(ClientError::Answer)
    }

    /// Opens a stream of the events of one entry host after `after_sequence`, or of its future
    /// events if it is `None`.
    ///
    /// # Errors
    ///
    /// See [`ClientError`].
    pub async fn stream_events(
        &mut self,
        after_sequence: Option<u64>,
    ) -> Result<Events, ClientError> {
        let request = wire::StreamEventsRequest {
            after_sequence: after_sequence.unwrap_or(0),
        };
        let stream = self
            .query(request, |mut stub, request| async move {
                stub.stream_events(request).await
            })
            .await?;
        Ok(Events(stream))
    }

    /// Sends a command until it is answered or all attempts have failed.
    async fn command<M, F, A>(
        &mut self,
        message: M,
        call: F,
    ) -> Result<message::CommandOutcome, ClientError>
    where
        M: Clone,
        F: Fn(Stub, tonic::Request<M>) -> A,
        A: future::Future<Output = Result<tonic::Response<wire::CommandResult>, tonic::Status>>,
    {
        let mut may_have_run = false;
        let mut last_error = String::new();
        let mut retryable_outcome = None;
        for attempt in 0..self.options.attempts {
            self.back_off_before(attempt).await;
            let stub = match self.connect().await {
                Ok(stub) => stub,
                Err(problem) => {
                    last_error = problem;
                    self.use_next_endpoint();
                    continue;
                }
            };
            match self.call(stub, message.clone(), &call).await {
                Ok(result) => {
                    let outcome: message::CommandOutcome =
                        result.try_into().map_err(ClientError::Answer)?;
                    if !is_retryable(outcome.code) {
                        return Ok(outcome);
                    }
                    may_have_run |= outcome.code == ResultCode::OutcomeUnknown;
                    retryable_outcome = Some(outcome);
                }
                Err(CallFailure::Refused(refusal)) if is_retryable(refusal.code) => {
                    last_error = refusal.to_string();
                }
                Err(CallFailure::Refused(refusal)) => return Err(ClientError::Refused(refusal)),
                Err(CallFailure::Lost(problem)) => {
                    may_have_run = true;
                    last_error = problem;
                }
            }
            self.use_next_endpoint();
        }
        match retryable_outcome {
            Some(outcome) if !may_have_run || outcome.code == ResultCode::OutcomeUnknown => {
                Ok(outcome)
            }
            Some(outcome) => Err(ClientError::OutcomeUnknown(outcome.message)),
            None if may_have_run => Err(ClientError::OutcomeUnknown(last_error)),
            None => Err(ClientError::Unreachable(last_error)),
        }
    }

    /// Sends a query until it is answered or all attempts have failed.
    async fn query<M, F, A, T>(&mut self, message: M, call: F) -> Result<T, ClientError>
    where
        M: Clone,
        F: Fn(Stub, tonic::Request<M>) -> A,
        A: future::Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let mut last_error = String::new();
        let mut refused = None;
        for attempt in 0..self.options.attempts {
            self.back_off_before(attempt).await;
            let stub = match self.connect().await {
                Ok(stub) => stub,
                Err(problem) => {
                    last_error = problem;
                    self.use_next_endpoint();
                    continue;
                }
            };
            match self.call(stub, message.clone(), &call).await {
                Ok(answer) => return Ok(answer),
                Err(CallFailure::Refused(refusal)) if is_retryable(refusal.code) => {
                    refused = Some(refusal);
                }
                Err(CallFailure::Refused(refusal)) => return Err(ClientError::Refused(refusal)),
                Err(CallFailure::Lost(problem)) => last_error = problem,
            }
            self.use_next_endpoint();
        }
        match refused {
            Some(refusal) => Err(ClientError::Refused(refusal)),
            None => Err(ClientError::Unreachable(last_error)),
        }
    }

    async fn call<M, F, A, T>(&self, stub: Stub, message: M, call: &F) -> Result<T, CallFailure>
    where
        F: Fn(Stub, tonic::Request<M>) -> A,
        A: future::Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    {
        let request = self.request(message);
        let answer = tokio::time::timeout(self.options.call_timeout, call(stub, request)).await;
        match answer {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(match server::refusal_of(&status) {
                Some(refusal) => CallFailure::Refused(refusal),
                None => CallFailure::Lost(format!("{}: {}", self.endpoint(), status.message())),
            }),
            Err(_) => Err(CallFailure::Lost(format!("{}: timed out", self.endpoint()))),
        }
    }

    fn request<M>(&self, message: M) -> tonic::Request<M> {
        let mut request = tonic::Request::new(message);
        if let Some(token) = &self.options.token {
            let header = format!("Bearer {}", token.expose());
            // Cannot fail: a token consists of graphic ASCII characters.
            if let Ok(value) = header.parse::<metadata::MetadataValue<metadata::Ascii>>() {
                request.metadata_mut().insert("authorization", value);
            }
        }
        request
    }

    async fn connect(&mut self) -> Result<Stub, String> {
        if let Some(stub) = &self.connected {
            return Ok(stub.clone());
        }
        let endpoint = self.endpoint();
        let describe_error =
            |problem: &dyn std::error::Error| format!("{endpoint}: {}", root_cause(problem));
        let channel = self
            .channel()
            .map_err(|error| describe_error(&error))?
            .connect()
            .await
            .map_err(|error| describe_error(&error))?;
        let stub = operator_client::OperatorClient::new(channel)
            .max_decoding_message_size(message::MAX_MESSAGE_BYTES);
        self.connected = Some(stub.clone());
        Ok(stub)
    }

    fn channel(&self) -> Result<transport::Endpoint, transport::Error> {
        let scheme = if self.options.authority_pem.is_some() {
            "https"
        } else {
            "http"
        };
        let uri = format!("{scheme}://{}", self.endpoint());
        let endpoint =
            transport::Endpoint::from_shared(uri)?.connect_timeout(self.options.connect_timeout);
        match &self.options.authority_pem {
            None => Ok(endpoint),
            Some(pem) => {
                let authority = transport::Certificate::from_pem(pem);
                let tls = transport::ClientTlsConfig::new().ca_certificate(authority);
                endpoint.tls_config(tls)
            }
        }
    }

    fn use_next_endpoint(&mut self) {
        self.connected = None;
        self.current = (self.current + 1) % self.options.endpoints.len();
    }

    /// Waits for the back-off before an attempt that starts another pass over the hosts.
    async fn back_off_before(&self, attempt: u32) {
        let hosts = u32::try_from(self.options.endpoints.len()).unwrap_or(u32::MAX);
        let pass = attempt / hosts;
        if pass > 0 && attempt.is_multiple_of(hosts) {
            let factor = 1 << (pass - 1).min(MAX_BACK_OFF_DOUBLINGS);
            tokio::time::sleep(self.options.back_off * factor).await;
        }
    }
}

/// Maximum number of times that the delay between passes is doubled.
const MAX_BACK_OFF_DOUBLINGS: u32 = 5;

/// Why an attempt failed.
enum CallFailure {
    /// The entry host answered with a refusal.
    Refused(message::Refusal),
    /// The answer was lost; the request may have had an effect.
    Lost(String),
}

/// Whether a retry at another entry host, or later at the same one, may succeed. Resending is
/// always safe because the command identifier stays the same.
const fn is_retryable(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NotReady
            | ResultCode::NoLeader
            | ResultCode::NotLeader
            | ResultCode::OutcomeUnknown
    )
}

/// Returns the text of the innermost cause of an error, which is the most specific.
fn root_cause(error: &dyn std::error::Error) -> String {
    let mut cause = error;
    while let Some(inner) = cause.source() {
        cause = inner;
    }
    cause.to_string()
}

/// Stream of events of one entry host.
#[derive(Debug)]
pub struct Events(tonic::Streaming<wire::Event>);

impl Events {
    /// Returns the next event, or `None` when the entry host ended the stream.
    ///
    /// # Errors
    ///
    /// If the entry host refused or the connection was lost.
    pub async fn next(&mut self) -> Result<Option<message::Event>, ClientError> {
        match self.0.message().await {
            Ok(event) => Ok(event.map(Into::into)),
            Err(status) => Err(match server::refusal_of(&status) {
                Some(refusal) => ClientError::Refused(refusal),
                None => ClientError::Unreachable(status.message().to_owned()),
            }),
        }
    }
}
