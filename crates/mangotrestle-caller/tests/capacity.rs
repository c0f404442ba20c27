//! Slots, leaving targets, cold starts, planned stops and limits of input.

mod support;

use std::sync::atomic::Ordering;
use std::time::Duration;

use http::StatusCode;
use mangotrestle_core::id;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use support::Behaviour;

#[tokio::test]
async fn never_uses_more_than_its_share_of_a_worker() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(5))).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 2));

    let asking = (0..40).map(|_| {
        let request = support::request(&entry_host, "GET", "x", &[], "");
        tokio::spawn(support::send(request))
    });
    for asked in asking.collect::<Vec<_>>() {
        asked.await.unwrap().unwrap();
    }

    assert!(target.seen.most_in_flight.load(Ordering::SeqCst) <= 2);
    assert!(target.seen.runs() > 0);
}

#[tokio::test]
async fn sends_nothing_under_a_share_that_has_lapsed() {
    let target = support::target(Behaviour::Echo).await;
    let mut routes = support::routes(&[target.address], 8);
    let share = routes.shares.get_mut(&support::worker(0)).unwrap();
    share.expires_at = time::TimeMs(0);
    let entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.epoch(tokio::time::Instant::now() - Duration::from_secs(1))
    });

    let told = support::get(&entry_host, &[("x-deadline-ms", "50")]).await;

    assert!(told.code().starts_with('2'), "{told:?}");
    assert_eq!(target.seen.runs(), 0);
}

#[tokio::test]
async fn a_target_that_says_it_leaves_gets_nothing_more() {
    let leaving = support::target(Behaviour::Leaving).await;
    let staying = support::target(Behaviour::Echo).await;
    let addresses = [leaving.address, staying.address];
    let entry_host = support::entry_host(support::routes(&addresses, 8));

    for number in 0..30 {
        let told = support::pay(&entry_host, &format!("k-{number}"), &[]).await;
        assert_eq!(told.status, StatusCode::OK);
    }

    assert!(leaving.seen.refusals.load(Ordering::SeqCst) <= 1);
    assert_eq!(staying.seen.runs(), 30);
}

#[tokio::test]
async fn a_target_that_the_snapshot_marks_as_leaving_gets_nothing() {
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

    assert_eq!(leaving.seen.runs(), 0);
    assert_eq!(staying.seen.runs(), 20);
}

#[tokio::test]
async fn a_request_waits_for_a_cold_service_to_start() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[], 8));
    let request = support::request(&entry_host, "GET", "x", &[], "");

    let asking = tokio::spawn(support::send(request));
    tokio::time::sleep(Duration::from_millis(30)).await;
    entry_host
        .snapshots
        .publish(support::routes(&[target.address], 8));
    let told = asking.await.unwrap().unwrap();

    assert_eq!(told.status, StatusCode::OK);
}

#[tokio::test]
async fn a_start_that_is_known_to_be_too_late_is_refused_at_once() {
    let mut routes = support::routes(&[], 8);
    let mut service = (*routes.services[&support::job()]).clone();
    service.next_ready_at = Some(time::TimeMs(0) + support::LONG);
    routes.add_service(service);
    let entry_host = support::entry_host(routes);

    let told = support::get(&entry_host, &[("x-deadline-ms", "60000")]).await;

    assert_eq!(told.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(told.code(), "2002");
    assert!(!told.header("retry-after").is_empty());
}

#[tokio::test]
async fn an_unknown_service_is_not_found() {
    let entry_host = support::entry_host(snapshot::RouteSnapshot::empty(support::zone()));

    let told = support::get(&entry_host, &[]).await;

    assert_eq!(told.status, StatusCode::NOT_FOUND);
    assert_eq!(told.code(), "1100");
}

#[tokio::test]
async fn a_planned_stop_finishes_what_is_in_flight() {
    let target = support::target(Behaviour::Slow(Duration::from_millis(150))).await;
    let mut entry_host = support::entry_host(support::routes(&[target.address], 8));
    let requests = (0..4).map(|_| support::request(&entry_host, "GET", "x", &[], ""));
    let asking: Vec<_> = requests
        .map(|request| tokio::spawn(support::send(request)))
        .collect();
    while target.seen.runs() < 4 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    entry_host.stop();
    let stopped = entry_host.stopped().await;

    assert_eq!(stopped.cut_off, 0);
    for asked in asking {
        assert_eq!(asked.await.unwrap().unwrap().status, StatusCode::OK);
    }
}

#[tokio::test]
async fn a_planned_stop_waits_no_longer_than_its_bound() {
    let target = support::target(Behaviour::Slow(Duration::from_secs(30))).await;
    let routes = support::routes(&[target.address], 8);
    let mut entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.stop_timeout(Duration::from_millis(50))
    });
    let request = support::request(&entry_host, "GET", "x", &[], "");
    let _asking = tokio::spawn(support::send(request));
    while target.seen.runs() < 1 {
        tokio::time::sleep(Duration::from_millis(2)).await;
    }

    entry_host.stop();
    let stopped = entry_host.stopped().await;

    assert_eq!(stopped.cut_off, 1);
}

#[tokio::test]
async fn a_stopping_front_turns_unready_first() {
    let routes = support::routes(&[], 8);
    let mut entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.unready_period(Duration::from_secs(30))
    });

    let before = support::ready(entry_host.address).await;
    entry_host.stop();
    let mut after = support::ready(entry_host.address).await;
    while after == StatusCode::OK {
        after = support::ready(entry_host.address).await;
    }

    assert_eq!(before, StatusCode::OK);
    assert_eq!(after, StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn a_front_that_is_not_ready_runs_nothing() {
    let target = support::target(Behaviour::Echo).await;
    let entry_host = support::entry_host(support::routes(&[target.address], 8));

    entry_host.front.set_ready(false);
    let told = support::get(&entry_host, &[]).await;

    assert_eq!(told.code(), "2004");
    assert_eq!(target.seen.runs(), 0);
}

#[tokio::test]
async fn a_team_over_its_limit_is_told_when_to_come_back() {
    let target = support::target(Behaviour::Echo).await;
    let mut routes = support::routes(&[target.address], 8);
    let limit = snapshot::TeamLimit {
        max_concurrent: 8,
        rate_per_s: 1,
        burst: 2,
    };
    routes.teams.insert(id::TeamId::new("lab").unwrap(), limit);
    let entry_host = support::entry_host(routes);

    let mut told = Vec::new();
    for _ in 0..3 {
        told.push(support::get(&entry_host, &[("x-team", "lab")]).await);
    }

    assert_eq!(told[1].status, StatusCode::OK);
    assert_eq!(told[2].status, StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(told[2].code(), "2005");
    assert_eq!(told[2].header("retry-after"), "1");
}

#[tokio::test]
async fn a_body_over_the_limit_is_refused_and_not_sent() {
    let target = support::target(Behaviour::Echo).await;
    let routes = support::routes(&[target.address], 8);
    let entry_host = support::entry_host_with(routes, support::memory_records(), |builder| {
        builder.max_body_bytes(10)
    });

    let request = support::request(&entry_host, "PUT", "x", &[], "eleven bytes");
    let told = support::send(request).await.unwrap();

    assert_eq!(told.status, StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(told.code(), "1003");
    assert_eq!(target.seen.runs(), 0);
}

#[tokio::test]
async fn a_malformed_header_is_named() {
    let entry_host = support::entry_host(support::routes(&[], 8));

    let told = support::get(&entry_host, &[("x-deadline-ms", "soon")]).await;

    assert_eq!(told.status, StatusCode::BAD_REQUEST);
    assert_eq!(told.code(), "1000");
    let body = String::from_utf8(told.body.to_vec()).unwrap();
    assert!(body.contains("x-deadline-ms"), "{body}");
}
