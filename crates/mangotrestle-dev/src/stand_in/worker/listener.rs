//! Listening sockets that injected faults can disconnect from the network and connect again.

use std::io;
use std::net;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio_stream::wrappers::ReceiverStream;

use super::faults::Faults;
use super::ledger::Ledger;

/// Interval between attempts to bind a port again.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// A listener that refuses connections while its worker is disconnected.
#[derive(Debug)]
pub(super) struct FaultyListener {
    address: net::SocketAddr,
    /// Listening socket; `None` while the worker is disconnected.
    listener: Option<TcpListener>,
    faults: watch::Receiver<Faults>,
    connection_limit: Arc<Semaphore>,
    ledger: Arc<Ledger>,
}

impl FaultyListener {
    pub(super) async fn bind(
        faults: watch::Receiver<Faults>,
        max_connections: usize,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            faults,
            connection_limit: Arc::new(Semaphore::new(max_connections)),
            ledger,
        })
    }

    pub(super) const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Waits for the next connection. While the worker is disconnected, none is accepted.
    async fn next_connection(&mut self) -> Connection {
        loop {
            if self.faults.borrow_and_update().disconnected {
                self.listener = None;
                self.wait_until_connected().await;
                continue;
            }
            let Some(listener) = &self.listener else {
                self.bind_again().await;
                continue;
            };
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = self.faults.changed() => continue,
            };
            let Ok((stream, _)) = accepted else {
                continue;
            };
            match Arc::clone(&self.connection_limit).try_acquire_owned() {
                Ok(permit) => return Connection::new(stream, permit, self.faults.clone()),
                Err(_) => self.ledger.record_connections_exceeded(),
            }
        }
    }

    async fn wait_until_connected(&mut self) {
        if self
            .faults
            .wait_for(|faults| !faults.disconnected)
            .await
            .is_err()
        {
            // The worker was dropped: nobody waits for connections any more.
            std::future::pending::<()>().await;
        }
    }

    async fn bind_again(&mut self) {
        match TcpListener::bind(self.address).await {
            Ok(listener) => self.listener = Some(listener),
            Err(_) => tokio::time::sleep(BIND_RETRY_INTERVAL).await,
        }
    }

    /// Returns a stream of the accepted connections.
    pub(super) fn into_stream(mut self) -> ReceiverStream<io::Result<Connection>> {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            loop {
                let connection = tokio::select! {
                    connection = self.next_connection() => connection,
                    () = sender.closed() => return,
                };
                if sender.send(Ok(connection)).await.is_err() {
                    return;
                }
            }
        });
        ReceiverStream::new(receiver)
    }
}

impl axum::serve::Listener for FaultyListener {
    type Io = Connection;
    type Addr = net::SocketAddr;

    async fn accept(&mut self) -> (Connection, net::SocketAddr) {
        (self.next_connection().await, self.address)
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        Ok(self.address)
    }
}

/// A connection that breaks when its worker is disconnected.
pub(super) struct Connection {
    stream: TcpStream,
    disconnected: Pin<Box<dyn Future<Output = ()> + Send>>,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn new(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        mut faults: watch::Receiver<Faults>,
    ) -> Self {
        // Without this, small answers would wait for more data to send.
        let _ = stream.set_nodelay(true);
        let disconnected = async move {
            let _ = faults.wait_for(|faults| faults.disconnected).await;
        };
        Self {
            stream,
            disconnected: Box::pin(disconnected),
            _permit: permit,
        }
    }

    /// Returns an error if the worker has been disconnected since the last call.
    fn check_connected(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.disconnected.as_mut().poll(context) {
            Poll::Ready(()) => {
                // A future that has returned ready must not be polled again.
                self.disconnected = Box::pin(std::future::ready(()));
                Err(io::ErrorKind::ConnectionReset.into())
            }
            Poll::Pending => Ok(()),
        }
    }
}

impl tonic::transport::server::Connected for Connection {
    type ConnectInfo = ();

    fn connect_info(&self) {}
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.check_connected(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_connected(context)?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
