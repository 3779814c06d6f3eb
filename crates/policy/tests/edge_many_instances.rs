//! Replays a burst at many instances that share many upstreams, where each instance hears of one
//! upstream about once a second. Guards against choices that take a silent upstream for an idle one.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::load::{UpstreamLoad, Usual};
use nutmegbay_policy::edge::urgency::Urgency;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const URGENCY: Urgency = Urgency::of_rank(0);

const INSTANCES: usize = 28;
const UPSTREAMS: usize = 36;

/// Time of one request, in milliseconds.
const SERVICE_MS: f64 = 20.0;

/// Time of a request at an upstream that does not hold its shared parts, in milliseconds.
const MISS_MS: f64 = 45.0;

/// Requests a millisecond: two thirds of what the upstreams can do.
const PER_MS: f64 = 1.2;

/// Share of requests whose first result comes later than 200 ms.
fn late_share(with_usual: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut free_at = [0.0_f64; UPSTREAMS];
    let mut queued = vec![Vec::<f64>::new(); UPSTREAMS];
    let mut views = vec![vec![UpstreamLoad::new(SERVICE_MS); UPSTREAMS]; INSTANCES];
    let mut usual = [Usual::default(); INSTANCES];
    // Requests in flight: end, instance, upstream, cost.
    let mut running: Vec<(f64, usize, usize, f64)> = Vec::new();
    let (mut now, mut late, mut total) = (0.0_f64, 0, 0);
    while total < 12_000 {
        now += -(1.0 - rng.random::<f64>()).ln() / PER_MS;
        let moment = MonotonicTime(Duration::from_secs_f64(now / 1e3));
        running.retain(|&(end, instance, upstream, cost)| {
            if end > now {
                return true;
            }
            let view = &mut views[instance][upstream];
            view.began(URGENCY, cost);
            view.ended();
            queued[upstream].retain(|end| *end > now);
            let foreign = view.reported(moment, u32::try_from(queued[upstream].len()).unwrap());
            usual[instance].reported(moment, foreign);
            false
        });
        let instance = rng.random_range(0..INSTANCES);
        let home = rng.random_range(0..UPSTREAMS);
        let mean = if with_usual {
            usual[instance].get()
        } else {
            0.0
        };
        let cost = |upstream| {
            if upstream == home {
                SERVICE_MS
            } else {
                MISS_MS
            }
        };
        let score = |upstream: &usize| {
            views[instance][*upstream]
                .ahead(URGENCY, moment, mean)
                .backlog_ms
                + cost(*upstream)
        };
        let chosen = (0..UPSTREAMS)
            .min_by(|a, b| score(a).total_cmp(&score(b)))
            .unwrap();
        let cost = cost(chosen);
        let ahead = views[instance][chosen].ahead(URGENCY, moment, mean);
        views[instance][chosen].sent(URGENCY, cost, ahead);
        let end = free_at[chosen].max(now) + cost;
        free_at[chosen] = end;
        queued[chosen].push(end);
        running.push((end, instance, chosen, cost));
        late += u32::from(end - now > 200.0);
        total += 1;
    }
    f64::from(late) / f64::from(total)
}

#[test]
fn silent_upstreams() {
    let before = late_share(false);
    let after = late_share(true);
    assert!(after < before * 0.5, "{before} late before, {after} after");
}
