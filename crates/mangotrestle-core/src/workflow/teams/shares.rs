//! Divides a team's cap over the pools, so that no leader has to ask another before each start.
//!
//! Each team has one row in the store, a [`ShareRow`], with the parts of its cap that each pool holds.
//! The parts of all pools never sum to more than the whole. A leader starts a team's tasks within its
//! own part only, and changes it by writes that are conditional on the row's version:
//!
//! - it raises its part by what the row shows as free, and may use the raise once the write is known to
//!   be done;
//! - it lowers its part to give to a pool that says it needs more, and keeps within the lower part from
//!   before the write is sent;
//! - it uses a part only once the entry names its own term, so that no write of an earlier leader of
//!   its pool can lower the part any more.
//!
//! A write whose answer is lost may be carried out later, as long as the row keeps its version. Until
//! then the least of what the row and such writes say counts.
//!
//! What a pool gives up follows max-min fairness over the pools' needs, so a pool with a small need
//! gets all of it and large needs share what is left.
//!
//! A fair part may be too small for the next unit of work, such as a gang, so that several pools hold
//! parts with which none of them starts anything. A pool whose next unit does not fit its fair part
//! therefore takes a [`Turn`]. Turns are granted in their order, as far as they fit the cap together
//! with the runs that last: the others leave the granted parts free and share the rest, and a pool
//! whose turn is not granted yet holds no more than it uses. A turn ends with the start that it is for,
//! and the pool's next one comes after all others, so each of them is granted in the end. The order is
//! part of the row, so it is the same for all leaders. Where each pool's units fit its fair part, no
//! pool has a turn.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::resources::Resources;

/// Number of parts into which a cap is divided, for each resource.
pub const WHOLE: u32 = 10_000;
/// [`WHOLE`], for amounts.
const WHOLE_U64: u64 = WHOLE as u64;
/// Number of resources that a cap limits.
const RESOURCES: usize = 3;
/// Change of a need, in parts, that is worth a write.
const MIN_NEED_CHANGE: u32 = 500;

/// Parts of a cap, in ten-thousandths for each resource: processor time, memory, accelerators.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Parts(pub [u32; RESOURCES]);

impl Parts {
    /// Nothing of each resource.
    pub const NONE: Self = Self([0; RESOURCES]);

    /// Returns the parts of a cap that an amount takes, rounded up. A resource without a cap takes
    /// none.
    #[must_use]
    pub fn taken_by(amount: &Resources, cap: &Resources) -> Self {
        let mut parts = [0; RESOURCES];
        let amounts = amounts(amount).into_iter().zip(amounts(cap));
        for (part, (amount, cap)) in parts.iter_mut().zip(amounts) {
            let taken = amount.saturating_mul(WHOLE_U64);
            let rounded_up = taken.saturating_add(cap.saturating_sub(1));
            let parts = rounded_up.checked_div(cap).unwrap_or_default();
            *part = u32::try_from(parts).unwrap_or(u32::MAX);
        }
        Self(parts)
    }

    /// Returns the amount of a cap that the parts allow, rounded down; a resource without a cap is
    /// unlimited.
    #[must_use]
    pub fn of_cap(&self, cap: &Resources) -> Resources {
        let limit = |cap: u64, part: u32| match cap {
            0 => u64::MAX,
            cap => {
                cap / WHOLE_U64 * u64::from(part) + cap % WHOLE_U64 * u64::from(part) / WHOLE_U64
            }
        };
        let accelerators = limit(u64::from(cap.accelerators), self.0[2]);
        Resources {
            cpu_millicores: limit(cap.cpu_millicores, self.0[0]),
            memory_mib: limit(cap.memory_mib, self.0[1]),
            accelerators: u32::try_from(accelerators).unwrap_or(u32::MAX),
            slots: u32::MAX,
        }
    }

    /// Whether the parts are at least others, of each resource.
    #[must_use]
    pub fn contain(&self, others: &Self) -> bool {
        self.0
            .iter()
            .zip(others.0)
            .all(|(own, other)| *own >= other)
    }

    /// Returns the parts and others together.
    #[must_use]
    pub fn plus(&self, others: &Self) -> Self {
        let mut sums = self.0;
        for (sum, other) in sums.iter_mut().zip(others.0) {
            *sum = sum.saturating_add(other);
        }
        Self(sums)
    }

    fn min(&self, other: &Self) -> Self {
        let mut least = self.0;
        for (part, other) in least.iter_mut().zip(other.0) {
            *part = (*part).min(other);
        }
        Self(least)
    }
}

fn amounts(resources: &Resources) -> [u64; RESOURCES] {
    [
        resources.cpu_millicores,
        resources.memory_mib,
        u64::from(resources.accelerators),
    ]
}

/// The turn of a pool whose next unit does not fit its fair part.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// Its position: lower ones come first.
    #[serde(rename = "o")]
    pub order: u64,
    /// The parts with which the unit can start once the pool's runs that end have ended.
    #[serde(rename = "s")]
    pub start: Parts,
}

/// What one pool holds of a team's cap.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Holding {
    /// Term of the leader that wrote the entry.
    #[serde(rename = "t")]
    pub term: u64,
    /// The parts that the pool holds.
    #[serde(rename = "h")]
    pub held: Parts,
    /// The parts that it needs, of each resource of which it holds too little; zero of the others.
    #[serde(default, rename = "n", skip_serializing_if = "is_none")]
    pub need: Parts,
    /// The parts that its runs take which last until their job is cancelled; zero while no pool has a
    /// turn.
    #[serde(default, rename = "l", skip_serializing_if = "is_none")]
    pub lasting: Parts,
    /// Its turn, if it has one.
    #[serde(default, rename = "w", skip_serializing_if = "Option::is_none")]
    pub turn: Option<Turn>,
}

fn is_none(parts: &Parts) -> bool {
    *parts == Parts::NONE
}

/// The stored division of a team's cap.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct ShareRow {
    /// What each pool holds.
    #[serde(default, rename = "p")]
    pub pools: BTreeMap<String, Holding>,
}

impl ShareRow {
    /// Returns the pool whose turn is first; `None` if no pool has one.
    #[must_use]
    pub fn next_in_turn(&self) -> Option<&str> {
        let turns = self.pools.iter();
        let turns = turns.filter_map(|(pool, holding)| Some((holding.turn?.order, pool)));
        turns.min().map(|(_, pool)| pool.as_str())
    }
}

/// What a pool uses and needs of a team's cap.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq)]
pub struct Demand {
    /// Parts that runs take which may be on workers.
    pub used: Parts,
    /// Parts that these runs and the waiting work together need.
    pub needed: Parts,
    /// Parts that runs take which last until their job is cancelled.
    pub lasting: Parts,
    /// Parts that the next unit takes for which there is no room; none if there is no such unit.
    pub unit: Parts,
}

/// A conditional write of a team's row.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ShareWrite {
    /// Version that the row must have; zero if it must not exist.
    pub expected_version: u64,
    /// The new row.
    pub row: ShareRow,
}

/// One leader's view of a team's row, and what it may use of the cap.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct ShareHolder {
    row: ShareRow,
    version: u64,
    /// What writes that may still be carried out leave to the pool; unset if there are none.
    pending: Option<Parts>,
    /// The parts to which the pool goes down by starting nothing, since others lack room; unset if it
    /// need not.
    aim: Option<Parts>,
    /// Position of the last turn whose unit was started.
    served: u64,
}

impl ShareHolder {
    /// Takes the row as read or written; an older one than is known is ignored.
    pub fn observe(&mut self, row: ShareRow, version: u64) {
        if version > self.version {
            *self = Self {
                row,
                version,
                pending: None,
                aim: self.aim,
                served: self.served,
            };
        }
    }

    /// Returns the parts that the leader of this term may use.
    #[must_use]
    pub fn usable(&self, pool: &str, term: u64) -> Parts {
        let own = self.row.pools.get(pool);
        let Some(own) = own.filter(|own| own.term == term) else {
            return Parts::NONE;
        };
        self.pending
            .map_or(own.held, |pending| own.held.min(&pending))
    }

    /// Returns the parts that new starts of the leader of this term may use.
    #[must_use]
    pub fn startable(&self, pool: &str, term: u64) -> Parts {
        let usable = self.usable(pool, term);
        self.aim.map_or(usable, |aim| usable.min(&aim))
    }

    /// Returns the write that the pool's leader should send, and keeps within it from now on; `None`
    /// if the row may stay as it is. `pools` is the number of pools that there are.
    pub fn propose(
        &mut self,
        pool: &str,
        term: u64,
        demand: &Demand,
        pools: u32,
    ) -> Option<ShareWrite> {
        let own = self.row.pools.get(pool).copied();
        if own.is_some_and(|own| own.term > term) {
            return None;
        }
        let turn = self.next_turn(pool, demand);
        let outlook = self.outlook(pool, turn, demand);
        let wanted = self.wanted(pool, term, demand, pools, &outlook);
        let aim = own.map(|own| own.held.min(&outlook.keepable));
        self.aim = aim.filter(|aim| aim.min(&wanted.held) != wanted.held);
        let is_settled = self.pending.is_none();
        if is_settled && own.is_some_and(|own| !is_worth_a_write(&own, &wanted)) {
            return None;
        }
        let held_before = self.pending.unwrap_or(wanted.held);
        self.pending = Some(held_before.min(&wanted.held));
        let mut row = self.row.clone();
        row.pools.insert(pool.to_owned(), wanted);
        Some(ShareWrite {
            expected_version: self.version,
            row,
        })
    }

    /// Returns the turn that the pool has and whose unit has not been started.
    #[must_use]
    pub fn open_turn(&self, pool: &str) -> Option<Turn> {
        let own = self.row.pools.get(pool)?;
        own.turn.filter(|turn| turn.order != self.served)
    }

    /// Records that the unit of the pool's turn was started.
    pub fn end_turn(&mut self, pool: &str) {
        if let Some(turn) = self.open_turn(pool) {
            self.served = turn.order;
        }
    }

    /// Returns the turn that the pool should have.
    fn next_turn(&self, pool: &str, demand: &Demand) -> Option<Turn> {
        let start = demand.lasting.plus(&demand.unit);
        if demand.unit == Parts::NONE || !Parts([WHOLE; RESOURCES]).contain(&start) {
            return None;
        }
        if let Some(turn) = self.open_turn(pool) {
            return Some(Turn {
                start: settled_start(&turn.start, start),
                ..turn
            });
        }
        let is_squeezed_by_turns = self.others_have_turns(pool)
            && !self.outlook(pool, None, demand).keepable.contain(&start);
        if !is_squeezed_by_turns && self.fair_part_allows(pool, demand, &start) {
            return None;
        }
        let turns = self.row.pools.values().filter_map(|holding| holding.turn);
        let last = turns.map(|turn| turn.order).max();
        Some(Turn {
            order: last.unwrap_or_default().max(self.served) + 1,
            start,
        })
    }

    fn others_have_turns(&self, pool: &str) -> bool {
        let mut others = self.row.pools.iter().filter(|(name, _)| *name != pool);
        others.any(|(_, other)| other.turn.is_some())
    }

    /// Whether the pool's fair part allows a start, whatever the other pools that hold something need
    /// in the end.
    fn fair_part_allows(&self, pool: &str, demand: &Demand, start: &Parts) -> bool {
        (0..RESOURCES).all(|resource| {
            let others = self.row.pools.iter().filter(|(name, _)| *name != pool);
            let others =
                others.map(|(_, other)| other.held.0[resource].max(other.need.0[resource]));
            let others: Vec<u32> = others.filter(|need| *need > 0).collect();
            let needed = demand.needed.0[resource].min(WHOLE);
            max_min_part(needed, &others, WHOLE) >= start.0[resource]
        })
    }

    /// Returns the parts that turns are granted, by pool.
    fn grants<'a>(&'a self, pool: &'a str, turn: Option<Turn>, demand: &Demand) -> Grants<'a> {
        let mut left = [WHOLE; RESOURCES];
        let mut turns: Vec<(u64, &str, Parts, Parts)> = Vec::new();
        let others = self.row.pools.iter().filter(|(name, _)| *name != pool);
        let others = others.map(|(name, other)| (other.turn, name.as_str(), other.lasting));
        for (turn, name, lasting) in others.chain([(turn, pool, demand.lasting)]) {
            for (left, lasting) in left.iter_mut().zip(lasting.0) {
                *left = left.saturating_sub(lasting);
            }
            turns.extend(turn.map(|turn| (turn.order, name, turn.start, lasting)));
        }
        turns.sort_unstable_by_key(|(order, name, ..)| (*order, *name));
        let mut grants = Grants::default();
        for (_, name, start, lasting) in turns {
            let room = Parts(left).plus(&lasting);
            if room.contain(&start) {
                for (resource, left) in left.iter_mut().enumerate() {
                    *left = room.0[resource] - start.0[resource].max(lasting.0[resource]);
                }
                grants.insert(name, start);
            }
        }
        grants
    }

    /// Returns what the others claim, and what the pool may keep beside them.
    fn outlook(&self, pool: &str, turn: Option<Turn>, demand: &Demand) -> Outlook {
        let grants = self.grants(pool, turn, demand);
        let standing = match (turn, grants.get(pool)) {
            (None, _) => Standing::NoTurn,
            (Some(_), Some(start)) => Standing::Granted(*start),
            (Some(_), None) => Standing::Waiting,
        };
        let others = self.row.pools.iter().filter(|(name, _)| *name != pool);
        let claims = std::array::from_fn(|resource| {
            let claim = |(name, other): (&String, &Holding)| {
                let granted = grants.get(name.as_str());
                let granted = granted.map_or(0, |start| start.0[resource]);
                let need = match other.turn {
                    Some(_) => 0,
                    None => other.need.0[resource],
                };
                Claim {
                    held: other.held.0[resource].max(granted),
                    need,
                    is_granted: granted > 0,
                }
            };
            others.clone().map(claim).collect()
        });
        let mut outlook = Outlook {
            turn,
            claims,
            standing,
            keepable: Parts([u32::MAX; RESOURCES]),
        };
        for resource in 0..RESOURCES {
            let needed = demand.needed.0[resource].min(WHOLE);
            if let Some(part) = outlook.keepable_part(resource, needed) {
                outlook.keepable.0[resource] = part;
            }
        }
        outlook
    }

    /// Returns the entry that the pool should have.
    fn wanted(
        &self,
        pool: &str,
        term: u64,
        demand: &Demand,
        pools: u32,
        outlook: &Outlook,
    ) -> Holding {
        let own = self.row.pools.get(pool);
        let mut wanted = Holding {
            term,
            turn: outlook.turn,
            ..Holding::default()
        };
        if outlook.turn.is_some() || self.others_have_turns(pool) {
            wanted.lasting = demand.lasting;
        }
        for resource in 0..RESOURCES {
            let needed = demand.needed.0[resource].min(WHOLE);
            let used = demand.used.0[resource];
            let held = if let Some(own) = own {
                outlook.changed_part(resource, own.held.0[resource], used, needed)
            } else {
                let free = free_part(0, &outlook.claims[resource]);
                free.min(needed.max(WHOLE / pools.max(1)))
            };
            wanted.held.0[resource] = held;
            if needed > held {
                wanted.need.0[resource] = needed;
            }
        }
        wanted
    }
}

/// Parts that turns are granted, by pool.
type Grants<'a> = BTreeMap<&'a str, Parts>;

/// Returns the start of a turn that is kept. A start that needs a little less than before is not worth a
/// write; one that needs more is, since it would never have room.
fn settled_start(stored: &Parts, start: Parts) -> Parts {
    let is_close = |(stored, start): (&u32, u32)| *stored - start < MIN_NEED_CHANGE;
    let is_settled = stored.contain(&start) && stored.0.iter().zip(start.0).all(is_close);
    if is_settled { *stored } else { start }
}

/// What another pool holds of one resource or is granted, and needs if that is too little.
struct Claim {
    held: u32,
    need: u32,
    /// Whether the pool has a turn that is granted.
    is_granted: bool,
}

impl Claim {
    const fn lacks(&self) -> bool {
        self.need > self.held
    }
}

/// How a pool stands to the turns.
enum Standing {
    /// It needs no turn.
    NoTurn,
    /// Its turn is granted these parts.
    Granted(Parts),
    /// It has a turn that is not granted.
    Waiting,
}

/// The claims of other pools on a cap, and how a pool stands to them.
struct Outlook {
    /// The pool's turn, if it has one.
    turn: Option<Turn>,
    /// Claims on each resource.
    claims: [Vec<Claim>; RESOURCES],
    standing: Standing,
    /// Parts that the pool may keep if it starts nothing beyond them.
    keepable: Parts,
}

impl Outlook {
    /// Returns the part of a resource that the pool may keep beside others that lack room or have a turn;
    /// `None` if none does.
    fn keepable_part(&self, resource: usize, needed: u32) -> Option<u32> {
        let fair = fair_part(needed, &self.claims[resource]);
        match &self.standing {
            Standing::NoTurn => fair,
            Standing::Granted(start) => fair.map(|fair| fair.max(start.0[resource])),
            Standing::Waiting => Some(0),
        }
    }

    /// Returns the part of a resource that the pool should hold after `held`.
    fn changed_part(&self, resource: usize, held: u32, used: u32, needed: u32) -> u32 {
        let free = free_part(held, &self.claims[resource]);
        if needed > held && free > 0 && !matches!(self.standing, Standing::Waiting) {
            // Half of what is free is taken ahead of the need, so that not each start takes a write.
            return held + free.min((needed - held).max(free / 2));
        }
        held.min(self.keepable.0[resource].max(used))
    }
}

/// Returns the part that no pool holds or is granted.
fn free_part(held: u32, others: &[Claim]) -> u32 {
    let taken = others
        .iter()
        .fold(held, |sum, other| sum.saturating_add(other.held));
    WHOLE.saturating_sub(taken)
}

/// Returns the part of one resource that a pool may keep beside others that lack room or have a turn;
/// `None` if none does.
fn fair_part(needed: u32, others: &[Claim]) -> Option<u32> {
    let lacking = others.iter().filter(|other| other.lacks());
    let needs: Vec<u32> = lacking.map(|other| other.need).collect();
    let others_have_turns = others.iter().any(|other| other.is_granted);
    if needs.is_empty() && !others_have_turns {
        return None;
    }
    let content = others.iter().filter(|other| !other.lacks());
    let kept_by_content = content.fold(0_u32, |sum, other| sum.saturating_add(other.held));
    let total = WHOLE.saturating_sub(kept_by_content);
    if needs.is_empty() {
        return Some(total);
    }
    Some(max_min_part(needed, &needs, total))
}

/// Returns the part of `total` that a need gets beside others by max-min fairness. What all needs
/// leave is divided equally.
fn max_min_part(own: u32, others: &[u32], total: u32) -> u32 {
    let mut needs: Vec<u32> = others.to_vec();
    needs.push(own);
    needs.sort_unstable();
    let mut left = total;
    let mut count = u32::try_from(needs.len()).unwrap_or(u32::MAX);
    for need in needs {
        let equal = left / count;
        if need > equal {
            // This need and all larger ones get equal parts.
            return own.min(equal);
        }
        left -= need;
        count -= 1;
        if count == 0 {
            break;
        }
    }
    let sharers = u32::try_from(others.len() + 1).unwrap_or(u32::MAX);
    own + left / sharers
}

fn is_worth_a_write(own: &Holding, wanted: &Holding) -> bool {
    let need_changed = |(before, after): (u32, u32)| {
        (before == 0) != (after == 0) || before.abs_diff(after) >= MIN_NEED_CHANGE
    };
    own.term != wanted.term
        || own.held != wanted.held
        || own.turn != wanted.turn
        || own.lasting != wanted.lasting
        || own.need.0.into_iter().zip(wanted.need.0).any(need_changed)
}
