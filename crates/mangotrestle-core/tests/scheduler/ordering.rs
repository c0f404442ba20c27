//! Tests of queue order, quotas, cancellation and waiting reasons.

use mangotrestle_core::{job, scheduler, task, time};

use super::fixture::{
    accepted, batch, capacity, decide_all, ended, job_id, listing, starts, stops, team_id,
};

const NOW: time::TimeMs = time::TimeMs(0);

fn pool(config: scheduler::SchedulerConfig, workers: u32) -> scheduler::Scheduler {
    let mut pool = scheduler::Scheduler::new(config, 1);
    for number in 0..workers {
        let name = format!("worker-{number}");
        pool.handle(NOW, listing(&name, "rack-0", capacity(8, 8, 0), Vec::new()));
    }
    pool
}

fn started_jobs(decisions: &[scheduler::Decision]) -> Vec<String> {
    let started = starts(decisions);
    started
        .iter()
        .map(|start| start.run.task.job.to_string())
        .collect()
}

#[test]
fn urgent_work_goes_first_and_then_the_team_with_the_smaller_share() {
    let mut pool = pool(scheduler::SchedulerConfig::default(), 1);
    let mut busy = batch("busy", 4);
    busy.team = team_id("busy-team");
    pool.handle(NOW, accepted(busy, 1));
    decide_all(&mut pool, 0);
    let mut old = batch("old-of-busy-team", 1);
    old.team = team_id("busy-team");
    let mut young = batch("young-of-idle-team", 1);
    young.team = team_id("idle-team");
    let mut urgent = batch("urgent", 1);
    urgent.urgency = job::Urgency::Urgent;
    urgent.team = team_id("busy-team");

    for (spec, wall_ms) in [(old, 2), (young, 3), (urgent, 4)] {
        pool.handle(NOW, accepted(spec, wall_ms));
    }
    let order = started_jobs(&decide_all(&mut pool, 0));

    assert_eq!(order, ["urgent", "young-of-idle-team", "old-of-busy-team"]);
}

#[test]
fn a_team_with_twice_the_weight_gets_twice_the_share() {
    let heavy = scheduler::TeamQuota {
        limit: None,
        weight: 2,
    };
    let config = scheduler::SchedulerConfig::builder()
        .quota(team_id("heavy"), heavy)
        .build();
    let mut pool = pool(config, 3);
    for name in ["heavy", "light"] {
        let mut spec = batch(name, 100);
        spec.team = team_id(name);
        pool.handle(NOW, accepted(spec, 1));
    }

    let order = started_jobs(&decide_all(&mut pool, 0));

    assert_eq!(order.len(), 24);
    assert_eq!(order.iter().filter(|job| *job == "heavy").count(), 16);
}

#[test]
fn a_team_at_its_quota_waits_until_it_uses_less() {
    let limited = scheduler::TeamQuota {
        limit: Some(capacity(2, 64, 0)),
        weight: 1,
    };
    let config = scheduler::SchedulerConfig::builder()
        .quota(team_id("team-0"), limited)
        .build();
    let mut pool = pool(config, 1);
    pool.handle(NOW, accepted(batch("limited", 3), 1));

    let first = starts(&decide_all(&mut pool, 0));
    let reasons = pool.explain_waiting(NOW, &job_id("limited"));
    pool.handle(NOW, ended(&first[0].run, task::RunOutcome::Succeeded));
    let second = starts(&decide_all(&mut pool, 0));

    assert_eq!(first.len(), 2);
    assert!(reasons.contains(&scheduler::WaitingReason::Quota));
    assert_eq!(second.len(), 1);
}

#[test]
fn many_cancellations_do_not_delay_starts() {
    let mut pool = pool(scheduler::SchedulerConfig::default(), 500);
    pool.handle(NOW, accepted(batch("wave", 3_000), 1));
    decide_all(&mut pool, 0);
    let job = job_id("wave");
    pool.handle(
        NOW,
        scheduler::SchedulerEvent::JobCancelled { job: job.clone() },
    );
    pool.handle(NOW, scheduler::SchedulerEvent::JobCancelled { job });
    pool.handle(NOW, accepted(batch("next", 10), 2));

    let mut decisions = Vec::new();
    let more = pool.decide(NOW, 20, &mut decisions);
    let rest = decide_all(&mut pool, 0);

    assert!(more);
    assert_eq!(starts(&decisions).len(), 10);
    assert!(decisions.len() <= 20);
    assert_eq!(stops(&decisions).len() + stops(&rest).len(), 3_000);
}

#[test]
fn a_stop_is_resent_until_the_run_ends() {
    let mut pool = pool(scheduler::SchedulerConfig::default(), 1);
    pool.handle(NOW, accepted(batch("stubborn", 1), 1));
    let run = starts(&decide_all(&mut pool, 0))[0].run.clone();
    let job = job_id("stubborn");
    pool.handle(NOW, scheduler::SchedulerEvent::JobCancelled { job });

    let first = stops(&decide_all(&mut pool, 0)).len();
    let early = stops(&decide_all(&mut pool, 4_999)).len();
    let again = stops(&decide_all(&mut pool, 5_000)).len();
    pool.handle(time::TimeMs(6_000), ended(&run, task::RunOutcome::Stopped));
    let after = stops(&decide_all(&mut pool, 60_000)).len();

    assert_eq!((first, early, again, after), (1, 0, 1, 0));
}

#[test]
fn a_job_that_fits_no_worker_is_parked_until_a_worker_fits_it() {
    let mut pool = pool(scheduler::SchedulerConfig::default(), 2);
    let mut large = batch("large", 1);
    large.need = capacity(64, 4, 0);
    pool.handle(NOW, accepted(large, 1));

    decide_all(&mut pool, 61_000);
    let parked = pool.job(&job_id("large")).map(|job| job.state);
    let now = time::TimeMs(62_000);
    pool.handle(
        now,
        listing("big", "rack-1", capacity(64, 64, 0), Vec::new()),
    );
    let started = started_jobs(&decide_all(&mut pool, 62_000));

    assert_eq!(parked, Some(scheduler::JobState::Parked));
    assert_eq!(started, ["large"]);
}

#[test]
fn waiting_reasons_name_the_constraint_and_count_the_workers() {
    let mut pool = pool(scheduler::SchedulerConfig::default(), 3);
    let mut spec = batch("hungry", 1);
    spec.need = capacity(4, 16, 0);
    pool.handle(NOW, accepted(spec, 1));

    decide_all(&mut pool, 0);
    let reasons = pool.explain_waiting(NOW, &job_id("hungry"));

    assert!(reasons.contains(&scheduler::WaitingReason::Short {
        constraint: scheduler::Constraint::Memory,
        workers: 3,
    }));
    assert!(reasons.contains(&scheduler::WaitingReason::NeverFits {
        constraint: scheduler::Constraint::Memory,
    }));
}
