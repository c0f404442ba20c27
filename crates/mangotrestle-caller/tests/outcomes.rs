//! Each request has one of three outcomes, reported correctly: complete answer, not run, or
//! unknown.

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
async fn forwards_the_complete_answer_with_its_request_id() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let response = support::get(&entry_host, &[("x-request-id", "r-7")]).await;

    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(response.code(), "0");
    assert_eq!(response.header("x-request-id"), "r-7");
    assert_eq!(response.body, "r-7");
}

#[tokio::test]
async fn concurrent_callers_get_their_own_answers() {
    let quick = support::target(Behaviour::Echo).await;
    let slow = support::target(Behaviour::Slow(Duration::from_millis(30))).await;
    let addresses = [quick.address, slow.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    let sending = (0..60).map(|number| {
        let id = format!("r-{number}");
        let request = support::request(&entry_host, "GET", "x", &[("x-request-id", &id)], "");
        tokio::spawn(async move { (id, support::send(request).await.unwrap()) })
    });

    for response in sending.collect::<Vec<_>>() {
        let (id, response) = response.await.unwrap();
        assert_eq!(response.header("x-request-id"), id);
        assert_eq!(response.body, id);
    }
}

#[tokio::test]
async fn streams_a_long_answer_completely() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));
    let long_body = "certificate ".repeat(100_000);

    let request = support::request(&entry_host, "PUT", "x", &[], &long_body);
    let response = support::send(request).await.unwrap();

    assert_eq!(response.body, long_body);
}

#[tokio::test]
async fn an_answer_to_another_request_is_not_forwarded() {
    let target = support::target(Behaviour::OtherRequest).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let response = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.code(), "3000");
}

#[tokio::test]
async fn a_truncated_short_answer_is_unknown() {
    let target = support::raw_target(TRUNCATED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let response = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.code(), "3002");
    assert_eq!(target.counters.runs(), 1);
}

#[tokio::test]
async fn a_truncated_short_answer_is_retried_for_an_idempotent_request() {
    let truncating = support::raw_target(TRUNCATED).await;
    let working = support::target(Behaviour::Echo).await;
    let addresses = [truncating.address, working.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for _ in 0..6 {
        let response = support::get(&entry_host, &[("x-request-id", "r")]).await;
        assert_eq!(response.body, "r");
    }
}

#[tokio::test]
async fn a_truncated_streamed_answer_is_an_error() {
    let target = support::raw_target(TRUNCATED_CHUNKED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let request = support::request(&entry_host, "GET", "x", &[], "");
    let response = support::send(request).await;

    assert!(response.is_err(), "{response:?}");
}

#[tokio::test]
async fn an_answer_delimited_by_close_is_not_forwarded() {
    let target = support::raw_target(CLOSE_DELIMITED).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let response = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.code(), "3002");
}

#[tokio::test]
async fn a_request_that_did_not_run_is_retried_on_another_target() {
    let closed = support::closed_address().await;
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[closed, target.address], 8));

    for number in 0..6 {
        let response = support::pay(&entry_host, &format!("k-{number}"), &[]).await;
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(target.counters.runs(), 6);
}

#[tokio::test]
async fn not_run_is_reported_and_the_key_can_be_used_again() {
    let closed = support::closed_address().await;
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[closed], 8));

    let refused = support::pay(&entry_host, "k", &[]).await;
    entry_host
        .snapshots
        .publish(support::routes(&[target.address], 8));
    let response = support::pay(&entry_host, "k", &[]).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "2006");
    assert!(!refused.header("retry-after").is_empty());
    assert_eq!(response.status, StatusCode::OK);
    assert_eq!(target.counters.runs(), 1);
}

#[tokio::test]
async fn a_lost_answer_is_unknown_and_a_resend_does_not_run_again() {
    let breaking = support::raw_target(b"").await;
    let working = support::target(Behaviour::Echo).await;
    let records = support::memory_records();
    let first_routes = support::routes(&[breaking.address], 8);
    let second_routes = support::routes(&[working.address], 8);
    let first = support::entry_host_with(first_routes, Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(second_routes, records, |builder| builder);

    let lost = support::pay(&first, "k", &[]).await;
    let resent = support::pay(&second, "k", &[("x-resend", "true")]).await;

    assert_eq!(lost.code(), "3000");
    assert_eq!(resent.status, StatusCode::BAD_GATEWAY);
    assert_eq!(resent.code(), "3001");
    assert_eq!(breaking.counters.runs(), 1);
    assert_eq!(working.counters.runs(), 0);
}

/// Sends a payment through one entry host and again, with the same key, through another; returns
/// both responses.
async fn pay_through_two_entry_hosts(
    target: &support::TestTarget,
    records: Arc<dyn StartedRecords>,
) -> (support::CallerResponse, support::CallerResponse) {
    let routes = support::routes(&[target.address], 8);
    let first = support::entry_host_with(routes.clone(), Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(routes, records, |builder| builder);
    let response = support::pay(&first, "k", &[]).await;
    let replayed = support::pay(&second, "k", &[]).await;
    (response, replayed)
}

#[tokio::test]
async fn a_resend_through_another_entry_host_gets_the_first_answer() {
    let target = support::target(Behaviour::Echo).await;

    let (response, replayed) =
        pay_through_two_entry_hosts(&target, support::memory_records()).await;

    assert_eq!(replayed.body, response.body);
    assert_eq!(replayed.status, response.status);
    assert_eq!(replayed.header("x-replayed"), "true");
    assert!(!response.header("x-record-kept-s").is_empty());
    assert_eq!(target.counters.runs(), 1);
}

#[tokio::test]
async fn a_resend_that_comes_before_the_outcome_is_recorded_gets_the_first_answer() {
    let target = support::target(Behaviour::Echo).await;
    let records = Arc::new(LateOutcomes(support::memory_records()));

    let (response, replayed) = pay_through_two_entry_hosts(&target, records).await;

    assert_eq!(replayed.body, response.body);
    assert_eq!(replayed.header("x-replayed"), "true");
    assert_eq!(target.counters.runs(), 1);
}

/// Records that take 100 ms to write the outcome of a request.
struct LateOutcomes(Arc<dyn StartedRecords>);

impl StartedRecords for LateOutcomes {
    fn record_started<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
    ) -> BoxFuture<'a, Result<Started, StoreUnavailable>> {
        self.0.record_started(key, request_id)
    }

    fn record_ended<'a>(
        &'a self,
        key: &'a RecordKey,
        request_id: &'a str,
        ended: Ended,
    ) -> BoxFuture<'a, Result<(), StoreUnavailable>> {
        Box::pin(async move {
            tokio::time::sleep(Duration::from_millis(100)).await;
            self.0.record_ended(key, request_id, ended).await
        })
    }

    fn kept_for(&self) -> time::SpanMs {
        self.0.kept_for()
    }
}

#[tokio::test]
async fn a_resend_after_a_killed_entry_host_does_not_run_again() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(100))).await;
    let records = support::memory_records();
    let routes = support::routes(&[target.address], 8);
    let first = support::entry_host_with(routes.clone(), Arc::clone(&records), |builder| builder);
    let second = support::entry_host_with(routes, records, |builder| builder);
    let request = support::request(&first, "POST", "pay", &[("idempotency-key", "k")], "12");

    let paying = tokio::spawn(support::send(request));
    wait_for(|| target.counters.runs() == 1).await;
    first.kill();
    let resent = support::pay(&second, "k", &[("x-resend", "true")]).await;
    drop(paying);

    assert_eq!(resent.code(), "3001");
    assert_eq!(target.counters.runs(), 1);
}

#[tokio::test]
async fn a_server_error_is_not_retried_for_a_non_idempotent_request() {
    let faulty = support::target(Behaviour::Fault).await;
    let working = support::target(Behaviour::Echo).await;
    let addresses = [faulty.address, working.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for number in 0..10 {
        support::pay(&entry_host, &format!("k-{number}"), &[]).await;
    }

    assert_eq!(faulty.counters.runs() + working.counters.runs(), 10);
}

#[tokio::test]
async fn a_deadline_that_passes_at_the_target_gives_unknown() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    let response = support::get(&entry_host, &[("x-deadline-ms", "80")]).await;

    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(response.code(), "3000");
    let time_left_ms = target.counters.times_left_ms.lock().unwrap()[0];
    assert!(
        time_left_ms <= 80,
        "the target received a time limit of {time_left_ms} ms"
    );
}

/// A store that is always unavailable.
struct UnavailableStore;

impl StartedRecords for UnavailableStore {
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
        support::ONE_HOUR
    }
}

#[tokio::test]
async fn without_the_store_no_non_idempotent_request_is_sent() {
    let target = support::target(Behaviour::Echo).await;
    let routes = support::routes(&[target.address], 8);
    let entry_host =
        support::entry_host_with(routes, Arc::new(UnavailableStore), |builder| builder);

    let refused = support::pay(&entry_host, "k", &[]).await;
    let resent = support::pay(&entry_host, "k", &[("x-resend", "true")]).await;
    let idempotent = support::get(&entry_host, &[]).await;

    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refused.code(), "2000");
    assert_eq!(refused.header("retry-after"), "3");
    assert_eq!(resent.code(), "3001", "an earlier request may have run");
    assert_eq!(
        idempotent.status,
        StatusCode::OK,
        "idempotent requests are still served"
    );
    assert_eq!(target.counters.runs(), 1);
}

#[tokio::test]
async fn a_disconnected_caller_cancels_its_request() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));
    let request = support::request(&entry_host, "GET", "x", &[], "");

    let sending = tokio::spawn(support::send(request));
    wait_for(|| target.counters.runs() == 1).await;
    sending.abort();

    wait_for(|| target.counters.cancelled.load(Ordering::SeqCst) == 1).await;
}

async fn wait_for(condition: impl Fn() -> bool) {
    while !condition() {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}
