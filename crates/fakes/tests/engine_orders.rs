//! Orders to the engine. Guards against a fake that accepts a lower fencing number, a second order
//! while one runs, or a repeat: tests could then not tell the sidecar's checks from the engine's.

mod common;

use std::net::SocketAddr;

use common::{HttpClient, generate, json};
use http::StatusCode;
use nutmegbay_core::ids::{Epoch, RecordId};
use nutmegbay_core::record::{EngineRole, OrderCommand};
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_proto::engine::{EngineOrder, OrderState};

fn set_role(order: u128, epoch: u64, role: EngineRole) -> EngineOrder {
    let command = OrderCommand::SetRole {
        upstream: "e1".into(),
        role,
    };
    EngineOrder {
        order: RecordId(order),
        epoch: Epoch(epoch),
        command,
    }
}

async fn send_order(addr: SocketAddr, order: &EngineOrder) -> (StatusCode, OrderState) {
    let res = HttpClient::new().post(addr, "/order", order).await.unwrap();
    (res.status(), json(res).await)
}

fn instant_orders() -> EngineConfig {
    EngineConfig {
        role_change_ms: 0,
        load_model_ms: 0,
        ..EngineConfig::instant()
    }
}

#[tokio::test]
async fn lower_fencing_number_refused() {
    let engine = FakeEngine::start(instant_orders()).await.unwrap();
    assert_eq!(
        send_order(engine.addr(), &set_role(1, 8, EngineRole::Prefill))
            .await
            .0,
        200
    );
    let (status, state) = send_order(engine.addr(), &set_role(2, 7, EngineRole::Decode)).await;
    assert_eq!(
        (status, state.epoch),
        (StatusCode::CONFLICT, Some(Epoch(8)))
    );
    assert_eq!(
        send_order(engine.addr(), &set_role(3, 8, EngineRole::Mixed))
            .await
            .0,
        200
    );
    let seen = engine.seen();
    assert_eq!((seen.orders.len(), seen.fenced_orders), (2, 1));
}

#[tokio::test]
async fn fencing_number_ignored() {
    let cfg = EngineConfig {
        checks_fencing: false,
        ..instant_orders()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    assert_eq!(
        send_order(engine.addr(), &set_role(1, 8, EngineRole::Prefill))
            .await
            .0,
        200
    );
    let (status, state) = send_order(engine.addr(), &set_role(2, 7, EngineRole::Decode)).await;
    assert_eq!((status, state.epoch), (StatusCode::OK, None));
    let state: OrderState = HttpClient::new().get(engine.addr(), "/order").await;
    assert_eq!(
        (state.role, state.completed),
        (EngineRole::Decode, Some(RecordId(2)))
    );
}

#[tokio::test]
async fn second_order_while_busy() {
    let cfg = EngineConfig {
        role_change_ms: 3_600_000,
        ..EngineConfig::instant()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    let order = set_role(1, 1, EngineRole::Prefill);
    assert_eq!(
        send_order(engine.addr(), &order).await.1.running,
        Some(RecordId(1))
    );
    assert_eq!(send_order(engine.addr(), &order).await.0, 200);
    let (status, state) = send_order(engine.addr(), &set_role(2, 1, EngineRole::Decode)).await;
    assert_eq!(
        (status, state.running),
        (StatusCode::CONFLICT, Some(RecordId(1)))
    );
    assert_eq!(engine.seen().orders.len(), 1);
    let res = HttpClient::new()
        .post(engine.addr(), "/generate", &generate(1, "why", 5))
        .await
        .unwrap();
    assert_eq!(res.status(), StatusCode::SERVICE_UNAVAILABLE);
}

#[tokio::test]
async fn model_serves_after_load() {
    let cfg = EngineConfig {
        models: vec!["m@1".into()],
        ..instant_orders()
    };
    let engine = FakeEngine::start(cfg).await.unwrap();
    let load = |model: &str, version: &str, order| EngineOrder {
        order: RecordId(order),
        epoch: Epoch(1),
        command: OrderCommand::LoadModel {
            upstream: "e1".into(),
            model: model.into(),
            version: version.into(),
        },
    };
    let mut request = generate(1, "why", 5);
    request.model = "n".into();
    let res = HttpClient::new()
        .post(engine.addr(), "/generate", &request)
        .await
        .unwrap();
    assert_eq!(res.status(), StatusCode::NOT_FOUND);
    send_order(engine.addr(), &load("m", "2", 1)).await;
    send_order(engine.addr(), &load("n", "1", 2)).await;
    assert_eq!(
        HttpClient::new()
            .generate(engine.addr(), &request)
            .await
            .collect_frames()
            .await
            .len(),
        6
    );
    let load: nutmegbay_proto::engine::Load = HttpClient::new().get(engine.addr(), "/load").await;
    assert_eq!(load.models, ["m@2".into(), "n@1".into()]);
}
