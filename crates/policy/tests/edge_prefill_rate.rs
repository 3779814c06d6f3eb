//! Guards against predictions that are wrong by the ratio between the engines of two deployments
//! until some hundred prompts have been prefilled.

use std::time::Duration;

use nutmegbay_policy::edge::prefill_rate::{PrefillRate, PrefillTimes};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const OBJECTIVE: Duration = Duration::from_millis(800);

/// Returns the rate after `prefills` calls to engines that take `token_ms` per token and `fixed_ms`
/// per call, where half of the calls wait, each for up to the time of 10,000 tokens.
fn learned(prefills: usize, fixed_ms: f64, token_ms: f64) -> PrefillRate {
    let mut rng = ChaCha8Rng::seed_from_u64(11);
    let mut rate = PrefillRate::new();
    for _ in 0..prefills {
        let tokens: u32 = rng.random_range(200..8_000);
        let wait = (rng.random::<f64>() - 0.5).max(0.0) * 20_000.0 * token_ms;
        rate.record_prefill(tokens, fixed_ms + f64::from(tokens) * token_ms + wait);
    }
    rate
}

/// Before the rate is known, a prompt is assumed to meet its objective, so that none is refused
/// because of that.
#[test]
fn initial_rate() {
    let prefill_ms = PrefillRate::new().token_ms(17_000, OBJECTIVE) * 17_000.0;
    assert!((100.0..400.0).contains(&prefill_ms), "{prefill_ms} ms");
}

/// With an initial rate for the engines of another deployment, a rate seven times as low was
/// learned only after 25 s of replayed load, and after a minute where many instances share the
/// prefills.
#[test]
fn few_prefills() {
    for token_ms in [0.003, 0.021] {
        let rate = learned(16, 1_000.0 * token_ms, token_ms);
        let ratio = rate.token_ms(17_000, OBJECTIVE) / token_ms;
        assert!((0.8..1.6).contains(&ratio), "{ratio} times {token_ms} ms");
        let rate = learned(300, 1_000.0 * token_ms, token_ms);
        let ratio = rate.token_ms(17_000, OBJECTIVE) / token_ms;
        assert!((0.8..1.2).contains(&ratio), "{ratio} times {token_ms} ms");
    }
}

/// No constant depends on one deployment's engines: scaled prefill times give a rate scaled by the
/// same factor.
#[test]
fn scaled_times() {
    let base = learned(100, 20.0, 0.02);
    for factor in [7.0, 1.0 / 7.0] {
        let scaled = learned(100, 20.0 * factor, 0.02 * factor);
        let ratio = scaled.token_ms(1, OBJECTIVE) / base.token_ms(1, OBJECTIVE);
        assert!((ratio / factor - 1.0).abs() < 1e-6);
    }
}

/// A prompt that is sent again is found in the engine's cache and takes almost no time. It must not
/// lower the learned time per token.
#[test]
fn repeated_prompt() {
    let mut rate = learned(200, 20.0, 0.02);
    for _ in 0..64 {
        rate.record_prefill(4_000, 20.0 + 4_000.0 * 0.02);
    }
    rate.record_prefill(4_000, 21.0);
    for _ in 0..128 {
        rate.record_prefill(4_000, 20.0 + 4_000.0 * 0.02);
    }
    assert!(rate.token_ms(1, OBJECTIVE) > 0.015);
}

/// An instance that has just started adopts what others have learned. The others do not adopt its
/// times.
#[test]
fn shared_times() {
    let old = learned(300, 20.0, 0.02);
    let mut new = learned(8, 20.0, 0.1);
    new.adopt(old.times().expect("a window is complete"));
    assert!((new.token_ms(1, OBJECTIVE) - old.token_ms(1, OBJECTIVE)).abs() < 1e-6);
    let before = old.token_ms(1, OBJECTIVE);
    let mut old = old;
    old.adopt(learned(8, 20.0, 0.1).times().expect("a window is complete"));
    assert!((old.token_ms(1, OBJECTIVE) - before).abs() < 1e-9);
}

/// Times that are no numbers must not be adopted: every prediction would be infinite, and every
/// request refused.
#[test]
fn odd_times() {
    for (fixed_ms, token_ms) in [
        (f32::INFINITY, 0.1),
        (f32::NAN, 0.1),
        (-1.0, 0.1),
        (1.0, f32::INFINITY),
        (1.0, f32::NAN),
        (1.0, 0.0),
    ] {
        let mut rate = PrefillRate::new();
        rate.adopt(PrefillTimes {
            fixed_ms,
            token_ms,
            prefills: u32::MAX,
        });
        let predicted_ms = rate.fixed_ms() + rate.token_ms(1_000, OBJECTIVE);
        assert!(predicted_ms.is_finite(), "{fixed_ms}, {token_ms}");
        assert_eq!(rate.times(), None);
    }
}
