//! Software versions with which streams began. A stream is only continued at the version that began
//! it.
#![allow(dead_code)]

use std::rc::Rc;

use nutmegbay_policy::edge::software_versions::VersionTag;
use nutmegbay_policy::edge::stream_origins::StreamOrigin;
use xxhash_rust::xxh3::xxh3_64;

use crate::model::Service;
use crate::platform_api::WireCodec;
use crate::state::EdgeState;

/// Returns the tag of a version's name.
pub fn version_tag(name: &str) -> VersionTag {
    VersionTag(xxh3_64(name.as_bytes()) as u32)
}

/// Records that a stream of this process began with `attempt`, or that its caller took it up.
pub fn record_origin<D: WireCodec>(
    state: &EdgeState<D>,
    _service: &str,
    attempt: &str,
    version: VersionTag,
) {
    let origin = StreamOrigin {
        attempt: xxh3_64(attempt.as_bytes()),
        version,
    };
    let now = state.now();
    state.origins.borrow_mut().record_own(origin, true, now);
}

/// Records the versions of the known upstreams. To be called after each update of the list of
/// instances.
pub fn record_listed<D: WireCodec>(_state: &EdgeState<D>) {}

/// Returns the version at which the stream that began with `attempt` may be continued, or `None` if
/// it is not known.
#[expect(clippy::unused_async, reason = "peers will be asked")]
pub async fn version_to_continue<D: WireCodec>(
    state: &Rc<EdgeState<D>>,
    _service: &Service,
    attempt: Option<&str>,
) -> Option<VersionTag> {
    let attempt = xxh3_64(attempt?.as_bytes());
    state.origins.borrow().version(attempt)
}
