//! HTTP/1.1 server whose memory and descriptors its clients cannot exhaust.
//!
//! [`Server`] serves one listener. It limits the number of its connections, the size of a request's head
//! and the time that a client takes for it, and the total size of the bodies that its process holds
//! ([`body::collect`]); [`intake`] decides whose connection is closed when there is no room. A client
//! that is refused gets an answer, which arrives even if it is still sending.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use mangotrestle_core::intake::{self, Closing};
use tokio::sync::Notify;

pub mod body;
mod connection;
mod refusal;
mod server;
mod state;
mod stream;

pub use server::{Builder, Handler, Server, limit_receive_buffers};

/// Limits of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestLimits {
    /// Maximum size of a head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum time from the first byte of a head to its last one.
    pub head_timeout: Duration,
    /// Maximum time that a connection waits for a request.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// 64 KiB, 10 s and 75 s.
    fn default() -> Self {
        Self {
            max_head_bytes: 64 * 1024,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
        }
    }
}

/// Interval between two log lines about the same reason.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Reports connections that a server closes: each in a metric, and at most one log line a second for each
/// reason, so that a crowd does not become a load of log lines.
pub(crate) struct Reports {
    listener: &'static str,
    log: slog::Logger,
    reasons: [Mutex<ReasonReport>; Closing::ALL.len()],
}

#[derive(Default)]
struct ReasonReport {
    last: Option<Instant>,
    unreported: u64,
}

impl Reports {
    pub(crate) fn new(listener: &'static str, log: slog::Logger) -> Self {
        Self {
            listener,
            log,
            reasons: Closing::ALL.map(|_| Mutex::default()),
        }
    }

    /// Reports a connection that is closed.
    pub(crate) fn closing(&self, reason: Closing) {
        metrics::counter!("mangotrestle_connections_closed_total",
            "listener" => self.listener, "reason" => reason.name())
        .increment(1);
        let report = &self.reasons[reason as usize];
        let mut report = report.lock().unwrap_or_else(PoisonError::into_inner);
        report.unreported += 1;
        let now = Instant::now();
        let is_due = report.last.is_none_or(|last| now - last >= REPORT_INTERVAL);
        if is_due {
            slog::info!(self.log, "connection.closed"; "listener" => self.listener,
                "reason" => reason.name(), "connections" => report.unreported);
            *report = ReasonReport {
                last: Some(now),
                unreported: 0,
            };
        }
    }
}

/// What all connections of a server share.
pub(crate) struct Shared {
    pub(crate) intake: Mutex<intake::Intake>,
    pub(crate) states: Mutex<state::ConnectionStates>,
    pub(crate) reports: Reports,
    pub(crate) request_limits: Box<dyn Fn() -> RequestLimits + Send + Sync>,
    pub(crate) epoch: Instant,
    /// Notified when too many connections are open.
    pub(crate) crowded: Notify,
    /// Notified when a connection is closed.
    pub(crate) closed: Notify,
}
