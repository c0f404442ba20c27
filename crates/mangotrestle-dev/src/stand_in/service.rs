//! Common parts of the stand-ins for the platform's services: injected faults, counters and two
//! transports.
//!
//! A service can be called over HTTP on a loopback port, or within the process as a
//! [`transport::Transport`], so that tests can run the real clients under virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use mangotrestle_platform::transport;
use tokio::time::Instant;

/// A service without its faults. Delays are added by [`StandIn`].
pub trait Service: Send + Sync + 'static {
    /// Executes a request and returns the answer.
    fn handle(&self, request: &http::Request<Bytes>) -> http::Response<Bytes>;
}

/// Whether and how a service is unavailable.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// The service is available.
    #[default]
    None,
    /// The service immediately answers that it is unavailable.
    Refusing,
    /// The service does not answer, and requests have no effect.
    Unresponsive,
}

#[derive(Debug, Default)]
struct State {
    outage: Outage,
    delay: Duration,
    answers_to_drop: u32,
    /// Start of the first second of `requests_by_second`.
    first_request_at: Option<Instant>,
    /// Number of requests in each second, by counted path.
    requests_by_second: BTreeMap<String, Vec<u32>>,
    requests: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// Faults and counters of one service. The faults can be changed at any time.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

impl Faults {
    /// Starts or, with [`Outage::None`], ends an outage.
    pub fn set_outage(&self, outage: Outage) {
        self.lock().outage = outage;
    }

    /// Sets the delay between a request's arrival and its execution.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Drops the answers to the next `count` requests after these have taken effect.
    pub fn lose_next_answers(&self, count: u32) {
        self.lock().answers_to_drop = count;
    }

    /// Returns the number of requests received, including those during an outage.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Returns the total size of all request bodies in bytes.
    #[must_use]
    pub fn bytes_in(&self) -> u64 {
        self.lock().bytes_in
    }

    /// Returns the total size of all answers' bodies in bytes, including lost answers.
    #[must_use]
    pub fn bytes_out(&self) -> u64 {
        self.lock().bytes_out
    }

    /// Returns the maximum number of requests received within one second for a counted path that
    /// starts with `path`. Seconds are counted from the service's first request.
    #[must_use]
    pub fn peak_per_s(&self, path: &str) -> u32 {
        let state = self.lock();
        let paths = state
            .requests_by_second
            .iter()
            .filter(|(counted, _)| counted.starts_with(path));
        paths
            .flat_map(|(_, counts)| counts)
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Counts a request; returns the outage and the delay that apply to it.
    fn record_request(&self, request: &http::Request<Bytes>) -> (Outage, Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        let first_request_at = *state.first_request_at.get_or_insert(now);
        let second = usize::try_from((now - first_request_at).as_secs()).unwrap_or(usize::MAX);
        let path = counted_path(request.uri().path());
        let counts = state.requests_by_second.entry(path).or_default();
        if counts.len() <= second {
            counts.resize(second + 1, 0);
        }
        counts[second] += 1;
        state.requests += 1;
        state.bytes_in += request.body().len() as u64;
        (state.outage, state.delay)
    }

    /// Counts an answer; returns whether it is to be dropped.
    fn record_answer(&self, response: &http::Response<Bytes>) -> bool {
        let mut state = self.lock();
        state.bytes_out += response.body().len() as u64;
        let is_lost = state.answers_to_drop > 0;
        state.answers_to_drop = state.answers_to_drop.saturating_sub(1);
        is_lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the first two segments of a path, by which requests are counted.
fn counted_path(path: &str) -> String {
    path.split('/').take(3).collect::<Vec<_>>().join("/")
}

/// A service with injected faults, reachable over HTTP or as a [`transport::Transport`].
pub struct StandIn<S> {
    service: Arc<S>,
    faults: Faults,
}

impl<S> Clone for StandIn<S> {
    fn clone(&self) -> Self {
        Self {
            service: Arc::clone(&self.service),
            faults: self.faults.clone(),
        }
    }
}

impl<S: Service> StandIn<S> {
    /// Returns a stand-in without faults.
    #[must_use]
    pub fn new(service: Arc<S>) -> Self {
        Self {
            service,
            faults: Faults::default(),
        }
    }

    /// Returns the service, without its faults.
    #[must_use]
    pub fn service(&self) -> &S {
        &self.service
    }

    /// Returns the faults and counters.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Handles a request subject to the current faults. Returns `None` if there is no answer.
    async fn handle_with_faults(
        &self,
        request: &http::Request<Bytes>,
    ) -> Option<http::Response<Bytes>> {
        let (outage, delay) = self.faults.record_request(request);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match outage {
            Outage::None => {}
            Outage::Refusing => return Some(status(http::StatusCode::SERVICE_UNAVAILABLE)),
            Outage::Unresponsive => return None,
        }
        let response = self.service.handle(request);
        let is_lost = self.faults.record_answer(&response);
        (!is_lost).then_some(response)
    }

    /// Serves HTTP on a loopback port until the runtime ends.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be bound.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let stand_in = self.clone();
        let router = axum::Router::new().fallback(move |request: axum::extract::Request| {
            let stand_in = stand_in.clone();
            async move { stand_in.handle_http(request).await }
        });
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    async fn handle_http(&self, request: axum::extract::Request) -> http::Response<Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = axum::body::to_bytes(body, transport::MAX_ANSWER_BYTES).await else {
            return status(http::StatusCode::PAYLOAD_TOO_LARGE).map(Body::from);
        };
        let request = http::Request::from_parts(parts, body);
        match self.handle_with_faults(&request).await {
            Some(response) => response.map(Body::from),
            None => http::Response::new(broken_body()),
        }
    }
}

/// Returns a body that fails when read, so that the client gets no complete answer.
fn broken_body() -> Body {
    let error = Err::<Bytes, _>(std::io::Error::other("the answer was lost"));
    Body::from_stream(tokio_stream::once(error))
}

impl<S: Service> transport::Transport for StandIn<S> {
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> transport::BoxFuture<'_, Result<http::Response<Bytes>, transport::TransportError>> {
        Box::pin(async move {
            match self.handle_with_faults(&request).await {
                Some(response) => Ok(response),
                // There is no answer: the caller waits until its own deadline.
                None => std::future::pending().await,
            }
        })
    }
}

/// Returns an empty answer with a status.
pub(super) fn status(status: http::StatusCode) -> http::Response<Bytes> {
    let mut response = http::Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// Returns a successful answer with a body.
pub(super) fn answer(body: impl Into<Bytes>) -> http::Response<Bytes> {
    http::Response::new(body.into())
}
