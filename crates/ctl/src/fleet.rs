//! Instances of a site, asked directly.

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

/// Time for one call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause between two rounds while a change spreads.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Live instances of a site.
pub struct Fleet {
    instances: Vec<Instance>,
}

/// A gateway on which a change is not in force.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct NotInForce {
    /// Instance.
    pub instance: Box<str>,
    /// What it said, or why it did not answer.
    pub detail: Box<str>,
}

impl Fleet {
    /// Reads the instance list.
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

    /// Instances as listed.
    pub fn instances(&self) -> &[Instance] {
        &self.instances
    }

    /// Status of every gateway, in order of the list.
    pub async fn gateways(&self) -> Vec<(&Instance, Result<GatewayStatus, Box<str>>)> {
        let asked = self
            .of_kind(|kind| kind == InstanceKind::Gateway)
            .map(|instance| async move { (instance, gateway_status(instance.control).await) });
        join_all(asked).await
    }

    /// Status of every sidecar, in order of the list.
    pub async fn sidecars(&self) -> Vec<(&Instance, Result<SidecarStatus, Box<str>>)> {
        let asked = self
            .of_kind(|kind| kind != InstanceKind::Gateway)
            .map(|instance| async move { (instance, sidecar_status(instance.control).await) });
        join_all(asked).await
    }

    /// Waits until every gateway has applied the record at `offset`. Gateways that lack records
    /// are offered `recent`, so that one that is cut off from the log follows as well.
    pub async fn wait_in_force(
        &self,
        offset: Offset,
        recent: &[LogEntry],
        timeout: Duration,
    ) -> Result<Duration, Vec<NotInForce>> {
        let started = Instant::now();
        loop {
            let behind = self.behind(offset, recent).await;
            if behind.is_empty() {
                return Ok(started.elapsed());
            }
            if started.elapsed() >= timeout {
                return Err(behind);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Asks an instance to stop taking new work and returns how many requests still run.
    pub async fn drain(&self, name: &str) -> Result<u32, Report<CtlError>> {
        let Some(instance) = self.instances.iter().find(|i| &*i.name == name) else {
            let text = format!("no instance `{name}` is listed; see `status`");
            return Err(Report::new(CtlError::Invalid(text.into())));
        };
        let drained = match instance.kind {
            InstanceKind::Gateway => match client(instance.control) {
                Ok(client) => GatewayControlClient::drain(&client).await.map_err(describe),
                Err(text) => Err(text),
            },
            InstanceKind::Engine | InstanceKind::Service => match client(instance.control) {
                Ok(client) => SidecarControlClient::drain(&client).await.map_err(describe),
                Err(text) => Err(text),
            },
        };
        drained.map_err(|text| {
            Report::new(CtlError::Instance(
                format!("`{name}` did not drain: {text}").into(),
            ))
        })
    }

    fn of_kind(&self, wanted: impl Fn(InstanceKind) -> bool) -> impl Iterator<Item = &Instance> {
        self.instances
            .iter()
            .filter(move |instance| wanted(instance.kind))
    }

    async fn behind(&self, offset: Offset, recent: &[LogEntry]) -> Vec<NotInForce> {
        let gateways = self.of_kind(|kind| kind == InstanceKind::Gateway);
        let asked = gateways.map(|instance| async move {
            let detail = lag(instance, offset, recent).await?;
            Some(NotInForce {
                instance: instance.name.clone(),
                detail,
            })
        });
        join_all(asked).await.into_iter().flatten().collect()
    }
}

/// Why the record at `offset` is not in force on a gateway, none if it is.
async fn lag(instance: &Instance, offset: Offset, recent: &[LogEntry]) -> Option<Box<str>> {
    let status = match gateway_status(instance.control).await {
        Ok(status) => status,
        Err(text) => return Some(text),
    };
    match status {
        _ if status.config_rejected == Some(offset) => {
            Some("this build cannot apply the configuration; the instance drains".into())
        }
        _ if status.log.next > offset => None,
        _ => {
            let entries = recent
                .iter()
                .filter(|e| e.offset >= status.log.next)
                .cloned()
                .collect();
            offer(instance.control, entries).await;
            let text = format!("has applied records below {} only", status.log.next);
            Some(text.into())
        }
    }
}

/// Hands records to a gateway; whether they arrived shows in its next status.
async fn offer(control: SocketAddr, entries: Vec<LogEntry>) {
    if let Ok(client) = client(control) {
        let tail = LogTail {
            entries,
            log: LogStatus::default(),
        };
        let _ = GatewayControlClient::offer(&client, tail).await;
    }
}

async fn gateway_status(control: SocketAddr) -> Result<GatewayStatus, Box<str>> {
    GatewayControlClient::status(&client(control)?)
        .await
        .map_err(describe)
}

async fn sidecar_status(control: SocketAddr) -> Result<SidecarStatus, Box<str>> {
    let query = SidecarQuery::default();
    SidecarControlClient::status(&client(control)?, query)
        .await
        .map_err(describe)
}

fn client(control: SocketAddr) -> Result<HttpClient, Box<str>> {
    HttpClientBuilder::default()
        .request_timeout(CALL_TIMEOUT)
        .build(format!("http://{control}"))
        .map_err(describe)
}

fn describe(error: RpcError) -> Box<str> {
    match error {
        RpcError::RequestTimeout => "did not answer in time".into(),
        RpcError::Call(error) => error.message().into(),
        other => format!("does not answer: {other}").into(),
    }
}
