//! Waits for uploads that an upstream takes slowly.

use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

use nutmegbay_policy::edge::upload_wait::{UploadStep, UploadWait};
use tokio::time::error::Elapsed;

use super::RoutedRequest;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Size from which a body takes long enough to be sent that its progress is watched, in bytes.
const LARGE_BODY_BYTES: usize = 64 * 1024;

/// Waits for the result of a send, up to `max_wait` from the time at which the upstream last took a
/// part of the body.
pub async fn await_result<D: WireCodec, F: Future>(
    state: &EdgeState<D>,
    request: &RoutedRequest,
    max_wait: Duration,
    result: F,
) -> Result<F::Output, Elapsed> {
    let monitor = &state.delay_monitor;
    let is_watched =
        state.settings().has_competing_accounts && request.body.len() >= LARGE_BODY_BYTES;
    if !is_watched {
        let time_left = request.time_left(state.now());
        return monitor.timeout_within(max_wait, time_left, result).await;
    }
    let mut result = pin!(result);
    let mut upload = UploadWait::new(max_wait, state.now());
    loop {
        let now = state.now();
        let time_left = request.time_left(now);
        let wait = upload.step_time().min(time_left);
        let elapsed = match monitor
            .timeout_within(wait, time_left, result.as_mut())
            .await
        {
            Ok(output) => return Ok(output),
            Err(elapsed) => elapsed,
        };
        let now = state.now();
        let written = request.progress.borrow().written.as_deref().map(Cell::get);
        let step = upload.step(written.unwrap_or_default(), now);
        if step == UploadStep::GiveUp || request.time_left(now).is_zero() {
            return Err(elapsed);
        }
    }
}
