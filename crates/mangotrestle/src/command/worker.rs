//! `mangotrestle worker`.

use mangotrestle_core::id;
use mangotrestle_operator::message;

use super::arguments::{WorkerAction, WorkerList};
use super::exit_code::ExitCode;
use super::job;
use super::session::{self, Failure, Session};
use super::table::Table;

/// Runs `mangotrestle worker`.
pub(super) async fn run(session: &mut Session, action: &WorkerAction) -> Result<ExitCode, Failure> {
    match action {
        WorkerAction::List(arguments) => list(session, arguments).await,
        WorkerAction::Drain(arguments) => {
            let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
            set_drain(session, command, &arguments.worker, true).await
        }
        WorkerAction::Undrain(arguments) => {
            let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
            set_drain(session, command, &arguments.worker, false).await
        }
    }
}

async fn list(session: &mut Session, arguments: &WorkerList) -> Result<ExitCode, Failure> {
    let pool = arguments.pool.as_deref();
    let pool: Option<id::PoolId> = pool
        .map(|text| session::parse_id("--pool", text))
        .transpose()?;
    let workers = session.client.list_workers(pool.as_ref()).await?;
    session.show(&workers, |workers| worker_table(workers).render())
}

async fn set_drain(
    session: &mut Session,
    command: message::Command,
    worker: &str,
    draining: bool,
) -> Result<ExitCode, Failure> {
    let worker = session::parse_id("worker", worker)?;
    let outcome = session
        .client
        .set_worker_drain(&command, &worker, draining)
        .await?;
    session.show_outcome(&command, &outcome)
}

fn worker_table(workers: &[message::WorkerDetail]) -> Table {
    let mut table = Table::new(&[
        "WORKER", "POOL", "RACK", "STATE", "DRAINING", "TASKS", "FREE", "CAPACITY",
    ]);
    for worker in workers {
        table.add_row(vec![
            worker.id.to_string(),
            worker.pool.to_string(),
            worker.rack.to_string(),
            worker.state.to_string(),
            if worker.draining { "yes" } else { "no" }.to_owned(),
            worker.running.to_string(),
            job::describe_resources(&worker.free),
            job::describe_resources(&worker.capacity),
        ]);
    }
    table
}
