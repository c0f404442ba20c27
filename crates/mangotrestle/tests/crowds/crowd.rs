//! Clients that send what they like and stay connected.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use super::platform::{CALLER_HOST, QUEUE_PATH, job_id};

/// Time after which a client gives up on sending to a server that does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(15);
/// Time for the server to process what has arrived after the last client has sent everything.
const SETTLE_TIME: Duration = Duration::from_secs(1);

/// What each client of a crowd sends.
#[derive(Clone)]
pub struct Script {
    /// Sent first, as one piece.
    pub opening: Vec<u8>,
    /// Sent repeatedly after that.
    pub piece: Vec<u8>,
    /// Number of repetitions.
    pub pieces: usize,
    /// Whether the client sends one piece at a time and lets the others send in between.
    pub yields: bool,
}

impl Script {
    /// Returns a script of one piece.
    pub fn new(opening: impl Into<Vec<u8>>) -> Self {
        Self {
            opening: opening.into(),
            piece: Vec::new(),
            pieces: 0,
            yields: false,
        }
    }

    /// Sends a piece repeatedly after the opening.
    pub fn then(mut self, piece: impl Into<Vec<u8>>, pieces: usize) -> Self {
        self.piece = piece.into();
        self.pieces = pieces;
        self
    }

    /// Sends one piece at a time.
    pub const fn one_by_one(mut self) -> Self {
        self.yields = true;
        self
    }
}

/// Clients that stay connected, as far as the server lets them, until they are dropped.
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Connects clients, and returns once each has sent its script or was disconnected.
    pub async fn gather(server: SocketAddr, clients: usize, script: &Script) -> Self {
        let mut tasks = JoinSet::new();
        let (sent, mut all_sent) = tokio::sync::mpsc::channel::<()>(1);
        for _ in 0..clients {
            let (script, sent) = (script.clone(), sent.clone());
            tasks.spawn(async move {
                let sending = send(server, &script);
                let connection = tokio::time::timeout(SEND_TIMEOUT, sending).await;
                drop(sent);
                if let Ok(Ok(connection)) = connection {
                    stay(connection).await;
                }
            });
        }
        drop(sent);
        all_sent.recv().await;
        tokio::time::sleep(SETTLE_TIME).await;
        Self { _clients: tasks }
    }
}

async fn send(server: SocketAddr, script: &Script) -> std::io::Result<TcpStream> {
    let mut connection = TcpStream::connect(server).await?;
    connection.write_all(&script.opening).await?;
    if script.yields {
        for _ in 0..script.pieces {
            connection.write_all(&script.piece).await?;
            tokio::task::yield_now().await;
        }
    } else {
        connection
            .write_all(&script.piece.repeat(script.pieces))
            .await?;
    }
    Ok(connection)
}

/// Keeps a connection open without reading until the test ends.
async fn stay(connection: TcpStream) {
    let _connection = connection;
    std::future::pending::<()>().await;
}

/// Returns the head of a submission with these additional headers.
pub fn submission_head(number: u64, headers: &str) -> String {
    format!(
        "POST {QUEUE_PATH}{} HTTP/1.1\r\nHost: {CALLER_HOST}\r\nContent-Type: application/json\r\n\
         Deadline-Ms: 600000\r\n{headers}\r\n",
        job_id(number)
    )
}

/// Returns a chunk of a chunked body.
pub fn chunk(bytes: usize) -> Vec<u8> {
    let mut chunk = format!("{bytes:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + bytes, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// Sends bytes on a connection of its own, one after another with a pause, and returns the status of the
/// answer; zero if there was none.
pub async fn exchange(server: SocketAddr, parts: &[&[u8]], pause: Duration) -> u16 {
    let answer = async {
        let mut connection = TcpStream::connect(server).await?;
        for (index, part) in parts.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(pause).await;
            }
            connection.write_all(part).await?;
        }
        let mut answer = [0; 64];
        let read = connection.read(&mut answer).await?;
        std::io::Result::Ok(String::from_utf8_lossy(&answer[..read]).into_owned())
    };
    let answer = answer.await.unwrap_or_default();
    let status = answer.split(' ').nth(1).and_then(|word| word.parse().ok());
    status.unwrap_or_default()
}
