//! Tests of the admission of jobs by the memory of their leader.

use mangotrestle_core::workflow::job_memory::has_room;

const KIB: u64 = 1024;
const MIB: u64 = 1024 * KIB;
const LIMIT_MIB: u64 = 100;
const ORDINARY_BYTES: u64 = 4 * KIB;
const LARGE_BYTES: u64 = MIB;

#[test]
fn large_jobs_are_refused_before_ordinary_ones() {
    let used_bytes = 58 * MIB;

    assert!(has_room(ORDINARY_BYTES, used_bytes, LIMIT_MIB));
    assert!(!has_room(LARGE_BYTES, used_bytes, LIMIT_MIB));
}

#[test]
fn ordinary_jobs_are_refused_before_the_memory_is_used_up() {
    assert!(has_room(ORDINARY_BYTES, 84 * MIB, LIMIT_MIB));
    assert!(!has_room(ORDINARY_BYTES, 86 * MIB, LIMIT_MIB));
}

#[test]
fn every_job_has_room_without_a_limit() {
    assert!(has_room(LARGE_BYTES, u64::MAX, 0));
}
