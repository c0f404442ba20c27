//! Accepts callers' connections, limits their number, and closes them gracefully at a planned stop.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use axum::body::Body;
use axum::response::Response;
use axum::serve::Listener;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tower::ServiceExt;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Timeout for reading a request's head.
const HEAD_READ_TIMEOUT: Duration = Duration::from_secs(10);

/// Delay after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Listener for connections without TLS.
pub struct PlainListener(pub TcpListener);

impl Listener for PlainListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            let Ok((stream, address)) = self.0.accept().await else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            // Without TCP_NODELAY small answers are delayed, which does not justify an error.
            let _ = stream.set_nodelay(true);
            return (stream, address);
        }
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Accepts connections until `stopping` turns true.
///
/// Each connection holds a clone of `connection_guard`, so the channel closes with the last
/// connection. The listener handles failed accepts itself, as required by `axum`'s `Listener`.
pub async fn accept<L: Listener>(
    mut listener: L,
    app: axum::Router,
    max_connections: usize,
    mut stopping: watch::Receiver<bool>,
    connection_guard: mpsc::Sender<()>,
) {
    let permits = Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            () = wait_for_stop(&mut stopping) => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, _) = accepted;
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics::counter!("mangotrestle_front_connections_refused").increment(1);
            continue;
        };
        let connection = serve_connection(stream, app.clone(), stopping.clone());
        let connection_guard = connection_guard.clone();
        tokio::spawn(async move {
            connection.await;
            drop(permit);
            drop(connection_guard);
        });
    }
}

/// Serves one connection. When `stopping` turns true, the request in flight is completed and the
/// connection is closed.
async fn serve_connection<S>(stream: S, app: axum::Router, mut stopping: watch::Receiver<bool>)
where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
{
    let service = hyper::service::service_fn(move |request: http::Request<Incoming>| {
        let app = app.clone();
        async move { answer(app, request.map(Body::new)).await }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_READ_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A connection error is visible to its caller and needs no other handling.
        _ = connection.as_mut() => return,
        () = wait_for_stop(&mut stopping) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

/// Returns when a stop is requested.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the front was dropped, which also requests a stop.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn answer(app: axum::Router, request: http::Request<Body>) -> Result<Response, Infallible> {
    app.oneshot(request).await
}
