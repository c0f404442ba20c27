//! Stand-in for the platform's host list, which can lag behind the actual hosts.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use mangotrestle_platform::host_list::{HOSTS_PATH, Host, HostList, HostState};
use tokio::time::Instant;

use super::service::{self, StandIn};

/// Hosts in memory, with earlier states of the list for as long as the lag needs them.
#[derive(Debug, Default)]
pub struct Hosts {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lag: Duration,
    /// Versions of the list, oldest first.
    versions: VecDeque<ListVersion>,
}

#[derive(Clone, Debug)]
struct ListVersion {
    since: Instant,
    list: HostList,
}

/// A host list with a server and injectable faults.
pub type HostListStandIn = StandIn<Hosts>;

/// Returns an empty host list without lag.
#[must_use]
pub fn new() -> HostListStandIn {
    StandIn::new(Arc::new(Hosts::default()))
}

impl Hosts {
    /// Sets how far the list lags behind: readers get the version that was current `lag` ago.
    pub fn set_lag(&self, lag: Duration) {
        self.lock().lag = lag;
    }

    /// Adds a host, or replaces the one with the same name.
    pub fn put(&self, host: Host) {
        self.change(|hosts| {
            hosts.retain(|other| other.id != host.id);
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

    /// Removes a host from the list.
    pub fn remove(&self, id: &str) {
        self.change(|hosts| hosts.retain(|host| host.id != id));
    }

    /// Returns the version of the list that readers get now; empty if none is old enough.
    #[must_use]
    pub fn visible_list(&self) -> HostList {
        let mut state = self.lock();
        let now = Instant::now();
        let lag = state.lag;
        let is_visible =
            |version: &ListVersion| now.saturating_duration_since(version.since) >= lag;
        // Versions older than the one that readers get are not needed again.
        while state.versions.get(1).is_some_and(is_visible) {
            state.versions.pop_front();
        }
        state
            .versions
            .front()
            .filter(|version| is_visible(version))
            .map(|version| version.list.clone())
            .unwrap_or_default()
    }

    fn change(&self, change: impl FnOnce(&mut Vec<Host>)) {
        let mut state = self.lock();
        let mut list = state
            .versions
            .back()
            .map(|version| version.list.clone())
            .unwrap_or_default();
        change(&mut list.hosts);
        state.versions.push_back(ListVersion {
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
        match serde_json::to_vec(&self.visible_list()) {
            Ok(list) => service::answer(list),
            Err(_) => service::status(http::StatusCode::INTERNAL_SERVER_ERROR),
        }
    }
}
