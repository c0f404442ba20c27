//! `mangotrestle job`.

use std::time::Duration;

use mangotrestle_core::id;
use mangotrestle_core::resources;
use mangotrestle_operator::message;
use tokio::time;

use super::arguments::{JobAction, JobCancel, JobList, JobRetry, JobShow, JobSubmit, JobWait};
use super::exit_code::ExitCode;
use super::session::{self, Failure, Session};
use super::table::Table;
use crate::job_file;

/// Interval at which `job wait` polls the job.
const JOB_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Runs `mangotrestle job`.
pub(super) async fn run(session: &mut Session, action: &JobAction) -> Result<ExitCode, Failure> {
    match action {
        JobAction::Submit(arguments) => submit(session, arguments).await,
        JobAction::List(arguments) => list(session, arguments).await,
        JobAction::Show(arguments) => show(session, arguments).await,
        JobAction::Cancel(arguments) => cancel(session, arguments).await,
        JobAction::Wait(arguments) => wait(session, arguments).await,
        JobAction::Retry(arguments) => retry(session, arguments).await,
    }
}

async fn submit(session: &mut Session, arguments: &JobSubmit) -> Result<ExitCode, Failure> {
    let spec = job_file::load(&arguments.file).map_err(|error| {
        Failure::usage(format!("job file {}:\n{error}", arguments.file.display()))
    })?;
    let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
    let outcome = session.client.submit_job(&command, &spec).await?;
    session.show_outcome(&command, &outcome)
}

async fn cancel(session: &mut Session, arguments: &JobCancel) -> Result<ExitCode, Failure> {
    let job: id::JobId = session::parse_id("job", &arguments.job)?;
    let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
    let outcome = session.client.cancel_job(&command, &job).await?;
    session.show_outcome(&command, &outcome)
}

async fn retry(session: &mut Session, arguments: &JobRetry) -> Result<ExitCode, Failure> {
    let job: id::JobId = session::parse_id("job", &arguments.job)?;
    let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
    let outcome = session.client.retry_job(&command, &job).await?;
    session.show_outcome(&command, &outcome)
}

async fn list(session: &mut Session, arguments: &JobList) -> Result<ExitCode, Failure> {
    let pool = arguments.pool.as_deref();
    let team = arguments.team.as_deref();
    let filter = message::JobFilter {
        pool: pool
            .map(|text| session::parse_id("--pool", text))
            .transpose()?,
        team: team
            .map(|text| session::parse_id("--team", text))
            .transpose()?,
    };
    let jobs = session.client.list_jobs(&filter).await?;
    session.show(&jobs, |jobs| job_table(jobs).render())
}

async fn show(session: &mut Session, arguments: &JobShow) -> Result<ExitCode, Failure> {
    let job = session::parse_id("job", &arguments.job)?;
    let detail = session.client.get_job(&job).await?;
    session.show(&detail, describe_job)
}

async fn wait(session: &mut Session, arguments: &JobWait) -> Result<ExitCode, Failure> {
    let job = session::parse_id("job", &arguments.job)?;
    let deadline = arguments
        .timeout_s
        .and_then(|seconds| time::Instant::now().checked_add(Duration::from_secs(seconds)));
    loop {
        let detail = session.client.get_job(&job).await?;
        let state = detail.summary.state;
        if state.is_settled() {
            session.show(&detail.summary, |summary| {
                job_table(std::slice::from_ref(summary)).render()
            })?;
            return Ok(exit_code_of(state));
        }
        if deadline.is_some_and(|deadline| time::Instant::now() >= deadline) {
            return Err(Failure {
                exit_code: ExitCode::TimedOut,
                code: None,
                message: format!("{job} is still {state}"),
            });
        }
        time::sleep(JOB_POLL_INTERVAL).await;
    }
}

const fn exit_code_of(state: message::JobState) -> ExitCode {
    match state {
        message::JobState::Succeeded => ExitCode::Ok,
        message::JobState::Unknown => ExitCode::Unknown,
        _ => ExitCode::JobFailed,
    }
}

fn job_table(jobs: &[message::JobSummary]) -> Table {
    let mut table = Table::new(&[
        "JOB",
        "TEAM",
        "POOL",
        "KIND",
        "URGENCY",
        "STATE",
        "WAITING",
        "RUNNING",
        "SUCCEEDED",
        "FAILED",
        "UNKNOWN",
        "REVISION",
    ]);
    for job in jobs {
        table.add_row(vec![
            job.spec.id.to_string(),
            job.spec.team.to_string(),
            job.spec.pool.to_string(),
            format!("{:?}", job.spec.kind).to_lowercase(),
            format!("{:?}", job.spec.urgency).to_lowercase(),
            job.state.to_string(),
            job.waiting.to_string(),
            job.running.to_string(),
            job.succeeded.to_string(),
            job.failed.to_string(),
            job.unknown.to_string(),
            job.revision.to_string(),
        ]);
    }
    table
}

fn describe_job(detail: &message::JobDetail) -> String {
    let need = describe_resources(&detail.summary.spec.need);
    let mut parts = vec![
        job_table(std::slice::from_ref(&detail.summary)).render(),
        format!("\nneeds for each task: {need}\n"),
    ];
    for reason in &detail.waiting_reasons {
        parts.push(format!(
            "waits: {}\n",
            reason.replace(char::is_control, " ")
        ));
    }
    if !detail.tasks.is_empty() {
        parts.push(format!("\n{}", task_table(&detail.tasks).render()));
    }
    parts.concat()
}

fn task_table(tasks: &[message::TaskDetail]) -> Table {
    let mut table = Table::new(&["TASK", "ATTEMPT", "STATE", "WORKER"]);
    for task in tasks {
        let worker = task.worker.as_ref().map(ToString::to_string);
        table.add_row(vec![
            task.index.to_string(),
            task.attempt.to_string(),
            task.state.to_string(),
            worker.unwrap_or_else(|| "-".to_owned()),
        ]);
    }
    table
}

/// Describes resources in human-readable units: processor capacity in cores, not millicores.
pub(super) fn describe_resources(resources: &resources::Resources) -> String {
    format!(
        "{}.{:03} cores, {} MiB, {} accelerators, {} slots",
        resources.cpu_millicores / 1_000,
        resources.cpu_millicores % 1_000,
        resources.memory_mib,
        resources.accelerators,
        resources.slots
    )
}
