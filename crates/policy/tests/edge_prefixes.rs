//! Guards against shared parts of prompts that are read at every engine.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::prefixes::{Evidence, Prefixes, first_ranks, ranking_weight};
use slotmap::SlotMap;

fn at(s: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_secs(s))
}

#[test]
fn own_evidence() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let (first, other) = (arena.insert(()), arena.insert(()));
    let mut prefixes = Prefixes::default();
    assert!(prefixes.belief(7, first, 0, Evidence::Own, at(0)) > 0.5);
    assert!(prefixes.belief(7, other, 5, Evidence::Own, at(0)) < 0.01);
    prefixes.used(7, other, at(1));
    assert!(prefixes.belief(7, other, 5, Evidence::Own, at(2)) > 0.99);
    assert!(
        prefixes.belief(7, other, 5, Evidence::Own, at(60)) < 0.01,
        "memory is reused"
    );
}

/// Where others tell what they use, no word of a part means that it was probably not read there.
#[test]
fn shared_evidence() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let first = arena.insert(());
    let mut prefixes = Prefixes::default();
    let believed = |prefixes: &Prefixes| prefixes.belief(7, first, 0, Evidence::Shared, at(0));
    assert!((0.1..0.5).contains(&believed(&prefixes)));
    prefixes.used(7, first, at(0));
    assert!(believed(&prefixes) > 0.99);
}

/// More parts than are remembered must neither grow without bound nor panic.
#[test]
fn bounded_memory() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let key = arena.insert(());
    let mut prefixes = Prefixes::default();
    for part in 0..20_000 {
        prefixes.used(part, key, at(part / 1_000));
    }
    assert!(prefixes.belief(19_999, key, 9, Evidence::Own, at(20)) > 0.99);
}

/// All instances rank alike, an engine with twice the share is first about twice as often, and the
/// loss of one engine moves only its own parts.
#[test]
fn shared_ranking() {
    let engines = [(11, 2.0), (12, 1.0), (13, 1.0)];
    let first = |part: u64, engines: &[(u64, f64)]| {
        engines
            .iter()
            .copied()
            .max_by(|a, b| {
                ranking_weight(part, a.0, a.1).total_cmp(&ranking_weight(part, b.0, b.1))
            })
            .map(|(engine, _)| engine)
            .unwrap()
    };
    let parts = 0..4_000_u64;
    let at_first = parts
        .clone()
        .filter(|part| first(*part, &engines) == 11)
        .count();
    assert!((1_800..2_200).contains(&at_first), "{at_first} of 4000");
    for part in parts {
        let before = first(part, &engines);
        if before != 13 {
            assert_eq!(first(part, &engines[..2]), before);
        }
    }
}

/// The places that beliefs depend on are found in one pass over the engines.
#[test]
fn first_places() {
    let weights = [0.3, 0.9, 0.1, 0.7];
    let ranks = first_ranks(weights.into_iter());
    assert_eq!(ranks, [usize::MAX, 0, usize::MAX, 1]);
    assert_eq!(first_ranks([0.5].into_iter()), [0]);
    assert!(first_ranks(std::iter::empty()).is_empty());
}
