//! Failures of the tool and its exit codes.

use std::fmt;
use std::process::ExitCode;

use nutmegbay_core::verdict::Verdict;

/// Exit codes, part of the tool's interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CtlExit {
    /// 0: done.
    Ok = 0,
    /// 1: failed for another reason.
    Failure = 1,
    /// 2: bad command line or bad settings; nothing was changed.
    Usage = 2,
    /// 3: another operator's change came first; nothing was changed.
    Conflict = 3,
    /// 4: accepted, but not yet in force on every instance.
    NotInForce = 4,
    /// 5: the platform does not answer; the message says whether the change may have taken effect.
    Platform = 5,
}

impl From<CtlExit> for ExitCode {
    fn from(exit: CtlExit) -> Self {
        Self::from(exit as u8)
    }
}

/// Why a command failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlError {
    /// Settings or arguments are not usable.
    Invalid(Box<str>),
    /// Replay rejected the change.
    Rejected(Box<str>),
    /// The change is accepted but not in force everywhere.
    NotInForce(Box<str>),
    /// The platform failed.
    Platform(Verdict, Box<str>),
    /// An instance refused or did not answer.
    Instance(Box<str>),
}

impl CtlError {
    /// Exit code for this failure.
    pub fn exit(&self) -> CtlExit {
        match self {
            Self::Invalid(_) => CtlExit::Usage,
            Self::Rejected(_) => CtlExit::Conflict,
            Self::NotInForce(_) => CtlExit::NotInForce,
            Self::Platform(..) => CtlExit::Platform,
            Self::Instance(_) => CtlExit::Failure,
        }
    }

    /// Whether the change may have taken effect.
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Invalid(_) | Self::Rejected(_) => Verdict::NotRun,
            Self::NotInForce(_) => Verdict::Ran,
            Self::Platform(verdict, _) => *verdict,
            Self::Instance(_) => Verdict::MayHaveRun,
        }
    }
}

impl fmt::Display for CtlError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(text) | Self::NotInForce(text) | Self::Instance(text) => {
                f.write_str(text)
            }
            Self::Rejected(text) => write!(f, "nothing was changed: {text}"),
            Self::Platform(verdict, text) => {
                let effect = match verdict {
                    Verdict::NotRun => "nothing was changed",
                    Verdict::MayHaveRun => {
                        "the change may have taken effect; see `audit` before a repeat"
                    }
                    Verdict::Ran => "the change took effect",
                };
                write!(f, "{text}: {effect}")
            }
        }
    }
}

impl std::error::Error for CtlError {}
