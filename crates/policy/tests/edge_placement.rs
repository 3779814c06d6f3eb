//! Guards against prefilling prompts on engines that run long streams, and against avoidable waits.

use assert_matches::assert_matches;
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::engine_view::EngineSpeed;
use nutmegbay_policy::edge::placement::{
    CostEstimates, Engine, EnginePhase, Placement, PlacementRequest, PlainUpstream, place,
    place_plain, stream_host_count,
};
use nutmegbay_policy::edge::software_versions::VersionTag;
use slotmap::SlotMap;

const ESTIMATES: CostEstimates = CostEstimates {
    fixed_ms: 2.0,
    prefill_token_ms: 0.003,
    transfer_token_ms: 0.0003,
    send_ms: 0.0,
    resend_ms: 0.0,
    request_ms: 15.0,
    whole_lateness_ms: 0.0,
    split_lateness_ms: 0.0,
};

fn engines(phases: &[EnginePhase]) -> Vec<Engine> {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    phases
        .iter()
        .map(|phase| Engine {
            key: arena.insert(()),
            phase: *phase,
            version: VersionTag(1),
            domain: 0,
            backlog_ms: 0.0,
            unseen_ms: 0.0,
            speed: EngineSpeed::default(),
            requests: 0.0,
            slots: 16,
            cached_fraction: 0.0,
            is_stream_host: false,
            streams: 0,
            failure_rate: 0.0,
            limit_use: 0.0,
        })
        .collect()
}

fn request(suffix_tokens: u32, is_long: bool) -> PlacementRequest {
    PlacementRequest {
        shared_tokens: 6_300,
        suffix_tokens,
        domain: 0,
        is_long,
    }
}

#[test]
fn held_prefix() {
    let mut engines = engines(&[
        EnginePhase::Decode,
        EnginePhase::Decode,
        EnginePhase::Prefill,
    ]);
    engines[1].cached_fraction = 1.0;
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}

/// A very long prompt is prefilled on a prefill engine: at half the rate it would be late.
#[test]
fn long_prompt() {
    let engines = engines(&[EnginePhase::Decode, EnginePhase::Prefill]);
    let placement = place(&engines, request(39_600, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Split { .. }));
}

/// Prefills on an engine with long streams made four in ten of the streams late, so a stream host
/// is not used for them even where it would answer soonest.
#[test]
fn prompt_among_streams() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    engines[0].is_stream_host = true;
    engines[0].cached_fraction = 1.0;
    engines[1].backlog_ms = 60.0;
    let placement = place(&engines, request(2_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}

/// Where only stream hosts are left, a prompt is still placed.
#[test]
fn only_stream_hosts() {
    let mut engines = engines(&[EnginePhase::Decode]);
    engines[0].is_stream_host = true;
    assert_matches!(
        place(&engines, request(2_000, false), ESTIMATES),
        Some(Placement::Whole { first_result_ms, .. }) if first_result_ms < 200.0
    );
}

#[test]
fn long_stream() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    engines[0].is_stream_host = true;
    engines[0].requests = 4.0;
    let placement = place(&engines, request(100, true), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[0].key);
    // Without a free slot there, the stream starts elsewhere.
    engines[0].requests = 24.0;
    let placement = place(&engines, request(100, true), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}

/// At an engine of half the speed, one stream in two paused for too long. An engine that states its
/// pace is judged by the time of a step.
#[test]
fn fast_host() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    for (engine, step_factor) in engines.iter_mut().zip([1.2, 0.55]) {
        engine.is_stream_host = true;
        engine.cached_fraction = 1.0;
        engine.speed = EngineSpeed {
            prefill_factor: step_factor,
            step_factor,
            is_stated: true,
        };
    }
    engines[1].requests = 6.0;
    let placement = place(&engines, request(100, true), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
    // Engines without a statement are chosen by their free slots.
    for engine in &mut engines {
        engine.speed = EngineSpeed::default();
    }
    let placement = place(&engines, request(100, true), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[0].key);
}

/// A prompt goes to the engine that prefills it soonest, and its cost there is what it takes there.
#[test]
fn slow_prefill() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    for (engine, prefill_factor) in engines.iter_mut().zip([2.0, 0.5]) {
        engine.speed.prefill_factor = prefill_factor;
    }
    engines[1].backlog_ms = 30.0;
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(
        placement,
        Some(Placement::Whole { at, cost_ms, .. })
            if at == engines[1].key && (cost_ms - 7_300.0 * 0.003).abs() < 1e-9
    );
}

/// The number of stream hosts grows with the number of streams and is never zero.
#[test]
fn stream_hosts() {
    assert_eq!(stream_host_count(0.0, 16, 10), 1);
    assert_eq!(stream_host_count(48.0, 16, 10), 5);
    assert_eq!(stream_host_count(145.0, 64, 8), 4);
    assert_eq!(stream_host_count(1_000.0, 16, 10), 10);
}

#[test]
fn only_prefill() {
    let engines = engines(&[EnginePhase::Prefill]);
    assert_eq!(place(&engines, request(100, false), ESTIMATES), None);
}

#[test]
fn failing_engine() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    engines[0].failure_rate = 0.4;
    engines[1].backlog_ms = 50.0;
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}

#[test]
fn plain_spread() {
    let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
    let mut upstreams: Vec<_> = (0..3)
        .map(|domain| PlainUpstream {
            key: arena.insert(()),
            domain,
            requests: 2.0,
            slots: 6,
            failure_rate: 0.0,
        })
        .collect();
    assert_matches!(place_plain(&upstreams, 1, 15.0), Some((key, _)) if key == upstreams[1].key);
    upstreams[1].requests = 6.0;
    upstreams[0].requests = 5.0;
    let (key, wait_ms) = place_plain(&upstreams, 1, 15.0).unwrap();
    assert_eq!(key, upstreams[2].key);
    assert!(wait_ms < 1e-9);
}

/// On a link of 10 Mbit/s, a prompt of 7 KB takes 6 ms per send: the second send of a split request
/// took longer than the faster prefill saved.
#[test]
fn narrow_link() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Prefill]);
    engines[0].cached_fraction = 1.0;
    engines[1].cached_fraction = 1.0;
    engines[0].backlog_ms = 5.0;
    let wide = place(&engines, request(2_000, false), ESTIMATES);
    assert_matches!(wide, Some(Placement::Split { .. }));
    let narrow = CostEstimates {
        send_ms: 6.0,
        resend_ms: 6.0,
        ..ESTIMATES
    };
    let narrow = place(&engines, request(2_000, false), narrow);
    assert_matches!(narrow, Some(Placement::Whole { .. }));
}

/// Where recent split requests came later than predicted, requests are placed whole instead.
#[test]
fn late_splits() {
    let engines = engines(&[EnginePhase::Decode, EnginePhase::Prefill]);
    let on_time = place(&engines, request(12_000, false), ESTIMATES).unwrap();
    assert_matches!(on_time, Placement::Split { .. });
    let estimates = CostEstimates {
        split_lateness_ms: 80.0,
        ..ESTIMATES
    };
    let late = place(&engines, request(12_000, false), estimates).unwrap();
    assert_matches!(late, Placement::Whole { .. });
}

/// Placing a request on an engine that does not hold the shared blocks delays other requests by
/// more than it saves this one, unless the queue of the holder is long.
#[test]
fn holder_with_queue() {
    let mut engines = engines(&[EnginePhase::Decode, EnginePhase::Decode]);
    engines[0].cached_fraction = 1.0;
    engines[0].backlog_ms = 50.0;
    // The prefill of the shared blocks takes 38 ms.
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[0].key);
    engines[0].backlog_ms = 100.0;
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}

/// In a burst, all engines have a queue, and each prefill of shared blocks that another engine
/// holds delays all requests behind it. With a fixed weight, a sixth of all prefill work was such
/// prefills.
#[test]
fn holder_in_burst() {
    let mut engines = engines(&[EnginePhase::Decode; 5]);
    engines[0].cached_fraction = 1.0;
    for engine in &mut engines {
        engine.backlog_ms = 60.0;
    }
    engines[0].backlog_ms = 160.0;
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[0].key);
    for engine in &mut engines[1..] {
        engine.backlog_ms = 0.0;
    }
    let placement = place(&engines, request(1_000, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at != engines[0].key);
}

/// The decode after a prefill takes as long on one engine as on another. It leaves the limit of one
/// that states a limit to prompts that need the engine, and nothing is predicted to take longer.
#[test]
fn limited_engine() {
    let mut engines = engines(&[
        EnginePhase::Prefill,
        EnginePhase::Decode,
        EnginePhase::Decode,
    ]);
    let unlimited = place(&engines, request(9_000, false), ESTIMATES).unwrap();
    engines[1].limit_use = 0.8;
    let placement = place(&engines, request(9_000, false), ESTIMATES).unwrap();
    assert_matches!(placement, Placement::Split { decode, .. } if decode == engines[2].key);
    engines[2].limit_use = 0.8;
    let placement = place(&engines, request(9_000, false), ESTIMATES).unwrap();
    assert!((placement.first_result_ms() - unlimited.first_result_ms()).abs() < 1e-9);
    // A prompt whose shared blocks the limited engine holds goes there nonetheless.
    engines[1].cached_fraction = 1.0;
    let placement = place(&engines, request(100, false), ESTIMATES).unwrap();
    assert_matches!(placement, Placement::Whole { at, .. } if at == engines[1].key);
}

/// The prefill engine with the lowest score may be of a version that no decode engine has.
#[test]
fn prefill_of_other_version() {
    let mut engines = engines(&[
        EnginePhase::Prefill,
        EnginePhase::Prefill,
        EnginePhase::Decode,
    ]);
    engines[0].version = VersionTag(2);
    engines[1].backlog_ms = 20.0;
    let placement = place(&engines, request(39_600, false), ESTIMATES);
    assert_matches!(
        placement,
        Some(Placement::Split { prefill, decode, .. })
            if prefill == engines[1].key && decode == engines[2].key
    );
    engines.remove(1);
    let placement = place(&engines, request(39_600, false), ESTIMATES);
    assert_matches!(placement, Some(Placement::Whole { at, .. }) if at == engines[1].key);
}
