//! Tables for people, JSON for programs.

use serde::Serialize;

/// How results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Format {
    /// Aligned columns.
    Table,
    /// One JSON document.
    Json,
}

/// Result of a command.
pub struct Output {
    /// Column titles.
    pub titles: Vec<&'static str>,
    /// Rows of the table.
    pub rows: Vec<Vec<String>>,
    /// The same for programs.
    pub json: serde_json::Value,
}

impl Output {
    /// Result with a table and the value that it was made from.
    pub fn new<T: Serialize>(titles: &[&'static str], rows: Vec<Vec<String>>, json: &T) -> Self {
        let json = serde_json::to_value(json).unwrap_or(serde_json::Value::Null);
        Self {
            titles: titles.to_vec(),
            rows,
            json,
        }
    }

    /// Result of a single line of text.
    pub fn line<T: Serialize>(text: impl Into<String>, json: &T) -> Self {
        Self::new(&[], vec![vec![text.into()]], json)
    }

    /// Text to print.
    pub fn render(&self, format: Format) -> String {
        match format {
            Format::Json => format!("{:#}\n", self.json),
            Format::Table => self.table(),
        }
    }

    fn table(&self) -> String {
        let titles: Vec<String> = self.titles.iter().map(|t| (*t).to_owned()).collect();
        let lines: Vec<&Vec<String>> = std::iter::once(&titles)
            .filter(|t| !t.is_empty())
            .chain(&self.rows)
            .collect();
        let columns = lines.iter().map(|line| line.len()).max().unwrap_or(0);
        let width = |column: usize| {
            lines
                .iter()
                .filter_map(|l| l.get(column))
                .map(|c| c.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(width).collect();
        lines.iter().map(|line| row(line, &widths)).collect()
    }
}

fn row(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
