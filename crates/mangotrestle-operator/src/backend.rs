//! What a daemon does for operators.
//!
//! The server checks and converts every message before a method here is called, and checks what
//! the sender may do. A method may be called several times with the same command identifier; the
//! backend answers such a call with the first call's outcome and does nothing again.

use std::future;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::time;
use tokio::sync::mpsc;

use crate::message;

/// Operators' commands and queries, one method for each call of the schema.
///
/// Commands answer with an outcome in every case; [`message::CommandOutcome::code`] says whether
/// they had an effect. An implementation may write these methods as `async fn`.
pub trait OperatorBackend: Send + Sync + 'static {
    /// Accepts a job.
    fn submit_job(
        &self,
        command: message::Command,
        spec: job::JobSpec,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// Cancels a job: running tasks are stopped, waiting ones never start.
    fn cancel_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// Puts a parked or failed job back in the queue.
    fn retry_job(
        &self,
        command: message::Command,
        job: id::JobId,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// Lists jobs, by identifier.
    fn list_jobs(
        &self,
        filter: message::JobFilter,
    ) -> impl future::Future<Output = Result<Vec<message::JobSummary>, message::Refusal>> + Send;

    /// Shows a job with its tasks.
    fn get_job(
        &self,
        job: id::JobId,
    ) -> impl future::Future<Output = Result<message::JobDetail, message::Refusal>> + Send;

    /// Lists workers, of one pool or of all.
    fn list_workers(
        &self,
        pool: Option<id::PoolId>,
    ) -> impl future::Future<Output = Result<Vec<message::WorkerDetail>, message::Refusal>> + Send;

    /// Marks a worker as leaving, or takes the mark back.
    fn set_worker_drain(
        &self,
        command: message::Command,
        worker: id::WorkerId,
        draining: bool,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// The configuration in force on this entry host.
    fn get_config(
        &self,
    ) -> impl future::Future<Output = Result<message::ConfigDocument, message::Refusal>> + Send;

    /// Accepts a configuration, or only checks it.
    fn apply_config(
        &self,
        command: message::Command,
        proposal: message::ConfigProposal,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// The newest versions of the configuration, at most `limit`.
    fn list_config_history(
        &self,
        limit: u32,
    ) -> impl future::Future<Output = Result<message::ConfigHistory, message::Refusal>> + Send;

    /// State of the cell, with the commands since a time if one is given.
    fn get_status(
        &self,
        handover_since: Option<time::WallTimeMs>,
    ) -> impl future::Future<Output = Result<message::Status, message::Refusal>> + Send;

    /// Opens a stream of events, from after the given number, or of what comes next.
    ///
    /// The stream ends when either end of the channel is dropped. A backend closes a channel that
    /// stays full rather than wait for it.
    fn stream_events(
        &self,
        after_sequence: Option<u64>,
    ) -> impl future::Future<Output = Result<mpsc::Receiver<message::Event>, message::Refusal>> + Send;
}
