//! Faults in settings, each with file, line and key.

use std::fmt;

use error_stack::Report;

use crate::tree::Origin;

/// One or more faults in settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SettingsError {
    /// Faults in order of their place.
    pub faults: Vec<Fault>,
}

impl SettingsError {
    pub(crate) fn one(fault: Fault) -> Report<Self> {
        Report::new(Self {
            faults: vec![fault],
        })
    }
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fault {
    /// Place of the value.
    pub origin: Origin,
    /// Key, such as `routes[0].path`; empty for the whole file.
    pub key: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &*self.key {
            "" => write!(f, "{}: {}", self.origin, self.message),
            key => write!(f, "{}: {key}: {}", self.origin, self.message),
        }
    }
}
