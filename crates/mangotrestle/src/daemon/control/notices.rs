//! Turns notices of pools into log lines and into events that operators can follow.

use std::collections::VecDeque;
use std::fmt;

use mangotrestle_core::id;
use mangotrestle_core::pool;
use mangotrestle_core::time;
use mangotrestle_operator::message;

/// Maximum number of events that are kept for operators who follow them.
const MAX_KEPT_EVENTS: usize = 4_096;

/// Logs notices and keeps the latest ones as events for operators.
pub(super) struct Notices {
    log: slog::Logger,
    last_sequence: u64,
    events: VecDeque<message::Event>,
}

impl Notices {
    pub(super) const fn new(log: slog::Logger) -> Self {
        Self {
            log,
            last_sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Returns the kept events after a sequence number. Without a number it returns none: an
    /// operator who starts to follow without one gets later events only.
    pub(super) fn after(&self, sequence: Option<u64>) -> Vec<message::Event> {
        let from = sequence.unwrap_or(self.last_sequence);
        let later = self.events.iter().filter(|event| event.sequence > from);
        later.cloned().collect()
    }

    /// Sequence number of the latest event; 0 if there was none.
    pub(super) const fn last_sequence(&self) -> u64 {
        self.last_sequence
    }

    /// Logs a pool's notice and keeps it as an event.
    pub(super) fn record_pool_notice(
        &mut self,
        wall_ms: time::WallTimeMs,
        pool: &id::PoolId,
        notice: &pool::PoolNotice,
    ) {
        let description = describe(notice);
        let pairs = description.pairs.with_first("pool", pool);
        self.log_and_keep(wall_ms, description.kind, &pairs);
    }

    /// Logs an event that concerns the whole host, and keeps it.
    pub(super) fn record_host_event(
        &mut self,
        wall_ms: time::WallTimeMs,
        kind: &str,
        pairs: &Pairs,
    ) {
        self.log_and_keep(wall_ms, kind, pairs);
    }

    fn log_and_keep(&mut self, wall_ms: time::WallTimeMs, kind: &str, pairs: &Pairs) {
        slog::info!(self.log, "{}", kind; pairs.clone());
        self.keep(wall_ms, kind, &pairs.to_string());
    }

    fn keep(&mut self, wall_ms: time::WallTimeMs, kind: &str, detail: &str) {
        self.last_sequence += 1;
        if self.events.len() == MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(message::Event {
            sequence: self.last_sequence,
            wall_ms,
            kind: kind.to_owned(),
            detail: detail.to_owned(),
        });
    }
}

/// Key-value pairs of an event, in the order in which they are shown.
#[derive(Clone, Debug, Default)]
pub(super) struct Pairs(Vec<Pair>);

#[derive(Clone, Debug)]
struct Pair {
    key: &'static str,
    value: String,
}

impl Pairs {
    /// Appends a pair.
    pub(super) fn with(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        self.0.push(Pair {
            key,
            value: value.to_string(),
        });
        self
    }

    /// Inserts a pair before all others.
    fn with_first(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        self.0.insert(
            0,
            Pair {
                key,
                value: value.to_string(),
            },
        );
        self
    }
}

impl fmt::Display for Pairs {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, pair) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{}={}", pair.key, pair.value)?;
        }
        Ok(())
    }
}

impl slog::KV for Pairs {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        // Emitted in reverse order, like slog's own lists of pairs.
        for pair in self.0.iter().rev() {
            serializer.emit_str(pair.key, &pair.value)?;
        }
        Ok(())
    }
}

/// Log event name of a notice, with its pairs.
struct EventDescription {
    kind: &'static str,
    pairs: Pairs,
}

/// Starts the description of an event, without pairs.
fn event(kind: &'static str) -> EventDescription {
    EventDescription {
        kind,
        pairs: Pairs::default(),
    }
}

impl EventDescription {
    fn with(mut self, key: &'static str, value: impl fmt::Display) -> Self {
        self.pairs = self.pairs.with(key, value);
        self
    }

    fn with_optional(self, key: &'static str, value: Option<impl fmt::Display>) -> Self {
        match value {
            Some(value) => self.with(key, value),
            None => self,
        }
    }
}

/// Describes a notice as a log event.
fn describe(notice: &pool::PoolNotice) -> EventDescription {
    use pool::PoolNotice as Notice;
    match notice {
        Notice::BecameLeader => event("pool.lead"),
        Notice::MayStart => event("pool.may_start"),
        Notice::LostLeadership => event("pool.lead_lost"),
        Notice::StateLoaded { jobs } => event("pool.loaded").with("jobs", jobs),
        Notice::RecoveryComplete => event("pool.recovered"),
        Notice::WorkerLeaseGranted {
            worker,
            epoch,
            running,
        } => event("worker.held")
            .with("worker", worker)
            .with("epoch", epoch.0)
            .with("running", running),
        Notice::WorkerLeaseLost { worker } => event("worker.unreachable").with("worker", worker),
        Notice::WorkerLost { worker } => event("worker.lost").with("worker", worker),
        Notice::Placed {
            run,
            worker,
            reason,
        } => event("task.placed")
            .with("run", run)
            .with("worker", worker)
            .with("path", format_args!("{:?}", reason.path))
            .with("score", reason.score)
            .with("candidates", reason.candidates)
            .with("waited_ms", reason.waited_ms),
        Notice::StartRefused { run, worker, code } => event("task.start_refused")
            .with("run", run)
            .with("worker", worker)
            .with("code", code),
        Notice::Stopping {
            run,
            worker,
            reason,
        } => event("task.stopping")
            .with("run", run)
            .with("worker", worker)
            .with("reason", format_args!("{reason:?}")),
        Notice::Throttled {
            run,
            worker,
            cpu_millicores,
        } => event("task.throttled")
            .with("run", run)
            .with("worker", worker)
            .with_optional("cpu_millicores", *cpu_millicores),
        Notice::JobStateChanged { job, state, code } => event("job.state")
            .with("job", job)
            .with("state", format_args!("{state:?}"))
            .with_optional("code", *code),
        Notice::TaskUnknown { run } => event("task.unknown").with("run", run),
        Notice::Quarantine {
            worker,
            probe_at_ms,
        } => event("worker.quarantine")
            .with("worker", worker)
            .with_optional("probe_at_ms", *probe_at_ms),
        Notice::OrphanRun { run, worker } => {
            event("task.orphan").with("run", run).with("worker", worker)
        }
    }
}
