//! Load router: gateways must not all choose the same upstream, and stale or missing reports must
//! not attract requests.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::cost::CostModel;
use nutmegbay_policy::fleet::{Fleet, LoadReport, PrefixBlockEvent};
use nutmegbay_policy::route::{LoadRouter, LoadRouterSettings, RouteRequest, Router};

const UPSTREAMS: u16 = 12;

fn cost() -> CostModel {
    CostModel::new(1e-4, 0.012, 2.5e-4)
}

fn fleet() -> (Fleet, Vec<UpstreamKey>) {
    let mut fleet = Fleet::default();
    let keys = (0..UPSTREAMS)
        .map(|index| fleet.add(index % 3, EngineRole::Mixed, MonotonicTime::default()))
        .collect();
    (fleet, keys)
}

fn request(prefix_blocks: &[u64]) -> RouteRequest<'_> {
    RouteRequest {
        prompt_tokens: 8_192,
        output_tokens: 100,
        prefix_blocks,
        block_tokens: 2_048,
        domain: 0,
        exclude: &[],
    }
}

/// Returns the largest number of requests on one upstream. Each of `gateways` gateways routes one
/// request independently, while one upstream is idle and the others have some work.
fn max_requests_on_one(settings: LoadRouterSettings, gateways: u64) -> usize {
    let (mut fleet, keys) = fleet();
    let now = MonotonicTime(Duration::from_secs(1));
    for &key in &keys[1..] {
        let report = LoadReport {
            prefill_tokens: 2_000,
            ..LoadReport::default()
        };
        fleet.get_mut(key).expect("added").apply_report(report, now);
    }
    let mut hits = BTreeMap::<UpstreamKey, usize>::new();
    for gateway in 0..gateways {
        let mut router = LoadRouter::new(gateway, settings);
        let choice = router.route(&request(&[]), &fleet, &cost(), now);
        *hits
            .entry(choice.expect("all accept").upstream)
            .or_default() += 1;
    }
    hits.into_values().max().unwrap_or(0)
}

#[test]
fn herd_spread() {
    let settings = LoadRouterSettings::default();
    assert!(
        max_requests_on_one(settings, 40) <= 16,
        "two random candidates spread the gateways"
    );
    // Shows that the check can fail: with a full view all gateways choose the idle upstream.
    let full = LoadRouterSettings {
        candidates: usize::from(UPSTREAMS),
        ..settings
    };
    assert_eq!(max_requests_on_one(full, 40), 40);
}

/// Returns how many of 200 requests go to an upstream whose last report was idle, while the others
/// report some work each time. The upstream has either not reported for 20 s or reports idle each
/// time.
fn requests_to_idle(unresponsive: bool) -> usize {
    let (mut fleet, keys) = fleet();
    let mut router = LoadRouter::new(7, LoadRouterSettings::default());
    let mut hits = 0;
    for step in 0..200_u32 {
        let now = MonotonicTime(Duration::from_secs(20) + Duration::from_millis(50) * step);
        for &key in &keys {
            let is_idle = key == keys[0];
            let report = LoadReport {
                prefill_tokens: if is_idle { 0 } else { 3_000 },
                ..LoadReport::default()
            };
            if !(is_idle && unresponsive) {
                fleet.get_mut(key).expect("added").apply_report(report, now);
            }
        }
        let choice = router.route(&request(&[]), &fleet, &cost(), now);
        let upstream = choice.expect("all accept").upstream;
        hits += usize::from(upstream == keys[0]);
        fleet.record_dispatch(upstream, 0.8, 100, now);
    }
    hits
}

#[test]
fn stale_report() {
    let stale = requests_to_idle(true);
    assert!(stale <= 4, "an unresponsive upstream took {stale} of 200");
    // Shows that the check can fail: fresh reports of an idle upstream attract requests.
    let fresh = requests_to_idle(false);
    assert!(fresh >= 20, "an idle upstream took {fresh} of 200");
}

#[test]
fn prefix_holder() {
    let (mut fleet, keys) = fleet();
    let blocks = [11, 12, 13, 14];
    let events = |seqs: [u64; 4]| {
        seqs.map(|seq| PrefixBlockEvent {
            seq,
            block: 11 + seq,
            stored: true,
        })
    };
    let now = MonotonicTime(Duration::from_secs(1));
    let holder = fleet.get_mut(keys[5]).expect("added");
    holder.prefix_blocks_mut().apply(&events([0, 1, 2, 3]), 4);
    let mut router = LoadRouter::new(1, LoadRouterSettings::default());
    let choice = router.route(&request(&blocks), &fleet, &cost(), now);
    assert_eq!(choice.expect("all accept").upstream, keys[5]);
    // Two answers with fewer cached blocks than expected correct an index that missed evictions in
    // a gap.
    let holder = fleet.get_mut(keys[5]).expect("added");
    holder.prefix_blocks_mut().record_hits(&blocks, 0);
    assert_eq!(holder.cached_blocks(&blocks), 4);
    holder.prefix_blocks_mut().record_hits(&blocks, 0);
    assert_eq!(holder.cached_blocks(&blocks), 0);
}

#[test]
fn lost_role() {
    let mut fleet = Fleet::default();
    let now = MonotonicTime(Duration::from_secs(1));
    let decode = fleet.add(0, EngineRole::Decode, now);
    let mut router = LoadRouter::new(1, LoadRouterSettings::default());
    let choice = router.route(&request(&[]), &fleet, &cost(), now);
    assert_eq!(choice.map(|choice| choice.upstream), Some(decode));
}

#[test]
fn finished_work() {
    let (mut fleet, keys) = fleet();
    let cost = cost();
    let now = MonotonicTime(Duration::from_millis(50));
    for _ in 0..500 {
        fleet.record_dispatch(keys[0], 0.015, 8, now);
        fleet.record_end(keys[0], 0.015);
    }
    // If ended work counted until the next report, an engine that is faster than its reports would
    // look full.
    let up = fleet.get(keys[0]).unwrap();
    assert!(
        up.backlog(&cost, now) < 0.001,
        "ended work still counts as waiting"
    );
    assert_eq!(up.batch(), 0);
}
