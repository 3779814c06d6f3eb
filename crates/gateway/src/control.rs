//! Control interface for peers and operators.

use std::sync::Arc;

use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::types::ErrorObjectOwned;
use jsonrpsee::types::error::INTERNAL_ERROR_CODE;
use nutmegbay_core::ids::{Offset, RecordId};
use nutmegbay_core::record::SCHEMA;
use nutmegbay_proto::control::{
    GatewayControlServer, GatewayStatus, Gossip, LogStatus, ReplicaImage, Tail,
};
use tokio::sync::{mpsc, oneshot};

use crate::gateway::Gateway;
use crate::state::recent::Recent;
use crate::state::{Input, Status};

/// Server of the control interface.
pub struct Control {
    gateway: Arc<Gateway>,
    recent: Arc<Recent>,
    inputs: mpsc::Sender<Input>,
}

impl Control {
    /// Creates the server.
    pub fn new(gateway: Arc<Gateway>, recent: Arc<Recent>, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            gateway,
            recent,
            inputs,
        }
    }

    async fn ask<T>(&self, input: impl FnOnce(oneshot::Sender<T>) -> Input) -> RpcResult<T> {
        let (reply, answer) = oneshot::channel();
        self.tell(input(reply)).await?;
        answer.await.map_err(|_| stopping())
    }

    async fn tell(&self, input: Input) -> RpcResult<()> {
        self.inputs.send(input).await.map_err(|_| stopping())
    }

    async fn log(&self) -> RpcResult<LogStatus> {
        Ok(self.ask(Input::Status).await?.log)
    }
}

#[async_trait]
impl GatewayControlServer for Control {
    async fn status(&self) -> RpcResult<GatewayStatus> {
        let Status {
            log,
            freshness,
            leases,
            ..
        } = self.ask(Input::Status).await?;
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

    async fn offer(&self, tail: Tail) -> RpcResult<LogStatus> {
        self.tell(Input::RecordsOffered(tail.entries)).await?;
        self.log().await
    }

    async fn gossip(&self, gossip: Gossip) -> RpcResult<Gossip> {
        let admission = &self.gateway.admission;
        admission.apply_gossip(&gossip.served, &gossip.dispatched);
        if !gossip.crashes.is_empty() {
            self.tell(Input::Heard(gossip.crashes)).await?;
        }
        // The status comes after the news was taken, so that the answer acknowledges it.
        let status = self.ask(Input::Status).await?;
        Ok(Gossip {
            instance: self.gateway.settings.instance.clone(),
            log: status.log,
            crashes: status.crashes,
            exclusive: status.exclusive.into_iter().collect(),
            ..Gossip::default()
        })
    }

    async fn tail(&self, from: Offset) -> RpcResult<Tail> {
        // The status is taken first: it must not promise more than the records show.
        let log = self.log().await?;
        let entries = self.recent.from(from);
        Ok(Tail { entries, log })
    }

    async fn snapshot(&self) -> RpcResult<ReplicaImage> {
        let log = self.log().await?;
        let image = self
            .ask(Input::ReplicaSnapshot)
            .await?
            .ok_or_else(|| error("the instance is still starting and has no state of its own"))?;
        Ok(ReplicaImage {
            as_of: image.as_of,
            id: RecordId(image.digest.0),
            text: image.text,
            log,
        })
    }

    async fn drain(&self) -> RpcResult<u32> {
        self.gateway.drain();
        Ok(self.gateway.in_flight())
    }
}

fn stopping() -> ErrorObjectOwned {
    error("the instance is stopping")
}

fn error(message: &str) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(INTERNAL_ERROR_CODE, message, None::<()>)
}
