//! One entry host's view of the others.

use std::collections::BTreeMap;

use super::{failure_detector, rendezvous};
use crate::id;
use crate::time;

/// Number of next candidates of a pool that watch its first candidate closely.
const STANDBY_WATCHERS_PER_POOL: usize = 2;
/// Number of near intervals that a newly listed peer has until its first heartbeat.
const FIRST_HEARTBEAT_GRACE_INTERVALS: u64 = 4;
/// Heartbeats to other zones are sent every `n` far intervals, where `n` is the number of hosts in
/// other zones divided by this, rounded up.
const OTHER_ZONE_HOSTS_PER_INTERVAL: usize = 10;

/// Content of a received heartbeat or of the answer to one.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedHeartbeat {
    /// The sender.
    pub host: id::EntryHostId,
    /// Incarnation of the sender's process.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Whether it is shutting down and releasing its pools.
    pub leaving: bool,
    /// Highest configuration version that it has.
    pub config_version: u64,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// The host is in service.
    Live,
    /// The host is about to be removed.
    Leaving,
}

/// An entry host in the platform's list. The list lags behind the real state.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListedHost {
    /// The host.
    pub host: id::EntryHostId,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Address, `ip:port`, at which peers reach it.
    pub address: String,
    /// State in the list.
    pub state: ListedState,
}

/// Believed state of a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerState {
    /// Heartbeats arrive as expected.
    Alive,
    /// The next heartbeat is overdue, or the first is still awaited.
    Suspected,
    /// No heartbeat has arrived for a long time, or none ever.
    Dead,
}

/// A change of a peer's believed state, for the log and for `status`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerChange {
    /// The peer.
    pub host: id::EntryHostId,
    /// Previous state.
    pub from: PeerState,
    /// New state.
    pub to: PeerState,
}

/// Builds a [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipBuilder {
    host: id::EntryHostId,
    availability_zone: id::AvailabilityZoneId,
    near_interval_ms: time::SpanMs,
    far_interval_ms: time::SpanMs,
    suspect_level: f64,
    dead_level: f64,
    forget_after_ms: time::SpanMs,
}

impl MembershipBuilder {
    /// Sets the interval of heartbeats to hosts that this one is a standby for as the leader of a
    /// pool. Default: 600 ms.
    #[must_use]
    pub const fn near_interval_ms(mut self, interval: time::SpanMs) -> Self {
        self.near_interval_ms = interval;
        self
    }

    /// Sets the interval of heartbeats to all other hosts. For hosts in other zones it is
    /// multiplied by a tenth of the number of those hosts, rounded up. Default: 5 s.
    #[must_use]
    pub const fn far_interval_ms(mut self, interval: time::SpanMs) -> Self {
        self.far_interval_ms = interval;
        self
    }

    /// Sets the suspicion level from which a peer counts as suspected. Default: 3.
    #[must_use]
    pub const fn suspect_level(mut self, level: f64) -> Self {
        self.suspect_level = level;
        self
    }

    /// Sets the suspicion level from which a peer counts as dead. Default: 8.
    #[must_use]
    pub const fn dead_level(mut self, level: f64) -> Self {
        self.dead_level = level;
        self
    }

    /// Sets the time without heartbeats after which a peer that is missing from the host list is
    /// removed. Default: 60 s.
    #[must_use]
    pub const fn forget_after_ms(mut self, interval: time::SpanMs) -> Self {
        self.forget_after_ms = interval;
        self
    }

    /// Creates a membership that contains only the local host.
    #[must_use]
    pub const fn build(self) -> Membership {
        Membership {
            settings: self,
            peers: BTreeMap::new(),
            leaving: false,
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    availability_zone: id::AvailabilityZoneId,
    address: Option<String>,
    listed: Option<ListedState>,
    incarnation: Option<id::Incarnation>,
    config_version: u64,
    reported_leaving: bool,
    detector: Option<failure_detector::FailureDetector>,
    /// Whether heartbeats to the peer are sent at the near interval.
    near: bool,
    first_seen_at: time::TimeMs,
    next_heartbeat_at: time::TimeMs,
    last_reported_state: PeerState,
}

impl Peer {
    const fn new(availability_zone: id::AvailabilityZoneId, now: time::TimeMs) -> Self {
        Self {
            availability_zone,
            address: None,
            listed: None,
            incarnation: None,
            config_version: 0,
            reported_leaving: false,
            detector: None,
            near: false,
            first_seen_at: now,
            next_heartbeat_at: now,
            last_reported_state: PeerState::Dead,
        }
    }

    fn is_leaving(&self) -> bool {
        self.reported_leaving || self.listed == Some(ListedState::Leaving)
    }
}

/// Heartbeat intervals that depend on the number of hosts.
#[derive(Clone, Copy, Debug)]
struct HeartbeatIntervals {
    other_zones_ms: time::SpanMs,
}

impl HeartbeatIntervals {
    fn for_peer(self, settings: &MembershipBuilder, peer: &Peer) -> time::SpanMs {
        if peer.near {
            settings.near_interval_ms
        } else if peer.availability_zone == settings.availability_zone {
            settings.far_interval_ms
        } else {
            self.other_zones_ms
        }
    }
}

/// One entry host's view of all entry hosts.
///
/// The local host is always part of the view. Heartbeats are sent often to the few hosts that this
/// one is a standby for as a pool's leader, and rarely to all others. A heartbeat and its answer
/// serve both sides, and the interval to other zones grows with the number of hosts there, so the
/// cost for each host hardly grows with the number of hosts. Urgent changes are sent immediately,
/// by [`announce`](Self::announce).
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipBuilder,
    peers: BTreeMap<id::EntryHostId, Peer>,
    leaving: bool,
}

impl Membership {
    /// Returns a builder for the view of this host.
    #[must_use]
    pub const fn builder(
        host: id::EntryHostId,
        availability_zone: id::AvailabilityZoneId,
    ) -> MembershipBuilder {
        MembershipBuilder {
            host,
            availability_zone,
            near_interval_ms: time::SpanMs(600),
            far_interval_ms: time::SpanMs(5_000),
            suspect_level: 3.0,
            dead_level: 8.0,
            forget_after_ms: time::SpanMs(60_000),
        }
    }

    /// Marks the local host as shutting down: it is no longer a candidate for any pool.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Records a heartbeat or the answer to one. Returns whether it counted: a delayed message from
    /// an earlier incarnation of the sender does not, nor does one from the local host.
    pub fn record_heartbeat(&mut self, now: time::TimeMs, heartbeat: &ReceivedHeartbeat) -> bool {
        if heartbeat.host == self.settings.host {
            return false;
        }
        let intervals = self.heartbeat_intervals();
        let peer = self
            .peers
            .entry(heartbeat.host.clone())
            .or_insert_with(|| Peer::new(heartbeat.availability_zone.clone(), now));
        if peer.incarnation > Some(heartbeat.incarnation) {
            return false;
        }
        if peer.incarnation < Some(heartbeat.incarnation) {
            peer.incarnation = Some(heartbeat.incarnation);
            peer.reported_leaving = false;
            peer.config_version = 0;
            peer.detector = None;
        }
        peer.availability_zone = heartbeat.availability_zone.clone();
        let expected_interval = intervals.for_peer(&self.settings, peer);
        // The exchange serves both sides, so the next one is due an interval from now.
        peer.next_heartbeat_at = peer.next_heartbeat_at.max(now + expected_interval);
        peer.reported_leaving |= heartbeat.leaving;
        peer.config_version = peer.config_version.max(heartbeat.config_version);
        match &mut peer.detector {
            Some(detector) => detector.heartbeat(now),
            None => {
                peer.detector = Some(failure_detector::FailureDetector::new(
                    now,
                    expected_interval,
                ));
            }
        }
        true
    }

    /// Sets the address that a peer reported for itself.
    pub fn set_address(&mut self, host: &id::EntryHostId, address: &str) {
        if let Some(peer) = self.peers.get_mut(host)
            && peer.address.as_deref() != Some(address)
        {
            peer.address = Some(address.to_owned());
        }
    }

    /// Updates the view from the platform's list of entry hosts.
    ///
    /// A host that is missing from the list stays as long as its heartbeats arrive, because the
    /// list lags.
    pub fn update_listed_hosts(&mut self, now: time::TimeMs, hosts: &[ListedHost]) {
        for peer in self.peers.values_mut() {
            peer.listed = None;
        }
        for listed in hosts {
            if listed.host == self.settings.host {
                continue;
            }
            let peer = self
                .peers
                .entry(listed.host.clone())
                .or_insert_with(|| Peer::new(listed.availability_zone.clone(), now));
            peer.listed = Some(listed.state);
            peer.address = Some(listed.address.clone());
        }
        let forget_after_ms = self.settings.forget_after_ms;
        self.peers.retain(|_, peer| {
            let detector = peer.detector.as_ref();
            let is_unresponsive = detector
                .is_none_or(|detector| now.since(detector.last_heartbeat_at()) > forget_after_ms);
            peer.listed.is_some() || !is_unresponsive
        });
    }

    /// Recomputes which hosts to watch closely, from the pools of the local zone. Call it when the
    /// pools or the hosts change, or in each iteration of the control loop.
    pub fn watch_pools<'a>(
        &mut self,
        now: time::TimeMs,
        pools: impl IntoIterator<Item = &'a id::PoolId>,
    ) {
        let watched = self.hosts_to_watch(now, pools);
        let unresponsive: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| self.state_of(peer, now) != PeerState::Alive)
            .map(|(host, _)| host.clone())
            .collect();
        let intervals = self.heartbeat_intervals();
        for (host, peer) in &mut self.peers {
            // A longer expected interval would make a host with overdue heartbeats look alive
            // again.
            let is_unresponsive = unresponsive.contains(host);
            let near = watched.contains(host) || (peer.near && is_unresponsive);
            let was_near = std::mem::replace(&mut peer.near, near);
            let newly_near = near && !was_near;
            let interval = intervals.for_peer(&self.settings, peer);
            if let Some(detector) = &mut peer.detector
                && (newly_near || !is_unresponsive)
            {
                detector.set_expected_interval(now, interval);
            }
            if newly_near {
                peer.next_heartbeat_at = now;
            }
        }
    }

    fn heartbeat_intervals(&self) -> HeartbeatIntervals {
        let local_zone = &self.settings.availability_zone;
        let in_other_zone = |peer: &&Peer| peer.availability_zone != *local_zone;
        let other_zone_hosts = self.peers.values().filter(in_other_zone).count();
        let interval_factor = other_zone_hosts
            .div_ceil(OTHER_ZONE_HOSTS_PER_INTERVAL)
            .max(1) as u64;
        HeartbeatIntervals {
            other_zones_ms: time::SpanMs(
                self.settings
                    .far_interval_ms
                    .0
                    .saturating_mul(interval_factor),
            ),
        }
    }

    /// Makes a heartbeat to every peer due now, for changes that should not wait: this host leads
    /// another pool, or it is leaving.
    pub fn announce(&mut self, now: time::TimeMs) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat_at = now;
        }
    }

    /// Returns the first candidates of pools for which the local host is among the next candidates.
    fn hosts_to_watch<'a>(
        &self,
        now: time::TimeMs,
        pools: impl IntoIterator<Item = &'a id::PoolId>,
    ) -> Vec<id::EntryHostId> {
        let hosts = self.candidates(now, &self.settings.availability_zone);
        let mut watched = Vec::new();
        for pool in pools {
            let ranked =
                rendezvous::ranked(pool.as_str(), hosts.iter(), 1 + STANDBY_WATCHERS_PER_POOL);
            let is_standby = ranked.iter().skip(1).any(|&h| *h == self.settings.host);
            if let Some(&first) = ranked.first()
                && is_standby
                && !watched.contains(first)
            {
                watched.push(first.clone());
            }
        }
        watched
    }

    /// Returns the peers to which a heartbeat is due, and schedules the next one to each.
    pub fn due_heartbeats(&mut self, now: time::TimeMs) -> Vec<id::EntryHostId> {
        let intervals = self.heartbeat_intervals();
        let mut due = Vec::new();
        for (host, peer) in &mut self.peers {
            if peer.next_heartbeat_at > now {
                continue;
            }
            peer.next_heartbeat_at = now + intervals.for_peer(&self.settings, peer);
            due.push(host.clone());
        }
        due
    }

    /// Returns the believed state of a host. The local host is always alive, an unknown one is
    /// dead.
    #[must_use]
    pub fn state(&self, host: &id::EntryHostId, now: time::TimeMs) -> PeerState {
        if *host == self.settings.host {
            return PeerState::Alive;
        }
        self.peers
            .get(host)
            .map_or(PeerState::Dead, |peer| self.state_of(peer, now))
    }

    fn state_of(&self, peer: &Peer, now: time::TimeMs) -> PeerState {
        let Some(detector) = &peer.detector else {
            return self.state_before_first_heartbeat(peer, now);
        };
        let level = detector.level(now);
        if level >= self.settings.dead_level {
            PeerState::Dead
        } else if level >= self.settings.suspect_level {
            PeerState::Suspected
        } else {
            PeerState::Alive
        }
    }

    /// Returns the state of a listed peer without a heartbeat so far. It counts as suspected for a
    /// while, so that a host that has just started does not become the candidate for every pool.
    fn state_before_first_heartbeat(&self, peer: &Peer, now: time::TimeMs) -> PeerState {
        let grace_ms = self
            .settings
            .near_interval_ms
            .0
            .saturating_mul(FIRST_HEARTBEAT_GRACE_INTERVALS);
        if now.since(peer.first_seen_at).0 < grace_ms {
            PeerState::Suspected
        } else {
            PeerState::Dead
        }
    }

    /// Returns the peers whose state has changed since the last call.
    pub fn changes(&mut self, now: time::TimeMs) -> Vec<PeerChange> {
        let states: Vec<_> = self
            .peers
            .iter()
            .map(|(host, peer)| (host.clone(), self.state_of(peer, now)))
            .collect();
        let mut changes = Vec::new();
        for (host, to) in states {
            let Some(peer) = self.peers.get_mut(&host) else {
                continue;
            };
            let from = std::mem::replace(&mut peer.last_reported_state, to);
            if from != to {
                changes.push(PeerChange { host, from, to });
            }
        }
        changes
    }

    /// Returns all known peers with their believed states, in order of their names.
    pub fn peers(
        &self,
        now: time::TimeMs,
    ) -> impl Iterator<Item = (&id::EntryHostId, PeerState)> + '_ {
        self.peers
            .iter()
            .map(move |(host, peer)| (host, self.state_of(peer, now)))
    }

    /// Returns the address of a peer, as last given by the host list or the peer itself.
    #[must_use]
    pub fn address(&self, host: &id::EntryHostId) -> Option<&str> {
        self.peers.get(host)?.address.as_deref()
    }

    /// Returns the hosts of a zone that may lead its pools: those that are neither dead nor
    /// leaving, the local host included.
    #[must_use]
    pub fn candidates(
        &self,
        now: time::TimeMs,
        zone: &id::AvailabilityZoneId,
    ) -> Vec<id::EntryHostId> {
        let local = (*zone == self.settings.availability_zone && !self.leaving)
            .then(|| self.settings.host.clone());
        let is_eligible = |peer: &Peer| {
            peer.availability_zone == *zone
                && !peer.is_leaving()
                && self.state_of(peer, now) != PeerState::Dead
        };
        let peers = self.peers.iter().filter(|(_, peer)| is_eligible(peer));
        local
            .into_iter()
            .chain(peers.map(|(host, _)| host.clone()))
            .collect()
    }

    /// Returns the host of the local zone that should try to lead a pool.
    #[must_use]
    pub fn candidate(&self, pool: &id::PoolId, now: time::TimeMs) -> Option<id::EntryHostId> {
        let hosts = self.candidates(now, &self.settings.availability_zone);
        rendezvous::owner(pool.as_str(), hosts.iter()).cloned()
    }

    /// Whether the local host should try to lead a pool.
    #[must_use]
    pub fn should_lead(&self, pool: &id::PoolId, now: time::TimeMs) -> bool {
        self.candidate(pool, now).as_ref() == Some(&self.settings.host)
    }

    /// Returns the configuration version that a peer reported; 0 if it reported none.
    #[must_use]
    pub fn config_version(&self, host: &id::EntryHostId) -> u64 {
        self.peers.get(host).map_or(0, |peer| peer.config_version)
    }

    /// Returns the peers not believed dead that have a higher configuration version than the given
    /// one.
    pub fn peers_with_config_above(
        &self,
        version: u64,
        now: time::TimeMs,
    ) -> impl Iterator<Item = &id::EntryHostId> + '_ {
        let has_newer = move |peer: &Peer| {
            peer.config_version > version && self.state_of(peer, now) != PeerState::Dead
        };
        let peers = self.peers.iter().filter(move |(_, peer)| has_newer(peer));
        peers.map(|(host, _)| host)
    }

    /// Returns the highest configuration version of peers not believed dead; 0 if there are none.
    #[must_use]
    pub fn highest_config_version(&self, now: time::TimeMs) -> u64 {
        let not_believed_dead = |peer: &&Peer| self.state_of(peer, now) != PeerState::Dead;
        let peers = self.peers.values().filter(not_believed_dead);
        peers.map(|peer| peer.config_version).max().unwrap_or(0)
    }
}
