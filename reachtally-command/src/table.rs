//! Tables returned by queries.

use serde::{Deserialize, Serialize};

/// Rows of cells under column names.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// The column names.
    pub columns: Vec<String>,
    /// The rows, each with one cell per column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table with these columns.
    pub fn new(columns: &[&str]) -> Self {
        Table {
            columns: columns.iter().map(|&column| column.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    pub fn push(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let lines = || std::iter::once(&self.columns).chain(&self.rows);
        let width = |column: usize| {
            let cells = lines().filter_map(|line| line.get(column));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<usize> = (0..self.columns.len()).map(width).collect();
        for line in lines() {
            let cells = line.iter().zip(&widths);
            let padded: Vec<String> = cells.map(|(cell, &w)| format!("{cell:w$}")).collect();
            writeln!(f, "{}", padded.join("  ").trim_end())?;
        }
        Ok(())
    }
}
