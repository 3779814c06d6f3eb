//! Whether a peer that does not take what was sent to it is slow or gone.
//!
//! Load pattern: callers read nothing for seconds in the middle of a response, and upstreams do so
//! in the middle of a body. Their window is closed, and they acknowledge each probe of it. The
//! kernel's limit on unacknowledged bytes does not tell them from a peer whose packets vanish. It is
//! raised while the peer answers.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;

/// Maximum time for which a peer may leave what was sent to it unanswered.
pub const MAX_UNANSWERED: Duration = Duration::from_secs(3);

/// Bytes that wait for a peer, as the kernel sees them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendState {
    /// All have been acknowledged.
    Empty,
    /// Some are on their way, and none had to be sent again.
    InFlight,
    /// The peer takes none and has answered to the last attempt to send more.
    Answered,
    /// The peer has not answered to the last attempts.
    Unanswered,
}

/// Limit on the time for which the peer may take no bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallLimit {
    /// [`MAX_UNANSWERED`], which the kernel applies.
    Usual,
    /// The longest pause that a peer may make.
    Raised,
    /// The peer is gone.
    Gone,
}

/// What is known of the peer of one connection.
#[derive(Debug, Clone, Copy, Default)]
pub struct PeerLiveness {
    /// Time at which the peer was last known to answer while it took no bytes.
    answered_at: Option<MonotonicTime>,
}

impl PeerLiveness {
    /// Returns the limit that holds from now on, given what the kernel sees.
    pub fn step(&mut self, state: SendState, now: MonotonicTime) -> StallLimit {
        match (state, self.answered_at) {
            (SendState::Empty | SendState::InFlight, _) => {
                self.answered_at = None;
                StallLimit::Usual
            }
            (SendState::Answered, _) => {
                self.answered_at = Some(now);
                StallLimit::Raised
            }
            (SendState::Unanswered, None) => StallLimit::Usual,
            (SendState::Unanswered, Some(at)) if now.since(at) < MAX_UNANSWERED => {
                StallLimit::Raised
            }
            (SendState::Unanswered, Some(_)) => StallLimit::Gone,
        }
    }
}
