//! Limits on what the clients of a server make its process hold, and whose connection is closed when
//! there is no room.
//!
//! A limit for each connection is none for the process, since connections are many. An [`Intake`]
//! therefore counts the connections of a server and the bytes of the bodies that it holds. A client that
//! sends incomplete requests keeps its room for as long as it likes, so room is not first come, first
//! served: when there is none, the connection that has kept the server waiting longest gives way. An
//! ordinary request is complete within milliseconds and is therefore never the one that gives way while
//! a crowd waits. A request that is complete is never interrupted.
//!
//! A connection that gives way is told so, which takes a moment. A few connections may therefore be open
//! beyond the maximum; when there are more, they are closed without a word.

use crate::collections::FastMap;
use crate::time::TimeMs;

/// Divisor of the maximum number of connections that gives that of the connections that may be open beyond it.
const SURPLUS_DIVISOR: usize = 8;

/// Identifies a connection of one server.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct ConnectionId(u64);

/// Limits of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum size of the bodies that the server holds at the same time, in bytes.
    pub max_body_bytes: u64,
}

impl Limits {
    /// Returns the number of connections that may be open beyond the maximum while they are closed.
    #[must_use]
    pub const fn surplus_connections(&self) -> usize {
        self.max_connections / SURPLUS_DIVISOR + 1
    }
}

/// What a server waits for on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Wait {
    /// The first byte of a request.
    Request,
    /// The end of a request's head.
    Head,
    /// The end of a request's body.
    Body,
    /// Nothing: a complete request is being answered.
    Nothing,
    /// The client's end of a connection that the server has closed.
    Close,
}

/// Reason for which a server closes a connection before its client does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Closing {
    /// Another connection needs the room.
    Evicted,
    /// All connections are in use by complete requests.
    Full,
    /// The head of a request is larger than allowed.
    HeadTooLarge,
    /// The head of a request took too long.
    HeadTimeout,
    /// No request came for too long.
    IdleTimeout,
}

impl Closing {
    /// All reasons.
    pub const ALL: [Self; 5] = [
        Self::Evicted,
        Self::Full,
        Self::HeadTooLarge,
        Self::HeadTimeout,
        Self::IdleTimeout,
    ];

    /// Returns the name of the reason in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Evicted => "evicted",
            Self::Full => "full",
            Self::HeadTooLarge => "head_too_large",
            Self::HeadTimeout => "head_timeout",
            Self::IdleTimeout => "idle_timeout",
        }
    }
}

/// A connection that was accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Opened {
    /// The new connection.
    pub id: ConnectionId,
    /// The connection that has to be closed for it.
    pub evicted: Option<ConnectionId>,
}

/// Answer to a connection that needs room for a body.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Room {
    /// There is room once these connections are closed.
    Granted {
        /// The connections to close.
        evicted: Vec<ConnectionId>,
    },
    /// There is none.
    Refused,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    wait: Wait,
    /// Time since which the server has waited for the client.
    since: TimeMs,
    body_bytes: u64,
    /// Whether it has to be closed; its bytes no longer count.
    is_evicted: bool,
}

impl Connection {
    /// Whether the server may close it for another one.
    fn can_give_way(&self) -> bool {
        !self.is_evicted && self.wait != Wait::Nothing
    }
}

/// Connections of a server and what they make it hold.
#[derive(Debug)]
pub struct Intake {
    limits: Limits,
    connections: FastMap<ConnectionId, Connection>,
    /// Number of connections that do not have to be closed.
    counted: usize,
    body_bytes: u64,
    next_id: u64,
}

impl Intake {
    /// Creates the intake of a server without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: FastMap::default(),
            counted: 0,
            body_bytes: 0,
            next_id: 0,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.len()
    }

    /// Whether so many connections are open that those that gave way have to be closed at once.
    #[must_use]
    pub fn is_crowded(&self) -> bool {
        self.connections.len() > self.limits.max_connections + self.limits.surplus_connections()
    }

    /// Returns the size of the bodies held, in bytes.
    #[must_use]
    pub const fn body_bytes(&self) -> u64 {
        self.body_bytes
    }

    /// Admits a new connection, for which another one may have to be closed. Returns `None` if all
    /// connections are in use by complete requests.
    pub fn open(&mut self, now: TimeMs) -> Option<Opened> {
        let mut evicted = None;
        if self.counted >= self.limits.max_connections {
            let id = self.longest_waiting()?;
            self.evict(id);
            evicted = Some(id);
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.counted += 1;
        let connection = Connection {
            wait: Wait::Request,
            since: now,
            body_bytes: 0,
            is_evicted: false,
        };
        self.connections.insert(id, connection);
        Some(Opened { id, evicted })
    }

    /// Notes what the server waits for on a connection. The wait for a request counts from its first
    /// byte to its last one.
    pub fn set_wait(&mut self, id: ConnectionId, wait: Wait, now: TimeMs) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if wait != Wait::Body {
            connection.since = now;
        }
        connection.wait = wait;
    }

    /// Makes room for a connection's body to grow by some bytes. Only connections that have waited for
    /// longer give way to it.
    pub fn grow(&mut self, id: ConnectionId, bytes: u64) -> Room {
        let Some(&growing) = self.connections.get(&id) else {
            return Room::Refused;
        };
        if growing.is_evicted {
            return Room::Refused;
        }
        let total = self.body_bytes.saturating_add(bytes);
        let mut excess = total.saturating_sub(self.limits.max_body_bytes);
        let mut evicted = Vec::new();
        if excess > 0 {
            for (holder, held_bytes) in self.older_bodies(id, growing.since) {
                evicted.push(holder);
                excess = excess.saturating_sub(held_bytes);
                if excess == 0 {
                    break;
                }
            }
        }
        if excess > 0 {
            return Room::Refused;
        }
        for &holder in &evicted {
            self.evict(holder);
        }
        self.body_bytes += bytes;
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.body_bytes += bytes;
        }
        Room::Granted { evicted }
    }

    /// Notes that a connection holds no body any more.
    pub fn release_body(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            self.body_bytes -= connection.body_bytes;
            connection.body_bytes = 0;
        }
    }

    /// Removes a connection that is closed.
    pub fn close(&mut self, id: ConnectionId) {
        self.release_body(id);
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if !connection.is_evicted {
            self.counted -= 1;
        }
    }

    fn evict(&mut self, id: ConnectionId) {
        self.release_body(id);
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.is_evicted = true;
            self.counted -= 1;
        }
    }

    /// Returns the connection that has kept the server waiting longest; one that is being closed goes
    /// first.
    fn longest_waiting(&self) -> Option<ConnectionId> {
        let candidates = self.connections.iter();
        candidates
            .filter(|(_, connection)| connection.can_give_way())
            .min_by_key(|(id, connection)| (connection.wait != Wait::Close, connection.since, id.0))
            .map(|(&id, _)| id)
    }

    /// Returns the connections with incomplete bodies that have waited for longer than since a time, the
    /// longest waiting first, each with the size of its body in bytes.
    fn older_bodies(&self, except: ConnectionId, since: TimeMs) -> Vec<(ConnectionId, u64)> {
        let candidates = self.connections.iter().filter(|(id, connection)| {
            **id != except
                && connection.can_give_way()
                && connection.body_bytes > 0
                && (connection.since, id.0) < (since, except.0)
        });
        let mut older: Vec<_> = candidates
            .map(|(&id, connection)| (connection.since, id, connection.body_bytes))
            .collect();
        older.sort_unstable_by_key(|&(since, id, _)| (since, id.0));
        older
            .into_iter()
            .map(|(_, id, body_bytes)| (id, body_bytes))
            .collect()
    }
}
