//! Queue of jobs with waiting tasks, in the order in which they should start.
//!
//! Jobs are ordered by urgency, then by the weighted dominant share of their team, then by age.
//! Jobs whose tasks are equal for the worker search form a *shape*. A shape that fits no worker is
//! blocked as a whole until a worker has enough free capacity, so a long backlog costs nothing
//! while it waits. Within a shape, the jobs of one team form a *lane*, so a change of a team's
//! share reorders lanes instead of jobs.

use std::collections::BTreeSet;

use crate::collections;
use crate::id;
use crate::job;
use crate::time;

use super::amount;
use super::config;
use super::index::WorkerKey;

/// Key of a job in the scheduler's table.
pub(super) type JobKey = u32;
pub(super) type TeamKey = u32;
type ShapeKey = u32;
type LaneKey = u32;

/// The properties of a job that the worker search depends on.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) struct Shape {
    pub(super) urgency: job::Urgency,
    pub(super) need: amount::Amount,
    /// Number of tasks that start together; zero for a job that is not a gang.
    pub(super) gang_tasks: u32,
    /// Bit length of the expected run time in milliseconds; `u8::MAX` if the run has no expected
    /// end.
    pub(super) run_time_bit_length: u8,
    /// Whether a probe of a quarantined worker may run tasks of this shape.
    pub(super) may_probe: bool,
}

/// Sort key of a lane. The lowest rank is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    urgency: job::Urgency,
    share: u64,
    accepted_wall_ms: time::WallTimeMs,
    lane: LaneKey,
}

#[derive(Debug)]
struct ShapeQueue {
    shape: Shape,
    lanes: BTreeSet<Rank>,
    lane_count: u32,
    /// Index in [`Queue::blocked`], if the shape is blocked.
    blocked: Option<usize>,
    head: Option<Rank>,
}

/// A worker with newly freed capacity, kept until every blocked shape that fits it was tried.
#[derive(Clone, Copy, Debug)]
struct FreedWorker {
    worker: WorkerKey,
    /// The shape that is tried now.
    candidate: Option<ShapeKey>,
    /// Value of [`Queue::sequence`] when the capacity was freed. Shapes that were blocked later are
    /// skipped, because their search already saw this capacity.
    freed_sequence: u64,
}

#[derive(Debug)]
struct Lane {
    shape: ShapeKey,
    team: TeamKey,
    jobs: BTreeSet<(time::WallTimeMs, JobKey)>,
    rank: Option<Rank>,
    over_quota: bool,
}

/// Usage and quota of a team in the pool.
#[derive(Debug)]
pub(super) struct Team {
    pub(super) id: id::TeamId,
    pub(super) used: amount::Total,
    limit: Option<amount::Total>,
    weight: u64,
    share: u64,
    lanes: Vec<LaneKey>,
}

#[derive(Clone, Copy, Debug)]
struct BlockedShape {
    shape: ShapeKey,
    need: amount::Amount,
    /// Rank of the shape's first lane.
    rank: Option<Rank>,
    blocked_sequence: u64,
}

/// The next job to place.
#[derive(Clone, Copy, Debug)]
pub(super) struct Head {
    pub(super) job: JobKey,
    pub(super) shape: Shape,
    lane: LaneKey,
}

/// All waiting jobs.
#[derive(Debug, Default)]
pub(super) struct Queue {
    shapes: Vec<ShapeQueue>,
    free_shapes: Vec<ShapeKey>,
    shape_keys: collections::FastMap<Shape, ShapeKey>,
    lanes: Vec<Lane>,
    free_lanes: Vec<LaneKey>,
    lane_keys: collections::FastMap<(ShapeKey, TeamKey), LaneKey>,
    heads: BTreeSet<(Rank, ShapeKey)>,
    blocked: Vec<BlockedShape>,
    freed_workers: Vec<FreedWorker>,
    /// Incremented when a shape is blocked or capacity is freed, to tell which happened first.
    sequence: u64,
    teams: Vec<Team>,
    team_keys: collections::FastMap<id::TeamId, TeamKey>,
    capacity: amount::Total,
}

fn total_of(resources: &crate::resources::Resources) -> amount::Total {
    amount::Total {
        accelerators: u64::from(resources.accelerators),
        slots: u64::from(resources.slots),
        cpu_millicores: resources.cpu_millicores,
        memory_mib: resources.memory_mib,
    }
}

impl Queue {
    /// Returns the key of a team and adds the team with its quota if it is new.
    pub(super) fn team_key(
        &mut self,
        team: &id::TeamId,
        config: &config::SchedulerConfig,
    ) -> TeamKey {
        if let Some(&key) = self.team_keys.get(team) {
            return key;
        }
        let quota = config.quota(team);
        let key = TeamKey::try_from(self.teams.len()).unwrap_or(TeamKey::MAX);
        self.teams.push(Team {
            id: team.clone(),
            used: amount::Total::default(),
            limit: quota.limit.as_ref().map(total_of),
            weight: u64::from(quota.weight.max(1)),
            share: 0,
            lanes: Vec::new(),
        });
        self.team_keys.insert(team.clone(), key);
        key
    }

    pub(super) fn teams(&self) -> &[Team] {
        &self.teams
    }

    /// Applies the quotas of a new configuration.
    pub(super) fn set_quotas(&mut self, config: &config::SchedulerConfig) {
        for team in &mut self.teams {
            let quota = config.quota(&team.id);
            team.limit = quota.limit.as_ref().map(total_of);
            team.weight = u64::from(quota.weight.max(1));
        }
        for key in 0..self.teams.len() {
            self.rerank_team(TeamKey::try_from(key).unwrap_or(TeamKey::MAX), true);
        }
    }

    /// Returns the total capacity of the pool's workers, which the teams' shares are fractions of.
    pub(super) fn capacity_mut(&mut self) -> &mut amount::Total {
        &mut self.capacity
    }

    pub(super) fn capacity(&self) -> &amount::Total {
        &self.capacity
    }

    /// Adds an amount to a team's usage.
    pub(super) fn add_usage(&mut self, team: TeamKey, amount: &amount::Amount) {
        self.teams[team as usize].used.add(amount);
        self.rerank_team(team, false);
    }

    /// Subtracts an amount from a team's usage. Lanes that were over quota return to the order.
    pub(super) fn subtract_usage(&mut self, team: TeamKey, amount: &amount::Amount) {
        self.teams[team as usize].used.subtract(amount);
        self.rerank_team(team, true);
    }

    /// Whether `count` more tasks with this need are within a team's quota.
    pub(super) fn within_quota(&self, team: TeamKey, need: &amount::Amount, count: u32) -> bool {
        let team = &self.teams[team as usize];
        let Some(limit) = &team.limit else {
            return true;
        };
        let unused = amount::Total {
            accelerators: limit.accelerators.saturating_sub(team.used.accelerators),
            slots: limit.slots.saturating_sub(team.used.slots),
            cpu_millicores: limit
                .cpu_millicores
                .saturating_sub(team.used.cpu_millicores),
            memory_mib: limit.memory_mib.saturating_sub(team.used.memory_mib),
        };
        unused.may_hold(need, count)
    }

    /// Recomputes the share of a team and the ranks of its lanes. With `release`, lanes that were
    /// over quota return to the order.
    fn rerank_team(&mut self, team: TeamKey, release: bool) {
        let entry = &mut self.teams[team as usize];
        // Shares are rounded to about 1/4096 of the pool, so that most starts reorder nothing.
        let share = self.capacity.dominant_share_ppm(&entry.used) / 244 * 1_000 / entry.weight;
        let changed = share != entry.share;
        entry.share = share;
        if !changed && !release {
            return;
        }
        for position in 0..self.teams[team as usize].lanes.len() {
            let lane = self.teams[team as usize].lanes[position];
            let released = release && self.lanes[lane as usize].over_quota;
            if released {
                self.lanes[lane as usize].over_quota = false;
            }
            if changed || released {
                self.rerank(lane);
            }
        }
    }

    /// Updates the rank of a lane and its place in the order.
    fn rerank(&mut self, lane_key: LaneKey) {
        let lane = &mut self.lanes[lane_key as usize];
        let first = lane.jobs.first().copied();
        let rank = match first {
            Some((accepted_wall_ms, _)) if !lane.over_quota => Some(Rank {
                urgency: self.shapes[lane.shape as usize].shape.urgency,
                share: self.teams[lane.team as usize].share,
                accepted_wall_ms,
                lane: lane_key,
            }),
            _ => None,
        };
        if rank == lane.rank {
            return;
        }
        let shape = lane.shape;
        let lanes = &mut self.shapes[shape as usize].lanes;
        if let Some(old) = lane.rank {
            lanes.remove(&old);
        }
        if let Some(new) = rank {
            lanes.insert(new);
        }
        lane.rank = rank;
        self.refresh_head(shape);
    }

    /// Updates the place of a shape in the order, or its rank among the blocked shapes.
    fn refresh_head(&mut self, key: ShapeKey) {
        let shape = &mut self.shapes[key as usize];
        let first = shape.lanes.first().copied();
        let head = if let Some(position) = shape.blocked {
            self.blocked[position].rank = first;
            None
        } else {
            first
        };
        if head == shape.head {
            return;
        }
        if let Some(old) = shape.head {
            self.heads.remove(&(old, key));
        }
        if let Some(new) = head {
            self.heads.insert((new, key));
        }
        shape.head = head;
    }

    fn shape_key(&mut self, shape: Shape) -> ShapeKey {
        if let Some(&key) = self.shape_keys.get(&shape) {
            return key;
        }
        let queue = ShapeQueue {
            shape,
            lanes: BTreeSet::new(),
            lane_count: 0,
            blocked: None,
            head: None,
        };
        let key = if let Some(key) = self.free_shapes.pop() {
            self.shapes[key as usize] = queue;
            key
        } else {
            self.shapes.push(queue);
            ShapeKey::try_from(self.shapes.len() - 1).unwrap_or(ShapeKey::MAX)
        };
        self.shape_keys.insert(shape, key);
        key
    }

    fn lane_key(&mut self, shape: ShapeKey, team: TeamKey) -> LaneKey {
        if let Some(&key) = self.lane_keys.get(&(shape, team)) {
            return key;
        }
        let lane = Lane {
            shape,
            team,
            jobs: BTreeSet::new(),
            rank: None,
            over_quota: false,
        };
        let key = if let Some(key) = self.free_lanes.pop() {
            self.lanes[key as usize] = lane;
            key
        } else {
            self.lanes.push(lane);
            LaneKey::try_from(self.lanes.len() - 1).unwrap_or(LaneKey::MAX)
        };
        self.lane_keys.insert((shape, team), key);
        self.teams[team as usize].lanes.push(key);
        self.shapes[shape as usize].lane_count += 1;
        key
    }

    /// Adds a job to the queue.
    pub(super) fn insert(&mut self, entry: &QueueEntry) {
        let shape = self.shape_key(entry.shape);
        let lane = self.lane_key(shape, entry.team);
        self.lanes[lane as usize]
            .jobs
            .insert((entry.accepted_wall_ms, entry.job));
        self.rerank(lane);
    }

    /// Removes a job; `entry` must equal the one it was inserted with.
    pub(super) fn remove(&mut self, entry: &QueueEntry) {
        let Some(&shape) = self.shape_keys.get(&entry.shape) else {
            return;
        };
        let Some(&lane_key) = self.lane_keys.get(&(shape, entry.team)) else {
            return;
        };
        let lane = &mut self.lanes[lane_key as usize];
        lane.jobs.remove(&(entry.accepted_wall_ms, entry.job));
        let empty = lane.jobs.is_empty();
        self.rerank(lane_key);
        if empty {
            self.remove_lane(lane_key);
        }
    }

    fn remove_lane(&mut self, key: LaneKey) {
        let (shape, team) = {
            let lane = &self.lanes[key as usize];
            (lane.shape, lane.team)
        };
        self.lane_keys.remove(&(shape, team));
        self.teams[team as usize]
            .lanes
            .retain(|&other| other != key);
        self.free_lanes.push(key);
        let queue = &mut self.shapes[shape as usize];
        queue.lane_count -= 1;
        if queue.lane_count == 0 {
            let removed_shape = queue.shape;
            self.remove_blocked(shape);
            self.shape_keys.remove(&removed_shape);
            self.free_shapes.push(shape);
        }
    }

    /// Returns the job to place next.
    pub(super) fn head(&self) -> Option<Head> {
        let (rank, shape) = self.heads.first()?;
        let lane = &self.lanes[rank.lane as usize];
        let &(_, job) = lane.jobs.first()?;
        Some(Head {
            job,
            shape: self.shapes[*shape as usize].shape,
            lane: rank.lane,
        })
    }

    /// Blocks the whole shape of a job that fits nowhere until a worker has enough newly freed
    /// capacity.
    pub(super) fn block(&mut self, head: &Head) {
        let key = self.lanes[head.lane as usize].shape;
        let queue = &mut self.shapes[key as usize];
        if queue.blocked.is_some() {
            return;
        }
        queue.blocked = Some(self.blocked.len());
        self.blocked.push(BlockedShape {
            shape: key,
            need: head.shape.need,
            rank: None,
            blocked_sequence: self.sequence,
        });
        self.sequence += 1;
        self.refresh_head(key);
    }

    fn remove_blocked(&mut self, key: ShapeKey) {
        let Some(position) = self.shapes[key as usize].blocked.take() else {
            return;
        };
        self.blocked.swap_remove(position);
        if let Some(moved) = self.blocked.get(position) {
            self.shapes[moved.shape as usize].blocked = Some(position);
        }
    }

    fn unblock_shape(&mut self, key: ShapeKey) {
        self.remove_blocked(key);
        self.refresh_head(key);
    }

    /// Takes a job's lane out of the order until its team's usage falls.
    pub(super) fn exclude_over_quota(&mut self, head: &Head) {
        self.lanes[head.lane as usize].over_quota = true;
        self.rerank(head.lane);
    }

    /// Notes that a worker has more free capacity than before.
    pub(super) fn note_freed_capacity(&mut self, worker: WorkerKey) {
        if self.blocked.is_empty() {
            return;
        }
        self.freed_workers.retain(|freed| freed.worker != worker);
        self.freed_workers.push(FreedWorker {
            worker,
            candidate: None,
            freed_sequence: self.sequence,
        });
        self.sequence += 1;
    }

    /// Unblocks, for each worker with newly freed capacity, the first blocked shape that fits it.
    /// The next one is unblocked only after that shape was placed or turned out not to fit: the
    /// capacity mostly suffices for one, so searching for all of them would be wasted.
    pub(super) fn unblock_next_fitting(
        &mut self,
        free_on: impl Fn(WorkerKey) -> Option<amount::Amount>,
    ) {
        let mut position = 0;
        while position < self.freed_workers.len() {
            let freed = self.freed_workers[position];
            if freed
                .candidate
                .is_some_and(|shape| self.is_placeable(shape))
            {
                position += 1;
                continue;
            }
            let free = free_on(freed.worker);
            match free.and_then(|free| self.first_fitting_blocked(&free, freed.freed_sequence)) {
                Some(next) => {
                    self.freed_workers[position].candidate = Some(next.shape);
                    self.unblock_shape(next.shape);
                    position += 1;
                }
                None => {
                    self.freed_workers.swap_remove(position);
                }
            }
        }
    }

    /// Whether a shape has a job in the order, neither blocked nor over quota.
    fn is_placeable(&self, shape: ShapeKey) -> bool {
        self.shapes[shape as usize].head.is_some()
    }

    fn first_fitting_blocked(
        &self,
        free: &amount::Amount,
        freed_sequence: u64,
    ) -> Option<BlockedShape> {
        let fitting = self.blocked.iter().filter(|blocked| {
            blocked.blocked_sequence < freed_sequence
                && blocked.rank.is_some()
                && blocked.need.fits_in(free)
        });
        fitting.min_by_key(|blocked| blocked.rank).copied()
    }

    /// Unblocks every shape whose need fits in `free`.
    pub(super) fn unblock_fitting(&mut self, free: &amount::Amount) {
        let fitting = self
            .blocked
            .iter()
            .filter(|blocked| blocked.need.fits_in(free));
        let shapes: Vec<ShapeKey> = fitting.map(|blocked| blocked.shape).collect();
        for shape in shapes {
            self.unblock_shape(shape);
        }
    }

    /// Unblocks every shape.
    pub(super) fn unblock_all(&mut self) {
        self.freed_workers.clear();
        while let Some(blocked) = self.blocked.last() {
            self.unblock_shape(blocked.shape);
        }
    }

    /// Whether a placement can be tried now.
    pub(super) fn is_ready(&self) -> bool {
        !self.heads.is_empty() || !self.freed_workers.is_empty()
    }
}

/// A job's entry in the queue. An equal entry is needed to remove the job.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueueEntry {
    pub(super) job: JobKey,
    pub(super) team: TeamKey,
    pub(super) shape: Shape,
    pub(super) accepted_wall_ms: time::WallTimeMs,
}
