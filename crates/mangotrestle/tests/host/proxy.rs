//! A TCP proxy between a host and the store that can make open connections silent: they stay open
//! and pass nothing more, while new connections work.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::watch;

/// Size of the buffer for one direction of a connection, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;
/// Part of a request that is kept to recognize the connection by; the request line is shorter.
const REQUEST_START_BYTES: usize = 256;

/// A connection through the proxy.
struct Connection {
    silent: watch::Sender<bool>,
    /// Start of the last request.
    last_request: Arc<Mutex<String>>,
}

/// The proxy.
pub struct Proxy {
    address: SocketAddr,
    connections: Arc<Mutex<Vec<Connection>>>,
}

impl Proxy {
    /// Starts a proxy for a server.
    pub async fn start(server: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        let connections = Arc::new(Mutex::new(Vec::new()));
        tokio::spawn(accept_connections(
            listener,
            server,
            Arc::clone(&connections),
        ));
        Self {
            address,
            connections,
        }
    }

    /// Returns the address at which the proxy accepts connections.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes all open connections silent; returns their number.
    pub fn silence_open_connections(&self) -> usize {
        self.silence_connections_with("")
    }

    /// Makes the open connections silent whose last request contains a text; returns their number.
    pub fn silence_connections_with(&self, text: &str) -> usize {
        let mut connections = self.connections.lock().expect("the connections");
        connections.retain(|connection| !connection.silent.is_closed());
        let is_meant = |connection: &&Connection| {
            let last_request = connection.last_request.lock().expect("a request");
            !*connection.silent.borrow() && last_request.contains(text)
        };
        let silenced: Vec<&Connection> = connections.iter().filter(is_meant).collect();
        for connection in &silenced {
            connection.silent.send_replace(true);
        }
        silenced.len()
    }
}

async fn accept_connections(
    listener: TcpListener,
    server: SocketAddr,
    connections: Arc<Mutex<Vec<Connection>>>,
) {
    while let Ok((client, _)) = listener.accept().await {
        let Ok(server) = TcpStream::connect(server).await else {
            continue;
        };
        let (silent, silence) = watch::channel(false);
        let last_request = Arc::new(Mutex::new(String::new()));
        connections
            .lock()
            .expect("the connections")
            .push(Connection {
                silent,
                last_request: Arc::clone(&last_request),
            });
        tokio::spawn(forward(client, server, silence, last_request));
    }
}

/// Passes bytes on in both directions until either side closes the connection; once it is silent,
/// keeps it open until the client closes it.
async fn forward(
    client: TcpStream,
    server: TcpStream,
    silence: watch::Receiver<bool>,
    last_request: Arc<Mutex<String>>,
) {
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let record = move |bytes: &[u8]| {
        let start = &bytes[..bytes.len().min(REQUEST_START_BYTES)];
        *last_request.lock().expect("a request") = String::from_utf8_lossy(start).into_owned();
    };
    tokio::select! {
        () = pass_on(client_reader, server_writer, silence.clone(), record) => {}
        () = pass_on(server_reader, client_writer, silence, |_| {}) => {}
    }
}

/// Passes bytes on until the reader's side closes; reads on without passing while silent.
async fn pass_on(
    mut reader: tcp::OwnedReadHalf,
    mut writer: tcp::OwnedWriteHalf,
    silence: watch::Receiver<bool>,
    record: impl Fn(&[u8]),
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let count = reader.read(&mut buffer).await.unwrap_or_default();
        if count == 0 {
            return;
        }
        if *silence.borrow() {
            continue;
        }
        record(&buffer[..count]);
        if writer.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
