//! Memory and descriptors of a process, observed while it runs.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

/// Interval of the observations.
const INTERVAL: Duration = Duration::from_millis(20);
/// State of a listening socket in `/proc/net/tcp`.
const LISTENING: &str = "0A";

/// Peaks of a process since the observation began.
#[derive(Default)]
struct Peaks {
    memory_bytes: AtomicU64,
    descriptors: AtomicU64,
    stopped: AtomicBool,
}

/// Observes a process until it is dropped.
pub struct Observer {
    process: u32,
    peaks: Arc<Peaks>,
}

impl Observer {
    /// Starts to observe a process that listens on these ports.
    pub fn start(process: u32, ports: Vec<u16>) -> Self {
        let peaks = Arc::new(Peaks::default());
        let observed = Arc::clone(&peaks);
        std::thread::spawn(move || {
            while !observed.stopped.load(Ordering::Relaxed) {
                let memory_bytes = resident_bytes(process, "VmRSS:") + unread_bytes(&ports);
                observed
                    .memory_bytes
                    .fetch_max(memory_bytes, Ordering::Relaxed);
                let descriptors = open_descriptors(process);
                observed
                    .descriptors
                    .fetch_max(descriptors, Ordering::Relaxed);
                std::thread::sleep(INTERVAL);
            }
        });
        Self { process, peaks }
    }

    /// Returns the peak of the memory, in MB, with the bytes that the process has received and not read.
    pub fn peak_memory_mb(&self) -> u64 {
        let observed = self.peaks.memory_bytes.load(Ordering::Relaxed);
        observed.max(resident_bytes(self.process, "VmHWM:")) / (1024 * 1024)
    }

    /// Returns the peak of the number of open descriptors.
    pub fn peak_descriptors(&self) -> u64 {
        self.peaks.descriptors.load(Ordering::Relaxed)
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        self.peaks.stopped.store(true, Ordering::Relaxed);
    }
}

/// Returns a size from the status of a process; zero if the process has ended.
fn resident_bytes(process: u32, name: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let size = status.lines().find_map(|line| line.strip_prefix(name));
    let kibibytes = size.and_then(|size| size.split_whitespace().next()?.parse::<u64>().ok());
    kibibytes.unwrap_or_default() * 1024
}

fn open_descriptors(process: u32) -> u64 {
    std::fs::read_dir(format!("/proc/{process}/fd")).map_or(0, |entries| entries.count() as u64)
}

/// Returns the number of bytes in the receive queues of the connections to these ports.
fn unread_bytes(ports: &[u16]) -> u64 {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    table
        .lines()
        .skip(1)
        .filter_map(|line| unread_bytes_of(line, ports))
        .sum()
}

/// Returns the length of the receive queue of a line of `/proc/net/tcp`; `None` if its connection is not
/// one to these ports.
fn unread_bytes_of(line: &str, ports: &[u16]) -> Option<u64> {
    let mut fields = line.split_whitespace().skip(1);
    let (_, port) = fields.next()?.split_once(':')?;
    let port = u16::from_str_radix(port, 16).ok()?;
    let state = fields.nth(1)?;
    let (_, unread) = fields.next()?.split_once(':')?;
    if state == LISTENING || !ports.contains(&port) {
        return None;
    }
    u64::from_str_radix(unread, 16).ok()
}
