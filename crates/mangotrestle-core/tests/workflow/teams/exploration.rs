//! Exhaustive search of the protocol by which pools share a team's cap: two pools, one of them with an
//! earlier and a later leader, a store that loses answers and carries writes out late, and leaders
//! that stop between reading and writing.

use std::collections::{HashSet, VecDeque};

use mangotrestle_core::workflow::teams::shares::{
    Demand, Holding, Parts, ShareHolder, ShareRow, ShareWrite, WHOLE,
};

/// Maximum number of steps of an explored run.
const MAX_STEPS: u32 = 8;
/// Maximum number of writes of one leader that are on their way.
const MAX_WRITES: usize = 2;
/// Part of a unit that does not fit beside one of the other pool.
const LARGE_UNIT: u32 = 6_000;
/// Part of a unit that fits the fair part of each pool.
const SMALL_UNIT: u32 = 500;
/// Maximum number of writes of each leader until a unit starts, once writes are answered.
const MAX_WRITES_TO_START: u32 = 4;
/// The leaders: pool and term. The second takes over from the first.
const LEADERS: [(&str, u64); 3] = [("a", 1), ("a", 2), ("b", 1)];

/// Returns the demand of a pool whose next unit takes this part; zero if nothing waits.
fn demand(used: u32, unit: u32) -> Demand {
    let needed = if unit == 0 { used } else { WHOLE };
    Demand {
        used: Parts([used, 0, 0]),
        needed: Parts([needed, 0, 0]),
        lasting: Parts::NONE,
        unit: Parts([unit, 0, 0]),
    }
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    row: ShareRow,
    version: u64,
    holders: [ShareHolder; 3],
    writes: Vec<(usize, ShareWrite)>,
    /// Parts that runs of each pool take.
    used: [u32; 2],
    /// Whether the later leader of the first pool has taken over.
    taken_over: bool,
}

impl State {
    /// Returns the state in which no pool holds anything yet.
    fn initial() -> Self {
        Self {
            row: ShareRow::default(),
            version: 0,
            holders: std::array::from_fn(|_| ShareHolder::default()),
            writes: Vec::new(),
            used: [0, 0],
            taken_over: false,
        }
    }

    /// Returns the state in which the first pool holds the whole cap, the second needs it, and all
    /// leaders have read so.
    fn with_lacking_pool() -> Self {
        let holding = |held, need| Holding {
            term: 1,
            held: Parts([held, 0, 0]),
            need: Parts([need, 0, 0]),
            ..Holding::default()
        };
        let mut state = Self::initial();
        state.version = 1;
        let (first, second) = (holding(WHOLE, 0), holding(0, WHOLE));
        state.row.pools = [("a".to_owned(), first), ("b".to_owned(), second)].into();
        for holder in &mut state.holders {
            holder.observe(state.row.clone(), state.version);
        }
        state
    }

    /// Returns the index of the pool of a leader.
    fn pool_of(leader: usize) -> usize {
        usize::from(LEADERS[leader].0 == "b")
    }

    /// Whether a leader may bind runs: a leader that has been replaced cannot.
    fn may_start(&self, leader: usize) -> bool {
        match leader {
            0 => !self.taken_over,
            1 => self.taken_over,
            _ => true,
        }
    }

    /// Returns the states after one more step, in which a pool's next unit takes this part, if one waits.
    fn successors(&self, unit: u32) -> Vec<Self> {
        let mut next = Vec::new();
        for leader in 0..LEADERS.len() {
            self.push_leader_steps(leader, unit, &mut next);
        }
        for index in 0..self.writes.len() {
            self.push_write_steps(index, &mut next);
        }
        if !self.taken_over {
            let mut state = self.clone();
            state.taken_over = true;
            next.push(state);
        }
        next
    }

    fn push_leader_steps(&self, leader: usize, unit: u32, next: &mut Vec<Self>) {
        let (pool, term) = LEADERS[leader];
        let pool_index = Self::pool_of(leader);
        let mut read = self.clone();
        read.holders[leader].observe(self.row.clone(), self.version);
        next.push(read);
        let own_writes = self.writes.iter().filter(|(from, _)| *from == leader);
        let is_active = leader != 1 || self.taken_over;
        if is_active && own_writes.count() < MAX_WRITES {
            for unit in [0, unit] {
                let demand = demand(self.used[pool_index], unit);
                let mut state = self.clone();
                if let Some(write) = state.holders[leader].propose(pool, term, &demand, 2) {
                    state.writes.push((leader, write));
                    next.push(state);
                }
            }
        }
        if self.may_start(leader) {
            let usable = self.holders[leader].usable(pool, term).0[0];
            for used in [0, usable] {
                let mut state = self.clone();
                state.used[pool_index] = match used {
                    0 => 0,
                    usable => usable.max(self.used[pool_index]),
                };
                next.push(state);
            }
        }
    }

    /// Carries a write out, with or without an answer, or loses it.
    fn push_write_steps(&self, index: usize, next: &mut Vec<Self>) {
        let mut lost = self.clone();
        let (leader, write) = lost.writes.remove(index);
        if write.expected_version == self.version {
            let mut unanswered = lost.clone();
            unanswered.row = write.row.clone();
            unanswered.version = self.version + 1;
            let mut answered = unanswered.clone();
            answered.holders[leader].observe(write.row, answered.version);
            next.extend([answered, unanswered]);
        }
        next.push(lost);
    }

    /// Whether each pool starts a unit that takes this part within a few writes, once these are answered
    /// and what runs has ended.
    fn lets_both_start(&self, units: [u32; 2]) -> bool {
        let mut state = self.clone();
        state.writes.clear();
        state.used = [0, 0];
        let leaders = [usize::from(state.taken_over), 2];
        let mut started = [false, false];
        for _ in 0..2 * MAX_WRITES_TO_START {
            for (index, leader) in leaders.into_iter().enumerate() {
                let (pool, term) = LEADERS[leader];
                let unit = if started[index] { 0 } else { units[index] };
                let holder = &mut state.holders[leader];
                holder.observe(state.row.clone(), state.version);
                if let Some(write) = holder.propose(pool, term, &demand(0, unit), 2) {
                    state.row = write.row;
                    state.version += 1;
                    holder.observe(state.row.clone(), state.version);
                }
                // The unit ends at once.
                started[index] |= holder.startable(pool, term).0[0] >= unit;
            }
        }
        started == [true, true]
    }

    /// Whether the pools together keep within the cap.
    fn is_within_cap(&self) -> bool {
        self.used.iter().sum::<u32>() <= WHOLE
    }
}

/// Explores all runs from a state with units of this part, and returns the number of states.
fn explore(initial: &State, unit: u32) -> usize {
    let mut seen = HashSet::from([initial.clone()]);
    let mut checked = HashSet::new();
    let mut open = VecDeque::from([(initial.clone(), 0)]);
    while let Some((state, steps)) = open.pop_front() {
        assert!(state.is_within_cap(), "after {steps} steps: {state:?}");
        // What is on its way or runs makes no difference to what follows once it has ended.
        let view = (
            state.row.clone(),
            state.version,
            state.holders.clone(),
            state.taken_over,
        );
        if checked.insert(view) {
            for units in [[LARGE_UNIT; 2], [WHOLE, WHOLE], [WHOLE, SMALL_UNIT]] {
                assert!(
                    state.lets_both_start(units),
                    "after {steps} steps, {units:?}: {state:?}"
                );
            }
        }
        if steps == MAX_STEPS {
            continue;
        }
        for next in state.successors(unit) {
            if seen.insert(next.clone()) {
                open.push_back((next, steps + 1));
            }
        }
    }
    seen.len()
}

/// Guards against runs beyond the cap, and against parts of it with which neither pool starts anything.
#[test]
fn no_order_of_reads_writes_and_lost_answers_exceeds_the_cap_or_leaves_it_unused() {
    let initial_states = [State::initial(), State::with_lacking_pool()];

    let explored =
        initial_states.map(|initial| [SMALL_UNIT, LARGE_UNIT].map(|unit| explore(&initial, unit)));

    assert!(
        explored.iter().flatten().all(|states| *states > 10_000),
        "{explored:?} states"
    );
}
