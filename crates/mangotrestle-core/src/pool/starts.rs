//! Starts and stops on their way to workers.

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

/// Time after which a start can no longer be accepted: its start-before lies closer than this.
const SETTLED_AFTER: time::SpanMs = time::SpanMs::from_secs(4);

/// A start whose answer was lost.
#[derive(Debug)]
struct Unanswered {
    start: message::StartRun,
    /// When the last copy was sent.
    sent_at: time::TimeMs,
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
    sent_at: time::TimeMs,
}

/// Batches without an answer, and runs whose answer was lost.
#[derive(Debug, Default)]
pub(super) struct Starts {
    last_batch: u64,
    sent: collections::FastMap<u64, SentBatch>,
    unanswered: ByWorker<Vec<Unanswered>>,
}

impl Starts {
    /// Keeps a batch until it is answered; returns its number.
    pub(super) fn sent(
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
        let sent_at = sent.sent_at;
        let kept = sent
            .runs
            .into_iter()
            .map(|start| Unanswered { start, sent_at });
        self.unanswered.entry(sent.worker).or_default().extend(kept);
        runs
    }

    /// Takes the runs to send to a worker again. A copy that may still be accepted has to be waited
    /// for: only then does a refusal of the next copy mean that nothing runs.
    pub(super) fn take_unanswered(
        &mut self,
        now: time::TimeMs,
        worker: &id::WorkerId,
    ) -> Vec<message::StartRun> {
        let Some(runs) = self.unanswered.get_mut(worker) else {
            return Vec::new();
        };
        let settled = runs.extract_if(.., |run| now >= run.sent_at + SETTLED_AFTER);
        settled.map(|run| run.start).collect()
    }

    /// Drops what is kept for a worker that was claimed anew or is lost: its list is the truth.
    pub(super) fn forget_worker(&mut self, worker: &id::WorkerId) {
        self.unanswered.remove(worker);
    }

    /// Drops a run whose end is known.
    pub(super) fn forget_run(&mut self, worker: &id::WorkerId, run: &task::RunId) {
        if let Some(runs) = self.unanswered.get_mut(worker) {
            runs.retain(|kept| kept.start.run != *run);
        }
    }
}
