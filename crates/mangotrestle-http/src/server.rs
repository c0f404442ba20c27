//! Accepts connections and limits their number.

use std::future::Future;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use axum::body::Body;
use axum::serve::Listener;
use http::{Request, Response};
use mangotrestle_core::intake::{Closing, Intake, Limits};
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc, watch};

use crate::body::RequestBody;
use crate::state::{ConnectionState, ConnectionStates};
use crate::{Reports, RequestLimits, Shared, connection};

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// Returns the answer to a request.
    fn handle(&self, request: Request<RequestBody>) -> impl Future<Output = Response<Body>> + Send;
}

impl<F, A> Handler for F
where
    F: Fn(Request<RequestBody>) -> A + Send + Sync + 'static,
    A: Future<Output = Response<Body>> + Send,
{
    fn handle(&self, request: Request<RequestBody>) -> impl Future<Output = Response<Body>> + Send {
        self(request)
    }
}

/// Sets up a [`Server`].
pub struct Builder {
    listener: &'static str,
    limits: Limits,
    request_limits: Box<dyn Fn() -> RequestLimits + Send + Sync>,
    log: slog::Logger,
}

impl Builder {
    /// Sets where the limits of requests are read from, which may change while the server runs. Default:
    /// [`RequestLimits::default`].
    #[must_use]
    pub fn request_limits(
        mut self,
        limits: impl Fn() -> RequestLimits + Send + Sync + 'static,
    ) -> Self {
        self.request_limits = Box::new(limits);
        self
    }

    /// Sets the logger. Default: discards everything.
    #[must_use]
    pub fn log(mut self, log: slog::Logger) -> Self {
        self.log = log;
        self
    }

    /// Builds the server.
    #[must_use]
    pub fn build(self) -> Server {
        Server {
            shared: Arc::new(Shared {
                intake: Mutex::new(Intake::new(self.limits)),
                states: Mutex::new(ConnectionStates::default()),
                reports: Reports::new(self.listener, self.log),
                request_limits: self.request_limits,
                epoch: Instant::now(),
                crowded: Notify::new(),
                closed: Notify::new(),
            }),
        }
    }
}

/// HTTP/1.1 server of one listener.
#[derive(Clone)]
pub struct Server {
    shared: Arc<Shared>,
}

impl Server {
    /// Returns a builder for a server with a name for its logs and metrics.
    #[must_use]
    pub fn builder(listener: &'static str, limits: Limits) -> Builder {
        Builder {
            listener,
            limits,
            request_limits: Box::new(RequestLimits::default),
            log: slog::Logger::root(slog::Discard, slog::o!()),
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.shared.intake().connections()
    }

    /// Accepts connections until `stopping` turns true. Each holds a clone of `connection_guard`, so that
    /// the channel closes with the last one. Failed accepts are handled by the listener, as required by
    /// `axum`'s `Listener`.
    pub async fn accept<L: Listener, H: Handler>(
        &self,
        mut listener: L,
        handler: H,
        mut stopping: watch::Receiver<bool>,
        connection_guard: mpsc::Sender<()>,
    ) {
        let handler = Arc::new(handler);
        loop {
            self.shared.wait_for_room().await;
            let stop = stopping.clone();
            let (stream, _) = tokio::select! {
                // An error means that the server was dropped, which also requests a stop.
                _ = stopping.wait_for(|stopping| *stopping) => return,
                accepted = listener.accept() => accepted,
            };
            let Some(state) = ConnectionState::open(&self.shared) else {
                self.shared.reports.closing(Closing::Full);
                continue;
            };
            let serving = connection::serve(stream, state, Arc::clone(&handler), stop);
            let connection_guard = connection_guard.clone();
            tokio::spawn(async move {
                serving.await;
                drop(connection_guard);
            });
        }
    }

    /// Serves until `stopping` turns true, then completes the requests in flight.
    pub async fn serve<L: Listener, H: Handler>(
        &self,
        listener: L,
        handler: H,
        stopping: watch::Receiver<bool>,
    ) {
        let (connection_guard, mut all_closed) = mpsc::channel(1);
        self.accept(listener, handler, stopping, connection_guard)
            .await;
        // Nothing is ever sent; the channel closes with the last connection.
        let _ = all_closed.recv().await;
    }
}

/// Limits the bytes that the system keeps for each connection of a listener until they are read. They are
/// part of the memory of the process.
///
/// # Errors
///
/// If the system refuses the size.
pub fn limit_receive_buffers(listener: &TcpListener, bytes: usize) -> std::io::Result<()> {
    rustix::net::sockopt::set_socket_recv_buffer_size(listener, bytes)?;
    Ok(())
}
