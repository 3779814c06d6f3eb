//! Guards against taking a peer that pauses for one that is gone, and the other way round.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::peer_liveness::{MAX_UNANSWERED, PeerLiveness, SendState, StallLimit};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// A peer answers each probe of its closed window, but for one in a row.
#[test]
fn pausing_peer() {
    let mut peer = PeerLiveness::default();
    for ms in (0..14_000).step_by(1_000) {
        assert_eq!(peer.step(SendState::Answered, at(ms)), StallLimit::Raised);
        let unanswered = peer.step(SendState::Unanswered, at(ms + 500));
        assert_eq!(unanswered, StallLimit::Raised);
    }
    assert_eq!(
        peer.step(SendState::InFlight, at(14_500)),
        StallLimit::Usual
    );
    assert_eq!(peer.step(SendState::Empty, at(15_000)), StallLimit::Usual);
}

/// The packets of a peer vanish while bytes are on their way: the kernel notices.
#[test]
fn vanished_in_flight() {
    let mut peer = PeerLiveness::default();
    for (state, ms) in [(SendState::InFlight, 0), (SendState::Unanswered, 1_000)] {
        assert_eq!(peer.step(state, at(ms)), StallLimit::Usual);
    }
}

/// The packets of a peer vanish within its pause.
#[test]
fn vanished_in_pause() {
    let mut peer = PeerLiveness::default();
    assert_eq!(
        peer.step(SendState::Answered, at(1_000)),
        StallLimit::Raised
    );
    let gone_at = MonotonicTime(at(1_000).0 + MAX_UNANSWERED);
    for ms in (1_500..4_000).step_by(500) {
        assert_eq!(peer.step(SendState::Unanswered, at(ms)), StallLimit::Raised);
    }
    assert_eq!(peer.step(SendState::Unanswered, gone_at), StallLimit::Gone);
}

/// After a pause, the usual limit holds again.
#[test]
fn vanished_after_pause() {
    let mut peer = PeerLiveness::default();
    peer.step(SendState::Answered, at(1_000));
    peer.step(SendState::InFlight, at(2_000));
    assert_eq!(
        peer.step(SendState::Unanswered, at(9_000)),
        StallLimit::Usual
    );
}
