//! Serves requests of other entry hosts.

use std::sync::Arc;

use mangotrestle_core::result_code::ResultCode;
use mangotrestle_peer::message;
use tokio::sync::oneshot;

use super::context;
use super::control::event;
use super::query;

/// Passes requests of peers to the control thread and returns its answers.
pub(super) struct Backend {
    context: Arc<context::Context>,
}

impl Backend {
    pub(super) const fn new(context: Arc<context::Context>) -> Self {
        Self { context }
    }
}

impl mangotrestle_peer::PeerBackend for Backend {
    async fn heartbeat(
        &self,
        heartbeat: message::Heartbeat,
    ) -> Result<message::Heartbeat, ResultCode> {
        let (reply, answer) = oneshot::channel();
        self.context.report(event::ControlEvent::Heartbeat {
            heartbeat,
            reply: Some(reply),
        });
        answer.await.map_err(|_| ResultCode::NotReady)
    }

    async fn config(
        &self,
        request: message::ConfigRequest,
    ) -> Result<message::ConfigAnswer, ResultCode> {
        let (reply, answer) = oneshot::channel();
        self.context
            .report(event::ControlEvent::ConfigRequested { reply });
        let in_force = answer.await.map_err(|_| ResultCode::NotReady)?;
        let newer = in_force.version > request.held;
        let document = newer.then(|| serde_json::to_value(&*in_force.document));
        let document = document.transpose().map_err(|_| ResultCode::Internal)?;
        Ok(message::ConfigAnswer {
            version: in_force.version,
            changes: Vec::new(),
            document,
        })
    }

    async fn routes(
        &self,
        request: message::RoutesRequest,
    ) -> Result<message::RoutesAnswer, ResultCode> {
        let (reply, answer) = oneshot::channel();
        self.context
            .report(event::ControlEvent::RoutesRequested { request, reply });
        answer.await.ok().flatten().ok_or(ResultCode::NotLeader)
    }

    async fn inbox_changed(&self, notice: message::InboxNotice) -> Result<(), ResultCode> {
        self.context
            .report(event::ControlEvent::InboxChanged { pool: notice.pool });
        Ok(())
    }

    async fn query(&self, payload: serde_json::Value) -> Result<serde_json::Value, ResultCode> {
        let query: query::Query =
            serde_json::from_value(payload).map_err(|_| ResultCode::InvalidInput)?;
        let answer = self
            .context
            .query(query)
            .await
            .ok_or(ResultCode::NotReady)?;
        serde_json::to_value(answer).map_err(|_| ResultCode::Internal)
    }
}
