//! Memory that the process uses, and whether there is room for another job.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use mangotrestle_core::workflow::job_memory;
use mangotrestle_core::workflow::spec::JobRecord;

use super::cell::lock;

/// Time for which a reading of the memory is used.
const READING_TIME: Duration = Duration::from_millis(100);
/// File with the memory of the process.
const STATUS_PATH: &str = "/proc/self/status";
/// Line of that file with the memory that is the process's own.
const OWN_MEMORY: &str = "RssAnon:";

/// Last reading of the memory.
#[derive(Clone, Copy)]
struct Reading {
    at: Instant,
    used_bytes: u64,
}

/// Admits jobs by the memory that the process uses.
pub(super) struct Memory {
    limit_mib: u64,
    reading: Mutex<Option<Reading>>,
}

impl Memory {
    /// Creates the state of a process with a limit; zero if it is unknown.
    pub(super) const fn new(limit_mib: u64) -> Self {
        Self {
            limit_mib,
            reading: Mutex::new(None),
        }
    }

    /// Whether there is room for a job. Jobs that were admitted since the last reading count.
    pub(super) fn admits(&self, record: &JobRecord) -> bool {
        let job_bytes = job_memory::estimate_bytes(record);
        let mut reading = lock(&self.reading);
        let now = Instant::now();
        let last = reading.filter(|last| now - last.at < READING_TIME);
        let mut current = last.unwrap_or_else(|| Reading {
            at: now,
            used_bytes: used_bytes(),
        });
        let is_admitted = job_memory::has_room(job_bytes, current.used_bytes, self.limit_mib);
        if is_admitted {
            current.used_bytes += job_bytes;
        }
        *reading = Some(current);
        is_admitted
    }

    /// Returns the memory that the process used at the last reading, in bytes, with the jobs since.
    pub(super) fn last_used_bytes(&self) -> u64 {
        lock(&self.reading).map_or(0, |reading| reading.used_bytes)
    }
}

/// Returns the memory of the process, in bytes; zero if the system does not tell.
fn used_bytes() -> u64 {
    let status = std::fs::read_to_string(STATUS_PATH).unwrap_or_default();
    let size = status
        .lines()
        .find_map(|line| line.strip_prefix(OWN_MEMORY));
    let kibibytes = size.and_then(|size| size.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or_default() * 1024
}
