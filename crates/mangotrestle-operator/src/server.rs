//! gRPC server over an [`OperatorBackend`].
//!
//! Every request passes three gates before the backend sees it: the token, the conversion of each
//! field, and what the owner of the token may do. A query that is refused ends with a gRPC status
//! that carries the result code in its metadata; a command is answered with a
//! [`message::CommandOutcome`] unless one of the gates refused it.

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

/// Metadata key of the span after which trying again may help, in milliseconds.
pub const RETRY_AFTER_KEY: &str = "mangotrestle-retry-after-ms";

/// Greatest number of calls at a time on one connection.
const MAX_CONCURRENT_CALLS: u32 = 64;

/// Serves operators' calls.
pub struct OperatorServer;

impl OperatorServer {
    /// Serves on a listener without TLS until `shutdown` turns true; calls in flight are finished.
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
        let (_keep, authentication) = watch::channel(authentication);
        Self::serve_incoming(incoming, backend, authentication, shutdown).await
    }

    /// Serves on connections that something else accepts, such as a TLS acceptor, with tokens that
    /// may change while it runs.
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
        let calls = Calls {
            backend,
            shutdown: shutdown.clone(),
        };
        let service = operator_server::OperatorServer::new(calls)
            .max_decoding_message_size(message::MAX_MESSAGE_BYTES)
            .max_encoding_message_size(message::MAX_MESSAGE_BYTES);
        let service = interceptor::InterceptedService::new(service, Gate(authentication));
        transport::Server::builder()
            .max_concurrent_streams(MAX_CONCURRENT_CALLS)
            .add_service(service)
            .serve_with_incoming_shutdown(incoming, stopped(shutdown))
            .await
    }
}

/// Completes when the process is told to stop, or when nobody can tell it any more.
async fn stopped(mut shutdown: watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stop| *stop).await;
}

/// Lets requests with a known token pass, and notes their owner.
#[derive(Clone)]
struct Gate(watch::Receiver<auth::Authentication>);

impl tonic::service::Interceptor for Gate {
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

/// The gRPC status that carries a refusal.
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

/// The refusal that a gRPC status carries, if it carries one.
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

/// The nearest gRPC code, for programs that do not read the result code.
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

/// The calls of the schema, converted and passed on to the backend.
struct Calls<B> {
    backend: Arc<B>,
    shutdown: watch::Receiver<bool>,
}

type Answer<T> = Result<tonic::Response<T>, tonic::Status>;

fn answer(outcome: message::CommandOutcome) -> tonic::Response<wire::CommandResult> {
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

/// The owner of the token, as [`Gate`] noted it.
fn principal<T>(request: &tonic::Request<T>) -> Result<auth::Principal, tonic::Status> {
    let noted = request.extensions().get::<auth::Principal>();
    noted
        .cloned()
        .ok_or_else(|| forbidden("the request has no owner"))
}

fn check_cell(principal: &auth::Principal) -> Result<(), tonic::Status> {
    if principal.may_change_cell() {
        return Ok(());
    }
    Err(forbidden(
        "a team's token cannot change workers or the configuration",
    ))
}

fn check_team(principal: &auth::Principal, team: &id::TeamId) -> Result<(), tonic::Status> {
    if principal.may_change_jobs_of(team) {
        return Ok(());
    }
    Err(forbidden("the token belongs to another team"))
}

impl<B: OperatorBackend> Calls<B> {
    /// Checks that the sender may change a job that exists already.
    ///
    /// A job never changes its team, so the answer cannot be out of date when the command runs.
    async fn check_job(
        &self,
        principal: &auth::Principal,
        job: &id::JobId,
    ) -> Result<(), tonic::Status> {
        if principal.may_change_cell() {
            return Ok(());
        }
        let detail = self.backend.get_job(job.clone()).await?;
        check_team(principal, &detail.summary.spec.team)
    }
}

#[tonic::async_trait]
impl<B: OperatorBackend> operator_server::Operator for Calls<B> {
    async fn submit_job(
        &self,
        request: tonic::Request<wire::SubmitJobRequest>,
    ) -> Answer<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let spec = convert::valid_job(request.spec)?;
        check_team(&principal, &spec.team)?;
        Ok(answer(self.backend.submit_job(command, spec).await))
    }

    async fn cancel_job(
        &self,
        request: tonic::Request<wire::CancelJobRequest>,
    ) -> Answer<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let job = convert::parse_id("job", &request.job)?;
        self.check_job(&principal, &job).await?;
        Ok(answer(self.backend.cancel_job(command, job).await))
    }

    async fn retry_job(
        &self,
        request: tonic::Request<wire::RetryJobRequest>,
    ) -> Answer<wire::CommandResult> {
        let principal = principal(&request)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let job = convert::parse_id("job", &request.job)?;
        self.check_job(&principal, &job).await?;
        Ok(answer(self.backend.retry_job(command, job).await))
    }

    async fn list_jobs(
        &self,
        request: tonic::Request<wire::ListJobsRequest>,
    ) -> Answer<wire::ListJobsResponse> {
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
    ) -> Answer<wire::JobDetail> {
        let job = convert::parse_id("job", &request.into_inner().job)?;
        let detail = self.backend.get_job(job).await?;
        Ok(tonic::Response::new(detail.into()))
    }

    async fn list_workers(
        &self,
        request: tonic::Request<wire::ListWorkersRequest>,
    ) -> Answer<wire::ListWorkersResponse> {
        let pool = convert::parse_optional_id("pool", &request.into_inner().pool)?;
        let workers = self.backend.list_workers(pool).await?;
        let workers = workers.into_iter().map(Into::into).collect();
        Ok(tonic::Response::new(wire::ListWorkersResponse { workers }))
    }

    async fn set_worker_drain(
        &self,
        request: tonic::Request<wire::SetWorkerDrainRequest>,
    ) -> Answer<wire::CommandResult> {
        let principal = principal(&request)?;
        check_cell(&principal)?;
        let request = request.into_inner();
        let command = convert::command(request.header, &principal)?;
        let worker = convert::parse_id("worker", &request.worker)?;
        let draining = request.draining;
        let outcome = self.backend.set_worker_drain(command, worker, draining);
        Ok(answer(outcome.await))
    }

    async fn get_config(
        &self,
        _request: tonic::Request<wire::GetConfigRequest>,
    ) -> Answer<wire::ConfigDocument> {
        let config = self.backend.get_config().await?;
        Ok(tonic::Response::new(config.into()))
    }

    async fn apply_config(
        &self,
        request: tonic::Request<wire::ApplyConfigRequest>,
    ) -> Answer<wire::CommandResult> {
        let principal = principal(&request)?;
        check_cell(&principal)?;
        let mut request = request.into_inner();
        let command = convert::command(request.header.take(), &principal)?;
        let proposal = convert::config_proposal(request)?;
        Ok(answer(self.backend.apply_config(command, proposal).await))
    }

    async fn list_config_history(
        &self,
        request: tonic::Request<wire::ListConfigHistoryRequest>,
    ) -> Answer<wire::ListConfigHistoryResponse> {
        let limit = request.into_inner().limit.clamp(1, message::MAX_HISTORY);
        let history = self.backend.list_config_history(limit).await?;
        Ok(tonic::Response::new(history.into()))
    }

    async fn get_status(
        &self,
        request: tonic::Request<wire::GetStatusRequest>,
    ) -> Answer<wire::StatusResponse> {
        let since = request.into_inner().handover_since_wall_ms;
        let since = (since > 0).then_some(time::WallTimeMs(since));
        let status = self.backend.get_status(since).await?;
        Ok(tonic::Response::new(status.into()))
    }

    type StreamEventsStream = EventStream;

    async fn stream_events(
        &self,
        request: tonic::Request<wire::StreamEventsRequest>,
    ) -> Answer<Self::StreamEventsStream> {
        let after = request.into_inner().after_sequence;
        let after = (after > 0).then_some(after);
        let events = self.backend.stream_events(after).await?;
        let events = until_stop(events, self.shutdown.clone());
        let events = wrappers::ReceiverStream::new(events).map(|event| Ok(event.into()));
        Ok(tonic::Response::new(Box::pin(events)))
    }
}

/// Events on their way to an operator.
type EventStream =
    std::pin::Pin<Box<dyn tokio_stream::Stream<Item = Result<wire::Event, tonic::Status>> + Send>>;

/// Passes events on until the process stops, so that an open stream does not hold up a planned
/// stop.
fn until_stop(
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
            () = stopped(shutdown) => {}
            () = sender.closed() => {}
        }
    });
    receiver
}
