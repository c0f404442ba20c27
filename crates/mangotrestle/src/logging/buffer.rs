//! Collects lines in memory and writes them out at an interval, in a thread of its own. The thread
//! sleeps while nothing is logged.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Time for which lines are collected before they are written out.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Maximum total length of the collected lines, in bytes; further ones are dropped.
const MAX_COLLECTED_BYTES: usize = 4 * 1024 * 1024;

#[derive(Debug, Default)]
struct Collected {
    lines: Vec<u8>,
    /// Number of lines dropped since the last write.
    dropped: u64,
    /// Whether the thread should write out what there is and end.
    stopping: bool,
}

#[derive(Debug, Default)]
struct Shared {
    collected: Mutex<Collected>,
    /// Signals the first line since the last write, and the stop.
    changed: Condvar,
}

impl Shared {
    /// Locks the collected lines. Poisoning is ignored: they stay as the panicked thread left them.
    fn lock(&self) -> MutexGuard<'_, Collected> {
        self.collected
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Collects lines; each call of `write` takes whole lines.
#[derive(Clone, Debug)]
pub(super) struct LineBuffer {
    shared: Arc<Shared>,
}

impl Write for LineBuffer {
    fn write(&mut self, lines: &[u8]) -> io::Result<usize> {
        let mut collected = self.shared.lock();
        let is_first = collected.lines.is_empty();
        if collected.lines.len() + lines.len() <= MAX_COLLECTED_BYTES {
            collected.lines.extend_from_slice(lines);
        } else {
            collected.dropped += 1;
        }
        drop(collected);
        if is_first {
            self.shared.changed.notify_one();
        }
        Ok(lines.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes out the collected lines and ends the writing thread when dropped.
#[derive(Debug)]
pub struct WriterGuard {
    shared: Arc<Shared>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for WriterGuard {
    fn drop(&mut self) {
        self.shared.lock().stopping = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // A panic of the thread has been reported on standard error already.
            let _ = thread.join();
        }
    }
}

/// Starts the thread that writes collected lines to `output`.
///
/// # Errors
///
/// If the thread cannot be started.
pub(super) fn start<W: Write + Send + 'static>(output: W) -> io::Result<(LineBuffer, WriterGuard)> {
    let shared = Arc::new(Shared::default());
    let buffer = LineBuffer {
        shared: Arc::clone(&shared),
    };
    let of_thread = Arc::clone(&shared);
    let thread = thread::Builder::new()
        .name("log-writer".to_owned())
        .spawn(move || write_until_stopped(&of_thread, output))?;
    let guard = WriterGuard {
        shared,
        thread: Some(thread),
    };
    Ok((buffer, guard))
}

fn write_until_stopped(shared: &Shared, mut output: impl Write) {
    loop {
        let first_line = shared
            .changed
            .wait_while(shared.lock(), |collected| {
                collected.lines.is_empty() && !collected.stopping
            })
            .unwrap_or_else(PoisonError::into_inner);
        let collecting = shared
            .changed
            .wait_timeout_while(first_line, COLLECT_TIME, |collected| !collected.stopping);
        let (mut collected, _) = collecting.unwrap_or_else(PoisonError::into_inner);
        let mut lines = std::mem::take(&mut collected.lines);
        let dropped = std::mem::take(&mut collected.dropped);
        let stopping = collected.stopping;
        drop(collected);
        if dropped > 0 {
            let line = format!("level=error event=log.lines_dropped count={dropped}\n");
            lines.extend_from_slice(line.as_bytes());
        }
        // A failed write is not reported: there is no other place to report it to.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        if stopping {
            return;
        }
    }
}
