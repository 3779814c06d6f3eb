//! Guards against usage windows that are sealed before all processes have sent their counts.

use std::time::Duration;

use nutmegbay_core::duty::{FailureDetector, MemberCounts, SealTiming, WindowCounts, sum_counts};
use nutmegbay_core::environment::MonotonicTime;

const TERMS: SealTiming = SealTiming {
    window_ms: 5_000,
    max_delay_ms: 8_000,
};

/// Whether `window` may be sealed if all processes can be reached.
fn is_due(window: u64, now_ms: u64, members: &[MemberCounts]) -> bool {
    let is_incomplete = members
        .iter()
        .any(|member| SealTiming::lacks_counts(window, member));
    TERMS.is_due(window, now_ms, !is_incomplete)
}

/// Counts of a process that served `calls` calls in `window` and has sent all windows up to
/// `through`.
fn member(window: u64, calls: u64, through: u64) -> MemberCounts {
    let mut counts = WindowCounts::default();
    for _ in 0..calls {
        counts.count(window, "acme");
    }
    MemberCounts {
        counts,
        earlier: WindowCounts::default(),
        through,
    }
}

#[test]
fn all_counts_received() {
    let members = [member(10, 3, 10), member(10, 4, 10)];
    assert!(!is_due(10, 54_999, &members), "the window is not over");
    assert!(is_due(10, 55_000, &members));
    let sealed = sum_counts(10, members.iter());
    assert_eq!(sealed.counts.get("acme"), Some(&7));
}

/// The seal waits for a process that lost the store for some seconds, until the report would be
/// overdue.
#[test]
fn missing_counts() {
    let members = [member(10, 3, 10), member(10, 4, 9)];
    assert!(!is_due(10, 60_000, &members));
    assert!(is_due(10, 63_000, &members));
    assert_eq!(TERMS.ms_until_latest(10, 60_000), 3_000);
    assert_eq!(TERMS.ms_until_latest(10, 64_000), 0);
}

/// A machine that was removed permanently delayed every seal until the store failed, and reports
/// were missed. The seal waits only for a process that is unreachable for some seconds.
#[test]
fn absent_process() {
    let at = |s| MonotonicTime(Duration::from_secs(s));
    let mut absent = FailureDetector::default();
    absent.record_failure("a", at(10));
    absent.record_failure("a", at(14));
    assert!(!absent.is_considered_failed("a", at(14)));
    assert!(absent.is_considered_failed("a", at(15)));
    assert!(!absent.is_considered_failed("b", at(15)));
    absent.record_response("a");
    absent.record_failure("a", at(16));
    assert!(
        !absent.is_considered_failed("a", at(20)),
        "a process that answered in between is considered failed"
    );
}

/// Each new holder waited anew for a machine that was removed permanently, until the store failed.
/// A process that others outlive in the store has been silent since its next write was due.
#[test]
fn new_holder() {
    let at = |s| MonotonicTime(Duration::from_secs(s));
    let removed = member(10, 3, 9);
    let silence = |now_ms, newest| TERMS.silence(now_ms, &removed, newest);
    assert_eq!(silence(60_000, 9), Duration::ZERO, "the store may be away");
    assert_eq!(silence(54_000, 10), Duration::ZERO);
    assert_eq!(silence(60_500, 10), Duration::from_millis(5_500));
    let mut absent = FailureDetector::default();
    absent.record_silence("a", at(100), silence(57_000, 10));
    assert!(!absent.is_considered_failed("a", at(100)));
    absent.record_silence("a", at(103), silence(60_500, 10));
    assert!(absent.is_considered_failed("a", at(103)));
    absent.record_failure("b", at(103));
    assert!(!absent.is_considered_failed("b", at(103)));
}

/// Missing counts of a removed machine must not delay the reports forever.
#[test]
fn removed_process() {
    let members = [member(10, 3, 10), member(4, 9, 4)];
    assert!(is_due(10, 55_000, &members));
}

/// Counts of a former incarnation in the same window are kept.
#[test]
fn former_incarnation() {
    let former = member(10, 5, 9);
    let restarted = MemberCounts {
        earlier: former.total(),
        ..member(10, 2, 10)
    };
    assert_eq!(
        sum_counts(10, [&restarted].into_iter()).counts.get("acme"),
        Some(&7)
    );
    assert_eq!(restarted.total().window(10).unwrap().get("acme"), Some(&7));
}

#[test]
fn json_round_trip() {
    let written = serde_json::to_vec(&member(357_221_572, 2, 357_221_571)).unwrap();
    let read: MemberCounts = serde_json::from_slice(&written).unwrap();
    assert_eq!(read, member(357_221_572, 2, 357_221_571));
}

#[test]
fn bounded_windows() {
    let mut counts = WindowCounts::default();
    for window in 0..100 {
        counts.count(window, "acme");
    }
    assert_eq!(counts.window(0), None);
    assert!(counts.window(99).is_some());
}

/// A foreign record with counts that are too large to be added ended the holder of the duties.
#[test]
fn foreign_counts() {
    let record = r#"{"counts":{"5":{"a":18446744073709551615}},
        "earlier":{"5":{"a":18446744073709551615}},"through":5}"#;
    let member: MemberCounts = serde_json::from_str(record).unwrap();
    let sealed = sum_counts(5, [&member, &member].into_iter());
    assert_eq!(sealed.counts["a"], u64::MAX);
    assert_eq!(member.total().window(5).unwrap()["a"], u64::MAX);
}
