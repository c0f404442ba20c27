//! Start and stop orders that are being sent to workers.

use std::collections::BTreeMap;

use super::ByWorker;
use crate::collections;
use crate::id;
use crate::journal;
use crate::lease::message;
use crate::task;
use crate::time;

/// Starts that are about to be sent, collected in one round of decisions.
#[derive(Debug, Default)]
pub(super) struct Batches {
    /// Records of the starts.
    pub(super) records: Vec<journal::Record>,
    /// Whether any of them is urgent.
    pub(super) urgent: bool,
    /// Starts by worker.
    pub(super) by_worker: BTreeMap<id::WorkerId, Vec<message::StartRun>>,
}

/// The worker that a stop order is sent to, and whether it asks for a checkpoint.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StopDestination {
    pub(super) worker: id::WorkerId,
    /// Whether the runs are asked to write a checkpoint before they stop.
    pub(super) checkpoint: bool,
}

/// Stops that are about to be sent.
#[derive(Debug, Default)]
pub(super) struct Stops {
    /// Runs to stop, by destination.
    pub(super) by_destination: BTreeMap<StopDestination, Vec<task::RunId>>,
}

impl Stops {
    /// Adds a run.
    pub(super) fn add(&mut self, worker: id::WorkerId, checkpoint: bool, run: task::RunId) {
        self.by_destination
            .entry(StopDestination { worker, checkpoint })
            .or_default()
            .push(run);
    }
}

/// Time after sending at which a start can no longer be accepted. It is longer than the time from
/// sending until the start's `start_before_ms`.
const START_ACCEPTANCE_TIMEOUT: time::SpanMs = time::SpanMs::from_secs(4);

/// A start that was sent and got no answer.
#[derive(Debug)]
struct Unanswered {
    start: message::StartRun,
    /// When the last copy was sent.
    sent_at: time::TimeMs,
}

/// A batch of starts that was sent and has no answer yet.
#[derive(Debug)]
pub(super) struct SentBatch {
    pub(super) worker: id::WorkerId,
    pub(super) runs: Vec<message::StartRun>,
    /// Epoch under which the batch was sent.
    pub(super) epoch: message::Epoch,
    sent_at: time::TimeMs,
}

/// Batches that wait for an answer, and starts whose batch got none.
#[derive(Debug, Default)]
pub(super) struct Starts {
    last_batch: u64,
    sent: collections::FastMap<u64, SentBatch>,
    unanswered: ByWorker<Vec<Unanswered>>,
}

impl Starts {
    /// Stores a batch until it is answered. Returns its number.
    pub(super) fn record_sent(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
        epoch: message::Epoch,
        runs: &[message::StartRun],
    ) -> u64 {
        self.last_batch += 1;
        let batch = SentBatch {
            worker: worker.clone(),
            runs: runs.to_vec(),
            epoch,
            sent_at: now,
        };
        self.sent.insert(self.last_batch, batch);
        self.last_batch
    }

    /// Removes and returns an answered batch.
    pub(super) fn take_answered(&mut self, batch: u64) -> Option<SentBatch> {
        self.sent.remove(&batch)
    }

    /// Moves the starts of an unanswered batch to those that are sent again. Returns their runs.
    pub(super) fn mark_unanswered(&mut self, batch: u64) -> Vec<task::RunId> {
        let Some(sent) = self.sent.remove(&batch) else {
            return Vec::new();
        };
        let runs = sent.runs.iter().map(|start| start.run.clone()).collect();
        let sent_at = sent.sent_at;
        let unanswered = sent
            .runs
            .into_iter()
            .map(|start| Unanswered { start, sent_at });
        self.unanswered
            .entry(sent.worker)
            .or_default()
            .extend(unanswered);
        runs
    }

    /// Removes and returns the starts to send to a worker again: those whose last copy can no
    /// longer be accepted. If it could, a refusal of the next copy would not prove that nothing
    /// runs.
    pub(super) fn take_resendable(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
    ) -> Vec<message::StartRun> {
        let Some(runs) = self.unanswered.get_mut(worker) else {
            return Vec::new();
        };
        let resendable = runs.extract_if(.., |unanswered| {
            now >= unanswered.sent_at + START_ACCEPTANCE_TIMEOUT
        });
        resendable.map(|unanswered| unanswered.start).collect()
    }

    /// Removes the unanswered starts of a worker that was claimed again. Its list of runs is
    /// authoritative.
    pub(super) fn forget_worker(&mut self, worker: &id::WorkerId) {
        self.unanswered.remove(worker);
    }

    /// Removes a run whose end is known.
    pub(super) fn forget_run(&mut self, worker: &id::WorkerId, run: &task::RunId) {
        if let Some(runs) = self.unanswered.get_mut(worker) {
            runs.retain(|unanswered| unanswered.start.run != *run);
        }
    }
}
