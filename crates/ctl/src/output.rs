//! Output of a command as a table or as JSON.

use serde::Serialize;

/// Format in which results are printed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutputFormat {
    /// Aligned columns for a terminal.
    Table,
    /// One indented JSON document for programs.
    Json,
}

/// Result of a command in both output formats.
pub struct CommandOutput {
    /// Column headings; empty if the table has no heading line.
    pub headings: Vec<&'static str>,
    /// Cells of the table, row by row.
    pub rows: Vec<Vec<String>>,
    /// The result as JSON.
    pub json: serde_json::Value,
}

impl CommandOutput {
    /// Creates a result from a table and the value that is printed as JSON.
    pub fn new<T: Serialize>(headings: &[&'static str], rows: Vec<Vec<String>>, json: &T) -> Self {
        let json = serde_json::to_value(json).unwrap_or(serde_json::Value::Null);
        Self {
            headings: headings.to_vec(),
            rows,
            json,
        }
    }

    /// Creates a result whose table is plain text without headings.
    pub fn text<T: Serialize>(text: impl Into<String>, json: &T) -> Self {
        Self::new(&[], vec![vec![text.into()]], json)
    }

    /// Returns the text to print in `format`.
    pub fn render(&self, format: OutputFormat) -> String {
        match format {
            OutputFormat::Json => format!("{:#}\n", self.json),
            OutputFormat::Table => self.table(),
        }
    }

    fn table(&self) -> String {
        let headings: Vec<String> = self
            .headings
            .iter()
            .map(|heading| (*heading).to_owned())
            .collect();
        let lines: Vec<&Vec<String>> = std::iter::once(&headings)
            .filter(|line| !line.is_empty())
            .chain(&self.rows)
            .collect();
        let columns = lines.iter().map(|line| line.len()).max().unwrap_or(0);
        let column_width = |column: usize| {
            lines
                .iter()
                .filter_map(|line| line.get(column))
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        let widths: Vec<usize> = (0..columns).map(column_width).collect();
        lines.iter().map(|line| format_row(line, &widths)).collect()
    }
}

fn format_row(cells: &[String], widths: &[usize]) -> String {
    let padded: Vec<String> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
