//! Requests that crash upstreams: what this process saw of them, and what its peers saw.
//!
//! The end of an upstream's life shows in the list of instances. Only then are the runs that broke
//! with it passed on to the peers, so that talk is bounded by the number of crashes.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::{Request, StatusCode};
use nutmegbay_policy::edge::crashes::BrokenRun;

use crate::clock::millis;
use crate::fleet::InFlightSend;
use crate::forward::RoutedRequest;
use crate::http1::Caller;
use crate::peers::{CRASHES_PATH, PEER_TIMEOUT, known_peers};
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Longest report of broken runs, in bytes: those of one upstream with all slots taken.
pub const LONGEST_REPORT: usize = 64 * 1024;

/// Notes that the connection of a request broke after it was sent.
pub fn broke<D: WireCodec>(
    state: &EdgeState<D>,
    request: &RoutedRequest,
    in_flight_send: &InFlightSend,
) {
    let broke_ms = state.wall_clock.borrow().now_ms();
    let took = state.now().since(in_flight_send.sent_at());
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

/// Notes that a request got its whole answer.
pub fn served<D: WireCodec>(state: &EdgeState<D>, request: &RoutedRequest) {
    let mut crashes = state.crashes.borrow_mut();
    if !crashes.is_empty() {
        crashes.record_success(request.fingerprint());
    }
}

/// Time for which a request is refused because it crashes upstreams.
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

/// Passes on the runs that broke with upstreams whose lives have ended since the last call.
pub fn share<D: WireCodec>(state: &Rc<EdgeState<D>>) {
    let ended = state.fleet.borrow_mut().take_ended_incarnations();
    let mut runs = Vec::new();
    for life in ended {
        runs.append(&mut state.crashes.borrow_mut().end_incarnation(life));
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
            let caller = Caller::new(peer);
            let req = Request::post(CRASHES_PATH)
                .header(HOST, caller.host())
                .body(report.into());
            let req = match req {
                Ok(req) => req,
                Err(error) => {
                    tracing::error!(event = "crashes_not_told", %peer, %error);
                    return;
                }
            };
            match caller.call(req, PEER_TIMEOUT).await {
                Ok((StatusCode::OK, _)) => {}
                Ok((status, _)) => {
                    tracing::debug!(event = "crashes_not_taken", %peer, status = status.as_u16());
                }
                Err(error) => tracing::debug!(event = "crashes_not_told", %peer, %error),
            }
        });
    }
}

/// Takes a peer's report. Returns whether it could be read.
pub fn heard<D: WireCodec>(state: &EdgeState<D>, report: &[u8]) -> bool {
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
