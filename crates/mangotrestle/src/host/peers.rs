//! Serves calls of the other hosts of the cell.

use std::sync::Arc;
use std::time::Duration;

use mangotrestle_core::workflow::intake_shares::IntakeShares;
use mangotrestle_core::workflow::record::JobState;
use mangotrestle_peer::cell::{
    self, Acceptance, Advice, AdviceRequest, CellBackend, JobName, JobNames, JobStateAnswer,
    Submission, Submitted,
};
use mangotrestle_users_platform::advice;
use tokio::net::TcpListener;
use tokio::sync::watch;

use super::access::{RelayedAnswer, RelayedCall};
use super::cell::Cell;
use super::leader;
use super::load::Work;

/// Serves calls of other hosts until `stopping` turns true.
pub(super) async fn serve(cell: Arc<Cell>, listener: TcpListener, stopping: watch::Receiver<bool>) {
    let limits = IntakeShares::of(&cell.settings).peers;
    let log = cell.log.clone();
    let backend = Arc::new(Backend { cell });
    cell::serve(listener, backend, limits, log, stopping).await;
}

struct Backend {
    cell: Arc<Cell>,
}

impl CellBackend for Backend {
    async fn accept(&self, submission: Submission) -> Acceptance {
        self.cell
            .catch_up_with_configuration(submission.configuration)
            .await;
        match self.cell.leader(&submission.pool) {
            None => Acceptance::NotLeading,
            Some(leader) => {
                let record = Arc::new(submission.record);
                let acceptance = leader.accept(&self.cell, &submission.job, record);
                self.cell.load.measure(Work::Submission, acceptance).await
            }
        }
    }

    async fn submitted(&self, submitted: Submitted) -> bool {
        self.cell
            .catch_up_with_configuration(submitted.configuration)
            .await;
        let Some(leader) = self.cell.leader(&submitted.pool) else {
            return false;
        };
        let record = Arc::new(submitted.record);
        leader.add_stored_job(&self.cell, &submitted.job, record, submitted.version);
        true
    }

    async fn cancelled(&self, name: JobName) -> bool {
        let Some(leader) = self.cell.leader(&name.pool) else {
            return false;
        };
        leader.cancel_job(&self.cell, &name.job);
        true
    }

    async fn leads(&self, pool: String) -> bool {
        self.cell.leader(&pool).is_some()
    }

    async fn state(&self, name: JobName) -> JobStateAnswer {
        match self.cell.leader(&name.pool) {
            None => JobStateAnswer::NotLeading,
            Some(leader) => leader.state(&name.job, name.viewer.as_deref()),
        }
    }

    async fn states(&self, names: JobNames) -> Option<Vec<Option<JobState>>> {
        let leader = self.cell.leader(&names.pool)?;
        Some(leader.states(&names.jobs))
    }

    async fn ask(&self, request: AdviceRequest) -> Option<Advice> {
        let advice = request_advice(&self.cell, &request);
        self.cell.load.measure(Work::Advice, advice).await
    }

    async fn relay(&self, call: serde_json::Value) -> serde_json::Value {
        let answer = match serde_json::from_value::<RelayedCall>(call) {
            Ok(call) => self.cell.execute_relayed_call(call).await,
            Err(error) => {
                slog::warn!(self.cell.log, "relay.malformed"; "error" => %error);
                RelayedAnswer::Closed
            }
        };
        // Null stands for an answer that cannot be encoded; the peer cannot decode it and treats
        // the outcome as unknown.
        serde_json::to_value(answer).unwrap_or_default()
    }

    async fn released(&self, pool: String) {
        leader::claim_released(&self.cell, &pool).await;
    }
}

/// Asks the advice service, from this host and not through a peer, which workers may run a step.
pub(super) async fn request_advice(cell: &Arc<Cell>, request: &AdviceRequest) -> Option<Advice> {
    let service = cell.settings.advice?;
    let timeout = Duration::from_millis(request.within_ms);
    let _counted = cell.count_advice_request();
    let answer = advice::ask(
        &cell.transport,
        service,
        &request.step,
        &request.workers,
        timeout,
    )
    .await;
    match answer {
        Ok(advice) => Some(Advice {
            good: advice.allowed,
            valid_ms: advice.valid_for.0,
        }),
        Err(error) => {
            slog::info!(cell.log, "advice.failed"; "step" => &request.step,
                "error" => %error);
            None
        }
    }
}
