//! Configuration documents: versions that only increase, validation, differences, unknown fields.

use std::sync::Arc;

use mangotrestle_core::{configuration, time};
use quickcheck::quickcheck;
use serde_json::json;

fn parse(value: serde_json::Value) -> configuration::Document {
    serde_json::from_value(value).unwrap()
}

fn document(retry_percent: u32) -> Arc<configuration::Document> {
    let mut document = configuration::Document::default();
    document.requests.retry_percent = retry_percent;
    Arc::new(document)
}

quickcheck! {
    fn version_only_increases_whatever_arrives(versions: Vec<u8>) -> bool {
        let mut applied = configuration::AppliedConfiguration::default();
        let mut highest = 0;
        for version in versions {
            let version = u64::from(version);
            let offered = document(u32::try_from(version).unwrap());
            let offer = applied.offer(version, offered, time::WallTimeMs(1));
            let newer = version > highest;
            highest = highest.max(version);
            let applied_value = u64::from(applied.document().requests.retry_percent);
            let is_applied = offer == configuration::Offer::Applied;
            if is_applied != newer
                || applied.version() != highest
                || (highest > 0 && applied_value != highest)
            {
                return false;
            }
        }
        true
    }

    fn parsing_and_validating_arbitrary_bytes_never_panics(bytes: Vec<u8>) -> bool {
        if let Ok(document) = serde_json::from_slice::<configuration::Document>(&bytes) {
            let _ = document.validate();
        }
        true
    }

    fn difference_is_empty_only_between_equal_documents(left: u8, right: u8) -> bool {
        let (left, right) = (document(left.into()), document(right.into()));
        configuration::diff(&left, &right).is_empty() == (left == right)
    }
}

#[test]
fn default_document_is_valid() {
    assert_eq!(configuration::Document::default().validate(), Ok(()));
}

#[test]
fn every_fault_is_named_with_its_path() {
    let document = parse(json!({
        "teams": {"lab": {"weight": 0, "wieght": 3}},
        "pools": {"remera": {"max_preemptions": 1000, "warm_windows": [
            {"job": "lane", "from_minute": 1440, "to_minute": 5, "replicas": 0},
            {"job": "lane", "from_minute": 5, "to_minute": 5, "replicas": 1},
        ]}},
        "requests": {"default_deadline_ms": 2000, "max_deadline_ms": 1000},
        "sorce": {},
    }));

    let faults = document.validate().unwrap_err();

    let messages: Vec<_> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        messages,
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
fn reader_of_an_older_release_ignores_unknown_fields() {
    let newer = parse(json!({"requests": {"retry_percent": 7, "new": 1}, "newer": {"a": []}}));

    assert_eq!(newer.requests.retry_percent, 7);
    assert!(newer.validate().is_err());
}

#[test]
fn difference_names_what_was_set_changed_and_removed() {
    let before = parse(json!({"teams": {"lab": {"weight": 5, "max_requests_per_s": 9}}}));
    let after = parse(json!({"teams": {"lab": {"weight": 6}}, "pools": {"p": {}}}));

    let changes = configuration::diff(&before, &after);

    let messages: Vec<_> = changes.iter().map(ToString::to_string).collect();
    assert_eq!(
        messages,
        [
            "pools.p.max_preemptions: (unset) -> 3",
            "pools.p.stop_grace_ms: (unset) -> 10000",
            "teams.lab.max_requests_per_s: 9 -> (unset)",
            "teams.lab.weight: 5 -> 6",
        ]
    );
}

#[test]
fn new_host_is_not_ready_below_the_highest_version_that_it_knows_of() {
    let mut applied = configuration::AppliedConfiguration::default();
    let before_contact = applied.may_become_ready(false);
    applied.offer(3, document(3), time::WallTimeMs(1));
    applied.note_known_version(4);
    let with_outdated_version = applied.may_become_ready(true);
    applied.offer(4, document(4), time::WallTimeMs(2));

    assert!(!before_contact);
    assert!(!with_outdated_version);
    assert!(applied.may_become_ready(true));
}
