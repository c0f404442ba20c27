//! `mangotrestle status`.

use mangotrestle_operator::message;

use super::arguments;
use super::exit_code::ExitCode;
use super::session::{Failure, Session};
use super::table::Table;
use crate::timestamp;

/// Runs `mangotrestle status`.
pub(super) async fn run(
    session: &mut Session,
    arguments: &arguments::Status,
) -> Result<ExitCode, Failure> {
    let now = timestamp::now_wall();
    let handover = arguments.handover.as_deref();
    let since = handover
        .map(|text| timestamp::parse_since(text, now))
        .transpose()
        .map_err(|error| Failure::usage(format!("--handover: {error}")))?;
    let status = session.client.get_status(since).await?;
    let with_changes = since.is_some();
    session.show(&status, |status| describe(status, with_changes))
}

fn describe(status: &message::Status, with_changes: bool) -> String {
    let mut parts = vec![
        format!(
            "entry host {} in {}, configuration version {}\n",
            status.entry_host, status.availability_zone, status.config_version
        ),
        section("Not working at the moment", &degradation_table(status)),
        section("Pools", &pool_table(status)),
        section("Other entry hosts", &peer_table(status)),
    ];
    if with_changes {
        parts.push(section("Commands since then", &change_table(status)));
    }
    parts.concat()
}

fn section(title: &str, table: &Table) -> String {
    if table.is_empty() {
        format!("\n{title}:\n(none)\n")
    } else {
        format!("\n{title}:\n{}", table.render())
    }
}

fn degradation_table(status: &message::Status) -> Table {
    let mut table = Table::new(&["WHAT", "SINCE", "DETAIL"]);
    for degradation in &status.degraded {
        table.add_row(vec![
            degradation.what.clone(),
            timestamp::format_wall(degradation.since_wall_ms),
            degradation.detail.clone(),
        ]);
    }
    table
}

fn pool_table(status: &message::Status) -> Table {
    let mut table = Table::new(&[
        "POOL",
        "LEADER",
        "WORKERS HELD",
        "ROSTER",
        "WAITING",
        "RUNNING",
        "UNKNOWN",
        "PARKED JOBS",
    ]);
    for pool in &status.pools {
        let leader = pool.leader.as_ref().map(ToString::to_string);
        table.add_row(vec![
            pool.pool.to_string(),
            leader.unwrap_or_else(|| "none known".to_owned()),
            pool.held_workers.to_string(),
            pool.roster_workers.to_string(),
            pool.waiting_tasks.to_string(),
            pool.running_tasks.to_string(),
            pool.unknown_tasks.to_string(),
            pool.parked_jobs.to_string(),
        ]);
    }
    table
}

fn peer_table(status: &message::Status) -> Table {
    let mut table = Table::new(&["ENTRY HOST", "STATE"]);
    for peer in &status.peers {
        table.add_row(vec![peer.entry_host.to_string(), peer.state.to_string()]);
    }
    table
}

fn change_table(status: &message::Status) -> Table {
    let mut table = Table::new(&[
        "TIME",
        "OPERATOR",
        "WHAT",
        "FROM REVISION",
        "RESULT",
        "COMMAND",
    ]);
    for change in &status.changes {
        table.add_row(vec![
            timestamp::format_wall(change.wall_ms),
            change.operator.clone(),
            change.what.clone(),
            change.from_revision.to_string(),
            change.code.to_string(),
            change.command_id.to_string(),
        ]);
    }
    table
}
