//! Table of what was exercised.

use std::fmt;

/// Result of one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The promise held.
    Kept,
    /// The promise was broken.
    Broken,
    /// Nothing came up to check it with.
    NotExercised,
}

/// One line of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Row {
    /// Promise of the design page, such as `P11`.
    pub promise: &'static str,
    /// What was done.
    pub check: &'static str,
    /// What was seen.
    pub seen: String,
    /// Result.
    pub outcome: Outcome,
}

/// All checks of a run.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct Report {
    rows: Vec<Row>,
}

impl Report {
    /// Adds a check that was exercised.
    pub fn check(&mut self, promise: &'static str, check: &'static str, kept: bool, seen: String) {
        let outcome = if kept { Outcome::Kept } else { Outcome::Broken };
        self.add(Row {
            promise,
            check,
            seen,
            outcome,
        });
    }

    /// Adds a check that nothing came up for.
    pub fn not_exercised(&mut self, promise: &'static str, check: &'static str, why: &str) {
        let outcome = Outcome::NotExercised;
        self.add(Row {
            promise,
            check,
            seen: why.to_owned(),
            outcome,
        });
    }

    /// All checks in order.
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Whether every exercised promise held.
    pub fn is_kept(&self) -> bool {
        self.rows.iter().all(|row| row.outcome != Outcome::Broken)
    }

    fn add(&mut self, row: Row) {
        tracing::info!(
            event = "checked",
            promise = row.promise,
            check = row.check,
            outcome = ?row.outcome,
            seen = %row.seen,
        );
        self.rows.push(row);
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let width = self
            .rows
            .iter()
            .map(|row| row.check.len())
            .max()
            .unwrap_or_default();
        for row in &self.rows {
            let outcome = match row.outcome {
                Outcome::Kept => "kept",
                Outcome::Broken => "BROKEN",
                Outcome::NotExercised => "-",
            };
            writeln!(
                f,
                "{:<4} {:<width$}  {outcome:<6}  {}",
                row.promise, row.check, row.seen
            )?;
        }
        Ok(())
    }
}
