//! Admission of jobs by the memory of the host that leads their pool.
//!
//! A leader keeps the jobs of its pool in memory, and a host that takes the pool over loads all of them.
//! Jobs that together exceed the memory of a host would therefore end one leader after another. So a
//! leader refuses jobs while it has little memory left, large ones first: the last part is kept for
//! ordinary jobs, which hardly take any.

use super::spec::JobRecord;

const MIB: u64 = 1024 * 1024;

/// Memory that a leader needs for a task of a job, in bytes.
const TASK_BYTES: u64 = 384;
/// Memory that a leader needs for a step of a job beside its texts, in bytes.
const STEP_BYTES: u64 = 512;
/// Memory up to which a job is an ordinary one, in bytes.
const ORDINARY_BYTES: u64 = 64 * 1024;
/// Part of the memory that ordinary jobs may fill, in percent.
const ORDINARY_PERCENT: u64 = 85;
/// Part of the memory that other jobs may fill, in percent.
const LARGE_PERCENT: u64 = 60;
/// Number of times that a large job has to fit what is left, since it takes more than its own size while it
/// is stored and begun.
const LARGE_MARGIN: u64 = 4;

/// Returns the memory that a leader needs for a job, in bytes; an estimate.
#[must_use]
pub fn estimate_bytes(record: &JobRecord) -> u64 {
    let steps = record.steps.iter().map(|step| {
        let labels = [&step.constraint, &step.affinity_rack];
        let label_bytes: usize = labels.into_iter().flatten().map(String::len).sum();
        let text_bytes = (step.image.len() + label_bytes) as u64;
        STEP_BYTES + text_bytes + u64::from(step.count) * TASK_BYTES
    });
    record.payload.len() as u64 + steps.sum::<u64>()
}

/// Whether a host that uses some of its memory has room for a job of an estimated size. A limit of zero
/// is unknown, and admits every job.
#[must_use]
pub const fn has_room(job_bytes: u64, used_bytes: u64, limit_mib: u64) -> bool {
    if limit_mib == 0 {
        return true;
    }
    let (needed_bytes, percent) = if job_bytes <= ORDINARY_BYTES {
        (job_bytes, ORDINARY_PERCENT)
    } else {
        (job_bytes.saturating_mul(LARGE_MARGIN), LARGE_PERCENT)
    };
    used_bytes.saturating_add(needed_bytes) <= limit_mib.saturating_mul(MIB) / 100 * percent
}
