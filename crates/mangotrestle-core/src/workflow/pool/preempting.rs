//! Stops less urgent runs to free resources for urgent work.
//!
//! If urgent work that can still be on time has not been placed for a while, runs of less urgent
//! bands are stopped: only runs that can continue from a checkpoint and whose jobs have enough
//! slack, on the worker where the fewest have to stop. Resources that are already being freed count
//! first, so that nothing is stopped twice for the same need. Persistent tasks and gangs are never
//! preempted.

use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Member, MemberKey, Phase, Unit, UnitKey};
use super::super::rank::Deadlines;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Time between two checks for runs to stop.
const PREEMPTION_CHECK_INTERVAL: SpanMs = SpanMs(100);
/// Minimum time for which urgent work waits before runs are stopped for it, since resources may
/// become free by themselves.
const MIN_WAIT_BEFORE_PREEMPTION: SpanMs = SpanMs(150);
/// Minimum slack that a job must still have if one of its runs is stopped.
const MIN_SLACK_AFTER_STOP: SpanMs = SpanMs(2_000);
/// Maximum number of urgent units handled in one check.
const MAX_URGENT_UNITS: usize = 24;
/// Maximum number of times that one unit may be preempted.
const MAX_PREEMPTIONS: u32 = 2;

/// A run that may be stopped.
struct Victim {
    member: MemberKey,
    need: Resources,
    /// Slack of its job until it would be late.
    slack: SpanMs,
}

/// Free resources of a worker, and the runs that may be stopped there.
struct WorkerCapacity<'a> {
    worker: &'a Worker,
    /// Needs of the runs that are being stopped.
    stopping: Resources,
    /// Needs of the urgent units that runs are stopped for.
    promised: Resources,
    victims: Vec<Victim>,
}

impl WorkerCapacity<'_> {
    /// Returns the smallest number of victims to stop so that the need fits; those whose jobs have
    /// the most slack come first.
    fn victims_for(&self, need: &Resources) -> Option<usize> {
        let need = self.promised + *need;
        let mut stopping = self.stopping;
        for (count, victim) in self.victims.iter().enumerate() {
            if need.fits_in(&self.worker.free_after(stopping)) {
                return Some(count);
            }
            stopping += victim.need;
        }
        need.fits_in(&self.worker.free_after(stopping))
            .then_some(self.victims.len())
    }
}

impl Pool {
    /// Stops less urgent runs for urgent work that has waited too long.
    pub(super) fn preempt_for_urgent_work(&mut self, now: TimeMs) {
        if now.since(self.preemption_checked_at) < PREEMPTION_CHECK_INTERVAL {
            return;
        }
        self.preemption_checked_at = now;
        for (member, wanted_by) in self.victims(now) {
            self.preempt(now, &member, &wanted_by);
        }
    }

    /// Returns the urgent units that have waited long enough.
    fn urgent_units(&self, now: TimeMs) -> Vec<&UnitKey> {
        let mut urgent_units = Vec::new();
        for (rank, key) in &self.waiting {
            if urgent_units.len() >= MAX_URGENT_UNITS || rank.useless {
                break;
            }
            let Some(step) = self.step(&key.step) else {
                continue;
            };
            let gang = self.step_spec(&key.step).is_some_and(|spec| spec.gang);
            // Where a task starts on trial, nothing may be stopped for it.
            let on_trial = self.unit(key).is_some_and(Unit::needs_trial);
            if !rank.late
                && !gang
                && !on_trial
                && self.may_preempt(key)
                && now.since(step.queued_at) >= MIN_WAIT_BEFORE_PREEMPTION
            {
                urgent_units.push(key);
            }
        }
        urgent_units
    }

    /// Returns the runs to stop, each with the unit that needs the resources.
    fn victims(&self, now: TimeMs) -> Vec<(MemberKey, UnitKey)> {
        let urgent_units = self.urgent_units(now);
        let mut chosen = Vec::new();
        let Some(first) = urgent_units
            .first()
            .and_then(|key| self.jobs.get(&key.step.job))
        else {
            return chosen;
        };
        let mut priority = first.record.policy.priority;
        let mut worker_capacities = self.worker_capacities(now, priority);
        for key in urgent_units {
            let Some(request) = self.placement_request(now, key) else {
                continue;
            };
            let own_priority = request.job.record.policy.priority;
            if own_priority != priority {
                priority = own_priority;
                worker_capacities = self.worker_capacities(now, priority);
            }
            let best = worker_capacities
                .iter_mut()
                .filter(|worker_capacity| request.allows(now, worker_capacity.worker))
                .filter_map(|worker_capacity| {
                    Some((worker_capacity.victims_for(&request.need)?, worker_capacity))
                })
                .min_by_key(|(count, worker_capacity)| {
                    (*count, worker_capacity.worker.entry.worker.clone())
                });
            let Some((count, worker_capacity)) = best else {
                continue;
            };
            for victim in worker_capacity.victims.drain(..count) {
                worker_capacity.stopping += victim.need;
                chosen.push((victim.member, key.clone()));
            }
            worker_capacity.promised += request.need;
        }
        chosen
    }

    /// Returns the workers' free resources and the runs there that may be stopped for work of a
    /// priority.
    fn worker_capacities(&self, now: TimeMs, priority: u32) -> Vec<WorkerCapacity<'_>> {
        let accepting = self
            .workers
            .values()
            .filter(|worker| worker.accepts_work(now) && worker.trial.is_none());
        let worker_capacities = accepting.map(|worker| {
            let mut stopping = Resources::ZERO;
            let mut victims = Vec::new();
            for (key, need) in &worker.tasks {
                let Some(member) = self.member(key) else {
                    continue;
                };
                if matches!(member.phase, Phase::Stopping | Phase::Stopped) {
                    stopping += *need;
                } else if let Some(slack) = self.slack(now, key, member, priority) {
                    let (member, need) = (key.clone(), *need);
                    victims.push(Victim {
                        member,
                        need,
                        slack,
                    });
                }
            }
            victims.sort_unstable_by(|left, right| {
                (right.slack, &right.member).cmp(&(left.slack, &left.member))
            });
            WorkerCapacity {
                worker,
                stopping,
                promised: Resources::ZERO,
                victims,
            }
        });
        worker_capacities.collect()
    }

    /// Returns the slack of a run's job, if the run may be stopped for work of a priority.
    fn slack(
        &self,
        now: TimeMs,
        key: &MemberKey,
        member: &Member,
        priority: u32,
    ) -> Option<SpanMs> {
        let job = self.jobs.get(&key.unit.step.job)?;
        let spec = self.step_spec(&key.unit.step)?;
        let unit = job.unit(&key.unit)?;
        let preemptible = member.phase == Phase::Running
            && job.record.policy.priority > priority
            && spec.saves_progress
            && !spec.persistent
            && !spec.gang
            && unit.preemptions < MAX_PREEMPTIONS;
        if !preemptible {
            return None;
        }
        let began_at = job.began_at(key.unit.step.occurrence);
        let step = key.unit.step.step;
        let deadlines = Deadlines::new(&self.estimates, &job.record, began_at, step);
        let slack = deadlines
            .due_at
            .since(now + deadlines.remaining + self.settings.max_stop_time);
        (slack >= MIN_SLACK_AFTER_STOP).then_some(slack)
    }

    fn preempt(&mut self, now: TimeMs, key: &MemberKey, wanted_by: &UnitKey) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        unit.preemptions += 1;
        let run = unit.run;
        if let Some(worker) = unit.members[key.member as usize].worker.clone() {
            self.notes.push(Note::Preempted {
                task: key.task_name(),
                run,
                worker,
                wanted_by: wanted_by.step.clone(),
            });
        }
        self.stop_member(now, key);
    }
}
