//! Protocol of the model engines, spoken by the sidecar beside each.
//!
//! | method and path | body | answer |
//! |---|---|---|
//! | `POST /generate` | [`Generate`] | [`Frame`](crate::frame::Frame)s, one a line, a keep-alive at least every 500 ms |
//! | `POST /cancel` | [`Cancel`] | 204 |
//! | `GET /load` | | [`Load`] |
//! | `GET /cache/events?from=N` | | [`CacheEvents`] |
//! | `POST /cache/export` | [`CacheExport`] | [`CachePieces`] |
//! | `POST /cache/import` | [`CachePieces`] | 204 |
//! | `POST /order` | [`EngineOrder`] | [`OrderState`], 409 if fenced or busy |
//! | `GET /order` | | [`OrderState`] |

use nutmegbay_core::ids::{Epoch, RecordId, RequestId};
use nutmegbay_core::record::{EngineRole, OrderCommand};
use serde::{Deserialize, Serialize};

/// Starts or resumes a generation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Request.
    pub id: RequestId,
    /// Attempt, repeated on every frame.
    pub attempt: u32,
    /// Model.
    pub model: Box<str>,
    /// Prompt.
    pub prompt: Box<str>,
    /// Most tokens over the whole answer.
    pub max_tokens: u32,
    /// Priority, larger runs first.
    pub priority: u8,
    /// Tokens already generated elsewhere; the first frame has this length as its index.
    #[serde(default)]
    pub delivered: Vec<Box<str>>,
}

/// Cancels a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cancel {
    /// Request.
    pub id: RequestId,
}

/// Load of an upstream as it was `age_ms` ago.
#[derive(Debug, Default, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Milliseconds since the figures were taken.
    pub age_ms: u64,
    /// Requests that are running.
    pub running: u32,
    /// Requests that wait at the upstream.
    pub waiting: u32,
    /// Prompt tokens that wait for prefill.
    pub prefill_tokens: u64,
    /// Tokens that running requests may still generate.
    pub decode_tokens: u64,
    /// Share of the cache memory in use, from 0 to 1.
    pub cache_used: f32,
    /// Role.
    pub role: EngineRole,
    /// Models that are loaded, as `name@version`.
    pub models: Vec<Box<str>>,
}

/// Cache events since some sequence number.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Sequence number after the last event of the engine. A gap shows as missing numbers.
    pub next: u64,
    /// Events in order.
    pub events: Vec<CacheEvent>,
}

/// One cache event.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number.
    pub seq: u64,
    /// Hash of the piece, see [`piece_hashes`](crate::prefix::piece_hashes).
    pub piece: u64,
    /// Whether the piece was stored or evicted.
    pub stored: bool,
}

/// Asks for cached pieces of a prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheExport {
    /// Model.
    pub model: Box<str>,
    /// Prompt.
    pub prompt: Box<str>,
}

/// Cached pieces; the stand-in carries their hashes in place of their content.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachePieces {
    /// Hashes in order of the prompt.
    pub pieces: Vec<u64>,
}

/// Order to an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrder {
    /// Identity: a repeat has no further effect.
    pub order: RecordId,
    /// Fencing number. Some engines refuse one below the highest they saw, others ignore it.
    pub epoch: Epoch,
    /// What is ordered.
    pub command: OrderCommand,
}

/// State of the latest order of an engine.
#[derive(Debug, Default, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderState {
    /// Order that is in progress.
    pub running: Option<RecordId>,
    /// Last order that was completed.
    pub completed: Option<RecordId>,
    /// Highest fencing number seen, none if the engine ignores them.
    pub epoch: Option<Epoch>,
    /// Current role.
    pub role: EngineRole,
}
