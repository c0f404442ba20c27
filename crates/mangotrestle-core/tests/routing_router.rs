//! Tests of the router's decisions under a virtual clock.

use std::sync::Arc;

use mangotrestle_core::id;
use mangotrestle_core::job::Urgency;
use mangotrestle_core::result_code::ResultCode;
use mangotrestle_core::routing::router::{
    Assignment, End, Refusal, RouteDecision, RouteReason, RouteRequest, Router, Settings, Wait,
};
use mangotrestle_core::routing::snapshot::{
    RouteSnapshot, ServiceRoutes, Target, TargetState, TeamLimit, WorkerShare,
};
use mangotrestle_core::time::{SpanMs, TimeMs};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const OWN_ZONE: &str = "marousi";
const OTHER_ZONE: &str = "glyfada";
const ANSWER_LATENCY_US: u64 = 20_000;
/// A time after the slow start of targets that became ready at time zero.
const AFTER_SLOW_START: TimeMs = TimeMs(60_000);

fn zone(name: &str) -> id::AvailabilityZoneId {
    id::AvailabilityZoneId::new(name).unwrap()
}

fn job() -> id::JobId {
    id::JobId::new("booking").unwrap()
}

fn team() -> id::TeamId {
    id::TeamId::new("web").unwrap()
}

fn worker(index: u32) -> id::WorkerId {
    id::WorkerId::new(&format!("w-{index}")).unwrap()
}

fn target(index: u32, zone_name: &str) -> Target {
    Target {
        index,
        worker: worker(index),
        availability_zone: zone(zone_name),
        address: "127.0.0.1:1".parse().unwrap(),
        state: TargetState::Ready { since: TimeMs(0) },
    }
}

/// Returns routes with one target in each of the given zones and `slots` slots on each worker.
fn routes(zones: &[&str], slots: u32) -> RouteSnapshot {
    let mut routes = RouteSnapshot::empty(zone(OWN_ZONE));
    let mut service = ServiceRoutes::new(job(), team());
    for (index, zone_name) in (0..).zip(zones) {
        service.targets.push(target(index, zone_name));
        let share = WorkerShare {
            slots,
            connections: 64,
            expires_at: TimeMs(u64::MAX),
        };
        routes.shares.insert(worker(index), share);
    }
    routes.add_service(service);
    routes
}

/// Returns the routes with the service changed.
fn with_service(
    mut routes: RouteSnapshot,
    change: impl FnOnce(&mut ServiceRoutes),
) -> RouteSnapshot {
    let mut service = (*routes.services[&job()]).clone();
    change(&mut service);
    routes.add_service(service);
    routes
}

/// An entry host with its router.
struct Host {
    router: Router,
    rng: SmallRng,
    job: id::JobId,
    team: id::TeamId,
}

impl Host {
    fn new(routes: RouteSnapshot) -> Self {
        Self::with_settings(routes, Settings::default())
    }

    fn with_settings(routes: RouteSnapshot, settings: Settings) -> Self {
        let mut host = Self {
            router: Router::new(settings),
            rng: SmallRng::seed_from_u64(11),
            job: job(),
            team: team(),
        };
        host.install(TimeMs(0), routes);
        host
    }

    fn install(&mut self, now: TimeMs, routes: RouteSnapshot) -> usize {
        let resumed = self.router.install(now, Arc::new(routes), &mut self.rng);
        resumed.iter().filter(|entry| entry.result.is_ok()).count()
    }

    fn route(&mut self, now: TimeMs, urgency: Urgency, time_left: SpanMs) -> RouteDecision {
        self.route_with(now, urgency, time_left, true, &[])
    }

    fn route_with(
        &mut self,
        now: TimeMs,
        urgency: Urgency,
        time_left: SpanMs,
        idempotent: bool,
        tried: &[u32],
    ) -> RouteDecision {
        let request = RouteRequest {
            job: &self.job,
            team: &self.team,
            urgency,
            idempotent,
            deadline: now + time_left,
            tried,
        };
        self.router.route(now, &request, &mut self.rng)
    }

    fn route_normal(&mut self, now: TimeMs) -> RouteDecision {
        self.route(now, Urgency::Normal, SpanMs(10_000))
    }

    fn send(&mut self, now: TimeMs) -> Assignment {
        expect_sent(self.route_normal(now))
    }

    fn finish(&mut self, now: TimeMs, assignment: &Assignment, end: End) -> usize {
        let resumed = self.router.finish(now, assignment, end, &mut self.rng);
        resumed.len()
    }

    /// Sends `count` requests one at a time, each of which ends as `end_of` returns for its target.
    /// Returns how many requests each target got.
    fn serve(&mut self, from: TimeMs, count: u64, end_of: impl Fn(u32) -> End) -> Vec<u64> {
        let mut sent_counts = vec![0; 16];
        for number in 0..count {
            let now = from + SpanMs(number);
            let assignment = self.send(now);
            sent_counts[assignment.index as usize] += 1;
            let end = end_of(assignment.index);
            self.finish(now, &assignment, end);
        }
        sent_counts
    }
}

fn expect_sent(decision: RouteDecision) -> Assignment {
    match decision {
        RouteDecision::Send(assignment) => assignment,
        other => panic!("expected a target, got {other:?}"),
    }
}

fn expect_wait(decision: RouteDecision) -> Wait {
    match decision {
        RouteDecision::Wait(wait) => wait,
        other => panic!("expected a wait, got {other:?}"),
    }
}

fn expect_refused(decision: RouteDecision) -> Refusal {
    match decision {
        RouteDecision::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

const fn answered() -> End {
    End::Answered {
        latency_us: ANSWER_LATENCY_US,
    }
}

#[test]
fn requests_in_flight_never_exceed_the_share() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE], 3));

    let decisions: Vec<RouteDecision> = (0..20)
        .map(|_| host.route_normal(AFTER_SLOW_START))
        .collect();

    let is_sent = |decision: &&RouteDecision| matches!(decision, RouteDecision::Send(_));
    assert_eq!(decisions.iter().filter(is_sent).count(), 6);
    assert_eq!(host.router.in_use(&worker(0)), 3);
    assert_eq!(host.router.in_use(&worker(1)), 3);
}

#[test]
fn lapsed_share_gives_no_slot() {
    let mut routes = routes(&[OWN_ZONE], 8);
    routes.shares.get_mut(&worker(0)).unwrap().expires_at = AFTER_SLOW_START;
    let mut host = Host::new(routes);

    let in_time = host.route_normal(AFTER_SLOW_START);
    let too_late = host.route_normal(AFTER_SLOW_START + SpanMs(1));

    assert!(matches!(in_time, RouteDecision::Send(_)));
    assert!(!matches!(too_late, RouteDecision::Send(_)));
}

#[test]
fn two_services_on_one_worker_share_its_slots() {
    let mut routes = routes(&[OWN_ZONE], 2);
    let other = id::JobId::new("images").unwrap();
    let mut service = ServiceRoutes::new(other.clone(), team());
    service.targets.push(target(0, OWN_ZONE));
    routes.add_service(service);
    let mut host = Host::new(routes);

    host.send(AFTER_SLOW_START);
    host.job = other;
    host.send(AFTER_SLOW_START);
    let third = host.route_normal(AFTER_SLOW_START);

    assert!(matches!(third, RouteDecision::Wait(_)));
}

#[test]
fn requests_are_spread_over_equal_targets() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE, OWN_ZONE], 8));

    for _ in 0..9 {
        host.send(AFTER_SLOW_START);
    }

    let in_use: Vec<u32> = (0..3)
        .map(|index| host.router.in_use(&worker(index)))
        .collect();
    assert!(
        in_use.iter().all(|count| (2..=4).contains(count)),
        "{in_use:?}"
    );
}

#[test]
fn requests_stay_in_the_entry_hosts_zone_until_another_is_faster() {
    let mut host = Host::new(routes(&[OWN_ZONE, OTHER_ZONE], 1));
    host.serve(AFTER_SLOW_START, 50, |_| answered());

    let first = host.send(AFTER_SLOW_START + SpanMs(100));
    let second = host.send(AFTER_SLOW_START + SpanMs(100));

    assert_eq!(first.reason, RouteReason::OwnZone);
    assert_eq!(
        second.reason,
        RouteReason::OtherZone,
        "the wait for a slot is 20 ms, the extra latency 3 ms"
    );
}

#[test]
fn zone_with_more_extra_latency_than_the_wait_gets_no_requests() {
    let settings = Settings {
        assumed_extra_zone_latency_us: 5 * ANSWER_LATENCY_US,
        ..Settings::default()
    };
    let mut host = Host::with_settings(routes(&[OWN_ZONE, OTHER_ZONE], 1), settings);
    host.serve(AFTER_SLOW_START, 50, |_| answered());

    host.send(AFTER_SLOW_START + SpanMs(100));
    let second = host.route_normal(AFTER_SLOW_START + SpanMs(100));

    assert!(matches!(second, RouteDecision::Wait(_)));
}

#[test]
fn another_zone_serves_when_the_entry_hosts_zone_has_no_ready_target() {
    let mut host = Host::new(routes(&[OTHER_ZONE], 1));

    let assignment = host.send(AFTER_SLOW_START);

    assert_eq!(assignment.reason, RouteReason::OtherZone);
}

#[test]
fn failing_target_is_ejected_and_probed_with_idempotent_requests() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE, OWN_ZONE, OWN_ZONE], 8));
    let target_zero_fails = |index| if index == 0 { End::Failed } else { answered() };
    let probe_due = AFTER_SLOW_START + SpanMs(5_000);

    let before = host.serve(AFTER_SLOW_START, 200, target_zero_fails);
    let after = host.serve(AFTER_SLOW_START + SpanMs(200), 1_000, target_zero_fails);
    let mut non_idempotent_targets = Vec::new();
    for _ in 0..50 {
        let decision = host.route_with(probe_due, Urgency::Normal, SpanMs(9_000), false, &[]);
        let assignment = expect_sent(decision);
        host.finish(probe_due, &assignment, answered());
        non_idempotent_targets.push(assignment.index);
    }
    let idempotent = host.serve(probe_due, 50, |_| answered());

    assert!(before[0] <= 5, "{before:?}");
    assert_eq!(after[0], 0, "{after:?}");
    assert!(!non_idempotent_targets.contains(&0));
    assert!(idempotent[0] >= 1, "a successful probe readmits the target");
}

#[test]
fn target_that_is_ten_times_slower_is_ejected() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE, OWN_ZONE, OWN_ZONE], 8));
    let target_zero_slow = |index| End::Answered {
        latency_us: if index == 0 {
            10 * ANSWER_LATENCY_US
        } else {
            ANSWER_LATENCY_US
        },
    };

    host.serve(AFTER_SLOW_START, 400, target_zero_slow);
    let after = host.serve(AFTER_SLOW_START + SpanMs(400), 500, target_zero_slow);

    assert_eq!(after[0], 0, "{after:?}");
}

#[test]
fn at_least_half_of_the_targets_stay_active() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE, OWN_ZONE, OWN_ZONE], 8));

    host.serve(AFTER_SLOW_START, 400, |_| End::Failed);
    let after = host.serve(AFTER_SLOW_START + SpanMs(400), 400, |_| End::Failed);

    let active = after.iter().filter(|&&count| count > 0).count();
    assert!(active >= 2, "{after:?}");
}

#[test]
fn leaving_target_gets_no_requests_until_it_is_ready_again() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE], 8));
    let first = host.send(AFTER_SLOW_START);
    let leaving = first.index as usize;
    let since = AFTER_SLOW_START + SpanMs(200);
    let restarted = with_service(routes(&[OWN_ZONE, OWN_ZONE], 8), |service| {
        service.targets[leaving].state = TargetState::Ready { since };
    });

    host.finish(AFTER_SLOW_START, &first, End::Leaving);
    let after = host.serve(AFTER_SLOW_START, 50, |_| answered());
    host.install(
        AFTER_SLOW_START + SpanMs(60),
        routes(&[OWN_ZONE, OWN_ZONE], 8),
    );
    let after_republication = host.serve(AFTER_SLOW_START + SpanMs(100), 50, |_| answered());
    host.install(since, restarted);
    let after_restart = host.serve(since + SpanMs(60_000), 50, |_| answered());

    assert_eq!(after[leaving], 0);
    assert_eq!(
        after_republication[leaving], 0,
        "the host list may be out of date"
    );
    assert!(after_restart[leaving] > 0);
}

#[test]
fn missing_target_is_tried_again_after_its_backoff() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE], 8));
    let first = host.send(AFTER_SLOW_START);
    let gone = first.index as usize;
    let later = AFTER_SLOW_START + Settings::default().gone_backoff;

    host.finish(AFTER_SLOW_START, &first, End::Gone);
    let during = host.serve(AFTER_SLOW_START, 50, |_| answered());
    let after = host.serve(later, 50, |_| answered());

    assert_eq!(during[gone], 0);
    assert!(after[gone] > 0);
}

#[test]
fn target_that_leaves_in_the_snapshot_gets_no_new_requests_and_keeps_its_slot_count() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    let in_flight = host.send(AFTER_SLOW_START);
    let leaving = with_service(routes(&[OWN_ZONE], 1), |service| {
        service.targets[0].state = TargetState::Leaving;
    });

    host.install(AFTER_SLOW_START, leaving);
    let next = host.route_normal(AFTER_SLOW_START);
    let before = host.router.in_use(&worker(0));
    host.finish(AFTER_SLOW_START, &in_flight, answered());
    let after = host.router.in_use(&worker(0));

    assert!(!matches!(next, RouteDecision::Send(_)));
    assert_eq!((before, after), (1, 0));
}

#[test]
fn new_target_gets_fewer_requests_at_first() {
    let with_new_target = with_service(routes(&[OWN_ZONE, OWN_ZONE], 8), |service| {
        service.targets[1].state = TargetState::Ready {
            since: AFTER_SLOW_START,
        };
    });
    let mut host = Host::new(with_new_target);

    for _ in 0..9 {
        host.send(AFTER_SLOW_START);
    }

    assert_eq!(host.router.in_use(&worker(0)), 8);
    assert_eq!(host.router.in_use(&worker(1)), 1);
}

#[test]
fn urgent_requests_are_served_first() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    let first = host.send(AFTER_SLOW_START);
    let normal = expect_wait(host.route_normal(AFTER_SLOW_START));
    let urgent = expect_wait(host.route(AFTER_SLOW_START, Urgency::Urgent, SpanMs(10_000)));

    let resumed = host
        .router
        .finish(AFTER_SLOW_START, &first, answered(), &mut host.rng);

    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].wait_id, urgent.wait_id);
    assert!(host.router.withdraw(&job(), normal.wait_id));
}

#[test]
fn request_that_cannot_be_served_in_time_is_refused_at_once() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    host.serve(AFTER_SLOW_START, 50, |_| answered());
    let now = AFTER_SLOW_START + SpanMs(100);
    host.send(now);
    for _ in 0..10 {
        expect_wait(host.route_normal(now));
    }

    let refusal = expect_refused(host.route(now, Urgency::Normal, SpanMs(150)));

    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(refusal.retry_after >= SpanMs(50));
}

#[test]
fn standing_queue_shortens_the_wait() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    host.serve(AFTER_SLOW_START, 50, |_| answered());
    let settings = Settings::default();
    let queued_at = AFTER_SLOW_START + SpanMs(100);
    let later = queued_at + settings.standing_after;
    host.send(queued_at);

    let burst = expect_wait(host.route_normal(queued_at));
    let standing = expect_wait(host.route_normal(later));

    assert_eq!(burst.give_up_at, queued_at + settings.max_wait);
    assert_eq!(standing.give_up_at, later + settings.max_standing_wait);
}

#[test]
fn wait_is_given_up_exactly_at_its_time() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    host.send(AFTER_SLOW_START);
    let wait = expect_wait(host.route_normal(AFTER_SLOW_START));

    let before = host.router.tick(wait.give_up_at - SpanMs(1), &mut host.rng);
    let at = host.router.tick(wait.give_up_at, &mut host.rng);

    assert!(before.is_empty());
    assert_eq!(at.len(), 1);
    let refusal = at[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::Overloaded);
}

#[test]
fn request_waits_for_a_cold_service_to_start() {
    let mut host = Host::new(routes(&[], 1));
    let wait = expect_wait(host.route(AFTER_SLOW_START, Urgency::Normal, SpanMs(5_000)));

    let resumed = host.install(AFTER_SLOW_START + SpanMs(2_000), routes(&[OWN_ZONE], 1));

    assert_eq!(wait.give_up_at, AFTER_SLOW_START + SpanMs(5_000));
    assert_eq!(resumed, 1);
}

#[test]
fn wait_for_a_cold_service_ends_as_no_ready_target() {
    let mut host = Host::new(routes(&[], 1));
    let wait = expect_wait(host.route(AFTER_SLOW_START, Urgency::Normal, SpanMs(5_000)));

    let resumed = host.router.tick(wait.give_up_at, &mut host.rng);

    let refusal = resumed[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::NoReadyTarget);
}

#[test]
fn request_is_refused_at_once_if_the_service_starts_too_late() {
    let starting = with_service(routes(&[], 1), |service| {
        service.next_ready_at = Some(AFTER_SLOW_START + SpanMs(8_000));
    });
    let mut host = Host::new(starting);

    let refusal = expect_refused(host.route(AFTER_SLOW_START, Urgency::Normal, SpanMs(5_000)));
    let in_time = host.route(AFTER_SLOW_START, Urgency::Normal, SpanMs(9_000));

    assert_eq!(refusal.code, ResultCode::NoReadyTarget);
    assert!(refusal.retry_after >= SpanMs(8_000));
    assert!(matches!(in_time, RouteDecision::Wait(_)));
}

#[test]
fn removed_service_refuses_waiting_requests() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    host.send(AFTER_SLOW_START);
    expect_wait(host.route_normal(AFTER_SLOW_START));

    let empty = Arc::new(RouteSnapshot::empty(zone(OWN_ZONE)));
    let resumed = host.router.install(AFTER_SLOW_START, empty, &mut host.rng);

    assert_eq!(resumed.len(), 1);
    let refusal = resumed[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::NotFound);
}

#[test]
fn abandoned_request_keeps_its_slot_for_some_time() {
    let mut host = Host::new(routes(&[OWN_ZONE], 1));
    let assignment = host.send(AFTER_SLOW_START);
    let later = AFTER_SLOW_START + Settings::default().abandoned_slot_hold;

    host.finish(AFTER_SLOW_START, &assignment, End::Abandoned);
    let at_once = host.router.in_use(&worker(0));
    host.router.tick(later, &mut host.rng);

    assert_eq!(at_once, 1);
    assert_eq!(host.router.in_use(&worker(0)), 0);
}

#[test]
fn full_worker_gets_no_requests_during_its_backoff() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE], 8));
    let first = host.send(AFTER_SLOW_START);
    host.finish(AFTER_SLOW_START, &first, End::Full);

    let during = host.serve(AFTER_SLOW_START, 20, |_| answered());
    let after = host.serve(AFTER_SLOW_START + SpanMs(100), 50, |_| answered());

    assert_eq!(during[first.index as usize], 0);
    assert!(after[first.index as usize] > 0);
}

#[test]
fn retry_goes_to_another_target() {
    let mut host = Host::new(routes(&[OWN_ZONE, OWN_ZONE], 8));

    for _ in 0..20 {
        let decision =
            host.route_with(AFTER_SLOW_START, Urgency::Normal, SpanMs(9_000), true, &[0]);
        let assignment = expect_sent(decision);
        assert_eq!(assignment.index, 1);
        host.finish(AFTER_SLOW_START, &assignment, answered());
    }
}

#[test]
fn each_team_has_its_own_retry_budget() {
    let mut host = Host::new(routes(&[OWN_ZONE], 8));
    let other = id::TeamId::new("lab").unwrap();

    let granted = (0..100)
        .filter(|_| host.router.try_retry(AFTER_SLOW_START, &job(), &team()))
        .count();
    let other_granted = host.router.try_retry(AFTER_SLOW_START, &job(), &other);

    assert_eq!(granted, 10, "exactly the burst");
    assert!(other_granted);
}

#[test]
fn teams_beyond_the_maximum_share_one_retry_budget() {
    let mut host = Host::new(routes(&[OWN_ZONE], 8));
    let new_team = |number: u32| id::TeamId::new(&format!("t-{number}")).unwrap();

    for number in 0..2_000 {
        host.router
            .try_retry(AFTER_SLOW_START, &job(), &new_team(number));
    }

    assert!(host.router.counts().retries_denied > 900);
}

#[test]
fn changed_team_limit_still_counts_admitted_requests() {
    let limit = TeamLimit {
        max_concurrent: 1,
        rate_per_s: 100,
        burst: 100,
    };
    let wider = TeamLimit {
        max_concurrent: 2,
        ..limit
    };
    let mut limited = routes(&[OWN_ZONE], 8);
    limited.teams.insert(team(), limit);
    let mut host = Host::new(limited.clone());

    let first = host.router.admit(AFTER_SLOW_START, &team());
    let second = host.router.admit(AFTER_SLOW_START, &team());
    limited.teams.insert(team(), wider);
    host.install(AFTER_SLOW_START, limited);
    let after_change = host.router.admit(AFTER_SLOW_START, &team());
    let over_new_limit = host.router.admit(AFTER_SLOW_START, &team());

    assert!(first.is_ok());
    assert_eq!(second.unwrap_err().code, ResultCode::TeamLimited);
    assert!(after_change.is_ok());
    assert!(over_new_limit.is_err());
}
