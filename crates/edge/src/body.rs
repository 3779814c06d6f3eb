//! Reads request bodies whole, within the memory that they may take together.

use std::cell::RefCell;
use std::ops::Deref;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::StatusCode;
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use nutmegbay_policy::edge::body_budget::BodyBudget;
use tokio::time::timeout;

use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Status and cause for a body that is not read.
pub type BodyError = (StatusCode, &'static str);

const TOO_LARGE: BodyError = (StatusCode::PAYLOAD_TOO_LARGE, "body_too_large");
const BROKEN: BodyError = (StatusCode::BAD_REQUEST, "body_broken");
const TOO_SLOW: BodyError = (StatusCode::REQUEST_TIMEOUT, "body_too_slow");

/// Status and cause for a body for which there is no memory.
pub const NO_MEMORY: BodyError = (StatusCode::SERVICE_UNAVAILABLE, "no_memory");

/// Whole body. Dropping it gives its memory back.
#[derive(Debug)]
pub struct HeldBody {
    bytes: Bytes,
    _memory: BodyMemory,
}

impl Deref for HeldBody {
    type Target = Bytes;

    fn deref(&self) -> &Bytes {
        &self.bytes
    }
}

/// Memory that a body takes.
#[derive(Debug)]
struct BodyMemory {
    budget: Rc<RefCell<BodyBudget>>,
    limit: Option<u64>,
    bytes: u64,
}

impl BodyMemory {
    fn new<D: WireCodec>(state: &EdgeState<D>) -> Self {
        Self {
            budget: Rc::clone(&state.bodies),
            limit: state.settings().memory_bytes,
            bytes: 0,
        }
    }

    /// Grows to `bytes`.
    fn grow_to(&mut self, bytes: u64) -> Result<(), BodyError> {
        let more = bytes.saturating_sub(self.bytes);
        if !self.budget.borrow_mut().try_take(more, self.limit) {
            return Err(NO_MEMORY);
        }
        self.bytes += more;
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        self.budget.borrow_mut().put_back(self.bytes);
    }
}

/// Reads a body of `limit` bytes at most within `time_limit`. A declared length that is too large,
/// or for which there is no memory, is rejected before the body arrives.
pub async fn read<D: WireCodec>(
    state: &EdgeState<D>,
    body: Incoming,
    limit: usize,
    time_limit: Duration,
) -> Result<HeldBody, BodyError> {
    let declared = body.size_hint().lower();
    if declared > limit as u64 {
        return Err(TOO_LARGE);
    }
    let mut memory = BodyMemory::new(state);
    memory.grow_to(declared)?;
    let read = timeout(time_limit, collect(body, limit, &mut memory)).await;
    Ok(HeldBody {
        bytes: read.map_err(|_| TOO_SLOW)??,
        _memory: memory,
    })
}

async fn collect(
    mut body: Incoming,
    limit: usize,
    memory: &mut BodyMemory,
) -> Result<Bytes, BodyError> {
    let mut first = Bytes::new();
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(bytes) = frame.map_err(|_| BROKEN)?.into_data() else {
            continue;
        };
        let len = first.len() + buf.len() + bytes.len();
        if len > limit {
            return Err(TOO_LARGE);
        }
        memory.grow_to(len as u64)?;
        if first.is_empty() && buf.is_empty() {
            first = bytes;
            continue;
        }
        if buf.is_empty() {
            buf.reserve(usize::try_from(memory.bytes).unwrap_or(len));
            buf.extend_from_slice(&std::mem::take(&mut first));
        }
        buf.extend_from_slice(&bytes);
    }
    Ok(if buf.is_empty() { first } else { buf.freeze() })
}
