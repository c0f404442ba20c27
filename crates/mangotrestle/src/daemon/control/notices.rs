//! Log lines and operators' events from the notices of pools.

use std::collections::VecDeque;

use mangotrestle_core::id;
use mangotrestle_core::pool;
use mangotrestle_core::time;
use mangotrestle_operator::message;

/// Events that are kept for operators who follow them.
const KEPT_EVENTS: usize = 4_096;

/// Logs notices and keeps the last of them.
pub(super) struct Notices {
    log: slog::Logger,
    last_sequence: u64,
    kept: VecDeque<message::Event>,
}

impl Notices {
    pub(super) const fn new(log: slog::Logger) -> Self {
        Self {
            log,
            last_sequence: 0,
            kept: VecDeque::new(),
        }
    }

    /// Kept events after a sequence number; without one, only what comes next.
    pub(super) fn after(&self, sequence: Option<u64>) -> Vec<message::Event> {
        let from = sequence.unwrap_or(self.last_sequence);
        let later = self.kept.iter().filter(|event| event.sequence > from);
        later.cloned().collect()
    }

    /// Number of the last event.
    pub(super) const fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Logs a pool's notice and keeps it for operators.
    pub(super) fn pool(
        &mut self,
        wall_ms: time::WallTimeMs,
        pool: &id::PoolId,
        notice: &pool::PoolNotice,
    ) {
        let (kind, detail) = describe(notice);
        slog::info!(self.log, "{}", kind; "pool" => pool.as_str(), "detail" => &detail);
        self.keep(wall_ms, kind, &format!("pool={pool} {detail}"));
    }

    /// Logs something that is about the whole host.
    pub(super) fn host(&mut self, wall_ms: time::WallTimeMs, kind: &str, detail: &str) {
        slog::info!(self.log, "{}", kind; "detail" => detail);
        self.keep(wall_ms, kind, detail);
    }

    fn keep(&mut self, wall_ms: time::WallTimeMs, kind: &str, detail: &str) {
        self.last_sequence += 1;
        if self.kept.len() == KEPT_EVENTS {
            self.kept.pop_front();
        }
        self.kept.push_back(message::Event {
            sequence: self.last_sequence,
            wall_ms,
            kind: kind.to_owned(),
            detail: detail.to_owned(),
        });
    }
}

/// Kind of a notice and its `key=value` pairs.
fn describe(notice: &pool::PoolNotice) -> (&'static str, String) {
    use pool::PoolNotice as Notice;
    match notice {
        Notice::BecameLeader => ("pool.lead", String::new()),
        Notice::MayStart => ("pool.may_start", String::new()),
        Notice::LostLead => ("pool.lead_lost", String::new()),
        Notice::StateLoaded { jobs } => ("pool.loaded", format!("jobs={jobs}")),
        Notice::RecoveryComplete => ("pool.recovered", String::new()),
        Notice::WorkerHeld {
            worker,
            epoch,
            running,
        } => (
            "worker.held",
            format!("worker={worker} epoch={} running={running}", epoch.0),
        ),
        Notice::WorkerLostHold { worker } => ("worker.unreachable", format!("worker={worker}")),
        Notice::WorkerLost { worker } => ("worker.lost", format!("worker={worker}")),
        Notice::Placed {
            run,
            worker,
            reason,
        } => (
            "task.placed",
            format!(
                "run={run} worker={worker} path={:?} score={} candidates={} waited_ms={}",
                reason.path, reason.score, reason.candidates, reason.waited_ms
            ),
        ),
        Notice::StartRefused { run, worker, code } => (
            "task.start_refused",
            format!("run={run} worker={worker} code={code}"),
        ),
        Notice::Stopping {
            run,
            worker,
            reason,
        } => (
            "task.stopping",
            format!("run={run} worker={worker} reason={reason:?}"),
        ),
        Notice::Throttled {
            run,
            worker,
            cpu_millicores,
        } => {
            let bound = cpu_millicores.map_or("none".to_owned(), |bound| bound.to_string());
            (
                "task.throttled",
                format!("run={run} worker={worker} cpu_millicores={bound}"),
            )
        }
        Notice::JobStateChanged { job, state, code } => {
            let code = code.map_or(String::new(), |code| format!(" code={code}"));
            ("job.state", format!("job={job} state={state:?}{code}"))
        }
        Notice::TaskUnknown { run } => ("task.unknown", format!("run={run}")),
        Notice::Quarantine {
            worker,
            probe_at_ms,
        } => {
            let probe = probe_at_ms.map_or("released".to_owned(), |at| at.to_string());
            (
                "worker.quarantine",
                format!("worker={worker} probe_at_ms={probe}"),
            )
        }
        Notice::OrphanRun { run, worker } => ("task.orphan", format!("run={run} worker={worker}")),
    }
}
