//! Guards against instances that divide the limits of upstreams by different views of each other,
//! and together send more than a limit allows.
#![allow(
    clippy::cast_precision_loss,
    reason = "counts of requests stay far below 2^52"
)]

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::limit_owners::LimitOwners;
use nutmegbay_policy::edge::presence::Presence;
use nutmegbay_policy::edge::upstream_limit::UpstreamLimit;

/// Upstream with this hash.
const UPSTREAM: u64 = 77;

/// Time between two updates of an instance's view, in milliseconds.
const UPDATE_INTERVAL_MS: u64 = 500;

/// Time for which an announcement travels, in milliseconds. The first one of each instance is lost.
const DELAY_MS: u64 = 600;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

/// One instance, which sends whenever it may.
struct Instance {
    name: u64,
    /// Instances whose records it has read.
    read: Vec<u64>,
    owners: LimitOwners,
    presence: Presence,
    is_announced: bool,
    limit: UpstreamLimit,
}

impl Instance {
    fn new(name: u64, read: Vec<u64>, limit_per_s: f64, now_ms: u64) -> Self {
        let mut limit = UpstreamLimit::default();
        limit.record_response(Some(limit_per_s), at(now_ms), at(now_ms));
        Self {
            name,
            read,
            owners: LimitOwners::new(name),
            presence: Presence::new(name),
            is_announced: false,
            limit,
        }
    }

    fn update(&mut self, limit_per_s: f64, now: MonotonicTime) {
        let read = self.read.iter().copied().filter(|name| *name != self.name);
        let others = read.chain(self.presence.heard(now)).collect();
        let has_joined = self.presence.has_joined(now);
        if self.owners.update(others, true, has_joined, now) {
            let share = self.owners.share(UPSTREAM, limit_per_s);
            self.limit.set_share(share, 0.5, now);
        }
    }
}

/// Replays 30 s. `count` instances run from the start. At 10 s requests begin, those instances called
/// `joining` start and those called `leaving` end, which the others find out from the store after
/// 18 s, one after the other. Returns the times of all requests.
fn replay(count: u64, joining: &[u64], leaving: &[u64], limit_per_s: f64) -> Vec<u64> {
    let first: Vec<_> = (0..count).collect();
    let mut instances: Vec<_> = first
        .iter()
        .map(|name| Instance::new(*name, first.clone(), limit_per_s, 0))
        .collect();
    let mut sent = Vec::new();
    let mut announcements = Vec::new();
    for ms in (0..30_000).step_by(5) {
        if ms == 10_000 {
            instances.retain(|instance| !leaving.contains(&instance.name));
            let known = [&first, joining].concat();
            let start = |name: &u64| Instance::new(*name, known.clone(), limit_per_s, ms);
            instances.extend(joining.iter().map(start));
        }
        let running: Vec<_> = instances.iter().map(|instance| instance.name).collect();
        for (n, instance) in instances.iter_mut().enumerate() {
            if ms == 18_000 + n as u64 * 200 {
                instance.read.clone_from(&running);
            }
            let is_first = !instance.is_announced;
            for name in instance.presence.take(Duration::ZERO, at(ms)) {
                instance.is_announced = true;
                if !is_first {
                    announcements.push((ms + DELAY_MS, name));
                }
            }
            // Instances update their views at different times.
            if ms % UPDATE_INTERVAL_MS == (n as u64 * 35) % UPDATE_INTERVAL_MS {
                instance.update(limit_per_s, at(ms));
            }
            while ms >= 10_000 && instance.limit.try_send(at(ms)) {
                sent.push(ms);
            }
        }
        for (arrives, name) in &announcements {
            if *arrives == ms {
                for instance in &mut instances {
                    instance.presence.record(*name, false, at(ms));
                }
            }
        }
    }
    sent
}

fn assert_limit_kept(sent: &[u64], limit_per_s: f64) {
    let in_window = |(n, first): (usize, &u64)| sent.partition_point(|ms| *ms < first + 4_000) - n;
    let most = sent.iter().enumerate().map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * limit_per_s * 4.0 + 5.0;
    assert!(
        most as f64 <= allowed,
        "limit {limit_per_s}: {most} requests"
    );
    let used = sent.iter().filter(|ms| **ms >= 20_000).count();
    assert!(
        used as f64 >= limit_per_s * 10.0 * 0.75 - 2.0,
        "limit {limit_per_s}: {used} requests in the end"
    );
}

/// Instances that have just started know all others, which do not know them yet.
#[test]
fn joining_instances() {
    for limit_per_s in [0.3, 1.3, 3.1, 8.4, 20.2, 150.0] {
        for (count, joining) in [
            (1, &[100][..]),
            (1, &[100, 101, 102]),
            (4, &[100, 101, 102]),
        ] {
            assert_limit_kept(&replay(count, joining, &[], limit_per_s), limit_per_s);
        }
    }
}

/// Instances are replaced: the new ones start while the others still count the old ones.
#[test]
fn replaced_instances() {
    for limit_per_s in [1.3, 3.1, 20.2, 150.0] {
        let sent = replay(4, &[100, 101], &[0, 1], limit_per_s);
        assert_limit_kept(&sent, limit_per_s);
    }
}

/// While the store is down, instances that are not known to have ended keep their shares.
#[test]
fn incomplete_view() {
    let mut owners = LimitOwners::new(1);
    owners.update(vec![2, 3, 4], true, true, at(0));
    let share = owners.share(UPSTREAM, 100.0);
    for ms in (1_000..20_000).step_by(500) {
        owners.update(Vec::new(), false, true, at(ms));
        owners.update(vec![2], false, true, at(ms));
    }
    assert!((owners.share(UPSTREAM, 100.0) - share).abs() < 1e-9);
    for ms in (20_000..30_000).step_by(500) {
        owners.update(vec![2], true, true, at(ms));
    }
    assert!((owners.share(UPSTREAM, 100.0) - 50.0).abs() < 1e-9);
}

/// The store was away for longer than the time after which a silent instance looks failed. It is
/// back, and the records that the others have written are read up to 8 s later.
#[test]
fn unread_records() {
    let mut owners = LimitOwners::new(1);
    owners.update(vec![2, 3, 4], true, true, at(0));
    let share = owners.share(UPSTREAM, 100.0);
    for ms in (500..25_000).step_by(500) {
        owners.update(Vec::new(), false, true, at(ms));
    }
    for ms in (25_000..33_000).step_by(500) {
        owners.update(Vec::new(), true, true, at(ms));
        assert!(
            (owners.share(UPSTREAM, 100.0) - share).abs() < 1e-9,
            "at {ms}"
        );
    }
    for ms in (33_000..45_000).step_by(500) {
        owners.update(vec![2, 3, 4], true, true, at(ms));
        assert!(
            (owners.share(UPSTREAM, 100.0) - share).abs() < 1e-9,
            "at {ms}"
        );
    }
}

/// The process stood still while the others wrote their records.
#[test]
fn paused_process() {
    let mut owners = LimitOwners::new(1);
    for ms in (0..12_000).step_by(500) {
        owners.update(vec![2, 3, 4], true, true, at(ms));
    }
    let share = owners.share(UPSTREAM, 100.0);
    owners.update(Vec::new(), true, true, at(35_000));
    assert!((owners.share(UPSTREAM, 100.0) - share).abs() < 1e-9);
}
