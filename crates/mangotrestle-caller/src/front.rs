//! HTTP server for callers.
//!
//! [`Front::serve`] runs until its `shutdown` future completes, and then stops gracefully: it
//! turns unready (`GET /ready` answers 503) but continues to serve for a while, so that the load
//! balancer notices. Then it accepts no new connections, completes the requests in flight and
//! returns.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use http::StatusCode;
use mangotrestle_core::id;
use mangotrestle_core::intake::Limits;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::router;
use mangotrestle_core::time;
use mangotrestle_http::body::RequestBody;
use mangotrestle_http::{RequestLimits, Server};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use tower::ServiceExt;

use crate::connection;
use crate::dispatcher::Dispatcher;
use crate::exchange::Clients;
use crate::forward::Forward;
use crate::payload;
use crate::refusal::Refusal;
use crate::request_head::{self, RequestHead};
use crate::snapshot_cell::SnapshotCell;
use crate::started::StartedRecords;
use crate::traffic;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Memory that a connection takes, in bytes: the largest head, the largest body that is buffered, and the
/// buffers and state of the connection.
const CONNECTION_BYTES: u64 = MAX_HEAD_BYTES as u64 + payload::MAX_BUFFERED_BYTES + 16 * 1024;

/// Returns the number of connections that take so much memory, in mebibytes.
#[must_use]
pub fn connections_for_memory(memory_mib: u64) -> usize {
    let connections = memory_mib.saturating_mul(1024 * 1024) / CONNECTION_BYTES;
    usize::try_from(connections).unwrap_or(usize::MAX)
}

/// Sets up a [`Front`].
pub struct Builder {
    pub(crate) entry_host: id::EntryHostId,
    pub(crate) snapshots: Arc<SnapshotCell>,
    pub(crate) epoch: Instant,
    pub(crate) log: slog::Logger,
    pub(crate) records: Option<Arc<dyn StartedRecords>>,
    reports: Option<mpsc::Sender<traffic::TrafficReport>>,
    report_interval: Duration,
    default_request_time: time::SpanMs,
    max_request_time: time::SpanMs,
    pub(crate) max_body_bytes: u64,
    max_connections: usize,
    unready_period: Duration,
    stop_timeout: Duration,
    routing: router::Settings,
    seed: u64,
}

impl Builder {
    /// Sets the instant at which the clock of the snapshots reads zero. Default: the time of the
    /// call to [`Front::builder`].
    #[must_use]
    pub const fn epoch(mut self, epoch: Instant) -> Self {
        self.epoch = epoch;
        self
    }

    /// Sets the logger. Default: discards everything.
    #[must_use]
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Sets the store of started records. Default: none; requests that must not run twice are then
    /// refused with [`ResultCode::StoreUnavailable`] if they carry a key.
    #[must_use]
    pub fn records(mut self, records: Arc<dyn StartedRecords>) -> Self {
        self.records = Some(records);
        self
    }

    /// Sets the channel for reports to the control thread. Default: none.
    #[must_use]
    pub fn reports(mut self, reports: mpsc::Sender<traffic::TrafficReport>) -> Self {
        self.reports = Some(reports);
        self
    }

    /// Sets the interval between reports. Default: 1 s.
    #[must_use]
    pub const fn report_interval(mut self, interval: Duration) -> Self {
        self.report_interval = interval;
        self
    }

    /// Sets the time limit of a request without `x-deadline-ms`. Default: 10 s.
    #[must_use]
    pub const fn default_request_time(mut self, span: time::SpanMs) -> Self {
        self.default_request_time = span;
        self
    }

    /// Sets the maximum time limit of a request; longer ones are shortened to it. The leases of
    /// slot shares rely on this maximum. Default: 60 s.
    #[must_use]
    pub const fn max_request_time(mut self, span: time::SpanMs) -> Self {
        self.max_request_time = span;
        self
    }

    /// Sets the maximum length of a request's body. Default: 64 MiB.
    #[must_use]
    pub const fn max_body_bytes(mut self, bytes: u64) -> Self {
        self.max_body_bytes = bytes;
        self
    }

    /// Sets the maximum number of concurrent connections. If there are more, the one that has kept the front
    /// waiting longest for a request is closed. Default: 10,000.
    #[must_use]
    pub const fn max_connections(mut self, connections: usize) -> Self {
        self.max_connections = connections;
        self
    }

    /// Sets how long a planned stop continues to serve after turning unready. Default: zero.
    #[must_use]
    pub const fn unready_period(mut self, span: Duration) -> Self {
        self.unready_period = span;
        self
    }

    /// Sets how long a planned stop waits for requests in flight. Default: 60 s, which is the
    /// default maximum time limit of a request.
    #[must_use]
    pub const fn stop_timeout(mut self, span: Duration) -> Self {
        self.stop_timeout = span;
        self
    }

    /// Sets the parameters of target choice, limits and retries. Default:
    /// [`router::Settings::default`].
    #[must_use]
    pub const fn routing(mut self, settings: router::Settings) -> Self {
        self.routing = settings;
        self
    }

    /// Sets the seed of random choices. Default: random.
    #[must_use]
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Builds the front.
    #[must_use]
    pub fn build(self) -> Front {
        let dispatcher = Dispatcher::new(
            self.routing,
            Arc::clone(&self.snapshots),
            self.epoch,
            self.seed,
        );
        Front {
            shared: Arc::new(Shared {
                settings: self,
                dispatcher,
                clients: Clients::new(),
                instance: rand::random(),
                next_request_number: AtomicU64::new(1),
                ready: AtomicBool::new(true),
                stopping: AtomicBool::new(false),
            }),
        }
    }
}

/// State shared by all requests of a front.
pub(crate) struct Shared {
    pub(crate) settings: Builder,
    pub(crate) dispatcher: Arc<Dispatcher>,
    pub(crate) clients: Clients,
    instance: u32,
    next_request_number: AtomicU64,
    ready: AtomicBool,
    stopping: AtomicBool,
}

impl Shared {
    /// Whether new requests are accepted. A stopping front accepts them until its listener closes.
    pub(crate) fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Relaxed)
    }

    /// Returns an identifier for a request without one. The random `instance` distinguishes it from
    /// those made before a restart.
    fn make_request_id(&self) -> Arc<str> {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let entry_host = &self.settings.entry_host;
        Arc::from(format!("{entry_host}-{:08x}-{number}", self.instance))
    }

    fn deadline(&self, head: &RequestHead) -> time::TimeMs {
        let requested = head.time_left.unwrap_or(self.settings.default_request_time);
        self.dispatcher.now() + requested.min(self.settings.max_request_time)
    }
}

/// Result of a planned stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stopped {
    /// Number of requests still in flight or waiting when the stop timed out.
    pub cut_off: u64,
}

/// The callers' HTTP server. Cheap to clone.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Returns a builder for a front that uses the routes of the given snapshots.
    #[must_use]
    pub fn builder(entry_host: id::EntryHostId, snapshots: Arc<SnapshotCell>) -> Builder {
        Builder {
            entry_host,
            snapshots,
            epoch: Instant::now(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
            records: None,
            reports: None,
            report_interval: Duration::from_secs(1),
            default_request_time: time::SpanMs::from_secs(10),
            max_request_time: time::SpanMs::from_secs(60),
            max_body_bytes: 64 * 1024 * 1024,
            max_connections: 10_000,
            unready_period: Duration::ZERO,
            stop_timeout: Duration::from_mins(1),
            routing: router::Settings::default(),
            seed: rand::random(),
        }
    }

    /// Sets whether requests are accepted; otherwise they are refused with the outcome "not run". A
    /// new front is ready.
    pub fn set_ready(&self, ready: bool) {
        self.shared.ready.store(ready, Ordering::Relaxed);
    }

    /// Returns the application, for use in another server. Such a server must limit the number of
    /// connections and the size of request heads, and run [`Front::run_background`];
    /// [`Front::serve`] does all of this itself.
    pub fn app(&self) -> Router {
        Router::new()
            .route("/ready", axum::routing::get(readiness))
            .fallback(handle)
            .with_state(Arc::clone(&self.shared))
    }

    /// Installs snapshots when they are published and sends reports to the control thread, until
    /// the future is dropped.
    pub async fn run_background(&self) {
        tokio::join!(self.shared.dispatcher.run(), self.send_reports());
    }

    /// Serves callers until `shutdown` completes, then completes the requests in flight.
    ///
    /// # Errors
    ///
    /// If the listener's local address cannot be read.
    pub async fn serve(
        &self,
        listener: TcpListener,
        shutdown: impl Future<Output = ()> + Send,
    ) -> std::io::Result<Stopped> {
        let listener = connection::PlainListener(listener);
        self.serve_on(listener, shutdown).await
    }

    /// Like [`Front::serve`], with connections from any listener, such as one that does the TLS
    /// handshake.
    ///
    /// # Errors
    ///
    /// If the listener's local address cannot be read.
    pub async fn serve_on<L: axum::serve::Listener>(
        &self,
        listener: L,
        shutdown: impl Future<Output = ()> + Send,
    ) -> std::io::Result<Stopped> {
        listener.local_addr()?;
        let serving = self.serve_connections(listener, shutdown);
        tokio::select! {
            stopped = serving => Ok(stopped),
            () = self.run_background() => Ok(Stopped { cut_off: 0 }),
        }
    }

    async fn serve_connections<L: axum::serve::Listener>(
        &self,
        listener: L,
        shutdown: impl Future<Output = ()> + Send,
    ) -> Stopped {
        let settings = &self.shared.settings;
        let (stop, stopping) = watch::channel(false);
        let (connection_guard, mut all_closed) = mpsc::channel::<()>(1);
        let limits = Limits {
            max_connections: settings.max_connections,
            max_body_bytes: 0,
        };
        let server = Server::builder("callers", limits)
            .request_limits(|| RequestLimits {
                max_head_bytes: MAX_HEAD_BYTES,
                ..RequestLimits::default()
            })
            .log(settings.log.clone())
            .build();
        let app = self.app();
        let handler = move |request| answer(app.clone(), request);
        let accepting = tokio::spawn(async move {
            server
                .accept(listener, handler, stopping, connection_guard)
                .await;
        });
        shutdown.await;
        self.shared.stopping.store(true, Ordering::Relaxed);
        slog::info!(settings.log, "callers.stopping";
            "in_flight" => self.shared.dispatcher.active_requests());
        tokio::time::sleep(settings.unready_period).await;
        let _ = stop.send(true);
        // The accept task's clone of the sender is dropped with it.
        let _ = accepting.await;
        let finished = tokio::time::timeout(settings.stop_timeout, all_closed.recv()).await;
        let cut_off = match finished {
            Ok(_) => 0,
            Err(_) => self.shared.dispatcher.active_requests(),
        };
        slog::info!(settings.log, "callers.stopped"; "cut_off" => cut_off);
        Stopped { cut_off }
    }

    async fn send_reports(&self) {
        let settings = &self.shared.settings;
        let Some(reports) = &settings.reports else {
            return std::future::pending().await;
        };
        let mut dropped = 0;
        let mut ticks = tokio::time::interval(settings.report_interval);
        loop {
            ticks.tick().await;
            let report = self.shared.dispatcher.report(dropped);
            if reports.try_send(report).is_err() {
                dropped += 1;
                metrics::counter!("mangotrestle_front_reports_dropped").increment(1);
            }
        }
    }
}

/// Answers a request of a caller. A request whose body is streamed may run before it is complete, so its
/// connection must not give way to others.
async fn answer(app: Router, request: http::Request<RequestBody>) -> Response {
    let length = http_body::Body::size_hint(request.body()).exact();
    if length.is_none_or(|length| length > payload::MAX_BUFFERED_BYTES) {
        request.body().pass_on();
    }
    let answered = app.oneshot(request.map(Body::new)).await;
    answered.unwrap_or_else(|error| match error {})
}

async fn readiness(State(shared): State<Arc<Shared>>) -> StatusCode {
    if shared.is_ready() && !shared.stopping.load(Ordering::Relaxed) {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    }
}

async fn handle(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let (parts, body) = request.into_parts();
    let make_id = || shared.make_request_id();
    let head = match RequestHead::parse(&parts.method, &parts.uri, &parts.headers, make_id) {
        Ok(head) => head,
        Err(fault) => {
            let fallback = shared.make_request_id();
            let request_id = request_head::request_id(&parts.headers).unwrap_or(&fallback);
            return Refusal::new(ResultCode::InvalidInput, fault.to_string())
                .to_response(request_id);
        }
    };
    let forward = Forward {
        shared: &shared,
        head: &head,
        deadline: shared.deadline(&head),
    };
    let result = forward.run(&parts, body).await;
    let code = result
        .as_ref()
        .map_or_else(|refusal| refusal.code, |_| ResultCode::Ok);
    metrics::counter!("mangotrestle_front_requests", "code" => code.slug()).increment(1);
    result.unwrap_or_else(|refusal| {
        if refusal.is_not_run() {
            shared.dispatcher.count_not_run(&head.job);
        }
        refusal.to_response(&head.request_id)
    })
}
