//! What the stand-ins of the platform's services have in common: faults on command, counters, and
//! two ways to be reached.
//!
//! A service is reached over HTTP on a loopback port, or in the same process as a
//! [`transport::Transport`], so that tests run the real clients under virtual time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use axum::body::Body;
use bytes::Bytes;
use mangotrestle_platform::transport;
use tokio::time::Instant;

/// Answers one request. Time passes outside of it.
pub trait Service: Send + Sync + 'static {
    /// Takes effect and answers.
    fn handle(&self, request: &http::Request<Bytes>) -> http::Response<Bytes>;
}

/// Whether and how a service is down.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Outage {
    /// It is up.
    #[default]
    None,
    /// It answers at once that it is unavailable.
    Refusing,
    /// It does not answer, and nothing takes effect.
    Unresponsive,
}

#[derive(Debug, Default)]
struct State {
    outage: Outage,
    delay: Duration,
    lose_answers: u32,
    started: Option<Instant>,
    per_second: BTreeMap<String, Vec<u32>>,
    requests: u64,
    bytes_in: u64,
    bytes_out: u64,
}

/// Faults and counters of one service, settable at any time.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    state: Arc<Mutex<State>>,
}

impl Faults {
    /// Takes the service down or up.
    pub fn set_outage(&self, outage: Outage) {
        self.lock().outage = outage;
    }

    /// Delays each answer.
    pub fn set_delay(&self, delay: Duration) {
        self.lock().delay = delay;
    }

    /// Loses the answers to the next requests, after they took effect.
    pub fn lose_next_answers(&self, count: u32) {
        self.lock().lose_answers = count;
    }

    /// Requests that reached the service.
    #[must_use]
    pub fn requests(&self) -> u64 {
        self.lock().requests
    }

    /// Bytes of all request bodies.
    #[must_use]
    pub fn bytes_in(&self) -> u64 {
        self.lock().bytes_in
    }

    /// Bytes of all answers' bodies.
    #[must_use]
    pub fn bytes_out(&self) -> u64 {
        self.lock().bytes_out
    }

    /// Most requests for paths with this start that came within one second of the service's clock.
    #[must_use]
    pub fn peak_per_s(&self, path: &str) -> u32 {
        let state = self.lock();
        let paths = state
            .per_second
            .iter()
            .filter(|(known, _)| known.starts_with(path));
        paths
            .flat_map(|(_, counts)| counts)
            .copied()
            .max()
            .unwrap_or(0)
    }

    /// Counts a request and says how to treat it.
    fn arrive(&self, request: &http::Request<Bytes>) -> (Outage, Duration) {
        let now = Instant::now();
        let mut state = self.lock();
        let started = *state.started.get_or_insert(now);
        let second = usize::try_from((now - started).as_secs()).unwrap_or(usize::MAX);
        let area = area(request.uri().path());
        let counts = state.per_second.entry(area).or_default();
        if counts.len() <= second {
            counts.resize(second + 1, 0);
        }
        counts[second] += 1;
        state.requests += 1;
        state.bytes_in += request.body().len() as u64;
        (state.outage, state.delay)
    }

    /// Whether the answer is lost.
    fn depart(&self, response: &http::Response<Bytes>) -> bool {
        let mut state = self.lock();
        state.bytes_out += response.body().len() as u64;
        let lost = state.lose_answers > 0;
        state.lose_answers = state.lose_answers.saturating_sub(1);
        lost
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The first two parts of a path, by which requests are counted.
fn area(path: &str) -> String {
    path.split('/').take(3).collect::<Vec<_>>().join("/")
}

/// A service with its faults.
pub struct Served<S> {
    service: Arc<S>,
    faults: Faults,
}

impl<S> Clone for Served<S> {
    fn clone(&self) -> Self {
        Self {
            service: Arc::clone(&self.service),
            faults: self.faults.clone(),
        }
    }
}

impl<S: Service> Served<S> {
    /// A service that is up.
    #[must_use]
    pub fn new(service: Arc<S>) -> Self {
        Self {
            service,
            faults: Faults::default(),
        }
    }

    /// The service itself.
    #[must_use]
    pub fn service(&self) -> &S {
        &self.service
    }

    /// Its faults and counters.
    #[must_use]
    pub const fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Handles a request with the faults of the moment; `None` if no answer comes.
    async fn exchange(&self, request: &http::Request<Bytes>) -> Option<http::Response<Bytes>> {
        let (outage, delay) = self.faults.arrive(request);
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        match outage {
            Outage::None => {}
            Outage::Refusing => return Some(status(http::StatusCode::SERVICE_UNAVAILABLE)),
            Outage::Unresponsive => return None,
        }
        let response = self.service.handle(request);
        let lost = self.faults.depart(&response);
        (!lost).then_some(response)
    }

    /// Serves HTTP on a loopback port until the runtime ends.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn listen(&self) -> std::io::Result<SocketAddr> {
        let listener = tokio::net::TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let served = self.clone();
        let router = axum::Router::new().fallback(move |request: axum::extract::Request| {
            let served = served.clone();
            async move { served.over_http(request).await }
        });
        tokio::spawn(async move { axum::serve(listener, router).await });
        Ok(address)
    }

    async fn over_http(&self, request: axum::extract::Request) -> http::Response<Body> {
        let (parts, body) = request.into_parts();
        let Ok(body) = axum::body::to_bytes(body, transport::MAX_ANSWER_BYTES).await else {
            return status(http::StatusCode::PAYLOAD_TOO_LARGE).map(Body::from);
        };
        let request = http::Request::from_parts(parts, body);
        match self.exchange(&request).await {
            Some(response) => response.map(Body::from),
            None => http::Response::new(broken_body()),
        }
    }
}

/// A body that breaks off, which the client sees as an answer that never came.
fn broken_body() -> Body {
    let cut = Err::<Bytes, _>(std::io::Error::other("the answer was lost"));
    Body::from_stream(tokio_stream::once(cut))
}

impl<S: Service> transport::Transport for Served<S> {
    fn send(
        &self,
        request: http::Request<Bytes>,
    ) -> transport::BoxFuture<'_, Result<http::Response<Bytes>, transport::TransportError>> {
        Box::pin(async move {
            match self.exchange(&request).await {
                Some(response) => Ok(response),
                // Nothing more comes; the caller's deadline ends the wait.
                None => std::future::pending().await,
            }
        })
    }
}

/// An empty answer with a status.
pub(super) fn status(status: http::StatusCode) -> http::Response<Bytes> {
    let mut response = http::Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}

/// An answer with a body.
pub(super) fn answer(body: impl Into<Bytes>) -> http::Response<Bytes> {
    http::Response::new(body.into())
}
