//! HTTP protocol between a model engine and its sidecar.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /generate` | [`Generate`] | [`Frame`](crate::frame::Frame)s, one per line, a keep-alive at least every 500 ms |
//! | `POST /cancel` | [`Cancel`] | 204 |
//! | `GET /load` | | [`Load`] |
//! | `GET /cache/events?from=N` | | [`CacheEvents`] |
//! | `POST /cache/export` | [`CacheExport`] | [`CachedPrefixBlocks`] |
//! | `POST /cache/import` | [`CachedPrefixBlocks`] | 204 |
//! | `POST /order` | [`EngineOrder`] | [`OrderState`], 409 if fenced or busy |
//! | `GET /order` | | [`OrderState`] |

use nutmegbay_core::ids::{Epoch, RecordId, RequestId};
use nutmegbay_core::record::{EngineRole, OrderCommand};
use serde::{Deserialize, Serialize};

/// Starts or resumes a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Identity of the request.
    pub id: RequestId,
    /// Number of the attempt, repeated in every frame.
    pub attempt: u32,
    /// Name of the model.
    pub model: Box<str>,
    /// Whole prompt text.
    pub prompt: Box<str>,
    /// Maximum number of tokens to generate, including `delivered`.
    pub max_tokens: u32,
    /// Priority; a larger value runs first.
    pub priority: u8,
    /// Tokens that another engine or attempt has generated already. Their number is the index of
    /// the first token frame.
    #[serde(default)]
    pub delivered: Vec<Box<str>>,
}

/// Cancels a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Identity of the request. All of its attempts are cancelled.
    pub id: RequestId,
}

/// Load of an upstream `age_ms` ago.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds since the load was measured.
    pub age_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests that wait at the upstream.
    pub waiting: u32,
    /// Number of prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Number of tokens that running requests may still generate.
    pub decode_tokens: u64,
    /// Fraction of the cache memory in use, from 0 to 1.
    pub cache_used: f32,
    /// Current role of the engine.
    pub role: EngineRole,
    /// Loaded models, as `name@version`.
    pub models: Vec<Box<str>>,
}

/// Prefix cache events from a requested sequence number on.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number after the engine's last event. Events that are no longer kept are missing
    /// from the sequence.
    pub next: u64,
    /// Events in order of their sequence numbers.
    pub events: Vec<CacheEvent>,
}

/// Change of the prefix cache.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, counted by the engine since its start.
    pub seq: u64,
    /// Hash of the prefix block, see [`prefix_block_hashes`](crate::prefix::prefix_block_hashes).
    #[serde(rename = "piece")]
    pub block: u64,
    /// Whether the block was stored (true) or evicted (false).
    pub stored: bool,
}

/// Requests the cached prefix blocks of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheExport {
    /// Name of the model.
    pub model: Box<str>,
    /// Whole prompt text.
    pub prompt: Box<str>,
}

/// Cached prefix blocks of a prompt. The fake engine transfers their hashes instead of their
/// content.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedPrefixBlocks {
    /// Hashes of the blocks, in prompt order.
    #[serde(rename = "pieces")]
    pub blocks: Vec<u64>,
}

/// Order that changes the state of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identity of the order; a repeat has no further effect.
    pub order: RecordId,
    /// Fencing number. Some engines refuse a number below the highest that they have received,
    /// others ignore it.
    pub epoch: Epoch,
    /// Change that is ordered.
    pub command: OrderCommand,
}

/// State of an engine with respect to orders.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Order in progress, if any.
    pub running: Option<RecordId>,
    /// Last completed order, if any.
    pub completed: Option<RecordId>,
    /// Highest fencing number received, `None` if the engine ignores fencing numbers.
    pub epoch: Option<Epoch>,
    /// Current role of the engine.
    pub role: EngineRole,
}
