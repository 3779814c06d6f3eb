//! Errors that end the demo early. Broken promises are recorded in the report instead.

use std::fmt;

/// Error that ends the demo before all checks are made.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemoError {
    /// The configuration files are missing, invalid or lack something that the demo needs.
    Config(Box<str>),
    /// A component did not start.
    Start(Box<str>),
    /// The system did not reach an expected state before the timeout.
    Timeout(Box<str>),
    /// A call failed on whose answer later checks depend.
    Call(Box<str>),
    /// A change through the operators' client failed.
    Operator(Box<str>),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Config(text) => write!(f, "configuration: {text}"),
            Self::Start(text) => write!(f, "start: {text}"),
            Self::Timeout(text) => write!(f, "not reached in time: {text}"),
            Self::Call(text) => write!(f, "call: {text}"),
            Self::Operator(text) => write!(f, "operator: {text}"),
        }
    }
}

impl std::error::Error for DemoError {}
