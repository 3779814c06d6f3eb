//! Tracks content that crashes upstreams, as seen by this process and its peers.
//!
//! A run that breaks is evidence only if its upstream has ended. An upstream that refuses a new
//! connection has ended, which shows seconds before its entry in the list of instances is removed.
//! News go to the peers with the next load digest, to processes that have just started with the
//! replies of their peers, and to those that cannot reach the others through the store.

mod store;

use std::rc::Rc;
use std::time::Duration;

use nutmegbay_core::crashes::{
    BrokenRun, ContentId, CrashHistory, CrashReport, Quarantine, ReportSource,
};
use nutmegbay_policy::UpstreamKey;
use nutmegbay_policy::edge::health::Outcome;

use crate::clock::millis;
use crate::fleet::{InFlightSend, Upstream};
use crate::forward::{RoutedRequest, upstream_id};
use crate::http1::{CallError, Cause, Connection};
use crate::metrics::increment;
use crate::model::ModelWork;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

pub use store::{follow, publish};

/// Records that the connection of a request broke after the request was sent.
pub fn record_broken_send<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    request: &RoutedRequest,
    in_flight_send: &InFlightSend,
) {
    let now = state.now();
    let took = now.since(in_flight_send.sent_at());
    let result_age = in_flight_send.result_at().map(|at| now.since(at));
    tracing::info!(
        event = "run_broken",
        id = %request.head.id,
        upstream = %upstream_id(state, in_flight_send.key()),
        contents = %hex_list(request.contents().iter().map(|content| content.0)),
        blocks = %hex_list(shared_blocks(request)),
        result_age_ms = result_age.map(millis),
        took_ms = millis(took),
    );
    let is_suspicious = update(state, |crashes, now_ms| {
        let run = BrokenRun {
            id: rand::random(),
            contents: request.contents().to_vec(),
            incarnation: in_flight_send.incarnation(),
            sent_ms: now_ms.saturating_sub(millis(took)),
            broke_ms: now_ms,
        };
        crashes.record_broken_run(run, now_ms)
    });
    let max_body = max_body(state);
    let is_heavy = max_body.is_some_and(|max_body| {
        let held = state
            .fleet
            .borrow_mut()
            .record_broken(in_flight_send.key(), now);
        held > max_body as u64
    });
    if is_suspicious || is_heavy {
        check_upstream(state, in_flight_send.key());
    }
}

/// Returns the size of the largest body that callers may send, in bytes, if the memory of upstreams
/// is learned in this deployment.
fn max_body<D: WireCodec>(state: &EdgeState<D>) -> Option<usize> {
    if !state.settings().has_competing_accounts {
        return None;
    }
    let routes = state.routes.borrow();
    Some(routes.as_ref()?.config().limits.body_bytes)
}

fn shared_blocks(request: &RoutedRequest) -> impl Iterator<Item = u64> {
    let work = request.head.work.as_ref();
    let shared = work.map_or(&[][..], ModelWork::shared_blocks);
    shared.iter().map(|block| block.id)
}

fn hex_list(ids: impl Iterator<Item = u64>) -> String {
    let ids: Vec<_> = ids.map(|id| format!("{id:x}")).collect();
    ids.join(",")
}

/// Records that one run wrote the complete response to a request, which clears its content of
/// suspicion. A run that went on with a stream shows nothing: it may end before it would crash.
pub fn record_complete_response<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    let is_suspected = !state.crashes.borrow().is_empty();
    if is_suspected {
        update(state, |crashes, now_ms| {
            crashes.record_answer(request.contents(), now_ms);
        });
    } else {
        let now_ms = state.wall_clock.borrow().now_ms();
        let mut crashes = state.crashes.borrow_mut();
        crashes.record_answer(&request.block_contents(), now_ms);
    }
}

/// Returns the time for which a request is still refused because its content crashes upstreams.
/// `None` if it may run.
pub fn refused_for<D: WireCodec>(
    state: &EdgeState<D>,
    request: &RoutedRequest,
) -> Option<Duration> {
    let crashes = state.crashes.borrow();
    if crashes.quarantines().is_empty() {
        return None;
    }
    crashes.refused_for(request.contents(), state.wall_clock.borrow().now_ms())
}

/// Records that a request is sent to an upstream that may answer it.
pub fn record_sent<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    let mut crashes = state.crashes.borrow_mut();
    if !crashes.quarantines().is_empty() {
        crashes.record_sent(request.contents(), state.wall_clock.borrow().now_ms());
    }
}

/// Opens a connection to an upstream whose connection to a run broke, to find out whether the
/// upstream has ended. A connection that opens is kept in place of the broken one.
fn check_upstream<D: WireCodec>(state: &Rc<EdgeState<D>>, key: UpstreamKey) {
    let addr = {
        let fleet = state.fleet.borrow();
        fleet.get(key).map(|upstream| upstream.report.addr)
    };
    let Some(addr) = addr else {
        return;
    };
    if !state.checked_upstreams.borrow_mut().insert(key) {
        return;
    }
    let state = Rc::clone(state);
    tokio::task::spawn_local(async move {
        increment(&state.metrics.connections_opened);
        match Connection::open(addr, &state.delay_monitor).await {
            Ok(mut connection) => {
                connection.mark_idle(None);
                state.fleet.borrow_mut().keep_connection(key, connection);
            }
            Err(error) => {
                let id = upstream_id(&state, key);
                let is_timeout = error.cause == Cause::Timeout;
                if !(is_timeout && state.delay_monitor.excuses(&id)) {
                    let mut fleet = state.fleet.borrow_mut();
                    fleet.record_outcome(key, Outcome::Unreachable, state.now());
                }
                record_connect_error(&state, key, &error);
            }
        }
        state.checked_upstreams.borrow_mut().remove(&key);
    });
}

/// Records that no connection to an upstream could be opened.
pub fn record_connect_error<D: WireCodec>(
    state: &EdgeState<D>,
    key: UpstreamKey,
    error: &CallError,
) {
    if error.cause != Cause::Refused {
        return;
    }
    let incarnation = {
        let fleet = state.fleet.borrow();
        fleet.get(key).map(Upstream::incarnation)
    };
    let Some(incarnation) = incarnation else {
        return;
    };
    if let Some(max_body) = max_body(state) {
        let mut fleet = state.fleet.borrow_mut();
        fleet.record_memory_crash(key, max_body, state.now());
    }
    state.fleet.borrow_mut().record_ended(key);
    let broken_runs = update(state, |crashes, now_ms| {
        crashes.record_crash(incarnation, now_ms)
    });
    log_crash(broken_runs, "connection_refused");
}

/// Counts the runs that broke with upstreams whose entries have been removed from the list of
/// instances since the last call, and drops old runs.
pub fn record_ended_upstreams<D: WireCodec>(state: &EdgeState<D>) {
    let ended = state.fleet.borrow_mut().take_ended_incarnations();
    let broken_runs = update(state, |crashes, now_ms| {
        crashes.sweep(now_ms);
        let count = |incarnation| crashes.end_incarnation(incarnation, now_ms);
        ended.into_iter().map(count).sum()
    });
    log_crash(broken_runs, "entry_removed");
}

fn log_crash(broken_runs: usize, source: &'static str) {
    if broken_runs > 0 {
        tracing::info!(event = "upstream_crashed", broken_runs, source);
    }
}

/// Applies the report of a peer.
pub fn merge<D: WireCodec>(state: &EdgeState<D>, report: &CrashReport, source: ReportSource) {
    if !report.is_empty() {
        update(state, |crashes, now_ms| {
            crashes.merge(report, source, now_ms);
        });
    }
}

/// Returns the news that are due to be sent to the peers.
pub fn take_news<D: WireCodec>(state: &EdgeState<D>) -> CrashReport {
    let now_ms = state.wall_clock.borrow().now_ms();
    state.crashes.borrow_mut().take_news(now_ms)
}

/// Returns the report for a peer that may have just started.
pub fn report<D: WireCodec>(state: &EdgeState<D>) -> CrashReport {
    let now_ms = state.wall_clock.borrow().now_ms();
    state.crashes.borrow().report(now_ms)
}

/// Changes the crash history. Logs which content is refused or no longer refused, and has the
/// news sent.
fn update<D: WireCodec, T>(
    state: &EdgeState<D>,
    change: impl FnOnce(&mut CrashHistory, u64) -> T,
) -> T {
    let now_ms = state.wall_clock.borrow().now_ms();
    let mut crashes = state.crashes.borrow_mut();
    let revision = crashes.revision();
    let before = crashes.quarantines().to_vec();
    let result = change(&mut crashes, now_ms);
    if crashes.revision() == revision {
        return result;
    }
    let after = crashes.quarantines();
    for quarantine in added(&before, after) {
        tracing::warn!(
            event = "content_quarantined",
            contents = %hex_list(quarantine.contents.iter().map(|content| content.0)),
            refused_ms = quarantine.until_ms.saturating_sub(now_ms),
        );
    }
    for quarantine in added(after, &before) {
        tracing::warn!(
            event = "content_released",
            contents = %hex_list(quarantine.contents.iter().map(|content| content.0)),
        );
    }
    state.fleet.borrow().load_changed.notify_one();
    state.crashes_changed.notify_one();
    result
}

/// Returns the quarantines in `after` whose contents are not in `before`.
fn added<'a>(
    before: &[Quarantine],
    after: &'a [Quarantine],
) -> impl Iterator<Item = &'a Quarantine> {
    let is_known =
        |quarantine: &Quarantine| before.iter().any(|q| q.contents == quarantine.contents);
    after.iter().filter(move |quarantine| !is_known(quarantine))
}

/// Returns the identity of a prefix block among the requests to a service.
pub fn block_content(service: u64, block: u64) -> ContentId {
    ContentId(xxhash_rust::xxh3::xxh3_64_with_seed(
        &block.to_le_bytes(),
        service,
    ))
}
