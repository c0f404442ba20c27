//! Latency that an entry host adds to a request, and its throughput, with real sockets on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use axum::Router;
use axum::body::Body;
use axum::extract::{Request, State};
use axum::response::Response;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use mangotrestle_caller::started::MemoryRecords;
use mangotrestle_core::time;

use crate::measure::report::Figure;
use crate::measure::route::loopback::{self, Caller, JOB, Server};

const TARGETS: usize = 8;
/// Number of slots of each target's worker.
const SLOTS: u32 = 8;
/// Number of sequential requests whose latency is measured.
const LATENCY_REQUESTS: u32 = 4_000;
/// Number of requests before the latency measurement, which open connections.
const WARM_UP_REQUESTS: u32 = 400;
/// Number of concurrent requests during the throughput measurement.
const CONCURRENCY: usize = 48;
/// Duration of the throughput measurement.
const THROUGHPUT_DURATION: Duration = Duration::from_secs(3);

fn target() -> Server {
    Server::app(Router::new().fallback(async || "confirmed"))
}

/// A minimal router: round robin, without limits or deadlines.
#[derive(Clone)]
struct NaiveProxy {
    targets: Arc<Vec<SocketAddr>>,
    next: Arc<AtomicUsize>,
    client: Caller,
}

fn naive_proxy(targets: Vec<SocketAddr>) -> Server {
    let proxy = NaiveProxy {
        targets: Arc::new(targets),
        next: Arc::default(),
        client: loopback::caller(),
    };
    Server::app(Router::new().fallback(forward).with_state(proxy))
}

async fn forward(State(proxy): State<NaiveProxy>, request: Request) -> Response {
    let index = proxy.next.fetch_add(1, Ordering::Relaxed) % proxy.targets.len();
    let uri = format!("http://{}{}", proxy.targets[index], request.uri().path());
    let (parts, body) = request.into_parts();
    let body = body
        .collect()
        .await
        .map(http_body_util::Collected::to_bytes)
        .unwrap_or_default();
    let mut outgoing = http::Request::new(Full::from(body));
    *outgoing.method_mut() = parts.method;
    *outgoing.uri_mut() = uri.parse().expect("the path was valid");
    let answer = proxy.client.request(outgoing).await;
    answer.map_or_else(
        |_| Response::new(Body::empty()),
        |answer| answer.map(Body::new),
    )
}

async fn send_request(caller: &Caller, address: SocketAddr) -> bool {
    let uri = format!("http://{address}/v1/services/{JOB}/confirm");
    let request = http::Request::get(uri)
        .body(Full::default())
        .expect("the request is valid");
    let Ok(answer) = caller.request(request).await else {
        return false;
    };
    let ok = answer.status().is_success();
    ok && answer.into_body().collect().await.is_ok()
}

async fn latency_us(address: SocketAddr) -> Histogram<u64> {
    let caller = loopback::caller();
    let mut latency =
        Histogram::new_with_bounds(1, 60_000_000, 3).expect("the bounds are in order");
    for number in 0..WARM_UP_REQUESTS + LATENCY_REQUESTS {
        let started = Instant::now();
        let ok = send_request(&caller, address).await;
        assert!(ok, "a request on loopback failed");
        if number >= WARM_UP_REQUESTS {
            latency.saturating_record(u64::try_from(started.elapsed().as_micros()).unwrap_or(0));
        }
    }
    latency
}

/// Returns the number of requests per second that a server with one thread answers, with the
/// callers in other threads.
#[allow(clippy::cast_precision_loss, reason = "counts far below 2^52")]
async fn throughput_per_s(address: SocketAddr) -> f64 {
    let caller = loopback::caller();
    let until = Instant::now() + THROUGHPUT_DURATION;
    let send_until_end = |caller: Caller| async move {
        let mut answered = 0_u64;
        while Instant::now() < until {
            answered += u64::from(send_request(&caller, address).await);
        }
        answered
    };
    let started = Instant::now();
    let senders: Vec<_> = (0..CONCURRENCY)
        .map(|_| tokio::spawn(send_until_end(caller.clone())))
        .collect();
    let mut answered = 0;
    for sender in senders {
        answered += sender.await.unwrap_or(0);
    }
    answered as f64 / started.elapsed().as_secs_f64()
}

#[allow(clippy::cast_precision_loss, reason = "latencies far below 2^52")]
fn added_ms(path_latency: &Histogram<u64>, direct_latency: &Histogram<u64>, quantile: f64) -> f64 {
    let added_us = path_latency.value_at_quantile(quantile) as f64
        - direct_latency.value_at_quantile(quantile) as f64;
    added_us / 1_000.0
}

/// Measures the latency that an entry host adds and the requests per second that one server thread
/// answers, and compares them with a naive proxy.
pub async fn measure_path(figures: &mut Vec<Figure>) {
    let targets: Vec<Server> = (0..TARGETS).map(|_| target()).collect();
    let addresses: Vec<SocketAddr> = targets.iter().map(|target| target.address).collect();
    let records = Arc::new(MemoryRecords::new(time::SpanMs::from_secs(60)));
    let routed = loopback::entry_host(1, loopback::routes(&addresses, SLOTS), records);
    let naive = naive_proxy(addresses.clone());
    let direct_latency = latency_us(addresses[0]).await;
    let routed_latency = latency_us(routed.address).await;
    let naive_latency = latency_us(naive.address).await;
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        figures.push(
            Figure::new(
                &format!("latency added by the path, {name}"),
                added_ms(&routed_latency, &direct_latency, quantile),
                "ms",
            )
            .naive(added_ms(&naive_latency, &direct_latency, quantile)),
        );
    }
    let routed_per_s = throughput_per_s(routed.address).await;
    let naive_per_s = throughput_per_s(naive.address).await;
    figures.push(
        Figure::new(
            "requests answered by one server thread",
            routed_per_s,
            "1/s",
        )
        .naive(naive_per_s),
    );
}
