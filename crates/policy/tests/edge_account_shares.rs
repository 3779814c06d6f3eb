//! Guards against accounts that pay with refusals for what another account asks beyond its part.
#![allow(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "times and counts are small and not negative"
)]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_policy::edge::account_shares::{AccountShares, AccountTag, WorkReport};
use nutmegbay_policy::edge::admission::{
    AdmissionRequest, Decision, Share, decide, decide_in_short_room,
};
use nutmegbay_policy::edge::exchange::Scope;
use nutmegbay_policy::edge::urgency::{ByUrgency, Urgency};

/// Class of work that may wait.
const WAITING: Urgency = Urgency::of_rank(2);

/// Engine time of a request, in milliseconds.
const COST_MS: f64 = 20.0;

/// Engines, which together serve 500 such requests per second.
const ENGINES: f64 = 10.0;

/// Account that asks for more than its part.
const HOT: u32 = 0;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime(Duration::from_millis(ms))
}

#[derive(Debug, Clone, Copy)]
struct Request {
    account: u32,
    first_at: u64,
}

/// Instances that share the engines. The first one relays the reports of the others.
struct Replay {
    instances: Vec<AccountShares<usize>>,
    backlog_ms: f64,
    /// Requests that get their first result, with the time and the instance.
    done: VecDeque<(u64, usize)>,
    returning: BTreeMap<u64, Vec<Request>>,
    /// Attempts, refused attempts and first results, by account.
    counts: BTreeMap<u32, (u32, u32, u32)>,
    random: u64,
}

impl Replay {
    fn new(instances: usize) -> Self {
        Self {
            instances: (0..instances).map(|_| AccountShares::default()).collect(),
            backlog_ms: 0.0,
            done: VecDeque::new(),
            returning: BTreeMap::new(),
            counts: BTreeMap::new(),
            random: 1,
        }
    }

    fn random(&mut self) -> f64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        f64::from((self.random >> 33) as u32) / f64::from(u32::MAX >> 1)
    }

    /// Plays from `from` to `to`, in milliseconds, with the rate of each account per second.
    fn play(&mut self, from: u64, to: u64, rates: &[f64]) {
        for ms in from..to {
            self.backlog_ms = (self.backlog_ms - ENGINES).max(0.0);
            while let Some((_, instance)) = self.done.pop_front_if(|(due, _)| *due <= ms) {
                self.instances[instance].record_done(COST_MS, at(ms));
            }
            for request in self.returning.remove(&ms).unwrap_or_default() {
                self.arrive(request, ms);
            }
            let mut order: Vec<_> = (0..).zip(rates).collect();
            order.rotate_left((self.random() * rates.len() as f64) as usize % rates.len());
            for (account, rate) in order {
                if self.random() < rate / 1e3 {
                    let first_at = ms;
                    self.arrive(Request { account, first_at }, ms);
                }
            }
            if ms % 100 == 0 {
                self.exchange(ms);
            }
        }
    }

    fn arrive(&mut self, request: Request, ms: u64) {
        let instance = (self.random() * self.instances.len() as f64) as usize;
        let instance = instance.min(self.instances.len() - 1);
        let shares = &mut self.instances[instance];
        let tag = AccountTag(request.account);
        shares.record_asked(tag, WAITING, COST_MS, at(ms));
        let part = shares.part(tag, WAITING, at(ms));
        let share = if self.random() < part.fraction {
            Share::Within
        } else {
            Share::Beyond
        };
        let elapsed = ms - request.first_at;
        let first_result_ms = self.backlog_ms / ENGINES + COST_MS;
        let admission_request = AdmissionRequest {
            first_result_ms,
            cost_ms: COST_MS,
            objective: Duration::from_millis(400),
            elapsed: Duration::from_millis(elapsed),
            remaining: Duration::from_millis(2_000 - elapsed),
        };
        let jitter = self.random();
        let counts = self.counts.entry(request.account).or_default();
        counts.0 += 1;
        let decision = match part.level {
            Some(_) => decide_in_short_room(admission_request, share, jitter),
            None => decide(admission_request, jitter),
        };
        match decision {
            Decision::Admit => {
                counts.2 += 1;
                self.backlog_ms += COST_MS;
                self.done.push_back((ms + first_result_ms as u64, instance));
            }
            Decision::Refuse { retry_after } => {
                counts.1 += 1;
                if elapsed == 0 {
                    let due = ms + retry_after.as_millis().clamp(1, 660) as u64;
                    self.returning.entry(due).or_default().push(request);
                }
            }
        }
    }

    fn exchange(&mut self, ms: u64) {
        for follower in 1..self.instances.len() {
            let report = self.instances[follower].report(Scope::Own, at(ms));
            self.instances[0].record_report(follower, Scope::Own, report, at(ms));
        }
        let total = self.instances[0].report(Scope::Others, at(ms));
        for follower in &mut self.instances[1..] {
            follower.record_report(0, Scope::Others, total.clone(), at(ms));
        }
    }

    /// Returns the refused fraction of the attempts and the served work of `accounts`.
    fn outcome(&self, accounts: std::ops::Range<u32>) -> (f64, u32) {
        let counts = self.counts.range(accounts).map(|(_, counts)| *counts);
        let sum = counts.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
        (f64::from(sum.1) / f64::from(sum.0.max(1)), sum.2)
    }
}

/// Returns the rates of the hot account and of eighty small ones that leave it a fifth of the room.
fn rates(hot_factor: f64, small_factor: f64) -> Vec<f64> {
    let small = std::iter::repeat_n(5.0 * small_factor, 80);
    std::iter::once(100.0 * hot_factor).chain(small).collect()
}

/// One account asks for ten times its part, and refused callers come back once. With one limit for
/// all, the small accounts are refused as often as the hot one.
#[test]
fn hot_account() {
    let mut replay = Replay::new(20);
    replay.play(0, 1_000, &rates(1.0, 0.8));
    replay.counts.clear();
    replay.play(1_000, 5_000, &rates(10.0, 1.0));
    let (hot, hot_served) = replay.outcome(HOT..1);
    let (small, small_served) = replay.outcome(1..81);
    assert!(
        small < 0.5 * hot,
        "small accounts refused {small}, hot one {hot}"
    );
    assert!(small < 0.15, "small accounts refused {small}");
    assert!(
        hot_served >= 350,
        "hot account served {hot_served} of 400 in its part"
    );
    let served = hot_served + small_served;
    assert!(served >= 1_850, "{served} of 2,000 served");
}

/// All rates double within a tenth of a second. The level must not shut any account out, nor leave
/// engines idle.
#[test]
fn doubled_rates() {
    let mut replay = Replay::new(20);
    replay.play(0, 1_000, &rates(0.7, 0.7));
    replay.play(1_000, 1_100, &rates(1.0, 1.0));
    replay.counts.clear();
    replay.play(1_100, 4_100, &rates(1.4, 1.4));
    let (hot, _) = replay.outcome(HOT..1);
    let (small, _) = replay.outcome(1..81);
    let (_, served) = replay.outcome(0..81);
    assert!(
        hot >= small,
        "hot account refused {hot}, small ones {small}"
    );
    assert!(hot < 0.8, "hot account refused {hot}");
    assert!(served >= 1_400, "{served} of 1,500 served");
}

/// Returns a report in which account 0 asks for `hot` and twenty others for 10 each, and which got
/// `done`.
fn report(hot: u32, done: u32) -> WorkReport {
    let mut report = WorkReport {
        instances: 10,
        done,
        ..WorkReport::default()
    };
    report.asked[WAITING] = hot + 200;
    let small = (1..21).map(|account| (AccountTag(account), 10));
    report.heavy[WAITING] = std::iter::once((AccountTag(HOT), hot))
        .chain(small)
        .collect();
    report
}

/// An instance that hears nobody must not count every account as beyond its part, nor none.
#[test]
fn hears_nobody() {
    let mut replay = Replay::new(1);
    replay.play(0, 2_000, &rates(10.0, 1.0));
    let (hot, _) = replay.outcome(HOT..1);
    let (small, _) = replay.outcome(1..81);
    assert!(
        small < 0.5 * hot,
        "small accounts refused {small}, hot one {hot}"
    );
}

/// An instance that starts in the burst has asked for nothing yet. It takes over the level of the
/// others with their first report.
#[test]
fn starts_in_burst() {
    let mut shares = AccountShares::<u32>::default();
    let hot = AccountTag(HOT);
    shares.record_asked(hot, WAITING, COST_MS, at(0));
    shares.record_report(1, Scope::Others, report(1_000, 400), at(10));
    let part = shares.part(hot, WAITING, at(120));
    assert!((part.fraction - 0.2).abs() < 0.01, "{part:?}");
    assert!(shares.part(AccountTag(3), WAITING, at(120)).fraction >= 1.0);
    assert_eq!(part.instances, 10);
}

/// After its clock stood still, an instance must not limit accounts by figures from before.
#[test]
fn clock_stood_still() {
    let mut shares = AccountShares::<u32>::default();
    let hot = AccountTag(HOT);
    shares.record_report(1, Scope::Others, report(1_000, 400), at(10));
    assert!(shares.part(hot, WAITING, at(120)).fraction < 1.0);
    let part = shares.part(hot, WAITING, at(2_500));
    assert!(part.fraction >= 1.0, "{part:?}");
    shares.record_asked(hot, WAITING, COST_MS, at(2_500));
    let told = shares.report(Scope::Own, at(8_000));
    assert_eq!(
        told.asked,
        ByUrgency::default(),
        "outdated work was told to others"
    );
}

/// Work of more urgent classes is served first: it is not limited by what waits, and takes room from
/// it.
#[test]
fn urgent_first() {
    let urgent = Urgency::of_rank(0);
    let mut shares = AccountShares::<u32>::default();
    let mut told = report(200, 390);
    told.asked[urgent] = 190;
    told.heavy[urgent] = vec![(AccountTag(HOT), 190)];
    shares.record_report(1, Scope::Others, told, at(0));
    assert!(shares.part(AccountTag(HOT), urgent, at(1)).fraction >= 1.0);
    let waiting = shares.part(AccountTag(HOT), WAITING, at(1));
    assert!(
        (waiting.fraction - 0.25).abs() < 0.01,
        "floor of half of the mean: {waiting:?}"
    );
}

/// Thousands of accounts must not make reports grow, and a relay must count each instance once.
#[test]
fn bounded_reports() {
    let mut replay = Replay::new(5);
    for (account, instance) in (0..10_000).zip((0..5).cycle()) {
        let shares = &mut replay.instances[instance];
        shares.record_asked(AccountTag(account), WAITING, f64::from(account), at(0));
    }
    replay.exchange(0);
    replay.exchange(100);
    let total = replay.instances[0].report(Scope::Others, at(100));
    assert_eq!(total.instances, 5);
    assert_eq!(total.heavy[WAITING].len(), 32);
    assert_eq!(
        replay.instances[1].report(Scope::Own, at(100)).heavy[WAITING].len(),
        16
    );
}
