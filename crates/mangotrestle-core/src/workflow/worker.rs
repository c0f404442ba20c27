//! One life of a worker as the pool's leader sees it: free resources, clock, lease and health.

use std::collections::VecDeque;

use crate::collections::FastMap;
use crate::id;
use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs, WorkerTimeMs};

use super::crash_evidence::WorkerEnd;
use super::job::{MemberKey, StepKey};
use super::message;
use super::spec::StepSpec;
use super::worker_speed::WorkerSpeed;

/// Minimum rate of a worker's clock in percent of the true rate: the platform allows it to be 2%
/// slow, and 1% covers this host's own clock.
const MIN_CLOCK_RATE_PERCENT: u64 = 97;
/// Maximum age of the last answered poll for a poll to acknowledge ends; shorter than a worker takes to
/// crash and start again.
const MAX_ACKNOWLEDGED_POLL_AGE: SpanMs = SpanMs(500);
/// Time for which a worker gets no new work after it left orders unanswered or refused one.
const SUSPECT_DURATION: SpanMs = SpanMs(1_500);
/// Number of consecutive failed runs, of more than one job, that put a worker into quarantine.
const QUARANTINE_FAILURES: u32 = 2;
/// Time in quarantine: about half of a short disruption, so that the first run after it shows
/// whether the disruption has ended.
const QUARANTINE_DURATION: SpanMs = SpanMs(3_000);
/// Time in quarantine after which one run may be tried on the worker if no other could run it.
const QUARANTINE_PROBE_DELAY: SpanMs = SpanMs(1_000);
/// Time after a failed run for which a worker is used only when no other fits.
const LAST_RESORT_DURATION: SpanMs = SpanMs(2_000);

/// Index of full speed among the pace levels of best-effort tasks.
const FULL_PACE_LEVEL: usize = 2;

/// Estimate of a worker's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct ClockView {
    reading: WorkerTimeMs,
    read_at: TimeMs,
    known: bool,
}

impl ClockView {
    /// Takes a reading that has just arrived, unless the present estimate is ahead of it.
    pub fn update(&mut self, now: TimeMs, reading: WorkerTimeMs) {
        if !self.known || reading >= self.estimate(now) {
            *self = Self {
                reading,
                read_at: now,
                known: true,
            };
        }
    }

    /// Returns the estimated reading at `now`; it lags by the time that the last answer took to
    /// arrive.
    #[must_use]
    pub fn estimate(&self, now: TimeMs) -> WorkerTimeMs {
        self.reading + now.since(self.read_at)
    }

    /// Returns a reading that the clock has certainly reached.
    #[must_use]
    pub fn min_reading(&self, now: TimeMs) -> WorkerTimeMs {
        let elapsed_ms = now.since(self.read_at).0 * MIN_CLOCK_RATE_PERCENT / 100;
        self.reading + SpanMs(elapsed_ms)
    }

    /// Whether there has been a reading.
    #[must_use]
    pub const fn is_known(&self) -> bool {
        self.known
    }
}

/// The leader's view of the present life of a worker.
#[derive(Debug)]
#[allow(
    clippy::struct_excessive_bools,
    reason = "independent facts, each with its own meaning"
)]
pub struct Worker {
    /// Its entry in the platform's list.
    pub entry: message::WorkerEntry,
    /// Number of its present life; later lives have higher ones.
    pub life: u32,
    /// Total counted need of the tasks that may run here.
    pub used: Resources,
    /// Tasks that may run here, with their counted needs.
    pub tasks: FastMap<MemberKey, Resources>,
    /// Number of serving (persistent) tasks here.
    pub serving_tasks: u32,
    /// Number of best-effort tasks here.
    pub best_effort_tasks: u32,
    /// Estimate of its clock.
    pub clock: ClockView,
    /// Latest deadline, on its clock, that any order of any leader may have carried.
    pub latest_deadline: WorkerTimeMs,
    /// Time until which a lease that an earlier leader extended may last; unset once the worker has
    /// answered this leader.
    pub previous_lease_until: Option<TimeMs>,
    /// Whether it has answered this leader.
    pub answered: bool,
    /// Number of the last ended run received from the worker.
    pub received_end: u64,
    /// Number of the last ended run that the commit in flight covers.
    pub committing_end: u64,
    /// Number of the last ended run whose effects are durable.
    pub durable_end: u64,
    /// Number of the last ended run that the poll in flight acknowledges; zero if none.
    acknowledging_end: u64,
    /// Time of the answer to the last poll; unset if there was none. The answer to an order may be that
    /// of a later life.
    poll_answered_at: Option<TimeMs>,
    /// Number of the last ended run of which the worker has received the acknowledgement.
    acknowledged_end: u64,
    /// Numbers of the ended runs whose effects are not durable, oldest first, with their jobs.
    undurable_ends: VecDeque<(u64, id::JobId)>,
    /// Time at which the hold order in flight was handed out, if there is one.
    pub hold_sent_at: Option<TimeMs>,
    /// Time at which the next hold order is due.
    pub next_hold_at: TimeMs,
    /// Time since which the platform's list lacks it.
    pub missing_since: Option<TimeMs>,
    /// Whether the incarnation has certainly ended.
    pub ended: bool,
    /// Job of which suspected tasks have just started here; nothing else may start meanwhile.
    pub trial: Option<id::JobId>,
    /// Time of its last answer.
    answered_at: TimeMs,
    /// Time of the last answer of its earlier life.
    earlier_answered_at: TimeMs,
    /// Time at which the leader learned of its present life.
    life_known_at: TimeMs,
    /// Whether its entry is that of its present life.
    is_life_listed: bool,
    suspect_until: TimeMs,
    unanswered_calls: u32,
    failures_in_row: u32,
    last_failed_job: Option<id::JobId>,
    quarantined_until: TimeMs,
    /// Whether a run was placed here during the quarantine and has not ended.
    probed: bool,
    last_resort_until: TimeMs,
    /// Its speed by the progress of its present runs.
    pub speed: super::pool::Speed,
    /// Its speed by its ended runs.
    pub learned_speed: WorkerSpeed,
    /// Index of the pace level of best-effort tasks here.
    pub pace_level: usize,
    /// Time at which the pace level last changed, or a task here last exceeded its target latency.
    pub pace_changed_at: TimeMs,
    /// Time at which the pace was last ordered.
    pub pace_ordered_at: TimeMs,
    /// Whether best-effort tasks here run at less than full speed.
    pub paced: bool,
    /// Whether a serving task here exceeded its target latency in the last report.
    pub over_target: bool,
    /// Number of unexpected runs in its last report.
    pub unexpected_runs: u32,
    /// Whether its last report may lack ended runs. It lists the others once these are acknowledged.
    pub ends_may_be_cut: bool,
}

impl Worker {
    /// Returns the state of a worker that the platform lists.
    #[must_use]
    pub fn new(now: TimeMs, entry: message::WorkerEntry, life: u32) -> Self {
        let mut clock = ClockView::default();
        if let Some(reading) = entry.clock {
            clock.update(now, reading);
        }
        Self {
            entry,
            life,
            used: Resources::ZERO,
            tasks: FastMap::default(),
            serving_tasks: 0,
            best_effort_tasks: 0,
            clock,
            latest_deadline: WorkerTimeMs(0),
            previous_lease_until: None,
            answered: false,
            received_end: 0,
            committing_end: 0,
            durable_end: 0,
            acknowledging_end: 0,
            poll_answered_at: None,
            acknowledged_end: 0,
            undurable_ends: VecDeque::new(),
            hold_sent_at: None,
            next_hold_at: now,
            missing_since: None,
            ended: false,
            trial: None,
            answered_at: TimeMs(0),
            earlier_answered_at: TimeMs(0),
            life_known_at: now,
            is_life_listed: true,
            suspect_until: TimeMs(0),
            unanswered_calls: 0,
            failures_in_row: 0,
            last_failed_job: None,
            quarantined_until: TimeMs(0),
            probed: false,
            last_resort_until: TimeMs(0),
            speed: super::pool::Speed::default(),
            learned_speed: WorkerSpeed::default(),
            pace_level: FULL_PACE_LEVEL,
            pace_changed_at: TimeMs(0),
            pace_ordered_at: TimeMs(0),
            paced: false,
            over_target: false,
            unexpected_runs: 0,
            ends_may_be_cut: false,
        }
    }

    /// Begins a later life, of which nothing but the entry is known. The runs that were assigned
    /// here stay until they are settled.
    pub fn begin_life(
        &mut self,
        now: TimeMs,
        entry: message::WorkerEntry,
        life: u32,
        is_listed: bool,
    ) {
        let missing_since = self.missing_since.filter(|_| !is_listed && !self.ended);
        let earlier = std::mem::replace(self, Self::new(now, entry, life));
        self.used = earlier.used;
        self.tasks = earlier.tasks;
        self.serving_tasks = earlier.serving_tasks;
        self.best_effort_tasks = earlier.best_effort_tasks;
        self.hold_sent_at = earlier.hold_sent_at;
        self.earlier_answered_at = earlier.answered_at;
        self.learned_speed = earlier.learned_speed.for_later_life();
        self.missing_since = missing_since;
        self.is_life_listed = is_listed;
    }

    /// Records an entry of its present life.
    pub fn list_life(&mut self, entry: message::WorkerEntry) {
        self.entry = entry;
        self.missing_since = None;
        self.is_life_listed = true;
    }

    /// Adds a task of a step and reserves its need.
    pub fn add_task(&mut self, key: MemberKey, spec: &StepSpec) {
        let need = spec.counted_need();
        self.used += need;
        self.serving_tasks += u32::from(spec.persistent);
        self.best_effort_tasks += u32::from(spec.best_effort);
        self.tasks.insert(key, need);
    }

    /// Removes a task of a step and frees its need, if the task is here.
    pub fn remove_task(&mut self, key: &MemberKey, spec: &StepSpec) {
        let Some(need) = self.tasks.remove(key) else {
            return;
        };
        self.used -= need;
        self.serving_tasks -= u32::from(spec.persistent);
        self.best_effort_tasks -= u32::from(spec.best_effort);
        let mut jobs = self.tasks.keys().map(|task| &task.unit.step.job);
        if self
            .trial
            .as_ref()
            .is_some_and(|trial| !jobs.any(|job| job == trial))
        {
            self.trial = None;
        }
    }

    /// Returns the free resources.
    #[must_use]
    pub fn free(&self) -> Resources {
        self.entry.capacity - self.used
    }

    /// Whether all tasks that may run here fit in its capacity, which may have shrunk.
    #[must_use]
    pub fn is_within_capacity(&self) -> bool {
        self.used.fits_in(&self.entry.capacity)
    }

    /// Returns the free resources once runs that need `ending` have ended.
    #[must_use]
    pub fn free_after(&self, ending: Resources) -> Resources {
        self.entry.capacity - (self.used - ending)
    }

    /// Returns the number of tasks of a step, at most those of one unit, for which there is room.
    #[must_use]
    pub fn room_for(&self, step: &StepKey, spec: &StepSpec) -> u32 {
        let need = spec.counted_need();
        let mut max = spec.unit_size();
        if spec.max_per_worker > 0 {
            let here = self.tasks.keys().filter(|task| task.unit.step == *step);
            let here = u32::try_from(here.count()).unwrap_or(u32::MAX);
            max = max.min(spec.max_per_worker.saturating_sub(here));
        }
        let mut free = self.free();
        let mut tasks = 0;
        while tasks < max {
            let Some(left) = free.checked_sub(&need) else {
                break;
            };
            free = left;
            tasks += 1;
        }
        tasks
    }

    /// Whether new work may be placed here.
    #[must_use]
    pub fn accepts_work(&self, now: TimeMs) -> bool {
        self.is_usable(now) && !self.is_quarantined(now)
    }

    /// Whether one run may be tried here although the worker is in quarantine.
    #[must_use]
    pub fn accepts_probe(&self, now: TimeMs) -> bool {
        let probe_at = self.quarantined_until - QUARANTINE_DURATION + QUARANTINE_PROBE_DELAY;
        self.is_quarantined(now) && !self.probed && now >= probe_at && self.is_usable(now)
    }

    /// Whether the worker is in quarantine.
    #[must_use]
    pub fn is_quarantined(&self, now: TimeMs) -> bool {
        now < self.quarantined_until
    }

    /// Whether new work may be placed here but for a quarantine.
    fn is_usable(&self, now: TimeMs) -> bool {
        self.answered
            && !self.ended
            && self.is_life_listed
            && !self.entry.draining
            && self.unexpected_runs == 0
            && self.missing_since.is_none()
            && !self.is_unresponsive()
            && now >= self.suspect_until
    }

    /// Records that a run was placed here while the worker is in quarantine.
    pub fn note_probe(&mut self) {
        self.probed = true;
    }

    /// Records that the incarnation has certainly ended.
    pub fn mark_ended(&mut self, now: TimeMs) {
        self.ended = true;
        self.missing_since.get_or_insert(now);
    }

    /// Whether the last run here failed a short time ago.
    #[must_use]
    pub fn is_last_resort(&self, now: TimeMs) -> bool {
        now < self.last_resort_until
    }

    /// Records that an order or a poll was not answered.
    pub fn note_unanswered(&mut self, now: TimeMs) {
        self.unanswered_calls += 1;
        if self.unanswered_calls >= 2 {
            self.suspect_until = now + SUSPECT_DURATION;
        }
    }

    /// Records that it refused work that it should have accepted.
    pub fn note_refusal(&mut self, now: TimeMs) {
        self.suspect_until = now + SUSPECT_DURATION;
    }

    /// Records an answer, and the clock reading in it.
    pub fn note_answer(&mut self, now: TimeMs, clock: Option<WorkerTimeMs>) {
        self.answered_at = now;
        self.unanswered_calls = 0;
        if let Some(reading) = clock {
            self.clock.update(now, reading);
        }
    }

    /// Returns the time of its last answer to this leader; zero if there is none.
    #[must_use]
    pub const fn answered_at(&self) -> TimeMs {
        self.answered_at
    }

    /// Whether its present life has been known for less than this time.
    #[must_use]
    pub fn is_life_younger_than(&self, now: TimeMs, span: SpanMs) -> bool {
        now.since(self.life_known_at) < span
    }

    /// Whether its present life is known to have begun or answered after a moment.
    #[must_use]
    pub fn is_alive_after(&self, moment: TimeMs) -> bool {
        self.life_known_at > moment || self.answered_at > moment
    }

    /// Returns the time of the last answer of its earlier life; zero if there is none.
    #[must_use]
    pub const fn earlier_answered_at(&self) -> TimeMs {
        self.earlier_answered_at
    }

    /// Whether a call that was sent at this time was sent to its present life.
    #[must_use]
    pub fn is_call_to_present_life(&self, sent_at: TimeMs) -> bool {
        sent_at >= self.life_known_at
    }

    /// Begins a poll. Returns the number up to which it acknowledges ended runs: zero unless there
    /// are new ones and the last poll was answered a short time ago, since otherwise a later life may
    /// receive the poll and forget ends that it has not listed.
    pub fn begin_poll(&mut self, now: TimeMs) -> u64 {
        let answered_at = self.poll_answered_at.take();
        let is_same_life = answered_at.is_some_and(|at| now.since(at) <= MAX_ACKNOWLEDGED_POLL_AGE);
        let acknowledges = is_same_life && self.has_unacknowledged_ends();
        self.hold_sent_at = Some(now);
        self.acknowledging_end = if acknowledges { self.durable_end } else { 0 };
        self.acknowledging_end
    }

    /// Records that the answer to the poll in flight does not show that it has received an
    /// acknowledgement.
    pub const fn acknowledge_nothing(&mut self) {
        self.acknowledging_end = 0;
    }

    /// Records the answer to a poll that was sent at this time.
    pub fn record_poll_answer(&mut self, now: TimeMs, sent_at: TimeMs) {
        self.poll_answered_at = Some(now);
        if self.is_call_to_present_life(sent_at) {
            self.acknowledged_end = self.acknowledged_end.max(self.acknowledging_end);
        }
    }

    /// Whether there are durable ends of which it has not received the acknowledgement.
    #[must_use]
    pub const fn has_unacknowledged_ends(&self) -> bool {
        self.durable_end > self.acknowledged_end
    }

    /// Returns how it ended, as far as is known. The leases of a worker that has not ended must
    /// have expired.
    #[must_use]
    pub fn end(&self) -> WorkerEnd {
        let is_placeholder = self.entry.address.is_empty();
        match () {
            () if is_placeholder => WorkerEnd::Unknown,
            () if self.entry.draining => WorkerEnd::Left,
            () if self.ended => WorkerEnd::Crashed,
            () => WorkerEnd::Unknown,
        }
    }

    /// Whether it has never answered this leader, and its last two calls were not answered either: its
    /// entry may be that of no worker.
    #[must_use]
    pub fn may_not_exist(&self) -> bool {
        !self.answered && self.is_unresponsive()
    }

    /// Whether at least its last two calls were not answered.
    #[must_use]
    pub fn is_unresponsive(&self) -> bool {
        self.unanswered_calls >= 2
    }

    /// Records that a run ended as done.
    pub fn note_success(&mut self) {
        self.failures_in_row = 0;
        self.last_failed_job = None;
        self.last_resort_until = TimeMs(0);
        if std::mem::take(&mut self.probed) {
            self.quarantined_until = TimeMs(0);
        }
    }

    /// Records that a run ended as failed. Returns whether the worker is in quarantine now.
    pub fn note_failure(&mut self, now: TimeMs, job: &id::JobId) -> bool {
        self.last_resort_until = now + LAST_RESORT_DURATION;
        self.probed = false;
        if self.last_failed_job.as_ref() != Some(job) {
            self.failures_in_row += 1;
            self.last_failed_job = Some(job.clone());
        }
        let quarantined = self.failures_in_row >= QUARANTINE_FAILURES;
        if quarantined {
            self.quarantined_until = now + QUARANTINE_DURATION;
        }
        quarantined
    }

    /// Whether no run that any order started can still be active, because all leases have expired
    /// or the incarnation has ended.
    #[must_use]
    pub fn has_lapsed(&self, now: TimeMs) -> bool {
        if self.ended {
            return true;
        }
        if let Some(until) = self.previous_lease_until
            && now < until
        {
            return false;
        }
        let no_deadline_sent = self.latest_deadline == WorkerTimeMs(0);
        no_deadline_sent
            || (self.clock.is_known() && self.clock.min_reading(now) > self.latest_deadline)
    }

    /// Records an ended run whose effect on its job is not durable.
    pub fn add_undurable_end(&mut self, number: u64, job: &id::JobId) {
        self.undurable_ends.push_back((number, job.clone()));
    }

    /// Returns the number of the last ended run before the first one of a job for which `is_open`
    /// holds: whose effect is not durable, or not in a commit.
    #[must_use]
    pub fn last_end_before(&self, is_open: impl Fn(&id::JobId) -> bool) -> u64 {
        let mut ends = self.undurable_ends.iter();
        let first_open = ends.find(|(_, job)| is_open(job));
        first_open.map_or(self.received_end, |(number, _)| number - 1)
    }

    /// Records that the effects of the ended runs up to a number are durable.
    pub fn record_durable_ends(&mut self, number: u64) {
        self.durable_end = self.durable_end.max(number);
        let is_durable = |(number, _): &mut (u64, id::JobId)| *number <= self.durable_end;
        while self.undurable_ends.pop_front_if(is_durable).is_some() {}
    }

    /// Whether it has listed ended runs whose effects are not durable. It lists them again in each
    /// answer.
    #[must_use]
    pub const fn has_undurable_ends(&self) -> bool {
        self.received_end > self.durable_end
    }

    /// Whether it has the label; true if no label is required.
    #[must_use]
    pub fn matches(&self, label: Option<&str>) -> bool {
        label.is_none_or(|label| self.has_label(label))
    }

    /// Whether it has the label.
    #[must_use]
    pub fn has_label(&self, label: &str) -> bool {
        self.entry.labels.iter().any(|own| own == label)
    }

    /// Returns its rack, which is the last of its labels.
    #[must_use]
    pub fn rack(&self) -> &str {
        self.entry.rack()
    }
}
