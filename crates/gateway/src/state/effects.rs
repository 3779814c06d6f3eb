//! Performs the effects of the state task, each in its own task that returns an input.

use std::time::Duration;

use futures::future::join_all;
use nutmegbay_backplane::{Cause, InstanceDirectory, Log, UpstreamOrders, UsageReports};
use nutmegbay_core::ids::Offset;
use nutmegbay_core::node::{Effect, Event};
use nutmegbay_core::orders::{OrderAnswer, SendOrder};
use nutmegbay_core::record::{CrashReport, OrderCommand};
use nutmegbay_core::snapshot::ReplicaSnapshot;
use nutmegbay_core::usage::SendUsageReport;
use nutmegbay_proto::control::{GatewayControlClient, Gossip, SidecarControlClient};
use nutmegbay_proto::engine::EngineOrder;
use nutmegbay_proto::platform::{UpstreamOrder, UsageReport};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout_at};

use super::actor::Actor;
use super::append::{AppendSource, QueuedAppend};
use super::rpc_clients::{RpcEndpoint, log_progress_of};
use super::{Input, SharedContext, suspects};

/// Maximum number of records in one read of the log.
const MAX_READ_RECORDS: u32 = 1_000;

/// Time between two reads of the instance list.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Starts an effect that needs I/O.
    pub(super) fn start(&self, effect: Effect) {
        match effect {
            Effect::Append(append) => {
                let source = AppendSource::Node;
                // The receiver runs as long as the process.
                let _ = self.appends.send(QueuedAppend { source, append });
            }
            Effect::ReadTail { from, wait } => self.read_tail(from, wait),
            Effect::QueryEndpoints => self.query_endpoints(),
            Effect::ReadEndpoint { endpoint, from } => self.read_endpoint(&endpoint, from),
            Effect::RequestPeerSnapshot => self.request_peer_snapshots(),
            Effect::SendUsageReport(report) => self.send_usage_report(report),
            Effect::SendOrder(order) => self.send_order(order),
            _ => {}
        }
    }

    pub(super) fn spawn<F>(&self, work: impl FnOnce(SharedContext<P>) -> F)
    where
        F: Future<Output = Option<Input>> + Send + 'static,
    {
        let work = work(self.context.clone());
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            if let Some(input) = work.await {
                // The state task ends last; after that nothing needs the result.
                let _ = inputs.send(input).await;
            }
        });
    }

    fn read_tail(&self, from: Offset, wait: Duration) {
        self.spawn(|context| async move {
            let started = context.clock.now();
            match context.platform.read(from, MAX_READ_RECORDS, wait).await {
                Ok(read) => Some(Input::LogRead(started, read)),
                Err(e) => {
                    let error = e.current_context();
                    tracing::warn!(event = "log_read_failed", %error);
                    Some(Input::Node(Event::TailReadFailed))
                }
            }
        });
    }

    fn query_endpoints(&self) {
        let own = self.log_status();
        for endpoint in self.endpoints.clone() {
            self.spawn(|context| async move {
                let asked = context.clock.now();
                let status = context.clients.log_status(&endpoint, own).await;
                let endpoint = endpoint.name;
                Some(Input::Node(match status {
                    Some(status) => Event::EndpointStatus {
                        endpoint,
                        asked,
                        view: log_progress_of(status),
                    },
                    None => Event::EndpointUnresponsive(endpoint),
                }))
            });
        }
    }

    fn read_endpoint(&self, name: &str, from: Offset) {
        let Some(endpoint) = self.endpoints.iter().find(|p| *p.name == *name).cloned() else {
            return;
        };
        self.spawn(|context| async move {
            let tail = context.clients.tail(&endpoint, from).await?;
            Some(Input::RecordsOffered(tail.entries))
        });
    }

    fn request_peer_snapshots(&self) {
        for endpoint in self.peers().cloned() {
            self.spawn(|context| async move {
                let asked = context.clock.now();
                let client = context.clients.get(endpoint.control)?;
                let snapshot = GatewayControlClient::snapshot(&client).await.ok()?;
                Some(Input::Node(Event::PeerSnapshot {
                    endpoint: endpoint.name,
                    asked,
                    view: log_progress_of(snapshot.log),
                    snapshot: ReplicaSnapshot::from_text(snapshot.as_of, snapshot.text),
                }))
            });
        }
    }

    /// Performs the effects that the tracker of suspect requests has requested.
    pub(super) fn perform_suspect_actions(&mut self) {
        let replica = self.node.replica().quarantine();
        for action in self.suspects.take_actions(replica) {
            match action {
                suspects::Action::Append(append) => {
                    let source = AppendSource::Suspects;
                    let _ = self.appends.send(QueuedAppend { source, append });
                }
                suspects::Action::Announce(report) => self.announce_crash(&report),
            }
        }
    }

    /// Sends a crash report to all peers and returns an acknowledgement once every peer has
    /// answered.
    fn announce_crash(&self, report: &CrashReport) {
        let crash = report.crash;
        let peers: Vec<RpcEndpoint> = self.peers().cloned().collect();
        let gossip = Gossip {
            instance: self.context.settings.instance.clone(),
            log: self.log_status(),
            crashes: vec![report.clone()],
            crashed_runs: self.context.crash_history.take_news(),
            ..Gossip::default()
        };
        self.spawn(|context| async move {
            let calls = peers
                .iter()
                .map(|peer| context.clients.gossip(peer, gossip.clone()));
            let is_acknowledged = join_all(calls).await.iter().all(Option::is_some);
            is_acknowledged.then_some(Input::CrashAcknowledged(crash))
        });
    }

    fn send_usage_report(&self, send: SendUsageReport) {
        self.spawn(|context| async move {
            let window = send.window;
            let report = UsageReport {
                window,
                epoch: send.epoch,
                accounts: send.usage.accounts,
                late: send.usage.late,
            };
            let deadline = context.clock.instant(send.deadline);
            let answer = timeout_at(deadline, context.platform.report(&report)).await;
            let is_accepted = matches!(answer, Ok(Ok(())));
            tracing::info!(event = "usage_reported", %window, is_taken = is_accepted);
            Some(Input::Node(Event::ReportAnswered {
                window,
                is_accepted,
            }))
        });
    }

    fn send_order(&self, send: SendOrder) {
        let upstream = send.command.upstream().map(Box::<str>::from);
        let is_for_platform = matches!(
            send.command,
            OrderCommand::AddUpstream { .. } | OrderCommand::RemoveUpstream { .. }
        );
        let endpoint = upstream.and_then(|name| self.endpoints.iter().find(|p| p.name == name));
        let endpoint = endpoint.cloned();
        self.spawn(|context| async move {
            let deadline = context.clock.instant(send.deadline);
            let (order, epoch) = (send.order, send.epoch);
            let answer = if is_for_platform {
                let command = send.command;
                let upstream_order = UpstreamOrder {
                    order,
                    epoch,
                    command,
                };
                timeout_at(deadline, send_platform_order(&context, &upstream_order)).await
            } else {
                let engine_order = EngineOrder {
                    order,
                    epoch,
                    command: send.command,
                };
                let client = endpoint.and_then(|p| context.clients.get(p.control));
                timeout_at(deadline, async move {
                    let reply = SidecarControlClient::order(&client?, engine_order)
                        .await
                        .ok()?;
                    // A sidecar that accepted the order may still be executing it. The order is
                    // sent again until the reply says that it has completed.
                    let is_done = reply.state.completed == Some(order);
                    is_done.then_some(OrderAnswer::Applied(reply.note))
                })
                .await
            };
            let answer = answer.ok().flatten().unwrap_or(OrderAnswer::Unknown);
            tracing::info!(event = "order_sent", %order, %epoch, ?answer);
            Some(Input::Node(Event::OrderAnswered(order, answer)))
        });
    }
}

async fn send_platform_order<P: UpstreamOrders>(
    context: &SharedContext<P>,
    order: &UpstreamOrder,
) -> Option<OrderAnswer> {
    match context.platform.order(order).await {
        Ok(()) => Some(OrderAnswer::Applied("taken by the platform".into())),
        Err(e) if matches!(e.current_context().cause, Cause::Refused | Cause::Conflict) => {
            let note = e.current_context().to_string();
            Some(OrderAnswer::Refused(note.into()))
        }
        Err(_) => None,
    }
}

/// Polls the instance list of the platform and sends each changed list to the state task.
pub async fn poll_instances(directory: impl InstanceDirectory, inputs: mpsc::Sender<Input>) {
    let mut last_list = None;
    loop {
        match directory.instances().await {
            Ok(list) if last_list.as_ref() == Some(&list) => {}
            Ok(list) => {
                last_list = Some(list.clone());
                if inputs.send(Input::Instances(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => tracing::warn!(event = "list_read_failed", error = %e.current_context()),
        }
        sleep(POLL_INTERVAL).await;
    }
}
