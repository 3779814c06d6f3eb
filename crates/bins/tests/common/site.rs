//! A site of separate processes on the loopback interface.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Command, Output};
use std::time::Duration;

use http::Method;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};
use tempfile::TempDir;
use tokio::time::{Instant, sleep};

use super::http::{Answer, Http};
use super::process::Process;

/// Maximum time until a condition must hold.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Name of the site in the gateways' settings.
pub const SITE: &str = "test";

/// Base settings that every site publishes. The timeouts are short to keep fault tests fast.
pub const BASE: &str = r#"{
    "accounts": [{ "name": "shop", "share": 3 }, { "name": "studio", "share": 1 }],
    "models": [{ "name": "verse", "version": "1", "max_tokens": 4096 }],
    "routes": [
        { "path": "/orders", "methods": ["POST"], "service": "orders", "idempotent": false, "timeout_ms": 10000 },
        { "path": "/status", "methods": ["GET"], "service": "orders", "idempotent": true },
        { "path": "/hours", "methods": ["GET"], "service": "orders", "idempotent": true, "open": true }
    ],
    "upstreams": [],
    "limits": { "max_body_bytes": 1048576, "max_queued": 2000, "queue_deadline_ms": 20000, "progress_timeout_ms": 2000 },
    "usage": { "window_s": 5, "grace_s": 2 },
    "planner": { "enabled": false, "interval_s": 5, "horizon_s": 120 }
}"#;

/// An engine or service and its sidecar.
pub struct Upstream {
    pub instance: Instance,
    pub backend: Process,
    pub sidecar: Process,
}

/// All processes of a site.
pub struct Site {
    pub http: Http,
    pub gateways: Vec<(Instance, Process)>,
    pub engines: Vec<Upstream>,
    pub services: Vec<Upstream>,
    pub platform: Process,
    dir: TempDir,
}

impl Site {
    /// Starts a site, publishes [`BASE`] and waits until all gateways are ready and reach the
    /// upstreams.
    pub async fn start(gateways: usize, engines: usize, services: usize) -> Self {
        Self::start_with(gateways, engines, services, "{}").await
    }

    /// Like [`Site::start`], with `engine` as the configuration of the fake engines.
    pub async fn start_with(
        gateways: usize,
        engines: usize,
        services: usize,
        engine: &str,
    ) -> Self {
        let dir = tempfile::tempdir().unwrap();
        let log = dir.path().join("platform.log");
        let binary = env!("CARGO_BIN_EXE_nutmegbay-fake-platform");
        let platform = Process::start(binary, &["--listen", "127.0.0.1:0"], &log);
        let mut site = Self {
            http: Http::new(),
            gateways: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            platform,
            dir,
        };
        site.publish_base(BASE);
        for i in 0..engines {
            let upstream = site.start_engine(i, engine);
            site.engines.push(upstream);
        }
        for i in 0..services {
            let upstream = site.start_service(i);
            site.services.push(upstream);
        }
        for i in 0..gateways {
            let gateway = site.start_gateway(i);
            site.gateways.push(gateway);
        }
        site.list_instances().await;
        site.wait_ready().await;
        site.wait_upstreams().await;
        site
    }

    /// Waits until every gateway reaches engines and services. The instance list that gateways read
    /// lags behind the platform's.
    async fn wait_upstreams(&self) {
        let (_, token) = self.grant_everywhere("studio").await;
        for i in 0..self.gateways.len() {
            self.wait_until("the gateway reaches engines and services", async || {
                let addr = self.gateway(i);
                let engines = match self.engines.len() {
                    0 => true,
                    _ => self
                        .chat(i, &token, "ping", 1, false)
                        .await
                        .is_ok_and(|a| a.status == 200),
                };
                let services = match self.services.len() {
                    0 => true,
                    _ => self.http.get(addr, "/hours").await.status == 200,
                };
                engines && services
            })
            .await;
        }
    }

    /// Returns the address of the platform.
    pub fn platform(&self) -> SocketAddr {
        self.platform.addr("addr")
    }

    /// Returns the address at which gateway `i` receives requests.
    pub fn gateway(&self, i: usize) -> SocketAddr {
        self.gateways[i].1.addr("addr")
    }

    /// Runs `nutmegbay-ctl` with JSON output.
    pub fn ctl(&self, args: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_nutmegbay-ctl"))
            .args([
                "--platform",
                &self.platform().to_string(),
                "--author",
                "test",
                "--json",
            ])
            .args(args)
            .output()
            .unwrap()
    }

    /// Runs `nutmegbay-ctl`, which must succeed, and returns its JSON output.
    pub fn ctl_json(&self, args: &[&str]) -> serde_json::Value {
        let output = self.ctl(args);
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(output.status.success(), "{args:?}: {errors}");
        serde_json::from_slice(&output.stdout).unwrap()
    }

    /// Publishes base settings without waiting until the gateways apply them.
    pub fn publish_base(&self, text: &str) {
        let path = self.write("base.jsonc", text);
        self.ctl_json(&["publish", "base", path.to_str().unwrap(), "--wait", "0"]);
    }

    /// Grants a key to `account`. Returns the key's identifier and the bearer token.
    pub fn grant(&self, account: &str) -> (String, String) {
        let key = self.ctl_json(&["key", "grant", account, "--wait", "0"]);
        (
            key["key"].as_str().unwrap().to_owned(),
            key["token"].as_str().unwrap().to_owned(),
        )
    }

    /// Like [`Site::grant`], but waits until every gateway accepts the key.
    pub async fn grant_everywhere(&self, account: &str) -> (String, String) {
        let (key, token) = self.grant(account);
        for i in 0..self.gateways.len() {
            self.wait_until("the gateway accepts the key", async || {
                let bearer = format!("Bearer {token}");
                let headers = [("authorization", &*bearer)];
                let answer = self
                    .http
                    .call(Method::GET, self.gateway(i), "/v1/models", &headers, "")
                    .await;
                answer.is_ok_and(|a| a.status == 200)
            })
            .await;
        }
        (key, token)
    }

    /// Sends a chat completion request and reads the complete response.
    pub async fn chat(
        &self,
        gateway: usize,
        token: &str,
        prompt: &str,
        max_tokens: u32,
        stream: bool,
    ) -> Result<Answer, String> {
        let body = serde_json::json!({
            "model": "verse", "max_tokens": max_tokens, "stream": stream,
            "stream_options": { "include_usage": true },
            "messages": [{ "role": "user", "content": prompt }],
        });
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", &*bearer),
            ("content-type", "application/json"),
        ];
        let addr = self.gateway(gateway);
        self.http
            .call(
                Method::POST,
                addr,
                "/v1/chat/completions",
                &headers,
                body.to_string(),
            )
            .await
    }

    /// Sends the non-idempotent call `POST /orders` with an idempotency key.
    pub async fn place_order(
        &self,
        gateway: usize,
        token: &str,
        idempotency_key: &str,
        body: &str,
    ) -> Result<Answer, String> {
        let bearer = format!("Bearer {token}");
        let headers = [
            ("authorization", &*bearer),
            ("idempotency-key", idempotency_key),
            ("content-type", "application/json"),
        ];
        let addr = self.gateway(gateway);
        self.http
            .call(Method::POST, addr, "/orders", &headers, body.to_owned())
            .await
    }

    /// Returns the execution counts of each service, in total and by reference.
    pub async fn executions(&self) -> Vec<serde_json::Value> {
        let mut all = Vec::new();
        for service in &self.services {
            all.push(
                self.http
                    .get(service.backend.addr("addr"), "/executions")
                    .await
                    .json(),
            );
        }
        all
    }

    /// Waits until `condition` holds. Panics with `what` after [`CONDITION_TIMEOUT`].
    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        while !condition().await {
            assert!(
                Instant::now() < deadline,
                "timeout: {what}\n{}",
                self.logs()
            );
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends the list of all started instances to the platform.
    pub async fn list_instances(&self) {
        let upstreams = self
            .engines
            .iter()
            .chain(&self.services)
            .map(|u| u.instance.clone());
        let gateways = self.gateways.iter().map(|(instance, _)| instance.clone());
        let list = InstanceList {
            instances: upstreams.chain(gateways).collect(),
        };
        let list = serde_json::to_value(list).unwrap();
        let answer = self.http.put(self.platform(), "/instances", &list).await;
        assert!(answer.status.is_success(), "{}", answer.text());
    }

    /// Waits until every gateway is ready.
    pub async fn wait_ready(&self) {
        for (_, gateway) in &self.gateways {
            self.wait_until("the gateway is ready", async || {
                let answer = self
                    .http
                    .call(Method::GET, gateway.addr("admin"), "/ready", &[], "")
                    .await;
                answer.is_ok_and(|a| a.status == 200)
            })
            .await;
        }
    }

    /// Returns the last 20 log lines of each process, for the messages of failed tests.
    pub fn logs(&self) -> String {
        let entries = std::fs::read_dir(self.dir.path()).unwrap().flatten();
        let paths = entries.map(|entry| entry.path());
        let logs = paths.filter(|path| path.extension().is_some_and(|e| e == "log"));
        let tails: Vec<String> = logs
            .map(|path| {
                let log = std::fs::read_to_string(&path).unwrap_or_default();
                let lines: Vec<_> = log.lines().collect();
                let tail = lines[lines.len().saturating_sub(20)..].join("\n");
                format!("--- {}\n{tail}\n", path.display())
            })
            .collect();
        tails.concat()
    }

    /// Starts a gateway without adding it to the instance list.
    pub fn start_gateway(&self, i: usize) -> (Instance, Process) {
        let name = format!("gateway-{i}");
        let settings = format!(
            r#"{{ "instance": "{name}", "failure_domain": "fd-{domain}", "site": "{SITE}",
                "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "admin": "127.0.0.1:0",
                "platform": "http://{platform}", "linger_ms": 500 }}"#,
            domain = i % 3,
            platform = self.platform(),
        );
        let path = self.write(&format!("{name}.jsonc"), &settings);
        let log = self.dir.path().join(format!("{name}.log"));
        let binary = env!("CARGO_BIN_EXE_nutmegbay-gateway");
        let process = Process::start(binary, &["--settings", path.to_str().unwrap()], &log);
        let (data, control) = (process.addr("addr"), process.addr("control"));
        (
            instance(&name, InstanceKind::Gateway, "", i, data, control),
            process,
        )
    }

    /// Starts an engine and its sidecar without adding them to the instance list.
    pub fn start_engine(&self, i: usize, config: &str) -> Upstream {
        let binary = env!("CARGO_BIN_EXE_nutmegbay-fake-engine");
        self.start_upstream(
            &format!("engine-{i}"),
            InstanceKind::Engine,
            "verse",
            i,
            binary,
            config,
        )
    }

    /// Starts a service and its sidecar without adding them to the instance list.
    pub fn start_service(&self, i: usize) -> Upstream {
        let binary = env!("CARGO_BIN_EXE_nutmegbay-fake-service");
        self.start_upstream(
            &format!("orders-{i}"),
            InstanceKind::Service,
            "orders",
            i,
            binary,
            "{}",
        )
    }

    /// Starts a sidecar that listens at `listen` for the upstream at `addr`.
    pub fn start_sidecar(
        &self,
        name: &str,
        kind: InstanceKind,
        domain: usize,
        listen: SocketAddr,
        addr: SocketAddr,
    ) -> Process {
        let settings = format!(
            r#"{{ "instance": "{name}", "failure_domain": "fd-{domain}", "kind": "{kind}",
                "listen": "{listen}", "admin": "127.0.0.1:0", "upstream": "{addr}",
                "platform": "http://{platform}", "poll_ms": 50, "linger_ms": 200 }}"#,
            domain = domain % 3,
            platform = self.platform(),
        );
        let path = self.write(&format!("{name}.jsonc"), &settings);
        let log = self.dir.path().join(format!("{name}-sidecar.log"));
        let binary = env!("CARGO_BIN_EXE_nutmegbay-sidecar");
        Process::start(binary, &["--settings", path.to_str().unwrap()], &log)
    }

    fn start_upstream(
        &self,
        name: &str,
        kind: InstanceKind,
        serves: &str,
        i: usize,
        binary: &str,
        config: &str,
    ) -> Upstream {
        let log = self.dir.path().join(format!("{name}.log"));
        let backend = Process::start(binary, &["--config", config], &log);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let sidecar = self.start_sidecar(name, kind, i, any, backend.addr("addr"));
        let data = sidecar.addr("addr");
        Upstream {
            instance: instance(name, kind, serves, i, data, data),
            backend,
            sidecar,
        }
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).unwrap();
        path
    }
}

fn instance(
    name: &str,
    kind: InstanceKind,
    serves: &str,
    domain: usize,
    data: SocketAddr,
    control: SocketAddr,
) -> Instance {
    Instance {
        name: name.into(),
        kind,
        serves: serves.into(),
        failure_domain: format!("fd-{}", domain % 3).into(),
        data,
        control,
        state: InstanceState::Live,
    }
}
