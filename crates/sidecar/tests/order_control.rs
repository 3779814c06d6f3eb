//! Guards against orders of a former planner, repeated orders and concurrent orders.

mod common;

use common::TestSidecar;
use nutmegbay_core::ids::{Epoch, Incarnation, Offset, RecordId};
use nutmegbay_core::record::{
    Body, EngineRole, LeaseChange, LeaseClaim, LeaseRole, OrderCommand, Record, SCHEMA,
};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};
use nutmegbay_proto::control::{LogStatus, LogTail, OrderReply, SidecarControlClient};
use nutmegbay_proto::engine::EngineOrder;
use nutmegbay_proto::platform::LogEntry;
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

/// Returns consecutive records from offset `from` on, relayed by a gateway that has just read the
/// head.
fn tail(from: u64, bodies: Vec<Body>) -> LogTail {
    let entries: Vec<LogEntry> = (from..)
        .zip(bodies)
        .map(|(offset, body)| LogEntry {
            offset: Offset(offset),
            record: raw(offset.into(), body),
        })
        .collect();
    let next = entries.last().map_or(Offset(from), |e| e.offset.next());
    let fresh_ms = Some(0);
    LogTail {
        entries,
        log: LogStatus { next, fresh_ms },
    }
}

/// Sidecar with a fake engine.
struct Fixture {
    sidecar: TestSidecar,
    engine: FakeEngine,
}

impl Fixture {
    async fn start(cfg: EngineConfig) -> Self {
        let engine = FakeEngine::start(cfg).await.unwrap();
        let sidecar = TestSidecar::with_settings(common::settings("engine", engine.addr()));
        Self { sidecar, engine }
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
        self.sidecar.control().order(order).await.unwrap()
    }

    async fn relay(&self, tail: LogTail) -> LogStatus {
        self.sidecar.control().relay(tail).await.unwrap()
    }
}

/// Engine whose role changes take no time.
fn instant_role_change() -> EngineConfig {
    EngineConfig {
        role_change_ms: 0,
        ..EngineConfig::default()
    }
}

#[tokio::test]
async fn none_after_start() {
    let fixture = Fixture::start(instant_role_change()).await;
    let reply = fixture.order(1, 100).await;
    assert!(!reply.accepted, "{}", reply.note);
    fixture
        .relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    assert!(fixture.order(1, 100).await.accepted);
    assert_eq!(fixture.engine.seen().orders.len(), 1);
}

#[tokio::test]
async fn old_epoch() {
    let fixture = Fixture::start(instant_role_change()).await;
    fixture
        .relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    let next = fixture.relay(tail(102, vec![claim(Some(101))])).await.next;
    assert_eq!(next, Offset(103));
    let reply = fixture.order(1, 100).await;
    assert!(!reply.accepted, "{}", reply.note);
    assert!(fixture.order(2, 102).await.accepted);
    assert_eq!(fixture.engine.seen().orders[0].epoch, Epoch(102));
}

#[tokio::test]
async fn repeated_order() {
    let fixture = Fixture::start(instant_role_change()).await;
    fixture
        .relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    assert!(fixture.order(1, 100).await.accepted);
    assert!(fixture.order(2, 100).await.accepted);
    // The engine keeps only the last order, so the sidecar must recognise the earlier one.
    assert!(fixture.order(1, 100).await.accepted);
    assert_eq!(fixture.engine.seen().orders.len(), 2);
}

#[tokio::test]
async fn one_at_a_time() {
    let fixture = Fixture::start(EngineConfig {
        role_change_ms: 60_000,
        ..EngineConfig::default()
    })
    .await;
    fixture
        .relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    let (first, second) = tokio::join!(fixture.order(1, 100), fixture.order(2, 100));
    assert!(
        first.accepted != second.accepted,
        "both or neither of two concurrent orders were accepted"
    );
    assert_eq!(fixture.engine.seen().orders.len(), 1);
}

#[tokio::test]
async fn lease_read_from_platform() {
    let platform = FakePlatform::start(PlatformConfig::default())
        .await
        .unwrap();
    platform.append(vec![raw(1, claim(None)), raw(2, renew(0, 0))]);
    let engine = FakeEngine::start(instant_role_change()).await.unwrap();
    let mut settings = common::settings("engine", engine.addr());
    settings.platform = Some(format!("http://{}", platform.addr()).into());
    let sidecar = TestSidecar::with_settings(settings);
    let fixture = Fixture { sidecar, engine };
    while !fixture.order(1, 0).await.accepted {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn tail_without_gaps() {
    // A gateway that cannot reach the log must not receive records with a gap.
    let fixture = Fixture::start(instant_role_change()).await;
    let control = fixture.sidecar.control();
    fixture
        .relay(tail(100, vec![claim(Some(7)), renew(100, 100)]))
        .await;
    fixture
        .relay(tail(101, vec![renew(100, 100), renew(100, 101)]))
        .await;
    let offsets = |tail: LogTail| tail.entries.iter().map(|e| e.offset.0).collect::<Vec<_>>();
    assert_eq!(
        offsets(control.tail(Offset(101)).await.unwrap()),
        [101, 102]
    );
    assert_eq!(offsets(control.tail(Offset(99)).await.unwrap()), [0_u64; 0]);
    fixture.relay(tail(200, vec![renew(100, 102)])).await;
    assert_eq!(
        offsets(control.tail(Offset(101)).await.unwrap()),
        [0_u64; 0]
    );
    assert_eq!(offsets(control.tail(Offset(200)).await.unwrap()), [200]);
    let log = control.tail(Offset(200)).await.unwrap().log;
    assert_eq!(log.next, Offset(201));
}
