//! Metrics page and health checks.
//!
//! `/metrics` shows everything that the process counts, in the Prometheus text form. `/healthz`
//! answers while the process runs. `/readyz` says whether the balancer may send callers here; it
//! turns to 503 at the start of a planned stop, before any listener closes.

use std::io;
use std::sync::OnceLock;
use std::time::Duration;

use axum::extract;
use axum::http;
use axum::routing;
use displaydoc::Display;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use tokio::net;
use tokio::sync::watch;

/// How often the recorder folds its samples into histograms.
const UPKEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Upper bounds of the buckets of every histogram whose name ends in `_seconds`.
const SECONDS_BUCKETS: [f64; 14] = [
    0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// Whether this entry host takes work.
#[derive(Clone, Debug, Display, Eq, PartialEq)]
pub enum Readiness {
    /// starting: {0}
    Starting(String),
    /// ready
    Ready,
    /// stopping
    Stopping,
}

/// Why there is no recorder of metrics.
#[derive(Debug, Display)]
pub enum TelemetryError {
    /// the recorder of metrics cannot be installed: {0}
    Install(String),
}

impl std::error::Error for TelemetryError {}

/// Installs the process's recorder of metrics, once; later calls give the same one.
///
/// # Errors
///
/// If another recorder is installed already.
pub fn recorder() -> Result<PrometheusHandle, TelemetryError> {
    static RECORDER: OnceLock<Result<PrometheusHandle, String>> = OnceLock::new();
    let installed = RECORDER.get_or_init(|| install().map_err(|error| error.to_string()));
    installed.clone().map_err(TelemetryError::Install)
}

fn install() -> Result<PrometheusHandle, metrics_exporter_prometheus::BuildError> {
    let seconds = metrics_exporter_prometheus::Matcher::Suffix("_seconds".to_owned());
    PrometheusBuilder::new()
        .set_buckets_for_metric(seconds, &SECONDS_BUCKETS)?
        .install_recorder()
}

/// What the page shows.
#[derive(Clone)]
struct Page {
    recorder: PrometheusHandle,
    readiness: watch::Receiver<Readiness>,
}

/// Serves the page until `shutdown` turns true.
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
    let page = Page {
        recorder: recorder.clone(),
        readiness,
    };
    let routes = axum::Router::new()
        .route("/metrics", routing::get(metrics_page))
        .route("/healthz", routing::get(|| async { "ok\n" }))
        .route("/readyz", routing::get(readiness_page))
        .with_state(page);
    let mut stop = shutdown.clone();
    let server = axum::serve(listener, routes).with_graceful_shutdown(async move {
        let _ = stop.wait_for(|stop| *stop).await;
    });
    tokio::select! {
        result = server => result,
        () = upkeep(&recorder) => Ok(()),
        () = after_stop(&mut shutdown) => Ok(()),
    }
}

/// An idle connection of a scraper must not hold up a planned stop.
async fn after_stop(shutdown: &mut watch::Receiver<bool>) {
    let _ = shutdown.wait_for(|stop| *stop).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
}

async fn upkeep(recorder: &PrometheusHandle) {
    let mut ticks = tokio::time::interval(UPKEEP_INTERVAL);
    loop {
        ticks.tick().await;
        recorder.run_upkeep();
    }
}

async fn metrics_page(
    extract::State(page): extract::State<Page>,
) -> impl axum::response::IntoResponse {
    let headers = [(http::header::CONTENT_TYPE, "text/plain; version=0.0.4")];
    (headers, page.recorder.render())
}

async fn readiness_page(extract::State(page): extract::State<Page>) -> (http::StatusCode, String) {
    let readiness = page.readiness.borrow().clone();
    let status = match readiness {
        Readiness::Ready => http::StatusCode::OK,
        Readiness::Starting(_) | Readiness::Stopping => http::StatusCode::SERVICE_UNAVAILABLE,
    };
    (status, format!("{readiness}\n"))
}
