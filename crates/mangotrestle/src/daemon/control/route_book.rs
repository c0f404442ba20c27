//! Routes and shares of every pool that this entry host sends requests to, as the snapshot that
//! the traffic threads read.

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

/// Time for which a leader may hold its answer back; it bounds the age of shares.
const HOLD_BACK: time::SpanMs = time::SpanMs(1_000);
/// Wait after a request for routes that brought nothing.
const RETRY_AFTER: time::SpanMs = time::SpanMs(500);

/// A request for routes that is due.
pub(super) struct DueRequest {
    pub(super) leader: PoolLeader,
    pub(super) request: message::RoutesRequest,
}

/// Who leads a pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct PoolLeader {
    pub(super) host: id::EntryHostId,
    /// Where it answers peers; unset if it is this entry host.
    pub(super) address: Option<SocketAddr>,
    pub(super) epoch: u64,
}

struct PoolRoutes {
    leader: Option<PoolLeader>,
    holds: Option<message::RoutesVersion>,
    services: collections::FastMap<id::JobId, Arc<snapshot::ServiceRoutes>>,
    holder: slot_share::Holder,
    demand: collections::FastMap<id::WorkerId, slot_share::Demand>,
    asking: bool,
    next_ask: time::TimeMs,
}

/// All routes of this entry host.
pub(super) struct RouteBook {
    entry_host: id::EntryHostId,
    incarnation: id::Incarnation,
    availability_zone: id::AvailabilityZoneId,
    cell: Arc<snapshot_cell::SnapshotCell>,
    pools: BTreeMap<id::PoolId, PoolRoutes>,
    config_version: u64,
    teams: collections::FastMap<id::TeamId, snapshot::TeamLimit>,
}

impl RouteBook {
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

    /// Who leads a pool, as far as it is known.
    pub(super) fn leader(&self, pool: &id::PoolId) -> Option<&PoolLeader> {
        self.pools.get(pool)?.leader.as_ref()
    }

    /// Pools that are known, with their leaders.
    pub(super) fn leaders(&self) -> impl Iterator<Item = (&id::PoolId, Option<&PoolLeader>)> {
        self.pools
            .iter()
            .map(|(pool, routes)| (pool, routes.leader.as_ref()))
    }

    /// Takes note of a claim to lead a pool; of two claims the one with the higher epoch holds.
    /// Returns whether that changed what is known.
    pub(super) fn set_leader(
        &mut self,
        now: time::TimeMs,
        pool: &id::PoolId,
        leader: PoolLeader,
    ) -> bool {
        let routes = self.pool_mut(pool);
        let newer = routes.leader.as_ref().is_none_or(|known| {
            leader.epoch > known.epoch || (leader.host == known.host && *known != leader)
        });
        if newer {
            routes.leader = Some(leader);
            routes.next_ask = now;
        }
        newer
    }

    /// Has a pool's routes asked for at once, when its leader is known to have newer ones.
    pub(super) fn hear_version(&mut self, now: time::TimeMs, pool: &id::PoolId, version: u64) {
        let routes = self.pool_mut(pool);
        if routes
            .holds
            .as_ref()
            .is_none_or(|holds| holds.version < version)
        {
            routes.next_ask = routes.next_ask.min(now);
        }
    }

    fn pool_mut(&mut self, pool: &id::PoolId) -> &mut PoolRoutes {
        if !self.pools.contains_key(pool) {
            let routes = PoolRoutes {
                leader: None,
                holds: None,
                services: collections::FastMap::default(),
                holder: slot_share::Holder::new(self.entry_host.clone(), self.incarnation),
                demand: collections::FastMap::default(),
                asking: false,
                next_ask: time::TimeMs(0),
            };
            self.pools.insert(pool.clone(), routes);
        }
        self.pools.get_mut(pool).expect("inserted above")
    }

    /// Requests that are due now.
    pub(super) fn due(&mut self, now: time::TimeMs) -> Vec<DueRequest> {
        let (host, incarnation) = (self.entry_host.clone(), self.incarnation);
        let mut due = Vec::new();
        for (pool, routes) in &mut self.pools {
            let Some(leader) = routes.leader.clone() else {
                continue;
            };
            if routes.asking || routes.next_ask > now {
                continue;
            }
            routes.asking = true;
            let demands = routes.demands();
            due.push(DueRequest {
                leader,
                request: message::RoutesRequest {
                    pool: pool.clone(),
                    host: host.clone(),
                    incarnation,
                    holds: routes.holds.clone(),
                    shares: Some(routes.holder.request(now, &demands)),
                    wait_ms: HOLD_BACK,
                },
            });
        }
        due
    }

    /// When the next request is due.
    pub(super) fn next_wake(&self) -> Option<time::TimeMs> {
        let idle = self
            .pools
            .values()
            .filter(|routes| routes.leader.is_some() && !routes.asking);
        idle.map(|routes| routes.next_ask).min()
    }

    /// Takes in a leader's answer, or that there was none.
    pub(super) fn answered(
        &mut self,
        now: time::TimeMs,
        pool: &id::PoolId,
        answer: Option<message::RoutesAnswer>,
    ) {
        let routes = self.pool_mut(pool);
        routes.asking = false;
        let Some(answer) = answer else {
            routes.next_ask = now + RETRY_AFTER;
            return;
        };
        // An unchanged answer was held back already, so asking again at once does not hurry.
        routes.next_ask = now;
        routes.install(now, answer);
        self.publish();
    }

    /// Takes in what the traffic threads count.
    pub(super) fn traffic(&mut self, report: &traffic::TrafficReport) {
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
                if routes.serves_on(&worker.worker) {
                    routes.demand.insert(worker.worker.clone(), demand.clone());
                }
            }
        }
    }

    /// Takes over limits of teams from a configuration.
    pub(super) fn configure(&mut self, version: u64, document: &configuration::Document) {
        self.config_version = version;
        self.teams = super::configure::team_limits(document);
        self.publish();
    }

    fn publish(&self) {
        let mut next = snapshot::RouteSnapshot::empty(self.availability_zone.clone());
        next.config_version = self.config_version;
        next.teams.clone_from(&self.teams);
        for routes in self.pools.values() {
            for (job, service) in &routes.services {
                next.services.insert(job.clone(), Arc::clone(service));
            }
            for (worker, share) in routes.holder.shares() {
                next.shares.insert(worker.clone(), *share);
            }
        }
        self.cell.publish(next);
    }
}

impl PoolRoutes {
    /// One line for each worker of a route; without traffic nothing is wanted.
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

    fn serves_on(&self, worker: &id::WorkerId) -> bool {
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
            self.put(now, target);
        }
        self.services
            .retain(|_, service| !service.targets.is_empty());
        if let Some(grant) = &answer.grant {
            self.holder.install(grant);
        }
        self.holder.forget_lapsed(now);
        self.holds = Some(answer.version);
    }

    fn remove(&mut self, key: &message::TargetKey) {
        if let Some(service) = self.services.get_mut(&key.job) {
            Arc::make_mut(service)
                .targets
                .retain(|target| target.index != key.index);
        }
    }

    fn put(&mut self, now: time::TimeMs, route: message::RouteTarget) {
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
        let same = |target: &&mut snapshot::Target| target.index == route.key.index;
        let known = service.targets.iter_mut().find(same);
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
