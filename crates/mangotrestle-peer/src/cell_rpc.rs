//! JSON-RPC methods of the calls between hosts of a cell; see [`crate::cell`].

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;
use mangotrestle_core::workflow::record::JobState;

use crate::cell::{
    Acceptance, Advice, AdviceRequest, JobName, JobNames, JobStateAnswer, Submission, Submitted,
};

#[rpc(server, client, namespace = "cell")]
pub(crate) trait CellRpc {
    #[method(name = "accept")]
    async fn accept(&self, message: Submission) -> RpcResult<Acceptance>;

    #[method(name = "submitted")]
    async fn submitted(&self, message: Submitted) -> RpcResult<bool>;

    #[method(name = "cancelled")]
    async fn cancelled(&self, message: JobName) -> RpcResult<bool>;

    #[method(name = "leads")]
    async fn leads(&self, pool: String) -> RpcResult<bool>;

    #[method(name = "state")]
    async fn state(&self, message: JobName) -> RpcResult<JobStateAnswer>;

    #[method(name = "states")]
    async fn states(&self, message: JobNames) -> RpcResult<Option<Vec<Option<JobState>>>>;

    #[method(name = "ask")]
    async fn ask(&self, message: AdviceRequest) -> RpcResult<Option<Advice>>;

    #[method(name = "relay")]
    async fn relay(&self, message: serde_json::Value) -> RpcResult<serde_json::Value>;

    #[method(name = "released")]
    async fn released(&self, pool: String) -> RpcResult<()>;
}
