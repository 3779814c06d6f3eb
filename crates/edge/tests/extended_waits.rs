//! Guards against waits that end while the process itself is late, and against waits that are longer
//! although it is not.

use std::future::pending;
use std::time::Duration;

use nutmegbay_edge::own_delay::{DelayMonitor, Wait};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep, timeout};

const LINK_MBPS: f64 = 10.0;
/// Bytes that the link carries in 10 ms.
const LINK_BYTES: usize = 12_500;

const USUAL: Duration = Duration::from_secs(1);
/// Maximum difference of a time due to the granularity of timers.
const TOLERANCE: Duration = Duration::from_millis(5);

/// Starts to receive `bytes` each 10 ms, and waits until that is measured.
async fn start(bytes: usize) -> DelayMonitor {
    let monitor = DelayMonitor::new(Some(LINK_MBPS));
    spawn_local(monitor.clone().run());
    let receiver = monitor.clone();
    spawn_local(async move {
        loop {
            sleep(Duration::from_millis(10)).await;
            receiver.record_received(bytes);
        }
    });
    sleep(USUAL).await;
    monitor
}

/// Returns the time after which a wait without an answer ends.
async fn waited(monitor: &DelayMonitor, max: Duration) -> Duration {
    waited_for(monitor, USUAL, max).await
}

/// Returns the time after which a wait of `usual` without an answer ends.
async fn waited_for(monitor: &DelayMonitor, usual: impl Into<Wait>, max: Duration) -> Duration {
    let began = Instant::now();
    let wait = monitor.timeout_within(usual, max, pending::<()>());
    assert!(wait.await.is_err());
    began.elapsed()
}

fn assert_close(actual: Duration, expected: Duration) {
    assert!(actual.abs_diff(expected) <= TOLERANCE, "{actual:?}");
}

#[tokio::test(start_paused = true)]
async fn on_time() {
    let test = async {
        let monitor = start(LINK_BYTES / 2).await;
        assert_close(waited(&monitor, Duration::MAX).await, USUAL);
        assert_eq!(monitor.waits_extended(), 0);
    };
    LocalSet::new().run_until(test).await;
}

#[tokio::test(start_paused = true)]
async fn full_link() {
    let test = async {
        let monitor = start(LINK_BYTES).await;
        assert_close(waited(&monitor, Duration::MAX).await, USUAL * 4);
        // The deadline of a request bounds its wait.
        assert_close(waited(&monitor, USUAL * 3 / 2).await, USUAL * 3 / 2);
        let late_answer = sleep(USUAL * 2);
        let answer = monitor.timeout(USUAL, late_answer);
        assert!(timeout(USUAL * 2 + TOLERANCE, answer).await.is_ok());
    };
    LocalSet::new().run_until(test).await;
}

/// No task runs for a while, and the timers of all fire late.
#[tokio::test(start_paused = true)]
async fn late_timers() {
    let test = async {
        let monitor = start(0).await;
        let stopped = async {
            sleep(USUAL / 2).await;
            tokio::time::advance(USUAL).await;
        };
        let answer = monitor.timeout(USUAL, sleep(USUAL * 3 / 2 + TOLERANCE));
        let (answer, ()) = tokio::join!(answer, stopped);
        assert!(answer.is_ok());
        sleep(USUAL).await;
        assert_close(waited(&monitor, Duration::MAX).await, USUAL);
    };
    LocalSet::new().run_until(test).await;
}

/// A waiting read must show within a stated time that the other side has failed.
#[tokio::test(start_paused = true)]
async fn requested_wait() {
    let test = async {
        let monitor = start(LINK_BYTES).await;
        let read = Wait {
            requested: USUAL * 10,
            response: USUAL,
        };
        assert_close(
            waited_for(&monitor, read, Duration::MAX).await,
            read.requested + USUAL * 4,
        );
    };
    LocalSet::new().run_until(test).await;
}
