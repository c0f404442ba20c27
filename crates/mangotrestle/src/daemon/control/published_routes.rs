//! The routes of a pool that is led here, with enough history to send only what changed.

use mangotrestle_core::collections;
use mangotrestle_core::id;
use mangotrestle_core::pool;
use mangotrestle_core::routing::slot_share;
use mangotrestle_core::time;
use mangotrestle_peer::message;
use tokio::sync::oneshot;

/// Targets that are gone are remembered up to this number; hosts that are further behind get
/// everything anew.
const MAX_REMEMBERED_REMOVALS: usize = 4_096;

struct Published {
    target: message::RouteTarget,
    changed_at: u64,
}

/// An entry host whose answer is held back until something changes.
struct Waiting {
    holds: u64,
    grant: Option<slot_share::ShareGrant>,
    deadline: time::TimeMs,
    reply: oneshot::Sender<Option<message::RoutesAnswer>>,
}

/// Published targets of one tenure.
pub(super) struct PublishedRoutes {
    leader: id::EntryHostId,
    incarnation: id::Incarnation,
    availability_zone: id::AvailabilityZoneId,
    version: u64,
    /// Version at which the tenure began; older ones are of an earlier tenure.
    first_version: u64,
    targets: collections::FastMap<message::TargetKey, Published>,
    removed_at: collections::FastMap<message::TargetKey, u64>,
    /// Removals up to this version are forgotten.
    forgotten_through: u64,
    waiting: Vec<Waiting>,
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
            removed_at: collections::FastMap::default(),
            forgotten_through: 0,
            waiting: Vec::new(),
        }
    }

    /// Starts anew, for another tenure. Versions go on rising.
    pub(super) fn restart(&mut self) {
        self.version += 1;
        self.first_version = self.version;
        self.targets.clear();
        self.removed_at.clear();
        self.forgotten_through = 0;
        for waiting in self.waiting.drain(..) {
            let _ = waiting.reply.send(None);
        }
    }

    /// The present version.
    pub(super) const fn version(&self) -> u64 {
        self.version
    }

    /// Takes over the present targets of services that changed.
    pub(super) fn changed(&mut self, pool: &pool::Pool, jobs: &[id::JobId]) {
        self.version += 1;
        for job in jobs {
            let now = pool.targets_of_service(job);
            self.remove_missing(job, now);
            for task in now
                .into_iter()
                .flat_map(|targets| targets.tasks.iter().map(move |t| (targets, t)))
            {
                self.put(task.0, task.1);
            }
        }
        self.bound_removals();
        self.answer_waiting();
    }

    fn remove_missing(&mut self, job: &id::JobId, now: Option<&pool::ServiceTargets>) {
        let stays = |index: u32| {
            now.is_some_and(|targets| targets.tasks.iter().any(|task| task.index == index))
        };
        let gone: Vec<_> = self
            .targets
            .keys()
            .filter(|key| key.job == *job && !stays(key.index))
            .cloned()
            .collect();
        for key in gone {
            self.targets.remove(&key);
            self.removed_at.insert(key, self.version);
        }
    }

    fn put(&mut self, targets: &pool::ServiceTargets, task: &pool::ServingTask) {
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
        self.removed_at.remove(&key);
        self.targets.insert(
            key,
            Published {
                target,
                changed_at: self.version,
            },
        );
    }

    fn bound_removals(&mut self) {
        if self.removed_at.len() > MAX_REMEMBERED_REMOVALS {
            self.forgotten_through = self.version;
            self.removed_at.clear();
        }
    }

    /// Answers a request, at once or when something changes.
    pub(super) fn answer(
        &mut self,
        now: time::TimeMs,
        request: &message::RoutesRequest,
        grant: Option<slot_share::ShareGrant>,
        reply: oneshot::Sender<Option<message::RoutesAnswer>>,
    ) {
        let holds = self.known_version(request.holds.as_ref());
        if holds == Some(self.version) && request.wait_ms.0 > 0 {
            let deadline = now + request.wait_ms;
            self.waiting.push(Waiting {
                holds: self.version,
                grant,
                deadline,
                reply,
            });
            return;
        }
        let _ = reply.send(Some(self.difference(holds, grant)));
    }

    /// The version that an asking host holds, if its difference to the present one is known.
    fn known_version(&self, holds: Option<&message::RoutesVersion>) -> Option<u64> {
        let holds = holds?;
        let same_leader = holds.leader == self.leader && holds.incarnation == self.incarnation;
        let known = holds.version >= self.first_version && holds.version >= self.forgotten_through;
        (same_leader && known).then_some(holds.version)
    }

    fn answer_waiting(&mut self) {
        for waiting in std::mem::take(&mut self.waiting) {
            let answer = self.difference(Some(waiting.holds), waiting.grant);
            let _ = waiting.reply.send(Some(answer));
        }
    }

    /// Answers whoever has waited long enough.
    pub(super) fn answer_overdue(&mut self, now: time::TimeMs) {
        let (overdue, rest): (Vec<_>, Vec<_>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.deadline <= now);
        self.waiting = rest;
        for waiting in overdue {
            let answer = self.difference(Some(waiting.holds), waiting.grant);
            let _ = waiting.reply.send(Some(answer));
        }
    }

    /// When the next waiting host has waited long enough.
    pub(super) fn next_deadline(&self) -> Option<time::TimeMs> {
        self.waiting.iter().map(|waiting| waiting.deadline).min()
    }

    fn difference(
        &self,
        since: Option<u64>,
        grant: Option<slot_share::ShareGrant>,
    ) -> message::RoutesAnswer {
        let after = since.unwrap_or(0);
        let changed = self
            .targets
            .values()
            .filter(|published| published.changed_at > after);
        let removed = self
            .removed_at
            .iter()
            .filter(|(_, at)| since.is_some() && **at > after);
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
