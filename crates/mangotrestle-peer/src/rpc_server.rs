//! Serves JSON-RPC methods over connections whose number, requests and memory are limited.

use std::time::Duration;

use axum::body::Body;
use axum::response::{IntoResponse, Response};
use axum::serve::ListenerExt;
use http::{Request, StatusCode};
use jsonrpsee::server::{
    BatchRequestConfig, Methods, Server as RpcServer, ServerConfig, stop_channel,
};
use mangotrestle_core::intake::Limits;
use mangotrestle_http::body::{self, BodyError, RequestBody};
use mangotrestle_http::{RequestLimits, Server};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tower::ServiceExt;

/// Maximum time for the body of a call.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);
/// Time that an idle connection stays open; longer than clients keep theirs, so that a call does not meet
/// a connection that is being closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(10);

/// Maximum sizes of messages, in bytes.
#[derive(Clone, Copy)]
pub(crate) struct MessageLimits {
    /// Maximum size of a call.
    pub(crate) max_request_bytes: u32,
    /// Maximum size of an answer.
    pub(crate) max_answer_bytes: u32,
}

/// What a server of peers needs besides its methods.
pub(crate) struct Serving {
    pub(crate) listener: TcpListener,
    pub(crate) limits: Limits,
    pub(crate) messages: MessageLimits,
    pub(crate) log: slog::Logger,
    pub(crate) stopping: watch::Receiver<bool>,
}

impl Serving {
    /// Serves methods until `stopping` turns true, then completes the calls in flight.
    pub(crate) async fn serve(self, methods: impl Into<Methods>) {
        let listener = self.listener.tap_io(|stream| {
            // A failure only makes answers a little slower.
            let _ = stream.set_nodelay(true);
        });
        let server = Server::builder("peers", self.limits)
            .request_limits(|| RequestLimits {
                idle_timeout: IDLE_TIMEOUT,
                ..RequestLimits::default()
            })
            .log(self.log)
            .build();
        // Calls in flight are completed by `server`; the handle only has to stay alive.
        let (stop_handle, _server_handle) = stop_channel();
        let service = RpcServer::builder()
            .set_config(config(self.messages))
            .to_service_builder()
            .build(methods, stop_handle);
        let max_request_bytes = usize::try_from(self.messages.max_request_bytes);
        let max_request_bytes = max_request_bytes.unwrap_or(usize::MAX);
        let handler = move |request: Request<RequestBody>| {
            let service = service.clone();
            async move {
                let (parts, body) = request.into_parts();
                let deadline = Instant::now() + BODY_TIMEOUT;
                match body::collect(body, max_request_bytes, deadline).await {
                    Ok(bytes) => {
                        let request = Request::from_parts(parts, Body::from(bytes));
                        match service.oneshot(request).await {
                            Ok(answer) => answer.map(Body::new),
                            Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
                        }
                    }
                    Err(error) => refuse(error),
                }
            }
        };
        server.serve(listener, handler, self.stopping).await;
    }
}

fn config(messages: MessageLimits) -> ServerConfig {
    ServerConfig::builder()
        .http_only()
        .max_request_body_size(messages.max_request_bytes)
        .max_response_body_size(messages.max_answer_bytes)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .build()
}

fn refuse(error: BodyError) -> Response {
    let status = match error {
        BodyError::TooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
        BodyError::Timeout | BodyError::NoRoom => StatusCode::SERVICE_UNAVAILABLE,
        BodyError::CutOff => StatusCode::BAD_REQUEST,
    };
    status.into_response()
}
