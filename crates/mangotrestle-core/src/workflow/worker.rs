//! One life of a worker as the pool's leader sees it: room, clock, lease and health.

use crate::collections::FastMap;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::job::MemberKey;
use super::message;
use super::spec::StepSpec;

/// Percent of its true rate at which a worker's clock runs at the least: 2% slow by the platform's
/// word, and one for this host's own.
const SLOWEST_CLOCK_PERCENT: u64 = 97;
/// Time a worker is left alone after an order that it did not answer.
const SUSPECT_AFTER_SILENCE: SpanMs = SpanMs(1_500);
/// Failed runs in a row, of more than one job, that put a worker into quarantine.
const QUARANTINE_FAILURES: u32 = 2;
/// Time in quarantine; about half of a short disruption, so that a probe finds its end.
const QUARANTINE: SpanMs = SpanMs(3_000);
/// Time for which a worker whose last run failed is taken only when no other fits.
const DOUBT: SpanMs = SpanMs(2_000);

/// Index of full speed among the shares at which fillers work.
const FULL_PACE_LEVEL: usize = 2;

/// What is known of a worker's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockView {
    reading: WorkerTimeMs,
    read_at: TimeMs,
    known: bool,
}

impl ClockView {
    /// Takes a reading that arrived now; an older but further one stays.
    pub fn learn(&mut self, now: TimeMs, reading: WorkerTimeMs) {
        if !self.known || reading >= self.estimate(now) {
            *self = Self {
                reading,
                read_at: now,
                known: true,
            };
        }
    }

    /// The clock's reading now, late by the way of the last answer.
    #[must_use]
    pub fn estimate(&self, now: TimeMs) -> WorkerTimeMs {
        self.reading + now.since(self.read_at)
    }

    /// A reading that the clock has reached for certain.
    #[must_use]
    pub fn reached(&self, now: TimeMs) -> WorkerTimeMs {
        let elapsed_ms = now.since(self.read_at).0 * SLOWEST_CLOCK_PERCENT / 100;
        self.reading + SpanMs(elapsed_ms)
    }

    /// Whether there was a reading at all.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }
}

/// The leader's view of one life of a worker.
#[derive(Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each with its own meaning"
)]
pub struct Worker {
    /// As the platform lists it.
    pub entry: message::WorkerEntry,
    /// Counted need of all that may run here.
    pub used: Resources,
    /// What may run here, with its counted need.
    pub tasks: FastMap<MemberKey, Resources>,
    /// Tasks here with a bound on their tail.
    pub serving: u32,
    /// Tasks here that take only what others leave.
    pub filling: u32,
    /// Its clock.
    pub clock: ClockView,
    /// Latest deadline that any order of any leader may have carried.
    pub latest_deadline: WorkerTimeMs,
    /// Time until which a leader before this one may have extended the lease, if the worker has not
    /// answered this one yet.
    pub foreign_until: Option<TimeMs>,
    /// Whether it has answered this leader.
    pub met: bool,
    /// Highest number of an end that was taken in.
    pub seen: u64,
    /// The same as of the commit in flight.
    pub writing_seen: u64,
    /// Highest number of an end that is durable.
    pub durable_seen: u64,
    /// Highest number of an end that the worker was told.
    pub told_seen: u64,
    /// When the hold in flight was handed out.
    pub hold_sent_at: Option<TimeMs>,
    /// When the next hold is due.
    pub next_hold_at: TimeMs,
    /// Since when the platform's list lacks it.
    pub missing_since: Option<TimeMs>,
    /// Whether its life is over for certain.
    pub over: bool,
    suspect_until: TimeMs,
    silent_calls: u32,
    failures_in_row: u32,
    last_failed_job: Option<crate::id::JobId>,
    quarantined_until: TimeMs,
    doubted_until: TimeMs,
    /// How fast it is.
    pub speed: super::pool::Speed,
    /// Index of the share at which fillers work here.
    pub pace_level: usize,
    /// When that changed, or a task here was last over its bound.
    pub pace_changed_at: TimeMs,
    /// When the share was last ordered.
    pub pace_asked_at: TimeMs,
    /// Whether fillers here work at less than full speed.
    pub paced: bool,
    /// Runs it listed last that should not be there.
    pub strays: u32,
}

impl Worker {
    /// A worker that the platform lists.
    #[must_use]
    pub fn new(now: TimeMs, entry: message::WorkerEntry) -> Self {
        let mut clock = ClockView::default();
        if let Some(reading) = entry.clock {
            clock.learn(now, reading);
        }
        Self {
            entry,
            used: Resources::ZERO,
            tasks: FastMap::default(),
            serving: 0,
            filling: 0,
            clock,
            latest_deadline: WorkerTimeMs(0),
            foreign_until: None,
            met: false,
            seen: 0,
            writing_seen: 0,
            durable_seen: 0,
            told_seen: 0,
            hold_sent_at: None,
            next_hold_at: now,
            missing_since: None,
            over: false,
            suspect_until: TimeMs(0),
            silent_calls: 0,
            failures_in_row: 0,
            last_failed_job: None,
            quarantined_until: TimeMs(0),
            doubted_until: TimeMs(0),
            speed: super::pool::Speed::default(),
            pace_level: FULL_PACE_LEVEL,
            pace_changed_at: TimeMs(0),
            pace_asked_at: TimeMs(0),
            paced: false,
            strays: 0,
        }
    }

    /// Takes a task of a step in.
    pub fn occupy(&mut self, key: MemberKey, spec: &StepSpec) {
        let need = spec.counted_need();
        self.used += need;
        self.serving += u32::from(spec.persistent);
        self.filling += u32::from(spec.best_effort);
        self.tasks.insert(key, need);
    }

    /// Gives the room of a task of a step back, if the task is here.
    pub fn vacate(&mut self, key: &MemberKey, spec: &StepSpec) {
        let Some(need) = self.tasks.remove(key) else {
            return;
        };
        self.used -= need;
        self.serving -= u32::from(spec.persistent);
        self.filling -= u32::from(spec.best_effort);
    }

    /// What is free.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.entry.capacity - self.used
    }

    /// Whether new work may be placed here.
    #[must_use]
    pub fn takes_work(&self, now: TimeMs) -> bool {
        self.met
            && !self.over
            && !self.entry.draining
            && self.strays == 0
            && self.missing_since.is_none()
            && !self.is_silent()
            && now >= self.suspect_until
            && now >= self.quarantined_until
    }

    /// Notes that its life is over for certain.
    pub fn end_life(&mut self, now: TimeMs) {
        self.over = true;
        self.missing_since.get_or_insert(now);
    }

    /// Whether the last run here failed a short time ago.
    #[must_use]
    pub fn is_doubted(&self, now: TimeMs) -> bool {
        now < self.doubted_until
    }

    /// Notes that an order or a look was not answered.
    pub fn note_silence(&mut self, now: TimeMs) {
        self.silent_calls += 1;
        if self.silent_calls >= 2 {
            self.suspect_until = now + SUSPECT_AFTER_SILENCE;
        }
    }

    /// Notes that it refused work though it should not.
    pub fn note_refusal(&mut self, now: TimeMs) {
        self.suspect_until = now + SUSPECT_AFTER_SILENCE;
    }

    /// Notes an answer.
    pub fn note_answer(&mut self, now: TimeMs, clock: Option<WorkerTimeMs>) {
        self.silent_calls = 0;
        if let Some(reading) = clock {
            self.clock.learn(now, reading);
        }
    }

    /// Whether it has left calls unanswered lately.
    #[must_use]
    pub fn is_silent(&self) -> bool {
        self.silent_calls >= 2
    }

    /// Notes that a run ended as done.
    pub fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.last_failed_job = None;
        self.doubted_until = TimeMs(0);
    }

    /// Notes that a run ended as failed; says whether the worker is in quarantine now.
    pub fn note_failure(&mut self, now: TimeMs, job: &crate::id::JobId) -> bool {
        self.doubted_until = now + DOUBT;
        if self.last_failed_job.as_ref() != Some(job) {
            self.failures_in_row += 1;
            self.last_failed_job = Some(job.clone());
        }
        let quarantined = self.failures_in_row >= QUARANTINE_FAILURES;
        if quarantined {
            self.quarantined_until = now + QUARANTINE;
        }
        quarantined
    }

    /// Whether every order that ever went to it has lapsed, whatever became of it.
    #[must_use]
    pub fn has_lapsed(&self, now: TimeMs) -> bool {
        if self.over {
            return true;
        }
        if let Some(until) = self.foreign_until
            && now < until
        {
            return false;
        }
        let none_sent = self.latest_deadline == WorkerTimeMs(0);
        none_sent || (self.clock.is_known() && self.clock.reached(now) > self.latest_deadline)
    }

    /// Whether it has the label that is asked for, if one is.
    #[must_use]
    pub fn matches(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.has_label(label))
    }

    /// Whether it has the label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Its rack: the last of its labels.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.entry.labels.last().map_or("", String::as_str)
    }
}
