//! Gateway under test with fake platform, sidecars and callers, which the tests control step by
//! step.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

pub mod caller;
pub mod platform;
pub mod real_sidecar;
pub mod scripted_sidecar;

use std::net::SocketAddr;
use std::time::Duration;

use jsonrpsee::http_client::HttpClient;
use nutmegbay_core::record::Body;
use nutmegbay_gateway::settings::GatewaySettings;
use nutmegbay_gateway::{RunError, bind};
use nutmegbay_proto::control::{GatewayControlClient, GatewayStatus};
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceState};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use caller::Caller;
use platform::InMemoryPlatform;
use scripted_sidecar::ScriptedSidecar;

/// Valid key of client account `acme`.
pub const KEY: &str = "nb_k1_s3cret";

/// Maximum time for any step of a test.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(20);

/// Returns the base configuration of the tests.
pub fn base() -> serde_json::Value {
    serde_json::json!({
        "accounts": [{ "name": "acme", "share": 1 }, { "name": "other", "share": 1 }],
        "models": [{ "name": "verse", "version": "1", "max_tokens": 1000 }],
        "routes": [
            { "path": "/orders", "methods": ["GET"], "service": "orders", "idempotent": true,
              "timeout_ms": 2000 },
            { "path": "/place", "methods": ["POST"], "service": "orders", "idempotent": false,
              "timeout_ms": 2000 },
            { "path": "/hours", "methods": ["GET"], "service": "orders", "idempotent": true,
              "open": true }
        ],
        "upstreams": [],
        "limits": { "max_body_bytes": 65536, "max_queued": 100, "queue_deadline_ms": 1000,
                    "progress_timeout_ms": 1000 },
        "usage": { "window_s": 60, "grace_s": 10 },
        "planner": { "enabled": false, "interval_s": 5, "horizon_s": 60 }
    })
}

/// A running gateway and the platform that it uses.
pub struct TestGateway {
    pub platform: InMemoryPlatform,
    pub listen: SocketAddr,
    pub admin: SocketAddr,
    pub control: SocketAddr,
    pub stop: CancellationToken,
    pub done: JoinHandle<Result<(), error_stack::Report<RunError>>>,
}

impl TestGateway {
    /// Starts a gateway in front of `sidecars` and waits until it is ready.
    pub async fn start(sidecars: &[&ScriptedSidecar]) -> Self {
        Self::start_listing(sidecars.iter().map(|s| s.instance()).collect()).await
    }

    /// Starts a gateway in front of instances and waits until it is ready.
    pub async fn start_listing(instances: Vec<Instance>) -> Self {
        let platform = InMemoryPlatform::start().await;
        platform.publish_base(&base());
        platform.grant("k1", "acme", "s3cret");
        platform.grant("k2", "other", "s3cret2");
        for instance in instances {
            platform.list_instance(instance);
        }
        let gateway = Self::start_with(platform, "gw1").await;
        gateway.wait_until_ready().await;
        gateway
    }

    /// Starts a gateway without waiting until it is ready.
    pub async fn start_with(platform: InMemoryPlatform, name: &str) -> Self {
        let text = format!(
            r#"{{ // test
                "instance": "{name}", "failure_domain": "a", "site": "test",
                "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "admin": "127.0.0.1:0",
                "platform": "http://{}", "linger_ms": 100 }}"#,
            platform.addr
        );
        let settings = GatewaySettings::parse("test", &text).expect("settings");
        let _ = nutmegbay_telemetry::log::init(None);
        let bound = bind(settings).await.expect("addresses");
        let stop = CancellationToken::new();
        let (listen, admin) = (bound.listen().expect("address"), bound.admin());
        let control = bound.control().expect("address");
        let done = tokio::spawn(bound.serve(stop.clone()));
        Self {
            platform,
            listen,
            admin,
            control,
            stop,
            done,
        }
    }

    pub async fn wait_until_ready(&self) {
        let admin = Caller::new(self.admin);
        wait_until(async || admin.get("/ready", None).await.status == 200).await;
    }

    /// Returns a client of the control interface.
    pub fn control(&self) -> HttpClient {
        let url = format!("http://{}", self.control);
        HttpClient::builder().build(url).expect("client")
    }

    pub async fn status(&self) -> GatewayStatus {
        let client = self.control();
        GatewayControlClient::status(&client).await.expect("status")
    }

    /// Returns the entry of this gateway for the instance list.
    pub fn instance(&self, name: &str) -> Instance {
        let mut instance = instance(name, InstanceKind::Gateway, "", self.listen);
        instance.control = self.control;
        instance
    }

    /// Stops the gateway and waits for its end.
    pub async fn stop(self) {
        self.stop.cancel();
        let done = tokio::time::timeout(STEP_TIMEOUT, self.done).await;
        let result = done
            .expect("the gateway did not stop in time")
            .expect("the gateway panicked");
        assert!(result.is_ok());
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.listen)
    }
}

/// Polls until `check` returns true.
pub async fn wait_until(check: impl AsyncFn() -> bool) {
    wait_until_within(STEP_TIMEOUT, check).await;
}

/// Polls for at most `limit` until `check` returns true.
pub async fn wait_until_within(limit: Duration, check: impl AsyncFn() -> bool) {
    let polling = async {
        while !check().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(limit, polling)
        .await
        .expect("the condition did not become true in time");
}

/// Returns an entry of the instance list.
pub fn instance(name: &str, kind: InstanceKind, serves: &str, addr: SocketAddr) -> Instance {
    Instance {
        name: name.into(),
        kind,
        serves: serves.into(),
        failure_domain: "a".into(),
        data: addr,
        control: addr,
        state: InstanceState::Live,
    }
}

/// Returns the record body of a key grant.
pub fn grant(key: &str, account: &str, secret: &str) -> Body {
    use sha2::{Digest, Sha256};
    let digest = Sha256::digest(secret.as_bytes());
    let hex: Vec<String> = digest.iter().map(|b| format!("{b:02x}")).collect();
    Body::KeyGrant(nutmegbay_core::record::KeyGrant {
        key: key.into(),
        account: account.into(),
        secret_sha256: hex.concat().into(),
    })
}
