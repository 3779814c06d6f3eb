//! Errors of the tool and its exit codes.

use std::fmt;
use std::process::ExitCode;

use nutmegbay_core::verdict::Verdict;

/// Exit code of the tool. The numbers are part of its interface.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum CtlExit {
    /// 0: the command succeeded.
    Ok = 0,
    /// 1: failed for a reason that has no code of its own.
    Failure = 1,
    /// 2: invalid command line or settings; nothing was changed.
    Usage = 2,
    /// 3: the log holds a conflicting change of another operator; nothing was changed.
    Conflict = 3,
    /// 4: the change is accepted, but not yet applied by every gateway.
    NotInForce = 4,
    /// 5: a call to the platform failed; the message says whether the change may have taken effect.
    Platform = 5,
}

impl From<CtlExit> for ExitCode {
    fn from(exit_code: CtlExit) -> Self {
        Self::from(exit_code as u8)
    }
}

/// Failure of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CtlError {
    /// Settings or arguments are invalid.
    Invalid(Box<str>),
    /// The change conflicts with an earlier record, so replay of the log rejects it.
    Rejected(Box<str>),
    /// The change is accepted, but some gateways had not applied it when the wait ended.
    NotInForce(Box<str>),
    /// A call to the platform failed. The verdict says whether the change took effect.
    Platform(Verdict, Box<str>),
    /// An instance refused a call or did not answer, or the log holds no usable snapshot.
    Instance(Box<str>),
}

impl CtlError {
    /// Returns the exit code for this failure.
    pub fn exit_code(&self) -> CtlExit {
        match self {
            Self::Invalid(_) => CtlExit::Usage,
            Self::Rejected(_) => CtlExit::Conflict,
            Self::NotInForce(_) => CtlExit::NotInForce,
            Self::Platform(..) => CtlExit::Platform,
            Self::Instance(_) => CtlExit::Failure,
        }
    }

    /// Returns whether the change took effect, as far as the tool can tell.
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
                        "the change may have taken effect; check `audit` before repeating it"
                    }
                    Verdict::Ran => "the change took effect",
                };
                write!(f, "{text}: {effect}")
            }
        }
    }
}

impl std::error::Error for CtlError {}
