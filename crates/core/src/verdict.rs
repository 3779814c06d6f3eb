//! Whether a failed request may have run.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Whether a request may have taken effect.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Verdict {
    /// It did not run and this attempt never will. A repeat is safe.
    NotRun,
    /// It may have run; no reachable process can tell.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl Verdict {
    /// Whether a non-idempotent request may be repeated.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// Combines the verdicts of several attempts into the one that claims the most effect.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        self.max(other)
    }
}
