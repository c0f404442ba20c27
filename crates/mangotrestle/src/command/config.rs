//! `mangotrestle config`.

use mangotrestle_operator::message;

use super::arguments::{ConfigAction, ConfigApply, ConfigHistory};
use super::exit_code::ExitCode;
use super::session::{self, Failure, Session};
use super::table::Table;
use crate::timestamp;

/// Runs `mangotrestle config`.
pub(super) async fn run(session: &mut Session, action: &ConfigAction) -> Result<ExitCode, Failure> {
    match action {
        ConfigAction::Get(_) => get(session).await,
        ConfigAction::Apply(arguments) => apply(session, arguments).await,
        ConfigAction::History(arguments) => history(session, arguments).await,
    }
}

async fn get(session: &mut Session) -> Result<ExitCode, Failure> {
    let config = session.client.get_config().await?;
    session.show(&config, describe_config)
}

/// Returns the document below a TOML comment with its version, so that the output can be edited and
/// applied again.
fn describe_config(config: &message::ConfigDocument) -> String {
    let operator = config.operator.replace(char::is_control, " ");
    let accepted = timestamp::format_wall(config.accepted_wall_ms);
    format!(
        "# version {}, applied by {operator} at {accepted}\n{}\n",
        config.version,
        config.document.trim_end()
    )
}

async fn apply(session: &mut Session, arguments: &ConfigApply) -> Result<ExitCode, Failure> {
    let document = session::read_file_up_to(
        &arguments.file,
        "configuration file",
        message::MAX_DOCUMENT_BYTES as u64,
    )?;
    let command = session.command(arguments.command_id.as_deref(), arguments.based_on)?;
    let proposal = message::ConfigProposal {
        document,
        dry_run: arguments.dry_run,
    };
    let outcome = session.client.apply_config(&command, &proposal).await?;
    session.show_outcome(&command, &outcome)
}

async fn history(session: &mut Session, arguments: &ConfigHistory) -> Result<ExitCode, Failure> {
    let history = session.client.list_config_history(arguments.limit).await?;
    session.show(&history, describe_history)
}

fn describe_history(history: &message::ConfigHistory) -> String {
    let mut versions = Table::new(&["VERSION", "ACCEPTED", "OPERATOR"]);
    for version in &history.versions {
        versions.add_row(vec![
            version.version.to_string(),
            timestamp::format_wall(version.accepted_wall_ms),
            version.operator.clone(),
        ]);
    }
    let mut hosts = Table::new(&["ENTRY HOST", "VERSION", "IN FORCE SINCE"]);
    for host in &history.hosts {
        hosts.add_row(vec![
            host.entry_host.to_string(),
            host.version.to_string(),
            timestamp::format_wall(host.in_force_wall_ms),
        ]);
    }
    format!("{}\n{}", versions.render(), hosts.render())
}
