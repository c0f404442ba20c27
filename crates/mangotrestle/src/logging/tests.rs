//! Tests of log lines: their form, and that one event is always one line.

use std::sync::Arc;

use quickcheck::quickcheck;

use super::*;

/// An output that a test can read.
#[derive(Clone, Default)]
struct Memory(Arc<Mutex<Vec<u8>>>);

impl Write for Memory {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl Memory {
    fn text(&self) -> String {
        String::from_utf8(self.0.lock().unwrap().clone()).unwrap()
    }
}

fn logger(memory: &Memory) -> slog::Logger {
    let drain = KeyValueDrain::new(memory.clone());
    slog::Logger::root(drain.fuse(), slog::o!("entry_host" => "remera-1"))
}

#[test]
fn line_has_time_level_event_and_pairs_in_order() {
    let memory = Memory::default();

    slog::info!(logger(&memory), "task.placed"; "job" => "oil-7", "index" => 3);

    let text = memory.text();
    assert!(text.starts_with("ts=2"), "{text}");
    let rest = text.split_once(' ').unwrap().1;
    assert_eq!(
        rest,
        "level=info event=task.placed entry_host=remera-1 job=oil-7 index=3\n"
    );
}

#[test]
fn values_with_spaces_quotes_and_breaks_are_quoted() {
    let memory = Memory::default();

    slog::warn!(logger(&memory), "store.failed"; "error" => "a \"b\"\nc=d", "empty" => "");

    let text = memory.text();
    assert!(
        text.ends_with("error=\"a \\\"b\\\"\\nc=d\" empty=\"\"\n"),
        "{text}"
    );
}

quickcheck! {
    fn one_event_is_one_line_of_bounded_length(value: String) -> bool {
        let memory = Memory::default();
        slog::info!(logger(&memory), "any"; "value" => &value);
        let text = memory.text();
        text.ends_with('\n') && text.lines().count() == 1 && text.len() <= 12 * MAX_VALUE_BYTES
    }
}
