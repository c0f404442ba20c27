//! Tests of log lines: their format, and that one event is always one line.

use std::sync::Arc;

use quickcheck::quickcheck;

use super::*;

/// Output in memory that tests can read.
#[derive(Clone, Default)]
struct MemoryOutput(Arc<Mutex<Vec<u8>>>);

impl Write for MemoryOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl MemoryOutput {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

fn logger(output: &MemoryOutput) -> slog::Logger {
    let drain = KeyValueDrain::new(output.clone());
    slog::Logger::root(drain.fuse(), slog::o!("entry_host" => "remera-1"))
}

#[test]
fn line_has_time_level_event_and_pairs_in_order() {
    let output = MemoryOutput::default();

    slog::info!(logger(&output), "task.placed"; "job" => "oil-7", "index" => 3);

    let text = output.text();
    assert!(text.starts_with("ts=2"), "{text}");
    let after_time = text.split_once(' ').unwrap().1;
    assert_eq!(
        after_time,
        "level=info event=task.placed entry_host=remera-1 job=oil-7 index=3\n"
    );
}

#[test]
fn values_with_spaces_quotes_and_line_breaks_are_quoted() {
    let output = MemoryOutput::default();

    slog::warn!(logger(&output), "store.failed"; "error" => "a \"b\"\nc=d", "empty" => "");

    let text = output.text();
    assert!(
        text.ends_with("error=\"a \\\"b\\\"\\nc=d\" empty=\"\"\n"),
        "{text}"
    );
}

#[test]
fn collected_lines_are_written_in_order_when_the_guard_is_dropped() {
    let output = MemoryOutput::default();
    let (lines, guard) = buffer::start(output.clone()).unwrap();
    let logger = slog::Logger::root(KeyValueDrain::new(lines).fuse(), slog::o!());

    for index in 0..1_000 {
        slog::info!(logger, "any"; "index" => index);
    }
    drop(guard);

    let text = output.text();
    let ends = text.lines().map(|line| line.rsplit_once('=').unwrap().1);
    assert!(ends.eq((0..1_000).map(|index| index.to_string())), "{text}");
}

#[test]
fn lines_are_written_while_the_process_runs() {
    let output = MemoryOutput::default();
    let (lines, _guard) = buffer::start(output.clone()).unwrap();
    let logger = slog::Logger::root(KeyValueDrain::new(lines).fuse(), slog::o!());

    slog::info!(logger, "any");
    let began = std::time::Instant::now();
    while output.text().is_empty() && began.elapsed() < std::time::Duration::from_secs(5) {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }

    assert!(output.text().ends_with("event=any\n"));
}

quickcheck! {
    fn one_event_is_one_line_of_bounded_length(value: String) -> bool {
        let output = MemoryOutput::default();
        slog::info!(logger(&output), "any"; "value" => &value);
        let text = output.text();
        text.ends_with('\n') && text.lines().count() == 1 && text.len() <= 12 * MAX_VALUE_BYTES
    }
}
