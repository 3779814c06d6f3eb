//! All parts of a site in this process.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use nutmegbay_backplane::{ClientSettings, PlatformClient};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::record::ConfigScope;
use nutmegbay_ctl::OperatorClient;
use nutmegbay_fakes::engine::{EngineConfig, FakeEngine};
use nutmegbay_fakes::platform::{FakePlatform, PlatformConfig};
use nutmegbay_fakes::service::{FakeService, ServiceConfig};
use nutmegbay_gateway::settings::GatewaySettings;
use nutmegbay_proto::platform::{Instance, InstanceKind, InstanceList, InstanceState};
use nutmegbay_settings::Source;
use nutmegbay_sidecar::Sidecar;
use serde_json::json;
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::error::DemoError;
use crate::texts::{Scope, Texts};

/// Gateways.
pub const GATEWAYS: usize = 2;

/// Engines, each in its own failure domain.
pub const ENGINES: usize = 3;

/// Instances of the plain service.
pub const SERVICES: usize = 2;

/// Failure domains.
const DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];

/// Longest wait for a state of the system.
const WAIT: Duration = Duration::from_secs(20);

/// Pause between two looks at a state.
const POLL: Duration = Duration::from_millis(10);

/// A process of ours. It has its own runtime, so that a kill ends all its tasks and connections.
#[derive(Debug)]
pub struct Running {
    stop: CancellationToken,
    task: JoinHandle<Result<(), String>>,
    /// None once it is shut down. A runtime must not be dropped by a task of another one.
    runtime: Option<Runtime>,
}

impl Running {
    fn spawn<F, E>(runtime: Runtime, serve: impl FnOnce(CancellationToken) -> F) -> Self
    where
        F: Future<Output = Result<(), E>> + Send + 'static,
        E: std::fmt::Debug,
    {
        let stop = CancellationToken::new();
        let serve = serve(stop.clone());
        let task = runtime.spawn(async { serve.await.map_err(|e| format!("{e:?}")) });
        Self {
            stop,
            task,
            runtime: Some(runtime),
        }
    }

    /// Planned stop: finishes what is in flight. Returns an error if it failed or took too long.
    pub async fn stop(mut self) -> Result<(), String> {
        self.stop.cancel();
        match timeout(WAIT, &mut self.task).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the planned stop took too long".to_owned()),
        }
    }

    /// Ends it at once.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A gateway.
#[derive(Debug)]
pub struct GatewayNode {
    /// Name.
    pub name: Box<str>,
    /// Address for callers.
    pub addr: SocketAddr,
    /// Its task.
    pub running: Option<Running>,
}

/// An upstream with the sidecar beside it.
#[derive(Debug)]
pub struct Node<U> {
    /// Entry in the instance list.
    pub instance: Instance,
    /// Upstream.
    pub upstream: U,
    /// Task of the sidecar.
    pub sidecar: Option<Running>,
}

/// A site.
pub struct Site {
    /// Platform.
    pub platform: FakePlatform,
    /// Gateways.
    pub gateways: Vec<GatewayNode>,
    /// Engines.
    pub engines: Vec<Node<FakeEngine>>,
    /// Instances of the plain service.
    pub services: Vec<Node<FakeService>>,
    /// Operator's view of the log.
    pub operator: OperatorClient<PlatformClient>,
    /// What is exercised of the settings.
    pub scope: Scope,
    /// Published texts.
    pub texts: Texts,
}

impl Site {
    /// Starts everything, publishes `texts` and waits until all gateways are ready.
    pub async fn start(texts: Texts) -> Result<Self, Report<DemoError>> {
        let scope = Scope::of(&texts.settings()?)?;
        let platform = FakePlatform::start(PlatformConfig::default())
            .await
            .map_err(start)?;
        let client = PlatformClient::new(ClientSettings::new(platform.addr(), "operator"));
        let mut site = Self {
            gateways: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            operator: OperatorClient::new(client, "demo"),
            platform,
            scope,
            texts,
        };
        for index in 0..ENGINES {
            site.start_engine(index).await?;
        }
        for index in 0..SERVICES {
            site.start_service(index).await?;
        }
        let mut instances = Vec::new();
        for index in 0..GATEWAYS {
            instances.push(site.start_gateway(index).await?);
        }
        instances.extend(site.engines.iter().map(|node| node.instance.clone()));
        instances.extend(site.services.iter().map(|node| node.instance.clone()));
        site.platform.set_instances(InstanceList { instances });
        site.publish(ConfigScope::Base).await?;
        site.publish(ConfigScope::Overlay(site.texts.site.clone()))
            .await?;
        site.wait_ready().await?;
        Ok(site)
    }

    /// Publishes the base or the overlay of the site's texts.
    pub async fn publish(&mut self, scope: ConfigScope) -> Result<Offset, Report<DemoError>> {
        let (name, text) = match scope {
            ConfigScope::Base => ("base.jsonc", &self.texts.base),
            ConfigScope::Overlay(_) => ("overlay", &self.texts.overlay),
        };
        let source = Source { name, text };
        self.operator
            .publish(scope, source, None)
            .await
            .map_err(operator)
    }

    /// Grants a key and returns its public part and what a caller sends.
    pub async fn grant(
        &mut self,
        account: &str,
    ) -> Result<(Box<str>, Box<str>), Report<DemoError>> {
        let granted = self.operator.grant_key(account).await.map_err(operator)?;
        Ok((granted.key, granted.token))
    }

    /// Withdraws a key.
    pub async fn withdraw(&mut self, key: &str) -> Result<Offset, Report<DemoError>> {
        self.operator.withdraw_key(key).await.map_err(operator)
    }

    /// Executions of `reference` over all instances of the service.
    pub fn executions(&self, reference: &str) -> u64 {
        let counts = self.services.iter().map(|node| node.upstream.executions());
        counts
            .map(|seen| {
                seen.by_reference
                    .get(reference)
                    .copied()
                    .unwrap_or_default()
            })
            .sum()
    }

    /// Stops everything as planned. Returns what failed.
    pub async fn stop(&mut self) -> Vec<String> {
        let mut failed = Vec::new();
        let gateways = self
            .gateways
            .iter_mut()
            .map(|node| (&node.name, &mut node.running));
        let engines = self
            .engines
            .iter_mut()
            .map(|node| (&node.instance.name, &mut node.sidecar));
        let services = self
            .services
            .iter_mut()
            .map(|node| (&node.instance.name, &mut node.sidecar));
        for (name, running) in gateways.chain(engines).chain(services) {
            let Some(running) = running.take() else {
                continue;
            };
            if let Err(error) = running.stop().await {
                failed.push(format!("{name}: {error}"));
            }
        }
        for node in &self.engines {
            node.upstream.kill();
        }
        for node in &self.services {
            node.upstream.kill();
        }
        self.platform.kill();
        failed
    }

    async fn start_gateway(&mut self, index: usize) -> Result<Instance, Report<DemoError>> {
        let name = format!("gateway-{}", index + 1);
        let domain = DOMAINS[index % DOMAINS.len()];
        let settings = json!({
            "instance": name, "failure_domain": domain, "site": self.texts.site,
            "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.addr()),
        });
        let settings = GatewaySettings::parse("demo", &settings.to_string()).map_err(start)?;
        let runtime = runtime().map_err(start)?;
        let bound = runtime.spawn(nutmegbay_gateway::bind(settings));
        let bound = bound.await.map_err(start)?.map_err(start)?;
        let addr = bound.listen().map_err(start)?;
        let control = bound.control().map_err(start)?;
        let running = Some(Running::spawn(runtime, |stop| bound.serve(stop)));
        let name: Box<str> = name.into();
        self.gateways.push(GatewayNode {
            name: name.clone(),
            addr,
            running,
        });
        Ok(Instance {
            name,
            kind: InstanceKind::Gateway,
            serves: Box::default(),
            failure_domain: domain.into(),
            data: addr,
            control,
            state: InstanceState::Live,
        })
    }

    async fn start_engine(&mut self, index: usize) -> Result<(), Report<DemoError>> {
        let upstream = FakeEngine::start(EngineConfig::default())
            .await
            .map_err(start)?;
        let name = format!("engine-{:02}", index + 1);
        let model = self.scope.model.clone();
        let kind = InstanceKind::Engine;
        let (instance, sidecar) = self
            .start_sidecar(name, kind, model, index, upstream.addr())
            .await?;
        self.engines.push(Node {
            instance,
            upstream,
            sidecar: Some(sidecar),
        });
        Ok(())
    }

    async fn start_service(&mut self, index: usize) -> Result<(), Report<DemoError>> {
        let service = self.scope.place.service.clone();
        let name = format!("{service}-{}", index + 1);
        let cfg = ServiceConfig {
            name: name.clone().into(),
            ..ServiceConfig::default()
        };
        let upstream = FakeService::start(cfg).await.map_err(start)?;
        let kind = InstanceKind::Service;
        let (instance, sidecar) = self
            .start_sidecar(name, kind, service, index, upstream.addr())
            .await?;
        self.services.push(Node {
            instance,
            upstream,
            sidecar: Some(sidecar),
        });
        Ok(())
    }

    async fn start_sidecar(
        &self,
        name: String,
        kind: InstanceKind,
        serves: Box<str>,
        index: usize,
        upstream: SocketAddr,
    ) -> Result<(Instance, Running), Report<DemoError>> {
        let domain = DOMAINS[index % DOMAINS.len()];
        let settings = json!({
            "instance": name, "failure_domain": domain, "kind": kind, "upstream": upstream,
            "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.addr()), "checks_fencing": kind == InstanceKind::Engine,
        });
        let settings =
            nutmegbay_sidecar::Settings::parse("demo", &settings.to_string()).map_err(start)?;
        let runtime = runtime().map_err(start)?;
        let bound = runtime.spawn(async { Sidecar::bind(settings) });
        let sidecar = bound.await.map_err(start)?.map_err(start)?;
        let data = sidecar.data_addr().map_err(start)?;
        let running = Running::spawn(runtime, |stop| sidecar.run(stop));
        let instance = Instance {
            name: name.into(),
            kind,
            serves,
            failure_domain: domain.into(),
            data,
            control: data,
            state: InstanceState::Live,
        };
        Ok((instance, running))
    }

    async fn wait_ready(&mut self) -> Result<(), Report<DemoError>> {
        let account = self.scope.account.clone();
        let (key, token) = self.grant(&account).await?;
        let caller = crate::caller::Caller::new();
        let (model, addrs) = (self.scope.model.to_string(), self.gateway_addrs());
        for addr in addrs {
            until("every gateway lists the models", async || {
                caller
                    .models(addr, &token)
                    .await
                    .is_ok_and(|models| models.contains(&model))
            })
            .await?;
            // The gateway lists models before it knows the upstreams.
            let ask = crate::caller::Ask {
                model: self.scope.model.clone(),
                prompt: "start".to_owned(),
                max_tokens: 1,
            };
            until("every gateway reaches an engine", async || {
                caller.whole(addr, &token, &ask).await.is_ok()
            })
            .await?;
        }
        self.withdraw(&key).await.map(drop)
    }

    /// Addresses for callers.
    pub fn gateway_addrs(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|node| node.addr).collect()
    }
}

/// Waits until `condition` holds and returns how long that took.
pub(crate) async fn until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<Duration, Report<DemoError>> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > WAIT {
            return Err(Report::new(DemoError::Timeout(what.into())));
        }
        sleep(POLL).await;
    }
    Ok(started.elapsed())
}

/// Waits until `condition` holds, at most for `wait`. Returns whether it did.
pub(crate) async fn until_some(wait: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + wait;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL).await;
    }
    true
}

fn runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
}

fn start(error: impl std::fmt::Debug) -> Report<DemoError> {
    Report::new(DemoError::Start(format!("{error:?}").into()))
}

fn operator(error: impl std::fmt::Display) -> Report<DemoError> {
    Report::new(DemoError::Operator(error.to_string().into()))
}
