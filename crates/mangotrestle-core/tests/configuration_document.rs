//! Configuration: upward only, every fault named, differences, unknown fields.

use std::sync::Arc;

use mangotrestle_core::{configuration, time};
use quickcheck::quickcheck;
use serde_json::json;

fn read(value: serde_json::Value) -> configuration::Document {
    serde_json::from_value(value).unwrap()
}

fn document(retry_percent: u32) -> Arc<configuration::Document> {
    let mut document = configuration::Document::default();
    document.requests.retry_percent = retry_percent;
    Arc::new(document)
}

quickcheck! {
    fn version_moves_upwards_only_whatever_arrives(versions: Vec<u8>) -> bool {
        let mut applied = configuration::AppliedConfiguration::default();
        let mut highest = 0;
        for version in versions {
            let version = u64::from(version);
            let offered = document(u32::try_from(version).unwrap());
            let offer = applied.offer(version, offered, time::WallTimeMs(1));
            let newer = version > highest;
            highest = highest.max(version);
            let held = u64::from(applied.document().requests.retry_percent);
            let is_applied = offer == configuration::Offer::Applied;
            if is_applied != newer || applied.version() != highest || (highest > 0 && held != highest) {
                return false;
            }
        }
        true
    }

    fn document_bytes_never_panic(bytes: Vec<u8>) -> bool {
        if let Ok(document) = serde_json::from_slice::<configuration::Document>(&bytes) {
            let _ = document.validate();
        }
        true
    }

    fn difference_is_empty_only_between_equal_documents(one: u8, other: u8) -> bool {
        let (one, other) = (document(one.into()), document(other.into()));
        configuration::diff(&one, &other).is_empty() == (one == other)
    }
}

#[test]
fn default_document_is_valid() {
    assert_eq!(configuration::Document::default().validate(), Ok(()));
}

#[test]
fn every_fault_is_named_with_its_path() {
    let document = read(json!({
        "teams": {"lab": {"weight": 0, "wieght": 3}},
        "pools": {"remera": {"max_preemptions": 1000, "warm_windows": [
            {"job": "lane", "from_minute": 1440, "to_minute": 5, "replicas": 0},
            {"job": "lane", "from_minute": 5, "to_minute": 5, "replicas": 1},
        ]}},
        "requests": {"default_deadline_ms": 2000, "max_deadline_ms": 1000},
        "sorce": {},
    }));

    let faults = document.validate().unwrap_err();

    let texts: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "sorce: unknown field",
            "teams.lab.wieght: unknown field",
            "teams.lab.weight: 0 given, expected 1 to 1000",
            "pools.remera.max_preemptions: 1000 given, expected 0 to 100",
            "pools.remera.warm_windows.0.from_minute: 1440 given, expected 0 to 1439",
            "pools.remera.warm_windows.0.replicas: 0 given, expected 1 to 10000",
            "pools.remera.warm_windows.1: the window is empty, its start and end are the same",
            "requests.default_deadline_ms: longer than requests.max_deadline_ms",
        ]
    );
}

#[test]
fn reader_of_an_older_release_ignores_what_it_does_not_know() {
    let newer = read(json!({"requests": {"retry_percent": 7, "new": 1}, "newer": {"a": []}}));

    assert_eq!(newer.requests.retry_percent, 7);
    assert!(newer.validate().is_err());
}

#[test]
fn difference_names_what_was_set_changed_and_removed() {
    let before = read(json!({"teams": {"lab": {"weight": 5, "max_requests_per_s": 9}}}));
    let after = read(json!({"teams": {"lab": {"weight": 6}}, "pools": {"p": {}}}));

    let changes = configuration::diff(&before, &after);

    let texts: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        texts,
        [
            "pools.p.max_preemptions: (unset) -> 3",
            "pools.p.stop_grace_ms: (unset) -> 10000",
            "teams.lab.max_requests_per_s: 9 -> (unset)",
            "teams.lab.weight: 5 -> 6",
        ]
    );
}

#[test]
fn new_host_is_not_ready_below_the_highest_version_that_it_heard_of() {
    let mut applied = configuration::AppliedConfiguration::default();
    let alone = applied.may_become_ready(false);
    applied.offer(3, document(3), time::WallTimeMs(1));
    applied.note_known_version(4);
    let behind = applied.may_become_ready(true);
    applied.offer(4, document(4), time::WallTimeMs(2));

    assert!(!alone);
    assert!(!behind);
    assert!(applied.may_become_ready(true));
}
