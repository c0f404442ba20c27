//! Answers of a server that closes a connection while it waits for a request.

use std::time::Duration;

use mangotrestle_core::intake::Closing;
use rand::RngExt;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Time for which a closed connection is read. A connection that is closed with unread bytes is reset,
/// and its client may never see the answer.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Number of bytes that are read from a closed connection.
const MAX_LINGER_BYTES: usize = 512 * 1024;
/// Size of the buffer for bytes that are discarded.
const DISCARD_BYTES: usize = 2 * 1024;
/// Range of the time after which a client that gave way to others should retry, in seconds; random, so
/// that those refused together do not return together.
const RETRY_AFTER_S: std::ops::RangeInclusive<u32> = 1..=3;

/// Returns the answer to an incomplete request. None of these requests has run.
pub(crate) fn answer(reason: Closing) -> String {
    let retry_after = || {
        let seconds = rand::rng().random_range(RETRY_AFTER_S);
        format!("Retry-After: {seconds}\r\n")
    };
    let (status, headers) = match reason {
        Closing::Evicted | Closing::Full => ("503 Service Unavailable", retry_after()),
        Closing::HeadTooLarge => ("431 Request Header Fields Too Large", String::new()),
        Closing::HeadTimeout | Closing::IdleTimeout => ("408 Request Timeout", String::new()),
    };
    format!("HTTP/1.1 {status}\r\n{headers}Content-Length: 0\r\nConnection: close\r\n\r\n")
}

/// Answers an incomplete request and closes the connection.
pub(crate) async fn refuse<S>(mut stream: S, reason: Closing)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let text = answer(reason);
    let writing = stream.write_all(text.as_bytes());
    if let Ok(Ok(())) = tokio::time::timeout(LINGER_TIMEOUT, writing).await {
        linger(stream).await;
    }
}

/// Closes a connection for writing, and then discards what its client still sends.
pub(crate) async fn linger<S>(mut stream: S)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let discarding = async {
        stream.shutdown().await?;
        let mut buffer = [0; DISCARD_BYTES];
        let mut discarded = 0;
        while discarded < MAX_LINGER_BYTES {
            match stream.read(&mut buffer).await? {
                0 => break,
                read => discarded += read,
            }
        }
        std::io::Result::Ok(())
    };
    // The client may have gone, or go on; the connection is closed in either case.
    let _ = tokio::time::timeout(LINGER_TIMEOUT, discarding).await;
}
