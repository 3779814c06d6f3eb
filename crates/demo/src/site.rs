//! Site of the demo, with all its components in this process.

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

use crate::config::{ConfigTexts, DemoTargets};
use crate::error::DemoError;

/// Number of gateways.
pub const GATEWAYS: usize = 2;

/// Number of engines, each in its own failure domain.
pub const ENGINES: usize = 3;

/// Number of instances of the plain service.
pub const SERVICES: usize = 2;

/// Failure domains; instances of a kind are distributed over them in turn.
const FAILURE_DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];

/// Maximum time to wait until the system reaches a state, or a component stops.
const STATE_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a state.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A gateway or sidecar. It has its own async runtime, so that a kill ends all its tasks and
/// connections.
#[derive(Debug)]
pub struct RunningServer {
    stop: CancellationToken,
    task: JoinHandle<Result<(), String>>,
    /// `None` after the shutdown. A runtime must not be dropped within a task of another runtime,
    /// so it is taken out and shut down in the background.
    runtime: Option<Runtime>,
}

impl RunningServer {
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

    /// Stops as planned, finishing requests in flight. Returns an error if the component fails or
    /// does not stop within the timeout.
    pub async fn stop(mut self) -> Result<(), String> {
        self.stop.cancel();
        match timeout(STATE_TIMEOUT, &mut self.task).await {
            Ok(Ok(ended)) => ended,
            Ok(Err(error)) => Err(error.to_string()),
            Err(_) => Err("the planned stop took too long".to_owned()),
        }
    }

    /// Stops at once, without finishing requests in flight.
    pub fn kill(self) {
        drop(self);
    }
}

impl Drop for RunningServer {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// A gateway.
#[derive(Debug)]
pub struct GatewayNode {
    /// Instance name.
    pub name: Box<str>,
    /// Address for callers.
    pub addr: SocketAddr,
    /// The running gateway, `None` after it was stopped.
    pub running: Option<RunningServer>,
}

/// An upstream and its sidecar.
#[derive(Debug)]
pub struct UpstreamNode<U> {
    /// Entry in the instance list.
    pub instance: Instance,
    /// The fake engine or service.
    pub upstream: U,
    /// The running sidecar, `None` after it was stopped or killed.
    pub sidecar: Option<RunningServer>,
}

/// A running site with its platform and upstreams.
pub struct DemoSite {
    /// Fake platform, which holds the log and receives usage reports.
    pub platform: FakePlatform,
    /// Gateways in the order of their names.
    pub gateways: Vec<GatewayNode>,
    /// Engines with their sidecars.
    pub engines: Vec<UpstreamNode<FakeEngine>>,
    /// Instances of the plain service with their sidecars.
    pub services: Vec<UpstreamNode<FakeService>>,
    /// Client for operators' changes.
    pub operator: OperatorClient<PlatformClient>,
    /// Accounts, model and routes that are exercised.
    pub targets: DemoTargets,
    /// Base and overlay as published.
    pub texts: ConfigTexts,
}

impl DemoSite {
    /// Starts all components, publishes `texts` and waits until all gateways serve the model.
    pub async fn start(texts: ConfigTexts) -> Result<Self, Report<DemoError>> {
        let targets = DemoTargets::select(&texts.settings()?)?;
        let platform = FakePlatform::start(PlatformConfig::default())
            .await
            .map_err(start_error)?;
        let client = PlatformClient::new(ClientSettings::new(platform.addr(), "operator"));
        let mut site = Self {
            gateways: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            operator: OperatorClient::new(client, "demo"),
            platform,
            targets,
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
            .map_err(operator_error)
    }

    /// Grants a key and returns its public part and the bearer token that callers send.
    pub async fn grant(
        &mut self,
        account: &str,
    ) -> Result<(Box<str>, Box<str>), Report<DemoError>> {
        let granted = self
            .operator
            .grant_key(account)
            .await
            .map_err(operator_error)?;
        Ok((granted.key, granted.token))
    }

    /// Withdraws a key by its public part.
    pub async fn withdraw(&mut self, key: &str) -> Result<Offset, Report<DemoError>> {
        self.operator
            .withdraw_key(key)
            .await
            .map_err(operator_error)
    }

    /// Returns the number of executions of `reference`, summed over all instances of the service.
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

    /// Stops gateways and sidecars as planned, then kills the fakes. Returns the failed stops.
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
        let domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
        let settings = json!({
            "instance": name, "failure_domain": domain, "site": self.texts.site,
            "listen": "127.0.0.1:0", "control": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.addr()),
        });
        let settings =
            GatewaySettings::parse("demo", &settings.to_string()).map_err(start_error)?;
        let runtime = build_runtime().map_err(start_error)?;
        let bound = runtime.spawn(nutmegbay_gateway::bind(settings));
        let bound = bound.await.map_err(start_error)?.map_err(start_error)?;
        let addr = bound.listen().map_err(start_error)?;
        let control = bound.control().map_err(start_error)?;
        let running = Some(RunningServer::spawn(runtime, |stop| bound.serve(stop)));
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
            .map_err(start_error)?;
        let name = format!("engine-{:02}", index + 1);
        let model = self.targets.model.clone();
        let kind = InstanceKind::Engine;
        let (instance, sidecar) = self
            .start_sidecar(name, kind, model, index, upstream.addr())
            .await?;
        self.engines.push(UpstreamNode {
            instance,
            upstream,
            sidecar: Some(sidecar),
        });
        Ok(())
    }

    async fn start_service(&mut self, index: usize) -> Result<(), Report<DemoError>> {
        let service = self.targets.order_route.service.clone();
        let name = format!("{service}-{}", index + 1);
        let cfg = ServiceConfig {
            name: name.clone().into(),
            ..ServiceConfig::default()
        };
        let upstream = FakeService::start(cfg).await.map_err(start_error)?;
        let kind = InstanceKind::Service;
        let (instance, sidecar) = self
            .start_sidecar(name, kind, service, index, upstream.addr())
            .await?;
        self.services.push(UpstreamNode {
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
    ) -> Result<(Instance, RunningServer), Report<DemoError>> {
        let domain = FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()];
        let settings = json!({
            "instance": name, "failure_domain": domain, "kind": kind, "upstream": upstream,
            "listen": "127.0.0.1:0", "admin": "127.0.0.1:0",
            "platform": format!("http://{}", self.platform.addr()), "checks_fencing": kind == InstanceKind::Engine,
        });
        let settings = nutmegbay_sidecar::Settings::parse("demo", &settings.to_string())
            .map_err(start_error)?;
        let runtime = build_runtime().map_err(start_error)?;
        let bound = runtime.spawn(async { Sidecar::bind(settings) });
        let sidecar = bound.await.map_err(start_error)?.map_err(start_error)?;
        let data = sidecar.data_addr().map_err(start_error)?;
        let running = RunningServer::spawn(runtime, |stop| sidecar.run(stop));
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
        let account = self.targets.account.clone();
        let (key, token) = self.grant(&account).await?;
        let caller = crate::caller::GatewayClient::new();
        let (model, addrs) = (self.targets.model.to_string(), self.gateway_addrs());
        for addr in addrs {
            wait_until("every gateway lists the models", async || {
                caller
                    .list_models(addr, &token)
                    .await
                    .is_ok_and(|models| models.contains(&model))
            })
            .await?;
            // The gateway lists models before it knows any upstream.
            let model_call = crate::caller::ModelCall {
                model: self.targets.model.clone(),
                prompt: "start".to_owned(),
                max_tokens: 1,
            };
            wait_until("every gateway reaches an engine", async || {
                caller.complete(addr, &token, &model_call).await.is_ok()
            })
            .await?;
        }
        self.withdraw(&key).await.map(drop)
    }

    /// Returns the addresses for callers, in order of the gateways.
    pub fn gateway_addrs(&self) -> Vec<SocketAddr> {
        self.gateways.iter().map(|node| node.addr).collect()
    }
}

/// Waits until `condition` holds and returns how long that took. Fails with [`DemoError::Timeout`]
/// after [`STATE_TIMEOUT`].
pub(crate) async fn wait_until(
    what: &str,
    mut condition: impl AsyncFnMut() -> bool,
) -> Result<Duration, Report<DemoError>> {
    let started = Instant::now();
    while !condition().await {
        if started.elapsed() > STATE_TIMEOUT {
            return Err(Report::new(DemoError::Timeout(what.into())));
        }
        sleep(POLL_INTERVAL).await;
    }
    Ok(started.elapsed())
}

/// Waits at most `max_wait` until `condition` holds. Returns whether it did.
pub(crate) async fn holds_within(max_wait: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + max_wait;
    while !condition() {
        if Instant::now() >= deadline {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

fn build_runtime() -> std::io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
}

fn start_error(error: impl std::fmt::Debug) -> Report<DemoError> {
    Report::new(DemoError::Start(format!("{error:?}").into()))
}

fn operator_error(error: impl std::fmt::Display) -> Report<DemoError> {
    Report::new(DemoError::Operator(error.to_string().into()))
}
