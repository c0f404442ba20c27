//! Two programs that compete for control of one machine, and a lease that admits only one of them.
//!
//! The machine grants its lease to the program that claimed it last. The previous holder is fenced:
//! all its later messages are refused, regardless of when they arrive.
//!
//! ```text
//! cargo run -p mangotrestle-core --example worker_lease
//! ```

use mangotrestle_core::id;
use mangotrestle_core::lease::grantor;
use mangotrestle_core::lease::message;
use mangotrestle_core::resources;
use mangotrestle_core::task;
use mangotrestle_core::time;

/// Error that ends the example.
type Error = Box<dyn std::error::Error>;

fn main() -> Result<(), Error> {
    let capacity = resources::Resources {
        cpu_millicores: 4_000,
        memory_mib: 8_192,
        accelerators: 0,
        slots: 2,
    };
    let config = grantor::GrantorConfig::new(id::Incarnation(1), capacity, "rack-1".parse()?);
    let mut machine = grantor::Grantor::new(config);
    let at = |ms: u64| time::WorkerTimeMs(ms);

    let first = machine.claim(at(0), &claim("first")?).map_err(refused)?;
    let started = machine
        .start(at(10), &start(&first, "report", 1_000)?)
        .map_err(refused)?;
    println!("first holder starts a task: {}", started.answer.results[0]);

    let second = machine.claim(at(20), &claim("second")?).map_err(refused)?;
    println!(
        "second holder claims the lease and receives a list of {} running task",
        second.running.len()
    );

    let fenced = machine.start(at(30), &start(&first, "other", 1_000)?);
    println!(
        "first holder is refused: {}",
        fenced.err().map_or("no".to_owned(), code)
    );

    let repeated = machine
        .start(at(40), &start(&second, "report", 1_000)?)
        .map_err(refused)?;
    println!(
        "the same start sent again launches {} tasks",
        repeated.launch.len()
    );
    Ok(())
}

fn claim(leader: &str) -> Result<message::ClaimRequest, Error> {
    Ok(message::ClaimRequest {
        pool: "example".parse()?,
        leader: leader.parse()?,
        leader_incarnation: id::Incarnation(1),
        roster_version: message::RosterVersion(0),
    })
}

fn start(
    granted: &message::ClaimGranted,
    job: &str,
    before_ms: u64,
) -> Result<message::StartRequest, Error> {
    let task = task::TaskId {
        job: job.parse()?,
        index: 0,
    };
    let run = message::StartRun {
        run: task::RunId { task, attempt: 1 },
        need: resources::Resources {
            cpu_millicores: 1_000,
            memory_mib: 512,
            accelerators: 0,
            slots: 1,
        },
        run_time_ms: None,
        idempotent: true,
    };
    Ok(message::StartRequest {
        worker_incarnation: granted.worker_incarnation,
        epoch: granted.epoch,
        start_before_ms: time::WorkerTimeMs(before_ms),
        runs: vec![run],
    })
}

fn refused(refusal: message::Refusal) -> Error {
    code(refusal).into()
}

fn code(refusal: message::Refusal) -> String {
    refusal.code.to_string()
}
