//! Reports from the traffic threads to the control thread.
//!
//! Reports are sent over a bounded channel and dropped when it is full, so that traffic never waits
//! for the control thread. Counts are cumulative since the process started, so a dropped report
//! only delays them.

use mangotrestle_core::id;

/// Counts of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTraffic {
    /// The service.
    pub job: id::JobId,
    /// Number of requests that wait for a target now.
    pub waiting: u32,
    /// Number of requests in flight now.
    pub in_use: u32,
    /// Number of requests refused with the outcome "not run" since the process started.
    pub not_run: u64,
}

/// Slots of one worker used and wanted by this entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTraffic {
    /// The worker.
    pub worker: id::WorkerId,
    /// Number of requests in flight now.
    pub in_use: u32,
    /// Number of slots that this entry host could use now: the requests in flight plus the worker's
    /// share of the waiting requests.
    pub wanted: u32,
}

/// Counts of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetTraffic {
    /// The service.
    pub job: id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Number of answered attempts since the process started.
    pub answered: u64,
    /// Number of failed attempts since the process started.
    pub failed: u64,
    /// Whether the target is not used for some time because it was reported as leaving or as not
    /// running on its worker.
    pub reported_leaving: bool,
    /// Whether the target is excluded from selection because it fails or is slow.
    pub ejected: bool,
}

/// A report, sent at a fixed interval.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrafficReport {
    /// Services with routes.
    pub services: Vec<ServiceTraffic>,
    /// Workers of the targets of these services.
    pub workers: Vec<WorkerTraffic>,
    /// Targets that answered or failed at least one attempt.
    pub targets: Vec<TargetTraffic>,
    /// Number of reports dropped because the channel was full, since the process started.
    pub dropped_reports: u64,
}
