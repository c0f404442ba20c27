//! Sizes and times learned from past runs of jobs of the same family.
//!
//! Declared sizes and run times are often wrong. A *family* consists of the jobs of one team whose
//! names differ only in a trailing number or date, such as a nightly run. For each family the
//! scheduler keeps the second greatest usage of the recent runs, so that a single outlier has no
//! effect, the average run time, and the average time from start to ready.

use crate::collections;
use crate::id;
use crate::time;

use super::amount;

pub(super) type FamilyKey = u32;

/// Number of usage reports in a window. Only the current and the previous window count.
const REPORTS_PER_WINDOW: u32 = 512;

/// Divisor of the exponential moving averages: a new sample has a weight of 1/4.
const SMOOTHING_DIVISOR: u64 = 4;

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    /// Greatest usage of a single run.
    greatest: amount::Amount,
    /// Key of the run with the greatest usage.
    greatest_run_key: u64,
    /// Greatest usage of any other run.
    second: amount::Amount,
    reports: u32,
}

impl Window {
    fn add(&mut self, run_key: u64, used: &amount::Amount) {
        self.reports += 1;
        if run_key == self.greatest_run_key {
            self.greatest = self.greatest.max_each(used);
            return;
        }
        if used.fits_in(&self.greatest) {
            self.second = self.second.max_each(used);
            return;
        }
        self.second = self.second.max_each(&self.greatest);
        self.greatest = *used;
        self.greatest_run_key = run_key;
    }
}

/// What was learned about a family.
#[derive(Clone, Copy, Debug, Default)]
struct Family {
    current: Window,
    previous: Window,
    run_time_ms: Option<u64>,
    start_time_ms: Option<u64>,
}

/// All families.
#[derive(Debug, Default)]
pub(super) struct Families {
    entries: Vec<Family>,
    keys: collections::FastMap<(id::TeamId, Box<str>), FamilyKey>,
}

/// Returns the part of a job's name that it shares with its family.
fn family_name(job: &id::JobId) -> &str {
    let is_suffix_char = |c: char| c.is_ascii_digit() || matches!(c, '-' | '_' | '.');
    let name = job.as_str().trim_end_matches(is_suffix_char);
    if name.is_empty() { job.as_str() } else { name }
}

fn average(old: Option<u64>, sample: u64) -> u64 {
    old.map_or(sample, |old| {
        (old * (SMOOTHING_DIVISOR - 1) + sample) / SMOOTHING_DIVISOR
    })
}

impl Families {
    pub(super) fn key(&mut self, team: &id::TeamId, job: &id::JobId) -> FamilyKey {
        let name = (team.clone(), Box::from(family_name(job)));
        let next = FamilyKey::try_from(self.entries.len()).unwrap_or(FamilyKey::MAX);
        let key = *self.keys.entry(name).or_insert(next);
        if key == next {
            self.entries.push(Family::default());
        }
        key
    }

    /// Records the measured usage of a run. `run_key` identifies the run within its family.
    pub(super) fn report_usage(&mut self, family: FamilyKey, run_key: u64, used: &amount::Amount) {
        let family = &mut self.entries[family as usize];
        if family.current.reports >= REPORTS_PER_WINDOW {
            family.previous = std::mem::take(&mut family.current);
        }
        family.current.add(run_key, used);
    }

    pub(super) fn report_run_time(&mut self, family: FamilyKey, span: time::SpanMs) {
        let family = &mut self.entries[family as usize];
        family.run_time_ms = Some(average(family.run_time_ms, span.0));
    }

    pub(super) fn report_start_time(&mut self, family: FamilyKey, span: time::SpanMs) {
        let family = &mut self.entries[family as usize];
        let smoothed = average(family.start_time_ms, span.0);
        // A start that took longer than the average counts in full, because starting replicas too
        // late is worse than too early.
        family.start_time_ms = Some(smoothed.max(span.0));
    }

    /// Returns the size that the family's runs were measured to use.
    pub(super) fn size(&self, family: FamilyKey) -> amount::Amount {
        let family = &self.entries[family as usize];
        family.current.second.max_each(&family.previous.second)
    }

    pub(super) fn run_time(&self, family: FamilyKey) -> Option<time::SpanMs> {
        self.entries[family as usize].run_time_ms.map(time::SpanMs)
    }

    pub(super) fn start_time(&self, family: FamilyKey) -> time::SpanMs {
        time::SpanMs(self.entries[family as usize].start_time_ms.unwrap_or(0))
    }
}
