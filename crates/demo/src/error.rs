//! Failures of the demo itself, as opposed to broken promises.

use std::fmt;

/// Why the demo could not go on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum DemoError {
    /// The configuration files are not usable.
    Texts(Box<str>),
    /// A part did not start.
    Start(Box<str>),
    /// The system did not reach a state in time.
    Timeout(Box<str>),
    /// A call that the demo builds on failed.
    Call(Box<str>),
    /// An operator's change failed.
    Operator(Box<str>),
}

impl fmt::Display for DemoError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Texts(text) => write!(f, "configuration: {text}"),
            Self::Start(text) => write!(f, "start: {text}"),
            Self::Timeout(text) => write!(f, "not reached in time: {text}"),
            Self::Call(text) => write!(f, "call: {text}"),
            Self::Operator(text) => write!(f, "operator: {text}"),
        }
    }
}

impl std::error::Error for DemoError {}
