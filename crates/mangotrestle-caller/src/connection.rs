//! Accepts callers' connections, within limits, and lets them end in order at a planned stop.

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

/// Greatest size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;
/// Greatest number of a request's headers.
const MAX_HEADERS: usize = 100;
/// Time in which a request's head must be complete.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause after a failed accept, such as for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Hands out connections without TLS.
pub struct PlainListener(pub TcpListener);

impl Listener for PlainListener {
    type Io = TcpStream;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (TcpStream, SocketAddr) {
        loop {
            let Ok((stream, address)) = self.0.accept().await else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            // Only delays small answers if it fails.
            let _ = stream.set_nodelay(true);
            return (stream, address);
        }
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Accepts connections until `stopping` turns true. Each connection holds a clone of `alive`.
///
/// The listener deals with failed accepts itself, as `axum` asks of listeners.
pub async fn accept<L: Listener>(
    mut listener: L,
    app: axum::Router,
    max_connections: usize,
    mut stopping: watch::Receiver<bool>,
    alive: mpsc::Sender<()>,
) {
    let permits = Arc::new(tokio::sync::Semaphore::new(max_connections));
    loop {
        let accepted = tokio::select! {
            () = stopped(&mut stopping) => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, _) = accepted;
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            metrics::counter!("mangotrestle_front_connections_refused").increment(1);
            continue;
        };
        let connection = serve_connection(stream, app.clone(), stopping.clone());
        let alive = alive.clone();
        tokio::spawn(async move {
            connection.await;
            drop(permit);
            drop(alive);
        });
    }
}

/// Serves one connection. Once `stopping` is true the request in flight is finished and the
/// connection closed.
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
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        // A broken connection concerns only its caller, who sees it broken.
        _ = connection.as_mut() => return,
        () = stopped(&mut stopping) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn stopped(stopping: &mut watch::Receiver<bool>) {
    // An error means that the front is gone, which is a stop as well.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn answer(app: axum::Router, request: http::Request<Body>) -> Result<Response, Infallible> {
    app.oneshot(request).await
}
