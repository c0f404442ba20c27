//! The workers of one rack crash at the same moment, right after one of them has started a task.

use std::time::Duration;

use crate::json::{Value, table};
use crate::platform::{self, Platform};
use crate::record::Record;
use crate::worker::{Run, Runs, Shape, Worker};

/// Time that a task takes.
const WORK: Duration = Duration::from_secs(2);
/// Time from the start of the task to the crash of the rack.
const UNTIL_CRASH: Duration = Duration::from_millis(80);
/// Time of three heartbeats.
const ENTRY_LIFETIME: Duration = Duration::from_millis(4_500);
/// Number of workers in the rack that crashes, and of the others.
const RACK: u64 = 3;
const OTHERS: u64 = 5;

pub fn run(record: &Record, with_trouble: bool) -> Result<Option<String>, String> {
    let runs = Runs::default();
    // Workers of one service differ in size. A task goes where it leaves the least room.
    let shapes = (0..RACK + OTHERS).map(|number| Shape {
        id: format!("i-{number:010}"),
        rack: if number < RACK { "r1-1" } else { "r1-2" },
        cpu: if number < RACK { 32_000 } else { 64_000 },
        mem_mb: if number < RACK { 65_536 } else { 131_072 },
        work: WORK,
        lasting: None,
    });
    let workers = shapes.map(|shape| Worker::start(shape, &runs, record));
    let workers = workers.collect::<Result<Vec<Worker>, String>>()?;
    let (store, store_at, cloud_at) = Platform::start(record, workers.clone(), Platform::route())?;
    let hosts = platform::start_hosts(record, 3, store_at, cloud_at)?;
    // A first job shows that the pool has a leader, and that all of the rack is in use.
    let first = "00000000000000ff";
    if !platform::submit(record, &hosts, first, &job(RACK)) {
        return Err("the first job was not accepted".to_owned());
    }
    let is_completed = || platform::is_completed(record, &hosts, first);
    platform::wait_until(Duration::from_secs(40), is_completed)
        .ok_or("the first job does not complete")?;
    let second = "0000000000000001";
    if !platform::submit(record, &hosts, second, &job(1)) {
        return Err("the job was not accepted".to_owned());
    }
    let started = || {
        runs.lock()
            .unwrap()
            .iter()
            .any(|run| run.task.starts_with(second))
    };
    platform::wait_until(Duration::from_secs(5), started).ok_or("the task does not start")?;
    std::thread::sleep(UNTIL_CRASH);
    if with_trouble {
        let rack = &workers[..RACK as usize];
        rack.iter().for_each(Worker::crash);
        std::thread::sleep(ENTRY_LIFETIME);
        rack.iter().for_each(|worker| store.remove_entry(worker));
    }
    let mut shown = String::new();
    for _ in 0..60 {
        let answer = platform::state(record, &hosts[1], second);
        shown = answer.map_or(String::new(), |(_, body)| body);
        if ["completed", "failed"]
            .iter()
            .any(|end| shown.contains(end))
        {
            break;
        }
        std::thread::sleep(Duration::from_millis(250));
    }
    let runs = runs.lock().unwrap();
    let of_task: Vec<&Run> = runs
        .iter()
        .filter(|run| run.task.starts_with(second))
        .collect();
    for run in &of_task {
        record.line("judge", &format!("{run:?}"));
    }
    let ended_as = |how: &str| {
        let ends = of_task.iter().filter_map(|run| run.end);
        ends.filter(|(_, end)| *end == how).count()
    };
    record.line("judge", &format!("the job is shown as {shown}"));
    match () {
        // The only causes: three ends as `failed`, or two workers that crashed under the task.
        () if shown.contains("failed") && ended_as("failed") < 3 && ended_as("gone") < 2 => Ok(
            Some("LOST: the job is shown as failed without cause".to_owned()),
        ),
        () if shown.contains("completed") || shown.contains("failed") => Ok(None),
        () => Err(format!("the job is shown as {shown:?}")),
    }
}

fn job(tasks: u64) -> Value {
    let step = table([
        ("count", tasks.into()),
        ("cpu", 20_000_u64.into()),
        ("mem_mb", 4_096_u64.into()),
        ("estimate_ms", (WORK.as_millis() as u64).into()),
    ]);
    table([("spec", "review".into()), ("steps", vec![step].into())])
}
