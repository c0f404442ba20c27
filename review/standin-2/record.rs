//! The record of a script: what was sent, answered and run, and the processes to end.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::process::Child;
use std::sync::{Arc, Mutex};
use std::time::Instant;

struct Inner {
    began: Instant,
    out: Mutex<BufWriter<File>>,
    children: Mutex<Vec<Child>>,
}

/// Shared by all threads.
#[derive(Clone)]
pub struct Record {
    inner: Arc<Inner>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).unwrap_or_else(|error| {
            eprintln!("{}: {error}", path.display());
            std::process::exit(2);
        });
        Self {
            inner: Arc::new(Inner {
                began: Instant::now(),
                out: Mutex::new(BufWriter::new(file)),
                children: Mutex::default(),
            }),
        }
    }

    /// Returns the milliseconds since the script began.
    pub fn now_ms(&self) -> u64 {
        self.inner.began.elapsed().as_millis() as u64
    }

    pub fn line(&self, who: &str, what: &str) {
        let now_ms = self.now_ms();
        let mut out = self.inner.out.lock().unwrap();
        let _ = writeln!(
            out,
            "{:>3}.{:03} {who}: {what}",
            now_ms / 1_000,
            now_ms % 1_000
        );
    }

    pub fn flush(&self) {
        let _ = self.inner.out.lock().unwrap().flush();
    }

    pub fn add_child(&self, child: Child) -> usize {
        let mut children = self.inner.children.lock().unwrap();
        children.push(child);
        children.len() - 1
    }

    /// Returns the identifier of a process that the script started.
    pub fn process(&self, index: usize) -> u32 {
        self.inner.children.lock().unwrap()[index].id()
    }

    /// Whether a process that the script started has ended.
    pub fn has_ended(&self, index: usize) -> bool {
        let mut children = self.inner.children.lock().unwrap();
        children[index]
            .try_wait()
            .is_ok_and(|status| status.is_some())
    }

    /// Kills one process that the script started.
    pub fn kill_child(&self, index: usize) {
        let mut children = self.inner.children.lock().unwrap();
        if let Some(child) = children.get_mut(index) {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Kills all processes that the script started.
    pub fn kill_children(&self) {
        let mut children = self.inner.children.lock().unwrap();
        for child in children.iter_mut() {
            let _ = child.kill();
        }
        for child in children.iter_mut() {
            let _ = child.wait();
        }
        drop(children);
        self.flush();
    }
}
