//! Tables with aligned columns.

use std::fmt::Write;

/// A title, column heads and rows; each column is as wide as its widest cell.
#[derive(Debug)]
pub(in crate::commands) struct Table {
    title: String,
    /// The column heads, then the rows.
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows.
    pub fn new<'a>(title: &str, heads: impl IntoIterator<Item = &'a str>) -> Self {
        Self {
            title: title.to_owned(),
            rows: vec![heads.into_iter().map(str::to_uppercase).collect()],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Appends the table to `out`, unless it has no rows.
    pub fn write(&self, out: &mut String) {
        if self.rows.len() == 1 {
            return;
        }
        let count = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |n: usize| {
            let cells = self.rows.iter().filter_map(|r| r.get(n));
            cells.map(|c| c.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..count).map(width).collect();
        if !out.is_empty() {
            out.push('\n');
        }
        // Writing to a string does not fail.
        let _ = writeln!(out, "{}", self.title);
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "  {cell:<width$}");
            }
            let _ = writeln!(out, "{}", line.trim_end());
        }
    }
}
