//! Guards against gateways that all choose the same upstream, and against stale or missing reports.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::cost::CostModel;
use nutmegbay_policy::fleet::{Fleet, LoadReport, PieceEvent};
use nutmegbay_policy::route::{Ask, LoadRouter, LoadRouterSettings, Router};

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

fn ask(pieces: &[u64]) -> Ask<'_> {
    Ask {
        prompt_tokens: 8_192,
        output_tokens: 100,
        pieces,
        piece_tokens: 2_048,
        domain: 0,
        exclude: &[],
    }
}

/// Most requests on one upstream when `gateways` gateways that know nothing of each other route
/// one request each while one upstream is idle and the others hold a little work.
fn herd(settings: LoadRouterSettings, gateways: u64) -> usize {
    let (mut fleet, keys) = fleet();
    let now = MonotonicTime(Duration::from_secs(1));
    for &key in &keys[1..] {
        let report = LoadReport {
            prefill_tokens: 2_000,
            ..LoadReport::default()
        };
        fleet.get_mut(key).expect("added").reported(report, now);
    }
    let mut hits = BTreeMap::<UpstreamKey, usize>::new();
    for gateway in 0..gateways {
        let mut router = LoadRouter::new(gateway, settings);
        let choice = router.route(&ask(&[]), &fleet, &cost(), now);
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
        herd(settings, 40) <= 16,
        "two random candidates spread the gateways"
    );
    // The check can fail: with a full view all choose the idle upstream.
    let full = LoadRouterSettings {
        candidates: usize::from(UPSTREAMS),
        ..settings
    };
    assert_eq!(herd(full, 40), 40);
}

/// How many of 200 requests go to an upstream whose last report was idle, while the others report
/// some work each time. It is silent since 20 s or reports itself idle each time as well.
fn to_idle(silent: bool) -> usize {
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
            if !(is_idle && silent) {
                fleet.get_mut(key).expect("added").reported(report, now);
            }
        }
        let choice = router.route(&ask(&[]), &fleet, &cost(), now);
        let upstream = choice.expect("all accept").upstream;
        hits += usize::from(upstream == keys[0]);
        fleet.dispatched(upstream, 0.8, 100, now);
    }
    hits
}

#[test]
fn stale_report() {
    let stale = to_idle(true);
    assert!(stale <= 4, "a silent upstream took {stale} of 200");
    // The check can fail: fresh reports of an idle upstream do attract work.
    let fresh = to_idle(false);
    assert!(fresh >= 20, "an idle upstream took {fresh} of 200");
}

#[test]
fn prefix_holder() {
    let (mut fleet, keys) = fleet();
    let pieces = [11, 12, 13, 14];
    let events = |seqs: [u64; 4]| {
        seqs.map(|seq| PieceEvent {
            seq,
            piece: 11 + seq,
            stored: true,
        })
    };
    let now = MonotonicTime(Duration::from_secs(1));
    let holder = fleet.get_mut(keys[5]).expect("added");
    holder.pieces_mut().apply(&events([0, 1, 2, 3]), 4);
    let mut router = LoadRouter::new(1, LoadRouterSettings::default());
    let choice = router.route(&ask(&pieces), &fleet, &cost(), now);
    assert_eq!(choice.expect("all accept").upstream, keys[5]);
    // Two answers without the expected cache correct an index that missed evictions in a gap.
    let holder = fleet.get_mut(keys[5]).expect("added");
    holder.pieces_mut().answered(&pieces, 0);
    assert_eq!(holder.cached(&pieces), 4);
    holder.pieces_mut().answered(&pieces, 0);
    assert_eq!(holder.cached(&pieces), 0);
}

#[test]
fn lost_role() {
    let mut fleet = Fleet::default();
    let now = MonotonicTime(Duration::from_secs(1));
    let decode = fleet.add(0, EngineRole::Decode, now);
    let mut router = LoadRouter::new(1, LoadRouterSettings::default());
    let choice = router.route(&ask(&[]), &fleet, &cost(), now);
    assert_eq!(choice.map(|choice| choice.upstream), Some(decode));
}

#[test]
fn finished_work() {
    let (mut fleet, keys) = fleet();
    let cost = cost();
    let now = MonotonicTime(Duration::from_millis(50));
    for _ in 0..500 {
        fleet.dispatched(keys[0], 0.015, 8, now);
        fleet.finished(keys[0], 0.015);
    }
    // Without this, an engine that is faster than its reports are frequent looks full.
    let up = fleet.get(keys[0]).unwrap();
    assert!(
        up.backlog(&cost, now) < 0.001,
        "ended work still counts as waiting"
    );
    assert_eq!(up.batch(), 0);
}
