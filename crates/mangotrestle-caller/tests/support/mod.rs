//! Targets, entry hosts and callers on loopback.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use axum::body::Body;
use axum::extract::Request;
use axum::response::Response;
use bytes::Bytes;
use http::StatusCode;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mangotrestle_caller::front::{Builder, Front, Stopped};
use mangotrestle_caller::snapshot_cell::SnapshotCell;
use mangotrestle_caller::started::{MemoryRecords, StartedRecords};
use mangotrestle_core::id;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

pub const JOB: &str = "booking";
pub const ONE_HOUR: time::SpanMs = time::SpanMs(3_600_000);

/// What a target does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Answers with the request's body, or with its identifier if the body is empty.
    Echo,
    /// Like `Echo`, but answers after a delay.
    Slow(Duration),
    /// Runs the request and answers with status 500.
    Fault,
    /// Refuses the request because it is leaving.
    Leaving,
    /// Answers with the identifier of another request.
    OtherRequest,
}

/// Counters of a target.
#[derive(Debug, Default)]
pub struct TargetCounters {
    pub runs: AtomicU32,
    pub refusals: AtomicU32,
    pub in_flight: AtomicU32,
    pub max_in_flight: AtomicU32,
    pub cancelled: AtomicU32,
    /// Value of `x-deadline-ms` of each request, in order of arrival.
    pub times_left_ms: Mutex<Vec<u64>>,
}

impl TargetCounters {
    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

pub struct TestTarget {
    pub address: SocketAddr,
    pub counters: Arc<TargetCounters>,
}

struct InFlight {
    counters: Arc<TargetCounters>,
    done: bool,
}

impl InFlight {
    fn begin(counters: &Arc<TargetCounters>) -> Self {
        let in_flight = counters.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        counters
            .max_in_flight
            .fetch_max(in_flight, Ordering::SeqCst);
        Self {
            counters: Arc::clone(counters),
            done: false,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.counters.in_flight.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.counters.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Starts a target that answers with well-formed HTTP.
pub async fn target(behaviour: Behaviour) -> TestTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = Arc::new(TargetCounters::default());
    let state = Arc::clone(&counters);
    let app = axum::Router::new().fallback(move |request: Request| {
        let counters = Arc::clone(&state);
        async move { answer(behaviour, &counters, request).await }
    });
    tokio::spawn(async move { axum::serve(listener, app).await });
    TestTarget { address, counters }
}

async fn answer(
    behaviour: Behaviour,
    counters: &Arc<TargetCounters>,
    request: Request,
) -> Response {
    let request_id = header(&request, "x-request-id");
    let time_left_ms = header(&request, "x-deadline-ms").parse().unwrap();
    counters.times_left_ms.lock().unwrap().push(time_left_ms);
    if matches!(behaviour, Behaviour::Leaving) {
        counters.refusals.fetch_add(1, Ordering::SeqCst);
        return refusal("4006");
    }
    counters.runs.fetch_add(1, Ordering::SeqCst);
    let mut in_flight = InFlight::begin(counters);
    let body = request.into_body().collect().await.unwrap().to_bytes();
    if let Behaviour::Slow(delay) = behaviour {
        tokio::time::sleep(delay).await;
    }
    in_flight.done = true;
    let mut response = Response::new(if body.is_empty() {
        Body::from(request_id)
    } else {
        Body::from(body)
    });
    match behaviour {
        Behaviour::Fault => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        Behaviour::OtherRequest => {
            let other = "somebody-elses".parse().unwrap();
            response.headers_mut().insert("x-request-id", other);
        }
        _ => {}
    }
    response
}

fn header(request: &Request, name: &str) -> String {
    let value = request.headers().get(name).unwrap();
    value.to_str().unwrap().to_owned()
}

fn refusal(code: &str) -> Response {
    let mut response = Response::new(Body::empty());
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert("x-result-code", code.parse().unwrap());
    response
}

/// Starts a target that reads a request's head, writes these bytes and closes the connection.
pub async fn raw_target(bytes: &'static [u8]) -> TestTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let counters = Arc::new(TargetCounters::default());
    let state = Arc::clone(&counters);
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut head = Vec::new();
            let mut buffer = [0; 4096];
            while !head.windows(4).any(|end| end == b"\r\n\r\n") {
                match stream.read(&mut buffer).await {
                    Ok(0) | Err(_) => break,
                    Ok(length) => head.extend_from_slice(&buffer[..length]),
                }
            }
            if head.is_empty() {
                continue;
            }
            state.runs.fetch_add(1, Ordering::SeqCst);
            let _ = stream.write_all(bytes).await;
            let _ = stream.shutdown().await;
        }
    });
    TestTarget { address, counters }
}

/// Returns an address on which nothing listens.
pub async fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

pub fn zone() -> id::AvailabilityZoneId {
    id::AvailabilityZoneId::new("piraeus").unwrap()
}

pub fn worker(index: usize) -> id::WorkerId {
    id::WorkerId::new(&format!("w-{index}")).unwrap()
}

pub fn job() -> id::JobId {
    id::JobId::new(JOB).unwrap()
}

/// Returns routes to one service with the given targets, each on its own worker with `slots` slots.
pub fn routes(addresses: &[SocketAddr], slots: u32) -> snapshot::RouteSnapshot {
    let mut routes = snapshot::RouteSnapshot::empty(zone());
    let mut service = snapshot::ServiceRoutes::new(job(), id::TeamId::new("web").unwrap());
    for (index, &address) in addresses.iter().enumerate() {
        service.targets.push(snapshot::Target {
            index: u32::try_from(index).unwrap(),
            worker: worker(index),
            availability_zone: zone(),
            address,
            state: snapshot::TargetState::Ready {
                since: time::TimeMs(0),
            },
        });
        let share = snapshot::WorkerShare {
            slots,
            connections: 64,
            expires_at: time::TimeMs(0) + ONE_HOUR,
        };
        routes.shares.insert(worker(index), share);
    }
    routes.add_service(service);
    routes
}

/// An entry host that serves on loopback.
pub struct EntryHost {
    pub address: SocketAddr,
    pub snapshots: Arc<SnapshotCell>,
    pub front: Front,
    stop: Option<oneshot::Sender<()>>,
    serving: Option<JoinHandle<std::io::Result<Stopped>>>,
    /// Separate for each entry host, so that a host can be killed with all its tasks.
    runtime: Option<Runtime>,
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl EntryHost {
    /// Starts a planned stop; [`EntryHost::stopped`] waits for its end.
    pub fn stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    pub async fn stopped(mut self) -> Stopped {
        self.serving.take().unwrap().await.unwrap().unwrap()
    }

    /// Ends the entry host without a planned stop.
    pub fn kill(self) {
        drop(self);
    }
}

/// Starts an entry host with its own store of started records.
pub fn entry_host(routes: snapshot::RouteSnapshot) -> EntryHost {
    entry_host_with(routes, memory_records(), |builder| builder)
}

pub fn memory_records() -> Arc<dyn StartedRecords> {
    Arc::new(MemoryRecords::new(ONE_HOUR))
}

pub fn entry_host_with(
    routes: snapshot::RouteSnapshot,
    records: Arc<dyn StartedRecords>,
    configure: impl FnOnce(Builder) -> Builder,
) -> EntryHost {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.set_nonblocking(true).unwrap();
    let address = listener.local_addr().unwrap();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .unwrap();
    let snapshots = Arc::new(SnapshotCell::new(routes));
    let name = id::EntryHostId::new("e-1").unwrap();
    let builder = Front::builder(name, Arc::clone(&snapshots))
        .records(records)
        .seed(1);
    let front = configure(builder).build();
    let (stop, stopping) = oneshot::channel();
    let server = front.clone();
    let serving = runtime.spawn(async move {
        let listener = TcpListener::from_std(listener).unwrap();
        let shutdown = async {
            let _ = stopping.await;
        };
        server.serve(listener, shutdown).await
    });
    EntryHost {
        address,
        snapshots,
        front,
        stop: Some(stop),
        serving: Some(serving),
        runtime: Some(runtime),
    }
}

/// A response as received by a caller.
#[derive(Debug)]
pub struct CallerResponse {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl CallerResponse {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }

    pub fn code(&self) -> &str {
        self.header("x-result-code")
    }
}

pub type Caller = Client<HttpConnector, Full<Bytes>>;

pub fn caller() -> Caller {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Builds a request to a path of the service.
pub fn request(
    entry_host: &EntryHost,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> http::Request<Full<Bytes>> {
    let uri = format!("http://{}/v1/services/{JOB}/{path}", entry_host.address);
    let mut builder = http::Request::builder().method(method).uri(uri);
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::from(body.to_owned())).unwrap()
}

/// Sends a request; an error means that no complete answer was received.
pub async fn send(request: http::Request<Full<Bytes>>) -> Result<CallerResponse, String> {
    let answer = caller()
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(CallerResponse {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Returns the status of `GET /ready` at the address.
pub async fn readiness(address: SocketAddr) -> StatusCode {
    let uri = format!("http://{address}/ready");
    let request = http::Request::get(uri).body(Full::default()).unwrap();
    send(request).await.unwrap().status
}

pub async fn get(entry_host: &EntryHost, headers: &[(&str, &str)]) -> CallerResponse {
    send(request(entry_host, "GET", "status", headers, ""))
        .await
        .unwrap()
}

/// Sends a request that must not run twice.
pub async fn pay(
    entry_host: &EntryHost,
    key: &str,
    extra_headers: &[(&str, &str)],
) -> CallerResponse {
    let mut headers = vec![("idempotency-key", key)];
    headers.extend_from_slice(extra_headers);
    send(request(entry_host, "POST", "pay", &headers, "12 EUR"))
        .await
        .unwrap()
}
