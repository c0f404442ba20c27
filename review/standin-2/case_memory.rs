//! Large jobs come at once. A host that exceeds its memory is killed and started again, as the platform
//! does.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::json::{Value, table};
use crate::platform::{self, Host, Platform};
use crate::record::Record;
use crate::worker::{Runs, Shape, Worker};

/// Memory of a host, in megabytes; that of the settings.
const MEMORY_MB: u64 = 260;
/// Time after which a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(500);
/// Time for which the hosts are watched after the large jobs were sent.
const WATCHED: Duration = Duration::from_secs(70);
const LARGE_JOBS: u64 = 16;
/// Steps of a large job, and tasks of each.
const STEPS: u64 = 64;
const TASKS: u64 = 1_000;
/// Ends of one host's process, and hosts with so many, from which the rule is broken.
const MAX_ENDS: u64 = 3;
const MAX_HOSTS: usize = 2;

/// A host and the number of times that its process ended.
struct Watched {
    host: Host,
    ends: u64,
    peak_mb: u64,
}

pub fn run(record: &Record, with_trouble: bool) -> Result<Option<String>, String> {
    let runs = Runs::default();
    let shapes = (0..8).map(|number| Shape {
        id: format!("i-{number:010}"),
        rack: "r1-1",
        cpu: 64_000,
        mem_mb: 131_072,
        work: Duration::from_millis(300),
        lasting: None,
    });
    let workers = shapes.map(|shape| Worker::start(shape, &runs, record));
    let workers = workers.collect::<Result<Vec<Worker>, String>>()?;
    let (_store, store_at, cloud_at) = Platform::start(record, workers, Platform::route())?;
    let hosts = platform::start_hosts(record, 3, store_at, cloud_at)?;
    let first = "00000000000000ff";
    if !platform::submit(record, &hosts, first, &job(1, 1)) {
        return Err("the first job was not accepted".to_owned());
    }
    let is_completed = || platform::is_completed(record, &hosts, first);
    platform::wait_until(Duration::from_secs(40), is_completed)
        .ok_or("the first job does not complete")?;
    let fronts: Vec<_> = hosts
        .iter()
        .map(|host| (host.name.clone(), host.front))
        .collect();
    let watched = hosts.into_iter().map(|host| Watched {
        host,
        ends: 0,
        peak_mb: 0,
    });
    let watched = Arc::new(Mutex::new(watched.collect::<Vec<_>>()));
    let (shared, log) = (Arc::clone(&watched), record.clone());
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(Duration::from_millis(20));
            watch(&log, &mut shared.lock().unwrap());
        }
    });
    let (steps, tasks) = if with_trouble { (STEPS, TASKS) } else { (1, 6) };
    let body = job(steps, tasks);
    let mut accepted = 0;
    for number in 1..=LARGE_JOBS {
        let id = format!("{number:016x}");
        accepted += u64::from(platform::submit_to(record, &fronts, &id, &body));
    }
    record.line(
        "script",
        &format!("{accepted} of {LARGE_JOBS} large jobs were accepted"),
    );
    let began = Instant::now();
    let is_broken = || {
        let watched = watched.lock().unwrap();
        watched.iter().filter(|host| host.ends >= MAX_ENDS).count() >= MAX_HOSTS
    };
    while began.elapsed() < WATCHED && !is_broken() {
        std::thread::sleep(Duration::from_millis(100));
    }
    let mut ends = Vec::new();
    for host in watched.lock().unwrap().iter() {
        let what = format!(
            "{}: {} ends, at most {} MB",
            host.host.name, host.ends, host.peak_mb
        );
        record.line("judge", &what);
        ends.push(host.ends);
    }
    Ok(is_broken().then(|| format!("Fault: processes end by themselves, {ends:?} times")))
}

/// Kills hosts that exceed their memory, and starts again those that have ended.
fn watch(record: &Record, hosts: &mut [Watched]) {
    for watched in hosts {
        let child = watched.host.child;
        let mb = resident_mb(record.process(child));
        watched.peak_mb = watched.peak_mb.max(mb);
        if mb > MEMORY_MB {
            let what = format!("{} exceeds its memory with {mb} MB", watched.host.name);
            record.line("platform", &what);
            record.kill_child(child);
        }
        if record.has_ended(child) {
            watched.ends += 1;
            std::thread::sleep(RESTART_DELAY);
            if let Err(reason) = watched.host.restart(record) {
                record.line("script", &reason);
            }
        }
    }
}

/// Returns the memory that a process of this script has in use.
fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        / 1_024
}

fn job(steps: u64, tasks: u64) -> Value {
    let step = table([
        ("count", tasks.into()),
        ("cpu", 100_u64.into()),
        ("mem_mb", 16_u64.into()),
        ("estimate_ms", 300_u64.into()),
    ]);
    let steps = vec![step; steps as usize];
    table([("spec", "review".into()), ("steps", steps.into())])
}
