//! Slot shares, leaving targets, cold starts, planned stops and input limits.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use mangotrestle_core::id;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use support::Behaviour;

#[tokio::test]
async fn requests_in_flight_stay_within_the_slot_share() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(5))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 2));

    let sending = (0..40).map(|_| {
        let request = support::request(&entry_host, "GET", "x", &[], "");
        tokio::spawn(support::send(request))
    });
    for response in sending.collect::<Vec<_>>() {
        response.await.unwrap().unwrap();
    }

    assert!(target.counters.max_in_flight.load(Ordering::SeqCst) <= 2);
    assert!(target.counters.runs() > 0);
}

#[tokio::test]
async fn an_expired_slot_share_is_not_used() {
    let target = support::target(Behaviour::Echo).await;
    let mut routes = support::routes(&[target.address], 8);
    let share = routes.shares.get_mut(&support::worker(0)).unwrap();
    share.expires_at = time::TimeMs(0);
    let entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.epoch(tokio::time::Instant::now() - Duration::from_secs(1))
    });

    let response = support::get(&entry_host, &[("x-deadline-ms", "50")]).await;

    assert!(response.code().starts_with('2'), "{response:?}");
    assert_eq!(target.counters.runs(), 0);
}

#[tokio::test]
async fn a_target_that_reports_leaving_gets_no_further_requests() {
    let leaving = support::target(Behaviour::Leaving).await;
    let staying = support::target(Behaviour::Echo).await;
    let addresses = [leaving.address, staying.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for number in 0..30 {
        let response = support::pay(&entry_host, &format!("k-{number}"), &[]).await;
        assert_eq!(response.status, StatusCode::OK);
    }

    assert!(leaving.counters.refusals.load(Ordering::SeqCst) <= 1);
    assert_eq!(staying.counters.runs(), 30);
}

#[tokio::test]
async fn a_target_marked_as_leaving_in_the_snapshot_gets_no_requests() {
    let leaving = support::target(Behaviour::Echo).await;
    let staying = support::target(Behaviour::Echo).await;
    let mut routes = support::routes(&[leaving.address, staying.address], 8);
    let mut service = (*routes.services[&support::job()]).clone();
    service.targets[0].state = snapshot::TargetState::Leaving;
    routes.add_service(service);
    let entry_host = support::entry_host(routes);

    for _ in 0..20 {
        support::get(&entry_host, &[]).await;
    }

    assert_eq!(leaving.counters.runs(), 0);
    assert_eq!(staying.counters.runs(), 20);
}

#[tokio::test]
async fn a_request_waits_for_a_service_without_targets_to_start() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[], 8));
    let request = support::request(&entry_host, "GET", "x", &[], "");

    let sending = tokio::spawn(support::send(request));
    tokio::time::sleep(Duration::from_millis(30)).await;
    entry_host
        .snapshots
        .publish(support::routes(&[target.address], 8));
    let response = sending.await.unwrap().unwrap();

    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test]
async fn a_request_is_refused_at_once_if_the_next_target_will_start_too_late() {
    let mut routes = support::routes(&[], 8);
    let mut service = (*routes.services[&support::job()]).clone();
    service.next_ready_at = Some(time::TimeMs(0) + support::ONE_HOUR);
    routes.add_service(service);
    let entry_host = support::entry_host(routes);

    let response = support::get(&entry_host, &[("x-deadline-ms", "60000")]).await;

    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.code(), "2002");
    assert!(!response.header("retry-after").is_empty());
}

#[tokio::test]
async fn an_unknown_service_is_not_found() {
    let entry_host = support::entry_host(snapshot::RouteSnapshot::empty(support::zone()));

    let response = support::get(&entry_host, &[]).await;

    assert_eq!(response.status, StatusCode::NOT_FOUND);
    assert_eq!(response.code(), "1100");
}

#[tokio::test]
async fn a_planned_stop_completes_requests_in_flight() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(150))).await;
    let mut entry_host = support::entry_host(support::routes(&[target.address], 8));
    let requests = (0..4).map(|_| support::request(&entry_host, "GET", "x", &[], ""));
    let sending: Vec<_> = requests
        .map(|request| tokio::spawn(support::send(request)))
        .collect();
    while target.counters.runs() < 4 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    entry_host.stop();
    let stopped = entry_host.stopped().await;

    assert_eq!(stopped.cut_off, 0);
    for response in sending {
        assert_eq!(response.await.unwrap().unwrap().status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_planned_stop_ends_at_its_timeout() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let routes = support::routes(&[target.address], 8);
    let mut entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.stop_timeout(Duration::from_millis(50))
    });
    let request = support::request(&entry_host, "GET", "x", &[], "");
    let _sending = tokio::spawn(support::send(request));
    while target.counters.runs() < 1 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    entry_host.stop();
    let stopped = entry_host.stopped().await;

    assert_eq!(stopped.cut_off, 1);
}

#[tokio::test]
async fn a_stopping_front_reports_unready_while_it_still_serves() {
    let routes = support::routes(&[], 8);
    let mut entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.unready_period(Duration::from_secs(30))
    });

    let before = support::readiness(entry_host.address).await;
    entry_host.stop();
    let mut after = support::readiness(entry_host.address).await;
    while after == StatusCode::OK {
        after = support::readiness(entry_host.address).await;
    }

    assert_eq!(before, StatusCode::OK);
    assert_eq!(after, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn an_unready_front_forwards_nothing() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    entry_host.front.set_ready(false);
    let response = support::get(&entry_host, &[]).await;

    assert_eq!(response.code(), "2004");
    assert_eq!(target.counters.runs(), 0);
}

#[tokio::test]
async fn a_team_over_its_limit_gets_a_retry_time() {
    let target = support::target(Behaviour::Echo).await;
    let mut routes = support::routes(&[target.address], 8);
    let limit = snapshot::TeamLimit {
        max_concurrent: 8,
        rate_per_s: 1,
        burst: 2,
    };
    routes.teams.insert(id::TeamId::new("lab").unwrap(), limit);
    let entry_host = support::entry_host(routes);

    let mut responses = Vec::new();
    for _ in 0..3 {
        responses.push(support::get(&entry_host, &[("x-team", "lab")]).await);
    }

    assert_eq!(responses[1].status, StatusCode::OK);
    assert_eq!(responses[2].status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(responses[2].code(), "2005");
    assert_eq!(responses[2].header("retry-after"), "1");
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_not_sent() {
    let target = support::target(Behaviour::Echo).await;
    let routes = support::routes(&[target.address], 8);
    let entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.max_body_bytes(10)
    });

    let request = support::request(&entry_host, "PUT", "x", &[], "eleven bytes");
    let response = support::send(request).await.unwrap();

    assert_eq!(response.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(response.code(), "1003");
    assert_eq!(target.counters.runs(), 0);
}

#[tokio::test]
async fn a_malformed_header_is_named_in_the_error() {
    let entry_host = support::entry_host(support::routes(&[], 8));

    let response = support::get(&entry_host, &[("x-deadline-ms", "soon")]).await;

    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert_eq!(response.code(), "1000");
    let body = String::from_utf8(response.body.to_vec()).unwrap();
    assert!(body.contains("x-deadline-ms"), "{body}");
}
