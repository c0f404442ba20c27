//! Serves a backend to peers.

use std::future::Future;
use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::proc_macros::rpc;
use jsonrpsee::types::ErrorObjectOwned;
use mangotrestle_core::intake::Limits;
use mangotrestle_core::result_code;
use tokio::sync::watch;

use crate::message;
use crate::rpc_server::{MessageLimits, Serving};

/// Limits of a server: a few connections for each of several hundred hosts, and room for 64 of the largest
/// calls.
const LIMITS: Limits = Limits {
    max_connections: 512,
    max_body_bytes: 64 * message::MAX_REQUEST_BYTES as u64,
};
/// Maximum sizes of messages.
const MESSAGE_LIMITS: MessageLimits = MessageLimits {
    max_request_bytes: message::MAX_REQUEST_BYTES,
    max_answer_bytes: message::MAX_ANSWER_BYTES,
};

/// Handlers of the calls that a daemon receives from its peers. Every call may be repeated.
///
/// An error is sent to the peer as the number of its result code.
pub trait PeerBackend: Send + Sync + 'static {
    /// Processes a peer's heartbeat and returns this host's own.
    fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> impl Future<Output = Result<message::Heartbeat, result_code::ResultCode>> + Send;

    /// Returns the configuration in force.
    fn config(
        &self,
        request: message::ConfigRequest,
    ) -> impl Future<Output = Result<message::ConfigAnswer, result_code::ResultCode>> + Send;

    /// Returns the targets of a pool that this host leads.
    fn routes(
        &self,
        request: message::RoutesRequest,
    ) -> impl Future<Output = Result<message::RoutesAnswer, result_code::ResultCode>> + Send;

    /// Handles the notice that a pool's inbox has a new row.
    fn inbox_changed(
        &self,
        notice: message::InboxNotice,
    ) -> impl Future<Output = Result<(), result_code::ResultCode>> + Send;

    /// Answers an operator's query that another entry host forwards. Query and answer are the
    /// daemon's own types.
    fn query(
        &self,
        question: serde_json::Value,
    ) -> impl Future<Output = Result<serde_json::Value, result_code::ResultCode>> + Send;
}

#[rpc(server, client, namespace = "peer")]
pub(crate) trait PeerRpc {
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, message: message::Heartbeat) -> RpcResult<message::Heartbeat>;

    #[method(name = "config")]
    async fn config(&self, message: message::ConfigRequest) -> RpcResult<message::ConfigAnswer>;

    #[method(name = "routes")]
    async fn routes(&self, message: message::RoutesRequest) -> RpcResult<message::RoutesAnswer>;

    #[method(name = "inbox_changed")]
    async fn inbox_changed(&self, message: message::InboxNotice) -> RpcResult<()>;

    #[method(name = "query")]
    async fn query(&self, message: serde_json::Value) -> RpcResult<serde_json::Value>;
}

struct Adapter<B> {
    backend: Arc<B>,
}

#[async_trait]
impl<B: PeerBackend> PeerRpcServer for Adapter<B> {
    async fn heartbeat(&self, message: message::Heartbeat) -> RpcResult<message::Heartbeat> {
        if message.leads.len() > message::MAX_CLAIMS {
            return Err(error(result_code::ResultCode::TooLarge));
        }
        self.backend.heartbeat(message).await.map_err(error)
    }

    async fn config(&self, message: message::ConfigRequest) -> RpcResult<message::ConfigAnswer> {
        self.backend.config(message).await.map_err(error)
    }

    async fn routes(&self, message: message::RoutesRequest) -> RpcResult<message::RoutesAnswer> {
        self.backend.routes(message).await.map_err(error)
    }

    async fn inbox_changed(&self, message: message::InboxNotice) -> RpcResult<()> {
        self.backend.inbox_changed(message).await.map_err(error)
    }

    async fn query(&self, message: serde_json::Value) -> RpcResult<serde_json::Value> {
        self.backend.query(message).await.map_err(error)
    }
}

fn error(code: result_code::ResultCode) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(i32::from(code.number()), code.slug(), None::<()>)
}

/// Server of the peer protocol.
#[derive(Clone, Copy, Debug)]
pub struct PeerServer;

impl PeerServer {
    /// Serves a backend until the shutdown future ends, then finishes what is in flight.
    ///
    /// # Errors
    ///
    /// If the listener cannot be used.
    pub async fn serve<B: PeerBackend>(
        listener: std::net::TcpListener,
        backend: Arc<B>,
        shutdown: impl Future<Output = ()> + Send,
    ) -> std::io::Result<()> {
        listener.set_nonblocking(true)?;
        let (stop, stopping) = watch::channel(false);
        let serving = Serving {
            listener: tokio::net::TcpListener::from_std(listener)?,
            limits: LIMITS,
            messages: MESSAGE_LIMITS,
            log: slog::Logger::root(slog::Discard, slog::o!()),
            stopping,
        };
        let request_stop = async {
            shutdown.await;
            // Fails only if the server has already stopped.
            let _ = stop.send(true);
        };
        tokio::join!(serving.serve(Adapter { backend }.into_rpc()), request_stop);
        Ok(())
    }
}
