//! Serves one connection until its client, a limit or a stop of the server ends it.

use std::convert::Infallible;
use std::future::Future;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Instant;

use axum::body::Body;
use http::{Request, Response, header};
use http_body::Body as _;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioIo;
use mangotrestle_core::intake::{Closing, Wait};
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;
use tokio::time::Sleep;

use crate::body::{AnswerBody, RequestBody};
use crate::refusal;
use crate::server::Handler;
use crate::state::ConnectionState;
use crate::stream::LimitedStream;

/// Size of the largest head that HTTP's read buffer has room for, in bytes, unless a larger one is allowed
/// when the connection is accepted. [`LimitedStream`] enforces the limit that is in force.
const MIN_HEAD_BUFFER_BYTES: usize = 64 * 1024;

type AnswerFuture = Pin<Box<dyn Future<Output = Result<Response<AnswerBody>, Infallible>> + Send>>;

/// How a connection ended.
enum End {
    /// Its client closed it, or all its answers were sent.
    Finished,
    /// It was answered before all of its request was read.
    Answered,
    /// The server closes it.
    Closed(Closing),
}

/// Serves a connection. When `stopping` turns true, the request in flight is completed first.
pub(crate) async fn serve<S, H>(
    stream: S,
    state: Arc<ConnectionState>,
    handler: Arc<H>,
    mut stopping: watch::Receiver<bool>,
) where
    S: AsyncRead + AsyncWrite + Unpin + Send + 'static,
    H: Handler,
{
    let service_state = Arc::clone(&state);
    let service = hyper::service::service_fn(move |request: Request<Incoming>| -> AnswerFuture {
        // The body may be read before the answer is polled.
        service_state.head_complete(!request.body().is_end_stream());
        let (handler, state) = (Arc::clone(&handler), Arc::clone(&service_state));
        Box::pin(answer(handler, request, state))
    });
    let head_buffer_bytes = state.request_limits().max_head_bytes;
    let mut builder = http1::Builder::new();
    builder
        .header_read_timeout(None)
        .max_buf_size(head_buffer_bytes.max(MIN_HEAD_BUFFER_BYTES));
    let stream = TokioIo::new(LimitedStream {
        inner: stream,
        state: Arc::clone(&state),
    });
    let mut connection = builder.serve_connection(stream, service);
    let serving = std::future::poll_fn(|context| connection.poll_without_shutdown(context));
    let end = {
        let mut serving = pin!(serving);
        tokio::select! {
            biased;
            result = serving.as_mut() => Some(end_of(&result, &state)),
            reason = wait_until_overdue(&state) => Some(End::Closed(reason)),
            () = state.evicted() => Some(End::Closed(Closing::Evicted)),
            () = wait_for_stop(&mut stopping) => None,
        }
    };
    let end = match end {
        Some(end) => end,
        None => finish(&mut connection, &state).await,
    };
    if let End::Closed(reason) = end
        && reason != Closing::Evicted
    {
        // Evictions are reported when they are decided.
        state.report(reason);
    }
    let is_incomplete = matches!(state.wait(), Wait::Head | Wait::Body);
    let mut stream = connection.into_parts().io.into_inner().inner;
    state.set_wait(Wait::Close);
    let closing = async {
        match end {
            End::Closed(reason) if is_incomplete => refusal::refuse(stream, reason).await,
            End::Closed(_) => {}
            End::Answered => refusal::linger(stream).await,
            End::Finished => {
                // Fails only if the client has gone.
                let _ = stream.shutdown().await;
            }
        }
    };
    tokio::select! {
        biased;
        () = state.closing_evicted() => {}
        () = closing => {}
    }
}

/// Completes the request in flight.
async fn finish<S, V>(connection: &mut http1::Connection<S, V>, state: &ConnectionState) -> End
where
    S: hyper::rt::Read + hyper::rt::Write + Unpin,
    V: hyper::service::HttpService<Incoming, ResBody = AnswerBody> + Unpin,
    V::Future: Unpin,
    V::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if state.is_unused() {
        return End::Finished;
    }
    Pin::new(&mut *connection).graceful_shutdown();
    let serving = std::future::poll_fn(|context| connection.poll_without_shutdown(context));
    let mut serving = pin!(serving);
    tokio::select! {
        biased;
        result = serving.as_mut() => end_of(&result, state),
        reason = wait_until_overdue(state) => End::Closed(reason),
        () = state.evicted() => End::Closed(Closing::Evicted),
    }
}

fn end_of(result: &hyper::Result<()>, state: &ConnectionState) -> End {
    let is_too_large = result.is_err()
        && matches!(state.wait(), Wait::Request | Wait::Head)
        && state.remaining_head_bytes() == 0;
    if is_too_large {
        return End::Closed(Closing::HeadTooLarge);
    }
    if result.is_err() || state.was_answered_early() {
        return End::Answered;
    }
    End::Finished
}

/// Returns when a client has taken too long for a request.
async fn wait_until_overdue(state: &ConnectionState) -> Closing {
    DeadlineTimer { state, sleep: None }.await
}

/// Timer whose deadline may change whenever its task is polled.
struct DeadlineTimer<'a> {
    state: &'a ConnectionState,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Future for DeadlineTimer<'_> {
    type Output = Closing;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Closing> {
        let Some(deadline) = self.state.deadline() else {
            return Poll::Pending;
        };
        if let Some(reason) = self.state.overdue(Instant::now()) {
            return Poll::Ready(reason);
        }
        let sleep = self
            .sleep
            .get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline.into())));
        // A timer that is set for an earlier time fires early and is then set again.
        if sleep.deadline() > deadline.into() || sleep.as_mut().poll(context).is_ready() {
            sleep.as_mut().reset(deadline.into());
        }
        let _ = sleep.as_mut().poll(context);
        Poll::Pending
    }
}

/// Returns when a stop is requested.
async fn wait_for_stop(stopping: &mut watch::Receiver<bool>) {
    // An error means that the server was dropped, which also requests a stop.
    let _ = stopping.wait_for(|stopping| *stopping).await;
}

async fn answer<H: Handler>(
    handler: Arc<H>,
    request: Request<Incoming>,
    state: Arc<ConnectionState>,
) -> Result<Response<AnswerBody>, Infallible> {
    let request = request.map(|incoming| RequestBody::new(incoming, Arc::clone(&state)));
    let mut response: Response<Body> = handler.handle(request).await;
    if state.wait() == Wait::Body {
        // The rest of the body is not read.
        state.answer_early();
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    state.request_complete();
    Ok(response.map(|inner| AnswerBody { inner, state }))
}
