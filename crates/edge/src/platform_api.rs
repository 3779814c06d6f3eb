//! Interfaces that the edge needs from a platform: a wire format, a store and usage reports.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, Response, StatusCode, Uri};
use nutmegbay_core::position::Position;
use strum::{Display, IntoStaticStr};

use crate::model::{
    DeploymentConfig, InstanceEntry, KeyedRecord, PrefillResult, RequestHead, ResponseHead,
    UpstreamRequestContext,
};

/// Converts between a platform's wire format and the types of [`crate::model`].
pub trait WireCodec: 'static {
    /// Decodes the head of a caller's request. The error is the reason for refusing the request.
    fn decode_request_head(&self, headers: &HeaderMap) -> Result<RequestHead, BadRequest>;

    /// Writes the headers that the edge adds for an upstream into `headers`.
    fn encode_request_context(&self, context: &UpstreamRequestContext<'_>, headers: &mut HeaderMap);

    /// Decodes the head of an upstream's response.
    fn decode_response_head(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Decodes the body of the response to a prefill. Returns `None` if it is malformed.
    fn decode_prefill_result(&self, body: &[u8]) -> Option<PrefillResult>;

    /// Builds the request that frees a prefill result at the upstream that holds it.
    fn prefill_release_request(&self, handle: &str) -> Request<()>;

    /// Builds the request for what an upstream reports of itself.
    fn report_request(&self) -> Request<()>;

    /// Decodes the start of an upstream from its report, in milliseconds since 1970. Returns `None`
    /// if the report does not contain it.
    fn decode_start(&self, body: &[u8]) -> Option<u64>;

    /// Returns whether `path` is the path of the platform's readiness check.
    fn is_readiness_path(&self, path: &str) -> bool;

    /// Decodes the deployment's configuration.
    fn decode_config(&self, value: &[u8]) -> Result<DeploymentConfig, DecodeError>;

    /// Decodes an entry of the list of instances.
    fn decode_instance(&self, value: &[u8]) -> Result<InstanceEntry, DecodeError>;

    /// Returns whether a response header applies to a single connection, in addition to the
    /// standard hop-by-hop headers.
    fn is_connection_header(&self, name: &http::HeaderName) -> bool;
}

/// The operations of the platform's store that the edge uses.
pub trait Store: Clone + 'static {
    /// Changes the address of the store, for all clones. Calls in progress may fail.
    fn set_addr(&self, addr: SocketAddr);

    /// Reads the newest record of each key after the key `after`, as many as fit into one response.
    fn newest(
        &self,
        topic: Topic,
        after: Option<&str>,
    ) -> impl Future<Output = Result<NewestPage, StoreError>>;

    /// Reads records from `from` on, whose era is not checked. Waits up to `wait` for the first one.
    fn read(
        &self,
        topic: Topic,
        from: Position,
        wait: Duration,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>>;

    /// Reads the records that are still stored, from `from` on, whose era is not checked.
    fn retained(
        &self,
        topic: Topic,
        from: Position,
    ) -> impl Future<Output = Result<ReadBatch, StoreError>>;

    /// Appends one record and returns its position. With `at`, appends only if the topic ends at
    /// that offset, in whatever era.
    fn append(
        &self,
        topic: Topic,
        key: &str,
        value: &[u8],
        at: Option<Position>,
    ) -> impl Future<Output = Result<Position, StoreError>>;
}

/// Interface that accepts usage reports.
pub trait UsageReporter: Clone + 'static {
    /// Changes the address that accepts the reports, for all clones. Calls in progress may fail.
    fn set_addr(&self, addr: SocketAddr);

    /// Reports the number of requests of each client account in a usage window, under a fencing
    /// number.
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
    /// Configuration published by the operator.
    Config,
    /// List of instances.
    Instances,
    /// One record per edge process with its address and its usage counts.
    Members,
    /// A single record: the duty holder and what it has sealed.
    Duty,
    /// One record per edge process with its runs that are evidence against some content.
    Crashes,
    /// One record per service with the software versions that may have begun its streams.
    Versions,
    /// Software versions that began streams. Its records expire.
    Origins,
}

/// Key of the configuration record in [`Topic::Config`].
pub const CONFIG_KEY: &str = "config";

/// One page of the newest records of a topic.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NewestPage {
    /// Records in key order, without those that cannot be decoded.
    pub records: Vec<KeyedRecord>,
    /// Last readable key on the page, after which the next page is read. Its record may be one that
    /// cannot be decoded.
    pub last_key: Option<Box<str>>,
    /// End of the topic when the page was read.
    pub end: Position,
    /// Whether there are further keys.
    pub has_more: bool,
}

/// Records read from a topic, starting at a given offset.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadBatch {
    /// Records in offset order.
    pub records: Vec<KeyedRecord>,
    /// Position after the last record read, in the era of the response.
    pub next: Position,
}

/// Reason for which a store call failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum StoreError {
    /// No connection, no response in time, or a response that cannot be decoded. The call may still
    /// take effect.
    Unreachable(Box<str>),
    /// The store refused the call with this HTTP status. The call has no effect.
    Refused(u16),
    /// The requested records are no longer stored.
    Expired,
    /// The store was restored from a copy after the response.
    Outdated,
    /// The topic does not end at the expected offset.
    Conflict,
}

/// Reason for which a call made under a duty failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum DutyError {
    /// The receiver knows a higher fencing number: this process is no longer the duty holder.
    Fenced,
    /// The call was refused with this HTTP status and has no effect.
    Refused(u16),
    /// No usable response. The call may still take effect.
    Unreachable(Box<str>),
}

/// Error for a request whose head cannot be accepted, with the reason.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadRequest(pub &'static str);

/// Error for a value that cannot be decoded, with the reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeError(pub Box<str>);

/// Request with its complete body, to an upstream or to the platform.
pub type OutboundRequest = Request<http_body_util::Full<Bytes>>;

/// Response whose body has not been read yet.
pub type UnreadResponse = Response<hyper::body::Incoming>;

/// Returns the path and query of a URI, in the form in which they are sent to the upstream.
pub fn origin_form(uri: &Uri) -> &str {
    uri.path_and_query()
        .map_or("/", http::uri::PathAndQuery::as_str)
}
