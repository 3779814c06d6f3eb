//! Guards against orders from a former planner, repeated orders and two orders at once.

mod common;

use common::Rig;
use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{
    Body, EngineRole, LeaseChange, LeaseClaim, LeaseRole, OrderCommand, Record, SCHEMA,
};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};
use nutmegbay_proto::control::{LogStatus, OrderReply, SidecarControlClient, Tail};
use nutmegbay_proto::engine::EngineOrder;
use nutmegbay_proto::platform::Entry;
use serde_json::value::{RawValue, to_raw_value};

fn raw(id: u128, body: Body) -> Box<RawValue> {
    to_raw_value(&Record {
        id: RecordId(id),
        author: "g1".into(),
        at_ms: 0,
        schema: SCHEMA,
        body,
    })
    .unwrap()
}

fn claim(prev: Option<u64>) -> Body {
    Body::LeaseClaim(LeaseClaim {
        role: LeaseRole::Planner,
        holder: "g1".into(),
        incarnation: Incarnation(1),
        prev: prev.map(Offset),
        ttl_ms: 3_000,
    })
}

fn renew(epoch: u64, prev: u64) -> Body {
    Body::LeaseRenew(LeaseChange {
        role: LeaseRole::Planner,
        epoch: Epoch(epoch),
        prev: Offset(prev),
    })
}

/// Tail of a gateway that has just read the head.
fn tail(from: u64, bodies: Vec<Body>) -> Tail {
    let entries: Vec<Entry> = (from..)
        .zip(bodies)
        .map(|(offset, body)| Entry {
            offset: Offset(offset),
            record: raw(offset.into(), body),
        })
        .collect();
    let next = entries.last().map_or(Offset(from), |e| e.offset.next());
    let fresh_ms = Some(0);
    Tail {
        entries,
        log: LogStatus { next, fresh_ms },
    }
}

struct Site {
    rig: Rig,
    engine: FakeEngine,
}

impl Site {
    async fn start(cfg: EngineConfig) -> Self {
        let engine = FakeEngine::start(cfg).await.unwrap();
        let rig = Rig::with(common::settings("engine", engine.addr()));
        Self { rig, engine }
    }

    async fn order(&self, id: u128, epoch: u64) -> OrderReply {
        let order = EngineOrder {
            order: RecordId(id),
            epoch: Epoch(epoch),
            command: OrderCommand::SetRole {
                upstream: "w1".into(),
                role: EngineRole::Prefill,
            },
        };
        self.rig.control().order(order).await.unwrap()
    }

    async fn relay(&self, tail: Tail) -> LogStatus {
        self.rig.control().relay(tail).await.unwrap()
    }
}

fn quick() -> EngineConfig {
    EngineConfig {
        role_change_ms: 0,
        ..EngineConfig::default()
    }
}

#[tokio::test]
async fn none_after_start() {
    let site = Site::start(quick()).await;
    let reply = site.order(1, 100).await;
    assert!(!reply.accepted, "{}", reply.note);
    site.relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    assert!(site.order(1, 100).await.accepted);
    assert_eq!(site.engine.seen().orders.len(), 1);
}

#[tokio::test]
async fn old_epoch() {
    let site = Site::start(quick()).await;
    site.relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    let next = site.relay(tail(102, vec![claim(Some(101))])).await.next;
    assert_eq!(next, Offset(103));
    let reply = site.order(1, 100).await;
    assert!(!reply.accepted, "{}", reply.note);
    assert!(site.order(2, 102).await.accepted);
    assert_eq!(site.engine.seen().orders[0].epoch, Epoch(102));
}

#[tokio::test]
async fn repeated_order() {
    let site = Site::start(quick()).await;
    site.relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    assert!(site.order(1, 100).await.accepted);
    assert!(site.order(2, 100).await.accepted);
    // The engine remembers only the last order; the sidecar must know the earlier one.
    assert!(site.order(1, 100).await.accepted);
    assert_eq!(site.engine.seen().orders.len(), 2);
}

#[tokio::test]
async fn one_at_a_time() {
    let site = Site::start(EngineConfig {
        role_change_ms: 60_000,
        ..EngineConfig::default()
    })
    .await;
    site.relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    let (first, second) = tokio::join!(site.order(1, 100), site.order(2, 100));
    assert!(first.accepted != second.accepted, "two orders at once");
    assert_eq!(site.engine.seen().orders.len(), 1);
}

#[tokio::test]
async fn platform_log() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    platform.append(vec![raw(1, claim(None)), raw(2, renew(0, 0))]);
    let engine = FakeEngine::start(quick()).await.unwrap();
    let mut settings = common::settings("engine", engine.addr());
    settings.platform = Some(format!("http://{}", platform.addr()).into());
    let rig = Rig::with(settings);
    let site = Site { rig, engine };
    while !site.order(1, 0).await.accepted {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn tail_ring() {
    // A gateway that is cut off must not get a piece of the log with a gap.
    let site = Site::start(quick()).await;
    let control = site.rig.control();
    site.relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    site.relay(tail(101, vec![renew(100, 100), renew(100, 101)]))
        .await;
    let offsets = |tail: Tail| tail.entries.iter().map(|e| e.offset.0).collect::<Vec<_>>();
    assert_eq!(
        offsets(control.tail(Offset(101)).await.unwrap()),
        [101, 102]
    );
    assert_eq!(offsets(control.tail(Offset(99)).await.unwrap()), [0_u64; 0]);
    site.relay(tail(200, vec![renew(100, 102)])).await;
    assert_eq!(
        offsets(control.tail(Offset(101)).await.unwrap()),
        [0_u64; 0]
    );
    assert_eq!(offsets(control.tail(Offset(200)).await.unwrap()), [200]);
    let log = control.tail(Offset(200)).await.unwrap().log;
    assert_eq!(log.next, Offset(201));
}
