//! Guards against first attempts that are mistaken for retries.

use std::time::Duration;

use nutmegbay_policy::edge::attempts::Deadlines;

/// First attempts carried deadlines of 1,700 to 2,000 ms. Half of them counted as late for an
/// objective of 200 ms and were refused although their first token could be on time.
#[test]
fn varied_deadlines() {
    let mut deadlines = Deadlines::default();
    deadlines.min_elapsed(Duration::from_secs(2));
    for ms in 1_700..=2_000 {
        assert_eq!(
            deadlines.min_elapsed(Duration::from_millis(ms)),
            Duration::ZERO
        );
    }
}

#[test]
fn returning_caller() {
    let mut deadlines = Deadlines::default();
    deadlines.min_elapsed(Duration::from_secs(2));
    let elapsed = deadlines.min_elapsed(Duration::from_millis(1_200));
    assert_eq!(elapsed, Duration::from_millis(500));
}
