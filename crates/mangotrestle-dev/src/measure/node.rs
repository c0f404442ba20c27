//! Standing cost of one entry host: a real `mangotrestle serve` process that leads a pool.
//!
//! The process runs against stand-ins in this one and has nothing to do but to keep its leases,
//! its heartbeats and its configuration up to date. Its processor time and resident memory come
//! from the system's accounts of the process. Bytes are those that crossed the loopback interface,
//! so nothing else should use that interface meanwhile.

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

/// Numbers of workers of the led pool. The first is an availability zone of today.
const WORKERS: [u32; 4] = [12, 100, 300, 600];
/// Time for which each size is observed.
const OBSERVED: Duration = Duration::from_secs(10);
/// Time after the pool is led before the observation begins.
const SETTLE: Duration = Duration::from_secs(3);
/// Longest wait for the pool to be led.
const LEAD_BOUND: Duration = Duration::from_secs(20);
/// Ticks of the system's processor accounts in a second.
const TICKS_PER_S: f64 = 100.0;
/// Size of a page of memory.
const PAGE_BYTES: f64 = 4_096.0;
/// Bytes in a megabyte, as the target counts it.
const MB: f64 = 1e6;
/// Greatest share of a core that control may use.
const CPU_TARGET_PERCENT: f64 = 3.5;
/// Greatest resident memory of control.
const MEMORY_TARGET_MB: f64 = 32.0;
/// Greatest traffic of control.
const TRAFFIC_TARGET_KB_PER_S: f64 = 9.0;

/// What one size cost.
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
/// If the `mangotrestle` binary is not beside this one, or a process or port cannot be had.
pub fn run(seed: u64) -> Result<Report, String> {
    let runtime = tokio::runtime::Runtime::new().map_err(|error| error.to_string())?;
    let mut costs = Vec::new();
    for workers in WORKERS {
        costs.push(runtime.block_on(observe(workers, seed))?);
    }
    Ok(report(seed, &costs))
}

async fn observe(workers: u32, seed: u64) -> Result<Cost, String> {
    let platform = cell::Platform::start()
        .await
        .map_err(|error| error.to_string())?;
    let fleet = start_workers(&platform, workers).await?;
    let node = start_node(&platform, seed)?;
    wait_until_led(&node, workers).await?;
    tokio::time::sleep(SETTLE).await;
    let before = Accounts::read(node.id())?;
    tokio::time::sleep(OBSERVED).await;
    let after = Accounts::read(node.id())?;
    drop(fleet);
    let seconds = OBSERVED.as_secs_f64();
    Ok(Cost {
        workers: f64::from(workers),
        cpu_percent: (after.cpu_s - before.cpu_s) / seconds * 100.0,
        memory_mb: after.memory_bytes / MB,
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
            .ok_or("a worker has no address")?;
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

async fn wait_until_led(node: &process::EntryProcess, workers: u32) -> Result<(), String> {
    let deadline = Instant::now() + LEAD_BOUND;
    let mut operator = client::OperatorClient::builder()
        .endpoint(node.addresses().operators)
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
    Err(format!("a pool of {workers} workers was not led in time"))
}

struct Accounts {
    cpu_s: f64,
    memory_bytes: f64,
    loopback_bytes: f64,
}

/// Starts the measured process.
fn start_node(platform: &cell::Platform, seed: u64) -> Result<process::EntryProcess, String> {
    process::EntryProcess::builder("node-1", "measured", platform)
        .option("--log-level", "info")
        .option("--seed", &seed.max(1).to_string())
        .start(&binary()?)
}

impl Accounts {
    /// Reads the system's accounts of a process.
    fn read(id: u32) -> Result<Self, String> {
        let process = path::PathBuf::from(format!("/proc/{id}"));
        let stat = read(&process.join("stat"))?;
        // The second field is the command's name in brackets and may hold spaces.
        let fields: Vec<&str> = stat
            .rsplit(')')
            .next()
            .unwrap_or("")
            .split_whitespace()
            .collect();
        let ticks = number(fields.get(11))? + number(fields.get(12))?;
        let statm = read(&process.join("statm"))?;
        let pages = number(statm.split_whitespace().nth(1).as_ref())?;
        Ok(Self {
            cpu_s: ticks / TICKS_PER_S,
            memory_bytes: pages * PAGE_BYTES,
            loopback_bytes: loopback_bytes()?,
        })
    }
}

/// The shipped binary, which is built beside this program.
fn binary() -> Result<path::PathBuf, String> {
    let own = std::env::current_exe().map_err(|error| error.to_string())?;
    let binary = own.with_file_name("mangotrestle");
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
    number(received.as_ref())
}

fn read(path: &path::Path) -> Result<String, String> {
    fs::read_to_string(path).map_err(|error| format!("{}: {error}", path.display()))
}

fn number(text: Option<&&str>) -> Result<f64, String> {
    let text = text.ok_or("a field is missing in the system's accounts")?;
    text.parse().map_err(|_| format!("{text:?} is no number"))
}

fn report(seed: u64, costs: &[Cost]) -> Report {
    let mut figures = Vec::new();
    for cost in costs {
        let today = cost.workers <= f64::from(WORKERS[0]);
        let figure = |what: &str, value: f64, unit: &str, target: f64| {
            let figure = Figure::new(&format!("{what}, {} workers", cost.workers), value, unit);
            if today {
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

/// Growth for each further worker, between the smallest and the greatest size.
fn slopes(costs: &[Cost]) -> Vec<Figure> {
    let (Some(first), Some(last)) = (costs.first(), costs.last()) else {
        return Vec::new();
    };
    let workers = last.workers - first.workers;
    let slope = |read: fn(&Cost) -> f64| (read(last) - read(first)) / workers;
    vec![
        Figure::new(
            "processor for a worker",
            slope(|c| c.cpu_percent),
            "% of a core",
        ),
        Figure::new("memory for a worker", slope(|c| c.memory_mb) * 1e3, "KB"),
        Figure::new(
            "traffic for a worker",
            slope(|c| c.traffic_kb_per_s) * 1e3,
            "B/s",
        ),
    ]
}

fn plot(title: &str, y_label: &str, costs: &[Cost], read: fn(&Cost) -> f64) -> Plot {
    let point = |cost: &Cost| Point {
        x: cost.workers,
        y: read(cost),
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
