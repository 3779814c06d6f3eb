//! Calls to the control interfaces of a site's instances.

use std::net::SocketAddr;
use std::time::Duration;

use error_stack::Report;
use futures::future::join_all;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::http_client::{HttpClient, HttpClientBuilder};
use nutmegbay_backplane::InstanceDirectory;
use nutmegbay_core::ids::Offset;
use nutmegbay_proto::control::{
    GatewayControlClient, GatewayStatus, LogStatus, LogTail, SidecarControlClient, SidecarQuery,
    SidecarStatus,
};
use nutmegbay_proto::platform::{Instance, InstanceKind, LogEntry};
use tokio::time::Instant;

use crate::error::CtlError;

/// Timeout of one call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval between status queries while gateways apply a change.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Instances of a site as listed by the platform.
pub struct Fleet {
    instances: Vec<Instance>,
}

/// A gateway that has not applied a change.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct LaggingGateway {
    /// Name of the gateway.
    pub instance: Box<str>,
    /// How far it has applied the log, or why its status is missing.
    pub detail: Box<str>,
}

impl Fleet {
    /// Reads the instance list of the platform. Fails with [`CtlError::Platform`].
    pub async fn read<D: InstanceDirectory>(directory: &D) -> Result<Self, Report<CtlError>> {
        let list = directory.instances().await.map_err(|report| {
            let text = report.current_context().to_string();
            let verdict = report.current_context().verdict;
            report.change_context(CtlError::Platform(verdict, text.into()))
        })?;
        Ok(Self {
            instances: list.instances,
        })
    }

    /// Returns the instances in order of the list.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Queries all gateways at the same time; returns their statuses or errors in order of the
    /// list.
    pub async fn gateways(&self) -> Vec<(&Instance, Result<GatewayStatus, Box<str>>)> {
        let calls = self
            .instances_of_kind(|kind| kind == InstanceKind::Gateway)
            .map(|instance| async move { (instance, gateway_status(instance.control).await) });
        join_all(calls).await
    }

    /// Queries all sidecars at the same time; returns their statuses or errors in order of the
    /// list.
    pub async fn sidecars(&self) -> Vec<(&Instance, Result<SidecarStatus, Box<str>>)> {
        let calls = self
            .instances_of_kind(|kind| kind != InstanceKind::Gateway)
            .map(|instance| async move { (instance, sidecar_status(instance.control).await) });
        join_all(calls).await
    }

    /// Waits until every gateway has applied the record at `offset` and returns how long that took.
    /// Sends `recent_entries` to gateways that lack them, so that a gateway without access to the
    /// log applies the record too. After `timeout`, returns the gateways that have not applied it.
    pub async fn wait_until_applied(
        &self,
        offset: Offset,
        recent_entries: &[LogEntry],
        timeout: Duration,
    ) -> Result<Duration, Vec<LaggingGateway>> {
        let started = Instant::now();
        loop {
            let lagging_gateways = self.lagging_gateways(offset, recent_entries).await;
            if lagging_gateways.is_empty() {
                return Ok(started.elapsed());
            }
            if started.elapsed() >= timeout {
                return Err(lagging_gateways);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Tells an instance to refuse new work and returns the number of requests still running.
    pub async fn drain(&self, name: &str) -> Result<u32, Report<CtlError>> {
        let Some(instance) = self.instances.iter().find(|i| &*i.name == name) else {
            let text = format!("no instance `{name}` is listed; see `status`");
            return Err(Report::new(CtlError::Invalid(text.into())));
        };
        let drained = match instance.kind {
            InstanceKind::Gateway => match control_client(instance.control) {
                Ok(client) => GatewayControlClient::drain(&client)
                    .await
                    .map_err(error_text),
                Err(text) => Err(text),
            },
            InstanceKind::Engine | InstanceKind::Service => {
                match control_client(instance.control) {
                    Ok(client) => SidecarControlClient::drain(&client)
                        .await
                        .map_err(error_text),
                    Err(text) => Err(text),
                }
            }
        };
        drained.map_err(|text| {
            Report::new(CtlError::Instance(
                format!("instance `{name}` did not confirm the drain: {text}").into(),
            ))
        })
    }

    fn instances_of_kind(
        &self,
        matches_kind: impl Fn(InstanceKind) -> bool,
    ) -> impl Iterator<Item = &Instance> {
        self.instances
            .iter()
            .filter(move |instance| matches_kind(instance.kind))
    }

    async fn lagging_gateways(
        &self,
        offset: Offset,
        recent_entries: &[LogEntry],
    ) -> Vec<LaggingGateway> {
        let gateways = self.instances_of_kind(|kind| kind == InstanceKind::Gateway);
        let calls = gateways.map(|instance| async move {
            let detail = reason_not_applied(instance, offset, recent_entries).await?;
            Some(LaggingGateway {
                instance: instance.name.clone(),
                detail,
            })
        });
        join_all(calls).await.into_iter().flatten().collect()
    }
}

/// Returns why a gateway has not applied the record at `offset`, `None` if it has. A gateway that
/// is behind is sent the records that it lacks.
async fn reason_not_applied(
    instance: &Instance,
    offset: Offset,
    recent_entries: &[LogEntry],
) -> Option<Box<str>> {
    let status = match gateway_status(instance.control).await {
        Ok(status) => status,
        Err(text) => return Some(text),
    };
    match status {
        _ if status.config_rejected == Some(offset) => {
            Some("this build cannot apply the configuration, so the gateway drains".into())
        }
        _ if status.log.next > offset => None,
        _ => {
            let entries = recent_entries
                .iter()
                .filter(|e| e.offset >= status.log.next)
                .cloned()
                .collect();
            offer_entries(instance.control, entries).await;
            let text = format!("has applied only records below offset {}", status.log.next);
            Some(text.into())
        }
    }
}

/// Sends records to a gateway. Errors are ignored: the next status shows whether they arrived.
async fn offer_entries(control: SocketAddr, entries: Vec<LogEntry>) {
    if let Ok(client) = control_client(control) {
        let tail = LogTail {
            entries,
            log: LogStatus::default(),
        };
        let _ = GatewayControlClient::offer(&client, tail).await;
    }
}

async fn gateway_status(control: SocketAddr) -> Result<GatewayStatus, Box<str>> {
    GatewayControlClient::status(&control_client(control)?)
        .await
        .map_err(error_text)
}

async fn sidecar_status(control: SocketAddr) -> Result<SidecarStatus, Box<str>> {
    let query = SidecarQuery::default();
    SidecarControlClient::status(&control_client(control)?, query)
        .await
        .map_err(error_text)
}

fn control_client(control: SocketAddr) -> Result<HttpClient, Box<str>> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{control}"))
        .map_err(error_text)
}

fn error_text(error: RpcError) -> Box<str> {
    match error {
        RpcError::RequestTimeout => "the call timed out".into(),
        RpcError::Call(error) => error.message().into(),
        other => format!("the call failed: {other}").into(),
    }
}
