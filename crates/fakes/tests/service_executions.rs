//! Execution counts of the fake service. Guards against a count that misses an execution or counts
//! it twice; every test of at-most-once calls relies on it.

mod common;

use common::{HttpClient, json};
use http::StatusCode;
use nutmegbay_fakes::service::{Executed, Executions, FakeService, ServiceConfig, ServiceFaults};
use serde_json::json;

/// Starts a service with `faults`.
async fn service(faults: ServiceFaults) -> FakeService {
    let service = FakeService::start(ServiceConfig::default()).await.unwrap();
    service.set_faults(faults);
    service
}

#[tokio::test]
async fn counted_by_reference() {
    let (http, service) = (HttpClient::new(), service(ServiceFaults::default()).await);
    let order = json!({"reference": "r1", "cards": 3});
    for count in 1..=2 {
        let res = http.post(service.addr(), "/orders", &order).await.unwrap();
        assert_eq!(res.status(), StatusCode::CREATED);
        assert_eq!(json::<Executed>(res).await.executions, count);
    }
    let status: Executed = http.get(service.addr(), "/orders/r1").await;
    assert_eq!(status.executions, 2);
    let unknown = http
        .send(http::Method::GET, service.addr(), "/orders/r2", &())
        .await
        .unwrap();
    assert_eq!(unknown.status(), StatusCode::NOT_FOUND);
    http.post(service.addr(), "/orders", &json!({"cards": 4}))
        .await
        .unwrap();
    let seen: Executions = http.get(service.addr(), "/executions").await;
    assert_eq!(
        (seen.total, seen.by_reference["r1"], seen.by_reference.len()),
        (3, 2, 2)
    );
}

#[tokio::test]
async fn dropped_before_and_after() {
    let faults = ServiceFaults {
        drop_before: 1,
        drop_after: 1,
        ..ServiceFaults::default()
    };
    let (http, service) = (HttpClient::new(), service(faults).await);
    let order = json!({"reference": "r1"});
    http.post(service.addr(), "/orders", &order)
        .await
        .unwrap_err();
    let seen = service.executions();
    assert_eq!((seen.started, seen.total), (1, 0));
    http.post(service.addr(), "/orders", &order)
        .await
        .unwrap_err();
    assert_eq!(service.executions().total, 1);
    let res = http.post(service.addr(), "/orders", &order).await.unwrap();
    assert_eq!(json::<Executed>(res).await.executions, 2);
}

#[tokio::test]
async fn failed_before_and_after() {
    let faults = ServiceFaults {
        fail_before: 1,
        fail_after: 1,
        ..ServiceFaults::default()
    };
    let (http, service) = (HttpClient::new(), service(faults).await);
    for executed in [0, 1] {
        let res = http
            .post(service.addr(), "/orders", &json!({"reference": "r1"}))
            .await
            .unwrap();
        assert_eq!(res.status(), StatusCode::INTERNAL_SERVER_ERROR);
        assert_eq!(service.executions().total, executed);
    }
}

#[tokio::test]
async fn echoed_headers() {
    let (http, service) = (HttpClient::new(), service(ServiceFaults::default()).await);
    let path = "/orders?echo=headers&pad=5000";
    let res = http.post(service.addr(), path, &json!({})).await.unwrap();
    let executed: Executed = json(res).await;
    assert_eq!(
        executed.headers.unwrap()["content-type"],
        ["application/json"]
    );
    assert_eq!(executed.pad.unwrap().len(), 5_000);
    assert!(service.executions().header_names.contains("content-type"));
}
