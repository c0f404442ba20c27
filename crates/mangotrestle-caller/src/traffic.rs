//! What the traffic threads report to the control thread.
//!
//! Reports go over a bounded channel and are dropped when it is full: traffic never waits for
//! control. Counts are cumulative since the start of the process, so a dropped report loses
//! nothing but time.

use mangotrestle_core::id;

/// Counts of one service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceTraffic {
    /// The service.
    pub job: id::JobId,
    /// Requests that wait for a target at the moment.
    pub waiting: u32,
    /// Requests in flight at the moment.
    pub in_use: u32,
    /// Requests refused as "not run" since the start.
    pub not_run: u64,
}

/// Use of one worker by this entry host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkerTraffic {
    /// The worker.
    pub worker: id::WorkerId,
    /// Requests in flight at the moment.
    pub in_use: u32,
    /// Slots that this entry host could use now: those in flight and its part of what waits.
    pub wanted: u32,
}

/// Counts of one target.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TargetTraffic {
    /// The service.
    pub job: id::JobId,
    /// Index of the target.
    pub index: u32,
    /// Attempts that were answered, since the start.
    pub answered: u64,
    /// Attempts that failed, since the start.
    pub failed: u64,
    /// The target itself said that it is leaving.
    pub said_leaving: bool,
    /// The target is kept out of the choice because it fails or is slow.
    pub ejected: bool,
}

/// One report, sent at a fixed interval. Only what saw requests is listed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct TrafficReport {
    /// Services with requests.
    pub services: Vec<ServiceTraffic>,
    /// Workers in use.
    pub workers: Vec<WorkerTraffic>,
    /// Targets that were chosen at least once.
    pub targets: Vec<TargetTraffic>,
    /// Reports that were dropped because the channel was full, since the start.
    pub dropped_reports: u64,
}
