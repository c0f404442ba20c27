//! Begins the occurrences of repeating jobs.
//!
//! Only the next occurrence of each job is scheduled. A job begins no more of them while its earlier
//! ones wait to be placed or fill its row, so its state follows what runs, and neither how often it
//! repeats nor how many occurrences are due at once.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::{Note, Pool};

/// Minimum time between two reports that occurrences of a job begin late.
const DELAY_REPORT_INTERVAL: SpanMs = SpanMs(10_000);
/// Time after which an occurrence that has not begun counts as late.
const MIN_REPORTED_DELAY: SpanMs = SpanMs(1_000);

impl Pool {
    /// Schedules the next occurrence of a job, if it has one that has not begun.
    pub(super) fn schedule_next(&mut self, id: &id::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.end.is_some() || job.record.schedule.is_none() {
            return;
        }
        if let Some(next) = job.next_occurrence() {
            self.scheduled.insert((job.began_at(next), id.clone()));
        }
    }

    /// Takes a job out of the schedule.
    pub(super) fn unschedule(&mut self, id: &id::JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if let Some(next) = job.next_occurrence() {
            self.scheduled.remove(&(job.began_at(next), id.clone()));
        }
    }

    /// Begins the occurrences that are due, as far as their jobs may have more at once.
    pub(super) fn begin_due_occurrences(&mut self, now: TimeMs) {
        let scheduled = self.scheduled.iter();
        let due = scheduled.take_while(|(due_at, _)| *due_at <= now);
        let due: Vec<id::JobId> = due.map(|(_, id)| id.clone()).collect();
        for id in due {
            self.unschedule(&id);
            while self.begin_next_occurrence(now, &id) {}
            self.schedule_next(&id);
        }
    }

    /// Begins the next occurrence of a job if it is due and the job may have one more. Returns whether
    /// it has begun.
    fn begin_next_occurrence(&mut self, now: TimeMs, id: &id::JobId) -> bool {
        let Some(job) = self.jobs.get_mut(id).filter(|job| job.end.is_none()) else {
            return false;
        };
        let Some(next) = job.next_occurrence() else {
            return false;
        };
        let due_at = job.began_at(next);
        if due_at > now {
            return false;
        }
        let max_row_bytes = self.settings.max_row_bytes;
        if let Some(delay) = job.occurrence_delay(max_row_bytes, self.row_format) {
            let late = now.since(due_at);
            let reported_at = job.delay_reported_at;
            let is_due = reported_at.is_none_or(|at| now.since(at) >= DELAY_REPORT_INTERVAL);
            if late >= MIN_REPORTED_DELAY && is_due {
                job.delay_reported_at = Some(now);
                self.notes.push(Note::OccurrencesDelayed {
                    job: id.clone(),
                    occurrence: next,
                    late,
                    open: job.occurrences.len(),
                    delay,
                });
            }
            return false;
        }
        job.begin_occurrence(next);
        self.queue_ready_steps(now, id, next);
        true
    }
}
