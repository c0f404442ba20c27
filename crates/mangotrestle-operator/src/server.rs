//! gRPC server over an [`OperatorBackend`].
//!
//! Three checks precede every call of the backend: the token is known, each field is valid, and the
//! owner of the token has permission. A refused query returns a gRPC status with the result code in
//! its metadata. A command returns a [`message::CommandOutcome`] unless one of the checks failed,
//! which also returns a gRPC status.

use std::io;
use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::time;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers;
use tonic::metadata;
use tonic::service::interceptor;
use tonic::transport;
use tonic::transport::server::Connected;

use crate::auth;
use crate::backend::OperatorBackend;
use crate::convert;
use crate::generated as wire;
use crate::generated::operator_server;
use crate::message;

/// Metadata key of the result code of a refusal.
pub const RESULT_CODE_KEY: &str = "mangotrestle-result-code";

/// Metadata key of the time after which a retry may succeed, in milliseconds.
pub const RETRY_AFTER_KEY: &str = "mangotrestle-retry-after-ms";

/// Maximum number of concurrent calls on one connection.
const MAX_CALLS_PER_CONNECTION: u32 = 64;

/// gRPC server for operators.
pub struct OperatorServer;

impl OperatorServer {
    /// Serves without TLS on a listener until `shutdown` turns true, then completes the calls in
    /// flight.
    ///
    /// # Errors
    ///
    /// If the listener or the HTTP/2 server fails.
    pub async fn serve<B: OperatorBackend>(
        listener: net::TcpListener,
        backend: Arc<B>,
        authentication: auth::Authentication,
        shutdown: watch::Receiver<bool>,
    ) -> Result<(), transport::Error> {
        let incoming = wrappers::TcpListenerStream::new(listener);
        let (_sender, authentication) = watch::channel(authentication);
        Self::serve_incoming(incoming, backend, authentication, shutdown).await
    }

    /// Serves connections that are accepted elsewhere, for example by a TLS acceptor. The accepted
    /// tokens may change while the server runs.
    ///
    /// # Errors
    ///
    /// If the HTTP/2 server fails.
    pub async fn serve_incoming<B, C>(
        incoming: impl tokio_stream::Stream<Item = io::Result<C>>,
        backend: Arc<B>,
        authentication: watch::Receiver<auth::Authentication>,
        shutdown: watch::Receiver<bool>,
    ) -> Result<(), transport::Error>
    where
        B: OperatorBackend,
        C: AsyncRead + AsyncWrite + Connected + Unpin + Send + 'static,
    {
        let calls = OperatorService {
            backend,
            shutdown: shutdown.clone(),
        };
        let service = operator_server::OperatorServer::new(calls)
            .max_decoding_message_size(message::MAX_MESSAGE_BYTES)
            .max_encoding_message_size(message::MAX_MESSAGE_BYTES);
        let service =
            interceptor::InterceptedService::new(service, TokenInterceptor(authentication));
        transport::Server::builder()
            .max_concurrent_streams(MAX_CALLS_PER_CONNECTION)
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, wait_for_stop(shutdown))
            .await
    }
}

/// Returns when `shutdown` turns true or its sender is dropped.
async fn wait_for_stop(mut shutdown: watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stop| *stop).await;
}

/// Interceptor that refuses requests without a known token and attaches the token's owner to the
/// others.
#[derive(Clone)]
struct TokenInterceptor(watch::Receiver<auth::Authentication>);

impl tonic::service::Interceptor for TokenInterceptor {
    fn call(
        &mut self,
        mut request: tonic::Request<()>,
    ) -> Result<tonic::Request<()>, tonic::Status> {
        let header = request.metadata().get("authorization");
        let presented = header.map(metadata::MetadataValue::as_bytes);
        let Some(principal) = self.0.borrow().authenticate(presented) else {
            let problem = "the token is missing or not known";
            return Err(refusal_status(&message::Refusal::new(
                ResultCode::Unauthorized,
                problem,
            )));
        };
        request.extensions_mut().insert(principal);
        Ok(request)
    }
}

/// Converts a refusal to a gRPC status.
#[must_use]
pub fn refusal_status(refusal: &message::Refusal) -> tonic::Status {
    let mut status = tonic::Status::new(grpc_code(refusal.code), refusal.message.clone());
    let entries = status.metadata_mut();
    entries.insert(RESULT_CODE_KEY, refusal.code.number().into());
    if let Some(span) = refusal.retry_after_ms {
        entries.insert(RETRY_AFTER_KEY, span.0.into());
    }
    status
}

/// Returns the refusal in a gRPC status, or `None` if the status has no valid result code.
#[must_use]
pub fn refusal_of(status: &tonic::Status) -> Option<message::Refusal> {
    let number =
        |key: &str| -> Option<u64> { status.metadata().get(key)?.to_str().ok()?.parse().ok() };
    let code = u16::try_from(number(RESULT_CODE_KEY)?).ok()?;
    Some(message::Refusal {
        code: ResultCode::from_number(code)?,
        message: status.message().to_owned(),
        retry_after_ms: number(RETRY_AFTER_KEY).map(time::SpanMs),
    })
}

/// Returns the closest gRPC code, for programs that do not read the result code.
const fn grpc_code(code: ResultCode) -> tonic::Code {
    match code {
        ResultCode::Ok => tonic::Code::Ok,
        ResultCode::InvalidInput | ResultCode::InvalidSettings | ResultCode::TooLarge => {
            tonic::Code::InvalidArgument
        }
        ResultCode::Unauthorized => tonic::Code::PermissionDenied,
        ResultCode::NotFound => tonic::Code::NotFound,
        ResultCode::AlreadyExists => tonic::Code::AlreadyExists,
        ResultCode::RevisionConflict => tonic::Code::Aborted,
        ResultCode::QuotaExceeded | ResultCode::TeamLimited | ResultCode::Overloaded => {
            tonic::Code::ResourceExhausted
        }
        ResultCode::Internal => tonic::Code::Internal,
        ResultCode::OutcomeUnknown | ResultCode::EarlierOutcomeUnknown => tonic::Code::Unknown,
        _ => tonic::Code::FailedPrecondition,
    }
}

/// Implements the calls of the schema by converting them and calling the backend.
struct OperatorService<B> {
    backend: Arc<B>,
    shutdown: watch::Receiver<bool>,
}

type CallResult<T> = Result<tonic::Response<T>, tonic::Status>;

fn command_response(outcome: message::CommandOutcome) -> tonic::Response<wire::CommandResult> {
    tonic::Response::new(outcome.into())
}

impl From<convert::InvalidField> for tonic::Status {
    fn from(field: convert::InvalidField) -> Self {
        refusal_status(&message::Refusal::new(field.code, &field.to_string()))
    }
}

impl From<message::Refusal> for tonic::Status {
    fn from(refusal: message::Refusal) -> Self {
        refusal_status(&refusal)
    }
}

fn forbidden(problem: &str) -> tonic::Status {
    refusal_status(&message::Refusal::new(ResultCode::Unauthorized, problem))
}

/// Returns the owner of the token, which [`TokenInterceptor`] attached.
fn principal<T>(request: &tonic::Request<T>) -> Result<auth::Principal, tonic::Status> {
    let attached = request.extensions().get::<auth::Principal>();
    attached
        .cloned()
        .ok_or_else(|| forbidden("the request has no owner"))
}

fn check_may_change_cell(principal: &auth::Principal) -> Result<(), tonic::Status> {
    if principal.may_change_cell() {
        return Ok(());
    }
    Err(forbidden(
        "a team's token cannot change workers or the configuration",
    ))
}

fn check_may_change_team(
    principal: &auth::Principal,
    team: &id::TeamId,
) -> Result<(), tonic::Status> {
    if principal.may_change_jobs_of(team) {
        return Ok(());
    }
    Err(forbidden("the token belongs to another team"))
}

impl<B: OperatorBackend> OperatorService<B> {
    /// Checks that the sender may change an existing job.
    ///
    /// The team of a job never changes, so the check still holds when the command is executed.
    async fn check_may_change_job(
        &self,
        principal: &auth::Principal,
        job: &id::JobId,
    ) -> Result<(), tonic::Status> {
        if principal.may_change_cell() {
            return Ok(());
        }
        let detail = self.backend.get_job(job.clone()).await?;
        check_may_change_team(principal, &detail.summary.spec.team)
    }
}

#[tonic::async_trait]
impl<B: OperatorBackend> operator_server::Operator for OperatorService<B> {
    async fn submit_job(
        &self,
        request: tonic::Request<wire::SubmitJobRequest>,
    ) -> CallResult<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let spec = convert::validated_job(request.spec)?;
        check_may_change_team(&principal, &spec.team)?;
        Ok(command_response(
            self.backend.submit_job(command, spec).await,
        ))
    }

    async fn cancel_job(
        &self,
        request: tonic::Request<wire::CancelJobRequest>,
    ) -> CallResult<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let job = convert::parse_id("job", &request.job)?;
        self.check_may_change_job(&principal, &job).await?;
        Ok(command_response(
            self.backend.cancel_job(command, job).await,
        ))
    }

    async fn retry_job(
        &self,
        request: tonic::Request<wire::RetryJobRequest>,
    ) -> CallResult<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let job = convert::parse_id("job", &request.job)?;
        self.check_may_change_job(&principal, &job).await?;
        Ok(command_response(self.backend.retry_job(command, job).await))
    }

    async fn list_jobs(
        &self,
        request: tonic::Request<wire::ListJobsRequest>,
    ) -> CallResult<wire::ListJobsResponse> {
        let request = request.into_inner();
        let filter = message::JobFilter {
            pool: convert::parse_optional_id("pool", &request.pool)?,
            team: convert::parse_optional_id("team", &request.team)?,
        };
        let jobs = self.backend.list_jobs(filter).await?;
        let jobs = jobs.into_iter().map(Into::into).collect();
        Ok(tonic::Response::new(wire::ListJobsResponse { jobs }))
    }

    async fn get_job(
        &self,
        request: tonic::Request<wire::GetJobRequest>,
    ) -> CallResult<wire::JobDetail> {
        let job = convert::parse_id("job", &request.into_inner().job)?;
        let detail = self.backend.get_job(job).await?;
        Ok(tonic::Response::new(detail.into()))
    }

    async fn list_workers(
        &self,
        request: tonic::Request<wire::ListWorkersRequest>,
    ) -> CallResult<wire::ListWorkersResponse> {
        let pool = convert::parse_optional_id("pool", &request.into_inner().pool)?;
        let workers = self.backend.list_workers(pool).await?;
        let workers = workers.into_iter().map(Into::into).collect();
        Ok(tonic::Response::new(wire::ListWorkersResponse { workers }))
    }

    async fn set_worker_drain(
        &self,
        request: tonic::Request<wire::SetWorkerDrainRequest>,
    ) -> CallResult<wire::CommandResult> {
        let principal = principal(&request)?;
        check_may_change_cell(&principal)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let worker = convert::parse_id("worker", &request.worker)?;
        let draining = request.draining;
        let outcome = self.backend.set_worker_drain(command, worker, draining);
        Ok(command_response(outcome.await))
    }

    async fn get_config(
        &self,
        _request: tonic::Request<wire::GetConfigRequest>,
    ) -> CallResult<wire::ConfigDocument> {
        let config = self.backend.get_config().await?;
        Ok(tonic::Response::new(config.into()))
    }

    async fn apply_config(
        &self,
        request: tonic::Request<wire::ApplyConfigRequest>,
    ) -> CallResult<wire::CommandResult> {
        let principal = principal(&request)?;
        check_may_change_cell(&principal)?;
        let mut request = request.into_inner();
        let command = convert::command(request.header.take(), &principal)?;
        let proposal = convert::config_proposal(request)?;
        Ok(command_response(
            self.backend.apply_config(command, proposal).await,
        ))
    }

    async fn list_config_history(
        &self,
        request: tonic::Request<wire::ListConfigHistoryRequest>,
    ) -> CallResult<wire::ListConfigHistoryResponse> {
        let limit = request
            .into_inner()
            .limit
            .clamp(1, message::MAX_HISTORY_VERSIONS);
        let history = self.backend.list_config_history(limit).await?;
        Ok(tonic::Response::new(history.into()))
    }

    async fn get_status(
        &self,
        request: tonic::Request<wire::GetStatusRequest>,
    ) -> CallResult<wire::StatusResponse> {
        let since = request.into_inner().handover_since_wall_ms;
        let since = (since > 0).then_some(time::WallTimeMs(since));
        let status = self.backend.get_status(since).await?;
        Ok(tonic::Response::new(status.into()))
    }

    type StreamEventsStream = EventStream;

    async fn stream_events(
        &self,
        request: tonic::Request<wire::StreamEventsRequest>,
    ) -> CallResult<Self::StreamEventsStream> {
        let after = request.into_inner().after_sequence;
        let after = (after > 0).then_some(after);
        let events = self.backend.stream_events(after).await?;
        let events = forward_until_stop(events, self.shutdown.clone());
        let events = wrappers::ReceiverStream::new(events).map(|event| Ok(event.into()));
        Ok(tonic::Response::new(Box::pin(events)))
    }
}

/// Stream of events to an operator.
type EventStream =
    std::pin::Pin<Box<dyn tokio_stream::Stream<Item = Result<wire::Event, tonic::Status>> + Send>>;

/// Forwards events until `shutdown` turns true, so that an open stream does not delay a planned
/// stop.
fn forward_until_stop(
    mut events: mpsc::Receiver<message::Event>,
    shutdown: watch::Receiver<bool>,
) -> mpsc::Receiver<message::Event> {
    let (sender, receiver) = mpsc::channel(1);
    tokio::spawn(async move {
        let forward = async {
            while let Some(event) = events.recv().await {
                if sender.send(event).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = forward => {}
            () = wait_for_stop(shutdown) => {}
            () = sender.closed() => {}
        }
    });
    receiver
}
