//! Counters sorted by frequency.

use std::collections::BTreeMap;
use std::fmt;

/// A counted entry with its share of the total.
pub(crate) struct Row<'a, T> {
    /// The entry's key.
    pub label: &'a str,
    /// The entry's value.
    pub entry: &'a T,
    count: usize,
    percent: f64,
}

impl<T> fmt::Display for Row<'_, T> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Row {
            label,
            count,
            percent,
            ..
        } = self;
        write!(f, "{count:>7}  {percent:>5.1}%  {label}")
    }
}

/// Returns the sum of the counts of all entries.
pub(crate) fn total<T>(counted: &BTreeMap<String, T>, count: impl Fn(&T) -> usize) -> usize {
    counted.values().map(count).sum()
}

/// Returns the entries by descending count; entries with equal counts are sorted by label.
pub(crate) fn ranked<T>(
    counted: &BTreeMap<String, T>,
    count: impl Fn(&T) -> usize,
) -> Vec<Row<'_, T>> {
    let all = total(counted, &count).max(1) as f64;
    let row = |(label, entry)| {
        let count = count(entry);
        Row {
            label,
            entry,
            count,
            percent: count as f64 * 100.0 / all,
        }
    };
    let by_label = counted.iter().map(|(label, entry)| (label.as_str(), entry));
    let mut rows: Vec<Row<'_, T>> = by_label.map(row).collect();
    rows.sort_by(|a, b| b.count.cmp(&a.count).then(a.label.cmp(b.label)));
    rows
}
