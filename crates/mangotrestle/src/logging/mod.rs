//! Logging: one line of `key=value` pairs for each event.
//!
//! A line begins with the time, the level and the event's name; the pairs of the logger and then
//! those of the event follow:
//!
//! ```text
//! ts=2026-12-03T02:10:44.017Z level=info event=task.placed entry_host=gikondo-1 job=furan-7 index=0 worker=spectral-3
//! ```
//!
//! The event is the message given to `slog`'s macros, so that message is a fixed name rather than a
//! sentence. Values are quoted if they are empty or contain white space, a quote, `=` or a control
//! character; line breaks within a value are escaped, so that one event is always one line.
//!
//! Lines are collected in memory, and a thread writes them out at a short interval: a write for
//! each line, and waking the thread for it, would cost a busy host more than the line itself. If
//! the thread falls behind, lines are dropped and their number is logged, because a slow reader of
//! the logs must not delay scheduling.

use std::fmt;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::SystemTime;

mod buffer;

pub use buffer::WriterGuard;

use slog::Drain;
use slog::Serializer;

use crate::settings;
use crate::timestamp;

/// Maximum length of one value in a line, before escaping; longer ones are cut off.
pub const MAX_VALUE_BYTES: usize = 2_048;

/// Starts the writing thread, and returns a logger for it and the guard that writes out the
/// collected lines when dropped.
///
/// The guard must be dropped after everything else that logs.
///
/// # Errors
///
/// If the thread cannot be started.
pub fn start(
    level: settings::LogLevel,
    output: settings::LogOutput,
) -> io::Result<(slog::Logger, WriterGuard)> {
    let stream: Box<dyn Write + Send> = match output {
        settings::LogOutput::Stdout => Box::new(io::stdout()),
        settings::LogOutput::Stderr => Box::new(io::stderr()),
    };
    let (lines, guard) = buffer::start(stream)?;
    let drain = slog::LevelFilter::new(KeyValueDrain::new(lines), level.0);
    Ok((slog::Logger::root(drain.ignore_res(), slog::o!()), guard))
}

/// Returns a logger that discards all lines, for tests and tools.
pub fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Writes each record as one line.
#[derive(Debug)]
pub struct KeyValueDrain<W> {
    output: Mutex<W>,
}

impl<W: Write> KeyValueDrain<W> {
    /// Creates a drain that writes lines to `output`.
    pub fn new(output: W) -> Self {
        Self {
            output: Mutex::new(output),
        }
    }
}

impl<W: Write> slog::Drain for KeyValueDrain<W> {
    type Ok = ();
    type Err = io::Error;

    fn log(&self, record: &slog::Record<'_>, values: &slog::OwnedKVList) -> io::Result<()> {
        let line = format_line(SystemTime::now(), record, values)?;
        let mut output = self
            .output
            .lock()
            .map_err(|_| io::Error::other("a thread panicked while writing a log line"))?;
        output.write_all(line.as_bytes())
    }
}

/// Formats one record as a line, including the line break.
fn format_line(
    now: SystemTime,
    record: &slog::Record<'_>,
    values: &slog::OwnedKVList,
) -> io::Result<String> {
    let mut line = format!(
        "ts={} level={} event=",
        timestamp::format(now),
        level_name(record.level())
    );
    push_value(&mut line, &record.msg().to_string());
    let mut pairs = Pairs::default();
    // Both lists serialize their newest pair first, so the pairs are reversed below.
    slog::KV::serialize(&record.kv(), record, &mut pairs).map_err(io::Error::other)?;
    slog::KV::serialize(values, record, &mut pairs).map_err(io::Error::other)?;
    for (key, value) in pairs.0.iter().rev() {
        line.push(' ');
        line.push_str(key);
        line.push('=');
        push_value(&mut line, value);
    }
    line.push('\n');
    Ok(line)
}

const fn level_name(level: slog::Level) -> &'static str {
    match level {
        slog::Level::Critical => "critical",
        slog::Level::Error => "error",
        slog::Level::Warning => "warning",
        slog::Level::Info => "info",
        slog::Level::Debug => "debug",
        slog::Level::Trace => "trace",
    }
}

/// Pairs of a record, in the order in which `slog` serializes them.
#[derive(Default)]
struct Pairs(Vec<(slog::Key, String)>);

impl Serializer for Pairs {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.0.push((key, value.to_string()));
        Ok(())
    }
}

/// Appends a value, quoted if necessary, and cut off after [`MAX_VALUE_BYTES`].
fn push_value(line: &mut String, value: &str) {
    let value = &value[..value.floor_char_boundary(MAX_VALUE_BYTES)];
    let requires_quotes = |c: char| c.is_whitespace() || c.is_control() || c == '"' || c == '=';
    if !value.is_empty() && !value.contains(requires_quotes) {
        line.push_str(value);
        return;
    }
    line.push('"');
    for character in value.chars() {
        match character {
            '"' => line.push_str("\\\""),
            '\\' => line.push_str("\\\\"),
            '\n' => line.push_str("\\n"),
            other if other.is_control() || is_line_break(other) => {
                line.extend(other.escape_unicode());
            }
            other => line.push(other),
        }
    }
    line.push('"');
}

/// Whether some programs take a character for a line break, although it isn't a control character.
const fn is_line_break(character: char) -> bool {
    matches!(character, '\u{2028}' | '\u{2029}')
}

#[cfg(test)]
mod tests;
