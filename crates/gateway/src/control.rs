//! JSON-RPC server of the control interface, for other gateways and operators.

use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use nutmegbay_core::ids::{Offset, RecordId};
use nutmegbay_core::record::SCHEMA;
use nutmegbay_proto::control::{
    GatewayControlServer, GatewayStatus, Gossip, LogStatus, LogTail, SnapshotMessage,
};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::state::recent_records::RecentRecords;
use crate::state::{Input, Status};

/// Serves the control interface.
pub struct ControlServer {
    gateway: Arc<Gateway>,
    recent_records: Arc<RecentRecords>,
    /// Inputs of the state task.
    inputs: mpsc::Sender<Input>,
}

impl ControlServer {
    /// Creates the server; `inputs` leads to the state task.
    pub fn new(
        gateway: Arc<Gateway>,
        recent_records: Arc<RecentRecords>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        Self {
            gateway,
            recent_records,
            inputs,
        }
    }

    async fn query_state<T>(
        &self,
        input: impl FnOnce(oneshot::Sender<T>) -> Input,
    ) -> RpcResult<T> {
        let (reply, answer) = oneshot::channel();
        self.notify_state(input(reply)).await?;
        answer.await.map_err(|_| stopping_error())
    }

    async fn notify_state(&self, input: Input) -> RpcResult<()> {
        self.inputs.send(input).await.map_err(|_| stopping_error())
    }

    async fn log_status(&self) -> RpcResult<LogStatus> {
        Ok(self.query_state(Input::Status).await?.log)
    }
}

#[async_trait]
impl GatewayControlServer for ControlServer {
    async fn status(&self) -> RpcResult<GatewayStatus> {
        let Status {
            log,
            freshness,
            leases,
            ..
        } = self.query_state(Input::Status).await?;
        let view = self.gateway.view();
        let settings = &self.gateway.settings;
        Ok(GatewayStatus {
            instance: settings.instance.clone(),
            incarnation: self.gateway.incarnation,
            failure_domain: settings.failure_domain.clone(),
            log,
            freshness,
            config: view.config,
            config_rejected: view.config_rejected,
            ready: self.gateway.is_ready(),
            in_flight: self.gateway.in_flight(),
            leases,
            schema: SCHEMA,
        })
    }

    async fn offer(&self, tail: LogTail) -> RpcResult<LogStatus> {
        self.notify_state(Input::RecordsOffered(tail.entries))
            .await?;
        self.log_status().await
    }

    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip> {
        let admission = &self.gateway.admission;
        admission.apply_gossip(&gossip.served, &gossip.dispatched);
        self.gateway.crash_history.merge(&gossip.crashed_runs);
        if !gossip.crashes.is_empty() {
            self.notify_state(Input::CrashReports(gossip.crashes))
                .await?;
        }
        // The status is read after the gossip was handed over: the reply acknowledges the reports.
        let status = self.query_state(Input::Status).await?;
        Ok(Gossip {
            instance: self.gateway.settings.instance.clone(),
            log: status.log,
            crashes: status.crashes,
            exclusive: status.exclusive.into_iter().collect(),
            crashed_runs: self.gateway.crash_history.report(),
            ..Gossip::default()
        })
    }

    async fn tail(&self, from: Offset) -> RpcResult<LogTail> {
        // The status is read first, so that it never claims more records than the reply holds.
        let log = self.log_status().await?;
        let entries = self.recent_records.from(from);
        Ok(LogTail { entries, log })
    }

    async fn snapshot(&self) -> RpcResult<SnapshotMessage> {
        let log = self.log_status().await?;
        let snapshot = self
            .query_state(Input::ReplicaSnapshot)
            .await?
            .ok_or_else(|| {
                internal_error("the instance is still starting and has no state of its own")
            })?;
        Ok(SnapshotMessage {
            as_of: snapshot.as_of,
            id: RecordId(snapshot.digest.0),
            text: snapshot.text,
            log,
        })
    }

    async fn drain(&self) -> RpcResult<u32> {
        self.gateway.drain();
        Ok(self.gateway.in_flight())
    }
}

fn stopping_error() -> ErrorObjectOwned {
    internal_error("the instance is stopping")
}

fn internal_error(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}
