//! Replays a burst at many instances that share many upstreams, where each instance receives a
//! report of one upstream about once per second. Guards against mistaking an upstream without a
//! recent report for an idle one.

use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::load::{TypicalLoad, UpstreamLoad};
use nutmegbay_policy::edge::urgency::Urgency;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const URGENCY: Urgency = Urgency::of_rank(0);

const INSTANCES: usize = 28;
const UPSTREAMS: usize = 36;

/// Service time of one request, in milliseconds.
const SERVICE_MS: f64 = 20.0;

/// Service time of a request at an upstream that does not hold its shared blocks, in milliseconds.
const MISS_MS: f64 = 45.0;

/// Requests per millisecond: two thirds of the capacity of the upstreams.
const PER_MS: f64 = 1.2;

/// Returns the fraction of requests whose first result takes longer than 200 ms.
fn late_fraction(with_typical_load: bool) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut free_at = [0.0_f64; UPSTREAMS];
    let mut queued = vec![Vec::<f64>::new(); UPSTREAMS];
    let mut loads = vec![vec![UpstreamLoad::new(SERVICE_MS); UPSTREAMS]; INSTANCES];
    let mut typical = [TypicalLoad::default(); INSTANCES];
    // Requests in flight: end, instance, upstream, cost.
    let mut running: Vec<(f64, usize, usize, f64)> = Vec::new();
    let (mut now, mut late, mut total) = (0.0_f64, 0, 0);
    while total < 12_000 {
        now += -(1.0 - rng.random::<f64>()).ln() / PER_MS;
        let at = MonotonicTime(Duration::from_secs_f64(now / 1e3));
        running.retain(|&(end, instance, upstream, cost)| {
            if end > now {
                return true;
            }
            let load = &mut loads[instance][upstream];
            load.record_first_result(URGENCY, cost);
            load.record_end();
            queued[upstream].retain(|end| *end > now);
            let other_requests =
                load.record_report(at, u32::try_from(queued[upstream].len()).unwrap());
            typical[instance].record(at, other_requests);
            false
        });
        let instance = rng.random_range(0..INSTANCES);
        let home = rng.random_range(0..UPSTREAMS);
        let mean = if with_typical_load {
            typical[instance].get()
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
            loads[instance][*upstream]
                .ahead(URGENCY, at, mean)
                .backlog_ms
                + cost(*upstream)
        };
        let chosen = (0..UPSTREAMS)
            .min_by(|a, b| score(a).total_cmp(&score(b)))
            .unwrap();
        let cost = cost(chosen);
        let ahead = loads[instance][chosen].ahead(URGENCY, at, mean);
        loads[instance][chosen].record_sent(URGENCY, cost, ahead);
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
fn outdated_reports() {
    let before = late_fraction(false);
    let after = late_fraction(true);
    assert!(after < before * 0.5, "{before} late before, {after} after");
}
