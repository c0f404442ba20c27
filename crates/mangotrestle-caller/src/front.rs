//! The server that callers talk to.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mangotrestle_core::id;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use tokio::net::TcpListener;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::refusal::Refusal;
use crate::request_head::{self, RequestHead};
use crate::snapshot_cell::SnapshotCell;
use crate::started::StartedRecords;
use crate::traffic;

/// Sets up a [`Front`].
pub struct Builder {
    entry_host: id::EntryHostId,
    snapshots: Arc<SnapshotCell>,
    epoch: Instant,
    log: slog::Logger,
    records: Option<Arc<dyn StartedRecords>>,
    reports: Option<mpsc::Sender<traffic::TrafficReport>>,
    default_time: time::SpanMs,
    longest_time: time::SpanMs,
    stop_within: Duration,
}

impl Builder {
    /// Zero of the clock that the snapshots' times are readings of. Default: the time of the call
    /// to [`Front::builder`].
    #[must_use]
    pub const fn epoch(mut self, epoch: Instant) -> Self {
        self.epoch = epoch;
        self
    }

    /// Where log lines go. Default: nowhere.
    #[must_use]
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Store of the requests that must not run twice. Default: none, and such requests are refused
    /// with [`ResultCode::StoreUnavailable`] if they carry a key.
    #[must_use]
    pub fn records(mut self, records: Arc<dyn StartedRecords>) -> Self {
        self.records = Some(records);
        self
    }

    /// Channel to the control thread. Default: none.
    #[must_use]
    pub fn reports(mut self, reports: mpsc::Sender<traffic::TrafficReport>) -> Self {
        self.reports = Some(reports);
        self
    }

    /// Time for a request that names no deadline. Default: 10 s.
    #[must_use]
    pub const fn default_time(mut self, span: time::SpanMs) -> Self {
        self.default_time = span;
        self
    }

    /// Greatest time for a request; longer ones are shortened to it. Default: 60 s.
    #[must_use]
    pub const fn longest_time(mut self, span: time::SpanMs) -> Self {
        self.longest_time = span;
        self
    }

    /// How long a planned stop waits for requests in flight. Default: the longest time of a
    /// request.
    #[must_use]
    pub const fn stop_within(mut self, span: Duration) -> Self {
        self.stop_within = span;
        self
    }

    /// Builds the front.
    #[must_use]
    pub fn build(self) -> Front {
        let client = Client::builder(TokioExecutor::new()).build_http();
        Front {
            shared: Arc::new(Shared {
                settings: self,
                client,
                next_id: AtomicU64::new(1),
            }),
        }
    }
}

struct Shared {
    settings: Builder,
    client: Client<HttpConnector, Body>,
    next_id: AtomicU64,
}

/// The callers' HTTP server. Cheap to clone.
#[derive(Clone)]
pub struct Front {
    shared: Arc<Shared>,
}

impl Front {
    /// Starts the settings of a front that routes by the given snapshots.
    #[must_use]
    pub fn builder(entry_host: id::EntryHostId, snapshots: Arc<SnapshotCell>) -> Builder {
        Builder {
            entry_host,
            snapshots,
            epoch: Instant::now(),
            log: slog::Logger::root(slog::Discard, slog::o!()),
            records: None,
            reports: None,
            default_time: time::SpanMs::from_secs(10),
            longest_time: time::SpanMs::from_secs(60),
            stop_within: Duration::from_mins(1),
        }
    }

    /// Serves callers until `shutdown` completes, then finishes what is in flight.
    ///
    /// # Errors
    ///
    /// The listener's error.
    pub async fn serve(
        &self,
        listener: TcpListener,
        shutdown: impl Future<Output = ()> + Send + 'static,
    ) -> std::io::Result<()> {
        let app = Router::new()
            .fallback(handle)
            .with_state(Arc::clone(&self.shared));
        axum::serve(listener, app)
            .with_graceful_shutdown(shutdown)
            .await
    }
}

async fn handle(State(shared): State<Arc<Shared>>, request: Request) -> Response {
    let number = shared.next_id.fetch_add(1, Ordering::Relaxed);
    let made_id = || Arc::from(format!("{}-{number}", shared.settings.entry_host));
    let head = RequestHead::parse(request.method(), request.uri(), request.headers(), made_id);
    match head {
        Ok(head) => forward(&shared, &head, request).await,
        Err(fault) => {
            let request_id = request_head::request_id(request.headers()).unwrap_or("invalid");
            Refusal::new(ResultCode::InvalidInput, fault.to_string()).to_response(request_id)
        }
    }
}

async fn forward(shared: &Shared, head: &RequestHead, mut request: Request) -> Response {
    let snapshot = shared.settings.snapshots.load();
    let Some(service) = snapshot.services.get(&head.job) else {
        let refusal = Refusal::new(ResultCode::NotFound, format!("no service {}", head.job));
        return refusal.to_response(&head.request_id);
    };
    let ready = |target: &&snapshot::Target| target.state != snapshot::TargetState::Leaving;
    let Some(target) = service.targets.iter().find(ready) else {
        let refusal = Refusal::new(ResultCode::NoReadyTarget, "no target is ready")
            .retry_after(time::SpanMs::from_secs(1));
        return refusal.to_response(&head.request_id);
    };
    let uri = format!(
        "http://{}/tasks/{}/{}/{}",
        target.address, head.job, target.index, head.rest
    );
    let Ok(uri) = uri.parse() else {
        return Refusal::new(ResultCode::InvalidInput, "path").to_response(&head.request_id);
    };
    *request.uri_mut() = uri;
    match shared.client.request(request).await {
        Ok(answer) => answer.map(Body::new),
        Err(error) => Refusal::new(ResultCode::OutcomeUnknown, error.to_string())
            .to_response(&head.request_id),
    }
}
