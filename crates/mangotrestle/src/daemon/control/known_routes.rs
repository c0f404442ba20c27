//! Routes and slot shares of all pools, as received from the pools' leaders. They are published to
//! the traffic threads as one snapshot.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use mangotrestle_caller::snapshot_cell;
use mangotrestle_caller::traffic;
use mangotrestle_core::collections;
use mangotrestle_core::configuration;
use mangotrestle_core::id;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::routing::snapshot;
use mangotrestle_core::time;
use mangotrestle_peer::message;

/// Maximum time for which a leader may delay its answer while nothing changes. It also bounds the
/// age of shares, which are renewed with each answer.
const MAX_ANSWER_DELAY: time::SpanMs = time::SpanMs(1_000);
/// Delay after a request for routes that got no answer.
const ROUTES_RETRY_DELAY: time::SpanMs = time::SpanMs(500);

/// A request for routes that is due, with the leader to send it to.
pub(super) struct DueRequest {
    pub(super) leader: PoolLeader,
    pub(super) request: message::RoutesRequest,
}

/// The leader of a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PoolLeader {
    pub(super) host: id::EntryHostId,
    /// Address for requests of peers; `None` if the leader is this entry host.
    pub(super) address: Option<SocketAddr>,
    pub(super) epoch: u64,
}

/// Routes and shares of one pool.
struct PoolRoutes {
    leader: Option<PoolLeader>,
    /// Version of the routes, as received from the leader.
    version: Option<message::RoutesVersion>,
    services: collections::FastMap<id::JobId, Arc<snapshot::ServiceRoutes>>,
    share_holder: slot_share::Holder,
    demand: collections::FastMap<id::WorkerId, slot_share::Demand>,
    /// Whether a request is under way.
    requesting: bool,
    next_request_at: time::TimeMs,
}

/// Routes and shares of all pools that this entry host knows.
pub(super) struct KnownRoutes {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
    availability_zone: id::AvailabilityZoneId,
    cell: Arc<snapshot_cell::SnapshotCell>,
    pools: BTreeMap<id::PoolId, PoolRoutes>,
    config_version: u64,
    teams: collections::FastMap<id::TeamId, snapshot::TeamLimit>,
}

impl KnownRoutes {
    pub(super) const fn new(
        entry_host: id::EntryHostId,
        incarnation: id::Incarnation,
        availability_zone: id::AvailabilityZoneId,
        cell: Arc<snapshot_cell::SnapshotCell>,
        teams: collections::FastMap<id::TeamId, snapshot::TeamLimit>,
    ) -> Self {
        Self {
            entry_host,
            incarnation,
            availability_zone,
            cell,
            pools: BTreeMap::new(),
            config_version: 0,
            teams,
        }
    }

    /// Returns the leader of a pool, if known.
    pub(super) fn leader(&self, pool: &id::PoolId) -> Option<&PoolLeader> {
        self.pools.get(pool)?.leader.as_ref()
    }

    /// Iterates over the known pools with their leaders.
    pub(super) fn leaders(&self) -> impl Iterator<Item = (&id::PoolId, Option<&PoolLeader>)> {
        self.pools
            .iter()
            .map(|(pool, routes)| (pool, routes.leader.as_ref()))
    }

    /// Records a host's claim to lead a pool. Between hosts, the claim with the higher epoch wins.
    /// Returns whether the known leader changed.
    pub(super) fn set_leader(
        &mut self,
        now: time::TimeMs,
        pool: &id::PoolId,
        leader: PoolLeader,
    ) -> bool {
        let routes = self.pool_mut(pool);
        let changed = routes.leader.as_ref().is_none_or(|known| {
            leader.epoch > known.epoch || (leader.host == known.host && *known != leader)
        });
        if changed {
            routes.leader = Some(leader);
            routes.next_request_at = now;
        }
        changed
    }

    /// Makes the next request for a pool's routes due at once if its leader has a newer version.
    pub(super) fn note_leader_version(
        &mut self,
        now: time::TimeMs,
        pool: &id::PoolId,
        version: u64,
    ) {
        let routes = self.pool_mut(pool);
        if routes
            .version
            .as_ref()
            .is_none_or(|known| known.version < version)
        {
            routes.next_request_at = routes.next_request_at.min(now);
        }
    }

    /// Returns the entry of a pool, which is created if the pool is new.
    fn pool_mut(&mut self, pool: &id::PoolId) -> &mut PoolRoutes {
        if !self.pools.contains_key(pool) {
            let routes = PoolRoutes {
                leader: None,
                version: None,
                services: collections::FastMap::default(),
                share_holder: slot_share::Holder::new(self.entry_host.clone(), self.incarnation),
                demand: collections::FastMap::default(),
                requesting: false,
                next_request_at: time::TimeMs(0),
            };
            self.pools.insert(pool.clone(), routes);
        }
        self.pools.get_mut(pool).expect("inserted above")
    }

    /// Returns the requests that are due, and marks them as under way.
    pub(super) fn take_due_requests(&mut self, now: time::TimeMs) -> Vec<DueRequest> {
        let (host, incarnation) = (self.entry_host.clone(), self.incarnation);
        let mut due = Vec::new();
        for (pool, routes) in &mut self.pools {
            let Some(leader) = routes.leader.clone() else {
                continue;
            };
            if routes.requesting || routes.next_request_at > now {
                continue;
            }
            routes.requesting = true;
            let demands = routes.demands();
            due.push(DueRequest {
                leader,
                request: message::RoutesRequest {
                    pool: pool.clone(),
                    host: host.clone(),
                    incarnation,
                    holds: routes.version.clone(),
                    shares: Some(routes.share_holder.request(now, &demands)),
                    wait_ms: MAX_ANSWER_DELAY,
                },
            });
        }
        due
    }

    /// Returns when the next request is due.
    pub(super) fn next_wake(&self) -> Option<time::TimeMs> {
        let not_requesting = self
            .pools
            .values()
            .filter(|routes| routes.leader.is_some() && !routes.requesting);
        not_requesting.map(|routes| routes.next_request_at).min()
    }

    /// Installs a leader's answer; `None` means that the request failed.
    pub(super) fn handle_answer(
        &mut self,
        now: time::TimeMs,
        pool: &id::PoolId,
        answer: Option<message::RoutesAnswer>,
    ) {
        let routes = self.pool_mut(pool);
        routes.requesting = false;
        let Some(answer) = answer else {
            routes.next_request_at = now + ROUTES_RETRY_DELAY;
            return;
        };
        // The leader delays its answer while nothing changes, so requesting again at once doesn't
        // cause a busy loop.
        routes.next_request_at = now;
        routes.install(now, answer);
        self.publish();
    }

    /// Updates the demand for slots from the counts of the traffic threads.
    pub(super) fn update_demand(&mut self, report: &traffic::TrafficReport) {
        for routes in self.pools.values_mut() {
            routes.demand.clear();
        }
        for worker in &report.workers {
            let demand = slot_share::Demand {
                worker: worker.worker.clone(),
                in_use: worker.in_use,
                wanted: worker.wanted,
            };
            for routes in self.pools.values_mut() {
                if routes.has_target_on(&worker.worker) {
                    routes.demand.insert(worker.worker.clone(), demand.clone());
                }
            }
        }
    }

    /// Applies the team limits of a configuration.
    pub(super) fn configure(&mut self, version: u64, document: &configuration::Document) {
        self.config_version = version;
        self.teams = super::configure::team_limits(document);
        self.publish();
    }

    /// Publishes a new snapshot to the traffic threads.
    fn publish(&self) {
        let mut snapshot = snapshot::RouteSnapshot::empty(self.availability_zone.clone());
        snapshot.config_version = self.config_version;
        snapshot.teams.clone_from(&self.teams);
        for routes in self.pools.values() {
            for (job, service) in &routes.services {
                snapshot.services.insert(job.clone(), Arc::clone(service));
            }
            for (worker, share) in routes.share_holder.shares() {
                snapshot.shares.insert(worker.clone(), *share);
            }
        }
        self.cell.publish(snapshot);
    }
}

impl PoolRoutes {
    /// Returns the demand for each worker that has a route; zero for a worker without traffic.
    fn demands(&self) -> Vec<slot_share::Demand> {
        let mut workers = collections::FastSet::default();
        for service in self.services.values() {
            workers.extend(service.targets.iter().map(|target| &target.worker));
        }
        let demand = |worker: &id::WorkerId| match self.demand.get(worker) {
            Some(demand) => demand.clone(),
            None => slot_share::Demand {
                worker: worker.clone(),
                in_use: 0,
                wanted: 0,
            },
        };
        workers.into_iter().map(demand).collect()
    }

    /// Whether a service of the pool has a target on a worker.
    fn has_target_on(&self, worker: &id::WorkerId) -> bool {
        let mut targets = self.services.values().flat_map(|service| &service.targets);
        targets.any(|target| target.worker == *worker)
    }

    fn install(&mut self, now: time::TimeMs, answer: message::RoutesAnswer) {
        if answer.full {
            self.services.clear();
        }
        for key in answer.removed {
            self.remove(&key);
        }
        for target in answer.changed {
            self.insert(now, target);
        }
        self.services
            .retain(|_, service| !service.targets.is_empty());
        if let Some(grant) = &answer.grant {
            self.share_holder.install(grant);
        }
        self.share_holder.forget_lapsed(now);
        self.version = Some(answer.version);
    }

    fn remove(&mut self, key: &message::TargetKey) {
        if let Some(service) = self.services.get_mut(&key.job) {
            Arc::make_mut(service)
                .targets
                .retain(|target| target.index != key.index);
        }
    }

    /// Adds or replaces a target. A target that stays on its worker keeps the time since which it
    /// is ready.
    fn insert(&mut self, now: time::TimeMs, route: message::RouteTarget) {
        let service = self
            .services
            .entry(route.key.job.clone())
            .or_insert_with(|| {
                Arc::new(snapshot::ServiceRoutes::new(
                    route.key.job.clone(),
                    route.team.clone(),
                ))
            });
        let service = Arc::make_mut(service);
        let has_same_index = |target: &&mut snapshot::Target| target.index == route.key.index;
        let known = service.targets.iter_mut().find(has_same_index);
        let since = match &known {
            Some(target) if target.worker == route.worker => match target.state {
                snapshot::TargetState::Ready { since } => since,
                snapshot::TargetState::Leaving => now,
            },
            _ => now,
        };
        let state = if route.leaving {
            snapshot::TargetState::Leaving
        } else {
            snapshot::TargetState::Ready { since }
        };
        let target = snapshot::Target {
            index: route.key.index,
            worker: route.worker,
            availability_zone: route.availability_zone,
            address: route.address,
            state,
        };
        match known {
            Some(known) => *known = target,
            None => service.targets.push(target),
        }
    }
}
