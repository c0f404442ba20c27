//! Answers operators' queries from the control thread's state.

use mangotrestle_core::id;
use mangotrestle_core::membership;
use mangotrestle_core::pool;
use mangotrestle_core::scheduler;
use mangotrestle_core::time;
use mangotrestle_operator::message;

use super::Control;
use super::pool_runner;
use crate::daemon::query;

/// Degradations of this entry host, each with its start time.
#[derive(Debug, Default)]
pub(super) struct Degradations {
    store_unavailable_since: Option<time::WallTimeMs>,
}

impl Degradations {
    /// Sets whether the store is available. Returns whether that changed.
    pub(super) fn set_store_available(
        &mut self,
        wall_ms: time::WallTimeMs,
        available: bool,
    ) -> bool {
        if available == self.store_available() {
            return false;
        }
        self.store_unavailable_since = (!available).then_some(wall_ms);
        true
    }

    /// Whether the store is available.
    pub(super) const fn store_available(&self) -> bool {
        self.store_unavailable_since.is_none()
    }

    fn list(&self) -> Vec<message::Degradation> {
        let store = self
            .store_unavailable_since
            .map(|since_wall_ms| message::Degradation {
                what: "store".to_owned(),
                since_wall_ms,
                detail: "new jobs and non-idempotent work are refused; accepted work continues"
                    .to_owned(),
            });
        store.into_iter().collect()
    }
}

impl Control {
    /// Answers a query. For a pool that this host doesn't lead, the answer names the leader.
    pub(super) fn answer(&mut self, now: pool::Now, query: &query::Query) -> query::Answer {
        let Some(pool) = query.pool() else {
            return self.answer_for_host(now, query);
        };
        let leading = self
            .pools
            .iter()
            .find(|runner| runner.pool.id() == pool && runner.pool.has_loaded_jobs(now.monotonic));
        match leading {
            Some(runner) => answer_for_pool(&self.context.settings.entry_host, runner, now, query),
            None => query::Answer::NotLeader(self.leader_view(pool)),
        }
    }

    fn leader_view(&self, pool: &id::PoolId) -> Option<query::LeaderView> {
        let leader = self.known_routes.leader(pool)?;
        Some(query::LeaderView {
            entry_host: leader.host.clone(),
            address: leader.address?,
        })
    }

    fn answer_for_host(&self, now: pool::Now, query: &query::Query) -> query::Answer {
        if let query::Query::Events { after } = query {
            return query::Answer::Events(query::EventPage {
                events: self.notices.after(*after),
                last_sequence: self.notices.last_sequence(),
            });
        }
        let peers = self.membership.peers(now.monotonic);
        let peers: Vec<_> = peers
            .map(|(host, state)| peer_status(host, state))
            .collect();
        let pools = self
            .known_routes
            .leaders()
            .map(|(pool, leader)| query::PoolView {
                pool: pool.clone(),
                leader: leader.map(|leader| leader.host.clone()),
            });
        query::Answer::Host(Box::new(query::HostView {
            config_version: self.applied_config.version(),
            config_in_force_wall_ms: self.applied_config.in_force_wall_ms(),
            host_configs: self.host_configs(),
            peers,
            degraded: self.degradations.list(),
            pools: pools.collect(),
        }))
    }

    fn host_configs(&self) -> Vec<message::HostConfig> {
        let own = message::HostConfig {
            entry_host: self.context.settings.entry_host.clone(),
            version: self.applied_config.version(),
            in_force_wall_ms: self.applied_config.in_force_wall_ms(),
        };
        let peers = self
            .peer_config_in_force_wall_ms
            .iter()
            .map(|(host, &in_force_wall_ms)| message::HostConfig {
                entry_host: host.clone(),
                version: self.membership.config_version(host),
                in_force_wall_ms,
            });
        std::iter::once(own).chain(peers).collect()
    }
}

fn peer_status(host: &id::EntryHostId, state: membership::PeerState) -> message::PeerStatus {
    message::PeerStatus {
        entry_host: host.clone(),
        state: match state {
            membership::PeerState::Alive => message::PeerState::Alive,
            membership::PeerState::Suspected => message::PeerState::Suspected,
            membership::PeerState::Dead => message::PeerState::Dead,
        },
    }
}

fn answer_for_pool(
    host: &id::EntryHostId,
    runner: &pool_runner::PoolRunner,
    now: pool::Now,
    query: &query::Query,
) -> query::Answer {
    let pool = &runner.pool;
    match query {
        query::Query::Jobs { team, .. } => {
            let matches_team = |view: &scheduler::JobView| {
                team.as_ref().is_none_or(|team| view.spec.team == *team)
            };
            let views = pool.scheduler().jobs().filter(matches_team);
            let mut jobs: Vec<_> = views.map(|view| job_summary(pool, &view)).collect();
            jobs.sort_by(|a, b| a.spec.id.cmp(&b.spec.id));
            query::Answer::Jobs(jobs)
        }
        query::Query::Job { job, .. } => {
            let detail = pool
                .scheduler()
                .job(job)
                .map(|view| job_detail(pool, now, &view));
            query::Answer::Job(detail.map(Box::new))
        }
        query::Query::Workers { .. } => {
            let mut workers: Vec<_> = pool
                .scheduler()
                .workers()
                .map(|view| worker_detail(pool, &view))
                .collect();
            workers.sort_by(|a, b| a.id.cmp(&b.id));
            query::Answer::Workers(workers)
        }
        _ => query::Answer::Pool(pool_status(host, pool, now)),
    }
}

const fn job_state(state: scheduler::JobState) -> message::JobState {
    match state {
        scheduler::JobState::Waiting => message::JobState::Waiting,
        scheduler::JobState::Running => message::JobState::Running,
        scheduler::JobState::Succeeded => message::JobState::Succeeded,
        scheduler::JobState::Failed => message::JobState::Failed,
        scheduler::JobState::Cancelled => message::JobState::Cancelled,
        scheduler::JobState::Parked => message::JobState::Parked,
        scheduler::JobState::Unknown => message::JobState::Unknown,
    }
}

fn job_summary(pool: &pool::Pool, view: &scheduler::JobView) -> message::JobSummary {
    message::JobSummary {
        spec: (*view.spec).clone(),
        state: job_state(view.state),
        revision: pool
            .state()
            .job(&view.spec.id)
            .map_or(0, |known| known.revision),
        waiting: view.counts.waiting,
        running: view.counts.running,
        succeeded: view.counts.succeeded,
        failed: view.counts.failed,
        unknown: view.counts.unknown,
    }
}

fn job_detail(pool: &pool::Pool, now: pool::Now, view: &scheduler::JobView) -> message::JobDetail {
    let job = &view.spec.id;
    let reasons = pool.scheduler().explain_waiting(now.monotonic, job);
    message::JobDetail {
        summary: job_summary(pool, view),
        tasks: pool
            .scheduler()
            .tasks(job)
            .into_iter()
            .map(task_detail)
            .collect(),
        waiting_reasons: reasons.iter().map(ToString::to_string).collect(),
    }
}

fn task_detail(task: scheduler::TaskView) -> message::TaskDetail {
    use scheduler::TaskState as State;
    message::TaskDetail {
        index: task.index,
        attempt: task.attempt,
        state: match task.state {
            State::Waiting => message::TaskState::Waiting,
            State::Starting => message::TaskState::Starting,
            State::Running | State::Stopping => message::TaskState::Running,
            State::Succeeded => message::TaskState::Succeeded,
            State::Failed => message::TaskState::Failed,
            State::Stopped => message::TaskState::Cancelled,
            State::Unknown => message::TaskState::Unknown,
        },
        worker: task.worker,
    }
}

fn worker_detail(pool: &pool::Pool, view: &scheduler::WorkerView) -> message::WorkerDetail {
    use scheduler::WorkerState as State;
    message::WorkerDetail {
        id: view.id.clone(),
        pool: pool.id().clone(),
        rack: view.rack.clone().unwrap_or_else(unknown_rack),
        capacity: view.capacity,
        free: view.free,
        running: view.running,
        state: match view.state {
            State::Available => message::WorkerState::Held,
            State::Unreachable => message::WorkerState::Unreachable,
            State::Leaving => message::WorkerState::Leaving,
            State::Quarantined => message::WorkerState::Quarantined,
        },
        draining: pool
            .state()
            .draining_workers()
            .any(|worker| *worker == view.id),
    }
}

fn pool_status(host: &id::EntryHostId, pool: &pool::Pool, now: pool::Now) -> message::PoolStatus {
    let mut status = message::PoolStatus {
        pool: pool.id().clone(),
        leader: Some(host.clone()),
        roster_workers: saturating_u32(pool.leadership().roster_members()),
        held_workers: saturating_u32(pool.leadership().held_workers(now.monotonic).count()),
        waiting_tasks: 0,
        running_tasks: 0,
        unknown_tasks: 0,
        parked_jobs: 0,
    };
    for job in pool.scheduler().jobs() {
        status.waiting_tasks += job.counts.waiting;
        status.running_tasks += job.counts.running;
        status.unknown_tasks += job.counts.unknown;
        status.parked_jobs += u32::from(job.state == scheduler::JobState::Parked);
    }
    status
}

fn saturating_u32(number: usize) -> u32 {
    u32::try_from(number).unwrap_or(u32::MAX)
}

/// Placeholder for the rack of a worker that has not been claimed yet, which is when it reports its
/// rack.
fn unknown_rack() -> id::RackId {
    id::RackId::new("unknown").expect("the text is a valid identifier")
}
