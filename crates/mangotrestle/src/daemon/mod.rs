//! The daemon of an entry host: wires control, traffic, peers and the platform together.
//!
//! Control state lives on one thread with a runtime of its own. Callers, operators and peers are
//! served on the runtime that [`run`] is called on; they reach the control thread by its queue.

mod clock;
mod commands;
mod configuration;
mod context;
mod control;
mod hosts;
mod operator_backend;
mod peer_backend;
mod query;
mod started_records;
mod sweeping;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use displaydoc::Display;
use mangotrestle_caller::front;
use mangotrestle_caller::snapshot_cell;
use mangotrestle_core::id;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::routing::snapshot;
use mangotrestle_platform::budget;
use mangotrestle_platform::command_log;
use mangotrestle_platform::configuration_store;
use mangotrestle_platform::group_commit;
use mangotrestle_platform::host_list;
use mangotrestle_platform::object_store;
use mangotrestle_platform::started;
use mangotrestle_platform::table;
use mangotrestle_platform::transaction_sink;
use mangotrestle_platform::transport;
use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio::task;

use crate::access;
use crate::settings;
use crate::telemetry;
use crate::tls;

/// Reports of the traffic threads that may wait for the control thread.
const TRAFFIC_REPORTS: usize = 4;

/// Time for which callers are still served after a planned stop began, so that the balancer can
/// notice that this host is not ready.
const UNREADY_FOR: Duration = Duration::from_secs(1);

/// Why the daemon ended.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {problem}
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        problem: String,
    },
    /// lease settings: {0}
    Lease(leadership::InvalidConfig),
    /// {0}
    Access(settings::InvalidSettings),
    /// metrics: {0}
    Telemetry(telemetry::TelemetryError),
    /// {0}
    Serve(String),
}

impl std::error::Error for DaemonError {}

/// Sockets of a daemon, opened before anything else so that a taken port is found at once.
pub struct Listeners {
    operators: net::TcpListener,
    callers: net::TcpListener,
    peers: std::net::TcpListener,
    health: net::TcpListener,
}

/// Addresses at which a daemon listens; of use where port 0 was asked for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Operators' gRPC.
    pub operators: SocketAddr,
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Other entry hosts.
    pub peers: SocketAddr,
    /// Metrics and health checks.
    pub health: SocketAddr,
}

impl Listeners {
    /// Opens the sockets that the settings name.
    ///
    /// # Errors
    ///
    /// [`DaemonError::Listen`] names the address that cannot be used.
    pub async fn bind(settings: &settings::Settings) -> Result<Self, DaemonError> {
        let peers = std::net::TcpListener::bind(settings.peer_listen)
            .map_err(|error| listen_error(settings.peer_listen, &error))?;
        Ok(Self {
            operators: bind(settings.operator_listen).await?,
            callers: bind(settings.caller_listen).await?,
            health: bind(settings.health_listen).await?,
            peers,
        })
    }

    /// Where the sockets listen.
    ///
    /// # Errors
    ///
    /// The system's error.
    pub fn addresses(&self) -> io::Result<Addresses> {
        Ok(Addresses {
            operators: self.operators.local_addr()?,
            callers: self.callers.local_addr()?,
            peers: self.peers.local_addr()?,
            health: self.health.local_addr()?,
        })
    }
}

async fn bind(address: SocketAddr) -> Result<net::TcpListener, DaemonError> {
    let listener = net::TcpListener::bind(address).await;
    listener.map_err(|error| listen_error(address, &error))
}

fn listen_error(address: SocketAddr, error: &io::Error) -> DaemonError {
    DaemonError::Listen {
        address,
        problem: error.to_string(),
    }
}

/// Runs an entry host until `shutdown` turns true.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start or cannot go on.
pub async fn run(
    settings: settings::Settings,
    logger: slog::Logger,
    shutdown: watch::Receiver<bool>,
) -> Result<(), DaemonError> {
    let listeners = Listeners::bind(&settings).await?;
    run_on(listeners, settings, logger, shutdown).await
}

/// Runs an entry host on sockets that are open already.
///
/// # Errors
///
/// [`DaemonError`] if it cannot start or cannot go on.
pub async fn run_on(
    listeners: Listeners,
    settings: settings::Settings,
    logger: slog::Logger,
    mut shutdown: watch::Receiver<bool>,
) -> Result<(), DaemonError> {
    let addresses = listeners
        .addresses()
        .map_err(|error| DaemonError::Serve(error.to_string()))?;
    let access = access::Access::load(&settings).map_err(DaemonError::Access)?;
    let access = Arc::new(access);
    let recorder = telemetry::recorder().map_err(DaemonError::Telemetry)?;
    let advertised = settings.peer_advertise.unwrap_or(addresses.peers);
    let clock = clock::Clock::start();
    let (control_sender, control_events) = mpsc::unbounded_channel();
    let seed = if settings.seed == 0 {
        rand::random()
    } else {
        settings.seed
    };
    let incarnation = id::Incarnation(clock.wall().0);
    let host = settings.entry_host.clone();
    let log = logger.new(slog::o!("entry_host" => host.to_string()));
    let platform = platform(&settings);
    let context = Arc::new(context::Context::new(
        settings,
        context::Identity {
            incarnation,
            advertised,
        },
        clock,
        log.clone(),
        platform,
        control_sender,
    ));
    let zone = context.settings.availability_zone.clone();
    let cell = Arc::new(snapshot_cell::SnapshotCell::new(
        snapshot::RouteSnapshot::empty(zone),
    ));
    let starting = telemetry::Readiness::Starting("waiting for the configuration".to_owned());
    let (readiness, ready) = watch::channel(starting);
    let control = control::Control::new(
        Arc::clone(&context),
        Arc::clone(&cell),
        readiness.clone(),
        seed,
    )
    .map_err(DaemonError::Lease)?;
    let control_thread = spawn_control(control, control_events)?;
    slog::info!(
        log, "daemon.started";
        "incarnation" => incarnation.0,
        "operators" => %addresses.operators,
        "callers" => %addresses.callers,
        "peers" => %addresses.peers,
        "health" => %addresses.health,
    );

    let (close, closing) = watch::channel(false);
    let watching = closing.clone();
    let watch_log = log.clone();
    let front = build_front(&context, cell, seed);
    let servers = Servers {
        context: Arc::clone(&context),
        listeners,
        access: Arc::clone(&access),
    };
    // Whatever runs for this daemon ends with it, also when this future is dropped.
    let mut tasks = task::JoinSet::new();
    tasks.spawn(async move { access.watch(&watch_log, watching).await });
    tasks.spawn(follow_readiness(front.clone(), ready.clone()));
    let (served, mut ended) = oneshot::channel();
    tasks.spawn(async move {
        let _ = served.send(Box::pin(servers.run(front, recorder, ready, closing)).await);
    });

    tokio::select! {
        _ = shutdown.wait_for(|stop| *stop) => {}
        failed = &mut ended => return failed.unwrap_or(Ok(())),
    }
    slog::info!(log, "daemon.stopping");
    let _ = readiness.send(telemetry::Readiness::Stopping);
    hand_over(&context).await;
    let _ = close.send(true);
    let bound = UNREADY_FOR + context.settings.shutdown_bound_ms.as_duration();
    let served = tokio::time::timeout(bound, ended).await;
    if served.is_err() {
        slog::warn!(log, "daemon.stop_bound_reached"; "bound_ms" => bound.as_millis());
    }
    drop(context);
    drop(control_thread);
    slog::info!(log, "daemon.stopped");
    match served {
        Ok(Ok(Err(error))) => Err(error),
        _ => Ok(()),
    }
}

/// Has the control thread give up its leases and tell peers.
async fn hand_over(context: &Arc<context::Context>) {
    let (done, handed_over) = oneshot::channel();
    context.report(control::event::ControlEvent::Stop { done });
    let _ = handed_over.await;
}

/// Ends the control thread when it is dropped.
struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic there was reported when it happened.
            let _ = thread.join();
        }
    }
}

fn spawn_control(
    control: control::Control,
    events: mpsc::UnboundedReceiver<control::event::ControlEvent>,
) -> Result<ControlThread, DaemonError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| DaemonError::Serve(error.to_string()))?;
    let (stop, stopped) = oneshot::channel();
    let thread = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || {
            runtime.block_on(async {
                tokio::select! {
                    () = control.run(events) => {}
                    _ = stopped => {}
                }
            });
        })
        .map_err(|error| DaemonError::Serve(error.to_string()))?;
    Ok(ControlThread {
        stop: Some(stop),
        thread: Some(thread),
    })
}

fn platform(settings: &settings::Settings) -> context::Platform {
    let transport = Arc::new(transport::HttpTransport::new(settings.table_address));
    let table = table::TableClient::builder(transport)
        .writes(budget::Budget::new(f64::from(settings.table_writes_per_s)))
        .reads(budget::Budget::new(f64::from(settings.table_reads_per_s)))
        .build();
    let sink = transaction_sink::TransactionSink::new(table.clone());
    let writes =
        group_commit::GroupCommit::<transaction_sink::TransactionSink>::builder().spawn(sink);
    let commands = command_log::CommandLog::new(table.clone(), writes.clone());
    context::Platform {
        configurations: configuration_store::ConfigurationStore::new(
            table.clone(),
            commands.clone(),
        ),
        objects: object_store::ObjectStore::at(settings.object_store_address),
        hosts: host_list::HostListClient::at(settings.host_list_address),
        table,
        writes,
        commands,
    }
}

fn build_front(
    context: &Arc<context::Context>,
    cell: Arc<snapshot_cell::SnapshotCell>,
    seed: u64,
) -> front::Front {
    let settings = &context.settings;
    let records = started::StartedRecords::new(context.platform.writes.clone());
    let records = Arc::new(started_records::TableRecords::new(records, context.clock));
    let (reports, mut received) = mpsc::channel(TRAFFIC_REPORTS);
    let control = Arc::clone(context);
    tokio::spawn(async move {
        while let Some(report) = received.recv().await {
            control.report(control::event::ControlEvent::Traffic(report));
        }
    });
    let front = front::Front::builder(settings.entry_host.clone(), cell)
        .epoch(context.clock.zero())
        .log(context.log.clone())
        .records(records)
        .reports(reports)
        .default_time(settings.default_deadline_ms)
        .longest_time(control::SHARE_TIMES.max_request_time)
        .max_body_bytes(settings.max_request_body_bytes)
        .unready_for(UNREADY_FOR)
        .stop_within(settings.shutdown_bound_ms.as_duration())
        .seed(seed)
        .build();
    front.set_ready(false);
    front
}

/// Lets the front take requests once the entry host is ready. While it stops, the front itself
/// decides how long it goes on taking them.
async fn follow_readiness(front: front::Front, mut ready: watch::Receiver<telemetry::Readiness>) {
    loop {
        let starting = matches!(
            *ready.borrow_and_update(),
            telemetry::Readiness::Starting(_)
        );
        front.set_ready(!starting);
        if ready.changed().await.is_err() {
            return;
        }
    }
}

/// Everything that listens.
struct Servers {
    context: Arc<context::Context>,
    listeners: Listeners,
    access: Arc<access::Access>,
}

impl Servers {
    async fn run(
        self,
        front: front::Front,
        recorder: metrics_exporter_prometheus::PrometheusHandle,
        ready: watch::Receiver<telemetry::Readiness>,
        closing: watch::Receiver<bool>,
    ) -> Result<(), DaemonError> {
        let operators = self.access.serve_operators(
            self.listeners.operators,
            Arc::new(operator_backend::Backend::new(Arc::clone(&self.context))),
            closing.clone(),
        );
        let peers = mangotrestle_peer::PeerServer::serve(
            self.listeners.peers,
            Arc::new(peer_backend::Backend::new(Arc::clone(&self.context))),
            closed(closing.clone()),
        );
        let callers = serve_callers(front, self.listeners.callers, &self.access, closing.clone());
        let health = telemetry::serve(self.listeners.health, recorder, ready, closing.clone());
        let problem = |error: io::Error| DaemonError::Serve(error.to_string());
        tokio::try_join!(
            async {
                operators
                    .await
                    .map_err(|error| DaemonError::Serve(error.to_string()))
            },
            async { peers.await.map_err(problem) },
            async { callers.await.map_err(problem) },
            async { health.await.map_err(problem) },
        )?;
        Ok(())
    }
}

/// Serves callers, with TLS if the settings name certificates.
async fn serve_callers(
    front: front::Front,
    listener: net::TcpListener,
    access: &access::Access,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let stopped = match access.caller_certificates() {
        Some(certificates) => {
            let listener = tls::TlsListener::start(listener, certificates)?;
            front.serve_on(listener, closed(closing)).await?
        }
        None => front.serve(listener, closed(closing)).await?,
    };
    metrics::counter!("mangotrestle_requests_cut_off_total").increment(stopped.cut_off);
    Ok(())
}

async fn closed(mut closing: watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

/// A factor around one that spreads the polls of different hosts.
fn jitter() -> f64 {
    rand::random_range(0.8..1.2)
}
