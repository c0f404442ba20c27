//! Client for one worker.
//!
//! A call has one of four results, from which a leader may draw different conclusions: the worker
//! answered; it refused ([`CallError::Refused`], no effect); the message was not sent
//! ([`CallError::NotSent`], no effect); or the outcome is not known ([`CallError::OutcomeUnknown`]
//! and [`CallError::Malformed`]).

use std::error::Error as StdError;
use std::net;
use std::time::Duration;

use displaydoc::Display;
use mangotrestle_core::lease::message;
use tokio_stream::{Stream, StreamExt};
use tonic::transport;

use crate::convert::InvalidMessage;
use crate::generated;
use crate::generated::worker_client;

/// Why a call failed.
#[derive(Debug, Display)]
pub enum CallError {
    /// worker {address}: not sent, no connection: {detail}
    NotSent {
        /// The worker's address.
        address: net::SocketAddr,
        /// Error of the transport.
        detail: String,
    },
    /// worker {address}: outcome unknown: {detail}
    OutcomeUnknown {
        /// The worker's address.
        address: net::SocketAddr,
        /// Error of the transport.
        detail: String,
    },
    /// worker {address}: refused with {refusal}
    Refused {
        /// The worker's address.
        address: net::SocketAddr,
        /// The worker's refusal.
        refusal: message::Refusal,
    },
    /// worker {address}: answer malformed, outcome unknown: {fault}
    Malformed {
        /// The worker's address.
        address: net::SocketAddr,
        /// What is wrong with the answer.
        fault: InvalidMessage,
    },
}

impl StdError for CallError {}

/// Options of a client.
#[derive(Clone, Debug)]
pub struct ClientOptions {
    call_timeout: Duration,
    connect_timeout: Duration,
    max_message_bytes: usize,
}

impl Default for ClientOptions {
    fn default() -> Self {
        Self {
            call_timeout: Duration::from_secs(2),
            connect_timeout: Duration::from_secs(1),
            max_message_bytes: 1 << 20,
        }
    }
}

impl ClientOptions {
    /// Sets the timeout of a call, after which its outcome is unknown. Default: 2 s.
    #[must_use]
    pub const fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Sets the timeout for connecting. Default: 1 s.
    #[must_use]
    pub const fn connect_timeout(mut self, timeout: Duration) -> Self {
        self.connect_timeout = timeout;
        self
    }

    /// Sets the maximum size of an answer, in bytes. Default: 1 MiB.
    #[must_use]
    pub const fn max_message_bytes(mut self, bytes: usize) -> Self {
        self.max_message_bytes = bytes;
        self
    }
}

/// A client for one worker. Clones share one connection, which is opened by the first call and
/// reopened after it broke.
#[derive(Clone, Debug)]
pub struct WorkerClient {
    address: net::SocketAddr,
    call_timeout: Duration,
    inner: worker_client::WorkerClient<transport::Channel>,
}

impl WorkerClient {
    /// Creates a client for the worker at this address. Must be called within a tokio runtime.
    ///
    /// # Panics
    ///
    /// Never: an IP address and a port always make a valid URI.
    #[must_use]
    pub fn new(address: net::SocketAddr, options: &ClientOptions) -> Self {
        let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
            .expect("an address is a valid authority")
            .connect_timeout(options.connect_timeout)
            .tcp_nodelay(true);
        let inner = worker_client::WorkerClient::new(endpoint.connect_lazy())
            .max_decoding_message_size(options.max_message_bytes);
        Self {
            address,
            call_timeout: options.call_timeout,
            inner,
        }
    }

    /// Returns the worker's address.
    #[must_use]
    pub const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Claims the worker lease.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the claim may have taken effect.
    pub async fn claim(
        &self,
        request: &message::ClaimRequest,
    ) -> Result<message::ClaimGranted, CallError> {
        use generated::claim_answer::Answer;
        let message = generated::ClaimRequest::from(request);
        let mut inner = self.inner.clone();
        let answer = self.call(inner.claim(self.tonic_request(message))).await?;
        match answer.answer {
            Some(Answer::Granted(granted)) => self.convert(granted),
            Some(Answer::Refused(refusal)) => Err(self.refused(refusal)),
            None => Err(self.missing_answer()),
        }
    }

    /// Renews the worker lease and the leases of all runs.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the renewal may have taken effect.
    pub async fn renew(
        &self,
        request: &message::RenewRequest,
    ) -> Result<message::RenewGranted, CallError> {
        use generated::renew_answer::Answer;
        let message = generated::RenewRequest::from(request);
        let mut inner = self.inner.clone();
        let answer = self.call(inner.renew(self.tonic_request(message))).await?;
        match answer.answer {
            Some(Answer::Granted(granted)) => self.convert(granted),
            Some(Answer::Refused(refusal)) => Err(self.refused(refusal)),
            None => Err(self.missing_answer()),
        }
    }

    /// Starts runs.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether runs may have started.
    pub async fn start(
        &self,
        request: &message::StartRequest,
    ) -> Result<message::StartAnswer, CallError> {
        use generated::start_answer::Answer;
        let message = generated::StartRequest::from(request);
        let mut inner = self.inner.clone();
        let answer = self.call(inner.start(self.tonic_request(message))).await?;
        match answer.answer {
            Some(Answer::Results(results)) => self.convert_start_results(request, results),
            Some(Answer::Refused(refusal)) => Err(self.refused(refusal)),
            None => Err(self.missing_answer()),
        }
    }

    /// Stops runs.
    ///
    /// # Errors
    ///
    /// [`CallError`] says whether the stop may have taken effect.
    pub async fn stop(
        &self,
        request: &message::StopRequest,
    ) -> Result<message::StopAccepted, CallError> {
        use generated::stop_answer::Answer;
        let message = generated::StopRequest::from(request);
        let mut inner = self.inner.clone();
        let answer = self.call(inner.stop(self.tonic_request(message))).await?;
        match answer.answer {
            Some(Answer::Accepted(accepted)) => self.convert(accepted),
            Some(Answer::Refused(refusal)) => Err(self.refused(refusal)),
            None => Err(self.missing_answer()),
        }
    }

    /// Opens a stream of ended runs. The stream ends when the lease is lost or the connection
    /// breaks; the next renewal reports the ends that it missed.
    ///
    /// # Errors
    ///
    /// [`CallError`] if the stream could not be opened.
    pub async fn watch(
        &self,
        request: &message::WatchRequest,
    ) -> Result<impl Stream<Item = Result<message::WatchEvent, CallError>> + use<>, CallError> {
        let message = generated::WatchRequest::from(request);
        let mut inner = self.inner.clone();
        // Without a gRPC timeout, which would also end the open stream; `call` bounds the opening.
        let stream = self.call(inner.watch(tonic::Request::new(message))).await?;
        let client = self.clone();
        Ok(stream.map(move |event| match event {
            Ok(event) => client.convert(event),
            Err(status) => Err(client.classify_failure(&status)),
        }))
    }

    fn tonic_request<T>(&self, message: T) -> tonic::Request<T> {
        let mut request = tonic::Request::new(message);
        request.set_timeout(self.call_timeout);
        request
    }

    async fn call<T>(
        &self,
        call: impl Future<Output = Result<tonic::Response<T>, tonic::Status>>,
    ) -> Result<T, CallError> {
        match tokio::time::timeout(self.call_timeout, call).await {
            Ok(Ok(response)) => Ok(response.into_inner()),
            Ok(Err(status)) => Err(self.classify_failure(&status)),
            Err(elapsed) => Err(CallError::OutcomeUnknown {
                address: self.address,
                detail: elapsed.to_string(),
            }),
        }
    }

    fn convert<G, C>(&self, message: G) -> Result<C, CallError>
    where
        C: TryFrom<G, Error = InvalidMessage>,
    {
        C::try_from(message).map_err(|fault| self.malformed(fault))
    }

    fn convert_start_results(
        &self,
        request: &message::StartRequest,
        results: generated::StartResults,
    ) -> Result<message::StartAnswer, CallError> {
        let answer: message::StartAnswer = self.convert(results)?;
        let (expected, received) = (request.runs.len(), answer.results.len());
        if expected != received {
            let fault = InvalidMessage::ResultCount { expected, received };
            return Err(self.malformed(fault));
        }
        Ok(answer)
    }

    fn refused(&self, refusal: generated::Refusal) -> CallError {
        match message::Refusal::try_from(refusal) {
            Ok(refusal) => CallError::Refused {
                address: self.address,
                refusal,
            },
            Err(fault) => self.malformed(fault),
        }
    }

    const fn missing_answer(&self) -> CallError {
        self.malformed(InvalidMessage::Missing { field: "answer" })
    }

    const fn malformed(&self, fault: InvalidMessage) -> CallError {
        CallError::Malformed {
            address: self.address,
            fault,
        }
    }

    /// Distinguishes messages that were certainly not sent from all other failures.
    fn classify_failure(&self, status: &tonic::Status) -> CallError {
        let address = self.address;
        let detail = status.to_string();
        if has_connect_error(status) {
            CallError::NotSent { address, detail }
        } else {
            CallError::OutcomeUnknown { address, detail }
        }
    }
}

fn has_connect_error(status: &tonic::Status) -> bool {
    let mut source = status.source();
    while let Some(error) = source {
        if error.is::<tonic::ConnectError>() {
            return true;
        }
        source = error.source();
    }
    false
}
