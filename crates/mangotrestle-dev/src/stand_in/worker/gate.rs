//! Listening sockets that can be cut off from the network and put back.

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

/// Time between attempts to bind a port again.
const BIND_RETRY: Duration = Duration::from_millis(10);

/// A listener that refuses connections while its worker is down.
#[derive(Debug)]
pub(super) struct Gate {
    address: net::SocketAddr,
    listener: Option<TcpListener>,
    faults: watch::Receiver<Faults>,
    limit: Arc<Semaphore>,
    ledger: Arc<Ledger>,
}

impl Gate {
    pub(super) async fn bind(
        faults: watch::Receiver<Faults>,
        connections: usize,
        ledger: Arc<Ledger>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        Ok(Self {
            address: listener.local_addr()?,
            listener: Some(listener),
            faults,
            limit: Arc::new(Semaphore::new(connections)),
            ledger,
        })
    }

    pub(super) const fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// The next connection while the worker is up.
    async fn next(&mut self) -> Connection {
        loop {
            if self.faults.borrow_and_update().down {
                self.listener = None;
                self.wait_until_up().await;
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
            match Arc::clone(&self.limit).try_acquire_owned() {
                Ok(permit) => return Connection::new(stream, permit, self.faults.clone()),
                Err(_) => self.ledger.connections_exceeded(),
            }
        }
    }

    async fn wait_until_up(&mut self) {
        if self.faults.wait_for(|faults| !faults.down).await.is_err() {
            // The worker is gone for good, and so is whoever waits for connections.
            std::future::pending::<()>().await;
        }
    }

    async fn bind_again(&mut self) {
        match TcpListener::bind(self.address).await {
            Ok(listener) => self.listener = Some(listener),
            Err(_) => tokio::time::sleep(BIND_RETRY).await,
        }
    }

    /// The connections as a stream.
    pub(super) fn into_stream(mut self) -> ReceiverStream<io::Result<Connection>> {
        let (sender, receiver) = mpsc::channel(1);
        tokio::spawn(async move {
            loop {
                let connection = tokio::select! {
                    connection = self.next() => connection,
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

impl axum::serve::Listener for Gate {
    type Io = Connection;
    type Addr = net::SocketAddr;

    async fn accept(&mut self) -> (Connection, net::SocketAddr) {
        (self.next().await, self.address)
    }

    fn local_addr(&self) -> io::Result<net::SocketAddr> {
        Ok(self.address)
    }
}

/// A connection that breaks when its worker goes down.
pub(super) struct Connection {
    stream: TcpStream,
    broken: Pin<Box<dyn Future<Output = ()> + Send>>,
    _permit: OwnedSemaphorePermit,
}

impl Connection {
    fn new(
        stream: TcpStream,
        permit: OwnedSemaphorePermit,
        mut faults: watch::Receiver<Faults>,
    ) -> Self {
        // Small answers must not wait for more data to send.
        let _ = stream.set_nodelay(true);
        let broken = async move {
            let _ = faults.wait_for(|faults| faults.down).await;
        };
        Self {
            stream,
            broken: Box::pin(broken),
            _permit: permit,
        }
    }

    fn check(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        match self.broken.as_mut().poll(context) {
            Poll::Ready(()) => {
                // Polled once ready, the future must not be polled again.
                self.broken = Box::pin(std::future::ready(()));
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
        self.check(context)?;
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check(context)?;
        Pin::new(&mut self.stream).poll_write(context, buffer)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
