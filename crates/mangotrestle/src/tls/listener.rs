//! Connections after their TLS handshake, for `axum` and `tonic`.

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

/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Greatest number of handshakes at a time.
const MAX_HANDSHAKES: usize = 256;

/// Pause after the system refused to accept a connection, such as for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A connection after its handshake.
type Connection = server::TlsStream<net::TcpStream>;

/// Hands out connections whose TLS handshake is done.
///
/// It is a listener for `axum::serve` and a stream for `tonic`. Dropping it stops accepting.
#[derive(Debug)]
pub struct TlsListener {
    local_address: SocketAddr,
    connections: mpsc::Receiver<(Connection, SocketAddr)>,
    accepting: task::JoinHandle<()>,
}

impl TlsListener {
    /// Starts to accept connections.
    ///
    /// # Errors
    ///
    /// If the listener has no address.
    pub fn start(listener: net::TcpListener, certificates: Arc<Certificates>) -> io::Result<Self> {
        let local_address = listener.local_addr()?;
        let (sender, connections) = mpsc::channel(MAX_HANDSHAKES);
        let accepting = tokio::spawn(accept_all(listener, certificates, sender));
        Ok(Self {
            local_address,
            connections,
            accepting,
        })
    }
}

impl Drop for TlsListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

async fn accept_all(
    listener: net::TcpListener,
    certificates: Arc<Certificates>,
    sender: mpsc::Sender<(Connection, SocketAddr)>,
) {
    let slots = Arc::new(Semaphore::new(MAX_HANDSHAKES));
    loop {
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            return;
        };
        let Ok((stream, address)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // Only delays small answers if it fails.
        let _ = stream.set_nodelay(true);
        let acceptor = TlsAcceptor::from(certificates.current());
        let sender = sender.clone();
        tokio::spawn(async move {
            let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream));
            if let Ok(Ok(connection)) = handshake.await {
                let _ = sender.send((connection, address)).await;
            }
            drop(slot);
        });
    }
}

impl axum::serve::Listener for TlsListener {
    type Io = Connection;
    type Addr = SocketAddr;

    async fn accept(&mut self) -> (Connection, SocketAddr) {
        match self.connections.recv().await {
            Some(accepted) => accepted,
            // The accepting task ends only with the process.
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
        next.map(|accepted| accepted.map(|(connection, _)| Ok(connection)))
    }
}
