//! What a connection of a server waits for, shared by its stream, its requests and its task.

use std::future::Future;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::Poll;
use std::time::{Duration, Instant};

use mangotrestle_core::collections::FastMap;
use mangotrestle_core::intake::{Closing, ConnectionId, Intake, Room, Wait};
use mangotrestle_core::time::TimeMs;
use tokio::sync::Notify;

use crate::{RequestLimits, Shared};

/// The open connections of a server.
pub(crate) type ConnectionStates = FastMap<ConnectionId, Weak<ConnectionState>>;

/// See the [module's documentation](self).
pub(crate) struct ConnectionState {
    id: ConnectionId,
    shared: Arc<Shared>,
    wait: Mutex<(Wait, Instant)>,
    /// Number of bytes received of the head that the connection waits for.
    head_bytes: AtomicUsize,
    /// Whether the head of a request was received.
    has_request: AtomicBool,
    /// Whether a request was answered before all of it was read.
    answered_early: AtomicBool,
    is_evicted: AtomicBool,
    evicted: Notify,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl ConnectionState {
    /// Admits a connection, for which another one may be closed. Returns `None` if there is no room.
    pub(crate) fn open(shared: &Arc<Shared>) -> Option<Arc<Self>> {
        let now = Instant::now();
        let opened = lock(&shared.intake).open(shared.time(now))?;
        if let Some(evicted) = opened.evicted {
            shared.evict(&[evicted]);
        }
        let state = Arc::new(Self {
            id: opened.id,
            shared: Arc::clone(shared),
            wait: Mutex::new((Wait::Request, now)),
            head_bytes: AtomicUsize::new(0),
            has_request: AtomicBool::new(false),
            answered_early: AtomicBool::new(false),
            is_evicted: AtomicBool::new(false),
            evicted: Notify::new(),
        });
        lock(&shared.states).insert(opened.id, Arc::downgrade(&state));
        Some(state)
    }

    /// Returns what the connection waits for.
    pub(crate) fn wait(&self) -> Wait {
        lock(&self.wait).0
    }

    /// Sets what the connection waits for from now on.
    pub(crate) fn set_wait(&self, wait: Wait) {
        let now = Instant::now();
        *lock(&self.wait) = (wait, now);
        lock(&self.shared.intake).set_wait(self.id, wait, self.shared.time(now));
    }

    /// Returns the limits of requests in force.
    pub(crate) fn request_limits(&self) -> RequestLimits {
        (self.shared.request_limits)()
    }

    /// Returns how many more bytes of a head may be received.
    pub(crate) fn remaining_head_bytes(&self) -> usize {
        let max = self.request_limits().max_head_bytes;
        max.saturating_sub(self.head_bytes.load(Ordering::Relaxed))
    }

    /// Notes bytes that were received.
    pub(crate) fn received(&self, bytes: usize) {
        match self.wait() {
            Wait::Request => {
                self.head_bytes.store(bytes, Ordering::Relaxed);
                self.set_wait(Wait::Head);
            }
            // What follows a complete request belongs to the next one.
            Wait::Head | Wait::Nothing => {
                self.head_bytes.fetch_add(bytes, Ordering::Relaxed);
            }
            Wait::Body | Wait::Close => {}
        }
    }

    /// Notes that a request's head is complete.
    pub(crate) fn head_complete(&self, has_body: bool) {
        self.head_bytes.store(0, Ordering::Relaxed);
        self.has_request.store(true, Ordering::Relaxed);
        self.set_wait(if has_body { Wait::Body } else { Wait::Nothing });
    }

    /// Whether nothing was ever received on the connection.
    pub(crate) fn is_unused(&self) -> bool {
        !self.has_request.load(Ordering::Relaxed) && self.wait() == Wait::Request
    }

    /// Notes that a request is complete, or that it is passed on before it is.
    pub(crate) fn request_complete(&self) {
        if self.wait() == Wait::Body {
            self.set_wait(Wait::Nothing);
        }
    }

    /// Notes that a request is answered before all of it was read.
    pub(crate) fn answer_early(&self) {
        self.answered_early.store(true, Ordering::Relaxed);
    }

    /// Whether a request was answered before all of it was read.
    pub(crate) fn was_answered_early(&self) -> bool {
        self.answered_early.load(Ordering::Relaxed)
    }

    /// Notes that a request was answered.
    pub(crate) fn answered(&self) {
        lock(&self.shared.intake).release_body(self.id);
        if self.wait() == Wait::Nothing {
            let has_next = self.head_bytes.load(Ordering::Relaxed) > 0;
            self.set_wait(if has_next { Wait::Head } else { Wait::Request });
        }
    }

    /// Makes room for some more bytes of the request's body. Returns whether there is.
    pub(crate) fn grow(&self, bytes: u64) -> bool {
        let room = lock(&self.shared.intake).grow(self.id, bytes);
        match room {
            Room::Granted { evicted } => {
                self.shared.evict(&evicted);
                true
            }
            Room::Refused => false,
        }
    }

    /// Reports that the server closes the connection.
    pub(crate) fn report(&self, reason: Closing) {
        self.shared.reports.closing(reason);
    }

    /// Returns the reason for which the connection is overdue now, if it is.
    pub(crate) fn overdue(&self, now: Instant) -> Option<Closing> {
        let (wait, since) = *lock(&self.wait);
        let (reason, timeout) = timeout_of(wait, &self.request_limits())?;
        (now.saturating_duration_since(since) >= timeout).then_some(reason)
    }

    /// Returns the time until which the connection waits, if there is one.
    pub(crate) fn deadline(&self) -> Option<Instant> {
        let (wait, since) = *lock(&self.wait);
        let (_, timeout) = timeout_of(wait, &self.request_limits())?;
        since.checked_add(timeout)
    }

    /// Waits until the connection has to be closed without another word, if it gives way to another one
    /// while there are too many.
    pub(crate) async fn closing_evicted(&self) {
        loop {
            let crowded = self.shared.crowded.notified();
            if self.is_evicted.load(Ordering::Acquire) && lock(&self.shared.intake).is_crowded() {
                return;
            }
            tokio::select! {
                () = crowded => {}
                () = self.evicted.notified() => {}
            }
        }
    }

    /// Waits until the connection has to give way to another one. One whose request became complete in the
    /// meantime is answered first. To be polled whenever the connection is.
    pub(crate) async fn evicted(&self) {
        let mut notified = pin!(self.evicted.notified());
        let mut is_notified = false;
        std::future::poll_fn(|context| {
            if !is_notified {
                is_notified = notified.as_mut().poll(context).is_ready();
            }
            let gives_way = self.is_evicted.load(Ordering::Acquire) && self.wait() != Wait::Nothing;
            if gives_way {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }
}

fn timeout_of(wait: Wait, limits: &RequestLimits) -> Option<(Closing, Duration)> {
    match wait {
        Wait::Request => Some((Closing::IdleTimeout, limits.idle_timeout)),
        Wait::Head => Some((Closing::HeadTimeout, limits.head_timeout)),
        Wait::Body | Wait::Nothing | Wait::Close => None,
    }
}

impl Drop for ConnectionState {
    fn drop(&mut self) {
        lock(&self.shared.intake).close(self.id);
        lock(&self.shared.states).remove(&self.id);
        self.shared.closed.notify_one();
    }
}

impl Shared {
    fn time(&self, now: Instant) -> TimeMs {
        let elapsed_ms = now.saturating_duration_since(self.epoch).as_millis();
        TimeMs(u64::try_from(elapsed_ms).unwrap_or(u64::MAX))
    }

    /// Tells connections to close.
    fn evict(&self, connections: &[ConnectionId]) {
        for connection in connections {
            let state = lock(&self.states).get(connection).and_then(Weak::upgrade);
            if let Some(state) = state {
                state.is_evicted.store(true, Ordering::Release);
                state.evicted.notify_one();
            }
            self.reports.closing(Closing::Evicted);
        }
    }

    /// Waits while too many connections are open. Those that gave way are closed meanwhile.
    pub(crate) async fn wait_for_room(&self) {
        while lock(&self.intake).is_crowded() {
            self.crowded.notify_waiters();
            self.closed.notified().await;
        }
    }

    /// Returns the intake of a server, for its metrics.
    pub(crate) fn intake(&self) -> MutexGuard<'_, Intake> {
        lock(&self.intake)
    }
}
