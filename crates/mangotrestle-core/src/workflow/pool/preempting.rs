//! Makes room for urgent work by stopping less urgent work that loses little.
//!
//! Urgent work that can still be on time and finds no room for a while has runs of a lower urgency
//! band stopped: runs that go on from a checkpoint, whose jobs have time to spare, on the worker
//! where the fewest have to go. Room that is being given back already counts first, so that one
//! need stops nothing twice. Tasks that last and gangs are never stopped for others.

use crate::resources::Resources;
use crate::time::{SpanMs, TimeMs};

use super::super::job::{Member, MemberKey, Phase, UnitKey};
use super::super::rank::Outlook;
use super::super::worker::Worker;
use super::{Note, Pool};

/// Distance of looks for work to stop.
const LOOKED_EVERY: SpanMs = SpanMs(100);
/// Time that urgent work waits for room that comes by itself.
const PATIENCE: SpanMs = SpanMs(150);
/// Time to spare that a job must have beyond a stop for its runs to be stopped.
const SPARE: SpanMs = SpanMs(2_000);
/// Units for which room is made in one look.
const MOST_WANTED: usize = 24;
/// Times that one unit may be stopped for others.
const MOST_STOPS: u32 = 2;

/// A run that may be stopped.
struct Victim {
    member: MemberKey,
    need: Resources,
    /// Time its job has to spare.
    spare: SpanMs,
}

/// Room on a worker and what could add to it.
struct Yard<'a> {
    worker: &'a Worker,
    /// Free room, and room that is being given back, without what is promised.
    room: Resources,
    victims: Vec<Victim>,
}

impl Yard<'_> {
    /// The fewest victims after which the need fits, those whose jobs have most time to spare first.
    fn victims_for(&self, need: &Resources) -> Option<usize> {
        let mut room = self.room;
        for (count, victim) in self.victims.iter().enumerate() {
            if need.fits_in(&room) {
                return Some(count);
            }
            room += victim.need;
        }
        need.fits_in(&room).then_some(self.victims.len())
    }
}

impl Pool {
    /// Stops less urgent runs for urgent work that waits too long.
    pub(super) fn make_room(&mut self, now: TimeMs) {
        if now.since(self.made_room_at) < LOOKED_EVERY {
            return;
        }
        self.made_room_at = now;
        for (member, wanted_by) in self.victims(now) {
            self.preempt(now, &member, &wanted_by);
        }
    }

    /// Urgent units that have waited for room long enough.
    fn wanted(&self, now: TimeMs) -> Vec<&UnitKey> {
        let mut wanted = Vec::new();
        for (rank, key) in &self.waiting {
            if wanted.len() >= MOST_WANTED || rank.useless {
                break;
            }
            let Some(step) = self.step(&key.step) else {
                continue;
            };
            let gang = self.step_spec(&key.step).is_some_and(|spec| spec.gang);
            if !rank.late && !gang && now.since(step.queued_at) >= PATIENCE {
                wanted.push(key);
            }
        }
        wanted
    }

    /// Runs to stop, each with the unit that wants the room.
    fn victims(&self, now: TimeMs) -> Vec<(MemberKey, UnitKey)> {
        let wanted = self.wanted(now);
        let mut chosen = Vec::new();
        let Some(first) = wanted.first().and_then(|key| self.jobs.get(&key.step.job)) else {
            return chosen;
        };
        let mut priority = first.record.policy.priority;
        let mut yards = self.yards(now, priority);
        for key in wanted {
            let Some(request) = self.request(key) else {
                continue;
            };
            let own = request.job.record.policy.priority;
            if own != priority {
                priority = own;
                yards = self.yards(now, priority);
            }
            let best = yards
                .iter_mut()
                .filter(|yard| request.allows(now, yard.worker))
                .filter_map(|yard| Some((yard.victims_for(&request.need)?, yard)))
                .min_by_key(|(count, yard)| (*count, yard.worker.entry.worker.clone()));
            let Some((count, yard)) = best else {
                continue;
            };
            for victim in yard.victims.drain(..count) {
                yard.room += victim.need;
                chosen.push((victim.member, key.clone()));
            }
            yard.room -= request.need;
        }
        chosen
    }

    /// Workers with their room and the runs there that may be stopped for work of a priority.
    fn yards(&self, now: TimeMs, priority: u32) -> Vec<Yard<'_>> {
        let taking = self.workers.values().filter(|one| one.takes_work(now));
        let yards = taking.map(|worker| {
            let mut room = worker.free();
            let mut victims = Vec::new();
            for (key, need) in &worker.tasks {
                let Some(member) = self.member(key) else {
                    continue;
                };
                if matches!(member.phase, Phase::Stopping | Phase::Stopped) {
                    room += *need;
                } else if let Some(spare) = self.spare(now, key, member, priority) {
                    let (member, need) = (key.clone(), *need);
                    victims.push(Victim {
                        member,
                        need,
                        spare,
                    });
                }
            }
            victims.sort_unstable_by(|one, other| {
                (other.spare, &other.member).cmp(&(one.spare, &one.member))
            });
            Yard {
                worker,
                room,
                victims,
            }
        });
        yards.collect()
    }

    /// Time that the job of a run has to spare, if the run may be stopped for work of a priority.
    fn spare(
        &self,
        now: TimeMs,
        key: &MemberKey,
        member: &Member,
        priority: u32,
    ) -> Option<SpanMs> {
        let job = self.jobs.get(&key.unit.step.job)?;
        let spec = self.step_spec(&key.unit.step)?;
        let unit = job.unit(&key.unit)?;
        let yields = member.phase == Phase::Running
            && job.record.policy.priority > priority
            && spec.saves_progress
            && !spec.persistent
            && !spec.gang
            && unit.preempted < MOST_STOPS;
        if !yields {
            return None;
        }
        let began_at = job.began_at(key.unit.step.occurrence);
        let step = key.unit.step.step;
        let outlook = Outlook::new(&self.estimates, &job.record, began_at, step);
        let spare = outlook
            .due_at
            .since(now + outlook.rest + self.settings.max_stop_time);
        (spare >= SPARE).then_some(spare)
    }

    fn preempt(&mut self, now: TimeMs, key: &MemberKey, wanted_by: &UnitKey) {
        let Some(unit) = self.unit_mut(&key.unit) else {
            return;
        };
        unit.preempted += 1;
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
