//! Guards against uploads that are sent twice because an upstream takes them slowly, and against
//! waits that do not end for an upstream which takes nothing.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::upload_wait::{UploadStep, UploadWait};

const MAX_WAIT: Duration = Duration::from_millis(200);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Returns when an upload is given up of which `written` bytes have been taken at each time.
fn given_up_at(written: impl Fn(u64) -> u64) -> Option<u64> {
    let mut upload = UploadWait::new(MAX_WAIT, at(0));
    let step = u64::try_from(upload.step_time().as_millis()).unwrap();
    (step..10_000)
        .step_by(usize::try_from(step).unwrap())
        .find(|ms| upload.step(written(*ms), at(*ms)) == UploadStep::GiveUp)
}

/// 4 MB at 10 Mbit/s take 3.2 s.
#[test]
fn narrow_link() {
    let given_up = given_up_at(|ms| (ms * 1_250).min(4_000_000));
    assert_eq!(given_up, Some(3_400));
}

#[test]
fn no_progress() {
    assert_eq!(given_up_at(|_| 0), Some(200));
    assert_eq!(given_up_at(|ms| if ms < 300 { 1 } else { 2 }), Some(250));
}
