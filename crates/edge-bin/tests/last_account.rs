//! Guards against a configuration that opens all routes because it has no account that can be read.

mod common;

use common::{Site, config};
use serde_json::{Value, json};

/// Publishes the list of accounts and waits until the former key is refused. Returns the status of an
/// order with a key that never existed, and of one without a key.
async fn publish(site: &Site, version: u64, accounts: Value) -> [u16; 2] {
    let mut config = config(version, &["k1"]);
    config["tenants"] = accounts;
    site.store.put("keyed.op", "config", &config);
    site.wait_until("the configuration is in force", async || {
        site.edge().metric("nutmegbay_config_version ").await == version
    })
    .await;
    let unknown = site.call("POST", "/once/1", &[("X-Api-Key", "never")]);
    let without = site.call("POST", "/once/1", &[("X-Api-Key", "")]);
    [unknown.await.status, without.await.status]
}

/// The last account is taken away, or none of them can be read.
#[tokio::test(flavor = "multi_thread")]
async fn no_account() {
    let site = Site::start(1, 1).await;
    let lists = [
        json!([]),
        json!([{"name": 7, "keys": ["k1"]}]),
        json!([null, 3, "acme"]),
        json!({"acme": ["k1"]}),
        json!("acme"),
        json!(null),
    ];
    for (version, accounts) in (2..).zip(lists) {
        let statuses = publish(&site, version, accounts.clone()).await;
        assert_eq!(statuses, [401, 401], "{accounts}");
        assert_eq!(site.call("POST", "/once/1", &[]).await.status, 401);
    }
    assert_eq!(site.runs(), 0);
}

/// A configuration without the list requires no keys.
#[tokio::test(flavor = "multi_thread")]
async fn no_list() {
    let site = Site::start(2, 1).await;
    let mut open = config(2, &[]);
    open.as_object_mut().unwrap().remove("tenants");
    site.store.put("keyed.op", "config", &open);
    site.wait_until("no key is required", async || {
        let unknown = [("X-Api-Key", "never")];
        site.call("POST", "/once/1", &unknown).await.status == 200
    })
    .await;
}
