//! A set of numbers, such as of the occurrences of a job that have ended.

use serde::{Deserialize, Serialize};

/// A set of numbers, kept as ranges.
///
/// What begins in order mostly ends in order, so the number of ranges follows what is open at once,
/// and not how much has ended.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct RangeSet {
    /// First number of each range and the one after its last, ascending; no two ranges touch.
    ranges: Vec<(u32, u32)>,
}

impl RangeSet {
    /// Whether the set has no number.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns how many numbers the set has.
    #[must_use]
    pub fn count(&self) -> u64 {
        let lengths = self
            .ranges
            .iter()
            .map(|(first, end)| u64::from(end - first));
        lengths.sum()
    }

    /// Returns the number of ranges.
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }

    /// Returns the numbers, ascending.
    pub fn numbers(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|&(first, end)| first..end)
    }

    /// Whether the set has a number.
    #[must_use]
    pub fn contains(&self, number: u32) -> bool {
        self.first_missing(number) != number
    }

    /// Returns the lowest number from `number` on that is not in the set.
    #[must_use]
    pub fn first_missing(&self, number: u32) -> u32 {
        let next = self.ranges.partition_point(|&(_, end)| end <= number);
        match self.ranges.get(next) {
            Some(&(first, end)) if first <= number => end,
            _ => number,
        }
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        self.insert_range(number, number.saturating_add(1));
    }

    /// Adds the numbers from `first` up to, but not including, `end`.
    pub fn insert_range(&mut self, first: u32, end: u32) {
        if first >= end {
            return;
        }
        // The ranges that the new one overlaps or touches become one with it.
        let begin = self.ranges.partition_point(|&(_, other)| other < first);
        let until = self.ranges.partition_point(|&(other, _)| other <= end);
        let joined = &self.ranges[begin..until];
        let first = joined.first().map_or(first, |range| range.0.min(first));
        let end = joined.last().map_or(end, |range| range.1.max(end));
        self.ranges.splice(begin..until, [(first, end)]);
    }
}

impl From<Vec<(u32, u32)>> for RangeSet {
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let mut set = Self::default();
        for (first, end) in ranges {
            set.insert_range(first, end);
        }
        set
    }
}

impl From<RangeSet> for Vec<(u32, u32)> {
    fn from(set: RangeSet) -> Self {
        set.ranges
    }
}
