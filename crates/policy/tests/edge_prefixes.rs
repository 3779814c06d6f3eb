//! Guards against shared prefix blocks that are prefilled on every engine.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::prefixes::{
    EvidenceSource, PrefixLocations, rendezvous_weight, top_two_ranks,
};
use slotmap::SlotMap;

fn at(s: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs(s))
}

#[test]
fn own_evidence() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let (first, other) = (arena.insert(()), arena.insert(()));
    let mut prefixes = PrefixLocations::default();
    assert!(prefixes.cached_fraction(7, first, 0, EvidenceSource::Own, at(0)) > 0.5);
    assert!(prefixes.cached_fraction(7, other, 5, EvidenceSource::Own, at(0)) < 0.01);
    prefixes.record_use(7, other, at(1));
    assert!(prefixes.cached_fraction(7, other, 5, EvidenceSource::Own, at(2)) > 0.99);
    assert!(
        prefixes.cached_fraction(7, other, 5, EvidenceSource::Own, at(60)) < 0.01,
        "the block may have been evicted"
    );
}

/// Where other instances report their block uses, a block without a report was probably not
/// prefilled on the engine ranked first.
#[test]
fn shared_evidence() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let first = arena.insert(());
    let mut prefixes = PrefixLocations::default();
    let fraction = |prefixes: &PrefixLocations| {
        prefixes.cached_fraction(7, first, 0, EvidenceSource::Shared, at(0))
    };
    assert!((0.1..0.5).contains(&fraction(&prefixes)));
    prefixes.record_use(7, first, at(0));
    assert!(fraction(&prefixes) > 0.99);
}

/// More blocks than are remembered must neither use unbounded memory nor panic.
#[test]
fn bounded_memory() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let key = arena.insert(());
    let mut prefixes = PrefixLocations::default();
    for block in 0..20_000 {
        prefixes.record_use(block, key, at(block / 1_000));
    }
    assert!(prefixes.cached_fraction(19_999, key, 9, EvidenceSource::Own, at(20)) > 0.99);
}

/// All instances compute the same ranking, an engine with twice the share is first about twice as
/// often, and the removal of one engine moves only its own blocks.
#[test]
fn shared_ranking() {
    let engines = [(11, 2.0), (12, 1.0), (13, 1.0)];
    let first = |block: u64, engines: &[(u64, f64)]| {
        engines
            .iter()
            .copied()
            .max_by(|a, b| {
                rendezvous_weight(block, a.0, a.1).total_cmp(&rendezvous_weight(block, b.0, b.1))
            })
            .map(|(engine, _)| engine)
            .unwrap()
    };
    let blocks = 0..4_000_u64;
    let at_first = blocks
        .clone()
        .filter(|block| first(*block, &engines) == 11)
        .count();
    assert!((1_800..2_200).contains(&at_first), "{at_first} of 4000");
    for block in blocks {
        let before = first(block, &engines);
        if before != 13 {
            assert_eq!(first(block, &engines[..2]), before);
        }
    }
}

/// The two highest weights get their ranks, and all others `usize::MAX`.
#[test]
fn two_ranks() {
    let weights = [0.3, 0.9, 0.1, 0.7];
    let ranks = top_two_ranks(weights.into_iter());
    assert_eq!(ranks, [usize::MAX, 0, usize::MAX, 1]);
    assert_eq!(top_two_ranks([0.5].into_iter()), [0]);
    assert!(top_two_ranks(std::iter::empty()).is_empty());
}
