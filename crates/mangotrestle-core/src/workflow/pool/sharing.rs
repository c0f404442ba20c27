//! Keeps best-effort tasks from harming serving tasks. Best-effort tasks beside a task that exceeds
//! its target latency are paused, and get back to full speed in steps while the latency stays
//! within the target.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{MemberKey, Phase};
use super::{Order, Pool};

/// Divisor of the maximum overrun time that gives the overrun after which best-effort tasks are
/// paused.
const OVERRUN_DIVISOR: u64 = 8;
/// Minimum time without a task over its target after which best-effort tasks get the next higher
/// share.
const RECOVERY_TIME: SpanMs = SpanMs(3_000);
/// Shares of full speed of best-effort tasks, from paused to full speed.
const PACE_LEVELS_PERCENT: [u32; 3] = [0, 40, 100];

impl Pool {
    /// Sets the pace of best-effort tasks on workers where they run beside serving tasks.
    pub(super) fn pace_best_effort_runs(&mut self, now: TimeMs) {
        let shared: Vec<id::WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.best_effort_tasks > 0)
            .filter(|(_, worker)| worker.serving_tasks > 0 || worker.paced)
            .map(|(id, _)| id.clone())
            .collect();
        for id in shared {
            self.pace_worker(now, &id);
        }
    }

    fn pace_worker(&mut self, now: TimeMs, id: &id::WorkerId) {
        let overrun_before_pause = SpanMs(self.settings.max_target_overrun.0 / OVERRUN_DIVISOR);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let keys: Vec<MemberKey> = worker.tasks.keys().cloned().collect();
        let over_target = keys.iter().any(|key| {
            self.member(key)
                .and_then(|member| member.over_target_since)
                .is_some_and(|since| now.since(since) >= overrun_before_pause)
        });
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let level = worker.pace_level;
        if over_target && level > 0 {
            worker.pace_level = 0;
            worker.pace_changed_at = now;
        } else if !over_target
            && level + 1 < PACE_LEVELS_PERCENT.len()
            && (worker.serving_tasks == 0 || now.since(worker.pace_changed_at) >= RECOVERY_TIME)
        {
            worker.pace_level += 1;
            worker.pace_changed_at = now;
        } else if over_target {
            worker.pace_changed_at = now;
        }
        let percent = PACE_LEVELS_PERCENT[worker.pace_level];
        worker.paced = percent < 100;
        let pace_due = now.since(worker.pace_ordered_at) >= self.settings.pace_delay;
        if !pace_due {
            return;
        }
        worker.pace_ordered_at = now;
        for key in keys {
            self.pace_member(id, &key, percent);
        }
    }

    /// Orders the pace of a best-effort task unless the worker has already confirmed it.
    fn pace_member(&mut self, id: &id::WorkerId, key: &MemberKey, percent: u32) {
        let best_effort = self
            .step_spec(&key.unit.step)
            .is_some_and(|step| step.best_effort);
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let run = unit.run;
        let member = &unit.members[key.member as usize];
        if !best_effort || member.phase != Phase::Running || member.pace_percent == percent {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        self.orders.push(Order::Pace {
            worker: id.clone(),
            life: worker.life,
            address: worker.entry.address.clone(),
            member: key.clone(),
            run,
            percent,
        });
    }

    /// Handles the answer to a pace order.
    pub fn pace_answered(&mut self, key: &MemberKey, run: u32, percent: u32, done: bool) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        if done && unit.run == run {
            unit.members[key.member as usize].pace_percent = percent;
        }
    }
}
