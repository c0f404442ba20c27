//! HTTP endpoints for metrics and health checks.
//!
//! `/metrics` returns all metrics of the process in the Prometheus text format. `/healthz` answers
//! 200 while the process runs. `/readyz` tells the load balancer whether it may send callers here;
//! it answers 503 while the entry host starts, and from the start of a planned stop, before any
//! listener closes.

use std::io;
use std::sync::OnceLock;
use std::time::Duration;

use axum::body::Body;
use axum::extract;
use axum::http;
use axum::routing;
use displaydoc::Display;
use mangotrestle_core::intake::Limits;
use mangotrestle_http::Server;
use mangotrestle_http::body::RequestBody;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net;
use tokio::sync::watch;
use tower::ServiceExt;

/// Limits of the connections of load balancers and of observers.
const CONNECTION_LIMITS: Limits = Limits {
    max_connections: 64,
    max_body_bytes: 0,
};

/// Interval at which the recorder moves its samples into histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds, in seconds, of the buckets of all histograms whose name ends in `_seconds`.
const SECONDS_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Readiness of this entry host for callers.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Readiness {
    /// starting: {0}
    Starting(String),
    /// ready
    Ready,
    /// stopping
    Stopping,
}

/// Failure to set up the metrics.
#[derive(Debug, Display)]
pub enum TelemetryError {
    /// the metrics recorder cannot be installed: {0}
    Install(String),
}

impl std::error::Error for TelemetryError {}

/// Returns the metrics recorder of the process; the first call installs it.
///
/// # Errors
///
/// If another recorder has been installed.
pub fn recorder() -> Result<PrometheusHandle, TelemetryError> {
    static RECORDER: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();
    let installed = RECORDER.get_or_init(|| install().map_err(|error| error.to_string()));
    installed.clone().map_err(TelemetryError::Install)
}

fn install() -> Result<PrometheusHandle, metrics_exporter_prometheus::BuildError> {
    let seconds_suffix = metrics_exporter_prometheus::Matcher::Suffix("_seconds".to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(seconds_suffix, &SECONDS_BUCKETS)?
        .install_recorder()
}

/// State shared by the request handlers.
#[derive(Clone)]
struct HandlerState {
    recorder: PrometheusHandle,
    readiness: watch::Receiver<Readiness>,
}

/// Serves the endpoints until `shutdown` turns true, and then for at most one more second.
///
/// # Errors
///
/// If the listener fails.
pub async fn serve(
    listener: net::TcpListener,
    recorder: PrometheusHandle,
    readiness: watch::Receiver<Readiness>,
    mut shutdown: watch::Receiver<bool>,
) -> io::Result<()> {
    let state = HandlerState {
        recorder: recorder.clone(),
        readiness,
    };
    let routes = axum::Router::new()
        .route("/metrics", routing::get(metrics_page))
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(readiness_page))
        .with_state(state);
    let server = Server::builder("health", CONNECTION_LIMITS).build();
    let handler = move |request: http::Request<RequestBody>| {
        let routes = routes.clone();
        async move {
            let answered = routes.oneshot(request.map(Body::new)).await;
            answered.unwrap_or_else(|error| match error {})
        }
    };
    let server = server.serve(listener, handler, shutdown.clone());
    tokio::select! {
        () = server => Ok(()),
        () = run_upkeep(&recorder) => Ok(()),
        () = shutdown_grace_elapsed(&mut shutdown) => Ok(()),
    }
}

/// Completes one second after `shutdown` turns true, since an idle connection of a metrics scraper
/// must not delay a planned stop.
async fn shutdown_grace_elapsed(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stop| *stop).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
}

/// Moves samples into histograms at each interval; never completes.
async fn run_upkeep(recorder: &PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        recorder.run_upkeep();
    }
}

async fn metrics_page(
    extract::State(state): extract::State<HandlerState>,
) -> impl axum::response::IntoResponse {
    let headers = [(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")];
    (headers, state.recorder.render())
}

async fn readiness_page(
    extract::State(state): extract::State<HandlerState>,
) -> (http::StatusCode, String) {
    let readiness = state.readiness.borrow().clone();
    let status = match readiness {
        Readiness::Ready => http::StatusCode::OK,
        Readiness::Starting(_) | Readiness::Stopping => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{readiness}\n"))
}
