//! Errors in settings, each with file, line and key.

use std::fmt;

use error_stack::Report;

use crate::tree::Origin;

/// One or more errors in settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Errors in the order of their location.
    pub diagnostics: Vec<Diagnostic>,
}

impl SettingsError {
    pub(crate) fn single(diagnostic: Diagnostic) -> Report<Self> {
        Report::new(Self {
            diagnostics: vec![diagnostic],
        })
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, diagnostic) in self.diagnostics.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            diagnostic.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// One error in settings and its location.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Diagnostic {
    /// Location of the invalid value.
    pub origin: Origin,
    /// Key of the value, such as `routes[0].path`; empty for the whole file.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for Diagnostic {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.key {
            "" => write!(f, "{}: {}", self.origin, self.message),
            key => write!(f, "{}: {key}: {}", self.origin, self.message),
        }
    }
}
