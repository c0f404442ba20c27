//! Stream of a connection that notes and limits what is read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use mangotrestle_core::intake::Wait;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::state::ConnectionState;

/// Maximum number of bytes of one read. HTTP's read buffer grows when a read fills it; it has 8 KiB at
/// first and keeps that size as long as reads are smaller.
const MAX_READ_BYTES: usize = 8 * 1024 - 1;

/// See the [module's documentation](self).
pub(crate) struct LimitedStream<S> {
    pub(crate) inner: S,
    pub(crate) state: Arc<ConnectionState>,
}

impl<S: AsyncRead + Unpin> AsyncRead for LimitedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let waits_for_head = matches!(self.state.wait(), Wait::Request | Wait::Head);
        let max_bytes = if waits_for_head {
            MAX_READ_BYTES.min(self.state.remaining_head_bytes())
        } else {
            MAX_READ_BYTES
        };
        if max_bytes == 0 {
            return Poll::Ready(Err(head_too_large()));
        }
        let max_bytes = max_bytes.min(buffer.remaining());
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        let polled = Pin::new(&mut self.inner).poll_read(context, &mut limited);
        let read = limited.filled().len();
        if read > 0 {
            buffer.advance(read);
            self.state.received(read);
        }
        polled
    }
}

/// Error of a read of which the head is larger than allowed.
fn head_too_large() -> io::Error {
    io::Error::new(io::ErrorKind::FileTooLarge, "the head is too large")
}

impl<S: AsyncWrite + Unpin> AsyncWrite for LimitedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
