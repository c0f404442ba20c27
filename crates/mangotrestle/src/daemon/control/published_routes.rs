//! The routes of a pool that this host leads, with enough history to send only the changes.

use mangotrestle_core::collections;
use mangotrestle_core::id;
use mangotrestle_core::pool;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::time;
use mangotrestle_peer::message;
use tokio::sync::oneshot;

/// Maximum number of removed targets that are remembered. When it is exceeded, hosts with an older
/// version get all targets instead of the changes.
const MAX_REMEMBERED_REMOVALS: usize = 4_096;

/// A target, with the version in which it last changed.
struct PublishedTarget {
    target: message::RouteTarget,
    changed_version: u64,
}

/// A request from an entry host that is up to date, answered at the next change or at its deadline.
struct WaitingRequest {
    known_version: u64,
    grant: Option<slot_share::ShareGrant>,
    deadline: time::TimeMs,
    reply: oneshot::Sender<Option<message::RoutesAnswer>>,
}

/// Targets that this host publishes as the pool's leader during the current tenure.
pub(super) struct PublishedRoutes {
    leader: id::EntryHostId,
    incarnation: id::Incarnation,
    availability_zone: id::AvailabilityZoneId,
    version: u64,
    /// First version of the tenure. Lower versions belong to an earlier tenure.
    first_version: u64,
    targets: collections::FastMap<message::TargetKey, PublishedTarget>,
    removal_versions: collections::FastMap<message::TargetKey, u64>,
    /// Removals up to and including this version are no longer remembered.
    forgotten_through: u64,
    waiting: Vec<WaitingRequest>,
}

impl PublishedRoutes {
    pub(super) fn new(
        leader: id::EntryHostId,
        incarnation: id::Incarnation,
        availability_zone: id::AvailabilityZoneId,
    ) -> Self {
        Self {
            leader,
            incarnation,
            availability_zone,
            version: 1,
            first_version: 1,
            targets: collections::FastMap::default(),
            removal_versions: collections::FastMap::default(),
            forgotten_through: 0,
            waiting: Vec::new(),
        }
    }

    /// Clears all targets and refuses the waiting requests, when a tenure begins or ends. Version
    /// numbers continue to rise.
    pub(super) fn restart(&mut self) {
        self.version += 1;
        self.first_version = self.version;
        self.targets.clear();
        self.removal_versions.clear();
        self.forgotten_through = 0;
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(None);
        }
    }

    /// The current version.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Publishes the current targets of services that changed.
    pub(super) fn update(&mut self, pool: &pool::Pool, jobs: &[id::JobId]) {
        self.version += 1;
        for job in jobs {
            let current = pool.targets_of_service(job);
            self.remove_missing(job, current);
            for service_and_task in current
                .into_iter()
                .flat_map(|targets| targets.tasks.iter().map(move |task| (targets, task)))
            {
                self.insert(service_and_task.0, service_and_task.1);
            }
        }
        self.limit_remembered_removals();
        self.answer_waiting();
    }

    /// Removes the published targets of a service that are not among its current ones.
    fn remove_missing(&mut self, job: &id::JobId, current: Option<&pool::ServiceTargets>) {
        let is_current = |index: u32| {
            current.is_some_and(|targets| targets.tasks.iter().any(|task| task.index == index))
        };
        let missing: Vec<_> = self
            .targets
            .keys()
            .filter(|key| key.job == *job && !is_current(key.index))
            .cloned()
            .collect();
        for key in missing {
            self.targets.remove(&key);
            self.removal_versions.insert(key, self.version);
        }
    }

    fn insert(&mut self, targets: &pool::ServiceTargets, task: &pool::ServingTask) {
        let Ok(address) = task.address.parse() else {
            return;
        };
        let key = message::TargetKey {
            job: targets.job.clone(),
            index: task.index,
        };
        let target = message::RouteTarget {
            key: key.clone(),
            team: targets.team.clone(),
            worker: task.worker.clone(),
            availability_zone: self.availability_zone.clone(),
            address,
            leaving: task.leaving,
        };
        if self
            .targets
            .get(&key)
            .is_some_and(|known| known.target == target)
        {
            return;
        }
        self.removal_versions.remove(&key);
        self.targets.insert(
            key,
            PublishedTarget {
                target,
                changed_version: self.version,
            },
        );
    }

    fn limit_remembered_removals(&mut self) {
        if self.removal_versions.len() > MAX_REMEMBERED_REMOVALS {
            self.forgotten_through = self.version;
            self.removal_versions.clear();
        }
    }

    /// Answers a request at once, or at the next change if the requesting host is up to date and
    /// willing to wait.
    pub(super) fn answer(
        &mut self,
        now: time::TimeMs,
        request: &message::RoutesRequest,
        grant: Option<slot_share::ShareGrant>,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        let known_version = self.known_version(request.holds.as_ref());
        if known_version == Some(self.version) && request.wait_ms.0 > 0 {
            let deadline = now + request.wait_ms;
            self.waiting.push(WaitingRequest {
                known_version: self.version,
                grant,
                deadline,
                reply,
            });
            return;
        }
        let _ = reply.send(Some(self.changes_since(known_version, grant)));
    }

    /// Returns the version that a requesting host has, if the changes since then are known.
    fn known_version(&self, holds: Option<&message::RoutesVersion>) -> Option<u64> {
        let holds = holds?;
        let same_leader = holds.leader == self.leader && holds.incarnation == self.incarnation;
        let changes_known =
            holds.version >= self.first_version && holds.version >= self.forgotten_through;
        (same_leader && changes_known).then_some(holds.version)
    }

    fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let answer = self.changes_since(Some(waiting.known_version), waiting.grant);
            let _ = waiting.reply.send(Some(answer));
        }
    }

    /// Answers the waiting requests whose deadline has passed.
    pub(super) fn answer_expired(&mut self, now: time::TimeMs) {
        let (expired, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.deadline <= now);
        self.waiting = rest;
        for waiting in expired {
            let answer = self.changes_since(Some(waiting.known_version), waiting.grant);
            let _ = waiting.reply.send(Some(answer));
        }
    }

    /// Returns the earliest deadline of a waiting request.
    pub(super) fn next_deadline(&self) -> Option<time::TimeMs> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    /// Builds an answer with the changes since a version, or with all targets without one.
    fn changes_since(
        &self,
        since: Option<u64>,
        grant: Option<slot_share::ShareGrant>,
    ) -> message::RoutesAnswer {
        let after = since.unwrap_or(0);
        let changed = self
            .targets
            .values()
            .filter(|published| published.changed_version > after);
        let removed = self
            .removal_versions
            .iter()
            .filter(|(_, version)| since.is_some() && **version > after);
        message::RoutesAnswer {
            version: message::RoutesVersion {
                leader: self.leader.clone(),
                incarnation: self.incarnation,
                version: self.version,
            },
            full: since.is_none(),
            changed: changed.map(|published| published.target.clone()).collect(),
            removed: removed.map(|(key, _)| key.clone()).collect(),
            grant,
        }
    }
}
