//! Performs the I/O of non-idempotent calls.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use nutmegbay_backplane::{Log, UpstreamOrders, UsageReports};
use nutmegbay_core::attempt::{DispatchResult, Target};
use nutmegbay_core::guard::{AttemptRef, AttemptState};
use nutmegbay_core::ids::CallKey;
use nutmegbay_core::record::Answer;
use nutmegbay_core::verdict::Verdict;
use nutmegbay_proto::control::SidecarControlClient;
use nutmegbay_proto::platform::InstanceKind;
use nutmegbay_proto::problem::{Problem, ProblemKind};
use nutmegbay_proto::work::{CallHead, VERDICT_HEADER};
use tokio::time::{Instant, timeout, timeout_at};

use super::actor::{Actor, Input, SharedContext};
use super::append::{AppendSource, QueuedAppend};
use super::once::{Action, AtMostOnceCall, RawAnswer};
use super::upstreams::{OpenRequestGuard, Upstream};
use crate::data::client::ConnectionSource;
use crate::data::services;

/// Maximum size of an answer that is buffered for a caller, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// Timeout of one control call, in addition to the wait that the call requests.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Performs the actions of non-idempotent calls until no new one is requested.
    pub(super) fn perform_call_actions(&mut self) {
        loop {
            let actions = self.once.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                self.start_call_action(action);
            }
        }
    }

    fn start_call_action(&mut self, action: Action) {
        match action {
            Action::Append(append) => {
                let source = AppendSource::AtMostOnceCalls;
                // The receiver runs as long as the process.
                let _ = self.appends.send(QueuedAppend { source, append });
            }
            Action::Choose(call, service) => {
                let target = self.choose_target(&service);
                let attempts = self.node.replica().attempts();
                self.once.on_chosen(call, target, attempts);
            }
            Action::Dispatch {
                attempt,
                upstream,
                call,
            } => self.dispatch(attempt, &upstream, call),
            Action::Query {
                attempt,
                upstream,
                fence,
                wait,
            } => self.query(attempt, &upstream, fence, wait),
        }
    }

    /// Returns the upstream with the fewest open requests of this gateway among those that accept
    /// work and whose sidecar incarnation is known.
    fn choose_target(&self, service: &str) -> Option<Target> {
        let upstreams = self.next_view.upstreams.iter();
        upstreams
            .filter(|u| u.kind == InstanceKind::Service && *u.serves == *service)
            .filter(|u| u.accepts_work() && !u.is_failing())
            .filter_map(|u| Some((u.open_requests(), u, u.incarnation()?)))
            .min_by_key(|(open, ..)| *open)
            .map(|(_, u, sidecar)| Target {
                upstream: u.name.clone(),
                sidecar,
            })
    }

    fn upstream(&self, name: &str) -> Option<Arc<Upstream>> {
        let mut upstreams = self.next_view.upstreams.iter();
        upstreams.find(|u| *u.name == *name).cloned()
    }

    fn dispatch(&self, attempt: AttemptRef, upstream: &str, call: Arc<AtMostOnceCall>) {
        let upstream = self.upstream(upstream);
        let progress = self.next_view.progress_timeout();
        self.spawn(|context| async move {
            let (result, raw) = match upstream {
                None => (DispatchResult::NotSent, None),
                Some(upstream) => send_call(&context, attempt, upstream, &call, progress).await,
            };
            Some(Input::Dispatched(attempt, result, raw))
        });
    }

    fn query(&self, attempt: AttemptRef, upstream: &str, fence: bool, wait: Duration) {
        let upstream = self.upstream(upstream);
        self.spawn(|context| async move {
            let state = match upstream {
                None => None,
                Some(upstream) => query_attempt(&context, attempt, &upstream, fence, wait).await,
            };
            Some(Input::Queried(attempt, state))
        });
    }

    /// Notifies the coordinator that replay has accepted or rejected a record about a call.
    pub(super) fn on_call_replayed(
        &mut self,
        call: CallKey,
        record: nutmegbay_core::ids::RecordId,
    ) {
        let attempts = self.node.replica().attempts();
        self.once.on_replayed(call, record, attempts);
    }
}

async fn send_call<P>(
    context: &SharedContext<P>,
    attempt: AttemptRef,
    upstream: Arc<Upstream>,
    call: &AtMostOnceCall,
    progress: Duration,
) -> (DispatchResult, Option<RawAnswer>) {
    let remaining = context.clock.time_until(call.deadline);
    let head = CallHead {
        id: call.id,
        account: Some(call.account.clone()),
        attempt: Some(attempt),
        deadline_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
    };
    let Ok(req) = services::build_request(&upstream, &head, &call.parts, call.body.clone()) else {
        return (DispatchResult::NotSent, None);
    };
    let _open_request = OpenRequestGuard::new(Arc::clone(&upstream));
    // The connection may be unresponsive, so the head is awaited for at most `progress`. The query
    // that follows a loss uses another connection; if the call is only slow, the query finds it
    // running and waits for its end.
    let head_deadline = Instant::now() + remaining.min(progress);
    let res = match timeout_at(
        head_deadline,
        context.sidecars.send(ConnectionSource::Pool, req),
    )
    .await
    {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => {
            upstream.set_failing(true);
            return (DispatchResult::NotSent, None);
        }
        Ok(Err(_)) | Err(_) => return (DispatchResult::Lost, None),
    };
    match timeout(remaining, receive_answer(res)).await {
        Ok(received) => received,
        Err(_) => (DispatchResult::Lost, None),
    }
}

async fn receive_answer(res: Response<Incoming>) -> (DispatchResult, Option<RawAnswer>) {
    let (head, body) = res.into_parts();
    let Ok(body) = Limited::new(body, MAX_ANSWER_BYTES).collect().await else {
        return (DispatchResult::Lost, None);
    };
    let body = body.to_bytes();
    if head.headers.contains_key(VERDICT_HEADER) {
        return (refusal_result(&body), None);
    }
    let content_type = head.headers.get(http::header::CONTENT_TYPE);
    let answer = Answer {
        status: head.status.as_u16(),
        content_type: content_type.and_then(|v| v.to_str().ok()).map(Into::into),
        body: std::str::from_utf8(&body).ok().map(Into::into),
    };
    let headers = head.headers;
    (
        DispatchResult::Answered(answer),
        Some(RawAnswer { headers, body }),
    )
}

/// Result of an attempt that the sidecar itself refused, from the problem in `body`.
fn refusal_result(body: &Bytes) -> DispatchResult {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return DispatchResult::Lost;
    };
    match (problem.kind, problem.verdict) {
        (ProblemKind::OtherIncarnation, _) => DispatchResult::OtherIncarnation,
        (_, Verdict::NotRun) => DispatchResult::Fenced,
        (ProblemKind::UpstreamLost, _) => DispatchResult::Unknown,
        // The call may still run, or its answer was not kept. A query of the sidecar finds out.
        _ => DispatchResult::Lost,
    }
}

async fn query_attempt<P>(
    context: &SharedContext<P>,
    attempt: AttemptRef,
    upstream: &Upstream,
    fence: bool,
    wait: Duration,
) -> Option<AttemptState> {
    let client = context.clients.get(upstream.control)?;
    if fence {
        let fenced = SidecarControlClient::fence(&client, attempt);
        let state = timeout(CONTROL_TIMEOUT, fenced).await.ok()?.ok()?;
        if state != AttemptState::Running || wait.is_zero() {
            return Some(state);
        }
    }
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let outcome = SidecarControlClient::outcome(&client, attempt, wait_ms);
    timeout(wait + CONTROL_TIMEOUT, outcome).await.ok()?.ok()
}
