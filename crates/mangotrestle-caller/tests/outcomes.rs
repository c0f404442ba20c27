//! Each caller gets one of three true outcomes: answered whole, not run, or unknown.

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use mangotrestle_caller::started::{
    BoxFuture, Ended, RecordKey, Started, StartedRecords, StoreUnavailable,
};
use mangotrestle_core::time;
use support::Behaviour;

const TRUNCATED: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf";
const TRUNCATED_CHUNKED: &[u8] =
    b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n";
const CLOSE_DELIMITED: &[u8] = b"HTTP/1.1 200 OK\r\n\r\nperhaps half";

#[tokio::test]
async fn passes_the_whole_answer_on_with_its_request_id() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let told = support::get(&entry_host, &[("x-request-id", "r-7")]).await;

    assert_eq!(told.status, StatusCode::OK);
    assert_eq!(told.code(), "0");
    assert_eq!(told.header("x-request-id"), "r-7");
    assert_eq!(told.body, "r-7");
}

#[tokio::test]
async fn concurrent_callers_get_their_own_answers() {
    let quick = support::target(Behaviour::Echo).await;
    let slow = support::target(Behaviour::Slow(Duration::from_millis(30))).await;
    let addresses = [quick.address, slow.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    let asking = (0..60).map(|number| {
        let id = format!("r-{number}");
        let request = support::request(&entry_host, "GET", "x", &[("x-request-id", &id)], "");
        tokio::spawn(async move { (id, support::send(request).await.unwrap()) })
    });

    for asked in asking.collect::<Vec<_>>() {
        let (id, told) = asked.await.unwrap();
        assert_eq!(told.header("x-request-id"), id);
        assert_eq!(told.body, id);
    }
}

#[tokio::test]
async fn streams_a_long_answer_whole() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));
    let long = "certificate ".repeat(100_000);

    let request = support::request(&entry_host, "PUT", "x", &[], &long);
    let told = support::send(request).await.unwrap();

    assert_eq!(told.body, long);
}

#[tokio::test]
async fn an_answer_that_names_another_request_reaches_nobody() {
    let target = support::target(Behaviour::OtherRequest).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let told = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(told.status, StatusCode::BAD_GATEWAY);
    assert_eq!(told.code(), "3000");
}

#[tokio::test]
async fn a_short_answer_that_was_cut_off_is_unknown() {
    let target = support::raw_target(TRUNCATED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let told = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(told.status, StatusCode::BAD_GATEWAY);
    assert_eq!(told.code(), "3002");
    assert_eq!(target.seen.runs(), 1);
}

#[tokio::test]
async fn a_short_answer_that_was_cut_off_is_asked_for_again_if_that_is_safe() {
    let cutting = support::raw_target(TRUNCATED).await;
    let whole = support::target(Behaviour::Echo).await;
    let addresses = [cutting.address, whole.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for _ in 0..6 {
        let told = support::get(&entry_host, &[("x-request-id", "r")]).await;
        assert_eq!(told.body, "r");
    }
}

#[tokio::test]
async fn a_streamed_answer_that_was_cut_off_never_looks_whole() {
    let target = support::raw_target(TRUNCATED_CHUNKED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let request = support::request(&entry_host, "GET", "x", &[], "");
    let told = support::send(request).await;

    assert!(told.is_err(), "{told:?}");
}

#[tokio::test]
async fn an_answer_without_an_end_mark_is_not_passed_on() {
    let target = support::raw_target(CLOSE_DELIMITED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let told = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(told.status, StatusCode::BAD_GATEWAY);
    assert_eq!(told.code(), "3002");
}

#[tokio::test]
async fn retries_elsewhere_what_provably_did_not_run() {
    let closed = support::closed_address().await;
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[closed, target.address], 8));

    for number in 0..6 {
        let told = support::pay(&entry_host, &format!("k-{number}"), &[]).await;
        assert_eq!(told.status, StatusCode::OK);
    }
    assert_eq!(target.seen.runs(), 6);
}

#[tokio::test]
async fn says_not_run_when_nothing_ran_and_frees_the_key() {
    let closed = support::closed_address().await;
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[closed], 8));

    let refused = support::pay(&entry_host, "k", &[]).await;
    entry_host
        .snapshots
        .publish(support::routes(&[target.address], 8));
    let told = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "2006");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(told.status, StatusCode::OK);
    assert_eq!(target.seen.runs(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_a_resend_never_runs_again() {
    let breaking = support::raw_target(b"").await;
    let whole = support::target(Behaviour::Echo).await;
    let records = support::memory_records();
    let first = support::routes(&[breaking.address], 8);
    let second = support::routes(&[whole.address], 8);
    let first = support::entry_host_with(first, Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(second, records, |builder| builder);

    let lost = support::pay(&first, "k", &[]).await;
    let resent = support::pay(&second, "k", &[("x-resend", "true")]).await;

    assert_eq!(lost.code(), "3000");
    assert_eq!(resent.status, StatusCode::BAD_GATEWAY);
    assert_eq!(resent.code(), "3001");
    assert_eq!(breaking.seen.runs(), 1);
    assert_eq!(whole.seen.runs(), 0);
}

#[tokio::test]
async fn a_resend_through_another_entry_host_gets_the_first_answer() {
    let target = support::target(Behaviour::Echo).await;
    let records = support::memory_records();
    let routes = support::routes(&[target.address], 8);
    let first = support::entry_host_with(routes.clone(), Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(routes, records, |builder| builder);

    let told = support::pay(&first, "k", &[]).await;
    let again = support::pay(&second, "k", &[]).await;

    assert_eq!(again.body, told.body);
    assert_eq!(again.status, told.status);
    assert_eq!(again.header("x-replayed"), "true");
    assert!(!told.header("x-record-kept-s").is_empty());
    assert_eq!(target.seen.runs(), 1);
}

#[tokio::test]
async fn a_killed_entry_host_leaves_no_second_run() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(100))).await;
    let records = support::memory_records();
    let routes = support::routes(&[target.address], 8);
    let first = support::entry_host_with(routes.clone(), Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(routes, records, |builder| builder);
    let request = support::request(&first, "POST", "pay", &[("idempotency-key", "k")], "12");

    let paying = tokio::spawn(support::send(request));
    wait_for(|| target.seen.runs() == 1).await;
    first.kill();
    let resent = support::pay(&second, "k", &[("x-resend", "true")]).await;
    drop(paying);

    assert_eq!(resent.code(), "3001");
    assert_eq!(target.seen.runs(), 1);
}

#[tokio::test]
async fn a_fault_of_the_target_is_the_answer_of_what_must_not_run_twice() {
    let faulty = support::target(Behaviour::Fault).await;
    let whole = support::target(Behaviour::Echo).await;
    let addresses = [faulty.address, whole.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for number in 0..10 {
        support::pay(&entry_host, &format!("k-{number}"), &[]).await;
    }

    assert_eq!(faulty.seen.runs() + whole.seen.runs(), 10);
}

#[tokio::test]
async fn a_deadline_that_passes_at_the_target_is_unknown() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let told = support::get(&entry_host, &[("x-deadline-ms", "80")]).await;

    assert_eq!(told.status, StatusCode::BAD_GATEWAY);
    assert_eq!(told.code(), "3000");
    let left_ms = target.seen.deadlines_ms.lock().unwrap()[0];
    assert!(left_ms <= 80, "the target was told {left_ms} ms");
}

/// A store that is down.
struct NoStore;

impl StartedRecords for NoStore {
    fn record_started<'a>(
        &'a self,
        _key: &'a RecordKey,
        _request_id: &'a str,
    ) -> BoxFuture<'a, Result<Started, StoreUnavailable>> {
        let error = StoreUnavailable {
            retry_after: time::SpanMs(3_000),
        };
        Box::pin(std::future::ready(Err(error)))
    }

    fn record_ended<'a>(
        &'a self,
        _key: &'a RecordKey,
        _request_id: &'a str,
        _ended: Ended,
    ) -> BoxFuture<'a, Result<(), StoreUnavailable>> {
        Box::pin(std::future::ready(Ok(())))
    }

    fn kept_for(&self) -> time::SpanMs {
        support::LONG
    }
}

#[tokio::test]
async fn without_the_store_nothing_that_must_not_run_twice_is_sent() {
    let target = support::target(Behaviour::Echo).await;
    let routes = support::routes(&[target.address], 8);
    let entry_host = support::entry_host_with(routes, Arc::new(NoStore), |builder| builder);

    let refused = support::pay(&entry_host, "k", &[]).await;
    let resent = support::pay(&entry_host, "k", &[("x-resend", "true")]).await;
    let other = support::get(&entry_host, &[]).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "2000");
    assert_eq!(refused.header("retry-after"), "3");
    assert_eq!(resent.code(), "3001", "an earlier request may have run");
    assert_eq!(other.status, StatusCode::OK, "repeatable work goes on");
    assert_eq!(target.seen.runs(), 1);
}

#[tokio::test]
async fn a_caller_that_goes_away_cancels_its_request() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));
    let request = support::request(&entry_host, "GET", "x", &[], "");

    let asking = tokio::spawn(support::send(request));
    wait_for(|| target.seen.runs() == 1).await;
    asking.abort();

    wait_for(|| target.seen.cancelled.load(Ordering::SeqCst) == 1).await;
}

async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
