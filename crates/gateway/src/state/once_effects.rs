//! Performs what non-idempotent calls need outside the process.

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

use super::actor::{Actor, Input, Parts};
use super::append::{Source, Wanted};
use super::once::{OnceCall, Raw, Todo};
use super::upstreams::{Dispatch, Upstream};
use crate::data::client::ConnectionSource;
use crate::data::services;

/// Largest answer that is held for a caller, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Time for one control call beside the wait that it asks for.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(400);

impl<P> Actor<P>
where
    P: Log + UsageReports + UpstreamOrders + Clone + 'static,
{
    /// Performs what the coordinator of non-idempotent calls has asked for.
    pub(super) fn perform_once(&mut self) {
        loop {
            let todo = self.once.take();
            if todo.is_empty() {
                return;
            }
            for todo in todo {
                self.start_once(todo);
            }
        }
    }

    fn start_once(&mut self, todo: Todo) {
        match todo {
            Todo::Append(append) => {
                let source = Source::Once;
                // The other end lives as long as the process.
                let _ = self.appends.send(Wanted { source, append });
            }
            Todo::Choose(call, service) => {
                let target = self.choose(&service);
                let attempts = self.node.replica().attempts();
                self.once.chosen(call, target, attempts);
            }
            Todo::Dispatch {
                attempt,
                upstream,
                call,
            } => self.dispatch(attempt, &upstream, call),
            Todo::Query {
                attempt,
                upstream,
                fence,
                wait,
            } => self.query(attempt, &upstream, fence, wait),
        }
    }

    /// Upstream with the least work of this gateway among those whose sidecar is known.
    fn choose(&self, service: &str) -> Option<Target> {
        let upstreams = self.next.upstreams.iter();
        upstreams
            .filter(|u| u.kind == InstanceKind::Service && *u.serves == *service)
            .filter(|u| u.takes_work() && !u.is_failing())
            .filter_map(|u| Some((u.open_count(), u, u.incarnation()?)))
            .min_by_key(|(open, ..)| *open)
            .map(|(_, u, sidecar)| Target {
                upstream: u.name.clone(),
                sidecar,
            })
    }

    fn upstream(&self, name: &str) -> Option<Arc<Upstream>> {
        let mut upstreams = self.next.upstreams.iter();
        upstreams.find(|u| *u.name == *name).cloned()
    }

    fn dispatch(&self, attempt: AttemptRef, upstream: &str, call: Arc<OnceCall>) {
        let upstream = self.upstream(upstream);
        let progress = self.next.progress_timeout();
        self.spawn(|parts| async move {
            let (result, raw) = match upstream {
                None => (DispatchResult::NotSent, None),
                Some(upstream) => send(&parts, attempt, upstream, &call, progress).await,
            };
            Some(Input::Dispatched(attempt, result, raw))
        });
    }

    fn query(&self, attempt: AttemptRef, upstream: &str, fence: bool, wait: Duration) {
        let upstream = self.upstream(upstream);
        self.spawn(|parts| async move {
            let state = match upstream {
                None => None,
                Some(upstream) => ask(&parts, attempt, &upstream, fence, wait).await,
            };
            Some(Input::Queried(attempt, state))
        });
    }

    /// Tells the coordinator that replay has decided on a record about a call.
    pub(super) fn replayed_once(&mut self, call: CallKey, record: nutmegbay_core::ids::RecordId) {
        let attempts = self.node.replica().attempts();
        self.once.replayed(call, record, attempts);
    }
}

async fn send<P>(
    parts: &Parts<P>,
    attempt: AttemptRef,
    upstream: Arc<Upstream>,
    call: &OnceCall,
    progress: Duration,
) -> (DispatchResult, Option<Raw>) {
    let left = parts.clock.until(call.deadline);
    let head = CallHead {
        id: call.id,
        account: Some(call.account.clone()),
        once: Some(attempt),
        deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    };
    let Ok(req) = services::build_request(&upstream, &head, &call.parts, call.body.clone()) else {
        return (DispatchResult::NotSent, None);
    };
    let _dispatch = Dispatch::new(Arc::clone(&upstream));
    // The connection may be silent. The question that follows a loss goes over another one, finds a
    // call that is merely slow still running and waits for its end.
    let until = Instant::now() + left.min(progress);
    let res = match timeout_at(until, parts.sidecars.send(ConnectionSource::Pool, req)).await {
        Ok(Ok(res)) => res,
        Ok(Err(e)) if e.is_connect() => {
            upstream.set_failing(true);
            return (DispatchResult::NotSent, None);
        }
        Ok(Err(_)) | Err(_) => return (DispatchResult::Lost, None),
    };
    match timeout(left, receive(res)).await {
        Ok(received) => received,
        Err(_) => (DispatchResult::Lost, None),
    }
}

async fn receive(res: Response<Incoming>) -> (DispatchResult, Option<Raw>) {
    let (head, body) = res.into_parts();
    let Ok(body) = Limited::new(body, MAX_ANSWER).collect().await else {
        return (DispatchResult::Lost, None);
    };
    let body = body.to_bytes();
    if head.headers.contains_key(VERDICT_HEADER) {
        return (refusal(&body), None);
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
        Some(Raw { headers, body }),
    )
}

/// What a refusal of the sidecar itself means for the attempt.
fn refusal(body: &Bytes) -> DispatchResult {
    let Ok(problem) = serde_json::from_slice::<Problem>(body) else {
        return DispatchResult::Lost;
    };
    match (problem.kind, problem.verdict) {
        (ProblemKind::OtherIncarnation, _) => DispatchResult::OtherIncarnation,
        (_, Verdict::NotRun) => DispatchResult::Fenced,
        (ProblemKind::UpstreamLost, _) => DispatchResult::Unknown,
        // It may still run, or its answer was not kept: the table of the sidecar tells.
        _ => DispatchResult::Lost,
    }
}

async fn ask<P>(
    parts: &Parts<P>,
    attempt: AttemptRef,
    upstream: &Upstream,
    fence: bool,
    wait: Duration,
) -> Option<AttemptState> {
    let client = parts.clients.get(upstream.control)?;
    if fence {
        let asked = SidecarControlClient::fence(&client, attempt);
        let state = timeout(CONTROL_TIMEOUT, asked).await.ok()?.ok()?;
        if state != AttemptState::Running || wait.is_zero() {
            return Some(state);
        }
    }
    let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
    let asked = SidecarControlClient::outcome(&client, attempt, wait_ms);
    timeout(wait + CONTROL_TIMEOUT, asked).await.ok()?.ok()
}
