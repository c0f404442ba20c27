//! The backend that a daemon implements for operators.
//!
//! Before a method is called, the server has validated and converted the message and checked the
//! sender's permissions. A method may be called several times with the same command identifier; the
//! backend must then return the outcome of the first call and have no further effect.

use std::future;

use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::time;
use tokio::sync::mpsc;

use crate::message;

/// Commands and queries of operators, one method for each call of the schema.
///
/// A command always returns an outcome; [`message::CommandOutcome::code`] says whether it had an
/// effect. An implementation may write these methods as `async fn`.
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

    /// Lists jobs, ordered by identifier.
    fn list_jobs(
        &self,
        filter: message::JobFilter,
    ) -> impl future::Future<Output = Result<Vec<message::JobSummary>, message::Refusal>> + Send;

    /// Returns a job with its tasks.
    fn get_job(
        &self,
        job: id::JobId,
    ) -> impl future::Future<Output = Result<message::JobDetail, message::Refusal>> + Send;

    /// Lists the workers of one pool or of all pools.
    fn list_workers(
        &self,
        pool: Option<id::PoolId>,
    ) -> impl future::Future<Output = Result<Vec<message::WorkerDetail>, message::Refusal>> + Send;

    /// Marks a worker as leaving, or removes the mark.
    fn set_worker_drain(
        &self,
        command: message::Command,
        worker: id::WorkerId,
        draining: bool,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// Returns the configuration in force on this entry host.
    fn get_config(
        &self,
    ) -> impl future::Future<Output = Result<message::ConfigDocument, message::Refusal>> + Send;

    /// Accepts a configuration, or only validates it.
    fn apply_config(
        &self,
        command: message::Command,
        proposal: message::ConfigProposal,
    ) -> impl future::Future<Output = message::CommandOutcome> + Send;

    /// Returns the newest versions of the configuration, at most `limit`.
    fn list_config_history(
        &self,
        limit: u32,
    ) -> impl future::Future<Output = Result<message::ConfigHistory, message::Refusal>> + Send;

    /// Returns the state of the cell, with the commands since `handover_since` if it is given.
    fn get_status(
        &self,
        handover_since: Option<time::WallTimeMs>,
    ) -> impl future::Future<Output = Result<message::Status, message::Refusal>> + Send;

    /// Opens a stream of the events after `after_sequence`, or of future events only if it is
    /// `None`.
    ///
    /// The stream ends when either end of the channel is dropped. A backend closes a channel that
    /// stays full instead of waiting for its receiver.
    fn stream_events(
        &self,
        after_sequence: Option<u64>,
    ) -> impl future::Future<Output = Result<mpsc::Receiver<message::Event>, message::Refusal>> + Send;
}
