//! Guards against requests that wait past their objective instead of being refused at once.

use std::time::Duration;

use assert_matches::assert_matches;
use nutmegbay_policy::edge::admission::{
    AdmissionRequest, Decision, Share, decide, decide_in_short_room, decide_taken_up,
    decide_with_slot,
};

fn request(first_result_ms: f64, elapsed_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        first_result_ms,
        cost_ms: 10.0,
        objective: Duration::from_millis(200),
        elapsed: Duration::from_millis(elapsed_ms),
        remaining: Duration::from_secs(2),
    }
}

#[test]
fn on_time() {
    assert_eq!(decide(request(150.0, 0), 0.5), Decision::Admit);
}

#[test]
fn too_late() {
    assert_matches!(decide(request(300.0, 0), 0.5), Decision::Refuse { retry_after } => {
        assert!(retry_after >= Duration::from_millis(120), "capacity is not expected before");
        assert!(retry_after <= Duration::from_millis(660), "at most a third of the caller's time");
    });
}

/// A prompt whose prefill alone exceeds its objective was refused at every attempt. It has to be
/// served late if the queue is short, and refused if it is long.
#[test]
fn longest_prompts() {
    let long = |first_result_ms| AdmissionRequest {
        cost_ms: 240.0,
        ..request(first_result_ms, 0)
    };
    assert_eq!(decide(long(260.0), 0.5), Decision::Admit);
    assert_matches!(decide(long(400.0), 0.5), Decision::Refuse { .. });
}

/// A late returning caller must not displace requests that can be on time, but has to be served if
/// the queue is short.
#[test]
fn returning_caller() {
    assert_eq!(decide(request(60.0, 700), 0.5), Decision::Admit);
    assert_matches!(decide(request(150.0, 700), 0.5), Decision::Refuse { .. });
}

/// The objective of a stream that its caller takes up has often passed: held to it, the stream would
/// be refused while new ones begin.
#[test]
fn taken_up_stream() {
    let late = request(600.0, 700);
    assert_matches!(decide(late, 0.5), Decision::Refuse { .. });
    assert_eq!(decide_taken_up(late, 0.5), Decision::Admit);
    let hopeless = request(2_100.0, 700);
    assert_matches!(decide_taken_up(hopeless, 0.5), Decision::Refuse { .. });
}

/// What is beyond an account's part must not make the queue long for others, and must not be refused
/// while there is no queue, however large the request.
#[test]
fn beyond_part() {
    let decide = |share, cost_ms, wait_ms| {
        let sized = AdmissionRequest {
            cost_ms,
            ..request(cost_ms + wait_ms, 0)
        };
        decide_in_short_room(sized, share, 0.5)
    };
    for cost_ms in [5.0, 85.0] {
        assert_eq!(decide(Share::Beyond, cost_ms, 40.0), Decision::Admit);
        assert_eq!(decide(Share::Within, cost_ms, 90.0), Decision::Admit);
        assert_matches!(
            decide(Share::Beyond, cost_ms, 90.0),
            Decision::Refuse { .. }
        );
    }
}

/// With a shorter queue for what is beyond an account's part, callers that came back late were
/// admitted in place of requests that could be on time.
#[test]
fn late_in_short_room() {
    let late = |wait_ms| request(10.0 + wait_ms, 700);
    assert_eq!(decide(late(70.0), 0.5), Decision::Admit);
    for (share, admitted, refused) in [(Share::Within, 50.0, 70.0), (Share::Beyond, 20.0, 50.0)] {
        assert_eq!(
            decide_in_short_room(late(admitted), share, 0.5),
            Decision::Admit
        );
        assert_matches!(
            decide_in_short_room(late(refused), share, 0.5),
            Decision::Refuse { .. },
            "{share:?}"
        );
    }
}

/// An urgent stream with most of its objective gone was refused although a slot was free.
#[test]
fn free_slot() {
    let nearly_late = request(30.0, 160);
    assert_matches!(decide(nearly_late, 0.5), Decision::Refuse { .. });
    assert_eq!(decide_with_slot(nearly_late, 0.5), Decision::Admit);
}

/// The prediction exceeds the limit by 20 ms only, but a burst lasts for seconds: three in four of
/// the callers that returned within 0.1 s were refused again.
#[test]
fn burst_return() {
    assert_matches!(decide(request(200.0, 0), 0.0), Decision::Refuse { retry_after } => {
        assert!(retry_after >= Duration::from_millis(300), "{retry_after:?}");
    });
}

/// Callers that are refused at the same time must not return at the same time.
#[test]
fn spread_returns() {
    let after = |jitter| match decide(request(400.0, 0), jitter) {
        Decision::Refuse { retry_after } => retry_after,
        Decision::Admit => panic!("admitted"),
    };
    assert!(after(0.9) > after(0.1) + Duration::from_millis(100));
}

/// A burst at twice the rate of the engine: without admission control, the queue would make every
/// request late. All admitted requests have to be on time.
#[test]
fn overload() {
    let (mut backlog_ms, mut on_time, mut refused) = (0.0_f64, 0, 0);
    for _ in 0..1_000 {
        backlog_ms = (backlog_ms - 5.0).max(0.0);
        let first_result_ms = backlog_ms + 10.0;
        match decide(request(first_result_ms, 0), 0.0) {
            Decision::Admit => {
                backlog_ms += 10.0;
                on_time += usize::from(first_result_ms <= 200.0);
            }
            Decision::Refuse { .. } => refused += 1,
        }
    }
    assert!(on_time >= 490, "{on_time} on time");
    assert!(on_time + refused == 1_000, "some were admitted and late");
}
