//! Starts and stops on their way to workers.

use std::collections::BTreeMap;

use super::ByWorker;
use crate::collections;
use crate::id;
use crate::journal;
use crate::lease::message;
use crate::task;

/// Starts that are about to be sent, collected in one round of decisions.
#[derive(Debug, Default)]
pub(super) struct Batches {
    /// Records of the starts.
    pub(super) records: Vec<journal::Record>,
    /// Whether any of them is urgent.
    pub(super) urgent: bool,
    /// The starts.
    pub(super) by_worker: BTreeMap<id::WorkerId, Vec<message::StartRun>>,
}

/// Where a stop goes, and how.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct StopTarget {
    /// The worker.
    pub(super) worker: id::WorkerId,
    /// Whether to checkpoint first.
    pub(super) checkpoint: bool,
}

/// Stops that are about to be sent.
#[derive(Debug, Default)]
pub(super) struct Stops {
    /// Runs to stop, by worker and manner.
    pub(super) by_target: BTreeMap<StopTarget, Vec<task::RunId>>,
}

impl Stops {
    /// Adds a run.
    pub(super) fn add(&mut self, worker: id::WorkerId, checkpoint: bool, run: task::RunId) {
        self.by_target
            .entry(StopTarget { worker, checkpoint })
            .or_default()
            .push(run);
    }
}

/// A batch of starts that was sent.
#[derive(Debug)]
pub(super) struct SentBatch {
    /// The worker.
    pub(super) worker: id::WorkerId,
    /// The runs.
    pub(super) runs: Vec<message::StartRun>,
    /// Epoch under which the batch was sent.
    pub(super) epoch: message::Epoch,
}

/// Batches without an answer, and runs whose answer was lost.
#[derive(Debug, Default)]
pub(super) struct Starts {
    last_batch: u64,
    sent: collections::FastMap<u64, SentBatch>,
    unanswered: ByWorker<Vec<message::StartRun>>,
}

impl Starts {
    /// Keeps a batch until it is answered; returns its number.
    pub(super) fn sent(
        &mut self,
        worker: &id::WorkerId,
        epoch: message::Epoch,
        runs: &[message::StartRun],
    ) -> u64 {
        self.last_batch += 1;
        let batch = SentBatch {
            worker: worker.clone(),
            runs: runs.to_vec(),
            epoch,
        };
        self.sent.insert(self.last_batch, batch);
        self.last_batch
    }

    /// Takes an answered batch out.
    pub(super) fn answered(&mut self, batch: u64) -> Option<SentBatch> {
        self.sent.remove(&batch)
    }

    /// Keeps the runs of an unanswered batch to send them again; returns them.
    pub(super) fn unanswered(&mut self, batch: u64) -> Vec<task::RunId> {
        let Some(sent) = self.sent.remove(&batch) else {
            return Vec::new();
        };
        let runs = sent.runs.iter().map(|start| start.run.clone()).collect();
        self.keep_unanswered(&sent.worker, sent.runs);
        runs
    }

    /// Keeps runs to send them again.
    pub(super) fn keep_unanswered(&mut self, worker: &id::WorkerId, runs: Vec<message::StartRun>) {
        self.unanswered
            .entry(worker.clone())
            .or_default()
            .extend(runs);
    }

    /// Takes the runs to send to a worker again.
    pub(super) fn take_unanswered(&mut self, worker: &id::WorkerId) -> Vec<message::StartRun> {
        self.unanswered.remove(worker).unwrap_or_default()
    }

    /// Drops what is kept for a worker that was claimed anew or is lost: its list is the truth.
    pub(super) fn forget_worker(&mut self, worker: &id::WorkerId) {
        self.unanswered.remove(worker);
    }

    /// Drops a run whose end is known.
    pub(super) fn forget_run(&mut self, worker: &id::WorkerId, run: &task::RunId) {
        if let Some(runs) = self.unanswered.get_mut(worker) {
            runs.retain(|start| start.run != *run);
        }
    }
}
