//! Tests of real hosts beside entries that another writer left in the tables that they read. The hosts
//! go on, and work is done on the other workers.

use std::time::{Duration, Instant};

use mangotrestle_core::workflow::division::MAX_POOL_WORKERS;
use serde_json::{Value, json};

use super::platform::{Caller, Host, Platform, QUEUE_PATH};
use super::submit_until_status;
use super::worker::Worker;

/// Time within which jobs are completed; generous, for a busy machine.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(12);
/// Time in which every host has read a row, and has acted on it several times.
const READING_TIME: Duration = Duration::from_millis(2_500);
/// Address at which nothing listens.
const UNUSED_ADDRESS: &str = "127.0.0.1:9";
/// Number of jobs that are to be completed at a time.
const JOBS: u64 = 5;
/// Levels of a deeply nested value that fits in a row.
const LEVELS: usize = 30_000;

fn nested() -> String {
    format!("{}{}", "[".repeat(LEVELS), "]".repeat(LEVELS))
}

/// Returns odd values in the place of a worker's entry, with what is odd about them.
fn odd_entries(good: &Value) -> Vec<(&'static str, String)> {
    let with = |field: &str, value: &str| {
        let mut entry = good.clone();
        entry[field] = json!("(value)");
        entry.to_string().replace("\"(value)\"", value)
    };
    let many_labels: Vec<String> = (0..5_000).map(|number| format!("l{number}")).collect();
    vec![
        ("nested", nested()),
        ("nested-known", with("labels", &nested())),
        ("nested-unknown", with("new", &nested())),
        ("unknown-number", with("new", "1e999")),
        (
            "largest",
            with(
                "capacity",
                r#"{"cpu": 1e308, "mem_mb": 1e308, "gpu": 1e308}"#,
            ),
        ),
        ("too-large", with("capacity", r#"{"cpu": 1e999}"#)),
        (
            "negative",
            with("capacity", r#"{"cpu": -1, "mem_mb": -1, "gpu": -1}"#),
        ),
        ("far-clock", with("clock_ms", "1e308")),
        ("born-fraction", with("born", "0.5")),
        ("born-far", with("born", "18446744073709551615")),
        ("port-0", with("address", "\"127.0.0.1:0\"")),
        ("port-too-large", with("address", "\"127.0.0.1:99999\"")),
        ("name", with("address", "\"worker.example:80\"")),
        ("unspecified", with("address", "\"0.0.0.0:9\"")),
        ("multicast", with("address", "\"224.0.0.1:9\"")),
        ("labels", with("labels", &json!(many_labels).to_string())),
        ("no-service", with("service", "\"none\"")),
        ("null", "null".to_owned()),
        ("empty", String::new()),
        ("text", "odd \u{1}".to_owned()),
    ]
}

/// Writes all odd values, each under a key of its own, and some under odd keys and in other parts.
fn write_odd_entries(platform: &Platform, worker: &Worker) {
    let mut good = worker.entry("ready");
    good["address"] = json!(UNUSED_ADDRESS);
    for (name, value) in odd_entries(&good) {
        platform.write_bytes("servers", "", &format!("odd-{name}"), value.as_bytes());
    }
    platform.write_bytes("servers", "", "odd-bytes", b"\xff\xfe\x00");
    for key in ["", "odd key\n\u{1}\u{1f980}", &"~".repeat(200)] {
        platform.write_bytes("servers", "", key, good.to_string().as_bytes());
    }
    let values = [
        json!("no base64"),
        json!([1, [2]]),
        json!({"a": 1}),
        json!(7),
        json!(""),
    ];
    for (number, value) in values.into_iter().enumerate() {
        platform.write_encoded("servers", "", &format!("odd-value-{number}"), value);
    }
    platform.write_bytes("op", "", "odd", nested().as_bytes());
    platform.write_bytes("op", "", "wave/1", b"{\"wave\": 1e999}");
}

/// Submits jobs and waits until all are completed.
async fn complete_jobs(caller: &Caller, first: u64) -> u64 {
    let mut numbers = Vec::new();
    for _ in 0..JOBS {
        let next = numbers.last().map_or(first, |last| last + 1);
        numbers.push(submit_until_status(caller, next, 200).await);
    }
    let began = Instant::now();
    for number in &numbers {
        while !caller.state(*number).await.body.contains("completed") {
            assert!(began.elapsed() < COMPLETION_TIMEOUT, "job {number} is open");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    numbers.last().copied().unwrap_or(first) + 1
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_completed_beside_odd_entries_of_workers() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    write_odd_entries(&platform, &worker);
    let mut host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();

    let next = complete_jobs(&caller, 1).await;
    write_odd_entries(&platform, &worker);
    tokio::time::sleep(READING_TIME).await;
    complete_jobs(&caller, next).await;

    assert!(!host.has_ended());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_whose_entry_is_odd_for_a_while_gets_work_again() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    let mut host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let mut next = complete_jobs(&caller, 1).await;

    for (name, value) in odd_entries(&worker.entry("ready")) {
        if ["no-service", "born-far"].contains(&name) {
            // These are entries, of another service or of a later life.
            continue;
        }
        platform.write_bytes("servers", "", "i-1", value.as_bytes());
        tokio::time::sleep(Duration::from_millis(400)).await;
        platform.write_worker("i-1", &worker.entry("ready"));
        next = complete_jobs(&caller, next).await;
    }

    assert!(!host.has_ended());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_row_of_another_part_is_no_entry_and_no_configuration() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let next = complete_jobs(&caller, 1).await;

    platform.write_bytes("servers", "odd", "i-1", b"odd");
    let configuration = json!({"version": 99, "routes": [], "services": []});
    platform.write_bytes("op", "odd", "config", configuration.to_string().as_bytes());
    tokio::time::sleep(READING_TIME).await;
    let count = caller.count(QUEUE_PATH).await;
    complete_jobs(&caller, next).await;

    assert_eq!(count.status, 200, "{count:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_worker_with_long_labels_does_not_prevent_commits() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    // Each is short enough, and all together do not fit in a row.
    for number in 0..60 {
        let mut entry = worker.entry("ready");
        let labels = (0..10).map(|label| format!("{number}-{label}-{}", "x".repeat(180)));
        entry["labels"] = json!(labels.collect::<Vec<String>>());
        platform.write_worker(&format!("odd-{number}"), &entry);
    }
    let mut entry = worker.entry("ready");
    entry["labels"] = json!(["a", "r".repeat(60_000)]);
    platform.write_worker("odd", &entry);
    let host = Host::start("front-a-1", &platform).await;

    complete_jobs(&host.caller(), 1).await;
    tokio::time::sleep(READING_TIME).await;
    complete_jobs(&host.caller(), 1_000).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_workers_are_read_if_a_page_ends_with_a_key_of_the_greatest_length() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    for key in ["a".repeat(200), "b".repeat(200)] {
        platform.write_bytes("servers", "", &key, b"odd");
    }
    platform.write_worker("c-1", &worker.entry("ready"));
    platform.set_slow_reads(Duration::ZERO, 2);
    let host = Host::start("front-a-1", &platform).await;

    complete_jobs(&host.caller(), 1).await;
}

/// Writes entries of so many draining workers that the service is divided.
fn write_draining_workers(platform: &Platform, worker: &Worker) {
    for number in 0..=MAX_POOL_WORKERS {
        let mut entry = worker.entry("draining");
        entry["labels"] = json!(["a", format!("drained-{}", number / 12)]);
        platform.write_worker(&format!("d-{number}"), &entry);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_is_divided_beside_odd_entries() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    write_draining_workers(&platform, &worker);
    for number in 0..3 {
        let mut entry = worker.entry("draining");
        entry["capacity"] = json!({"cpu": 1e308, "mem_mb": 1e308, "gpu": 1e308});
        platform.write_worker(&format!("odd-{number}"), &entry);
        entry = worker.entry("draining");
        entry["labels"] = json!(["a", format!("{number}{}", "r".repeat(40_000))]);
        platform.write_worker(&format!("odd-label-{number}"), &entry);
    }

    let host = Host::start("front-a-1", &platform).await;
    submit_until_status(&host.caller(), 1, 200).await;

    assert_eq!(platform.led_pools(), ["pool/0", "pool/1"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_completed_beside_odd_rows_in_the_tables_of_hosts() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    for value in [nested().as_str(), "1e999", "null", "[]", "{}", "7", "odd"] {
        let name = value.len();
        for (table, part, key) in [
            ("cell", "", format!("host/odd-{name}")),
            ("cell", "", format!("division/odd-{name}")),
            ("cell", "", format!("odd-{name}")),
            ("cell", "odd", "lead".to_owned()),
            ("cell", "pool", "view".to_owned()),
            ("cell", "pool", "shapes".to_owned()),
            ("inbox", "pool", format!("{name:016x}")),
            ("inbox", "pool", format!("odd-{name}")),
            ("assign", "pool", format!("{name:016x}")),
            ("learned", "pool", "runs".to_owned()),
            ("learned", "pool", format!("odd-{name}")),
            ("shares", "", format!("team-{name}")),
        ] {
            platform.write_bytes(table, part, &key, value.as_bytes());
        }
    }
    let host_row = json!({"address": "0.0.0.0:0", "zone": "a", "life": 1, "cpu_millicores": 4_294_967_295_u64});
    platform.write_bytes("cell", "", "host/odd", host_row.to_string().as_bytes());
    let view = json!({"wait_ms": {"0": u64::MAX}, "lag_ms": u64::MAX, "ticket_lag_ms": u64::MAX});
    platform.write_bytes("cell", "odd", "view", view.to_string().as_bytes());
    let learned = json!({"t": {}, "s": {"i-1": {"sum": 1e308, "weight": 1e308}}});
    platform.write_bytes("learned", "pool", "runs", learned.to_string().as_bytes());
    let mut host = Host::start("front-a-1", &platform).await;

    complete_jobs(&host.caller(), 1_000).await;

    assert!(!host.has_ended());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_division_into_absurdly_many_pools_of_another_service_holds_up_no_host() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    let division = json!({"pools": 200_000_000, "racks": {}});
    platform.write_bytes("cell", "", "division/odd", division.to_string().as_bytes());
    let host = Host::start("front-a-1", &platform).await;

    complete_jobs(&host.caller(), 1).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_pool_is_led_again_after_its_leadership_row_was_overwritten() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    platform.write_worker("i-1", &worker.entry("ready"));
    let host = Host::start("front-a-1", &platform).await;
    let next = complete_jobs(&host.caller(), 1).await;
    let term = platform.term();

    platform.write_bytes("cell", "pool", "lead", b"odd");
    tokio::time::sleep(READING_TIME).await;
    complete_jobs(&host.caller(), next).await;

    assert!(platform.term() > term);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_job_in_the_inbox_is_left_out() {
    let platform = Platform::start().await;
    let worker = Worker::start().await;
    let host = Host::start("front-a-1", &platform).await;
    let caller = host.caller();
    let good = submit_until_status(&caller, 1, 200).await;
    let accepted = platform.inbox_value(good);
    let mut record: Value = serde_json::from_slice(&accepted).expect("a record");
    assert!(set_counts(&mut record, 30_000), "{record}");
    platform.write_bytes(
        "inbox",
        "pool",
        &super::platform::job_id(77_777),
        record.to_string().as_bytes(),
    );
    tokio::time::sleep(READING_TIME).await;

    let count = caller.count(QUEUE_PATH).await;
    platform.write_worker("i-1", &worker.entry("ready"));
    complete_jobs(&caller, 1_000).await;

    assert_eq!(count.body, r#"{"pending":1}"#);
}

/// Sets the number of tasks of each step of a stored job; returns whether there was one.
fn set_counts(record: &mut Value, count: u32) -> bool {
    let Some(steps) = record["steps"].as_array_mut() else {
        return false;
    };
    for step in steps.iter_mut() {
        step["n"] = json!(count);
    }
    !steps.is_empty()
}
