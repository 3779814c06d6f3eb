//! Tests that no request runs on the wrong route, for the wrong account, or without a required key.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use assert_matches::assert_matches;
use nutmegbay_edge::model::{Account, DeploymentConfig, RequestKind, Route, RouteTarget, Service};
use nutmegbay_edge::{RouteError, RouteTable};

fn route(name: &str, prefix: &str, allows_anonymous: bool) -> Rc<Route> {
    let target = |service: &str, weight| RouteTarget {
        service: service.into(),
        weight,
    };
    Rc::new(Route {
        name: name.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: RequestKind::Idempotent,
        targets: vec![target("a", 9), target("b", 1)],
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        event_gap: None,
        attempts: 2,
        priority: 0,
        allows_anonymous,
        is_resumable: false,
    })
}

fn service(name: &str) -> (Box<str>, Rc<Service>) {
    let service = Service {
        name: name.into(),
        engine: None,
        scale: None,
    };
    (name.into(), Rc::new(service))
}

fn table() -> RouteTable {
    RouteTable::new(DeploymentConfig {
        version: 1,
        routes: vec![
            route("root", "/", true),
            route("orders", "/orders/", false),
            route("old", "/orders/old/", false),
        ],
        services: BTreeMap::from([service("a"), service("b")]),
        requires_keys: true,
        accounts: vec![Rc::new(Account {
            name: "acme".into(),
            keys: vec!["k1".into()],
            priority: None,
            quota: None,
        })],
        ..DeploymentConfig::default()
    })
}

#[test]
fn longest_prefix() {
    let table = table();
    let name = |path| {
        table
            .route("shop.example:80", path)
            .map(|route| route.name.clone())
    };
    assert_eq!(name("/orders/old/1").as_deref(), Some("old"));
    assert_eq!(name("/orders/new/1").as_deref(), Some("orders"));
    assert_eq!(name("/ordersnew").as_deref(), Some("root"));
    assert_eq!(table.route("other.example", "/orders/1"), None);
    assert_matches!(table.route("SHOP.example", "/orders/1"), Some(_));
}

#[test]
fn keys() {
    let table = table();
    let route = table.route("shop.example", "/orders/1").unwrap();
    let account = |key| {
        table
            .account(route, key)
            .map(|account| account.unwrap().name.clone())
    };
    assert_eq!(account(Some("k1")).as_deref(), Ok("acme"));
    assert_eq!(account(Some("k2")), Err(RouteError::BadKey));
    assert_eq!(account(None), Err(RouteError::NoKey));
    let open = table.route("shop.example", "/x").unwrap();
    assert_eq!(table.account(open, None), Ok(None));
}

#[test]
fn split_weights() {
    let table = table();
    let route = table.route("shop.example", "/x").unwrap();
    let service = |unit| table.service(route, unit).unwrap().name.clone();
    assert_eq!(&*service(0.0), "a");
    assert_eq!(&*service(0.89), "a");
    assert_eq!(&*service(0.91), "b");
    assert_eq!(&*service(1.0), "b");
}
