//! The router's decisions under virtual time.

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

const OWN: &str = "marousi";
const OTHER: &str = "glyfada";
const SERVICE_US: u64 = 20_000;
/// After the slow start of targets that are ready since zero.
const WARM: TimeMs = TimeMs(60_000);

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

/// Routes to one target in each of the given zones, with this many slots on each worker.
fn routes(zones: &[&str], slots: u32) -> RouteSnapshot {
    let mut routes = RouteSnapshot::empty(zone(OWN));
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

/// The routes with one service changed.
fn changed(mut routes: RouteSnapshot, change: impl FnOnce(&mut ServiceRoutes)) -> RouteSnapshot {
    let mut service = (*routes.services[&job()]).clone();
    change(&mut service);
    routes.add_service(service);
    routes
}

/// An entry host's router.
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
        resumed.iter().filter(|one| one.result.is_ok()).count()
    }

    fn route(&mut self, now: TimeMs, urgency: Urgency, time_left: SpanMs) -> RouteDecision {
        self.offer_again(now, urgency, time_left, true, &[])
    }

    fn offer_again(
        &mut self,
        now: TimeMs,
        urgency: Urgency,
        time_left: SpanMs,
        idempotent: bool,
        tried: &[u32],
    ) -> RouteDecision {
        let ask = RouteRequest {
            job: &self.job,
            team: &self.team,
            urgency,
            idempotent,
            deadline: now + time_left,
            tried,
        };
        self.router.route(now, &ask, &mut self.rng)
    }

    fn ask(&mut self, now: TimeMs) -> RouteDecision {
        self.route(now, Urgency::Normal, SpanMs(10_000))
    }

    fn send(&mut self, now: TimeMs) -> Assignment {
        sent(self.ask(now))
    }

    fn finish(&mut self, now: TimeMs, assignment: &Assignment, end: End) -> usize {
        let resumed = self.router.finish(now, assignment, end, &mut self.rng);
        resumed.len()
    }

    /// Answers requests one at a time; returns how many each target got. `end_of` says how a
    /// target answers.
    fn serve(&mut self, from: TimeMs, count: u64, end_of: impl Fn(u32) -> End) -> Vec<u64> {
        let mut got = vec![0; 16];
        for number in 0..count {
            let now = from + SpanMs(number);
            let assignment = self.send(now);
            got[assignment.index as usize] += 1;
            let end = end_of(assignment.index);
            self.finish(now, &assignment, end);
        }
        got
    }
}

fn sent(offer: RouteDecision) -> Assignment {
    match offer {
        RouteDecision::Send(assignment) => assignment,
        other => panic!("expected a target, got {other:?}"),
    }
}

fn waiting(offer: RouteDecision) -> Wait {
    match offer {
        RouteDecision::Wait(wait) => wait,
        other => panic!("expected a wait, got {other:?}"),
    }
}

fn refused(offer: RouteDecision) -> Refusal {
    match offer {
        RouteDecision::Refuse(refusal) => refusal,
        other => panic!("expected a refusal, got {other:?}"),
    }
}

const fn good() -> End {
    End::Answered {
        latency_us: SERVICE_US,
    }
}

#[test]
fn requests_in_flight_never_exceed_the_share() {
    let mut host = Host::new(routes(&[OWN, OWN], 3));

    let offers: Vec<RouteDecision> = (0..20).map(|_| host.ask(WARM)).collect();

    let is_sent = |offer: &&RouteDecision| matches!(offer, RouteDecision::Send(_));
    assert_eq!(offers.iter().filter(is_sent).count(), 6);
    assert_eq!(host.router.in_use(&worker(0)), 3);
    assert_eq!(host.router.in_use(&worker(1)), 3);
}

#[test]
fn a_lapsed_share_gives_no_slot() {
    let mut routes = routes(&[OWN], 8);
    routes.shares.get_mut(&worker(0)).unwrap().expires_at = WARM;
    let mut host = Host::new(routes);

    let in_time = host.ask(WARM);
    let too_late = host.ask(WARM + SpanMs(1));

    assert!(matches!(in_time, RouteDecision::Send(_)));
    assert!(!matches!(too_late, RouteDecision::Send(_)));
}

#[test]
fn two_services_on_one_worker_share_its_slots() {
    let mut routes = routes(&[OWN], 2);
    let other = id::JobId::new("images").unwrap();
    let mut service = ServiceRoutes::new(other.clone(), team());
    service.targets.push(target(0, OWN));
    routes.add_service(service);
    let mut host = Host::new(routes);

    host.send(WARM);
    host.job = other;
    host.send(WARM);
    let third = host.ask(WARM);

    assert!(matches!(third, RouteDecision::Wait(_)));
}

#[test]
fn the_less_loaded_target_gets_more() {
    let mut host = Host::new(routes(&[OWN, OWN, OWN], 8));

    for _ in 0..9 {
        host.send(WARM);
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
fn requests_stay_in_their_zone_until_another_helps() {
    let mut host = Host::new(routes(&[OWN, OTHER], 1));
    host.serve(WARM, 50, |_| good());

    let first = host.send(WARM + SpanMs(100));
    let second = host.send(WARM + SpanMs(100));

    assert_eq!(first.reason, RouteReason::OwnZone);
    assert_eq!(
        second.reason,
        RouteReason::OtherZone,
        "a slot takes 20 ms, the way 3 ms"
    );
}

#[test]
fn a_zone_that_is_farther_than_the_wait_gets_nothing() {
    let settings = Settings {
        assumed_zone_extra_us: 5 * SERVICE_US,
        ..Settings::default()
    };
    let mut host = Host::with_settings(routes(&[OWN, OTHER], 1), settings);
    host.serve(WARM, 50, |_| good());

    host.send(WARM + SpanMs(100));
    let second = host.ask(WARM + SpanMs(100));

    assert!(matches!(second, RouteDecision::Wait(_)));
}

#[test]
fn without_a_ready_target_in_the_own_zone_another_serves() {
    let mut host = Host::new(routes(&[OTHER], 1));

    let assignment = host.send(WARM);

    assert_eq!(assignment.reason, RouteReason::OtherZone);
}

#[test]
fn a_target_that_fails_everything_is_left_out_and_probed_with_repeatable_requests() {
    let mut host = Host::new(routes(&[OWN, OWN, OWN, OWN], 8));
    let fails_zero = |index| if index == 0 { End::Failed } else { good() };
    let probe_due = WARM + SpanMs(5_000);

    let before = host.serve(WARM, 200, fails_zero);
    let after = host.serve(WARM + SpanMs(200), 1_000, fails_zero);
    let mut not_repeatable = Vec::new();
    for _ in 0..50 {
        let offer = host.offer_again(probe_due, Urgency::Normal, SpanMs(9_000), false, &[]);
        let assignment = sent(offer);
        host.finish(probe_due, &assignment, good());
        not_repeatable.push(assignment.index);
    }
    let repeatable = host.serve(probe_due, 50, |_| good());

    assert!(before[0] <= 5, "{before:?}");
    assert_eq!(after[0], 0, "{after:?}");
    assert!(!not_repeatable.contains(&0));
    assert!(repeatable[0] >= 1, "it is back after a good probe");
}

#[test]
fn a_target_ten_times_slower_is_left_out() {
    let mut host = Host::new(routes(&[OWN, OWN, OWN, OWN], 8));
    let slow_zero = |index| End::Answered {
        latency_us: if index == 0 {
            10 * SERVICE_US
        } else {
            SERVICE_US
        },
    };

    host.serve(WARM, 400, slow_zero);
    let after = host.serve(WARM + SpanMs(400), 500, slow_zero);

    assert_eq!(after[0], 0, "{after:?}");
}

#[test]
fn at_least_half_of_the_targets_stay_in() {
    let mut host = Host::new(routes(&[OWN, OWN, OWN, OWN], 8));

    host.serve(WARM, 400, |_| End::Failed);
    let after = host.serve(WARM + SpanMs(400), 400, |_| End::Failed);

    let used = after.iter().filter(|&&count| count > 0).count();
    assert!(used >= 2, "{after:?}");
}

#[test]
fn a_target_that_said_it_leaves_gets_nothing_until_it_is_ready_anew() {
    let mut host = Host::new(routes(&[OWN, OWN], 8));
    let first = host.send(WARM);
    let leaving = first.index as usize;
    let since = WARM + SpanMs(200);
    let restarted = changed(routes(&[OWN, OWN], 8), |service| {
        service.targets[leaving].state = TargetState::Ready { since };
    });

    host.finish(WARM, &first, End::Leaving);
    let after = host.serve(WARM, 50, |_| good());
    host.install(WARM + SpanMs(60), routes(&[OWN, OWN], 8));
    let after_republication = host.serve(WARM + SpanMs(100), 50, |_| good());
    host.install(since, restarted);
    let after_restart = host.serve(since + SpanMs(60_000), 50, |_| good());

    assert_eq!(after[leaving], 0);
    assert_eq!(after_republication[leaving], 0, "the host list lags");
    assert!(after_restart[leaving] > 0);
}

#[test]
fn a_target_that_is_not_there_is_asked_again_after_a_moment() {
    let mut host = Host::new(routes(&[OWN, OWN], 8));
    let first = host.send(WARM);
    let gone = first.index as usize;
    let later = WARM + Settings::default().gone_memory;

    host.finish(WARM, &first, End::Gone);
    let during = host.serve(WARM, 50, |_| good());
    let after = host.serve(later, 50, |_| good());

    assert_eq!(during[gone], 0);
    assert!(after[gone] > 0);
}

#[test]
fn a_leaving_target_of_the_snapshot_gets_nothing_new_and_keeps_its_slot_count() {
    let mut host = Host::new(routes(&[OWN], 1));
    let in_flight = host.send(WARM);
    let leaving = changed(routes(&[OWN], 1), |service| {
        service.targets[0].state = TargetState::Leaving;
    });

    host.install(WARM, leaving);
    let next = host.ask(WARM);
    let before = host.router.in_use(&worker(0));
    host.finish(WARM, &in_flight, good());
    let after = host.router.in_use(&worker(0));

    assert!(!matches!(next, RouteDecision::Send(_)));
    assert_eq!((before, after), (1, 0));
}

#[test]
fn a_new_target_is_given_fewer_requests_at_first() {
    let fresh = changed(routes(&[OWN, OWN], 8), |service| {
        service.targets[1].state = TargetState::Ready { since: WARM };
    });
    let mut host = Host::new(fresh);

    for _ in 0..9 {
        host.send(WARM);
    }

    assert_eq!(host.router.in_use(&worker(0)), 8);
    assert_eq!(host.router.in_use(&worker(1)), 1);
}

#[test]
fn urgent_requests_are_served_first() {
    let mut host = Host::new(routes(&[OWN], 1));
    let first = host.send(WARM);
    let normal = waiting(host.ask(WARM));
    let urgent = waiting(host.route(WARM, Urgency::Urgent, SpanMs(10_000)));

    let resumed = host.router.finish(WARM, &first, good(), &mut host.rng);

    assert_eq!(resumed.len(), 1);
    assert_eq!(resumed[0].ticket, urgent.ticket);
    assert!(host.router.withdraw(&job(), normal.ticket));
}

#[test]
fn a_wait_that_cannot_end_in_time_is_refused_at_once() {
    let mut host = Host::new(routes(&[OWN], 1));
    host.serve(WARM, 50, |_| good());
    let now = WARM + SpanMs(100);
    host.send(now);
    for _ in 0..10 {
        waiting(host.ask(now));
    }

    let refusal = refused(host.route(now, Urgency::Normal, SpanMs(150)));

    assert_eq!(refusal.code, ResultCode::Overloaded);
    assert!(refusal.retry_after >= SpanMs(50));
}

#[test]
fn a_standing_queue_shortens_the_wait() {
    let mut host = Host::new(routes(&[OWN], 1));
    host.serve(WARM, 50, |_| good());
    let settings = Settings::default();
    let begun = WARM + SpanMs(100);
    let later = begun + settings.standing_after;
    host.send(begun);

    let burst = waiting(host.ask(begun));
    let standing = waiting(host.ask(later));

    assert_eq!(burst.give_up_at, begun + settings.max_wait);
    assert_eq!(standing.give_up_at, later + settings.standing_wait);
}

#[test]
fn a_wait_is_given_up_at_its_time_and_not_later() {
    let mut host = Host::new(routes(&[OWN], 1));
    host.send(WARM);
    let wait = waiting(host.ask(WARM));

    let before = host.router.tick(wait.give_up_at - SpanMs(1), &mut host.rng);
    let at = host.router.tick(wait.give_up_at, &mut host.rng);

    assert!(before.is_empty());
    assert_eq!(at.len(), 1);
    let refusal = at[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::Overloaded);
}

#[test]
fn a_cold_service_lets_requests_wait_for_its_start() {
    let mut host = Host::new(routes(&[], 1));
    let wait = waiting(host.route(WARM, Urgency::Normal, SpanMs(5_000)));

    let resumed = host.install(WARM + SpanMs(2_000), routes(&[OWN], 1));

    assert_eq!(wait.give_up_at, WARM + SpanMs(5_000));
    assert_eq!(resumed, 1);
}

#[test]
fn a_cold_wait_ends_as_no_ready_target() {
    let mut host = Host::new(routes(&[], 1));
    let wait = waiting(host.route(WARM, Urgency::Normal, SpanMs(5_000)));

    let resumed = host.router.tick(wait.give_up_at, &mut host.rng);

    let refusal = resumed[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::NoReadyTarget);
}

#[test]
fn a_start_known_to_be_too_late_is_refused_at_once() {
    let starting = changed(routes(&[], 1), |service| {
        service.next_ready_at = Some(WARM + SpanMs(8_000));
    });
    let mut host = Host::new(starting);

    let refusal = refused(host.route(WARM, Urgency::Normal, SpanMs(5_000)));
    let in_time = host.route(WARM, Urgency::Normal, SpanMs(9_000));

    assert_eq!(refusal.code, ResultCode::NoReadyTarget);
    assert!(refusal.retry_after >= SpanMs(8_000));
    assert!(matches!(in_time, RouteDecision::Wait(_)));
}

#[test]
fn a_removed_service_refuses_those_who_wait() {
    let mut host = Host::new(routes(&[OWN], 1));
    host.send(WARM);
    waiting(host.ask(WARM));

    let empty = Arc::new(RouteSnapshot::empty(zone(OWN)));
    let resumed = host.router.install(WARM, empty, &mut host.rng);

    assert_eq!(resumed.len(), 1);
    let refusal = resumed[0].result.as_ref().unwrap_err();
    assert_eq!(refusal.code, ResultCode::NotFound);
}

#[test]
fn an_abandoned_request_holds_its_slot_for_a_moment() {
    let mut host = Host::new(routes(&[OWN], 1));
    let assignment = host.send(WARM);
    let later = WARM + Settings::default().abandoned_hold;

    host.finish(WARM, &assignment, End::Abandoned);
    let at_once = host.router.in_use(&worker(0));
    host.router.tick(later, &mut host.rng);

    assert_eq!(at_once, 1);
    assert_eq!(host.router.in_use(&worker(0)), 0);
}

#[test]
fn a_full_worker_is_left_alone_for_a_moment() {
    let mut host = Host::new(routes(&[OWN, OWN], 8));
    let first = host.send(WARM);
    host.finish(WARM, &first, End::Full);

    let during = host.serve(WARM, 20, |_| good());
    let after = host.serve(WARM + SpanMs(100), 50, |_| good());

    assert_eq!(during[first.index as usize], 0);
    assert!(after[first.index as usize] > 0);
}

#[test]
fn a_retry_goes_to_another_target() {
    let mut host = Host::new(routes(&[OWN, OWN], 8));

    for _ in 0..20 {
        let offer = host.offer_again(WARM, Urgency::Normal, SpanMs(9_000), true, &[0]);
        let assignment = sent(offer);
        assert_eq!(assignment.index, 1);
        host.finish(WARM, &assignment, good());
    }
}

#[test]
fn each_team_has_a_retry_budget_of_its_own() {
    let mut host = Host::new(routes(&[OWN], 8));
    let other = id::TeamId::new("lab").unwrap();

    let granted = (0..100)
        .filter(|_| host.router.try_retry(WARM, &job(), &team()))
        .count();
    let of_the_other = host.router.try_retry(WARM, &job(), &other);

    assert_eq!(granted, 10, "the burst, and no more");
    assert!(of_the_other);
}

#[test]
fn made_up_teams_share_one_retry_budget_in_the_end() {
    let mut host = Host::new(routes(&[OWN], 8));
    let made_up = |number: u32| id::TeamId::new(&format!("t-{number}")).unwrap();

    for number in 0..2_000 {
        host.router.try_retry(WARM, &job(), &made_up(number));
    }

    assert!(host.router.counts().retries_denied > 900);
}

#[test]
fn a_team_limit_changes_without_forgetting_who_is_present() {
    let limit = TeamLimit {
        max_concurrent: 1,
        rate_per_s: 100,
        burst: 100,
    };
    let wider = TeamLimit {
        max_concurrent: 2,
        ..limit
    };
    let mut limited = routes(&[OWN], 8);
    limited.teams.insert(team(), limit);
    let mut host = Host::new(limited.clone());

    let first = host.router.admit(WARM, &team());
    let second = host.router.admit(WARM, &team());
    limited.teams.insert(team(), wider);
    host.install(WARM, limited);
    let after_change = host.router.admit(WARM, &team());
    let over_the_new_limit = host.router.admit(WARM, &team());

    assert!(first.is_ok());
    assert_eq!(second.unwrap_err().code, ResultCode::TeamLimited);
    assert!(after_change.is_ok());
    assert!(over_the_new_limit.is_err());
}
