//! Sets of task indices, stored as ranges.
//!
//! Tasks of a job with adjacent indices are usually started together and end together, so a few
//! ranges hold thousands of tasks.

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::job;

/// A range of task indices, both ends included.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct IndexRange {
    /// First index.
    pub first: u32,
    /// Last index, greater than or equal to the first.
    pub last: u32,
}

impl IndexRange {
    /// Returns a range of one index.
    #[must_use]
    pub const fn from_index(index: u32) -> Self {
        Self {
            first: index,
            last: index,
        }
    }
}

/// A set of task indices, stored as ascending ranges that neither overlap nor adjoin.
///
/// # Examples
///
/// ```
/// use mangotrestle_core::journal;
///
/// let set: journal::IndexSet = [3, 1, 2, 7].into_iter().collect();
/// assert_eq!(set.ranges().len(), 2);
/// assert_eq!(set.iter().collect::<Vec<_>>(), [1, 2, 3, 7]);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct IndexSet {
    ranges: Vec<IndexRange>,
}

impl IndexSet {
    /// Returns the union of the given ranges, which may overlap and be in any order.
    #[must_use]
    pub fn from_ranges(mut ranges: Vec<IndexRange>) -> Self {
        ranges.sort_unstable();
        let mut joined: Vec<IndexRange> = Vec::new();
        for range in ranges {
            match joined.last_mut() {
                Some(last) if range.first <= last.last.saturating_add(1) => {
                    last.last = last.last.max(range.last);
                }
                _ => joined.push(range),
            }
        }
        Self { ranges: joined }
    }

    /// Returns the ranges in ascending order.
    #[must_use]
    pub fn ranges(&self) -> &[IndexRange] {
        &self.ranges
    }

    /// Returns the indices in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges
            .iter()
            .flat_map(|range| range.first..=range.last)
    }

    /// Whether the set is empty.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the only index if there is exactly one.
    #[must_use]
    pub fn single(&self) -> Option<u32> {
        match self.ranges.as_slice() {
            [range] if range.first == range.last => Some(range.first),
            _ => None,
        }
    }

    /// Returns the indices of this set that are not in the other.
    #[must_use]
    pub fn difference(&self, other: &Self) -> Self {
        let mut remaining = Vec::new();
        let mut others = other.ranges.iter().peekable();
        for &range in &self.ranges {
            let mut first = Some(range.first);
            while let (Some(start), Some(&&cut)) = (first, others.peek()) {
                if cut.last < start {
                    others.next();
                    continue;
                }
                if cut.first > range.last {
                    break;
                }
                if cut.first > start {
                    remaining.push(IndexRange {
                        first: start,
                        last: cut.first - 1,
                    });
                }
                first = cut.last.checked_add(1).filter(|&next| next <= range.last);
            }
            if let Some(first) = first {
                let last = range.last;
                remaining.push(IndexRange { first, last });
            }
        }
        Self { ranges: remaining }
    }
}

impl FromIterator<u32> for IndexSet {
    fn from_iter<I: IntoIterator<Item = u32>>(indices: I) -> Self {
        Self::from_ranges(indices.into_iter().map(IndexRange::from_index).collect())
    }
}

/// Serializes the ranges as pairs of first and last index.
impl Serialize for IndexSet {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_seq(self.ranges.iter().map(|range| (range.first, range.last)))
    }
}

impl<'de> Deserialize<'de> for IndexSet {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let pairs = Vec::<(u32, u32)>::deserialize(deserializer)?;
        let range = |(first, last)| {
            // Bounds the size of the set: a short input must not expand to more tasks than a job
            // can have.
            if first > last || last >= job::MAX_TASKS {
                let message =
                    format_args!("{first} to {last} is not a valid range of task indices");
                return Err(serde::de::Error::custom(message));
            }
            Ok(IndexRange { first, last })
        };
        let ranges: Result<Vec<_>, _> = pairs.into_iter().map(range).collect();
        ranges.map(Self::from_ranges)
    }
}
