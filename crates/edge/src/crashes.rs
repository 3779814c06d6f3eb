//! Tracks requests that crash upstreams, as seen by this process and its peers.
//!
//! The list of instances shows when an incarnation of an upstream has ended. Only then are the runs
//! that broke with it sent to the peers, so that the number of messages is bounded by the number of
//! crashes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use nutmegbay_policy::edge::crashes::BrokenRun;

use crate::clock::millis;
use crate::fleet::InFlightSend;
use crate::forward::{RoutedRequest, upstream_id};
use crate::http1::BufferedClient;
use crate::model::ModelWork;
use crate::peers::{CRASHES_PATH, PEER_TIMEOUT, known_peers};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Maximum size of a report of broken runs, in bytes. It covers one upstream with all slots in use.
pub const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Records that the connection of a request broke after the request was sent.
pub fn record_broken_send<D: WireCodec>(
    state: &EdgeState<D>,
    request: &RoutedRequest,
    in_flight_send: &InFlightSend,
) {
    let broke_ms = state.wall_clock.borrow().now_ms();
    let took = state.now().since(in_flight_send.sent_at());
    tracing::info!(
        event = "run_broken",
        id = %request.head.id,
        upstream = %upstream_id(state, in_flight_send.key()),
        fingerprint = format_args!("{:016x}", request.fingerprint()),
        blocks = %shared_block_ids(request),
        has_result = in_flight_send.has_result(),
        took_ms = millis(took),
    );
    let run = BrokenRun {
        fingerprint: request.fingerprint(),
        incarnation: in_flight_send.incarnation(),
        sent_ms: broke_ms.saturating_sub(millis(took)),
        broke_ms,
    };
    state
        .crashes
        .borrow_mut()
        .record_broken_run(state.now(), run, false);
}

/// Returns the ids of the request's shared prefix blocks for the log.
fn shared_block_ids(request: &RoutedRequest) -> String {
    let work = request.head.work.as_ref();
    let shared = work.map_or(&[][..], ModelWork::shared_blocks);
    let ids: Vec<_> = shared
        .iter()
        .map(|block| format!("{:x}", block.id))
        .collect();
    ids.join(",")
}

/// Records that a request received its complete response, which clears it of suspicion.
pub fn record_complete_response<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    let mut crashes = state.crashes.borrow_mut();
    if !crashes.is_empty() {
        crashes.record_success(request.fingerprint());
    }
}

/// Returns the time for which a request is still refused because it crashes upstreams. `None` if it
/// may run.
pub fn refused_for<D: WireCodec>(
    state: &EdgeState<D>,
    request: &RoutedRequest,
) -> Option<Duration> {
    let crashes = state.crashes.borrow();
    if crashes.is_empty() {
        return None;
    }
    crashes.refused_for(request.fingerprint(), state.now())
}

/// Sends the peers the runs that broke with incarnations of upstreams that have ended since the
/// last call.
pub fn send_reports<D: WireCodec>(state: &Rc<EdgeState<D>>) {
    let ended = state.fleet.borrow_mut().take_ended_incarnations();
    let mut runs = Vec::new();
    for incarnation in ended {
        runs.append(&mut state.crashes.borrow_mut().end_incarnation(incarnation));
    }
    if runs.is_empty() {
        return;
    }
    tracing::info!(event = "upstream_crashed", broken_runs = runs.len());
    let report = match serde_json::to_vec(&runs) {
        Ok(report) => Bytes::from(report),
        Err(error) => {
            tracing::error!(event = "crashes_not_encoded", %error);
            return;
        }
    };
    for peer in known_peers(state) {
        let report = report.clone();
        tokio::task::spawn_local(async move {
            let client = BufferedClient::new(peer);
            let req = Request::post(CRASHES_PATH)
                .header(HOST, client.host())
                .body(report.into());
            let req = match req {
                Ok(req) => req,
                Err(error) => {
                    tracing::error!(event = "crashes_not_told", %peer, %error);
                    return;
                }
            };
            match client.call(req, PEER_TIMEOUT).await {
                Ok((StatusCode::OK, _)) => {}
                Ok((status, _)) => {
                    tracing::debug!(event = "crashes_not_taken", %peer, status = status.as_u16());
                }
                Err(error) => tracing::debug!(event = "crashes_not_told", %peer, %error),
            }
        });
    }
}

/// Records the broken runs in the report of a peer. Returns false if the report is malformed.
pub fn receive_report<D: WireCodec>(state: &EdgeState<D>, report: &[u8]) -> bool {
    let runs: Vec<BrokenRun> = match serde_json::from_slice(report) {
        Ok(runs) => runs,
        Err(error) => {
            tracing::warn!(event = "crashes_unreadable", %error);
            return false;
        }
    };
    let now = state.now();
    let mut crashes = state.crashes.borrow_mut();
    for run in runs {
        crashes.record_broken_run(now, run, true);
    }
    true
}
