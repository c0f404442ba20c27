//! A lasting job whose tasks fail and are started again for a while, and then fail no more.

use std::time::{Duration, Instant};

use crate::json::{Value, table};
use crate::platform::{self, Platform};
use crate::record::Record;
use crate::worker::{Runs, Shape, Worker};

/// Identifier of the lasting job.
const LASTING: &str = "dead000000000001";
const TASKS: u64 = 40;
/// Time for which its tasks fail.
const FAILING: Duration = Duration::from_secs(50);
/// Time without trouble after which the job is judged.
const CALM: Duration = Duration::from_secs(20);

pub fn run(record: &Record, with_trouble: bool) -> Result<Option<String>, String> {
    let runs = Runs::default();
    let shapes = (0..4).map(|number| Shape {
        id: format!("i-{number:010}"),
        rack: "r1-1",
        cpu: 64_000,
        mem_mb: 131_072,
        work: Duration::from_millis(300),
        lasting: Some(LASTING),
    });
    let workers = shapes.map(|shape| Worker::start(shape, &runs, record));
    let workers = workers.collect::<Result<Vec<Worker>, String>>()?;
    let (_store, store_at, cloud_at) = Platform::start(record, workers.clone(), Platform::route())?;
    let hosts = platform::start_hosts(record, 3, store_at, cloud_at)?;
    let first = "00000000000000ff";
    if !platform::submit(record, &hosts, first, &job(1, false)) {
        return Err("the first job was not accepted".to_owned());
    }
    let is_completed = || platform::is_completed(record, &hosts, first);
    platform::wait_until(Duration::from_secs(40), is_completed)
        .ok_or("the first job does not complete")?;
    workers
        .iter()
        .for_each(|worker| worker.set_failing(with_trouble));
    if !platform::submit(record, &hosts, LASTING, &job(TASKS, true)) {
        return Err("the lasting job was not accepted".to_owned());
    }
    let began = Instant::now();
    while began.elapsed() < FAILING {
        std::thread::sleep(Duration::from_secs(5));
        let starts = runs.lock().unwrap().len();
        record.line("script", &format!("{starts} starts"));
    }
    record.line("script", "the tasks fail no more");
    workers.iter().for_each(|worker| worker.set_failing(false));
    std::thread::sleep(CALM);
    let answer = platform::state(record, &hosts[1], LASTING);
    let runs = runs.lock().unwrap();
    let lasting = || runs.iter().filter(|run| run.task.starts_with(LASTING));
    let active = lasting().filter(|run| run.end.is_none()).count();
    let last_end = lasting().filter_map(|run| run.end).map(|(at, _)| at).max();
    let idle_ms = record.now_ms() - last_end.unwrap_or_default();
    record.line(
        "judge",
        &format!(
            "{active} of {TASKS} tasks run, the last end is {idle_ms} ms ago, the job is shown as \
             {answer:?}"
        ),
    );
    // Each task that lasts: at most 6 s after its last run, 4 s and 3 s that are calm.
    if active == 0 && idle_ms > 13_000 {
        return Ok(Some("LOST: no task of a lasting job runs".to_owned()));
    }
    if active as u64 == TASKS {
        return Ok(None);
    }
    Err(format!("{active} of {TASKS} tasks run"))
}

fn job(tasks: u64, lasts: bool) -> Value {
    let step = table([
        ("count", tasks.into()),
        ("cpu", 100_u64.into()),
        ("mem_mb", 64_u64.into()),
        ("estimate_ms", 300_u64.into()),
        ("persistent", lasts.into()),
    ]);
    table([("spec", "review".into()), ("steps", vec![step].into())])
}
