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
pub const LONG: time::SpanMs = time::SpanMs(3_600_000);

/// What a target does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Behaviour {
    /// Answers with the request's body, or its id if it has none.
    Echo,
    /// Answers after a time.
    Slow(Duration),
    /// Runs the request and answers with a fault.
    Fault,
    /// Says that it is leaving.
    Leaving,
    /// Names another request in its answer.
    OtherRequest,
}

/// What a target has seen.
#[derive(Debug, Default)]
pub struct Seen {
    pub runs: AtomicU32,
    pub refusals: AtomicU32,
    pub in_flight: AtomicU32,
    pub most_in_flight: AtomicU32,
    pub cancelled: AtomicU32,
    pub deadlines_ms: Mutex<Vec<u64>>,
}

impl Seen {
    pub fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

pub struct TestTarget {
    pub address: SocketAddr,
    pub seen: Arc<Seen>,
}

struct InFlight {
    seen: Arc<Seen>,
    done: bool,
}

impl InFlight {
    fn begin(seen: &Arc<Seen>) -> Self {
        let now = seen.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        seen.most_in_flight.fetch_max(now, Ordering::SeqCst);
        Self {
            seen: Arc::clone(seen),
            done: false,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.seen.in_flight.fetch_sub(1, Ordering::SeqCst);
        if !self.done {
            self.seen.cancelled.fetch_add(1, Ordering::SeqCst);
        }
    }
}

/// Starts a target that answers properly.
pub async fn target(behaviour: Behaviour) -> TestTarget {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let seen = Arc::new(Seen::default());
    let state = Arc::clone(&seen);
    let app = axum::Router::new().fallback(move |request: Request| {
        let seen = Arc::clone(&state);
        async move { answer(behaviour, &seen, request).await }
    });
    tokio::spawn(async move { axum::serve(listener, app).await });
    TestTarget { address, seen }
}

async fn answer(behaviour: Behaviour, seen: &Arc<Seen>, request: Request) -> Response {
    let request_id = header(&request, "x-request-id");
    let left_ms = header(&request, "x-deadline-ms").parse().unwrap();
    seen.deadlines_ms.lock().unwrap().push(left_ms);
    if matches!(behaviour, Behaviour::Leaving) {
        seen.refusals.fetch_add(1, Ordering::SeqCst);
        return refusal("4006");
    }
    seen.runs.fetch_add(1, Ordering::SeqCst);
    let mut in_flight = InFlight::begin(seen);
    let body = request.into_body().collect().await.unwrap().to_bytes();
    if let Behaviour::Slow(time) = behaviour {
        tokio::time::sleep(time).await;
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
    let seen = Arc::new(Seen::default());
    let state = Arc::clone(&seen);
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
    TestTarget { address, seen }
}

/// An address at which nothing listens.
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

/// Routes to one service with the given targets, each on its own worker with this many slots.
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
            expires_at: time::TimeMs(0) + LONG,
        };
        routes.shares.insert(worker(index), share);
    }
    routes.add_service(service);
    routes
}

/// An entry host.
pub struct EntryHost {
    pub address: SocketAddr,
    pub snapshots: Arc<SnapshotCell>,
    pub front: Front,
    stop: Option<oneshot::Sender<()>>,
    serving: Option<JoinHandle<std::io::Result<Stopped>>>,
    /// The entry host's own, so that it can be ended with all its tasks.
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
    /// Begins a planned stop and returns how to wait for its end.
    pub fn stop(&mut self) {
        self.stop.take().unwrap().send(()).unwrap();
    }

    pub async fn stopped(mut self) -> Stopped {
        self.serving.take().unwrap().await.unwrap().unwrap()
    }

    /// Ends the process without any order.
    pub fn kill(self) {
        drop(self);
    }
}

/// Starts an entry host with records of its own.
pub fn entry_host(routes: snapshot::RouteSnapshot) -> EntryHost {
    entry_host_with(routes, memory_records(), |builder| builder)
}

pub fn memory_records() -> Arc<dyn StartedRecords> {
    Arc::new(MemoryRecords::new(LONG))
}

pub fn entry_host_with(
    routes: snapshot::RouteSnapshot,
    records: Arc<dyn StartedRecords>,
    set_up: impl FnOnce(Builder) -> Builder,
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
    let front = set_up(builder).build();
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

/// What a caller was told.
#[derive(Debug)]
pub struct Told {
    pub status: StatusCode,
    pub headers: http::HeaderMap,
    pub body: Bytes,
}

impl Told {
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

/// A request below the service's path.
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

/// Sends a request; an error means that no whole answer came.
pub async fn send(request: http::Request<Full<Bytes>>) -> Result<Told, String> {
    let answer = caller()
        .request(request)
        .await
        .map_err(|error| error.to_string())?;
    let (parts, body) = answer.into_parts();
    let body = body.collect().await.map_err(|error| error.to_string())?;
    Ok(Told {
        status: parts.status,
        headers: parts.headers,
        body: body.to_bytes(),
    })
}

/// Asks the address whether it takes requests.
pub async fn ready(address: SocketAddr) -> StatusCode {
    let uri = format!("http://{address}/ready");
    let request = http::Request::get(uri).body(Full::default()).unwrap();
    send(request).await.unwrap().status
}

pub async fn get(entry_host: &EntryHost, headers: &[(&str, &str)]) -> Told {
    send(request(entry_host, "GET", "status", headers, ""))
        .await
        .unwrap()
}

/// Sends a request that must not run twice.
pub async fn pay(entry_host: &EntryHost, key: &str, more: &[(&str, &str)]) -> Told {
    let mut headers = vec![("idempotency-key", key)];
    headers.extend_from_slice(more);
    send(request(entry_host, "POST", "pay", &headers, "12 EUR"))
        .await
        .unwrap()
}
