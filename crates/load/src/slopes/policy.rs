//! Costs of the gateway's decisions and messages, and of the planner.

use std::collections::BTreeMap;
use std::time::Duration;

use nutmegbay_core::environment::MonotonicTime;
use nutmegbay_core::record::EngineRole;
use nutmegbay_policy::cost::CostModel;
use nutmegbay_policy::fleet::{Fleet, LoadReport};
use nutmegbay_policy::plan::{Demand, EngineView, Engines, PlanSettings, Planner, RolePlanner};
use nutmegbay_policy::queue::{FairQueue, Queue, Ticket};
use nutmegbay_policy::route::{LoadRouter, LoadRouterSettings, RouteRequest, Router};
use nutmegbay_policy::{AccountKey, UpstreamKey};
use nutmegbay_proto::control::Gossip;
use nutmegbay_proto::engine::{CacheEvent, CacheEvents, Load};
use serde::Serialize;
use slotmap::SlotMap;

use super::{Slope, measure_us};

/// Numbers of upstreams, from the size of one site today to the size expected in two years.
const UPSTREAM_COUNTS: [u16; 6] = [10, 50, 100, 200, 400, 600];

/// Numbers of client accounts.
const ACCOUNT_COUNTS: [u32; 6] = [8, 50, 200, 500, 1_000, 2_000];

pub fn slopes(seed: u64) -> Vec<Slope> {
    let mut slopes = vec![
        router_choice(seed),
        queue_push_and_pop(),
        planner_evaluation(),
    ];
    slopes.extend(message_sizes());
    slopes
}

/// Returns a fleet of loaded engines with all roles and seven failure domains.
fn fleet(size: u16) -> Fleet {
    let mut fleet = Fleet::default();
    for index in 0..size {
        let role = [EngineRole::Mixed, EngineRole::Prefill, EngineRole::Decode];
        let role = role[usize::from(index) % 3];
        let key = fleet.add(index % 7, role, MonotonicTime::default());
        if let Some(up) = fleet.get_mut(key) {
            let report = LoadReport {
                running: 20,
                prefill_tokens: 4_000,
                decode_tokens: 2_000,
                role,
                ..LoadReport::default()
            };
            up.apply_report(report, MonotonicTime::default());
            up.prefix_blocks_mut()
                .add_expected(&[u64::from(index), 7, 8]);
        }
    }
    fleet
}

fn router_choice(seed: u64) -> Slope {
    let cost = CostModel::new(1e-4, 0.012, 2.5e-4);
    let points = UPSTREAM_COUNTS.iter().map(|&size| {
        let fleet = fleet(size);
        let mut router = LoadRouter::new(seed, LoadRouterSettings::default());
        let route_request = RouteRequest {
            prompt_tokens: 9_000,
            output_tokens: 100,
            prefix_blocks: &[3, 7, 8, 9],
            block_tokens: 2_048,
            domain: 1,
            exclude: &[],
        };
        let now = MonotonicTime(Duration::from_millis(500));
        let time_us = measure_us(|| {
            std::hint::black_box(router.route(&route_request, &fleet, &cost, now));
        });
        (f64::from(size), time_us)
    });
    Slope::fit("router choice", "upstream", "us", points.collect())
}

fn queue_push_and_pop() -> Slope {
    let points = ACCOUNT_COUNTS.iter().map(|&size| {
        let mut arena = SlotMap::<AccountKey, ()>::with_key();
        let accounts: Vec<_> = (0..size).map(|_| arena.insert(())).collect();
        let mut queue = FairQueue::default();
        queue.set_rate(1e9);
        let now = MonotonicTime::default();
        let ticket = |account| Ticket {
            account,
            cost: 0.5,
            priority: 0,
            deadline: MonotonicTime(Duration::from_hours(1)),
            item: 0_u32,
        };
        for &account in &accounts {
            queue.set_share(account, 1.0);
            let _ = queue.push(ticket(account), now);
        }
        let mut next = 0;
        let time_us = measure_us(|| {
            next = (next + 1) % accounts.len();
            let _ = queue.push(ticket(accounts[next]), now);
            std::hint::black_box(queue.pop(now));
        });
        (f64::from(size), time_us)
    });
    Slope::fit(
        "fair queue, one in and one out",
        "account",
        "us",
        points.collect(),
    )
}

fn planner_evaluation() -> Slope {
    let settings = PlanSettings {
        interval: Duration::ZERO,
        max_upstreams: 0,
        min_upstreams: usize::MAX,
        ..PlanSettings::default()
    };
    let points = UPSTREAM_COUNTS.iter().map(|&size| {
        let mut arena = SlotMap::<UpstreamKey, ()>::with_key();
        let engines: Engines = (0..size)
            .map(|index| {
                let view = EngineView {
                    domain: index % 7,
                    role: EngineRole::Mixed,
                    version: 0,
                    available: true,
                    report_age: Duration::ZERO,
                    backlog: 1.0,
                };
                (arena.insert(()), view)
            })
            .collect();
        let demand = Demand {
            prefill: f64::from(size) * 0.38,
            decode: f64::from(size) * 0.4,
        };
        let time_us = measure_us(|| {
            let mut planner = RolePlanner::new(settings);
            planner.observe(demand, MonotonicTime::default());
            std::hint::black_box(planner.plan(&engines, MonotonicTime(Duration::from_mins(1))));
        });
        (f64::from(size), time_us)
    });
    Slope::fit("planner evaluation", "engine", "us", points.collect())
}

fn message_sizes() -> Vec<Slope> {
    let gossip = |accounts: u32, upstreams: u16| Gossip {
        instance: "gateway-001".into(),
        served: (0..accounts)
            .map(|account| (format!("account-{account:04}").into(), 1_234))
            .collect::<BTreeMap<Box<str>, u64>>(),
        dispatched: (0..upstreams)
            .map(|upstream| (format!("engine-{upstream:03}").into(), 1_234))
            .collect(),
        ..Gossip::default()
    };
    let by_account = ACCOUNT_COUNTS
        .iter()
        .map(|&n| (f64::from(n), json_bytes(&gossip(n, 0))));
    let by_upstream = UPSTREAM_COUNTS
        .iter()
        .map(|&n| (f64::from(n), json_bytes(&gossip(0, n))));
    let load = Load {
        age_ms: 300,
        running: 40,
        waiting: 3,
        prefill_tokens: 123_456,
        decode_tokens: 4_567,
        cache_used: 0.93,
        role: EngineRole::Mixed,
        models: vec!["verse@2026-11".into()],
    };
    let reports = UPSTREAM_COUNTS
        .iter()
        .map(|&n| (f64::from(n), f64::from(n) * json_bytes(&load)));
    let events = [0_u16, 10, 50, 100, 200, 400].map(|n| {
        let events = CacheEvents {
            next: 1_000_000,
            events: (0..u64::from(n))
                .map(|seq| CacheEvent {
                    seq: 1_000_000 + seq,
                    block: 0x1234_5678_9abc_def0,
                    stored: true,
                })
                .collect(),
        };
        (f64::from(n), json_bytes(&events))
    });
    vec![
        Slope::fit("gossip message", "account", "bytes", by_account.collect()),
        Slope::fit("gossip message", "upstream", "bytes", by_upstream.collect()),
        Slope::fit(
            "one load report of each upstream",
            "upstream",
            "bytes",
            reports.collect(),
        ),
        Slope::fit("cache events", "event", "bytes", events.to_vec()),
    ]
}

/// Returns the number of bytes of a message as JSON.
fn json_bytes(value: &impl Serialize) -> f64 {
    serde_json::to_string(value).map_or(0.0, |text| text.len() as f64)
}
