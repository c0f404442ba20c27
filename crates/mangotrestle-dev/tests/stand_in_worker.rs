//! Tests of the client of the worker protocol against the stand-in worker, over loopback.

use std::net;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::lease::message;
use mangotrestle_core::resources;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::task;
use mangotrestle_core::time;
use mangotrestle_dev::stand_in::worker::{WorkerFleet, faults};
use mangotrestle_worker::client::{CallError, ClientOptions, WorkerClient};
use tokio_stream::StreamExt;

const ONE_SLOT: resources::Resources = resources::Resources {
    cpu_millicores: 1_000,
    memory_mib: 1_024,
    accelerators: 0,
    slots: 1,
};

async fn fleet() -> WorkerFleet {
    let builder = WorkerFleet::builder().workers("booking", 1, ONE_SLOT.times(2));
    builder.start().await.unwrap()
}

fn worker() -> id::WorkerId {
    id::WorkerId::new("booking-0").unwrap()
}

fn client(fleet: &WorkerFleet) -> WorkerClient {
    client_at(fleet.lease_address(&worker()).unwrap())
}

fn client_at(address: net::SocketAddr) -> WorkerClient {
    let options = ClientOptions::default().call_timeout(Duration::from_millis(500));
    WorkerClient::new(address, &options)
}

fn claim_request() -> message::ClaimRequest {
    message::ClaimRequest {
        pool: id::PoolId::new("piraeus").unwrap(),
        leader: id::EntryHostId::new("entry-1").unwrap(),
        leader_incarnation: id::Incarnation(1),
        roster_version: message::RosterVersion(1),
    }
}

fn run(index: u32) -> task::RunId {
    task::RunId {
        task: task::TaskId {
            job: id::JobId::new("plates").unwrap(),
            index,
        },
        attempt: 1,
    }
}

fn start_request(
    granted: &message::ClaimGranted,
    indices: std::ops::Range<u32>,
    run_time_ms: Option<time::SpanMs>,
) -> message::StartRequest {
    message::StartRequest {
        worker_incarnation: granted.worker_incarnation,
        epoch: granted.epoch,
        start_before_ms: granted.worker_time_ms + time::SpanMs::from_secs(5),
        runs: indices
            .map(|index| message::StartRun {
                run: run(index),
                need: ONE_SLOT,
                run_time_ms,
                idempotent: true,
            })
            .collect(),
    }
}

#[tokio::test]
async fn starts_what_fits_and_reports_ends() {
    let fleet = fleet().await;
    let client = client(&fleet);
    let granted = client.claim(&claim_request()).await.unwrap();
    let watch = message::WatchRequest {
        worker_incarnation: granted.worker_incarnation,
        epoch: granted.epoch,
    };
    let mut events = Box::pin(client.watch(&watch).await.unwrap());

    let request = start_request(&granted, 0..3, Some(time::SpanMs(20)));
    let answer = client.start(&request).await.unwrap();

    let expected = [ResultCode::Ok, ResultCode::Ok, ResultCode::NoCapacity];
    assert_eq!(answer.results, expected);
    let event = events.next().await.unwrap().unwrap();
    assert_eq!(event.ended[0].outcome, task::RunOutcome::Succeeded);
    assert_eq!(fleet.breaches().total(), 0);
}

#[tokio::test]
async fn fences_the_previous_leader() {
    let fleet = fleet().await;
    let client = client(&fleet);
    let previous = client.claim(&claim_request()).await.unwrap();
    let mut rival = claim_request();
    rival.leader = id::EntryHostId::new("entry-2").unwrap();
    let granted = client.claim(&rival).await.unwrap();

    let result = client.start(&start_request(&previous, 0..1, None)).await;

    assert_eq!(granted.rival_epoch, previous.epoch);
    let Err(CallError::Refused { refusal, .. }) = result else {
        panic!("expected a refusal of the start, got {result:?}");
    };
    assert_eq!(refusal.code, ResultCode::StaleEpoch);
}

#[tokio::test]
async fn not_sent_differs_from_outcome_unknown() {
    let fleet = fleet().await;
    let client = client(&fleet);
    client.claim(&claim_request()).await.unwrap();

    let lose_answers = faults::Faults {
        lose_answers: true,
        ..faults::Faults::default()
    };
    fleet.set_faults(&worker(), lose_answers);
    let lost = client.claim(&claim_request()).await;

    let unreachable = client_at(unused_address().await);
    let not_sent = unreachable.claim(&claim_request()).await;

    assert!(
        matches!(lost, Err(CallError::OutcomeUnknown { .. })),
        "{lost:?}"
    );
    assert!(
        matches!(not_sent, Err(CallError::NotSent { .. })),
        "{not_sent:?}"
    );
}

/// Returns an address at which nothing listens.
async fn unused_address() -> net::SocketAddr {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    listener.local_addr().unwrap()
}

#[tokio::test]
async fn accepts_claims_again_after_a_disconnection() {
    let fleet = fleet().await;
    let client = client(&fleet);
    client.claim(&claim_request()).await.unwrap();
    let disconnected = faults::Faults {
        disconnected: true,
        ..faults::Faults::default()
    };
    fleet.set_faults(&worker(), disconnected);

    let while_disconnected = client.claim(&claim_request()).await;
    fleet.set_faults(&worker(), faults::Faults::default());
    let mut after = client.claim(&claim_request()).await;
    while after.is_err() {
        tokio::time::sleep(Duration::from_millis(10)).await;
        after = client.claim(&claim_request()).await;
    }

    assert!(while_disconnected.is_err());
    assert_eq!(after.unwrap().rival_epoch, message::Epoch(0));
}

#[tokio::test]
async fn restarts_as_another_incarnation_without_tasks() {
    let fleet = fleet().await;
    let client = client(&fleet);
    let before = client.claim(&claim_request()).await.unwrap();
    let request = start_request(&before, 0..1, None);
    client.start(&request).await.unwrap();

    fleet.restart(&worker());
    let after = client.claim(&claim_request()).await.unwrap();

    assert!(after.worker_incarnation > before.worker_incarnation);
    assert!(after.running.is_empty());
    assert_eq!(fleet.ledger().running_count(), 0);
}

#[tokio::test]
async fn runs_fail_while_fail_starts_is_set() {
    let fleet = fleet().await;
    let client = client(&fleet);
    let granted = client.claim(&claim_request()).await.unwrap();
    let fail_starts = faults::Faults {
        fail_starts: true,
        ..faults::Faults::default()
    };
    fleet.set_faults(&worker(), fail_starts);

    let request = start_request(&granted, 0..1, None);
    client.start(&request).await.unwrap();
    let renewal = message::RenewRequest {
        worker_incarnation: granted.worker_incarnation,
        epoch: granted.epoch,
        roster_version: message::RosterVersion(1),
        lease_expires_ms: granted.lease_expires_ms,
        acknowledged: Vec::new(),
    };
    let renewed = client.renew(&renewal).await.unwrap();

    assert_eq!(renewed.ended[0].outcome, task::RunOutcome::Failed);
}

#[tokio::test]
async fn a_task_is_lost_when_its_lease_lapses() {
    let builder = WorkerFleet::builder().workers("booking", 1, ONE_SLOT);
    let fleet = builder.term(time::SpanMs(500)).start().await.unwrap();
    let client = client(&fleet);
    let granted = client.claim(&claim_request()).await.unwrap();
    let mut request = start_request(&granted, 0..1, None);
    request.start_before_ms = granted.worker_time_ms + time::SpanMs(400);
    client.start(&request).await.unwrap();

    while fleet.running_count(&worker()) > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }

    let reclaimed = client.claim(&claim_request()).await.unwrap();
    assert_eq!(reclaimed.ended[0].outcome, task::RunOutcome::Lost);
}

mod requests {
    use bytes::Bytes;
    use http_body_util::{BodyExt, Full};
    use hyper_util::client::legacy::Client;
    use hyper_util::rt::TokioExecutor;
    use mangotrestle_dev::stand_in::worker::X_RESULT_CODE;

    use super::*;

    async fn send(
        fleet: &WorkerFleet,
        index: u32,
        id: &str,
    ) -> http::Response<hyper::body::Incoming> {
        let address = fleet.target_address(&worker()).unwrap();
        let request = http::Request::post(format!("http://{address}/tasks/plates/{index}/read"))
            .header("x-request-id", id)
            .body(Full::new(Bytes::from_static(b"plate")))
            .unwrap();
        let client = Client::builder(TokioExecutor::new()).build_http();
        client.request(request).await.unwrap()
    }

    async fn fleet_with_service() -> WorkerFleet {
        let fleet = fleet().await;
        let client = client(&fleet);
        let granted = client.claim(&claim_request()).await.unwrap();
        let request = start_request(&granted, 0..1, None);
        client.start(&request).await.unwrap();
        fleet
    }

    #[tokio::test]
    async fn only_running_tasks_answer_requests() {
        let fleet = fleet_with_service().await;

        let answered = send(&fleet, 0, "a").await;
        let refused = send(&fleet, 1, "b").await;

        assert_eq!(answered.status(), 200);
        assert_eq!(answered.headers()["x-request-id"], "a");
        let body = answered.into_body().collect().await.unwrap().to_bytes();
        assert_eq!(&body[..], b"plate");
        assert_eq!(refused.status(), 503);
        assert_eq!(refused.headers()[X_RESULT_CODE], "2006");
    }

    #[tokio::test]
    async fn a_second_run_of_a_post_is_counted() {
        let fleet = fleet_with_service().await;

        send(&fleet, 0, "once").await;
        let before = fleet.breaches();
        send(&fleet, 0, "once").await;
        fleet.ledger().record_not_run_answer("once");
        let after = fleet.breaches();

        assert_eq!(before.total(), 0);
        assert_eq!(after.second_run_of_request, 1);
        assert_eq!(after.ran_after_not_run, 1);
    }
}
