//! Keeps fillers from harming tasks that serve: a filler beside a task that is over its bound gives
//! way at once, and comes back by steps while the tail stays low.

use crate::id;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{MemberKey, Phase};
use super::{Order, Pool};

/// Part of the allowed time over the bound after which fillers give way.
const PATIENCE_DIVISOR: u64 = 8;
/// Time without a task over its bound after which fillers get more again.
const CALM: SpanMs = SpanMs(3_000);
/// Shares of a filler, in percent, from giving way to full speed.
const STEPS: [u32; 3] = [0, 40, 100];

impl Pool {
    /// Paces the fillers on workers where they meet tasks that serve.
    pub(super) fn keep_harm_away(&mut self, now: TimeMs) {
        let shared: Vec<id::WorkerId> = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.filling > 0)
            .filter(|(_, worker)| worker.serving > 0 || worker.paced)
            .map(|(id, _)| id.clone())
            .collect();
        for id in shared {
            self.pace_worker(now, &id);
        }
    }

    fn pace_worker(&mut self, now: TimeMs, id: &id::WorkerId) {
        let patience = SpanMs(self.settings.max_target_overrun.0 / PATIENCE_DIVISOR);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let keys: Vec<MemberKey> = worker.tasks.keys().cloned().collect();
        let harmed = keys.iter().any(|key| {
            self.member(key)
                .and_then(|member| member.over_since)
                .is_some_and(|since| now.since(since) >= patience)
        });
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let level = worker.pace_level;
        if harmed && level > 0 {
            worker.pace_level = 0;
            worker.pace_changed_at = now;
        } else if !harmed
            && level + 1 < STEPS.len()
            && (worker.serving == 0 || now.since(worker.pace_changed_at) >= CALM)
        {
            worker.pace_level += 1;
            worker.pace_changed_at = now;
        } else if harmed {
            worker.pace_changed_at = now;
        }
        let percent = STEPS[worker.pace_level];
        worker.paced = percent < 100;
        let asked_again = now.since(worker.pace_asked_at) >= self.settings.pace_delay;
        if !asked_again {
            return;
        }
        worker.pace_asked_at = now;
        for key in keys {
            self.pace_member(id, &key, percent);
        }
    }

    /// Orders a filler's share unless the worker has confirmed it already.
    fn pace_member(&mut self, id: &id::WorkerId, key: &MemberKey, percent: u32) {
        let best_effort = self
            .step_spec(&key.unit.step)
            .is_some_and(|step| step.best_effort);
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        let run = unit.run;
        let member = &unit.members[key.member as usize];
        if !best_effort || member.phase != Phase::Running || member.paced_percent == percent {
            return;
        }
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        self.orders.push(Order::Pace {
            worker: id.clone(),
            address: worker.entry.address.clone(),
            member: key.clone(),
            run,
            percent,
        });
    }

    /// Takes the answer to a pace.
    pub fn pace_answered(&mut self, key: &MemberKey, run: u32, percent: u32, done: bool) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        if done && unit.run == run {
            unit.members[key.member as usize].paced_percent = percent;
        }
    }
}
