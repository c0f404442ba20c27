//! Stand-in for the platform's host list: shows what was true a while ago.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use mangotrestle_platform::host_list::{HOSTS_PATH, Host, HostList, HostState};
use tokio::time::Instant;

use super::service::{self, Served};

/// The list.
#[derive(Debug, Default)]
pub struct Hosts {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    /// Lists by the time from which they held, oldest first.
    lists: VecDeque<Dated>,
}

#[derive(Clone, Debug)]
struct Dated {
    since: Instant,
    list: HostList,
}

/// A host list that can be reached and made to misbehave.
pub type HostListStandIn = Served<Hosts>;

/// A new empty list without lag.
#[must_use]
pub fn new() -> HostListStandIn {
    Served::new(Arc::new(Hosts::default()))
}

impl Hosts {
    /// Lets the list show what was true so long ago.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host, or replaces the one with its name.
    pub fn put(&self, host: Host) {
        self.change(|hosts| {
            hosts.retain(|known| known.id != host.id);
            hosts.push(host);
        });
    }

    /// Marks a host as leaving.
    pub fn set_leaving(&self, id: &str) {
        self.change(|hosts| {
            for host in hosts.iter_mut().filter(|host| host.id == id) {
                host.state = HostState::Leaving;
            }
        });
    }

    /// Takes a host off the list.
    pub fn remove(&self, id: &str) {
        self.change(|hosts| hosts.retain(|host| host.id != id));
    }

    /// The list as it is shown now.
    #[must_use]
    pub fn shown(&self) -> HostList {
        let mut state = self.lock();
        let now = Instant::now();
        let lag = state.lag;
        let is_shown = |dated: &Dated| now.saturating_duration_since(dated.since) >= lag;
        // Lists older than the one shown are not needed again.
        while state.lists.get(1).is_some_and(is_shown) {
            state.lists.pop_front();
        }
        state
            .lists
            .front()
            .filter(|dated| is_shown(dated))
            .map(|dated| dated.list.clone())
            .unwrap_or_default()
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut state = self.lock();
        let mut list = state
            .lists
            .back()
            .map(|dated| dated.list.clone())
            .unwrap_or_default();
        change(&mut list.hosts);
        state.lists.push_back(Dated {
            since: Instant::now(),
            list,
        });
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl service::Service for Hosts {
    fn handle(&self, request: &http::Request<Bytes>) -> http::Response<Bytes> {
        if request.uri().path() != HOSTS_PATH {
            return service::status(http::StatusCode::NOT_FOUND);
        }
        match serde_json::to_vec(&self.shown()) {
            Ok(list) => service::answer(list),
            Err(_) => service::status(http::StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}
