//! Measures what a host spends its time on, and how late it is.
//!
//! A host runs all its tasks on one thread, so a task that is due waits for those before it. A probe
//! that sleeps for a known time shows for how long: the host's *lag*. The time inside of tasks is
//! added up by kind of work; what remains of the busy time is that of connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use super::cell::Cell;
use super::events;

/// Interval between two measurements of the lag.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);
/// Number of measurements between two reports.
const PROBES_PER_REPORT: u32 = 20;
/// Weight of a measurement in the smoothed lag: its inverse.
const LAG_SMOOTHING: u64 = 8;

/// Kinds of work whose time is measured.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Work {
    /// Rounds of the pools that this host leads, with their placement.
    Round,
    /// Encoding and sending commits.
    Commit,
    /// Starts, stops and pace orders.
    Order,
    /// Polls of workers.
    Poll,
    /// Ticket requests of the pools that this host leads.
    Ticket,
    /// Ticket requests that this host sends for a leader.
    Advice,
    /// Jobs that peers submit to this host as their leader.
    Submission,
    /// Jobs that are handed over to other pools, and queries for them.
    HandOver,
    /// Requests of callers.
    Caller,
    /// Feeds of the configuration, of workers, of jobs and of the cell.
    Feed,
}

impl Work {
    /// All kinds of work.
    pub(super) const ALL: [Self; 10] = [
        Self::Round,
        Self::Commit,
        Self::Order,
        Self::Poll,
        Self::Ticket,
        Self::Advice,
        Self::Submission,
        Self::HandOver,
        Self::Caller,
        Self::Feed,
    ];

    /// Returns its name in logs and metrics.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Round => "round",
            Self::Commit => "commit",
            Self::Order => "order",
            Self::Poll => "poll",
            Self::Ticket => "ticket",
            Self::Advice => "advice",
            Self::Submission => "submission",
            Self::HandOver => "hand_over",
            Self::Caller => "caller",
            Self::Feed => "feed",
        }
    }
}

/// Adds up the time that is spent on each kind of work, and holds the lag.
#[derive(Debug, Default)]
pub(super) struct Load {
    spent_us: [AtomicU64; Work::ALL.len()],
    lag_us: AtomicU64,
    busy_per_mille: AtomicU64,
}

impl Load {
    /// Runs a future and adds the time inside of it to a kind of work.
    pub(super) async fn measure<F: Future>(&self, work: Work, future: F) -> F::Output {
        let mut future = std::pin::pin!(future);
        std::future::poll_fn(|context| {
            let began = Instant::now();
            let result = future.as_mut().poll(context);
            self.add(work, began.elapsed());
            result
        })
        .await
    }

    /// Adds time to a kind of work.
    pub(super) fn add(&self, work: Work, spent: Duration) {
        self.spent_us[work as usize].fetch_add(micros(spent), Ordering::Relaxed);
    }

    /// Returns the time in milliseconds by which tasks that are due are delayed, averaged over the last
    /// measurements.
    pub(super) fn lag_ms(&self) -> u64 {
        self.lag_us.load(Ordering::Relaxed) / 1_000
    }

    /// Returns the share of its time that the thread was not idle, in thousandths, as last reported.
    pub(super) fn busy_per_mille(&self) -> u64 {
        self.busy_per_mille.load(Ordering::Relaxed)
    }

    fn record_lag(&self, lag: Duration) {
        let previous = self.lag_us.load(Ordering::Relaxed);
        let smoothed = (previous * (LAG_SMOOTHING - 1) + micros(lag)) / LAG_SMOOTHING;
        self.lag_us.store(smoothed, Ordering::Relaxed);
    }

    fn take_spent(&self) -> [Duration; Work::ALL.len()] {
        std::array::from_fn(|index| {
            Duration::from_micros(self.spent_us[index].swap(0, Ordering::Relaxed))
        })
    }
}

/// What a host did between two reports.
#[derive(Debug)]
pub(super) struct LoadReport {
    /// Time covered.
    pub(super) span: Duration,
    /// Time in which the thread was not idle.
    pub(super) busy: Duration,
    /// Time spent on each kind of work, in the order of [`Work::ALL`].
    pub(super) spent: [Duration; Work::ALL.len()],
    /// Longest lag that was measured.
    pub(super) max_lag: Duration,
    /// Smoothed lag at the end, in milliseconds.
    pub(super) lag_ms: u64,
}

impl LoadReport {
    /// Returns a part of the time covered in thousandths.
    pub(super) fn per_mille(&self, spent: Duration) -> u64 {
        micros(spent) * 1_000 / micros(self.span).max(1)
    }
}

/// Measures the lag and reports the load until the process ends.
pub(super) async fn watch(cell: Arc<Cell>) {
    let metrics = tokio::runtime::Handle::current().metrics();
    let mut busy_before = metrics.worker_total_busy_duration(0);
    loop {
        let began = Instant::now();
        let mut max_lag = Duration::ZERO;
        for _ in 0..PROBES_PER_REPORT {
            let asleep = Instant::now();
            tokio::time::sleep(PROBE_INTERVAL).await;
            let lag = asleep.elapsed().saturating_sub(PROBE_INTERVAL);
            cell.load.record_lag(lag);
            max_lag = max_lag.max(lag);
        }
        let busy_now = metrics.worker_total_busy_duration(0);
        let report = LoadReport {
            span: began.elapsed(),
            busy: busy_now.saturating_sub(busy_before),
            spent: cell.load.take_spent(),
            max_lag,
            lag_ms: cell.load.lag_ms(),
        };
        busy_before = busy_now;
        cell.load
            .busy_per_mille
            .store(report.per_mille(report.busy), Ordering::Relaxed);
        events::host_load(&cell.log, cell.all_leaders().len(), &report);
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
