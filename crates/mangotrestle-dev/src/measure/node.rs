//! Measurement of the resources that an idle entry host uses: a real `mangotrestle serve` process
//! that leads a pool.
//!
//! The process runs against stand-ins in this process. It only renews leases, sends heartbeats and
//! polls its configuration. Its processor time and resident memory are read from `/proc`. Traffic
//! is all bytes on the loopback interface, so nothing else should use that interface meanwhile.

use std::fs;
use std::path;
use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::resources;
use mangotrestle_operator::client;
use mangotrestle_platform::host_list;
use tokio::time::Instant;

use super::report::{Curve, Figure, Plot, Point, Report, Target};
use crate::cell;
use crate::process;
use crate::stand_in::worker;

/// Numbers of workers of the pool. The first is that of an availability zone today; only its
/// figures have targets.
const WORKER_COUNTS: [u32; 4] = [12, 100, 300, 600];
/// Duration of the measurement for each number of workers.
const MEASUREMENT_TIME: Duration = Duration::from_secs(10);
/// Time between the pool getting a leader and the start of the measurement.
const SETTLE_TIME: Duration = Duration::from_secs(3);
/// Timeout for the pool to get a leader that holds the leases of all workers.
const LEADERSHIP_TIMEOUT: Duration = Duration::from_secs(20);
/// Kernel ticks per second, the unit of processor times in `/proc`.
const TICKS_PER_S: f64 = 100.0;
/// Page size; the kernel reports memory in pages.
const PAGE_BYTES: f64 = 4_096.0;
/// Bytes in a megabyte, the unit of the memory target.
const BYTES_PER_MB: f64 = 1e6;
/// Target maximum of the processor time, as a percentage of one core.
const CPU_TARGET_PERCENT: f64 = 3.5;
/// Target maximum of the resident memory.
const MEMORY_TARGET_MB: f64 = 32.0;
/// Target maximum of the traffic.
const TRAFFIC_TARGET_KB_PER_S: f64 = 9.0;

/// Resources used with one number of workers.
#[derive(Clone, Copy, Debug)]
struct Cost {
    workers: f64,
    cpu_percent: f64,
    memory_mb: f64,
    traffic_kb_per_s: f64,
}

/// Runs the experiment.
///
/// # Errors
///
/// If the `mangotrestle` binary is not in the directory of this one, a process cannot be started, a
/// port cannot be opened, or the pool gets no leader in time.
pub fn run(seed: u64) -> Result<Report, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let mut costs = Vec::new();
    for workers in WORKER_COUNTS {
        costs.push(runtime.block_on(measure(workers, seed))?);
    }
    Ok(report(seed, &costs))
}

async fn measure(workers: u32, seed: u64) -> Result<Cost, String> {
    let platform = cell::Platform::start()
        .await
        .map_err(|error| error.to_string())?;
    let fleet = start_workers(&platform, workers).await?;
    let entry_host = start_entry_host(&platform, seed)?;
    wait_for_leadership(&entry_host, workers).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = ProcessUsage::read(entry_host.id())?;
    tokio::time::sleep(MEASUREMENT_TIME).await;
    let after = ProcessUsage::read(entry_host.id())?;
    drop(fleet);
    let seconds = MEASUREMENT_TIME.as_secs_f64();
    Ok(Cost {
        workers: f64::from(workers),
        cpu_percent: (after.cpu_s - before.cpu_s) / seconds * 100.0,
        memory_mb: after.memory_bytes / BYTES_PER_MB,
        traffic_kb_per_s: (after.loopback_bytes - before.loopback_bytes) / seconds / 1e3,
    })
}

async fn start_workers(
    platform: &cell::Platform,
    count: u32,
) -> Result<worker::WorkerFleet, String> {
    let capacity = resources::Resources {
        cpu_millicores: 16_000,
        memory_mib: 65_536,
        accelerators: 0,
        slots: 8,
    };
    let term = mangotrestle_core::time::SpanMs::from_secs(10);
    let builder = worker::WorkerFleet::builder()
        .term(term)
        .workers("w", count, capacity);
    let fleet = builder.start().await.map_err(|error| error.to_string())?;
    for worker in fleet.worker_ids() {
        let address = fleet
            .lease_address(worker)
            .ok_or("a worker has no lease address")?;
        platform.hosts.service().put(host_list::Host {
            id: worker.to_string(),
            role: host_list::Role::Worker,
            availability_zone: zone(),
            rack: id::RackId::new("rack").map_err(|error| error.to_string())?,
            address,
            state: host_list::HostState::Live,
        });
    }
    Ok(fleet)
}

fn zone() -> id::AvailabilityZoneId {
    id::AvailabilityZoneId::new("measured").expect("the text is a valid identifier")
}

async fn wait_for_leadership(
    entry_host: &process::EntryProcess,
    workers: u32,
) -> Result<(), String> {
    let deadline = Instant::now() + LEADERSHIP_TIMEOUT;
    let mut operator = client::OperatorClient::builder()
        .endpoint(entry_host.addresses().operators)
        .build()
        .map_err(|error| error.to_string())?;
    while Instant::now() < deadline {
        if let Ok(status) = operator.get_status(None).await
            && status.pools.iter().any(|pool| pool.held_workers == workers)
        {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    Err(format!(
        "no entry host led the pool and held the leases of all {workers} workers within the timeout"
    ))
}

struct ProcessUsage {
    cpu_s: f64,
    memory_bytes: f64,
    loopback_bytes: f64,
}

/// Starts the measured entry host process.
fn start_entry_host(platform: &cell::Platform, seed: u64) -> Result<process::EntryProcess, String> {
    process::EntryProcess::builder("node-1", "measured", platform)
        .option("--log-level", "info")
        .option("--seed", &seed.max(1).to_string())
        .start(&entry_host_binary()?)
}

impl ProcessUsage {
    /// Reads the resources that a process used so far.
    fn read(id: u32) -> Result<Self, String> {
        let process = path::PathBuf::from(format!("/proc/{id}"));
        let stat = read(&process.join("stat"))?;
        // The second field is the command's name in parentheses, which may contain spaces.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = parse_field(fields.get(11))? + parse_field(fields.get(12))?;
        let statm = read(&process.join("statm"))?;
        let pages = parse_field(statm.split_whitespace().nth(1).as_ref())?;
        Ok(Self {
            cpu_s: ticks / TICKS_PER_S,
            memory_bytes: pages * PAGE_BYTES,
            loopback_bytes: loopback_bytes()?,
        })
    }
}

/// Returns the path of the `mangotrestle` binary in the directory of this program.
fn entry_host_binary() -> Result<path::PathBuf, String> {
    let own_path = std::env::current_exe().map_err(|error| error.to_string())?;
    let binary = own_path.with_file_name("mangotrestle");
    if binary.exists() {
        return Ok(binary);
    }
    Err(format!(
        "{} is missing; build it with: cargo build --release",
        binary.display()
    ))
}

fn loopback_bytes() -> Result<f64, String> {
    let devices = read(path::Path::new("/proc/net/dev"))?;
    let line = devices
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    let received = line.and_then(|line| line.split_whitespace().next());
    parse_field(received.as_ref())
}

fn read(path: &path::Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn parse_field(text: Option<&&str>) -> Result<f64, String> {
    let text = text.ok_or("a field is missing in /proc")?;
    text.parse()
        .map_err(|_| format!("{text:?} in /proc is not a number"))
}

fn report(seed: u64, costs: &[Cost]) -> Report {
    let mut figures = Vec::new();
    for cost in costs {
        let has_targets = cost.workers <= f64::from(WORKER_COUNTS[0]);
        let figure = |what: &str, value: f64, unit: &str, target: f64| {
            let figure = Figure::new(&format!("{what}, {} workers", cost.workers), value, unit);
            if has_targets {
                figure.target(Target::AtMost(target))
            } else {
                figure
            }
        };
        figures.push(figure(
            "processor",
            cost.cpu_percent,
            "% of a core",
            CPU_TARGET_PERCENT,
        ));
        figures.push(figure(
            "resident memory",
            cost.memory_mb,
            "MB",
            MEMORY_TARGET_MB,
        ));
        figures.push(figure(
            "traffic",
            cost.traffic_kb_per_s,
            "KB/s",
            TRAFFIC_TARGET_KB_PER_S,
        ));
    }
    figures.extend(slopes(costs));
    Report {
        experiment: "node".to_owned(),
        seed,
        figures,
        plots: vec![
            plot("Processor time of a leader", "% of a core", costs, |cost| {
                cost.cpu_percent
            }),
            plot("Resident memory of a leader", "MB", costs, |cost| {
                cost.memory_mb
            }),
            plot("Traffic of a leader", "KB/s", costs, |cost| {
                cost.traffic_kb_per_s
            }),
        ],
    }
}

/// Returns the growth per worker between the smallest and the largest number of workers.
fn slopes(costs: &[Cost]) -> Vec<Figure> {
    let (Some(first), Some(last)) = (costs.first(), costs.last()) else {
        return Vec::new();
    };
    let workers = last.workers - first.workers;
    let slope = |metric: fn(&Cost) -> f64| (metric(last) - metric(first)) / workers;
    vec![
        Figure::new(
            "processor for a worker",
            slope(|cost| cost.cpu_percent),
            "% of a core",
        ),
        Figure::new(
            "memory for a worker",
            slope(|cost| cost.memory_mb) * 1e3,
            "KB",
        ),
        Figure::new(
            "traffic for a worker",
            slope(|cost| cost.traffic_kb_per_s) * 1e3,
            "B/s",
        ),
    ]
}

fn plot(title: &str, y_label: &str, costs: &[Cost], metric: fn(&Cost) -> f64) -> Plot {
    let point = |cost: &Cost| Point {
        x: cost.workers,
        y: metric(cost),
    };
    let points = costs.iter().map(point).collect();
    Plot {
        title: title.to_owned(),
        x_label: "workers of the led pool".to_owned(),
        y_label: y_label.to_owned(),
        curves: vec![Curve {
            name: "entry host".to_owned(),
            points,
        }],
    }
}
