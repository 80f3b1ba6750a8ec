//! A set of numbers, kept as ranges.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// A set of numbers, kept as the ranges of consecutive numbers in it.
///
/// Its size grows with the number of gaps, not with that of the numbers. It is encoded as a list of
/// the first and the last number of each range.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct NumberRanges {
    /// The last number of each range, by its first one; ranges neither overlap nor touch.
    last_by_first: BTreeMap<u32, u32>,
    count: u64,
}

impl NumberRanges {
    /// Returns whether the set has no numbers.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns how many numbers the set has.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Returns whether the set has a number.
    pub fn contains(&self, number: u32) -> bool {
        self.last_of_range(number).is_some()
    }

    /// Adds a number.
    pub fn insert(&mut self, number: u32) {
        if self.contains(number) {
            return;
        }
        self.count += 1;
        let joins = |(_, last): &(&u32, &u32)| last.checked_add(1) == Some(number);
        let before = self.last_by_first.range(..number).next_back().filter(joins);
        let first = before.map_or(number, |(first, _)| *first);
        let after = number.checked_add(1);
        let last = after.and_then(|after| self.last_by_first.remove(&after));
        self.last_by_first.insert(first, last.unwrap_or(number));
    }

    /// Returns the least number from `number` on that the set lacks, if there is one.
    pub fn next_missing(&self, number: u32) -> Option<u32> {
        match self.last_of_range(number) {
            Some(last) => last.checked_add(1),
            None => Some(number),
        }
    }

    /// Returns the first and the last number of each range, in order.
    pub fn ranges(&self) -> impl Iterator<Item = (u32, u32)> {
        self.last_by_first
            .iter()
            .map(|(first, last)| (*first, *last))
    }

    /// Returns the last number of the range that a number is in, if the set has that number.
    fn last_of_range(&self, number: u32) -> Option<u32> {
        let (_, last) = self.last_by_first.range(..=number).next_back()?;
        (*last >= number).then_some(*last)
    }

    /// Adds all numbers of a range, which follows all numbers of the set.
    fn append(&mut self, first: u32, last: u32) {
        self.count += u64::from(last - first) + 1;
        let joins = |(_, before): &(&u32, &mut u32)| before.checked_add(1) == Some(first);
        match self.last_by_first.iter_mut().next_back().filter(joins) {
            Some((_, before)) => *before = last,
            None => {
                self.last_by_first.insert(first, last);
            }
        }
    }
}

impl From<Vec<(u32, u32)>> for NumberRanges {
    /// Reads ranges, which may overlap or touch; those that end before they begin are left out.
    fn from(mut ranges: Vec<(u32, u32)>) -> Self {
        ranges.sort_unstable();
        let mut set = Self::default();
        for (first, last) in ranges {
            let Some(first) = set.next_missing(first) else {
                break;
            };
            if first <= last {
                set.append(first, last);
            }
        }
        set
    }
}

impl From<NumberRanges> for Vec<(u32, u32)> {
    fn from(set: NumberRanges) -> Self {
        set.ranges().collect()
    }
}
