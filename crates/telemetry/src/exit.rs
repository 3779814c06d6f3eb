//! Exit codes.

use std::process::ExitCode;

/// How a process ended. The numbers are part of the interface of every binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// 0: finished, or stopped as planned.
    Ok = 0,
    /// 1: failed while it ran.
    Failure = 1,
    /// 2: the command line or the settings are not usable; nothing was started.
    Usage = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
