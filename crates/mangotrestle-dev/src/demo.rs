//! Demonstration of the whole path in one process.
//!
//! Runs one of the users' deployments on loopback, submits a service, a batch run and a gang job,
//! sends callers' requests, ends an entry host in the middle, and finishes with a table of what was
//! measured. The exit code says whether any worker counted a breach.

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

/// Longest wait for one step of the demonstration.
const STEP_BOUND: Duration = Duration::from_secs(20);
/// Interval between two looks at the cell.
const LOOK_INTERVAL: Duration = Duration::from_millis(50);
/// Callers that send requests at the same time.
const CALLERS: usize = 8;

/// Runs a whole cell with its workers, jobs and callers in one process.
#[derive(FromArgs, Clone, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoArguments {
    /// deployment: authority or laboratory (default: authority)
    #[argh(option, default = "String::from(\"authority\")")]
    pub profile: String,
    /// seed of everything random (default: 1)
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
            "profile: {:?} given, expected authority or laboratory",
            arguments.profile
        );
        return process::ExitCode::from(2);
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return process::ExitCode::FAILURE;
        }
    };
    let (log, _guard) = cell::logger(arguments.verbose);
    let builder = cell::Cell::builder(profile).seed(arguments.seed).log(log);
    match runtime.block_on(show(profile, builder)) {
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

/// Shows the whole path; returns the number of breaches.
async fn show(profile: &profile::Profile, builder: cell::CellBuilder) -> Result<u64, String> {
    let began = Instant::now();
    println!("{}: starting the cell", profile.title);
    let mut cell = builder.start().await?;
    let mut operator = cell.operator().map_err(|error| error.to_string())?;
    let pools = pools_of(profile);
    wait_for_leaders(&mut operator, &pools).await?;
    println!("{:>6} ms  every pool is led", began.elapsed().as_millis());

    let service = submit(&mut operator, service_job(&pools[0])).await?;
    let batch = submit(&mut operator, batch_job(&pools[0])).await?;
    let gang = submit(&mut operator, gang_job(&pools[0])).await?;
    wait_for_running(&mut operator, &service, 4).await?;
    println!("{:>6} ms  the service runs", began.elapsed().as_millis());

    let targets: Vec<_> = cell
        .entry_hosts
        .iter()
        .map(|host| host.addresses.callers)
        .collect();
    // Shares of the targets reach the entry hosts one interval after the other.
    if let Some(unserved) = load::first_unserved(&targets, &service).await {
        return Err(format!("the entry host at {unserved} serves nobody"));
    }
    println!(
        "{:>6} ms  every entry host serves callers",
        began.elapsed().as_millis()
    );
    let callers = tokio::spawn(
        load::Load::new(targets, &service)
            .callers(CALLERS)
            .run_for(Duration::from_secs(6)),
    );
    tokio::time::sleep(Duration::from_secs(2)).await;
    let victim = leader_index(&mut operator, &cell, &pools[0]).await?;
    if let Some(name) = cell.kill_entry_host(victim) {
        println!(
            "{:>6} ms  ended {name}, which led {}",
            began.elapsed().as_millis(),
            pools[0]
        );
    }
    let mut operator = cell.operator().map_err(|error| error.to_string())?;
    let gang = wait_for_end(&mut operator, &gang).await?;
    println!(
        "{:>6} ms  the gang job is {}",
        began.elapsed().as_millis(),
        gang.state
    );
    let batch = wait_for_end(&mut operator, &batch).await?;
    println!(
        "{:>6} ms  the batch run is {}",
        began.elapsed().as_millis(),
        batch.state
    );
    let answers = callers.await.map_err(|error| error.to_string())?;
    let breaches = cell.workers.breaches();

    println!("\n{answers}");
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

fn pools_of(profile: &profile::Profile) -> Vec<id::PoolId> {
    let zones = profile.availability_zones.iter();
    zones
        .map(|zone| id::PoolId::new(zone).expect("names of profiles are identifiers"))
        .collect()
}

async fn wait_for_leaders(
    operator: &mut client::OperatorClient,
    pools: &[id::PoolId],
) -> Result<(), String> {
    until("every pool has a leader", async || {
        let status = operator.get_status(None).await.ok()?;
        let led = |pool: &id::PoolId| {
            status
                .pools
                .iter()
                .any(|status| status.pool == *pool && status.leader.is_some())
        };
        pools.iter().all(led).then_some(())
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
    until("the service runs", async || {
        let detail = operator.get_job(job).await.ok()?;
        (detail.summary.running >= tasks).then_some(())
    })
    .await
}

async fn wait_for_end(
    operator: &mut client::OperatorClient,
    job: &id::JobId,
) -> Result<message::JobSummary, String> {
    until("the job ends", async || {
        let detail = operator.get_job(job).await.ok()?;
        detail.summary.state.is_settled().then_some(detail.summary)
    })
    .await
}

/// Position of the entry host that leads a pool.
async fn leader_index(
    operator: &mut client::OperatorClient,
    cell: &cell::Cell,
    pool: &id::PoolId,
) -> Result<usize, String> {
    let status = operator
        .get_status(None)
        .await
        .map_err(|error| error.to_string())?;
    let led = status.pools.iter().find(|status| status.pool == *pool);
    let leader = led
        .and_then(|status| status.leader.as_ref())
        .ok_or("the pool has no leader")?;
    let position = cell
        .entry_hosts
        .iter()
        .position(|host| host.id == leader.as_str());
    position.ok_or_else(|| "the leader is no entry host of the cell".to_owned())
}

/// Asks again and again until there is an answer.
async fn until<T>(what: &str, mut ask: impl AsyncFnMut() -> Option<T>) -> Result<T, String> {
    let deadline = Instant::now() + STEP_BOUND;
    while Instant::now() < deadline {
        if let Some(answer) = ask().await {
            return Ok(answer);
        }
        tokio::time::sleep(LOOK_INTERVAL).await;
    }
    Err(format!("waited in vain: {what}"))
}

fn spec(id: &str, pool: &id::PoolId, kind: job::JobKind, tasks: u32) -> job::JobSpec {
    job::JobSpec {
        id: id::JobId::new(id).expect("names of the demonstration are identifiers"),
        team: id::TeamId::new("demo").expect("names of the demonstration are identifiers"),
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
    spec("booking", pool, job::JobKind::Service, 4)
}

fn batch_job(pool: &id::PoolId) -> job::JobSpec {
    let mut spec = spec("certificates", pool, job::JobKind::Batch, 40);
    spec.run_time_ms = Some(time::SpanMs(2_000));
    spec
}

fn gang_job(pool: &id::PoolId) -> job::JobSpec {
    let mut spec = spec("image-training", pool, job::JobKind::Gang, 4);
    spec.need.accelerators = 2;
    spec.run_time_ms = Some(time::SpanMs(8_000));
    spec
}
