//! HTTP exchanges with the services of the platform.
//!
//! Clients use a [`Transport`] rather than a socket, so that tests can run the same clients in
//! virtual time against a service in the same process.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;

use bytes::Bytes;
use displaydoc::Display;
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;

/// Maximum length of a response body that a client reads, in bytes.
pub const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// A boxed future, for methods of trait objects.
pub type BoxFuture<'a, T> = Pin<Box<dyn Future<Output = T> + Send + 'a>>;

/// Error when an exchange returned no response.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum TransportError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request was sent, but no complete answer was received: {0}
    NoAnswer(String),
}

impl std::error::Error for TransportError {}

impl TransportError {
    /// Whether the service certainly did not receive the request.
    #[must_use]
    pub const fn is_not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_))
    }
}

/// Sends requests to a service and reads the complete responses.
pub trait Transport: Send + Sync + 'static {
    /// Sends a request and returns the response. The caller has to enforce a timeout; dropping the
    /// future cancels the exchange.
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>>;
}

/// Transport over HTTP/1.1 with persistent connections to one address.
#[derive(Clone, Debug)]
pub struct HttpTransport {
    address: SocketAddr,
    client: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

impl HttpTransport {
    /// Creates a transport to the service at an address.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        let mut connector = legacy::connect::HttpConnector::new();
        connector.set_nodelay(true);
        let client = legacy::Client::builder(TokioExecutor::new()).build(connector);
        Self { address, client }
    }

    fn with_absolute_uri(&self, request: http::Request<Bytes>) -> http::Request<Full<Bytes>> {
        let (mut parts, body) = request.into_parts();
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        if let Ok(uri) = format!("http://{}{path}", self.address).parse() {
            parts.uri = uri;
        }
        http::Request::from_parts(parts, Full::new(body))
    }

    async fn exchange(
        &self,
        request: http::Request<Bytes>,
    ) -> Result<http::Response<Bytes>, TransportError> {
        let response = self
            .client
            .request(self.with_absolute_uri(request))
            .await
            .map_err(|error| transport_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = Limited::new(body, MAX_ANSWER_BYTES)
            .collect()
            .await
            .map_err(|error| TransportError::NoAnswer(error.to_string()))?;
        Ok(http::Response::from_parts(parts, body.to_bytes()))
    }
}

/// Classifies a client error: only a failed connection proves that the request was not sent.
fn transport_error(error: &legacy::Error) -> TransportError {
    if error.is_connect() {
        TransportError::NotSent(error.to_string())
    } else {
        TransportError::NoAnswer(error.to_string())
    }
}

impl Transport for HttpTransport {
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> BoxFuture<'_, Result<http::Response<Bytes>, TransportError>> {
        Box::pin(self.exchange(request))
    }
}
