//! Demonstration of a whole cell in one process.
//!
//! Runs one of the users' deployments on loopback, submits a service, a batch job and a gang job,
//! sends requests as callers do, kills the leader of a pool meanwhile, and prints a table of the
//! counters. The exit code is a failure if a worker counted a breach.

use std::process;
use std::time::Duration;

use argh::FromArgs;
use mangotrestle_core::id;
use mangotrestle_core::job;
use mangotrestle_core::resources;
use mangotrestle_core::time;
use mangotrestle_operator::client;
use mangotrestle_operator::message;
use mangotrestle_platform::table::wire;
use tokio::time::Instant;

use crate::cell;
use crate::load;
use crate::profile;

/// Timeout for one step of the demonstration.
const STEP_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval between two polls of the cell's state.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Number of callers that send requests concurrently.
const CALLER_COUNT: usize = 8;

/// Runs a whole cell with its workers, jobs and callers in one process.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoArguments {
    /// deployment: authority or laboratory (default: authority)
    #[argh(option, default = "String::from(\"authority\")")]
    pub profile: String,
    /// seed of all random numbers (default: 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// write the entry hosts' log to stderr
    #[argh(switch)]
    pub verbose: bool,
}

/// Runs the demonstration.
#[must_use]
pub fn run(arguments: &DemoArguments) -> process::ExitCode {
    let Some(profile) = profile::Profile::by_name(&arguments.profile) else {
        eprintln!(
            "unknown profile {:?}: expected authority or laboratory",
            arguments.profile
        );
        return process::ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let (log, _guard) = cell::logger(arguments.verbose);
    let builder = cell::Cell::builder(profile).seed(arguments.seed).log(log);
    match runtime.block_on(run_demo(profile, builder)) {
        Ok(0) => process::ExitCode::SUCCESS,
        Ok(breaches) => {
            eprintln!("{breaches} breaches");
            process::ExitCode::FAILURE
        }
        Err(problem) => {
            eprintln!("the demonstration failed: {problem}");
            process::ExitCode::FAILURE
        }
    }
}

/// Runs all steps of the demonstration and returns the number of breaches.
async fn run_demo(profile: &profile::Profile, builder: cell::CellBuilder) -> Result<u64, String> {
    let started_at = Instant::now();
    println!("{}: starting the cell", profile.title);
    let mut cell = builder.start().await?;
    let mut operator = cell.operator().map_err(|error| error.to_string())?;
    let pools = pool_ids(profile);
    wait_for_leaders(&mut operator, &pools).await?;
    println!(
        "{:>6} ms  every pool is led",
        started_at.elapsed().as_millis()
    );

    let service = submit(&mut operator, service_job(&pools[0])).await?;
    let batch = submit(&mut operator, batch_job(&pools[0])).await?;
    let gang = submit(&mut operator, gang_job(&pools[0])).await?;
    wait_for_running(&mut operator, &service, 4).await?;
    println!(
        "{:>6} ms  the service runs",
        started_at.elapsed().as_millis()
    );

    let targets: Vec<_> = cell
        .entry_hosts
        .iter()
        .map(|host| host.addresses.callers)
        .collect();
    // The entry hosts receive their shares of the targets one interval after another.
    if let Some(entry_host) = load::find_unserving(&targets, &service).await {
        return Err(format!(
            "the entry host at {entry_host} answered no request"
        ));
    }
    println!(
        "{:>6} ms  every entry host serves callers",
        started_at.elapsed().as_millis()
    );
    let callers = tokio::spawn(
        load::Load::new(targets, &service)
            .callers(CALLER_COUNT)
            .run_for(Duration::from_secs(6)),
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let leader = leader_index(&mut operator, &cell, &pools[0]).await?;
    if let Some(name) = cell.kill_entry_host(leader) {
        println!(
            "{:>6} ms  ended {name}, which led {}",
            started_at.elapsed().as_millis(),
            pools[0]
        );
    }
    let mut operator = cell.operator().map_err(|error| error.to_string())?;
    let gang = wait_for_end(&mut operator, &gang).await?;
    println!(
        "{:>6} ms  the gang job is {}",
        started_at.elapsed().as_millis(),
        gang.state
    );
    let batch = wait_for_end(&mut operator, &batch).await?;
    println!(
        "{:>6} ms  the batch run is {}",
        started_at.elapsed().as_millis(),
        batch.state
    );
    let counts = callers.await.map_err(|error| error.to_string())?;
    let breaches = cell.workers.breaches();

    println!("\n{counts}");
    println!(
        "table transactions         {:>10}",
        cell.platform.table.service().transactions()
    );
    println!(
        "table writes, peak in 1 s  {:>10}",
        cell.platform.table.faults().peak_per_s(wire::TRANSACT_PATH)
    );
    println!("breaches                   {:>10}", breaches.total());
    if breaches.total() > 0 {
        println!("{breaches:?}");
    }
    cell.stop().await?;
    Ok(breaches.total())
}

fn pool_ids(profile: &profile::Profile) -> Vec<id::PoolId> {
    let zones = profile.availability_zones.iter();
    zones
        .map(|zone| id::PoolId::new(zone).expect("names in profiles are valid identifiers"))
        .collect()
}

async fn wait_for_leaders(
    operator: &mut client::OperatorClient,
    pools: &[id::PoolId],
) -> Result<(), String> {
    poll_until("every pool has a leader", async || {
        let status = operator.get_status(None).await.ok()?;
        let has_leader = |pool: &id::PoolId| {
            status
                .pools
                .iter()
                .any(|status| status.pool == *pool && status.leader.is_some())
        };
        pools.iter().all(has_leader).then_some(())
    })
    .await
}

async fn submit(
    operator: &mut client::OperatorClient,
    spec: job::JobSpec,
) -> Result<id::JobId, String> {
    let job = spec.id.clone();
    let command = message::Command {
        id: id::CommandId::new(&format!("demo-{job}")).map_err(|error| error.to_string())?,
        operator: "demo".to_owned(),
        based_on: None,
    };
    let outcome = operator
        .submit_job(&command, &spec)
        .await
        .map_err(|error| error.to_string())?;
    println!("           submitted {job}: {}", outcome.code);
    Ok(job)
}

async fn wait_for_running(
    operator: &mut client::OperatorClient,
    job: &id::JobId,
    tasks: u32,
) -> Result<(), String> {
    poll_until("the service runs", async || {
        let detail = operator.get_job(job).await.ok()?;
        (detail.summary.running >= tasks).then_some(())
    })
    .await
}

async fn wait_for_end(
    operator: &mut client::OperatorClient,
    job: &id::JobId,
) -> Result<message::JobSummary, String> {
    poll_until("the job ends", async || {
        let detail = operator.get_job(job).await.ok()?;
        detail.summary.state.is_settled().then_some(detail.summary)
    })
    .await
}

/// Index in `cell.entry_hosts` of the entry host that leads a pool.
async fn leader_index(
    operator: &mut client::OperatorClient,
    cell: &cell::Cell,
    pool: &id::PoolId,
) -> Result<usize, String> {
    let status = operator
        .get_status(None)
        .await
        .map_err(|error| error.to_string())?;
    let pool_status = status.pools.iter().find(|status| status.pool == *pool);
    let leader = pool_status
        .and_then(|status| status.leader.as_ref())
        .ok_or("the pool has no leader")?;
    let index = cell
        .entry_hosts
        .iter()
        .position(|host| host.id == leader.as_str());
    index.ok_or_else(|| "the leader is not an entry host of the cell".to_owned())
}

/// Polls until `poll` returns a value. `condition` describes what is awaited, for the error.
async fn poll_until<T>(
    condition: &str,
    mut poll: impl AsyncFnMut() -> Option<T>,
) -> Result<T, String> {
    let deadline = Instant::now() + STEP_TIMEOUT;
    while Instant::now() < deadline {
        if let Some(value) = poll().await {
            return Ok(value);
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Err(format!("timed out waiting until {condition}"))
}

fn job_spec(id: &str, pool: &id::PoolId, kind: job::JobKind, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        id: id::JobId::new(id).expect("names in the demonstration are valid identifiers"),
        team: id::TeamId::new("demo").expect("names in the demonstration are valid identifiers"),
        pool: pool.clone(),
        kind,
        urgency: job::Urgency::Normal,
        tasks,
        need: resources::Resources {
            cpu_millicores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
            slots: 1,
        },
        run_time_ms: None,
        idempotent: true,
        preemptible: false,
        lost_worker: job::LostWorkerPolicy::RestartAfterLapse,
    }
}

fn service_job(pool: &id::PoolId) -> job::JobSpec {
    job_spec("booking", pool, job::JobKind::Service, 4)
}

fn batch_job(pool: &id::PoolId) -> job::JobSpec {
    let mut spec = job_spec("certificates", pool, job::JobKind::Batch, 40);
    spec.run_time_ms = Some(time::SpanMs(2_000));
    spec
}

fn gang_job(pool: &id::PoolId) -> job::JobSpec {
    let mut spec = job_spec("image-training", pool, job::JobKind::Gang, 4);
    spec.need.accelerators = 2;
    spec.run_time_ms = Some(time::SpanMs(8_000));
    spec
}
