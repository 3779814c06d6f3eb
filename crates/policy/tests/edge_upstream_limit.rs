//! Guards against instances that together send more to an upstream than the limit that it states,
//! and against the use of a limit that has changed or ended.
#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests stay far below 2^52"
)]

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::limit_owners::LimitOwners;
use nutmegbay_policy::edge::upstream_limit::{LimitNews, UpstreamLimit};

/// Upstream with this hash.
const UPSTREAM: u64 = 77;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// Returns the views of instances that know each other.
fn instances(count: u64) -> Vec<LimitOwners> {
    let names: Vec<_> = (0..count).map(|n| n * 7_919 + 13).collect();
    let view = |own: &u64| {
        let others = names.iter().copied().filter(|name| name != own);
        let mut owners = LimitOwners::new(*own);
        owners.update(others.collect(), true, true, at(0));
        owners
    };
    names.iter().map(view).collect()
}

/// Replays 30 s in which each instance sends whenever it may, every 5 ms. Returns the most requests
/// in 4 s and the number in all.
fn replay(count: u64, limit: f64) -> (usize, usize) {
    let mut limits: Vec<_> = (0..)
        .zip(&instances(count))
        .map(|(n, view)| {
            let mut own = UpstreamLimit::default();
            own.record_response(Some(limit), at(0), at(0));
            let spread = f64::from(n * 37 % 101) / 101.0;
            own.set_share(view.share(UPSTREAM, limit), spread, at(0));
            own
        })
        .collect();
    let mut sent = Vec::new();
    for ms in (0..30_000).step_by(5) {
        for limit in &mut limits {
            while limit.try_send(at(ms)) {
                sent.push(ms);
            }
        }
    }
    (most_in_window(&sent), sent.len())
}

/// Returns the most requests in 4 s, given the times of all in ascending order.
fn most_in_window(sent: &[u64]) -> usize {
    let in_window = |(n, first): (usize, &u64)| sent.partition_point(|ms| *ms < first + 4_000) - n;
    sent.iter().enumerate().map(in_window).max().unwrap_or(0)
}

/// Any number of instances keeps any limit, and uses it.
#[test]
fn summed_requests() {
    for count in [1, 4, 29, 350] {
        for limit in [0.3, 1.3, 8.4, 20.2, 150.0, 900.0] {
            let (most, all) = replay(count, limit);
            let allowed = 1.5 * limit * 4.0 + 5.0;
            assert!(
                most as f64 <= allowed,
                "{count} instances, limit {limit}: {most}"
            );
            let expected = limit * 30.0;
            assert!(
                all as f64 >= expected * 0.8 - 1.0,
                "{count} instances, limit {limit}: {all}"
            );
        }
    }
}

/// Shares add up to the limit, whoever computes them.
#[test]
fn equal_views() {
    for count in [1, 4, 29, 350] {
        for limit in [0.0, 0.3, 4.6, 40.0, 1_000.0] {
            let views = instances(count);
            let sum: f64 = views.iter().map(|view| view.share(UPSTREAM, limit)).sum();
            assert!((sum - limit).abs() < 1e-6, "{count}, {limit}: {sum}");
        }
    }
}

/// An upstream that states no limit gets all requests. After a change of the limit its new value
/// counts, and after its end none.
#[test]
fn changed_limit() {
    let mut limit = UpstreamLimit::default();
    assert!((0..100).all(|_| limit.try_send(at(0))));
    assert!(limit.record_response(Some(2.0), at(0), at(1_000)));
    limit.set_share(2.0, 0.0, at(1_000));
    assert!(!limit.try_send(at(1_000)));
    assert_eq!(limit.wait(at(1_000)), Some(Duration::from_millis(500)));
    assert!(limit.try_send(at(1_501)));
    assert!(limit.record_response(Some(50.0), at(1_501), at(1_600)));
    limit.set_share(50.0, 0.0, at(1_600));
    assert!(limit.try_send(at(1_640)));
    assert!(limit.record_response(None, at(1_640), at(1_700)));
    assert!((0..100).all(|_| limit.try_send(at(1_700))));
}

/// Responses overtake each other. One to a request from before the last statement does not end the
/// limit, nor does it bring back a limit that has ended.
#[test]
fn late_response() {
    let mut limit = UpstreamLimit::default();
    limit.record_response(Some(2.0), at(900), at(1_000));
    assert!(!limit.record_response(None, at(990), at(1_100)));
    assert_eq!(limit.limit(), Some(2.0));
    assert!(limit.record_response(None, at(1_050), at(1_200)));
    assert_eq!(limit.limit(), None);
    assert!(!limit.record_response(Some(2.0), at(1_150), at(1_250)));
    assert_eq!(limit.limit(), None);
    assert!(limit.record_response(Some(3.0), at(1_210), at(1_300)));
    assert_eq!(limit.limit(), Some(3.0));
}

/// An instance without a share gets no responses. It learns from the others that the limit has
/// changed or ended, and older news do not bring it back.
#[test]
fn told_by_others() {
    let mut owner = UpstreamLimit::default();
    let mut other = UpstreamLimit::default();
    owner.record_response(Some(2.0), at(0), at(1_000));
    let first = owner.take_news(5, at(1_100)).expect("a change is told");
    assert_eq!((first.upstream, first.age_ms), (5, 100));
    assert!(other.merge(&first, false, at(1_110)));
    assert_eq!(other.limit(), Some(2.0));
    owner.record_response(None, at(5_000), at(5_100));
    let end = owner.take_news(5, at(5_100)).expect("the end is told");
    assert!(other.merge(&end, false, at(5_110)));
    assert_eq!(other.limit(), None);
    assert!(!other.merge(
        &LimitNews {
            age_ms: 4_200,
            ..first
        },
        false,
        at(5_200)
    ));
    assert_eq!(other.limit(), None);
}

/// All datagrams on the end of a limit may be lost. It is repeated for a while, and not forever.
#[test]
fn repeated_end() {
    let mut owner = UpstreamLimit::default();
    owner.record_response(Some(2.0), at(0), at(1_000));
    let mut told = Vec::new();
    for ms in (2_000..60_000).step_by(100) {
        owner.record_response(None, at(ms), at(ms));
        told.extend(owner.take_news(1, at(ms)).map(|_| ms));
    }
    let late: Vec<_> = told.iter().filter(|ms| **ms > 3_000).collect();
    assert!((3..=5).contains(&late.len()), "{told:?}");
    assert!(late.iter().all(|ms| **ms < 13_000), "{told:?}");
}

/// Each change is sent three times, and a repeated statement once in 2 s. Only relays pass on what
/// they are told.
#[test]
fn bounded_news() {
    let mut limit = UpstreamLimit::default();
    let mut sends = 0;
    for ms in (0..10_000).step_by(50) {
        limit.record_response(Some(2.0), at(ms), at(ms));
        sends += usize::from(limit.take_news(1, at(ms)).is_some());
    }
    assert!((6..=8).contains(&sends), "{sends}");
    let news = |age_ms| LimitNews {
        upstream: 1,
        per_s: Some(3.0),
        age_ms,
    };
    let mut follower = UpstreamLimit::default();
    follower.merge(&news(0), false, at(1_000));
    assert_eq!(follower.take_news(1, at(1_000)), None);
    let mut relay = UpstreamLimit::default();
    relay.merge(&news(0), true, at(1_000));
    assert!(relay.take_news(1, at(1_000)).is_some());
}

/// A limit that nobody has confirmed for a long time is tried with one request. Otherwise an
/// upstream to which no instance sends would stay limited forever.
#[test]
fn forgotten_limit() {
    let mut limit = UpstreamLimit::default();
    limit.record_response(Some(0.0), at(0), at(0));
    limit.set_share(0.0, 0.1, at(0));
    assert!(!limit.try_send(at(32_000)));
    assert_eq!(limit.wait(at(32_000)), None);
    assert_eq!(limit.wait(at(33_000)), Some(Duration::ZERO));
    assert!(limit.try_send(at(33_000)));
    assert!(!limit.try_send(at(33_001)), "one at a time");
    limit.record_response(None, at(33_000), at(33_050));
    assert!(limit.try_send(at(33_060)));
}

/// After a pause, all instances get requests at the same time, and no response. The upstream got one
/// request from each of them. All still try the limit at some time, in case that no news reach them.
#[test]
fn idle_instances() {
    for count in [1, 4, 16, 80] {
        for limit in [0.0, 0.01, 0.3, 1.0, 8.4] {
            let mut sent = Vec::new();
            for (n, view) in (0..).zip(&instances(count)) {
                // The instances were told of the statement at different times.
                let told_at = at(n * 37 % 2_000);
                let mut own = UpstreamLimit::default();
                own.record_response(Some(limit), told_at, told_at);
                own.set_share(view.share(UPSTREAM, limit), 0.5, told_at);
                own.set_turn(view.rank(UPSTREAM), view.count());
                let before = sent.len();
                for ms in (70_000..800_000).step_by(20) {
                    while own.try_send(at(ms)) {
                        sent.push(ms);
                    }
                }
                assert!(sent.len() > before, "instance {n} of {count} never sends");
            }
            sent.sort_unstable();
            let most = most_in_window(&sent);
            let allowed = 1.5 * limit * 4.0 + 5.0;
            assert!(
                most as f64 <= allowed,
                "{count} instances, limit {limit}: {most}"
            );
        }
    }
}

/// News with impossible values have no effect.
#[test]
fn invalid_news() {
    let mut limit = UpstreamLimit::default();
    for per_s in [-1.0, f64::NAN] {
        let news = LimitNews {
            upstream: 1,
            per_s: Some(per_s),
            age_ms: 0,
        };
        assert!(!limit.merge(&news, false, at(1_000)));
    }
    assert_eq!(limit.limit(), None);
}
