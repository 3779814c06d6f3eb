//! Guards against a stream that is given up because its upstream is silent, and against two
//! upstreams that work on it for long.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::own_delay::Measurement;
use nutmegbay_policy::edge::silence::{Silence, Step, event_timeout};

const TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum time for which two upstreams may work on one stream.
const ALLOWED_OVERLAP_MS: u64 = 400;

/// Maximum number of requests to other upstreams in one silence.
const MAX_ASKS: usize = 2;

const ON_TIME: Measurement = Measurement {
    timer_lateness: Duration::ZERO,
    received_per_s: 0.0,
    link_share: Some(0.0),
    age: Duration::ZERO,
};
const FULL_LINK: Measurement = Measurement {
    link_share: Some(1.0),
    ..ON_TIME
};
const LATE_TIMERS: Measurement = Measurement {
    timer_lateness: Duration::from_millis(100),
    ..ON_TIME
};

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Returns the times at which another upstream is asked and dropped within `ms` of silence, if it
/// refuses after `refused_after_ms`.
fn play(ms: u64, refused_after_ms: Option<u64>) -> (Vec<u64>, Vec<u64>) {
    let mut silence = Silence::new(at(0));
    let (mut asked, mut dropped) = (Vec::new(), Vec::new());
    for now in 0..=ms {
        match silence.step(at(now), Some(TIMEOUT), &ON_TIME) {
            Step::Wait(_) => {}
            Step::Ask => {
                silence.record_asked(at(now));
                asked.push(now);
            }
            Step::KeepSilent => {
                silence.record_not_taken(at(now));
                dropped.push(now);
            }
        }
        if let (Some(last), Some(after)) = (asked.last(), refused_after_ms)
            && now == last + after
        {
            silence.record_not_taken(at(now));
        }
    }
    (asked, dropped)
}

#[test]
fn short_silence() {
    assert_eq!(play(599, None), (Vec::new(), Vec::new()));
}

/// The request to an upstream that does not answer ends in time, and another one follows after a
/// whole timeout.
#[test]
fn no_answer() {
    let (asked, dropped) = play(3_000, None);
    assert_eq!(asked[0], 600);
    assert_eq!(asked.len(), MAX_ASKS);
    for (n, end) in dropped.iter().enumerate() {
        assert!(end - asked[n] < ALLOWED_OVERLAP_MS);
        assert!(asked.get(n + 1).is_none_or(|next| *next == end + 600));
    }
    assert_eq!(dropped.len(), MAX_ASKS);
}

/// An upstream that is silent for good must not use up the retries of other requests.
#[test]
fn many_asks() {
    for refused_after_ms in [None, Some(0), Some(5)] {
        assert_eq!(play(60_000, refused_after_ms).0.len(), MAX_ASKS);
    }
}

#[test]
fn refusal() {
    let (asked, dropped) = play(2_000, Some(5));
    assert_eq!(asked, [600, 1_205]);
    assert!(dropped.is_empty());
}

/// An upstream that breaks while another one is asked must not make the request to that one longer.
#[test]
fn broken_overlap() {
    let mut silence = Silence::new(at(0));
    assert_eq!(silence.overlap_left(at(600)), Duration::ZERO);
    silence.record_asked(at(600));
    assert_eq!(silence.overlap_left(at(700)), Duration::from_millis(200));
    assert_eq!(silence.overlap_left(at(1_000)), Duration::ZERO);
}

/// An event ends the request to the other upstream, and the next silence counts from it.
#[test]
fn late_event() {
    let mut silence = Silence::new(at(0));
    silence.record_asked(at(600));
    assert_eq!(
        silence.step(at(700), Some(TIMEOUT), &ON_TIME),
        Step::Wait(Some(at(900)))
    );
    silence = Silence::new(at(700));
    assert_eq!(
        silence.step(at(1_299), Some(TIMEOUT), &ON_TIME),
        Step::Wait(Some(at(1_300)))
    );
    assert_eq!(silence.step(at(1_300), Some(TIMEOUT), &ON_TIME), Step::Ask);
}

/// A stream that no other upstream can go on with is waited for without limit.
#[test]
fn not_resumable() {
    let silence = Silence::new(at(0));
    assert_eq!(
        silence.step(at(100_000), None, &FULL_LINK),
        Step::Wait(None)
    );
}

#[test]
fn wide_gaps() {
    assert_eq!(event_timeout(Duration::from_millis(100)), TIMEOUT);
    let wide = Duration::from_millis(500);
    assert_eq!(event_timeout(wide), wide * 4);
}

/// While the link is full or timers are late, the silence is the instance's own, and the response of
/// another upstream would be late too while both work.
#[test]
fn own_silence() {
    for late in [FULL_LINK, LATE_TIMERS] {
        let silence = Silence::new(at(0));
        for ms in 0..60_000 {
            let step = silence.step(at(ms), Some(TIMEOUT), &late);
            let Step::Wait(Some(until)) = step else {
                panic!("{ms}: {step:?}");
            };
            assert!(until > at(ms) && until <= at(ms.max(500) + 100));
        }
        assert_eq!(silence.step(at(600), Some(TIMEOUT), &ON_TIME), Step::Ask);
    }
}

/// An instance that becomes late must not keep two upstreams for longer.
#[test]
fn late_overlap() {
    let mut silence = Silence::new(at(0));
    silence.record_asked(at(600));
    assert_eq!(
        silence.step(at(900), Some(TIMEOUT), &FULL_LINK),
        Step::KeepSilent
    );
}
