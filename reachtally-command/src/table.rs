//! Tables as queries yield them.

use serde::{Deserialize, Serialize};

/// Rows of cells under column names.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Table {
    /// Column names.
    pub columns: Vec<String>,
    /// Rows, each with a cell for each column.
    pub rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table with these columns.
    pub fn new(columns: &[&str]) -> Self {
        Table {
            columns: columns.iter().map(|&column| column.to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Add a row.
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
