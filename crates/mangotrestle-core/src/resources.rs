//! Resource amounts, such as a worker's capacity or a task's need, in whole units so that sums are
//! exact.

use std::ops::{Add, AddAssign, Sub, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of each resource.
///
/// Used for capacity, free capacity, need and usage.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, PartialEq, Serialize, Deserialize)]
pub struct Resources {
    /// Processor time, in thousandths of a core.
    pub cpu_millicores: u64,
    /// Memory, in mebibytes.
    pub memory_mib: u64,
    /// Whole accelerators.
    pub accelerators: u32,
    /// Task slots of the worker.
    pub slots: u32,
}

impl Resources {
    /// Zero of every resource.
    pub const ZERO: Self = Self {
        cpu_millicores: 0,
        memory_mib: 0,
        accelerators: 0,
        slots: 0,
    };

    /// Whether this need is at most the given free amount in every resource.
    #[must_use]
    pub fn fits_in(&self, free: &Self) -> bool {
        self.cpu_millicores <= free.cpu_millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
            && self.slots <= free.slots
    }

    /// Returns the difference in each resource, or `None` if any would be negative.
    #[must_use]
    pub fn checked_sub(&self, other: &Self) -> Option<Self> {
        Some(Self {
            cpu_millicores: self.cpu_millicores.checked_sub(other.cpu_millicores)?,
            memory_mib: self.memory_mib.checked_sub(other.memory_mib)?,
            accelerators: self.accelerators.checked_sub(other.accelerators)?,
            slots: self.slots.checked_sub(other.slots)?,
        })
    }

    /// Returns the greater amount of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
            accelerators: self.accelerators.max(other.accelerators),
            slots: self.slots.max(other.slots),
        }
    }

    /// Returns each amount multiplied by a count, saturating at the maximum.
    #[must_use]
    pub fn times(&self, count: u32) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_mul(u64::from(count)),
            memory_mib: self.memory_mib.saturating_mul(u64::from(count)),
            accelerators: self.accelerators.saturating_mul(count),
            slots: self.slots.saturating_mul(count),
        }
    }
}

impl Add for Resources {
    type Output = Self;

    /// Adds each amount, saturating at the maximum: amounts come from callers and workers.
    fn add(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
            accelerators: self.accelerators.saturating_add(other.accelerators),
            slots: self.slots.saturating_add(other.slots),
        }
    }
}

impl AddAssign for Resources {
    fn add_assign(&mut self, other: Self) {
        *self = *self + other;
    }
}

impl Sub for Resources {
    type Output = Self;

    /// Subtracts each amount, saturating at zero.
    fn sub(self, other: Self) -> Self {
        Self {
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
        }
    }
}

impl SubAssign for Resources {
    fn sub_assign(&mut self, other: Self) {
        *self = *self - other;
    }
}
