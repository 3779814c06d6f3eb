//! Guards against requests that are counted twice or not at all in the exchanged load, on whichever
//! path the digests travel, and against the use of outdated digests.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::exchange::{
    Digest, LoadExchange, PrefixBlockUse, Role, Scope, UpstreamWork, spacing,
};
use nutmegbay_policy::edge::urgency::{ByUrgency, Urgency};

const URGENCY: Urgency = Urgency::of_rank(0);

const UPSTREAM: u32 = 7;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

fn work(pending_ms: u32) -> UpstreamWork {
    let mut by_urgency = ByUrgency::default();
    by_urgency[URGENCY] = pending_ms;
    UpstreamWork {
        pending_ms: by_urgency,
        requests: 1,
        streams: 0,
    }
}

/// Instances 0 and 1 are relays; 2 and 3 follow 0, and 4 follows 1. Instance n has work of 2 to the
/// power of n, so that a sum shows whose work it contains.
struct Site {
    instances: BTreeMap<u32, LoadExchange<u32>>,
}

impl Site {
    fn new() -> Self {
        let roles = [
            (0, Role::Relay(vec![1])),
            (1, Role::Relay(vec![0])),
            (2, Role::Follower(0)),
            (3, Role::Follower(0)),
            (4, Role::Follower(1)),
        ];
        let instances = roles.into_iter().map(|(name, role)| {
            let mut exchange = LoadExchange::default();
            exchange.set_role(Some(role));
            (name, exchange)
        });
        Self {
            instances: instances.collect(),
        }
    }

    /// Lets every instance send its digests once, and returns them with sender and receiver.
    fn round(&mut self, now: MonotonicTime) -> Vec<(u32, u32, Digest)> {
        let mut sent = Vec::new();
        for (name, exchange) in &mut self.instances {
            exchange.sweep(now);
            let digests = exchange.digests(&[(UPSTREAM, work(1 << name))]);
            sent.extend(digests.into_iter().map(|(to, digest)| (*name, to, digest)));
        }
        for (from, to, digest) in &sent {
            self.instances
                .get_mut(to)
                .unwrap()
                .record_digest(*from, digest, now);
        }
        sent
    }
}

/// A digest takes at most three rounds. After these, every instance has counted the work of each
/// other instance once.
#[test]
fn all_others() {
    let mut site = Site::new();
    for n in 0..3 {
        site.round(at(20 * n));
    }
    for (name, exchange) in &site.instances {
        assert_eq!(exchange.reporting_instances(), 4, "{name}");
        let others = (1 << 5) - 1 - (1 << name);
        assert_eq!(
            exchange.work(UPSTREAM).pending_ms[URGENCY],
            others,
            "{name}"
        );
        assert_eq!(exchange.work(UPSTREAM).requests, 4, "{name}");
    }
}

/// The number of digests must not grow with the square of the number of instances.
#[test]
fn few_digests() {
    let mut site = Site::new();
    site.round(at(0));
    // Three to relays, two between relays, three to followers.
    assert_eq!(site.round(at(20)).len(), 8);
}

#[test]
fn removed_instance() {
    let mut site = Site::new();
    for n in 0..3 {
        site.round(at(20 * n));
    }
    site.instances.remove(&4);
    let mut now = 60;
    while now < 600 {
        let digests: Vec<_> = site
            .instances
            .iter_mut()
            .flat_map(|(name, exchange)| {
                exchange.sweep(at(now));
                let digests = exchange.digests(&[(UPSTREAM, work(1 << name))]);
                digests.into_iter().map(|(to, digest)| (*name, to, digest))
            })
            .collect();
        for (from, to, digest) in digests {
            if let Some(exchange) = site.instances.get_mut(&to) {
                exchange.record_digest(from, &digest, at(now));
            }
        }
        now += 20;
    }
    let follower = &site.instances[&2];
    assert_eq!(follower.reporting_instances(), 3);
    assert_eq!(follower.work(UPSTREAM).pending_ms[URGENCY], 0b1011);
}

/// A follower changes its relay: the digests of both relays together would count the same requests
/// twice.
#[test]
fn changed_relay() {
    let mut site = Site::new();
    for n in 0..3 {
        site.round(at(20 * n));
    }
    let follower = site.instances.get_mut(&2).unwrap();
    follower.set_role(Some(Role::Follower(1)));
    assert_eq!(follower.work(UPSTREAM), UpstreamWork::default());
    let digest = Digest {
        scope: Scope::Others,
        instances: 4,
        work: vec![(UPSTREAM, work(27))],
        block_uses: Vec::new(),
        prefill_times: Vec::new(),
    };
    assert!(
        !follower.record_digest(0, &digest, at(60)),
        "it follows another relay"
    );
    assert!(follower.record_digest(1, &digest, at(60)));
    assert_eq!(follower.work(UPSTREAM).pending_ms[URGENCY], 27);
}

/// A block use reaches every other instance once, and does not return to its sender.
#[test]
fn block_use() {
    let mut site = Site::new();
    site.round(at(0));
    let block_use = PrefixBlockUse {
        block: 99,
        upstream: UPSTREAM,
    };
    site.instances.get_mut(&3).unwrap().record_use(block_use);
    let mut receivers: Vec<u32> = Vec::new();
    for n in 1..5 {
        for (_, to, digest) in site.round(at(20 * n)) {
            receivers.extend(digest.block_uses.iter().map(|_| to));
        }
    }
    receivers.sort_unstable();
    assert_eq!(receivers, [0, 1, 2, 4]);
}

/// With one spacing at all sizes, 300 instances exchanged a megabyte per second each. Several
/// digests must still arrive in the time for which one counts, so that a lost one does not matter.
#[test]
fn spaced_by_size() {
    assert_eq!(spacing(4), Duration::from_millis(5));
    assert_eq!(spacing(30), Duration::from_millis(5));
    assert!(spacing(300) >= Duration::from_millis(40));
    assert!(spacing(1_000) * 3 <= Duration::from_millis(400));
}

/// A digest that was sent by another program or damaged in transit must not cause a panic by
/// integer overflow.
#[test]
fn invalid_digest() {
    let mut exchange = LoadExchange::default();
    exchange.set_role(Some(Role::Relay(vec![1])));
    let max_work = UpstreamWork {
        pending_ms: ByUrgency::default().map(|_: u32| u32::MAX),
        requests: u32::MAX,
        streams: u32::MAX,
    };
    for from in 2..5 {
        let digest = Digest {
            scope: Scope::Own,
            instances: u32::MAX,
            work: vec![(UPSTREAM, max_work); 200],
            block_uses: Vec::new(),
            prefill_times: Vec::new(),
        };
        assert!(exchange.record_digest(from, &digest, at(0)));
    }
    assert!(!exchange.digests(&[(UPSTREAM, max_work)]).is_empty());
    exchange.sweep(at(1_000));
    assert_eq!(exchange.reporting_instances(), 0);
}
