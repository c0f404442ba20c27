//! Entry hosts and minimal HTTP targets on loopback. Each runs in its own runtime so that it can be
//! killed.

use std::net::SocketAddr;
use std::sync::Arc;

use axum::Router;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use mangotrestle_caller::front::Front;
use mangotrestle_caller::snapshot_cell::SnapshotCell;
use mangotrestle_caller::started::StartedRecords;
use mangotrestle_core::id;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use tokio::net::TcpListener;
use tokio::runtime::Runtime;

/// Job of the service that callers send requests to.
pub const JOB: &str = "payments";

/// A server in its own runtime with one worker thread.
pub struct Server {
    /// Address that the server listens on.
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Server {
    /// Binds a loopback port and runs the future that `serve` returns for the listener.
    pub fn start<F>(serve: impl FnOnce(TcpListener) -> F) -> Self
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime can be built");
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a loopback port is free");
        listener.set_nonblocking(true).expect("the socket is open");
        let address = listener.local_addr().expect("the socket is bound");
        let guard = runtime.enter();
        let listener = TcpListener::from_std(listener).expect("the runtime has a reactor");
        runtime.spawn(serve(listener));
        drop(guard);
        Self {
            address,
            runtime: Some(runtime),
        }
    }

    /// Starts an axum application.
    pub fn app(app: Router) -> Self {
        Self::start(|listener| async move {
            // Runs until the runtime is shut down.
            let _ = axum::serve(listener, app).await;
        })
    }

    /// Stops the server at once and drops the requests in flight.
    pub fn kill(mut self) {
        self.shut_down();
    }

    fn shut_down(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shut_down();
    }
}

/// Returns routes to one service with the given targets, each on its own worker with `slots` slots.
pub fn routes(addresses: &[SocketAddr], slots: u32) -> snapshot::RouteSnapshot {
    let zone = id::AvailabilityZoneId::new("gikondo").expect("a valid name");
    let job = id::JobId::new(JOB).expect("a valid name");
    let team = id::TeamId::new("billing").expect("a valid name");
    let mut routes = snapshot::RouteSnapshot::empty(zone.clone());
    let mut service = snapshot::ServiceRoutes::new(job, team);
    for (index, &address) in addresses.iter().enumerate() {
        let worker = id::WorkerId::new(&format!("w-{index}")).expect("a valid name");
        service.targets.push(snapshot::Target {
            index: u32::try_from(index).expect("a few targets"),
            worker: worker.clone(),
            availability_zone: zone.clone(),
            address,
            state: snapshot::TargetState::Ready {
                since: time::TimeMs(0),
            },
        });
        let share = snapshot::WorkerShare {
            slots,
            connections: slots,
            expires_at: time::TimeMs(u64::MAX),
        };
        routes.shares.insert(worker, share);
    }
    routes.add_service(service);
    routes
}

/// Starts an entry host with the given routes.
pub fn entry_host(
    number: u32,
    routes: snapshot::RouteSnapshot,
    records: Arc<dyn StartedRecords>,
) -> Server {
    Server::start(move |listener| async move {
        let name = id::EntryHostId::new(&format!("e-{number}")).expect("a valid name");
        let snapshots = Arc::new(SnapshotCell::new(routes));
        // A minute ago, so that no target is in its slow start.
        let epoch = tokio::time::Instant::now() - std::time::Duration::from_mins(1);
        let front = Front::builder(name, snapshots)
            .epoch(epoch)
            .records(records)
            .seed(u64::from(number))
            .build();
        // Runs until the runtime is shut down.
        let _ = front.serve(listener, std::future::pending()).await;
    })
}

/// A caller's HTTP client.
pub type Caller = Client<HttpConnector, Full<Bytes>>;

/// Returns a client that reuses connections.
pub fn caller() -> Caller {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    Client::builder(TokioExecutor::new()).build(connector)
}
