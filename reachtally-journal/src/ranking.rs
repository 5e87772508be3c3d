//! What was counted, the most frequent first.

use std::collections::BTreeMap;
use std::fmt;

/// Something that was counted, with its part of all.
pub(crate) struct Row<'a, T> {
    /// What it is called.
    pub label: &'a str,
    /// What is known of it.
    pub of: &'a T,
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

/// How often all of it was counted.
pub(crate) fn total<T>(counted: &BTreeMap<String, T>, count: impl Fn(&T) -> usize) -> usize {
    counted.values().map(count).sum()
}

/// The entries by how often each was counted, the most frequent first.
pub(crate) fn ranked<T>(
    counted: &BTreeMap<String, T>,
    count: impl Fn(&T) -> usize,
) -> Vec<Row<'_, T>> {
    let all = total(counted, &count).max(1) as f64;
    let row = |(label, of)| {
        let count = count(of);
        Row {
            label,
            of,
            count,
            percent: count as f64 * 100.0 / all,
        }
    };
    let by_label = counted.iter().map(|(label, of)| (label.as_str(), of));
    let mut rows: Vec<Row<'_, T>> = by_label.map(row).collect();
    rows.sort_by(|a, b| b.count.cmp(&a.count).then(a.label.cmp(b.label)));
    rows
}
