//! Plain-text tables.

use std::fmt::Write;

/// Rows of text, rendered in aligned columns.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with a header row.
    #[must_use]
    pub fn new(heading: &[&str]) -> Self {
        let heading = heading.iter().map(|text| (*text).to_owned()).collect();
        Self {
            rows: vec![heading],
        }
    }

    /// Adds a row.
    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// Renders the table with each line indented by two spaces.
    #[must_use]
    pub fn render(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or_default();
        let width = |n: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(n));
            cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
        };
        let widths: Vec<_> = (0..columns).map(width).collect();
        let mut out = String::new();
        for row in &self.rows {
            let mut line = String::from(" ");
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, " {cell:<width$} ");
            }
            out.push_str(line.trim_end());
            out.push('\n');
        }
        out
    }
}
