//! What the edge needs from a platform: names on the wire, a store, and calls of duties.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use strum::{Display, IntoStaticStr};

use crate::model::{
    DeploymentConfig, InstanceReport, KeyedRecord, PrefillResult, RequestHead, ResponseHead,
    UpstreamRequestContext,
};

/// Names of a platform on the wire.
pub trait WireCodec: 'static {
    /// Decodes the head of a caller's request. The error is the reason for refusing it.
    fn decode_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, BadRequest>;

    /// Encodes what the system tells an upstream into `headers`.
    fn encode_request_context(&self, context: &UpstreamRequestContext<'_>, headers: &mut HeaderMap);

    /// Decodes the head of an upstream's answer.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Decodes the answer to a prefill.
    fn decode_prefill_result(&self, body: &[u8]) -> Option<PrefillResult>;

    /// Call that frees the result of a prefill at the upstream that holds it.
    fn prefill_release_request(&self, handle: &str) -> Request<()>;

    /// Whether `path` is the one at which the platform asks for readiness.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Decodes a configuration.
    fn decode_config(&self, value: &[u8]) -> Result<DeploymentConfig, DecodeError>;

    /// Decodes an entry of the list of instances.
    fn decode_instance(&self, value: &[u8]) -> Result<InstanceReport, DecodeError>;

    /// Names the headers of an answer that belong to one connection only, beside the usual ones.
    fn is_connection_header(&self, name: &http::HeaderName) -> bool;
}

/// The platform's store, as far as the edge uses it.
pub trait Store: Clone + 'static {
    /// Newest record of each key that comes after the key `after`, as many as fit into one answer.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<NewestPage, StoreError>>;

    /// Records from `from` on; waits up to `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        from: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>>;

    /// Appends one record; with `at`, only if the topic ends there. Returns its position.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        at: Option<u64>,
    ) -> impl Future<Output = Result<u64, StoreError>>;
}

/// Interface that takes usage reports.
pub trait UsageReporter: Clone + 'static {
    /// UsageReporter the requests of each client account in a window under a fencing number.
    fn report_usage(
        &self,
        holder: &str,
        fencing: u64,
        window: u64,
        counts: &std::collections::BTreeMap<Box<str>, u64>,
    ) -> impl Future<Output = Result<(), DutyError>>;
}

/// Topics of the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Topic {
    /// The operator's configuration.
    Config,
    /// The list of instances.
    Instances,
    /// One record per edge process: its address and its usage counts.
    Members,
    /// One record: who holds the duties, and what it has sealed.
    Duty,
}

/// Key of the configuration in [`Topic::Config`].
pub const CONFIG_KEY: &str = "config";

/// Newest records of some keys of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records in the order of their keys.
    pub records: Vec<KeyedRecord>,
    /// End of the topic when the page was read.
    pub end: u64,
    /// Whether more keys follow.
    pub has_more: bool,
}

/// Records read from a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in order.
    pub records: Vec<KeyedRecord>,
    /// Position after the last record read.
    pub next: u64,
}

/// Why a call to the store failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// No connection, no answer in time, or an answer that cannot be read: the call may still take
    /// effect.
    Unreachable(Box<str>),
    /// The store refused the call and did nothing.
    Refused(u16),
    /// The records asked for are gone.
    Expired,
    /// The topic does not end at the expected position.
    Conflict,
}

/// Why a duty's call failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DutyError {
    /// A higher fencing number was seen: this process is no longer the holder.
    Fenced,
    /// The call was refused and did nothing.
    Refused(u16),
    /// The call may still take effect.
    Unreachable(Box<str>),
}

/// A request whose head cannot be accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRequest(pub &'static str);

/// A value that cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub Box<str>);

/// Request to an upstream or to the platform with its whole body.
pub type OutboundRequest = Request<http_body_util::Full<Bytes>>;

/// UnreadResponse whose body is read later.
pub type UnreadResponse = Response<hyper::body::Incoming>;

/// Path and query of a request, as it goes to the upstream.
pub fn origin_form(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}
