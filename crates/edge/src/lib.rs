//! Edge of a deployment: accepts callers' requests and forwards them to upstreams.
//!
//! It serves deployments whose platform provides ingress, a store and an interface for duties. The
//! edge forwards each request to an upstream directly; no sidecar runs next to the upstreams. It
//! accesses the platform only through the traits of [`platform_api`].
#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "milliseconds and counts stay far below 2^52 and are not negative"
)]

mod body;
mod caller;
pub mod cli;
mod clock;
mod crashes;
mod duty;
mod exchange;
mod fleet;
mod follow;
mod forward;
pub mod http1;
mod ingress;
mod known_records;
mod list_demand;
mod members;
mod metrics;
pub mod model;
pub mod own_delay;
mod peer_io;
mod peers;
pub mod platform_api;
mod quota;
mod read_ahead;
pub mod reload;
mod routes;
mod run;

pub mod settings;
mod socket_state;
mod sse;
mod state;
mod stopping;
mod stream;
mod versions;

pub use routes::{RouteError, RouteTable};
pub use run::{Adapter, run};
pub use sse::EventSplitter;
