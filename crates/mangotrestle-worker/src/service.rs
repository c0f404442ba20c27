//! Server side of the gRPC protocol: a trait over core messages, and a gRPC server for it.

use std::pin::Pin;
use std::sync::Arc;

use displaydoc::Display;
use mangotrestle_core::lease::message;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tokio_stream::{Stream, StreamExt};
use tonic::{Request, Response, Status};

use crate::convert::InvalidMessage;
use crate::generated;
use crate::generated::worker_server;

/// Maximum size of a request, in bytes.
pub const MAX_REQUEST_BYTES: usize = 1 << 20;

/// Why a worker returns no result.
#[derive(Clone, Debug, Display)]
pub enum ServiceError {
    /// refused with {0}
    Refused(message::Refusal),
    /// no answer: {0}
    Unavailable(String),
}

impl std::error::Error for ServiceError {}

impl From<message::Refusal> for ServiceError {
    fn from(refusal: message::Refusal) -> Self {
        Self::Refused(refusal)
    }
}

/// Handlers of a worker for the messages of its leader.
pub trait WorkerService: Send + Sync + 'static {
    /// Answers a claim.
    fn claim(
        &self,
        request: message::ClaimRequest,
    ) -> impl Future<Output = Result<message::ClaimGranted, ServiceError>> + Send;

    /// Answers a renewal.
    fn renew(
        &self,
        request: message::RenewRequest,
    ) -> impl Future<Output = Result<message::RenewGranted, ServiceError>> + Send;

    /// Answers a start.
    fn start(
        &self,
        request: message::StartRequest,
    ) -> impl Future<Output = Result<message::StartAnswer, ServiceError>> + Send;

    /// Answers a stop.
    fn stop(
        &self,
        request: message::StopRequest,
    ) -> impl Future<Output = Result<message::StopAccepted, ServiceError>> + Send;

    /// Opens a stream of ended runs; it closes when the sender is dropped.
    fn watch(
        &self,
        request: message::WatchRequest,
    ) -> impl Future<Output = Result<mpsc::Receiver<message::WatchEvent>, ServiceError>> + Send;
}

/// The gRPC server of a worker.
pub type Server<S> = worker_server::WorkerServer<Adaptor<S>>;

/// Creates a gRPC server for a worker.
pub fn server<S: WorkerService>(service: Arc<S>) -> Server<S> {
    worker_server::WorkerServer::new(Adaptor { service })
        .max_decoding_message_size(MAX_REQUEST_BYTES)
}

/// Adapts a [`WorkerService`] to the generated gRPC trait by converting messages.
#[derive(Debug)]
pub struct Adaptor<S> {
    service: Arc<S>,
}

type WatchStream = Pin<Box<dyn Stream<Item = Result<generated::WatchEvent, Status>> + Send>>;

#[tonic::async_trait]
impl<S: WorkerService> worker_server::Worker for Adaptor<S> {
    async fn claim(
        &self,
        request: Request<generated::ClaimRequest>,
    ) -> Result<Response<generated::ClaimAnswer>, Status> {
        use generated::claim_answer::Answer;
        let request = parse_request(request)?;
        let answer = match self.service.claim(request).await {
            Ok(granted) => Answer::Granted(generated::ClaimGranted::from(&granted)),
            Err(error) => Answer::Refused(to_refusal(error)?),
        };
        let answer = Some(answer);
        Ok(Response::new(generated::ClaimAnswer { answer }))
    }

    async fn renew(
        &self,
        request: Request<generated::RenewRequest>,
    ) -> Result<Response<generated::RenewAnswer>, Status> {
        use generated::renew_answer::Answer;
        let request = parse_request(request)?;
        let answer = match self.service.renew(request).await {
            Ok(granted) => Answer::Granted(generated::RenewGranted::from(&granted)),
            Err(error) => Answer::Refused(to_refusal(error)?),
        };
        let answer = Some(answer);
        Ok(Response::new(generated::RenewAnswer { answer }))
    }

    async fn start(
        &self,
        request: Request<generated::StartRequest>,
    ) -> Result<Response<generated::StartAnswer>, Status> {
        use generated::start_answer::Answer;
        let request = parse_request(request)?;
        let answer = match self.service.start(request).await {
            Ok(results) => Answer::Results(generated::StartResults::from(&results)),
            Err(error) => Answer::Refused(to_refusal(error)?),
        };
        let answer = Some(answer);
        Ok(Response::new(generated::StartAnswer { answer }))
    }

    async fn stop(
        &self,
        request: Request<generated::StopRequest>,
    ) -> Result<Response<generated::StopAnswer>, Status> {
        use generated::stop_answer::Answer;
        let request = parse_request(request)?;
        let answer = match self.service.stop(request).await {
            Ok(accepted) => Answer::Accepted(generated::StopAccepted::from(&accepted)),
            Err(error) => Answer::Refused(to_refusal(error)?),
        };
        let answer = Some(answer);
        Ok(Response::new(generated::StopAnswer { answer }))
    }

    type WatchStream = WatchStream;

    async fn watch(
        &self,
        request: Request<generated::WatchRequest>,
    ) -> Result<Response<Self::WatchStream>, Status> {
        let request = message::WatchRequest::from(request.into_inner());
        let events = match self.service.watch(request).await {
            Ok(events) => events,
            Err(ServiceError::Refused(refusal)) => {
                return Err(Status::failed_precondition(refusal.code.to_string()));
            }
            Err(ServiceError::Unavailable(detail)) => return Err(Status::unavailable(detail)),
        };
        let stream = ReceiverStream::new(events);
        let stream = stream.map(|event| Ok(generated::WatchEvent::from(&event)));
        Ok(Response::new(Box::pin(stream)))
    }
}

fn parse_request<G, C>(request: Request<G>) -> Result<C, Status>
where
    C: TryFrom<G, Error = InvalidMessage>,
{
    let request = C::try_from(request.into_inner());
    request.map_err(|fault| Status::invalid_argument(fault.to_string()))
}

fn to_refusal(error: ServiceError) -> Result<generated::Refusal, Status> {
    match error {
        ServiceError::Refused(refusal) => Ok(generated::Refusal::from(&refusal)),
        ServiceError::Unavailable(detail) => Err(Status::unavailable(detail)),
    }
}
