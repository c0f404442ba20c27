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

/// Time without events after which the command ends, unless `--follow` is given.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before a lost stream is reopened.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Runs `mangotrestle events`.
pub(super) async fn run(
    session: &mut Session,
    arguments: &arguments::Events,
) -> Result<ExitCode, Failure> {
    let mut after = arguments.after;
    loop {
        let previous_endpoint = session.client.endpoint();
        let mut events = session.client.stream_events(after).await?;
        let endpoint = session.client.endpoint();
        if after.is_some() && endpoint != previous_endpoint {
            // Each entry host numbers its own events, so the number is meaningless on another one;
            // there the stream starts with the next event.
            after = None;
            events = session.client.stream_events(after).await?;
        }
        let end = show_events(session, &mut events, arguments.follow, &mut after).await?;
        if end == End::Done {
            return Ok(ExitCode::Ok);
        }
        eprintln!("{endpoint}: the event stream was lost, reopening it");
        time::sleep(RECONNECT_DELAY).await;
        session.client.disconnect();
    }
}

/// Why reading an event stream ended.
#[derive(Eq, PartialEq)]
enum End {
    /// Without `--follow`: no event came within [`IDLE_TIMEOUT`], or the entry host ended the
    /// stream.
    Done,
    /// With `--follow`: the entry host ended the stream, or the connection was lost.
    Lost,
}

/// Shows events until the stream ends, and sets `after` to the sequence number of the last event
/// shown.
async fn show_events(
    session: &Session,
    events: &mut client::Events,
    follow: bool,
    after: &mut Option<u64>,
) -> Result<End, Failure> {
    loop {
        let next = if follow {
            events.next().await
        } else {
            match time::timeout(IDLE_TIMEOUT, events.next()).await {
                Ok(next) => next,
                Err(_) => return Ok(End::Done),
            }
        };
        match next {
            Ok(Some(event)) => {
                show_event(session, &event)?;
                *after = Some(event.sequence);
            }
            Ok(None) | Err(client::ClientError::Unreachable(_)) if follow => return Ok(End::Lost),
            Ok(None) => return Ok(End::Done),
            Err(error) => return Err(error.into()),
        }
    }
}

fn show_event(session: &Session, event: &message::Event) -> Result<(), Failure> {
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
