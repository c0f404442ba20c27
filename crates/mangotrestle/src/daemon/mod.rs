//! The daemon of an entry host: it connects the control thread, request traffic, peers and the
//! platform.
//!
//! Control state is owned by one thread with its own runtime. Callers, operators and peers are
//! served on the runtime that [`run`] is called on and send events to the control thread's queue.

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

/// Maximum number of traffic reports that are queued for the control thread.
const MAX_QUEUED_TRAFFIC_REPORTS: usize = 4;

/// Maximum number of connections of callers, however much memory they may take.
const MAX_CALLER_CONNECTIONS: usize = 10_000;

/// Time for which callers are still served after a planned stop began, so that the load balancer
/// can notice that this host is not ready.
const UNREADY_SERVING_TIME: Duration = Duration::from_secs(1);

/// Error that keeps the daemon from starting or that ended it.
#[derive(Debug, Display)]
pub enum DaemonError {
    /// cannot listen on {address}: {problem}
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Error message of the operating system.
        problem: String,
    },
    /// invalid lease settings: {0}
    Lease(leadership::InvalidConfig),
    /// {0}
    Access(settings::InvalidSettings),
    /// cannot set up metrics: {0}
    Telemetry(telemetry::TelemetryError),
    /// {0}
    Serve(String),
}

impl std::error::Error for DaemonError {}

/// Sockets of a daemon, opened before anything else so that a port in use is detected at once.
pub struct Listeners {
    operators: net::TcpListener,
    callers: net::TcpListener,
    peers: std::net::TcpListener,
    health: net::TcpListener,
}

/// Addresses on which a daemon listens, with the actual ports where the settings say port 0.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Addresses {
    /// Address for operators (gRPC).
    pub operators: SocketAddr,
    /// Address for callers (HTTP).
    pub callers: SocketAddr,
    /// Address for other entry hosts.
    pub peers: SocketAddr,
    /// Address for metrics and health checks.
    pub health: SocketAddr,
}

impl Listeners {
    /// Binds sockets to the addresses in the settings.
    ///
    /// # Errors
    ///
    /// Returns [`DaemonError::Listen`] with the address that cannot be used.
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

    /// Returns the addresses to which the sockets are bound.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if an address cannot be read.
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

/// Runs an entry host until `shutdown` becomes true.
///
/// # Errors
///
/// Returns a [`DaemonError`] if the entry host cannot start or a server fails.
pub async fn run(
    settings: settings::Settings,
    logger: slog::Logger,
    shutdown: watch::Receiver<bool>,
) -> Result<(), DaemonError> {
    let listeners = Listeners::bind(&settings).await?;
    run_on(listeners, settings, logger, shutdown).await
}

/// Runs an entry host on sockets that are already open, until `shutdown` becomes true.
///
/// # Errors
///
/// Returns a [`DaemonError`] if the entry host cannot start or a server fails.
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
    let platform = build_platform(&settings);
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
    let initial_readiness =
        telemetry::Readiness::Starting("waiting for the configuration".to_owned());
    let (readiness, readiness_updates) = watch::channel(initial_readiness);
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
    let access_closing = closing.clone();
    let access_log = log.clone();
    let front = build_front(&context, cell, seed);
    let servers = Servers {
        context: Arc::clone(&context),
        listeners,
        access: Arc::clone(&access),
    };
    // Aborts these tasks when this future ends or is dropped.
    let mut tasks = task::JoinSet::new();
    tasks.spawn(async move { access.watch(&access_log, access_closing).await });
    tasks.spawn(follow_readiness(front.clone(), readiness_updates.clone()));
    let (report_result, mut server_result) = oneshot::channel();
    tasks.spawn(async move {
        let _ = report_result
            .send(Box::pin(servers.run(front, recorder, readiness_updates, closing)).await);
    });

    tokio::select! {
        _ = shutdown.wait_for(|stop| *stop) => {}
        result = &mut server_result => return result.unwrap_or(Ok(())),
    }
    slog::info!(log, "daemon.stopping");
    let _ = readiness.send(telemetry::Readiness::Stopping);
    release_leadership(&context).await;
    let _ = close.send(true);
    let stop_timeout = UNREADY_SERVING_TIME + context.settings.shutdown_bound_ms.as_duration();
    let result = tokio::time::timeout(stop_timeout, server_result).await;
    if result.is_err() {
        slog::warn!(log, "daemon.stop_bound_reached"; "bound_ms" => stop_timeout.as_millis());
    }
    drop(context);
    drop(control_thread);
    slog::info!(log, "daemon.stopped");
    match result {
        Ok(Ok(Err(error))) => Err(error),
        _ => Ok(()),
    }
}

/// Makes the control thread release the leadership of its pools and notify peers, and waits until
/// it has done so.
async fn release_leadership(context: &Arc<context::Context>) {
    let (done, released) = oneshot::channel();
    context.report(control::event::ControlEvent::Stop { done });
    let _ = released.await;
}

/// Stops the control thread and waits for its end when dropped.
struct ControlThread {
    stop: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for ControlThread {
    fn drop(&mut self) {
        drop(self.stop.take());
        if let Some(thread) = self.thread.take() {
            // A panic of the thread was reported when it happened.
            let _ = thread.join();
        }
    }
}

/// Spawns the control thread with a runtime of its own.
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

/// Builds the clients of the platform's services.
fn build_platform(settings: &settings::Settings) -> context::Platform {
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

/// Builds the front, which serves callers, and spawns a task that forwards its traffic reports to
/// the control thread.
fn build_front(
    context: &Arc<context::Context>,
    cell: Arc<snapshot_cell::SnapshotCell>,
    seed: u64,
) -> front::Front {
    let settings = &context.settings;
    let records = started::StartedRecords::new(context.platform.writes.clone());
    let records = Arc::new(started_records::TableRecords::new(records, context.clock));
    let (reports, mut queued_reports) = mpsc::channel(MAX_QUEUED_TRAFFIC_REPORTS);
    let report_context = Arc::clone(context);
    tokio::spawn(async move {
        while let Some(report) = queued_reports.recv().await {
            report_context.report(control::event::ControlEvent::Traffic(report));
        }
    });
    let front = front::Front::builder(settings.entry_host.clone(), cell)
        .epoch(context.clock.zero())
        .log(context.log.clone())
        .records(records)
        .reports(reports)
        .default_request_time(settings.default_deadline_ms)
        .max_request_time(control::SHARE_TIMES.max_request_time)
        .max_body_bytes(settings.max_request_body_bytes)
        .max_connections(
            front::connections_for_memory(settings.client_memory_mib).min(MAX_CALLER_CONNECTIONS),
        )
        .unready_period(UNREADY_SERVING_TIME)
        .stop_timeout(settings.shutdown_bound_ms.as_duration())
        .seed(seed)
        .build();
    front.set_ready(false);
    front
}

/// Lets the front accept requests once the entry host is ready. During a stop the front itself
/// decides how long it continues to accept them.
async fn follow_readiness(
    front: front::Front,
    mut readiness_updates: watch::Receiver<telemetry::Readiness>,
) {
    loop {
        let starting = matches!(
            *readiness_updates.borrow_and_update(),
            telemetry::Readiness::Starting(_)
        );
        front.set_ready(!starting);
        if readiness_updates.changed().await.is_err() {
            return;
        }
    }
}

/// The servers of an entry host, with their sockets.
struct Servers {
    context: Arc<context::Context>,
    listeners: Listeners,
    access: Arc<access::Access>,
}

impl Servers {
    /// Serves until `closing` becomes true or one of the servers fails.
    async fn run(
        self,
        front: front::Front,
        recorder: metrics_exporter_prometheus::PrometheusHandle,
        readiness_updates: watch::Receiver<telemetry::Readiness>,
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
            wait_until_closing(closing.clone()),
        );
        let callers = serve_callers(front, self.listeners.callers, &self.access, closing.clone());
        let health = telemetry::serve(
            self.listeners.health,
            recorder,
            readiness_updates,
            closing.clone(),
        );
        let serve_error = |error: io::Error| DaemonError::Serve(error.to_string());
        tokio::try_join!(
            async {
                operators
                    .await
                    .map_err(|error| DaemonError::Serve(error.to_string()))
            },
            async { peers.await.map_err(serve_error) },
            async { callers.await.map_err(serve_error) },
            async { health.await.map_err(serve_error) },
        )?;
        Ok(())
    }
}

/// Serves callers, with TLS if the settings contain a certificate.
async fn serve_callers(
    front: front::Front,
    listener: net::TcpListener,
    access: &access::Access,
    closing: watch::Receiver<bool>,
) -> io::Result<()> {
    let stopped = match access.caller_certificates() {
        Some(certificates) => {
            let listener = tls::TlsListener::start(listener, certificates)?;
            front
                .serve_on(listener, wait_until_closing(closing))
                .await?
        }
        None => front.serve(listener, wait_until_closing(closing)).await?,
    };
    metrics::counter!("mangotrestle_requests_cut_off_total").increment(stopped.cut_off);
    Ok(())
}

/// Completes when `closing` becomes true.
async fn wait_until_closing(mut closing: watch::Receiver<bool>) {
    let _ = closing.wait_for(|closing| *closing).await;
}

/// Returns a random factor between 0.8 and 1.2 for intervals, which spreads the polls of different
/// hosts.
fn jitter_factor() -> f64 {
    rand::random_range(0.8..1.2)
}
