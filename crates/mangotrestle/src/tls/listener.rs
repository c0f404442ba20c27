//! Listener that does TLS handshakes, for `axum` and `tonic`.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::net;
use tokio::sync::{Semaphore, mpsc};
use tokio::task;
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server;

use super::Certificates;

/// Timeout for one handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum number of concurrent handshakes, and of connections queued after their handshake.
const MAX_CONCURRENT_HANDSHAKES: usize = 256;

/// Delay before the next attempt after accepting failed, such as for lack of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A connection after its handshake.
type Connection = server::TlsStream<net::TcpStream>;

/// Accepts TCP connections and yields them after their TLS handshake.
///
/// It is a listener for `axum::serve` and a stream for `tonic`. Dropping it stops accepting.
#[derive(Debug)]
pub struct TlsListener {
    local_address: SocketAddr,
    connections: mpsc::Receiver<(Connection, SocketAddr)>,
    accept_task: task::JoinHandle<()>,
}

impl TlsListener {
    /// Starts to accept connections.
    ///
    /// # Errors
    ///
    /// If the local address of the listener cannot be determined.
    pub fn start(listener: net::TcpListener, certificates: Arc<Certificates>) -> io::Result<Self> {
        let local_address = listener.local_addr()?;
        let (sender, connections) = mpsc::channel(MAX_CONCURRENT_HANDSHAKES);
        let accept_task = tokio::spawn(accept_all(listener, certificates, sender));
        Ok(Self {
            local_address,
            connections,
            accept_task,
        })
    }
}

impl Drop for TlsListener {
    fn drop(&mut self) {
        self.accept_task.abort();
    }
}

async fn accept_all(
    listener: net::TcpListener,
    certificates: Arc<Certificates>,
    sender: mpsc::Sender<(Connection, SocketAddr)>,
) {
    let handshake_permits = Arc::new(Semaphore::new(MAX_CONCURRENT_HANDSHAKES));
    loop {
        let Ok(permit) = Arc::clone(&handshake_permits).acquire_owned().await else {
            return;
        };
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // A failure is harmless: small answers are only delayed.
        let _ = stream.set_nodelay(true);
        let acceptor = TlsAcceptor::from(certificates.current());
        let sender = sender.clone();
        tokio::spawn(async move {
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
            if let Ok(Ok(connection)) = handshake.await {
                let _ = sender.send((connection, address)).await;
            }
            drop(permit);
        });
    }
}

impl axum::serve::Listener for TlsListener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        match self.connections.recv().await {
            Some(connection_and_address) => connection_and_address,
            // The accept task ends only with this listener or the process.
            None => std::future::pending().await,
        }
    }

    fn local_addr(&self) -> io::Result<SocketAddr> {
        Ok(self.local_address)
    }
}

impl tokio_stream::Stream for TlsListener {
    type Item = io::Result<Connection>;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let next = self.connections.poll_recv(context);
        next.map(|accepted_connection| accepted_connection.map(|(connection, _)| Ok(connection)))
    }
}
