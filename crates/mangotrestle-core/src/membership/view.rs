//! The view of one entry host on all others.

use std::collections::BTreeMap;

use super::{failure_detector, rendezvous};
use crate::id;
use crate::time;

/// Number of candidates behind the first that watch a pool's first candidate closely.
const WATCHERS: usize = 2;
/// Near intervals within which a newly listed peer has to be heard.
const INTRODUCTION_INTERVALS: u64 = 4;
/// Hosts of other zones that share one far interval.
const FAR_HOSTS_PER_INTERVAL: usize = 10;

/// What a heartbeat says about its sender.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ReceivedHeartbeat {
    /// The sender.
    pub host: id::EntryHostId,
    /// One life of the sender's process.
    pub incarnation: id::Incarnation,
    /// Its availability zone.
    pub availability_zone: id::AvailabilityZoneId,
    /// Whether it is shutting down and gives its pools away.
    pub leaving: bool,
    /// Highest configuration version that it holds.
    pub config_version: u64,
}

/// State of a host in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListedState {
    /// In service.
    Live,
    /// About to go.
    Leaving,
}

/// An entry host as the platform's list shows it. The list lags.
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

/// What is believed about a peer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum PeerState {
    /// It answers.
    Alive,
    /// It is later than usual.
    Suspected,
    /// It has been silent for long, or has never been heard.
    Dead,
}

/// A change of belief, for the log and for `status`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerChange {
    /// The peer.
    pub host: id::EntryHostId,
    /// What was believed before.
    pub from: PeerState,
    /// What is believed now.
    pub to: PeerState,
}

/// Sets up a [`Membership`].
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
    /// Distance of heartbeats to hosts that this one stands by to replace. Default: 600 ms.
    #[must_use]
    pub const fn near_interval_ms(mut self, interval: time::SpanMs) -> Self {
        self.near_interval_ms = interval;
        self
    }

    /// Distance of heartbeats to all other hosts; it grows with every ten hosts in other zones, for
    /// those. Default: 5 s.
    #[must_use]
    pub const fn far_interval_ms(mut self, interval: time::SpanMs) -> Self {
        self.far_interval_ms = interval;
        self
    }

    /// Suspicion level from which a peer counts as suspected. Default: 3.
    #[must_use]
    pub const fn suspect_level(mut self, level: f64) -> Self {
        self.suspect_level = level;
        self
    }

    /// Suspicion level from which a peer counts as dead. Default: 8.
    #[must_use]
    pub const fn dead_level(mut self, level: f64) -> Self {
        self.dead_level = level;
        self
    }

    /// Silence after which a peer that the host list no longer names is forgotten. Default: 60 s.
    #[must_use]
    pub const fn forget_after_ms(mut self, silence: time::SpanMs) -> Self {
        self.forget_after_ms = silence;
        self
    }

    /// The membership, empty but for the local host.
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
    said_leaving: bool,
    detector: Option<failure_detector::FailureDetector>,
    near: bool,
    first_seen_ms: time::TimeMs,
    next_heartbeat_ms: time::TimeMs,
    reported: PeerState,
}

impl Peer {
    const fn new(availability_zone: id::AvailabilityZoneId, now: time::TimeMs) -> Self {
        Self {
            availability_zone,
            address: None,
            listed: None,
            incarnation: None,
            config_version: 0,
            said_leaving: false,
            detector: None,
            near: false,
            first_seen_ms: now,
            next_heartbeat_ms: now,
            reported: PeerState::Dead,
        }
    }

    fn is_leaving(&self) -> bool {
        self.said_leaving || self.listed == Some(ListedState::Leaving)
    }
}

/// Distances of heartbeats that depend on the number of hosts.
#[derive(Clone, Copy, Debug)]
struct Intervals {
    other_zones_ms: time::SpanMs,
}

impl Intervals {
    fn of(self, settings: &MembershipBuilder, peer: &Peer) -> time::SpanMs {
        if peer.near {
            settings.near_interval_ms
        } else if peer.availability_zone == settings.availability_zone {
            settings.far_interval_ms
        } else {
            self.other_zones_ms
        }
    }
}

/// The entry hosts as one of them sees them.
///
/// The local host is always part of the view. Heartbeats go often to the few hosts that this one
/// stands by to replace as a pool's leader, and rarely to all others. An exchange serves both of
/// its sides, and the distance of heartbeats to other zones grows with the hosts there, so the cost
/// of a host hardly grows with the number of hosts. What must not wait is sent at once, by
/// [`announce`](Self::announce).
#[derive(Clone, Debug)]
pub struct Membership {
    settings: MembershipBuilder,
    peers: BTreeMap<id::EntryHostId, Peer>,
    leaving: bool,
}

impl Membership {
    /// Starts to set up the view of this host.
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

    /// Marks the local host as shutting down: it is no candidate for any pool any more.
    pub const fn set_leaving(&mut self) {
        self.leaving = true;
    }

    /// Takes in a heartbeat or the answer to one. Returns whether it counted: a delayed message of
    /// an earlier life of the sender does not.
    pub fn record_heartbeat(&mut self, now: time::TimeMs, heard: &ReceivedHeartbeat) -> bool {
        if heard.host == self.settings.host {
            return false;
        }
        let intervals = self.intervals();
        let peer = self
            .peers
            .entry(heard.host.clone())
            .or_insert_with(|| Peer::new(heard.availability_zone.clone(), now));
        if peer.incarnation > Some(heard.incarnation) {
            return false;
        }
        if peer.incarnation < Some(heard.incarnation) {
            peer.incarnation = Some(heard.incarnation);
            peer.said_leaving = false;
            peer.config_version = 0;
            peer.detector = None;
        }
        peer.availability_zone = heard.availability_zone.clone();
        let expected = intervals.of(&self.settings, peer);
        // The exchange served both sides; the next one is due an interval later.
        peer.next_heartbeat_ms = peer.next_heartbeat_ms.max(now + expected);
        peer.said_leaving |= heard.leaving;
        peer.config_version = peer.config_version.max(heard.config_version);
        match &mut peer.detector {
            Some(detector) => detector.heartbeat(now),
            None => {
                peer.detector = Some(failure_detector::FailureDetector::new(now, expected));
            }
        }
        true
    }

    /// Takes over an address that a peer gave for itself.
    pub fn set_address(&mut self, host: &id::EntryHostId, address: &str) {
        if let Some(peer) = self.peers.get_mut(host)
            && peer.address.as_deref() != Some(address)
        {
            peer.address = Some(address.to_owned());
        }
    }

    /// Takes in the platform's list of entry hosts.
    ///
    /// A host that is missing from the list stays as long as it is heard: the list lags.
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
            let heard = peer.detector.as_ref();
            let silent = heard.is_none_or(|detector| now.since(detector.last()) > forget_after_ms);
            peer.listed.is_some() || !silent
        });
    }

    /// Recomputes whom to watch closely, from the pools of the local zone. Call it when the pools
    /// or the hosts change, or at each turn.
    pub fn watch_pools<'a>(
        &mut self,
        now: time::TimeMs,
        pools: impl IntoIterator<Item = &'a id::PoolId>,
    ) {
        let watched = self.watched(now, pools);
        let overdue: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| self.state_of(peer, now) != PeerState::Alive)
            .map(|(host, _)| host.clone())
            .collect();
        let intervals = self.intervals();
        for (host, peer) in &mut self.peers {
            // Expecting less of a host that is overdue would make it look alive again.
            let is_overdue = overdue.contains(host);
            let near = watched.contains(host) || (peer.near && is_overdue);
            let was_near = std::mem::replace(&mut peer.near, near);
            let newly_near = near && !was_near;
            let interval = intervals.of(&self.settings, peer);
            if let Some(detector) = &mut peer.detector
                && (newly_near || !is_overdue)
            {
                detector.expect(now, interval);
            }
            if newly_near {
                peer.next_heartbeat_ms = now;
            }
        }
    }

    fn intervals(&self) -> Intervals {
        let local_zone = &self.settings.availability_zone;
        let is_far = |peer: &&Peer| peer.availability_zone != *local_zone;
        let far_hosts = self.peers.values().filter(is_far).count();
        let steps = far_hosts.div_ceil(FAR_HOSTS_PER_INTERVAL).max(1) as u64;
        Intervals {
            other_zones_ms: time::SpanMs(self.settings.far_interval_ms.0.saturating_mul(steps)),
        }
    }

    /// Makes a heartbeat due to every peer, for news that should not wait: this host leads another
    /// pool now, or it leaves.
    pub fn announce(&mut self, now: time::TimeMs) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat_ms = now;
        }
    }

    /// First candidates of pools for which the local host is among the next ones.
    fn watched<'a>(
        &self,
        now: time::TimeMs,
        pools: impl IntoIterator<Item = &'a id::PoolId>,
    ) -> Vec<id::EntryHostId> {
        let hosts = self.candidates(now, &self.settings.availability_zone);
        let mut watched = Vec::new();
        for pool in pools {
            let ranked = rendezvous::ranked(pool.as_str(), hosts.iter(), 1 + WATCHERS);
            let stands_by = ranked.iter().skip(1).any(|&h| *h == self.settings.host);
            if let Some(&first) = ranked.first()
                && stands_by
                && !watched.contains(first)
            {
                watched.push(first.clone());
            }
        }
        watched
    }

    /// Peers to which a heartbeat is due; each is due again after its interval.
    pub fn due_heartbeats(&mut self, now: time::TimeMs) -> Vec<id::EntryHostId> {
        let intervals = self.intervals();
        let mut due = Vec::new();
        for (host, peer) in &mut self.peers {
            if peer.next_heartbeat_ms > now {
                continue;
            }
            peer.next_heartbeat_ms = now + intervals.of(&self.settings, peer);
            due.push(host.clone());
        }
        due
    }

    /// What is believed about a host. The local host is alive.
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
            return self.state_of_unheard(peer, now);
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

    /// A peer that is listed and has not been heard yet is given time to answer, so that a host
    /// which has just started does not take every pool for its own.
    fn state_of_unheard(&self, peer: &Peer, now: time::TimeMs) -> PeerState {
        let grace_ms = self
            .settings
            .near_interval_ms
            .0
            .saturating_mul(INTRODUCTION_INTERVALS);
        if now.since(peer.first_seen_ms).0 < grace_ms {
            PeerState::Suspected
        } else {
            PeerState::Dead
        }
    }

    /// Changes of belief since the last call.
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
            let from = std::mem::replace(&mut peer.reported, to);
            if from != to {
                changes.push(PeerChange { host, from, to });
            }
        }
        changes
    }

    /// All known peers with what is believed about them, by name.
    pub fn peers(
        &self,
        now: time::TimeMs,
    ) -> impl Iterator<Item = (&id::EntryHostId, PeerState)> + '_ {
        self.peers
            .iter()
            .map(move |(host, peer)| (host, self.state_of(peer, now)))
    }

    /// Address of a peer, as the host list gave it last.
    #[must_use]
    pub fn address(&self, host: &id::EntryHostId) -> Option<&str> {
        self.peers.get(host)?.address.as_deref()
    }

    /// Hosts of a zone that may lead there: not dead, not leaving. The local host included.
    #[must_use]
    pub fn candidates(
        &self,
        now: time::TimeMs,
        zone: &id::AvailabilityZoneId,
    ) -> Vec<id::EntryHostId> {
        let local = (*zone == self.settings.availability_zone && !self.leaving)
            .then(|| self.settings.host.clone());
        let eligible = |peer: &Peer| {
            peer.availability_zone == *zone
                && !peer.is_leaving()
                && self.state_of(peer, now) != PeerState::Dead
        };
        let peers = self.peers.iter().filter(|(_, peer)| eligible(peer));
        local
            .into_iter()
            .chain(peers.map(|(host, _)| host.clone()))
            .collect()
    }

    /// The host of the local zone that should try to lead a pool.
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

    /// Configuration version that a peer said it holds; 0 if it said none.
    #[must_use]
    pub fn config_version(&self, host: &id::EntryHostId) -> u64 {
        self.peers.get(host).map_or(0, |peer| peer.config_version)
    }

    /// Reachable peers that hold a higher configuration version than the given one.
    pub fn peers_with_config_above(
        &self,
        version: u64,
        now: time::TimeMs,
    ) -> impl Iterator<Item = &id::EntryHostId> + '_ {
        let newer = move |peer: &Peer| {
            peer.config_version > version && self.state_of(peer, now) != PeerState::Dead
        };
        let peers = self.peers.iter().filter(move |(_, peer)| newer(peer));
        peers.map(|(host, _)| host)
    }

    /// Highest configuration version that a reachable peer holds; 0 if none is reachable.
    #[must_use]
    pub fn highest_config_version(&self, now: time::TimeMs) -> u64 {
        let reachable = |peer: &&Peer| self.state_of(peer, now) != PeerState::Dead;
        let peers = self.peers.values().filter(reachable);
        peers.map(|peer| peer.config_version).max().unwrap_or(0)
    }
}
