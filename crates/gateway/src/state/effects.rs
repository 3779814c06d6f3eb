//! Performs the effects of the state task: each in a task of its own that reports back.

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
use super::append::{Source, Wanted};
use super::parties::{Party, view_of};
use super::{Input, Parts, suspects};

/// Records in one read.
const READ_MAX: u32 = 1_000;

/// Time between two reads of the instance list.
const LIST_INTERVAL: Duration = Duration::from_millis(250);

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Starts an effect that leads outside the process.
    pub(super) fn start(&self, effect: Effect) {
        match effect {
            Effect::Append(append) => {
                let source = Source::Node;
                // The other end lives as long as the process.
                let _ = self.appends.send(Wanted { source, append });
            }
            Effect::ReadTail { from, wait } => self.read_tail(from, wait),
            Effect::QueryEndpoints => self.ask_parties(),
            Effect::ReadEndpoint { endpoint, from } => self.read_party(&endpoint, from),
            Effect::RequestPeerSnapshot => self.ask_image(),
            Effect::SendUsageReport(report) => self.send_report(report),
            Effect::SendOrder(order) => self.send_order(order),
            _ => {}
        }
    }

    pub(super) fn spawn<F>(&self, work: impl FnOnce(Parts<P>) -> F)
    where
        F: Future<Output = Option<Input>> + Send + 'static,
    {
        let work = work(self.parts.clone());
        let inputs = self.inputs.clone();
        tokio::spawn(async move {
            if let Some(input) = work.await {
                // The state task ends last; without it nobody needs the result.
                let _ = inputs.send(input).await;
            }
        });
    }

    fn read_tail(&self, from: Offset, wait: Duration) {
        self.spawn(|parts| async move {
            let started = parts.clock.now();
            match parts.platform.read(from, READ_MAX, wait).await {
                Ok(read) => Some(Input::Read(started, read)),
                Err(e) => {
                    let error = e.current_context();
                    tracing::warn!(event = "log_read_failed", %error);
                    Some(Input::Node(Event::TailReadFailed))
                }
            }
        });
    }

    fn ask_parties(&self) {
        let own = self.log_status();
        for endpoint in self.parties.clone() {
            self.spawn(|parts| async move {
                let asked = parts.clock.now();
                let status = parts.clients.log_status(&endpoint, own).await;
                let endpoint = endpoint.name;
                Some(Input::Node(match status {
                    Some(status) => Event::EndpointStatus {
                        endpoint,
                        asked,
                        view: view_of(status),
                    },
                    None => Event::EndpointUnresponsive(endpoint),
                }))
            });
        }
    }

    fn read_party(&self, name: &str, from: Offset) {
        let Some(endpoint) = self.parties.iter().find(|p| *p.name == *name).cloned() else {
            return;
        };
        self.spawn(|parts| async move {
            let tail = parts.clients.tail(&endpoint, from).await?;
            Some(Input::RecordsOffered(tail.entries))
        });
    }

    fn ask_image(&self) {
        for endpoint in self.peers().cloned() {
            self.spawn(|parts| async move {
                let asked = parts.clock.now();
                let client = parts.clients.get(endpoint.control)?;
                let snapshot = GatewayControlClient::snapshot(&client).await.ok()?;
                Some(Input::Node(Event::PeerSnapshot {
                    endpoint: endpoint.name,
                    asked,
                    view: view_of(snapshot.log),
                    snapshot: ReplicaSnapshot::from_text(snapshot.as_of, snapshot.text),
                }))
            });
        }
    }

    /// Performs what the view of suspect requests has asked for.
    pub(super) fn perform_suspects(&mut self) {
        let replica = self.node.replica().quarantine();
        for todo in self.suspects.take(replica) {
            match todo {
                suspects::Todo::Append(append) => {
                    let source = Source::Suspects;
                    let _ = self.appends.send(Wanted { source, append });
                }
                suspects::Todo::Announce(report) => self.announce(&report),
            }
        }
    }

    /// Tells all peers of a crash.
    fn announce(&self, report: &CrashReport) {
        let crash = report.crash;
        let peers: Vec<Party> = self.peers().cloned().collect();
        let gossip = Gossip {
            instance: self.parts.settings.instance.clone(),
            log: self.log_status(),
            crashes: vec![report.clone()],
            ..Gossip::default()
        };
        self.spawn(|parts| async move {
            let calls = peers
                .iter()
                .map(|peer| parts.clients.gossip(peer, gossip.clone()));
            let are_told = join_all(calls).await.iter().all(Option::is_some);
            are_told.then_some(Input::Acknowledged(crash))
        });
    }

    fn send_report(&self, send: SendUsageReport) {
        self.spawn(|parts| async move {
            let window = send.window;
            let report = UsageReport {
                window,
                epoch: send.epoch,
                accounts: send.usage.accounts,
                late: send.usage.late,
            };
            let deadline = parts.clock.instant(send.deadline);
            let answer = timeout_at(deadline, parts.platform.report(&report)).await;
            let is_taken = matches!(answer, Ok(Ok(())));
            tracing::info!(event = "usage_reported", %window, is_taken);
            Some(Input::Node(Event::ReportAnswered {
                window,
                is_accepted: is_taken,
            }))
        });
    }

    fn send_order(&self, send: SendOrder) {
        let upstream = send.command.upstream().map(Box::<str>::from);
        let is_for_platform = matches!(
            send.command,
            OrderCommand::AddUpstream { .. } | OrderCommand::RemoveUpstream { .. }
        );
        let endpoint = upstream.and_then(|name| self.parties.iter().find(|p| p.name == name));
        let endpoint = endpoint.cloned();
        self.spawn(|parts| async move {
            let deadline = parts.clock.instant(send.deadline);
            let (order, epoch) = (send.order, send.epoch);
            let answer = if is_for_platform {
                let command = send.command;
                let wanted = UpstreamOrder {
                    order,
                    epoch,
                    command,
                };
                timeout_at(deadline, order_platform(&parts, &wanted)).await
            } else {
                let wanted = EngineOrder {
                    order,
                    epoch,
                    command: send.command,
                };
                let client = endpoint.and_then(|p| parts.clients.get(p.control));
                timeout_at(deadline, async move {
                    let reply = SidecarControlClient::order(&client?, wanted).await.ok()?;
                    // An order that was taken may still run; its repeat tells when it is done.
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

async fn order_platform<P: UpstreamOrders>(
    parts: &Parts<P>,
    order: &UpstreamOrder,
) -> Option<OrderAnswer> {
    match parts.platform.order(order).await {
        Ok(()) => Some(OrderAnswer::Applied("taken by the platform".into())),
        Err(e) if matches!(e.current_context().cause, Cause::Refused | Cause::Conflict) => {
            let note = e.current_context().to_string();
            Some(OrderAnswer::Refused(note.into()))
        }
        Err(_) => None,
    }
}

/// Follows the list of instances.
pub async fn instances(directory: impl InstanceDirectory, inputs: mpsc::Sender<Input>) {
    let mut known = None;
    loop {
        match directory.instances().await {
            Ok(list) if known.as_ref() == Some(&list) => {}
            Ok(list) => {
                known = Some(list.clone());
                if inputs.send(Input::Instances(list)).await.is_err() {
                    return;
                }
            }
            Err(e) => tracing::warn!(event = "list_read_failed", error = %e.current_context()),
        }
        sleep(LIST_INTERVAL).await;
    }
}
