//! `mangotrestle events`.

use std::io::{self, Write};
use std::time::Duration;

use mangotrestle_operator::client;
use mangotrestle_operator::message;
use tokio::time;

use super::arguments;
use super::exit_code::ExitCode;
use super::session::{self, Failure, Session};
use crate::timestamp;

/// Silence after which the command ends unless it follows.
const QUIET_TIME: Duration = Duration::from_secs(1);

/// Pause before a lost stream is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(500);

/// Runs the command.
pub(super) async fn run(
    session: &mut Session,
    arguments: &arguments::Events,
) -> Result<ExitCode, Failure> {
    let mut after = arguments.after;
    loop {
        let before = session.client.endpoint();
        let mut events = session.client.stream_events(after).await?;
        let asked = session.client.endpoint();
        if after.is_some() && asked != before {
            // Numbers are those of one entry host; another one starts with what comes next.
            after = None;
            events = session.client.stream_events(after).await?;
        }
        let end = pass_on(session, &mut events, arguments.follow, &mut after).await?;
        if end == End::Done {
            return Ok(ExitCode::Ok);
        }
        eprintln!("{asked}: the stream was lost, opening it again");
        time::sleep(RECONNECT_PAUSE).await;
        session.client.disconnect();
    }
}

/// Why a stream is read no more.
#[derive(Eq, PartialEq)]
enum End {
    /// There is nothing more to show.
    Done,
    /// The connection was lost.
    Lost,
}

/// Shows events until the stream ends; `after` is the number of the last one shown.
async fn pass_on(
    session: &Session,
    events: &mut client::Events,
    follow: bool,
    after: &mut Option<u64>,
) -> Result<End, Failure> {
    loop {
        let next = if follow {
            events.next().await
        } else {
            match time::timeout(QUIET_TIME, events.next()).await {
                Ok(next) => next,
                Err(_) => return Ok(End::Done),
            }
        };
        match next {
            Ok(Some(event)) => {
                show(session, &event)?;
                *after = Some(event.sequence);
            }
            Ok(None) | Err(client::ClientError::Unreachable(_)) if follow => return Ok(End::Lost),
            Ok(None) => return Ok(End::Done),
            Err(error) => return Err(error.into()),
        }
    }
}

fn show(session: &Session, event: &message::Event) -> Result<(), Failure> {
    let line = if session.is_json() {
        session::to_json(event)?
    } else {
        format!(
            "{} {} {} {}",
            event.sequence,
            timestamp::format_wall(event.wall_ms),
            event.kind,
            event.detail.replace(char::is_control, " ")
        )
    };
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()?;
    Ok(())
}
