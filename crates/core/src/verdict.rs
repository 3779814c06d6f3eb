//! What is known about a failed request: whether it may have run.

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
    /// It did not run and this attempt never will: repeating it is safe.
    NotRun,
    /// It may have run: nothing in reach can tell.
    MayHaveRun,
    /// It ran.
    Ran,
}

impl Verdict {
    /// Whether a non-idempotent request may be tried again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::NotRun)
    }

    /// Combined verdict over several attempts: the one that claims the most effect.
    #[must_use]
    pub fn or(self, other: Self) -> Self {
        self.max(other)
    }
}
