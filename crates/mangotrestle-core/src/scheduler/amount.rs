//! Compact resource amounts, half the size of [`resources::Resources`], for records of which there
//! are very many.

use crate::resources;

/// An amount of each resource in 12 bytes.
///
/// Amounts above the range saturate; such a need is still too large for any worker.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub(super) struct Amount {
    pub(super) accelerators: u16,
    pub(super) slots: u16,
    pub(super) cpu_millicores: u32,
    pub(super) memory_mib: u32,
}

impl From<&resources::Resources> for Amount {
    fn from(wide: &resources::Resources) -> Self {
        Self {
            accelerators: u16::try_from(wide.accelerators).unwrap_or(u16::MAX),
            slots: u16::try_from(wide.slots).unwrap_or(u16::MAX),
            cpu_millicores: u32::try_from(wide.cpu_millicores).unwrap_or(u32::MAX),
            memory_mib: u32::try_from(wide.memory_mib).unwrap_or(u32::MAX),
        }
    }
}

impl From<Amount> for resources::Resources {
    fn from(amount: Amount) -> Self {
        Self {
            cpu_millicores: u64::from(amount.cpu_millicores),
            memory_mib: u64::from(amount.memory_mib),
            accelerators: u32::from(amount.accelerators),
            slots: u32::from(amount.slots),
        }
    }
}

impl Amount {
    pub(super) fn fits_in(&self, free: &Self) -> bool {
        self.cpu_millicores <= free.cpu_millicores
            && self.memory_mib <= free.memory_mib
            && self.accelerators <= free.accelerators
            && self.slots <= free.slots
    }

    pub(super) fn plus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_add(other.accelerators),
            slots: self.slots.saturating_add(other.slots),
            cpu_millicores: self.cpu_millicores.saturating_add(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_add(other.memory_mib),
        }
    }

    pub(super) fn minus(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.saturating_sub(other.accelerators),
            slots: self.slots.saturating_sub(other.slots),
            cpu_millicores: self.cpu_millicores.saturating_sub(other.cpu_millicores),
            memory_mib: self.memory_mib.saturating_sub(other.memory_mib),
        }
    }

    /// Returns the greater amount of each resource.
    pub(super) fn max_each(&self, other: &Self) -> Self {
        Self {
            accelerators: self.accelerators.max(other.accelerators),
            slots: self.slots.max(other.slots),
            cpu_millicores: self.cpu_millicores.max(other.cpu_millicores),
            memory_mib: self.memory_mib.max(other.memory_mib),
        }
    }

    /// Returns how many times this need fits into the free amount.
    pub(super) fn count_in(&self, free: &Self) -> u32 {
        let ratio = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        ratio(free.cpu_millicores, self.cpu_millicores)
            .min(ratio(free.memory_mib, self.memory_mib))
            .min(ratio(
                u32::from(free.accelerators),
                u32::from(self.accelerators),
            ))
            .min(ratio(u32::from(free.slots), u32::from(self.slots)))
    }

    /// Whether any resource is greater than in the other amount.
    pub(super) fn exceeds(&self, other: &Self) -> bool {
        !self.fits_in(other)
    }
}

/// Exact sum of many amounts.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Total {
    pub(super) accelerators: u64,
    pub(super) slots: u64,
    pub(super) cpu_millicores: u64,
    pub(super) memory_mib: u64,
}

impl Total {
    pub(super) fn add(&mut self, amount: &Amount) {
        self.accelerators += u64::from(amount.accelerators);
        self.slots += u64::from(amount.slots);
        self.cpu_millicores += u64::from(amount.cpu_millicores);
        self.memory_mib += u64::from(amount.memory_mib);
    }

    pub(super) fn subtract(&mut self, amount: &Amount) {
        self.accelerators -= u64::from(amount.accelerators);
        self.slots -= u64::from(amount.slots);
        self.cpu_millicores -= u64::from(amount.cpu_millicores);
        self.memory_mib -= u64::from(amount.memory_mib);
    }

    /// Whether the total suffices for `count` times a need. A sum over several workers may suffice
    /// although no placement exists.
    pub(super) fn may_hold(&self, need: &Amount, count: u32) -> bool {
        let count = u64::from(count);
        u64::from(need.accelerators) * count <= self.accelerators
            && u64::from(need.slots) * count <= self.slots
            && u64::from(need.cpu_millicores) * count <= self.cpu_millicores
            && u64::from(need.memory_mib) * count <= self.memory_mib
    }

    /// Returns the greatest share of the total, over all resources, that `used` amounts to, in
    /// millionths.
    pub(super) fn dominant_share_ppm(&self, used: &Self) -> u64 {
        let share = |used: u64, total: u64| (used * 1_000_000).checked_div(total).unwrap_or(0);
        share(used.cpu_millicores, self.cpu_millicores)
            .max(share(used.memory_mib, self.memory_mib))
            .max(share(used.accelerators, self.accelerators))
            .max(share(used.slots, self.slots))
    }
}
