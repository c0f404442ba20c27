//! Jobs, workers and events for tests, and helpers that extract decisions.

use std::sync::Arc;

use mangotrestle_core::{id, job, resources, scheduler, task, time};

pub fn job_id(text: &str) -> id::JobId {
    id::JobId::new(text).expect("valid job identifier")
}

pub fn team_id(text: &str) -> id::TeamId {
    id::TeamId::new(text).expect("valid team identifier")
}

pub fn worker_id(text: &str) -> id::WorkerId {
    id::WorkerId::new(text).expect("valid worker identifier")
}

pub fn amount(cores: u64, gib: u64, accelerators: u32) -> resources::Resources {
    resources::Resources {
        cpu_millicores: cores * 1_000,
        memory_mib: gib * 1_024,
        accelerators,
        slots: 1,
    }
}

pub fn capacity(cores: u64, gib: u64, accelerators: u32) -> resources::Resources {
    resources::Resources {
        slots: 8,
        ..amount(cores, gib, accelerators)
    }
}

/// Returns a batch job with one core and one gibibyte per task.
pub fn batch(name: &str, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        id: job_id(name),
        team: team_id("team-0"),
        pool: id::PoolId::new("pool-1").expect("valid pool identifier"),
        kind: job::JobKind::Batch,
        urgency: job::Urgency::Normal,
        tasks,
        need: amount(1, 1, 0),
        run_time_ms: Some(time::SpanMs::from_secs(60)),
        idempotent: true,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
    }
}

/// Returns a gang with one core and one gibibyte per task.
pub fn gang(name: &str, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        kind: job::JobKind::Gang,
        ..batch(name, tasks)
    }
}

/// Returns a service with one core and one gibibyte per replica.
pub fn service(name: &str, replicas: u32) -> job::JobSpec {
    job::JobSpec {
        kind: job::JobKind::Service,
        run_time_ms: None,
        ..batch(name, replicas)
    }
}

pub fn accepted(spec: job::JobSpec, accepted_wall_ms: u64) -> scheduler::SchedulerEvent {
    scheduler::SchedulerEvent::JobAccepted {
        spec: Arc::new(spec),
        accepted_wall_ms: time::WallTimeMs(accepted_wall_ms),
    }
}

pub fn listing(
    name: &str,
    rack: &str,
    capacity: resources::Resources,
    running: Vec<scheduler::ListedRun>,
) -> scheduler::SchedulerEvent {
    scheduler::SchedulerEvent::WorkerAvailable(scheduler::WorkerListing {
        worker: worker_id(name),
        rack: id::RackId::new(rack).expect("valid rack identifier"),
        availability_zone: id::AvailabilityZoneId::new("zone-1").expect("valid zone identifier"),
        capacity,
        running,
        leaving: false,
    })
}

/// A start decision.
#[derive(Clone, Debug)]
pub struct StartDecision {
    pub run: task::RunId,
    pub worker: String,
    pub path: scheduler::PlacementPath,
}

pub fn starts(decisions: &[scheduler::Decision]) -> Vec<StartDecision> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            scheduler::Decision::Start {
                run,
                worker,
                reason,
                ..
            } => Some(StartDecision {
                run: run.clone(),
                worker: worker.to_string(),
                path: reason.path,
            }),
            _ => None,
        })
        .collect()
}

/// A stop decision.
#[derive(Clone, Debug)]
pub struct StopDecision {
    pub run: task::RunId,
    pub checkpoint: bool,
    pub reason: scheduler::StopReason,
}

pub fn stops(decisions: &[scheduler::Decision]) -> Vec<StopDecision> {
    decisions
        .iter()
        .filter_map(|decision| match decision {
            scheduler::Decision::Stop {
                run,
                checkpoint,
                reason,
                ..
            } => Some(StopDecision {
                run: run.clone(),
                checkpoint: *checkpoint,
                reason: *reason,
            }),
            _ => None,
        })
        .collect()
}

/// Runs decision rounds until the scheduler has no more decisions at this time.
pub fn decide_all(scheduler: &mut scheduler::Scheduler, now_ms: u64) -> Vec<scheduler::Decision> {
    let mut decisions = Vec::new();
    while scheduler.decide(time::TimeMs(now_ms), 64, &mut decisions) {}
    decisions
}

pub fn ended(run: &task::RunId, outcome: task::RunOutcome) -> scheduler::SchedulerEvent {
    scheduler::SchedulerEvent::RunEnded {
        run: run.clone(),
        outcome,
    }
}
