//! Table of the checks of a run and their results.

use std::fmt;

/// Result of one check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The check passed.
    Kept,
    /// The check failed.
    Broken,
    /// The run produced nothing to check.
    NotExercised,
}

/// One row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CheckRow {
    /// Number of the promise on the design page, such as `P11`.
    pub promise: &'static str,
    /// Name of the check.
    pub check: &'static str,
    /// Observed figures or errors, as printed.
    pub observed: String,
    /// Result of the check.
    pub outcome: Outcome,
}

/// Checks of a run, in the order in which they were made.
#[derive(Debug, Default, Clone, PartialEq, Eq)]
pub struct PromiseReport {
    rows: Vec<CheckRow>,
}

impl PromiseReport {
    /// Adds the result of a check and logs it.
    pub fn add_check(
        &mut self,
        promise: &'static str,
        check: &'static str,
        kept: bool,
        observed: String,
    ) {
        let outcome = if kept { Outcome::Kept } else { Outcome::Broken };
        self.add(CheckRow {
            promise,
            check,
            observed,
            outcome,
        });
    }

    /// Adds a check that could not be made; `why` is printed as what was observed.
    pub fn add_not_exercised(&mut self, promise: &'static str, check: &'static str, why: &str) {
        let outcome = Outcome::NotExercised;
        self.add(CheckRow {
            promise,
            check,
            observed: why.to_owned(),
            outcome,
        });
    }

    /// Returns the rows in the order in which they were added.
    pub fn rows(&self) -> &[CheckRow] {
        &self.rows
    }

    /// Returns whether no check failed. Checks that could not be made do not count as failures.
    pub fn all_promises_kept(&self) -> bool {
        self.rows.iter().all(|row| row.outcome != Outcome::Broken)
    }

    fn add(&mut self, row: CheckRow) {
        tracing::info!(
            event = "checked",
            promise = row.promise,
            check = row.check,
            outcome = ?row.outcome,
            seen = %row.observed,
        );
        self.rows.push(row);
    }
}

impl fmt::Display for PromiseReport {
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
                row.promise, row.check, row.observed
            )?;
        }
        Ok(())
    }
}
