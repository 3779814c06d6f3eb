//! Exit codes of the binaries.

use std::process::ExitCode;

/// Exit code of a process. The numbers are part of the interface of every binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// 0: completed, or stopped on request.
    Ok = 0,
    /// 1: failed at run time.
    Failure = 1,
    /// 2: the command line or the settings are invalid; nothing was started.
    Usage = 2,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit as u8)
    }
}
