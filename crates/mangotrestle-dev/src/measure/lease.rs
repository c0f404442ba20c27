//! Measurement of the cost of lease renewals, by number of workers and running tasks.
//!
//! The cost in the core is measured without I/O, with a leadership and its workers' grantors in
//! virtual time. The whole path is measured with the gRPC client and one stand-in worker on
//! loopback, where the processor time is that of client and server together.

use std::collections::BTreeMap;
use std::fs;
use std::time::Instant;

use mangotrestle_core::id;
use mangotrestle_core::lease::grantor;
use mangotrestle_core::lease::leadership;
use mangotrestle_core::lease::leadership::{LeadershipCommand, LeadershipEvent};
use mangotrestle_core::lease::message;
use mangotrestle_core::lease::roster;
use mangotrestle_core::resources;
use mangotrestle_core::task;
use mangotrestle_core::time;
use mangotrestle_worker::client;
use mangotrestle_worker::size;

use super::report;
use crate::stand_in::worker;

/// Number of workers of one pool at the planned size.
const POOL_WORKERS: u32 = 1_900;
const SMALL_POOL_WORKERS: u32 = 475;
/// Virtual time during which renewals are counted.
const CORE_DURATION: time::SpanMs = time::SpanMs::from_secs(60);
/// Number of running tasks of a busy worker.
const TASKS_PER_WORKER: u32 = 8;
/// Number of renewals sent over gRPC for each measurement.
const RENEWAL_CALLS: u32 = 3_000;
/// Kernel ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Resources that one task needs.
const TASK_NEED: resources::Resources = resources::Resources {
    cpu_millicores: 1_000,
    memory_mib: 1_024,
    accelerators: 0,
    slots: 1,
};

/// Runs the experiment.
///
/// # Panics
///
/// If a stand-in cannot be started on loopback.
#[must_use]
pub fn run(seed: u64) -> report::Report {
    let mut figures = size_figures();
    let small = measure_core(SMALL_POOL_WORKERS, seed);
    let large = measure_core(POOL_WORKERS, seed);
    figures.push(figure(
        "core: renewal, 475 workers",
        small.ns_per_renewal(),
        "ns",
    ));
    figures.push(figure(
        "core: renewal, 1900 workers",
        large.ns_per_renewal(),
        "ns",
    ));
    let renewals_per_s = large.renewals_per_s();
    figures.push(figure(
        "core: renewals, 1900 workers",
        renewals_per_s,
        "1/s",
    ));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime can be built");
    let idle = runtime.block_on(measure_calls(0));
    let busy = runtime.block_on(measure_calls(TASKS_PER_WORKER));
    figures.extend(call_figures(&idle, &busy));
    report::Report {
        experiment: "lease".to_owned(),
        seed,
        figures,
        plots: Vec::new(),
    }
}

fn figure(name: &str, value: f64, unit: &str) -> report::Figure {
    report::Figure::new(name, value, unit)
}

fn size_figures() -> Vec<report::Figure> {
    let request = size::renew_request_bytes(&renew_request());
    let idle = size::renew_answer_bytes(&renew_granted(0));
    let busy = size::renew_answer_bytes(&renew_granted(TASKS_PER_WORKER));
    let slope = (to_f64(busy) - to_f64(idle)) / f64::from(TASKS_PER_WORKER);
    vec![
        figure("renewal request, encoded", to_f64(request), "B"),
        figure("renewal answer, encoded, no task", to_f64(idle), "B"),
        figure("renewal answer, for each running task", slope, "B"),
    ]
}

fn call_figures(idle: &CallCost, busy: &CallCost) -> Vec<report::Figure> {
    let slope = (busy.cpu_us - idle.cpu_us) / f64::from(TASKS_PER_WORKER);
    vec![
        figure("gRPC: renewal, median", idle.median_us, "us"),
        figure("gRPC: renewal, p99", idle.p99_us, "us"),
        figure("gRPC: renewal, processor, both sides", idle.cpu_us, "us"),
        figure(
            "gRPC: processor for each running task, both sides",
            slope,
            "us",
        ),
    ]
}

/// Cost of renewals in the core.
struct CoreCost {
    renewals: u32,
    leader_ns: f64,
}

impl CoreCost {
    fn ns_per_renewal(&self) -> f64 {
        self.leader_ns / f64::from(self.renewals.max(1))
    }

    fn renewals_per_s(&self) -> f64 {
        f64::from(self.renewals) / CORE_DURATION.as_duration().as_secs_f64()
    }
}

/// A leader and all its workers in one thread, with a virtual clock.
struct Pool {
    leader: leadership::Leadership,
    workers: BTreeMap<id::WorkerId, grantor::Grantor>,
    now: time::TimeMs,
    renewals: u32,
    /// Time spent in the leader, without the workers.
    leader_ns: f64,
}

impl Pool {
    fn new(workers: u32, seed: u64) -> Self {
        let config = leadership::LeadershipConfig::builder().build();
        let identity = leadership::Identity {
            pool: id::PoolId::new("pool").expect("valid"),
            entry_host: id::EntryHostId::new("entry-1").expect("valid"),
            incarnation: id::Incarnation(1),
        };
        let config = config.expect("defaults are valid");
        Self {
            leader: leadership::Leadership::new(config, identity, seed),
            workers: (0..workers).map(new_worker).collect(),
            now: time::TimeMs(0),
            renewals: 0,
            leader_ns: 0.0,
        }
    }

    fn handle_event(&mut self, event: LeadershipEvent) {
        let started = Instant::now();
        let commands = self.leader.handle(self.now, event);
        self.leader_ns += started.elapsed().as_secs_f64() * 1e9;
        for command in commands {
            if let Some(answer) = self.answer_command(command) {
                self.handle_event(answer);
            }
        }
    }

    fn answer_command(&mut self, command: LeadershipCommand) -> Option<LeadershipEvent> {
        let sent_at = self.now;
        let worker_now = time::WorkerTimeMs(self.now.0);
        match command {
            LeadershipCommand::LoadRoster => {
                let roster = Some(self.roster());
                Some(LeadershipEvent::RosterLoaded(roster))
            }
            LeadershipCommand::Claim { worker, request } => {
                let result = self.workers.get_mut(&worker)?.claim(worker_now, &request);
                Some(LeadershipEvent::ClaimAnswered {
                    worker,
                    sent_at,
                    result,
                })
            }
            LeadershipCommand::Renew { worker, request } => {
                self.renewals += 1;
                let result = self.workers.get_mut(&worker)?.renew(worker_now, &request);
                Some(LeadershipEvent::RenewAnswered {
                    worker,
                    sent_at,
                    result,
                })
            }
            LeadershipCommand::CommitRoster { .. } | LeadershipCommand::Notify(_) => None,
        }
    }

    fn roster(&self) -> roster::Roster {
        let members = self.workers.keys().map(|worker| roster::Member {
            worker: worker.clone(),
            incarnation: id::Incarnation(1),
        });
        roster::Roster {
            version: message::RosterVersion(1),
            members: members.collect(),
            former: std::collections::BTreeSet::new(),
        }
    }
}

fn measure_core(workers: u32, seed: u64) -> CoreCost {
    let mut pool = Pool::new(workers, seed);
    pool.handle_event(LeadershipEvent::Preferred(true));
    pool.renewals = 0;
    pool.leader_ns = 0.0;
    while pool.now < time::TimeMs(0) + CORE_DURATION {
        let next = pool.leader.next_wake().unwrap_or(pool.now);
        pool.now = next.max(pool.now + time::SpanMs(1));
        pool.handle_event(LeadershipEvent::Tick);
    }
    CoreCost {
        renewals: pool.renewals,
        leader_ns: pool.leader_ns,
    }
}

fn new_worker(index: u32) -> (id::WorkerId, grantor::Grantor) {
    let worker = id::WorkerId::new(&format!("worker-{index}")).expect("valid");
    let rack = id::RackId::new("rack").expect("valid");
    let config =
        grantor::GrantorConfig::new(id::Incarnation(1), TASK_NEED.times(TASKS_PER_WORKER), rack);
    (worker, grantor::Grantor::new(config))
}

// Field names end in their unit, which is the same for all of them.
#[allow(clippy::struct_field_names)]
/// Cost of one renewal over gRPC. `cpu_us` is the mean processor time of client and server
/// together.
struct CallCost {
    median_us: f64,
    p99_us: f64,
    cpu_us: f64,
}

async fn measure_calls(tasks: u32) -> CallCost {
    let builder =
        worker::WorkerFleet::builder().workers("worker", 1, TASK_NEED.times(TASKS_PER_WORKER));
    let fleet = builder.start().await.expect("loopback ports are free");
    let worker_id = id::WorkerId::new("worker-0").expect("valid");
    let address = fleet
        .lease_address(&worker_id)
        .expect("it was just started");
    let client = client::WorkerClient::new(address, &client::ClientOptions::default());
    let granted = claim(&client).await;
    start(&client, &granted, tasks).await;
    let mut request = renew_request();
    request.worker_incarnation = granted.worker_incarnation;
    request.epoch = granted.epoch;
    request.lease_expires_ms = granted.lease_expires_ms;
    let mut durations_ns = hdrhistogram::Histogram::<u64>::new(3).expect("valid precision");
    let before_us = processor_us();
    for _ in 0..RENEWAL_CALLS {
        let started = Instant::now();
        request.lease_expires_ms = request.lease_expires_ms + time::SpanMs(1);
        client.renew(&request).await.expect("the lease is held");
        let elapsed_ns = u64::try_from(started.elapsed().as_nanos()).unwrap_or(u64::MAX);
        durations_ns
            .record(elapsed_ns)
            .expect("the histogram grows");
    }
    CallCost {
        median_us: to_f64(durations_ns.value_at_quantile(0.5)) / 1e3,
        p99_us: to_f64(durations_ns.value_at_quantile(0.99)) / 1e3,
        cpu_us: (processor_us() - before_us) / f64::from(RENEWAL_CALLS),
    }
}

async fn claim(client: &client::WorkerClient) -> message::ClaimGranted {
    let request = message::ClaimRequest {
        pool: id::PoolId::new("pool").expect("valid"),
        leader: id::EntryHostId::new("entry-1").expect("valid"),
        leader_incarnation: id::Incarnation(1),
        roster_version: message::RosterVersion(1),
    };
    client.claim(&request).await.expect("the worker is up")
}

async fn start(client: &client::WorkerClient, granted: &message::ClaimGranted, tasks: u32) {
    let runs = (0..tasks).map(|index| message::StartRun {
        run: run_id(index),
        need: TASK_NEED,
        run_time_ms: None,
        idempotent: true,
    });
    let request = message::StartRequest {
        worker_incarnation: granted.worker_incarnation,
        epoch: granted.epoch,
        start_before_ms: granted.worker_time_ms + time::SpanMs::from_secs(5),
        runs: runs.collect(),
    };
    client.start(&request).await.expect("the lease is held");
}

fn renew_request() -> message::RenewRequest {
    message::RenewRequest {
        worker_incarnation: id::Incarnation(3),
        epoch: message::Epoch(1_000),
        roster_version: message::RosterVersion(100_000),
        lease_expires_ms: time::WorkerTimeMs(10_000_000_000),
        acknowledged: Vec::new(),
    }
}

fn renew_granted(tasks: u32) -> message::RenewGranted {
    let usage = (0..tasks).map(|index| message::TaskUsage {
        run: run_id(index),
        used: TASK_NEED,
    });
    message::RenewGranted {
        worker_time_ms: time::WorkerTimeMs(10_000_000_000),
        ended: Vec::new(),
        usage: usage.collect(),
        leaving: false,
    }
}

fn run_id(index: u32) -> task::RunId {
    let job = id::JobId::new("plate-recognition-piraeus-1").expect("valid");
    task::RunId {
        task: task::TaskId { job, index },
        attempt: 1,
    }
}

/// Returns the processor time that this process used so far, or zero if it cannot be read.
fn processor_us() -> f64 {
    let text = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = text.rsplit(')').next().unwrap_or_default();
    // User and system time are the 12th and 13th fields after the name.
    let fields = after_name.split_whitespace().skip(11).take(2);
    let ticks: f64 = fields.filter_map(|field| field.parse::<f64>().ok()).sum();
    ticks / TICKS_PER_S * 1e6
}

// Sizes and durations are far below 2^52, so the conversion is exact.
#[allow(clippy::cast_precision_loss)]
fn to_f64<T: TryInto<u64>>(value: T) -> f64 {
    value.try_into().unwrap_or(u64::MAX) as f64
}
