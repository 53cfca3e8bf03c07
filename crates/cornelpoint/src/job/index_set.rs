use serde::Deserialize;
use serde::Serialize;

/// Set of indexes, kept as ranges: small where most indexes of a sequence are in it.
///
/// ```
/// use cornelpoint::job::IndexSet;
///
/// let mut done = IndexSet::default();
/// for index in [0, 2, 1, 7] {
///     done.insert(index);
/// }
/// assert_eq!(done.len(), 4);
/// assert_eq!(done.iter().collect::<Vec<_>>(), [0, 1, 2, 7]);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Vec<(u32, u32)>", into = "Vec<(u32, u32)>")]
pub struct IndexSet {
    /// First and last index of each range, ascending and with gaps between them.
    ranges: Vec<(u32, u32)>,
}

impl IndexSet {
    /// Adds an index. Returns `false` if it was there.
    pub fn insert(&mut self, index: u32) -> bool {
        let next = self.ranges.partition_point(|(_, last)| *last < index);
        if self
            .ranges
            .get(next)
            .is_some_and(|(first, _)| *first <= index)
        {
            return false;
        }
        let extends_previous = next > 0 && self.ranges[next - 1].1 + 1 == index;
        let extends_next = self
            .ranges
            .get(next)
            .is_some_and(|(first, _)| index + 1 == *first);
        match (extends_previous, extends_next) {
            (true, true) => {
                self.ranges[next - 1].1 = self.ranges[next].1;
                self.ranges.remove(next);
            }
            (true, false) => self.ranges[next - 1].1 = index,
            (false, true) => self.ranges[next].0 = index,
            (false, false) => self.ranges.insert(next, (index, index)),
        }
        true
    }

    /// Returns the indexes below `end` that are not in the set.
    ///
    /// ```
    /// use cornelpoint::job::IndexSet;
    ///
    /// let done: IndexSet = [0, 4].into_iter().collect();
    /// assert_eq!(done.complement(6).iter().collect::<Vec<_>>(), [1, 2, 3, 5]);
    /// ```
    #[must_use]
    pub fn complement(&self, end: u32) -> Self {
        let mut ranges = Vec::with_capacity(self.ranges.len() + 1);
        let mut next = 0;
        for &(first, last) in self.ranges.iter().filter(|(first, _)| *first < end) {
            if next < first {
                ranges.push((next, first - 1));
            }
            next = last + 1;
        }
        if next < end {
            ranges.push((next, end - 1));
        }
        Self { ranges }
    }

    /// Removes an index. Returns `false` if it was not there.
    ///
    /// ```
    /// use cornelpoint::job::IndexSet;
    ///
    /// let mut waiting: IndexSet = (0..4).collect();
    /// assert!(waiting.remove(1));
    /// assert!(!waiting.remove(1));
    /// assert_eq!(waiting.iter().collect::<Vec<_>>(), [0, 2, 3]);
    /// ```
    pub fn remove(&mut self, index: u32) -> bool {
        let place = self.ranges.partition_point(|(_, last)| *last < index);
        let Some(&(first, last)) = self.ranges.get(place).filter(|(first, _)| *first <= index)
        else {
            return false;
        };
        match (first == index, last == index) {
            (true, true) => {
                self.ranges.remove(place);
            }
            (true, false) => self.ranges[place].0 = index + 1,
            (false, true) => self.ranges[place].1 = index - 1,
            (false, false) => {
                self.ranges[place].1 = index - 1;
                self.ranges.insert(place + 1, (index + 1, last));
            }
        }
        true
    }

    /// Whether an index is in the set.
    ///
    /// ```
    /// use cornelpoint::job::IndexSet;
    ///
    /// let done: IndexSet = (3..6).collect();
    /// assert!(done.contains(5));
    /// assert!(!done.contains(6));
    /// ```
    #[must_use]
    pub fn contains(&self, index: u32) -> bool {
        let next = self.ranges.partition_point(|(_, last)| *last < index);
        self.ranges
            .get(next)
            .is_some_and(|(first, _)| *first <= index)
    }

    /// Returns the indexes in ascending order.
    pub fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|&(first, last)| first..=last)
    }

    /// Returns the number of indexes.
    #[must_use]
    pub fn len(&self) -> usize {
        let lengths = self.ranges.iter().map(|(first, last)| last - first);
        lengths.map(|length| length as usize + 1).sum()
    }

    /// Whether no index is in the set.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.ranges.is_empty()
    }

    /// Returns the number of ranges, which tells how much room the set takes.
    ///
    /// ```
    /// use cornelpoint::job::IndexSet;
    ///
    /// let done: IndexSet = (0..1000).chain([2000]).collect();
    /// assert_eq!(done.range_count(), 2);
    /// ```
    #[must_use]
    pub fn range_count(&self) -> usize {
        self.ranges.len()
    }
}

impl FromIterator<u32> for IndexSet {
    fn from_iter<I: IntoIterator<Item = u32>>(indexes: I) -> Self {
        let mut set = Self::default();
        for index in indexes {
            set.insert(index);
        }
        set
    }
}

impl From<IndexSet> for Vec<(u32, u32)> {
    fn from(set: IndexSet) -> Self {
        set.ranges
    }
}

impl From<Vec<(u32, u32)>> for IndexSet {
    /// Takes stored ranges, of which those that can't be right are left out.
    fn from(ranges: Vec<(u32, u32)>) -> Self {
        let mut valid: Vec<(u32, u32)> = Vec::with_capacity(ranges.len());
        for (first, last) in ranges {
            let has_gap = valid
                .last()
                .is_none_or(|(_, previous)| first > previous.saturating_add(1));
            if has_gap && first <= last && last < u32::MAX {
                valid.push((first, last));
            }
        }
        Self { ranges: valid }
    }
}
